//! Tests for errors of the HTTP client.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wasabipoint_http::{ClientError, HttpClient};

/// Guards against a connection error that omits the cause reported by the operating system.
#[tokio::test]
async fn a_failed_connection_reports_the_operating_system_error() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let request = Request::get(format!("http://{address}/")).body(Bytes::new());
    let limit = Duration::from_secs(5);
    let client = HttpClient::new(limit);
    let failed = client.fetch(request.unwrap(), 1_024, limit).await;
    let Err(ClientError::NotConnected(detail)) = failed else {
        panic!("expected a failed connection, got {failed:?}");
    };
    assert!(detail.contains("Connection refused"), "{detail}");
}

/// Guards against a status that is none, which was taken for an answer.
#[tokio::test]
async fn a_status_that_is_none_is_no_response() {
    for status_line in [
        "000",
        "000 OK",
        "099 OK",
        "1000 OK",
        "101 Switching Protocols",
    ] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut received = [0; 1_024];
            let _ = stream.read(&mut received).await.unwrap();
            let text = format!("HTTP/1.1 {status_line}\r\ncontent-length: 2\r\n\r\nok");
            stream.write_all(text.as_bytes()).await.unwrap();
            stream
        });
        let request = Request::get(format!("http://{address}/")).body(Bytes::new());
        let limit = Duration::from_secs(5);
        let client = HttpClient::new(limit);
        let failed = client.fetch(request.unwrap(), 1_024, limit).await;
        assert!(
            matches!(failed, Err(ClientError::Interrupted(_))),
            "{status_line}: {failed:?}"
        );
        server.await.unwrap();
    }
}
