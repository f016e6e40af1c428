//! Tests of the drain, the HTTP paths and the metrics of the agent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use serde_json::json;
use wasabipoint_agent::AgentService;
use wasabipoint_fakes::{EngineOptions, generated_text};
use wasabipoint_http::{HttpClient, HttpServer};
use wasabipoint_kernel::{ErrorKind, RequestId, RunState};
use wasabipoint_rpc::{
    AgentReport, FrameDecoder, FramePayload, Outcome, OutcomeRequest, decode_message,
    encode_message,
};

use crate::support::{
    EngineSetup, INCARNATION, WAIT_TIMEOUT, completion_request, receive_response, send_request,
    start_engine, wait_until,
};

const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Guards against a drain that cuts off responses or accepts new requests.
#[tokio::test]
async fn a_drain_finishes_accepted_requests_and_refuses_new_ones() {
    let setup = start_engine(EngineOptions::for_tests(), "concurrency = 2\n").await;
    let mut calls = Vec::new();
    for index in 0..6 {
        let request = completion_request(&format!("prompt {index}"), &json!({"max_tokens": 50}));
        let id = request.request_id;
        let frames = setup.agent.dispatch(request);
        calls.push(tokio::spawn(receive_response(id, frames)));
    }
    wait_until("requests run", || setup.engine.state()["running"] == 2).await;
    let drain = async {
        setup.agent.drain().await;
        setup.engine.completed().len()
    };
    let late = async {
        let is_reported = |report: &AgentReport| report.is_draining;
        setup
            .control
            .wait_for_report("the drain flag", is_reported)
            .await;
        send_request(&setup.agent, completion_request("late", &json!({}))).await
    };
    let (completed, refused) =
        tokio::time::timeout(WAIT_TIMEOUT, futures::future::join(drain, late))
            .await
            .unwrap();
    assert_eq!(completed, 6, "the drain ends after the last request");
    assert_eq!(
        refused.failed,
        Some((ErrorKind::Draining, RunState::NotRun))
    );
    for (index, received) in calls.into_iter().enumerate() {
        let received = received.await.unwrap();
        assert_eq!(
            received.text(),
            generated_text(&format!("prompt {index}"), 50)
        );
    }
    assert_eq!(setup.engine.completed().len(), 6);
}

struct AgentServer {
    setup: EngineSetup,
    client: HttpClient,
    base_url: String,
}

async fn start_server() -> AgentServer {
    let setup = start_engine(EngineOptions::for_tests(), "").await;
    let server = HttpServer::new("127.0.0.1:0".parse().unwrap()).unwrap();
    let base_url = format!("http://{}", server.local_address().unwrap());
    let service = AgentService::new(Arc::clone(&setup.agent));
    server.serve(Arc::new(service)).await.unwrap();
    AgentServer {
        setup,
        client: HttpClient::new(Duration::from_secs(5)),
        base_url,
    }
}

impl AgentServer {
    async fn get(&self, path: &str) -> (u16, String) {
        let request = Request::get(format!("{}{path}", self.base_url))
            .body(Bytes::new())
            .unwrap();
        let response = self
            .client
            .fetch(request, MAX_RESPONSE_BYTES, WAIT_TIMEOUT)
            .await
            .unwrap();
        let text = String::from_utf8(response.body().to_vec()).unwrap();
        (response.status().as_u16(), text)
    }

    fn post(&self, path: &str, body: Vec<u8>) -> Request<Bytes> {
        Request::post(format!("{}{path}", self.base_url))
            .body(body.into())
            .unwrap()
    }
}

/// Guards against HTTP paths that do not reach the agent, and against frames that are altered by
/// the HTTP server.
#[tokio::test]
async fn dispatch_and_outcome_work_over_http() {
    let agent_server = start_server().await;
    let request = agent_server.post(
        "/v1/dispatch",
        encode_message(&completion_request("over http", &json!({}))),
    );
    let response = agent_server
        .client
        .fetch(request, MAX_RESPONSE_BYTES, WAIT_TIMEOUT)
        .await
        .unwrap();
    let mut decoder = FrameDecoder::new();
    decoder.push(response.body());
    let mut last = None;
    while let Some(frame) = decoder.next_frame().unwrap() {
        last = Some(frame.payload);
    }
    assert!(matches!(last, Some(FramePayload::End { .. })), "{last:?}");
    let outcome_request = OutcomeRequest {
        request_id: RequestId(1),
        incarnation: INCARNATION,
    };
    let request = agent_server.post("/v1/outcome", encode_message(&outcome_request));
    let response = agent_server
        .client
        .fetch(request, MAX_RESPONSE_BYTES, WAIT_TIMEOUT)
        .await
        .unwrap();
    let outcome: Outcome = decode_message(response.body()).unwrap();
    assert_eq!(outcome, Outcome::NotStarted);
    let request = agent_server.post("/v1/dispatch", vec![1, 2]);
    let response = agent_server
        .client
        .fetch(request, MAX_RESPONSE_BYTES, WAIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(response.status(), 400);
    assert_eq!(agent_server.get("/other").await.0, 404);
}

/// Guards against an engine request that keeps running after the entry process closed its
/// connection.
#[tokio::test]
async fn a_closed_http_connection_cancels_the_engine_request() {
    let agent_server = start_server().await;
    let long_request = completion_request("gone", &json!({"max_tokens": 1_000_000}));
    let request = agent_server.post("/v1/dispatch", encode_message(&long_request));
    let response = agent_server.client.send(request).await.unwrap();
    let engine = &agent_server.setup.engine;
    wait_until("the engine runs the request", || {
        engine.state()["running"] == 1
    })
    .await;
    drop(response);
    wait_until("the engine cancelled the request", || {
        engine.state()["running"] == 0
    })
    .await;
}

/// Guards against missing metrics and a health check that ignores the drain.
#[tokio::test]
async fn metrics_and_health_are_exposed() {
    let agent_server = start_server().await;
    assert_eq!(agent_server.get("/healthz").await, (200, "ok\n".to_owned()));
    let expected_metrics = [
        "wasabipoint_agent_accelerator_idle_seconds_total",
        "wasabipoint_agent_load_duration_seconds_bucket",
        "wasabipoint_agent_load_duration_seconds_count{otel_scope_name=\"wasabipoint-agent\"} 1",
        "wasabipoint_agent_memory_used_bytes",
        "wasabipoint_agent_requests_running",
    ];
    let (_, page) = agent_server.get("/metrics").await;
    for metric in expected_metrics {
        assert!(page.contains(metric), "{metric} is missing in\n{page}");
    }
    agent_server.setup.agent.drain().await;
    assert_eq!(agent_server.get("/healthz").await.0, 503);
}
