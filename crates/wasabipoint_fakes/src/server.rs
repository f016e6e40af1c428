//! HTTP server of the fakes. It is built on `hyper` itself, since the fakes have to close
//! connections in the middle of a response and to notice closed connections before a response.

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

/// Largest request body that a fake reads.
const MAX_BODY_BYTES: usize = 64 * 1_024 * 1_024;

/// The connection is closed without the rest of the response.
#[derive(Debug)]
pub(crate) struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the fake closes the connection")
    }
}

impl std::error::Error for Aborted {}

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(crate) type FakeBody = BoxBody<Bytes, Aborted>;
pub(crate) type FakeResponse = Result<Response<FakeBody>, Aborted>;

/// Answers requests; the future is dropped when the connection closes.
pub(crate) trait FakeHandler: Send + Sync + 'static {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, FakeResponse>;
}

type Connections = Arc<Mutex<JoinSet<()>>>;

/// A running fake. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct FakeServer {
    address: SocketAddr,
    accept: JoinHandle<()>,
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
        let accepted = Arc::clone(&connections);
        let accept = tokio::spawn(async move {
            loop {
                let stream = match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        eprintln!("a connection was not accepted: {error}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                        continue;
                    }
                };
                let _ = stream.set_nodelay(true);
                let handler = Arc::clone(&handler);
                let service = service_fn(move |request| Arc::clone(&handler).handle(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                let mut tasks = lock(&accepted);
                while tasks.try_join_next().is_some() {}
                tasks.spawn(async move {
                    // An aborted response and a closed connection end here; both are intended.
                    let _ = connection.await;
                });
            }
        });
        Ok(Self {
            address,
            accept,
            connections,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all open connections, as the exit of the process would.
    pub fn close_connections(&self) {
        lock(&self.connections).abort_all();
    }

    pub(crate) fn connections(&self) -> Connections {
        Arc::clone(&self.connections)
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.accept.abort();
        self.close_connections();
    }
}

/// Prints the address line and serves until the process is ended.
pub async fn announce_and_wait(server: FakeServer) -> Infallible {
    println!("listening {}", server.address());
    std::future::pending().await
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

pub(crate) fn whole_body(bytes: impl Into<Bytes>) -> FakeBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

pub(crate) fn json(status: u16, value: &serde_json::Value) -> Response<FakeBody> {
    let mut response = Response::new(whole_body(value.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).expect("fakes use valid statuses");
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a streamed body. Dropping the sender ends it normally; an error closes the connection.
pub(crate) fn streamed_body() -> (mpsc::Sender<Result<Bytes, Aborted>>, FakeBody) {
    let (sender, receiver) = mpsc::channel::<Result<Bytes, Aborted>>(1);
    let frames = stream::unfold(receiver, |mut receiver| async move {
        let piece = receiver.recv().await?;
        Some((piece.map(Frame::data), receiver))
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

/// Parses a JSON body; the error is the response to send.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response<FakeBody>>> {
    serde_json::from_slice(body).map_err(|error| {
        let value = serde_json::json!({"error": "malformed", "detail": error.to_string()});
        Box::new(json(400, &value))
    })
}

/// Sends the first half of a body and closes the connection.
pub(crate) fn truncated(text: &str) -> Response<FakeBody> {
    let (sender, body) = streamed_body();
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    tokio::spawn(async move {
        let _ = sender.send(Ok(half)).await;
        let _ = sender.send(Err(Aborted)).await;
    });
    Response::new(body)
}
