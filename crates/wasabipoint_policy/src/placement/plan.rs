//! Accounting that keeps the decisions of one placement round within all limits.

use std::collections::HashMap;

use super::{EndpointCapacity, GrantState, GrantView, ModelView, PlacementDecision, PlacementView};

/// The decisions of one round and the memory and loads that they use.
///
/// Memory of a replica that is being unloaded is not used in the same round, because a grant counts
/// until its release is confirmed. It is reserved for the model that waits for it, so that later
/// rounds do not unload more than needed.
pub struct PlacementPlan<'v> {
    view: &'v PlacementView,
    endpoints: Vec<EndpointMemory>,
    endpoint_index: HashMap<&'v str, usize>,
    models: HashMap<&'v str, &'v ModelView>,
    replicas: HashMap<&'v str, ModelReplicas>,
    revoked: Vec<bool>,
    loads_allowed: u32,
    store_loads: u32,
    reclaims_left: u32,
    decisions: Vec<PlacementDecision>,
}

#[derive(Clone, Copy)]
struct EndpointMemory {
    free_mib: u64,
    /// Memory that will be free and not reserved once all revoked replicas are released.
    pending_mib: u64,
}

#[derive(Default)]
struct ModelReplicas {
    /// Replicas that count towards `max_replicas`.
    counted: u32,
    /// Replicas that are loaded or being loaded on placeable endpoints.
    serving: u32,
    /// Replicas that are being loaded on placeable endpoints.
    loading: u32,
    /// Indices of the endpoints that a new replica must not use.
    endpoints: Vec<usize>,
}

/// An endpoint with enough memory for a model, to be ranked by a policy.
pub struct LoadOption<'v> {
    /// The endpoint.
    pub endpoint: &'v EndpointCapacity,
    /// Free memory after the decisions of this round.
    pub free_mib: u64,
    /// Expected load time on the endpoint.
    pub load_ms: u64,
    /// Whether the weights are loaded from the weight store.
    pub is_remote: bool,
    /// Replicas of the model in the endpoint's failure domain.
    pub replicas_in_domain: usize,
}

impl<'v> PlacementPlan<'v> {
    /// Starts a round from a snapshot.
    pub fn new(view: &'v PlacementView) -> Self {
        let endpoint_index: HashMap<&str, usize> = view
            .endpoints
            .iter()
            .enumerate()
            .map(|(index, endpoint)| (endpoint.id.as_str(), index))
            .collect();
        let models = view.models.iter().map(|m| (m.name.as_str(), m)).collect();
        let mut plan = Self {
            view,
            endpoints: view
                .endpoints
                .iter()
                .map(|endpoint| EndpointMemory {
                    free_mib: endpoint.free_mib,
                    pending_mib: 0,
                })
                .collect(),
            endpoint_index,
            models,
            replicas: HashMap::new(),
            revoked: vec![false; view.grants.len()],
            loads_allowed: view.store.loads_allowed,
            store_loads: view.store.loads_running,
            reclaims_left: view.store.limits.loads_at_once + view.store.loads_allowed,
            decisions: Vec::new(),
        };
        for index in 0..view.grants.len() {
            plan.add_grant(index);
        }
        plan
    }

    /// Returns the decisions of the round.
    pub fn into_decisions(self) -> Vec<PlacementDecision> {
        self.decisions
    }

    /// Returns whether the rate limit of the weight store permits another load in this round.
    pub fn may_start_load(&self) -> bool {
        self.loads_allowed > 0
    }

    /// Returns whether the weight store can serve another load at full speed.
    pub fn has_store_slot(&self) -> bool {
        self.store_loads < self.view.store.limits.loads_at_once
    }

    /// Returns the number of replicas of a model that are loaded or being loaded on placeable
    /// endpoints.
    pub fn serving(&self, model: &ModelView) -> u32 {
        self.replicas
            .get(model.name.as_str())
            .map_or(0, |replicas| replicas.serving)
    }

    /// Returns the number of replicas of a model that are being loaded on placeable endpoints.
    pub fn loading(&self, model: &ModelView) -> u32 {
        self.replicas
            .get(model.name.as_str())
            .map_or(0, |replicas| replicas.loading)
    }

    /// Returns whether one more replica stays within `max_replicas`.
    pub fn may_add_replica(&self, model: &ModelView) -> bool {
        let counted = self
            .replicas
            .get(model.name.as_str())
            .map_or(0, |replicas| replicas.counted);
        counted < model.max_replicas
    }

    /// Returns the model of a grant if the inventory still contains it.
    pub fn model_of(&self, grant: &GrantView) -> Option<&'v ModelView> {
        self.models.get(grant.model.as_str()).copied()
    }

    /// Returns the loaded grants that were not revoked in this round, with their indices and
    /// models.
    pub fn loaded(&self) -> Vec<(usize, &'v GrantView, &'v ModelView)> {
        let grants = self.view.grants.iter().enumerate();
        grants
            .filter(|(index, grant)| grant.state == GrantState::Loaded && !self.revoked[*index])
            .filter_map(|(index, grant)| Some((index, grant, self.model_of(grant)?)))
            .collect()
    }

    /// Loads a replica on the endpoint with the smallest rank, if the limits permit it. Endpoints
    /// without a rank are not used.
    pub fn load<K: Ord>(
        &mut self,
        model: &'v ModelView,
        reason: &str,
        rank: impl Fn(&LoadOption<'v>) -> Option<K>,
    ) -> bool {
        if !self.may_start_load() || !self.may_add_replica(model) {
            return false;
        }
        let options = self.load_options(model);
        let best = options
            .into_iter()
            .filter_map(|(index, option)| Some((rank(&option)?, index, option)))
            .min_by(|a, b| a.0.cmp(&b.0));
        let Some((_, index, option)) = best else {
            return false;
        };
        self.endpoints[index].free_mib -= model.memory_mib;
        self.loads_allowed -= 1;
        self.store_loads += u32::from(option.is_remote);
        let replicas = self.replicas.entry(model.name.as_str()).or_default();
        replicas.counted += 1;
        replicas.serving += 1;
        replicas.loading += 1;
        replicas.endpoints.push(index);
        self.decisions.push(PlacementDecision::Load {
            model: model.name.clone(),
            endpoint: option.endpoint.id.clone(),
            reason: format!("{reason}; load takes {} ms", option.load_ms),
        });
        true
    }

    /// Returns whether some endpoint has enough free memory for a model.
    pub fn has_free_memory(&self, model: &ModelView) -> bool {
        self.usable_endpoints(model)
            .any(|index| self.endpoints[index].free_mib >= model.memory_mib)
    }

    /// Reserves memory for a model that fits on no endpoint. If the memory that is already being
    /// released does not suffice, it unloads the replicas with the smallest ranks on one endpoint.
    /// Replicas without a rank are not unloaded. Memory is reclaimed for no more models than the
    /// weight store can load soon.
    pub fn reclaim_memory(
        &mut self,
        model: &'v ModelView,
        reason: &str,
        rank: impl Fn(&GrantView, &ModelView) -> Option<u64>,
    ) -> bool {
        if !self.may_add_replica(model) {
            return self.unload_stranded(model);
        }
        if self.reclaims_left == 0 {
            return false;
        }
        let needed_mib = model.memory_mib;
        let released = self
            .usable_endpoints(model)
            .find(|index| self.endpoints[*index].total_mib() >= needed_mib);
        if let Some(index) = released {
            self.endpoints[index].reserve(needed_mib);
            self.reclaims_left -= 1;
            return true;
        }
        let Some((index, victims)) = self.cheapest_victims(model, rank) else {
            return false;
        };
        for victim in victims {
            self.unload(victim, reason);
        }
        self.reclaims_left -= 1;
        self.endpoints[index].reserve(needed_mib);
        true
    }

    /// Unloads the replica of the grant with the given index in the snapshot.
    pub fn unload(&mut self, grant_index: usize, reason: &str) {
        if std::mem::replace(&mut self.revoked[grant_index], true) {
            return;
        }
        let grant = &self.view.grants[grant_index];
        if let Some(index) = self.endpoint_index.get(grant.endpoint.as_str()).copied() {
            let memory_mib = self.model_of(grant).map_or(0, |model| model.memory_mib);
            self.endpoints[index].pending_mib += memory_mib;
            if self.view.endpoints[index].is_placeable
                && let Some(replicas) = self.replicas.get_mut(grant.model.as_str())
            {
                replicas.serving = replicas.serving.saturating_sub(1);
            }
        }
        self.decisions.push(PlacementDecision::Unload {
            model: grant.model.clone(),
            endpoint: grant.endpoint.clone(),
            reason: reason.to_owned(),
        });
    }

    fn add_grant(&mut self, grant_index: usize) {
        let grant = &self.view.grants[grant_index];
        let endpoint = self.endpoint_index.get(grant.endpoint.as_str()).copied();
        let memory_mib = self.model_of(grant).map_or(0, |model| model.memory_mib);
        let replicas = self.replicas.entry(grant.model.as_str()).or_default();
        replicas.counted += 1;
        let Some(index) = endpoint else { return };
        replicas.endpoints.push(index);
        let is_placeable = self.view.endpoints[index].is_placeable;
        match grant.state {
            GrantState::Loading if is_placeable => {
                replicas.serving += 1;
                replicas.loading += 1;
            }
            GrantState::Loaded if is_placeable => replicas.serving += 1,
            GrantState::Revoked => self.endpoints[index].pending_mib += memory_mib,
            GrantState::Loading | GrantState::Loaded | GrantState::InDoubt => {}
        }
    }

    fn usable_endpoints(&self, model: &ModelView) -> impl Iterator<Item = usize> {
        let replicas = self.replicas.get(model.name.as_str());
        let taken = replicas.map_or(&[][..], |replicas| &replicas.endpoints);
        let endpoints = self.view.endpoints.iter().enumerate();
        endpoints
            .filter(|(index, endpoint)| endpoint.is_placeable && !taken.contains(index))
            .map(|(index, _)| index)
    }

    fn load_options(&self, model: &ModelView) -> Vec<(usize, LoadOption<'v>)> {
        let local: HashMap<&str, u64> = model
            .load_ms_by_endpoint
            .iter()
            .map(|(endpoint, load_ms)| (endpoint.as_str(), *load_ms))
            .collect();
        let view = self.view;
        let replicas = self.replicas.get(model.name.as_str());
        let taken = replicas.map_or(&[][..], |replicas| &replicas.endpoints);
        self.usable_endpoints(model)
            .filter(|index| self.endpoints[*index].free_mib >= model.memory_mib)
            .map(|index| {
                let endpoint = &view.endpoints[index];
                let domain = &endpoint.failure_domain;
                let local_ms = local.get(endpoint.id.as_str()).copied();
                let option = LoadOption {
                    endpoint,
                    free_mib: self.endpoints[index].free_mib,
                    load_ms: local_ms.unwrap_or(model.remote_load_ms),
                    is_remote: local_ms.is_none(),
                    replicas_in_domain: taken
                        .iter()
                        .filter(|holder| view.endpoints[**holder].failure_domain == *domain)
                        .count(),
                };
                (index, option)
            })
            .collect()
    }

    /// Unloads a replica whose endpoint accepts no new replicas, so that another replica stays
    /// within `max_replicas`.
    fn unload_stranded(&mut self, model: &ModelView) -> bool {
        let stranded = self.loaded().into_iter().find(|(_, grant, _)| {
            let endpoint = self.endpoint_index.get(grant.endpoint.as_str());
            grant.model == model.name
                && endpoint.is_none_or(|index| !self.view.endpoints[*index].is_placeable)
        });
        if let Some((index, _, _)) = stranded {
            self.unload(index, "its endpoint takes no new work and requests wait");
        }
        stranded.is_some()
    }

    /// Returns the endpoint, and the grants to revoke on it, that free enough memory for a model at
    /// the smallest highest rank. Returns `None` if no endpoint can free enough.
    fn cheapest_victims(
        &self,
        model: &ModelView,
        rank: impl Fn(&GrantView, &ModelView) -> Option<u64>,
    ) -> Option<(usize, Vec<usize>)> {
        let mut by_endpoint: Vec<Vec<(u64, usize, u64)>> = vec![Vec::new(); self.endpoints.len()];
        for (grant_index, grant, held_model) in self.loaded() {
            let endpoint = self.endpoint_index.get(grant.endpoint.as_str());
            if let (Some(endpoint), Some(rank)) = (endpoint, rank(grant, held_model)) {
                by_endpoint[*endpoint].push((rank, grant_index, held_model.memory_mib));
            }
        }
        let mut best: Option<(u64, usize, usize, Vec<usize>)> = None;
        for index in self.usable_endpoints(model) {
            let ranked = &mut by_endpoint[index];
            ranked.sort_unstable();
            let mut total_mib = self.endpoints[index].total_mib();
            let mut victims = Vec::new();
            let mut highest = 0;
            for (rank, grant_index, memory_mib) in ranked.iter() {
                if total_mib >= model.memory_mib {
                    break;
                }
                total_mib += memory_mib;
                highest = *rank;
                victims.push(*grant_index);
            }
            let is_enough = total_mib >= model.memory_mib;
            let key = (highest, victims.len(), index);
            if is_enough && best.as_ref().is_none_or(|b| key < (b.0, b.1, b.2)) {
                best = Some((key.0, key.1, key.2, victims));
            }
        }
        best.map(|(_, _, index, victims)| (index, victims))
    }
}

impl EndpointMemory {
    fn total_mib(self) -> u64 {
        self.free_mib + self.pending_mib
    }

    /// Withholds the free memory until the rest is released, so that smaller models cannot
    /// repeatedly use it up before a larger one fits.
    fn reserve(&mut self, needed_mib: u64) {
        self.pending_mib = self.total_mib() - needed_mib;
        self.free_mib = 0;
    }
}

/// Returns whether no request of the model waits or runs.
pub fn is_idle(model: &ModelView) -> bool {
    model.queued == 0 && model.in_flight == 0
}

/// Returns the time since the last request for a model, but at most the age of the grant.
pub fn idle_ms(grant: &GrantView, model: &ModelView) -> u64 {
    model.idle_ms.unwrap_or(grant.age_ms).min(grant.age_ms)
}
