//! Placement policy `load_on_demand`.

use linkme::distributed_slice;

use super::{
    DemandSample, PLACEMENT_POLICIES, PlacementDecision, PlacementPlugin, PlacementPolicy,
    PlacementView,
};

/// Loads a model when a request waits for it, and unloads it after the idle time of the rules.
///
/// It is simple and holds nothing that is not used, but every first request after a pause waits
/// for a load. It is the baseline of the placement experiments.
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
        let mut decisions = unload_idle(view);
        let mut free_mib: Vec<u64> = view.endpoints.iter().map(|e| e.free_mib).collect();
        let mut allowed = view.store.loads_allowed;
        let mut waiting: Vec<_> = view
            .models
            .iter()
            .filter(|model| model.queued > 0)
            .collect();
        waiting.sort_by_key(|model| std::cmp::Reverse(model.oldest_wait_ms));
        for model in waiting {
            let is_granted = view.grants.iter().any(|grant| grant.model == model.name);
            if is_granted || allowed == 0 {
                continue;
            }
            let target = view
                .endpoints
                .iter()
                .enumerate()
                .filter(|(index, e)| e.is_placeable && free_mib[*index] >= model.memory_mib)
                .max_by_key(|(index, _)| free_mib[*index]);
            if let Some((index, endpoint)) = target {
                free_mib[index] -= model.memory_mib;
                allowed -= 1;
                decisions.push(PlacementDecision::Load {
                    model: model.name.clone(),
                    endpoint: endpoint.endpoint.clone(),
                    reason: format!("{} requests wait", model.queued),
                });
            }
        }
        decisions
    }
}

fn unload_idle(view: &PlacementView) -> Vec<PlacementDecision> {
    let mut decisions = Vec::new();
    for grant in view
        .grants
        .iter()
        .filter(|grant| grant.state == super::GrantState::Loaded)
    {
        let Some(model) = view.models.iter().find(|model| model.name == grant.model) else {
            continue;
        };
        let idle_ms = model.idle_ms.unwrap_or(grant.age_ms).min(grant.age_ms);
        let is_idle = model.queued == 0 && model.in_flight == 0;
        if is_idle && idle_ms >= view.rules.idle_unload_ms {
            decisions.push(PlacementDecision::Unload {
                model: grant.model.clone(),
                endpoint: grant.endpoint.clone(),
                reason: format!("idle for {idle_ms} ms"),
            });
        }
    }
    decisions
}
