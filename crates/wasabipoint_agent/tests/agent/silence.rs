//! Tests of connections that never deliver a response, with an in-memory endpoint and paused time.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::BoxFuture;
use serde_json::json;
use tokio::time::Instant;
use wasabipoint_agent::{
    AdapterCommand, Agent, CacheEventPage, CommandError, Endpoint, EndpointError, EndpointRequest,
    EndpointResponse, EngineReplica, EngineSnapshot, ModelCommand, ResponseChunks,
};
use wasabipoint_kernel::{AdapterName, ErrorKind, ModelName, RequestId, RunState};
use wasabipoint_rpc::ReplicaState;

use crate::support::{
    INCARNATION, TestControl, agent_config, completion_request, find_replica_state, send_request,
    start_agent, with_adapter,
};

/// An engine whose responses to loads, unloads and completions never arrive.
#[derive(Default)]
struct UnresponsiveEngine {
    snapshot: Mutex<EngineSnapshot>,
    // Number of loads that the engine still executes; later ones are lost.
    remaining_loads: Mutex<usize>,
    loads: Mutex<Vec<(Instant, ModelCommand)>>,
    // Whether a completion gets its response head before its response stops.
    sends_head: bool,
    // Time between the moment that a snapshot shows and its arrival at the agent.
    state_delay: Duration,
}

struct PendingChunks;

impl ResponseChunks for PendingChunks {
    fn next_chunk(&mut self) -> BoxFuture<'_, Result<Option<bytes::Bytes>, EndpointError>> {
        Box::pin(std::future::pending())
    }
}

impl Endpoint for UnresponsiveEngine {
    fn send(&self, _: EndpointRequest) -> BoxFuture<'_, Result<EndpointResponse, EndpointError>> {
        Box::pin(async {
            if !self.sends_head {
                std::future::pending::<()>().await;
            }
            Ok(EndpointResponse {
                status: 200,
                headers: vec![("content-type".to_owned(), "text/event-stream".to_owned())],
                body: Box::new(PendingChunks),
            })
        })
    }

    fn cancel(&self, _: RequestId) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }

    fn read_state(&self) -> BoxFuture<'_, Result<EngineSnapshot, EndpointError>> {
        Box::pin(async {
            let snapshot = self.snapshot.lock().unwrap().clone();
            tokio::time::sleep(self.state_delay).await;
            Ok(snapshot)
        })
    }

    fn read_cache_events(&self, _: u64) -> BoxFuture<'_, Result<CacheEventPage, EndpointError>> {
        Box::pin(async { Ok(CacheEventPage::default()) })
    }

    fn load(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        self.loads
            .lock()
            .unwrap()
            .push((Instant::now(), command.clone()));
        let mut remaining = self.remaining_loads.lock().unwrap();
        if *remaining > 0 {
            *remaining -= 1;
            self.snapshot.lock().unwrap().models.push(EngineReplica {
                model: command.model,
                version: command.version,
                fencing_token: command.fencing_token,
                memory_mib: Some(command.memory_mib),
                state: ReplicaState::Loaded,
            });
        }
        Box::pin(std::future::pending())
    }

    fn unload(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        let mut snapshot = self.snapshot.lock().unwrap();
        snapshot
            .models
            .retain(|loaded| loaded.model != command.model);
        Box::pin(std::future::pending())
    }

    fn load_adapter(&self, command: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        self.snapshot.lock().unwrap().adapters.push(command.adapter);
        Box::pin(async { Ok(()) })
    }

    fn unload_adapter(&self, _: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        Box::pin(std::future::pending())
    }
}

fn start(engine: UnresponsiveEngine) -> (Arc<UnresponsiveEngine>, Arc<TestControl>, Arc<Agent>) {
    "1".clone_into(&mut engine.snapshot.lock().unwrap().instance);
    let engine = Arc::new(engine);
    let control = TestControl::new();
    control.grant("m", 1, 400);
    let endpoint: Arc<dyn Endpoint> = Arc::<UnresponsiveEngine>::clone(&engine);
    let agent = start_agent(
        agent_config("engine", "127.0.0.1:1", ""),
        INCARNATION,
        endpoint,
        &control,
    );
    (engine, control, agent)
}

/// Guards against a load whose response never arrives and that blocks all later commands.
#[tokio::test(start_paused = true)]
async fn a_load_without_a_response_is_resolved_by_the_engine_state() {
    let (engine, control, _agent) = start(UnresponsiveEngine {
        remaining_loads: Mutex::new(1),
        ..UnresponsiveEngine::default()
    });
    control.wait_for_loaded("m").await;
    assert_eq!(engine.loads.lock().unwrap().len(), 1);
    control.revoke("m");
    control.wait_for_absent("m").await;
}

/// Guards against a lost load that never times out, that is retried under its token although
/// control has released the grant, or that is followed by another load while it may still arrive.
#[tokio::test(start_paused = true)]
async fn a_lost_load_is_reported_and_retried() {
    let (engine, control, _agent) = start(UnresponsiveEngine::default());
    control
        .wait_for_report("m failed", |report| {
            find_replica_state(report, "m") == Some(ReplicaState::Failed)
        })
        .await;
    *engine.remaining_loads.lock().unwrap() = 1;
    control.wait_for_loaded("m").await;
    let loads = engine.loads.lock().unwrap();
    assert!(loads.len() >= 2);
    for pair in loads.windows(2) {
        let pause = pair[1].0 - pair[0].0;
        assert!(pause >= Duration::from_secs(5), "{pause:?}");
        assert!(pair[1].1.fencing_token > pair[0].1.fencing_token);
    }
}

/// Guards against requests and drains that wait forever for an unresponsive engine.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_engine_fails_requests_within_the_timeout() {
    for (sends_head, timeout_s) in [(false, 10 + 30), (true, 30)] {
        let (_engine, control, agent) = start(UnresponsiveEngine {
            remaining_loads: Mutex::new(1),
            sends_head,
            ..UnresponsiveEngine::default()
        });
        control.wait_for_loaded("m").await;
        let mut request = completion_request("silent", &json!({}));
        request.remaining_ms = 10_000;
        let started_at = Instant::now();
        let received = send_request(&agent, request).await;
        assert_eq!(
            received.failed,
            Some((ErrorKind::EndpointFailed, RunState::Unknown))
        );
        assert_eq!(started_at.elapsed().as_secs(), timeout_s);
        // One heartbeat per 400 ms of silence.
        assert!(
            received.heartbeats as u64 >= timeout_s * 2,
            "{}",
            received.heartbeats
        );
        agent.drain().await;
    }
}

/// Guards against a revoked replica that a stuck request keeps loaded forever.
#[tokio::test(start_paused = true)]
async fn the_drain_of_a_revoked_replica_is_bounded() {
    let (_engine, control, agent) = start(UnresponsiveEngine {
        remaining_loads: Mutex::new(1),
        ..UnresponsiveEngine::default()
    });
    control.wait_for_loaded("m").await;
    let mut request = completion_request("stuck", &json!({}));
    request.remaining_ms = 600_000;
    let frames = agent.dispatch(request);
    let frame_reader = tokio::spawn(async move {
        let mut frames = frames;
        while frames.recv().await.is_some() {}
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let revoked_at = Instant::now();
    control.revoke("m");
    // The wait is split in two, because a single one is limited by `WAIT_TIMEOUT`.
    tokio::time::sleep(Duration::from_secs(40)).await;
    assert_eq!(
        control
            .reports()
            .last()
            .and_then(|report| find_replica_state(report, "m")),
        Some(ReplicaState::Unloading)
    );
    control.wait_for_absent("m").await;
    assert!(
        revoked_at.elapsed() >= Duration::from_mins(1),
        "{:?}",
        revoked_at.elapsed()
    );
    frame_reader.abort();
}

/// Guards against a snapshot that was read before an adapter load, and that removes the loaded
/// adapter and frees its memory.
#[tokio::test(start_paused = true)]
async fn a_stale_snapshot_does_not_undo_an_adapter_load() {
    let (_engine, control, agent) = start(UnresponsiveEngine {
        remaining_loads: Mutex::new(1),
        state_delay: Duration::from_millis(300),
        ..UnresponsiveEngine::default()
    });
    control.wait_for_loaded("m").await;
    let names: Vec<_> = (0..10).map(|index| format!("a{index}")).collect();
    control.update_directive(|directive| {
        let adapter = |name: &String| (AdapterName::new(name), ModelName::new("m"), 10);
        directive.adapters = names.iter().map(adapter).collect();
    });
    // The response to the first report carries the new directive, and the second report is sent
    // after the agent has applied it.
    control.wait_for_report("any state", |_| true).await;
    control.wait_for_report("any state", |_| true).await;
    let mut frame_receivers = Vec::new();
    for (count, name) in names.iter().enumerate() {
        let request = with_adapter(completion_request("held", &json!({})), name);
        frame_receivers.push(agent.dispatch(request));
        // The delay makes loads start in different phases of a state read.
        tokio::time::sleep(Duration::from_millis(130)).await;
        let report = control.reports().pop().unwrap();
        assert_eq!(report.adapters.len(), count + 1, "{:?}", report.adapters);
        assert_eq!(report.memory_used_mib, 400 + 10 * (count as u64 + 1));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(control.reports().pop().unwrap().adapters.len(), names.len());
}
