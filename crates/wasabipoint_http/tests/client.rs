//! Tests for errors of the HTTP client.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use bytes::Bytes;
use http::Request;
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
