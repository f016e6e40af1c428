//! Tests that calls which are not idempotent run at most once, by the execution count of the
//! service.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_agent::{Agent, HttpEndpoint};
use wasabipoint_fakes::{FakeService, ResponseFaults, ServiceOptions};
use wasabipoint_kernel::{ErrorKind, Incarnation, RequestId, RunState};
use wasabipoint_rpc::{Outcome, OutcomeRequest};

use crate::support::{
    INCARNATION, ServiceSetup, TestControl, agent_config, booking_request, receive_response, seeds,
    send_request, start_agent, start_service, wait_until,
};

fn outcome_request(request_id: RequestId) -> OutcomeRequest {
    OutcomeRequest {
        request_id,
        incarnation: INCARNATION,
    }
}

fn execution_count(service: &FakeService, id: RequestId) -> u64 {
    let counts = service.executions();
    counts.get(&id.to_string()).copied().unwrap_or(0)
}

/// Waits until a call no longer runs and returns its outcome.
async fn wait_for_outcome(agent: &Agent, id: RequestId) -> Outcome {
    let mut outcome = agent.outcome(&outcome_request(id));
    for _ in 0..20_000 {
        if outcome != Outcome::Running {
            return outcome;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
        outcome = agent.outcome(&outcome_request(id));
    }
    outcome
}

/// Guards against a second execution of a call that is dispatched again because its response was
/// lost.
#[tokio::test]
async fn a_repeated_dispatch_gets_the_stored_response() {
    let setup = start_service(ServiceOptions::for_tests()).await;
    let request = booking_request();
    let id = request.request_id;
    let (first, second) = tokio::join!(
        send_request(&setup.agent, request.clone()),
        send_request(&setup.agent, request.clone())
    );
    assert!(first.end.is_some());
    let in_progress = Some((ErrorKind::OutcomeUnknown, RunState::Unknown));
    assert!(second.end.is_some() || second.failed == in_progress);
    let third = send_request(&setup.agent, request).await;
    assert!(third.end.is_some());
    assert_eq!(third.data, first.data);
    assert_eq!(execution_count(&setup.service, id), 1);
    let Outcome::Finished(stored) = setup.agent.outcome(&outcome_request(id)) else {
        panic!("the response is stored");
    };
    assert_eq!((stored.status, stored.body), (200, first.data));
}

/// Guards against a call that runs after its outcome was reported as not started.
#[tokio::test]
async fn a_call_reported_as_not_started_never_runs() {
    let setup = start_service(ServiceOptions::for_tests()).await;
    let request = booking_request();
    let id = request.request_id;
    assert_eq!(
        setup.agent.outcome(&outcome_request(id)),
        Outcome::NotStarted
    );
    let received = send_request(&setup.agent, request).await;
    assert_eq!(received.failed.unwrap().1, RunState::NotRun);
    assert_eq!(
        setup.agent.outcome(&outcome_request(id)),
        Outcome::NotStarted
    );
    assert_eq!(execution_count(&setup.service, id), 0);
}

/// Guards against a call that is cancelled when the entry process disconnects, which would lose its
/// outcome.
#[tokio::test]
async fn a_running_call_continues_after_the_entry_disconnects() {
    let setup = start_service(ServiceOptions {
        call_ms: 100,
        ..ServiceOptions::for_tests()
    })
    .await;
    let request = booking_request();
    let id = request.request_id;
    let frames = setup.agent.dispatch(request);
    wait_until("the call runs", || execution_count(&setup.service, id) == 1).await;
    drop(frames);
    assert!(matches!(
        wait_for_outcome(&setup.agent, id).await,
        Outcome::Finished(_)
    ));
    assert_eq!(execution_count(&setup.service, id), 1);
}

/// Guards against a restarted agent that reports an outcome it cannot know, or accepts a call bound
/// to an earlier incarnation.
#[tokio::test]
async fn a_restarted_agent_reports_earlier_calls_as_unknown() {
    let ServiceSetup { service, agent } = start_service(ServiceOptions::for_tests()).await;
    let request = booking_request();
    let id = request.request_id;
    assert!(send_request(&agent, request.clone()).await.end.is_some());
    drop(agent);
    let config = agent_config("service", &service.address().to_string(), "");
    let endpoint = std::sync::Arc::new(HttpEndpoint::new(service.address()));
    let next = Incarnation(INCARNATION.0 + 1);
    let agent = start_agent(config, next, endpoint, &TestControl::new());
    assert_eq!(agent.outcome(&outcome_request(id)), Outcome::Unknown);
    let received = send_request(&agent, request).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::FencingStale, RunState::NotRun))
    );
    assert_eq!(execution_count(&service, id), 1);
}

/// Guards against forwarding a caller's API key to an endpoint.
#[tokio::test]
async fn headers_are_forwarded_without_authorization() {
    let setup = start_service(ServiceOptions::for_tests()).await;
    let mut request = booking_request();
    for (name, value) in [
        ("Authorization", "Bearer secret"),
        ("x-trace", "7"),
        ("Host", "a"),
    ] {
        request.headers.push((name.to_owned(), value.to_owned()));
    }
    assert!(send_request(&setup.agent, request).await.end.is_some());
    let headers = setup.service.last_headers();
    assert!(headers.contains(&("x-trace".to_owned(), "7".to_owned())));
    let is_secret =
        |(name, value): &(String, String)| name == "authorization" || value.contains("secret");
    assert!(!headers.iter().any(is_secret), "{headers:?}");
}

/// Guards against more than one execution of a call, and against outcomes that contradict the
/// service's count, when the service is faulty and connections close at any step.
#[tokio::test]
async fn calls_run_at_most_once_under_faults() {
    for seed in seeds(8) {
        println!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let setup = start_service(ServiceOptions::for_tests()).await;
        for _ in 0..25 {
            test_call_with_faults(&setup, &mut random).await;
        }
    }
}

async fn test_call_with_faults(setup: &ServiceSetup, random: &mut StdRng) {
    let mut faults = ResponseFaults::default();
    match random.random_range(0..5) {
        0 => faults.truncated = 1,
        1 => faults.crossed = 1,
        2 => (faults.late, faults.late_ms) = (1, 30),
        3 => faults.slow_ms = 5,
        _ => {}
    }
    setup.service.set_faults(faults.clone());
    let request = booking_request();
    let id = request.request_id;
    let mut attempts = Vec::new();
    for _ in 0..random.random_range(1..4) {
        let frames = setup.agent.dispatch(request.clone());
        let close_after = random
            .random_bool(0.6)
            .then(|| Duration::from_micros(random.random_range(0..8_000)));
        attempts.push(tokio::spawn(async move {
            match close_after {
                None => receive_response(id, frames).await.end.is_some(),
                Some(delay) => {
                    tokio::time::sleep(delay).await;
                    drop(frames);
                    false
                }
            }
        }));
    }
    if random.random_bool(0.3) {
        tokio::time::sleep(Duration::from_micros(random.random_range(0..3_000))).await;
        setup.agent.outcome(&outcome_request(id));
    }
    let mut completed = 0;
    for attempt in attempts {
        completed += u64::from(attempt.await.unwrap());
    }
    let outcome = wait_for_outcome(&setup.agent, id).await;
    let count = execution_count(&setup.service, id);
    let context = format!("{outcome:?}, {count} executions, {completed} complete, {faults:?}");
    match outcome {
        Outcome::NotStarted => assert_eq!((count, completed), (0, 0), "{context}"),
        Outcome::Finished(_) => assert_eq!(count, 1, "{context}"),
        Outcome::Unknown => assert!(count <= 1 && completed == 0, "{context}"),
        Outcome::Running => panic!("the call ends: {context}"),
    }
    let again = send_request(&setup.agent, request).await;
    assert!(again.end.is_none() || count == 1, "{context}");
    assert_eq!(execution_count(&setup.service, id), count, "{context}");
}

/// Guards against an outcome of "not started" for a call that the service began before it crashed.
#[tokio::test]
async fn a_service_crash_leaves_the_outcome_unknown() {
    let ServiceSetup { service, agent } = start_service(ServiceOptions {
        call_ms: 60_000,
        ..ServiceOptions::for_tests()
    })
    .await;
    let request = booking_request();
    let id = request.request_id;
    let frames = agent.dispatch(request);
    wait_until("the call runs", || execution_count(&service, id) == 1).await;
    drop(service);
    let received = receive_response(id, frames).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::EndpointFailed, RunState::Unknown))
    );
    assert_eq!(agent.outcome(&outcome_request(id)), Outcome::Unknown);
    let request = booking_request();
    let id = request.request_id;
    let received = send_request(&agent, request).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::NoEndpoint, RunState::NotRun))
    );
    assert_eq!(agent.outcome(&outcome_request(id)), Outcome::NotStarted);
}
