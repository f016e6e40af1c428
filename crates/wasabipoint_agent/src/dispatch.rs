//! Runs dispatched requests and streams their responses as frames.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Map, Value};
use slog::info;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wasabipoint_kernel::{ErrorKind, ModelName, Refusal, RequestId, RunState};
use wasabipoint_rpc::{
    DispatchRequest, EndpointKind, FramePayload, LoadReport, Outcome, OutcomeRequest,
    StoredResponse,
};

use crate::adapters::AdapterUseGuard;
use crate::agent::AgentContext;
use crate::endpoint::EndpointRequest;
use crate::exchange::{ForwardedResponse, exchange};
use crate::execution_ledger::Admission;
use crate::frame_sink::{EntryDisconnected, FrameSink};
use crate::slots::SlotPermit;

/// Maximum number of frames buffered for a connection to an entry process.
const FRAME_CHANNEL_CAPACITY: usize = 16;

/// Request headers that are not forwarded: connection headers, headers that the agent sets, and the
/// caller's credentials. `accept-encoding` is dropped because compressed responses cannot be
/// checked.
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

/// Reason why a request has no complete response.
pub(crate) enum DispatchError {
    EntryDisconnected,
    Refused(Refusal),
}

impl From<EntryDisconnected> for DispatchError {
    fn from(_: EntryDisconnected) -> Self {
        Self::EntryDisconnected
    }
}

impl From<Refusal> for DispatchError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Counts a request as accepted until its response is written, so that a drain waits for it.
struct AcceptedRequestGuard(Arc<AgentContext>);

impl Drop for AcceptedRequestGuard {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.accepted_requests -= 1;
        let is_last = state.accepted_requests == 0;
        drop(state);
        if is_last {
            self.0.requests_done.notify_waiters();
        }
    }
}

/// Records the result of a request in the execution ledger, also when its task panics.
struct ExecutionGuard {
    context: Arc<AgentContext>,
    id: RequestId,
    is_started: bool,
    is_recorded: bool,
}

impl ExecutionGuard {
    fn refuse(&mut self) {
        self.is_recorded = true;
        let now_ms = self.context.clock.now_ms();
        self.context.state().executions.refuse(self.id, now_ms);
    }

    fn finish(&mut self, response: Option<StoredResponse>) {
        self.is_recorded = true;
        let now_ms = self.context.clock.now_ms();
        self.context
            .state()
            .executions
            .finish(self.id, response, now_ms);
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        match (self.is_recorded, self.is_started) {
            (true, _) => {}
            (false, true) => self.finish(None),
            (false, false) => self.refuse(),
        }
    }
}

/// Counts a running request of a model, so that its replica is not unloaded meanwhile.
struct ModelUseGuard {
    context: Arc<AgentContext>,
    model: ModelName,
}

impl Drop for ModelUseGuard {
    fn drop(&mut self) {
        let mut state = self.context.state();
        if let Some(count) = state.running_requests.get_mut(&self.model) {
            *count -= 1;
            if *count == 0 {
                state.running_requests.remove(&self.model);
            }
        }
        drop(state);
        self.context.reconcile_requested.notify_one();
    }
}

/// Resources that a running request occupies.
struct RequestResources {
    _slot_permit: SlotPermit,
    _model_and_adapter: Option<(ModelUseGuard, Option<AdapterUseGuard>)>,
}

/// Accepts a request and handles it in its own task. The receiver yields the encoded frames and
/// then `None`.
pub(crate) fn dispatch(
    context: &Arc<AgentContext>,
    request: DispatchRequest,
) -> mpsc::Receiver<Option<Bytes>> {
    let (sender, receiver) = mpsc::channel(FRAME_CHANNEL_CAPACITY);
    let sink = FrameSink::new(request.request_id, sender);
    context.state().accepted_requests += 1;
    let accepted_guard = AcceptedRequestGuard(Arc::clone(context));
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let _accepted_guard = accepted_guard;
        handle_request(&context, request, sink).await;
    });
    receiver
}

/// Returns the outcome of a request, which is unknown if it is bound to another incarnation.
pub(crate) fn outcome(context: &AgentContext, request: &OutcomeRequest) -> Outcome {
    if request.incarnation != context.incarnation {
        return Outcome::Unknown;
    }
    let now_ms = context.clock.now_ms();
    context
        .state()
        .executions
        .outcome(request.request_id, now_ms)
}

async fn handle_request(
    context: &Arc<AgentContext>,
    request: DispatchRequest,
    mut sink: FrameSink,
) {
    let id = request.request_id;
    match execute(context, request, &mut sink).await {
        Ok(()) => {}
        Err(DispatchError::EntryDisconnected) => {
            info!(context.logger, "agent: entry disconnected before the response ended";
                "request" => %id);
        }
        Err(DispatchError::Refused(refusal)) => {
            info!(context.logger, "agent: request failed"; "request" => %id,
                "kind" => %refusal.kind, "run" => refusal.run_state.as_str(),
                "detail" => &refusal.detail);
            let failed = FramePayload::Failed {
                kind: refusal.kind,
                run_state: refusal.run_state,
                detail: refusal.detail,
            };
            // A disconnected entry process receives no response.
            let _ = sink.send(failed).await;
        }
    }
    sink.finish().await;
}

async fn execute(
    context: &Arc<AgentContext>,
    request: DispatchRequest,
    sink: &mut FrameSink,
) -> Result<(), DispatchError> {
    let deadline = Instant::now() + Duration::from_millis(request.remaining_ms);
    let Some(mut execution) = admit(context, &request, sink).await? else {
        return Ok(());
    };
    let outgoing = build_request(context, &request)?;
    let resources = sink.wait_with_heartbeats(acquire_resources(context, &request));
    let resources = tokio::time::timeout_at(deadline, resources).await;
    let Some(resources) = resources.ok().filter(|_| Instant::now() < deadline) else {
        let detail = "the request waited at the agent until its deadline";
        return Err(Refusal::new(ErrorKind::DeadlineExceeded, detail).into());
    };
    let _resources = resources??;
    if !context.state().executions.start(request.request_id) {
        return Err(not_started_refusal().into());
    }
    execution.is_started = true;
    if !request.is_idempotent {
        sink.continue_without_entry();
    }
    match exchange(context, &request, outgoing, deadline, sink).await {
        Ok(ForwardedResponse { byte_count, stored }) => {
            execution.finish(stored);
            send_end(context, &request, byte_count, sink).await
        }
        Err(DispatchError::Refused(refusal)) if refusal.run_state == RunState::NotRun => {
            execution.refuse();
            Err(refusal.into())
        }
        Err(error) => {
            execution.finish(None);
            if context.config.kind == EndpointKind::Engine {
                let context = Arc::clone(context);
                tokio::spawn(async move { context.endpoint.cancel(request.request_id).await });
            }
            Err(error)
        }
    }
}

async fn send_end(
    context: &AgentContext,
    request: &DispatchRequest,
    byte_count: u64,
    sink: &mut FrameSink,
) -> Result<(), DispatchError> {
    let load = build_load_report(context, request.known_cache_sequence);
    Ok(sink.send(FramePayload::End { byte_count, load }).await?)
}

fn not_started_refusal() -> Refusal {
    let detail = "the request was reported as not started and is refused since";
    Refusal::new(ErrorKind::FencingStale, detail)
}

/// Decides by the incarnation, the drain and the execution ledger whether the request may run. If
/// it has already finished, sends its stored response and returns `None`.
async fn admit(
    context: &Arc<AgentContext>,
    request: &DispatchRequest,
    sink: &mut FrameSink,
) -> Result<Option<ExecutionGuard>, DispatchError> {
    let id = request.request_id;
    if request.incarnation != context.incarnation {
        let detail = format!(
            "the request is bound to incarnation {}, this is {}",
            request.incarnation, context.incarnation
        );
        return Err(Refusal::new(ErrorKind::FencingStale, detail).into());
    }
    let admission = {
        let mut state = context.state();
        if state.is_draining {
            return Err(Refusal::new(ErrorKind::Draining, "the agent is shutting down").into());
        }
        state.executions.admit(id, context.clock.now_ms())
    };
    match admission {
        Admission::Admitted => Ok(Some(ExecutionGuard {
            context: Arc::clone(context),
            id,
            is_started: false,
            is_recorded: false,
        })),
        Admission::Refused => Err(not_started_refusal().into()),
        Admission::InProgress => Err(Refusal::new(
            ErrorKind::OutcomeUnknown,
            "the request is already in progress",
        )
        .into()),
        Admission::NotStored => Err(Refusal::new(
            ErrorKind::OutcomeUnknown,
            "the request has run and its response is not stored",
        )
        .into()),
        Admission::Finished(stored) => {
            let head = FramePayload::Head {
                status: stored.status,
                headers: stored.headers.clone(),
            };
            sink.send(head).await?;
            sink.send_data(&stored.body).await?;
            let byte_count = stored.body.len() as u64;
            send_end(context, request, byte_count, sink).await?;
            Ok(None)
        }
    }
}

/// Builds the request to the endpoint. For engines, sets the model and the adapter in the body.
fn build_request(
    context: &AgentContext,
    request: &DispatchRequest,
) -> Result<EndpointRequest, Refusal> {
    let body = match context.config.kind {
        EndpointKind::Engine => set_model_and_adapter(request)?,
        EndpointKind::Service => Bytes::copy_from_slice(&request.body),
    };
    if !request.path.starts_with('/') {
        return Err(malformed_request("the path does not begin with /"));
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

fn malformed_request(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::MalformedRequest, detail)
}

fn set_model_and_adapter(request: &DispatchRequest) -> Result<Bytes, Refusal> {
    if !request.path.starts_with("/v1/") {
        return Err(malformed_request("engines take paths below /v1/"));
    }
    let Some(model) = &request.model else {
        return Err(malformed_request("a request for an engine names a model"));
    };
    let mut body: Map<String, Value> = serde_json::from_slice(&request.body)
        .map_err(|_| malformed_request("the body is not a JSON object"))?;
    body.insert("model".to_owned(), model.as_str().into());
    body.remove("adapter");
    if let Some(adapter) = &request.adapter {
        body.insert("adapter".to_owned(), adapter.as_str().into());
    }
    let bytes = serde_json::to_vec(&body).expect("a JSON map encodes");
    Ok(bytes.into())
}

/// Waits for a slot and, at engines, for the adapter to be loaded.
async fn acquire_resources(
    context: &Arc<AgentContext>,
    request: &DispatchRequest,
) -> Result<RequestResources, Refusal> {
    let slot_permit = context.slots.acquire(request.priority).await;
    let slot_permit = slot_permit
        .map_err(|_| Refusal::new(ErrorKind::QueueFull, "too many requests wait at the agent"))?;
    if context.config.kind == EndpointKind::Service {
        return Ok(RequestResources {
            _slot_permit: slot_permit,
            _model_and_adapter: None,
        });
    }
    let Some(model) = &request.model else {
        return Err(malformed_request("a request for an engine names a model"));
    };
    let model_use = acquire_model(context, model)?;
    let adapter_use = match &request.adapter {
        Some(adapter) => Some(context.acquire_adapter(adapter, model).await?),
        None => None,
    };
    Ok(RequestResources {
        _slot_permit: slot_permit,
        _model_and_adapter: Some((model_use, adapter_use)),
    })
}

fn acquire_model(context: &Arc<AgentContext>, model: &ModelName) -> Result<ModelUseGuard, Refusal> {
    let mut state = context.state();
    if !state.is_serving(model.as_str()) {
        return Err(Refusal::new(
            ErrorKind::NoEndpoint,
            format!("model {model} is not loaded at this endpoint"),
        ));
    }
    *state.running_requests.entry(model.clone()).or_default() += 1;
    drop(state);
    Ok(ModelUseGuard {
        context: Arc::clone(context),
        model: model.clone(),
    })
}

fn build_load_report(context: &AgentContext, known_cache_sequence: u64) -> LoadReport {
    let (running, queued) = context.slots.counts();
    let state = context.state();
    let update = state.cache_log.events_since(known_cache_sequence);
    LoadReport {
        running,
        queued,
        adapters: state.loaded_adapters(),
        cache_events: update.events,
        cache_sequence: update.sequence,
        has_cache_gap: update.has_gap,
    }
}
