//! A caller's request from its admission to its last byte: choice of endpoints, repeats and
//! resumption.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use wasabipoint_kernel::{
    CustomerId, ErrorKind, ForwardRoute, ModelName, Refusal, RunPolicy, ServiceName,
};
use wasabipoint_rpc::{AdapterRequest, EndpointView};

use super::answer::{AnswerBody, strip_connection_headers};
use super::dialect::{ForwardFacts, RequestFacts};
use super::endpoints::{Choice, Need};
use super::events::EventSplitter;
use super::exchange::{Exchange, Outgoing, Started, begin_exchange};
use super::{Forwarder, is_sampled};
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

/// Shortest time that callers wait for the first event of a stream, in milliseconds.
const MIN_PATIENCE_MS: u64 = 2_000;

/// Time that callers wait for the first event, as a multiple of the objective.
const PATIENCE_OBJECTIVES: u64 = 4;

/// Time that callers wait for the first event, as a multiple of the longest pause on time.
const PATIENCE_GAPS: u64 = 8;

/// Pause between requests to control for the same adapter.
const ADAPTER_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a request waits while the engines with its model take no further adapter.
const ADAPTER_PATIENCE: Duration = Duration::from_secs(1);

/// When a refused request for an adapter may come back. Changes of engines take about as long.
const ADAPTER_RETRY: Duration = Duration::from_millis(1_500);

/// Time beyond twice its expected duration after which a load counts as overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(500);

/// Share of a caller's patience that an expected load may take. Loads often take longer than
/// expected, and a refused caller comes back in time.
const WAIT_SHARE: f64 = 0.7;

/// Time left for the first event once a model is loaded, in milliseconds.
const FIRST_EVENT_MS: u64 = 200;

/// Time after which a refused caller finds the situation changed, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Pieces on their way to a caller. A caller that reads slowly slows its endpoint.
const STREAM_PIECES: usize = 16;

/// A request that was admitted.
pub(crate) struct Call {
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) facts: RequestFacts,
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
    tried: BTreeSet<wasabipoint_kernel::EndpointId>,
    runs: u32,
    sends: u32,
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

/// Counts a request as waiting for its model.
struct WaitGuard<'a> {
    forwarder: &'a Forwarder,
    model: &'a ModelName,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.forwarder.lock().demand.end_wait(self.model);
    }
}

/// Counts a request at its endpoint until it ends there.
struct PlaceGuard {
    forwarder: Arc<Forwarder>,
    endpoint: EndpointView,
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
    pub(crate) async fn run(mut self) -> Result<Response<AnswerBody>, Refusal> {
        loop {
            let running = self.begin().await?;
            let status = running.started.head.status;
            if self.route.run_policy.is_stream() && status == StatusCode::OK {
                return Ok(self.relay(running));
            }
            let endpoint = running.place.endpoint.clone();
            let read = running.started.read_whole(&self.forwarder.pool);
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
            let place = self.take_place(&endpoint);
            let exchange = self.exchange(&endpoint).await;
            self.log_attempt(&choice, &exchange);
            match exchange {
                Ok(Exchange::Started(started)) => {
                    self.progress.sends += 1;
                    self.progress.runs += 1;
                    self.set_may_have_run();
                    self.take_load(&endpoint, &started.facts);
                    return Ok(Running { started, place });
                }
                Ok(Exchange::NotSent(_)) => {
                    self.avoid(&endpoint);
                    self.progress.connect_failures += 1;
                    if self.progress.connect_failures >= MAX_CONNECT_FAILURES {
                        return Err(self.refuse("no endpoint can be reached"));
                    }
                }
                Ok(Exchange::NotRun { status, facts }) => {
                    self.progress.sends += 1;
                    self.progress.refusals += 1;
                    self.take_refusal(&endpoint, status, &facts);
                    if self.progress.refusals >= MAX_REFUSALS || !self.take_repeat() {
                        return Err(self.refuse("the endpoints are full"));
                    }
                }
                Ok(Exchange::Unknown(detail)) => {
                    self.progress.sends += 1;
                    self.progress.runs += 1;
                    self.set_may_have_run();
                    self.avoid(&endpoint);
                    if !self.may_run_again(&endpoint, &detail) {
                        return Err(unknown(&detail));
                    }
                }
                Err(_) => {
                    self.progress.sends += 1;
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
        let facts = ForwardFacts {
            remaining_ms: self.remaining_ms(),
            customer: self.customer.as_ref(),
            endpoint: &endpoint.endpoint,
            engine_priority: self.engine_priority,
            last_event_id: self.facts.last_event_id,
        };
        let forwarder = &self.forwarder;
        let dialect = forwarder.dialect.as_ref();
        let exchange = begin_exchange(&forwarder.pool, dialect, &self.outgoing, endpoint, &facts);
        timeout_at(self.silence_limit(), exchange).await
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

    /// Finds an endpoint, waiting for its model where that is worthwhile.
    async fn find_endpoint(&mut self) -> Result<Choice, Refusal> {
        let forwarder = Arc::clone(&self.forwarder);
        let mut changed = forwarder.changed.subscribe();
        let model = self.facts.model.clone();
        let mut wait: Option<WaitGuard<'_>> = None;
        let mut asked: Option<Instant> = None;
        let mut overdue: Option<Instant> = None;
        loop {
            changed.borrow_and_update();
            if let Some(choice) = self.choose() {
                return Ok(choice);
            }
            if Instant::now() >= self.deadline {
                return Err(self.late());
            }
            let Some(model) = &model else {
                return Err(self.refuse("no endpoint of the service is available"));
            };
            if forwarder.is_draining() {
                return Err(self.refuse("shutting down, and the model is not loaded"));
            }
            if !self.progress.tried.is_empty() && self.has_tried_holders(model) {
                return Err(self.refuse("every endpoint with the model was tried"));
            }
            let is_due = asked.is_none_or(|asked| asked.elapsed() >= ADAPTER_PAUSE);
            if is_due && model.as_str().contains('/') {
                asked = Some(Instant::now());
                if self.ask_for_adapter(model).await {
                    continue;
                }
            }
            if wait.is_none() {
                forwarder.lock().demand.begin_wait(model);
                wait = Some(WaitGuard {
                    forwarder: &forwarder,
                    model,
                });
            }
            let ready = forwarder.ask_load_time(model).await;
            if changed.has_changed().unwrap_or(false) {
                continue;
            }
            let patience = self.patience();
            if ready.is_none() && asked.is_some() {
                // The model is there; its engines may take the adapter in a moment.
                let limit = self.arrived + ADAPTER_PATIENCE;
                if Instant::now() >= limit.min(patience) {
                    return Err(self.refuse_cold(Some(ADAPTER_RETRY)));
                }
                let _ = timeout_at(Instant::now() + ADAPTER_PAUSE, changed.changed()).await;
                continue;
            }
            let left = patience.saturating_duration_since(Instant::now());
            let Some(ready) = ready.filter(|ready| *ready < left.mul_f64(WAIT_SHARE)) else {
                return Err(self.refuse_cold(ready));
            };
            // A load that takes much longer than first expected may never end.
            let overdue = *overdue.get_or_insert(Instant::now() + ready * 2 + OVERDUE_MARGIN);
            if Instant::now() >= overdue {
                return Err(self.refuse_cold(Some(ready.max(OVERDUE_MARGIN))));
            }
            let look = Duration::from_millis(500).max(ready / 2);
            let limit = patience.min(Instant::now() + look);
            // A timeout leads to another look: an endpoint may no longer be avoided.
            let _ = timeout_at(limit, changed.changed()).await;
        }
    }

    /// Returns when the caller of a stream without any event leaves.
    fn patience(&self) -> Instant {
        if !self.route.run_policy.is_stream() {
            return self.deadline;
        }
        let patience_ms = MIN_PATIENCE_MS
            .max(self.route.objective_ms * PATIENCE_OBJECTIVES)
            .max(self.route.max_gap_ms * PATIENCE_GAPS);
        let until = self.arrived + Duration::from_millis(patience_ms - FIRST_EVENT_MS);
        until.min(self.deadline)
    }

    /// The answer when a model is loaded too late for the request.
    fn refuse_cold(&self, ready: Option<Duration>) -> Refusal {
        let mut refusal = self.refuse("the model is not loaded in time");
        if let (Some(ready), Some(_)) = (ready, refusal.retry_after_ms) {
            refusal.retry_after_ms = Some(ready.as_millis() as u64);
        }
        refusal
    }

    fn has_tried_holders(&self, model: &ModelName) -> bool {
        let state = self.forwarder.lock();
        let now_ms = self.forwarder.clock.now_ms();
        !state
            .endpoints
            .holders(&self.service, model, now_ms)
            .is_empty()
    }

    /// Asks control to load an adapter; tells whether an endpoint has it now.
    async fn ask_for_adapter(&self, model: &ModelName) -> bool {
        let Some((base, _)) = model.as_str().split_once('/') else {
            return false;
        };
        let now_ms = self.forwarder.clock.now_ms();
        let base = ModelName::new(base);
        let candidates = self
            .forwarder
            .lock()
            .endpoints
            .holders(&self.service, &base, now_ms);
        if candidates.is_empty() {
            return false;
        }
        let request = AdapterRequest {
            adapter: model.clone(),
            candidates,
        };
        let asked = self.forwarder.control.load_adapter(request);
        match timeout_at(self.deadline, asked).await {
            Ok(Ok(endpoint)) => {
                let mut state = self.forwarder.lock();
                state.endpoints.note_loaded(&endpoint, model);
                true
            }
            Ok(Err(error)) => {
                warn!(self.forwarder.logger, "routing: adapter not loaded";
                    "request" => &self.facts.request_id, "adapter" => %model,
                    "error" => ?error);
                false
            }
            Err(_) => false,
        }
    }

    fn choose(&self) -> Option<Choice> {
        let state = self.forwarder.lock();
        let now_ms = self.forwarder.clock.now_ms();
        state.endpoints.choose(&self.need(), now_ms)
    }

    fn need(&self) -> Need<'_> {
        Need {
            service: &self.service,
            model: self.facts.model.as_ref(),
            parts: &self.facts.prompt_parts,
            tried: &self.progress.tried,
        }
    }

    fn take_place(&self, endpoint: &EndpointView) -> PlaceGuard {
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        state.endpoints.begin(endpoint, &self.need(), now_ms);
        PlaceGuard {
            forwarder: Arc::clone(&self.forwarder),
            endpoint: endpoint.clone(),
        }
    }

    fn take_load(&self, endpoint: &EndpointView, facts: &super::ResponseFacts) {
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
        facts: &super::ResponseFacts,
    ) {
        self.take_load(endpoint, facts);
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        let is_missing = status == StatusCode::MISDIRECTED_REQUEST && !facts.is_other_endpoint;
        match &self.facts.model {
            Some(model) if is_missing => {
                state
                    .endpoints
                    .note_missing(&endpoint.endpoint, model, now_ms);
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

    /// Tells whether a request that may have run can run again, and counts the repeat.
    fn may_run_again(&mut self, endpoint: &EndpointView, detail: &str) -> bool {
        let may = self.route.run_policy.may_repeat()
            && self.progress.runs < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.take_repeat();
        info!(self.forwarder.logger, "routing: attempt failed";
            "request" => &self.facts.request_id, "endpoint" => %endpoint.endpoint,
            "incarnation" => endpoint.incarnation.0, "detail" => detail,
            "runs" => self.progress.runs, "is_repeated" => may);
        may
    }

    fn take_repeat(&self) -> bool {
        let now_ms = self.forwarder.clock.now_ms();
        self.forwarder
            .lock()
            .budget
            .take_repeat(&self.service, now_ms)
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

    /// Relays a stream in a task of its own.
    fn relay(self, running: Running) -> Response<AnswerBody> {
        let mut head = running.started.head.clone();
        strip_connection_headers(&mut head.headers);
        head.headers.remove(http::header::CONTENT_LENGTH);
        let (sender, receiver) = mpsc::channel(STREAM_PIECES);
        tokio::spawn(self.relay_events(running, sender));
        Response::from_parts(head, AnswerBody::Stream(receiver))
    }

    async fn relay_events(mut self, mut running: Running, sender: mpsc::Sender<Option<Bytes>>) {
        let mut events = EventSplitter::default();
        loop {
            let detail = tokio::select! {
                biased;
                () = sender.closed() => {
                    self.log_left(&running.place.endpoint);
                    return;
                }
                relayed = relay_one(&mut running.started, &mut events, &sender) => match relayed {
                    Ok(false) => continue,
                    Ok(true) => {
                        running.started.finish(&self.forwarder.pool);
                        self.log_end(&running.place.endpoint, StatusCode::OK);
                        return;
                    }
                    Err(detail) => detail,
                },
                () = tokio::time::sleep_until(self.deadline) => {
                    warn!(self.forwarder.logger, "routing: stream ended at its timeout";
                        "request" => &self.facts.request_id,
                        "endpoint" => %running.place.endpoint.endpoint);
                    return;
                }
            };
            let endpoint = running.place.endpoint.clone();
            drop(running);
            self.avoid(&endpoint);
            let is_resumable = self.route.run_policy == RunPolicy::ResumableStream;
            if !is_resumable || !self.may_run_again(&endpoint, &detail) {
                self.log_broken(&endpoint, &detail);
                return;
            }
            events.drop_partial();
            self.facts.last_event_id = events.last_id().or(self.facts.last_event_id);
            let resumed = tokio::select! {
                biased;
                () = sender.closed() => return,
                resumed = self.begin() => resumed,
            };
            match resumed {
                Ok(next) if next.started.head.status == StatusCode::OK => running = next,
                Ok(next) => {
                    let detail = format!("status {} at the resumption", next.started.head.status);
                    self.log_broken(&endpoint, &detail);
                    return;
                }
                Err(refusal) => {
                    self.log_broken(&endpoint, &refusal.detail);
                    return;
                }
            }
        }
    }

    fn log_attempt(
        &self,
        choice: &Choice,
        exchange: &Result<Exchange, tokio::time::error::Elapsed>,
    ) {
        let outcome = match exchange {
            Ok(Exchange::Started(started)) if started.head.status.is_success() => {
                if !is_sampled(&self.facts.request_id) {
                    return;
                }
                "started".to_owned()
            }
            Ok(Exchange::Started(started)) => format!("status {}", started.head.status.as_u16()),
            Ok(Exchange::NotRun { status, .. }) => format!("not run, status {}", status.as_u16()),
            Ok(Exchange::NotSent(detail)) => format!("not sent: {detail}"),
            Ok(Exchange::Unknown(detail)) => format!("unknown: {detail}"),
            Err(_) => "silent".to_owned(),
        };
        info!(self.forwarder.logger, "routing: attempt";
            "request" => &self.facts.request_id, "route" => %self.route.name,
            "model" => self.facts.model.as_ref().map(ModelName::as_str),
            "endpoint" => %choice.endpoint.endpoint,
            "incarnation" => choice.endpoint.incarnation.0,
            "load" => choice.load, "candidates" => choice.candidates,
            "waited_ms" => self.arrived.elapsed().as_millis() as u64,
            "left_ms" => self.remaining_ms(), "outcome" => outcome);
    }

    fn log_end(&self, endpoint: &EndpointView, status: StatusCode) {
        self.forwarder.meters.count("served");
        self.forwarder.meters.record_total(self.arrived.elapsed());
        if status.is_success() && !is_sampled(&self.facts.request_id) {
            return;
        }
        info!(self.forwarder.logger, "routing: ended"; "request" => &self.facts.request_id,
            "endpoint" => %endpoint.endpoint, "status" => status.as_u16(),
            "elapsed_ms" => self.arrived.elapsed().as_millis() as u64);
    }

    fn log_left(&self, endpoint: &EndpointView) {
        self.forwarder.meters.count("caller_left");
        info!(self.forwarder.logger, "routing: caller left"; "request" => &self.facts.request_id,
            "endpoint" => %endpoint.endpoint,
            "elapsed_ms" => self.arrived.elapsed().as_millis() as u64);
    }

    fn log_broken(&self, endpoint: &EndpointView, detail: &str) {
        self.forwarder.meters.count("broken_off");
        warn!(self.forwarder.logger, "routing: stream broken off";
            "request" => &self.facts.request_id, "endpoint" => %endpoint.endpoint,
            "detail" => detail, "elapsed_ms" => self.arrived.elapsed().as_millis() as u64);
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

/// Relays the next piece; `true` at the end of a complete stream.
async fn relay_one(
    started: &mut Started,
    events: &mut EventSplitter,
    sender: &mpsc::Sender<Option<Bytes>>,
) -> Result<bool, String> {
    let Some(piece) = started.next_piece().await? else {
        if events.has_partial() {
            return Err("the stream ended inside an event".to_owned());
        }
        // A closed channel means that the caller left, which the next look notices.
        let _ = sender.send(None).await;
        return Ok(true);
    };
    let whole = events.push(piece);
    if events.is_overfull() {
        return Err("an event is too large".to_owned());
    }
    if !whole.is_empty() {
        let _ = sender.send(Some(whole)).await;
    }
    Ok(false)
}

/// The answer when a request may have run and its result is lost.
fn unknown(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::OutcomeUnknown, detail)
}

fn whole_answer(mut head: http::response::Parts, body: Bytes) -> Response<AnswerBody> {
    strip_connection_headers(&mut head.headers);
    Response::from_parts(head, AnswerBody::Whole(Some(body)))
}
