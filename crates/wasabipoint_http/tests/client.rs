//! Tests for errors of the HTTP client.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use wasabipoint_http::{ClientError, HttpClient};

/// Time limit for one exchange.
const LIMIT: Duration = Duration::from_secs(20);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Guards against a connection error that omits the cause reported by the operating system.
#[tokio::test]
async fn a_failed_connection_reports_the_operating_system_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = HttpClient::new(LIMIT);
    let failed = client.fetch(get(address), 1_024, LIMIT).await;
    let Err(ClientError::NotConnected(detail)) = failed else {
        panic!("expected a failed connection, got {failed:?}");
    };
    assert!(detail.contains("Connection refused"), "{detail}");
}

/// Starts a server that sends `first` to each request and then `repeated`, this often or until the
/// connection is closed, and returns its address and the number of bytes that it could send.
async fn start_server(
    first: &'static str,
    repeated: String,
    count: Option<usize>,
) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = [0; 1_024];
        let _ = stream.read(&mut received).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        let mut sent_bytes = first.len();
        for _ in 0..count.unwrap_or(usize::MAX) {
            if stream.write_all(repeated.as_bytes()).await.is_err() {
                break;
            }
            sent_bytes += repeated.len();
        }
        sent_bytes
    });
    (address, server)
}

fn get(address: SocketAddr) -> Request<Bytes> {
    let request = Request::get(format!("http://{address}/"));
    request.body(Bytes::new()).unwrap()
}

/// Guards against a status that is none, which was taken for an answer.
#[tokio::test]
async fn a_status_that_is_none_is_no_response() {
    let heads = [
        "HTTP/1.1 000\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 000 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 099 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 1000 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\ncontent-length: 0\r\n\r\n",
    ];
    for head in heads {
        let (address, _server) = start_server(head, String::new(), Some(0)).await;
        let client = HttpClient::new(LIMIT);
        let failed = client.fetch(get(address), 1_024, LIMIT).await;
        assert!(
            matches!(failed, Err(ClientError::Interrupted(_))),
            "{head}: {failed:?}"
        );
    }
}

/// Guards against a report or an answer to a command whose framing never ends.
#[tokio::test]
async fn bytes_without_end_are_bounded() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (first, repeated) in [("", interim), (CHUNKED, "00000000")] {
        let (address, server) = start_server(first, repeated.repeat(1_000), None).await;
        let client = HttpClient::new(LIMIT);
        let failed = client.fetch(get(address), 1_024, LIMIT).await;
        assert!(
            matches!(failed, Err(ClientError::Interrupted(_))),
            "{failed:?}"
        );
        // The buffers of both sockets.
        assert!(server.await.unwrap() < 16 * 1_024 * 1_024);
    }
}

/// Guards against a large sound body that is taken for bytes without end: in large and in tiny chunks,
/// with a length or with the end of its connection, and while its receiver pauses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_are_received() {
    const BODY_BYTES: usize = 8 * 1_024 * 1_024;
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 8388608\r\n\r\n";
    let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
    let cases = [
        (length, "x".repeat(65_536), 65_536),
        ("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(65_536), 65_536),
        (CHUNKED, chunk(1_024 * 1_024), 1_024 * 1_024),
        (CHUNKED, chunk(65_536), 65_536),
        (CHUNKED, chunk(1_000), 1_000),
        (CHUNKED, chunk(1).repeat(100), 100),
    ];
    for (head, text, bytes) in cases {
        // Tiny chunks take long to parse.
        let count = BODY_BYTES.min(bytes * 1_000) / bytes;
        let (address, _server) = start_server(head, text, Some(count)).await;
        let response = HttpClient::new(LIMIT).send(get(address)).await.unwrap();
        let mut body = response.into_body();
        let (mut received, mut pauses) = (0, 0);
        while received < count * bytes {
            received += body.next_chunk().await.unwrap().unwrap().len();
            if received / (1_024 * 1_024) > pauses {
                pauses += 1;
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
    }
}
