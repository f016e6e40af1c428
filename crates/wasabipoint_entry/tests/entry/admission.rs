//! Deadlines, queue limits, fair queueing and the prefix index.

use std::time::Duration;

use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::Instant;
use wasabipoint_entry::{FairQueue, PrefixIndex, hash_prompt};
use wasabipoint_kernel::{CustomerId, EndpointId, ModelName};
use wasabipoint_rpc::{CacheEvent, ColdEstimate};

use crate::fake_agents::Plan;
use crate::harness::{Harness, KEY, OTHER_KEY, ReceivedResponse, completion, engine};

async fn start_with_one_slot() -> Harness {
    Harness::start_with(|view| {
        view.endpoints.clear();
        let engine = engine("engine-1", 11, 1);
        view.endpoints.insert(engine.id.clone(), engine);
    })
    .await
}

fn retry_after_s(response: &ReceivedResponse) -> u64 {
    response.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap()
}

/// Guards against queued requests that wait past their deadline or are dropped without a response.
#[tokio::test(start_paused = true)]
async fn refuses_a_queued_request_at_its_deadline() {
    let harness = start_with_one_slot().await;
    harness.agents.plan(&[Plan::Slow(Duration::from_mins(1))]);
    let started = Instant::now();
    let (running, waiting) = tokio::join!(harness.complete("first", true), async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let response = harness.complete("second", false).await;
        (response, started.elapsed())
    });
    assert!(running.is_complete);
    let (response, elapsed) = waiting;
    assert_eq!(
        (response.kind().as_str(), response.run().as_str()),
        ("deadline_exceeded", "not run")
    );
    assert_eq!(elapsed.as_millis(), 10_010);
    assert!(retry_after_s(&response) >= 1);
    assert_eq!(harness.agents.executions(), 1);
    let metrics = harness.metrics().await;
    assert!(
        metrics.contains("refusals_inside_rate_total{customer=\"delta\""),
        "{metrics}"
    );
}

/// Guards against queueing a request that cannot meet its deadline according to observed run times.
#[tokio::test(start_paused = true)]
async fn refuses_immediately_when_the_deadline_cannot_be_met() {
    let harness = start_with_one_slot().await;
    harness.agents.plan_all(Plan::Slow(Duration::from_secs(4)));
    assert_eq!(harness.complete("p", false).await.status, 200);
    let sends = (0..6).map(|_| async {
        let started = Instant::now();
        let response = harness.complete("p", false).await;
        (response, started.elapsed())
    });
    let responses = join_all(sends).await;
    let refused: Vec<_> = responses
        .iter()
        .filter(|(response, _)| response.status != 200)
        .collect();
    assert!(refused.len() >= 3);
    for (response, elapsed) in refused {
        assert_eq!(response.kind(), "deadline_unreachable");
        assert!(elapsed.is_zero(), "refused after {elapsed:?}");
        assert!(retry_after_s(response) >= 1);
    }
}

/// Guards against reporting demand for an unloaded model only with the next periodic report, and
/// against queueing requests whose deadline passes before the model is loaded.
#[tokio::test(start_paused = true)]
async fn unloaded_model_is_reported_immediately_and_refused_by_estimate() {
    let harness = Harness::start().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    harness.control.add_cold_estimate(ColdEstimate {
        model: ModelName::new("large"),
        ready_in_ms: 30_000,
    });
    let started = Instant::now();
    let request = completion(KEY, "p", false).map(|body| {
        String::from_utf8(body)
            .unwrap()
            .replace("small", "large")
            .into_bytes()
    });
    let response = harness.send(request).await;
    assert_eq!(
        (response.kind().as_str(), response.run().as_str()),
        ("deadline_unreachable", "not run")
    );
    assert_eq!(
        response.headers["retry-after"], "20",
        "30 s of load minus 10 s until the deadline"
    );
    assert!(
        started.elapsed() < Duration::from_millis(100),
        "{:?}",
        started.elapsed()
    );
    let (_, report) = harness.control.reports().pop().unwrap();
    assert_eq!(report.demand[0].model.as_str(), "large");
    assert_eq!((report.demand[0].arrived, report.demand[0].queued), (1, 1));
}

/// Guards against queues without a limit on requests or bytes.
#[tokio::test(start_paused = true)]
async fn queue_is_bounded_per_customer() {
    let harness = start_with_one_slot().await;
    harness.agents.plan_all(Plan::Slow(Duration::from_secs(2)));
    let small = join_all((0..60).map(|_| harness.complete("p", false))).await;
    let full = small
        .iter()
        .filter(|response| response.kind() == "queue_full")
        .count();
    assert_eq!(full, 9, "50 are queued and one runs");
    let harness = start_with_one_slot().await;
    harness.agents.plan_all(Plan::Slow(Duration::from_secs(2)));
    let long = "x".repeat(3_500);
    let large = join_all((0..30).map(|_| harness.complete(&long, false))).await;
    let full = large
        .iter()
        .filter(|response| response.kind() == "queue_full")
        .count();
    assert!(
        full >= 11,
        "{full} refused, at most 18 bodies fit into the bytes"
    );
    let other = harness.send(completion(OTHER_KEY, "p", false)).await;
    assert_eq!(other.status, 200);
}

/// Guards against a customer that sends several times its share and starves another one.
#[tokio::test(start_paused = true)]
async fn customer_at_five_times_the_load_does_not_starve_another() {
    let harness = start_with_one_slot().await;
    harness
        .agents
        .plan_all(Plan::Slow(Duration::from_millis(500)));
    let mut calls = FuturesUnordered::new();
    for round in 0..10 {
        for key in [KEY, KEY, KEY, KEY, KEY, OTHER_KEY] {
            let request = completion(key, "p", true);
            let harness = &harness;
            calls.push(async move {
                tokio::time::sleep(Duration::from_secs(round)).await;
                let started = Instant::now();
                (key, harness.send(request).await, started.elapsed())
            });
        }
    }
    let mut served = [0_u32; 2];
    let mut longest = Duration::ZERO;
    while let Some((key, response, elapsed)) = calls.next().await {
        let is_other = key == OTHER_KEY;
        served[usize::from(is_other)] += u32::from(response.status == 200);
        if is_other {
            assert_eq!(response.status, 200, "{}", response.text());
            longest = longest.max(elapsed);
        }
    }
    println!("served {served:?}, longest wait of the smaller customer {longest:?}");
    assert_eq!(served[1], 10);
    assert!(longest <= Duration::from_secs(3), "{longest:?}");
}

/// Guards against sharing by the number of requests instead of tokens.
#[test]
fn fair_queue_shares_tokens_not_requests() {
    let (large, small) = (CustomerId::new("large"), CustomerId::new("small"));
    let mut queue = FairQueue::new();
    for id in 0..40 {
        queue.push(&large, id, 1_000, ("large", 1_000));
        queue.push(&small, 100 + id, 100, ("small", 100));
    }
    let mut served = [0_u64; 2];
    for _ in 0..33 {
        let (name, tokens) = queue.pop().unwrap();
        served[usize::from(name == "small")] += tokens;
    }
    assert!(served[0].abs_diff(served[1]) <= 1_000, "{served:?}");
    assert!(queue.remove(&large, 39).is_some());
    assert_eq!(queue.len(), 46);
}

/// Guards against an index that grows without limit, and against keeping blocks after a gap in the
/// cache events.
#[test]
fn prefix_index_is_bounded_and_cleared_after_a_gap() {
    let (one, two) = (EndpointId::new("one"), EndpointId::new("two"));
    let prompt = hash_prompt("small", &[b'x'; 2_000]);
    assert_eq!(prompt.len(), 7);
    assert_eq!(hash_prompt("small", &[b'x'; 1_000])[..], prompt[..3]);
    assert_ne!(hash_prompt("large", &[b'x'; 1_000])[0], prompt[0]);
    let mut index = PrefixIndex::new(10);
    for block in &prompt {
        index.insert(&one, *block);
    }
    index.insert(&two, prompt[0]);
    assert_eq!(index.count_cached_prefix(&one, &prompt), 7);
    index.apply_events(&one, &[CacheEvent::Removed(prompt[2])], false);
    assert_eq!(index.count_cached_prefix(&one, &prompt), 2);
    index.apply_events(&one, &[CacheEvent::Stored(prompt[0])], true);
    assert_eq!(
        (
            index.count_cached_prefix(&one, &prompt),
            index.count_cached_prefix(&two, &prompt)
        ),
        (1, 1)
    );
    for block in 0..100 {
        index.insert(&two, block);
    }
    assert!(index.len() <= 10);
}
