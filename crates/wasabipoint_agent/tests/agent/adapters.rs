//! Adapters on first use, and their eviction.

use serde_json::json;
use wasabipoint_fakes::{EngineOptions, answer_text};
use wasabipoint_kernel::{AdapterName, ErrorKind, ModelName, RunState};

use crate::support::{EngineSetup, call, completion, start_engine, wait_until, with_adapter};

/// Starts with model `m` of 400 MiB and adapters `a0` to `a9` of 250 MiB in 1,000 MiB.
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
    setup.control.change(|directive| {
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
    setup.control.wait_for("any state", |_| true).await;
    setup.control.wait_for("any state", |_| true).await;
    setup
}

fn loaded(setup: &EngineSetup) -> Vec<String> {
    serde_json::from_value(setup.engine.state()["adapters"].clone()).unwrap()
}

/// Guards against the wrong eviction order and against memory beyond the KV reserve.
#[tokio::test]
async fn the_least_recently_used_idle_adapter_is_evicted() {
    let setup = start().await;
    for adapter in ["a0", "a1", "a0", "a2"] {
        let request = with_adapter(completion(adapter, &json!({})), adapter);
        let received = call(&setup.agent, request).await;
        assert_eq!(received.text(), answer_text(adapter, 8));
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
    assert_eq!(loaded(&setup), ["a0", "a2"]);
    assert_eq!(setup.engine.state()["peak_memory_mib"], 900);
}

/// Guards against evicting an adapter under a running request.
#[tokio::test]
async fn adapters_in_use_are_kept() {
    let setup = start().await;
    let long = |adapter: &str| {
        with_adapter(
            completion(adapter, &json!({"max_tokens": 1_000_000})),
            adapter,
        )
    };
    let _held = [
        setup.agent.dispatch(long("a0")),
        setup.agent.dispatch(long("a1")),
    ];
    wait_until("both adapters are loaded", || {
        loaded(&setup) == ["a0", "a1"]
    })
    .await;
    wait_until("both run", || setup.engine.state()["running"] == 2).await;
    let request = with_adapter(completion("third", &json!({})), "a2");
    let received = call(&setup.agent, request).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::MemoryFull, RunState::NotRun))
    );
    let unknown = with_adapter(completion("unknown", &json!({})), "none");
    let received = call(&setup.agent, unknown).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::ModelUnknown, RunState::NotRun))
    );
}

/// Guards against more adapters in transit than the endpoint's share, and against one load per
/// request.
#[tokio::test]
async fn adapter_loads_stay_within_the_transit_share() {
    let setup = start().await;
    setup.control.change(|directive| {
        for (_, _, memory_mib) in &mut directive.adapters {
            *memory_mib = 10;
        }
    });
    setup.control.wait_for("any state", |_| true).await;
    setup.control.wait_for("any state", |_| true).await;
    let mut calls = Vec::new();
    for index in 0..30 {
        let adapter = format!("a{}", index % 10);
        let request = with_adapter(completion(&adapter, &json!({})), &adapter);
        let id = request.request_id;
        let frames = setup.agent.dispatch(request);
        calls.push(tokio::spawn(crate::support::receive(id, frames)));
    }
    for (index, received) in calls.into_iter().enumerate() {
        let expected = answer_text(&format!("a{}", index % 10), 8);
        assert_eq!(received.await.unwrap().text(), expected);
    }
    assert_eq!(loaded(&setup).len(), 10);
    assert_eq!(setup.engine.state()["peak_adapters_in_transit"], 2);
}

/// Guards against more adapters in memory than fit when a burst needs many.
#[tokio::test]
async fn a_burst_over_many_adapters_stays_within_memory() {
    let setup = start().await;
    let mut calls = Vec::new();
    for index in 0..40 {
        let adapter = format!("a{}", index % 10);
        let mut request = with_adapter(completion(&adapter, &json!({})), &adapter);
        request.remaining_ms = 50_000;
        let id = request.request_id;
        calls.push(tokio::spawn(crate::support::receive(
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
