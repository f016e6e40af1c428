//! A prompt part that crashes every engine on which a response to it begins.

use std::time::Duration;

use super::fixture::Fleet;

/// The deadly part. It follows parts that sound requests share, and precedes the request's own.
const DEADLY_PART: &str = "dead";

/// Time after the fifth crash from which requests with the part must no longer reach engines.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// Number of requests with the part that may still reach engines after that time.
const MAX_LATE_ARRIVALS: u32 = 3;

/// Sends requests with the deadly part through the entry processes in turn, each with a part of its
/// own, until engines have crashed `count` times, beside sound requests.
async fn crash_engines(fleet: &Fleet, count: u32) {
    let mut number = 0;
    while fleet.crashes() < count {
        let entry = number as usize % fleet.entries.len();
        let prompt = format!("a1:10,b1:10,{DEADLY_PART}:5,c{number}:10");
        let sound = format!("a1:10,b1:10,d{number}:10");
        let other = fleet.entries.len() - 1 - entry;
        tokio::join!(fleet.send(entry, &prompt), fleet.send(other, &sound));
        number += 1;
        assert!(number < 100, "{} crashes", fleet.crashes());
    }
}

/// Guards against a prompt part that crashes engines one after the other because no entry process
/// sees enough of the crashes, and against a verdict that also refuses what shares a prompt with it.
#[tokio::test]
async fn a_prompt_part_that_crashes_engines_reaches_them_no_more_after_five_crashes() {
    let fleet = Fleet::start(1, 3, 8).await;
    for entry in 0..3 {
        fleet.send_until_served(entry, "a1:10,b1:10,e1:10").await;
    }
    fleet.crash_on(DEADLY_PART);
    crash_engines(&fleet, 5).await;
    tokio::time::sleep(DETECTION_TIME).await;
    let before = fleet.deadly_arrivals();
    for number in 0..12 {
        let prompt = format!("a1:10,b1:10,{DEADLY_PART}:5,f{number}:10");
        fleet.send(number % 3, &prompt).await;
    }
    let late = fleet.deadly_arrivals() - before;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals");
    for entry in 0..3 {
        fleet.send_until_served(entry, "a1:10,b1:10,e2:10").await;
    }
}
