//! Runs one dispatched request and streams its response as frames.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Map, Value};
use slog::info;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wasabipoint_kernel::{ErrorKind, ModelName, Refusal, RequestId, RunState};
use wasabipoint_rpc::{
    DispatchRequest, EndpointKind, Frame, LoadReport, Outcome, OutcomeRequest, StoredResponse,
};

use crate::adapters::AdapterUse;
use crate::agent::Core;
use crate::endpoint::EndpointRequest;
use crate::exchange::{Exchanged, exchange};
use crate::execution_ledger::Admission;
use crate::frame_sink::{EntryGone, FrameSink};
use crate::slots::Slot;

/// Frames that may wait for the entry's connection.
const WAITING_FRAMES: usize = 16;

/// Headers that end at this process or must not reach an endpoint. A compressed response could not
/// be checked.
const DROPPED_HEADERS: &[&str] = &[
    "accept-encoding",
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-priority",
    "x-request-id",
];

/// Why a request has no complete response.
pub(crate) enum Failure {
    EntryGone,
    Refused(Refusal),
}

impl From<EntryGone> for Failure {
    fn from(_: EntryGone) -> Self {
        Self::EntryGone
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Counts a request until its response was written, so that a drain waits for it.
struct Accepted(Arc<Core>);

impl Drop for Accepted {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.accepted -= 1;
        let is_last = state.accepted == 0;
        drop(state);
        if is_last {
            self.0.idle.notify_waiters();
        }
    }
}

/// Settles the ledger entry of a request, also when its task fails.
struct Execution {
    core: Arc<Core>,
    id: RequestId,
    is_started: bool,
    is_settled: bool,
}

impl Execution {
    fn refuse(&mut self) {
        self.is_settled = true;
        let now_ms = self.core.clock.now_ms();
        self.core.state().executions.refuse(self.id, now_ms);
    }

    fn finish(&mut self, response: Option<StoredResponse>) {
        self.is_settled = true;
        let now_ms = self.core.clock.now_ms();
        self.core
            .state()
            .executions
            .finish(self.id, response, now_ms);
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        match (self.is_settled, self.is_started) {
            (true, _) => {}
            (false, true) => self.finish(None),
            (false, false) => self.refuse(),
        }
    }
}

/// Counts a request of a model, so that the replica is not unloaded under it.
struct ModelUse {
    core: Arc<Core>,
    model: ModelName,
}

impl Drop for ModelUse {
    fn drop(&mut self) {
        let mut state = self.core.state();
        if let Some(count) = state.running.get_mut(&self.model) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&self.model);
            }
        }
        drop(state);
        self.core.reconcile_wake.notify_one();
    }
}

/// What a request holds while it runs.
struct Claims {
    _slot: Slot,
    _in_use: Option<(ModelUse, Option<AdapterUse>)>,
}

/// Accepts a request; the receiver yields the encoded frames and then `None`.
pub(crate) fn dispatch(
    core: &Arc<Core>,
    request: DispatchRequest,
) -> mpsc::Receiver<Option<Bytes>> {
    let (sender, receiver) = mpsc::channel(WAITING_FRAMES);
    let sink = FrameSink::new(request.request_id, sender);
    core.state().accepted += 1;
    let accepted = Accepted(Arc::clone(core));
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let _accepted = accepted;
        run(&core, request, sink).await;
    });
    receiver
}

/// Answers what became of a request.
pub(crate) fn outcome(core: &Core, request: &OutcomeRequest) -> Outcome {
    if request.incarnation != core.incarnation {
        return Outcome::Unknown;
    }
    let now_ms = core.clock.now_ms();
    core.state().executions.outcome(request.request_id, now_ms)
}

async fn run(core: &Arc<Core>, request: DispatchRequest, mut sink: FrameSink) {
    let id = request.request_id;
    match execute(core, request, &mut sink).await {
        Ok(()) => {}
        Err(Failure::EntryGone) => {
            info!(core.logger, "agent: the entry closed the connection of a request";
                "request" => %id);
        }
        Err(Failure::Refused(refusal)) => {
            info!(core.logger, "agent: a request failed"; "request" => %id,
                "kind" => %refusal.kind, "run" => refusal.run.as_str(),
                "detail" => &refusal.detail);
            let failed = Frame::Failed {
                kind: refusal.kind,
                run: refusal.run,
                detail: refusal.detail,
            };
            // An entry that is gone needs no answer.
            let _ = sink.send(failed).await;
        }
    }
    sink.finish().await;
}

async fn execute(
    core: &Arc<Core>,
    request: DispatchRequest,
    sink: &mut FrameSink,
) -> Result<(), Failure> {
    let deadline = Instant::now() + Duration::from_millis(request.remaining_ms);
    let Some(mut execution) = admit(core, &request, sink).await? else {
        return Ok(());
    };
    let outgoing = build_request(core, &request)?;
    let claims = sink.wait_for(claim(core, &request));
    let claims = tokio::time::timeout_at(deadline, claims).await;
    let Some(claims) = claims.ok().filter(|_| Instant::now() < deadline) else {
        let detail = "the request waited at the agent until its deadline";
        return Err(Refusal::new(ErrorKind::DeadlineExceeded, detail).into());
    };
    let _claims = claims??;
    if !core.state().executions.start(request.request_id) {
        return Err(already_refused().into());
    }
    execution.is_started = true;
    if !request.is_idempotent {
        sink.go_on_alone();
    }
    match exchange(core, &request, outgoing, deadline, sink).await {
        Ok(Exchanged { byte_count, stored }) => {
            execution.finish(stored);
            end(core, &request, byte_count, sink).await
        }
        Err(Failure::Refused(refusal)) if refusal.run == RunState::NotRun => {
            execution.refuse();
            Err(refusal.into())
        }
        Err(failure) => {
            execution.finish(None);
            if core.config.kind == EndpointKind::Engine {
                let core = Arc::clone(core);
                tokio::spawn(async move { core.endpoint.cancel(request.request_id).await });
            }
            Err(failure)
        }
    }
}

async fn end(
    core: &Core,
    request: &DispatchRequest,
    byte_count: u64,
    sink: &mut FrameSink,
) -> Result<(), Failure> {
    let load = report_load(core, request.known_cache_sequence);
    Ok(sink.send(Frame::End { byte_count, load }).await?)
}

fn already_refused() -> Refusal {
    let detail = "the request was reported as not started and is refused since";
    Refusal::new(ErrorKind::FencingStale, detail)
}

/// Decides by incarnation, drain and ledger whether the request may run. A finished request gets
/// its stored response.
async fn admit(
    core: &Arc<Core>,
    request: &DispatchRequest,
    sink: &mut FrameSink,
) -> Result<Option<Execution>, Failure> {
    let id = request.request_id;
    if request.incarnation != core.incarnation {
        let detail = format!(
            "the request is bound to incarnation {}, this is {}",
            request.incarnation, core.incarnation
        );
        return Err(Refusal::new(ErrorKind::FencingStale, detail).into());
    }
    let admission = {
        let mut state = core.state();
        if state.is_draining {
            return Err(Refusal::new(ErrorKind::Draining, "the agent is shutting down").into());
        }
        state.executions.admit(id, core.clock.now_ms())
    };
    match admission {
        Admission::Admitted => Ok(Some(Execution {
            core: Arc::clone(core),
            id,
            is_started: false,
            is_settled: false,
        })),
        Admission::Refused => Err(already_refused().into()),
        Admission::InProgress => Err(Refusal::new(
            ErrorKind::OutcomeUnknown,
            "the request is already in progress",
        )
        .into()),
        Admission::Forgotten => Err(Refusal::new(
            ErrorKind::OutcomeUnknown,
            "the request has run and its response is not stored",
        )
        .into()),
        Admission::Finished(stored) => {
            let head = Frame::Head {
                status: stored.status,
                headers: stored.headers.clone(),
            };
            sink.send(head).await?;
            sink.send_data(&stored.body).await?;
            let byte_count = stored.body.len() as u64;
            end(core, request, byte_count, sink).await?;
            Ok(None)
        }
    }
}

/// Builds the endpoint's request. The engine gets the model's and adapter's names in its body.
fn build_request(core: &Core, request: &DispatchRequest) -> Result<EndpointRequest, Refusal> {
    let body = match core.config.kind {
        EndpointKind::Engine => name_model(request)?,
        EndpointKind::Service => Bytes::copy_from_slice(&request.body),
    };
    if !request.path.starts_with('/') {
        return Err(malformed("the path does not begin with /"));
    }
    let headers = request.headers.iter().filter(|(name, _)| {
        !DROPPED_HEADERS
            .iter()
            .any(|dropped| name.eq_ignore_ascii_case(dropped))
    });
    Ok(EndpointRequest {
        request_id: request.request_id,
        priority: request.priority,
        method: request.method.clone(),
        path: request.path.clone(),
        headers: headers.cloned().collect(),
        body,
    })
}

fn malformed(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::MalformedRequest, detail)
}

fn name_model(request: &DispatchRequest) -> Result<Bytes, Refusal> {
    if !request.path.starts_with("/v1/") {
        return Err(malformed("engines take paths below /v1/"));
    }
    let Some(model) = &request.model else {
        return Err(malformed("a request for an engine names a model"));
    };
    let mut body: Map<String, Value> = serde_json::from_slice(&request.body)
        .map_err(|_| malformed("the body is not a JSON object"))?;
    body.insert("model".to_owned(), model.as_str().into());
    body.remove("adapter");
    if let Some(adapter) = &request.adapter {
        body.insert("adapter".to_owned(), adapter.as_str().into());
    }
    let bytes = serde_json::to_vec(&body).expect("a JSON map encodes");
    Ok(bytes.into())
}

/// Waits for a slot and, at engines, for the adapter.
async fn claim(core: &Arc<Core>, request: &DispatchRequest) -> Result<Claims, Refusal> {
    let slot = core.slots.acquire(request.priority).await;
    let slot = slot
        .map_err(|_| Refusal::new(ErrorKind::QueueFull, "too many requests wait at the agent"))?;
    if core.config.kind == EndpointKind::Service {
        return Ok(Claims {
            _slot: slot,
            _in_use: None,
        });
    }
    let Some(model) = &request.model else {
        return Err(malformed("a request for an engine names a model"));
    };
    let model_use = use_model(core, model)?;
    let adapter_use = match &request.adapter {
        Some(adapter) => Some(core.use_adapter(adapter, model).await?),
        None => None,
    };
    Ok(Claims {
        _slot: slot,
        _in_use: Some((model_use, adapter_use)),
    })
}

fn use_model(core: &Arc<Core>, model: &ModelName) -> Result<ModelUse, Refusal> {
    let mut state = core.state();
    if !state.is_serving(model.as_str()) {
        return Err(Refusal::new(
            ErrorKind::NoEndpoint,
            format!("model {model} is not loaded at this endpoint"),
        ));
    }
    *state.running.entry(model.clone()).or_default() += 1;
    drop(state);
    Ok(ModelUse {
        core: Arc::clone(core),
        model: model.clone(),
    })
}

fn report_load(core: &Core, known_cache_sequence: u64) -> LoadReport {
    let (running, queued) = core.slots.counts();
    let state = core.state();
    let update = state.cache.since(known_cache_sequence);
    LoadReport {
        running,
        queued,
        adapters: state.loaded_adapters(),
        cache_events: update.events,
        cache_sequence: update.sequence,
        has_cache_gap: update.has_gap,
    }
}
