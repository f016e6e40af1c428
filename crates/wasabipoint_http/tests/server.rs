//! Tests of the HTTP server and client over loopback.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use wasabipoint_http::{
    BodyError, ClientError, HttpClient, HttpHandler, HttpRequest, HttpResponse, HttpServer,
    OutgoingBody, text_response,
};

const MAX_BODY_BYTES: usize = 1_024;

struct TestHandler {
    caller_left: Mutex<Option<oneshot::Sender<()>>>,
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
            for piece in ["one ", "two ", "three"] {
                let _ = sender.send(Some(Bytes::from(piece))).await;
            }
            if is_complete {
                let _ = sender.send(None).await;
            }
        });
        Response::new(body)
    }

    fn endless(&self) -> HttpResponse {
        let (sender, body) = OutgoingBody::stream(1);
        let caller_left = self.caller_left.lock().unwrap().take();
        tokio::spawn(async move {
            while sender.send(Some(Bytes::from("first"))).await.is_ok() {}
            let _ = caller_left.unwrap().send(());
        });
        Response::new(body)
    }
}

struct Setup {
    client: HttpClient,
    base: String,
    caller_left: oneshot::Receiver<()>,
}

async fn start() -> Setup {
    let (sender, caller_left) = oneshot::channel();
    let server = HttpServer::new("127.0.0.1:0".parse().unwrap()).unwrap();
    let base = format!("http://{}", server.local_address().unwrap());
    server
        .serve(Arc::new(TestHandler {
            caller_left: Mutex::new(Some(sender)),
        }))
        .await
        .unwrap();
    Setup {
        client: HttpClient::new(Duration::from_secs(5)),
        base,
        caller_left,
    }
}

fn request(base: &str, path: &str, body: &[u8]) -> Request<Bytes> {
    Request::post(format!("{base}{path}"))
        .body(Bytes::copy_from_slice(body))
        .unwrap()
}

/// Guards against bodies that are lost or cut between worker and handler.
#[tokio::test]
async fn echoes_a_body_up_to_the_bound() {
    let setup = start().await;
    for (size, status) in [(0, 200), (MAX_BODY_BYTES, 200), (MAX_BODY_BYTES + 1, 413)] {
        let body = vec![b'x'; size];
        let timeout = Duration::from_secs(20);
        let response = setup
            .client
            .fetch(request(&setup.base, "/echo", &body), 1 << 20, timeout)
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
async fn tells_complete_streams_from_aborted_ones() {
    let setup = start().await;
    let whole = setup
        .client
        .send(request(&setup.base, "/stream", b""))
        .await
        .unwrap();
    assert_eq!(whole.into_body().read(100).await.unwrap(), "one two three");
    let cut = setup
        .client
        .send(request(&setup.base, "/abort", b""))
        .await
        .unwrap();
    assert!(matches!(
        cut.into_body().read(100).await,
        Err(ClientError::Interrupted(_))
    ));
}

/// Guards against work that goes on for a caller that is gone.
#[tokio::test]
async fn reports_a_caller_that_left() {
    let setup = start().await;
    let response = setup
        .client
        .send(request(&setup.base, "/endless", b""))
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
    setup.caller_left.await.unwrap();
}
