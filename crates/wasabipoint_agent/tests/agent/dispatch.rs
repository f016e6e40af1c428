//! Tests of dispatch to a model engine.

use serde_json::json;
use wasabipoint_fakes::{EngineFaults, EngineOptions, ResponseFaults, generated_text};
use wasabipoint_kernel::{ErrorKind, Incarnation, ModelName, RunState};
use wasabipoint_rpc::ReplicaState;

use crate::support::{
    EngineSetup, completion_request, find_replica_state, send_request, start_engine, wait_until,
};

const ENDPOINT_FAILED: Option<(ErrorKind, RunState)> =
    Some((ErrorKind::EndpointFailed, RunState::Unknown));

fn engine_faults(response: ResponseFaults) -> EngineFaults {
    EngineFaults {
        response,
        ..EngineFaults::default()
    }
}

async fn start() -> EngineSetup {
    start_engine(EngineOptions::for_tests(), "").await
}

fn running_requests(setup: &EngineSetup) -> u64 {
    setup.engine.state()["running"].as_u64().unwrap()
}

/// Guards against responses that are lost, altered or reordered between the engine and the entry
/// process.
#[tokio::test]
async fn streams_a_completion_of_a_granted_model() {
    let setup = start().await;
    let received = send_request(&setup.agent, completion_request("good morning", &json!({}))).await;
    assert_eq!(received.text(), generated_text("good morning", 8));
    assert_eq!(received.head.unwrap().0, 200);
    let non_streaming =
        completion_request("good morning", &json!({"stream": false, "model": "other"}));
    let received = send_request(&setup.agent, non_streaming).await;
    assert!(received.end.is_some());
    let body: serde_json::Value = serde_json::from_slice(&received.data).unwrap();
    assert_eq!(
        body["choices"][0]["text"],
        generated_text("good morning", 8)
    );
}

/// Guards against forwarding the response to another request, whether it starts with the first byte
/// or in the middle of the response.
#[tokio::test]
async fn a_response_to_another_request_fails() {
    let setup = start().await;
    let other_request = completion_request("victim", &json!({}));
    assert!(
        send_request(&setup.agent, other_request)
            .await
            .end
            .is_some()
    );
    for (is_streamed, own_chunks) in [(true, 0), (true, 3), (false, 0)] {
        setup.engine.set_faults(engine_faults(ResponseFaults {
            crossed: 1,
            crossed_after_chunks: own_chunks,
            ..ResponseFaults::default()
        }));
        let request = completion_request("caller", &json!({"stream": is_streamed}));
        let received = send_request(&setup.agent, request).await;
        assert_eq!(received.failed, ENDPOINT_FAILED);
        let data = String::from_utf8(received.data).unwrap();
        let other_text = generated_text("victim", 1);
        assert!(
            !data.contains(other_text.split('-').next().unwrap()),
            "{data}"
        );
        assert_eq!(received.head.is_some(), own_chunks > 0);
        let next = send_request(&setup.agent, completion_request("next", &json!({}))).await;
        assert_eq!(next.text(), generated_text("next", 8));
    }
}

/// Guards against a truncated response that looks complete.
#[tokio::test]
async fn a_truncated_response_fails() {
    let setup = start().await;
    let truncated = ResponseFaults {
        truncated: 1,
        ..ResponseFaults::default()
    };
    let unfinished = ResponseFaults {
        unfinished: 1,
        ..ResponseFaults::default()
    };
    for faults in [truncated, unfinished] {
        for is_streamed in [true, false] {
            setup.engine.set_faults(engine_faults(faults.clone()));
            let request = completion_request("caller", &json!({"stream": is_streamed}));
            let received = send_request(&setup.agent, request).await;
            assert_eq!(received.failed, ENDPOINT_FAILED, "{faults:?}");
            assert!(received.end.is_none());
        }
    }
}

/// Guards against an entry process that takes a slow engine for an unresponsive agent.
#[tokio::test]
async fn heartbeats_are_sent_during_a_delayed_response() {
    let setup = start().await;
    setup.engine.set_faults(engine_faults(ResponseFaults {
        late: 1,
        late_ms: 1_300,
        ..ResponseFaults::default()
    }));
    let received = send_request(&setup.agent, completion_request("late", &json!({}))).await;
    assert_eq!(received.text(), generated_text("late", 8));
    assert!(received.heartbeats >= 2, "{}", received.heartbeats);
}

/// Guards against an engine request that keeps running after the caller disconnected, before or
/// during the response.
#[tokio::test]
async fn a_closed_entry_connection_cancels_the_engine_request() {
    let setup = start().await;
    for is_silent in [true, false] {
        setup.engine.set_faults(engine_faults(ResponseFaults {
            silent: u32::from(is_silent),
            ..ResponseFaults::default()
        }));
        let request = completion_request("gone", &json!({"max_tokens": 1_000_000}));
        let id = request.request_id.to_string();
        let mut frames = setup.agent.dispatch(request);
        wait_until("the engine runs the request", || {
            running_requests(&setup) == 1
        })
        .await;
        assert!(frames.recv().await.is_some());
        drop(frames);
        wait_until("the engine cancelled the request", || {
            running_requests(&setup) == 0
        })
        .await;
        assert!(!setup.engine.completed().contains_key(&id));
    }
    let next = send_request(&setup.agent, completion_request("next", &json!({}))).await;
    assert_eq!(next.text(), generated_text("next", 8));
}

/// Guards against requests that run although they were refused as not run.
#[tokio::test]
async fn refuses_requests_that_cannot_run() {
    let setup = start().await;
    let base = completion_request("refused", &json!({}));
    let mut late = base.clone();
    late.remaining_ms = 0;
    let mut unknown_model = base.clone();
    unknown_model.model = Some(ModelName::new("unknown"));
    let mut old = base.clone();
    old.incarnation = Incarnation(6);
    let mut administrative = base.clone();
    administrative.path = "/admin/unload".to_owned();
    let mut malformed = base.clone();
    malformed.body = b"[]".to_vec();
    let cases = [
        (late, ErrorKind::DeadlineExceeded),
        (unknown_model, ErrorKind::NoEndpoint),
        (old, ErrorKind::FencingStale),
        (administrative, ErrorKind::MalformedRequest),
        (malformed, ErrorKind::MalformedRequest),
    ];
    for (mut request, kind) in cases {
        request.request_id = wasabipoint_kernel::RequestId::random();
        let received = send_request(&setup.agent, request).await;
        assert_eq!(received.failed, Some((kind, RunState::NotRun)));
    }
    assert!(setup.engine.completed().is_empty());
}

/// Guards against a request that runs after waiting past its deadline, and against requests that
/// overtake ones of higher priority.
#[tokio::test]
async fn slots_are_limited_and_assigned_by_priority() {
    let setup = start_engine(EngineOptions::for_tests(), "concurrency = 1\n").await;
    let holder = setup.agent.dispatch(completion_request(
        "holder",
        &json!({"max_tokens": 1_000_000}),
    ));
    wait_until("the slot is taken", || running_requests(&setup) == 1).await;
    let mut short = completion_request("short", &json!({}));
    short.remaining_ms = 50;
    let received = send_request(&setup.agent, short).await;
    let expected = Some((ErrorKind::DeadlineExceeded, RunState::NotRun));
    assert_eq!(received.failed, expected);
    let (order, mut finished) = tokio::sync::mpsc::unbounded_channel();
    for priority in [1, 3, 9] {
        let mut request = completion_request("waiting", &json!({}));
        request.priority = priority;
        let frames = setup.agent.dispatch(request.clone());
        let order = order.clone();
        tokio::spawn(async move {
            crate::support::receive_response(request.request_id, frames).await;
            order.send(priority).unwrap();
        });
        // Each request queues before the next, so that arrival order alone would give 1, 3, 9.
        tokio::task::yield_now().await;
    }
    tokio::task::yield_now().await;
    drop(holder);
    let mut seen = Vec::new();
    for _ in 0..3 {
        seen.push(finished.recv().await.unwrap());
    }
    assert_eq!(seen, [9, 3, 1]);
}

/// Guards against an engine restart that is not reported or leaves requests waiting.
#[tokio::test]
async fn an_engine_exit_fails_requests_and_is_reported() {
    let setup = start().await;
    let request = completion_request("cut", &json!({"max_tokens": 1_000_000}));
    let id = request.request_id;
    let frames = setup.agent.dispatch(request);
    wait_until("the engine runs the request", || {
        running_requests(&setup) == 1
    })
    .await;
    let seen = setup.control.reports().len();
    setup.engine.exit();
    let received = crate::support::receive_response(id, frames).await;
    assert_eq!(received.failed, ENDPOINT_FAILED);
    setup.control.wait_for_loaded("m").await;
    wait_until("the model was loaded again", || {
        setup.engine.state()["models"][0]["state"] == "loaded"
    })
    .await;
    setup.control.wait_for_loaded("m").await;
    let reports = setup.control.reports();
    let was_absent = reports[seen..]
        .iter()
        .any(|report| find_replica_state(report, "m") != Some(ReplicaState::Loaded));
    assert!(was_absent, "the loss was reported");
    let next = send_request(&setup.agent, completion_request("next", &json!({}))).await;
    assert_eq!(next.text(), generated_text("next", 8));
}

/// Guards against reports from which control concludes that the replicas of an unreachable engine
/// are released, and against requests to it that count as run.
#[tokio::test]
async fn an_unreachable_engine_is_reported_as_unknown() {
    let EngineSetup {
        engine,
        control,
        agent,
    } = start().await;
    drop(engine);
    let received = send_request(&agent, completion_request("unreachable", &json!({}))).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::NoEndpoint, RunState::NotRun))
    );
    control
        .wait_for_report("an unknown engine state", |report| !report.has_engine_state)
        .await;
    let reports = control.reports();
    let mut after_loaded = reports
        .iter()
        .skip_while(|report| find_replica_state(report, "m") != Some(ReplicaState::Loaded));
    assert!(after_loaded.all(|report| !report.has_engine_state
        || find_replica_state(report, "m") == Some(ReplicaState::Loaded)));
}

/// Guards against cache events that never reach the entry process, or whose gaps are not reported.
#[tokio::test]
async fn cache_events_are_sent_with_the_end_of_a_response() {
    let setup = start().await;
    let prompt = "the same large prompt every morning ".repeat(30);
    let text = wasabipoint_fakes::completion_text("m", &prompt);
    let blocks = wasabipoint_fakes::prefix_hashes(&text);
    send_request(&setup.agent, completion_request(&prompt, &json!({}))).await;
    let mut known = 0;
    let mut events = Vec::new();
    let collect = async {
        while events.len() < blocks.len() {
            let mut request = completion_request("short", &json!({}));
            request.known_cache_sequence = known;
            let load = send_request(&setup.agent, request).await.end.unwrap();
            assert!(!load.has_cache_gap);
            known = load.cache_sequence;
            events.extend(load.cache_events);
        }
    };
    tokio::time::timeout(crate::support::WAIT_TIMEOUT, collect)
        .await
        .unwrap();
    let stored = blocks.into_iter().map(wasabipoint_rpc::CacheEvent::Stored);
    assert_eq!(events, stored.collect::<Vec<_>>());
    let mut ahead = completion_request("short", &json!({}));
    ahead.known_cache_sequence = known + 10;
    assert!(
        send_request(&setup.agent, ahead)
            .await
            .end
            .unwrap()
            .has_cache_gap
    );
    setup.engine.exit();
    wait_until("the model was loaded again", || {
        setup.engine.state()["models"][0]["state"] == "loaded"
    })
    .await;
    setup.control.wait_for_loaded("m").await;
    let mut behind = completion_request("short", &json!({}));
    behind.known_cache_sequence = known;
    assert!(
        send_request(&setup.agent, behind)
            .await
            .end
            .unwrap()
            .has_cache_gap
    );
}
