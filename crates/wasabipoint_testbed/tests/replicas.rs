//! Tests of replicas and memory under failures, judged by the engines' own state.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use http::StatusCode;
use serde_json::{Value, json};
use wasabipoint_testbed::{Caller, EngineFencing, Fleet, FleetPlan};

async fn engine_state(fleet: &Fleet, index: usize) -> Value {
    Caller::new(fleet.endpoints[index].http_address())
        .get("/admin/state")
        .await
        .unwrap()
        .json()
}

/// Counts the replicas of a model that engines hold or load, and checks their memory.
async fn count_replicas(fleet: &Fleet, engines: usize, model: &str) -> usize {
    let mut count = 0;
    for index in 0..engines {
        let state = engine_state(fleet, index).await;
        assert!(
            state["peak_memory_mib"].as_u64() <= state["memory_mib"].as_u64(),
            "{state}"
        );
        let models = state["models"].as_array().unwrap();
        count += models
            .iter()
            .filter(|entry| entry["model"] == model)
            .count();
    }
    count
}

async fn loads_survive_failures(fencing: EngineFencing) {
    let plan = FleetPlan::delta()
        .with_endpoints(2, 0)
        .with_engine_pace(2, 2_000)
        .with_fencing(fencing);
    let mut fleet = Fleet::start(plan).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    fleet.wait_for_key(0, &key.key).await.unwrap();
    // One response to a load is lost on each engine.
    for index in 0..2 {
        let engine = Caller::new(fleet.endpoints[index].http_address());
        engine
            .post("/admin/faults", &json!({"lost_load_answer": 1}))
            .await
            .unwrap();
    }
    let caller = fleet.caller(0).with_key(&key.key);
    let request = tokio::spawn(async move {
        caller
            .chat("halls-small", "which hall is free", 4, false)
            .await
    });
    Fleet::wait_for("a running load", || async {
        count_replicas(&fleet, 2, "halls-small").await > 0
    })
    .await
    .unwrap();
    // The agent dies in the load and the leader changes while the command runs.
    let holder = usize::from(
        engine_state(&fleet, 0).await["models"]
            .as_array()
            .unwrap()
            .is_empty(),
    );
    fleet.agents[holder].kill().await.unwrap();
    let leader = fleet.leader().await.unwrap();
    fleet.controls[leader].take().unwrap().kill().await.unwrap();
    fleet.agents[holder] = fleet.start_agent(holder).await.unwrap();
    let response = request.await.unwrap().unwrap();
    assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
    let explained = fleet
        .operate(&["explain", "model", "halls-small"])
        .await
        .unwrap();
    let granted = explained["grants"].as_array().unwrap().len();
    assert!(
        count_replicas(&fleet, 2, "halls-small").await <= granted,
        "{explained}"
    );
    assert_eq!(granted, 1, "{explained}");
}

/// Guards against a second replica after the agent died in a load, on engines that check tokens.
#[tokio::test(flavor = "multi_thread")]
async fn no_extra_replica_with_fencing_checked() {
    loads_survive_failures(EngineFencing::Checked).await;
}

/// Guards against a second replica after the agent died in a load, on engines that ignore tokens.
#[tokio::test(flavor = "multi_thread")]
async fn no_extra_replica_with_fencing_ignored() {
    loads_survive_failures(EngineFencing::Ignored).await;
}

/// Guards against a frozen VM whose replica stops counting, so that it thaws as one replica more
/// than decided, and against a model that nobody serves while its VM is frozen.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_vm_is_replaced_openly_and_thaws_within_the_decided_number() {
    let plan = FleetPlan::delta()
        .with_endpoints(2, 0)
        .with_engine_pace(2, 100);
    let fleet = Fleet::start(plan).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    fleet.wait_for_key(0, &key.key).await.unwrap();
    let caller = fleet.caller(0).with_key(&key.key);
    let model = "hotels-small";
    let first = caller.chat(model, "first", 4, false).await.unwrap();
    assert_eq!(first.status, StatusCode::OK, "{:?}", first.body);
    let holder = usize::from(
        engine_state(&fleet, 0).await["models"]
            .as_array()
            .unwrap()
            .is_empty(),
    );
    fleet.agents[holder].pause().unwrap();
    fleet.endpoints[holder].pause().unwrap();
    // Requests go on until the replacement serves; each is answered, none waits for the thaw.
    Fleet::wait_for("service by the replacement", || async {
        let response = caller.chat(model, "while frozen", 4, false).await.unwrap();
        response.status == StatusCode::OK
    })
    .await
    .unwrap();
    let explained = fleet.operate(&["explain", "model", model]).await.unwrap();
    assert_eq!(
        explained["grants"].as_array().unwrap().len(),
        2,
        "{explained}"
    );
    fleet.endpoints[holder].resume().unwrap();
    fleet.agents[holder].resume().unwrap();
    assert!(count_replicas(&fleet, 2, model).await <= 2);
    Fleet::wait_for("reports after the thaw", || async {
        let explained = fleet.operate(&["explain", "model", model]).await.unwrap();
        let grants = explained["grants"].as_array().unwrap();
        let held = count_replicas(&fleet, 2, model).await;
        assert!(held <= 2);
        let is_certain = grants.iter().all(|grant| grant["is_in_doubt"] == false);
        is_certain && held == grants.len()
    })
    .await
    .unwrap();
}
