//! Routing policy `prefix_affinity`.

use std::cmp::Reverse;

use linkme::distributed_slice;

use super::{
    ROUTING_POLICIES, RoutingCandidate, RoutingChoice, RoutingPlugin, RoutingPolicy, RoutingRequest,
};

/// Load above the fleet's mean that an endpoint may carry for the sake of its cache, in percent.
const LOAD_BOUND_PERCENT: u64 = 150;

/// Blocks of prompt that take about as long as waiting behind a whole batch of requests.
const BLOCKS_PER_FULL_LOAD: u64 = 64;

/// Blocks of prompt that take about as long as the load of an adapter.
const BLOCKS_PER_ADAPTER_LOAD: u64 = 8;

/// Chooses the endpoint with the least estimated work: blocks of the prompt that its cache does
/// not hold, an adapter that is not loaded, and the requests ahead.
///
/// Only endpoints whose load stays near the mean take part, so that a hot prefix cannot overload
/// the endpoint that caches it; its overflow fills the caches of others. Among equal endpoints
/// those in the failure domain of the entry process are preferred.
struct PrefixAffinity;

#[distributed_slice(ROUTING_POLICIES)]
static PLUGIN: RoutingPlugin = RoutingPlugin {
    name: "prefix_affinity",
    summary: "weighs cached prompt blocks and loaded adapters against bounded load",
    build: || Box::new(PrefixAffinity),
};

impl RoutingPolicy for PrefixAffinity {
    fn choose(
        &self,
        request: &RoutingRequest,
        candidates: &[RoutingCandidate],
        tie_breaker: u64,
    ) -> Option<RoutingChoice> {
        let count = candidates.len();
        let start = tie_breaker.checked_rem(count as u64)? as usize;
        let bound = LoadBound::new(candidates);
        let index = (0..count)
            .map(|offset| (start + offset) % count)
            .filter(|index| bound.permits(&candidates[*index]))
            .min_by_key(|index| {
                let candidate = &candidates[*index];
                let is_near = candidate.failure_domain == request.failure_domain;
                (work_blocks(request, candidate), Reverse(is_near))
            })?;
        let chosen = &candidates[index];
        Some(RoutingChoice {
            index,
            reason: format!(
                "{} of {} blocks cached, load {}, {count} candidates",
                chosen.cached_blocks.min(request.prompt_blocks),
                request.prompt_blocks,
                chosen.estimated_load(),
            ),
        })
    }
}

/// Mean load of all candidates. The least loaded candidate is always within the bound.
struct LoadBound {
    load: u64,
    concurrency: u64,
}

impl LoadBound {
    fn new(candidates: &[RoutingCandidate]) -> Self {
        Self {
            load: candidates
                .iter()
                .map(|c| u64::from(c.estimated_load()))
                .sum(),
            concurrency: candidates.iter().map(concurrency).sum(),
        }
    }

    /// Compares `load <= bound * mean * concurrency + 1`. The added request lets an idle fleet
    /// use its caches.
    fn permits(&self, candidate: &RoutingCandidate) -> bool {
        let load = u64::from(candidate.estimated_load());
        load.saturating_sub(1) * self.concurrency * 100
            <= self.load * concurrency(candidate) * LOAD_BOUND_PERCENT
    }
}

fn concurrency(candidate: &RoutingCandidate) -> u64 {
    u64::from(candidate.concurrency.max(1))
}

fn work_blocks(request: &RoutingRequest, candidate: &RoutingCandidate) -> u64 {
    let uncached = request
        .prompt_blocks
        .saturating_sub(candidate.cached_blocks);
    let needs_adapter = request.has_adapter && !candidate.has_adapter_loaded;
    let load = u64::from(candidate.estimated_load());
    u64::from(uncached)
        + u64::from(needs_adapter) * BLOCKS_PER_ADAPTER_LOAD
        + load * BLOCKS_PER_FULL_LOAD / concurrency(candidate)
}
