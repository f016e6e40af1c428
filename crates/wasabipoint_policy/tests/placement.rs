//! Safety and liveness of every placement policy.

#![expect(clippy::unwrap_used, reason = "a missing value fails the test")]

#[path = "fixtures/placement.rs"]
mod fixtures;

use proptest::prelude::*;
use wasabipoint_kernel::ModelName;
use wasabipoint_policy::{
    DemandSample, GrantState, PlacementDecision, PlacementPolicy, PlacementView,
    build_placement_policy, placement_policy_names,
};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    // Guards against decisions that exceed memory, replica or store limits or use leaving
    // endpoints.
    #[test]
    fn decisions_stay_within_limits(view in fixtures::any_view(), cycle_count in 0_usize..4) {
        for name in placement_policy_names() {
            let mut policy = build_placement_policy(name).unwrap();
            train_policy(policy.as_mut(), &view, cycle_count);
            let decisions = policy.decide(&view);
            if let Err(violation) = fixtures::check_limits(&view, &decisions) {
                prop_assert!(false, "{name}: {violation}: {decisions:?}");
            }
        }
    }

    // Guards against starvation of a waiting model although memory for it could be released.
    #[test]
    fn every_waiting_model_is_served(start in fixtures::any_view()) {
        for name in placement_policy_names() {
            let mut view = start.clone();
            make_serviceable(&mut view);
            let mut policy = build_placement_policy(name).unwrap();
            for _ in 0..600 {
                view.store.loads_allowed = 2;
                let decisions = policy.decide(&view);
                let checked = fixtures::check_limits(&view, &decisions);
                prop_assert!(checked.is_ok(), "{name}: {checked:?}");
                fixtures::advance(&mut view, &decisions, 5_000);
            }
            let waiting: Vec<_> = view.models.iter().filter(|m| m.queued > 0).collect();
            prop_assert!(waiting.is_empty(), "{name}: {waiting:?} in {view:?}");
        }
    }
}

// Guards against a cold start at a time of day at which the model was requested before.
#[test]
fn demand_profile_loads_ahead_after_restore() {
    let mut view = fixtures::empty_fleet(&[(80, 0), (80, 1)]);
    view.models = vec![fixtures::idle_model("morning", 40)];
    let mut trained = build_placement_policy("demand_profile").unwrap();
    trained.decide(&view);
    for _ in 0..2 {
        observe(trained.as_mut(), 21_600_000, &["morning"]);
        observe(trained.as_mut(), 22_000_000, &[]);
    }
    let mut policy = build_placement_policy("demand_profile").unwrap();
    policy.restore(&trained.save());
    view.cycle_ms = 18_000_000;
    assert_eq!(loads(&policy.decide(&view)), 0);
    view.cycle_ms = 21_300_000;
    assert_eq!(loads(&policy.decide(&view)), 1);
}

// Guards against a policy that fails on, or restores, bytes of another policy or format version.
#[test]
fn demand_profile_ignores_foreign_bytes() {
    let mut policy = build_placement_policy("demand_profile").unwrap();
    policy.decide(&fixtures::empty_fleet(&[(80, 0)]));
    observe(policy.as_mut(), 0, &["morning"]);
    let saved = policy.save();
    let mut other_version = saved.clone();
    other_version["demand_profile".len()] += 1;
    let truncated = &saved[..saved.len() - 1];
    for foreign in [&b""[..], b"keep_loaded", &other_version, truncated] {
        policy.restore(foreign);
        assert_eq!(policy.save(), saved);
    }
}

// Guards against an unbounded number of accelerators that idle for models with unpredicted demand.
#[test]
fn demand_profile_bounds_the_reserve() {
    let mut view = fixtures::empty_fleet(&[(80, 0), (80, 1), (80, 2), (80, 3)]);
    view.models = (0..8)
        .map(|index| fixtures::idle_model(&format!("rare-{index}"), 40))
        .collect();
    let mut policy = build_placement_policy("demand_profile").unwrap();
    policy.decide(&view);
    for _ in 0..4 {
        observe(policy.as_mut(), 0, &[]);
        observe(policy.as_mut(), 43_200_000, &[]);
    }
    for _ in 0..1_000 {
        let decisions = policy.decide(&view);
        fixtures::advance(&mut view, &decisions, 2_000);
    }
    assert_eq!(
        view.grants.len(),
        2,
        "a quarter of 320 MiB holds two models"
    );
}

// Guards against losing both replicas of a model with one failure domain.
#[test]
fn demand_profile_spreads_replicas_over_failure_domains() {
    let mut view = fixtures::empty_fleet(&[(80, 0), (80, 0), (80, 1)]);
    view.models = vec![fixtures::idle_model("busy", 40)];
    view.models[0].queued = 1;
    let mut policy = build_placement_policy("demand_profile").unwrap();
    for _ in 0..10 {
        let decisions = policy.decide(&view);
        fixtures::advance(&mut view, &decisions, 2_000);
        view.models[0].in_flight = 30;
    }
    let domain = |index: usize| {
        let endpoint = &view.grants[index].endpoint;
        let mut endpoints = view.endpoints.iter();
        &endpoints
            .find(|e| e.id == *endpoint)
            .unwrap()
            .failure_domain
    };
    assert_eq!(view.grants.len(), 2);
    assert_ne!(domain(0), domain(1));
}

/// Lets a policy observe cycles in which every model is requested once, each in another slot.
fn train_policy(policy: &mut dyn PlacementPolicy, view: &PlacementView, cycles: usize) {
    policy.decide(view);
    for _ in 0..cycles {
        for (slot, model) in view.models.iter().enumerate() {
            let cycle_ms = view.cycle_ms + slot as u64 * 300_000;
            observe(policy, cycle_ms, &[model.name.as_str()]);
        }
        observe(policy, view.cycle_ms + 43_200_000, &[]);
    }
}

fn observe(policy: &mut dyn PlacementPolicy, cycle_ms: u64, arrived: &[&str]) {
    policy.observe(&DemandSample {
        cycle_ms,
        interval_ms: 1_000,
        arrived: arrived.iter().map(|m| (ModelName::new(*m), 3)).collect(),
        largest_customer: None,
    });
}

/// Makes it possible to serve every model: running requests have ended, no grant is in doubt, and
/// one placeable endpoint, without grants if there is such a one, has memory for any model.
fn make_serviceable(view: &mut PlacementView) {
    for model in &mut view.models {
        model.in_flight = 0;
    }
    let held: Vec<_> = view.grants.iter().map(|g| g.endpoint.clone()).collect();
    let mut endpoints = view.endpoints.iter();
    let free = endpoints.position(|e| !held.contains(&e.id));
    let index = free.unwrap_or(0);
    let endpoint = &mut view.endpoints[index];
    endpoint.is_placeable = true;
    endpoint.free_mib += 120_u64.saturating_sub(endpoint.memory_mib);
    endpoint.memory_mib = endpoint.memory_mib.max(120);
    for grant in &mut view.grants {
        if grant.state == GrantState::InDoubt {
            grant.state = GrantState::Loaded;
        }
    }
    view.store.loads_running = 0;
}

fn loads(decisions: &[PlacementDecision]) -> usize {
    let loads = decisions.iter();
    loads
        .filter(|d| matches!(d, PlacementDecision::Load { .. }))
        .count()
}
