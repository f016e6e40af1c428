//! Tests of rate and burst over several entry processes.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_testbed::{Fleet, FleetPlan};

const RATE_TOKENS_PER_S: f64 = 500.0;
const BURST_TOKENS: f64 = 4_000.0;

/// Tokens used by one completion, and when it was sent and answered.
struct Use {
    sent: Instant,
    answered: Instant,
    tokens: f64,
}

/// Guards against more tokens than rate and burst in any window over two entry processes, while
/// one of them is killed and the leader changes. A token counts at admission, which lies between
/// sending and response; only uses that lie wholly within a window are counted for it.
#[tokio::test(flavor = "multi_thread")]
async fn no_window_exceeds_rate_and_burst() {
    let plan = FleetPlan::delta()
        .with_endpoints(2, 0)
        .with_engine_pace(1, 50);
    let mut fleet = Fleet::start(plan).await.unwrap();
    let key = fleet.add_key("door-vendors").await.unwrap();
    for entry in 0..2 {
        fleet.wait_for_key(entry, &key.key).await.unwrap();
    }
    let models = fleet
        .caller(0)
        .with_key(&key.key)
        .get("/v1/models")
        .await
        .unwrap()
        .json();
    let model = models["data"][0]["id"].as_str().unwrap().to_owned();
    let end = Instant::now() + Duration::from_secs(12);
    let senders: Vec<_> = (0..12)
        .map(|index| {
            let (caller, model) = (fleet.caller(index % 2).with_key(&key.key), model.clone());
            tokio::spawn(async move {
                let mut uses = Vec::new();
                while Instant::now() < end {
                    let sent = Instant::now();
                    let Ok(response) = caller.chat(&model, "price of roses", 150, false).await
                    else {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                        continue;
                    };
                    let tokens = response.json()["usage"]["total_tokens"]
                        .as_f64()
                        .unwrap_or(0.0);
                    uses.push(Use {
                        sent,
                        answered: Instant::now(),
                        tokens,
                    });
                    if response.error_kind().is_some() {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
                uses
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let leader = fleet.leader().await.unwrap();
    fleet.controls[leader].take().unwrap().kill().await.unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.entries[1].kill().await.unwrap();
    let mut uses = Vec::new();
    for sender in senders {
        uses.extend(sender.await.unwrap());
    }
    let served: Vec<&Use> = uses.iter().filter(|used| used.tokens > 0.0).collect();
    assert!(
        served.len() > 10,
        "only {} of {} were served",
        served.len(),
        uses.len()
    );
    for first in &served {
        for last in &served {
            let window = last.answered.saturating_duration_since(first.sent);
            let sum: f64 = served
                .iter()
                .filter(|used| used.sent >= first.sent && used.answered <= last.answered)
                .map(|used| used.tokens)
                .sum();
            let allowed = BURST_TOKENS + RATE_TOKENS_PER_S * window.as_secs_f64();
            assert!(
                sum <= allowed,
                "{sum} tokens in {window:?}, {allowed} allowed"
            );
        }
    }
}
