//! What endpoints announce about themselves in their responses.

use std::time::{Duration, Instant};

use super::fixture::{Endpoint, Fixture, ScriptStep, chunked_response, fleet_view, full_response};

fn response(status_line: &str, id: &str, headers: &str) -> ScriptStep {
    ScriptStep::Send(format!(
        "HTTP/1.1 {status_line}\r\nid: {id}\r\n{headers}content-length: 0\r\n\r\n"
    ))
}

/// Guards against an announcement that counts only in successful responses, and against a request
/// that is retried at the endpoint that just announced that it leaves.
#[tokio::test]
async fn an_endpoint_that_leaves_gets_no_request_whatever_its_status() {
    let stream = chunked_response("a1", &["id: 1\ndata: a\n\n"], true);
    let stream = stream.replacen("id: a1\r\n", "id: a1\r\nleaving: 1\r\n", 1);
    for (route, step) in [
        ("once", response("200 OK", "a1", "leaving: 1\r\n")),
        ("once", response("404 Not Found", "a1", "leaving: 1\r\n")),
        ("safe", response("500 Failed", "a1", "leaving: 1\r\n")),
        (
            "once",
            response("503 Busy", "a1", "not-run: 1\r\nleaving: 1\r\n"),
        ),
        (
            "once",
            response(
                "421 Misdirected",
                "a1",
                "endpoint: endpoint-0\r\nleaving: 1\r\n",
            ),
        ),
        ("stream", ScriptStep::Send(stream)),
    ] {
        let leaving = Endpoint::start(vec![step]).await;
        let ids = ["a1", "a2", "a3"];
        let steps = ids.map(|id| ScriptStep::Send(full_response(id, "good")));
        let staying = Endpoint::start(steps.into()).await;
        let fixture = Fixture::start(Some(fleet_view(&[&leaving, &staying]))).await;
        // Only a request that was retried uses the first response of the other endpoint.
        let is_retried =
            fixture.send_request(route, "a1").await.is_ok() && staying.request_count() == 1;
        if !is_retried {
            let _ = fixture.send_request("once", "a1").await;
        }
        for id in ["a2", "a3"] {
            assert_eq!(
                fixture.send_request("once", id).await.unwrap().status(),
                200
            );
        }
        assert_eq!((leaving.request_count(), staying.request_count()), (1, 3));
    }
}

/// Guards against an announcement of another user of the address that is reported as one of the
/// endpoint: that user leaves, and the endpoint is gone already. Only a user that names itself proves
/// that it did not run a request for the endpoint.
#[tokio::test]
async fn an_announcement_of_another_endpoint_says_nothing() {
    for (responder, status) in [("", 502), ("endpoint: other\r\n", 503)] {
        let headers = format!("{responder}leaving: 1\r\n");
        let steps = vec![response("421 Misdirected", "a1", &headers)];
        let only = Endpoint::start(steps).await;
        let fixture = Fixture::start(Some(fleet_view(&[&only]))).await;
        assert_eq!(
            fixture.send_request("once", "a1").await.unwrap().status(),
            status
        );
        let metrics = fixture.metrics().await;
        assert!(!metrics.contains("kind=\"leaving\""), "{metrics}");
    }
}

/// Guards against requests to the address of an endpoint that is gone, as long as it is listed and the
/// others fail: each of them is answered by another endpoint.
#[tokio::test]
async fn an_address_that_another_endpoint_uses_gets_no_further_requests() {
    for responder in ["", "endpoint: other\r\n"] {
        let replaced = Endpoint::start(vec![response("421 Misdirected", "a0", responder)]).await;
        let failing = Endpoint::start((0..8).map(|_| ScriptStep::Close).collect()).await;
        let fixture = Fixture::start(Some(fleet_view(&[&replaced, &failing]))).await;
        for number in 0..4 {
            let id = format!("a{number}");
            let failed = fixture.send_request("safe", &id).await.unwrap();
            assert!(failed.status().is_server_error());
        }
        assert_eq!(replaced.request_count(), 1);
    }
}

/// Guards against a request that is sent again to an endpoint that asked for a pause, or refused
/// although the pause is short: an at-most-once request waits for its end.
#[tokio::test]
async fn a_request_waits_for_the_end_of_a_short_pause() {
    const PAUSE: Duration = Duration::from_millis(600);
    let pause = format!("not-run: 1\r\npause: {}\r\n", PAUSE.as_secs_f64());
    let steps = vec![
        response("503 Busy", "a1", &pause),
        ScriptStep::Send(full_response("a1", "good")),
    ];
    let only = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&only]))).await;
    let sent_at = Instant::now();
    let answered = fixture.send_request("once", "a1").await.unwrap();
    assert_eq!(answered.status(), 200);
    assert!(sent_at.elapsed() >= PAUSE);
    assert_eq!(only.request_count(), 2);
}

/// Guards against a request that is held for a pause that ends too late, and against a time to return
/// before its end.
#[tokio::test]
async fn a_request_is_refused_at_once_for_a_long_pause() {
    let steps = vec![response("503 Busy", "a1", "not-run: 1\r\npause: 30.5\r\n")];
    let only = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&only]))).await;
    for id in ["a1", "a2"] {
        let sent_at = Instant::now();
        let refused = fixture.send_request("once", id).await.unwrap();
        assert_eq!(refused.status(), 503);
        assert!(sent_at.elapsed() < Duration::from_secs(2));
        let retry_after: f64 = refused.headers()["retry-after"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!((28.0..=30.5).contains(&retry_after), "{retry_after}");
    }
    assert_eq!(only.request_count(), 1);
}
