//! Endpoints that send bytes without end, in a head or a body, until the connection is closed.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::fixture::{Endpoint, Fixture, Step, view, whole};

/// Time for an answer and for the end of the connection. An answer at the timeout of the route has
/// another status.
const LIMIT: Duration = Duration::from_secs(20);

/// A piece of a chunked body.
fn chunk() -> String {
    format!("{:x}\r\n{}\r\n", 65_536, "x".repeat(65_536))
}

fn head(extra: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: a1\r\n{extra}")
}

/// Sends a request to an endpoint that does not end, and returns the status that the caller gets.
async fn call_endless(route: &str, first: &str, repeated: &str) -> u16 {
    let (closed, is_closed) = oneshot::channel();
    let step = Step::Endless(first.to_owned(), repeated.to_owned(), closed);
    let endless = Endpoint::start(vec![step]).await;
    let sound = Endpoint::start(vec![Step::Send(whole("a1", "good"))]).await;
    let fixture = Fixture::start(Some(view(&[&endless, &sound]))).await;
    let answered = timeout(LIMIT, fixture.call(route, "a1")).await;
    let status = answered.expect("no answer in time").unwrap().status();
    let ended = timeout(LIMIT, is_closed).await;
    ended.expect("the connection stays open").unwrap();
    status.as_u16()
}

/// Guards against an answer without end that is collected until the process is out of memory.
#[tokio::test]
async fn a_body_without_end_is_given_up() {
    let chunked = head("transfer-encoding: chunked\r\n\r\n");
    assert_eq!(call_endless("once", &chunked, &chunk()).await, 502);
    assert_eq!(call_endless("safe", &chunked, &chunk()).await, 200);
    let until_closed = head("\r\n");
    assert_eq!(call_endless("once", &until_closed, &chunk()).await, 502);
}

/// Guards against a head without end, in one field, in many, or in interim answers.
#[tokio::test]
async fn a_head_without_end_is_given_up() {
    let field = head("x: ");
    assert_eq!(call_endless("once", &field, &"y".repeat(4_096)).await, 502);
    assert_eq!(call_endless("once", &head(""), "x: y\r\n").await, 502);
    assert_eq!(call_endless("safe", &head(""), "x: y\r\n").await, 200);
    let interim = "HTTP/1.1 102 Processing\r\n\r\n";
    assert_eq!(call_endless("safe", "", interim).await, 200);
}

/// Guards against a stream whose event never ends.
#[tokio::test]
async fn an_event_without_end_breaks_the_stream_off() {
    let (closed, is_closed) = oneshot::channel();
    let chunked = head("transfer-encoding: chunked\r\n\r\n");
    let endless = Endpoint::start(vec![Step::Endless(chunked, chunk(), closed)]).await;
    let fixture = Fixture::start(Some(view(&[&endless]))).await;
    let answered = timeout(LIMIT, fixture.call("stream", "a1")).await;
    assert!(answered.expect("no end in time").is_err());
    timeout(LIMIT, is_closed)
        .await
        .expect("the connection stays open")
        .unwrap();
}

/// Guards against a refusal whose body never ends, which would hold its request until its timeout.
#[tokio::test]
async fn a_refusal_without_end_is_a_refusal() {
    let refusal = "HTTP/1.1 503 Busy\r\nid: a1\r\nnot-run: 1\r\n\r\n";
    assert_eq!(call_endless("once", refusal, &chunk()).await, 200);
}
