//! At-most-once execution of non-idempotent calls, and correct run states in refusals.

use wasabipoint_kernel::{EndpointId, Incarnation, RequestId};
use wasabipoint_rpc::{ClaimHolder, LoadReport};

use crate::fake_agents::Plan;
use crate::harness::{Harness, ReceivedResponse, booking};

const AGENT_PLANS: [Plan; 9] = [
    Plan::Respond,
    Plan::NotConnected,
    Plan::Draining,
    Plan::Full,
    Plan::FalseRefusal,
    Plan::LostBeforeStart,
    Plan::LostAfterRun,
    Plan::CrashedAfterRun,
    Plan::Hanging,
];

fn check_reported_run_state(response: &ReceivedResponse, executions: u32, case: &str) {
    assert!(executions <= 1, "{case}: {executions} executions");
    match response.status {
        200 => assert_eq!(executions, 1, "{case}"),
        _ if response.run() == "not run" => assert_eq!(executions, 0, "{case}"),
        _ => assert_eq!(response.run(), "unknown", "{case}: {}", response.text()),
    }
}

/// Guards against running a non-idempotent call twice, and against reporting `not run` for a call
/// that ran. Tries each pair of agent failures over two attempts.
#[tokio::test(start_paused = true)]
async fn call_runs_at_most_once_after_any_failure() {
    for first in AGENT_PLANS {
        for second in AGENT_PLANS {
            for key in [None, Some("once")] {
                let harness = Harness::start().await;
                harness.agents.plan(&[first, second]);
                let response = harness.send(booking(key)).await;
                let case = format!("{first:?}, {second:?}, {key:?}");
                check_reported_run_state(&response, harness.agents.executions(), &case);
            }
        }
    }
}

/// Guards against reporting `not run` for a retried completion of which any attempt ran.
#[tokio::test(start_paused = true)]
async fn retried_completion_reports_its_run_state() {
    for first in AGENT_PLANS {
        for second in AGENT_PLANS {
            let harness = Harness::start().await;
            harness.agents.plan(&[first, second]);
            let response = harness.complete("hello", false).await;
            let is_reported_not_run = response.run() == "not run";
            let executions = harness.agents.executions();
            assert!(
                !is_reported_not_run || executions == 0,
                "{first:?}, {second:?}"
            );
        }
    }
}

/// Guards against giving up a claimed call when its first agent is unreachable even for outcome
/// queries.
#[tokio::test(start_paused = true)]
async fn claimed_call_is_retried_after_an_unreachable_agent() {
    let harness = Harness::start().await;
    harness.agents.plan(&[Plan::Unreachable]);
    let response = harness.send(booking(Some("once"))).await;
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(harness.agents.executions(), 1);
}

/// Guards against running a call twice when a caller repeats it with the same idempotency key at
/// another entry process.
#[tokio::test(start_paused = true)]
async fn idempotency_key_holds_across_entry_processes() {
    for first in AGENT_PLANS {
        let first_entry = Harness::start().await;
        let second_entry =
            Harness::start_entry(&first_entry.control, &first_entry.agents, "entry-2").await;
        first_entry.agents.plan(&[first, first]);
        let before = first_entry.send(booking(Some("once"))).await;
        let after = second_entry.send(booking(Some("once"))).await;
        let executions = first_entry.agents.executions();
        let case = format!("{first:?}: {} then {}", before.status, after.status);
        assert!(executions <= 1, "{case}");
        if before.status == 200 {
            assert_eq!((after.status, &after.body), (200, &before.body), "{case}");
        }
        check_reported_run_state(&after, executions, &case);
    }
}

/// Guards against accepting one idempotency key for two different calls.
#[tokio::test(start_paused = true)]
async fn idempotency_key_of_a_different_call_is_refused() {
    let harness = Harness::start().await;
    assert_eq!(harness.send(booking(Some("once"))).await.status, 200);
    let other = booking(Some("once")).map(|_| b"bay 5".to_vec());
    let response = harness.send(other).await;
    assert_eq!(
        (response.kind().as_str(), response.run().as_str()),
        ("idempotency_mismatch", "not run")
    );
    assert_eq!(harness.agents.executions(), 1);
    assert_eq!(harness.control.claim_count(), 1);
}

/// Guards against replacing the claim of a holder that may still start the call.
#[tokio::test(start_paused = true)]
async fn claimed_key_is_replaced_only_after_not_started() {
    let harness = Harness::start().await;
    assert_eq!(harness.send(booking(Some("seed"))).await.status, 200);
    let (_, fingerprint) = harness.control.stored_claim("seed");
    let holder = ClaimHolder {
        request_id: RequestId(7),
        endpoint: EndpointId::new("desk-1"),
        incarnation: Incarnation(1),
        address: "127.0.0.1:21".parse().unwrap(),
    };
    harness.control.insert_claim("stuck", holder, fingerprint);
    let response = harness.send(booking(Some("stuck"))).await;
    assert_eq!(response.status, 200, "{}", response.text());
    assert_ne!(
        harness.control.stored_claim("stuck").0.request_id,
        RequestId(7)
    );
    assert_eq!(harness.agents.executions(), 2);
}

/// Guards against refusing a call that only has to wait for free capacity at its endpoints.
#[tokio::test(start_paused = true)]
async fn call_waits_for_full_endpoints() {
    let harness = Harness::start().await;
    harness.agents.plan(&[Plan::Full; 30]);
    let response = harness.send(booking(Some("once"))).await;
    assert_eq!(response.status, 200, "{}", response.text());
    assert_eq!(harness.agents.executions(), 1);
    harness.agents.plan_all(Plan::Full);
    let response = harness.send(booking(None)).await;
    assert_eq!(
        (response.kind().as_str(), response.run().as_str()),
        ("deadline_exceeded", "not run")
    );
}

/// Guards against ignoring reported load in routing and the reported cache position in dispatches.
#[tokio::test(start_paused = true)]
async fn reported_load_steers_routing() {
    let harness = Harness::start().await;
    let busy = LoadReport {
        running: 3,
        cache_sequence: 5,
        ..LoadReport::default()
    };
    harness.agents.report_load(11, busy);
    for _ in 0..20 {
        harness.complete("hello", false).await;
    }
    let ports: Vec<u16> = harness
        .agents
        .requests()
        .iter()
        .map(|(to, _)| to.port())
        .collect();
    assert!(
        ports.iter().filter(|port| **port == 11).count() <= 1,
        "{ports:?}"
    );
    harness
        .agents
        .plan_all(Plan::Slow(std::time::Duration::from_secs(1)));
    let calls = (0..8).map(|_| harness.complete("hello", false));
    futures::future::join_all(calls).await;
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let calls = (0..8).map(|_| harness.complete("hello", false));
    futures::future::join_all(calls).await;
    let requests = harness.agents.requests();
    let last_request = requests.iter().rev().find(|(to, _)| to.port() == 11);
    assert_eq!(last_request.unwrap().1.known_cache_sequence, 5);
}

/// Guards against applying the load report of an agent's earlier incarnation to its current one.
#[tokio::test(start_paused = true)]
async fn load_of_an_earlier_incarnation_is_ignored() {
    let harness = Harness::start_with(|view| {
        view.endpoints.remove("engine-2");
    })
    .await;
    let busy = LoadReport {
        queued: 50,
        ..LoadReport::default()
    };
    harness.agents.report_load(11, busy);
    harness
        .agents
        .plan(&[Plan::Slow(std::time::Duration::from_secs(1))]);
    let restart = async {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        harness.control.update_view(|view| {
            view.endpoints.get_mut("engine-1").unwrap().incarnation = Incarnation(2);
        });
    };
    let (first, ()) = tokio::join!(harness.complete("hello", false), restart);
    assert_eq!(first.status, 200);
    let started = tokio::time::Instant::now();
    assert_eq!(harness.complete("hello", false).await.status, 200);
    assert!(
        started.elapsed().as_millis() < 200,
        "{:?}",
        started.elapsed()
    );
}

/// Guards against retries that multiply the load on a failing fleet.
#[tokio::test(start_paused = true)]
async fn retries_stay_within_the_budget() {
    let harness = Harness::start().await;
    harness.agents.plan_all(Plan::LostBeforeStart);
    for _ in 0..200 {
        harness.complete("hello", false).await;
        tokio::time::sleep(std::time::Duration::from_millis(1_100)).await;
    }
    let sent = harness.agents.requests().len();
    assert!(sent <= 200 + 20 + 10, "{sent} sends for 200 requests");
    assert!(sent > 200, "nothing was retried");
}

/// Guards against dispatching to a draining endpoint before it has a new incarnation.
#[tokio::test(start_paused = true)]
async fn draining_endpoint_gets_no_new_work() {
    let harness = Harness::start().await;
    harness.agents.plan(&[Plan::Draining]);
    assert_eq!(harness.complete("hello", false).await.status, 200);
    let draining = harness.agents.requests()[0].0;
    for _ in 0..20 {
        assert_eq!(harness.complete("hello", false).await.status, 200);
    }
    let count = |address| {
        let requests = harness.agents.requests();
        requests.iter().filter(|(to, _)| *to == address).count()
    };
    assert_eq!(count(draining), 1);
    tokio::time::sleep(std::time::Duration::from_millis(1_100)).await;
    harness.control.update_view(|view| {
        for endpoint in view.endpoints.values_mut() {
            endpoint.incarnation = Incarnation(2);
        }
    });
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    for _ in 0..20 {
        harness.complete("hello", false).await;
    }
    assert!(count(draining) > 1);
    let reports = harness.control.reports();
    let is_reported = reports
        .iter()
        .any(|(_, report)| !report.draining_endpoints.is_empty());
    assert!(is_reported, "no report lists the draining endpoint");
}
