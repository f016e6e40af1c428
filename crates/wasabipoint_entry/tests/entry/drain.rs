//! Start-up and drain.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use tokio::time::Instant;

use crate::fake_agents::{FakeAgents, Plan};
use crate::fake_control::FakeControl;
use crate::harness::{Harness, ReceivedResponse};

async fn check_health(harness: &Harness) -> u16 {
    let request = Request::get("/healthz").body(Vec::new()).unwrap();
    harness.send(request).await.status
}

/// Guards against a drain that interrupts a running request, refuses requests during the grace
/// period, or leaves the health check passing.
#[tokio::test(start_paused = true)]
async fn drain_finishes_running_requests() {
    let harness = Harness::start().await;
    harness.agents.plan(&[Plan::Slow(Duration::from_secs(9))]);
    assert_eq!(check_health(&harness).await, 200);
    let started = Instant::now();
    let during_drain = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(check_health(&harness).await, 503);
        let in_grace: ReceivedResponse = harness.complete("hello", false).await;
        assert_eq!(in_grace.status, 200);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let after = harness.complete("hello", false).await;
        assert_eq!(
            (after.kind().as_str(), after.run().as_str()),
            ("draining", "not run")
        );
    };
    let drain = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        harness.entry.drain().await;
        started.elapsed()
    };
    let (running, (), elapsed) = tokio::join!(harness.complete("hello", true), during_drain, drain);
    assert!(running.is_complete, "the running stream was interrupted");
    assert!(
        elapsed >= Duration::from_secs(9),
        "drained after {elapsed:?}"
    );
    assert_eq!(harness.agents.executions(), 2);
}

/// Guards against losing a customer's prefetched tokens when the process stops.
#[tokio::test(start_paused = true)]
async fn drain_returns_unused_tokens() {
    let harness = Harness::start().await;
    for _ in 0..50 {
        harness.complete("hello", false).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        harness.control.outstanding_tokens() > 0,
        "nothing was prefetched"
    );
    harness.entry.drain().await;
    assert_eq!(harness.control.outstanding_tokens(), 0);
}

/// Guards against serving requests from the empty initial view before control has confirmed one.
#[tokio::test(start_paused = true)]
async fn serves_nothing_before_the_first_confirmed_reply() {
    let first = Harness::start().await;
    let control: &Arc<FakeControl> = &first.control;
    control.stop_watch_replies();
    let agents = Arc::new(FakeAgents::default());
    let harness = Harness::start_entry_unready(control, &agents, "entry-2");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(check_health(&harness).await, 503);
    assert_eq!(
        harness.complete("p", false).await.kind(),
        "configuration_stale"
    );
    let open = Request::get("/services/public/a").body(Vec::new()).unwrap();
    assert_eq!(harness.send(open).await.kind(), "configuration_stale");
    assert_eq!(agents.executions(), 0);
}
