//! HTTP server of the fakes. It uses `hyper` directly, because the fakes must be able to close a
//! connection in the middle of a response and to detect that a client disconnected before the
//! response.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1_024 * 1_024;

/// Error that makes the server close the connection without sending the rest of the response.
#[derive(Debug)]
pub(crate) struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by the fake")
    }
}

impl std::error::Error for Aborted {}

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

pub(crate) type FakeBody = BoxBody<Bytes, Aborted>;
pub(crate) type FakeResponse = Result<Response<FakeBody>, Aborted>;

/// Handles requests. The returned future is dropped when the connection closes.
pub(crate) trait FakeHandler: Send + Sync + 'static {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, FakeResponse>;
}

type Connections = Arc<Mutex<JoinSet<()>>>;

/// A running HTTP server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct FakeServer {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
    connections: Connections,
}

impl FakeServer {
    pub(crate) async fn start(
        address: SocketAddr,
        handler: Arc<dyn FakeHandler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let connections = Connections::default();
        let connection_tasks = Arc::clone(&connections);
        let accept_task = tokio::spawn(async move {
            loop {
                let stream = match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        eprintln!("failed to accept a connection: {error}");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                };
                let _ = stream.set_nodelay(true);
                let handler = Arc::clone(&handler);
                let service = service_fn(move |request| Arc::clone(&handler).handle(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                let mut tasks = lock(&connection_tasks);
                while tasks.try_join_next().is_some() {}
                tasks.spawn(async move {
                    // Aborted responses and disconnected clients end here with an expected error.
                    let _ = connection.await;
                });
            }
        });
        Ok(Self {
            address,
            accept_task,
            connections,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all open connections, as an exit of the process would.
    pub fn close_connections(&self) {
        lock(&self.connections).abort_all();
    }

    pub(crate) fn connections(&self) -> Connections {
        Arc::clone(&self.connections)
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.close_connections();
    }
}

/// Prints the line `listening ADDRESS` and serves until the process is killed.
pub async fn print_address_and_serve(server: FakeServer) -> Infallible {
    println!("listening {}", server.address());
    std::future::pending().await
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

/// Creates a body that is sent in one chunk.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> FakeBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a response with a JSON body.
pub(crate) fn json_response(status: u16, value: &serde_json::Value) -> Response<FakeBody> {
    let mut response = Response::new(full_body(value.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).expect("fakes use valid statuses");
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a streamed body. Dropping the sender ends the body normally; sending an error closes the
/// connection.
pub(crate) fn streamed_body() -> (mpsc::Sender<Result<Bytes, Aborted>>, FakeBody) {
    let (sender, receiver) = mpsc::channel::<Result<Bytes, Aborted>>(1);
    let frames = stream::unfold(receiver, |mut receiver| async move {
        let chunk = receiver.recv().await?;
        Some((chunk.map(Frame::data), receiver))
    });
    (sender, BodyExt::boxed(StreamBody::new(frames)))
}

pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, Aborted> {
    let bytes = http_body_util::Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|_| Aborted)?;
    Ok(bytes.to_bytes())
}

/// Parses a JSON body. On failure, the error is the response to send.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response<FakeBody>>> {
    serde_json::from_slice(body).map_err(|error| {
        let value = serde_json::json!({"error": "malformed", "detail": error.to_string()});
        Box::new(json_response(400, &value))
    })
}

/// Creates a response whose connection closes after the first half of the body.
pub(crate) fn truncated_response(text: &str) -> Response<FakeBody> {
    let (sender, body) = streamed_body();
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    tokio::spawn(async move {
        let _ = sender.send(Ok(half)).await;
        let _ = sender.send(Err(Aborted)).await;
    });
    Response::new(body)
}
