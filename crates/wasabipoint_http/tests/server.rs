//! Tests for the HTTP server and client over loopback.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use wasabipoint_http::{
    BodyError, ClientError, HttpClient, HttpHandler, HttpRequest, HttpResponse, HttpServer,
    OutgoingBody, text_response,
};

const MAX_BODY_BYTES: usize = 1_024;

struct TestHandler {
    disconnect_sender: Mutex<Option<oneshot::Sender<()>>>,
}

impl HttpHandler for TestHandler {
    fn handle(
        &self,
        request: HttpRequest,
    ) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>> {
        Box::pin(async move {
            match request.uri().path() {
                "/echo" => match request.into_body().read(MAX_BODY_BYTES).await {
                    Ok(body) => text_response(StatusCode::OK, body),
                    Err(BodyError::TooLarge) => text_response(StatusCode::PAYLOAD_TOO_LARGE, ""),
                    Err(BodyError::Incomplete) => text_response(StatusCode::BAD_REQUEST, ""),
                },
                "/stream" => Self::stream(true),
                "/abort" => Self::stream(false),
                "/endless" => self.endless(),
                _ => text_response(StatusCode::NOT_FOUND, ""),
            }
        })
    }
}

impl TestHandler {
    fn stream(is_complete: bool) -> HttpResponse {
        let (sender, body) = OutgoingBody::stream(1);
        tokio::spawn(async move {
            for chunk in ["one ", "two ", "three"] {
                let _ = sender.send(Some(Bytes::from(chunk))).await;
            }
            if is_complete {
                let _ = sender.send(None).await;
            }
        });
        Response::new(body)
    }

    fn endless(&self) -> HttpResponse {
        let (sender, body) = OutgoingBody::stream(1);
        let disconnect_sender = self.disconnect_sender.lock().unwrap().take();
        tokio::spawn(async move {
            while sender.send(Some(Bytes::from("first"))).await.is_ok() {}
            let _ = disconnect_sender.unwrap().send(());
        });
        Response::new(body)
    }
}

struct Setup {
    client: HttpClient,
    base_url: String,
    caller_disconnected: oneshot::Receiver<()>,
}

async fn start() -> Setup {
    let (sender, caller_disconnected) = oneshot::channel();
    let server = HttpServer::new("127.0.0.1:0".parse().unwrap()).unwrap();
    let base_url = format!("http://{}", server.local_address().unwrap());
    server
        .serve(Arc::new(TestHandler {
            disconnect_sender: Mutex::new(Some(sender)),
        }))
        .await
        .unwrap();
    Setup {
        client: HttpClient::new(Duration::from_secs(5)),
        base_url,
        caller_disconnected,
    }
}

fn request(base_url: &str, path: &str, body: &[u8]) -> Request<Bytes> {
    Request::post(format!("{base_url}{path}"))
        .body(Bytes::copy_from_slice(body))
        .unwrap()
}

/// Guards against bodies that are lost or truncated between worker and handler.
#[tokio::test]
async fn echoes_bodies_up_to_the_size_limit() {
    let setup = start().await;
    for (size, status) in [(0, 200), (MAX_BODY_BYTES, 200), (MAX_BODY_BYTES + 1, 413)] {
        let body = vec![b'x'; size];
        let timeout = Duration::from_secs(20);
        let response = setup
            .client
            .fetch(request(&setup.base_url, "/echo", &body), 1 << 20, timeout)
            .await
            .unwrap();
        assert_eq!(response.status(), status);
        if status == 200 {
            assert_eq!(response.body().len(), size);
        }
    }
}

/// Guards against an aborted stream that looks complete to the caller.
#[tokio::test]
async fn distinguishes_complete_streams_from_aborted_ones() {
    let setup = start().await;
    let complete_stream = setup
        .client
        .send(request(&setup.base_url, "/stream", b""))
        .await
        .unwrap();
    assert_eq!(
        complete_stream.into_body().read(100).await.unwrap(),
        "one two three"
    );
    let aborted_stream = setup
        .client
        .send(request(&setup.base_url, "/abort", b""))
        .await
        .unwrap();
    assert!(matches!(
        aborted_stream.into_body().read(100).await,
        Err(ClientError::Interrupted(_))
    ));
}

/// Guards against work that continues for a caller that has disconnected.
#[tokio::test]
async fn detects_a_disconnected_caller() {
    let setup = start().await;
    let response = setup
        .client
        .send(request(&setup.base_url, "/endless", b""))
        .await
        .unwrap();
    let mut body = response.into_body();
    assert!(
        body.next_chunk()
            .await
            .unwrap()
            .unwrap()
            .starts_with(b"first")
    );
    drop(body);
    setup.caller_disconnected.await.unwrap();
}

/// Reads a response head.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).await.unwrap(), 1, "{head:?}");
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).to_lowercase()
}

/// Guards against a connection that the server closes without saying so because a handler responded
/// before it had read the body: the next request on the connection is lost.
#[tokio::test]
async fn a_response_before_the_end_of_the_body_keeps_or_announces_the_end_of_its_connection() {
    let setup = start().await;
    let address = setup.base_url.strip_prefix("http://").unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request_head = "POST /none HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n";
    stream.write_all(request_head.as_bytes()).await.unwrap();
    let head = read_head(&mut stream).await;
    assert!(head.starts_with("http/1.1 404"), "{head}");
    if head.contains("connection: close") {
        return;
    }
    let next = format!("body{request_head}body");
    stream.write_all(next.as_bytes()).await.unwrap();
    let head = read_head(&mut stream).await;
    assert!(head.starts_with("http/1.1 404"), "{head}");
}
