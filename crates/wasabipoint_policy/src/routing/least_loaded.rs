//! The routing policy `least_loaded`.

use linkme::distributed_slice;

use super::{
    ROUTING_POLICIES, RoutingCandidate, RoutingChoice, RoutingPlugin, RoutingPolicy, RoutingRequest,
};

/// Chooses the endpoint with the lowest estimated load relative to its concurrency.
///
/// The policy balances load evenly but sends equal prompts to different endpoints, which makes
/// prefix caches ineffective. It is the baseline of the routing experiments.
struct LeastLoaded;

#[distributed_slice(ROUTING_POLICIES)]
static PLUGIN: RoutingPlugin = RoutingPlugin {
    name: "least_loaded",
    summary: "chooses the endpoint with the least estimated load",
    build: || Box::new(LeastLoaded),
};

impl RoutingPolicy for LeastLoaded {
    fn choose(
        &self,
        _request: &RoutingRequest,
        candidates: &[RoutingCandidate],
        tie_breaker: u64,
    ) -> Option<RoutingChoice> {
        let count = candidates.len();
        let start = tie_breaker.checked_rem(count as u64)? as usize;
        let index = (0..count)
            .map(|offset| (start + offset) % count)
            .min_by_key(|index| load_per_mille(&candidates[*index]))?;
        let load = candidates[index].estimated_load();
        Some(RoutingChoice {
            index,
            reason: format!("least load {load} of {count} candidates"),
        })
    }
}

fn load_per_mille(candidate: &RoutingCandidate) -> u64 {
    u64::from(candidate.estimated_load()) * 1_000 / u64::from(candidate.concurrency.max(1))
}
