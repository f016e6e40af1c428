//! Lost agents, leaving and terminated VMs.

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
    STEP, TestAgent, call, configure, json as read_json, report_entry, start_single_with,
    waiting_report, watch_until,
};

/// A stand-in for the platform with one VM.
struct Platform {
    state: Mutex<&'static str>,
}

impl HttpHandler for Platform {
    fn handle(&self, _: HttpRequest) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>> {
        let state = *self.state.lock().unwrap();
        let vms = json!({"vms": [{"vm": "vm-1", "state": state}]});
        Box::pin(async move { json_response(StatusCode::OK, &vms) })
    }
}

async fn grant_on(agent: &mut TestAgent, client: &ControlClient, model: &str) {
    agent.step(client).await;
    report_entry(client, waiting_report(1, model, 1)).await;
    let is_granted = |grants: &[wasabipoint_rpc::Grant]| !grants.is_empty();
    agent
        .step_until(client, |directive| is_granted(&directive.grants))
        .await;
    agent.step(client).await;
}

async fn actions(server: &ControlServer, model: &str) -> Vec<String> {
    let path = format!("/v1/explain/model/{model}");
    let explained = read_json(&call(server.http_address(), Method::GET, &path, &[], "").await);
    let decisions = explained["decisions"].as_array().unwrap();
    let actions = decisions.iter().filter_map(|d| d["action"].as_str());
    actions.map(str::to_owned).collect()
}

/// Guards against a model that stays without a replica because its endpoint is silent, and against
/// a second replica that is not an explicit decision.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replica_in_doubt_is_replaced_by_an_explicit_decision() {
    let server = start_single_with(|config| {
        config.agent_silence = Duration::from_millis(500);
        config.replace_after = Duration::from_millis(500);
    })
    .await;
    let client = configure(&server).await;
    let mut lost = TestAgent::new(1);
    // The inventory allows one replica of this model.
    grant_on(&mut lost, &client, "summary-small").await;
    let mut other = TestAgent::new(2);
    let mut sequence = 1;
    let replaced = async {
        loop {
            sequence += 1;
            report_entry(&client, waiting_report(sequence, "summary-small", 1)).await;
            let directive = other.step(&client).await;
            if let Some(grant) = directive.grants.first() {
                return grant.clone();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let grant = tokio::time::timeout(STEP, replaced).await.unwrap();
    assert_eq!(grant.endpoint, EndpointId::new("summary-2"));
    assert_eq!(actions(&server, "summary-small").await, ["load", "replace"]);

    // The first agent comes back: the fleet returns to the decided number.
    let back = lost
        .step_until(&client, |directive| {
            directive.grants.iter().all(|grant| grant.is_revoked)
        })
        .await;
    assert!(back.grants.len() <= 1);
    let actions = actions(&server, "summary-small").await;
    assert_eq!(actions, ["load", "replace", "revoke"]);
    server.stop().await;
}

/// Guards against new work for a leaving VM, grants that outlive a terminated VM, and a late list
/// that takes a live agent's grants away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_list_retires_silent_endpoints_only() {
    let platform = Arc::new(Platform {
        state: Mutex::new("live"),
    });
    let http = HttpServer::new("127.0.0.1:0".parse().unwrap()).unwrap();
    let url = format!("http://{}/vms", http.local_address().unwrap());
    let handle = http.serve(Arc::clone(&platform) as _).await.unwrap();
    let server = start_single_with(|config| {
        config.agent_silence = Duration::from_millis(1_500);
        config.platform_list = Some(url);
    })
    .await;
    let client = configure(&server).await;
    let mut agent = TestAgent::new(1);
    grant_on(&mut agent, &client, "summary-large").await;

    // While the agent reports, a list that calls its VM terminated is about a predecessor.
    *platform.state.lock().unwrap() = "terminated";
    for _ in 0..25 {
        let directive = agent.step(&client).await;
        assert!(directive.grants.iter().any(|grant| !grant.is_revoked));
        report_entry(&client, waiting_report(2, "summary-large", 1)).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    *platform.state.lock().unwrap() = "leaving";
    let endpoint = EndpointId::new("summary-1");
    let view = watch_until(&client, |view| view.endpoints[&endpoint].is_leaving).await;
    assert_eq!(view.endpoints[&endpoint].incarnation, Incarnation(1));
    *platform.state.lock().unwrap() = "terminated";
    watch_until(&client, |view| !view.endpoints.contains_key(&endpoint)).await;
    let status = call(server.http_address(), Method::GET, "/v1/status", &[], "").await;
    assert_eq!(read_json(&status)["endpoints"], json!([]));
    server.stop().await;
    handle.stop().await;
}
