//! Tokens of requests whose outcome is not known.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::fixture::{
    Endpoint, Fixture, GenerousQuota, ScriptStep, fleet_view, full_response, not_run_response,
};

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
