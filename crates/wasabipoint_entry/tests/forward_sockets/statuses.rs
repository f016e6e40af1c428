//! Endpoints that answer with a status that is none.

use http::StatusCode;
use wasabipoint_http::ClientError;

use super::fixture::{Endpoint, Fixture, ScriptStep, chunked_response, fleet_view, full_response};

/// Status lines that are no answer of the protocol, among them final ones of the interim class.
const STATUS_LINES: [&str; 9] = [
    "000",
    "000 OK",
    "000 ",
    "001 OK",
    "099 OK",
    "00 OK",
    "1000 OK",
    "-200 OK",
    "101 Switching Protocols",
];

fn response(status_line: &str) -> String {
    format!("HTTP/1.1 {status_line}\r\nid: a1\r\ncontent-length: 6\r\n\r\nwrong!")
}

/// Guards against a status that is none, which callers got as an answer: nobody knows whether the request
/// ran.
#[tokio::test]
async fn a_status_that_is_none_is_no_answer() {
    for status_line in STATUS_LINES {
        let endpoint = Endpoint::start(vec![ScriptStep::SendAndClose(response(status_line))]).await;
        let fixture = Fixture::start(Some(fleet_view(&[&endpoint]))).await;
        let answer = fixture.send_request("once", "a1").await.unwrap();
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{status_line}");
        assert!(!String::from_utf8_lossy(answer.body()).contains("wrong!"));
    }
}

/// Guards against a repeatable request that fails, or gets such a status, although another endpoint
/// answers it.
#[tokio::test]
async fn a_status_that_is_none_is_retried_like_a_lost_answer() {
    for (route, status_line) in ["safe", "resumable"].iter().zip(STATUS_LINES) {
        let first = Endpoint::start(vec![ScriptStep::SendAndClose(response(status_line))]).await;
        let good = match *route {
            "safe" => full_response("a1", "good"),
            _ => chunked_response("a1", &["id: 1\ndata: good\n\n"], true),
        };
        let second = Endpoint::start(vec![ScriptStep::Send(good)]).await;
        let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
        let answer = fixture.send_request(route, "a1").await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        assert!(String::from_utf8_lossy(answer.body()).contains("good"));
    }
}

/// Guards against a stream that such an answer continues or completes.
#[tokio::test]
async fn a_status_that_is_none_does_not_resume_a_stream() {
    for status_line in STATUS_LINES {
        let broken = chunked_response("a1", &["id: 1\ndata: a\n\n"], false);
        let first = Endpoint::start(vec![ScriptStep::SendAndClose(broken)]).await;
        let second = Endpoint::start(vec![ScriptStep::SendAndClose(response(status_line))]).await;
        let fixture = Fixture::start(Some(fleet_view(&[&first, &second]))).await;
        let result = fixture.send_request("resumable", "a1").await;
        assert!(
            matches!(result, Err(ClientError::Interrupted(_))),
            "{status_line}: {result:?}"
        );
    }
}

/// Guards against the late copy of such an answer that is read as the answer to the next request.
#[tokio::test]
async fn a_status_that_is_none_after_an_answer_is_not_the_next_answer() {
    let extra = full_response("a1", "good") + &response("000 OK");
    let steps = vec![
        ScriptStep::Send(extra),
        ScriptStep::Send(full_response("a2", "next")),
    ];
    let endpoint = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(fleet_view(&[&endpoint]))).await;
    let first = fixture.send_request("safe", "a1").await.unwrap();
    assert_eq!(first.body().as_ref(), b"good");
    let second = fixture.send_request("safe", "a2").await.unwrap();
    assert_eq!(
        (second.status(), second.body().as_ref()),
        (StatusCode::OK, &b"next"[..])
    );
}
