//! The placement policy `keep_loaded`.

use std::cmp::Reverse;

use linkme::distributed_slice;

use super::{
    DemandSample, ModelView, PLACEMENT_POLICIES, PlacementDecision, PlacementPlan, PlacementPlugin,
    PlacementPolicy, PlacementView, idle_ms, is_idle,
};

/// Loads a model when a request waits for it, and unloads the least recently used idle model only
/// when a waiting model needs its memory.
///
/// Cold starts are rare while memory is ample, but unused models keep accelerators occupied.
struct KeepLoaded;

#[distributed_slice(PLACEMENT_POLICIES)]
static PLUGIN: PlacementPlugin = PlacementPlugin {
    name: "keep_loaded",
    summary: "loads a model when a request waits for it and unloads only when memory is needed",
    build: || Box::new(KeepLoaded),
};

impl PlacementPolicy for KeepLoaded {
    fn observe(&mut self, _sample: &DemandSample) {}

    fn decide(&mut self, view: &PlacementView) -> Vec<PlacementDecision> {
        let mut plan = PlacementPlan::new(view);
        load_waiting(&mut plan, view);
        plan.into_decisions()
    }
}

/// Loads one replica of each waiting model that has none, longest wait first, on the endpoint with
/// the most free memory. The least recently used idle replicas are evicted if memory is short.
pub(super) fn load_waiting<'v>(plan: &mut PlacementPlan<'v>, view: &'v PlacementView) {
    let mut waiting: Vec<&ModelView> = view.models.iter().filter(|m| m.queued > 0).collect();
    waiting.sort_by_key(|model| Reverse(model.oldest_wait_ms));
    for model in waiting {
        if plan.serving(model) > 0 {
            continue;
        }
        let reason = format!("{} requests wait", model.queued);
        if plan.load(model, &reason, |option| Some(Reverse(option.free_mib))) {
            continue;
        }
        if !plan.has_free_memory(model) || !plan.may_add_replica(model) {
            let reason = format!("{} waits and needs memory", model.name);
            plan.reclaim_memory(model, &reason, |grant, held| {
                is_idle(held).then(|| u64::MAX - idle_ms(grant, held))
            });
        }
    }
}
