//! Requests that arrive during the drain of an entry process.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::fixture::{Endpoint, Fixture, ScriptStep, fleet_view, full_response};

/// Grace period of the fixture, and the part of it after which new requests are refused.
const GRACE: Duration = Duration::from_secs(2);
const REFUSED_AFTER: Duration = Duration::from_millis(700);

async fn begin_drain(fixture: &mut Fixture) {
    fixture.stop_sender.take().unwrap().send(()).unwrap();
    while fixture.ready_status().await == 200 {
        tokio::task::yield_now().await;
    }
}

/// Guards against a request that is accepted early in the drain and cut off without a response at its
/// end, since its endpoint is still silent then.
#[tokio::test]
async fn a_request_that_outlasts_the_drain_is_answered() {
    let (closed, _still_open) = oneshot::channel();
    let silent = Endpoint::start(vec![ScriptStep::StaySilent(closed)]).await;
    let mut fixture = Fixture::start(Some(fleet_view(&[&silent]))).await;
    begin_drain(&mut fixture).await;
    let response = tokio::time::timeout(GRACE, fixture.send_request("once", "a1")).await;
    assert_eq!(response.unwrap().unwrap().status(), 502);
}

/// Guards against a request that is passed on late in the drain because its head came early: its body
/// is complete only when new requests are refused already.
#[tokio::test]
async fn a_request_whose_body_is_complete_late_in_the_drain_is_refused() {
    let endpoint = Endpoint::start(vec![ScriptStep::Send(full_response("a1", "good"))]).await;
    let mut fixture = Fixture::start(Some(fleet_view(&[&endpoint]))).await;
    begin_drain(&mut fixture).await;
    let mut stream = TcpStream::connect(fixture.address).await.unwrap();
    let head =
        "POST /once/x HTTP/1.1\r\nhost: app.example\r\nid: a1\r\ncontent-length: 4\r\n\r\nbo";
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(REFUSED_AFTER + Duration::from_millis(100)).await;
    stream.write_all(b"dy").await.unwrap();
    let mut response = vec![0; 1_024];
    let received = tokio::time::timeout(GRACE, stream.read(&mut response)).await;
    let length = received.unwrap().unwrap();
    let text = String::from_utf8_lossy(&response[..length]).into_owned();
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert_eq!(endpoint.request_count(), 0);
}
