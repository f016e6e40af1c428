//! Properties of every routing policy.

#![expect(clippy::unwrap_used, reason = "a missing value fails the test")]

use proptest::prelude::*;
use wasabipoint_kernel::{EndpointId, FailureDomain};
use wasabipoint_policy::{
    RoutingCandidate, RoutingRequest, build_routing_policy, routing_policy_names,
};

prop_compose! {
    fn candidate()(
        domain in 0_u32..3,
        local_in_flight in 0_u32..40,
        reported_load in 0_u32..40,
        concurrency in 0_u32..33,
        cached_blocks in 0_u32..200,
        has_adapter_loaded in any::<bool>(),
    ) -> RoutingCandidate {
        RoutingCandidate {
            endpoint: EndpointId::new("endpoint"),
            failure_domain: FailureDomain::new(format!("domain-{domain}")),
            local_in_flight,
            reported_load,
            report_age_ms: 0,
            concurrency,
            cached_blocks,
            has_adapter_loaded,
        }
    }
}

fn request(has_adapter: bool) -> RoutingRequest {
    RoutingRequest {
        failure_domain: FailureDomain::new("domain-0"),
        prompt_blocks: 100,
        has_adapter,
    }
}

fn idle_candidate() -> RoutingCandidate {
    RoutingCandidate {
        endpoint: EndpointId::new("endpoint"),
        failure_domain: FailureDomain::new("domain-1"),
        local_in_flight: 0,
        reported_load: 0,
        report_age_ms: 0,
        concurrency: 16,
        cached_blocks: 0,
        has_adapter_loaded: false,
    }
}

proptest! {
    // Guards against a policy that chooses no endpoint although candidates exist.
    #[test]
    fn a_candidate_is_always_chosen(
        candidates in proptest::collection::vec(candidate(), 0..12),
        has_adapter in any::<bool>(),
        tie_breaker in any::<u64>(),
    ) {
        for name in routing_policy_names() {
            let policy = build_routing_policy(name).unwrap();
            let choice = policy.choose(&request(has_adapter), &candidates, tie_breaker);
            prop_assert_eq!(choice.is_some(), !candidates.is_empty(), "{}", name);
            prop_assert!(choice.is_none_or(|c| c.index < candidates.len()), "{}", name);
        }
    }
}

// Guards against a hot prefix that overloads the only endpoint caching it.
#[test]
fn prefix_affinity_bounds_the_load_of_a_hot_prefix() {
    let policy = build_routing_policy("prefix_affinity").unwrap();
    let mut candidates = vec![idle_candidate(); 4];
    candidates[2].cached_blocks = 100;
    for tie_breaker in 0..64 {
        let choice = policy.choose(&request(false), &candidates, tie_breaker);
        candidates[choice.unwrap().index].local_in_flight += 1;
    }
    let hottest = candidates[2].local_in_flight;
    assert!((16..=25).contains(&hottest), "{hottest} of 64 requests");
}

// Guards against loading an adapter again, and against leaving the failure domain needlessly.
#[test]
fn prefix_affinity_counts_adapters_and_failure_domains() {
    let policy = build_routing_policy("prefix_affinity").unwrap();
    let mut candidates = vec![idle_candidate(); 4];
    candidates[3].failure_domain = FailureDomain::new("domain-0");
    for tie_breaker in 0..4 {
        let choice = policy.choose(&request(false), &candidates, tie_breaker);
        assert_eq!(choice.unwrap().index, 3);
    }
    candidates[1].has_adapter_loaded = true;
    let choice = policy.choose(&request(true), &candidates, 0);
    assert_eq!(choice.unwrap().index, 1);
}
