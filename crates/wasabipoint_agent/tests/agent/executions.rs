//! Calls that must not be repeated, by the service's own count.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_agent::{Agent, HttpEndpoint};
use wasabipoint_fakes::{FakeService, ResponseFaults, ServiceOptions};
use wasabipoint_kernel::{ErrorKind, Incarnation, RequestId, RunState};
use wasabipoint_rpc::{Outcome, OutcomeRequest};

use crate::support::{
    INCARNATION, ServiceSetup, TestControl, booking, call, receive, seeds, settings, start_agent,
    start_service, wait_until,
};

fn question(request_id: RequestId) -> OutcomeRequest {
    OutcomeRequest {
        request_id,
        incarnation: INCARNATION,
    }
}

fn executions(service: &FakeService, id: RequestId) -> u64 {
    let counts = service.executions();
    counts.get(&id.to_string()).copied().unwrap_or(0)
}

/// Waits for the end of a running call and returns its outcome.
async fn settled(agent: &Agent, id: RequestId) -> Outcome {
    let mut outcome = agent.outcome(&question(id));
    for _ in 0..20_000 {
        if outcome != Outcome::Running {
            return outcome;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
        outcome = agent.outcome(&question(id));
    }
    outcome
}

/// Guards against a second run of a call whose response was lost on the way.
#[tokio::test]
async fn a_repeated_dispatch_gets_the_stored_response() {
    let setup = start_service(ServiceOptions::for_tests()).await;
    let request = booking();
    let id = request.request_id;
    let (first, second) = tokio::join!(
        call(&setup.agent, request.clone()),
        call(&setup.agent, request.clone())
    );
    assert!(first.end.is_some());
    let in_progress = Some((ErrorKind::OutcomeUnknown, RunState::Unknown));
    assert!(second.end.is_some() || second.failed == in_progress);
    let third = call(&setup.agent, request).await;
    assert!(third.end.is_some());
    assert_eq!(third.data, first.data);
    assert_eq!(executions(&setup.service, id), 1);
    let Outcome::Finished(stored) = setup.agent.outcome(&question(id)) else {
        panic!("the response is stored");
    };
    assert_eq!((stored.status, stored.body), (200, first.data));
}

/// Guards against a call that runs after the entry was told that it did not start.
#[tokio::test]
async fn a_call_reported_as_not_started_never_runs() {
    let setup = start_service(ServiceOptions::for_tests()).await;
    let request = booking();
    let id = request.request_id;
    assert_eq!(setup.agent.outcome(&question(id)), Outcome::NotStarted);
    let received = call(&setup.agent, request).await;
    assert_eq!(received.failed.unwrap().1, RunState::NotRun);
    assert_eq!(setup.agent.outcome(&question(id)), Outcome::NotStarted);
    assert_eq!(executions(&setup.service, id), 0);
}

/// Guards against a call that is cut when its entry goes, and whose outcome is then lost.
#[tokio::test]
async fn a_running_call_goes_on_without_its_entry() {
    let setup = start_service(ServiceOptions {
        call_ms: 100,
        ..ServiceOptions::for_tests()
    })
    .await;
    let request = booking();
    let id = request.request_id;
    let frames = setup.agent.dispatch(request);
    wait_until("the call runs", || executions(&setup.service, id) == 1).await;
    drop(frames);
    assert!(matches!(
        settled(&setup.agent, id).await,
        Outcome::Finished(_)
    ));
    assert_eq!(executions(&setup.service, id), 1);
}

/// Guards against outcomes that a restarted agent cannot know, and calls bound to its predecessor.
#[tokio::test]
async fn a_restarted_agent_answers_unknown_for_earlier_calls() {
    let ServiceSetup { service, agent } = start_service(ServiceOptions::for_tests()).await;
    let request = booking();
    let id = request.request_id;
    assert!(call(&agent, request.clone()).await.end.is_some());
    drop(agent);
    let config = settings("service", &service.address().to_string(), "");
    let endpoint = std::sync::Arc::new(HttpEndpoint::new(service.address()));
    let next = Incarnation(INCARNATION.0 + 1);
    let agent = start_agent(config, next, endpoint, &TestControl::new());
    assert_eq!(agent.outcome(&question(id)), Outcome::Unknown);
    let received = call(&agent, request).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::FencingStale, RunState::NotRun))
    );
    assert_eq!(executions(&service, id), 1);
}

/// Guards against a caller's key at an endpoint.
#[tokio::test]
async fn headers_are_passed_without_authorization() {
    let setup = start_service(ServiceOptions::for_tests()).await;
    let mut request = booking();
    for (name, value) in [
        ("Authorization", "Bearer secret"),
        ("x-trace", "7"),
        ("Host", "a"),
    ] {
        request.headers.push((name.to_owned(), value.to_owned()));
    }
    assert!(call(&setup.agent, request).await.end.is_some());
    let headers = setup.service.last_headers();
    assert!(headers.contains(&("x-trace".to_owned(), "7".to_owned())));
    let is_secret =
        |(name, value): &(String, String)| name == "authorization" || value.contains("secret");
    assert!(!headers.iter().any(is_secret), "{headers:?}");
}

/// Guards against more than one execution, and against outcomes that contradict the service's
/// count, with faults of the service and connections that close at any step.
#[tokio::test]
async fn calls_run_at_most_once_under_faults() {
    for seed in seeds(8) {
        println!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let setup = start_service(ServiceOptions::for_tests()).await;
        for _ in 0..25 {
            run_faulty_call(&setup, &mut random).await;
        }
    }
}

async fn run_faulty_call(setup: &ServiceSetup, random: &mut StdRng) {
    let mut faults = ResponseFaults::default();
    match random.random_range(0..5) {
        0 => faults.truncated = 1,
        1 => faults.crossed = 1,
        2 => (faults.late, faults.late_ms) = (1, 30),
        3 => faults.slow_ms = 5,
        _ => {}
    }
    setup.service.set_faults(faults.clone());
    let request = booking();
    let id = request.request_id;
    let mut attempts = Vec::new();
    for _ in 0..random.random_range(1..4) {
        let frames = setup.agent.dispatch(request.clone());
        let close_after = random
            .random_bool(0.6)
            .then(|| Duration::from_micros(random.random_range(0..8_000)));
        attempts.push(tokio::spawn(async move {
            match close_after {
                None => receive(id, frames).await.end.is_some(),
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
        setup.agent.outcome(&question(id));
    }
    let mut completed = 0;
    for attempt in attempts {
        completed += u64::from(attempt.await.unwrap());
    }
    let outcome = settled(&setup.agent, id).await;
    let count = executions(&setup.service, id);
    let context = format!("{outcome:?}, {count} executions, {completed} complete, {faults:?}");
    match outcome {
        Outcome::NotStarted => assert_eq!((count, completed), (0, 0), "{context}"),
        Outcome::Finished(_) => assert_eq!(count, 1, "{context}"),
        Outcome::Unknown => assert!(count <= 1 && completed == 0, "{context}"),
        Outcome::Running => panic!("the call ends: {context}"),
    }
    let again = call(&setup.agent, request).await;
    assert!(again.end.is_none() || count == 1, "{context}");
    assert_eq!(executions(&setup.service, id), count, "{context}");
}

/// Guards against an outcome of "not started" for a call that the service began before it died.
#[tokio::test]
async fn a_service_that_dies_leaves_the_outcome_unknown() {
    let ServiceSetup { service, agent } = start_service(ServiceOptions {
        call_ms: 60_000,
        ..ServiceOptions::for_tests()
    })
    .await;
    let request = booking();
    let id = request.request_id;
    let frames = agent.dispatch(request);
    wait_until("the call runs", || executions(&service, id) == 1).await;
    drop(service);
    let received = receive(id, frames).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::EndpointFailed, RunState::Unknown))
    );
    assert_eq!(agent.outcome(&question(id)), Outcome::Unknown);
    let request = booking();
    let id = request.request_id;
    let received = call(&agent, request).await;
    assert_eq!(
        received.failed,
        Some((ErrorKind::NoEndpoint, RunState::NotRun))
    );
    assert_eq!(agent.outcome(&question(id)), Outcome::NotStarted);
}
