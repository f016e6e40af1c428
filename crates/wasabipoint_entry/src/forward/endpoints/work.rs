//! Speed of endpoints and the work that they have, for services whose endpoints state how long work
//! takes.

use std::collections::BTreeSet;

use wasabipoint_kernel::{Deployment, EndpointId, Incarnation, ServiceName};
use wasabipoint_policy::{
    EndpointSpeed, EndpointWork, MAX_SPEEDS, RequestWork, ServiceWork, WorkView,
};
use wasabipoint_rpc::{EndpointView, SpeedDirective, SpeedReport};

use super::{EndpointState, Endpoints, SelectionCriteria, estimated_load};

/// Interval at which the statistics of a service are derived from its endpoints, in milliseconds. It
/// is short against the time in which measurements decay.
const REFRESH_INTERVAL_MS: u64 = 250;

/// Speed and work of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointWorkState {
    pub(super) speed: EndpointSpeed,
    pub(super) work: EndpointWork,
    /// Expected number of requests in proportion to an endpoint of usual speed.
    pub(super) expected_share: f64,
    /// Expected time per event in microseconds; 0 until it is first derived.
    event_us: f64,
    late_share: f64,
}

impl Default for EndpointWorkState {
    fn default() -> Self {
        Self {
            speed: EndpointSpeed::default(),
            work: EndpointWork::default(),
            expected_share: 1.0,
            event_us: 0.0,
            late_share: 0.0,
        }
    }
}

/// Speed and work at an endpoint when it was selected, for the record of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectedWork {
    /// Speed in proportion to the service; 1.0 is usual.
    pub speed: f64,
    /// Prompt tokens of own requests that had no first event.
    pub prompt_tokens: u64,
    /// Share of recent streams at the endpoint with a pause beyond the objective.
    pub late_share: f64,
    /// Last stated time of work in percent, and its age in milliseconds.
    pub stated: Option<(u32, u64)>,
}

impl EndpointWorkState {
    /// Returns the expected time per event in microseconds.
    fn event_us(&self, service: &ServiceWork) -> f64 {
        if self.event_us > 0.0 {
            self.event_us
        } else {
            service.usual_event_us
        }
    }

    pub(super) fn describe(&self, service: &ServiceWorkState, now_ms: u64) -> SelectedWork {
        SelectedWork {
            speed: service.work.usual_event_us / self.event_us(&service.work),
            prompt_tokens: self.work.prompt_tokens(),
            late_share: self.late_share,
            stated: self.work.stated(now_ms),
        }
    }
}

/// Statistics of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceWorkState {
    work: ServiceWork,
    /// Whether an endpoint of the service stated how long work takes.
    is_active: bool,
    /// Tokens that an endpoint holds; 0 if it is not known.
    cache_tokens: u64,
    refreshed_ms: u64,
    /// The strictest objectives of requests to the service.
    objectives: RequestWork,
}

/// The work that a request adds to its endpoint, until it is taken back.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkCharge {
    /// Uncached prompt tokens; 0 after the first event.
    prompt_tokens: u32,
    held_tokens: u64,
    /// Share of the slots in use when the request was sent. 1 if other prompts were on their way.
    load_share: f64,
}

/// Returns the smaller objective, where 0 means none.
fn stricter(known_ms: u64, objective_ms: u64) -> u64 {
    match (known_ms, objective_ms) {
        (0, objective_ms) | (objective_ms, 0) => objective_ms,
        (known_ms, objective_ms) => known_ms.min(objective_ms),
    }
}

impl Endpoints {
    /// Returns the statistics of a service if one of its endpoints stated how long work takes.
    pub(super) fn active_work(&self, service: &ServiceName) -> Option<&ServiceWorkState> {
        self.services
            .get(service)
            .filter(|service| service.is_active)
    }

    pub(super) fn activate_work(&mut self, service: &ServiceName) {
        // This happens with each response, so the name is not copied if it is known.
        if let Some(service) = self.services.get_mut(service) {
            service.is_active = true;
            return;
        }
        let state = ServiceWorkState {
            is_active: true,
            ..ServiceWorkState::default()
        };
        self.services.insert(service.clone(), state);
    }

    /// Sets the number of tokens that an endpoint of each service holds.
    pub fn apply_cache_sizes(&mut self, deployment: &Deployment) {
        for service in self.services.values_mut() {
            service.cache_tokens = 0;
        }
        for (name, service) in &deployment.services {
            if let Some(engine) = &service.engine {
                let state = self.services.entry(name.clone()).or_default();
                state.cache_tokens = engine.cache_tokens;
            }
        }
        self.retain_services();
    }

    /// Removes the statistics of services that have neither endpoints nor a known cache.
    pub(super) fn retain_services(&mut self) {
        if self.services.is_empty() {
            return;
        }
        let states = self.states.values();
        let listed: BTreeSet<&ServiceName> = states.map(|state| &state.view.service).collect();
        self.services
            .retain(|name, service| service.cache_tokens > 0 || listed.contains(name));
    }

    /// Returns the costs of the candidates. Those at which the request's tokens do not fit or its
    /// prompt delays the streams beyond their objective are removed, unless all are such.
    pub(super) fn work_costs(
        &self,
        service: &ServiceWorkState,
        candidates: &mut Vec<&EndpointState>,
        criteria: &SelectionCriteria<'_>,
        mean: f64,
        now_ms: u64,
    ) -> Vec<f64> {
        let costs = candidates.iter().map(|state| {
            let (has_cached, prompt_tokens) = uncached_prompt_tokens(state, criteria);
            let view = WorkView {
                event_us: state.work.event_us(&service.work),
                late_share: state.work.late_share,
                work: &state.work.work,
                prompt_tokens,
                load: estimated_load(state, mean, now_ms),
                slots: state.view.concurrency,
                cache_tokens: service.cache_tokens,
            };
            let cost = service.work.cost(&view, &criteria.work, now_ms);
            let total = self.add_preferences(cost.cost, state, has_cached, now_ms);
            (total, cost.is_within_bounds)
        });
        let costs: Vec<(f64, bool)> = costs.collect();
        if costs.iter().any(|(_, is_within_bounds)| *is_within_bounds) {
            let mut bounds = costs.iter().map(|(_, is_within_bounds)| *is_within_bounds);
            candidates.retain(|_| bounds.next().unwrap_or(true));
            let within = costs
                .iter()
                .filter(|(_, is_within_bounds)| *is_within_bounds);
            return within.map(|(cost, _)| *cost).collect();
        }
        costs.into_iter().map(|(cost, _)| cost).collect()
    }

    /// Adds the work of a request to its endpoint, before the request is counted there.
    pub(super) fn add_work(
        &mut self,
        endpoint: &EndpointView,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> WorkCharge {
        let is_active = self.active_work(criteria.service).is_some();
        let mean = if is_active {
            self.refresh_work(criteria, now_ms);
            self.mean_load(criteria.service, now_ms)
        } else {
            0.0
        };
        let Some(state) = self.state_mut(&endpoint.id, endpoint.incarnation) else {
            return WorkCharge::default();
        };
        let (_, prompt_tokens) = uncached_prompt_tokens(state, criteria);
        let load = estimated_load(state, mean, now_ms);
        let has_prompts = state.work.work.prompt_tokens() > 0;
        let charge = WorkCharge {
            prompt_tokens,
            held_tokens: criteria.work.held_tokens(),
            load_share: if has_prompts {
                1.0
            } else {
                load / f64::from(endpoint.concurrency.max(1))
            },
        };
        state
            .work
            .work
            .add(charge.prompt_tokens, charge.held_tokens);
        charge
    }

    /// Removes the work of a request from its endpoint.
    pub fn remove_work(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        charge: WorkCharge,
    ) {
        if let Some(state) = self.state_mut(endpoint, incarnation) {
            state.work.work.remove_prompt(charge.prompt_tokens);
            state.work.work.remove(charge.held_tokens);
        }
    }

    /// Records the first event of a request: its prompt has been read.
    pub fn record_first_event(
        &mut self,
        endpoint: &EndpointView,
        charge: &mut WorkCharge,
        first_us: u64,
    ) {
        let prompt_tokens = std::mem::take(&mut charge.prompt_tokens);
        let Some(state) = self.states.get_mut(&endpoint.id) else {
            return;
        };
        if state.view.incarnation != endpoint.incarnation {
            return;
        }
        state.work.work.remove_prompt(prompt_tokens);
        if let Some(service) = self.services.get_mut(&state.view.service)
            && service.is_active
        {
            let event_us = state.work.event_us(&service.work);
            let work = &mut service.work;
            work.record_first_event(first_us, prompt_tokens, charge.load_share, event_us);
        }
    }

    /// Records gaps between the events of a stream, in microseconds.
    pub fn record_gaps(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        gaps_us: &[u32],
        now_ms: u64,
    ) {
        if let Some(state) = self.active_state_mut(endpoint, incarnation) {
            state.work.speed.record_gaps(gaps_us, now_ms);
        }
    }

    /// Records whether a stream had a pause beyond the objective at its endpoint. Returns whether the
    /// endpoint is slower than usual, `None` if speeds of the service are not measured.
    pub fn record_stream(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        is_late: bool,
    ) -> Option<bool> {
        let state = self.active_state_mut(endpoint, incarnation)?;
        state.work.speed.record_stream(is_late);
        let (service, event_us) = (state.view.service.clone(), state.work.event_us);
        let usual_us = self.services.get(&service)?.work.usual_event_us;
        Some(event_us > usual_us * SLOW_RATIO)
    }

    fn active_state_mut(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Option<&mut EndpointState> {
        let state = self.states.get_mut(endpoint)?;
        let service = self.services.get(&state.view.service)?;
        (service.is_active && state.view.incarnation == incarnation).then_some(state)
    }

    /// Returns whether speeds of endpoints are measured, so that reports to the leader are due.
    pub(crate) fn measures_speeds(&self) -> bool {
        self.services.values().any(|service| service.is_active)
    }

    /// Returns the speeds to report to the leader.
    pub fn take_speed_reports(&mut self, now_ms: u64) -> Vec<SpeedReport> {
        let mut reports = Vec::new();
        let services = &self.services;
        for state in self.states.values_mut() {
            let service = services.get(&state.view.service);
            if reports.len() == MAX_SPEEDS || !service.is_some_and(|service| service.is_active) {
                continue;
            }
            if let Some(sample) = state.work.speed.take_report(now_ms) {
                reports.push(SpeedReport {
                    endpoint: state.view.id.clone(),
                    incarnation: state.view.incarnation,
                    event_us: sample.event_us,
                    samples: sample.samples,
                    age_ms: sample.age_ms,
                });
            }
        }
        reports
    }

    /// Applies the speeds that the leader states. They also tell that an endpoint of the service states
    /// how long work takes, since nothing is measured otherwise.
    pub fn apply_speeds(&mut self, directives: &[SpeedDirective], now_ms: u64) {
        for directive in directives.iter().take(MAX_SPEEDS) {
            let (endpoint, incarnation) = (&directive.endpoint, directive.incarnation);
            let Some(state) = self.state_mut(endpoint, incarnation) else {
                continue;
            };
            let speed = &mut state.work.speed;
            speed.record_shared(directive.event_us, directive.age_ms, now_ms);
            let service = state.view.service.clone();
            self.activate_work(&service);
        }
    }

    /// Derives the statistics of a service from its endpoints if they are due.
    fn refresh_work(&mut self, criteria: &SelectionCriteria<'_>, now_ms: u64) {
        let Some(service) = self.services.get_mut(criteria.service) else {
            return;
        };
        service.work.record_request(&criteria.work);
        let known = service.objectives;
        service.objectives.max_gap_ms = stricter(known.max_gap_ms, criteria.work.max_gap_ms);
        service.objectives.latency_objective_ms = stricter(
            known.latency_objective_ms,
            criteria.work.latency_objective_ms,
        );
        if now_ms < service.refreshed_ms + REFRESH_INTERVAL_MS && service.refreshed_ms > 0 {
            return;
        }
        service.refreshed_ms = now_ms.max(1);
        let states = self.states.values();
        let states = states.filter(|state| state.view.service == *criteria.service);
        let speeds = states.map(|state| &state.work.speed);
        service.work.derive(speeds, now_ms);
        let usual_us = service.work.usual_event_us;
        let (work, objectives) = (&service.work, &service.objectives);
        for state in self.states.values_mut() {
            if state.view.service != *criteria.service {
                continue;
            }
            let event_us = state.work.speed.event_us(usual_us, now_ms);
            let late_share = state.work.speed.late_share(work.late_share);
            state.work.event_us = event_us;
            state.work.late_share = late_share;
            state.work.expected_share = work.expected_share(event_us, late_share, objectives);
        }
    }
}

/// Ratio of the time per event to the usual one from which a late stream is attributed to a slow
/// endpoint.
const SLOW_RATIO: f64 = 1.25;

/// Returns whether an endpoint has cached the first prompt part, and how many tokens of the prompt it
/// has to read: those behind the leading cached parts.
fn uncached_prompt_tokens(state: &EndpointState, criteria: &SelectionCriteria<'_>) -> (bool, u32) {
    let prompt_tokens = criteria.work.prompt_tokens;
    let (Some(model), Some((first, _))) = (criteria.model, criteria.prompt_parts.first()) else {
        return (false, prompt_tokens);
    };
    let mut key = (model.clone(), *first);
    let mut cached_tokens = 0_u64;
    let mut has_cached = false;
    for (part, tokens) in criteria.prompt_parts {
        key.1 = *part;
        if !state.cached_parts.contains_key(&key) {
            break;
        }
        has_cached = true;
        cached_tokens = cached_tokens.saturating_add(*tokens);
    }
    let cached_tokens = u32::try_from(cached_tokens).unwrap_or(u32::MAX);
    (has_cached, prompt_tokens.saturating_sub(cached_tokens))
}
