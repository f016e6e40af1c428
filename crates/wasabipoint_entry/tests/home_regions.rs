//! Selection of endpoints in the home regions of route and customer, without network.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_entry::{Endpoints, HomeRegions, Regions, RequestLimit, SelectionCriteria};
use wasabipoint_kernel::{
    EndpointId, FailureDomain, Incarnation, ModelName, Region, ServiceName, SoftwareVersion,
};
use wasabipoint_rpc::{EndpointKind, EndpointView};

const SERVICE: &str = "assistant";

fn endpoint(name: &str, domain: &str) -> EndpointView {
    EndpointView {
        id: EndpointId::new(name),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9".parse().expect("the address is well formed"),
        failure_domain: FailureDomain::new(domain),
        kind: EndpointKind::Engine,
        service: ServiceName::new(SERVICE),
        models: vec![ModelName::new("m")],
        concurrency: 16,
        is_leaving: false,
        software_version: SoftwareVersion::new("v1"),
    }
}

/// Endpoints in two failure domains of the region north, and one that is its own region.
fn endpoints() -> Endpoints {
    let regions = [("n1", "north"), ("n2", "north")];
    let regions = regions.map(|(domain, region)| (FailureDomain::new(domain), Region::new(region)));
    let mut endpoints = Endpoints::new(FailureDomain::new("n1"))
        .with_regions(Regions::from(BTreeMap::from(regions)));
    let views = [
        endpoint("a", "n1"),
        endpoint("b", "n2"),
        endpoint("c", "south"),
    ];
    let views = views.map(|view| (view.id.clone(), view));
    endpoints.update(&BTreeMap::from(views));
    endpoints
}

fn regions(names: &[&str]) -> BTreeSet<Region> {
    names.iter().map(|name| Region::new(*name)).collect()
}

/// Returns all endpoints that are selected in turn, as retries would.
fn selected(endpoints: &Endpoints, route: &[&str], customer: &[&str]) -> Vec<String> {
    let (service, model) = (ServiceName::new(SERVICE), ModelName::new("m"));
    let (route, customer) = (regions(route), regions(customer));
    let mut tried = BTreeSet::new();
    let mut selected = Vec::new();
    loop {
        let criteria = SelectionCriteria {
            service: &service,
            model: Some(&model),
            prompt_parts: &[],
            tried: &tried,
            homes: HomeRegions {
                route: &route,
                customer: &customer,
            },
            software_version: None,
            begins_stream: false,
            random: 0,
            work: wasabipoint_policy::RequestWork::default(),
        };
        let Some(next) = endpoints.select(&criteria, 0) else {
            selected.sort();
            return selected;
        };
        selected.push(next.endpoint.id.as_str().to_owned());
        tried.insert(next.endpoint.id);
    }
}

/// Guards against an endpoint outside that is selected once those inside were tried, against a
/// restriction of the route that lifts that of the customer, and against a failure domain without a
/// region that matches none.
#[test]
fn both_restrictions_bind_every_selection() {
    let endpoints = endpoints();
    assert_eq!(selected(&endpoints, &[], &[]), ["a", "b", "c"]);
    assert_eq!(selected(&endpoints, &["north"], &[]), ["a", "b"]);
    assert_eq!(selected(&endpoints, &[], &["south"]), ["c"]);
    let both = ["north", "south"];
    assert_eq!(selected(&endpoints, &both, &["north"]), ["a", "b"]);
    assert!(selected(&endpoints, &["north"], &["south"]).is_empty());
    assert!(selected(&endpoints, &["n1"], &[]).is_empty());
}

/// Guards against a request that waits for a limit of an endpoint outside its home regions, and
/// against an adapter that is loaded there.
#[test]
fn what_waits_is_inside_as_well() {
    let mut endpoints = endpoints();
    let (service, model) = (ServiceName::new(SERVICE), ModelName::new("m"));
    let (north, south, anywhere) = (regions(&["north"]), regions(&["south"]), BTreeSet::new());
    let limit = RequestLimit::PerSecond(0.1);
    endpoints.record_limit(&EndpointId::new("c"), Incarnation(1), limit, 10);
    let tried = BTreeSet::from([EndpointId::new("a"), EndpointId::new("b")]);
    let criteria = |homes| SelectionCriteria {
        service: &service,
        model: Some(&model),
        prompt_parts: &[],
        tried: &tried,
        homes,
        software_version: None,
        begins_stream: false,
        random: 0,
        work: wasabipoint_policy::RequestWork::default(),
    };
    let ready_in_ms = |homes| endpoints.permission_ready_in_ms(&criteria(homes), 20);
    let homes = |route| HomeRegions {
        route,
        customer: &anywhere,
    };
    assert!(ready_in_ms(homes(&south)).is_some());
    assert_eq!(ready_in_ms(homes(&north)), None);
    let with_model = endpoints.endpoints_with_model(&model, &criteria(homes(&north)), 20);
    assert_eq!(with_model, [EndpointId::new("a"), EndpointId::new("b")]);
}

/// Guards against a request that waits although the service has no endpoint inside, and against a
/// refusal while it has one.
#[test]
fn a_service_without_an_endpoint_inside_is_recognized() {
    let endpoints = endpoints();
    let service = ServiceName::new(SERVICE);
    let anywhere = BTreeSet::new();
    let is_outside = |names: &[&str]| {
        let route = regions(names);
        let homes = HomeRegions {
            route: &route,
            customer: &anywhere,
        };
        endpoints.is_outside(&service, &homes)
    };
    assert!(!is_outside(&[]));
    assert!(!is_outside(&["north"]));
    assert!(!is_outside(&["east", "south"]));
    assert!(is_outside(&["east"]));
}
