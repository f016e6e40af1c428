//! Executes calls: waits for an endpoint, claims the idempotency key, dispatches to an agent, and
//! retries only what is safe to retry.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::{Logger, info, warn};
use tokio::time::{Instant, timeout, timeout_at};
use wasabipoint_kernel::{
    EndpointId, ErrorKind, MonotonicClock, Refusal, RequestId, RetryAdvice, RunState,
};
use wasabipoint_rpc::{DispatchRequest, Outcome, OutcomeRequest, StoredResponse};

use crate::access::{Resource, reverify_access};
use crate::claim::{ClaimClient, ClaimResult, IdempotencyClaim};
use crate::fleet::{Caller, FleetCache};
use crate::frames::{FrameReader, StreamError, StreamEvent};
use crate::link::{AgentError, AgentLink};
use crate::quota::Reservation;
use crate::retry::CallRetryBudget;
use crate::scheduler::{EndpointPermit, Scheduler, SchedulingRequest, Target};

/// Largest response that is buffered before it is sent to the caller.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 32 * 1_024 * 1_024;

/// Time to wait for the first data of a streamed response before its head is sent to the caller.
/// From then on, keep-alive comments detect a disconnected caller.
const FIRST_DATA_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of one outcome query.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between outcome queries while the call is still running.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Cooldown of an endpoint whose agent had no capacity for a call.
const BUSY_COOLDOWN_MS: u64 = 100;

/// Cooldown of an endpoint whose agent could not be reached.
const UNREACHABLE_COOLDOWN_MS: u64 = 1_000;

/// A request that is ready to be queued and dispatched.
pub(crate) struct Call {
    pub(crate) scheduling: SchedulingRequest,
    pub(crate) caller: Option<Caller>,
    pub(crate) resource: Resource,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    pub(crate) is_idempotent: bool,
    pub(crate) is_streamed: bool,
    /// Time beyond the deadline in which a response that started in time may finish.
    pub(crate) run_allowance_ms: u64,
    pub(crate) priority: u8,
    pub(crate) claim: Option<IdempotencyClaim>,
}

/// A streamed response that has started.
pub(crate) struct OpenStream {
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) first_data: Vec<u8>,
    pub(crate) reader: FrameReader,
    pub(crate) permit: EndpointPermit,
}

/// The response to a call.
pub(crate) enum Reply {
    Buffered(StoredResponse),
    Stream(Box<OpenStream>),
}

/// Why one attempt failed.
struct AttemptError {
    refusal: Refusal,
    is_retryable: bool,
    /// Whether the agent refused for a transient reason, so that the call may queue again.
    is_requeueable: bool,
}

impl AttemptError {
    fn not_run(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            refusal: Refusal::new(kind, detail)
                .with_run_state(RunState::NotRun)
                .with_retry_after_ms(1_000),
            is_retryable: true,
            is_requeueable: false,
        }
    }

    fn unknown(detail: impl Into<String>) -> Self {
        Self {
            refusal: Refusal::new(ErrorKind::EndpointFailed, detail).with_retry_after_ms(1_000),
            is_retryable: true,
            is_requeueable: false,
        }
    }

    fn is_not_run(&self) -> bool {
        self.refusal.run_state == RunState::NotRun
    }
}

/// Dispatches calls to agents, with retries.
pub(crate) struct CallExecutor {
    pub(crate) agents: Arc<dyn AgentLink>,
    pub(crate) claim_client: ClaimClient,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) fleet: Arc<FleetCache>,
    pub(crate) retry_budget: CallRetryBudget,
    pub(crate) clock: MonotonicClock,
    pub(crate) silence_bound: Duration,
    pub(crate) logger: Logger,
}

impl CallExecutor {
    /// Executes a call until it has a response. A refusal states whether any attempt may have run.
    pub(crate) async fn execute(
        &self,
        call: &Call,
        mut reservation: Option<&mut Reservation>,
    ) -> Result<Reply, Refusal> {
        self.retry_budget.record_request();
        let mut permit = self.wait_for_permit(call).await?;
        let deadline = self.deadline(call) + Duration::from_millis(call.run_allowance_ms);
        let mut attempt_id = call.scheduling.request_id;
        let mut replaces = None;
        let mut tried_endpoints: Vec<EndpointId> = Vec::new();
        let mut may_have_run = false;
        loop {
            let access_check = reverify_access(&self.fleet, call.caller.as_ref(), &call.resource);
            access_check.map_err(|refusal| set_run_state(call, refusal, may_have_run))?;
            if let Some(claim) = &call.claim {
                let claim_result = self
                    .claim_client
                    .claim(claim, &permit, attempt_id, replaces, deadline);
                if let ClaimResult::Completed(response) = claim_result.await? {
                    return Ok(Reply::Buffered(response));
                }
            }
            if let Some(reservation) = reservation.as_deref_mut() {
                reservation.set_may_have_run(true);
            }
            tried_endpoints.push(permit.endpoint.id.clone());
            let failure = match timeout_at(deadline, self.attempt(call, permit, attempt_id)).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(failure)) => failure,
                Err(_) => {
                    let refusal = Refusal::new(ErrorKind::DeadlineExceeded, "")
                        .with_retry_after_ms(
                            self.scheduler.estimate_retry_after_ms(&call.scheduling),
                        );
                    return Err(set_run_state(call, refusal, true));
                }
            };
            may_have_run |= !failure.is_not_run();
            if let Some(reservation) = reservation.as_deref_mut() {
                reservation.set_may_have_run(may_have_run);
            }
            let may_repeat = failure.is_retryable
                && (call.is_idempotent || !may_have_run)
                && self.retry_budget.try_take();
            let next_permit =
                may_repeat.then(|| self.scheduler.reroute(&call.scheduling, &tried_endpoints));
            permit = match next_permit.flatten() {
                Some(permit) => permit,
                // The tried agents refused for transient reasons, so the call queues again until
                // its deadline.
                None if failure.is_requeueable && !may_have_run => {
                    tried_endpoints.clear();
                    self.wait_for_permit(call).await?
                }
                None => return Err(set_run_state(call, failure.refusal, may_have_run)),
            };
            info!(self.logger, "routing: retrying request";
                "request" => %call.scheduling.request_id, "cause" => %failure.refusal.kind,
                "may_have_run" => may_have_run);
            replaces = Some(attempt_id);
            attempt_id = RequestId::random();
        }
    }

    fn deadline(&self, call: &Call) -> Instant {
        let left_ms = call
            .scheduling
            .deadline_ms
            .saturating_sub(self.clock.now_ms());
        Instant::now() + Duration::from_millis(left_ms)
    }

    /// Queues a call until it gets an endpoint or its deadline passes.
    async fn wait_for_permit(&self, call: &Call) -> Result<EndpointPermit, Refusal> {
        let mut ticket = self.scheduler.enqueue(call.scheduling.clone())?;
        match timeout_at(self.deadline(call), &mut ticket.receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Refusal::new(ErrorKind::NoEndpoint, "").with_retry_after_ms(1_000)),
            Err(_) => {
                drop(ticket);
                let retry_after_ms = self.scheduler.estimate_retry_after_ms(&call.scheduling);
                Err(
                    Refusal::new(ErrorKind::DeadlineExceeded, "no endpoint was free in time")
                        .with_retry_after_ms(retry_after_ms),
                )
            }
        }
    }

    /// Dispatches a call to one endpoint and reads the start of its response.
    async fn attempt(
        &self,
        call: &Call,
        permit: EndpointPermit,
        request_id: RequestId,
    ) -> Result<Reply, AttemptError> {
        let request = self.build_request(call, &permit, request_id);
        let dispatch_future = self.agents.dispatch(permit.endpoint.address, &request);
        let chunks = match timeout(self.silence_bound, dispatch_future).await {
            Ok(Ok(chunks)) => chunks,
            Ok(Err(AgentError::NotSent(detail))) => {
                self.scheduler
                    .start_cooldown(&permit.endpoint.id, UNREACHABLE_COOLDOWN_MS);
                return Err(AttemptError::not_run(ErrorKind::NoEndpoint, detail));
            }
            Ok(Err(AgentError::Refused {
                kind,
                run_state,
                detail,
            })) => {
                return Err(self.classify_refusal(&permit, kind, run_state, detail));
            }
            Ok(Err(AgentError::Interrupted(_))) | Err(_) => {
                return self.resolve_outcome(call, &permit, request_id).await;
            }
        };
        let dispatched_ms = self.clock.now_ms();
        let mut reader = FrameReader::new(chunks, request_id, self.silence_bound);
        let start = self.read_start(call, &permit, &mut reader).await;
        match start {
            Ok(ResponseStart::Buffered(response)) => {
                // The end of a buffered completion does not show when its first token came.
                if matches!(call.scheduling.target, Target::Service(_)) {
                    self.record_response_delay(&call.scheduling.target, dispatched_ms);
                }
                Ok(Reply::Buffered(response))
            }
            Ok(ResponseStart::Streaming {
                headers,
                first_data,
            }) => {
                self.record_response_delay(&call.scheduling.target, dispatched_ms);
                Ok(Reply::Stream(Box::new(OpenStream {
                    headers,
                    first_data,
                    reader,
                    permit,
                })))
            }
            Err(StreamError::Failed {
                kind,
                run_state,
                detail,
            }) => Err(self.classify_refusal(&permit, kind, run_state, detail)),
            Err(StreamError::TimedOut) => {
                self.abandon_connection(call, permit, reader, "no frame arrived in time")
                    .await
            }
            Err(StreamError::Broken(cause)) => {
                self.abandon_connection(call, permit, reader, cause).await
            }
        }
    }

    /// Closes a connection before the outcome of its request is queried over another one.
    async fn abandon_connection(
        &self,
        call: &Call,
        permit: EndpointPermit,
        reader: FrameReader,
        cause: &str,
    ) -> Result<Reply, AttemptError> {
        let request_id = reader.request_id();
        drop(reader);
        warn!(self.logger, "routing: agent connection closed";
            "request" => %call.scheduling.request_id,
            "endpoint" => %permit.endpoint.id,
            "cause" => cause);
        self.resolve_outcome(call, &permit, request_id).await
    }

    fn record_response_delay(&self, target: &Target, dispatched_ms: u64) {
        let elapsed_ms = self.clock.now_ms() - dispatched_ms;
        self.scheduler.record_first_response(target, elapsed_ms);
    }

    fn build_request(
        &self,
        call: &Call,
        permit: &EndpointPermit,
        request_id: RequestId,
    ) -> DispatchRequest {
        let model = match &call.scheduling.target {
            Target::Model(model) => Some(model.clone()),
            Target::Service(_) => None,
        };
        let now_ms = self.clock.now_ms();
        DispatchRequest {
            request_id,
            incarnation: permit.endpoint.incarnation,
            model,
            adapter: call.scheduling.adapter.clone(),
            remaining_ms: (call.scheduling.deadline_ms + call.run_allowance_ms)
                .saturating_sub(now_ms),
            is_idempotent: call.is_idempotent,
            priority: call.priority,
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.to_vec(),
            known_cache_sequence: permit.known_cache_sequence,
        }
    }

    /// Reads frames until the response can be passed to the caller.
    async fn read_start(
        &self,
        call: &Call,
        permit: &EndpointPermit,
        reader: &mut FrameReader,
    ) -> Result<ResponseStart, StreamError> {
        let mut head = None;
        let mut body = Vec::new();
        loop {
            let event = match &head {
                Some((200, headers)) if call.is_streamed => {
                    match timeout(FIRST_DATA_TIMEOUT, reader.next()).await {
                        Ok(event) => event?,
                        Err(_) => {
                            return Ok(ResponseStart::Streaming {
                                headers: Vec::clone(headers),
                                first_data: Vec::new(),
                            });
                        }
                    }
                }
                _ => reader.next().await?,
            };
            match event {
                StreamEvent::Head { status, headers } => head = Some((status, headers)),
                StreamEvent::Data(bytes) => {
                    if let (true, Some((200, headers))) = (call.is_streamed, &head) {
                        return Ok(ResponseStart::Streaming {
                            headers: headers.clone(),
                            first_data: bytes,
                        });
                    }
                    if body.len() + bytes.len() > MAX_BUFFERED_RESPONSE_BYTES {
                        return Err(StreamError::Failed {
                            kind: ErrorKind::EndpointFailed,
                            run_state: RunState::Unknown,
                            detail: "the response is over the bound".to_owned(),
                        });
                    }
                    body.extend_from_slice(&bytes);
                }
                StreamEvent::End(load) => {
                    self.scheduler.record_load(&permit.endpoint, load);
                    let (status, headers) = head.unwrap_or((200, Vec::new()));
                    return Ok(ResponseStart::Buffered(StoredResponse {
                        status,
                        headers,
                        body,
                    }));
                }
            }
        }
    }

    /// Updates the endpoint's routing state after a refusal and decides whether to retry.
    fn classify_refusal(
        &self,
        permit: &EndpointPermit,
        kind: ErrorKind,
        run_state: RunState,
        detail: String,
    ) -> AttemptError {
        let endpoint = &permit.endpoint;
        match kind {
            ErrorKind::Draining => {
                self.scheduler
                    .mark_draining(&endpoint.id, endpoint.incarnation);
            }
            ErrorKind::QueueFull | ErrorKind::MemoryFull | ErrorKind::FencingStale => {
                self.scheduler
                    .start_cooldown(&endpoint.id, BUSY_COOLDOWN_MS);
            }
            _ => {}
        }
        if run_state == RunState::Unknown {
            return AttemptError {
                is_retryable: kind.properties().retry == RetryAdvice::Later,
                ..AttemptError::unknown(detail)
            };
        }
        let is_retryable = kind.properties().retry == RetryAdvice::Later;
        // The state of a single endpoint is no use to the caller, who would retry at this process.
        let reported_kind = match kind {
            ErrorKind::Draining | ErrorKind::FencingStale | ErrorKind::MemoryFull => {
                ErrorKind::NoEndpoint
            }
            other => other,
        };
        let mut failure = AttemptError::not_run(reported_kind, detail);
        failure.is_retryable = is_retryable;
        failure.is_requeueable =
            reported_kind == ErrorKind::NoEndpoint || reported_kind == ErrorKind::QueueFull;
        if !is_retryable {
            failure.refusal.retry_after_ms = None;
        }
        failure
    }

    /// Queries the outcome of a call whose connection was lost, over a new connection. An
    /// idempotent call is not queried, since repeating it is faster.
    async fn resolve_outcome(
        &self,
        call: &Call,
        permit: &EndpointPermit,
        request_id: RequestId,
    ) -> Result<Reply, AttemptError> {
        let endpoint = &permit.endpoint;
        self.scheduler
            .start_cooldown(&endpoint.id, UNREACHABLE_COOLDOWN_MS);
        if call.is_idempotent {
            return Err(AttemptError::unknown(
                "the connection to the endpoint was lost",
            ));
        }
        loop {
            let outcome_request = OutcomeRequest {
                request_id,
                incarnation: endpoint.incarnation,
            };
            let outcome_future = self.agents.query_outcome(endpoint.address, outcome_request);
            match timeout(OUTCOME_TIMEOUT, outcome_future).await {
                Ok(Ok(Outcome::NotStarted)) => {
                    let detail = "the endpoint did not start the call";
                    return Err(AttemptError::not_run(ErrorKind::NoEndpoint, detail));
                }
                Ok(Ok(Outcome::Finished(response))) => return Ok(Reply::Buffered(response)),
                Ok(Ok(Outcome::Running)) => tokio::time::sleep(OUTCOME_POLL_INTERVAL).await,
                _ => {
                    return Err(AttemptError::unknown(
                        "the connection to the endpoint was lost",
                    ));
                }
            }
        }
    }
}

/// A response as far as it was read before it is passed to the caller.
enum ResponseStart {
    Buffered(StoredResponse),
    Streaming {
        headers: Vec<(String, String)>,
        first_data: Vec<u8>,
    },
}

/// Sets in a refusal whether any attempt may have run. For a non-idempotent call that may have run,
/// the refusal carries no advice to retry.
fn set_run_state(call: &Call, refusal: Refusal, may_have_run: bool) -> Refusal {
    if !may_have_run {
        return refusal.with_run_state(RunState::NotRun);
    }
    if call.is_idempotent {
        return refusal.with_run_state(RunState::Unknown);
    }
    Refusal::new(ErrorKind::OutcomeUnknown, refusal.detail)
}
