//! What the planner is told of models, engines and the weight store.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipoint_kernel::{EngineSpec, ModelName};
use wasabipoint_policy::{EngineHolding, ModelLoad, StoreBudget};
use wasabipoint_rpc::EndpointView;

use super::book::{base_of, is_model};
use super::ledger::adapter_reserve_mb;
use crate::leader_state::{DemandSum, LeaderState};

/// Time in which engines tell a new leader what their disks hold. Until then a load from the store
/// may be one from a disk.
const DISK_READ_TIME: Duration = Duration::from_millis(300);

/// Time in which a new leader learns the demand before it unloads anything.
const LEARNING_TIME: Duration = Duration::from_secs(2);

/// Largest share of an engine's slots that adapters in use stand for. It is worth a second replica,
/// and no more.
const MAX_ADAPTER_SHARE: f64 = 0.45;

/// Demand for a model and its adapters.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BaseDemand {
    in_flight: u32,
    queued: u32,
    /// Adapters that requests run with or wait for.
    adapters: u32,
}

/// Adds the demand for adapters to that for their models.
pub(super) fn sum_by_model(
    demand: BTreeMap<ModelName, DemandSum>,
) -> BTreeMap<ModelName, BaseDemand> {
    let mut sums: BTreeMap<ModelName, BaseDemand> = BTreeMap::new();
    for (name, one) in demand {
        let sum = sums.entry(base_of(&name)).or_default();
        sum.in_flight += one.in_flight;
        sum.queued += one.queued;
        if !is_model(&name) && one.in_flight > 0 {
            sum.adapters += 1;
        }
    }
    sums
}

/// Returns the concurrent requests of a model. An adapter in use counts as its share of the places
/// for adapters.
fn concurrent(engine: &EngineSpec, demand: BaseDemand) -> f64 {
    let slots = f64::from(engine.slots);
    let per_adapter = slots / f64::from(engine.max_adapters.max(1));
    let by_adapters = f64::from(demand.adapters) * per_adapter;
    f64::from(demand.in_flight).max(by_adapters.min(slots * MAX_ADAPTER_SHARE))
}

/// Returns the models of a service with their demand.
pub(super) fn model_loads(
    leader: &mut LeaderState,
    engine: &EngineSpec,
    endpoints: &[EndpointView],
    demand: &BTreeMap<ModelName, BaseDemand>,
) -> Vec<ModelLoad> {
    let mut replicas: BTreeMap<ModelName, u32> = BTreeMap::new();
    for model in endpoints.iter().flat_map(|e| leader.engines.models(e)) {
        *replicas.entry(model).or_default() += 1;
    }
    let presumed_per_replica = f64::from(engine.slots) * leader.engines.presumed_share();
    let models = engine.models.values().map(|model| {
        let sum = demand.get(&model.name).copied().unwrap_or_default();
        let replicas = replicas.get(&model.name).copied().unwrap_or(0);
        let current = concurrent(engine, sum);
        let load = leader.engines.take_load(&model.name, current, replicas > 0);
        ModelLoad {
            name: model.name.clone(),
            weights_mb: model.weights_mb,
            load: load.max(f64::from(replicas) * presumed_per_replica),
            waiting: sum.queued,
            running: sum.in_flight,
            is_loading: leader.engines.is_loading(&model.name),
        }
    });
    models.collect()
}

/// Returns the engines of a service with what they hold.
pub(super) fn holdings(
    leader: &LeaderState,
    engine: &EngineSpec,
    endpoints: &[EndpointView],
    demand: &BTreeMap<ModelName, BaseDemand>,
) -> Vec<EngineHolding> {
    // A new leader knows no demand yet; what engines hold is its best knowledge of it.
    let is_learning = leader.term_started.elapsed() < LEARNING_TIME;
    let capacity_mb = engine.weights_mb.saturating_sub(adapter_reserve_mb(engine));
    let book = &leader.engines;
    let holdings = endpoints.iter().map(|endpoint| {
        let id = &endpoint.endpoint;
        let held = book.models(endpoint);
        let uses_adapters = |model| demand.get(model).is_some_and(|sum| sum.adapters > 0);
        EngineHolding {
            endpoint: id.clone(),
            capacity_mb,
            on_disk: book.near(id),
            is_changeable: !book.is_changing(endpoint)
                && !book.has_failed(id)
                && !book.has_adapter_wait(id),
            kept: if is_learning {
                held.iter().cloned().collect()
            } else {
                book.loaded_lately(id)
            },
            serves_adapters: held.iter().any(uses_adapters),
            models: held.into_iter().filter(is_model).collect(),
        }
    });
    holdings.collect()
}

/// Returns what the weight store can take on now.
pub(super) fn store_budget(leader: &mut LeaderState, engine: &EngineSpec) -> StoreBudget {
    let has_read_disks = leader.term_started.elapsed() >= DISK_READ_TIME;
    let per_1000_s = engine.store_loads_per_1000_s;
    StoreBudget {
        loads_left: if has_read_disks {
            leader.engines.store_loads_left(per_1000_s)
        } else {
            0
        },
        loads_running: leader.engines.store_loads_running(),
        full_speed_loads: leader.engines.store_loads_at_once(),
    }
}
