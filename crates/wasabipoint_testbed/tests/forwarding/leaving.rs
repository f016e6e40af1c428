//! Endpoints that announce in their responses that they leave, before the directory lists it.

use std::time::{Duration, Instant};

use http::StatusCode;

use super::fixture::Fleet;

/// Time from the first response that announces it until no entry process sends requests any more.
const ADOPTION_TIME: Duration = Duration::from_secs(1);

/// Prompt parts of every request.
const PROMPT: &str = "a1:10,b1:10,c1:10";

/// Number of concurrent callers of each entry process. They outweigh the preference for an engine that
/// has the prompt cached.
const CALLERS_PER_ENTRY: usize = 8;

/// Sends requests through every entry process until `end`; each must be served.
async fn send_requests(fleet: &Fleet, end: Instant) {
    let callers = (0..fleet.entries.len() * CALLERS_PER_ENTRY).map(async |caller| {
        while Instant::now() < end {
            let response = fleet.send(caller % fleet.entries.len(), PROMPT).await;
            assert_eq!(response.unwrap().status(), StatusCode::OK);
        }
    });
    futures::future::join_all(callers).await;
}

/// Starts a fleet under load and lets its first engine announce that it leaves.
async fn start_with_leaving_engine(members: usize) -> Fleet {
    let fleet = Fleet::start(members, 3, 3).await;
    for entry in 0..3 {
        fleet.send_until_served(entry, PROMPT).await;
    }
    send_requests(&fleet, Instant::now() + ADOPTION_TIME / 2).await;
    fleet.engines[0].announce_leaving();
    send_requests(&fleet, Instant::now() + ADOPTION_TIME).await;
    fleet
}

/// Guards against an endpoint that is used until the directory lists it as leaving, by the entry
/// process that heard it or by the others.
#[tokio::test]
async fn no_entry_process_uses_an_endpoint_that_announced_its_end() {
    let fleet = start_with_leaving_engine(1).await;
    let start = Instant::now();
    send_requests(&fleet, start + ADOPTION_TIME).await;
    assert_eq!(fleet.engines[0].arrivals_since(start), 0);
    assert!(fleet.engines[1].arrivals_since(start) > 0);
}

/// Guards against an announcement that is forgotten with the entry process that heard it, with the
/// leader that was told, or because the directory still lists the endpoint as ready.
#[tokio::test]
async fn an_announced_end_survives_a_new_entry_process_and_a_new_leader() {
    let mut fleet = start_with_leaving_engine(3).await;
    fleet.stop_leader().await;
    let start = Instant::now();
    fleet.entries.clear();
    fleet.add_entry().await;
    send_requests(&fleet, Instant::now() + 2 * ADOPTION_TIME).await;
    assert_eq!(fleet.engines[0].arrivals_since(start), 0);
}

/// Guards against an announcement that outlasts its incarnation: the engine restarts under its id.
#[tokio::test]
async fn a_restarted_endpoint_is_used_again() {
    let fleet = start_with_leaving_engine(1).await;
    fleet.engines[0].stay();
    fleet.engines[0].crash();
    let start = Instant::now();
    while fleet.engines[0].arrivals_since(start) == 0 {
        assert!(start.elapsed() < 10 * ADOPTION_TIME, "never used");
        send_requests(&fleet, Instant::now() + ADOPTION_TIME / 4).await;
    }
}
