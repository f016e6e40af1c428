//! Handling of an admitted request up to the last byte of its response: endpoint selection, retries
//! and stream resumption.

mod attempts;
mod hedge;
mod prompts;
mod records;
mod refusals;
mod relay;
mod wait;
mod work;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use http::{Response, StatusCode};
use slog::info;
use tokio::time::{Instant, timeout_at};
use wasabipoint_kernel::{
    CustomerId, EndpointId, ForwardRoute, ModelName, PromptPartId, Refusal, Region, RunPolicy,
    ServiceName, SoftwareVersion,
};
use wasabipoint_rpc::EndpointView;

use super::Forwarder;
use super::body_buffer::MAX_BODY_BYTES;
use super::dialect::{RequestMetadata, Responder};
use super::endpoints::{HomeRegions, SelectedEndpoint, SelectionCriteria, WorkCharge};
use super::exchange::{NotRunProof, OutgoingRequest, StartedResponse};
use super::response::{ForwardBody, strip_hop_by_hop_headers};
use crate::quota::Reservation;
use refusals::{outcome_unknown_refusal, promises_not_run, unproven_refusal};

/// An admitted request.
pub(crate) struct Call {
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) metadata: RequestMetadata,
    pub(crate) route: Arc<ForwardRoute>,
    pub(crate) service: ServiceName,
    pub(crate) customer: Option<CustomerId>,
    /// Regions whose endpoints may serve the customer; empty for all.
    pub(crate) customer_homes: BTreeSet<Region>,
    /// Id that the request shares with its repeats.
    pub(crate) identity: PromptPartId,
    pub(crate) engine_priority: Option<u8>,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) arrived_at: Instant,
    /// End of the caller's wait or of the route's timeout, whichever comes first.
    pub(crate) deadline: Instant,
    /// End of the caller's wait, from which the remaining time sent to endpoints is computed.
    pub(crate) caller_deadline: Instant,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) attempts: AttemptHistory,
    /// Software version that wrote the events of the stream that the caller has.
    pub(crate) software_version: Option<SoftwareVersion>,
    /// Whether the request probes a quarantined prompt part, and is therefore sent only once.
    pub(crate) is_probe: bool,
    /// Counts the request as demand until the call is dropped.
    pub(crate) _demand_guard: Option<DemandGuard>,
}

/// Earlier attempts to serve a request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    tried: BTreeSet<EndpointId>,
    /// Attempts that ran or may have run at an endpoint. An attempt counts from its beginning, until
    /// there is proof that it did not run. The number grows while an attempt runs if the request is
    /// hedged.
    executions: AtomicU32,
    /// Whether two attempts ran at the same time.
    is_hedged: bool,
    refusals: u32,
    connect_failures: u32,
    /// Chunks from the current endpoint that completed at least one event, and the time of the first.
    events: u32,
    first_event_at: Option<Instant>,
    /// Whether the current endpoint has written a response to the prompt.
    is_answered: bool,
}

impl AttemptHistory {
    /// Begins an attempt. It may have run from now on, however it ends.
    fn begin(&mut self) {
        *self.executions.get_mut() += 1;
        self.events = 0;
        self.first_event_at = None;
        self.is_answered = false;
    }

    /// Begins a second attempt while the first one runs. It counts as the others do.
    fn begin_hedge(&self) {
        self.executions.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of attempts that ran or may have run.
    fn executions(&self) -> u32 {
        self.executions.load(Ordering::Relaxed)
    }

    /// Takes back an attempt that did not run.
    fn take_back(&mut self, _: NotRunProof) {
        *self.executions.get_mut() -= 1;
    }
}

/// Counts a request as demand for its model until dropped.
pub(crate) struct DemandGuard {
    forwarder: Arc<Forwarder>,
    model: ModelName,
}

impl DemandGuard {
    pub(crate) fn new(forwarder: &Arc<Forwarder>, model: &ModelName) -> Self {
        forwarder.lock().demand.record_arrival(model);
        Self {
            forwarder: Arc::clone(forwarder),
            model: model.clone(),
        }
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        self.forwarder.lock().demand.record_departure(&self.model);
    }
}

/// Counts a request as in flight at its endpoint until dropped.
struct InFlightGuard {
    forwarder: Arc<Forwarder>,
    endpoint: EndpointView,
    /// Estimated number of requests at the endpoint when it was selected.
    load: u32,
    sent_at: Instant,
    /// Work of the request at the endpoint.
    charge: WorkCharge,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.forwarder.lock();
        let (id, incarnation) = (&self.endpoint.id, self.endpoint.incarnation);
        state.endpoints.remove_work(id, incarnation, self.charge);
        state.endpoints.record_end(id, incarnation);
    }
}

/// A started response and the guard that counts it at its endpoint.
struct ActiveExchange {
    started: Box<StartedResponse>,
    in_flight: InFlightGuard,
}

/// A response to a request.
enum Served {
    /// A complete response.
    Response(Response<ForwardBody>),
    /// A stream that has started.
    Stream(ActiveExchange),
}

impl Call {
    /// Serves the request and returns its response.
    pub(crate) async fn run(mut self) -> Result<Response<ForwardBody>, Refusal> {
        let forwarder = Arc::clone(&self.forwarder);
        let served = tokio::select! {
            biased;
            served = self.serve() => served?,
            () = forwarder.wait_until_ending() => return Err(self.drain_refusal()),
        };
        match served {
            Served::Response(response) => Ok(response),
            Served::Stream(active) => Ok(self.relay(active)),
        }
    }

    /// Sends the request to endpoints until one of them responds to it.
    async fn serve(&mut self) -> Result<Served, Refusal> {
        loop {
            let active = self.dispatch().await?;
            let status = active.started.head.status;
            if self.route.run_policy.is_stream() && status == StatusCode::OK {
                return Ok(Served::Stream(active));
            }
            let endpoint = active.in_flight.endpoint.clone();
            let pool = &self.forwarder.pool;
            let is_framed = active.started.has_framed_body();
            let body_read = active.started.read_body_to_end(pool, MAX_BODY_BYTES);
            let response_body = timeout_at(self.deadline, body_read).await;
            drop(active.in_flight);
            match response_body {
                Ok(Ok((head, body))) => {
                    if is_framed && status.is_success() {
                        self.record_answered();
                    }
                    let is_failure = status.is_server_error();
                    if is_failure && self.allow_retry(&endpoint, "the endpoint failed") {
                        continue;
                    }
                    if promises_not_run(status) && !self.route.run_policy.allows_retry() {
                        return Err(unproven_refusal(status));
                    }
                    self.log_response_end(&endpoint, status);
                    return Ok(Served::Response(buffered_response(head, body)));
                }
                Ok(Err(failure)) => {
                    self.record_failure(&endpoint, &failure);
                    if !self.allow_retry(&endpoint, failure.detail()) {
                        return Err(outcome_unknown_refusal(failure.detail()));
                    }
                }
                Err(_) => return Err(self.timeout_refusal()),
            }
        }
    }

    fn select_endpoint(&self) -> Option<SelectedEndpoint> {
        let state = self.forwarder.lock();
        let now_ms = self.forwarder.clock.now_ms();
        state.endpoints.select(&self.selection_criteria(), now_ms)
    }

    /// Selects an endpoint for the next attempt and uses the permission that its limit requires.
    fn take_endpoint(&self) -> Option<SelectedEndpoint> {
        let mut state = self.forwarder.lock();
        let now_ms = self.forwarder.clock.now_ms();
        state.endpoints.take(&self.selection_criteria(), now_ms)
    }

    fn selection_criteria(&self) -> SelectionCriteria<'_> {
        SelectionCriteria {
            service: &self.service,
            model: self.metadata.model.as_ref(),
            prompt_parts: &self.metadata.prompt_parts,
            tried: &self.attempts.tried,
            work: self.request_work(),
            homes: self.homes(),
            software_version: self.software_version.as_ref(),
            begins_stream: self.route.run_policy == RunPolicy::ResumableStream
                && self.software_version.is_none(),
            random: rand::random(),
        }
    }

    fn homes(&self) -> HomeRegions<'_> {
        HomeRegions {
            route: &self.route.home_regions,
            customer: &self.customer_homes,
        }
    }

    fn log_end_of_pause(&self, selected: &SelectedEndpoint) {
        if selected.is_first_after_pause {
            info!(self.forwarder.logger, "routing: pause of an endpoint ended";
                "request" => &self.metadata.request_id, "endpoint" => %selected.endpoint.id,
                "incarnation" => selected.endpoint.incarnation.0);
        }
    }

    fn track_in_flight(&self, selected: &SelectedEndpoint) -> InFlightGuard {
        let now_ms = self.forwarder.clock.now_ms();
        let criteria = self.selection_criteria();
        let mut state = self.forwarder.lock();
        let charge = state
            .endpoints
            .record_start(&selected.endpoint, &criteria, now_ms);
        drop(state);
        InFlightGuard {
            forwarder: Arc::clone(&self.forwarder),
            endpoint: selected.endpoint.clone(),
            load: selected.load,
            sent_at: Instant::now(),
            charge,
        }
    }

    fn record_endpoint_load(&self, endpoint: &EndpointView, metadata: &super::ResponseMetadata) {
        if let Some(load) = metadata.load {
            let now_ms = self.forwarder.clock.now_ms();
            let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
            let mut state = self.forwarder.lock();
            state.endpoints.record_load(id, incarnation, load, now_ms);
        }
    }

    /// Records the limit on requests that a response names, or that it names none, and the remaining
    /// cold time.
    fn record_named_limit(&self, endpoint: &EndpointView, metadata: &super::ResponseMetadata) {
        if metadata.responder == Responder::Other {
            return;
        }
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let limit = metadata.request_limit;
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        let cold_remaining_ms = metadata.cold_remaining_ms;
        state
            .endpoints
            .record_response(id, incarnation, cold_remaining_ms, now_ms);
        if state.endpoints.record_limit(id, incarnation, limit, now_ms) {
            drop(state);
            self.forwarder.report_requested.notify_one();
            info!(self.forwarder.logger, "routing: request limit of an endpoint changed";
                "request" => &self.metadata.request_id, "endpoint" => %id,
                "incarnation" => incarnation.0, "limit" => ?limit);
        }
    }

    /// Records what a response announces about its endpoint. A response that may come from another
    /// user of the address says nothing about it.
    fn record_announcement(
        &self,
        endpoint: &EndpointView,
        status: StatusCode,
        metadata: &super::ResponseMetadata,
    ) {
        let is_from_endpoint = match metadata.responder {
            Responder::Expected => true,
            Responder::Unnamed => status != StatusCode::MISDIRECTED_REQUEST,
            Responder::Other => false,
        };
        if !is_from_endpoint {
            return;
        }
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        let change =
            state
                .endpoints
                .record_announcement(id, incarnation, metadata.announcement, now_ms);
        drop(state);
        if let Some(pause_ms) = change.pause_ms {
            self.forwarder.metrics.count_announcement("pause");
            info!(self.forwarder.logger, "routing: endpoint pauses";
                "request" => &self.metadata.request_id, "endpoint" => %id,
                "incarnation" => incarnation.0, "pause_ms" => pause_ms);
        }
        if change.has_begun_to_leave {
            self.forwarder.metrics.count_announcement("leaving");
            self.forwarder.report_requested.notify_one();
            info!(self.forwarder.logger, "routing: endpoint announces that it leaves";
                "request" => &self.metadata.request_id, "endpoint" => %id,
                "incarnation" => incarnation.0, "status" => status.as_u16());
        }
    }

    /// Returns whether an endpoint that was selected still accepts the request. If so, the request is
    /// about to be sent and may run from now on, however the call ends.
    fn begin_send(&self, endpoint: &EndpointView) -> bool {
        let now_ms = self.forwarder.clock.now_ms();
        let state = self.forwarder.lock();
        let may_send = state
            .endpoints
            .may_still_send(&endpoint.id, endpoint.incarnation, now_ms);
        drop(state);
        if may_send {
            self.set_may_have_run(true);
        }
        may_send
    }

    fn set_may_have_run(&self, may_have_run: bool) {
        if let Some(reservation) = &self.reservation {
            reservation.set_may_have_run(may_have_run);
        }
    }

    fn record_refusal(
        &self,
        endpoint: &EndpointView,
        status: StatusCode,
        metadata: &super::ResponseMetadata,
    ) {
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let is_replaced = match metadata.responder {
            Responder::Expected => false,
            // Without a model, an endpoint has no other reason to answer so.
            Responder::Unnamed => self.metadata.model.is_none(),
            Responder::Other => true,
        };
        if is_misdirected && is_replaced {
            return self.record_replaced(endpoint);
        }
        self.record_endpoint_load(endpoint, metadata);
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        match &self.metadata.model {
            Some(model) if is_misdirected => {
                state
                    .endpoints
                    .record_missing_model(&endpoint.id, model, now_ms);
            }
            _ => state
                .endpoints
                .avoid(&endpoint.id, endpoint.incarnation, now_ms),
        }
    }

    /// Stops using an endpoint at whose address another one answered, and reports it to control.
    fn record_replaced(&self, endpoint: &EndpointView) {
        let now_ms = self.forwarder.clock.now_ms();
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let mut state = self.forwarder.lock();
        let is_new = state.endpoints.record_replaced(id, incarnation, now_ms);
        drop(state);
        if is_new {
            self.forwarder.report_requested.notify_one();
            info!(self.forwarder.logger, "routing: another endpoint answers at the address";
                "request" => &self.metadata.request_id, "endpoint" => %id,
                "incarnation" => incarnation.0, "address" => %endpoint.address);
        }
    }

    fn avoid(&self, endpoint: &EndpointView) {
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        state
            .endpoints
            .avoid(&endpoint.id, endpoint.incarnation, now_ms);
    }

    /// Avoids an endpoint that cannot be connected to, and triggers a report to control.
    fn record_unreachable(&self, endpoint: &EndpointView) {
        let now_ms = self.forwarder.clock.now_ms();
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let mut state = self.forwarder.lock();
        if state.endpoints.record_unreachable(id, incarnation, now_ms) {
            self.forwarder.report_requested.notify_one();
        }
    }

    /// Logs a failed attempt and returns whether a request that may have run can be retried. If so,
    /// consumes retry budget.
    fn allow_retry(&mut self, endpoint: &EndpointView, detail: &str) -> bool {
        let can_retry = !self.is_probe
            && self.route.run_policy.allows_retry()
            && self.attempts.executions() < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.try_take_retry();
        info!(self.forwarder.logger, "routing: attempt failed";
            "request" => &self.metadata.request_id, "endpoint" => %endpoint.id,
            "incarnation" => endpoint.incarnation.0, "detail" => detail,
            "runs" => self.attempts.executions(), "is_repeated" => can_retry,
            "events" => self.attempts.events, "parts" => self.parts_for_log());
        can_retry
    }

    fn try_take_retry(&self) -> bool {
        let now_ms = self.forwarder.clock.now_ms();
        self.forwarder
            .lock()
            .budget
            .try_take_retry(&self.service, now_ms)
    }

    /// Settles the quota reservation as soon as the request may have run, so that the quota refills
    /// while the response is in progress.
    fn settle_reservation(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.settle(None);
        }
    }

    fn remaining_ms(&self) -> u64 {
        let remaining = self
            .caller_deadline
            .saturating_duration_since(Instant::now());
        remaining.as_millis() as u64
    }
}

fn buffered_response(mut head: http::response::Parts, body: Bytes) -> Response<ForwardBody> {
    strip_hop_by_hop_headers(&mut head.headers);
    Response::from_parts(head, ForwardBody::Full(Some(body)))
}
