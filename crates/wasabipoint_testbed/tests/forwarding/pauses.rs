//! Endpoints that turn requests away and ask their senders not to return for some time.

use std::time::{Duration, Instant};

use http::StatusCode;

use super::fixture::Fleet;

/// Time after the request for a pause from which it binds.
const ADOPTION_TIME: Duration = Duration::from_millis(500);

/// Number of requests that may still arrive from one entry process in a pause.
const ALLOWED_ARRIVALS: usize = 2;

/// Prompt parts of every request.
const PROMPT: &str = "a1:10,b1:10,c1:10";

/// Number of concurrent callers of each entry process.
const CALLERS_PER_ENTRY: usize = 6;

/// Interval between the requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Responses to the callers of one span of time.
#[derive(Debug, Default)]
struct Responses {
    served: usize,
    /// Time until each refusal, and its time to return.
    refused: Vec<(Duration, Duration)>,
}

/// Sends requests through every entry process until `end`.
async fn send_requests(fleet: &Fleet, end: Instant) -> Responses {
    let callers = (0..fleet.entries.len() * CALLERS_PER_ENTRY).map(async |caller| {
        let mut responses = Responses::default();
        while Instant::now() < end {
            let sent_at = Instant::now();
            let response = fleet.send(caller % fleet.entries.len(), PROMPT).await;
            let response = response.unwrap();
            match response.status() {
                StatusCode::OK => responses.served += 1,
                StatusCode::SERVICE_UNAVAILABLE => {
                    let retry_after = response.headers()["retry-after"].to_str().unwrap();
                    let retry_after = Duration::from_secs_f64(retry_after.parse().unwrap());
                    responses.refused.push((sent_at.elapsed(), retry_after));
                }
                status => panic!("status {status}"),
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        responses
    });
    let mut all = Responses::default();
    for responses in futures::future::join_all(callers).await {
        all.served += responses.served;
        all.refused.extend(responses.refused);
    }
    all
}

async fn start_serving(members: usize, entries: usize, engines: usize) -> Fleet {
    let fleet = Fleet::start(members, entries, engines).await;
    for entry in 0..entries {
        fleet.send_until_served(entry, PROMPT).await;
    }
    fleet
}

/// Checks each pause that an engine asked for against the arrivals from that entry process.
fn assert_pauses_are_kept(fleet: &Fleet) {
    let mut asked = 0;
    for engine in &fleet.engines {
        for pause in engine.pauses.lock().unwrap().iter() {
            asked += 1;
            let from = pause.asked_at + ADOPTION_TIME;
            let arrivals = engine.arrivals_from(&pause.entry, from, pause.until);
            assert!(arrivals <= ALLOWED_ARRIVALS, "{arrivals} in {pause:?}");
        }
    }
    assert!(asked > 0, "no engine asked for a pause");
}

/// Guards against a pause that is ignored, or observed only while another endpoint is free.
#[tokio::test]
async fn an_endpoint_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    let fleet = start_serving(1, 3, 3).await;
    let pause = Duration::from_secs(5);
    fleet.engines[0].pause_for(pause);
    let paused_until = Instant::now() + pause;
    let responses = send_requests(&fleet, paused_until).await;
    assert_pauses_are_kept(&fleet);
    assert!(responses.refused.is_empty(), "{responses:?}");
    send_requests(&fleet, Instant::now() + pause / 2).await;
    assert!(fleet.engines[0].arrivals_since(paused_until) > 0);
}

/// Guards against requests that are held although no endpoint can serve them in time, against a time
/// to return before the end of the pause, and against endpoints that stay unused after it. The
/// callers ignore the time to return.
#[tokio::test]
async fn requests_are_refused_at_once_while_every_endpoint_pauses() {
    let fleet = start_serving(1, 2, 2).await;
    let pause = Duration::from_secs(4);
    fleet
        .engines
        .iter()
        .for_each(|engine| engine.pause_for(pause));
    let paused_until = Instant::now() + pause;
    let refusing_until = Instant::now() + pause / 4;
    let responses = send_requests(&fleet, refusing_until).await;
    assert_eq!(responses.served, 0);
    let left = paused_until.duration_since(refusing_until);
    for (elapsed, retry_after) in &responses.refused {
        assert!(
            *elapsed < Duration::from_millis(500),
            "held for {elapsed:?}"
        );
        assert!(
            *retry_after + Duration::from_millis(100) > left,
            "{retry_after:?}"
        );
        assert!(*retry_after <= pause, "{retry_after:?}");
    }
    let responses = send_requests(&fleet, paused_until + pause / 4).await;
    assert_pauses_are_kept(&fleet);
    assert!(responses.served > 0, "{responses:?}");
}

/// Guards against pauses in series that overlap with a change of leader and a new entry process, and
/// against requests that are refused although the first endpoint returns in time.
#[tokio::test]
async fn requests_wait_for_the_end_of_short_pauses_in_series() {
    let mut fleet = start_serving(3, 2, 2).await;
    for round in 0..4 {
        let pause = Duration::from_millis(700);
        fleet
            .engines
            .iter()
            .for_each(|engine| engine.pause_for(pause));
        let end = Instant::now() + 2 * pause;
        let responses = if round == 1 {
            let leader = fleet.take_leader().await;
            let ((), responses) = tokio::join!(leader.stop(), send_requests(&fleet, end));
            responses
        } else {
            send_requests(&fleet, end).await
        };
        // Requests that an endpoint turned away may find no retry budget left: one of each caller,
        // since later ones know of the pauses.
        let callers = fleet.entries.len() * CALLERS_PER_ENTRY;
        assert!(
            responses.refused.len() <= callers,
            "round {round}: {responses:?}"
        );
        assert!(responses.served >= callers, "round {round}: {responses:?}");
        if round == 2 {
            fleet.add_entry().await;
        }
    }
    assert_pauses_are_kept(&fleet);
}
