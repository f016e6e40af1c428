//! What the leader concludes about cold endpoints from directory, view and reports.

use std::collections::BTreeMap;

use wasabipoint_control::{ColdEndpoints, EndpointKey};
use wasabipoint_kernel::{
    CallerLimits, ColdLimit, Deployment, EndpointId, FailureDomain, ForwardService, Incarnation,
    ServiceName, SoftwareVersion,
};
use wasabipoint_rpc::{ColdReport, EndpointKind, EndpointView, FleetView};

/// A time well after the beginning of the term.
const NOW_MS: u64 = 1_010_000;

const START_MS: u64 = 20_000;

fn endpoint(name: &str, domain: &str) -> EndpointView {
    EndpointView {
        id: EndpointId::new(name),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9".parse().expect("the address is well formed"),
        failure_domain: FailureDomain::new(domain),
        kind: EndpointKind::Service,
        service: ServiceName::new("books"),
        models: Vec::new(),
        concurrency: 32,
        is_leaving: false,
        software_version: SoftwareVersion::new("v1"),
    }
}

fn key(endpoint: &EndpointView) -> EndpointKey {
    (endpoint.id.clone(), endpoint.incarnation)
}

fn fleet(endpoints: &[&EndpointView]) -> FleetView {
    let service = ForwardService {
        name: ServiceName::new("books"),
        max_connections: 100,
        engine: None,
        cold_limit: Some(ColdLimit {
            start_ms: START_MS,
            requests_per_1000_s: 4_000,
        }),
    };
    let mut view = FleetView::new();
    view.deployment = Some(Box::new(Deployment {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(service.name.clone(), service)]),
        customers: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
    }));
    let endpoints = endpoints.iter();
    view.endpoints = endpoints
        .map(|endpoint| (endpoint.id.clone(), (*endpoint).clone()))
        .collect();
    view
}

fn remaining_ms(cold: &ColdEndpoints, endpoint: &EndpointView, now_ms: u64) -> u64 {
    let statement = cold.statement(&key(endpoint), true);
    statement.map_or(0, |statement| statement.remaining_ms(now_ms))
}

/// Guards against endpoints of a returned failure domain that get all requests at once, and against
/// a page that was fetched before the return, or just after it, that ends the presumption.
#[test]
fn a_returned_failure_domain_is_presumed_cold() {
    let (here, far) = (endpoint("a", "here"), endpoint("b", "far"));
    let mut view = fleet(&[&here, &far]);
    view.out_of_service.insert(FailureDomain::new("far"));
    let mut cold = ColdEndpoints::default();
    cold.observe_domains(&view, NOW_MS);
    view.out_of_service.clear();
    cold.observe_domains(&view, NOW_MS + 100);
    assert_eq!(remaining_ms(&cold, &far, NOW_MS + 100), START_MS);
    assert_eq!(remaining_ms(&cold, &here, NOW_MS + 100), 0);
    let listed = [here.clone(), far.clone()];
    let warm = BTreeMap::from([(key(&far), 0)]);
    for fetched_ms in [NOW_MS + 50, NOW_MS + 900] {
        cold.record_list(&listed, &warm, &view, fetched_ms, fetched_ms + 100);
        assert!(remaining_ms(&cold, &far, NOW_MS + 1_000) > 19_000);
    }
    cold.record_list(&listed, &warm, &view, NOW_MS + 1_200, NOW_MS + 1_300);
    assert_eq!(remaining_ms(&cold, &far, NOW_MS + 1_300), 0);
}

/// Guards against failure domains that count as returned because the leader is new.
#[test]
fn a_new_leader_presumes_nothing_about_domains_in_service() {
    let here = endpoint("a", "here");
    let view = fleet(&[&here]);
    let mut cold = ColdEndpoints::default();
    cold.observe_domains(&view, NOW_MS);
    let listed = std::slice::from_ref(&here);
    cold.record_list(listed, &BTreeMap::new(), &view, NOW_MS, NOW_MS);
    assert_eq!(remaining_ms(&cold, &here, NOW_MS), 0);
    let unasked = cold.statement(&key(&here), false);
    assert!(unasked.is_some_and(|statement| !statement.is_cold(NOW_MS)));
}

/// Guards against a burst to a new endpoint that the directory says nothing about, and against the
/// presumption that the endpoints of a system that starts are all cold.
#[test]
fn a_new_endpoint_is_presumed_cold_unless_the_directory_states_it() {
    let (old, new) = (endpoint("a", "here"), endpoint("b", "here"));
    let listed = [old.clone(), new.clone()];
    let view = fleet(&[&old]);
    let mut silent = ColdEndpoints::default();
    silent.record_list(&listed, &BTreeMap::new(), &view, NOW_MS, NOW_MS);
    assert_eq!(remaining_ms(&silent, &new, NOW_MS), START_MS);
    assert_eq!(remaining_ms(&silent, &old, NOW_MS), 0);
    // The endpoint is part of the view from now on, and the presumption is kept.
    let view = fleet(&[&old, &new]);
    silent.record_list(&listed, &BTreeMap::new(), &view, NOW_MS + 500, NOW_MS + 500);
    assert_eq!(remaining_ms(&silent, &new, NOW_MS + 500), START_MS - 500);
    let mut stated = ColdEndpoints::default();
    let remaining = BTreeMap::from([(key(&new), 7_000)]);
    stated.record_list(&listed, &remaining, &fleet(&[&old]), NOW_MS, NOW_MS + 100);
    assert_eq!(remaining_ms(&stated, &new, NOW_MS + 100), 6_900);
    let (_, known) = stated
        .iter()
        .find(|(known, _)| **known == key(&new))
        .expect("the endpoint is known");
    assert!(known.has_begun_in_term);
    let mut starting = ColdEndpoints::default();
    starting.record_list(&listed, &BTreeMap::new(), &fleet(&[]), NOW_MS, NOW_MS);
    assert_eq!(remaining_ms(&starting, &new, NOW_MS), 0);
}

/// Guards against a new leader that forgets a presumption because only entry processes know of it,
/// and against shares that it assigns although an earlier leader may have.
#[test]
fn a_new_leader_learns_cold_times_from_entry_processes() {
    let only = endpoint("a", "here");
    let mut cold = ColdEndpoints::default();
    let report = ColdReport {
        remaining_ms: 8_000,
        age_ms: 3_000,
    };
    cold.record_report(key(&only), report, NOW_MS);
    assert_eq!(remaining_ms(&cold, &only, NOW_MS), 8_000);
    assert!(cold.iter().all(|(_, known)| !known.has_begun_in_term));
    let older = ColdReport {
        remaining_ms: 0,
        age_ms: 4_000,
    };
    cold.record_report(key(&only), older, NOW_MS);
    assert_eq!(remaining_ms(&cold, &only, NOW_MS), 8_000);
}

/// Guards against memory for endpoints that are gone.
#[test]
fn endpoints_that_are_gone_are_forgotten() {
    let only = endpoint("a", "here");
    let remaining = BTreeMap::from([(key(&only), 7_000)]);
    let mut cold = ColdEndpoints::default();
    let view = fleet(&[&only]);
    cold.record_list(&[only], &remaining, &view, NOW_MS, NOW_MS);
    assert_eq!(cold.iter().count(), 1);
    cold.record_list(
        &[],
        &BTreeMap::new(),
        &fleet(&[]),
        NOW_MS + 500,
        NOW_MS + 500,
    );
    assert_eq!(cold.iter().count(), 0);
}
