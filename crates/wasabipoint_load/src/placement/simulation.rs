//! A simplified simulation of engines and of the weight store, with a step of one second.

use std::collections::VecDeque;

use wasabipoint_kernel::{FencingToken, PlacementRules};
use wasabipoint_policy::{
    DemandSample, EndpointCapacity, GrantState, GrantView, ModelView, PlacementDecision,
    PlacementPolicy, PlacementView, StoreView,
};

use super::workload::{DAY_MS, Workload};
use super::{PlacementOutcome, PlacementScenario};

const STEP_MS: u64 = 1_000;
/// Steps between demand samples, and between policy decisions while nothing is queued, loading or
/// unloading. Skipping the decisions of the other steps shortens the run.
const DECISION_INTERVAL_STEPS: u64 = 10;
/// Time from the revocation of a grant until its memory is free.
const MEMORY_RELEASE_MS: u64 = 2_000;
/// Time for which a request occupies a slot of a replica.
const REQUEST_DURATION_MS: u64 = 4_000;
/// Time within which a request must start. One that is still queued then counts as refused.
const REQUEST_DEADLINE_MS: u64 = 60_000;
/// Requests that a replica runs at once.
const CONCURRENCY: u32 = 16;
/// Accelerators of each endpoint.
const ACCELERATORS: u32 = 8;
/// Days at the start of a run that are excluded from the results.
const WARM_UP_DAYS: u64 = 2;
/// Time of day at which endpoints fail, while the first models of the morning are requested.
const ENDPOINT_LOSS_TIME_MS: u64 = 6 * 3_600_000 + 300_000;
/// Delay after which the platform lists a failed VM as terminated.
const TERMINATION_DELAY_MS: u64 = 30_000;
/// Time of day at which failed endpoints return.
const ENDPOINT_RETURN_TIME_MS: u64 = 9 * 3_600_000;

/// State of one simulated run.
pub(super) struct PlacementSimulation<'w> {
    workload: &'w Workload,
    scenario: PlacementScenario,
    rules: PlacementRules,
    now_ms: u64,
    next_arrival: usize,
    next_token: u64,
    endpoints: Vec<EndpointState>,
    grants: Vec<Grant>,
    models: Vec<ModelState>,
    /// Requests of each model since the last demand sample.
    arrivals_since_sample: Vec<u32>,
    pub(super) outcome: PlacementOutcome,
}

struct EndpointState {
    used_mib: u64,
    is_up: bool,
}

struct Grant {
    model: usize,
    endpoint: usize,
    token: u64,
    state: GrantState,
    granted_ms: u64,
    state_changed_ms: u64,
    /// Remaining duration of the load at full speed.
    remaining_ms: f64,
    /// Whether the load reads from the weight store.
    is_remote: bool,
}

#[derive(Default)]
struct ModelState {
    queue: VecDeque<QueuedRequest>,
    running_ends_ms: VecDeque<u64>,
    last_request_ms: Option<u64>,
}

struct QueuedRequest {
    arrival_ms: u64,
    is_cold_start: bool,
    /// Whether the deadline was missed. The request stays queued, because the client retries it.
    is_refused: bool,
}

impl<'w> PlacementSimulation<'w> {
    pub(super) fn new(
        workload: &'w Workload,
        scenario: PlacementScenario,
        rules: PlacementRules,
    ) -> Self {
        Self {
            workload,
            scenario,
            rules,
            now_ms: 0,
            next_arrival: 0,
            next_token: 1,
            endpoints: workload
                .endpoints
                .iter()
                .map(|_| EndpointState {
                    used_mib: 0,
                    is_up: true,
                })
                .collect(),
            grants: Vec::new(),
            models: workload
                .models
                .iter()
                .map(|_| ModelState::default())
                .collect(),
            arrivals_since_sample: vec![0; workload.models.len()],
            outcome: PlacementOutcome::new(),
        }
    }

    /// Simulates the given number of days under a policy.
    pub(super) fn run(&mut self, policy: &mut dyn PlacementPolicy, days: u32) {
        let steps = u64::from(days) * DAY_MS / STEP_MS;
        for step in 0..steps {
            self.now_ms = step * STEP_MS;
            self.apply_endpoint_faults();
            self.accept_arrivals();
            self.run_queued_requests();
            let is_interval_step = step % DECISION_INTERVAL_STEPS == 0;
            if is_interval_step {
                policy.observe(&self.take_demand_sample());
            }
            if is_interval_step || self.has_pending_work() {
                let decisions = policy.decide(&self.placement_view());
                self.apply_decisions(&decisions);
            }
            self.record_idle_accelerators();
            self.advance_loads();
        }
        self.record_unserved_cold_starts();
    }

    fn is_measured(&self) -> bool {
        self.now_ms >= WARM_UP_DAYS * DAY_MS
    }

    /// Tells whether a request is queued or a grant is in any state other than loaded.
    fn has_pending_work(&self) -> bool {
        self.models.iter().any(|model| !model.queue.is_empty())
            || self.grants.iter().any(|g| g.state != GrantState::Loaded)
    }

    /// Fails and restores endpoints. The grants of a failed endpoint remain, in doubt, until the
    /// platform lists its VM as terminated.
    fn apply_endpoint_faults(&mut self) {
        let time_of_day_ms = self.now_ms % DAY_MS;
        for index in 0..self.scenario.endpoints_lost.min(self.endpoints.len()) {
            if time_of_day_ms == ENDPOINT_LOSS_TIME_MS {
                self.endpoints[index].is_up = false;
                for grant in self.grants.iter_mut().filter(|g| g.endpoint == index) {
                    grant.state = GrantState::InDoubt;
                }
            } else if time_of_day_ms == ENDPOINT_LOSS_TIME_MS + TERMINATION_DELAY_MS {
                self.grants.retain(|grant| grant.endpoint != index);
                self.endpoints[index].used_mib = 0;
            } else if time_of_day_ms == ENDPOINT_RETURN_TIME_MS {
                self.endpoints[index].is_up = true;
            }
        }
        if time_of_day_ms == ENDPOINT_LOSS_TIME_MS && self.scenario.endpoints_lost > 0 {
            self.requeue_interrupted_requests();
        }
    }

    /// Queues the running requests of models that have no loaded replica left.
    fn requeue_interrupted_requests(&mut self) {
        for index in 0..self.models.len() {
            if self.loaded_replicas(index) == 0 {
                let lost = std::mem::take(&mut self.models[index].running_ends_ms);
                for position in 0..lost.len() {
                    self.models[index].queue.push_back(QueuedRequest {
                        arrival_ms: self.now_ms,
                        is_cold_start: position == 0,
                        is_refused: false,
                    });
                }
            }
        }
    }

    fn accept_arrivals(&mut self) {
        let arrivals = &self.workload.arrivals;
        while let Some((arrival_ms, model)) = arrivals.get(self.next_arrival).copied()
            && arrival_ms < self.now_ms + STEP_MS
        {
            self.next_arrival += 1;
            self.arrivals_since_sample[model] += 1;
            let is_loaded = self.loaded_replicas(model) > 0;
            let state = &mut self.models[model];
            let since_last_request_ms = state
                .last_request_ms
                .map_or(u64::MAX, |last_ms| arrival_ms.saturating_sub(last_ms));
            let follows_idle_period = since_last_request_ms >= self.rules.idle_unload_ms;
            state.last_request_ms = Some(arrival_ms);
            state.queue.push_back(QueuedRequest {
                arrival_ms,
                is_cold_start: follows_idle_period || (!is_loaded && state.queue.is_empty()),
                is_refused: false,
            });
            self.outcome.requests += u64::from(self.is_measured());
        }
    }

    /// Ends finished requests, starts queued ones on free slots, and counts missed deadlines.
    fn run_queued_requests(&mut self) {
        let now_ms = self.now_ms;
        let is_measured = self.is_measured();
        for index in 0..self.models.len() {
            let replicas = self.loaded_replicas(index);
            let loaded_since_ms = self.loaded_since_ms(index);
            let state = &mut self.models[index];
            while state
                .running_ends_ms
                .front()
                .is_some_and(|end| *end <= now_ms)
            {
                state.running_ends_ms.pop_front();
            }
            let slots = replicas * CONCURRENCY as usize;
            while state.running_ends_ms.len() < slots
                && let Some(request) = state.queue.pop_front()
            {
                let start_ms = request.arrival_ms.max(loaded_since_ms);
                state
                    .running_ends_ms
                    .push_back(now_ms + REQUEST_DURATION_MS);
                if is_measured && request.is_cold_start {
                    let wait_ms = start_ms - request.arrival_ms;
                    self.outcome.cold_start_times.record_ms(wait_ms);
                    let demand_pattern = self.workload.models[index].demand_pattern_index();
                    self.outcome.delayed_by_demand_pattern[demand_pattern] +=
                        u64::from(wait_ms > 0);
                }
            }
            for request in &mut state.queue {
                if !request.is_refused && now_ms >= request.arrival_ms + REQUEST_DEADLINE_MS {
                    request.is_refused = true;
                    self.outcome.refused += u64::from(is_measured);
                }
            }
        }
    }

    fn take_demand_sample(&mut self) -> DemandSample {
        let interval_ms = DECISION_INTERVAL_STEPS * STEP_MS;
        let counts = self.arrivals_since_sample.iter_mut().enumerate();
        DemandSample {
            cycle_ms: self.now_ms.saturating_sub(interval_ms) % DAY_MS,
            interval_ms,
            arrived: counts
                .filter(|(_, count)| **count > 0)
                .map(|(index, count)| {
                    let name = self.workload.models[index].name.clone();
                    (name, std::mem::take(count))
                })
                .collect(),
            largest_customer: None,
        }
    }

    fn placement_view(&self) -> PlacementView {
        let endpoints = self.workload.endpoints.iter().zip(&self.endpoints);
        let grants = self.grants.iter().map(|grant| GrantView {
            model: self.workload.models[grant.model].name.clone(),
            endpoint: self.workload.endpoints[grant.endpoint].0.clone(),
            fencing_token: FencingToken(grant.token),
            state: grant.state,
            age_ms: self.now_ms - grant.granted_ms,
        });
        PlacementView {
            cycle_ms: self.now_ms % DAY_MS,
            rules: self.rules.clone(),
            models: (0..self.models.len()).map(|i| self.model_view(i)).collect(),
            endpoints: endpoints
                .map(|((endpoint, failure_domain), state)| EndpointCapacity {
                    id: endpoint.clone(),
                    failure_domain: failure_domain.clone(),
                    memory_mib: self.workload.endpoint_memory_mib,
                    free_mib: self.workload.endpoint_memory_mib - state.used_mib,
                    accelerators: ACCELERATORS,
                    concurrency: CONCURRENCY,
                    is_placeable: state.is_up,
                })
                .collect(),
            grants: grants.collect(),
            store: StoreView {
                limits: self.workload.store.clone(),
                loads_running: self.remote_loads_running() as u32,
                loads_allowed: self.workload.store.loads_per_s,
            },
        }
    }

    fn model_view(&self, index: usize) -> ModelView {
        let spec = &self.workload.models[index];
        let state = &self.models[index];
        let waits = state
            .queue
            .iter()
            .map(|request| self.now_ms.saturating_sub(request.arrival_ms));
        // A client whose request is refused retries it with a new deadline.
        let deadlines = waits
            .clone()
            .map(|wait_ms| REQUEST_DEADLINE_MS - wait_ms % REQUEST_DEADLINE_MS);
        ModelView {
            name: spec.name.clone(),
            memory_mib: spec.memory_mib,
            max_replicas: 2,
            queued: state.queue.len() as u32,
            in_flight: state.running_ends_ms.len() as u32,
            oldest_wait_ms: waits.max().unwrap_or(0),
            earliest_deadline_ms: deadlines.min(),
            idle_ms: state
                .last_request_ms
                .map(|last_ms| self.now_ms.saturating_sub(last_ms)),
            load_ms_by_endpoint: spec.local_loads.clone(),
            remote_load_ms: spec.remote_load_ms * 100 / self.scenario.store_speed_percent,
        }
    }

    fn apply_decisions(&mut self, decisions: &[PlacementDecision]) {
        for decision in decisions {
            match decision {
                PlacementDecision::Load {
                    model, endpoint, ..
                } => {
                    let model = self.model_index(model.as_str());
                    let endpoint = self.endpoint_index(endpoint.as_str());
                    self.start_load(model, endpoint);
                }
                PlacementDecision::Unload {
                    model, endpoint, ..
                } => {
                    let model = self.model_index(model.as_str());
                    let endpoint = self.endpoint_index(endpoint.as_str());
                    let mut grants = self.grants.iter_mut();
                    let grant = grants.find(|g| g.model == model && g.endpoint == endpoint);
                    if let Some(grant) = grant {
                        grant.state = GrantState::Revoked;
                        grant.state_changed_ms = self.now_ms;
                    }
                }
            }
        }
    }

    fn start_load(&mut self, model: usize, endpoint: usize) {
        let spec = &self.workload.models[model];
        let name = &self.workload.endpoints[endpoint].0;
        let local_load = spec.local_loads.iter().find(|(holder, _)| holder == name);
        let load_ms = local_load.map_or(spec.remote_load_ms, |(_, load_ms)| *load_ms);
        self.endpoints[endpoint].used_mib += spec.memory_mib;
        assert!(
            self.endpoints[endpoint].used_mib <= self.workload.endpoint_memory_mib,
            "the policy overcommits the memory of {name}"
        );
        self.grants.push(Grant {
            model,
            endpoint,
            token: self.next_token,
            state: GrantState::Loading,
            granted_ms: self.now_ms,
            state_changed_ms: self.now_ms,
            remaining_ms: load_ms as f64,
            is_remote: local_load.is_none(),
        });
        self.next_token += 1;
    }

    /// Advances loads and releases memory. Remote loads share the bandwidth of the store when there
    /// are more of them than it serves at full speed.
    fn advance_loads(&mut self) {
        let concurrent_loads = self.remote_loads_running().max(1) as f64;
        let full_speed_loads = f64::from(self.workload.store.loads_at_once);
        let store_speed = self.scenario.store_speed_percent as f64 / 100.0;
        let remote_speed = store_speed * (full_speed_loads / concurrent_loads).min(1.0);
        let now_ms = self.now_ms;
        let mut released = Vec::new();
        for grant in &mut self.grants {
            let speed = if grant.is_remote { remote_speed } else { 1.0 };
            if grant.state == GrantState::Loading {
                let needed_ms = grant.remaining_ms / speed;
                grant.remaining_ms -= speed * STEP_MS as f64;
                if needed_ms <= STEP_MS as f64 {
                    grant.state = GrantState::Loaded;
                    grant.state_changed_ms = now_ms + needed_ms as u64;
                }
            } else if grant.state == GrantState::Revoked
                && now_ms >= grant.state_changed_ms + MEMORY_RELEASE_MS
            {
                released.push(grant.token);
                self.endpoints[grant.endpoint].used_mib -=
                    self.workload.models[grant.model].memory_mib;
            }
        }
        self.grants.retain(|grant| !released.contains(&grant.token));
    }

    /// Adds the accelerators whose replicas run no request, weighted by the memory of the replica.
    /// Replicas that are being loaded or unloaded count as well.
    fn record_idle_accelerators(&mut self) {
        if !self.is_measured() {
            return;
        }
        let mut unassigned_requests: Vec<usize> = self
            .models
            .iter()
            .map(|m| m.running_ends_ms.len())
            .collect();
        for grant in &self.grants {
            if grant.state == GrantState::Loaded && unassigned_requests[grant.model] > 0 {
                unassigned_requests[grant.model] -= 1;
                continue;
            }
            if self.endpoints[grant.endpoint].is_up {
                let memory_mib = self.workload.models[grant.model].memory_mib as f64;
                let memory_fraction = memory_mib / self.workload.endpoint_memory_mib as f64;
                self.outcome.idle_accelerator_s += memory_fraction * f64::from(ACCELERATORS);
            }
        }
    }

    /// Records the wait so far of cold starts that are still queued at the end of the run.
    fn record_unserved_cold_starts(&mut self) {
        let unserved = self.models.iter().flat_map(|model| &model.queue);
        for request in unserved.filter(|request| request.is_cold_start) {
            let wait_ms = self.now_ms.saturating_sub(request.arrival_ms);
            self.outcome.cold_start_times.record_ms(wait_ms);
        }
    }

    fn remote_loads_running(&self) -> usize {
        let loading = self
            .grants
            .iter()
            .filter(|g| g.state == GrantState::Loading);
        loading.filter(|grant| grant.is_remote).count()
    }

    fn loaded_grants(&self, model: usize) -> impl Iterator<Item = &Grant> {
        let grants = self.grants.iter().filter(move |g| g.model == model);
        grants.filter(|grant| grant.state == GrantState::Loaded)
    }

    fn loaded_replicas(&self, model: usize) -> usize {
        self.loaded_grants(model).count()
    }

    /// Returns when the first of the loaded replicas became ready, or zero if none is loaded.
    fn loaded_since_ms(&self, model: usize) -> u64 {
        let grants = self.loaded_grants(model);
        grants
            .map(|grant| grant.state_changed_ms)
            .min()
            .unwrap_or(0)
    }

    fn model_index(&self, name: &str) -> usize {
        let mut models = self.workload.models.iter();
        models
            .position(|model| model.name.as_str() == name)
            .expect("policies return only models of the view")
    }

    fn endpoint_index(&self, name: &str) -> usize {
        let mut endpoints = self.workload.endpoints.iter();
        endpoints
            .position(|(endpoint, _)| endpoint.as_str() == name)
            .expect("policies return only endpoints of the view")
    }
}
