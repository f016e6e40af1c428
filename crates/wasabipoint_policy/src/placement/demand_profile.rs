//! The placement policy `demand_profile`.

mod profile;

use std::cmp::Reverse;

use linkme::distributed_slice;

use self::profile::{DemandProfile, EXPECTED_LIKELIHOOD};
use super::{
    DemandSample, GrantView, LoadOption, ModelView, PLACEMENT_POLICIES, PlacementDecision,
    PlacementPlan, PlacementPlugin, PlacementPolicy, PlacementView, idle_ms, is_idle,
};

/// Share of the fleet's memory that idle models with unpredicted demand may use, in percent. It
/// limits the accelerators that idle in case of requests at unusual times.
const RESERVE_PERCENT: u64 = 25;

/// Shortest idle time of a replica before it may be evicted for expected demand, in milliseconds.
/// It prevents two expected models from evicting each other repeatedly.
const MIN_IDLE_BEFORE_EVICTION_MS: u64 = 60_000;

/// Learns the demand for each model by time within the cycle, and loads models before expected
/// demand.
///
/// Waiting models are loaded first, by number of waiting requests and deadline. Models under load
/// get more replicas, preferably in failure domains without one. Expected models are loaded
/// `prewake_ms` ahead, or earlier if the weight store needs longer to load all models that are
/// expected together. Idle replicas without demand expected soon are unloaded. Models whose demand
/// does not follow the cycle stay loaded within a bounded share of the memory, as long as no other
/// model needs it. When a waiting model needs memory, the idle replica with the latest expected
/// demand is evicted.
///
/// Options: `[placement] idle_unload_ms`, `prewake_ms`, `day_ms`.
struct DemandProfilePolicy {
    profile: Option<DemandProfile>,
}

#[distributed_slice(PLACEMENT_POLICIES)]
static PLUGIN: PlacementPlugin = PlacementPlugin {
    name: "demand_profile",
    summary: "loads models ahead of the demand that it learns from earlier cycles",
    build: || Box::new(DemandProfilePolicy { profile: None }),
};

impl PlacementPolicy for DemandProfilePolicy {
    /// Ignores samples before the first decision, which sets the length of the cycle.
    fn observe(&mut self, sample: &DemandSample) {
        if let Some(profile) = &mut self.profile {
            profile.observe(sample);
        }
    }

    fn decide(&mut self, view: &PlacementView) -> Vec<PlacementDecision> {
        let profile = self
            .profile
            .take_if(|profile| profile.has_cycle(view.rules.day_ms))
            .unwrap_or_else(|| DemandProfile::new(view.rules.day_ms));
        let decisions = PlacementRound::new(view, &profile).decide();
        self.profile = Some(profile);
        decisions
    }

    fn save(&self) -> Vec<u8> {
        self.profile
            .as_ref()
            .map(DemandProfile::save)
            .unwrap_or_default()
    }

    fn restore(&mut self, saved: &[u8]) {
        if let Some(profile) = DemandProfile::read(saved) {
            self.profile = Some(profile);
        }
    }
}

struct PlacementRound<'v> {
    view: &'v PlacementView,
    profile: &'v DemandProfile,
    plan: PlacementPlan<'v>,
    /// Models with unpredicted demand that stay loaded while memory is free.
    reserve: Vec<&'v ModelView>,
}

impl<'v> PlacementRound<'v> {
    fn new(view: &'v PlacementView, profile: &'v DemandProfile) -> Self {
        Self {
            view,
            profile,
            plan: PlacementPlan::new(view),
            reserve: choose_reserve(view, profile),
        }
    }

    fn decide(mut self) -> Vec<PlacementDecision> {
        self.load_waiting();
        self.add_replicas();
        self.load_expected();
        self.load_reserve();
        self.unload_unexpected();
        self.unload_surplus();
        self.plan.into_decisions()
    }

    /// Loads a replica of each waiting model that has none, most urgent first. If memory is short,
    /// idle replicas are evicted, and as a last resort surplus replicas of models in use.
    fn load_waiting(&mut self) {
        let mut waiting: Vec<&ModelView> =
            self.view.models.iter().filter(|m| m.queued > 0).collect();
        waiting.sort_by_key(|model| (Reverse(urgency(model)), Reverse(model.oldest_wait_ms)));
        for model in waiting {
            if self.plan.serving(model) > 0 {
                continue;
            }
            let reason = format!("{} requests wait", model.queued);
            if self.load(model, &reason) {
                continue;
            }
            if !self.plan.has_free_memory(model) || !self.plan.may_add_replica(model) {
                let reason = format!("{} waits and needs memory", model.name);
                let (view, profile) = (self.view, self.profile);
                let surplus = self.surplus_models();
                self.plan.reclaim_memory(model, &reason, |grant, held| {
                    if is_idle(held) {
                        Some(eviction_rank(view, profile, grant, held))
                    } else {
                        let is_surplus = surplus.contains(&held.name.as_str());
                        is_surplus.then_some(u64::MAX)
                    }
                });
            }
        }
    }

    /// Returns the models that still have a loaded replica after one of theirs is unloaded.
    fn surplus_models(&self) -> Vec<&'v str> {
        let models = self.view.models.iter();
        models
            .filter(|model| self.plan.serving(model) > self.plan.loading(model) + 1)
            .map(|model| model.name.as_str())
            .collect()
    }

    /// Loads another replica of each model whose demand exceeds three quarters of the capacity of
    /// its replicas.
    fn add_replicas(&mut self) {
        for model in &self.view.models {
            let serving = self.plan.serving(model);
            if serving == 0 || self.plan.loading(model) > 0 {
                continue;
            }
            let demand = u64::from(model.queued) + u64::from(model.in_flight);
            let capacity = self.capacity(model);
            if demand * 4 > capacity * 3 {
                let reason = format!("{demand} requests on {serving} replicas");
                self.load(model, &reason);
            }
        }
    }

    /// Loads models before expected demand, earliest first. The lead time of the `n`-th model grows
    /// by `n / loads_at_once` load times, including a share for its own, because the weight store
    /// loads the models before it first.
    fn load_expected(&mut self) {
        let at_once = u64::from(self.view.store.limits.loads_at_once.max(1));
        let horizon_ms = self.view.rules.day_ms / 4;
        let mut expected: Vec<(u64, &ModelView)> = self
            .view
            .models
            .iter()
            .filter(|model| model.queued == 0 && self.plan.serving(model) == 0)
            .filter_map(|model| Some((self.next_demand_ms(model, horizon_ms)?, model)))
            .collect();
        expected.sort_by_key(|(until_ms, _)| *until_ms);
        let mut store_ms = 0;
        for (until_ms, model) in expected {
            store_ms += model.remote_load_ms / at_once;
            let lead_ms = self.view.rules.prewake_ms + model.remote_load_ms + store_ms;
            if until_ms > lead_ms {
                continue;
            }
            let reason = format!("expected in {until_ms} ms");
            if !self.load(model, &reason) && !self.plan.has_free_memory(model) {
                self.reclaim_memory_for_expected(model, until_ms);
            }
        }
    }

    /// Reclaims memory for an expected model from idle models. Their own expected demand has to
    /// come late enough that they can be loaded again after the demand for this model has started.
    fn reclaim_memory_for_expected(&mut self, model: &'v ModelView, until_ms: u64) {
        let (view, profile) = (self.view, self.profile);
        let reason = format!("{} is expected and needs memory", model.name);
        self.plan.reclaim_memory(model, &reason, |grant, held| {
            let is_evictable = is_idle(held) && idle_ms(grant, held) >= MIN_IDLE_BEFORE_EVICTION_MS;
            let rank = eviction_rank(view, profile, grant, held);
            let is_later = view.rules.day_ms.saturating_sub(rank) > until_ms + lead_ms(view, held);
            (is_evictable && is_later).then_some(rank)
        });
    }

    /// Loads reserved models into free memory if no request waits and the store is idle.
    fn load_reserve(&mut self) {
        let is_waiting = self.view.models.iter().any(|model| model.queued > 0);
        if is_waiting || self.view.store.loads_running > 0 {
            return;
        }
        for model in self.reserve.clone() {
            if self.plan.serving(model) == 0 {
                self.load(model, "its demand is unpredicted and memory is free");
            }
        }
    }

    fn unload_unexpected(&mut self) {
        for (index, grant, model) in self.plan.loaded() {
            let idle_ms = idle_ms(grant, model);
            let is_reserved = self.reserve.iter().any(|m| m.name == model.name);
            if is_reserved || !is_idle(model) || idle_ms < self.view.rules.idle_unload_ms {
                continue;
            }
            let keep_ms = lead_ms(self.view, model) + self.view.rules.idle_unload_ms;
            if self.next_demand_ms(model, keep_ms).is_none() {
                let reason = format!("idle for {idle_ms} ms and not expected");
                self.plan.unload(index, &reason);
            }
        }
    }

    /// Unloads the newest replica of a model if the demand is below half of the capacity of its
    /// other replicas.
    fn unload_surplus(&mut self) {
        let mut loaded = self.plan.loaded();
        loaded.sort_by_key(|(_, grant, _)| Reverse(grant.fencing_token));
        for (index, grant, model) in loaded {
            let serving = u64::from(self.plan.serving(model));
            if serving < 2
                || self.plan.loading(model) > 0
                || grant.age_ms < self.view.rules.idle_unload_ms
            {
                continue;
            }
            let demand = u64::from(model.queued) + u64::from(model.in_flight);
            let remaining = self.capacity(model) * (serving - 1) / serving;
            if demand * 2 < remaining {
                self.plan
                    .unload(index, &format!("{demand} requests need fewer replicas"));
            }
        }
    }

    fn load(&mut self, model: &'v ModelView, reason: &str) -> bool {
        let has_store_slot = self.plan.has_store_slot();
        self.plan.load(model, reason, |option| {
            (has_store_slot || !option.is_remote).then(|| rank_option(option))
        })
    }

    /// Returns how many concurrent requests the replicas of a model can run at the mean concurrency
    /// of the placeable endpoints.
    fn capacity(&self, model: &ModelView) -> u64 {
        let endpoints = self.view.endpoints.iter().filter(|e| e.is_placeable);
        let (count, total) = endpoints.fold((0, 0), |(count, total), endpoint| {
            (count + 1, total + u64::from(endpoint.concurrency))
        });
        total * u64::from(self.plan.serving(model)) / u64::max(count, 1)
    }

    fn next_demand_ms(&self, model: &ModelView, horizon_ms: u64) -> Option<u64> {
        self.profile.next_demand_ms(
            &model.name,
            self.view.cycle_ms,
            EXPECTED_LIKELIHOOD,
            horizon_ms,
        )
    }
}

/// Returns the models with the most unpredicted starts that fit into the reserve.
fn choose_reserve<'v>(view: &'v PlacementView, profile: &DemandProfile) -> Vec<&'v ModelView> {
    let placeable = view.endpoints.iter().filter(|e| e.is_placeable);
    let total_mib: u64 = placeable.map(|endpoint| endpoint.memory_mib).sum();
    let mut left_mib = total_mib * RESERVE_PERCENT / 100;
    let mut unpredicted: Vec<(f32, &ModelView)> = view
        .models
        .iter()
        .filter_map(|model| Some((profile.unpredicted_starts(&model.name)?, model)))
        .collect();
    unpredicted.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut reserve = Vec::new();
    for (_, model) in unpredicted {
        if model.memory_mib <= left_mib {
            left_mib -= model.memory_mib;
            reserve.push(model);
        }
    }
    reserve
}

/// Ranks endpoints by replicas in the failure domain, then by load time, then by free memory. The
/// least free memory comes first, which leaves large free blocks for large models.
fn rank_option(option: &LoadOption<'_>) -> (usize, u64, u64) {
    (option.replicas_in_domain, option.load_ms, option.free_mib)
}

/// Ranks idle replicas for eviction. A later expected demand gives a smaller rank; among equal
/// ones, a longer idle time does.
fn eviction_rank(
    view: &PlacementView,
    profile: &DemandProfile,
    grant: &GrantView,
    model: &ModelView,
) -> u64 {
    let day_ms = view.rules.day_ms;
    let until_ms = profile
        .next_demand_ms(&model.name, view.cycle_ms, EXPECTED_LIKELIHOOD, day_ms)
        .unwrap_or(day_ms);
    let tie_breaker_ms = idle_ms(grant, model).min(day_ms) / 1_000;
    day_ms.saturating_sub(until_ms + tie_breaker_ms)
}

/// Returns how long before expected demand a load from the weight store has to start.
fn lead_ms(view: &PlacementView, model: &ModelView) -> u64 {
    view.rules.prewake_ms + model.remote_load_ms
}

/// Weights waiting requests by the slack between load time and deadline. A deadline that no load
/// can meet adds no weight.
fn urgency(model: &ModelView) -> u64 {
    let fastest_ms = model
        .load_ms_by_endpoint
        .iter()
        .map(|(_, load_ms)| *load_ms)
        .fold(model.remote_load_ms, u64::min);
    let slack_ms = model
        .earliest_deadline_ms
        .and_then(|deadline_ms| deadline_ms.checked_sub(fastest_ms));
    let weight = slack_ms.map_or(1, |slack_ms| 1 + 60_000 / slack_ms.max(1_000));
    u64::from(model.queued) * weight
}
