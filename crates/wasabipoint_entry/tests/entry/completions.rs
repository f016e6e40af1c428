//! Completions, service calls, and their buffered and streamed responses.

use http::Request;
use serde_json::json;
use wasabipoint_http::BodyError;

use crate::harness::{Harness, KEY, OPERATOR_TOKEN, OTHER_KEY, booking, completion, read_response};

/// Guards against responses that are lost, altered or delivered in the wrong form.
#[tokio::test(start_paused = true)]
async fn serves_buffered_streamed_and_service_calls() {
    let harness = Harness::start().await;
    let buffered = harness.complete("hello", false).await;
    assert_eq!((buffered.status, buffered.is_complete), (200, true));
    assert_eq!(buffered.json()["choices"][0]["text"], "one two");
    assert!(buffered.headers.contains_key("x-request-id"));

    let streamed = harness.complete("hello", true).await;
    assert_eq!((streamed.status, streamed.is_complete), (200, true));
    assert_eq!(streamed.headers["content-type"], "text/event-stream");
    let text = streamed.text();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert!(
        !text.contains("prompt_tokens"),
        "usage was not requested: {text}"
    );

    let called = harness.send(booking(None)).await;
    assert_eq!(called.status, 200, "{}", called.text());
    let (_, request) = harness.agents.requests().pop().unwrap();
    assert_eq!(request.path, "/pickup?day=3");
    assert_eq!(request.body, b"bay 4");
}

/// Guards against metrics that are missing or lack their unit.
#[tokio::test(start_paused = true)]
async fn metrics_include_all_request_series() {
    let harness = Harness::start().await;
    harness.complete("hello", true).await;
    harness.complete("hello", false).await;
    harness
        .send(Request::get("/v2").body(Vec::new()).unwrap())
        .await;
    let metrics = harness.metrics().await;
    for line in [
        "wasabipoint_entry_time_to_first_token_seconds_count{customer=\"delta\"",
        "wasabipoint_entry_time_between_tokens_seconds_count",
        "wasabipoint_entry_request_duration_seconds_count{customer=\"delta\"",
        "wasabipoint_entry_tokens_total{customer=\"delta\"",
        "wasabipoint_entry_refusals_total{customer=\"none\",kind=\"not_found\"",
    ] {
        assert!(metrics.contains(line), "{line} is missing:\n{metrics}");
    }
}

/// Guards against refusals with a wrong error kind, and against dispatching refused requests.
#[tokio::test(start_paused = true)]
async fn refuses_invalid_requests_with_specific_errors() {
    let harness = Harness::start().await;
    let post = |body: String| {
        Request::post("/v1/completions")
            .header("authorization", format!("Bearer {KEY}"))
            .body(body.into_bytes())
            .unwrap()
    };
    let post_model = |model: &str| post(json!({"model": model, "prompt": "p"}).to_string());
    let get_path = |path: &str| Request::get(path).body(Vec::new()).unwrap();
    let post_as_other = |path: &str| {
        let request = Request::post(path).header("authorization", format!("Bearer {OTHER_KEY}"));
        request
            .body(br#"{"model":"large","prompt":"p"}"#.to_vec())
            .unwrap()
    };
    let cases = [
        (post("{not json".to_owned()), 400, "malformed_request"),
        (
            post(json!({"model": "small"}).to_string()),
            400,
            "malformed_request",
        ),
        (
            post(json!({"model": "small", "prompt": "p", "n": 2}).to_string()),
            400,
            "malformed_request",
        ),
        (
            post(json!({"model": "small", "prompt": "p", "max_tokens": -1}).to_string()),
            400,
            "malformed_request",
        ),
        (post_model("absent"), 404, "model_unknown"),
        (post_as_other("/v1/completions"), 403, "model_not_allowed"),
        (post_as_other("/services/booking/x"), 404, "not_found"),
        (post_as_other("/services/absent/x"), 404, "not_found"),
        (get_path("/v1/completions"), 405, "method_not_allowed"),
        (get_path("/v2"), 404, "not_found"),
        (
            get_path("/v1/explain/request/00"),
            401,
            "operator_unauthorized",
        ),
    ];
    for (request, status, kind) in cases {
        let response = harness.send(request).await;
        assert_eq!(
            (response.status, response.kind().as_str()),
            (status, kind),
            "{}",
            response.text()
        );
        assert_eq!(response.run(), "not run");
        assert!(response.headers.contains_key("x-request-id"));
    }
    let large = completion(KEY, "p", false).map(|_| Err(BodyError::TooLarge));
    let response = read_response(harness.entry.handle_request(large).await).await;
    assert_eq!(
        (response.status, response.kind().as_str()),
        (413, "body_too_large")
    );
    assert_eq!(harness.agents.executions(), 0);
}

/// Guards against routing decisions that operators cannot look up. Access without the operator
/// token is tested in `refuses_invalid_requests_with_specific_errors`.
#[tokio::test(start_paused = true)]
async fn explains_a_request_to_operators() {
    let harness = Harness::start().await;
    let response = harness.complete("hello", false).await;
    let id = response.headers["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    let request = |id: &str| {
        Request::get(format!("/v1/explain/request/{id}"))
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Vec::new())
            .unwrap()
    };
    let explained = harness.send(request(&id)).await;
    assert_eq!(explained.status, 200);
    let decision = &explained.json()["decisions"][0];
    assert_eq!(decision["customer"], "delta");
    assert_eq!(decision["others"].as_array().unwrap().len(), 1);
    assert_eq!(harness.send(request("0")).await.status, 404);
}

/// Guards against a model list that contains models of other customers.
#[tokio::test(start_paused = true)]
async fn lists_the_models_of_the_customer() {
    let harness = Harness::start().await;
    let request = Request::get("/v1/models")
        .header("authorization", format!("Bearer {OTHER_KEY}"))
        .body(Vec::new())
        .unwrap();
    let data = harness.send(request).await.json()["data"].clone();
    assert_eq!(data.as_array().unwrap().len(), 1);
    assert_eq!(data[0]["id"], "small");
}

/// Guards against passing the name of an adapter to the engine as the model name.
#[tokio::test(start_paused = true)]
async fn resolves_an_adapter_to_its_model() {
    let harness = Harness::start().await;
    let body = json!({"model": "dialect", "messages": [{"role": "user", "content": "hi"}]});
    let request = Request::post("/v1/chat/completions")
        .header("authorization", format!("Bearer {KEY}"))
        .body(body.to_string().into_bytes())
        .unwrap();
    assert_eq!(harness.send(request).await.status, 200);
    let (_, sent) = harness.agents.requests().pop().unwrap();
    assert_eq!(sent.model.unwrap().as_str(), "small");
    assert_eq!(sent.adapter.unwrap().as_str(), "dialect");
}
