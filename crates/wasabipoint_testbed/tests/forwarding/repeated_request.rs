//! A request that crashes every endpoint that begins to run it, and that its caller sends again.

use std::time::Duration;

use http::StatusCode;
use wasabipoint_rpc::EndpointKind;

use super::fixture::{Fleet, STEP_TIMEOUT};

/// Time after the third crash from which the request must no longer reach endpoints.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// Number of times that the request may still reach endpoints after that time.
const MAX_LATE_ARRIVALS: u32 = 3;

/// Number of repeats after that time.
const REPEATS: usize = 12;

/// Prompt parts of the deadly request, and of a sound one that differs only by its body.
const PARTS: &str = "a1:10,b1:10,c1:10";

const DEADLY_BODY: &str = "deadly";
const SOUND_BODY: &str = "prompt";

fn crash_all_on(fleet: &Fleet, body: &str) {
    for engine in &fleet.engines {
        engine.crash_on_body(body);
    }
}

/// Guards against a request that crashes engine after engine because only parts that requests share
/// are suspected, and against a verdict that refuses a request that differs by its body alone.
#[tokio::test]
async fn a_request_that_crashes_engines_reaches_them_no_more_after_three_crashes() {
    let fleet = Fleet::start(1, 3, 8).await;
    for entry in 0..3 {
        fleet.send_until_served(entry, PARTS).await;
    }
    crash_all_on(&fleet, DEADLY_BODY);
    let mut number = 0;
    while fleet.crashes() < 3 {
        let entry = number % 3;
        let deadly = fleet.send_body(entry, PARTS, DEADLY_BODY);
        tokio::join!(deadly, fleet.send(2 - entry, PARTS));
        number += 1;
    }
    tokio::time::sleep(DETECTION_TIME).await;
    let before = fleet.deadly_arrivals();
    for number in 0..REPEATS {
        fleet.send_body(number % 3, PARTS, DEADLY_BODY).await;
        let sound = fleet.send(number % 3, PARTS).await.unwrap();
        let text = String::from_utf8_lossy(sound.body());
        assert!(!text.contains("quarantined"), "{text}");
    }
    let late = fleet.deadly_arrivals() - before;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals");
    for entry in 0..3 {
        fleet.send_until_served(entry, PARTS).await;
    }
}

/// Guards against the same at a plain service, whose requests have no prompt and may run at most once.
#[tokio::test]
async fn a_request_that_crashes_plain_endpoints_reaches_them_no_more_after_three_crashes() {
    let fleet = Fleet::start_with(EndpointKind::Service, 1, 3, 4).await;
    for entry in 0..3 {
        book_until_served(&fleet, entry).await;
    }
    crash_all_on(&fleet, DEADLY_BODY);
    let mut number = 0;
    while fleet.crashes() < 3 {
        fleet.book(number % 3, DEADLY_BODY).await;
        number += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(DETECTION_TIME).await;
    let before = fleet.deadly_arrivals();
    for number in 0..REPEATS {
        fleet.book(number % 3, DEADLY_BODY).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let late = fleet.deadly_arrivals() - before;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals");
    for entry in 0..3 {
        book_until_served(&fleet, entry).await;
    }
}

async fn book_until_served(fleet: &Fleet, entry: usize) {
    let served = async {
        loop {
            let response = fleet.book(entry, SOUND_BODY).await;
            if response.is_some_and(|response| response.status() == StatusCode::OK) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, served).await.unwrap();
}
