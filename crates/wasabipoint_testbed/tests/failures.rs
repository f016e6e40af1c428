//! Tests with real kills, pauses and silent links.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;
use wasabipoint_testbed::{Caller, Fleet, FleetPlan, LinkState};

/// Bound on the time until a withdrawn key or a new version is in force; the requirement says
/// seconds, 16 s at the design size.
const IN_FORCE_BOUND: Duration = Duration::from_secs(16);

/// Returns the executions of a plain service by request id.
async fn executions(fleet: &Fleet, endpoint: usize) -> Vec<u64> {
    let service = Caller::new(fleet.endpoints[endpoint].http_address());
    let counts = service.get("/admin/executions").await.unwrap().json();
    counts
        .as_object()
        .unwrap()
        .values()
        .filter_map(Value::as_u64)
        .collect()
}

/// Guards against two executions of one booking that was sent through both entry processes while
/// the first one was killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_through_a_killed_entry_process() {
    let mut fleet = Fleet::start(FleetPlan::delta().with_endpoints(0, 1))
        .await
        .unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    for entry in 0..2 {
        fleet.wait_for_key(entry, &key.key).await.unwrap();
    }
    let service = Caller::new(fleet.endpoints[0].http_address());
    service
        .post("/admin/faults", &json!({"slow_ms": 500}))
        .await
        .unwrap();
    let headers = [("idempotency-key", "pickup-1")];
    let path = "/services/booking/pickups";
    let first = fleet.caller(0).with_key(&key.key);
    let lost = tokio::spawn(async move { first.send(Method::POST, path, &headers, "{}").await });
    Fleet::wait_for("the first execution", || async {
        !executions(&fleet, 0).await.is_empty()
    })
    .await
    .unwrap();
    fleet.entries[0].kill().await.unwrap();
    assert!(lost.await.unwrap().is_err());
    let second = fleet.caller(1).with_key(&key.key);
    let response = second
        .send(Method::POST, path, &headers, "{}")
        .await
        .unwrap();
    let is_known = response.status == StatusCode::OK;
    let is_unknown = response.json()["error"]["run"] == "unknown";
    assert!(is_known || is_unknown, "{:?}", response.body);
    assert_eq!(executions(&fleet, 0).await, [1]);
}

/// Guards against "not run" for a booking that ran, and against two executions, when the agent is
/// killed in the call.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_at_a_killed_agent_is_unknown_and_not_repeated() {
    let mut fleet = Fleet::start(FleetPlan::delta().with_endpoints(0, 2))
        .await
        .unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    fleet.wait_for_key(0, &key.key).await.unwrap();
    for endpoint in 0..2 {
        let service = Caller::new(fleet.endpoints[endpoint].http_address());
        service
            .post("/admin/faults", &json!({"slow_ms": 1500}))
            .await
            .unwrap();
    }
    let caller = fleet.caller(0).with_key(&key.key);
    let call = tokio::spawn(async move {
        caller
            .send(Method::POST, "/services/booking/pickups", &[], "{}")
            .await
    });
    Fleet::wait_for("the execution", || async {
        !executions(&fleet, 0).await.is_empty() || !executions(&fleet, 1).await.is_empty()
    })
    .await
    .unwrap();
    let holder = usize::from(executions(&fleet, 0).await.is_empty());
    fleet.agents[holder].kill().await.unwrap();
    let response = call.await.unwrap().unwrap();
    assert_eq!(
        response.json()["error"]["run"],
        "unknown",
        "{:?}",
        response.body
    );
    let mut counts = executions(&fleet, 0).await;
    counts.extend(executions(&fleet, 1).await);
    assert_eq!(counts, [1]);
}

/// Guards against an acknowledged change that is lost or reverts when the leader is killed, and
/// against a withdrawn key that goes on working.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_changes_survive_the_leader() {
    let mut fleet = Fleet::start(FleetPlan::delta().with_endpoints(1, 1))
        .await
        .unwrap();
    let kept = fleet.add_key("bucket-traders").await.unwrap();
    let withdrawn = fleet.add_key("bucket-traders").await.unwrap();
    fleet.wait_for_key(0, &withdrawn.key).await.unwrap();
    fleet
        .operate(&["keys", "withdraw", &withdrawn.id])
        .await
        .unwrap();
    let acknowledged = Instant::now();
    let version = fleet.operate(&["status"]).await.unwrap()["config_version"]
        .as_u64()
        .unwrap();
    let leader = fleet.leader().await.unwrap();
    fleet.controls[leader].take().unwrap().kill().await.unwrap();
    let caller = fleet.caller(0);
    Fleet::wait_for("the withdrawal in force", || async {
        let response = caller
            .clone()
            .with_key(&withdrawn.key)
            .get("/v1/models")
            .await
            .unwrap();
        response.error_kind().as_deref() == Some("invalid_key")
    })
    .await
    .unwrap();
    assert!(acknowledged.elapsed() < IN_FORCE_BOUND);
    let added = fleet.add_key("bucket-traders").await.unwrap();
    fleet.start_control(leader).await.unwrap();
    for key in [&kept, &added] {
        fleet.wait_for_key(1, &key.key).await.unwrap();
    }
    let status = fleet.operate(&["status"]).await.unwrap();
    assert!(status["config_version"].as_u64().unwrap() >= version);
    let names = fleet.operate(&["keys", "list"]).await.unwrap().to_string();
    assert!(
        names.contains(&kept.id) && names.contains(&added.id),
        "{names}"
    );
    assert!(!names.contains(&withdrawn.id), "{names}");
}

/// Guards against an entry process that admits keyed requests while it is cut off from control,
/// when withdrawals cannot reach it, and against one that stops serving open routes.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_entry_process_refuses_keyed_requests_only() {
    // One member, so that the withdrawal commits while the entry process reaches no member.
    let plan = FleetPlan::delta()
        .with_controls(1)
        .with_entries(1)
        .with_endpoints(0, 1)
        .with_control_links();
    let fleet = Fleet::start(plan).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    fleet.wait_for_key(0, &key.key).await.unwrap();
    fleet.control_links[0].set_state(LinkState::Silent);
    let cut = Instant::now();
    fleet.operate(&["keys", "withdraw", &key.id]).await.unwrap();
    let caller = fleet.caller(0);
    Fleet::wait_for("keyed requests refused", || async {
        let response = caller
            .clone()
            .with_key(&key.key)
            .get("/services/stock-check/1")
            .await
            .unwrap();
        let is_refused = response.error_kind().as_deref() == Some("configuration_stale");
        assert!(!is_refused || response.is_not_run() && response.retry_after_s.is_some());
        is_refused
    })
    .await
    .unwrap();
    assert!(cut.elapsed() < IN_FORCE_BOUND);
    let open = caller.get("/services/opening-hours/1").await.unwrap();
    assert_eq!(open.status, StatusCode::OK, "{:?}", open.body);
    fleet.control_links[0].set_state(LinkState::OldSilent);
    Fleet::wait_for("the withdrawal in force over new connections", || async {
        let response = caller
            .clone()
            .with_key(&key.key)
            .get("/services/stock-check/1")
            .await
            .unwrap();
        assert_ne!(response.status, StatusCode::OK);
        response.error_kind().as_deref() == Some("invalid_key")
    })
    .await
    .unwrap();
}

/// Guards against a leader that goes on answering reads and changes while nothing reaches it, and
/// against one that disturbs the others when it returns.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_leader_answers_nothing_old_and_returns_quietly() {
    let plan = FleetPlan::delta()
        .with_endpoints(0, 1)
        .with_entries(1)
        .with_control_links();
    let fleet = Fleet::start(plan).await.unwrap();
    let old = fleet.leader().await.unwrap();
    let old_address = fleet.control_address(old).to_string();
    let old_member = fleet.operator(&old_address);
    fleet.control_links[old].set_state(LinkState::Silent);
    Fleet::wait_for("another leader", || async {
        fleet.leader().await.is_ok_and(|leader| leader != old)
    })
    .await
    .unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    let listed = old_member.get("/v1/keys").await.unwrap();
    assert_ne!(listed.status, StatusCode::OK, "{:?}", listed.body);
    fleet.wait_for_key(0, &key.key).await.unwrap();
    let before = fleet.operate(&["status"]).await.unwrap();
    fleet.control_links[old].set_state(LinkState::OldSilent);
    Fleet::wait_for("the old leader follows", || async {
        let local = old_member.get("/v1/status/local").await.unwrap().json();
        local["role"] == "follower"
            && local["applied_index"] == local["commit_index"]
            && local["keys"] == 1
    })
    .await
    .unwrap();
    let after = fleet.operate(&["status"]).await.unwrap();
    assert_eq!(after["leader"], before["leader"]);
    assert_eq!(after["term"], before["term"]);
}

/// Guards against a graceful shutdown that cuts a stream or refuses what still arrives.
#[tokio::test(flavor = "multi_thread")]
async fn termination_cuts_no_request() {
    let plan = FleetPlan::delta()
        .with_endpoints(2, 1)
        .with_engine_pace(20, 100);
    let mut fleet = Fleet::start(plan).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    for entry in 0..2 {
        fleet.wait_for_key(entry, &key.key).await.unwrap();
    }
    let warm = fleet
        .caller(0)
        .with_key(&key.key)
        .chat("prices-small", "warm up", 2, false)
        .await
        .unwrap();
    assert_eq!(warm.status, StatusCode::OK, "{:?}", warm.body);
    let streams: Vec<_> = (0..6)
        .map(|index| {
            let caller = fleet.caller(index % 2).with_key(&key.key);
            tokio::spawn(async move { caller.chat("prices-small", "all prices", 150, true).await })
        })
        .collect();
    Fleet::wait_for("running streams", || async {
        let mut running = 0;
        for engine in &fleet.endpoints[..2] {
            let state = Caller::new(engine.http_address())
                .get("/admin/state")
                .await
                .unwrap()
                .json();
            running += state["running"].as_u64().unwrap();
        }
        running == 6
    })
    .await
    .unwrap();
    fleet.entries[0].terminate().unwrap();
    fleet.agents[0].terminate().unwrap();
    fleet.agents[1].terminate().unwrap();
    for stream in streams {
        let response = stream.await.unwrap().unwrap();
        assert_eq!(response.status, StatusCode::OK);
        assert!(response.events().unwrap().len() >= 150);
    }
    assert!(fleet.entries[0].wait().await.unwrap());
    assert!(fleet.agents[0].wait().await.unwrap());
    assert!(fleet.agents[1].wait().await.unwrap());
}
