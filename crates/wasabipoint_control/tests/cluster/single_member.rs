//! Tests with one member: watch, placement, quota and claims.

use std::time::Duration;

use http::Method;
use wasabipoint_control::ControlServer;
use wasabipoint_kernel::{CustomerId, EndpointId, EntryId, Incarnation, ModelName, RequestId};
use wasabipoint_rpc::{
    ClaimHolder, ClaimOutcome, ClaimRequest, ControlClient, FleetUpdate, QuotaExchange, QuotaItem,
};

use crate::fixture::{
    STEP_TIMEOUT, TestAgent, apply_test_configuration, entry_report, parse_json, report_entry,
    send_request, start_single_member, watch,
};

async fn start_configured() -> (ControlServer, ControlClient) {
    let server = start_single_member().await;
    let client = apply_test_configuration(&server).await;
    (server, client)
}

/// Guards against a configuration or key change that is not delivered to a watching client.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_delivers_configuration_and_key_changes() {
    let (server, client) = start_configured().await;
    let http = server.http_address();
    let first = watch(&client, 0).await;
    let FleetUpdate::Snapshot(mut view) = first.update else {
        panic!("a client without a view gets a snapshot");
    };
    assert_eq!(view.config_version.0, 2);
    assert_eq!(view.inventory.models.len(), 2);

    let body = r#"{"customer":"harbour"}"#;
    let headers = [("change-id", "key-1")];
    let added = send_request(http, Method::POST, "/v1/keys", &headers, body).await;
    assert_eq!(added.status(), 200);
    let resent = send_request(http, Method::POST, "/v1/keys", &headers, body).await;
    assert_eq!(
        parse_json(&added),
        parse_json(&resent),
        "a resent change gets the same key"
    );

    let mut revision = first.revision;
    for key_change in ["add", "revoke"] {
        let reply = watch(&client, revision).await;
        let FleetUpdate::Delta(changes) = reply.update else {
            panic!("a client that is one revision behind gets a delta");
        };
        for change in &changes {
            view.apply(change);
        }
        revision = reply.revision;
        let id = parse_json(&added)["id"].as_str().unwrap().to_owned();
        assert_eq!(view.keys.contains_key(id.as_str()), key_change == "add");
        let path = format!("/v1/keys/{id}");
        let headers = [("change-id", "key-2")];
        let revoked = send_request(http, Method::DELETE, &path, &headers, "").await;
        assert_eq!(revoked.status(), 200);
    }
    view.revision = revision;
    let FleetUpdate::Snapshot(snapshot) = watch(&client, 0).await.update else {
        panic!("a client without a view gets a snapshot");
    };
    assert_eq!(*view, *snapshot);
    server.stop().await;
}

/// Guards against a queued request for which no replica is loaded, and against an idle replica that
/// is never unloaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_request_triggers_load_and_idle_replica_is_unloaded() {
    let (server, client) = start_configured().await;
    let mut agent = TestAgent::new(1);
    agent.step(&client).await;
    report_entry(&client, entry_report(1, "summary-small", 3)).await;
    let granted = agent
        .step_until(&client, |directive| !directive.grants.is_empty())
        .await;
    assert_eq!(granted.grants[0].model, ModelName::new("summary-small"));
    agent.step(&client).await;
    let FleetUpdate::Snapshot(view) = watch(&client, 0).await.update else {
        panic!("a client without a view gets a snapshot");
    };
    let endpoint = &view.endpoints[&EndpointId::new("summary-1")];
    assert_eq!(endpoint.models, [ModelName::new("summary-small")]);

    report_entry(&client, entry_report(2, "summary-small", 0)).await;
    agent
        .step_until(&client, |directive| directive.grants.is_empty())
        .await;
    let path = "/v1/explain/model/summary-small";
    let explained = send_request(server.http_address(), Method::GET, path, &[], "").await;
    let decisions = parse_json(&explained)["decisions"]
        .as_array()
        .unwrap()
        .clone();
    let actions: Vec<_> = decisions
        .iter()
        .map(|decision| &decision["action"])
        .collect();
    assert_eq!(actions, ["load", "unload"]);
    server.stop().await;
}

/// Guards against quota or claims that are granted twice when a call is repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_exchange_and_claim_return_the_first_result() {
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
    let mut granted_slices = Vec::new();
    for _ in 0..2 {
        let call = client.call(Duration::ZERO, STEP_TIMEOUT, |rpc, context| {
            let exchange = exchange.clone();
            async move { rpc.exchange_quota(context, exchange).await }
        });
        granted_slices.push(call.await.unwrap().slices.remove(0));
    }
    assert_eq!(granted_slices[0].slice_id, granted_slices[1].slice_id);
    assert_eq!(granted_slices[0].tokens, 600);
    assert!(granted_slices[1].lifetime_ms <= granted_slices[0].lifetime_ms);

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
        let call = client.call(Duration::ZERO, STEP_TIMEOUT, |rpc, context| async move {
            rpc.claim(context, claim(request_id)).await
        });
        assert_eq!(call.await.unwrap(), outcome);
    }
    server.stop().await;
}
