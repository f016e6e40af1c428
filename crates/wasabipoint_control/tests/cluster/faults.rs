//! Tests with silent agents and with leaving and terminated VMs.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::json;
use wasabipoint_control::ControlServer;
use wasabipoint_http::{HttpHandler, HttpRequest, HttpResponse, HttpServer, json_response};
use wasabipoint_kernel::{EndpointId, Incarnation};
use wasabipoint_rpc::ControlClient;

use crate::fixture::{
    STEP_TIMEOUT, TestAgent, apply_test_configuration, entry_report, parse_json, report_entry,
    send_request, start_single_member_with, watch_until,
};

/// Fake platform that lists one VM.
struct FakePlatform {
    state: Mutex<&'static str>,
}

impl HttpHandler for FakePlatform {
    fn handle(&self, _: HttpRequest) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>> {
        let state = *self.state.lock().unwrap();
        // An entry that cannot be read must not hide the others.
        let vms = json!({"vms": [{"vm": 7, "state": "live"}, {"vm": "vm-1", "state": state}]});
        Box::pin(async move { json_response(StatusCode::OK, &vms) })
    }
}

/// Reports demand for a model and steps the agent until it has reported the model as loaded.
async fn load_model(agent: &mut TestAgent, client: &ControlClient, model: &str) {
    agent.step(client).await;
    report_entry(client, entry_report(1, model, 1)).await;
    let is_granted = |grants: &[wasabipoint_rpc::Grant]| !grants.is_empty();
    agent
        .step_until(client, |directive| is_granted(&directive.grants))
        .await;
    agent.step(client).await;
}

async fn placement_actions(server: &ControlServer, model: &str) -> Vec<String> {
    let path = format!("/v1/explain/model/{model}");
    let explained =
        parse_json(&send_request(server.http_address(), Method::GET, &path, &[], "").await);
    let decisions = explained["decisions"].as_array().unwrap();
    let actions = decisions.iter().filter_map(|d| d["action"].as_str());
    actions.map(str::to_owned).collect()
}

/// Guards against a model without a responding replica when its endpoint is silent, and against a
/// second replica without a recorded placement decision.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_in_doubt_is_replaced_by_an_explicit_decision() {
    let server = start_single_member_with(|config| {
        config.agent_silence = Duration::from_millis(500);
        config.replace_after = Duration::from_millis(500);
    })
    .await;
    let client = apply_test_configuration(&server).await;
    let mut silent_agent = TestAgent::new(1);
    // The inventory limits this model to one replica.
    load_model(&mut silent_agent, &client, "summary-small").await;
    let mut other_agent = TestAgent::new(2);
    let mut sequence = 1;
    let replaced = async {
        loop {
            sequence += 1;
            report_entry(&client, entry_report(sequence, "summary-small", 1)).await;
            let directive = other_agent.step(&client).await;
            if let Some(grant) = directive.grants.first() {
                return grant.clone();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let grant = tokio::time::timeout(STEP_TIMEOUT, replaced).await.unwrap();
    assert_eq!(grant.endpoint, EndpointId::new("summary-2"));
    assert_eq!(
        placement_actions(&server, "summary-small").await,
        ["load", "replace"]
    );

    // When the first agent reports again, the surplus replica is revoked.
    let final_directive = silent_agent
        .step_until(&client, |directive| {
            directive.grants.iter().all(|grant| grant.is_revoked)
        })
        .await;
    assert!(final_directive.grants.len() <= 1);
    let actions = placement_actions(&server, "summary-small").await;
    assert_eq!(actions, ["load", "replace", "revoke"]);
    server.stop().await;
}

/// Guards against new requests for a leaving VM, grants that outlive a terminated VM, and an
/// outdated list that revokes the grants of a reporting agent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_list_removes_only_silent_endpoints() {
    let platform = Arc::new(FakePlatform {
        state: Mutex::new("live"),
    });
    let http = HttpServer::new("127.0.0.1:0".parse().unwrap()).unwrap();
    let url = format!("http://{}/vms", http.local_address().unwrap());
    let handle = http.serve(Arc::clone(&platform) as _).await.unwrap();
    let server = start_single_member_with(|config| {
        config.agent_silence = Duration::from_millis(1_500);
        config.platform_list = Some(url);
    })
    .await;
    let client = apply_test_configuration(&server).await;
    let mut agent = TestAgent::new(1);
    load_model(&mut agent, &client, "summary-large").await;

    // While the agent reports, a terminated VM in the list is a previous one of the same name.
    *platform.state.lock().unwrap() = "terminated";
    for _ in 0..25 {
        let directive = agent.step(&client).await;
        assert!(directive.grants.iter().any(|grant| !grant.is_revoked));
        report_entry(&client, entry_report(2, "summary-large", 1)).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    *platform.state.lock().unwrap() = "leaving";
    let endpoint = EndpointId::new("summary-1");
    let view = watch_until(&client, |view| view.endpoints[&endpoint].is_leaving).await;
    assert_eq!(view.endpoints[&endpoint].incarnation, Incarnation(1));
    *platform.state.lock().unwrap() = "terminated";
    watch_until(&client, |view| !view.endpoints.contains_key(&endpoint)).await;
    let status = send_request(server.http_address(), Method::GET, "/v1/status", &[], "").await;
    assert_eq!(parse_json(&status)["endpoints"], json!([]));
    server.stop().await;
    handle.stop().await;
}
