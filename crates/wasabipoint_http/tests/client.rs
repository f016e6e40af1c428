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

/// Guards against a report or an answer to a command whose framing never ends.
#[tokio::test]
async fn bytes_without_end_are_bounded() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (first, repeated) in [("", interim), (chunked, "00000000")] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut received = [0; 1_024];
            let _ = stream.read(&mut received).await.unwrap();
            stream.write_all(first.as_bytes()).await.unwrap();
            let repeated = repeated.repeat(1_000);
            let mut sent_bytes = 0;
            while stream.write_all(repeated.as_bytes()).await.is_ok() {
                sent_bytes += repeated.len();
            }
            sent_bytes
        });
        let request = Request::get(format!("http://{address}/")).body(Bytes::new());
        let limit = Duration::from_secs(20);
        let client = HttpClient::new(limit);
        let failed = client.fetch(request.unwrap(), 1_024, limit).await;
        assert!(
            matches!(failed, Err(ClientError::Interrupted(_))),
            "{failed:?}"
        );
        // The buffers of both sockets.
        assert!(server.await.unwrap() < 16 * 1_024 * 1_024);
    }
}

/// Guards against a large sound body that is taken for bytes without end, in large and in tiny chunks.
#[tokio::test]
async fn large_bodies_are_received() {
    for chunk_bytes in [1, 100, 100_000] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
        let count = 200_000 / chunk_bytes;
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut received = [0; 1_024];
            for _ in 0..2 {
                let _ = stream.read(&mut received).await.unwrap();
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let text = format!("{head}{}0\r\n\r\n", chunk.repeat(count));
                stream.write_all(text.as_bytes()).await.unwrap();
            }
        });
        let limit = Duration::from_secs(20);
        let client = HttpClient::new(limit);
        for _ in 0..2 {
            let request = Request::get(format!("http://{address}/")).body(Bytes::new());
            let response = client.fetch(request.unwrap(), 2_000_000, limit).await;
            assert_eq!(response.unwrap().body().len(), 200_000);
        }
    }
}
