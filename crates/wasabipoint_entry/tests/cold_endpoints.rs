//! Selection among cold and warm endpoints, without network.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_entry::{Endpoints, HomeRegions, ReportedLoad, SelectionCriteria};
use wasabipoint_kernel::{
    CallerLimits, ColdLimit, Deployment, EndpointId, FailureDomain, ForwardService, Incarnation,
    ServiceName, SoftwareVersion,
};
use wasabipoint_rpc::{ColdDirective, EndpointKind, EndpointView, FleetView, LimitDirective};

const SERVICE: &str = "books";

const START_MS: u64 = 20_000;

fn endpoint(name: &str, domain: &str, incarnation: u64) -> EndpointView {
    EndpointView {
        id: EndpointId::new(name),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:9".parse().expect("the address is well formed"),
        failure_domain: FailureDomain::new(domain),
        kind: EndpointKind::Service,
        service: ServiceName::new(SERVICE),
        models: Vec::new(),
        concurrency: 32,
        is_leaving: false,
        software_version: SoftwareVersion::new("v1"),
    }
}

fn fleet(has_cold_limit: bool, endpoints: &[EndpointView]) -> FleetView {
    let service = ForwardService {
        name: ServiceName::new(SERVICE),
        max_connections: 100,
        engine: None,
        cold_limit: has_cold_limit.then_some(ColdLimit {
            start_ms: START_MS,
            requests_per_1000_s: 4_000,
        }),
    };
    let deployment = Deployment {
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
    };
    let mut view = FleetView::new();
    view.deployment = Some(Box::new(deployment));
    view.endpoints = endpoints
        .iter()
        .map(|endpoint| (endpoint.id.clone(), endpoint.clone()))
        .collect();
    view
}

/// The leader's reply that an endpoint is cold for `remaining_ms`.
fn directive(
    endpoint: &EndpointView,
    remaining_ms: u64,
    age_ms: u64,
    permissions: u32,
) -> LimitDirective {
    LimitDirective {
        endpoint: endpoint.id.clone(),
        incarnation: endpoint.incarnation,
        limit_per_1000_s: None,
        age_ms: u64::MAX,
        permissions,
        lifetime_ms: 500,
        ready_in_ms: 300,
        cold: Some(ColdDirective {
            remaining_ms,
            age_ms,
            issued_per_1000_s: 3_000,
            has_share: false,
        }),
    }
}

fn take(endpoints: &mut Endpoints, now_ms: u64) -> Option<String> {
    let (service, tried) = (ServiceName::new(SERVICE), BTreeSet::new());
    let criteria = SelectionCriteria {
        service: &service,
        model: None,
        prompt_parts: &[],
        tried: &tried,
        homes: HomeRegions::default(),
        software_version: None,
        begins_stream: false,
        random: 0,
        work: wasabipoint_policy::RequestWork::default(),
    };
    let selected = endpoints.take(&criteria, now_ms)?;
    Some(selected.endpoint.id.as_str().to_owned())
}

fn set_load(endpoints: &mut Endpoints, endpoint: &EndpointView, running: u32, now_ms: u64) {
    let load = ReportedLoad {
        work_time_percent: None,
        running,
        waiting: 0,
        slots: 32,
    };
    endpoints.record_load(&endpoint.id, endpoint.incarnation, load, now_ms);
}

/// A process that has learnt from the leader that its first endpoints are not cold.
fn started(views: &[EndpointView]) -> Endpoints {
    let mut endpoints = Endpoints::new(FailureDomain::new("here"));
    endpoints.update_fleet(&fleet(true, views), 1_000);
    let answers: Vec<_> = views.iter().map(|view| directive(view, 0, 0, 0)).collect();
    endpoints.apply_limits(&answers, 1, 1_000, 1_010);
    endpoints
}

/// Guards against presumptions and reports in deployments that have no limit for cold endpoints.
#[test]
fn without_a_cold_limit_nothing_is_presumed_or_reported() {
    let (old, new) = (endpoint("a", "here", 1), endpoint("b", "here", 1));
    let mut endpoints = Endpoints::new(FailureDomain::new("here"));
    endpoints.update_fleet(&fleet(false, std::slice::from_ref(&old)), 1_000);
    let mut view = fleet(false, &[old, new.clone()]);
    view.out_of_service.insert(FailureDomain::new("here"));
    endpoints.update_fleet(&view, 2_000);
    view.out_of_service.clear();
    endpoints.update_fleet(&view, 3_000);
    endpoints.record_response(&new.id, new.incarnation, Some(10_000), 3_000);
    assert!(!endpoints.has_limits());
    assert!(endpoints.take_limit_reports(3_000).is_empty());
    assert!(endpoints.take_cold_changes(3_000).is_empty());
    assert!(take(&mut endpoints, 3_000).is_some());
}

/// Guards against requests to a process's first endpoints before the leader said which of them are
/// cold, and against a process that serves nothing because the leader never says.
#[test]
fn a_new_process_asks_which_endpoints_are_cold() {
    let view = endpoint("a", "here", 1);
    let mut endpoints = Endpoints::new(FailureDomain::new("here"));
    endpoints.update_fleet(&fleet(true, std::slice::from_ref(&view)), 1_000);
    assert_eq!(take(&mut endpoints, 1_010), None);
    let reports = endpoints.take_limit_reports(1_020);
    assert_eq!(reports.len(), 1);
    assert_eq!((reports[0].wanted, reports[0].cold), (1, None));
    endpoints.apply_limits(&[directive(&view, 0, 5_000, 0)], 4, 1_020, 1_030);
    assert_eq!(take(&mut endpoints, 1_040).as_deref(), Some("a"));
    let mut silent = Endpoints::new(FailureDomain::new("here"));
    silent.update_fleet(&fleet(true, std::slice::from_ref(&view)), 1_000);
    assert_eq!(take(&mut silent, 3_900), None);
    assert_eq!(take(&mut silent, 4_100).as_deref(), Some("a"));
}

/// Guards against a burst of requests to an incarnation that has just started, and against a
/// presumption that outlasts the cold time of the service.
#[test]
fn a_new_incarnation_is_presumed_cold() {
    let mut endpoints = started(&[endpoint("a", "here", 1)]);
    assert_eq!(take(&mut endpoints, 1_500).as_deref(), Some("a"));
    let restarted = endpoint("a", "here", 2);
    endpoints.update_fleet(&fleet(true, std::slice::from_ref(&restarted)), 2_000);
    assert_eq!(take(&mut endpoints, 2_010), None);
    let changes = endpoints.take_cold_changes(2_010);
    assert_eq!(changes.len(), 1);
    assert_eq!(
        (changes[0].is_cold, changes[0].source.as_str()),
        (true, "presumed")
    );
    let answer = directive(&restarted, 19_000, 0, 1);
    endpoints.apply_limits(std::slice::from_ref(&answer), 4, 2_100, 2_110);
    assert_eq!(take(&mut endpoints, 2_200).as_deref(), Some("a"));
    assert_eq!(take(&mut endpoints, 2_210), None, "the permission is used");
    endpoints.apply_limits(&[answer], 4, 2_300, 2_310);
    assert_eq!(take(&mut endpoints, 2_810), None, "the permission expired");
    assert_eq!(take(&mut endpoints, 22_400).as_deref(), Some("a"));
}

/// Guards against a burst of requests to a failure domain that returns to service, and against a
/// directory page of the time before that ends the presumption.
#[test]
fn the_endpoints_of_a_returned_failure_domain_are_presumed_cold() {
    let (here, far) = (endpoint("a", "here", 1), endpoint("b", "far", 1));
    let mut endpoints = started(&[here.clone(), far.clone()]);
    let mut view = fleet(true, &[here.clone(), far.clone()]);
    view.out_of_service.insert(FailureDomain::new("far"));
    endpoints.update_fleet(&view, 5_000);
    view.out_of_service.clear();
    endpoints.update_fleet(&view, 9_000);
    set_load(&mut endpoints, &here, 30, 9_000);
    assert_eq!(take(&mut endpoints, 9_010).as_deref(), Some("a"));
    // Pages fetched 0.5 s and 0.9 s after the return, and one 1.2 s after it.
    endpoints.apply_limits(&[directive(&far, 0, 500, 0)], 1, 10_000, 10_010);
    endpoints.apply_limits(&[directive(&far, 0, 100, 0)], 1, 10_000, 10_010);
    set_load(&mut endpoints, &here, 30, 10_010);
    assert_eq!(take(&mut endpoints, 10_020).as_deref(), Some("a"));
    let (_, may_send) = endpoints.apply_limits(&[directive(&far, 0, 0, 0)], 1, 10_200, 10_210);
    assert!(may_send, "requests that wait are woken");
    set_load(&mut endpoints, &here, 30, 10_210);
    assert_eq!(take(&mut endpoints, 10_220).as_deref(), Some("b"));
}

/// Guards against cold endpoints that take the requests of idle warm ones, and against ones that
/// stay cold because they never get any.
#[test]
fn a_cold_endpoint_is_used_only_when_warm_ones_are_loaded_more() {
    let (warm, cold) = (endpoint("warm", "far", 1), endpoint("cold", "here", 1));
    let mut endpoints = started(&[warm.clone(), cold.clone()]);
    endpoints.record_response(&cold.id, cold.incarnation, Some(10_000), 2_000);
    let answer = directive(&cold, 9_900, 0, 2);
    endpoints.apply_limits(std::slice::from_ref(&answer), 1, 2_100, 2_110);
    set_load(&mut endpoints, &warm, 0, 2_110);
    set_load(&mut endpoints, &cold, 0, 2_110);
    assert_eq!(take(&mut endpoints, 2_120).as_deref(), Some("warm"));
    set_load(&mut endpoints, &warm, 20, 2_120);
    assert_eq!(take(&mut endpoints, 2_130).as_deref(), Some("cold"));
    assert_eq!(take(&mut endpoints, 2_140).as_deref(), Some("cold"));
    assert_eq!(take(&mut endpoints, 2_150).as_deref(), Some("warm"));
    let reports = endpoints.take_limit_reports(2_200);
    let report = reports.iter().find(|report| report.endpoint == cold.id);
    let report = report.expect("the cold endpoint is reported");
    assert_eq!(report.wanted, 1, "one request found no permission");
    assert!(report.cold.is_some_and(|cold| cold.remaining_ms > 9_000));
}

/// Guards against a request that is held until its deadline although no permission can come: the
/// leader is silent and this process has no share.
#[test]
fn without_a_leader_and_a_share_the_end_of_the_cold_time_is_announced() {
    let mut endpoints = started(&[endpoint("a", "here", 1)]);
    let restarted = endpoint("a", "here", 2);
    endpoints.update_fleet(&fleet(true, std::slice::from_ref(&restarted)), 2_000);
    endpoints.apply_limits(&[directive(&restarted, 20_000, 0, 0)], 4, 2_100, 2_100);
    let (service, tried) = (ServiceName::new(SERVICE), BTreeSet::new());
    let criteria = SelectionCriteria {
        service: &service,
        model: None,
        prompt_parts: &[],
        tried: &tried,
        homes: HomeRegions::default(),
        software_version: None,
        begins_stream: false,
        random: 0,
        work: wasabipoint_policy::RequestWork::default(),
    };
    assert_eq!(
        endpoints.permission_ready_in_ms(&criteria, 2_200),
        Some(200)
    );
    assert!(endpoints.has_cold(&criteria, 2_200));
    let ready_in_ms = endpoints.permission_ready_in_ms(&criteria, 4_000);
    assert!(ready_in_ms.is_some_and(|ready_in_ms| ready_in_ms > 17_000));
}

/// Guards against a cold limit that outlasts its removal from the configuration.
#[test]
fn a_cold_time_ends_with_the_limit_of_the_service() {
    let view = endpoint("a", "here", 1);
    let mut endpoints = started(std::slice::from_ref(&view));
    endpoints.record_response(&view.id, view.incarnation, Some(60_000), 2_000);
    assert_eq!(take(&mut endpoints, 2_010), None);
    endpoints.update_fleet(&fleet(false, &[view]), 3_000);
    assert_eq!(take(&mut endpoints, 3_010).as_deref(), Some("a"));
}

/// Guards against a burst to an endpoint that restarted under its id, before the directory lists the
/// new incarnation, and against one that is no longer used although it responds.
#[test]
fn after_a_lost_connection_one_request_finds_out_whether_the_endpoint_is_cold() {
    let view = endpoint("a", "here", 1);
    let mut endpoints = started(std::slice::from_ref(&view));
    endpoints.record_lost_connection(&view.id, view.incarnation);
    assert_eq!(take(&mut endpoints, 2_000).as_deref(), Some("a"));
    assert_eq!(take(&mut endpoints, 2_010), None);
    assert_eq!(take(&mut endpoints, 3_010).as_deref(), Some("a"));
    endpoints.record_response(&view.id, view.incarnation, Some(9_000), 3_050);
    assert_eq!(take(&mut endpoints, 5_000), None, "the endpoint is cold");
    let mut warm = started(std::slice::from_ref(&view));
    warm.record_unreachable(&view.id, view.incarnation, 2_000);
    assert_eq!(take(&mut warm, 2_010).as_deref(), Some("a"));
    assert_eq!(take(&mut warm, 2_020), None);
    warm.record_response(&view.id, view.incarnation, None, 2_050);
    assert_eq!(take(&mut warm, 2_060).as_deref(), Some("a"));
    assert_eq!(take(&mut warm, 2_070).as_deref(), Some("a"));
}
