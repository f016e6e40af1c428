//! Decisions of a forwarding entry process that need no network: which endpoint, which route,
//! which repeat, which part of a stream.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use wasabipoint_entry::{
    Endpoints, EventSplitter, ReportedLoad, RetryBudget, RouteTable, SelectionCriteria,
    pick_service,
};
use wasabipoint_kernel::{
    CallerLimits, Deployment, EndpointId, FailureDomain, ForwardRoute, Incarnation, ModelName,
    RouteName, RunPolicy, ServiceName,
};
use wasabipoint_rpc::{EndpointKind, EndpointView};

fn endpoint(name: &str, domain: &str, models: &[&str]) -> EndpointView {
    EndpointView {
        endpoint: EndpointId::new(name),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9".parse().expect("the address is well formed"),
        failure_domain: FailureDomain::new(domain),
        kind: EndpointKind::Engine,
        service: ServiceName::new("assistant"),
        models: models.iter().map(|model| ModelName::new(*model)).collect(),
        concurrency: 64,
        is_leaving: false,
    }
}

fn endpoints(views: &[EndpointView]) -> Endpoints {
    let mut endpoints = Endpoints::new(FailureDomain::new("here"));
    let views = views
        .iter()
        .map(|view| (view.endpoint.clone(), view.clone()));
    endpoints.update(&views.collect());
    endpoints
}

struct Asking {
    service: ServiceName,
    model: ModelName,
    tried: BTreeSet<EndpointId>,
    parts: Vec<(u64, u64)>,
}

impl Asking {
    fn new(model: &str) -> Self {
        Self {
            service: ServiceName::new("assistant"),
            model: ModelName::new(model),
            tried: BTreeSet::new(),
            parts: Vec::new(),
        }
    }

    fn need(&self) -> SelectionCriteria<'_> {
        SelectionCriteria {
            service: &self.service,
            model: Some(&self.model),
            parts: &self.parts,
            tried: &self.tried,
            draw: 0,
        }
    }

    fn choose(&self, endpoints: &Endpoints, now_ms: u64) -> Option<String> {
        let choice = endpoints.choose(&self.need(), now_ms)?;
        Some(choice.endpoint.endpoint.as_str().to_owned())
    }
}

/// Guards against requests to endpoints that leave, lack the model or were tried.
#[test]
fn only_endpoints_that_can_serve_are_chosen() {
    let mut leaving = endpoint("leaving", "here", &["m"]);
    leaving.is_leaving = true;
    let views = [
        leaving,
        endpoint("other", "here", &["n"]),
        endpoint("good", "far", &["m"]),
    ];
    let endpoints = endpoints(&views);
    let mut asking = Asking::new("m");
    assert_eq!(asking.choose(&endpoints, 0).as_deref(), Some("good"));
    asking.tried.insert(EndpointId::new("good"));
    assert_eq!(asking.choose(&endpoints, 0), None);
}

/// Pattern: one endpoint is loaded by other entry processes. Guards against a choice by own
/// requests only.
#[test]
fn the_load_that_an_endpoint_reports_moves_requests_away() {
    let views = [endpoint("a", "here", &["m"]), endpoint("b", "here", &["m"])];
    let mut endpoints = endpoints(&views);
    let load = ReportedLoad {
        running: 40,
        waiting: 3,
        slots: 64,
    };
    endpoints.report(&EndpointId::new("a"), Incarnation(1), load, 1_000);
    let asking = Asking::new("m");
    assert_eq!(asking.choose(&endpoints, 1_100).as_deref(), Some("b"));
}

/// Pattern: a crashed endpoint that stays listed. Guards against a failure that control is not told
/// of, and against one that is told after the endpoint answers again or starts anew.
#[test]
fn an_endpoint_is_reported_unreachable_until_it_answers() {
    let views = [endpoint("a", "here", &["m"]), endpoint("b", "here", &["m"])];
    let mut endpoints = endpoints(&views);
    let (id, run) = (EndpointId::new("a"), Incarnation(1));
    assert!(endpoints.record_unreachable(&id, run, 1_000));
    assert!(!endpoints.record_unreachable(&id, run, 1_100), "not news");
    assert!(!endpoints.record_unreachable(&id, Incarnation(2), 1_100));
    assert_eq!(endpoints.unreachable(2_000), [(id.clone(), run)]);
    assert!(endpoints.unreachable(4_000).is_empty());
    endpoints.record_unreachable(&id, run, 4_000);
    let load = ReportedLoad {
        running: 1,
        waiting: 0,
        slots: 64,
    };
    endpoints.report(&id, run, load, 4_100);
    assert!(endpoints.unreachable(4_100).is_empty());
}

/// Pattern: callers of one prompt. Guards against prompts that are read anew at each endpoint, and
/// against a locality that outweighs a real difference in load.
#[test]
fn a_cached_prompt_part_wins_until_the_load_differs_much() {
    let views = [endpoint("a", "here", &["m"]), endpoint("b", "here", &["m"])];
    let mut endpoints = endpoints(&views);
    let mut asking = Asking::new("m");
    asking.parts = vec![(7, 100)];
    endpoints.begin(&views[1], &asking.need(), 0);
    assert_eq!(asking.choose(&endpoints, 10).as_deref(), Some("b"));
    for _ in 0..10 {
        endpoints.begin(&views[1], &asking.need(), 0);
    }
    assert_eq!(asking.choose(&endpoints, 10).as_deref(), Some("a"));
}

/// Guards against an endpoint that failed a moment ago being chosen before a sound one, and against
/// it being refused when there is no other.
#[test]
fn a_failed_endpoint_is_avoided_and_not_excluded() {
    let views = [endpoint("a", "here", &["m"]), endpoint("b", "far", &["m"])];
    let mut both = endpoints(&views);
    both.avoid(&EndpointId::new("a"), Incarnation(1), 0);
    let asking = Asking::new("m");
    assert_eq!(asking.choose(&both, 100).as_deref(), Some("b"));
    let mut one = endpoints(&views[..1]);
    one.avoid(&EndpointId::new("a"), Incarnation(1), 0);
    assert_eq!(asking.choose(&one, 100).as_deref(), Some("a"));
}

/// Guards against what was known of an endpoint being applied to its successor under the same id.
#[test]
fn a_new_incarnation_starts_afresh() {
    let view = endpoint("a", "here", &["m"]);
    let mut endpoints = endpoints(std::slice::from_ref(&view));
    endpoints.record_missing_model(&view.endpoint, &ModelName::new("m"), 0);
    let asking = Asking::new("m");
    assert_eq!(asking.choose(&endpoints, 10), None);
    let mut next = view;
    next.incarnation = Incarnation(2);
    endpoints.update(&BTreeMap::from([(next.endpoint.clone(), next)]));
    assert_eq!(asking.choose(&endpoints, 10).as_deref(), Some("a"));
}

/// Pattern: every request fails. Guards against failures that multiply the load on a service.
#[test]
fn repeats_stay_below_a_fifth_of_the_requests() {
    let service = ServiceName::new("assistant");
    let mut budget = RetryBudget::default();
    let mut repeats = 0;
    for request in 0..1_000_u64 {
        budget.count_request(&service, request * 10);
        if budget.try_take_retry(&service, request * 10) {
            repeats += 1;
        }
    }
    assert!((100..200).contains(&repeats), "{repeats} repeats of 1000");
    let later_ms = 60_000;
    let idle = (0..50).filter(|_| budget.try_take_retry(&service, later_ms));
    assert!(idle.count() <= 3);
}

/// Guards against pieces of events that reach a caller before a stream is continued elsewhere.
#[test]
fn only_whole_events_pass() {
    let mut events = EventSplitter::default();
    assert_eq!(
        events.push(Bytes::from("id: 1\ndata: a\n\nid: 2\nda")),
        "id: 1\ndata: a\n\n"
    );
    assert_eq!(events.last_id(), Some(1));
    assert!(events.has_partial());
    assert_eq!(events.push(Bytes::from("ta: b\n\n")), "id: 2\ndata: b\n\n");
    assert_eq!(events.last_id(), Some(2));
    assert_eq!(events.push(Bytes::from("id: 3\nda")), "");
    events.discard_partial();
    assert_eq!(
        events.push(Bytes::from("id: 3\ndata: c\n\n")),
        "id: 3\ndata: c\n\n"
    );
}

fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> ForwardRoute {
    ForwardRoute {
        name: RouteName::new(name),
        host: "app.example".to_owned(),
        path_prefix: prefix.to_owned(),
        run_policy: RunPolicy::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 300,
        max_gap_ms: 0,
        priority: 0,
        services: services
            .iter()
            .map(|(service, weight)| (ServiceName::new(*service), *weight))
            .collect(),
        max_attempts: 2,
        is_open: false,
        is_cacheable: false,
    }
}

/// Guards against a shorter prefix winning, and against routes of another host.
#[test]
fn the_longest_prefix_of_the_host_is_the_route() {
    let table = RouteTable::new(Box::new(Deployment {
        version: 1,
        routes: vec![
            route("short", "/a/", &[("s", 1)]),
            route("long", "/a/b/", &[("s", 1)]),
        ],
        services: BTreeMap::new(),
        customers: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
    }));
    let name = |host: &str, path: &str| {
        let route = table.route(host, path)?;
        Some(route.name.as_str().to_owned())
    };
    assert_eq!(name("app.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("APP.example:80", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("app.example", "/ab/"), None);
    assert_eq!(name("other.example", "/a/b/"), None);
}

/// Guards against a service with weight 0 that gets traffic.
#[test]
fn services_share_a_route_by_weight() {
    let route = route("split", "/a/", &[("none", 0), ("most", 90), ("few", 10)]);
    let mut counts = BTreeMap::new();
    for draw in 0..1_000 {
        let service = pick_service(&route, draw).expect("the weights have a sum");
        *counts.entry(service.as_str()).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([("few", 100), ("most", 900)]));
}
