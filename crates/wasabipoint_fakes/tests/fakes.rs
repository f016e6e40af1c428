//! Tests of the behaviour of the fakes that other tests and experiments rely on.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;

use http::Request;
use serde_json::{Value, json};
use wasabipoint_fakes::{
    EngineOptions, FakeEngine, FakePlatform, FakeStore, HistoryKind, PlatformOptions, StoreOptions,
    VmState, completion_text, prefix_hashes,
};
use wasabipoint_http::HttpClient;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn post(address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let request = Request::post(format!("http://{address}{path}"))
        .body(body.to_string().into())
        .unwrap();
    let client = HttpClient::without_pool(Duration::from_secs(5));
    let response = client
        .fetch(request, 1 << 20, Duration::from_secs(50))
        .await
        .unwrap();
    let value = serde_json::from_slice(response.body()).unwrap();
    (response.status().as_u16(), value)
}

async fn get(address: SocketAddr, path: &str) -> Value {
    let request = Request::get(format!("http://{address}{path}"))
        .body("".into())
        .unwrap();
    let client = HttpClient::without_pool(Duration::from_secs(5));
    let response = client
        .fetch(request, 1 << 20, Duration::from_secs(50))
        .await
        .unwrap();
    serde_json::from_slice(response.body()).unwrap()
}

/// Guards against a fake engine that accepts stale fencing tokens or exceeds its memory.
#[tokio::test]
async fn the_engine_checks_fencing_and_memory() {
    let engine = FakeEngine::start(EngineOptions::for_tests()).await.unwrap();
    let load = |model: &str, token: u64, mib: u64| {
        let body = json!({"model": model, "version": 1, "memory_mib": mib, "fencing_token": token});
        let address = engine.address();
        async move { post(address, "/admin/load", &body).await }
    };
    assert_eq!(load("a", 5, 600).await.0, 200);
    let refusal = json!({"error": "stale_fencing_token", "highest": 5});
    assert_eq!(load("a", 4, 600).await, (409, refusal));
    assert_eq!(load("b", 3, 401).await.0, 507);
    assert_eq!(load("b", 4, 400).await.0, 200);
    let unload = json!({"model": "a", "fencing_token": 6});
    assert_eq!(
        post(engine.address(), "/admin/unload", &unload).await.0,
        200
    );
    let state = get(engine.address(), "/admin/state").await;
    assert_eq!(
        (&state["peak_memory_mib"], &state["memory_used_mib"]),
        (&json!(1_000), &json!(400))
    );
    let kinds: Vec<_> = engine.history().iter().map(|event| event.kind).collect();
    assert!(kinds.contains(&HistoryKind::Fenced) && kinds.contains(&HistoryKind::MemoryShort));
}

/// Guards against cache events whose hashes differ from `prefix_hashes`, and against a lost event
/// that is not reported as a gap.
#[tokio::test]
async fn cache_events_match_the_prompt_and_show_gaps() {
    let engine = FakeEngine::start(EngineOptions::for_tests()).await.unwrap();
    let load = json!({"model": "m", "version": 1, "memory_mib": 1, "fencing_token": 1});
    post(engine.address(), "/admin/load", &load).await;
    let prompt = "x".repeat(600);
    let completion = json!({"model": "m", "prompt": prompt, "max_tokens": 1});
    post(engine.address(), "/v1/completions", &completion).await;
    let hashes = prefix_hashes(&completion_text("m", &prompt));
    let page = get(engine.address(), "/admin/cache_events?after=0").await;
    let expected = json!({"events": [
        {"sequence": 1, "stored": hashes[0]}, {"sequence": 2, "stored": hashes[1]},
    ], "last": 2, "has_gap": false});
    assert_eq!(page, expected);
    let faults = json!({"lost_cache_events": 1});
    post(engine.address(), "/admin/faults", &faults).await;
    let second_completion = json!({"model": "m", "prompt": "y".repeat(600), "max_tokens": 1});
    post(engine.address(), "/v1/completions", &second_completion).await;
    let page = get(engine.address(), "/admin/cache_events?after=2").await;
    assert_eq!((&page["last"], &page["has_gap"]), (&json!(4), &json!(true)));
}

/// Guards against a fake store that starts more loads per second than configured.
#[tokio::test]
async fn the_store_limits_load_starts_per_second() {
    let store = FakeStore::start(StoreOptions {
        listen: LOOPBACK,
        loads_per_s: 20,
        loads_at_once: 2,
        adapters_in_transit: 30,
        mib_per_s: 1_000_000,
        adapter_mib: 10,
    })
    .await
    .unwrap();
    let start = std::time::Instant::now();
    let fetch = |mib: u64| {
        let address = store.address();
        async move { post(address, "/fetch", &json!({"name": "m", "mib": mib})).await }
    };
    let responses = futures::future::join_all((0..5).map(|_| fetch(1_000))).await;
    assert!(responses.iter().all(|(status, _)| *status == 200));
    assert!(
        start.elapsed() >= Duration::from_millis(200),
        "five load starts must span four intervals"
    );
}

/// Guards against a fake engine that loads without a fetch from its store, or fetches a checkpoint
/// again although it is on disk.
#[tokio::test]
async fn the_engine_fetches_only_checkpoints_that_are_not_on_disk() {
    let store = FakeStore::start(StoreOptions {
        listen: LOOPBACK,
        loads_per_s: 1_000,
        loads_at_once: 4,
        adapters_in_transit: 30,
        mib_per_s: 100_000,
        adapter_mib: 10,
    })
    .await
    .unwrap();
    let engine = FakeEngine::start(EngineOptions {
        store: Some(store.address()),
        disk_checkpoints: 1,
        ..EngineOptions::for_tests()
    })
    .await
    .unwrap();
    let load = json!({"model": "m", "version": 1, "memory_mib": 500, "fencing_token": 1});
    let adapter = json!({"adapter": "a", "model": "m", "version": 1, "memory_mib": 5});
    for fetched in [2, 3] {
        assert_eq!(post(engine.address(), "/admin/load", &load).await.0, 200);
        let response = post(engine.address(), "/admin/load_adapter", &adapter).await;
        assert_eq!(response.0, 200);
        assert_eq!(
            get(store.address(), "/admin/state").await["fetched"],
            fetched
        );
        let state = get(engine.address(), "/admin/state").await;
        let disk = json!([{"model": "m", "tier": "disk"}]);
        assert_eq!(
            (&state["adapters"], &state["checkpoints"]),
            (&json!(["a"]), &disk)
        );
        post(engine.address(), "/admin/unload", &load).await;
    }
}

/// Guards against a fake VM list that shows a change before the lag has passed.
#[tokio::test]
async fn the_vm_list_shows_changes_after_the_lag() {
    let platform = FakePlatform::start(PlatformOptions {
        listen: LOOPBACK,
        lag_ms: 100_000,
        vms: vec!["vm-1".to_owned()],
    })
    .await
    .unwrap();
    platform.set_vm("vm-1", VmState::Leaving);
    let live = json!({"vms": [{"vm": "vm-1", "state": "live"}]});
    assert_eq!(get(platform.address(), "/vms").await, live);
    post(platform.address(), "/admin/faults", &json!({"lag_ms": 0})).await;
    let leaving = json!({"vms": [{"vm": "vm-1", "state": "leaving"}]});
    assert_eq!(get(platform.address(), "/vms").await, leaving);
}

/// Guards against a fake program that does not print its address, which every experiment reads.
#[test]
fn every_program_prints_its_address() {
    for program in [
        env!("CARGO_BIN_EXE_wasabipoint-fake-engine"),
        env!("CARGO_BIN_EXE_wasabipoint-fake-service"),
        env!("CARGO_BIN_EXE_wasabipoint-fake-store"),
        env!("CARGO_BIN_EXE_wasabipoint-fake-platform"),
    ] {
        let mut child = Command::new(program)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = line
            .trim()
            .strip_prefix("listening ")
            .map(str::parse::<SocketAddr>);
        assert!(matches!(address, Some(Ok(_))), "{program}: {line}");
        child.kill().unwrap();
        child.wait().unwrap();
    }
}
