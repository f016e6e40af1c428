//! Streams in a service whose endpoints have several software versions.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use slog::{Discard, Logger, o};
use wasabipoint_http::ClientError;
use wasabipoint_policy::MAX_STREAM_LIFETIME_MS;

use super::control::{StaticControl, StreamOrigins};
use super::fixture::{Endpoint, Fixture, ScriptStep, chunked_response, fleet_view_of_versions};

const FIRST_EVENTS: [&str; 2] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const LAST_EVENTS: [&str; 1] = ["id: 3\ndata: c\n\n"];

/// Starts an endpoint whose stream breaks off after its first events.
async fn start_breaking() -> Endpoint {
    let broken = chunked_response("a1", &FIRST_EVENTS, false);
    Endpoint::start(vec![ScriptStep::SendAndClose(broken)]).await
}

/// Starts an endpoint that sends the last events of a stream.
async fn start_continuing() -> Endpoint {
    let rest = chunked_response("a1", &LAST_EVENTS, true);
    Endpoint::start(vec![ScriptStep::Send(rest)]).await
}

/// Starts an entry process in front of endpoints of the given software versions.
async fn start_entry(endpoints: &[(&Endpoint, &str)], origins: &Arc<StreamOrigins>) -> Fixture {
    let control = StaticControl {
        fleet_view: Some(fleet_view_of_versions(endpoints)),
        origins: Arc::clone(origins),
        ..StaticControl::default()
    };
    Fixture::start_with(control, Logger::root(Discard, o!())).await
}

/// Builds a request that resumes a stream after its second event.
fn resume(fixture: &Fixture, id: &str, resumes: Option<&str>) -> Request<Bytes> {
    let mut request = fixture.build_request("resumable", id);
    let headers = request.headers_mut();
    headers.insert("last-event-id", HeaderValue::from_static("2"));
    if let Some(resumes) = resumes {
        headers.insert("resumes", HeaderValue::from_str(resumes).unwrap());
    }
    request
}

async fn fetch(fixture: &Fixture, request: Request<Bytes>) -> Response<Bytes> {
    let limit = std::time::Duration::from_secs(10);
    fixture.client.fetch(request, 65_536, limit).await.unwrap()
}

/// Sends a request and returns what the caller receives: the bytes, and whether the stream ended as
/// complete.
async fn receive(fixture: &Fixture) -> (String, bool) {
    let request = fixture.build_request("resumable", "a1");
    let response = fixture.client.send(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let mut body = response.into_body();
    let mut received = String::new();
    loop {
        match body.next_chunk().await {
            Ok(Some(chunk)) => received.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return (received, true),
            Err(ClientError::Interrupted(_)) => return (received, false),
            Err(error) => panic!("{error}"),
        }
    }
}

/// Guards against a response joined from two software versions: the only other endpoint has another
/// version than the one that began the stream.
#[tokio::test]
async fn a_stream_is_not_resumed_at_another_software_version() {
    let (first, other) = (start_breaking().await, start_continuing().await);
    let view = fleet_view_of_versions(&[(&first, "v1"), (&other, "v1.1")]);
    let fixture = Fixture::start(Some(view)).await;
    let (received, is_complete) = receive(&fixture).await;
    assert_eq!(received, FIRST_EVENTS.concat());
    assert!(!is_complete);
    assert_eq!(other.request_count(), 0);
}

/// Guards against a stream that is given up although another endpoint of its software version could
/// continue it.
#[tokio::test]
async fn a_stream_is_resumed_at_its_own_software_version() {
    let (first, other) = (start_breaking().await, start_continuing().await);
    let same = start_continuing().await;
    let view = fleet_view_of_versions(&[(&first, "v1.1"), (&other, "v1"), (&same, "v1.1")]);
    let fixture = Fixture::start(Some(view)).await;
    let (received, is_complete) = receive(&fixture).await;
    assert_eq!(received, FIRST_EVENTS.concat() + LAST_EVENTS[0]);
    assert!(is_complete);
    assert_eq!((other.request_count(), same.request_count()), (0, 1));
}

/// Guards against a stream that is bound to the software version of an endpoint that failed before the
/// caller got an event.
#[tokio::test]
async fn a_stream_without_events_may_begin_again_at_another_software_version() {
    let broken = chunked_response("a1", &[], false);
    let first = Endpoint::start(vec![ScriptStep::SendAndClose(broken)]).await;
    let whole = chunked_response("a1", &FIRST_EVENTS, true);
    let other = Endpoint::start(vec![ScriptStep::Send(whole)]).await;
    let view = fleet_view_of_versions(&[(&first, "v1"), (&other, "v1.1")]);
    let fixture = Fixture::start(Some(view)).await;
    let (received, is_complete) = receive(&fixture).await;
    assert_eq!(received, FIRST_EVENTS.concat());
    assert!(is_complete);
}

/// Guards against a resumption that goes on at another software version: it comes to an entry process that
/// has just started and that prefers an endpoint of the other version.
#[tokio::test]
async fn a_stream_is_resumed_by_its_caller_at_its_own_software_version() {
    for (first_version, other_version) in [("v1.1", "v1"), ("v1", "v1.1")] {
        let origins = StreamOrigins::with_base("v1");
        let first = start_breaking().await;
        let before = start_entry(&[(&first, first_version)], &origins).await;
        let (received, is_complete) = receive(&before).await;
        assert_eq!(received, FIRST_EVENTS.concat());
        assert!(!is_complete);
        drop(before);
        let (other, same) = (
            start_continuing().await,
            Endpoint::start(rest_for("b2")).await,
        );
        let endpoints = [(&other, other_version), (&same, first_version)];
        let after = start_entry(&endpoints, &origins).await;
        let response = fetch(&after, resume(&after, "b2", Some("a1"))).await;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.body(), LAST_EVENTS[0].as_bytes());
        assert_eq!((other.request_count(), same.request_count()), (0, 1));
    }
}

fn rest_for(id: &str) -> Vec<ScriptStep> {
    let rest = chunked_response(id, &LAST_EVENTS, true);
    vec![ScriptStep::Send(rest)]
}

/// Guards against a resumption at another software version where no endpoint of its own is in service: it is
/// refused at once, as not run, and not asked to come back.
#[tokio::test]
async fn a_resumption_is_refused_when_its_software_version_is_gone() {
    let origins = StreamOrigins::with_base("v1");
    let other = Endpoint::start(rest_for("b2")).await;
    let fixture = start_entry(&[(&other, "v1.1")], &origins).await;
    let response = fetch(&fixture, resume(&fixture, "b2", Some("a1"))).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(String::from_utf8_lossy(response.body()).contains("not run"));
    assert!(!response.headers().contains_key("retry-after"));
    assert_eq!(other.request_count(), 0);
}

/// Guards against a resumption that is sent somewhere although nothing tells where its stream began.
#[tokio::test]
async fn a_resumption_of_unknown_origin_is_refused() {
    let endpoint = Endpoint::start(rest_for("b2")).await;
    let origins = Arc::new(StreamOrigins::default());
    let fixture = start_entry(&[(&endpoint, "v1")], &origins).await;
    let long = "x".repeat(10_000);
    for resumes in [None, Some("b2"), Some(long.as_str())] {
        let response = fetch(&fixture, resume(&fixture, "b2", resumes)).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    let unavailable = StreamOrigins::with_base("v1");
    unavailable.is_unavailable.store(true, Ordering::Relaxed);
    let fixture = start_entry(&[(&endpoint, "v1")], &unavailable).await;
    let response = fetch(&fixture, resume(&fixture, "b2", Some("a1"))).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(endpoint.request_count(), 0);
}

/// Guards against an event that reaches the caller before every entry process can tell which software
/// version wrote it.
#[tokio::test]
async fn the_first_event_waits_for_the_record_of_its_version() {
    let origins = StreamOrigins::with_base("v1");
    origins.is_unavailable.store(true, Ordering::Relaxed);
    let whole = chunked_response("a1", &FIRST_EVENTS, true);
    let endpoint = Endpoint::start(vec![ScriptStep::Send(whole)]).await;
    let fixture = start_entry(&[(&endpoint, "v1.1")], &origins).await;
    let (received, is_complete) = receive(&fixture).await;
    assert_eq!(received, "");
    assert!(!is_complete);
}

/// Guards against records of streams that need none: those of the base version.
#[tokio::test]
async fn streams_of_the_base_version_are_not_recorded() {
    let origins = StreamOrigins::with_base("v1");
    let whole = chunked_response("a1", &FIRST_EVENTS, true);
    let endpoint = Endpoint::start(vec![ScriptStep::Send(whole)]).await;
    let fixture = start_entry(&[(&endpoint, "v1")], &origins).await;
    let (received, is_complete) = receive(&fixture).await;
    assert_eq!(received, FIRST_EVENTS.concat());
    assert!(is_complete);
    assert!(origins.records.lock().unwrap().is_empty());
}

/// Guards against a caller that learns of, or goes on with, the stream of another customer by naming its
/// request.
#[tokio::test]
async fn records_of_customers_are_apart() {
    let origins = StreamOrigins::with_base("v1");
    let first = start_breaking().await;
    let fixture = start_entry(&[(&first, "v1.1")], &origins).await;
    receive(&fixture).await;
    let public = *origins.records.lock().unwrap().keys().next().unwrap();
    let first = start_breaking().await;
    let fixture = start_entry(&[(&first, "v1.1")], &origins).await;
    let mut request = fixture.build_request("keyed-stream", "a1");
    let key = HeaderValue::from_static("right");
    request.headers_mut().insert("key", key);
    let mut body = fixture.client.send(request).await.unwrap().into_body();
    while let Ok(Some(_)) = body.next_chunk().await {}
    let records = origins.records.lock().unwrap();
    assert_eq!(records.len(), 2);
    assert!(records.contains_key(&public));
}

/// Guards against a record that ends with the route's timeout although its caller states no deadline: it
/// may resume the stream later, at the base version.
#[tokio::test]
async fn a_stream_without_a_deadline_is_recorded_for_the_longest_time() {
    let origins = StreamOrigins::with_base("v1");
    let first = start_breaking().await;
    let fixture = start_entry(&[(&first, "v1.1")], &origins).await;
    receive(&fixture).await;
    let records = origins.records.lock().unwrap();
    let lifetimes: Vec<u64> = records.values().map(|stream| stream.lifetime_ms).collect();
    assert_eq!(lifetimes, [MAX_STREAM_LIFETIME_MS]);
}

/// Guards against a stream of a route that allows no resumption, and whose origin is therefore not
/// recorded, that goes on at another software version.
#[tokio::test]
async fn a_route_without_resumption_continues_streams_only_with_one_version() {
    for (base, status) in [(None, 503), (Some("v1"), 200)] {
        let origins = base.map_or_else(Arc::default, StreamOrigins::with_base);
        let endpoint = Endpoint::start(rest_for("b2")).await;
        let fixture = start_entry(&[(&endpoint, "v1")], &origins).await;
        let mut request = resume(&fixture, "b2", Some("a1"));
        let target = format!("http://{}/stream/x", fixture.address);
        *request.uri_mut() = target.parse().unwrap();
        assert_eq!(fetch(&fixture, request).await.status(), status);
        // Without the id of the first attempt, control answers only if one version served.
        assert_eq!(*origins.queried_digests.lock().unwrap(), [None]);
    }
}
