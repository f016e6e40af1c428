//! Endpoints that name a limit on the requests that they accept from all entry processes together.

use std::time::{Duration, Instant};

use http::StatusCode;

use super::fixture::Fleet;

/// Time after an endpoint first named its limit from which the limit binds.
const ADOPTION_TIME: Duration = Duration::from_secs(3);

/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Prompt parts of every request.
const PROMPT: &str = "a1:10,b1:10,c1:10";

/// Number of callers of each entry process.
const CALLERS_PER_ENTRY: usize = 6;

/// Interval between the requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the number of requests that may arrive in a window: one and a half times what the limit
/// allows, and five.
fn allowed_arrivals(limit_per_s: f64) -> usize {
    (limit_per_s * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Sends requests through every entry process until `end`. Returns how many were served, and how
/// many refused as not run with a time to come back.
async fn send_requests(fleet: &Fleet, end: Instant) -> (u32, u32) {
    let callers = (0..fleet.entries.len() * CALLERS_PER_ENTRY).map(async |caller| {
        let entry = caller % fleet.entries.len();
        let (mut served, mut refused) = (0, 0);
        while Instant::now() < end {
            if let Some(response) = fleet.send(entry, PROMPT).await {
                match response.status() {
                    StatusCode::OK => served += 1,
                    StatusCode::SERVICE_UNAVAILABLE => {
                        assert!(response.headers().contains_key("retry-after"));
                        refused += 1;
                    }
                    status => panic!("status {status}"),
                }
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        (served, refused)
    });
    let counts = futures::future::join_all(callers).await;
    let served = counts.iter().map(|(served, _)| served).sum();
    (served, counts.iter().map(|(_, refused)| refused).sum())
}

/// Starts a fleet whose entry processes have all served a request.
async fn start_serving(members: usize, entries: usize, engines: usize) -> Fleet {
    let fleet = Fleet::start(members, entries, engines).await;
    for entry in 0..entries {
        fleet.send_until_served(entry, PROMPT).await;
    }
    fleet
}

/// Guards against a limit that each entry process ignores, or applies to its own requests only.
#[tokio::test]
async fn the_limit_of_an_endpoint_holds_for_all_entry_processes_together() {
    const LIMIT_PER_S: f64 = 1.0;
    let fleet = start_serving(1, 4, 3).await;
    fleet.engines[0].name_limit(Some(LIMIT_PER_S));
    let start = Instant::now();
    let (served, refused) = send_requests(&fleet, start + ADOPTION_TIME + WINDOW).await;
    let arrivals = fleet.engines[0].most_arrivals(start + ADOPTION_TIME, WINDOW);
    assert!(
        arrivals <= allowed_arrivals(LIMIT_PER_S),
        "{arrivals} arrivals"
    );
    assert!(served > 10 * refused, "{served} served, {refused} refused");
}

/// Guards against a small limit of which each entry process gets a useless share, and against
/// requests that wait although no endpoint can serve them in time.
#[tokio::test]
async fn a_lone_endpoint_serves_what_its_limit_allows_and_the_rest_is_refused() {
    const LIMIT_PER_S: f64 = 2.0;
    let fleet = start_serving(1, 4, 1).await;
    fleet.engines[0].name_limit(Some(LIMIT_PER_S));
    let start = Instant::now();
    let (served, refused) = send_requests(&fleet, start + ADOPTION_TIME + WINDOW).await;
    let arrivals = fleet.engines[0].most_arrivals(start + ADOPTION_TIME, WINDOW);
    assert!(
        arrivals <= allowed_arrivals(LIMIT_PER_S),
        "{arrivals} arrivals"
    );
    let least = LIMIT_PER_S * WINDOW.as_secs_f64() / 2.0;
    assert!(
        arrivals as f64 >= least,
        "{arrivals} arrivals of {served} served"
    );
    assert!(refused > 0);
}

/// Guards against a limit that outlasts its end, because no response is requested that no longer
/// names it.
#[tokio::test]
async fn a_limit_ends_with_the_response_that_no_longer_names_it() {
    let fleet = start_serving(1, 2, 1).await;
    fleet.engines[0].name_limit(Some(1.0));
    send_requests(&fleet, Instant::now() + WINDOW / 4).await;
    fleet.engines[0].name_limit(None);
    for entry in 0..2 {
        fleet.send_until_served(entry, PROMPT).await;
    }
    tokio::time::sleep(ADOPTION_TIME / 3).await;
    let (served, refused) = send_requests(&fleet, Instant::now() + WINDOW / 4).await;
    assert_eq!(refused, 0, "{served} served");
}

/// Guards against a new leader that deals out the whole limit again, and against entry processes
/// that ignore it while none leads.
#[tokio::test]
async fn a_limit_holds_during_a_change_of_leader() {
    const LIMIT_PER_S: f64 = 2.0;
    let mut fleet = start_serving(3, 3, 2).await;
    fleet.engines[0].name_limit(Some(LIMIT_PER_S));
    let start = Instant::now();
    send_requests(&fleet, start + ADOPTION_TIME).await;
    let leader = fleet.take_leader().await;
    let end = Instant::now() + WINDOW + WINDOW / 2;
    tokio::join!(leader.stop(), send_requests(&fleet, end));
    let arrivals = fleet.engines[0].most_arrivals(start + ADOPTION_TIME, WINDOW);
    assert!(
        arrivals <= allowed_arrivals(LIMIT_PER_S),
        "{arrivals} arrivals"
    );
}
