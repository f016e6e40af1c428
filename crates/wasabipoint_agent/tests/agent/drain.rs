//! Drain, and the paths and metrics of the agent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use serde_json::json;
use wasabipoint_agent::AgentService;
use wasabipoint_fakes::{EngineOptions, answer_text};
use wasabipoint_http::{HttpClient, HttpServer};
use wasabipoint_kernel::{ErrorKind, RequestId, RunState};
use wasabipoint_rpc::{
    AgentReport, Frame, FrameDecoder, Outcome, OutcomeRequest, decode_message, encode_message,
};

use crate::support::{
    EngineSetup, INCARNATION, WAIT_TIMEOUT, call, completion, receive, start_engine, wait_until,
};

const MAX_BYTES: usize = 1 << 20;

/// Guards against responses that a drain cuts, and against work accepted during a drain.
#[tokio::test]
async fn a_drain_finishes_what_runs_and_refuses_the_rest() {
    let setup = start_engine(EngineOptions::for_tests(), "concurrency = 2\n").await;
    let mut calls = Vec::new();
    for index in 0..6 {
        let request = completion(&format!("prompt {index}"), &json!({"max_tokens": 50}));
        let id = request.request_id;
        let frames = setup.agent.dispatch(request);
        calls.push(tokio::spawn(receive(id, frames)));
    }
    wait_until("requests run", || setup.engine.state()["running"] == 2).await;
    let drain = async {
        setup.agent.drain().await;
        setup.engine.completed().len()
    };
    let late = async {
        let is_reported = |report: &AgentReport| report.is_draining;
        setup.control.wait_for("the drain flag", is_reported).await;
        call(&setup.agent, completion("late", &json!({}))).await
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
        assert_eq!(received.text(), answer_text(&format!("prompt {index}"), 50));
    }
    assert_eq!(setup.engine.completed().len(), 6);
}

struct Served {
    setup: EngineSetup,
    client: HttpClient,
    base: String,
}

async fn serve() -> Served {
    let setup = start_engine(EngineOptions::for_tests(), "").await;
    let server = HttpServer::new("127.0.0.1:0".parse().unwrap()).unwrap();
    let base = format!("http://{}", server.local_address().unwrap());
    let service = AgentService::new(Arc::clone(&setup.agent));
    server.serve(Arc::new(service)).await.unwrap();
    Served {
        setup,
        client: HttpClient::new(Duration::from_secs(5)),
        base,
    }
}

impl Served {
    async fn get(&self, path: &str) -> (u16, String) {
        let request = Request::get(format!("{}{path}", self.base))
            .body(Bytes::new())
            .unwrap();
        let response = self
            .client
            .fetch(request, MAX_BYTES, WAIT_TIMEOUT)
            .await
            .unwrap();
        let text = String::from_utf8(response.body().to_vec()).unwrap();
        (response.status().as_u16(), text)
    }

    fn post(&self, path: &str, body: Vec<u8>) -> Request<Bytes> {
        Request::post(format!("{}{path}", self.base))
            .body(body.into())
            .unwrap()
    }
}

/// Guards against paths that do not reach the agent, and frames that change on the way.
#[tokio::test]
async fn dispatch_and_outcome_work_over_http() {
    let served = serve().await;
    let request = served.post(
        "/v1/dispatch",
        encode_message(&completion("over http", &json!({}))),
    );
    let response = served
        .client
        .fetch(request, MAX_BYTES, WAIT_TIMEOUT)
        .await
        .unwrap();
    let mut decoder = FrameDecoder::new();
    decoder.push(response.body());
    let mut last = None;
    while let Some(frame) = decoder.next_frame().unwrap() {
        last = Some(frame.frame);
    }
    assert!(matches!(last, Some(Frame::End { .. })), "{last:?}");
    let question = OutcomeRequest {
        request_id: RequestId(1),
        incarnation: INCARNATION,
    };
    let request = served.post("/v1/outcome", encode_message(&question));
    let response = served
        .client
        .fetch(request, MAX_BYTES, WAIT_TIMEOUT)
        .await
        .unwrap();
    let outcome: Outcome = decode_message(response.body()).unwrap();
    assert_eq!(outcome, Outcome::NotStarted);
    let request = served.post("/v1/dispatch", vec![1, 2]);
    let response = served
        .client
        .fetch(request, MAX_BYTES, WAIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(response.status(), 400);
    assert_eq!(served.get("/other").await.0, 404);
}

/// Guards against engine work that goes on after the entry's connection was closed.
#[tokio::test]
async fn a_closed_http_connection_cancels_the_engine_request() {
    let served = serve().await;
    let endless = completion("gone", &json!({"max_tokens": 1_000_000}));
    let request = served.post("/v1/dispatch", encode_message(&endless));
    let response = served.client.send(request).await.unwrap();
    let engine = &served.setup.engine;
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

/// Guards against missing measures and a health check that ignores the drain.
#[tokio::test]
async fn metrics_and_health_are_exposed() {
    let served = serve().await;
    assert_eq!(served.get("/healthz").await, (200, "ok\n".to_owned()));
    let measures = [
        "wasabipoint_agent_accelerator_idle_seconds_total",
        "wasabipoint_agent_load_duration_seconds_bucket",
        "wasabipoint_agent_load_duration_seconds_count{otel_scope_name=\"wasabipoint-agent\"} 1",
        "wasabipoint_agent_memory_used_bytes",
        "wasabipoint_agent_requests_running",
    ];
    let (_, page) = served.get("/metrics").await;
    for measure in measures {
        assert!(page.contains(measure), "{measure} is missing in\n{page}");
    }
    served.setup.agent.drain().await;
    assert_eq!(served.get("/healthz").await.0, 503);
}
