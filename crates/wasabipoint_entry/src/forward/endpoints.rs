//! Endpoints as one entry process sees them, and the choice among them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use wasabipoint_kernel::{EndpointId, FailureDomain, Incarnation, ModelName, ServiceName};
use wasabipoint_policy::{LoadBelief, choose_least, mean_load};
use wasabipoint_rpc::EndpointView;

use super::dialect::ReportedLoad;

/// Time for which an endpoint is avoided after a failure, in milliseconds.
const AVOID_MS: u64 = 1_500;

/// Time for which an endpoint counts as lacking a model after it refused a request for it, in
/// milliseconds. The list catches up within it.
const MISSING_MS: u64 = 1_500;

/// Time for which an endpoint that could not be connected to is reported, in milliseconds.
const UNREACHABLE_MS: u64 = 1_500;

/// Load, as a share of the slots, that a request in another failure domain has to save.
const REMOTE_COST: f64 = 0.03;

/// Load, as a share of the slots, that a cached prompt part is worth.
const CACHED_GAIN: f64 = 0.10;

/// Prompt parts remembered per endpoint.
const KEPT_PARTS: usize = 512;

#[derive(Debug)]
struct Known {
    view: EndpointView,
    own: u32,
    belief: LoadBelief,
    avoid_until_ms: u64,
    unreachable_until_ms: u64,
    missing: BTreeMap<ModelName, u64>,
    parts: HashMap<(ModelName, u64), u64>,
}

/// What a request needs of an endpoint.
#[derive(Debug, Clone)]
pub struct SelectionCriteria<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, or `MODEL/ADAPTER`.
    pub model: Option<&'a ModelName>,
    /// First parts of the prompt that other requests share.
    pub parts: &'a [(u64, u64)],
    /// Endpoints that were tried already.
    pub tried: &'a BTreeSet<EndpointId>,
    /// A random number that decides between equal endpoints.
    pub draw: u64,
}

/// The endpoint chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointView,
    /// Estimated requests there.
    pub load: u32,
    /// Candidates among which it was chosen.
    pub candidates: usize,
}

/// Endpoints with their loads.
#[derive(Debug)]
pub struct Endpoints {
    failure_domain: FailureDomain,
    known: BTreeMap<EndpointId, Known>,
}

impl Endpoints {
    /// Creates an empty set seen from a failure domain.
    pub fn new(failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain,
            known: BTreeMap::new(),
        }
    }

    /// Takes the endpoints that control lists. A new incarnation starts afresh.
    pub fn update(&mut self, views: &BTreeMap<EndpointId, EndpointView>) {
        self.known.retain(|id, known| {
            views
                .get(id)
                .is_some_and(|view| view.incarnation == known.view.incarnation)
        });
        for (id, view) in views {
            if let Some(known) = self.known.get_mut(id) {
                if known.view != *view {
                    known.view = view.clone();
                }
                continue;
            }
            let known = Known {
                view: view.clone(),
                own: 0,
                belief: LoadBelief::default(),
                avoid_until_ms: 0,
                unreachable_until_ms: 0,
                missing: BTreeMap::new(),
                parts: HashMap::new(),
            };
            self.known.insert(id.clone(), known);
        }
    }

    /// Chooses an endpoint with the least load among those that can serve a request. Endpoints that
    /// failed a moment ago are used only when there is no other.
    pub fn choose(&self, need: &SelectionCriteria<'_>, now_ms: u64) -> Option<SelectedEndpoint> {
        let able: Vec<&Known> = self.candidates(need, now_ms).collect();
        let sound = able.iter().filter(|known| known.avoid_until_ms <= now_ms);
        let mut candidates: Vec<&Known> = sound.copied().collect();
        if candidates.is_empty() {
            candidates.clone_from(&able);
        }
        let mean = self.mean_load(need.service, now_ms);
        let costs = candidates.iter();
        let costs: Vec<f64> = costs
            .map(|known| self.cost(known, need, mean, now_ms))
            .collect();
        let known = candidates[choose_least(&costs, need.draw)?];
        Some(SelectedEndpoint {
            endpoint: known.view.clone(),
            load: load_of(known, mean, now_ms).round() as u32,
            candidates: able.len(),
        })
    }

    /// Returns the mean of the requests of others over the endpoints of a service.
    fn mean_load(&self, service: &ServiceName, now_ms: u64) -> f64 {
        let known = self.known.values();
        let beliefs = known.filter(|known| known.view.service == *service);
        mean_load(beliefs.map(|known| &known.belief), now_ms)
    }

    fn candidates(
        &self,
        need: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = &Known> {
        self.known.values().filter(move |known| {
            let view = &known.view;
            view.service == *need.service
                && !view.is_leaving
                && !need.tried.contains(&view.endpoint)
                && need.model.is_none_or(|model| {
                    view.models.contains(model)
                        && known
                            .missing
                            .get(model)
                            .is_none_or(|until| *until <= now_ms)
                })
        })
    }

    fn cost(&self, known: &Known, need: &SelectionCriteria<'_>, mean: f64, now_ms: u64) -> f64 {
        let slots = f64::from(known.view.concurrency.max(1));
        let mut cost = load_of(known, mean, now_ms) / slots;
        if known.view.failure_domain != self.failure_domain {
            cost += REMOTE_COST;
        }
        if let Some(model) = need.model
            && let Some((part, _)) = need.parts.first()
            && known.parts.contains_key(&(model.clone(), *part))
        {
            cost -= CACHED_GAIN;
        }
        cost
    }

    /// Tells whether any endpoint of a service exists that is not leaving.
    pub fn has_endpoints(&self, service: &ServiceName) -> bool {
        let mut known = self.known.values();
        known.any(|known| known.view.service == *service && !known.view.is_leaving)
    }

    /// Returns the endpoints that hold a model, least loaded first.
    pub fn endpoints_with_model(
        &self,
        service: &ServiceName,
        model: &ModelName,
        now_ms: u64,
    ) -> Vec<EndpointId> {
        let need = SelectionCriteria {
            service,
            model: Some(model),
            parts: &[],
            tried: &BTreeSet::new(),
            draw: 0,
        };
        let mean = self.mean_load(service, now_ms);
        let mut endpoints_with_model: Vec<_> = self
            .candidates(&need, now_ms)
            .map(|known| (load_of(known, mean, now_ms), known.view.endpoint.clone()))
            .collect();
        endpoints_with_model
            .sort_by(|one, other| one.0.total_cmp(&other.0).then_with(|| one.1.cmp(&other.1)));
        endpoints_with_model.into_iter().map(|(_, id)| id).collect()
    }

    /// Counts a request that was sent.
    pub fn begin(&mut self, endpoint: &EndpointView, need: &SelectionCriteria<'_>, now_ms: u64) {
        let Some(known) = self.same(&endpoint.endpoint, endpoint.incarnation) else {
            return;
        };
        known.own += 1;
        if let Some(model) = need.model {
            for (part, _) in need.parts {
                known.parts.insert((model.clone(), *part), now_ms);
            }
            if known.parts.len() > KEPT_PARTS {
                let oldest = known.parts.iter().min_by_key(|(_, used)| **used);
                if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                    known.parts.remove(&key);
                }
            }
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, endpoint: &EndpointId, incarnation: Incarnation) {
        if let Some(known) = self.same(endpoint, incarnation) {
            known.own = known.own.saturating_sub(1);
        }
    }

    /// Takes the load that an endpoint tells.
    pub fn report(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        load: ReportedLoad,
        now_ms: u64,
    ) {
        if let Some(known) = self.same(endpoint, incarnation) {
            let total = load.running + load.waiting;
            known.belief.report(total, known.own, now_ms);
            known.avoid_until_ms = 0;
            known.unreachable_until_ms = 0;
        }
    }

    /// Avoids an endpoint for a while.
    pub fn avoid(&mut self, endpoint: &EndpointId, incarnation: Incarnation, now_ms: u64) {
        if let Some(known) = self.same(endpoint, incarnation) {
            known.avoid_until_ms = now_ms + AVOID_MS;
        }
    }

    /// Records that an endpoint could not be connected to; tells whether that is news.
    pub fn record_unreachable(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> bool {
        let Some(known) = self.same(endpoint, incarnation) else {
            return false;
        };
        let was_reachable = known.unreachable_until_ms <= now_ms;
        known.unreachable_until_ms = now_ms + UNREACHABLE_MS;
        known.avoid_until_ms = now_ms + AVOID_MS;
        was_reachable
    }

    /// Returns the endpoints that could not be connected to a moment ago.
    pub fn unreachable(&self, now_ms: u64) -> Vec<(EndpointId, Incarnation)> {
        let known = self.known.values();
        known
            .filter(|known| known.unreachable_until_ms > now_ms)
            .map(|known| (known.view.endpoint.clone(), known.view.incarnation))
            .collect()
    }

    /// Records that an endpoint lacks a model.
    pub fn record_missing_model(&mut self, endpoint: &EndpointId, model: &ModelName, now_ms: u64) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.missing.insert(model.clone(), now_ms + MISSING_MS);
        }
    }

    /// Records that control has loaded an adapter at an endpoint.
    pub fn record_loaded_model(&mut self, endpoint: &EndpointId, model: &ModelName) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.missing.remove(model);
            if !known.view.models.contains(model) {
                known.view.models.push(model.clone());
            }
        }
    }

    /// Tells whether an address belongs to a known endpoint.
    pub fn has_address(&self, address: &std::net::SocketAddr) -> bool {
        let mut known = self.known.values();
        known.any(|known| known.view.address == *address)
    }

    fn same(&mut self, endpoint: &EndpointId, incarnation: Incarnation) -> Option<&mut Known> {
        let known = self.known.get_mut(endpoint)?;
        (known.view.incarnation == incarnation).then_some(known)
    }
}

fn load_of(known: &Known, mean: f64, now_ms: u64) -> f64 {
    f64::from(known.own) + known.belief.others(mean, now_ms)
}
