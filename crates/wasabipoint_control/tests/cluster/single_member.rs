//! One member.

use std::time::Duration;

use http::Method;
use wasabipoint_control::ControlServer;
use wasabipoint_kernel::{CustomerId, EndpointId, EntryId, Incarnation, ModelName, RequestId};
use wasabipoint_rpc::{
    ClaimHolder, ClaimOutcome, ClaimRequest, ControlClient, FleetUpdate, QuotaExchange, QuotaItem,
};

use crate::fixture::{
    STEP, TestAgent, call, configure, json, report_entry, start_single, waiting_report, watch,
};

async fn start_configured() -> (ControlServer, ControlClient) {
    let server = start_single().await;
    let client = configure(&server).await;
    (server, client)
}

/// Guards against a configuration or key change that does not reach a watching entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_follows_configuration_and_keys() {
    let (server, client) = start_configured().await;
    let http = server.http_address();
    let first = watch(&client, 0).await;
    let FleetUpdate::Snapshot(mut view) = first.update else {
        panic!("a caller without a view gets a snapshot");
    };
    assert_eq!(view.config_version.0, 2);
    assert_eq!(view.inventory.models.len(), 2);

    let body = r#"{"customer":"harbour"}"#;
    let headers = [("change-id", "key-1")];
    let added = call(http, Method::POST, "/v1/keys", &headers, body).await;
    assert_eq!(added.status(), 200);
    let resent = call(http, Method::POST, "/v1/keys", &headers, body).await;
    assert_eq!(
        json(&added),
        json(&resent),
        "a resent change gets the same key"
    );

    let mut revision = first.revision;
    for change in ["add", "revoke"] {
        let reply = watch(&client, revision).await;
        let FleetUpdate::Delta(changes) = reply.update else {
            panic!("a caller that is one change behind gets a delta");
        };
        for change in &changes {
            view.apply(change);
        }
        revision = reply.revision;
        let id = json(&added)["id"].as_str().unwrap().to_owned();
        assert_eq!(view.keys.contains_key(id.as_str()), change == "add");
        let path = format!("/v1/keys/{id}");
        let headers = [("change-id", "key-2")];
        let revoked = call(http, Method::DELETE, &path, &headers, "").await;
        assert_eq!(revoked.status(), 200);
    }
    view.revision = revision;
    let FleetUpdate::Snapshot(whole) = watch(&client, 0).await.update else {
        panic!("a caller without a view gets a snapshot");
    };
    assert_eq!(*view, *whole);
    server.stop().await;
}

/// Guards against a waiting request that never leads to a loaded replica, and against a replica
/// that is never given up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waiting_request_leads_to_a_grant_and_idleness_to_its_end() {
    let (server, client) = start_configured().await;
    let mut agent = TestAgent::new(1);
    agent.step(&client).await;
    report_entry(&client, waiting_report(1, "summary-small", 3)).await;
    let granted = agent
        .step_until(&client, |directive| !directive.grants.is_empty())
        .await;
    assert_eq!(granted.grants[0].model, ModelName::new("summary-small"));
    agent.step(&client).await;
    let FleetUpdate::Snapshot(view) = watch(&client, 0).await.update else {
        panic!("a caller without a view gets a snapshot");
    };
    let endpoint = &view.endpoints[&EndpointId::new("summary-1")];
    assert_eq!(endpoint.models, [ModelName::new("summary-small")]);

    report_entry(&client, waiting_report(2, "summary-small", 0)).await;
    agent
        .step_until(&client, |directive| directive.grants.is_empty())
        .await;
    let path = "/v1/explain/model/summary-small";
    let explained = call(server.http_address(), Method::GET, path, &[], "").await;
    let decisions = json(&explained)["decisions"].as_array().unwrap().clone();
    let actions: Vec<_> = decisions
        .iter()
        .map(|decision| &decision["action"])
        .collect();
    assert_eq!(actions, ["load", "unload"]);
    server.stop().await;
}

/// Guards against quota and claims that are granted twice for one repeated call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_exchange_and_claim_get_the_first_answer() {
    let (server, client) = start_configured().await;
    let exchange = QuotaExchange {
        entry: EntryId::new("entry-1"),
        incarnation: Incarnation(1),
        sequence: 1,
        items: vec![QuotaItem {
            customer: CustomerId::new("harbour"),
            settlements: Vec::new(),
            wanted_tokens: 600,
            accepts_partial: false,
        }],
    };
    let mut answers = Vec::new();
    for _ in 0..2 {
        let call = client.call(Duration::ZERO, STEP, |rpc, context| {
            let exchange = exchange.clone();
            async move { rpc.exchange_quota(context, exchange).await }
        });
        answers.push(call.await.unwrap().slices.remove(0));
    }
    assert_eq!(answers[0].slice_id, answers[1].slice_id);
    assert_eq!(answers[0].tokens, 600);
    assert!(answers[1].lifetime_ms <= answers[0].lifetime_ms);

    let claim = |request_id| ClaimRequest {
        customer: CustomerId::new("harbour"),
        idempotency_key: "berth 7".to_owned(),
        fingerprint: [1; 32],
        holder: ClaimHolder {
            request_id: RequestId(request_id),
            endpoint: EndpointId::new("ledger-1"),
            incarnation: Incarnation(4),
            address: "127.0.0.1:9".parse().unwrap(),
        },
        replaces: None,
    };
    for (request_id, outcome) in [
        (1, ClaimOutcome::Claimed),
        (1, ClaimOutcome::Claimed),
        (2, ClaimOutcome::Held(claim(1).holder)),
    ] {
        let call = client.call(Duration::ZERO, STEP, |rpc, context| async move {
            rpc.claim(context, claim(request_id)).await
        });
        assert_eq!(call.await.unwrap(), outcome);
    }
    server.stop().await;
}
