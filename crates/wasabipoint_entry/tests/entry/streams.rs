//! Agent responses that are misdirected, reordered, truncated or stalled.

use std::time::Duration;

use wasabipoint_http::OutgoingBody;

use crate::fake_agents::Plan;
use crate::harness::{Harness, KEY, booking, completion, read_response, with_body};

const FAULTY_PLANS: [Plan; 6] = [
    Plan::OtherRequest,
    Plan::RepeatedSequence,
    Plan::Reordered,
    Plan::MissingEnd,
    Plan::WrongByteCount,
    Plan::SilentAfterHead,
];

/// Guards against a damaged stream that appears complete to its caller.
#[tokio::test(start_paused = true)]
async fn damaged_stream_never_ends_normally() {
    for fault in FAULTY_PLANS {
        let harness = Harness::start().await;
        harness.agents.plan_all(fault);
        let response = harness.complete("hello", true).await;
        let is_refused = response.status != 200 && response.run() == "unknown";
        assert!(
            is_refused || !response.is_complete,
            "{fault:?}: {}",
            response.text()
        );
    }
}

/// Guards against parts of damaged responses in buffered ones, and against losing a request that
/// could be retried.
#[tokio::test(start_paused = true)]
async fn damaged_buffered_response_is_retried_or_refused() {
    for fault in FAULTY_PLANS {
        let harness = Harness::start().await;
        harness.agents.plan(&[fault]);
        let repeated = harness.complete("hello", false).await;
        assert_eq!(
            repeated.json()["choices"][0]["text"],
            "one two",
            "{fault:?}"
        );
        harness.agents.plan(&[fault, fault]);
        let refused = harness.complete("hello", false).await;
        assert_eq!(
            (refused.status, refused.run().as_str()),
            (502, "unknown"),
            "{fault:?}"
        );
    }
}

/// Guards against retrying a non-idempotent call whose response was damaged, and against losing a
/// response that the agent still stores.
#[tokio::test(start_paused = true)]
async fn damaged_call_response_is_recovered_by_an_outcome_query() {
    for fault in FAULTY_PLANS {
        let harness = Harness::start().await;
        harness.agents.plan(&[fault]);
        let response = harness.send(booking(None)).await;
        assert_eq!(response.status, 200, "{fault:?}: {}", response.text());
        assert_eq!(harness.agents.executions(), 1, "{fault:?}");
    }
}

/// Guards against a timeout of a slow agent that still sends heartbeats.
#[tokio::test(start_paused = true)]
async fn heartbeats_keep_a_slow_response_alive() {
    let harness = Harness::start().await;
    harness.agents.plan(&[Plan::Slow(Duration::from_secs(6))]);
    let buffered = harness.complete("hello", false).await;
    assert_eq!(buffered.status, 200);
    harness.agents.plan(&[Plan::Slow(Duration::from_secs(6))]);
    let streamed = harness.complete("hello", true).await;
    assert!(streamed.is_complete);
    assert!(streamed.text().contains(": keep-alive\n\n"));
    let unexpected_events: Vec<&str> = streamed
        .text()
        .leak()
        .split("\n\n")
        .filter(|event| {
            !event.is_empty() && !event.starts_with("data: ") && *event != ": keep-alive"
        })
        .collect();
    assert!(
        unexpected_events.is_empty(),
        "events were cut: {unexpected_events:?}"
    );
}

/// Guards against engine work that continues after its caller disconnected.
#[tokio::test(start_paused = true)]
async fn caller_disconnect_cancels_the_work() {
    let harness = Harness::start().await;
    harness.agents.plan(&[Plan::Slow(Duration::from_secs(9))]);
    let request = with_body(completion(KEY, "hello", true));
    let response = harness.entry.handle_request(request).await;
    let OutgoingBody::Stream(receiver) = response.into_body() else {
        panic!("expected a stream");
    };
    drop(receiver);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(harness.agents.cancelled_requests(), 1);

    harness.agents.plan(&[Plan::Slow(Duration::from_secs(9))]);
    let waiting = harness
        .entry
        .handle_request(with_body(completion(KEY, "hello", false)));
    assert!(
        tokio::time::timeout(Duration::from_secs(1), waiting)
            .await
            .is_err()
    );
    assert_eq!(harness.agents.cancelled_requests(), 2);
    let next = read_response(
        harness
            .entry
            .handle_request(with_body(completion(KEY, "hello", false)))
            .await,
    )
    .await;
    assert_eq!(next.status, 200);
}
