//! Which engine loads and unloads which model, for engines that obey commands of the leader.
//!
//! Replicas follow demand. A model whose replicas are crowded gets a further one, also in place of
//! rare models, since it is late for many more requests than they have. A model that requests wait
//! for gets one in place of a model that is used less, or of a replica that the others can spare.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{EndpointId, ModelName, plain_data};

/// Part of an engine's concurrent requests from which on a further replica of their model relieves it.
const CROWD_PART: f64 = 0.4;

/// Concurrent requests below which a model counts as unused.
const UNUSED_LOAD: f64 = 0.05;

/// Share of an engine's slots up to which it is not relieved by another replica. Above it the prompts
/// of new requests begin to delay the tokens of running ones.
const RELIEF_SHARE: f64 = 0.3;

/// Share of an engine's slots above which a further replica may displace rare models.
const CROWDED_SHARE: f64 = 0.4;

/// Share of an engine's slots that the remaining replicas of a model may reach when one of them
/// makes room for a model that no engine holds.
const SPARE_SHARE: f64 = 0.25;

/// Share of the relief bound up to which a replica serves as well as with fewer requests, so that a
/// further one is worth nothing.
const COMFORTABLE_SHARE: f64 = 0.5;

/// Loads from the store at once for models that nobody asks for yet.
const SPREAD_STORE_LOADS: u32 = 1;

/// Concurrent requests that stand for the relief share on an engine with few slots. Pauses come from
/// the prompts that an engine reads, and few slots do not make it slower.
const MIN_RELIEF_LOAD: f64 = 14.0;

/// The same for the crowded share.
const MIN_CROWDED_LOAD: f64 = 18.0;

/// Share of the slots that the relief load reaches at most. Beyond it, bursts wait for a slot.
const MAX_RELIEF_SHARE: f64 = 0.6;

/// The same for the crowded load.
const MAX_CROWDED_SHARE: f64 = 0.75;

/// Loads from the store that further replicas may occupy at once. The rest of the store's speed is
/// kept for models that no engine holds.
const RELIEF_STORE_LOADS: u32 = 3;

/// Concurrent requests that one waiting request stands for. A single request for a rare model must
/// not displace one that is asked for every few seconds.
const WAITING_LOAD: f64 = 0.2;

/// Waiting requests that count.
const MAX_WAITING_COUNTED: u32 = 5;

/// Cost of one concurrent request at the engine that changes, where the loss of the models that
/// make room counts in concurrent requests per replica.
const ENGINE_LOAD_COST: f64 = 0.1;

/// Cost of a load from the store, which takes five times as long as one from a disk.
const STORE_COST: f64 = 4.0;

/// Cost of a load from the store at an engine that is asked for adapters.
const ADAPTER_STORE_COST: f64 = 12.0;

/// The same for a load from its disk.
const ADAPTER_DISK_COST: f64 = 2.0;

/// A model in use without another replica gives way only to one with this many times its demand,
/// if that one comes from the store.
const DISPLACEMENT: f64 = 3.0;

/// Concurrent requests that one waiting request stands for where an engine has the model on its disk.
/// The model that makes room stays on the same disk, so a request for it waits a second at most.
const SWAP_WAITING_LOAD: f64 = 1.0;

/// Concurrent requests that stand for the wait until one running request ends.
const RUNNING_LOAD: f64 = 0.5;

/// A further replica has to lower the load per replica to this part of the victim's new load.
const GAIN: f64 = 1.5;

/// Demand of a model in use that gives way, per concurrent request that a further replica takes
/// from each of the others. A crowded replica is late for a part of its requests only.
const RELIEF_WORTH: f64 = 0.2;

plain_data! {
    data
    /// A model and its demand.
    pub struct ModelLoad {
        /// Name of the model.
        pub name: ModelName,
        /// Memory of the weights in MB.
        pub weights_mb: u64,
        /// Concurrent requests, running and waiting, over all entry processes.
        pub load: f64,
        /// Requests that wait because no engine holds the model.
        pub waiting: u32,
        /// Requests that run now. An unload waits for them.
        pub running: u32,
        /// Whether a load of the model is in progress.
        pub is_loading: bool,
    }
}

plain_data! {
    data
    /// An engine and what it holds.
    pub struct EngineView {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Memory for weights in MB, without the reserve for adapters.
        pub capacity_mb: u64,
        /// Models that it holds.
        pub models: Vec<ModelName>,
        /// Models whose weights are on its disk.
        pub on_disk: BTreeSet<ModelName>,
        /// Whether it is live and no command is in progress there.
        pub is_changeable: bool,
        /// Models that it keeps for now, because they were loaded a moment ago.
        pub recently_loaded: BTreeSet<ModelName>,
        /// Whether requests ask for adapters of its models. It loads none during a change.
        pub serves_adapters: bool,
    }
}

plain_data! {
    data
    /// One change of what an engine holds.
    pub struct EngineChange {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Models that make room.
        pub unload: Vec<ModelName>,
        /// Model to load.
        pub load: ModelName,
        /// Whether the weights come from the store.
        pub is_from_store: bool,
        /// Why the model gets a replica.
        pub cause: ChangeCause,
        /// Concurrent requests per replica before the change.
        pub load_per_replica: f64,
        /// Largest load at the engines that remain for the models that make room, after the change.
        pub loss: f64,
    }
}

plain_data! {
    copy
    /// Why no load begins for a model that requests wait for.
    pub enum Deferral {
        /// Every engine with its weights on disk carries out another change.
        EnginesChanging,
        /// The weight store serves as many loads as it can.
        StoreBusy,
        /// No engine has room that is worth less than the model.
        NoRoom,
    }
}

plain_data! {
    data
    /// Changes to begin now, and models that have to wait.
    pub struct EnginePlan {
        /// The changes.
        pub changes: Vec<EngineChange>,
        /// Models in demand that no engine holds or loads, most needed first.
        pub deferred: Vec<(ModelName, Deferral)>,
    }
}

plain_data! {
    copy
    /// What the weight store can take on now.
    pub struct StoreBudget {
        /// Loads that may begin.
        pub loads_left: u32,
        /// Loads that are running.
        pub loads_running: u32,
        /// Loads at once up to which each has its full speed.
        pub full_speed_loads: u32,
    }
}

plain_data! {
    copy
    /// Why a model gets a replica.
    pub enum ChangeCause {
        /// Requests ask for a model that no engine holds.
        Cold,
        /// The replicas of a model have too many requests.
        Relief,
        /// No engine holds the model, and nobody asks for it yet.
        Spread,
    }
}

impl StoreBudget {
    fn can_load(&self, cause: ChangeCause) -> bool {
        let at_once = match cause {
            ChangeCause::Cold => self.full_speed_loads,
            ChangeCause::Relief => RELIEF_STORE_LOADS.min(self.full_speed_loads),
            ChangeCause::Spread => SPREAD_STORE_LOADS,
        };
        self.loads_left > 0 && self.loads_running < at_once
    }
}

/// Chooses changes for engines with `slots` places for requests each.
pub fn plan_engine_changes(
    models: &[ModelLoad],
    engines: &[EngineView],
    slots: u32,
    store: StoreBudget,
) -> EnginePlan {
    let mut plan = Plan::new(models, engines, slots, store);
    let mut deferred = Vec::new();
    while let Some((model, cause)) = plan.neediest() {
        if !plan.add_replica(&model, cause) {
            if cause == ChangeCause::Cold {
                deferred.push((model.clone(), plan.deferral(&model)));
            }
            plan.given_up.insert(model);
        }
    }
    EnginePlan {
        changes: plan.changes,
        deferred,
    }
}

/// Concurrent requests per replica from which on it counts as busy, by what follows from it.
struct LoadBounds {
    relief: f64,
    crowded: f64,
    spare: f64,
    comfortable: f64,
}

impl LoadBounds {
    fn new(slots: u32) -> Self {
        let slots = f64::from(slots);
        let relief = (slots * RELIEF_SHARE).max(MIN_RELIEF_LOAD);
        let relief = relief.min(slots * MAX_RELIEF_SHARE);
        let crowded = (slots * CROWDED_SHARE).max(MIN_CROWDED_LOAD);
        let comfortable = relief * COMFORTABLE_SHARE;
        Self {
            relief,
            comfortable,
            crowded: crowded.min(slots * MAX_CROWDED_SHARE),
            spare: (slots * SPARE_SHARE).max(comfortable),
        }
    }
}

/// What an unload costs.
#[derive(Clone, Copy)]
struct Displacement {
    /// Concurrent requests that are served worse.
    cost: f64,
    /// Load at the engines that remain, or of the model if none does.
    loss: f64,
}

/// Models that make room on an engine.
#[derive(Default)]
struct Room {
    /// The largest cost of an unload.
    cost: f64,
    /// The largest load at the engines that remain.
    loss: f64,
    victims: Vec<ModelName>,
}

/// Demand in concurrent requests up to which a model without another replica makes room.
#[derive(Clone, Copy)]
struct Need {
    from_store: f64,
    from_disk: f64,
}

impl Need {
    fn of(demand: f64) -> Self {
        Self {
            from_store: demand,
            from_disk: demand,
        }
    }
}

struct Plan<'p> {
    models: BTreeMap<&'p ModelName, &'p ModelLoad>,
    engines: Vec<EngineView>,
    /// Engines that hold each model, by their position.
    holders: BTreeMap<ModelName, Vec<usize>>,
    /// Concurrent requests at each engine, over all its models.
    engine_loads: Vec<f64>,
    bounds: LoadBounds,
    store: StoreBudget,
    given_up: BTreeSet<ModelName>,
    changes: Vec<EngineChange>,
}

impl<'p> Plan<'p> {
    fn new(
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
        let mut plan = Self {
            models: models.iter().map(|model| (&model.name, model)).collect(),
            engines: engines.to_vec(),
            holders,
            engine_loads: Vec::new(),
            bounds: LoadBounds::new(slots),
            store,
            given_up: BTreeSet::new(),
            changes: Vec::new(),
        };
        plan.sum_engine_loads();
        plan
    }

    fn holders(&self, model: &ModelName) -> &[usize] {
        self.holders.get(model).map_or(&[], Vec::as_slice)
    }

    fn replicas(&self, model: &ModelName) -> u32 {
        self.holders(model).len() as u32
    }

    fn per_replica(&self, model: &ModelName) -> f64 {
        self.load(model) / f64::from(self.replicas(model).max(1))
    }

    /// Returns the mean of the concurrent requests at the engines that hold a model. Requests of all
    /// models run in one batch there.
    fn pressure(&self, model: &ModelName) -> f64 {
        let holders = self.holders(model);
        let loads = holders.iter().map(|index| self.engine_loads[*index]);
        loads.sum::<f64>() / holders.len().max(1) as f64
    }

    fn sum_engine_loads(&mut self) {
        let loads = self.engines.iter().map(|engine| {
            let shares = engine.models.iter().map(|model| self.per_replica(model));
            shares.sum()
        });
        self.engine_loads = loads.collect();
    }

    fn load(&self, model: &ModelName) -> f64 {
        self.models.get(model).map_or(0.0, |model| model.load)
    }

    /// Returns the model that gains most from a further replica, and why.
    fn neediest(&self) -> Option<(ModelName, ChangeCause)> {
        let needs = self.models.values().filter_map(|model| {
            // The load in progress may be enough.
            if model.is_loading || self.given_up.contains(&model.name) {
                return None;
            }
            let per_replica = self.per_replica(&model.name);
            let (rank, cause) = match self.replicas(&model.name) {
                0 if model.waiting > 0 || model.load > UNUSED_LOAD => (1, ChangeCause::Cold),
                0 => (0, ChangeCause::Spread),
                _ if self.has_crowd(&model.name, self.bounds.relief) => (2, ChangeCause::Relief),
                _ => return None,
            };
            let need = per_replica + f64::from(model.waiting);
            Some((rank, need, cause, &model.name))
        });
        needs
            .max_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)))
            .map(|(_, _, cause, name)| (name.clone(), cause))
    }

    /// Tells whether the engines of a model have more concurrent requests than `bound`, and the model
    /// a large part in that.
    fn has_crowd(&self, model: &ModelName, bound: f64) -> bool {
        let pressure = self.pressure(model);
        pressure > bound && self.per_replica(model) >= pressure * CROWD_PART
    }

    fn add_replica(&mut self, model: &ModelName, cause: ChangeCause) -> bool {
        let weights_mb = self.models[model].weights_mb;
        let replicas = self.replicas(model);
        let load = self.load(model);
        let gain = load / f64::from(replicas + 1);
        let per_replica = self.per_replica(model);
        let waiting = f64::from(self.models[model].waiting.min(MAX_WAITING_COUNTED));
        let need = match cause {
            ChangeCause::Cold => Need {
                from_store: (load + waiting * WAITING_LOAD) / DISPLACEMENT,
                from_disk: load / DISPLACEMENT + waiting * SWAP_WAITING_LOAD,
            },
            ChangeCause::Relief if self.has_crowd(model, self.bounds.crowded) => {
                Need::of((per_replica - gain) * RELIEF_WORTH / DISPLACEMENT)
            }
            ChangeCause::Relief | ChangeCause::Spread => Need::of(0.0),
        };
        // A disk elsewhere is faster than the store, also after a wait for its engine.
        let is_on_a_disk = cause == ChangeCause::Cold
            && self
                .engines
                .iter()
                .any(|engine| engine.on_disk.contains(model));
        let mut best: Option<(f64, usize, f64, Vec<ModelName>)> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if !engine.is_changeable || engine.models.contains(model) {
                continue;
            }
            let is_near = engine.on_disk.contains(model);
            let may_fetch = self.store.can_load(cause) && !is_on_a_disk;
            if !(is_near || may_fetch) {
                continue;
            }
            let need = if is_near {
                need.from_disk
            } else {
                need.from_store
            };
            let Some(room) = self.make_room(index, weights_mb, need) else {
                continue;
            };
            let Room { loss, victims, .. } = room;
            let is_too_dear = match cause {
                ChangeCause::Relief => loss * GAIN >= gain,
                ChangeCause::Cold | ChangeCause::Spread => loss > self.bounds.spare,
            };
            if is_too_dear {
                continue;
            }
            let mut cost = room.cost + self.engine_loads[index] * ENGINE_LOAD_COST;
            cost += match (is_near, engine.serves_adapters) {
                (true, false) => 0.0,
                (true, true) => ADAPTER_DISK_COST,
                (false, false) => STORE_COST,
                (false, true) => STORE_COST + ADAPTER_STORE_COST,
            };
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
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
            load_per_replica: per_replica,
            loss,
        });
        // The next plan sees what this replica changes.
        self.given_up.insert(model.clone());
        true
    }

    /// Tells why no engine takes a model in demand.
    fn deferral(&self, model: &ModelName) -> Deferral {
        let mut near = self.engines.iter().filter(|e| e.on_disk.contains(model));
        let is_near = near.clone().next().is_some();
        if is_near && !near.any(|engine| engine.is_changeable) {
            return Deferral::EnginesChanging;
        }
        if !is_near && !self.store.can_load(ChangeCause::Cold) {
            return Deferral::StoreBusy;
        }
        Deferral::NoRoom
    }

    /// Returns the models that make room, cheapest first.
    fn make_room(&self, index: usize, weights_mb: u64, need: f64) -> Option<Room> {
        let engine = &self.engines[index];
        // The size of a model that the configuration dropped is not known; the largest is safe.
        let largest_mb = self
            .models
            .values()
            .map(|m| m.weights_mb)
            .max()
            .unwrap_or(0);
        let size = |model: &ModelName| {
            let known = self.models.get(model);
            known.map_or(largest_mb, |known| known.weights_mb)
        };
        let used_mb: u64 = engine.models.iter().map(size).sum();
        let mut free_mb = engine.capacity_mb.saturating_sub(used_mb);
        let mut candidates: Vec<(Displacement, &ModelName)> = engine
            .models
            .iter()
            .filter(|held| !engine.recently_loaded.contains(*held))
            .filter_map(|held| Some((self.displacement(held, index, need)?, held)))
            .collect();
        // Of models that cost the same, one that another engine holds as well goes first.
        candidates.sort_by(|one, other| {
            let replicas = |model: &ModelName| std::cmp::Reverse(self.replicas(model));
            one.0
                .cost
                .total_cmp(&other.0.cost)
                .then_with(|| replicas(one.1).cmp(&replicas(other.1)))
        });
        let mut room = Room::default();
        let mut candidates = candidates.into_iter();
        while free_mb < weights_mb {
            let (displacement, victim) = candidates.next()?;
            room.cost = room.cost.max(displacement.cost);
            room.loss = room.loss.max(displacement.loss);
            free_mb += size(victim);
            room.victims.push(victim.clone());
        }
        Some(room)
    }

    /// Returns what the unload of one replica costs, or `None` for the last replica of a model whose
    /// demand is not below `need`. Models with running requests go last.
    fn displacement(&self, model: &ModelName, index: usize, need: f64) -> Option<Displacement> {
        let load = self.load(model);
        match self.replicas(model) {
            0 | 1 => {
                let running = self.models.get(model).map_or(0, |model| model.running);
                let wait = f64::from(running) * RUNNING_LOAD;
                let loss = load * DISPLACEMENT;
                (load < need).then_some(Displacement {
                    cost: loss + wait,
                    loss,
                })
            }
            replicas => {
                let others = self.holders(model).iter().filter(|other| **other != index);
                let loads = others.map(|other| self.engine_loads[*other]);
                let remaining = f64::from(replicas - 1);
                let loss = (loads.sum::<f64>() + self.per_replica(model)) / remaining;
                let cost = (loss - self.bounds.comfortable).max(0.0);
                Some(Displacement { cost, loss })
            }
        }
    }

    /// Records a change for the rest of this plan; tells whether it loads from the store.
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
        self.sum_engine_loads();
        if is_from_store {
            self.store.loads_left -= 1;
            self.store.loads_running += 1;
        }
        is_from_store
    }
}
