//! The routing policy `prefix_affinity`.

use std::cmp::Reverse;

use linkme::distributed_slice;

use super::{
    ROUTING_POLICIES, RoutingCandidate, RoutingChoice, RoutingPlugin, RoutingPolicy, RoutingRequest,
};

/// Largest load of an eligible endpoint, in percent of the mean load of the fleet.
const MAX_LOAD_PERCENT: u64 = 150;

/// Prompt blocks whose processing takes about as long as waiting for a full batch of requests.
const BLOCKS_PER_FULL_BATCH: u64 = 64;

/// Prompt blocks whose processing takes about as long as loading an adapter.
const BLOCKS_PER_ADAPTER_LOAD: u64 = 8;

/// Chooses the endpoint with the least estimated work: uncached prompt blocks, an adapter that has
/// to be loaded, and the requests ahead in the queue.
///
/// Endpoints whose load far exceeds the mean are not eligible, so that a hot prefix cannot overload
/// the endpoint that caches it. Requests beyond this bound fill the caches of other endpoints.
/// Among equal endpoints, those in the failure domain of the entry process are preferred.
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
                let is_same_domain = candidate.failure_domain == request.failure_domain;
                (work_blocks(request, candidate), Reverse(is_same_domain))
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

/// Bound on the load of eligible endpoints, relative to the mean load of all candidates. The least
/// loaded candidate is always within it.
struct LoadBound {
    total_load: u64,
    total_concurrency: u64,
}

impl LoadBound {
    fn new(candidates: &[RoutingCandidate]) -> Self {
        Self {
            total_load: candidates
                .iter()
                .map(|c| u64::from(c.estimated_load()))
                .sum(),
            total_concurrency: candidates.iter().map(concurrency).sum(),
        }
    }

    /// Returns whether the load of a candidate is at most `MAX_LOAD_PERCENT` of the mean load for
    /// its concurrency, plus one request, which lets a nearly idle fleet use its caches.
    fn permits(&self, candidate: &RoutingCandidate) -> bool {
        let load = u64::from(candidate.estimated_load());
        load.saturating_sub(1) * self.total_concurrency * 100
            <= self.total_load * concurrency(candidate) * MAX_LOAD_PERCENT
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
        + load * BLOCKS_PER_FULL_BATCH / concurrency(candidate)
}
