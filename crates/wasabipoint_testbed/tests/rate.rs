//! Test of rate limits across entry processes.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_testbed::{Fleet, FleetConfig};

const RATE_TOKENS_PER_S: f64 = 500.0;
const BURST_TOKENS: f64 = 4_000.0;

/// Tokens of one completion, and the times of its request and response.
struct TokenUsage {
    sent: Instant,
    received: Instant,
    tokens: f64,
}

/// Guards against a customer that gets more tokens than rate and burst allow in any time window,
/// over two entry processes, one of which is killed, and across a change of the leader. Tokens
/// count at admission, which lies between request and response, so a window counts only completions
/// that lie entirely within it.
#[tokio::test(flavor = "multi_thread")]
async fn no_window_exceeds_rate_and_burst() {
    let config = FleetConfig::delta()
        .with_endpoints(2, 0)
        .with_engine_timing(1, 50);
    let mut fleet = Fleet::start(config).await.unwrap();
    let key = fleet.add_key("door-vendors").await.unwrap();
    for entry in 0..2 {
        fleet.wait_for_key(entry, &key.key).await.unwrap();
    }
    let models = fleet
        .client(0)
        .with_key(&key.key)
        .get("/v1/models")
        .await
        .unwrap()
        .json();
    let model = models["data"][0]["id"].as_str().unwrap().to_owned();
    let end = Instant::now() + Duration::from_secs(12);
    let senders: Vec<_> = (0..12)
        .map(|index| {
            let (client, model) = (fleet.client(index % 2).with_key(&key.key), model.clone());
            tokio::spawn(async move {
                let mut usages = Vec::new();
                while Instant::now() < end {
                    let sent = Instant::now();
                    let Ok(response) = client.chat(&model, "price of roses", 150, false).await
                    else {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                        continue;
                    };
                    let tokens = response.json()["usage"]["total_tokens"]
                        .as_f64()
                        .unwrap_or(0.0);
                    usages.push(TokenUsage {
                        sent,
                        received: Instant::now(),
                        tokens,
                    });
                    if response.error_kind().is_some() {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
                usages
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let leader_index = fleet.leader_index().await.unwrap();
    fleet.control_members[leader_index]
        .take()
        .unwrap()
        .kill()
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.entries[1].kill().await.unwrap();
    let mut usages = Vec::new();
    for sender in senders {
        usages.extend(sender.await.unwrap());
    }
    let served: Vec<&TokenUsage> = usages.iter().filter(|usage| usage.tokens > 0.0).collect();
    assert!(
        served.len() > 10,
        "only {} of {} were served",
        served.len(),
        usages.len()
    );
    for first in &served {
        for last in &served {
            let window = last.received.saturating_duration_since(first.sent);
            let sum: f64 = served
                .iter()
                .filter(|usage| usage.sent >= first.sent && usage.received <= last.received)
                .map(|usage| usage.tokens)
                .sum();
            let allowed = BURST_TOKENS + RATE_TOKENS_PER_S * window.as_secs_f64();
            assert!(
                sum <= allowed,
                "{sum} tokens in {window:?}, {allowed} allowed"
            );
        }
    }
}
