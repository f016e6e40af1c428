//! Policies of a forwarding entry process that need no network: endpoint selection, routing, the
//! retry budget and event splitting.

#[path = "forward_policies/domains.rs"]
mod domains;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use wasabipoint_entry::{
    Endpoints, EventSplitter, HomeRegions, NotResumed, ReportedLoad, RequestLimit, RetryBudget,
    RouteTable, SelectionCriteria, pick_service,
};
use wasabipoint_kernel::{
    CallerLimits, Deployment, EndpointId, FailureDomain, ForwardRoute, Incarnation, ModelName,
    RouteName, RunPolicy, ServiceName, SoftwareVersion,
};
use wasabipoint_policy::RequestWork;
use wasabipoint_rpc::{EndpointKind, EndpointView, LimitDirective};

fn endpoint(name: &str, domain: &str, models: &[&str]) -> EndpointView {
    EndpointView {
        id: EndpointId::new(name),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9".parse().expect("the address is well formed"),
        failure_domain: FailureDomain::new(domain),
        kind: EndpointKind::Engine,
        service: ServiceName::new("assistant"),
        models: models.iter().map(|model| ModelName::new(*model)).collect(),
        concurrency: 64,
        is_leaving: false,
        software_version: SoftwareVersion::new("v1"),
    }
}

fn endpoints(views: &[EndpointView]) -> Endpoints {
    let mut endpoints = Endpoints::new(FailureDomain::new("here"));
    let views = views.iter().map(|view| (view.id.clone(), view.clone()));
    endpoints.update(&views.collect());
    endpoints
}

struct RequestFixture {
    service: ServiceName,
    model: ModelName,
    tried: BTreeSet<EndpointId>,
    prompt_parts: Vec<(u64, u64)>,
}

impl RequestFixture {
    fn new(model: &str) -> Self {
        Self {
            service: ServiceName::new("assistant"),
            model: ModelName::new(model),
            tried: BTreeSet::new(),
            prompt_parts: Vec::new(),
        }
    }

    fn selection_criteria(&self) -> SelectionCriteria<'_> {
        SelectionCriteria {
            service: &self.service,
            model: Some(&self.model),
            prompt_parts: &self.prompt_parts,
            tried: &self.tried,
            work: RequestWork::default(),
            homes: HomeRegions::default(),
            software_version: None,
            begins_stream: false,
            random: 0,
        }
    }

    fn selected_endpoint(&self, endpoints: &Endpoints, now_ms: u64) -> Option<String> {
        let selected = endpoints.select(&self.selection_criteria(), now_ms)?;
        Some(selected.endpoint.id.as_str().to_owned())
    }
}

/// Guards against requests to endpoints that are leaving, lack the model or were already tried.
#[test]
fn only_eligible_endpoints_are_selected() {
    let mut leaving = endpoint("leaving", "here", &["m"]);
    leaving.is_leaving = true;
    let views = [
        leaving,
        endpoint("other", "here", &["n"]),
        endpoint("good", "far", &["m"]),
    ];
    let endpoints = endpoints(&views);
    let mut request = RequestFixture::new("m");
    assert_eq!(
        request.selected_endpoint(&endpoints, 0).as_deref(),
        Some("good")
    );
    request.tried.insert(EndpointId::new("good"));
    assert_eq!(request.selected_endpoint(&endpoints, 0), None);
}

/// One endpoint is loaded by other entry processes. Guards against a selection that considers only
/// the requests of its own process.
#[test]
fn reported_load_diverts_requests() {
    let views = [endpoint("a", "here", &["m"]), endpoint("b", "here", &["m"])];
    let mut endpoints = endpoints(&views);
    let load = ReportedLoad {
        running: 40,
        waiting: 3,
        slots: 64,
        work_time_percent: None,
    };
    endpoints.record_load(&EndpointId::new("a"), Incarnation(1), load, 1_000);
    let request = RequestFixture::new("m");
    assert_eq!(
        request.selected_endpoint(&endpoints, 1_100).as_deref(),
        Some("b")
    );
}

/// A crashed endpoint stays listed. Guards against a failure that is not reported to control, and
/// against one that is still reported after the endpoint responds again or restarts.
#[test]
fn an_endpoint_is_reported_unreachable_until_it_responds() {
    let views = [endpoint("a", "here", &["m"]), endpoint("b", "here", &["m"])];
    let mut endpoints = endpoints(&views);
    let (id, first_incarnation) = (EndpointId::new("a"), Incarnation(1));
    assert!(endpoints.record_unreachable(&id, first_incarnation, 1_000));
    assert!(
        !endpoints.record_unreachable(&id, first_incarnation, 1_100),
        "already unreachable"
    );
    assert!(!endpoints.record_unreachable(&id, Incarnation(2), 1_100));
    assert_eq!(
        endpoints.unreachable(2_000),
        [(id.clone(), first_incarnation)]
    );
    assert!(endpoints.unreachable(4_000).is_empty());
    endpoints.record_unreachable(&id, first_incarnation, 4_000);
    let load = ReportedLoad {
        running: 1,
        waiting: 0,
        slots: 64,
        work_time_percent: None,
    };
    endpoints.record_load(&id, first_incarnation, load, 4_100);
    assert!(endpoints.unreachable(4_100).is_empty());
}

/// Several callers share a prompt. Guards against a prompt that is processed again at each
/// endpoint, and against cache locality that outweighs a substantial difference in load.
#[test]
fn a_cached_prompt_part_is_preferred_until_loads_differ() {
    let views = [endpoint("a", "here", &["m"]), endpoint("b", "here", &["m"])];
    let mut endpoints = endpoints(&views);
    let mut request = RequestFixture::new("m");
    request.prompt_parts = vec![(7, 100)];
    endpoints.record_start(&views[1], &request.selection_criteria(), 0);
    assert_eq!(
        request.selected_endpoint(&endpoints, 10).as_deref(),
        Some("b")
    );
    for _ in 0..10 {
        endpoints.record_start(&views[1], &request.selection_criteria(), 0);
    }
    assert_eq!(
        request.selected_endpoint(&endpoints, 10).as_deref(),
        Some("a")
    );
}

/// Guards against a recently failed endpoint that is preferred to a healthy one, and against one
/// that is excluded although there is no other.
#[test]
fn a_failed_endpoint_is_avoided_but_not_excluded() {
    let views = [endpoint("a", "here", &["m"]), endpoint("b", "far", &["m"])];
    let mut both = endpoints(&views);
    both.avoid(&EndpointId::new("a"), Incarnation(1), 0);
    let request = RequestFixture::new("m");
    assert_eq!(request.selected_endpoint(&both, 100).as_deref(), Some("b"));
    let mut one = endpoints(&views[..1]);
    one.avoid(&EndpointId::new("a"), Incarnation(1), 0);
    assert_eq!(request.selected_endpoint(&one, 100).as_deref(), Some("a"));
}

/// Guards against state of an endpoint that is applied to its successor with the same id.
#[test]
fn a_new_incarnation_has_no_previous_state() {
    let view = endpoint("a", "here", &["m"]);
    let mut endpoints = endpoints(std::slice::from_ref(&view));
    endpoints.record_missing_model(&view.id, &ModelName::new("m"), 0);
    let request = RequestFixture::new("m");
    assert_eq!(request.selected_endpoint(&endpoints, 10), None);
    let mut next = view;
    next.incarnation = Incarnation(2);
    endpoints.update(&BTreeMap::from([(next.id.clone(), next)]));
    assert_eq!(
        request.selected_endpoint(&endpoints, 10).as_deref(),
        Some("a")
    );
}

/// Every request fails. Guards against retries that multiply the load on a service.
#[test]
fn retries_stay_below_a_fifth_of_requests() {
    let service = ServiceName::new("assistant");
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for request_index in 0..1_000_u64 {
        budget.count_request(&service, request_index * 10);
        if budget.try_take_retry(&service, request_index * 10) {
            retries += 1;
        }
    }
    assert!(
        (100..200).contains(&retries),
        "{retries} retries for 1000 requests"
    );
    let later_ms = 60_000;
    let idle = (0..50).filter(|_| budget.try_take_retry(&service, later_ms));
    assert!(idle.count() <= 3);
}

/// Guards against hedged requests that leave too few retries for requests that failed.
#[test]
fn hedged_requests_leave_half_of_the_retry_budget() {
    let service = ServiceName::new("assistant");
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.count_request(&service, 0);
    }
    let hedged = (0..50).filter(|_| budget.try_take_hedge(&service, 0));
    assert_eq!(hedged.count(), 9);
    let retried = (0..50).filter(|_| budget.try_take_retry(&service, 0));
    assert_eq!(retried.count(), 9);
    assert!(!budget.try_take_hedge(&service, 0));
}

/// Guards against incomplete events that reach a caller before a stream is resumed at another
/// endpoint.
#[test]
fn only_complete_events_are_passed_on() {
    fn push(events: &mut EventSplitter, text: &'static str) -> Result<Bytes, NotResumed> {
        events.push(Bytes::from(text))
    }
    let mut events = EventSplitter::default();
    let pushed = push(&mut events, "id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(pushed, Ok("id: 1\ndata: a\n\n".into()));
    assert_eq!(events.last_id(), Some(1));
    assert!(events.has_partial());
    let pushed = push(&mut events, "ta: b\n\n");
    assert_eq!(pushed, Ok("id: 2\ndata: b\n\n".into()));
    assert_eq!(events.last_id(), Some(2));
    assert_eq!(push(&mut events, "id: 3\nda"), Ok("".into()));
    events.resume_after(Some(2));
    assert!(!events.has_partial());
    let pushed = push(&mut events, "id: 3\ndata: c\n\n");
    assert_eq!(pushed, Ok("id: 3\ndata: c\n\n".into()));
    events.resume_after(Some(3));
    assert_eq!(push(&mut events, "id: 3\ndata: c\n\n"), Err(NotResumed));
}

fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> ForwardRoute {
    ForwardRoute {
        name: RouteName::new(name),
        host: "app.example".to_owned(),
        path_prefix: prefix.to_owned(),
        run_policy: RunPolicy::Idempotent,
        timeout_ms: 1_000,
        latency_objective_ms: 300,
        max_gap_ms: 0,
        priority: 0,
        services: services
            .iter()
            .map(|(service, weight)| (ServiceName::new(*service), *weight))
            .collect(),
        max_attempts: 2,
        is_public: false,
        is_cacheable: false,
        home_regions: BTreeSet::new(),
    }
}

/// Guards against a shorter prefix that takes precedence, and against routes of another host.
#[test]
fn the_longest_matching_prefix_of_a_host_selects_the_route() {
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
    assert_eq!(name("App.Example.:80", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("app.example.", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("app.example", "/ab/"), None);
    assert_eq!(name("other.example", "/a/b/"), None);
}

/// Guards against a service with weight 0 that receives traffic.
#[test]
fn services_are_picked_by_weight() {
    let route = route("split", "/a/", &[("none", 0), ("most", 90), ("few", 10)]);
    let mut counts = BTreeMap::new();
    for random in 0..1_000 {
        let service = pick_service(&route, random).expect("the weights are not all zero");
        *counts.entry(service.as_str()).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([("few", 100), ("most", 900)]));
}

/// Returns the leader's reply about a limit of 1/s that was named at the time of the reply.
fn limit_directive(endpoint: &EndpointView, permissions: u32) -> LimitDirective {
    LimitDirective {
        endpoint: endpoint.id.clone(),
        incarnation: endpoint.incarnation,
        limit_per_1000_s: Some(1_000),
        age_ms: 0,
        permissions,
        lifetime_ms: 1_000,
        ready_in_ms: 400,
        cold: None,
    }
}

/// Guards against requests to an endpoint whose limit is used up because it has the least load, and
/// against permissions that are used twice.
#[test]
fn an_endpoint_with_a_limit_is_selected_only_with_a_permission() {
    let limited = endpoint("limited", "here", &["m"]);
    let mut endpoints = endpoints(&[limited.clone(), endpoint("other", "far", &["m"])]);
    let request = RequestFixture::new("m");
    let criteria = request.selection_criteria();
    let take = |endpoints: &mut Endpoints, now_ms| {
        let taken = endpoints.take(&criteria, now_ms)?;
        Some(taken.endpoint.id.as_str().to_owned())
    };
    let limit = RequestLimit::PerSecond(1.0);
    assert!(endpoints.record_limit(&limited.id, limited.incarnation, limit, 0));
    assert_eq!(take(&mut endpoints, 10).as_deref(), Some("other"));
    endpoints.apply_limits(&[limit_directive(&limited, 1)], 4, 10, 20);
    assert_eq!(take(&mut endpoints, 30).as_deref(), Some("limited"));
    assert_eq!(take(&mut endpoints, 40).as_deref(), Some("other"));
    let ready_in_ms = endpoints.permission_ready_in_ms(&criteria, 40);
    assert_eq!(ready_in_ms, Some(380));
    assert!(endpoints.record_limit(&limited.id, limited.incarnation, RequestLimit::None, 50));
    assert_eq!(take(&mut endpoints, 60).as_deref(), Some("limited"));
}

/// Guards against a process that ignores a limit which only others have heard of.
#[test]
fn a_limit_that_control_reports_binds_as_well() {
    let only = endpoint("only", "here", &["m"]);
    let mut endpoints = endpoints(std::slice::from_ref(&only));
    let request = RequestFixture::new("m");
    let (changed, may_send) = endpoints.apply_limits(&[limit_directive(&only, 0)], 4, 0, 10);
    assert_eq!((changed, may_send), (vec![only.id.clone()], true));
    assert_eq!(request.selected_endpoint(&endpoints, 20), None);
    let mut next = endpoints.take_limit_reports(30);
    assert_eq!(next.len(), 1);
    assert_eq!(next.remove(0).limit_per_1000_s, Some(1_000));
}

/// Guards against a limit that binds another endpoint after its address or name was used again.
#[test]
fn a_limit_ends_with_the_incarnation_of_its_endpoint() {
    let only = endpoint("only", "here", &["m"]);
    let mut endpoints = endpoints(std::slice::from_ref(&only));
    let request = RequestFixture::new("m");
    endpoints.record_limit(&only.id, only.incarnation, RequestLimit::PerSecond(0.0), 0);
    assert_eq!(request.selected_endpoint(&endpoints, 10), None);
    let mut restarted = only.clone();
    restarted.incarnation = Incarnation(2);
    endpoints.update(&BTreeMap::from([(only.id.clone(), restarted)]));
    assert_eq!(
        request.selected_endpoint(&endpoints, 20).as_deref(),
        Some("only")
    );
    endpoints.apply_limits(&[limit_directive(&only, 0)], 4, 20, 30);
    assert_eq!(
        request.selected_endpoint(&endpoints, 40).as_deref(),
        Some("only")
    );
}

/// Guards against second attempts of hedged requests that wait at endpoints which failed recently, or
/// that exceed the limit of an endpoint.
#[test]
fn a_second_attempt_needs_a_sound_endpoint_and_a_permission() {
    let limited = endpoint("a", "here", &["m"]);
    let mut endpoints = endpoints(std::slice::from_ref(&limited));
    let request = RequestFixture::new("m");
    let limit = RequestLimit::PerSecond(2.0);
    assert!(endpoints.record_limit(&limited.id, limited.incarnation, limit, 0));
    let criteria = request.selection_criteria();
    assert!(endpoints.select_hedge(&criteria, 0).is_none());
    endpoints.apply_limits(&[limit_directive(&limited, 1)], 30, 0, 100);
    let selected = endpoints.select_hedge(&criteria, 100).expect("permitted");
    endpoints.use_permission(&selected, 100);
    assert!(endpoints.select_hedge(&criteria, 100).is_none());
    endpoints.apply_limits(&[limit_directive(&limited, 1)], 30, 100, 200);
    endpoints.avoid(&limited.id, limited.incarnation, 200);
    assert_eq!(
        request.selected_endpoint(&endpoints, 200).as_deref(),
        Some("a")
    );
    assert!(endpoints.select_hedge(&criteria, 200).is_none());
}
