//! Admission and scheduling: queues requests per target, estimates their wait time and assigns
//! endpoints in fair order.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};

use slog::{Logger, info};
use tokio::sync::{Notify, oneshot};
use wasabipoint_kernel::{
    AdapterName, CustomerId, EndpointId, ErrorKind, FailureDomain, Incarnation, ModelName,
    MonotonicClock, Refusal, RequestId, ServiceName,
};
use wasabipoint_rpc::{
    ColdEstimate, EndpointKind, EndpointView, FleetView, LoadReport, ModelDemand,
};

use crate::decisions::{DecisionLog, RoutingDecision};
use crate::endpoints::{EndpointTable, RoutedEndpoint};
use crate::estimate::{WaitEstimate, WaitEstimator};
use crate::fair_queue::FairQueue;
use crate::fleet::FleetCache;

/// The model or service that a request is addressed to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Target {
    Model(ModelName),
    Service(ServiceName),
}

impl Target {
    pub(crate) fn is_served_by(&self, endpoint: &EndpointView) -> bool {
        match self {
            Self::Model(model) => {
                endpoint.kind == EndpointKind::Engine && endpoint.models.contains(model)
            }
            Self::Service(service) => {
                endpoint.kind == EndpointKind::Service && endpoint.service == *service
            }
        }
    }

    pub(crate) fn as_str(&self) -> &str {
        match self {
            Self::Model(model) => model.as_str(),
            Self::Service(service) => service.as_str(),
        }
    }
}

/// What admission, queueing and routing need to know about a request.
#[derive(Debug, Clone)]
pub(crate) struct SchedulingRequest {
    pub(crate) request_id: RequestId,
    pub(crate) customer: CustomerId,
    pub(crate) target: Target,
    pub(crate) adapter: Option<AdapterName>,
    /// Hashes of the leading prompt blocks.
    pub(crate) prefix: Arc<[u64]>,
    pub(crate) cost_tokens: u64,
    pub(crate) body_bytes: u64,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
}

/// A request in a queue and the channel on which it receives its permit or refusal.
struct QueueItem {
    request: SchedulingRequest,
    sender: oneshot::Sender<Result<EndpointPermit, Refusal>>,
}

/// Queue space that a customer occupies, over all targets.
#[derive(Default)]
struct QueueUsage {
    requests: u64,
    bytes: u64,
}

/// State of [`Scheduler`].
struct State {
    queues: BTreeMap<Target, FairQueue<QueueItem>>,
    queue_usage: HashMap<CustomerId, QueueUsage>,
    endpoints: EndpointTable,
    wait_estimator: WaitEstimator,
    /// Requests per model since the last demand report.
    arrivals: BTreeMap<ModelName, u32>,
    /// Requests per target that hold a permit.
    in_flight: BTreeMap<Target, u32>,
    last_ticket_id: u64,
}

/// Request queues and endpoint slots of one entry process.
///
/// Methods read the clock before they take the lock, so a timestamp in the state may be later than
/// theirs. Time differences therefore saturate at zero.
pub(crate) struct Scheduler {
    state: Mutex<State>,
    /// Notified when a request arrives for a model that no endpoint has loaded.
    cold_demand: Notify,
    fleet: Arc<FleetCache>,
    decisions: Arc<DecisionLog>,
    clock: MonotonicClock,
    logger: Logger,
}

/// An endpoint assigned to a request. The request counts as in flight there until the permit is
/// dropped.
pub(crate) struct EndpointPermit {
    pub(crate) endpoint: EndpointView,
    /// Sequence number of the last cache event known from the endpoint.
    pub(crate) known_cache_sequence: u64,
    scheduler: Arc<Scheduler>,
    target: Target,
    assigned_ms: u64,
}

impl EndpointPermit {
    pub(crate) fn record_load(&self, load: LoadReport) {
        self.scheduler.record_load(&self.endpoint, load);
    }

    /// Excludes the endpoint from routing for `duration_ms`.
    pub(crate) fn start_cooldown(&self, duration_ms: u64) {
        self.scheduler
            .start_cooldown(&self.endpoint.id, duration_ms);
    }
}

impl Drop for EndpointPermit {
    fn drop(&mut self) {
        let scheduler = &self.scheduler;
        let mut state = scheduler.lock();
        state.endpoints.release(&self.endpoint.id);
        if let Some(count) = state.in_flight.get_mut(&self.target) {
            *count = count.saturating_sub(1);
        }
        let held_ms = scheduler.clock.now_ms().saturating_sub(self.assigned_ms);
        state.wait_estimator.record_slot_hold(&self.target, held_ms);
        drop(state);
        scheduler.dispatch_queued();
    }
}

/// A queued request. Dropping the ticket removes the request from its queue.
pub(crate) struct QueueTicket {
    scheduler: Arc<Scheduler>,
    id: u64,
    customer: CustomerId,
    target: Target,
    pub(crate) receiver: oneshot::Receiver<Result<EndpointPermit, Refusal>>,
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let mut state = self.scheduler.lock();
        let removed = state
            .queues
            .get_mut(&self.target)
            .and_then(|queue| queue.remove(&self.customer, self.id));
        if let Some(queued) = &removed {
            state.release_queue_space(&queued.request);
        }
    }
}

impl State {
    /// Releases the queue space of a request that left its queue, and drops the queue once empty.
    fn release_queue_space(&mut self, request: &SchedulingRequest) {
        if let Some(usage) = self.queue_usage.get_mut(&request.customer) {
            usage.requests = usage.requests.saturating_sub(1);
            usage.bytes = usage.bytes.saturating_sub(request.body_bytes);
            if usage.requests == 0 {
                self.queue_usage.remove(&request.customer);
            }
        }
        if self
            .queues
            .get(&request.target)
            .is_some_and(FairQueue::is_empty)
        {
            self.queues.remove(&request.target);
        }
    }

    fn estimate(&self, view: &FleetView, request: &SchedulingRequest, now_ms: u64) -> WaitEstimate {
        let requests_ahead = self
            .queues
            .get(&request.target)
            .map_or(0, |queue| queue.items_ahead(&request.customer));
        let slots = self.endpoints.total_slots(view, &request.target, now_ms);
        let can_start_now =
            requests_ahead == 0 && self.endpoints.has_free_slot(view, &request.target, now_ms);
        self.wait_estimator.estimate(
            &request.target,
            requests_ahead as u64,
            slots,
            can_start_now,
            now_ms,
        )
    }
}

impl Scheduler {
    pub(crate) fn new(
        failure_domain: FailureDomain,
        fleet: Arc<FleetCache>,
        decisions: Arc<DecisionLog>,
        clock: MonotonicClock,
        logger: Logger,
    ) -> Self {
        Self {
            state: Mutex::new(State {
                queues: BTreeMap::new(),
                queue_usage: HashMap::new(),
                endpoints: EndpointTable::new(failure_domain, logger.clone()),
                wait_estimator: WaitEstimator::new(),
                arrivals: BTreeMap::new(),
                in_flight: BTreeMap::new(),
                last_ticket_id: 0,
            }),
            cold_demand: Notify::new(),
            fleet,
            decisions,
            clock,
            logger,
        }
    }

    /// Waits until a request arrives for a model that no endpoint has loaded.
    pub(crate) async fn wait_for_cold_demand(&self) {
        self.cold_demand.notified().await;
    }

    /// Returns whether no endpoint serves the target, such as a model that is not loaded.
    fn is_cold(view: &FleetView, target: &Target) -> bool {
        !view
            .endpoints
            .values()
            .any(|endpoint| target.is_served_by(endpoint))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Counts the arrival of a request for a model.
    pub(crate) fn record_arrival(&self, model: &ModelName) {
        *self.lock().arrivals.entry(model.clone()).or_default() += 1;
    }

    /// Refuses a request whose service has no active endpoint, whose deadline cannot be met, or
    /// whose customer's queue space is used up.
    pub(crate) fn check_admission(&self, request: &SchedulingRequest) -> Result<(), Refusal> {
        let view = self.fleet.view();
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        if matches!(request.target, Target::Service(_))
            && !state.endpoints.has_active(&view, &request.target)
        {
            return Err(Refusal::new(ErrorKind::NoEndpoint, "").with_retry_after_ms(1_000));
        }
        let wait = state.estimate(&view, request, now_ms);
        if now_ms + wait.total_ms() > request.deadline_ms {
            if wait.load_ms > 0 {
                self.cold_demand.notify_one();
            }
            return Err(build_deadline_refusal(request, &wait, now_ms));
        }
        let rules = &view.rules.admission;
        let is_full = state
            .queue_usage
            .get(&request.customer)
            .is_some_and(|usage| {
                usage.requests >= rules.queue_requests
                    || usage.bytes + request.body_bytes > rules.queue_bytes
            });
        if is_full {
            let retry_after_ms = wait.total_ms().max(1_000);
            return Err(Refusal::new(ErrorKind::QueueFull, "").with_retry_after_ms(retry_after_ms));
        }
        Ok(())
    }

    /// Queues a request and dispatches queued requests to free slots.
    pub(crate) fn enqueue(
        self: &Arc<Self>,
        request: SchedulingRequest,
    ) -> Result<QueueTicket, Refusal> {
        // Checked again, since the request may have waited for quota tokens after the first check.
        self.check_admission(&request)?;
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            state.last_ticket_id += 1;
            let id = state.last_ticket_id;
            let usage = state
                .queue_usage
                .entry(request.customer.clone())
                .or_default();
            usage.requests += 1;
            usage.bytes += request.body_bytes;
            let ticket = QueueTicket {
                scheduler: Arc::clone(self),
                id,
                customer: request.customer.clone(),
                target: request.target.clone(),
                receiver,
            };
            let cost_tokens = request.cost_tokens;
            state
                .queues
                .entry(request.target.clone())
                .or_default()
                .push(
                    &ticket.customer,
                    id,
                    cost_tokens,
                    QueueItem { request, sender },
                );
            ticket
        };
        if Self::is_cold(&self.fleet.view(), &ticket.target) {
            self.cold_demand.notify_one();
        }
        self.dispatch_queued();
        Ok(ticket)
    }

    /// Assigns free slots to queued requests.
    pub(crate) fn dispatch_queued(self: &Arc<Self>) {
        let view = self.fleet.view();
        let now_ms = self.clock.now_ms();
        let mut permits = Vec::new();
        {
            let mut state = self.lock();
            let mut targets: Vec<Target> = state.queues.keys().cloned().collect();
            // Targets share endpoints, so a fixed order would favor the first target.
            if !targets.is_empty() {
                let start = rand::random_range(0..targets.len());
                targets.rotate_left(start);
            }
            for target in targets {
                while state.endpoints.has_free_slot(&view, &target, now_ms) {
                    let Some(queued) = state.queues.get_mut(&target).and_then(FairQueue::pop)
                    else {
                        break;
                    };
                    state.release_queue_space(&queued.request);
                    let Some(permit) = self.assign(&mut state, &view, &queued.request, &[], true)
                    else {
                        break;
                    };
                    permits.push((queued.sender, permit));
                }
            }
        }
        // Sent after the lock is released: a permit whose receiver is gone is dropped here, and
        // dropping a permit takes the lock.
        for (sender, permit) in permits {
            let _ = sender.send(Ok(permit));
        }
    }

    /// Assigns another endpoint, without queueing, to a request that already held a permit.
    pub(crate) fn reroute(
        self: &Arc<Self>,
        request: &SchedulingRequest,
        excluded: &[EndpointId],
    ) -> Option<EndpointPermit> {
        let view = self.fleet.view();
        let mut state = self.lock();
        self.assign(&mut state, &view, request, excluded, false)
    }

    /// Chooses an endpoint and creates the permit for it. An endpoint without a free slot is chosen
    /// only if `needs_slot` is false.
    fn assign(
        self: &Arc<Self>,
        state: &mut State,
        view: &FleetView,
        request: &SchedulingRequest,
        excluded: &[EndpointId],
        needs_slot: bool,
    ) -> Option<EndpointPermit> {
        let now_ms = self.clock.now_ms();
        let routed = state
            .endpoints
            .choose(view, request, excluded, needs_slot, now_ms)?;
        *state.in_flight.entry(request.target.clone()).or_default() += 1;
        self.record_decision(request, &routed, now_ms);
        Some(EndpointPermit {
            endpoint: routed.endpoint,
            known_cache_sequence: routed.known_cache_sequence,
            scheduler: Arc::clone(self),
            target: request.target.clone(),
            assigned_ms: now_ms,
        })
    }

    fn record_decision(&self, request: &SchedulingRequest, routed: &RoutedEndpoint, now_ms: u64) {
        let waited_ms = now_ms.saturating_sub(request.arrived_ms);
        info!(self.logger, "routing: chose an endpoint";
            "request" => %request.request_id,
            "customer" => %request.customer,
            "target" => request.target.as_str(),
            "endpoint" => %routed.endpoint.id,
            "reason" => &routed.reason,
            "others" => routed.others.join("; "),
            "prompt_blocks" => request.prefix.len(),
            "cost_tokens" => request.cost_tokens,
            "waited_ms" => waited_ms);
        self.decisions.record(RoutingDecision {
            request_id: request.request_id,
            customer: request.customer.clone(),
            target: request.target.as_str().to_owned(),
            endpoint: routed.endpoint.id.clone(),
            reason: routed.reason.clone(),
            others: routed.others.clone(),
            waited_ms,
        });
    }

    /// Applies the current fleet view to the endpoints and dispatches queued requests.
    pub(crate) fn apply_fleet_view(self: &Arc<Self>) {
        let view = self.fleet.view();
        self.lock().endpoints.apply_view(&view);
        self.dispatch_queued();
    }

    /// Applies control's estimates of model load times, and refuses queued requests whose deadline
    /// passes before their model is ready.
    pub(crate) fn apply_cold_estimates(&self, estimates: &[ColdEstimate]) {
        let now_ms = self.clock.now_ms();
        let mut refused = Vec::new();
        let mut state = self.lock();
        for cold in estimates {
            let target = Target::Model(cold.model.clone());
            let ready_ms = now_ms + cold.ready_in_ms;
            state.wait_estimator.record_model_ready(&target, ready_ms);
            let Some(queue) = state.queues.get_mut(&target) else {
                continue;
            };
            let unreachable: Vec<(CustomerId, RequestId)> = queue
                .iter()
                .filter(|queued| queued.request.deadline_ms < ready_ms)
                .map(|queued| (queued.request.customer.clone(), queued.request.request_id))
                .collect();
            for (customer, request_id) in unreachable {
                let removed =
                    queue.remove_where(&customer, |queued| queued.request.request_id == request_id);
                refused.extend(removed.map(|queued| (queued, ready_ms)));
            }
        }
        for (queued, _) in &refused {
            state.release_queue_space(&queued.request);
        }
        drop(state);
        for (queued, ready_ms) in refused {
            // A retry after this delay has its whole timeout left for the rest of the load.
            let retry_after_ms = ready_ms.saturating_sub(queued.request.deadline_ms);
            let refusal = Refusal::new(ErrorKind::DeadlineUnreachable, "the model is not loaded")
                .with_retry_after_ms(retry_after_ms.max(1_000));
            let _ = queued.sender.send(Err(refusal));
        }
    }

    /// Estimates the delay after which a caller should retry a request that missed its deadline.
    pub(crate) fn estimate_retry_after_ms(&self, request: &SchedulingRequest) -> u64 {
        let view = self.fleet.view();
        let now_ms = self.clock.now_ms();
        let wait = self.lock().estimate(&view, request, now_ms);
        wait.total_ms().max(1_000)
    }

    /// Records the time from dispatch to the first part of the response.
    pub(crate) fn record_first_response(&self, target: &Target, elapsed_ms: u64) {
        let now_ms = self.clock.now_ms();
        self.lock()
            .wait_estimator
            .record_response_start(target, elapsed_ms, now_ms);
    }

    pub(crate) fn record_load(&self, endpoint: &EndpointView, load: LoadReport) {
        let now_ms = self.clock.now_ms();
        self.lock()
            .endpoints
            .record_load(&endpoint.id, endpoint.incarnation, load, now_ms);
    }

    pub(crate) fn mark_draining(&self, endpoint: &EndpointId, incarnation: Incarnation) {
        self.lock().endpoints.mark_draining(endpoint, incarnation);
    }

    /// Excludes an endpoint from routing for `duration_ms`.
    pub(crate) fn start_cooldown(&self, endpoint: &EndpointId, duration_ms: u64) {
        let until_ms = self.clock.now_ms() + duration_ms;
        self.lock().endpoints.start_cooldown(endpoint, until_ms);
    }

    /// Returns the demand per model, with arrivals since the last call, and the draining endpoints.
    pub(crate) fn take_demand(&self) -> (Vec<ModelDemand>, Vec<(EndpointId, Incarnation)>) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let mut demand: BTreeMap<ModelName, ModelDemand> = BTreeMap::new();
        let arrivals = std::mem::take(&mut state.arrivals);
        for (model, count) in arrivals {
            demand_entry(&mut demand, &model).arrived = count;
        }
        for (target, count) in &state.in_flight {
            if let Target::Model(model) = target
                && *count > 0
            {
                demand_entry(&mut demand, model).in_flight = *count;
            }
        }
        for (target, queue) in &state.queues {
            let Target::Model(model) = target else {
                continue;
            };
            let entry = demand_entry(&mut demand, model);
            entry.queued = queue.len() as u32;
            for queued in queue.iter() {
                let request = &queued.request;
                let left_ms = request.deadline_ms.saturating_sub(now_ms);
                entry.oldest_wait_ms = entry
                    .oldest_wait_ms
                    .max(now_ms.saturating_sub(request.arrived_ms));
                entry.earliest_deadline_ms = Some(
                    entry
                        .earliest_deadline_ms
                        .map_or(left_ms, |ms| ms.min(left_ms)),
                );
            }
        }
        state.in_flight.retain(|_, count| *count > 0);
        (
            demand.into_values().collect(),
            state.endpoints.list_draining(),
        )
    }

    /// Returns the number of queued requests per target.
    pub(crate) fn queue_lengths(&self) -> Vec<(String, u64)> {
        let state = self.lock();
        let lengths = state.queues.iter();
        lengths
            .map(|(target, queue)| (target.as_str().to_owned(), queue.len() as u64))
            .collect()
    }
}

fn demand_entry<'a>(
    demand: &'a mut BTreeMap<ModelName, ModelDemand>,
    model: &ModelName,
) -> &'a mut ModelDemand {
    demand.entry(model.clone()).or_insert_with(|| ModelDemand {
        model: model.clone(),
        arrived: 0,
        queued: 0,
        in_flight: 0,
        oldest_wait_ms: 0,
        earliest_deadline_ms: None,
    })
}

fn build_deadline_refusal(
    request: &SchedulingRequest,
    wait: &WaitEstimate,
    now_ms: u64,
) -> Refusal {
    let left_ms = request.deadline_ms.saturating_sub(now_ms);
    let detail = format!(
        "expected {} ms of queue, {} ms of load and {} ms of run with {left_ms} ms left",
        wait.queue_ms, wait.load_ms, wait.response_ms
    );
    let retry_after_ms = wait.total_ms().saturating_sub(left_ms).max(1_000);
    Refusal::new(ErrorKind::DeadlineUnreachable, detail).with_retry_after_ms(retry_after_ms)
}
