//! Runs a call: waits for an endpoint, claims, sends, and repeats only what may be repeated.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::{Logger, info, warn};
use tokio::time::{Instant, timeout, timeout_at};
use wasabipoint_kernel::{
    EndpointId, ErrorKind, MonotonicClock, Refusal, RequestId, RetryAdvice, RunState,
};
use wasabipoint_rpc::{DispatchRequest, Outcome, OutcomeRequest, StoredResponse};

use crate::access::{Resource, verify_again};
use crate::claim::{ClaimClient, ClaimResult, IdempotencyClaim};
use crate::fleet::{Caller, Fleet};
use crate::frames::{FrameReader, StreamError, StreamEvent};
use crate::link::{AgentError, AgentLink};
use crate::quota::Reservation;
use crate::retry::RetryBudget;
use crate::scheduler::{EndpointPermit, Scheduler, Target, WaitingRequest};

/// Largest response that is collected before it is sent to the caller.
const WHOLE_RESPONSE_BYTES: usize = 32 * 1_024 * 1_024;

/// Time to wait for the first data of a streamed answer before its head is sent to the caller.
/// From then on keep-alive comments show whether the caller is still there.
const FIRST_DATA_WAIT: Duration = Duration::from_secs(2);

/// Time for one outcome query.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between outcome queries while a call still runs.
const OUTCOME_PAUSE: Duration = Duration::from_millis(100);

/// Time for which an endpoint is passed over after its agent had no room for a call.
const BUSY_MS: u64 = 100;

/// Time for which an endpoint is passed over after its agent could not be reached.
const UNREACHABLE_MS: u64 = 1_000;

/// A request ready to be queued and sent.
pub(crate) struct Call {
    pub(crate) waiting: WaitingRequest,
    pub(crate) caller: Option<Caller>,
    pub(crate) resource: Resource,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
    pub(crate) is_idempotent: bool,
    pub(crate) is_streamed: bool,
    /// Time after the deadline in which an answer that began in time may end.
    pub(crate) run_allowance_ms: u64,
    pub(crate) priority: u8,
    pub(crate) claim: Option<IdempotencyClaim>,
}

/// A streamed answer that has begun.
pub(crate) struct OpenStream {
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) first: Vec<u8>,
    pub(crate) reader: FrameReader,
    pub(crate) permit: EndpointPermit,
}

/// The answer of a call.
pub(crate) enum Reply {
    Whole(StoredResponse),
    Stream(Box<OpenStream>),
}

/// Why one attempt failed.
struct Failure {
    refusal: Refusal,
    is_retryable: bool,
    /// Whether the agent lives and merely could not take the call now.
    may_wait: bool,
}

impl Failure {
    fn not_run(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            refusal: Refusal::new(kind, detail)
                .with_run(RunState::NotRun)
                .with_retry_after_ms(1_000),
            is_retryable: true,
            may_wait: false,
        }
    }

    fn unknown(detail: impl Into<String>) -> Self {
        Self {
            refusal: Refusal::new(ErrorKind::EndpointFailed, detail).with_retry_after_ms(1_000),
            is_retryable: true,
            may_wait: false,
        }
    }

    fn is_not_run(&self) -> bool {
        self.refusal.run == RunState::NotRun
    }
}

/// Sends calls to agents.
pub(crate) struct Runner {
    pub(crate) agents: Arc<dyn AgentLink>,
    pub(crate) claimer: ClaimClient,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) budget: RetryBudget,
    pub(crate) clock: MonotonicClock,
    pub(crate) silence_bound: Duration,
    pub(crate) logger: Logger,
}

impl Runner {
    /// Runs a call to its answer. The refusal states whether any attempt may have run.
    pub(crate) async fn run(
        &self,
        call: &Call,
        mut reservation: Option<&mut Reservation>,
    ) -> Result<Reply, Refusal> {
        self.budget.record_request();
        let mut permit = self.wait_for_permit(call).await?;
        let deadline = self.deadline(call) + Duration::from_millis(call.run_allowance_ms);
        let mut attempt_id = call.waiting.request_id;
        let mut replaces = None;
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut may_have_run = false;
        loop {
            let checked = verify_again(&self.fleet, call.caller.as_ref(), &call.resource);
            checked.map_err(|refusal| finish(call, refusal, may_have_run))?;
            if let Some(claim) = &call.claim {
                let owned = self
                    .claimer
                    .claim(claim, &permit, attempt_id, replaces, deadline);
                if let ClaimResult::Completed(response) = owned.await? {
                    return Ok(Reply::Whole(response));
                }
            }
            if let Some(reservation) = reservation.as_deref_mut() {
                reservation.set_may_have_run(true);
            }
            tried.push(permit.endpoint.endpoint.clone());
            let failure = match timeout_at(deadline, self.attempt(call, permit, attempt_id)).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(failure)) => failure,
                Err(_) => {
                    let refusal = Refusal::new(ErrorKind::DeadlineExceeded, "")
                        .with_retry_after_ms(self.scheduler.estimate_retry_after_ms(&call.waiting));
                    return Err(finish(call, refusal, true));
                }
            };
            may_have_run |= !failure.is_not_run();
            if let Some(reservation) = reservation.as_deref_mut() {
                reservation.set_may_have_run(may_have_run);
            }
            let may_repeat = failure.is_retryable
                && (call.is_idempotent || !may_have_run)
                && self.budget.try_take();
            let next = may_repeat.then(|| self.scheduler.reroute(&call.waiting, &tried));
            permit = match next.flatten() {
                Some(permit) => permit,
                // The agents that were tried refused for reasons that pass; the call waits for its
                // turn again, as long as its deadline allows.
                None if failure.may_wait && !may_have_run => {
                    tried.clear();
                    self.wait_for_permit(call).await?
                }
                None => return Err(finish(call, failure.refusal, may_have_run)),
            };
            info!(self.logger, "routing: sends a request again";
                "request" => %call.waiting.request_id, "cause" => %failure.refusal.kind,
                "may_have_run" => may_have_run);
            replaces = Some(attempt_id);
            attempt_id = RequestId::random();
        }
    }

    fn deadline(&self, call: &Call) -> Instant {
        let left_ms = call.waiting.deadline_ms.saturating_sub(self.clock.now_ms());
        Instant::now() + Duration::from_millis(left_ms)
    }

    async fn wait_for_permit(&self, call: &Call) -> Result<EndpointPermit, Refusal> {
        let mut ticket = self.scheduler.enqueue(call.waiting.clone())?;
        match timeout_at(self.deadline(call), &mut ticket.receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Refusal::new(ErrorKind::NoEndpoint, "").with_retry_after_ms(1_000)),
            Err(_) => {
                drop(ticket);
                let retry_ms = self.scheduler.estimate_retry_after_ms(&call.waiting);
                Err(
                    Refusal::new(ErrorKind::DeadlineExceeded, "no endpoint was free in time")
                        .with_retry_after_ms(retry_ms),
                )
            }
        }
    }

    async fn attempt(
        &self,
        call: &Call,
        permit: EndpointPermit,
        request_id: RequestId,
    ) -> Result<Reply, Failure> {
        let request = self.build_request(call, &permit, request_id);
        let sent = self.agents.dispatch(permit.endpoint.address, &request);
        let pieces = match timeout(self.silence_bound, sent).await {
            Ok(Ok(pieces)) => pieces,
            Ok(Err(AgentError::NotSent(detail))) => {
                self.scheduler
                    .start_cooldown(&permit.endpoint.endpoint, UNREACHABLE_MS);
                return Err(Failure::not_run(ErrorKind::NoEndpoint, detail));
            }
            Ok(Err(AgentError::Refused { kind, run, detail })) => {
                return Err(self.judge_refusal(&permit, kind, run, detail));
            }
            Ok(Err(AgentError::Interrupted(_))) | Err(_) => {
                return self.learn_outcome(call, &permit, request_id).await;
            }
        };
        let began_ms = self.clock.now_ms();
        let mut reader = FrameReader::new(pieces, request_id, self.silence_bound);
        let start = self.read_start(call, &permit, &mut reader).await;
        match start {
            Ok(Start::Whole(response)) => {
                // The end of a whole completion says nothing of its first token.
                if matches!(call.waiting.target, Target::Service(_)) {
                    self.note_first(&call.waiting.target, began_ms);
                }
                Ok(Reply::Whole(response))
            }
            Ok(Start::Open { headers, first }) => {
                self.note_first(&call.waiting.target, began_ms);
                Ok(Reply::Stream(Box::new(OpenStream {
                    headers,
                    first,
                    reader,
                    permit,
                })))
            }
            Err(StreamError::Failed { kind, run, detail }) => {
                Err(self.judge_refusal(&permit, kind, run, detail))
            }
            Err(StreamError::Silent) => {
                self.give_up_connection(call, permit, reader, "no frame arrived in time")
                    .await
            }
            Err(StreamError::Broken(cause)) => {
                self.give_up_connection(call, permit, reader, cause).await
            }
        }
    }

    /// Closes a connection, before its request is asked about over another one.
    async fn give_up_connection(
        &self,
        call: &Call,
        permit: EndpointPermit,
        reader: FrameReader,
        cause: &str,
    ) -> Result<Reply, Failure> {
        let request_id = reader.request_id();
        drop(reader);
        warn!(self.logger, "routing: closed the connection of a request";
            "request" => %call.waiting.request_id,
            "endpoint" => %permit.endpoint.endpoint,
            "cause" => cause);
        self.learn_outcome(call, &permit, request_id).await
    }

    fn note_first(&self, target: &Target, began_ms: u64) {
        let elapsed_ms = self.clock.now_ms() - began_ms;
        self.scheduler.record_first_response(target, elapsed_ms);
    }

    fn build_request(
        &self,
        call: &Call,
        permit: &EndpointPermit,
        request_id: RequestId,
    ) -> DispatchRequest {
        let model = match &call.waiting.target {
            Target::Model(model) => Some(model.clone()),
            Target::Service(_) => None,
        };
        let now_ms = self.clock.now_ms();
        DispatchRequest {
            request_id,
            incarnation: permit.endpoint.incarnation,
            model,
            adapter: call.waiting.adapter.clone(),
            remaining_ms: (call.waiting.deadline_ms + call.run_allowance_ms).saturating_sub(now_ms),
            is_idempotent: call.is_idempotent,
            priority: call.priority,
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.to_vec(),
            known_cache_sequence: permit.known_cache_sequence,
        }
    }

    /// Reads up to the point from which the answer goes to the caller.
    async fn read_start(
        &self,
        call: &Call,
        permit: &EndpointPermit,
        reader: &mut FrameReader,
    ) -> Result<Start, StreamError> {
        let mut head = None;
        let mut body = Vec::new();
        loop {
            let event = match &head {
                Some((200, headers)) if call.is_streamed => {
                    match timeout(FIRST_DATA_WAIT, reader.next()).await {
                        Ok(event) => event?,
                        Err(_) => {
                            return Ok(Start::Open {
                                headers: Vec::clone(headers),
                                first: Vec::new(),
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
                        return Ok(Start::Open {
                            headers: headers.clone(),
                            first: bytes,
                        });
                    }
                    if body.len() + bytes.len() > WHOLE_RESPONSE_BYTES {
                        return Err(StreamError::Failed {
                            kind: ErrorKind::EndpointFailed,
                            run: RunState::Unknown,
                            detail: "the response is over the bound".to_owned(),
                        });
                    }
                    body.extend_from_slice(&bytes);
                }
                StreamEvent::End(load) => {
                    self.scheduler.record_load(&permit.endpoint, load);
                    let (status, headers) = head.unwrap_or((200, Vec::new()));
                    return Ok(Start::Whole(StoredResponse {
                        status,
                        headers,
                        body,
                    }));
                }
            }
        }
    }

    fn judge_refusal(
        &self,
        permit: &EndpointPermit,
        kind: ErrorKind,
        run: RunState,
        detail: String,
    ) -> Failure {
        let endpoint = &permit.endpoint;
        match kind {
            ErrorKind::Draining => {
                self.scheduler
                    .mark_draining(&endpoint.endpoint, endpoint.incarnation);
            }
            ErrorKind::QueueFull | ErrorKind::MemoryFull | ErrorKind::FencingStale => {
                self.scheduler.start_cooldown(&endpoint.endpoint, BUSY_MS);
            }
            _ => {}
        }
        if run == RunState::Unknown {
            return Failure {
                is_retryable: kind.properties().retry == RetryAdvice::Later,
                ..Failure::unknown(detail)
            };
        }
        let is_retryable = kind.properties().retry == RetryAdvice::Later;
        // The endpoint's own state is of no use to a caller, who asks this process again.
        let shown = match kind {
            ErrorKind::Draining | ErrorKind::FencingStale | ErrorKind::MemoryFull => {
                ErrorKind::NoEndpoint
            }
            other => other,
        };
        let mut failure = Failure::not_run(shown, detail);
        failure.is_retryable = is_retryable;
        failure.may_wait = shown == ErrorKind::NoEndpoint || shown == ErrorKind::QueueFull;
        if !is_retryable {
            failure.refusal.retry_after_ms = None;
        }
        failure
    }

    /// Asks over a new connection what became of a call whose connection was lost. A call that may
    /// be repeated is not asked about, since its repeat is faster than the answer.
    async fn learn_outcome(
        &self,
        call: &Call,
        permit: &EndpointPermit,
        request_id: RequestId,
    ) -> Result<Reply, Failure> {
        let endpoint = &permit.endpoint;
        self.scheduler
            .start_cooldown(&endpoint.endpoint, UNREACHABLE_MS);
        if call.is_idempotent {
            return Err(Failure::unknown("the connection to the endpoint was lost"));
        }
        loop {
            let question = OutcomeRequest {
                request_id,
                incarnation: endpoint.incarnation,
            };
            let asked = self.agents.ask_outcome(endpoint.address, question);
            match timeout(OUTCOME_TIMEOUT, asked).await {
                Ok(Ok(Outcome::NotStarted)) => {
                    let detail = "the endpoint did not start the call";
                    return Err(Failure::not_run(ErrorKind::NoEndpoint, detail));
                }
                Ok(Ok(Outcome::Finished(response))) => return Ok(Reply::Whole(response)),
                Ok(Ok(Outcome::Running)) => tokio::time::sleep(OUTCOME_PAUSE).await,
                _ => return Err(Failure::unknown("the connection to the endpoint was lost")),
            }
        }
    }
}

enum Start {
    Whole(StoredResponse),
    Open {
        headers: Vec<(String, String)>,
        first: Vec<u8>,
    },
}

/// States in a refusal whether any attempt may have run. A call that must not be repeated blindly
/// gets no advice to come back.
fn finish(call: &Call, refusal: Refusal, may_have_run: bool) -> Refusal {
    if !may_have_run {
        return refusal.with_run(RunState::NotRun);
    }
    if call.is_idempotent {
        return refusal.with_run(RunState::Unknown);
    }
    Refusal::new(ErrorKind::OutcomeUnknown, refusal.detail)
}
