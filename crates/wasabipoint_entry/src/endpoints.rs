//! State of endpoints as observed by this entry process, and routing of requests to them.

use std::collections::HashMap;

use slog::{Logger, warn};
use wasabipoint_kernel::{AdapterName, EndpointId, FailureDomain, Incarnation};
use wasabipoint_policy::{RoutingCandidate, RoutingPolicy, RoutingRequest, build_routing_policy};
use wasabipoint_rpc::{EndpointView, FleetView, LoadReport};

use crate::prefix_index::PrefixIndex;
use crate::scheduler::{SchedulingRequest, Target};

/// Age beyond which a load report is ignored as outdated.
const REPORT_MAX_AGE_MS: u64 = 2_000;

/// Capacity of the prefix index in blocks; about 20 MB.
const PREFIX_INDEX_BLOCKS: usize = 200_000;

/// Routing policy used when the rules name one that this build does not have.
const FALLBACK_POLICY: &str = "least_loaded";

/// State of one incarnation of an endpoint, as observed by this entry process.
struct EndpointState {
    incarnation: Incarnation,
    /// Requests of this entry process that hold a permit for the endpoint.
    in_flight: u32,
    /// Running and queued requests of all entry processes, according to the last load report.
    reported_load: u32,
    /// Time of the last load report.
    reported_ms: Option<u64>,
    adapters: Vec<AdapterName>,
    /// Sequence number of the last applied cache event.
    cache_sequence: u64,
    is_draining: bool,
    cooldown_until_ms: u64,
}

impl EndpointState {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            in_flight: 0,
            reported_load: 0,
            reported_ms: None,
            adapters: Vec::new(),
            cache_sequence: 0,
            is_draining: false,
            cooldown_until_ms: 0,
        }
    }
}

/// The endpoint chosen for a request.
pub(crate) struct RoutedEndpoint {
    pub(crate) endpoint: EndpointView,
    pub(crate) known_cache_sequence: u64,
    /// Reason given by the routing policy.
    pub(crate) reason: String,
    /// Each other endpoint of the target, with the reason for its exclusion or its load.
    pub(crate) others: Vec<String>,
}

/// Observed state of all endpoints, the prefix index and the routing policy.
pub(crate) struct EndpointTable {
    states: HashMap<EndpointId, EndpointState>,
    prefix_index: PrefixIndex,
    failure_domain: FailureDomain,
    policy_name: String,
    policy: Box<dyn RoutingPolicy>,
    logger: Logger,
}

impl EndpointTable {
    pub(crate) fn new(failure_domain: FailureDomain, logger: Logger) -> Self {
        Self {
            states: HashMap::new(),
            prefix_index: PrefixIndex::new(PREFIX_INDEX_BLOCKS),
            failure_domain,
            policy_name: FALLBACK_POLICY.to_owned(),
            policy: build_fallback_policy(),
            logger,
        }
    }

    /// Applies a fleet view: drops the state of removed endpoints that have no requests in flight,
    /// and resets the state of endpoints that were restarted.
    pub(crate) fn apply_view(&mut self, view: &FleetView) {
        let prefix_index = &mut self.prefix_index;
        self.states.retain(|id, state| {
            let is_kept = view.endpoints.contains_key(id) || state.in_flight > 0;
            if !is_kept {
                prefix_index.remove_endpoint(id);
            }
            is_kept
        });
        for endpoint in view.endpoints.values() {
            let state = self
                .states
                .entry(endpoint.id.clone())
                .or_insert_with(|| EndpointState::new(endpoint.incarnation));
            if state.incarnation < endpoint.incarnation {
                // Requests sent to the earlier incarnation still hold permits and release them
                // later.
                let in_flight = state.in_flight;
                *state = EndpointState::new(endpoint.incarnation);
                state.in_flight = in_flight;
                self.prefix_index.remove_endpoint(&endpoint.id);
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
            warn!(self.logger, "routing: unknown policy, using the fallback";
                "policy" => name, "used" => FALLBACK_POLICY);
            build_fallback_policy()
        });
    }

    /// Splits the endpoints of a target into the eligible ones and, as text, the others with the
    /// reason for their exclusion.
    fn partition<'a>(
        &self,
        view: &'a FleetView,
        target: &Target,
        excluded: &[EndpointId],
        needs_slot: bool,
        now_ms: u64,
    ) -> (Vec<&'a EndpointView>, Vec<String>) {
        let mut eligible = Vec::new();
        let mut exclusions = Vec::new();
        for endpoint in view
            .endpoints
            .values()
            .filter(|candidate| target.is_served_by(candidate))
        {
            let exclusion = if excluded.contains(&endpoint.id) {
                Some("tried before")
            } else {
                self.exclusion_reason(endpoint, needs_slot, now_ms)
            };
            match exclusion {
                Some(exclusion) => exclusions.push(format!("{}: {exclusion}", endpoint.id)),
                None => eligible.push(endpoint),
            }
        }
        (eligible, exclusions)
    }

    /// Returns why an endpoint may not get a request now, or `None` if it may.
    fn exclusion_reason(
        &self,
        endpoint: &EndpointView,
        needs_slot: bool,
        now_ms: u64,
    ) -> Option<&'static str> {
        if self.is_leaving(endpoint) {
            return Some("leaving");
        }
        let state = self.states.get(&endpoint.id)?;
        if now_ms < state.cooldown_until_ms {
            return Some("not reachable or full");
        }
        let is_fresh = state
            .reported_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < REPORT_MAX_AGE_MS);
        // `in_flight` counts only requests of this entry process; load from other entry processes
        // is visible only in reports.
        let is_overloaded = is_fresh && state.reported_load >= endpoint.concurrency * 2;
        (needs_slot && (state.in_flight >= endpoint.concurrency || is_overloaded))
            .then_some("no free slot")
    }

    /// Counts the slots of all endpoints that may get requests for the target, free or not.
    pub(crate) fn total_slots(&self, view: &FleetView, target: &Target, now_ms: u64) -> u32 {
        self.usable_endpoints(view, target, false, now_ms)
            .map(|endpoint| endpoint.concurrency)
            .sum()
    }

    pub(crate) fn has_free_slot(&self, view: &FleetView, target: &Target, now_ms: u64) -> bool {
        self.usable_endpoints(view, target, true, now_ms)
            .next()
            .is_some()
    }

    /// Returns whether any endpoint of the target is not leaving, even if none has a free slot.
    pub(crate) fn has_active(&self, view: &FleetView, target: &Target) -> bool {
        view.endpoints
            .values()
            .any(|endpoint| target.is_served_by(endpoint) && !self.is_leaving(endpoint))
    }

    /// Returns whether an endpoint is leaving, according to the fleet view or to a refusal by the
    /// agent's current incarnation.
    fn is_leaving(&self, endpoint: &EndpointView) -> bool {
        let state = self.states.get(&endpoint.id);
        endpoint.is_leaving
            || state
                .is_some_and(|state| state.is_draining && state.incarnation == endpoint.incarnation)
    }

    fn usable_endpoints<'a>(
        &'a self,
        view: &'a FleetView,
        target: &'a Target,
        needs_slot: bool,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a EndpointView> {
        view.endpoints.values().filter(move |endpoint| {
            target.is_served_by(endpoint)
                && self
                    .exclusion_reason(endpoint, needs_slot, now_ms)
                    .is_none()
        })
    }

    /// Chooses an endpoint by the routing policy and counts the request as in flight there. Also
    /// adds the blocks of its prompt to the prefix index, since the endpoint will cache them.
    pub(crate) fn choose(
        &mut self,
        view: &FleetView,
        request: &SchedulingRequest,
        excluded: &[EndpointId],
        needs_slot: bool,
        now_ms: u64,
    ) -> Option<RoutedEndpoint> {
        let (eligible, mut others) =
            self.partition(view, &request.target, excluded, needs_slot, now_ms);
        let candidates: Vec<RoutingCandidate> = eligible
            .iter()
            .map(|endpoint| self.build_candidate(endpoint, request, now_ms))
            .collect();
        let routing_request = RoutingRequest {
            failure_domain: self.failure_domain.clone(),
            prompt_blocks: request.prefix.len() as u32,
            has_adapter: request.adapter.is_some(),
        };
        let choice = self
            .policy
            .choose(&routing_request, &candidates, rand::random())?;
        let endpoint = (*eligible.get(choice.index)?).clone();
        for (index, other) in candidates.iter().enumerate() {
            if index != choice.index {
                others.push(format!(
                    "{}: load {}, cached {}",
                    other.endpoint,
                    other.estimated_load(),
                    other.cached_blocks
                ));
            }
        }
        for block in request.prefix.iter() {
            self.prefix_index.insert(&endpoint.id, *block);
        }
        let state = self
            .states
            .entry(endpoint.id.clone())
            .or_insert_with(|| EndpointState::new(endpoint.incarnation));
        state.in_flight += 1;
        Some(RoutedEndpoint {
            known_cache_sequence: state.cache_sequence,
            endpoint,
            reason: choice.reason,
            others,
        })
    }

    fn build_candidate(
        &self,
        endpoint: &EndpointView,
        request: &SchedulingRequest,
        now_ms: u64,
    ) -> RoutingCandidate {
        let id = &endpoint.id;
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
            cached_blocks: self.prefix_index.count_cached_prefix(id, &request.prefix),
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

    /// Applies a load report, unless it is from another incarnation. Cache events that were already
    /// applied are ignored.
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
            self.prefix_index
                .apply_events(endpoint, &load.cache_events, load.has_cache_gap);
        }
    }

    /// Excludes an endpoint whose agent is shutting down from routing, until it is restarted.
    pub(crate) fn mark_draining(&mut self, endpoint: &EndpointId, incarnation: Incarnation) {
        if let Some(state) = self.states.get_mut(endpoint)
            && state.incarnation == incarnation
        {
            state.is_draining = true;
        }
    }

    /// Excludes an endpoint from routing until `until_ms`.
    pub(crate) fn start_cooldown(&mut self, endpoint: &EndpointId, until_ms: u64) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.cooldown_until_ms = state.cooldown_until_ms.max(until_ms);
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

fn build_fallback_policy() -> Box<dyn RoutingPolicy> {
    build_routing_policy(FALLBACK_POLICY).expect("the fallback policy is registered")
}
