//! Endpoints that name a limit on the requests that they accept from all entry processes together.

use std::time::{Duration, Instant};

use http::StatusCode;

use super::fixture::Fleet;

/// Time after an endpoint first named its limit from which the limit binds.
const ADOPTION_TIME: Duration = Duration::from_secs(3);

/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

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
            if let Some(response) = fleet.send(entry, "a1:10,b1:10,c1:10").await {
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

/// Guards against a limit that each entry process ignores, or applies to its own requests only.
#[tokio::test]
async fn the_limit_of_an_endpoint_holds_for_all_entry_processes_together() {
    const LIMIT_PER_S: f64 = 1.0;
    let fleet = Fleet::start(1, 4, 3).await;
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
