//! Tests of loading adapters on first use and of evicting them.

use serde_json::json;
use wasabipoint_fakes::{EngineOptions, generated_text};
use wasabipoint_kernel::{AdapterName, ErrorKind, ModelName, RunState};

use crate::support::{
    EngineSetup, completion_request, send_request, start_engine, wait_until, with_adapter,
};

/// Starts an engine with 1,000 MiB of usable memory, model `m` of 400 MiB loaded, and adapters `a0`
/// to `a9` of 250 MiB that are not loaded.
async fn start() -> EngineSetup {
    let setup = start_engine(
        EngineOptions {
            memory_mib: 1_200,
            adapter_load_ms: 20,
            ..EngineOptions::for_tests()
        },
        "",
    )
    .await;
    setup.control.update_directive(|directive| {
        directive.adapters = (0..10)
            .map(|index| {
                (
                    AdapterName::new(format!("a{index}")),
                    ModelName::new("m"),
                    250,
                )
            })
            .collect();
    });
    // The response to the first report carries the new directive, and the second report is sent
    // after the agent has applied it.
    setup.control.wait_for_report("any state", |_| true).await;
    setup.control.wait_for_report("any state", |_| true).await;
    setup
}

fn loaded_adapters(setup: &EngineSetup) -> Vec<String> {
    serde_json::from_value(setup.engine.state()["adapters"].clone()).unwrap()
}

/// Guards against a wrong eviction order, and against adapters that use the KV reserve.
#[tokio::test]
async fn the_least_recently_used_idle_adapter_is_evicted() {
    let setup = start().await;
    for adapter in ["a0", "a1", "a0", "a2"] {
        let request = with_adapter(completion_request(adapter, &json!({})), adapter);
        let received = send_request(&setup.agent, request).await;
        assert_eq!(received.text(), generated_text(adapter, 8));
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
    assert_eq!(loaded_adapters(&setup), ["a0", "a2"]);
    assert_eq!(setup.engine.state()["peak_memory_mib"], 900);
}

/// Guards against evicting an adapter that a running request uses.
#[tokio::test]
async fn adapters_in_use_are_kept() {
    let setup = start().await;
    let long = |adapter: &str| {
        with_adapter(
            completion_request(adapter, &json!({"max_tokens": 1_000_000})),
            adapter,
        )
    };
    let _frame_receivers = [
        setup.agent.dispatch(long("a0")),
        setup.agent.dispatch(long("a1")),
    ];
    wait_until("both adapters are loaded", || {
        loaded_adapters(&setup) == ["a0", "a1"]
    })
    .await;
    wait_until("both run", || setup.engine.state()["running"] == 2).await;
    let request = with_adapter(completion_request("third", &json!({})), "a2");
    let received = send_request(&setup.agent, request).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::MemoryFull, RunState::NotRun))
    );
    let unknown = with_adapter(completion_request("unknown", &json!({})), "none");
    let received = send_request(&setup.agent, unknown).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::ModelUnknown, RunState::NotRun))
    );
}

/// Guards against more concurrent adapter loads than control allows, and against a separate load
/// for each request.
#[tokio::test]
async fn concurrent_adapter_loads_stay_within_the_limit() {
    let setup = start().await;
    setup.control.update_directive(|directive| {
        for (_, _, memory_mib) in &mut directive.adapters {
            *memory_mib = 10;
        }
    });
    // The response to the first report carries the new directive, and the second report is sent
    // after the agent has applied it.
    setup.control.wait_for_report("any state", |_| true).await;
    setup.control.wait_for_report("any state", |_| true).await;
    let mut calls = Vec::new();
    for index in 0..30 {
        let adapter = format!("a{}", index % 10);
        let request = with_adapter(completion_request(&adapter, &json!({})), &adapter);
        let id = request.request_id;
        let frames = setup.agent.dispatch(request);
        calls.push(tokio::spawn(crate::support::receive_response(id, frames)));
    }
    for (index, received) in calls.into_iter().enumerate() {
        let expected = generated_text(&format!("a{}", index % 10), 8);
        assert_eq!(received.await.unwrap().text(), expected);
    }
    assert_eq!(loaded_adapters(&setup).len(), 10);
    assert_eq!(setup.engine.state()["peak_adapters_in_transit"], 2);
}

/// Guards against overcommitted memory when a burst of requests needs more adapters than fit.
#[tokio::test]
async fn a_burst_of_requests_for_many_adapters_stays_within_memory() {
    let setup = start().await;
    let mut calls = Vec::new();
    for index in 0..40 {
        let adapter = format!("a{}", index % 10);
        let mut request = with_adapter(completion_request(&adapter, &json!({})), &adapter);
        request.remaining_ms = 50_000;
        let id = request.request_id;
        calls.push(tokio::spawn(crate::support::receive_response(
            id,
            setup.agent.dispatch(request),
        )));
    }
    for received in calls {
        let received = received.await.unwrap();
        let is_short = received.failed == Some((ErrorKind::MemoryFull, RunState::NotRun));
        assert!(received.end.is_some() || is_short, "{received:?}");
    }
    assert!(setup.engine.state()["peak_memory_mib"].as_u64().unwrap() <= 1_000);
}
