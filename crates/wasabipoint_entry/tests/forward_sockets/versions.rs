//! Streams in a service whose endpoints have several software versions.

use http::StatusCode;
use wasabipoint_http::ClientError;

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
