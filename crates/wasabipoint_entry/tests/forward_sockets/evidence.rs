//! Evidence about prompt parts that an entry process reports to the leader.

use std::sync::Arc;

use super::control::PromptLeader;
use super::fixture::{Endpoint, Fixture, ScriptStep, fleet_view};

async fn send_broken_request(fixture: &Fixture, id: &str) {
    let mut request = fixture.build_request("once", id);
    let parts = format!("a1:1,dead:1,{}:1", id.len());
    request
        .headers_mut()
        .insert("parts", parts.parse().unwrap());
    let limit = std::time::Duration::from_secs(5);
    let response = fixture.client.fetch(request, 1_024, limit).await;
    assert_eq!(response.unwrap().status(), 502);
}

/// Guards against evidence that a new leader never receives: its first report brought a new failure, and
/// the acknowledgement of that one covered the numbers of those that only the old leader knew.
#[tokio::test]
async fn a_new_leader_receives_earlier_evidence_after_newer() {
    let endpoints = [
        Endpoint::start(vec![ScriptStep::Close]).await,
        Endpoint::start(vec![ScriptStep::Close]).await,
        Endpoint::start(vec![ScriptStep::Close]).await,
    ];
    let leader = Arc::new(PromptLeader::default());
    let view = fleet_view(&endpoints.each_ref());
    let fixture = Fixture::start_with_leader(view, &leader).await;
    for (sent, id) in ["x", "yy", "zzz"].into_iter().enumerate() {
        leader.change();
        send_broken_request(&fixture, id).await;
        leader.wait_for_failures(sent + 1).await;
    }
}
