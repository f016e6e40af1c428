//! Bookkeeping that keeps the decisions of one placement round within all limits.

use std::collections::HashMap;

use super::{EndpointCapacity, GrantState, GrantView, ModelView, PlacementDecision, PlacementView};

/// The decisions of one round together with the memory and the loads that they take.
///
/// Memory of a replica that is to be unloaded is not used in the same round, because a grant
/// counts until its release is certain. It is set aside for the model that waits for it, so that
/// later rounds do not unload more than needed.
pub struct PlacementPlan<'v> {
    view: &'v PlacementView,
    endpoints: Vec<EndpointMemory>,
    endpoint_index: HashMap<&'v str, usize>,
    models: HashMap<&'v str, &'v ModelView>,
    held: HashMap<&'v str, Held>,
    revoked: Vec<bool>,
    loads_allowed: u32,
    store_loads: u32,
    rooms_left: u32,
    decisions: Vec<PlacementDecision>,
}

#[derive(Clone, Copy)]
struct EndpointMemory {
    free_mib: u64,
    pending_mib: u64,
}

#[derive(Default)]
struct Held {
    counted: u32,
    serving: u32,
    loading: u32,
    endpoints: Vec<usize>,
}

/// An endpoint on which a model would fit, as a policy ranks it.
pub struct LoadOption<'v> {
    /// The endpoint.
    pub endpoint: &'v EndpointCapacity,
    /// Free memory within this round.
    pub free_mib: u64,
    /// Expected load time there.
    pub load_ms: u64,
    /// Whether the load reads from the weight store.
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
            .map(|(index, endpoint)| (endpoint.endpoint.as_str(), index))
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
            held: HashMap::new(),
            revoked: vec![false; view.grants.len()],
            loads_allowed: view.store.loads_allowed,
            store_loads: view.store.loads_running,
            rooms_left: view.store.limits.loads_at_once + view.store.loads_allowed,
            decisions: Vec::new(),
        };
        for index in 0..view.grants.len() {
            plan.count_grant(index);
        }
        plan
    }

    /// Ends the round.
    pub fn into_decisions(self) -> Vec<PlacementDecision> {
        self.decisions
    }

    /// Returns whether the rate of the weight store permits another load in this round.
    pub fn has_load_left(&self) -> bool {
        self.loads_allowed > 0
    }

    /// Returns whether the weight store would serve another load at full speed.
    pub fn has_store_slot(&self) -> bool {
        self.store_loads < self.view.store.limits.loads_at_once
    }

    /// Returns the replicas of a model that serve or will serve once loaded.
    pub fn serving(&self, model: &ModelView) -> u32 {
        self.held
            .get(model.name.as_str())
            .map_or(0, |held| held.serving)
    }

    /// Returns the replicas of a model that are being loaded.
    pub fn loading(&self, model: &ModelView) -> u32 {
        self.held
            .get(model.name.as_str())
            .map_or(0, |held| held.loading)
    }

    /// Returns whether one more replica stays within `max_replicas`.
    pub fn may_add_replica(&self, model: &ModelView) -> bool {
        let counted = self
            .held
            .get(model.name.as_str())
            .map_or(0, |held| held.counted);
        counted < model.max_replicas
    }

    /// Returns the model of a grant when the inventory still holds it.
    pub fn model_of(&self, grant: &GrantView) -> Option<&'v ModelView> {
        self.models.get(grant.model.as_str()).copied()
    }

    /// Returns the grants that are loaded and not revoked in this round, with their models.
    pub fn loaded(&self) -> Vec<(usize, &'v GrantView, &'v ModelView)> {
        let grants = self.view.grants.iter().enumerate();
        grants
            .filter(|(index, grant)| grant.state == GrantState::Loaded && !self.revoked[*index])
            .filter_map(|(index, grant)| Some((index, grant, self.model_of(grant)?)))
            .collect()
    }

    /// Loads a replica on the endpoint with the smallest rank, if the limits permit it. An
    /// endpoint without a rank is not used.
    pub fn load<K: Ord>(
        &mut self,
        model: &'v ModelView,
        reason: &str,
        rank: impl Fn(&LoadOption<'v>) -> Option<K>,
    ) -> bool {
        if !self.has_load_left() || !self.may_add_replica(model) {
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
        let held = self.held.entry(model.name.as_str()).or_default();
        held.counted += 1;
        held.serving += 1;
        held.loading += 1;
        held.endpoints.push(index);
        self.decisions.push(PlacementDecision::Load {
            model: model.name.clone(),
            endpoint: option.endpoint.endpoint.clone(),
            reason: format!("{reason}; load takes {} ms", option.load_ms),
        });
        true
    }

    /// Returns whether the model fits on some endpoint without unloading another.
    pub fn has_free_memory(&self, model: &ModelView) -> bool {
        self.usable_endpoints(model)
            .any(|index| self.endpoints[index].free_mib >= model.memory_mib)
    }

    /// Sets memory aside for a model that fits nowhere, and unloads the replicas with the
    /// smallest ranks on one endpoint when memory that is already being released is not enough.
    /// A replica without a rank is not unloaded. Room is made for no more models than the weight
    /// store can soon load.
    pub fn reclaim_memory(
        &mut self,
        model: &'v ModelView,
        reason: &str,
        rank: impl Fn(&GrantView, &ModelView) -> Option<u64>,
    ) -> bool {
        if !self.may_add_replica(model) {
            return self.release_stranded(model);
        }
        if self.rooms_left == 0 {
            return false;
        }
        let needed_mib = model.memory_mib;
        let released = self
            .usable_endpoints(model)
            .find(|index| self.endpoints[*index].total_mib() >= needed_mib);
        if let Some(index) = released {
            self.endpoints[index].set_aside(needed_mib);
            self.rooms_left -= 1;
            return true;
        }
        let Some((index, victims)) = self.cheapest_victims(model, rank) else {
            return false;
        };
        for victim in victims {
            self.unload(victim, reason);
        }
        self.rooms_left -= 1;
        self.endpoints[index].set_aside(needed_mib);
        true
    }

    /// Unloads a replica, named by its index among the grants of the snapshot.
    pub fn unload(&mut self, grant_index: usize, reason: &str) {
        if std::mem::replace(&mut self.revoked[grant_index], true) {
            return;
        }
        let grant = &self.view.grants[grant_index];
        if let Some(index) = self.endpoint_index.get(grant.endpoint.as_str()).copied() {
            let memory_mib = self.model_of(grant).map_or(0, |model| model.memory_mib);
            self.endpoints[index].pending_mib += memory_mib;
            if self.view.endpoints[index].is_placeable
                && let Some(held) = self.held.get_mut(grant.model.as_str())
            {
                held.serving = held.serving.saturating_sub(1);
            }
        }
        self.decisions.push(PlacementDecision::Unload {
            model: grant.model.clone(),
            endpoint: grant.endpoint.clone(),
            reason: reason.to_owned(),
        });
    }

    fn count_grant(&mut self, grant_index: usize) {
        let grant = &self.view.grants[grant_index];
        let endpoint = self.endpoint_index.get(grant.endpoint.as_str()).copied();
        let memory_mib = self.model_of(grant).map_or(0, |model| model.memory_mib);
        let held = self.held.entry(grant.model.as_str()).or_default();
        held.counted += 1;
        let Some(index) = endpoint else { return };
        held.endpoints.push(index);
        let is_placeable = self.view.endpoints[index].is_placeable;
        match grant.state {
            GrantState::Loading if is_placeable => {
                held.serving += 1;
                held.loading += 1;
            }
            GrantState::Loaded if is_placeable => held.serving += 1,
            GrantState::Revoked => self.endpoints[index].pending_mib += memory_mib,
            GrantState::Loading | GrantState::Loaded | GrantState::InDoubt => {}
        }
    }

    fn usable_endpoints(&self, model: &ModelView) -> impl Iterator<Item = usize> {
        let held = self.held.get(model.name.as_str());
        let taken = held.map_or(&[][..], |held| &held.endpoints);
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
        let held = self.held.get(model.name.as_str());
        let taken = held.map_or(&[][..], |held| &held.endpoints);
        self.usable_endpoints(model)
            .filter(|index| self.endpoints[*index].free_mib >= model.memory_mib)
            .map(|index| {
                let endpoint = &view.endpoints[index];
                let domain = &endpoint.failure_domain;
                let local_ms = local.get(endpoint.endpoint.as_str()).copied();
                let option = LoadOption {
                    endpoint,
                    free_mib: self.endpoints[index].free_mib,
                    load_ms: local_ms.unwrap_or(model.remote_load_ms),
                    is_remote: local_ms.is_none(),
                    replicas_in_domain: taken
                        .iter()
                        .filter(|held| view.endpoints[**held].failure_domain == *domain)
                        .count(),
                };
                (index, option)
            })
            .collect()
    }

    /// Unloads a replica that cannot serve because its endpoint is leaving, so that another one
    /// may be decided within `max_replicas`.
    fn release_stranded(&mut self, model: &ModelView) -> bool {
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

    fn cheapest_victims(
        &self,
        model: &ModelView,
        rank: impl Fn(&GrantView, &ModelView) -> Option<u64>,
    ) -> Option<(usize, Vec<usize>)> {
        let mut by_endpoint: Vec<Vec<(u64, usize, u64)>> = vec![Vec::new(); self.endpoints.len()];
        for (grant_index, grant, held) in self.loaded() {
            let endpoint = self.endpoint_index.get(grant.endpoint.as_str());
            if let (Some(endpoint), Some(rank)) = (endpoint, rank(grant, held)) {
                by_endpoint[*endpoint].push((rank, grant_index, held.memory_mib));
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

    /// Keeps free memory unused until the rest is released, so that smaller models cannot take
    /// it again and again from a larger one.
    fn set_aside(&mut self, needed_mib: u64) {
        self.pending_mib = self.total_mib() - needed_mib;
        self.free_mib = 0;
    }
}

/// Returns whether no request of the model waits or runs.
pub fn is_idle(model: &ModelView) -> bool {
    model.queued == 0 && model.in_flight == 0
}

/// Returns the time since a replica was last needed, counted from its grant at the earliest.
pub fn idle_ms(grant: &GrantView, model: &ModelView) -> u64 {
    model.idle_ms.unwrap_or(grant.age_ms).min(grant.age_ms)
}
