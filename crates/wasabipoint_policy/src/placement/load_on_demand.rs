//! The placement policy `load_on_demand`.

use linkme::distributed_slice;

use super::{
    DemandSample, PLACEMENT_POLICIES, PlacementDecision, PlacementPlan, PlacementPlugin,
    PlacementPolicy, PlacementView, idle_ms, is_idle, keep_loaded::load_waiting,
};

/// Loads a model when a request waits for it, and unloads it after the configured idle time.
///
/// The policy keeps no unused models loaded, but the first request after a pause always waits for a
/// load. If memory is short, the least recently used idle model is evicted. The policy is the
/// baseline of the placement experiments.
///
/// Options: `[placement] idle_unload_ms`.
struct LoadOnDemand;

#[distributed_slice(PLACEMENT_POLICIES)]
static PLUGIN: PlacementPlugin = PlacementPlugin {
    name: "load_on_demand",
    summary: "loads a model when a request waits for it and unloads it after the idle time",
    build: || Box::new(LoadOnDemand),
};

impl PlacementPolicy for LoadOnDemand {
    fn observe(&mut self, _sample: &DemandSample) {}

    fn decide(&mut self, view: &PlacementView) -> Vec<PlacementDecision> {
        let mut plan = PlacementPlan::new(view);
        for (index, grant, model) in plan.loaded() {
            let idle_ms = idle_ms(grant, model);
            if is_idle(model) && idle_ms >= view.rules.idle_unload_ms {
                plan.unload(index, &format!("idle for {idle_ms} ms"));
            }
        }
        load_waiting(&mut plan, view);
        plan.into_decisions()
    }
}
