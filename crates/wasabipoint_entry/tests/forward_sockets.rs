//! Forwarding over real connections: callers, and endpoints that fail on demand, on loopback.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "forward_sockets/endless.rs"]
mod endless;
#[path = "forward_sockets/fixture.rs"]
mod fixture;
#[path = "forward_sockets/records.rs"]
mod records;

use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use wasabipoint_http::ClientError;

use fixture::{Endpoint, Fixture, Step, chunks, not_run, view, whole};

/// Guards against a request that runs twice: its connection ends after it was sent.
#[tokio::test]
async fn an_at_most_once_request_is_not_repeated_after_a_lost_answer() {
    let first = Endpoint::start(vec![Step::Close]).await;
    let second = Endpoint::start(vec![]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    let response = fixture.call("once", "a1").await.unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0));
}

/// Guards against an idempotent request that fails though another endpoint is sound.
#[tokio::test]
async fn an_idempotent_request_is_repeated_elsewhere() {
    let first = Endpoint::start(vec![Step::Close]).await;
    let second = Endpoint::start(vec![Step::Send(whole("a1", "good"))]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    let response = fixture.call("safe", "a1").await.unwrap();
    assert_eq!(
        (response.status().as_u16(), &response.body()[..]),
        (200, &b"good"[..])
    );
}

/// Guards against the answer to another request being passed on.
#[tokio::test]
async fn an_answer_with_another_id_is_not_passed_on() {
    let first = Endpoint::start(vec![Step::Send(whole("other", "not yours"))]).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    let response = fixture.call("once", "a1").await.unwrap();
    assert_eq!(response.status(), 502);
}

/// Guards against extra bytes behind an answer that are read as the next answer.
#[tokio::test]
async fn bytes_behind_an_answer_end_its_connection() {
    let twice = format!("{}{}", whole("a1", "one"), whole("a1", "extra"));
    let steps = vec![Step::Send(twice), Step::Send(whole("a2", "two"))];
    let first = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    assert_eq!(
        &fixture.call("once", "a1").await.unwrap().body()[..],
        b"one"
    );
    assert_eq!(
        &fixture.call("once", "a2").await.unwrap().body()[..],
        b"two"
    );
}

/// Guards against a refusal by one endpoint that reaches the caller though another has room, also
/// for a request that may run only once.
#[tokio::test]
async fn a_request_that_was_not_run_goes_to_another_endpoint() {
    let first = Endpoint::start(vec![Step::Send(not_run("a1"))]).await;
    let second = Endpoint::start(vec![Step::Send(whole("a1", "good"))]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    assert_eq!(fixture.call("once", "a1").await.unwrap().status(), 200);
}

/// Guards against a refusal to the caller because the only endpoint had no room at one moment, and
/// against one that is asked again and again.
#[tokio::test]
async fn an_endpoint_without_room_is_asked_again_a_moment_later() {
    let steps = vec![
        Step::Send(not_run("a1")),
        Step::Send(whole("a1", "good")),
        Step::Send(not_run("a2")),
        Step::Send(not_run("a2")),
        Step::Send(not_run("a2")),
        Step::Send(not_run("a2")),
    ];
    let only = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(view(&[&only]))).await;
    assert_eq!(fixture.call("once", "a1").await.unwrap().status(), 200);
    assert_eq!(only.arrivals(), 2);
    assert_eq!(fixture.call("once", "a2").await.unwrap().status(), 503);
    assert!(only.arrivals() <= 5, "{}", only.arrivals());
}

/// Guards against work of a slow endpoint that is given up although no other one can take it.
#[tokio::test]
async fn a_slow_endpoint_without_another_is_waited_for() {
    let pause = Duration::from_millis(1_800);
    let answer = Step::SendWithPause(String::new(), pause, whole("a1", "good"));
    let only = Endpoint::start(vec![answer]).await;
    let fixture = Fixture::start(Some(view(&[&only]))).await;
    assert_eq!(fixture.call("safe", "a1").await.unwrap().status(), 200);
    assert_eq!(only.arrivals(), 1);
}

/// Guards against an idempotent request that waits for a dead endpoint beside a sound one.
#[tokio::test]
async fn a_silent_endpoint_is_left_for_another() {
    let (closed, _is_closed) = oneshot::channel();
    let silent = Endpoint::start(vec![Step::Silence(closed)]).await;
    let sound = Endpoint::start(vec![Step::Send(whole("a1", "good"))]).await;
    let fixture = Fixture::start(Some(view(&[&silent, &sound]))).await;
    assert_eq!(fixture.call("safe", "a1").await.unwrap().status(), 200);
}

/// Guards against a stream that breaks off though another endpoint can continue it, and against
/// events that come twice or in part.
#[tokio::test]
async fn a_resumable_stream_goes_on_after_its_last_whole_event() {
    let events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\nda"];
    let first = Endpoint::start(vec![Step::SendAndClose(chunks("a1", &events, false))]).await;
    let rest = ["id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
    let second = Endpoint::start(vec![Step::Send(chunks("a1", &rest, true))]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    let response = fixture.call("resumable", "a1").await.unwrap();
    let text = String::from_utf8_lossy(response.body()).into_owned();
    let ids: Vec<&str> = text.lines().filter(|line| line.starts_with("id")).collect();
    assert_eq!(ids, ["id: 1", "id: 2", "id: 3", "id: 4"]);
    let head = second.heads.lock().unwrap()[0].clone();
    assert!(head.contains("last-event-id: 2"), "{head}");
}

/// Guards against a broken stream that looks complete.
#[tokio::test]
async fn a_broken_stream_does_not_end_as_complete() {
    let events = ["id: 1\ndata: a\n\n"];
    let first = Endpoint::start(vec![Step::SendAndClose(chunks("a1", &events, false))]).await;
    let second = Endpoint::start(vec![]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    let result = fixture.call("stream", "a1").await;
    assert!(
        matches!(result, Err(ClientError::Interrupted(_))),
        "{result:?}"
    );
    assert_eq!(second.arrivals(), 0);
}

/// Guards against an endpoint that works on for a caller who has left.
#[tokio::test]
async fn a_caller_who_leaves_ends_the_request_at_its_endpoint() {
    let (closed, ended) = oneshot::channel();
    let first = Endpoint::start(vec![Step::Silence(closed)]).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: app.example\r\nid: a1\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    while first.arrivals() == 0 {
        tokio::task::yield_now().await;
    }
    drop(caller);
    tokio::time::timeout(Duration::from_secs(5), ended)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against requests that run without a key, or that are refused with the wrong status
/// before a configuration is known.
#[tokio::test]
async fn keys_and_routes_are_checked_against_the_configuration() {
    let first = Endpoint::start(vec![Step::Send(whole("a3", "good"))]).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    assert_eq!(fixture.call("keyed", "a1").await.unwrap().status(), 401);
    assert_eq!(fixture.call("unknown", "a2").await.unwrap().status(), 404);
    let mut keyed = fixture.request("keyed", "a3");
    keyed.headers_mut().insert("key", "right".parse().unwrap());
    let limit = Duration::from_secs(5);
    let answered = fixture.client.fetch(keyed, 1_024, limit).await.unwrap();
    assert_eq!(answered.status(), 200);
    assert!(!first.heads.lock().unwrap()[0].contains("right"));
    let starting = Fixture::start(None).await;
    assert_eq!(starting.call("unknown", "a4").await.unwrap().status(), 503);
    assert_eq!(starting.ready_status().await, 503);
}

/// Guards against a body beyond the limit that is read into memory.
#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let first = Endpoint::start(vec![]).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    let large = fixture
        .request("once", "a1")
        .map(|_| Bytes::from(vec![0; 2_048]));
    let limit = Duration::from_secs(5);
    let answered = fixture.client.fetch(large, 1_024, limit).await.unwrap();
    assert_eq!((answered.status().as_u16(), first.arrivals()), (413, 0));
}

/// Guards against a drain that stays ready, that refuses requests on open connections at once, or
/// that lets callers keep their connections.
#[tokio::test]
async fn a_drain_serves_open_connections_and_asks_to_close_them() {
    let steps = vec![
        Step::Send(whole("a1", "one")),
        Step::Send(whole("a2", "two")),
    ];
    let first = Endpoint::start(steps).await;
    let mut fixture = Fixture::start(Some(view(&[&first]))).await;
    fixture.call("once", "a1").await.unwrap();
    fixture.stop.take().unwrap().send(()).unwrap();
    while fixture.ready_status().await == 200 {
        tokio::task::yield_now().await;
    }
    let response = fixture.call("once", "a2").await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["connection"], "close");
}
