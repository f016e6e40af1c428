//! Endpoints that send an endless response head or body until the connection is closed.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::fixture::{Endpoint, Fixture, ScriptStep, fleet_view, full_response};

/// Maximum wait for a response and for the close of the connection. A response at the route's
/// timeout has a different status than the tests expect.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns one chunk of a chunked body.
fn chunk() -> String {
    chunk_of(&"x".repeat(65_536))
}

fn head(extra: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: a1\r\n{extra}")
}

/// Sends a request to an endpoint with an endless response and returns the status that the caller
/// receives.
async fn send_to_endless_endpoint(route: &str, first: &str, repeated: &str) -> u16 {
    measure_endless_endpoint(route, first, repeated).await.0
}

/// Sends a request to an endpoint with an endless response and returns the status that the caller
/// receives, and the number of bytes that the endpoint could send.
async fn measure_endless_endpoint(route: &str, first: &str, repeated: &str) -> (u16, usize) {
    let (closed, closed_receiver) = oneshot::channel();
    let step = ScriptStep::Endless(first.to_owned(), repeated.to_owned(), closed);
    let endless = Endpoint::start(vec![step]).await;
    let healthy = Endpoint::start(vec![ScriptStep::Send(full_response("a1", "good"))]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&endless, &healthy]))).await;
    let result = timeout(TIMEOUT, fixture.send_request(route, "a1")).await;
    let status = result.expect("no response in time").unwrap().status();
    let ended = timeout(TIMEOUT, closed_receiver).await;
    let sent_bytes = ended.expect("the connection stays open").unwrap();
    (status.as_u16(), sent_bytes)
}

/// Maximum number of bytes that an endpoint can send until it notices that they are not read: they fill
/// the buffers of both sockets.
const MAX_UNREAD_BYTES: usize = 16 * 1_024 * 1_024;

/// Guards against bytes without end that fill no memory, and use up the time of the process until the
/// deadline of the request.
#[tokio::test]
async fn bytes_that_belong_to_no_response_are_bounded() {
    let chunked = head("transfer-encoding: chunked\r\n\r\n");
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(100);
    let cases = [
        ("interim heads", String::new(), interim),
        (
            "blank lines before a head",
            String::new(),
            "\r\n".repeat(1_000),
        ),
        ("digits of a chunk size", chunked.clone(), "0".repeat(4_096)),
        (
            "a chunk extension",
            chunked.clone() + "1;",
            "x".repeat(4_096),
        ),
        (
            "extensions of many chunks",
            chunked.clone(),
            format!("1;{}\r\nx\r\n", "e".repeat(200)),
        ),
        (
            "trailers",
            chunked.clone() + "0\r\n",
            "x: y\r\n".repeat(1_000),
        ),
        ("a trailer", chunked.clone() + "0\r\nx: ", "y".repeat(4_096)),
        ("names of header fields", head(""), "x".repeat(4_096)),
    ];
    for (name, first, repeated) in cases {
        let (status, sent_bytes) = measure_endless_endpoint("once", &first, &repeated).await;
        assert_eq!(status, 502, "{name}");
        assert!(sent_bytes < MAX_UNREAD_BYTES, "{name}: {sent_bytes} bytes");
    }
}

/// Guards against a stream whose endpoint goes on with framing in place of events.
#[tokio::test]
async fn framing_without_end_aborts_a_stream() {
    let events = chunk_of("id: 1\ndata: a\n\n");
    let first = head("transfer-encoding: chunked\r\n\r\n") + &events;
    for repeated in [
        "0".repeat(4_096),
        format!("1;{}\r\n\n\r\n", "e".repeat(200)),
    ] {
        let (closed, closed_receiver) = oneshot::channel();
        let step = ScriptStep::Endless(first.clone(), repeated, closed);
        let endless = Endpoint::start(vec![step]).await;
        let fixture = Fixture::start(Some(fleet_view(&[&endless]))).await;
        let result = timeout(TIMEOUT, fixture.send_request("stream", "a1")).await;
        assert!(result.expect("no end in time").is_err());
        let sent_bytes = timeout(TIMEOUT, closed_receiver).await.unwrap().unwrap();
        assert!(sent_bytes < MAX_UNREAD_BYTES, "{sent_bytes} bytes");
    }
}

fn chunk_of(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Guards against an endless body that is buffered until the process runs out of memory.
#[tokio::test]
async fn an_endless_body_is_aborted() {
    let chunked = head("transfer-encoding: chunked\r\n\r\n");
    assert_eq!(
        send_to_endless_endpoint("once", &chunked, &chunk()).await,
        502
    );
    assert_eq!(
        send_to_endless_endpoint("safe", &chunked, &chunk()).await,
        200
    );
    let until_closed = head("\r\n");
    assert_eq!(
        send_to_endless_endpoint("once", &until_closed, &chunk()).await,
        502
    );
}

/// Guards against an endless response head: in one field, in many fields, or in interim responses.
#[tokio::test]
async fn an_endless_head_is_aborted() {
    let field = head("x: ");
    assert_eq!(
        send_to_endless_endpoint("once", &field, &"y".repeat(4_096)).await,
        502
    );
    assert_eq!(
        send_to_endless_endpoint("once", &head(""), "x: y\r\n").await,
        502
    );
    assert_eq!(
        send_to_endless_endpoint("safe", &head(""), "x: y\r\n").await,
        200
    );
    let interim = "HTTP/1.1 102 Processing\r\n\r\n";
    assert_eq!(send_to_endless_endpoint("safe", "", interim).await, 200);
}

/// Guards against a stream with an event that never ends.
#[tokio::test]
async fn an_endless_event_aborts_the_stream() {
    let (closed, closed_receiver) = oneshot::channel();
    let chunked = head("transfer-encoding: chunked\r\n\r\n");
    let endless = Endpoint::start(vec![ScriptStep::Endless(chunked, chunk(), closed)]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&endless]))).await;
    let result = timeout(TIMEOUT, fixture.send_request("stream", "a1")).await;
    assert!(result.expect("no end in time").is_err());
    timeout(TIMEOUT, closed_receiver)
        .await
        .expect("the connection stays open")
        .unwrap();
}

/// Guards against a refusal whose endless body delays its request until the timeout.
#[tokio::test]
async fn a_refusal_with_an_endless_body_is_still_a_refusal() {
    let refusal = "HTTP/1.1 503 Busy\r\nid: a1\r\nnot-run: 1\r\n\r\n";
    assert_eq!(
        send_to_endless_endpoint("once", refusal, &chunk()).await,
        200
    );
}
