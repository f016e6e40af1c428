//! Tests of replica counts and memory under failures, based on the state that the engines report.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use http::StatusCode;
use serde_json::{Value, json};
use wasabipoint_testbed::{ApiClient, EngineFencing, Fleet, FleetConfig};

async fn engine_state(fleet: &Fleet, index: usize) -> Value {
    ApiClient::new(fleet.endpoints[index].http_address())
        .get("/admin/state")
        .await
        .unwrap()
        .json()
}

/// Counts the loaded and loading replicas of a model, and asserts that no engine ever exceeded its
/// memory.
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
            .filter(|replica| replica["model"] == model)
            .count();
    }
    count
}

async fn check_single_replica_after_failures(fencing: EngineFencing) {
    let config = FleetConfig::delta()
        .with_endpoints(2, 0)
        .with_engine_timing(2, 2_000)
        .with_fencing(fencing);
    let mut fleet = Fleet::start(config).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    fleet.wait_for_key(0, &key.key).await.unwrap();
    // Each engine loses the response to one load command.
    for index in 0..2 {
        let engine = ApiClient::new(fleet.endpoints[index].http_address());
        engine
            .post("/admin/faults", &json!({"lost_load_answer": 1}))
            .await
            .unwrap();
    }
    let client = fleet.client(0).with_key(&key.key);
    let request = tokio::spawn(async move {
        client
            .chat("halls-small", "which hall is free", 4, false)
            .await
    });
    Fleet::wait_for("a running load", || async {
        count_replicas(&fleet, 2, "halls-small").await > 0
    })
    .await
    .unwrap();
    // The agent and the leader are killed during the load.
    let holder = usize::from(
        engine_state(&fleet, 0).await["models"]
            .as_array()
            .unwrap()
            .is_empty(),
    );
    fleet.agents[holder].kill().await.unwrap();
    let leader_index = fleet.leader_index().await.unwrap();
    fleet.control_members[leader_index]
        .take()
        .unwrap()
        .kill()
        .await
        .unwrap();
    fleet.agents[holder] = fleet.start_agent(holder).await.unwrap();
    let response = request.await.unwrap().unwrap();
    assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
    let explained = fleet
        .run_cli(&["explain", "model", "halls-small"])
        .await
        .unwrap();
    let grant_count = explained["grants"].as_array().unwrap().len();
    assert!(
        count_replicas(&fleet, 2, "halls-small").await <= grant_count,
        "{explained}"
    );
    assert_eq!(grant_count, 1, "{explained}");
}

/// Guards against a second replica when the response to a load is lost and the agent and the leader
/// are killed during the load, on engines that check fencing tokens.
#[tokio::test(flavor = "multi_thread")]
async fn no_extra_replica_with_fencing_checked() {
    check_single_replica_after_failures(EngineFencing::Checked).await;
}

/// Guards against a second replica when the response to a load is lost and the agent and the leader
/// are killed during the load, on engines that ignore fencing tokens.
#[tokio::test(flavor = "multi_thread")]
async fn no_extra_replica_with_fencing_ignored() {
    check_single_replica_after_failures(EngineFencing::Ignored).await;
}

/// Guards against a suspended VM whose replica is no longer counted, so that there is one replica
/// more than decided when the VM resumes, and against a model that is not served while its VM is
/// suspended.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_vm_is_replaced_openly_and_thaws_within_the_decided_number() {
    let config = FleetConfig::delta()
        .with_endpoints(2, 0)
        .with_engine_timing(2, 100);
    let fleet = Fleet::start(config).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    fleet.wait_for_key(0, &key.key).await.unwrap();
    let client = fleet.client(0).with_key(&key.key);
    let model = "hotels-small";
    let first = client.chat(model, "first", 4, false).await.unwrap();
    assert_eq!(first.status, StatusCode::OK, "{:?}", first.body);
    let holder = usize::from(
        engine_state(&fleet, 0).await["models"]
            .as_array()
            .unwrap()
            .is_empty(),
    );
    fleet.agents[holder].pause().unwrap();
    fleet.endpoints[holder].pause().unwrap();
    // Every request gets a response, also before the replacement serves the model. None waits for
    // the suspended VM to resume.
    Fleet::wait_for("a response from the replacement", || async {
        let response = client.chat(model, "while frozen", 4, false).await.unwrap();
        response.status == StatusCode::OK
    })
    .await
    .unwrap();
    let explained = fleet.run_cli(&["explain", "model", model]).await.unwrap();
    assert_eq!(
        explained["grants"].as_array().unwrap().len(),
        2,
        "{explained}"
    );
    fleet.endpoints[holder].resume().unwrap();
    fleet.agents[holder].resume().unwrap();
    assert!(count_replicas(&fleet, 2, model).await <= 2);
    Fleet::wait_for("reports after the VM resumes", || async {
        let explained = fleet.run_cli(&["explain", "model", model]).await.unwrap();
        let grants = explained["grants"].as_array().unwrap();
        let held = count_replicas(&fleet, 2, model).await;
        assert!(held <= 2);
        let is_certain = grants.iter().all(|grant| grant["is_in_doubt"] == false);
        is_certain && held == grants.len()
    })
    .await
    .unwrap();
}
