//! Responses with neither a length nor chunks, which end with their connection.

use super::fixture::{Endpoint, Fixture, ScriptStep, fleet_view};

fn unframed_response(id: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\n\r\n{body}")
}

/// Guards against a response that is lost because its end is not announced.
#[tokio::test]
async fn an_unframed_response_is_complete_with_a_clean_end() {
    let event = "id: 1\ndata: x\n\n";
    let steps = vec![
        ScriptStep::SendAndClose(unframed_response("a1", "body")),
        ScriptStep::SendAndClose(unframed_response("a2", event)),
    ];
    let endpoint = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&endpoint]))).await;
    let whole = fixture.send_request("once", "a1").await.unwrap();
    assert_eq!(&whole.body()[..], b"body");
    let streamed = fixture.send_request("stream", "a2").await.unwrap();
    assert_eq!(&streamed.body()[..], event.as_bytes());
}

/// Guards against a reset connection that is taken for the end of the response.
#[tokio::test]
async fn a_reset_does_not_complete_an_unframed_response() {
    let event = "id: 1\ndata: x\n\n";
    let steps = vec![
        ScriptStep::SendAndReset(unframed_response("a1", "bo")),
        ScriptStep::SendAndReset(unframed_response("a2", event)),
    ];
    let endpoint = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&endpoint]))).await;
    let whole = fixture.send_request("once", "a1").await.unwrap();
    assert_eq!(whole.status(), 502);
    assert!(fixture.send_request("stream", "a2").await.is_err());
}

/// Guards against an engine that crashes when it begins to write, whose caller receives an empty
/// response that looks complete.
#[tokio::test]
async fn an_unframed_stream_without_events_is_not_complete() {
    let event = "id: 1\ndata: x\n";
    let steps = vec![
        ScriptStep::SendAndClose(unframed_response("a1", "")),
        ScriptStep::SendAndClose(unframed_response("a2", event)),
    ];
    let endpoint = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&endpoint]))).await;
    assert!(fixture.send_request("stream", "a1").await.is_err());
    assert!(fixture.send_request("stream", "a2").await.is_err());
}
