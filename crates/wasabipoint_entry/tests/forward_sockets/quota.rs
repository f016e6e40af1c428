//! Tokens of requests whose outcome is not known.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::{Discard, Logger, o};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use wasabipoint_rpc::QuotaVerdict;

use super::control::GenerousQuota;
use super::fixture::{Endpoint, Fixture, ScriptStep, fleet_view, full_response, not_run_response};
use super::scarce_quota::ScarceQuota;

const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request of the customer with a rate limit, to a route that needs a key.
async fn send_limited(fixture: &Fixture, id: &str) -> TcpStream {
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    let head = format!(
        "POST /keyed/x HTTP/1.1\r\nhost: app.example\r\nid: {id}\r\nkey: limited\r\n\
         content-length: 0\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller
}

/// Stops the entry process, which then returns its tokens, and returns those spent.
async fn spent_tokens(mut fixture: Fixture, quota: &GenerousQuota) -> u64 {
    fixture.stop_sender.take().unwrap().send(()).unwrap();
    let settled = async {
        while quota.spent_tokens.load(Ordering::Relaxed) == 0
            && quota.returned_tokens.load(Ordering::Relaxed) == 0
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, settled).await.unwrap();
    quota.spent_tokens.load(Ordering::Relaxed)
}

/// Guards against a customer that gets more than its rate because its callers leave before their
/// responses begin: the requests may have run, and their tokens were given back.
#[tokio::test]
async fn a_request_whose_caller_left_is_spent_once_it_was_sent() {
    const REQUESTS: u64 = 5;
    let (closed, closed_receivers): (Vec<_>, Vec<_>) =
        (0..REQUESTS).map(|_| oneshot::channel()).unzip();
    let steps = closed.into_iter().map(ScriptStep::StaySilent).collect();
    let endpoint = Endpoint::start(steps).await;
    let quota = Arc::new(GenerousQuota::default());
    let fixture = Fixture::start_with_quota(fleet_view(&[&endpoint]), &quota).await;
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        callers.push(send_limited(&fixture, &format!("a{number}")).await);
    }
    while endpoint.request_count() < REQUESTS as usize {
        tokio::task::yield_now().await;
    }
    drop(callers);
    for closed in closed_receivers {
        tokio::time::timeout(STEP_TIMEOUT, closed)
            .await
            .unwrap()
            .unwrap();
    }
    assert_eq!(spent_tokens(fixture, &quota).await, REQUESTS);
}

/// Guards against tokens that are spent for requests that did not run.
#[tokio::test]
async fn a_request_that_was_not_run_is_spent_only_by_the_attempt_that_runs() {
    let endpoint = Endpoint::start(vec![
        ScriptStep::Send(not_run_response("a1")),
        ScriptStep::Send(full_response("a1", "good")),
        ScriptStep::Send(not_run_response("a2")),
        ScriptStep::Send(not_run_response("a2")),
        ScriptStep::Send(not_run_response("a2")),
    ])
    .await;
    let quota = Arc::new(GenerousQuota::default());
    let fixture = Fixture::start_with_quota(fleet_view(&[&endpoint]), &quota).await;
    for (id, status) in [("a1", 200), ("a2", 503)] {
        let mut request = fixture.build_request("keyed", id);
        request
            .headers_mut()
            .insert("key", "limited".parse().unwrap());
        let fetched = fixture.client.fetch(request, 1_024, STEP_TIMEOUT).await;
        assert_eq!(fetched.unwrap().status(), status);
    }
    assert_eq!(spent_tokens(fixture, &quota).await, 1);
}

async fn fetch_limited(fixture: &Fixture, id: &str) -> http::Response<bytes::Bytes> {
    let mut request = fixture.build_request("keyed", id);
    request
        .headers_mut()
        .insert("key", "limited".parse().unwrap());
    let fetched = fixture.client.fetch(request, 1_024, STEP_TIMEOUT).await;
    fetched.unwrap()
}

/// Guards against refusing a request that can wait for its tokens, and against statements to the
/// leader from which it cannot decide by urgency.
#[tokio::test]
async fn a_request_that_was_accepted_gets_its_tokens_in_a_later_exchange() {
    let endpoint = Endpoint::start(vec![ScriptStep::Send(full_response("a1", "good"))]).await;
    let scarce = ScarceQuota::new(|exchanges| match exchanges {
        0 | 1 => QuotaVerdict::Waits { expected_ms: 20 },
        _ => QuotaVerdict::Granted,
    });
    let logger = Logger::root(Discard, o!());
    let fixture = Fixture::start_scarce(fleet_view(&[&endpoint]), &scarce, logger).await;
    let response = fetch_limited(&fixture, "a1").await;
    assert_eq!(response.status(), 200);
    let metrics = fixture.metrics().await;
    assert!(
        metrics.contains("wasabipoint_forward_token_wait_seconds_count{class=\"short\""),
        "{metrics}"
    );
    let requests = scarce.requests.lock().unwrap();
    let tickets: Vec<_> = (requests.iter())
        .flat_map(|request| &request.demand)
        .flat_map(|demand| &demand.tickets)
        .collect();
    let accepted: Vec<bool> = tickets.iter().map(|ticket| ticket.is_accepted).collect();
    assert_eq!(accepted, [false, true, true]);
    // The objective of the route is 300 ms.
    assert!(tickets.iter().all(|ticket| ticket.start_within_ms <= 75));
    assert!(tickets.iter().all(|ticket| !ticket.can_wait));
    assert_ne!(tickets[0].digest, 0);
}

/// Guards against a refusal that tells another time than the leader's, that holds the request, or that
/// sends it to an endpoint.
#[tokio::test]
async fn a_request_that_cannot_wait_is_refused_with_the_time_of_the_leader() {
    let endpoint = Endpoint::start(Vec::new()).await;
    let scarce = ScarceQuota::new(|_| QuotaVerdict::Refused {
        retry_after_ms: 1_700,
    });
    let logger = Logger::root(Discard, o!());
    let fixture = Fixture::start_scarce(fleet_view(&[&endpoint]), &scarce, logger).await;
    for number in 0..3 {
        let response = fetch_limited(&fixture, &format!("a{number}")).await;
        assert_eq!(response.status(), 429);
        let retry_after = response.headers()["retry-after"].to_str().unwrap();
        assert!(retry_after.parse::<f64>().unwrap() >= 1.7, "{retry_after}");
    }
    assert_eq!(endpoint.request_count(), 0);
    assert_eq!(scarce.requests.lock().unwrap().len(), 3);
}
