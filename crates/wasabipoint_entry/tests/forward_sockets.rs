//! Forwarding over loopback connections between callers and endpoints that fail on demand.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "forward_sockets/announcements.rs"]
mod announcements;
#[path = "forward_sockets/control.rs"]
mod control;
#[path = "forward_sockets/cut_off.rs"]
mod cut_off;
#[path = "forward_sockets/domains.rs"]
mod domains;
#[path = "forward_sockets/drain.rs"]
mod drain;
#[path = "forward_sockets/endless.rs"]
mod endless;
#[path = "forward_sockets/evidence.rs"]
mod evidence;
#[path = "forward_sockets/fixture.rs"]
mod fixture;
#[path = "forward_sockets/hedged.rs"]
mod hedged;
#[path = "forward_sockets/homes.rs"]
mod homes;
#[path = "forward_sockets/promises.rs"]
mod promises;
#[path = "forward_sockets/quota.rs"]
mod quota;
#[path = "forward_sockets/records.rs"]
mod records;
#[path = "forward_sockets/resumed.rs"]
mod resumed;
#[path = "forward_sockets/scarce_quota.rs"]
mod scarce_quota;
#[path = "forward_sockets/speeds.rs"]
mod speeds;
#[path = "forward_sockets/statuses.rs"]
mod statuses;
#[path = "fixtures/test_dialect.rs"]
mod test_dialect;
#[path = "forward_sockets/unframed.rs"]
mod unframed;
#[path = "forward_sockets/versions.rs"]
mod versions;

use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use wasabipoint_http::ClientError;

use fixture::{
    Endpoint, Fixture, ScriptStep, chunked_response, fleet_view, full_response, not_run_response,
};

/// The connection fails after the request was sent. Guards against a request that runs twice.
#[tokio::test]
async fn an_at_most_once_request_is_not_retried_after_a_lost_response() {
    let first = Endpoint::start(vec![ScriptStep::Close]).await;
    let second = Endpoint::start(vec![]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
    let response = fixture.send_request("once", "a1").await.unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!((first.request_count(), second.request_count()), (1, 0));
}

/// Guards against an idempotent request that fails although another endpoint is healthy.
#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_endpoint() {
    let first = Endpoint::start(vec![ScriptStep::Close]).await;
    let second = Endpoint::start(vec![ScriptStep::Send(full_response("a1", "good"))]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
    let response = fixture.send_request("safe", "a1").await.unwrap();
    assert_eq!(
        (response.status().as_u16(), &response.body()[..]),
        (200, &b"good"[..])
    );
}

/// Guards against passing on the response to another request.
#[tokio::test]
async fn a_response_with_another_id_is_not_passed_on() {
    let first = Endpoint::start(vec![ScriptStep::Send(full_response("other", "not yours"))]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first]))).await;
    let response = fixture.send_request("once", "a1").await.unwrap();
    assert_eq!(response.status(), 502);
}

/// Guards against extra bytes after a response that are read as the next response.
#[tokio::test]
async fn extra_bytes_after_a_response_close_its_connection() {
    let twice = format!(
        "{}{}",
        full_response("a1", "one"),
        full_response("a1", "extra")
    );
    let steps = vec![
        ScriptStep::Send(twice),
        ScriptStep::Send(full_response("a2", "two")),
    ];
    let first = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first]))).await;
    assert_eq!(
        &fixture.send_request("once", "a1").await.unwrap().body()[..],
        b"one"
    );
    assert_eq!(
        &fixture.send_request("once", "a2").await.unwrap().body()[..],
        b"two"
    );
}

/// Guards against a refusal by one endpoint that reaches the caller although another one has
/// capacity, also for an at-most-once request.
#[tokio::test]
async fn a_request_that_was_not_run_goes_to_another_endpoint() {
    let first = Endpoint::start(vec![ScriptStep::Send(not_run_response("a1"))]).await;
    let second = Endpoint::start(vec![ScriptStep::Send(full_response("a1", "good"))]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
    assert_eq!(
        fixture.send_request("once", "a1").await.unwrap().status(),
        200
    );
}

/// Guards against a refusal to the caller because the only endpoint was full for a moment, and
/// against unlimited retries at a full endpoint.
#[tokio::test]
async fn a_full_endpoint_is_retried_after_a_delay() {
    let steps = vec![
        ScriptStep::Send(not_run_response("a1")),
        ScriptStep::Send(full_response("a1", "good")),
        ScriptStep::Send(not_run_response("a2")),
        ScriptStep::Send(not_run_response("a2")),
        ScriptStep::Send(not_run_response("a2")),
        ScriptStep::Send(not_run_response("a2")),
    ];
    let only = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&only]))).await;
    assert_eq!(
        fixture.send_request("once", "a1").await.unwrap().status(),
        200
    );
    assert_eq!(only.request_count(), 2);
    assert_eq!(
        fixture.send_request("once", "a2").await.unwrap().status(),
        503
    );
    assert!(only.request_count() <= 5, "{}", only.request_count());
}

/// Guards against a late second copy of a refusal that is taken for the response to the same request
/// sent again: an at-most-once request ran twice.
#[tokio::test]
async fn a_late_copy_of_a_refusal_does_not_run_a_request_twice() {
    let steps = vec![
        ScriptStep::SendWithLateCopy(not_run_response("a1")),
        ScriptStep::Send(full_response("a1", "good")),
        ScriptStep::Send(full_response("a1", "again")),
    ];
    let only = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&only]))).await;
    let response = fixture.send_request("once", "a1").await.unwrap();
    assert_eq!(
        (response.status().as_u16(), &response.body()[..]),
        (200, &b"good"[..])
    );
    assert_eq!(only.request_count(), 2);
}

/// Guards against a late second copy of a refusal that reaches the caller as "not run" although the
/// endpoint runs the request: both endpoints were full, then the first one has room.
#[tokio::test]
async fn a_late_copy_of_a_refusal_does_not_refuse_a_request_that_runs() {
    let first = Endpoint::start(vec![
        ScriptStep::SendWithLateCopy(not_run_response("a1")),
        ScriptStep::Send(full_response("a1", "good")),
    ])
    .await;
    let second = Endpoint::start(vec![
        ScriptStep::SendWithLateCopy(not_run_response("a1")),
        ScriptStep::Send(full_response("a1", "good")),
    ])
    .await;
    let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
    let response = fixture.send_request("once", "a1").await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(first.request_count() + second.request_count(), 3);
}

/// Guards against abandoning a slow endpoint although no other one can take the request.
#[tokio::test]
async fn a_slow_endpoint_without_alternative_is_awaited() {
    let pause = Duration::from_millis(1_800);
    let slow_step = ScriptStep::SendWithPause(String::new(), pause, full_response("a1", "good"));
    let only = Endpoint::start(vec![slow_step]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&only]))).await;
    assert_eq!(
        fixture.send_request("safe", "a1").await.unwrap().status(),
        200
    );
    assert_eq!(only.request_count(), 1);
}

/// Guards against an idempotent request that waits for an unresponsive endpoint although another
/// one is healthy.
#[tokio::test]
async fn a_silent_endpoint_is_replaced_by_another() {
    let (closed, _closed_receiver) = oneshot::channel();
    let silent = Endpoint::start(vec![ScriptStep::StaySilent(closed)]).await;
    let healthy = Endpoint::start(vec![ScriptStep::Send(full_response("a1", "good"))]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&silent, &healthy]))).await;
    assert_eq!(
        fixture.send_request("safe", "a1").await.unwrap().status(),
        200
    );
}

/// Guards against a stream that is aborted although another endpoint can resume it, and against
/// duplicate or incomplete events.
#[tokio::test]
async fn a_resumable_stream_continues_after_its_last_complete_event() {
    let events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\nda"];
    let first = Endpoint::start(vec![ScriptStep::SendAndClose(chunked_response(
        "a1", &events, false,
    ))])
    .await;
    let rest = ["id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
    let second = Endpoint::start(vec![ScriptStep::Send(chunked_response("a1", &rest, true))]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
    let response = fixture.send_request("resumable", "a1").await.unwrap();
    let text = String::from_utf8_lossy(response.body()).into_owned();
    let ids: Vec<&str> = text.lines().filter(|line| line.starts_with("id")).collect();
    assert_eq!(ids, ["id: 1", "id: 2", "id: 3", "id: 4"]);
    let head = second.request_heads.lock().unwrap()[0].clone();
    assert!(head.contains("last-event-id: 2"), "{head}");
}

/// Guards against an interrupted stream that looks complete to the caller.
#[tokio::test]
async fn an_interrupted_stream_does_not_look_complete() {
    let events = ["id: 1\ndata: a\n\n"];
    let first = Endpoint::start(vec![ScriptStep::SendAndClose(chunked_response(
        "a1", &events, false,
    ))])
    .await;
    let second = Endpoint::start(vec![]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
    let result = fixture.send_request("stream", "a1").await;
    assert!(
        matches!(result, Err(ClientError::Interrupted(_))),
        "{result:?}"
    );
    assert_eq!(second.request_count(), 0);
}

/// Guards against an endpoint that keeps working for a caller that disconnected.
#[tokio::test]
async fn a_disconnected_caller_cancels_the_request_at_its_endpoint() {
    let (closed, closed_receiver) = oneshot::channel();
    let first = Endpoint::start(vec![ScriptStep::StaySilent(closed)]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first]))).await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: app.example\r\nid: a1\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    while first.request_count() == 0 {
        tokio::task::yield_now().await;
    }
    drop(caller);
    tokio::time::timeout(Duration::from_secs(5), closed_receiver)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against requests that run without a key, against keys that reach an endpoint, and against
/// a wrong status before a configuration is known.
#[tokio::test]
async fn keys_and_routes_are_checked_against_the_configuration() {
    let first = Endpoint::start(vec![ScriptStep::Send(full_response("a3", "good"))]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first]))).await;
    assert_eq!(
        fixture.send_request("keyed", "a1").await.unwrap().status(),
        401
    );
    assert_eq!(
        fixture
            .send_request("unknown", "a2")
            .await
            .unwrap()
            .status(),
        404
    );
    let mut keyed = fixture.build_request("keyed", "a3");
    keyed.headers_mut().insert("key", "right".parse().unwrap());
    let limit = Duration::from_secs(5);
    let fetched = fixture.client.fetch(keyed, 1_024, limit).await.unwrap();
    assert_eq!(fetched.status(), 200);
    assert!(!first.request_heads.lock().unwrap()[0].contains("right"));
    let starting = Fixture::start(None).await;
    assert_eq!(
        starting
            .send_request("unknown", "a4")
            .await
            .unwrap()
            .status(),
        503
    );
    assert_eq!(starting.ready_status().await, 503);
}

/// Guards against an oversized body that is read into memory.
#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let first = Endpoint::start(vec![]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first]))).await;
    let large = fixture
        .build_request("once", "a1")
        .map(|_| Bytes::from(vec![0; 2_048]));
    let limit = Duration::from_secs(5);
    let fetched = fixture.client.fetch(large, 1_024, limit).await.unwrap();
    assert_eq!((fetched.status().as_u16(), first.request_count()), (413, 0));
}

/// Guards against a draining process that stays ready, that refuses requests on open connections at
/// once, or that does not ask callers to close their connections.
#[tokio::test]
async fn a_drain_serves_open_connections_and_requests_their_close() {
    let steps = vec![
        ScriptStep::Send(full_response("a1", "one")),
        ScriptStep::Send(full_response("a2", "two")),
    ];
    let first = Endpoint::start(steps).await;
    let mut fixture = Fixture::start(Some(fleet_view(&[&first]))).await;
    fixture.send_request("once", "a1").await.unwrap();
    fixture.stop_sender.take().unwrap().send(()).unwrap();
    while fixture.ready_status().await == 200 {
        tokio::task::yield_now().await;
    }
    let response = fixture.send_request("once", "a2").await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["connection"], "close");
}
