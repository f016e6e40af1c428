//! A caller's request from its admission to its last byte: choice of endpoints, repeats and
//! resumption.

mod records;
mod relay;
mod wait;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use slog::info;
use tokio::time::{Instant, timeout_at};
use wasabipoint_kernel::{
    CustomerId, EndpointId, ErrorKind, ForwardRoute, ModelName, Refusal, ServiceName,
};
use wasabipoint_rpc::EndpointView;

use super::Forwarder;
use super::answer::{ResponseBody, strip_connection_headers};
use super::body_buffer::MAX_BODY_BYTES;
use super::dialect::{ForwardMetadata, RequestMetadata};
use super::endpoints::{SelectedEndpoint, SelectionCriteria};
use super::exchange::{Exchange, Outgoing, Started, begin_exchange};
use crate::quota::Reservation;

/// Endpoints that may refuse a request before it is refused to the caller.
const MAX_REFUSALS: u32 = 3;

/// Connections that may fail before a request is refused.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Silence after which an idempotent request is given to another endpoint, as a multiple of its
/// objective.
const SILENCE_OBJECTIVES: u64 = 3;

/// Shortest such silence in milliseconds.
const MIN_SILENCE_MS: u64 = 1_200;

/// Time after which a refused caller finds the situation changed, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// A request that was admitted.
pub(crate) struct Call {
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) facts: RequestMetadata,
    pub(crate) route: Arc<ForwardRoute>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) engine_priority: Option<u8>,
    pub(crate) outgoing: Outgoing,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) caller_deadline: Instant,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) progress: Progress,
    /// Held until the request ends.
    pub(crate) _demand: Option<DemandGuard>,
}

/// What was tried for a request.
#[derive(Default)]
pub(crate) struct Progress {
    tried: BTreeSet<EndpointId>,
    runs: u32,
    refusals: u32,
    connect_failures: u32,
}

/// Counts a request as demand for its model until it ends.
pub(crate) struct DemandGuard {
    forwarder: Arc<Forwarder>,
    model: ModelName,
}

impl DemandGuard {
    pub(crate) fn new(forwarder: &Arc<Forwarder>, model: &ModelName) -> Self {
        forwarder.lock().demand.arrive(model);
        Self {
            forwarder: Arc::clone(forwarder),
            model: model.clone(),
        }
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        self.forwarder.lock().demand.leave(&self.model);
    }
}

/// Counts a request at its endpoint until it ends there.
struct PlaceGuard {
    forwarder: Arc<Forwarder>,
    endpoint: EndpointView,
    /// Estimated requests there when it was chosen.
    load: u32,
    sent: Instant,
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let mut state = self.forwarder.lock();
        state
            .endpoints
            .end(&self.endpoint.endpoint, self.endpoint.incarnation);
    }
}

/// A response that began, with its place at the endpoint.
struct Running {
    started: Box<Started>,
    place: PlaceGuard,
}

impl Call {
    /// Serves the request.
    pub(crate) async fn run(mut self) -> Result<Response<ResponseBody>, Refusal> {
        loop {
            let running = self.begin().await?;
            let status = running.started.head.status;
            if self.route.run_policy.is_stream() && status == StatusCode::OK {
                return Ok(self.relay(running));
            }
            let endpoint = running.place.endpoint.clone();
            let pool = &self.forwarder.pool;
            let read = running.started.read_whole(pool, MAX_BODY_BYTES);
            let whole = timeout_at(self.deadline, read).await;
            drop(running.place);
            match whole {
                Ok(Ok((head, body))) => {
                    let is_failure = status.is_server_error();
                    if is_failure && self.may_run_again(&endpoint, "the endpoint failed") {
                        continue;
                    }
                    self.log_end(&endpoint, status);
                    return Ok(whole_answer(head, body));
                }
                Ok(Err(detail)) => {
                    if !self.may_run_again(&endpoint, &detail) {
                        return Err(unknown(&detail));
                    }
                }
                Err(_) => return Err(self.late()),
            }
        }
    }

    /// Sends the request to endpoints until one answers.
    async fn begin(&mut self) -> Result<Running, Refusal> {
        loop {
            let choice = self.find_endpoint().await?;
            let endpoint = choice.endpoint.clone();
            self.progress.tried.insert(endpoint.endpoint.clone());
            let place = self.take_place(&choice);
            let exchange = self.exchange(&endpoint).await;
            self.log_attempt(&choice, &exchange);
            match exchange {
                Ok(Exchange::Started(started)) => {
                    self.progress.runs += 1;
                    self.set_may_have_run();
                    self.take_load(&endpoint, &started.facts);
                    return Ok(Running { started, place });
                }
                Ok(Exchange::NotSent(_)) => {
                    self.record_unreachable(&endpoint);
                    self.progress.connect_failures += 1;
                    if self.progress.connect_failures >= MAX_CONNECT_FAILURES {
                        return Err(self.refuse("no endpoint can be reached"));
                    }
                }
                Ok(Exchange::NotRun { status, facts }) => {
                    self.progress.refusals += 1;
                    self.take_refusal(&endpoint, status, &facts);
                    if self.progress.refusals >= MAX_REFUSALS || !self.try_take_retry() {
                        return Err(self.refuse("the endpoints are full"));
                    }
                }
                Ok(Exchange::Unknown(detail)) => {
                    self.progress.runs += 1;
                    self.set_may_have_run();
                    self.avoid(&endpoint);
                    if !self.may_run_again(&endpoint, &detail) {
                        return Err(unknown(&detail));
                    }
                }
                Err(_) => {
                    self.progress.runs += 1;
                    self.set_may_have_run();
                    self.avoid(&endpoint);
                    let is_over = Instant::now() >= self.deadline;
                    if is_over || !self.may_run_again(&endpoint, "no answer in time") {
                        return Err(self.late());
                    }
                }
            }
        }
    }

    async fn exchange(
        &self,
        endpoint: &EndpointView,
    ) -> Result<Exchange, tokio::time::error::Elapsed> {
        let facts = ForwardMetadata {
            remaining_ms: self.remaining_ms(),
            customer: self.customer.as_ref(),
            endpoint: &endpoint.endpoint,
            engine_priority: self.engine_priority,
            last_event_id: self.facts.last_event_id,
        };
        let forwarder = &self.forwarder;
        let dialect = forwarder.dialect.as_ref();
        let exchange = begin_exchange(&forwarder.pool, dialect, &self.outgoing, endpoint, &facts);
        tokio::pin!(exchange);
        if let Ok(begun) = timeout_at(self.silence_limit(), exchange.as_mut()).await {
            return Ok(begun);
        }
        // The endpoint may only be slow. Without another one that can take the request, what it works
        // on is all that the caller can get.
        if self.choose().is_some() {
            return timeout_at(Instant::now(), exchange).await;
        }
        timeout_at(self.deadline, exchange).await
    }

    /// Returns when a silent endpoint is given up.
    fn silence_limit(&self) -> Instant {
        let can_repeat =
            self.route.run_policy.may_repeat() && self.progress.runs + 1 < self.route.max_attempts;
        if !can_repeat {
            return self.deadline;
        }
        let silence_ms = (self.route.objective_ms * SILENCE_OBJECTIVES).max(MIN_SILENCE_MS);
        self.deadline
            .min(Instant::now() + Duration::from_millis(silence_ms))
    }

    fn choose(&self) -> Option<SelectedEndpoint> {
        let state = self.forwarder.lock();
        let now_ms = self.forwarder.clock.now_ms();
        state.endpoints.choose(&self.need(), now_ms)
    }

    fn need(&self) -> SelectionCriteria<'_> {
        SelectionCriteria {
            service: &self.service,
            model: self.facts.model.as_ref(),
            parts: &self.facts.prompt_parts,
            tried: &self.progress.tried,
            draw: rand::random(),
        }
    }

    fn take_place(&self, choice: &SelectedEndpoint) -> PlaceGuard {
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        state
            .endpoints
            .begin(&choice.endpoint, &self.need(), now_ms);
        PlaceGuard {
            forwarder: Arc::clone(&self.forwarder),
            endpoint: choice.endpoint.clone(),
            load: choice.load,
            sent: Instant::now(),
        }
    }

    fn take_load(&self, endpoint: &EndpointView, facts: &super::ResponseMetadata) {
        if let Some(load) = facts.load {
            let now_ms = self.forwarder.clock.now_ms();
            let (id, incarnation) = (&endpoint.endpoint, endpoint.incarnation);
            let mut state = self.forwarder.lock();
            state.endpoints.report(id, incarnation, load, now_ms);
        }
    }

    fn take_refusal(
        &self,
        endpoint: &EndpointView,
        status: StatusCode,
        facts: &super::ResponseMetadata,
    ) {
        self.take_load(endpoint, facts);
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        let is_missing = status == StatusCode::MISDIRECTED_REQUEST && !facts.is_other_endpoint;
        match &self.facts.model {
            Some(model) if is_missing => {
                state
                    .endpoints
                    .record_missing_model(&endpoint.endpoint, model, now_ms);
            }
            _ => state
                .endpoints
                .avoid(&endpoint.endpoint, endpoint.incarnation, now_ms),
        }
    }

    fn avoid(&self, endpoint: &EndpointView) {
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        state
            .endpoints
            .avoid(&endpoint.endpoint, endpoint.incarnation, now_ms);
    }

    /// Avoids an endpoint that could not be connected to, and tells control at once.
    fn record_unreachable(&self, endpoint: &EndpointView) {
        let now_ms = self.forwarder.clock.now_ms();
        let (id, incarnation) = (&endpoint.endpoint, endpoint.incarnation);
        let mut state = self.forwarder.lock();
        if state.endpoints.record_unreachable(id, incarnation, now_ms) {
            self.forwarder.wake_report.notify_one();
        }
    }

    /// Tells whether a request that may have run can run again, and counts the repeat.
    fn may_run_again(&mut self, endpoint: &EndpointView, detail: &str) -> bool {
        let may = self.route.run_policy.may_repeat()
            && self.progress.runs < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.try_take_retry();
        info!(self.forwarder.logger, "routing: attempt failed";
            "request" => &self.facts.request_id, "endpoint" => %endpoint.endpoint,
            "incarnation" => endpoint.incarnation.0, "detail" => detail,
            "runs" => self.progress.runs, "is_repeated" => may);
        may
    }

    fn try_take_retry(&self) -> bool {
        let now_ms = self.forwarder.clock.now_ms();
        self.forwarder
            .lock()
            .budget
            .try_take_retry(&self.service, now_ms)
    }

    /// Counts the tokens of a request that may have run as spent at once, so that the quota refills
    /// while the response runs.
    fn set_may_have_run(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.settle(None);
        }
    }

    fn remaining_ms(&self) -> u64 {
        let left = self
            .caller_deadline
            .saturating_duration_since(Instant::now());
        left.as_millis() as u64
    }

    /// The answer when the request has not run and cannot be served now.
    fn refuse(&self, detail: &str) -> Refusal {
        if self.progress.runs > 0 {
            return unknown(detail);
        }
        Refusal::new(ErrorKind::NoEndpoint, detail).with_retry_after_ms(RETRY_AFTER_MS)
    }

    /// The answer at the timeout.
    fn late(&self) -> Refusal {
        if self.progress.runs == 0 {
            return Refusal::new(ErrorKind::DeadlineUnreachable, "not started in time")
                .with_retry_after_ms(RETRY_AFTER_MS);
        }
        Refusal::new(
            ErrorKind::DeadlineExceeded,
            "the endpoint did not answer in time",
        )
        .with_run(wasabipoint_kernel::RunState::Unknown)
    }
}

/// The answer when a request may have run and its result is lost.
fn unknown(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::OutcomeUnknown, detail)
}

fn whole_answer(mut head: http::response::Parts, body: Bytes) -> Response<ResponseBody> {
    strip_connection_headers(&mut head.headers);
    Response::from_parts(head, ResponseBody::Whole(Some(body)))
}
