//! Tests of the operator API: authorization, refusals and metrics.

use bytes::Bytes;
use http::{Method, Request};
use wasabipoint_http::HttpClient;

use crate::fixture::{
    INVENTORY, RULES, STEP_TIMEOUT, apply_test_configuration, parse_json, send_request,
    start_single_member,
};

/// Guards against requests that are accepted with a missing, truncated or extended operator token.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_the_operator_token_is_accepted() {
    let server = start_single_member().await;
    let address = server.http_address();
    let client = HttpClient::without_pool(STEP_TIMEOUT);
    for header in [
        None,
        Some("Bearer operato"),
        Some("Bearer operator2"),
        Some("operator"),
    ] {
        for path in ["/v1/inventory", "/v1/keys", "/v1/status", "/v1/unknown"] {
            let mut request = Request::get(format!("http://{address}{path}"));
            if let Some(header) = header {
                request = request.header("authorization", header);
            }
            let request = request.body(Bytes::new()).unwrap();
            let response = client.fetch(request, 1 << 20, STEP_TIMEOUT).await.unwrap();
            assert_eq!(response.status(), 401, "{path} with {header:?}");
            assert_eq!(
                parse_json(&response)["error"]["kind"],
                "operator_unauthorized"
            );
        }
    }
    let request = Request::get(format!("http://{address}/healthz"));
    let health = client.fetch(request.body(Bytes::new()).unwrap(), 1 << 20, STEP_TIMEOUT);
    assert_eq!(health.await.unwrap().status(), 200);
    server.stop().await;
}

/// Guards against refusals of the wrong kind, from which the command line derives its exit codes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_match_the_error_table() {
    let server = start_single_member().await;
    apply_test_configuration(&server).await;
    let address = server.http_address();
    let large = "#".repeat(2 << 20);
    let lines = include_str!("../data/refusals.txt").lines();
    for line in lines.filter(|line| !line.starts_with('#')) {
        let fields: Vec<_> = line.split('|').map(str::trim).collect();
        let (method, path) = fields[0].split_once(' ').unwrap();
        let headers = fields[1].split_whitespace();
        let headers: Vec<_> = headers.filter_map(|item| item.split_once('=')).collect();
        let body = match fields[2] {
            "<rules>" => RULES,
            "<unknown policy>" => "[placement]\npolicy = magic\n",
            "<truncated inventory>" => &INVENTORY[..200],
            "<large>" => &large,
            literal => literal,
        };
        let method = Method::from_bytes(method.as_bytes()).unwrap();
        let response = send_request(address, method, path, &headers, body).await;
        let error = &parse_json(&response)["error"];
        let kind = error["kind"].as_str().unwrap();
        assert_eq!(
            format!("{} {kind}", response.status().as_u16()),
            fields[3],
            "{line}"
        );
        assert_eq!(error["run"], "not run");
    }
    let stale_headers = [("expected-version", "1"), ("change-id", "new")];
    let conflict = send_request(address, Method::PUT, "/v1/rules", &stale_headers, RULES).await;
    let message = parse_json(&conflict)["error"]["message"].to_string();
    assert!(
        message.contains("expected version 1, current version 2"),
        "{message}"
    );
    let shown = send_request(address, Method::GET, "/v1/inventory", &[], "").await;
    assert_eq!(parse_json(&shown)["version"], 2);
    assert_eq!(parse_json(&shown)["text"], INVENTORY);
    server.stop().await;
}

/// Guards against missing metrics, and against responses that contain a caller key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_are_complete_and_contain_no_key() {
    let server = start_single_member().await;
    apply_test_configuration(&server).await;
    let address = server.http_address();
    let body = r#"{"customer":"harbour"}"#;
    let headers = [("change-id", "key-1")];
    let added = send_request(address, Method::POST, "/v1/keys", &headers, body).await;
    let key = parse_json(&added)["key"].as_str().unwrap().to_owned();
    for path in ["/metrics", "/v1/keys", "/v1/status", "/v1/inventory"] {
        let response = send_request(address, Method::GET, path, &[], "").await;
        let text = String::from_utf8_lossy(response.body()).into_owned();
        assert!(!text.contains(&key), "{path} contains a key");
        if path == "/metrics" {
            for name in [
                "wasabipoint_control_revision",
                "wasabipoint_control_received_bytes_total",
                "wasabipoint_control_sent_bytes_total",
                "wasabipoint_grants",
            ] {
                assert!(text.contains(name), "{name} is missing in {text}");
            }
        }
    }
    server.stop().await;
}
