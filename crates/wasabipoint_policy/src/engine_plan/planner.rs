//! Chooses which model gets another replica, the engine that loads it and the models that are evicted
//! for it.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{ModelName, SoftwareVersion};

use super::{ChangeCause, Deferral, EngineChange, EngineView, ModelLoad, StoreBudget};

/// Smallest share of an engine's concurrent requests that a model must contribute for another
/// replica of it to relieve the engine.
const MIN_CONTRIBUTION_SHARE: f64 = 0.4;

/// Concurrent requests below which a model counts as unused.
const UNUSED_LOAD: f64 = 0.05;

/// Share of an engine's slots above which a model gets another replica. Beyond it, the prompts of
/// new requests begin to delay the tokens of running ones.
const RELIEF_SHARE: f64 = 0.3;

/// Share of an engine's slots above which another replica may evict rarely used models.
const OVERLOADED_SHARE: f64 = 0.4;

/// Largest share of an engine's slots that the remaining replicas of a model may reach when one
/// replica is evicted for a model that no engine holds.
const SCALE_DOWN_SHARE: f64 = 0.25;

/// Share of the relief bound up to which load does not slow requests. Evicting a replica costs
/// nothing if the load of the remaining ones stays within it.
const LOW_LOAD_SHARE: f64 = 0.5;

/// Lower limit of the relief bound, in concurrent requests, for engines with few slots. Pauses
/// between tokens are caused by prompt processing, which few slots do not slow down.
const MIN_RELIEF_LOAD: f64 = 14.0;

/// Lower limit of the overload bound, in concurrent requests, for engines with few slots.
const MIN_OVERLOADED_LOAD: f64 = 18.0;

/// Upper limit of the relief bound as a share of the slots. Beyond it, bursts wait for a slot.
const MAX_RELIEF_SHARE: f64 = 0.6;

/// Upper limit of the overload bound as a share of the slots.
const MAX_OVERLOADED_SHARE: f64 = 0.75;

/// Load of one waiting request, in concurrent requests. A single request for a rarely used model
/// must not evict a model that is requested every few seconds.
const WAITING_REQUEST_LOAD: f64 = 0.2;

/// Largest number of waiting requests that count when a model needs others to be evicted.
const MAX_WAITING_COUNTED: u32 = 5;

/// Cost of a change per concurrent request at the engine. The unit of all costs is that of eviction
/// costs, concurrent requests per replica.
const ENGINE_LOAD_COST: f64 = 0.1;

/// Cost of a load from the store, which takes five times as long as a load from disk.
const STORE_COST: f64 = 4.0;

/// Additional cost of a load from the store at an engine that serves adapters.
const ADAPTER_STORE_COST: f64 = 12.0;

/// Cost of a load from disk at an engine that serves adapters.
const ADAPTER_DISK_COST: f64 = 2.0;

/// Ratio by which the demand for a model has to exceed the demand for a used model whose last
/// replica is evicted for it. It does not apply to waiting requests at an engine with the model on
/// disk.
const EVICTION_DEMAND_RATIO: f64 = 3.0;

/// Load of one waiting request, in concurrent requests, at an engine with the model on disk. The
/// evicted model stays on the same disk, so that a request for it waits a second at most.
const DISK_WAITING_REQUEST_LOAD: f64 = 1.0;

/// Cost of waiting for one running request to end before an unload, in concurrent requests.
const RUNNING_REQUEST_COST: f64 = 0.5;

/// Ratio by which the load of an additional replica has to exceed the largest loss among the models
/// that are evicted for it.
const MIN_RELIEF_RATIO: f64 = 1.5;

/// Demand that justifies evictions for an additional replica, per concurrent request that it takes
/// from each of the others. It is low because an overloaded replica delays only a part of its
/// requests.
const RELIEF_VALUE: f64 = 0.2;

/// Share of the load bounds that applies to engines that share their VMs with others. They take up to
/// two and a half times as long in disturbances, so that fewer prompts fit between two events.
const SHARED_VM_BOUND_SHARE: f64 = 0.75;

/// Exponent of the capacity of an engine by its speed. A slow engine has less time left for prompts
/// within the pause objective than its speed tells, since its events take longer as well.
const CAPACITY_EXPONENT: f64 = 1.5;

/// Lowest capacity of an engine.
const MIN_CAPACITY: f64 = 0.2;

/// Preference of a model for an engine of twice the usual capacity, per concurrent request above the
/// mean of the models, and its bound. Models below the mean leave quick engines to others.
const SPEED_PREFERENCE: f64 = 0.2;
const MAX_SPEED_PREFERENCE: f64 = 3.0;

/// Smallest demand, in concurrent requests, for which a model gets a second replica at one software
/// version. Fewer streams are rarely on an engine when it is lost.
const MIN_REDUNDANT_LOAD: f64 = 0.5;

/// Cost of leaving a model without two replicas at one software version, and preference for the engine
/// that makes them two, in concurrent requests. Less than `STORE_COST`.
const NO_REDUNDANCY_COST: f64 = 2.0;

/// Returns the cost reduction of loading a model with `surplus_load` concurrent requests above the mean
/// on an engine of a given capacity; 0 for one of usual speed.
fn speed_preference(surplus_load: f64, capacity: f64) -> f64 {
    let preference = surplus_load * (capacity - 1.0) * SPEED_PREFERENCE;
    preference.clamp(-MAX_SPEED_PREFERENCE, MAX_SPEED_PREFERENCE)
}

/// Thresholds of the load of an engine, in concurrent requests.
struct LoadBounds {
    relief: f64,
    overloaded: f64,
    scale_down: f64,
    low: f64,
}

impl LoadBounds {
    /// Returns the bounds for engines with `slots` slots. Engines that share their VMs with others
    /// (`are_shared`) reach the same pauses with fewer requests.
    fn new(slots: u32, are_shared: bool) -> Self {
        let share = if are_shared {
            SHARED_VM_BOUND_SHARE
        } else {
            1.0
        };
        let slots = f64::from(slots);
        let relief = (slots * RELIEF_SHARE).max(MIN_RELIEF_LOAD);
        let relief = relief.min(slots * MAX_RELIEF_SHARE) * share;
        let overloaded = (slots * OVERLOADED_SHARE).max(MIN_OVERLOADED_LOAD);
        let low = relief * LOW_LOAD_SHARE;
        Self {
            relief,
            low,
            overloaded: overloaded.min(slots * MAX_OVERLOADED_SHARE) * share,
            scale_down: (slots * SCALE_DOWN_SHARE * share).max(low),
        }
    }
}

/// Cost of evicting one replica.
#[derive(Clone, Copy)]
struct EvictionCost {
    /// Cost that ranks the victims of one engine, in concurrent requests.
    cost: f64,
    /// Mean load of the remaining engines of the model, or its own load times
    /// `EVICTION_DEMAND_RATIO` if none remains.
    loss: f64,
}

/// Models to evict from one engine.
#[derive(Default)]
struct Eviction {
    /// Largest cost among the victims.
    cost: f64,
    /// Largest loss among the victims.
    loss: f64,
    victims: Vec<ModelName>,
}

/// Load in concurrent requests below which the last replica of a model may be evicted, by where the
/// new model is loaded from.
#[derive(Clone, Copy)]
struct EvictionLimit {
    from_store: f64,
    from_disk: f64,
}

impl EvictionLimit {
    fn uniform(demand: f64) -> Self {
        Self {
            from_store: demand,
            from_disk: demand,
        }
    }
}

pub(super) struct Planner<'p> {
    models: BTreeMap<&'p ModelName, &'p ModelLoad>,
    engines: Vec<EngineView>,
    /// Indices of the engines that hold each model.
    holders: BTreeMap<ModelName, Vec<usize>>,
    /// Requests that each engine serves within their objectives, in proportion to an engine of usual
    /// speed.
    capacities: Vec<f64>,
    /// Concurrent requests at each engine per unit of its capacity, over all of its models.
    engine_loads: Vec<f64>,
    bounds: LoadBounds,
    store: StoreBudget,
    /// Whether the engines have several software versions.
    is_mixed: bool,
    /// Models that get no further replica in this plan.
    pub(super) excluded: BTreeSet<ModelName>,
    pub(super) changes: Vec<EngineChange>,
}

impl<'p> Planner<'p> {
    pub(super) fn new(
        models: &'p [ModelLoad],
        engines: &[EngineView],
        slots: u32,
        store: StoreBudget,
    ) -> Self {
        let mut holders: BTreeMap<ModelName, Vec<usize>> = BTreeMap::new();
        for (index, engine) in engines.iter().enumerate() {
            for model in &engine.models {
                holders.entry(model.clone()).or_default().push(index);
            }
        }
        let are_shared = engines.iter().any(|engine| engine.speed.is_some());
        // While requests wait for models, quicker streams of others must not cost further models.
        let is_waiting = models.iter().any(|model| model.waiting > 0);
        let bounds = LoadBounds::new(slots, are_shared && !is_waiting);
        let max_capacity = f64::from(slots) * MAX_RELIEF_SHARE / bounds.relief.max(1.0);
        let capacities = engines.iter().map(|engine| {
            let speed = engine.speed.unwrap_or(1.0);
            let upper = max_capacity.max(1.0);
            speed.powf(CAPACITY_EXPONENT).clamp(MIN_CAPACITY, upper)
        });
        let mut planner = Self {
            models: models.iter().map(|model| (&model.name, model)).collect(),
            capacities: capacities.collect(),
            engines: engines.to_vec(),
            holders,
            engine_loads: Vec::new(),
            bounds,
            store,
            is_mixed: engines
                .windows(2)
                .any(|pair| pair[0].software_version != pair[1].software_version),
            excluded: BTreeSet::new(),
            changes: Vec::new(),
        };
        planner.update_engine_loads();
        planner
    }

    fn holders(&self, model: &ModelName) -> &[usize] {
        self.holders.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of engines of the same software version as one of them that hold a model,
    /// without that engine.
    fn holders_beside(&self, model: &ModelName, index: usize) -> usize {
        let version = &self.engines[index].software_version;
        let holders = self.holders(model).iter();
        let same = holders.filter(|holder| self.engines[**holder].software_version == *version);
        same.filter(|holder| **holder != index).count()
    }

    /// Returns whether two engines of one software version hold a model, not counting `without`.
    fn has_redundancy(&self, model: &ModelName, without: Option<usize>) -> bool {
        let mut versions = BTreeSet::new();
        let holders = self.holders(model).iter();
        let mut counted = holders.filter(|holder| Some(**holder) != without);
        counted.any(|holder| !versions.insert(&self.engines[*holder].software_version))
    }

    /// Returns the software versions at which a further load gives a model two replicas, now or with one
    /// more load on another engine with free memory.
    fn redundant_versions(&self, model: &ModelName) -> BTreeSet<SoftwareVersion> {
        let weights_mb = self.models[model].weights_mb;
        let mut places: BTreeMap<&SoftwareVersion, usize> = BTreeMap::new();
        for (index, engine) in self.engines.iter().enumerate() {
            let is_place = engine.models.contains(model) || self.free_mb(index) >= weights_mb;
            *places.entry(&engine.software_version).or_default() += usize::from(is_place);
        }
        let several = places.into_iter().filter(|(_, count)| *count > 1);
        several.map(|(version, _)| version.clone()).collect()
    }

    fn replicas(&self, model: &ModelName) -> u32 {
        self.holders(model).len() as u32
    }

    /// Returns the capacity of the engines that hold a model.
    fn capacity(&self, model: &ModelName) -> f64 {
        let holders = self.holders(model).iter();
        holders.map(|index| self.capacities[*index]).sum()
    }

    /// Returns the load of a model per unit of the capacity that holds it.
    fn mean_replica_load(&self, model: &ModelName) -> f64 {
        if self.holders(model).is_empty() {
            return self.load(model);
        }
        self.load(model) / self.capacity(model)
    }

    /// Returns the mean load of the engines that hold a model. It covers all models of these
    /// engines, because their requests run in one batch.
    fn mean_engine_load(&self, model: &ModelName) -> f64 {
        let holders = self.holders(model).iter();
        let loads = holders.map(|index| self.engine_loads[*index] * self.capacities[*index]);
        let capacity = self.capacity(model);
        if capacity > 0.0 {
            loads.sum::<f64>() / capacity
        } else {
            0.0
        }
    }

    /// Updates the engine loads. Requests are taken as spread over the replicas of a model in
    /// proportion to the capacity of their engines.
    fn update_engine_loads(&mut self) {
        let loads = self.engines.iter().map(|engine| {
            let shares = engine
                .models
                .iter()
                .map(|model| self.mean_replica_load(model));
            shares.sum()
        });
        self.engine_loads = loads.collect();
    }

    fn load(&self, model: &ModelName) -> f64 {
        self.models.get(model).map_or(0.0, |model| model.load)
    }

    /// Returns the mean load of a model, over all models of the service.
    fn mean_model_load(&self) -> f64 {
        let loads = self.models.values().map(|model| model.load);
        loads.sum::<f64>() / self.models.len().max(1) as f64
    }

    /// Returns the model with the highest priority for another replica, and why it needs one.
    pub(super) fn next_model(&self) -> Option<(ModelName, ChangeCause)> {
        let ranked = self.models.values().filter_map(|model| {
            // The replica that is being loaded may suffice.
            if model.is_loading || self.excluded.contains(&model.name) {
                return None;
            }
            let per_replica = self.mean_replica_load(&model.name);
            let (rank, cause) = match self.replicas(&model.name) {
                0 if model.waiting > 0 || model.load > UNUSED_LOAD => (2, ChangeCause::Cold),
                0 => (0, ChangeCause::Spread),
                _ if self.exceeds_load(&model.name, self.bounds.relief) => (3, ChangeCause::Relief),
                _ if self.needs_redundancy(model) => (2, ChangeCause::Redundancy),
                _ => return None,
            };
            let priority = per_replica + f64::from(model.waiting);
            Some((rank, priority, cause, &model.name))
        });
        ranked
            .max_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)))
            .map(|(_, _, cause, name)| (name.clone(), cause))
    }

    /// Returns whether no engine could continue the streams of a used model if the one that they are on
    /// is lost.
    fn needs_redundancy(&self, model: &ModelLoad) -> bool {
        self.is_mixed && model.load >= MIN_REDUNDANT_LOAD && !self.has_redundancy(&model.name, None)
    }

    /// Returns whether the mean load of a model's engines exceeds `bound` and the model contributes
    /// a large share of it.
    fn exceeds_load(&self, model: &ModelName, bound: f64) -> bool {
        let mean_engine_load = self.mean_engine_load(model);
        mean_engine_load > bound
            && self.mean_replica_load(model) >= mean_engine_load * MIN_CONTRIBUTION_SHARE
    }

    /// Plans the cheapest change that loads a replica of a model. Returns whether there is one.
    pub(super) fn add_replica(&mut self, model: &ModelName, cause: ChangeCause) -> bool {
        let weights_mb = self.models[model].weights_mb;
        let load = self.load(model);
        let capacity = self.capacity(model);
        let surplus_load = load - self.mean_model_load();
        let per_replica_before = self.mean_replica_load(model);
        let waiting = f64::from(self.models[model].waiting.min(MAX_WAITING_COUNTED));
        let is_overloaded = self.exceeds_load(model, self.bounds.overloaded);
        let limit = |per_replica_after: f64| match cause {
            ChangeCause::Cold => EvictionLimit {
                from_store: (load + waiting * WAITING_REQUEST_LOAD) / EVICTION_DEMAND_RATIO,
                from_disk: load / EVICTION_DEMAND_RATIO + waiting * DISK_WAITING_REQUEST_LOAD,
            },
            ChangeCause::Relief if is_overloaded => EvictionLimit::uniform(
                (per_replica_before - per_replica_after) * RELIEF_VALUE / EVICTION_DEMAND_RATIO,
            ),
            ChangeCause::Relief | ChangeCause::Spread | ChangeCause::Redundancy => {
                EvictionLimit::uniform(0.0)
            }
        };
        // Loading from another engine's disk is faster than from the store, even if that engine has
        // to complete another change first.
        let is_on_some_disk = cause == ChangeCause::Cold
            && self
                .engines
                .iter()
                .any(|engine| engine.on_disk.contains(model));
        let is_redundancy = cause == ChangeCause::Redundancy;
        let versions = is_redundancy.then(|| self.redundant_versions(model));
        let mut best: Option<(f64, usize, f64, Vec<ModelName>)> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if !engine.is_changeable || engine.models.contains(model) {
                continue;
            }
            let is_on_disk = engine.on_disk.contains(model);
            let may_load_from_store = self.store.can_load(cause) && !is_on_some_disk;
            if !(is_on_disk || may_load_from_store) {
                continue;
            }
            if let Some(versions) = &versions
                && !versions.contains(&engine.software_version)
            {
                continue;
            }
            let per_replica_after = load / (capacity + self.capacities[index]);
            let limit = limit(per_replica_after);
            let limit = if is_on_disk {
                limit.from_disk
            } else {
                limit.from_store
            };
            let Some(eviction) = self.choose_victims(index, weights_mb, limit) else {
                continue;
            };
            let Eviction { loss, victims, .. } = eviction;
            let is_too_costly = match cause {
                ChangeCause::Relief => loss * MIN_RELIEF_RATIO >= per_replica_after,
                ChangeCause::Cold | ChangeCause::Spread => loss > self.bounds.scale_down,
                ChangeCause::Redundancy => !victims.is_empty(),
            };
            if is_too_costly {
                continue;
            }
            let mut cost = eviction.cost + self.engine_loads[index] * ENGINE_LOAD_COST;
            cost -= speed_preference(surplus_load, self.capacities[index]);
            if self.is_mixed && self.holders_beside(model, index) == 1 {
                cost -= NO_REDUNDANCY_COST;
            }
            cost += match (is_on_disk, engine.serves_adapters) {
                (true, false) => 0.0,
                (true, true) => ADAPTER_DISK_COST,
                (false, false) => STORE_COST,
                (false, true) => STORE_COST + ADAPTER_STORE_COST,
            };
            if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
                best = Some((cost, index, loss, victims));
            }
        }
        let Some((_, index, loss, unload)) = best else {
            return false;
        };
        let is_from_store = self.apply(index, &unload, model);
        self.changes.push(EngineChange {
            endpoint: self.engines[index].endpoint.clone(),
            unload,
            load: model.clone(),
            is_from_store,
            cause,
            load_per_replica: per_replica_before,
            loss,
        });
        // A plan adds one replica per model, because its effect on the load is visible only to the
        // next plan.
        self.excluded.insert(model.clone());
        true
    }

    /// Returns why no engine can load a model in demand.
    pub(super) fn deferral(&self, model: &ModelName) -> Deferral {
        let mut with_weights = self.engines.iter().filter(|e| e.on_disk.contains(model));
        let is_on_disk = with_weights.clone().next().is_some();
        if is_on_disk && !with_weights.any(|engine| engine.is_changeable) {
            return Deferral::EnginesChanging;
        }
        if !is_on_disk && !self.store.can_load(ChangeCause::Cold) {
            return Deferral::StoreBusy;
        }
        Deferral::NoRoom
    }

    /// Returns the size of a model. That of one which was removed from the configuration is unknown;
    /// assuming the largest is safe.
    fn weights_mb(&self, model: &ModelName) -> u64 {
        let known = self.models.get(model).map(|known| known.weights_mb);
        let largest = || self.models.values().map(|model| model.weights_mb).max();
        known.or_else(largest).unwrap_or(0)
    }

    /// Returns the free memory of an engine in MB.
    fn free_mb(&self, index: usize) -> u64 {
        let engine = &self.engines[index];
        let sizes = engine.models.iter().map(|model| self.weights_mb(model));
        engine.capacity_mb.saturating_sub(sizes.sum())
    }

    /// Chooses the cheapest models to evict from an engine so that it can hold `weights_mb` more.
    /// Returns `None` if no choice frees enough memory.
    fn choose_victims(&self, index: usize, weights_mb: u64, limit: f64) -> Option<Eviction> {
        let engine = &self.engines[index];
        let mut free_mb = self.free_mb(index);
        let mut candidates: Vec<(EvictionCost, &ModelName)> = engine
            .models
            .iter()
            .filter(|held| !engine.protected.contains(*held))
            .filter_map(|held| Some((self.eviction_cost(held, index, limit)?, held)))
            .collect();
        // Among models of equal cost, the one with the most replicas is evicted first.
        candidates.sort_by(|one, other| {
            let replicas = |model: &ModelName| std::cmp::Reverse(self.replicas(model));
            one.0
                .cost
                .total_cmp(&other.0.cost)
                .then_with(|| replicas(one.1).cmp(&replicas(other.1)))
        });
        let mut eviction = Eviction::default();
        let mut candidates = candidates.into_iter();
        while free_mb < weights_mb {
            let (eviction_cost, victim) = candidates.next()?;
            eviction.cost = eviction.cost.max(eviction_cost.cost);
            eviction.loss = eviction.loss.max(eviction_cost.loss);
            free_mb += self.weights_mb(victim);
            eviction.victims.push(victim.clone());
        }
        Some(eviction)
    }

    /// Returns the cost of evicting a replica, or `None` for the last replica of a model whose load
    /// is not below `limit`. Running requests add to the cost, so that idle models are evicted
    /// first.
    fn eviction_cost(&self, model: &ModelName, index: usize, limit: f64) -> Option<EvictionCost> {
        let load = self.load(model);
        match self.replicas(model) {
            0 | 1 => {
                let running = self.models.get(model).map_or(0, |model| model.running);
                let running_cost = f64::from(running) * RUNNING_REQUEST_COST;
                let loss = load * EVICTION_DEMAND_RATIO;
                (load < limit).then_some(EvictionCost {
                    cost: loss + running_cost,
                    loss,
                })
            }
            _ => {
                let others = self.holders(model).iter().filter(|other| **other != index);
                let loads = others.map(|other| self.engine_loads[*other] * self.capacities[*other]);
                let moved = self.mean_replica_load(model) * self.capacities[index];
                let remaining = self.capacity(model) - self.capacities[index];
                let loss = (loads.sum::<f64>() + moved) / remaining;
                let mut cost = (loss - self.bounds.low).max(0.0);
                if self.is_mixed
                    && load >= MIN_REDUNDANT_LOAD
                    && !self.has_redundancy(model, Some(index))
                {
                    cost += NO_REDUNDANCY_COST;
                }
                Some(EvictionCost { cost, loss })
            }
        }
    }

    /// Applies a change to the planned state. Returns whether it loads weights from the store.
    fn apply(&mut self, index: usize, unload: &[ModelName], load: &ModelName) -> bool {
        let engine = &mut self.engines[index];
        let is_from_store = !engine.on_disk.contains(load);
        engine.is_changeable = false;
        engine.models.retain(|held| !unload.contains(held));
        engine.models.push(load.clone());
        for victim in unload {
            if let Some(holders) = self.holders.get_mut(victim) {
                holders.retain(|holder| *holder != index);
            }
        }
        self.holders.entry(load.clone()).or_default().push(index);
        self.update_engine_loads();
        if is_from_store {
            self.store.loads_left -= 1;
            self.store.loads_running += 1;
        }
        is_from_store
    }
}
