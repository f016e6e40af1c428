//! Queues requests, estimates their wait and gives them endpoints in fair order.

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
use crate::endpoints::{Choice, Endpoints};
use crate::estimate::{Estimates, Wait};
use crate::fair_queue::FairQueue;
use crate::fleet::Fleet;

/// What a request needs an endpoint for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Target {
    Model(ModelName),
    Service(ServiceName),
}

impl Target {
    pub(crate) fn is_at(&self, endpoint: &EndpointView) -> bool {
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

/// A request as the scheduler sees it.
#[derive(Debug, Clone)]
pub(crate) struct WaitingRequest {
    pub(crate) request_id: RequestId,
    pub(crate) customer: CustomerId,
    pub(crate) target: Target,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) prefix: Arc<[u64]>,
    pub(crate) cost_tokens: u64,
    pub(crate) body_bytes: u64,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
}

struct Queued {
    request: WaitingRequest,
    sender: oneshot::Sender<Result<EndpointPermit, Refusal>>,
}

#[derive(Default)]
struct CustomerLoad {
    requests: u64,
    bytes: u64,
}

struct State {
    queues: BTreeMap<Target, FairQueue<Queued>>,
    customers: HashMap<CustomerId, CustomerLoad>,
    endpoints: Endpoints,
    estimates: Estimates,
    arrived: BTreeMap<ModelName, u32>,
    in_flight: BTreeMap<Target, u32>,
    next_ticket: u64,
}

/// Queues and slots of one entry process.
///
/// Methods read the clock before they take the lock, so a time in the state may be later than
/// theirs; differences saturate.
pub(crate) struct Scheduler {
    state: Mutex<State>,
    cold_asked: Notify,
    fleet: Arc<Fleet>,
    decisions: Arc<DecisionLog>,
    clock: MonotonicClock,
    logger: Logger,
}

/// An endpoint for a request, counted there until the permit is dropped.
pub(crate) struct EndpointPermit {
    pub(crate) endpoint: EndpointView,
    pub(crate) known_cache_sequence: u64,
    scheduler: Arc<Scheduler>,
    target: Target,
    began_ms: u64,
}

impl EndpointPermit {
    pub(crate) fn record_load(&self, load: LoadReport) {
        self.scheduler.record_load(&self.endpoint, load);
    }

    /// Gives the endpoint no requests for a time.
    pub(crate) fn start_cooldown(&self, time_ms: u64) {
        self.scheduler
            .start_cooldown(&self.endpoint.endpoint, time_ms);
    }
}

impl Drop for EndpointPermit {
    fn drop(&mut self) {
        let scheduler = &self.scheduler;
        let mut state = scheduler.lock();
        state.endpoints.release(&self.endpoint.endpoint);
        if let Some(count) = state.in_flight.get_mut(&self.target) {
            *count = count.saturating_sub(1);
        }
        let held_ms = scheduler.clock.now_ms().saturating_sub(self.began_ms);
        state.estimates.record_hold(&self.target, held_ms);
        drop(state);
        scheduler.dispatch_queued();
    }
}

/// A place in a queue, given up when dropped.
pub(crate) struct Ticket {
    scheduler: Arc<Scheduler>,
    id: u64,
    customer: CustomerId,
    target: Target,
    pub(crate) receiver: oneshot::Receiver<Result<EndpointPermit, Refusal>>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.scheduler.lock();
        let removed = state
            .queues
            .get_mut(&self.target)
            .and_then(|queue| queue.remove(&self.customer, self.id));
        if let Some(queued) = &removed {
            state.leave(&queued.request);
        }
    }
}

impl State {
    fn leave(&mut self, request: &WaitingRequest) {
        if let Some(load) = self.customers.get_mut(&request.customer) {
            load.requests = load.requests.saturating_sub(1);
            load.bytes = load.bytes.saturating_sub(request.body_bytes);
            if load.requests == 0 {
                self.customers.remove(&request.customer);
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

    fn estimate(&self, view: &FleetView, request: &WaitingRequest, now_ms: u64) -> Wait {
        let ahead = self
            .queues
            .get(&request.target)
            .map_or(0, |queue| queue.items_ahead(&request.customer));
        let slots = self.endpoints.total_slots(view, &request.target, now_ms);
        let is_idle = ahead == 0 && self.endpoints.has_free_slot(view, &request.target, now_ms);
        self.estimates
            .estimate(&request.target, ahead as u64, slots, is_idle, now_ms)
    }
}

impl Scheduler {
    pub(crate) fn new(
        failure_domain: FailureDomain,
        fleet: Arc<Fleet>,
        decisions: Arc<DecisionLog>,
        clock: MonotonicClock,
        logger: Logger,
    ) -> Self {
        Self {
            state: Mutex::new(State {
                queues: BTreeMap::new(),
                customers: HashMap::new(),
                endpoints: Endpoints::new(failure_domain, logger.clone()),
                estimates: Estimates::new(),
                arrived: BTreeMap::new(),
                in_flight: BTreeMap::new(),
                next_ticket: 0,
            }),
            cold_asked: Notify::new(),
            fleet,
            decisions,
            clock,
            logger,
        }
    }

    /// Waits until a model that no endpoint holds was asked for.
    pub(crate) async fn wait_for_cold_demand(&self) {
        self.cold_asked.notified().await;
    }

    fn is_cold(view: &FleetView, target: &Target) -> bool {
        !view
            .endpoints
            .values()
            .any(|endpoint| target.is_at(endpoint))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Counts the arrival of a request for a model.
    pub(crate) fn record_arrival(&self, model: &ModelName) {
        *self.lock().arrived.entry(model.clone()).or_default() += 1;
    }

    /// Refuses a request that cannot be served in time or does not fit into the queue.
    pub(crate) fn check_admission(&self, request: &WaitingRequest) -> Result<(), Refusal> {
        let view = self.fleet.view();
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        if matches!(request.target, Target::Service(_))
            && !state.endpoints.has_staying(&view, &request.target)
        {
            return Err(Refusal::new(ErrorKind::NoEndpoint, "").with_retry_after_ms(1_000));
        }
        let wait = state.estimate(&view, request, now_ms);
        if now_ms + wait.total_ms() > request.deadline_ms {
            if wait.load_ms > 0 {
                self.cold_asked.notify_one();
            }
            return Err(unreachable_deadline(request, &wait, now_ms));
        }
        let rules = &view.rules.admission;
        let is_full = state.customers.get(&request.customer).is_some_and(|load| {
            load.requests >= rules.queue_requests
                || load.bytes + request.body_bytes > rules.queue_bytes
        });
        if is_full {
            let retry_ms = wait.total_ms().max(1_000);
            return Err(Refusal::new(ErrorKind::QueueFull, "").with_retry_after_ms(retry_ms));
        }
        Ok(())
    }

    /// Queues a request and gives out free slots.
    pub(crate) fn enqueue(self: &Arc<Self>, request: WaitingRequest) -> Result<Ticket, Refusal> {
        // The bounds are checked again, since tokens may have been waited for.
        self.check_admission(&request)?;
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            state.next_ticket += 1;
            let id = state.next_ticket;
            let load = state.customers.entry(request.customer.clone()).or_default();
            load.requests += 1;
            load.bytes += request.body_bytes;
            let ticket = Ticket {
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
                    Queued { request, sender },
                );
            ticket
        };
        if Self::is_cold(&self.fleet.view(), &ticket.target) {
            self.cold_asked.notify_one();
        }
        self.dispatch_queued();
        Ok(ticket)
    }

    /// Gives free slots to waiting requests.
    pub(crate) fn dispatch_queued(self: &Arc<Self>) {
        let view = self.fleet.view();
        let now_ms = self.clock.now_ms();
        let mut permits = Vec::new();
        {
            let mut state = self.lock();
            let mut targets: Vec<Target> = state.queues.keys().cloned().collect();
            // Targets share endpoints, so the first one must not always be the same.
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
                    state.leave(&queued.request);
                    let Some(permit) = self.assign(&mut state, &view, &queued.request, &[], true)
                    else {
                        break;
                    };
                    permits.push((queued.sender, permit));
                }
            }
        }
        // A permit whose request is gone takes the lock when it is dropped.
        for (sender, permit) in permits {
            let _ = sender.send(Ok(permit));
        }
    }

    /// Chooses another endpoint at once for a request that already had a permit.
    pub(crate) fn reroute(
        self: &Arc<Self>,
        request: &WaitingRequest,
        excluded: &[EndpointId],
    ) -> Option<EndpointPermit> {
        let view = self.fleet.view();
        let mut state = self.lock();
        self.assign(&mut state, &view, request, excluded, false)
    }

    fn assign(
        self: &Arc<Self>,
        state: &mut State,
        view: &FleetView,
        request: &WaitingRequest,
        excluded: &[EndpointId],
        needs_slot: bool,
    ) -> Option<EndpointPermit> {
        let now_ms = self.clock.now_ms();
        let choice = state
            .endpoints
            .choose(view, request, excluded, needs_slot, now_ms)?;
        *state.in_flight.entry(request.target.clone()).or_default() += 1;
        self.record(request, &choice, now_ms);
        Some(EndpointPermit {
            endpoint: choice.endpoint,
            known_cache_sequence: choice.known_cache_sequence,
            scheduler: Arc::clone(self),
            target: request.target.clone(),
            began_ms: now_ms,
        })
    }

    fn record(&self, request: &WaitingRequest, choice: &Choice, now_ms: u64) {
        let waited_ms = now_ms.saturating_sub(request.arrived_ms);
        info!(self.logger, "routing: chose an endpoint";
            "request" => %request.request_id,
            "customer" => %request.customer,
            "target" => request.target.as_str(),
            "endpoint" => %choice.endpoint.endpoint,
            "reason" => &choice.reason,
            "others" => choice.others.join("; "),
            "prompt_blocks" => request.prefix.len(),
            "cost_tokens" => request.cost_tokens,
            "waited_ms" => waited_ms);
        self.decisions.add(RoutingDecision {
            request_id: request.request_id,
            customer: request.customer.clone(),
            target: request.target.as_str().to_owned(),
            endpoint: choice.endpoint.endpoint.clone(),
            reason: choice.reason.clone(),
            others: choice.others.clone(),
            waited_ms,
        });
    }

    /// Takes over a new fleet view.
    pub(crate) fn apply_fleet_view(self: &Arc<Self>) {
        let view = self.fleet.view();
        self.lock().endpoints.follow(&view);
        self.dispatch_queued();
    }

    /// Takes over load estimates of control and refuses waiting requests that they rule out.
    pub(crate) fn apply_cold_estimates(&self, estimates: &[ColdEstimate]) {
        let now_ms = self.clock.now_ms();
        let mut refused = Vec::new();
        let mut state = self.lock();
        for cold in estimates {
            let target = Target::Model(cold.model.clone());
            let ready_ms = now_ms + cold.ready_in_ms;
            state.estimates.record_cold(&target, ready_ms);
            let Some(queue) = state.queues.get_mut(&target) else {
                continue;
            };
            let late: Vec<(CustomerId, RequestId)> = queue
                .iter()
                .filter(|queued| queued.request.deadline_ms < ready_ms)
                .map(|queued| (queued.request.customer.clone(), queued.request.request_id))
                .collect();
            for (customer, request_id) in late {
                let removed =
                    queue.remove_where(&customer, |queued| queued.request.request_id == request_id);
                refused.extend(removed.map(|queued| (queued, ready_ms)));
            }
        }
        for (queued, _) in &refused {
            state.leave(&queued.request);
        }
        drop(state);
        for (queued, ready_ms) in refused {
            // A request that arrives then has its whole deadline left for the rest of the load.
            let late_ms = ready_ms.saturating_sub(queued.request.deadline_ms);
            let refusal = Refusal::new(ErrorKind::DeadlineUnreachable, "the model is not loaded")
                .with_retry_after_ms(late_ms.max(1_000));
            let _ = queued.sender.send(Err(refusal));
        }
    }

    /// Returns when a request that gave up now would have a chance.
    pub(crate) fn estimate_retry_after_ms(&self, request: &WaitingRequest) -> u64 {
        let view = self.fleet.view();
        let now_ms = self.clock.now_ms();
        let wait = self.lock().estimate(&view, request, now_ms);
        wait.total_ms().max(1_000)
    }

    pub(crate) fn record_first_response(&self, target: &Target, elapsed_ms: u64) {
        let now_ms = self.clock.now_ms();
        self.lock()
            .estimates
            .record_first(target, elapsed_ms, now_ms);
    }

    pub(crate) fn record_load(&self, endpoint: &EndpointView, load: LoadReport) {
        let now_ms = self.clock.now_ms();
        self.lock()
            .endpoints
            .record_load(&endpoint.endpoint, endpoint.incarnation, load, now_ms);
    }

    pub(crate) fn mark_draining(&self, endpoint: &EndpointId, incarnation: Incarnation) {
        self.lock().endpoints.mark_draining(endpoint, incarnation);
    }

    /// Gives an endpoint no requests for a time.
    pub(crate) fn start_cooldown(&self, endpoint: &EndpointId, time_ms: u64) {
        let until_ms = self.clock.now_ms() + time_ms;
        self.lock().endpoints.start_cooldown(endpoint, until_ms);
    }

    /// Lists draining endpoints and the demand per model since the last call.
    pub(crate) fn take_demand(&self) -> (Vec<ModelDemand>, Vec<(EndpointId, Incarnation)>) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let mut demand: BTreeMap<ModelName, ModelDemand> = BTreeMap::new();
        let arrived = std::mem::take(&mut state.arrived);
        for (model, count) in arrived {
            demand_of(&mut demand, &model).arrived = count;
        }
        for (target, count) in &state.in_flight {
            if let Target::Model(model) = target
                && *count > 0
            {
                demand_of(&mut demand, model).in_flight = *count;
            }
        }
        for (target, queue) in &state.queues {
            let Target::Model(model) = target else {
                continue;
            };
            let entry = demand_of(&mut demand, model);
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

    /// Returns queue lengths by target.
    pub(crate) fn queue_lengths(&self) -> Vec<(String, u64)> {
        let state = self.lock();
        let lengths = state.queues.iter();
        lengths
            .map(|(target, queue)| (target.as_str().to_owned(), queue.len() as u64))
            .collect()
    }
}

fn demand_of<'a>(
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

fn unreachable_deadline(request: &WaitingRequest, wait: &Wait, now_ms: u64) -> Refusal {
    let left_ms = request.deadline_ms.saturating_sub(now_ms);
    let detail = format!(
        "expected {} ms of queue, {} ms of load and {} ms of run with {left_ms} ms left",
        wait.queue_ms, wait.load_ms, wait.run_ms
    );
    let retry_ms = wait.total_ms().saturating_sub(left_ms).max(1_000);
    Refusal::new(ErrorKind::DeadlineUnreachable, detail).with_retry_after_ms(retry_ms)
}
