//! A prompt part that crashes every engine on which a response to it begins.

use std::time::Duration;

use http::StatusCode;

use super::fixture::{Fleet, STEP_TIMEOUT};

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

/// Returns whether a request with the deadly part is refused at an entry process as not run.
async fn is_refused(fleet: &Fleet, entry: usize, own_part: &str) -> bool {
    let prompt = format!("a1:10,b1:10,{DEADLY_PART}:5,{own_part}:10");
    let Some(response) = fleet.send(entry, &prompt).await else {
        return false;
    };
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && String::from_utf8_lossy(response.body()).contains("prompt_quarantined")
}

/// Waits until an entry process refuses requests with the deadly part.
async fn wait_until_refused(fleet: &Fleet, entry: usize) {
    let refused = async {
        while !is_refused(fleet, entry, "99").await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, refused).await.unwrap();
}

/// Guards against a quarantine that ends when the leader fails, or that an entry process which has
/// just started does not know.
#[tokio::test]
async fn the_quarantine_outlasts_its_leader_and_binds_new_entry_processes() {
    let mut fleet = Fleet::start(3, 2, 8).await;
    for entry in 0..2 {
        fleet.send_until_served(entry, "a1:10,b1:10,e1:10").await;
    }
    fleet.crash_on(DEADLY_PART);
    crash_engines(&fleet, 3).await;
    for entry in 0..2 {
        wait_until_refused(&fleet, entry).await;
    }
    let before = fleet.deadly_arrivals();
    fleet.stop_leader().await;
    let new_entry = fleet.add_entry().await;
    for number in 0..6 {
        let entry = [0, 1, new_entry][number % 3];
        assert!(is_refused(&fleet, entry, &format!("{number}")).await);
    }
    assert_eq!(fleet.deadly_arrivals(), before);
    fleet
        .send_until_served(new_entry, "a1:10,b1:10,e3:10")
        .await;
}

/// Guards against evidence that is lost with the leader that received it.
#[tokio::test]
async fn evidence_from_before_a_change_of_leader_counts() {
    let mut fleet = Fleet::start(3, 2, 8).await;
    for entry in 0..2 {
        fleet.send_until_served(entry, "a1:10,b1:10,e1:10").await;
    }
    fleet.crash_on(DEADLY_PART);
    crash_engines(&fleet, 2).await;
    fleet.stop_leader().await;
    crash_engines(&fleet, 5).await;
    tokio::time::sleep(DETECTION_TIME).await;
    let before = fleet.deadly_arrivals();
    for number in 0..8 {
        let prompt = format!("a1:10,b1:10,{DEADLY_PART}:5,f{number}:10");
        fleet.send(number % 2, &prompt).await;
    }
    let late = fleet.deadly_arrivals() - before;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals");
}

/// Guards against a part that is blamed for crashes of engines that it had no part in.
#[tokio::test]
async fn crashes_of_other_causes_quarantine_nothing() {
    let fleet = Fleet::start(1, 3, 8).await;
    for round in 0..5 {
        let parts: Vec<String> = (0..6)
            .map(|n| format!("a1:10,b1:10,{round}{n}:10"))
            .collect();
        let requests = parts.iter().enumerate();
        let requests = requests.map(|(number, parts)| fleet.send(number % 3, parts));
        let crash = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            fleet.engines[round].crash();
            fleet.engines[round + 1].crash();
        };
        tokio::join!(futures::future::join_all(requests), crash);
        for entry in 0..3 {
            fleet.send_until_served(entry, "a1:10,b1:10,e1:10").await;
        }
    }
    let reply = fleet.quarantined_parts().await;
    assert!(reply.is_empty(), "{reply:?}");
}
