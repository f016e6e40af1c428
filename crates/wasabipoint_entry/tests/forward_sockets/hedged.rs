//! Requests that are sent to a second endpoint because the first one is slow.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use slog::{Discard, Logger, o};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use wasabipoint_http::ClientError;

use super::control::{GenerousQuota, PromptLeader, StaticControl};
use super::fixture::{
    Endpoint, Fixture, ScriptStep, chunked_response, fleet_view, full_response, not_run_response,
};

/// Number of latencies from which requests are hedged.
const WARM_UP_REQUESTS: usize = 50;

/// Longer than the delay of hedged requests, which follows from latencies of milliseconds.
const SLOW: Duration = Duration::from_millis(400);

const STEP_TIMEOUT: Duration = Duration::from_secs(10);

const MAX_PERCENT: u32 = 20;

fn discard() -> Logger {
    Logger::root(Discard, o!())
}

fn control(endpoints: &[&Endpoint]) -> StaticControl {
    StaticControl {
        fleet_view: Some(fleet_view(endpoints)),
        ..StaticControl::default()
    }
}

/// Returns steps of an endpoint that answers the requests of the warm-up at once.
pub(crate) fn after_warm_up(steps: impl IntoIterator<Item = ScriptStep>) -> Vec<ScriptStep> {
    let warm_up = (0..WARM_UP_REQUESTS).map(|number| {
        let response = full_response(&format!("w{number}"), "");
        ScriptStep::Send(response)
    });
    warm_up.chain(steps).collect()
}

pub(crate) async fn warm_up(fixture: &Fixture, route: &str) {
    for number in 0..WARM_UP_REQUESTS {
        let mut request = fixture.build_request(route, &format!("w{number}"));
        request
            .headers_mut()
            .insert("key", "limited".parse().unwrap());
        let fetched = fixture.client.fetch(request, 1_024, STEP_TIMEOUT).await;
        assert_eq!(fetched.unwrap().status(), 200);
    }
}

/// Starts an entry process that hedges, and makes it learn the latencies of a route.
async fn start(route: &str, endpoints: &[&Endpoint]) -> Fixture {
    let fixture = Fixture::start_hedged(control(endpoints), MAX_PERCENT, discard()).await;
    warm_up(&fixture, route).await;
    fixture
}

fn slow(text: String) -> ScriptStep {
    ScriptStep::SendWithPause(String::new(), SLOW, text)
}

/// A connection that breaks after a while, since it carries something else than HTTP.
fn slow_failure() -> ScriptStep {
    slow("not HTTP\r\n\r\n".to_owned())
}

fn good(id: &str, body: &str) -> ScriptStep {
    ScriptStep::Send(full_response(id, body))
}

async fn assert_closed(receiver: oneshot::Receiver<()>) {
    let closed = tokio::time::timeout(STEP_TIMEOUT, receiver).await;
    closed.unwrap().unwrap();
}

async fn send(fixture: &Fixture, route: &str, id: &str) -> (u16, String) {
    let response = fixture.send_request(route, id).await.unwrap();
    let body = String::from_utf8_lossy(response.body()).into_owned();
    (response.status().as_u16(), body)
}

async fn hedge_count(fixture: &Fixture, event: &str) -> u64 {
    let metrics = fixture.metrics().await;
    let name = format!("event=\"{event}\"");
    let line = metrics
        .lines()
        .find(|line| line.starts_with("wasabipoint_forward_hedges") && line.contains(&name));
    line.map_or(0, |line| line.rsplit_once(' ').unwrap().1.parse().unwrap())
}

/// Guards against a request that waits for a slow endpoint although another one is free, against work
/// that goes on at the slow one, and against silence of a cancelled attempt that counts as a failure.
#[tokio::test]
async fn the_response_of_the_second_endpoint_is_delivered() {
    let (closed, closed_receiver) = oneshot::channel();
    let steps = after_warm_up([ScriptStep::StaySilent(closed), good("a2", "again")]);
    let first = Endpoint::start(steps).await;
    let second = Endpoint::start(vec![good("a1", "good"), good("a2", "hedge")]).await;
    let fixture = start("safe", &[&first, &second]).await;
    assert_eq!(send(&fixture, "safe", "a1").await, (200, "good".to_owned()));
    assert_closed(closed_receiver).await;
    assert_eq!(hedge_count(&fixture, "sent").await, 1);
    assert_eq!(hedge_count(&fixture, "won").await, 1);
    // The slow endpoint is still preferred.
    assert_eq!(send(&fixture, "safe", "a2").await.0, 200);
    assert_eq!(first.request_count(), WARM_UP_REQUESTS + 2);
}

/// Guards against a response that is lost because a second attempt runs, and against work that goes on
/// at the second endpoint.
#[tokio::test]
async fn the_response_of_the_first_endpoint_cancels_the_second_attempt() {
    let (closed, closed_receiver) = oneshot::channel();
    let first = Endpoint::start(after_warm_up([slow(full_response("a1", "good"))])).await;
    let second = Endpoint::start(vec![ScriptStep::StaySilent(closed)]).await;
    let fixture = start("safe", &[&first, &second]).await;
    assert_eq!(send(&fixture, "safe", "a1").await, (200, "good".to_owned()));
    assert_closed(closed_receiver).await;
    assert_eq!(hedge_count(&fixture, "wasted").await, 1);
    assert_eq!(hedge_count(&fixture, "won").await, 0);
}

/// Guards against the late response of a cancelled attempt that reaches a caller.
#[tokio::test]
async fn a_late_response_of_the_slow_endpoint_reaches_nobody() {
    let steps = after_warm_up([slow(full_response("a1", "late")), good("a2", "two")]);
    let first = Endpoint::start(steps).await;
    let second = Endpoint::start(vec![good("a1", "good"), good("a2", "two")]).await;
    let fixture = start("safe", &[&first, &second]).await;
    assert_eq!(send(&fixture, "safe", "a1").await, (200, "good".to_owned()));
    tokio::time::sleep(SLOW).await;
    assert_eq!(send(&fixture, "safe", "a2").await, (200, "two".to_owned()));
}

/// Guards against more attempts than the route allows, and against a refusal that promises that a
/// request did not run.
#[tokio::test]
async fn two_failed_attempts_use_up_the_attempts_of_a_request() {
    for second_step in [slow_failure(), ScriptStep::Close] {
        let first = Endpoint::start(after_warm_up([slow_failure()])).await;
        let steps = Arc::new(Mutex::new(VecDeque::from([second_step])));
        let others = [
            Endpoint::start_sharing(&steps).await,
            Endpoint::start_sharing(&steps).await,
        ];
        let leader = Arc::new(PromptLeader::default());
        let control = StaticControl {
            leader: Some(Arc::clone(&leader)),
            scarce: None,
            ..control(&[&first, &others[0], &others[1]])
        };
        let fixture = Fixture::start_hedged(control, MAX_PERCENT, discard()).await;
        warm_up(&fixture, "safe").await;
        assert_eq!(send(&fixture, "safe", "a1").await.0, 502);
        assert_eq!(first.request_count(), WARM_UP_REQUESTS + 1);
        assert_eq!(others[0].request_count() + others[1].request_count(), 1);
        // Both endpoints may have crashed by the request.
        leader.wait_for_failures(2).await;
    }
}

/// Guards against a third attempt after two that may have run, the second of which ended with a refusal
/// without a proof.
#[tokio::test]
async fn an_unproven_refusal_of_the_second_attempt_uses_up_the_attempts() {
    let first = Endpoint::start(after_warm_up([slow_failure()])).await;
    let refusal = full_response("a1", "").replacen("200 OK", "421 Misdirected", 1);
    let step = ScriptStep::SendWithPause(String::new(), SLOW * 2, refusal);
    let steps = Arc::new(Mutex::new(VecDeque::from([step, good("a1", "third")])));
    let others = [
        Endpoint::start_sharing(&steps).await,
        Endpoint::start_sharing(&steps).await,
    ];
    let fixture = start("safe", &[&first, &others[0], &others[1]]).await;
    assert_eq!(send(&fixture, "safe", "a1").await.0, 502);
    assert_eq!(others[0].request_count() + others[1].request_count(), 1);
}

/// Guards against a failure that is delivered, or a third attempt, while the second one still runs.
#[tokio::test]
async fn a_failure_of_the_first_attempt_waits_for_the_second() {
    for failure in [
        "not HTTP\r\n\r\n".to_owned(),
        full_response("a1", "").replacen("200 OK", "500 Failed", 1),
        not_run_response("a1"),
    ] {
        let first = Endpoint::start(after_warm_up([slow(failure)])).await;
        let step = ScriptStep::SendWithPause(String::new(), SLOW * 2, full_response("a1", "good"));
        let steps = Arc::new(Mutex::new(VecDeque::from([step])));
        let others = [
            Endpoint::start_sharing(&steps).await,
            Endpoint::start_sharing(&steps).await,
        ];
        let fixture = start("safe", &[&first, &others[0], &others[1]]).await;
        assert_eq!(send(&fixture, "safe", "a1").await, (200, "good".to_owned()));
        assert_eq!(others[0].request_count() + others[1].request_count(), 1);
    }
}

/// Guards against the error of an endpoint that is replaced by one of this process because the other
/// attempt got no response at all.
#[tokio::test]
async fn an_error_response_is_delivered_if_the_other_attempt_fails() {
    let error = full_response("a1", "reason").replacen("200 OK", "500 Failed", 1);
    let first = Endpoint::start(after_warm_up([slow(error)])).await;
    let second = Endpoint::start(vec![ScriptStep::Close]).await;
    let fixture = start("safe", &[&first, &second]).await;
    let (status, body) = send(&fixture, "safe", "a1").await;
    assert_eq!((status, body.as_str()), (500, "reason"));
}

/// Guards against requests that run twice although they may run once only.
#[tokio::test]
async fn requests_that_may_run_once_are_never_hedged() {
    for route in ["once", "stream"] {
        let response = full_response("a1", "data: good\n\n");
        let first = Endpoint::start(after_warm_up([slow(response)])).await;
        let second = Endpoint::start(vec![]).await;
        let fixture = start(route, &[&first, &second]).await;
        assert_eq!(send(&fixture, route, "a1").await.0, 200);
        assert_eq!(second.request_count(), 0);
    }
}

/// Guards against hedged requests that no operator asked for, and against more of them than the limit.
#[tokio::test]
async fn a_request_beyond_the_limit_is_not_hedged() {
    for (percent, refused) in [(0, 0), (1, 1)] {
        let first = Endpoint::start(after_warm_up([slow(full_response("a1", "good"))])).await;
        let second = Endpoint::start(vec![]).await;
        let control = control(&[&first, &second]);
        let fixture = Fixture::start_hedged(control, percent, discard()).await;
        warm_up(&fixture, "safe").await;
        assert_eq!(send(&fixture, "safe", "a1").await.0, 200);
        assert_eq!(second.request_count(), 0);
        assert_eq!(hedge_count(&fixture, "refused_limit").await, refused);
    }
}

/// Guards against a refusal as "not run" without a proof for both attempts, and against one as unknown
/// although there are both proofs.
#[tokio::test]
async fn a_refusal_needs_a_proof_for_both_attempts() {
    let not_run = || ScriptStep::Send(not_run_response("a1"));
    for (first_step, second_step, status) in [
        (slow(not_run_response("a1")), not_run(), 503),
        (slow(not_run_response("a1")), ScriptStep::Close, 502),
        (slow_failure(), not_run(), 502),
    ] {
        let first = Endpoint::start(after_warm_up([first_step, not_run(), not_run()])).await;
        let second = Endpoint::start(vec![second_step, not_run(), not_run()]).await;
        let fixture = start("safe", &[&first, &second]).await;
        assert_eq!(send(&fixture, "safe", "a1").await.0, status);
    }
}

/// Guards against a second attempt that delays the failover to a third endpoint: the second endpoint
/// refused, the first one is silent.
#[tokio::test]
async fn a_refused_second_attempt_does_not_prevent_a_failover() {
    let (closed, _closed_receiver) = oneshot::channel();
    let first = Endpoint::start(after_warm_up([ScriptStep::StaySilent(closed)])).await;
    let steps = VecDeque::from([ScriptStep::Send(not_run_response("a1")), good("a1", "good")]);
    let steps = Arc::new(Mutex::new(steps));
    let others = [
        Endpoint::start_sharing(&steps).await,
        Endpoint::start_sharing(&steps).await,
    ];
    let fixture = start("safe", &[&first, &others[0], &others[1]]).await;
    let response = tokio::time::timeout(Duration::from_secs(3), send(&fixture, "safe", "a1")).await;
    assert_eq!(response.unwrap(), (200, "good".to_owned()));
    assert_eq!(
        (others[0].request_count(), others[1].request_count()),
        (1, 1)
    );
}

/// Guards against a customer that pays for both attempts.
#[tokio::test]
async fn a_hedged_request_is_spent_once() {
    let first = Endpoint::start(after_warm_up([slow(full_response("a1", "late"))])).await;
    let second = Endpoint::start(vec![good("a1", "good")]).await;
    let quota = Arc::new(GenerousQuota::default());
    let control = StaticControl {
        quota: Some(Arc::clone(&quota)),
        ..control(&[&first, &second])
    };
    let mut fixture = Fixture::start_hedged(control, MAX_PERCENT, discard()).await;
    warm_up(&fixture, "keyed").await;
    let mut request = fixture.build_request("keyed", "a1");
    request
        .headers_mut()
        .insert("key", "limited".parse().unwrap());
    let fetched = fixture.client.fetch(request, 1_024, STEP_TIMEOUT).await;
    assert_eq!(&fetched.unwrap().body()[..], b"good");
    fixture.stop_sender.take().unwrap().send(()).unwrap();
    let spent = || quota.spent_tokens.load(Ordering::Relaxed);
    let expected = WARM_UP_REQUESTS as u64 + 1;
    let settled = async {
        while spent() < expected {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, settled).await.unwrap();
    // A second settlement would be part of the next exchange.
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(spent(), expected);
}

/// Guards against second attempts that a process which is about to exit has to wait for.
#[tokio::test]
async fn a_draining_process_does_not_hedge() {
    let first = Endpoint::start(after_warm_up([slow(full_response("a1", "good"))])).await;
    let second = Endpoint::start(vec![]).await;
    let mut fixture = start("safe", &[&first, &second]).await;
    fixture.stop_sender.take().unwrap().send(()).unwrap();
    while fixture.ready_status().await == 200 {
        tokio::task::yield_now().await;
    }
    assert_eq!(send(&fixture, "safe", "a1").await.0, 200);
    assert_eq!(second.request_count(), 0);
}

/// Guards against a caller that is told "not run" at the end of a drain while two endpoints work, and
/// against work that goes on there.
#[tokio::test]
async fn the_end_of_a_drain_cancels_both_attempts() {
    let (closed, closed_receivers): (Vec<_>, Vec<_>) = (0..2).map(|_| oneshot::channel()).unzip();
    let mut silent = closed.into_iter().map(ScriptStep::StaySilent);
    let first = Endpoint::start(after_warm_up(silent.next())).await;
    let second = Endpoint::start(silent.collect()).await;
    let mut fixture = start("safe", &[&first, &second]).await;
    let stop_sender = fixture.stop_sender.take().unwrap();
    let stop = async {
        while second.request_count() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        stop_sender.send(()).unwrap();
    };
    let ((status, body), ()) = tokio::join!(send(&fixture, "safe", "a1"), stop);
    assert_eq!(status, 502, "{body}");
    for receiver in closed_receivers {
        assert_closed(receiver).await;
    }
}

/// Guards against endpoints that work on for a caller that left.
#[tokio::test]
async fn a_caller_that_leaves_cancels_both_attempts() {
    let (closed, closed_receivers): (Vec<_>, Vec<_>) = (0..2).map(|_| oneshot::channel()).unzip();
    let mut silent = closed.into_iter().map(ScriptStep::StaySilent);
    let first = Endpoint::start(after_warm_up(silent.next())).await;
    let second = Endpoint::start(silent.collect()).await;
    let fixture = start("safe", &[&first, &second]).await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    let head = "POST /safe/x HTTP/1.1\r\nhost: app.example\r\nid: a1\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    while second.request_count() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(caller);
    for receiver in closed_receivers {
        assert_closed(receiver).await;
    }
}

/// Sends a stream whose second attempt wins and breaks off after two events. Returns what the caller
/// receives and the heads of the requests at the endpoints besides the first.
async fn break_off_winner(route: &str) -> (Result<String, ClientError>, Vec<String>) {
    let (closed, _closed_receiver) = oneshot::channel();
    let first = Endpoint::start(after_warm_up([ScriptStep::StaySilent(closed)])).await;
    let broken = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\nda"];
    let rest = ["id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
    let steps = VecDeque::from([
        ScriptStep::SendAndClose(chunked_response("a1", &broken, false)),
        ScriptStep::Send(chunked_response("a1", &rest, true)),
    ]);
    let steps = Arc::new(Mutex::new(steps));
    let others = [
        Endpoint::start_sharing(&steps).await,
        Endpoint::start_sharing(&steps).await,
    ];
    let fixture = start(route, &[&first, &others[0], &others[1]]).await;
    let response = fixture.send_request(route, "a1").await;
    let text = response.map(|response| {
        assert_eq!(response.status(), StatusCode::OK);
        String::from_utf8_lossy(response.body()).into_owned()
    });
    let heads = others.iter();
    let heads = heads.flat_map(|other| other.request_heads.lock().unwrap().clone());
    (text, heads.collect())
}

/// Guards against event ids that are lost, or events that come twice, when the stream of a second
/// attempt breaks off and is resumed.
#[tokio::test]
async fn the_stream_of_a_second_attempt_is_resumed() {
    let (text, heads) = break_off_winner("thrice").await;
    let text = text.unwrap();
    let ids: Vec<&str> = text.lines().filter(|line| line.starts_with("id")).collect();
    assert_eq!(ids, ["id: 1", "id: 2", "id: 3", "id: 4"]);
    let resumed = heads
        .iter()
        .filter(|head| head.contains("last-event-id: 2"));
    assert_eq!((heads.len(), resumed.count()), (2, 1));
}

/// Guards against a resumption that exceeds the attempts of the route.
#[tokio::test]
async fn a_cancelled_attempt_counts_as_one_of_the_attempts() {
    let (text, heads) = break_off_winner("resumable").await;
    assert!(matches!(text, Err(ClientError::Interrupted(_))), "{text:?}");
    assert_eq!(heads.len(), 1);
}

/// Guards against a third request with the same id at an endpoint whose attempt was cancelled: the first
/// attempt won, and its stream broke off.
#[tokio::test]
async fn a_stream_is_not_resumed_where_an_attempt_was_cancelled() {
    let broken = chunked_response("a1", &["id: 1\ndata: a\n\n", "id: 2\nda"], false);
    let broken = ScriptStep::SendWithPause(String::new(), SLOW, broken + "not a chunk\r\n");
    let first = Endpoint::start(after_warm_up([broken])).await;
    let (closed, closed_receiver) = oneshot::channel();
    let rest = chunked_response("a1", &["id: 2\ndata: b\n\n"], true);
    let steps = vec![ScriptStep::StaySilent(closed), ScriptStep::Send(rest)];
    let second = Endpoint::start(steps).await;
    let fixture = start("thrice", &[&first, &second]).await;
    let result = fixture.send_request("thrice", "a1").await;
    assert!(
        matches!(result, Err(ClientError::Interrupted(_))),
        "{result:?}"
    );
    assert_closed(closed_receiver).await;
    assert_eq!(second.request_count(), 1);
}

/// Guards against a second attempt that crashes one more endpoint: the first attempt of an equal
/// request broke off.
#[tokio::test]
async fn a_request_that_may_crash_endpoints_is_not_hedged() {
    let first = Endpoint::start(after_warm_up([ScriptStep::Close])).await;
    let steps = VecDeque::from([
        good("a1", "good"),
        slow(full_response("a2", "good")),
        good("a2", "hedge"),
    ]);
    let steps = Arc::new(Mutex::new(steps));
    let others = [
        Endpoint::start_sharing(&steps).await,
        Endpoint::start_sharing(&steps).await,
    ];
    let fixture = start("safe", &[&first, &others[0], &others[1]]).await;
    assert_eq!(send(&fixture, "safe", "a1").await, (200, "good".to_owned()));
    assert_eq!(send(&fixture, "safe", "a2").await, (200, "good".to_owned()));
    assert_eq!(others[0].request_count() + others[1].request_count(), 2);
}
