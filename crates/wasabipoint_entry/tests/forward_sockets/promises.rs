//! Refusals that promise that a request was not run, and what they rest on.

use futures::future::join_all;

use super::fixture::{Endpoint, Fixture, ScriptStep, fleet_view, full_response};

/// Statuses by which callers are told that a request was not run and never will be.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// How an endpoint treats one arrival of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behavior {
    /// Rejects it and states that it did not run, with this status.
    Rejects(u16),
    /// As `Rejects`, and writes the response again when the next request arrives.
    RejectsWithLateCopy,
    /// Runs it and responds with this status, without a statement.
    Runs(u16),
    /// Runs it and closes the connection.
    RunsAndCloses,
    /// Runs it and resets the connection within the response head.
    RunsAndResets,
    /// Runs it and sends the response to another request.
    RunsWithOtherResponse,
}

const BEHAVIORS: [Behavior; 12] = [
    Behavior::Rejects(503),
    Behavior::Rejects(421),
    Behavior::RejectsWithLateCopy,
    Behavior::Runs(200),
    Behavior::Runs(408),
    Behavior::Runs(421),
    Behavior::Runs(429),
    Behavior::Runs(500),
    Behavior::Runs(503),
    Behavior::RunsAndCloses,
    Behavior::RunsAndResets,
    Behavior::RunsWithOtherResponse,
];

impl Behavior {
    fn step(self, id: &str) -> ScriptStep {
        match self {
            Self::Rejects(status) => ScriptStep::Send(response(status, id, "not-run: 1\r\n")),
            Self::RejectsWithLateCopy => {
                ScriptStep::SendWithLateCopy(response(503, id, "not-run: 1\r\n"))
            }
            Self::Runs(status) => ScriptStep::Send(response(status, id, "")),
            Self::RunsAndCloses => ScriptStep::Close,
            Self::RunsAndResets => ScriptStep::SendAndReset("HTTP/1.1 503 Busy\r\nid".to_owned()),
            Self::RunsWithOtherResponse => ScriptStep::Send(full_response("other", "not yours")),
        }
    }

    fn runs(self) -> bool {
        !matches!(self, Self::Rejects(_) | Self::RejectsWithLateCopy)
    }
}

fn response(status: u16, id: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nid: {id}\r\n{headers}content-length: 0\r\n\r\n")
}

/// Sends a request to an endpoint that behaves so, then always responds with 200. Returns the status
/// that the caller receives, and how often the request ran.
async fn send_to(route: &str, behaviors: &[Behavior]) -> (u16, usize) {
    let last = [Behavior::Runs(200); 4];
    let script: Vec<Behavior> = behaviors.iter().copied().chain(last).collect();
    let steps = script.iter().map(|behavior| behavior.step("a1")).collect();
    let only = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&only]))).await;
    let response = fixture.send_request(route, "a1").await.unwrap();
    let arrivals = script.iter().take(only.request_count());
    let runs = arrivals.filter(|behavior| behavior.runs()).count();
    (response.status().as_u16(), runs)
}

/// An endpoint fails after it began and answers as an application does. Guards against passing its
/// status on to the caller, who reads it as "not run" and sends the request again.
#[tokio::test]
async fn a_status_without_a_statement_is_no_promise_to_the_caller() {
    for status in NOT_RUN_STATUSES {
        let (received, runs) = send_to("once", &[Behavior::Runs(status)]).await;
        assert_eq!((received, runs), (502, 1), "status {status}");
    }
}

/// Guards against an at-most-once request that runs twice or is refused as "not run" and runs, for
/// every pair of behaviors of its endpoint.
#[tokio::test]
async fn every_refusal_of_an_at_most_once_request_is_true() {
    for first in BEHAVIORS {
        let plays = BEHAVIORS.map(|second| async move {
            let (received, runs) = send_to("once", &[first, second]).await;
            assert!(runs <= 1, "{first:?}, {second:?}: ran {runs} times");
            let is_promise = NOT_RUN_STATUSES.contains(&received);
            let is_true = !is_promise || runs == 0;
            assert!(is_true, "{first:?}, {second:?}: {received} and ran");
        });
        join_all(plays).await;
    }
}

/// Guards against replacing the responses to requests that may run again, which are returned as the
/// endpoint gave them.
#[tokio::test]
async fn the_status_of_an_idempotent_request_is_passed_on() {
    let (received, runs) = send_to("safe", &[Behavior::Runs(429)]).await;
    assert_eq!((received, runs), (429, 1));
}

/// Guards against an idempotent request that fails at an endpoint that rejects it without a statement,
/// although another one serves it.
#[tokio::test]
async fn an_idempotent_request_is_sent_on_after_a_misdirection_without_a_statement() {
    let rejection = response(421, "a1", "");
    let first = Endpoint::start(vec![ScriptStep::Send(rejection)]).await;
    let second = Endpoint::start(vec![ScriptStep::Send(full_response("a1", "good"))]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
    let response = fixture.send_request("safe", "a1").await.unwrap();
    assert_eq!(response.status(), 200);
}

/// A caller that was refused sends the same request again, with the same id. Guards against a late
/// second copy of the first refusal that is taken for its response: it was refused and ran.
#[tokio::test]
async fn a_caller_that_repeats_its_request_is_not_answered_by_a_late_copy() {
    let rejections = [Behavior::RejectsWithLateCopy; 3];
    let steps = rejections.map(|behavior| behavior.step("a1")).into_iter();
    let served = (0..4).map(|_| ScriptStep::Send(full_response("a1", "good")));
    let only = Endpoint::start(steps.chain(served).collect()).await;
    let fixture = Fixture::start(Some(fleet_view(&[&only]))).await;
    let refused = fixture.send_request("once", "a1").await.unwrap();
    assert_eq!(refused.status(), 503);
    let repeated = fixture.send_request("once", "a1").await.unwrap();
    assert_eq!(repeated.status(), 200);
    assert_eq!(only.request_count(), rejections.len() + 1);
}
