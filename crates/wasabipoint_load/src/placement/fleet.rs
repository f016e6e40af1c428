//! A small model of the weight store and of engines, advanced in steps of one second.

use std::collections::VecDeque;

use wasabipoint_kernel::{FencingToken, PlacementRules};
use wasabipoint_policy::{
    DemandSample, EndpointCapacity, GrantState, GrantView, ModelView, PlacementDecision,
    PlacementPolicy, PlacementView, StoreView,
};

use super::workload::{DAY_MS, Workload};
use super::{PlacementOutcome, PlacementScenario};

const STEP_MS: u64 = 1_000;
/// Rounds in which nothing waits, loads or unloads are run only this often, to save time.
const QUIET_STEPS: u64 = 10;
const RELEASE_MS: u64 = 2_000;
const SERVICE_MS: u64 = 4_000;
const DEADLINE_MS: u64 = 60_000;
const CONCURRENCY: u32 = 16;
const ACCELERATORS: u32 = 8;
const WARM_UP_DAYS: u64 = 2;
/// Endpoints are lost while the first models of the morning are requested.
const LOSS_MS: u64 = 6 * 3_600_000 + 300_000;
/// The platform lists a lost VM as terminated after this time.
const TERMINATED_AFTER_MS: u64 = 30_000;
const RETURN_MS: u64 = 9 * 3_600_000;

pub(super) struct Fleet<'w> {
    workload: &'w Workload,
    scenario: PlacementScenario,
    rules: PlacementRules,
    now_ms: u64,
    next_arrival: usize,
    next_token: u64,
    endpoints: Vec<EndpointState>,
    grants: Vec<Grant>,
    models: Vec<ModelState>,
    sample: Vec<u32>,
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
    since_ms: u64,
    changed_ms: u64,
    remaining_ms: f64,
    is_remote: bool,
}

#[derive(Default)]
struct ModelState {
    queue: VecDeque<Waiting>,
    running: VecDeque<u64>,
    last_request_ms: Option<u64>,
}

struct Waiting {
    arrival_ms: u64,
    is_cold_start: bool,
    is_refused: bool,
}

impl<'w> Fleet<'w> {
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
            sample: vec![0; workload.models.len()],
            outcome: PlacementOutcome::new(),
        }
    }

    /// Runs all days under a policy.
    pub(super) fn run(&mut self, policy: &mut dyn PlacementPolicy, days: u32) {
        let steps = u64::from(days) * DAY_MS / STEP_MS;
        for step in 0..steps {
            self.now_ms = step * STEP_MS;
            self.change_endpoints();
            self.accept_arrivals();
            self.serve();
            let is_quiet_step = step % QUIET_STEPS == 0;
            if is_quiet_step {
                policy.observe(&self.take_sample());
            }
            if is_quiet_step || self.is_active() {
                let decisions = policy.decide(&self.view());
                self.carry_out(&decisions);
            }
            self.count_idle();
            self.advance_loads();
        }
        self.count_unserved();
    }

    fn is_measured(&self) -> bool {
        self.now_ms >= WARM_UP_DAYS * DAY_MS
    }

    fn is_active(&self) -> bool {
        self.models.iter().any(|model| !model.queue.is_empty())
            || self.grants.iter().any(|g| g.state != GrantState::Loaded)
    }

    /// Loses and returns endpoints; the grants of a lost one count until it is terminated.
    fn change_endpoints(&mut self) {
        let time_ms = self.now_ms % DAY_MS;
        for index in 0..self.scenario.endpoints_lost.min(self.endpoints.len()) {
            if time_ms == LOSS_MS {
                self.endpoints[index].is_up = false;
                for grant in self.grants.iter_mut().filter(|g| g.endpoint == index) {
                    grant.state = GrantState::InDoubt;
                }
            } else if time_ms == LOSS_MS + TERMINATED_AFTER_MS {
                self.grants.retain(|grant| grant.endpoint != index);
                self.endpoints[index].used_mib = 0;
            } else if time_ms == RETURN_MS {
                self.endpoints[index].is_up = true;
            }
        }
        if time_ms == LOSS_MS && self.scenario.endpoints_lost > 0 {
            self.requeue_lost();
        }
    }

    fn requeue_lost(&mut self) {
        for index in 0..self.models.len() {
            if self.loaded(index) == 0 {
                let lost = std::mem::take(&mut self.models[index].running);
                for position in 0..lost.len() {
                    self.models[index].queue.push_back(Waiting {
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
            self.sample[model] += 1;
            let is_loaded = self.loaded(model) > 0;
            let state = &mut self.models[model];
            let pause_ms = state
                .last_request_ms
                .map_or(u64::MAX, |last_ms| arrival_ms.saturating_sub(last_ms));
            let is_first = pause_ms >= self.rules.idle_unload_ms;
            state.last_request_ms = Some(arrival_ms);
            state.queue.push_back(Waiting {
                arrival_ms,
                is_cold_start: is_first || (!is_loaded && state.queue.is_empty()),
                is_refused: false,
            });
            self.outcome.requests += u64::from(self.is_measured());
        }
    }

    fn serve(&mut self) {
        let now_ms = self.now_ms;
        let is_measured = self.is_measured();
        for index in 0..self.models.len() {
            let loaded = self.loaded(index);
            let loaded_ms = self.loaded_since(index);
            let state = &mut self.models[index];
            while state.running.front().is_some_and(|end| *end <= now_ms) {
                state.running.pop_front();
            }
            let slots = loaded * CONCURRENCY as usize;
            while state.running.len() < slots
                && let Some(waiting) = state.queue.pop_front()
            {
                let start_ms = waiting.arrival_ms.max(loaded_ms);
                state.running.push_back(now_ms + SERVICE_MS);
                if is_measured && waiting.is_cold_start {
                    let wait_ms = start_ms - waiting.arrival_ms;
                    self.outcome.cold_waits.record_ms(wait_ms);
                    let habit = self.workload.models[index].habit_index();
                    self.outcome.waited_by_habit[habit] += u64::from(wait_ms > 0);
                }
            }
            for waiting in &mut state.queue {
                if !waiting.is_refused && now_ms >= waiting.arrival_ms + DEADLINE_MS {
                    waiting.is_refused = true;
                    self.outcome.refused += u64::from(is_measured);
                }
            }
        }
    }

    fn take_sample(&mut self) -> DemandSample {
        let interval_ms = QUIET_STEPS * STEP_MS;
        let counts = self.sample.iter_mut().enumerate();
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

    fn view(&self) -> PlacementView {
        let endpoints = self.workload.endpoints.iter().zip(&self.endpoints);
        let grants = self.grants.iter().map(|grant| GrantView {
            model: self.workload.models[grant.model].name.clone(),
            endpoint: self.workload.endpoints[grant.endpoint].0.clone(),
            fencing_token: FencingToken(grant.token),
            state: grant.state,
            age_ms: self.now_ms - grant.since_ms,
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
                loads_running: self.store_loads() as u32,
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
            .map(|w| self.now_ms.saturating_sub(w.arrival_ms));
        // A refused caller tries again with a new deadline.
        let deadlines = waits
            .clone()
            .map(|wait_ms| DEADLINE_MS - wait_ms % DEADLINE_MS);
        ModelView {
            name: spec.name.clone(),
            memory_mib: spec.memory_mib,
            max_replicas: 2,
            queued: state.queue.len() as u32,
            in_flight: state.running.len() as u32,
            oldest_wait_ms: waits.max().unwrap_or(0),
            earliest_deadline_ms: deadlines.min(),
            idle_ms: state
                .last_request_ms
                .map(|last_ms| self.now_ms.saturating_sub(last_ms)),
            load_ms_by_endpoint: spec.local_loads.clone(),
            remote_load_ms: spec.remote_load_ms * 100 / self.scenario.store_speed_percent,
        }
    }

    fn carry_out(&mut self, decisions: &[PlacementDecision]) {
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
                        grant.changed_ms = self.now_ms;
                    }
                }
            }
        }
    }

    fn start_load(&mut self, model: usize, endpoint: usize) {
        let spec = &self.workload.models[model];
        let name = &self.workload.endpoints[endpoint].0;
        let local = spec.local_loads.iter().find(|(local, _)| local == name);
        let load_ms = local.map_or(spec.remote_load_ms, |(_, load_ms)| *load_ms);
        self.endpoints[endpoint].used_mib += spec.memory_mib;
        assert!(
            self.endpoints[endpoint].used_mib <= self.workload.endpoint_memory_mib,
            "a policy overcommitted {name}"
        );
        self.grants.push(Grant {
            model,
            endpoint,
            token: self.next_token,
            state: GrantState::Loading,
            since_ms: self.now_ms,
            changed_ms: self.now_ms,
            remaining_ms: load_ms as f64,
            is_remote: local.is_none(),
        });
        self.next_token += 1;
    }

    /// Loads share the store when more run than it serves at full speed.
    fn advance_loads(&mut self) {
        let running = self.store_loads().max(1) as f64;
        let at_once = f64::from(self.workload.store.loads_at_once);
        let store_speed = self.scenario.store_speed_percent as f64 / 100.0;
        let remote_speed = store_speed * (at_once / running).min(1.0);
        let now_ms = self.now_ms;
        let mut released = Vec::new();
        for grant in &mut self.grants {
            let speed = if grant.is_remote { remote_speed } else { 1.0 };
            if grant.state == GrantState::Loading {
                let needed_ms = grant.remaining_ms / speed;
                grant.remaining_ms -= speed * STEP_MS as f64;
                if needed_ms <= STEP_MS as f64 {
                    grant.state = GrantState::Loaded;
                    grant.changed_ms = now_ms + needed_ms as u64;
                }
            } else if grant.state == GrantState::Revoked && now_ms >= grant.changed_ms + RELEASE_MS
            {
                released.push(grant.token);
                self.endpoints[grant.endpoint].used_mib -=
                    self.workload.models[grant.model].memory_mib;
            }
        }
        self.grants.retain(|grant| !released.contains(&grant.token));
    }

    /// Counts the accelerators that hold replicas without a running request.
    fn count_idle(&mut self) {
        if !self.is_measured() {
            return;
        }
        let mut busy: Vec<usize> = self.models.iter().map(|m| m.running.len()).collect();
        for grant in &self.grants {
            if grant.state == GrantState::Loaded && busy[grant.model] > 0 {
                busy[grant.model] -= 1;
                continue;
            }
            if self.endpoints[grant.endpoint].is_up {
                let memory_mib = self.workload.models[grant.model].memory_mib as f64;
                let share = memory_mib / self.workload.endpoint_memory_mib as f64;
                self.outcome.idle_accelerator_s += share * f64::from(ACCELERATORS);
            }
        }
    }

    fn count_unserved(&mut self) {
        let waiting = self.models.iter().flat_map(|model| &model.queue);
        for waiting in waiting.filter(|waiting| waiting.is_cold_start) {
            let wait_ms = self.now_ms.saturating_sub(waiting.arrival_ms);
            self.outcome.cold_waits.record_ms(wait_ms);
        }
    }

    fn store_loads(&self) -> usize {
        let loading = self
            .grants
            .iter()
            .filter(|g| g.state == GrantState::Loading);
        loading.filter(|grant| grant.is_remote).count()
    }

    fn serving_grants(&self, model: usize) -> impl Iterator<Item = &Grant> {
        let grants = self.grants.iter().filter(move |g| g.model == model);
        grants.filter(|grant| grant.state == GrantState::Loaded)
    }

    fn loaded(&self, model: usize) -> usize {
        self.serving_grants(model).count()
    }

    fn loaded_since(&self, model: usize) -> u64 {
        let grants = self.serving_grants(model);
        grants.map(|grant| grant.changed_ms).min().unwrap_or(0)
    }

    fn model_index(&self, name: &str) -> usize {
        let mut models = self.workload.models.iter();
        models
            .position(|model| model.name.as_str() == name)
            .expect("a policy names models of the snapshot")
    }

    fn endpoint_index(&self, name: &str) -> usize {
        let mut endpoints = self.workload.endpoints.iter();
        endpoints
            .position(|(endpoint, _)| endpoint.as_str() == name)
            .expect("a policy names endpoints of the snapshot")
    }
}
