//! Endpoint state as observed by one entry process, and endpoint selection.

mod cold;
mod domains;
mod hedging;
mod homes;
mod limits;
mod work;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use wasabipoint_kernel::{
    ColdLimit, EndpointId, FailureDomain, Incarnation, ModelName, Region, ServiceName,
    SoftwareVersion,
};
use wasabipoint_policy::{
    Announcement, AvailabilityChange, EndpointAvailability, LoadEstimate, RequestAllowance,
    RequestWork, add_version_costs, choose_lowest_cost, mean_load_by_share,
};
use wasabipoint_rpc::EndpointView;

use super::dialect::ReportedLoad;
use cold::{COLD_COST, ObservedFleet, RestartTrial};
use work::{EndpointWorkState, ServiceWorkState};
pub use work::{SelectedWork, WorkCharge};

pub use cold::ColdChange;
pub use homes::{HomeRegions, Regions};

/// Time that an endpoint is avoided after a failure, in milliseconds.
const AVOIDANCE_MS: u64 = 1_500;

/// Time that an endpoint counts as lacking a model after it refused a request for it, in
/// milliseconds. The endpoint list from control is updated within this time.
const MISSING_MODEL_MS: u64 = 1_500;

/// Time that an endpoint is reported as unreachable after a failed connection, in milliseconds.
const UNREACHABLE_REPORT_MS: u64 = 1_500;

/// Time that an endpoint is not used after another one answered at its address, in milliseconds. The
/// list from control no longer names the endpoint by then, unless the response was wrong.
const REPLACED_MS: u64 = 10_000;

/// Number of entry processes that are presumed to share a limit before the leader gives the number.
const MAX_PRESUMED_ENTRIES: u32 = 100;

/// Additional cost of an endpoint in another failure domain, as a share of its slots. It is
/// selected only if its load is lower by more than this.
const REMOTE_DOMAIN_COST: f64 = 0.03;

/// Cost reduction of an endpoint that has cached the first prompt part, as a share of its slots.
const CACHED_PROMPT_BONUS: f64 = 0.10;

/// Maximum number of prompt parts remembered per endpoint.
const MAX_CACHED_PARTS: usize = 512;

#[derive(Debug)]
struct EndpointState {
    view: EndpointView,
    /// Whether the failure domain of the endpoint is out of service.
    is_out_of_service: bool,
    /// Requests of this entry process in flight at the endpoint.
    own_requests: u32,
    /// Estimated requests of other entry processes.
    load_estimate: LoadEstimate,
    avoid_until_ms: u64,
    unreachable_until_ms: u64,
    /// Until when the address counts as used by another endpoint.
    replaced_until_ms: u64,
    missing_until_ms: BTreeMap<ModelName, u64>,
    /// What the endpoint announced to this entry process.
    availability: EndpointAvailability,
    /// Permissions to send requests, if the endpoint named a limit or is cold.
    allowance: Option<RequestAllowance>,
    /// Limit of cold endpoints in the endpoint's service.
    cold_limit: Option<ColdLimit>,
    /// Set after a lost connection until a response arrives, if the service has a cold limit.
    trial: Option<RestartTrial>,
    /// Whether the endpoint was cold when changes were last taken.
    was_cold: bool,
    /// Region of the endpoint's failure domain.
    region: Region,
    /// Time of last use in milliseconds, by model and id of the prompt part.
    cached_parts: HashMap<(ModelName, u64), u64>,
    /// Speed and work.
    work: EndpointWorkState,
}

/// Requirements and preferences of a request in endpoint selection.
#[derive(Debug, Clone)]
pub struct SelectionCriteria<'a> {
    /// The requested service.
    pub service: &'a ServiceName,
    /// The requested model, or `MODEL/ADAPTER`.
    pub model: Option<&'a ModelName>,
    /// Leading prompt parts that other requests may share.
    pub prompt_parts: &'a [(u64, u64)],
    /// Endpoints that were tried already.
    pub tried: &'a BTreeSet<EndpointId>,
    /// Size and objectives of the request.
    pub work: RequestWork,
    /// Regions whose endpoints may serve the request.
    pub homes: HomeRegions<'a>,
    /// Software version at which the stream of the request began, if it did. No other version may
    /// continue it.
    pub software_version: Option<&'a SoftwareVersion>,
    /// Whether the request begins a stream that may have to go on at another endpoint.
    pub begins_stream: bool,
    /// Random number that breaks ties between endpoints of equal cost.
    pub random: u64,
}

/// The endpoint selected for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointView,
    /// Estimated number of requests at the endpoint.
    pub load: u32,
    /// Number of endpoints that were eligible.
    pub candidates: usize,
    /// Whether this is the first request after a pause of the endpoint.
    pub is_first_after_pause: bool,
    /// Speed and work at the endpoint, if its service states how long work takes.
    pub work: Option<SelectedWork>,
}

/// Endpoints with their load and recent failures.
#[derive(Debug)]
pub struct Endpoints {
    failure_domain: FailureDomain,
    states: BTreeMap<EndpointId, EndpointState>,
    /// Failure domains that are out of service.
    out_of_service: BTreeSet<FailureDomain>,
    /// Number of entry processes that share the limits of endpoints.
    entry_processes: u32,
    /// Work statistics by service.
    services: HashMap<ServiceName, ServiceWorkState>,
    regions: Regions,
    observed: ObservedFleet,
}

impl EndpointState {
    /// Returns whether the endpoint leaves, according to control or to its own responses.
    fn is_leaving(&self) -> bool {
        self.view.is_leaving || self.availability.is_leaving()
    }

    /// Returns whether the endpoint may get new requests: it does not leave, and its failure domain is
    /// in service.
    fn is_in_service(&self) -> bool {
        !self.is_leaving() && !self.is_out_of_service
    }

    /// Returns whether the endpoint accepts another request now: it does not pause, and its limits
    /// allow the request.
    fn can_send(&self, entry_processes: u32, now_ms: u64) -> bool {
        if self.availability.ready_in_ms(now_ms) > 0 || self.trial_ready_in_ms(now_ms) > 0 {
            return false;
        }
        let allowance = self.allowance.as_ref();
        allowance.is_none_or(|allowance| allowance.can_send(entry_processes, now_ms))
    }
}

impl Endpoints {
    /// Creates an empty set for an entry process in a failure domain.
    pub fn new(failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain,
            states: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
            entry_processes: MAX_PRESUMED_ENTRIES,
            services: HashMap::new(),
            regions: Regions::default(),
            observed: ObservedFleet::default(),
        }
    }

    /// Replaces the endpoints with those that control lists. The state of an older incarnation is
    /// discarded.
    pub fn update(&mut self, views: &BTreeMap<EndpointId, EndpointView>) {
        self.states.retain(|id, state| {
            views
                .get(id)
                .is_some_and(|view| view.incarnation == state.view.incarnation)
        });
        for (id, view) in views {
            if let Some(state) = self.states.get_mut(id) {
                if state.view != *view {
                    state.region = self.regions.region_of(&view.failure_domain);
                    state.view = view.clone();
                    state.is_out_of_service = self.out_of_service.contains(&view.failure_domain);
                }
                continue;
            }
            let state = EndpointState {
                view: view.clone(),
                is_out_of_service: self.out_of_service.contains(&view.failure_domain),
                own_requests: 0,
                load_estimate: LoadEstimate::default(),
                avoid_until_ms: 0,
                unreachable_until_ms: 0,
                replaced_until_ms: 0,
                missing_until_ms: BTreeMap::new(),
                availability: EndpointAvailability::default(),
                allowance: None,
                cold_limit: None,
                trial: None,
                was_cold: false,
                region: self.regions.region_of(&view.failure_domain),
                cached_parts: HashMap::new(),
                work: EndpointWorkState::default(),
            };
            self.states.insert(id.clone(), state);
        }
        self.retain_services();
    }

    /// Selects the endpoint with the lowest cost among those that can serve a request, do not pause and
    /// whose limit allows it. Endpoints that failed recently are used only if there is no other.
    pub fn select(
        &self,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> Option<SelectedEndpoint> {
        let eligible: Vec<&EndpointState> = self
            .eligible_endpoints(criteria, now_ms)
            .filter(|state| state.can_send(self.entry_processes, now_ms))
            .collect();
        let healthy = eligible
            .iter()
            .filter(|state| state.avoid_until_ms <= now_ms);
        let mut candidates: Vec<&EndpointState> = healthy.copied().collect();
        if candidates.is_empty() {
            candidates.clone_from(&eligible);
        }
        let mean = self.mean_load(criteria.service, now_ms);
        let service = self.active_work(criteria.service);
        let mut costs: Vec<f64> = if let Some(service) = service {
            self.work_costs(service, &mut candidates, criteria, mean, now_ms)
        } else {
            let costs = candidates.iter();
            costs
                .map(|state| self.cost(state, criteria, mean, now_ms))
                .collect()
        };
        if criteria.begins_stream {
            let candidates = candidates.iter().map(|state| &state.view.software_version);
            let eligible = eligible.iter().map(|state| &state.view.software_version);
            add_version_costs(&mut costs, candidates, eligible);
        }
        let state = candidates[choose_lowest_cost(&costs, criteria.random)?];
        Some(SelectedEndpoint {
            endpoint: state.view.clone(),
            load: estimated_load(state, mean, now_ms).round() as u32,
            candidates: eligible.len(),
            is_first_after_pause: false,
            work: service.map(|service| state.work.describe(service, now_ms)),
        })
    }

    /// Returns the mean load from other entry processes over the endpoints of a service.
    fn mean_load(&self, service: &ServiceName, now_ms: u64) -> f64 {
        let states = self.states.values();
        let service_endpoints = states.filter(|state| state.view.service == *service);
        let estimates =
            service_endpoints.map(|state| (&state.load_estimate, state.work.expected_share));
        mean_load_by_share(estimates, now_ms)
    }

    /// Returns the endpoints that can serve a request, including avoided ones.
    fn eligible_endpoints(
        &self,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = &EndpointState> {
        self.states.values().filter(move |state| {
            let view = &state.view;
            view.service == *criteria.service
                && state.is_in_service()
                && state.replaced_until_ms <= now_ms
                && !criteria.tried.contains(&view.id)
                && criteria.homes.allow(&state.region)
                && criteria
                    .software_version
                    .is_none_or(|version| view.software_version == *version)
                && criteria.model.is_none_or(|model| {
                    view.models.contains(model)
                        && state
                            .missing_until_ms
                            .get(model)
                            .is_none_or(|until| *until <= now_ms)
                })
        })
    }

    fn cost(
        &self,
        state: &EndpointState,
        criteria: &SelectionCriteria<'_>,
        mean: f64,
        now_ms: u64,
    ) -> f64 {
        let slots = f64::from(state.view.concurrency.max(1));
        let cost = estimated_load(state, mean, now_ms) / slots;
        let has_cached = criteria.model.is_some_and(|model| {
            let first = criteria.prompt_parts.first();
            first.is_some_and(|(part, _)| {
                let key = (model.clone(), *part);
                state.cached_parts.contains_key(&key)
            })
        });
        self.add_preferences(cost, state, has_cached, now_ms)
    }

    /// Adds the costs of another failure domain and of a cold endpoint, and the bonus of a cached prompt
    /// part.
    fn add_preferences(
        &self,
        mut cost: f64,
        state: &EndpointState,
        has_cached: bool,
        now_ms: u64,
    ) -> f64 {
        if state.view.failure_domain != self.failure_domain {
            cost += REMOTE_DOMAIN_COST;
        }
        if state.is_cold(now_ms) {
            cost += COLD_COST;
        }
        if has_cached {
            cost -= CACHED_PROMPT_BONUS;
        }
        cost
    }

    /// Returns whether a service has an endpoint that may get new requests.
    pub fn has_endpoints(&self, service: &ServiceName) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.view.service == *service && state.is_in_service())
    }

    /// Returns whether a service has an endpoint of a software version that may get new requests.
    pub fn has_version(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let mut states = self.states.values();
        states.any(|state| {
            state.view.service == *service
                && state.view.software_version == *version
                && state.is_in_service()
        })
    }

    /// Returns the endpoints that could serve a request if they were not tried yet, in order of
    /// increasing load. They hold `model` in place of the requested one.
    pub fn endpoints_with_model(
        &self,
        model: &ModelName,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> Vec<EndpointId> {
        let criteria = SelectionCriteria {
            model: Some(model),
            tried: &BTreeSet::new(),
            ..criteria.clone()
        };
        let mean = self.mean_load(criteria.service, now_ms);
        let mut by_load: Vec<_> = self
            .eligible_endpoints(&criteria, now_ms)
            .map(|state| (estimated_load(state, mean, now_ms), state.view.id.clone()))
            .collect();
        by_load.sort_by(|one, other| one.0.total_cmp(&other.0).then_with(|| one.1.cmp(&other.1)));
        by_load.into_iter().map(|(_, id)| id).collect()
    }

    /// Counts a request sent to an endpoint and remembers its prompt parts as cached there. Returns the
    /// work that the request adds until `remove_work`.
    pub fn record_start(
        &mut self,
        endpoint: &EndpointView,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> WorkCharge {
        let charge = self.add_work(endpoint, criteria, now_ms);
        let Some(state) = self.state_mut(&endpoint.id, endpoint.incarnation) else {
            return charge;
        };
        state.own_requests += 1;
        if let Some(model) = criteria.model {
            for (part, _) in criteria.prompt_parts {
                state.cached_parts.insert((model.clone(), *part), now_ms);
            }
            if state.cached_parts.len() > MAX_CACHED_PARTS {
                let oldest = state.cached_parts.iter().min_by_key(|(_, used)| **used);
                if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                    state.cached_parts.remove(&key);
                }
            }
        }
        charge
    }

    /// Counts the end of a request at an endpoint.
    pub fn record_end(&mut self, endpoint: &EndpointId, incarnation: Incarnation) {
        if let Some(state) = self.state_mut(endpoint, incarnation) {
            state.own_requests = state.own_requests.saturating_sub(1);
        }
    }

    /// Records the load that an endpoint reports and stops avoiding the endpoint.
    pub fn record_load(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        load: ReportedLoad,
        now_ms: u64,
    ) {
        if let Some(state) = self.state_mut(endpoint, incarnation) {
            let total = load.running.saturating_add(load.waiting);
            state
                .load_estimate
                .record_report(total, state.own_requests, now_ms);
            state.avoid_until_ms = 0;
            state.unreachable_until_ms = 0;
            if let Some(percent) = load.work_time_percent {
                state.work.work.record_stated(percent, now_ms);
                let service = state.view.service.clone();
                self.activate_work(&service);
            }
        }
    }

    /// Avoids an endpoint for `AVOIDANCE_MS`.
    pub fn avoid(&mut self, endpoint: &EndpointId, incarnation: Incarnation, now_ms: u64) {
        if let Some(state) = self.state_mut(endpoint, incarnation) {
            state.avoid_until_ms = now_ms + AVOIDANCE_MS;
        }
    }

    /// Records that an endpoint cannot be connected to. Returns whether it was reachable before.
    pub fn record_unreachable(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> bool {
        let Some(state) = self.state_mut(endpoint, incarnation) else {
            return false;
        };
        let was_reachable = state.unreachable_until_ms <= now_ms;
        state.begin_trial();
        state.unreachable_until_ms = now_ms + UNREACHABLE_REPORT_MS;
        state.avoid_until_ms = now_ms + AVOIDANCE_MS;
        was_reachable
    }

    /// Records that another endpoint answered at the address of an endpoint, which is then gone. Returns
    /// whether this was not known.
    pub fn record_replaced(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> bool {
        let Some(state) = self.state_mut(endpoint, incarnation) else {
            return false;
        };
        let is_new = state.replaced_until_ms <= now_ms;
        state.replaced_until_ms = now_ms + REPLACED_MS;
        state.unreachable_until_ms = now_ms + UNREACHABLE_REPORT_MS;
        is_new
    }

    /// Returns the endpoints that recently could not be connected to.
    pub fn unreachable(&self, now_ms: u64) -> Vec<(EndpointId, Incarnation)> {
        let states = self.states.values();
        states
            .filter(|state| state.unreachable_until_ms > now_ms)
            .map(|state| (state.view.id.clone(), state.view.incarnation))
            .collect()
    }

    /// Records that an endpoint lacks a model.
    pub fn record_missing_model(&mut self, endpoint: &EndpointId, model: &ModelName, now_ms: u64) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state
                .missing_until_ms
                .insert(model.clone(), now_ms + MISSING_MODEL_MS);
        }
    }

    /// Records that control has loaded an adapter at an endpoint.
    pub fn record_loaded_model(&mut self, endpoint: &EndpointId, model: &ModelName) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.missing_until_ms.remove(model);
            if !state.view.models.contains(model) {
                state.view.models.push(model.clone());
            }
        }
    }

    /// Records what a response of an endpoint announces.
    pub fn record_announcement(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        announcement: Announcement,
        now_ms: u64,
    ) -> AvailabilityChange {
        match self.state_mut(endpoint, incarnation) {
            Some(state) => state.availability.record(announcement, now_ms),
            None => AvailabilityChange::default(),
        }
    }

    /// Returns whether a request may still be sent to an endpoint that was selected before.
    pub fn may_still_send(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> bool {
        let state = self.states.get(endpoint);
        state.is_some_and(|state| {
            state.view.incarnation == incarnation
                && state.is_in_service()
                && state.replaced_until_ms <= now_ms
                && !state.availability.is_paused(now_ms)
        })
    }

    /// Returns whether an endpoint that could serve a request pauses.
    pub fn has_paused(&self, criteria: &SelectionCriteria<'_>, now_ms: u64) -> bool {
        let mut eligible = self.eligible_endpoints(criteria, now_ms);
        eligible.any(|state| state.availability.is_paused(now_ms))
    }

    /// Returns the endpoints that announced that they leave and are not known to control as leaving.
    pub fn announced_leaving(&self) -> Vec<(EndpointId, Incarnation)> {
        let states = self.states.values();
        states
            .filter(|state| state.availability.is_leaving() && !state.view.is_leaving)
            .map(|state| (state.view.id.clone(), state.view.incarnation))
            .collect()
    }

    /// Returns whether an address belongs to a listed endpoint.
    pub fn has_address(&self, address: &std::net::SocketAddr) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.view.address == *address)
    }

    /// Returns the state of an endpoint unless it belongs to another incarnation.
    fn state_mut(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Option<&mut EndpointState> {
        let state = self.states.get_mut(endpoint)?;
        (state.view.incarnation == incarnation).then_some(state)
    }
}

fn estimated_load(state: &EndpointState, mean: f64, now_ms: u64) -> f64 {
    let expected = mean * state.work.expected_share;
    f64::from(state.own_requests) + state.load_estimate.other_requests(expected, now_ms)
}
