//! Responses that an endpoint cuts off anywhere, within the head or the body.

use futures::future::join_all;

use super::fixture::{Endpoint, Fixture, ScriptStep, chunked_response, fleet_view, full_response};

/// Sends a request whose response is cut off, and returns what the caller takes for a complete
/// success.
async fn success_after(route: &str, step: ScriptStep) -> Option<Vec<u8>> {
    let only = Endpoint::start(vec![step]).await;
    let fixture = Fixture::start(Some(fleet_view(&[&only]))).await;
    let response = fixture.send_request(route, "a1").await.ok()?;
    let is_success = response.status().is_success();
    is_success.then(|| response.body().to_vec())
}

/// Cuts a response off after each of its bytes but the last, by an orderly close and by a reset.
async fn check_every_cut(route: &str, response: &str) {
    let cuts: Vec<usize> = (0..response.len()).collect();
    for batch in cuts.chunks(16) {
        let plays = batch.iter().map(|cut| async move {
            let text = response[..*cut].to_owned();
            for step in [
                ScriptStep::SendAndClose(text.clone()),
                ScriptStep::SendAndReset(text.clone()),
            ] {
                let success = success_after(route, step).await;
                assert_eq!(success, None, "{route}, cut off behind {text:?}");
            }
        });
        join_all(plays).await;
    }
}

/// Guards against a response that was cut off within its head or body and reaches the caller as a
/// complete one, with an empty or a short body.
#[tokio::test]
async fn no_cut_of_a_response_looks_complete() {
    let whole = full_response("a1", "body");
    let chunked = chunked_response("a1", &["bo", "dy"], true);
    check_every_cut("once", &whole).await;
    check_every_cut("once", &chunked).await;
}

/// Guards against the same for streams.
#[tokio::test]
async fn no_cut_of_a_stream_looks_complete() {
    let events = ["id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"];
    check_every_cut("stream", &chunked_response("a1", &events, true)).await;
    check_every_cut("stream", &full_response("a1", &events.concat())).await;
}
