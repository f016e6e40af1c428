//! Plans which engine loads and unloads which model, for engines that the leader commands.
//!
//! The number of replicas follows demand. A model whose engines are busy gets another replica. If
//! they are overloaded, rarely used models may be evicted for it, because they receive far fewer
//! requests than the overloaded model delays. If requests wait for a model that no engine holds, a
//! less used model or a surplus replica may be evicted for it. While engines of several software
//! versions serve, a used model gets a second replica at one of them where memory is free, so that its
//! streams can go on after the loss of an engine.

mod planner;

use std::collections::BTreeSet;

use wasabipoint_kernel::{EndpointId, ModelName, SoftwareVersion, plain_data};

use planner::Planner;

/// Number of running store loads at which no load of a model without demand starts.
const SPREAD_STORE_LOADS: u32 = 1;

/// Number of running store loads at which no load of an additional replica starts. The remaining
/// store bandwidth is reserved for models that no engine holds.
const RELIEF_STORE_LOADS: u32 = 3;

plain_data! {
    data
    /// Size of a model and the demand for it.
    pub struct ModelLoad {
        /// Name of the model.
        pub name: ModelName,
        /// Memory for the weights in MB.
        pub weights_mb: u64,
        /// Demand over all entry processes, running and waiting, in concurrent requests.
        pub load: f64,
        /// Requests that wait because no engine holds the model.
        pub waiting: u32,
        /// Running requests. An unload waits until they end.
        pub running: u32,
        /// Whether a load of the model is in progress.
        pub is_loading: bool,
    }
}

plain_data! {
    data
    /// Memory, models and availability of an engine.
    pub struct EngineView {
        /// Endpoint of the engine.
        pub endpoint: EndpointId,
        /// Memory for weights in MB, without the reserve for adapters.
        pub capacity_mb: u64,
        /// Models in memory.
        pub models: Vec<ModelName>,
        /// Models whose weights are on its disk.
        pub on_disk: BTreeSet<ModelName>,
        /// Whether a change may start now. It may not while a command is in progress or soon after
        /// a failure.
        pub is_changeable: bool,
        /// Models that must not be evicted now, such as those that were loaded recently.
        pub protected: BTreeSet<ModelName>,
        /// Whether requests use adapters of its models. The engine loads no adapters during a
        /// change.
        pub serves_adapters: bool,
        /// Speed in proportion to the engines of the service; `None` if speeds are not measured, as in
        /// services whose engines do not share their VMs with others.
        pub speed: Option<f64>,
        /// Version of its software. Streams cannot move to an engine of another one.
        pub software_version: SoftwareVersion,
    }
}

plain_data! {
    data
    /// A load of one model on an engine and the unloads that free memory for it.
    pub struct EngineChange {
        /// Endpoint of the engine.
        pub endpoint: EndpointId,
        /// Models to unload first.
        pub unload: Vec<ModelName>,
        /// Model to load.
        pub load: ModelName,
        /// Whether the weights are loaded from the store.
        pub is_from_store: bool,
        /// Why the model gets a replica.
        pub cause: ChangeCause,
        /// Concurrent requests per replica of the loaded model before the change.
        pub load_per_replica: f64,
        /// Largest loss among the evicted models, in concurrent requests. The loss of a model is
        /// the mean load of its remaining engines after the change, or its own load times
        /// `EVICTION_DEMAND_RATIO` if it keeps no replica.
        pub loss: f64,
    }
}

plain_data! {
    copy
    /// Why a model in demand that no engine holds is not loaded now.
    pub enum Deferral {
        /// No engine with the weights on disk can start a change now.
        EnginesChanging,
        /// The weight store serves as many loads as its budget permits.
        StoreBusy,
        /// No engine can free enough memory by evicting models of less demand.
        NoRoom,
    }
}

plain_data! {
    data
    /// Changes to start now and models that have to wait.
    pub struct EnginePlan {
        /// Changes to start.
        pub changes: Vec<EngineChange>,
        /// Models in demand that no engine holds or loads, by decreasing priority.
        pub deferred: Vec<(ModelName, Deferral)>,
    }
}

plain_data! {
    copy
    /// Loads that the weight store can accept now.
    pub struct StoreBudget {
        /// Loads that may start within the rate limit.
        pub loads_left: u32,
        /// Loads in progress.
        pub loads_running: u32,
        /// Largest number of concurrent loads at which each runs at full speed.
        pub full_speed_loads: u32,
    }
}

plain_data! {
    copy
    /// Why a model gets a replica.
    pub enum ChangeCause {
        /// No engine holds the model, and it is in demand.
        Cold,
        /// The engines that hold the model are loaded beyond the relief bound.
        Relief,
        /// No engine holds the model, and there is no demand for it yet.
        Spread,
        /// No two engines of one software version hold the model, while several versions serve.
        Redundancy,
    }
}

impl StoreBudget {
    fn can_load(&self, cause: ChangeCause) -> bool {
        let max_running = match cause {
            ChangeCause::Cold => self.full_speed_loads,
            ChangeCause::Relief | ChangeCause::Redundancy => {
                RELIEF_STORE_LOADS.min(self.full_speed_loads)
            }
            ChangeCause::Spread => SPREAD_STORE_LOADS,
        };
        self.loads_left > 0 && self.loads_running < max_running
    }
}

/// Chooses changes for engines that run up to `slots` concurrent requests each.
pub fn plan_engine_changes(
    models: &[ModelLoad],
    engines: &[EngineView],
    slots: u32,
    store: StoreBudget,
) -> EnginePlan {
    let mut planner = Planner::new(models, engines, slots, store);
    let mut deferred = Vec::new();
    while let Some((model, cause)) = planner.next_model() {
        if !planner.add_replica(&model, cause) {
            if cause == ChangeCause::Cold {
                deferred.push((model.clone(), planner.deferral(&model)));
            }
            planner.excluded.insert(model);
        }
    }
    EnginePlan {
        changes: planner.changes,
        deferred,
    }
}
