//! Measurement of the speed of endpoints from their streams.

use std::sync::Arc;
use std::time::Duration;

use super::control::PromptLeader;
use super::fixture::{Endpoint, Fixture, ScriptStep, chunked_response, fleet_view};

/// Interval between the events of the stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// A response of ten events, of which the head states how long work takes.
fn stream(id: &str, has_work_time: bool) -> ScriptStep {
    let mut texts = vec![chunked_response(id, &["id: 1\ndata: a\n\n"], false)];
    if has_work_time {
        let head = format!("id: {id}\r\nwork-time: 100\r\n");
        texts[0] = texts[0].replacen(&format!("id: {id}\r\n"), &head, 1);
    }
    for _ in 0..9 {
        texts.push("f\r\nid: 2\ndata: b\n\n\r\n".to_owned());
    }
    texts.push("0\r\n\r\n".to_owned());
    ScriptStep::SendInIntervals(texts, EVENT_INTERVAL)
}

/// Guards against gaps between events that are not measured or not reported, and against measurements
/// for a service whose endpoints do not state how long work takes.
#[tokio::test]
async fn the_time_between_events_is_measured_and_reported() {
    let endpoint = Endpoint::start(vec![stream("a1", false), stream("a2", true)]).await;
    let leader = Arc::new(PromptLeader::default());
    let fixture = Fixture::start_with_leader(fleet_view(&[&endpoint]), &leader).await;
    for id in ["a1", "a2"] {
        let response = fixture.send_request("stream", id).await.unwrap();
        assert_eq!(response.status(), 200);
    }
    let speed = leader.wait_for_speed().await;
    assert_eq!(speed.endpoint.as_str(), "endpoint-0");
    // Two means of four gaps from the second stream; the first one stated nothing.
    assert_eq!(speed.samples, 8);
    // The machine may be slow, so that only the lower bound is tight.
    assert!((35_000..400_000).contains(&speed.event_us), "{speed:?}");
}
