//! What this entry process knows of endpoints beyond the fleet view, and the choice among them.

use std::collections::HashMap;

use slog::{Logger, warn};
use wasabipoint_kernel::{AdapterName, EndpointId, FailureDomain, Incarnation};
use wasabipoint_policy::{RoutingCandidate, RoutingPolicy, RoutingRequest, build_routing_policy};
use wasabipoint_rpc::{EndpointView, FleetView, LoadReport};

use crate::prefix_index::PrefixIndex;
use crate::scheduler::{Target, WaitingRequest};

/// Age beyond which a load report says nothing about the present.
const REPORT_MAX_AGE_MS: u64 = 2_000;

/// Blocks in the prefix index; about 20 MB.
const PREFIX_BLOCKS: usize = 200_000;

/// Policy in use when the rules name one that this build does not have.
const FALLBACK_POLICY: &str = "least_loaded";

struct LocalState {
    incarnation: Incarnation,
    in_flight: u32,
    reported_load: u32,
    reported_ms: Option<u64>,
    adapters: Vec<AdapterName>,
    cache_sequence: u64,
    is_draining: bool,
    passed_over_until_ms: u64,
}

impl LocalState {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            in_flight: 0,
            reported_load: 0,
            reported_ms: None,
            adapters: Vec::new(),
            cache_sequence: 0,
            is_draining: false,
            passed_over_until_ms: 0,
        }
    }
}

/// A routing decision with its inputs.
pub(crate) struct Choice {
    pub(crate) endpoint: EndpointView,
    pub(crate) known_cache_sequence: u64,
    pub(crate) reason: String,
    pub(crate) others: Vec<String>,
}

/// Local knowledge of endpoints and the routing policy.
pub(crate) struct Endpoints {
    states: HashMap<EndpointId, LocalState>,
    prefixes: PrefixIndex,
    failure_domain: FailureDomain,
    policy_name: String,
    policy: Box<dyn RoutingPolicy>,
    logger: Logger,
}

impl Endpoints {
    pub(crate) fn new(failure_domain: FailureDomain, logger: Logger) -> Self {
        Self {
            states: HashMap::new(),
            prefixes: PrefixIndex::new(PREFIX_BLOCKS),
            failure_domain,
            policy_name: FALLBACK_POLICY.to_owned(),
            policy: fallback_policy(),
            logger,
        }
    }

    /// Takes over a new view: removed endpoints are forgotten, new runs start afresh.
    pub(crate) fn follow(&mut self, view: &FleetView) {
        let prefixes = &mut self.prefixes;
        self.states.retain(|id, state| {
            let is_kept = view.endpoints.contains_key(id) || state.in_flight > 0;
            if !is_kept {
                prefixes.clear(id);
            }
            is_kept
        });
        for endpoint in view.endpoints.values() {
            let state = self
                .states
                .entry(endpoint.endpoint.clone())
                .or_insert_with(|| LocalState::new(endpoint.incarnation));
            if state.incarnation < endpoint.incarnation {
                // Requests that were sent to the earlier run still hold their permits.
                let in_flight = state.in_flight;
                *state = LocalState::new(endpoint.incarnation);
                state.in_flight = in_flight;
                self.prefixes.clear(&endpoint.endpoint);
            }
        }
        self.select_policy(&view.rules.routing.policy);
    }

    fn select_policy(&mut self, name: &str) {
        if self.policy_name == name {
            return;
        }
        name.clone_into(&mut self.policy_name);
        self.policy = build_routing_policy(name).unwrap_or_else(|| {
            warn!(self.logger, "routing: the policy is unknown, another is used";
                "policy" => name, "used" => FALLBACK_POLICY);
            fallback_policy()
        });
    }

    /// Lists the endpoints that may get the request now, and why others may not.
    fn partition<'a>(
        &self,
        view: &'a FleetView,
        target: &Target,
        excluded: &[EndpointId],
        needs_slot: bool,
        now_ms: u64,
    ) -> (Vec<&'a EndpointView>, Vec<String>) {
        let mut eligible = Vec::new();
        let mut passed_over = Vec::new();
        for endpoint in view.endpoints.values().filter(|each| target.is_at(each)) {
            let fault = if excluded.contains(&endpoint.endpoint) {
                Some("tried before")
            } else {
                self.find_fault(endpoint, needs_slot, now_ms)
            };
            match fault {
                Some(fault) => passed_over.push(format!("{}: {fault}", endpoint.endpoint)),
                None => eligible.push(endpoint),
            }
        }
        (eligible, passed_over)
    }

    fn find_fault(
        &self,
        endpoint: &EndpointView,
        needs_slot: bool,
        now_ms: u64,
    ) -> Option<&'static str> {
        if self.is_leaving(endpoint) {
            return Some("leaving");
        }
        let state = self.states.get(&endpoint.endpoint)?;
        if now_ms < state.passed_over_until_ms {
            return Some("not reachable or full");
        }
        let is_fresh = state
            .reported_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < REPORT_MAX_AGE_MS);
        // Other entry processes use the endpoint too; their load is known from reports only.
        let is_overloaded = is_fresh && state.reported_load >= endpoint.concurrency * 2;
        (needs_slot && (state.in_flight >= endpoint.concurrency || is_overloaded))
            .then_some("no free slot")
    }

    /// Counts the slots of all endpoints that serve the target, whether free or not.
    pub(crate) fn total_slots(&self, view: &FleetView, target: &Target, now_ms: u64) -> u32 {
        self.usable(view, target, false, now_ms)
            .map(|endpoint| endpoint.concurrency)
            .sum()
    }

    pub(crate) fn has_free_slot(&self, view: &FleetView, target: &Target, now_ms: u64) -> bool {
        self.usable(view, target, true, now_ms).next().is_some()
    }

    /// Tells whether any endpoint of the target is not leaving, even if it has no room now.
    pub(crate) fn has_staying(&self, view: &FleetView, target: &Target) -> bool {
        view.endpoints
            .values()
            .any(|endpoint| target.is_at(endpoint) && !self.is_leaving(endpoint))
    }

    /// Tells whether the fleet view or a refusal of this run of the agent says that the endpoint
    /// is leaving.
    fn is_leaving(&self, endpoint: &EndpointView) -> bool {
        let state = self.states.get(&endpoint.endpoint);
        endpoint.is_leaving
            || state
                .is_some_and(|state| state.is_draining && state.incarnation == endpoint.incarnation)
    }

    fn usable<'a>(
        &'a self,
        view: &'a FleetView,
        target: &'a Target,
        needs_slot: bool,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a EndpointView> {
        view.endpoints.values().filter(move |endpoint| {
            target.is_at(endpoint) && self.find_fault(endpoint, needs_slot, now_ms).is_none()
        })
    }

    /// Chooses an endpoint and counts the request there.
    pub(crate) fn choose(
        &mut self,
        view: &FleetView,
        request: &WaitingRequest,
        excluded: &[EndpointId],
        needs_slot: bool,
        now_ms: u64,
    ) -> Option<Choice> {
        let (eligible, mut others) =
            self.partition(view, &request.target, excluded, needs_slot, now_ms);
        let candidates: Vec<RoutingCandidate> = eligible
            .iter()
            .map(|endpoint| self.build_candidate(endpoint, request, now_ms))
            .collect();
        let routing = RoutingRequest {
            failure_domain: self.failure_domain.clone(),
            prompt_blocks: request.prefix.len() as u32,
            has_adapter: request.adapter.is_some(),
        };
        let choice = self.policy.choose(&routing, &candidates, rand::random())?;
        let endpoint = (*eligible.get(choice.index)?).clone();
        for (index, loser) in candidates.iter().enumerate() {
            if index != choice.index {
                others.push(format!(
                    "{}: load {}, cached {}",
                    loser.endpoint,
                    loser.estimated_load(),
                    loser.cached_blocks
                ));
            }
        }
        for block in request.prefix.iter() {
            self.prefixes.insert(&endpoint.endpoint, *block);
        }
        let state = self
            .states
            .entry(endpoint.endpoint.clone())
            .or_insert_with(|| LocalState::new(endpoint.incarnation));
        state.in_flight += 1;
        Some(Choice {
            known_cache_sequence: state.cache_sequence,
            endpoint,
            reason: choice.reason,
            others,
        })
    }

    fn build_candidate(
        &self,
        endpoint: &EndpointView,
        request: &WaitingRequest,
        now_ms: u64,
    ) -> RoutingCandidate {
        let id = &endpoint.endpoint;
        let state = self.states.get(id);
        let report_age_ms = state
            .and_then(|state| state.reported_ms)
            .map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms));
        let is_fresh = report_age_ms < REPORT_MAX_AGE_MS;
        RoutingCandidate {
            endpoint: id.clone(),
            failure_domain: endpoint.failure_domain.clone(),
            local_in_flight: state.map_or(0, |state| state.in_flight),
            reported_load: state
                .filter(|_| is_fresh)
                .map_or(0, |state| state.reported_load),
            report_age_ms,
            concurrency: endpoint.concurrency,
            cached_blocks: self.prefixes.count_leading(id, &request.prefix),
            has_adapter_loaded: request
                .adapter
                .as_ref()
                .is_some_and(|adapter| state.is_some_and(|state| state.adapters.contains(adapter))),
        }
    }

    pub(crate) fn release(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Takes over a load report, unless it is from an earlier run or older than the last one.
    pub(crate) fn record_load(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        load: LoadReport,
        now_ms: u64,
    ) {
        let Some(state) = self.states.get_mut(endpoint) else {
            return;
        };
        if state.incarnation != incarnation {
            return;
        }
        state.reported_load = load.running + load.queued;
        state.reported_ms = Some(now_ms);
        state.adapters = load.adapters;
        if load.cache_sequence > state.cache_sequence {
            state.cache_sequence = load.cache_sequence;
            self.prefixes
                .apply(endpoint, &load.cache_events, load.has_cache_gap);
        }
    }

    /// Passes over an endpoint whose agent is shutting down, until it has a new run.
    pub(crate) fn mark_draining(&mut self, endpoint: &EndpointId, incarnation: Incarnation) {
        if let Some(state) = self.states.get_mut(endpoint)
            && state.incarnation == incarnation
        {
            state.is_draining = true;
        }
    }

    /// Gives an endpoint no requests for a short time.
    pub(crate) fn start_cooldown(&mut self, endpoint: &EndpointId, until_ms: u64) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.passed_over_until_ms = state.passed_over_until_ms.max(until_ms);
        }
    }

    pub(crate) fn list_draining(&self) -> Vec<(EndpointId, Incarnation)> {
        self.states
            .iter()
            .filter(|(_, state)| state.is_draining)
            .map(|(id, state)| (id.clone(), state.incarnation))
            .collect()
    }
}

fn fallback_policy() -> Box<dyn RoutingPolicy> {
    build_routing_policy(FALLBACK_POLICY).expect("the fallback policy is registered")
}
