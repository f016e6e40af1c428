//! Endpoints of failure domains that are out of service.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_entry::{AnnouncedPause, Announcement, Endpoints, RequestLimit};
use wasabipoint_kernel::{EndpointId, FailureDomain, Incarnation, ModelName, ServiceName};
use wasabipoint_rpc::EndpointView;

use super::{RequestFixture, endpoint, endpoints};

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| FailureDomain::new(*name)).collect()
}

fn views(views: &[EndpointView]) -> BTreeMap<EndpointId, EndpointView> {
    let views = views.iter().map(|view| (view.id.clone(), view.clone()));
    views.collect()
}

/// Returns an endpoint in the failure domain `out` and one in `far`, the first of which is out of
/// service.
fn one_domain_out() -> Endpoints {
    let mut endpoints = endpoints(&[
        endpoint("a", "out", &["m"]),
        endpoint("b", "far", &["m", "n"]),
    ]);
    assert!(endpoints.set_out_of_service(&domains(&["out"])));
    endpoints
}

/// Guards against an endpoint out of service that is still used on one of the paths: first try and
/// resumption, retry, a request that selected it before, candidates for an adapter.
#[test]
fn no_path_uses_an_endpoint_that_is_out_of_service() {
    let mut endpoints = one_domain_out();
    let (a, b, first) = (EndpointId::new("a"), EndpointId::new("b"), Incarnation(1));
    let mut request = RequestFixture::new("m");
    assert_eq!(
        request.selected_endpoint(&endpoints, 0).as_deref(),
        Some("b")
    );
    let taken = endpoints.take(&request.selection_criteria(), 0);
    assert_eq!(taken.map(|taken| taken.endpoint.id), Some(b.clone()));
    assert!(!endpoints.may_still_send(&a, first, 0));
    assert!(endpoints.may_still_send(&b, first, 0));
    assert_eq!(
        endpoints.endpoints_with_model(&ModelName::new("m"), &request.selection_criteria(), 0),
        std::slice::from_ref(&b)
    );
    // The only other endpoint failed: it is used again before one out of service.
    endpoints.avoid(&b, first, 0);
    assert_eq!(
        request.selected_endpoint(&endpoints, 1).as_deref(),
        Some("b")
    );
    request.tried.insert(b);
    assert_eq!(request.selected_endpoint(&endpoints, 1), None);
}

/// Guards against a request that waits for the pause or for a permission of an endpoint out of
/// service.
#[test]
fn no_request_waits_for_an_endpoint_that_is_out_of_service() {
    let mut endpoints = one_domain_out();
    let (a, first) = (EndpointId::new("a"), Incarnation(1));
    let mut request = RequestFixture::new("m");
    request.tried.insert(EndpointId::new("b"));
    endpoints.record_limit(&a, first, RequestLimit::PerSecond(0.01), 0);
    let pause = Announcement {
        is_leaving: false,
        pause: AnnouncedPause::from_seconds(1.0),
    };
    endpoints.record_announcement(&a, first, pause, 0);
    let criteria = request.selection_criteria();
    assert_eq!(endpoints.permission_ready_in_ms(&criteria, 1), None);
    assert!(!endpoints.has_paused(&criteria, 1));
    // The same endpoint is waited for once it is in service again.
    endpoints.set_out_of_service(&domains(&[]));
    assert!(endpoints.permission_ready_in_ms(&criteria, 1).is_some());
    assert!(endpoints.has_paused(&criteria, 1));
}

/// Guards against an endpoint that is used because the directory lists it only after its failure
/// domain was taken out, and against one that is not used although it moved out of it.
#[test]
fn endpoints_listed_later_follow_the_order() {
    let mut endpoints = endpoints(&[]);
    endpoints.set_out_of_service(&domains(&["out", "unknown"]));
    assert!(!endpoints.set_out_of_service(&domains(&["out", "unknown"])));
    let request = RequestFixture::new("m");
    endpoints.update(&views(&[endpoint("a", "out", &["m"])]));
    assert_eq!(request.selected_endpoint(&endpoints, 0), None);
    endpoints.update(&views(&[endpoint("a", "far", &["m"])]));
    assert_eq!(
        request.selected_endpoint(&endpoints, 0).as_deref(),
        Some("a")
    );
    endpoints.update(&views(&[endpoint("a", "out", &["m"])]));
    assert_eq!(request.selected_endpoint(&endpoints, 0), None);
    let mut restarted = endpoint("a", "out", &["m"]);
    restarted.incarnation = Incarnation(2);
    endpoints.update(&views(&[restarted]));
    assert_eq!(request.selected_endpoint(&endpoints, 0), None);
}

/// Guards against a return after which models or adapters count as lost, and against commands in quick
/// succession that leave an endpoint out.
#[test]
fn a_returned_endpoint_keeps_what_it_held() {
    let mut endpoints = one_domain_out();
    endpoints.record_loaded_model(&EndpointId::new("a"), &ModelName::new("m/x"));
    let request = RequestFixture::new("m/x");
    assert_eq!(request.selected_endpoint(&endpoints, 0), None);
    for out in [&[][..], &["out"], &["far"], &[]] {
        endpoints.set_out_of_service(&domains(out));
    }
    assert_eq!(
        request.selected_endpoint(&endpoints, 0).as_deref(),
        Some("a")
    );
}

/// Guards against a refusal that names a failure domain out of service although there is another
/// reason, and against requests that are held because only leaving endpoints remain.
#[test]
fn a_service_is_out_only_if_nothing_else_prevents_it() {
    let service = ServiceName::new("assistant");
    let mut endpoints = one_domain_out();
    assert!(endpoints.has_endpoints(&service));
    assert!(!endpoints.is_service_out(&service));
    endpoints.set_out_of_service(&domains(&["out", "far"]));
    assert!(!endpoints.has_endpoints(&service));
    assert!(endpoints.is_service_out(&service));
    assert!(!endpoints.is_service_out(&ServiceName::new("other")));
    let leaving = EndpointView {
        is_leaving: true,
        ..endpoint("c", "here", &["m"])
    };
    endpoints.update(&views(&[leaving.clone(), endpoint("a", "out", &["m"])]));
    assert!(endpoints.is_service_out(&service));
    endpoints.update(&views(&[leaving]));
    assert!(!endpoints.has_endpoints(&service));
    assert!(!endpoints.is_service_out(&service));
}

/// Guards against an operator who turns VMs off because requests that still run there are not shown.
#[test]
fn running_requests_are_counted_until_they_end() {
    let mut endpoints = endpoints(&[endpoint("a", "out", &["m"]), endpoint("b", "far", &["m"])]);
    let request = RequestFixture::new("m");
    for id in ["a", "b"] {
        let domain = if id == "a" { "out" } else { "far" };
        let view = endpoint(id, domain, &["m"]);
        endpoints.record_start(&view, &request.selection_criteria(), 0);
    }
    assert_eq!(endpoints.requests_out_of_service(), 0);
    endpoints.set_out_of_service(&domains(&["out"]));
    assert_eq!(endpoints.requests_out_of_service(), 1);
    endpoints.record_end(&EndpointId::new("a"), Incarnation(1));
    assert_eq!(endpoints.requests_out_of_service(), 0);
}
