//! Streams that have begun, break off and are resumed at another endpoint.

use http::StatusCode;
use wasabipoint_http::ClientError;

use super::fixture::{Endpoint, Fixture, ScriptStep, chunked_response, fleet_view};

const FIRST_EVENTS: [&str; 2] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

/// Starts a stream of two events that breaks off, with `step` as the response to the second attempt,
/// and returns what the caller receives: the bytes, and whether the stream ended as complete.
async fn resume_with(step: ScriptStep) -> (String, bool) {
    let broken = chunked_response("a1", &FIRST_EVENTS, false);
    let first = Endpoint::start(vec![ScriptStep::SendAndClose(broken)]).await;
    let second = Endpoint::start(vec![step]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
    let request = fixture.build_request("resumable", "a1");
    let response = fixture.client.send(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let mut body = response.into_body();
    let mut received = String::new();
    let is_complete = loop {
        match body.next_chunk().await {
            Ok(Some(chunk)) => received.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => break true,
            Err(ClientError::Interrupted(_)) => break false,
            Err(error) => panic!("{error}"),
        }
    };
    assert_eq!(second.request_count(), 1);
    (received, is_complete)
}

fn response(status_line: &str, headers: &str, body: &str) -> ScriptStep {
    let length = body.len();
    ScriptStep::Send(format!(
        "HTTP/1.1 {status_line}\r\nid: a1\r\n{headers}content-length: {length}\r\n\r\n{body}"
    ))
}

/// Guards against the text or the head of an error in the middle of a stream, and against an end that
/// looks complete: the endpoint that is to resume the stream answers with an error.
#[tokio::test]
async fn an_error_when_resuming_aborts_the_stream_without_its_text() {
    let steps = [
        response("500 Failed", "", "id: 3\ndata: error\n\n"),
        response(
            "404 Not Found",
            "content-type: text/plain\r\n",
            "no such thing\n\n",
        ),
        response("204 No Content", "", ""),
        response("206 Partial Content", "", "id: 3\ndata: part\n\n"),
        response("302 Found", "location: /else\r\n", "moved\n\n"),
        response("503 Busy", "not-run: 1\r\n", "full\n\n"),
    ];
    for step in steps {
        let (received, is_complete) = resume_with(step).await;
        assert_eq!(received, FIRST_EVENTS.concat());
        assert!(!is_complete);
    }
}

/// Guards against a success without events, or with something else than events, that is taken for the
/// rest of a stream.
#[tokio::test]
async fn a_success_without_events_does_not_complete_a_resumed_stream() {
    let events = "content-type: text/event-stream\r\n";
    let steps = [
        response("200 OK", "", r#"{"error": "overloaded"}"#),
        response("200 OK", "content-type: text/plain\r\n", "overloaded\n\n"),
        response(
            "200 OK",
            "content-type: application/json\r\n",
            "{\"error\": 1}\r\n\r\n",
        ),
        response(
            "200 OK",
            events,
            "HTTP/1.1 500 Failed\r\ncontent-type: text/plain\r\n\r\n",
        ),
    ];
    for step in steps {
        let (received, is_complete) = resume_with(step).await;
        assert_eq!(received, FIRST_EVENTS.concat());
        assert!(!is_complete);
    }
}

/// Guards against events that come twice because the endpoint that resumes a stream begins before its
/// last event.
#[tokio::test]
async fn a_stream_that_begins_again_is_aborted() {
    for events in [
        ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
        ["id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"],
        ["data: c\n\n", "id: 3\ndata: c\n\n"],
    ] {
        let step = ScriptStep::Send(chunked_response("a1", &events, true));
        let (received, is_complete) = resume_with(step).await;
        assert_eq!(received, FIRST_EVENTS.concat(), "{events:?}");
        assert!(!is_complete, "{events:?}");
    }
}

/// Guards against a stream whose events have no ids and that is run again from its beginning after
/// some of them reached the caller.
#[tokio::test]
async fn a_stream_without_event_ids_is_not_resumed() {
    let broken = chunked_response("a1", &["data: a\n\n"], false);
    let first = Endpoint::start(vec![ScriptStep::SendAndClose(broken)]).await;
    let whole = chunked_response("a1", &["data: a\n\n", "data: b\n\n"], true);
    let second = Endpoint::start(vec![ScriptStep::Send(whole)]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
    let result = fixture.send_request("resumable", "a1").await;
    assert!(
        matches!(result, Err(ClientError::Interrupted(_))),
        "{result:?}"
    );
    assert_eq!(second.request_count(), 0);
}

/// Guards against a stream that is aborted although the other endpoint continues it: with a first line
/// of another field, with several events at once, or with nothing left to send.
#[tokio::test]
async fn the_rest_of_a_stream_completes_it() {
    for events in [
        &["weights: 2\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"][..],
        &["id: 3\r\ndata: c\r\n\r\n"][..],
        &["id:", " 9\ndata: c\n\n"][..],
        &[][..],
    ] {
        let step = ScriptStep::Send(chunked_response("a1", events, true));
        let (received, is_complete) = resume_with(step).await;
        assert_eq!(received, FIRST_EVENTS.concat() + &events.concat());
        assert!(is_complete, "{events:?}");
    }
}
