//! Input of the planner: the load of each model, the state of each engine and the budget of the
//! weight store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wasabipoint_kernel::{EndpointId, EngineSpec, Incarnation, ModelName};
use wasabipoint_policy::{EngineView, ModelLoad, StoreBudget};
use wasabipoint_rpc::EndpointView;

use super::ledger::adapter_reserve_mb;
use super::tracker::{base_model, is_model};
use crate::leader_state::{DemandSum, LeaderState};

/// Time for engines to report the models on their disks to a new leader. Until then no load from the
/// weight store starts, since the model may be on a disk.
const DISK_QUERY_TIME: Duration = Duration::from_millis(300);

/// Time in which a new leader collects demand before it unloads any model.
const DEMAND_WARMUP_TIME: Duration = Duration::from_secs(2);

/// Maximum share of an engine's slots that the adapters in use are counted as. It is enough demand
/// for a second replica, but not for a third.
const MAX_ADAPTER_SHARE: f64 = 0.45;

/// Demand for a base model, including its adapters.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BaseDemand {
    in_flight: u32,
    queued: u32,
    /// Number of adapters with requests in flight.
    adapters: u32,
}

/// Sums the demand per base model, including the demand for its adapters.
pub(super) fn sum_by_base_model(
    demand: BTreeMap<ModelName, DemandSum>,
) -> BTreeMap<ModelName, BaseDemand> {
    let mut sums: BTreeMap<ModelName, BaseDemand> = BTreeMap::new();
    for (name, demand_sum) in demand {
        let sum = sums.entry(base_model(&name)).or_default();
        sum.in_flight += demand_sum.in_flight;
        sum.queued += demand_sum.queued;
        if !is_model(&name) && demand_sum.in_flight > 0 {
            sum.adapters += 1;
        }
    }
    sums
}

/// Returns the number of concurrent requests for a model, at least the number that its adapters in
/// use count as: `slots / max_adapters` each, up to `MAX_ADAPTER_SHARE` of the slots in total.
fn concurrent_requests(spec: &EngineSpec, demand: BaseDemand) -> f64 {
    let slots = f64::from(spec.slots);
    let per_adapter = slots / f64::from(spec.max_adapters.max(1));
    let by_adapters = f64::from(demand.adapters) * per_adapter;
    f64::from(demand.in_flight).max(by_adapters.min(slots * MAX_ADAPTER_SHARE))
}

/// Returns the load of each model of a service. Loads in progress at the `unused` endpoints do not
/// count, so that their models are loaded elsewhere at once.
pub(super) fn model_loads(
    leader: &mut LeaderState,
    spec: &EngineSpec,
    endpoints: &[EndpointView],
    demand: &BTreeMap<ModelName, BaseDemand>,
    unused: &BTreeSet<EndpointId>,
) -> Vec<ModelLoad> {
    let mut replicas: BTreeMap<ModelName, u32> = BTreeMap::new();
    for model in endpoints.iter().flat_map(|e| leader.engines.models(e)) {
        *replicas.entry(model).or_default() += 1;
    }
    let presumed_per_replica = f64::from(spec.slots) * leader.engines.presumed_share();
    let models = spec.models.values().map(|model| {
        let sum = demand.get(&model.name).copied().unwrap_or_default();
        let replicas = replicas.get(&model.name).copied().unwrap_or(0);
        let current = concurrent_requests(spec, sum);
        let load = leader
            .engines
            .update_demand(&model.name, current, replicas > 0);
        ModelLoad {
            name: model.name.clone(),
            weights_mb: model.weights_mb,
            load: load.max(f64::from(replicas) * presumed_per_replica),
            waiting: sum.queued,
            running: sum.in_flight,
            is_loading: leader.engines.is_loading(&model.name, unused),
        }
    });
    models.collect()
}

/// Returns the state of each engine of a service.
pub(super) fn engine_views(
    leader: &LeaderState,
    spec: &EngineSpec,
    endpoints: &[EndpointView],
    demand: &BTreeMap<ModelName, BaseDemand>,
    speeds: &BTreeMap<(EndpointId, Incarnation), f64>,
) -> Vec<EngineView> {
    // A new leader has no demand data yet; the loaded models are the best estimate of it.
    let is_warming_up = leader.term_started.elapsed() < DEMAND_WARMUP_TIME;
    let capacity_mb = spec.weights_mb.saturating_sub(adapter_reserve_mb(spec));
    let tracker = &leader.engines;
    let engine_views = endpoints.iter().map(|endpoint| {
        let id = &endpoint.id;
        let held = tracker.models(endpoint);
        let uses_adapters = |model| demand.get(model).is_some_and(|sum| sum.adapters > 0);
        EngineView {
            endpoint: id.clone(),
            capacity_mb,
            on_disk: tracker.disk_models(id),
            is_changeable: !tracker.is_changing(endpoint)
                && !tracker.has_recent_failure(id)
                && !tracker.has_recent_adapter_wait(id),
            protected: if is_warming_up {
                held.iter().cloned().collect()
            } else {
                tracker.protected_models(id)
            },
            serves_adapters: held.iter().any(uses_adapters),
            speed: speeds.get(&(id.clone(), endpoint.incarnation)).copied(),
            models: held.into_iter().filter(is_model).collect(),
            software_version: endpoint.software_version.clone(),
        }
    });
    engine_views.collect()
}

/// Returns how many loads from the weight store may start now, how many are running, and how many
/// run at full speed.
pub(super) fn store_budget(leader: &mut LeaderState, spec: &EngineSpec) -> StoreBudget {
    let has_disk_reports = leader.term_started.elapsed() >= DISK_QUERY_TIME;
    let loads_per_1000_s = spec.store_loads_per_1000_s;
    StoreBudget {
        loads_left: if has_disk_reports {
            leader.engines.store_loads_left(loads_per_1000_s)
        } else {
            0
        },
        loads_running: leader.engines.store_loads_running(),
        full_speed_loads: leader.engines.full_speed_store_loads(),
    }
}
