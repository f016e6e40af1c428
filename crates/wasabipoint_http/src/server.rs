//! The HTTP server.
//!
//! Each `xitca-web` worker is a thread with its own runtime, and its request bodies are not `Send`.
//! Requests are therefore handled on the shared runtime, and bodies are passed through channels.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use serde::Serialize;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wasabipoint_kernel::{ErrorKind, Refusal};
use xitca_server::{ServerFuture, ServerHandle};
use xitca_web::body::{Body, BodyExt, Frame, SizeHint};
use xitca_web::http::RequestExt;
use xitca_web::service::fn_service;

use crate::start::run_startup_in_thread;

/// Maximum number of body chunks buffered between worker and handler.
const BODY_CHANNEL_CAPACITY: usize = 8;

/// Maximum number of connections waiting to be accepted. The rise of demand at dawn opens many
/// connections at once.
const LISTEN_BACKLOG: i32 = 1_024;

/// Idle time after which a connection is closed. Longer than the 60 s after which load balancers
/// commonly close theirs.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// A request whose body is read from a channel. Its extensions hold the peer's `SocketAddr`.
pub type HttpRequest = Request<RequestBody>;

/// A response with a complete or streamed body.
pub type HttpResponse = Response<OutgoingBody>;

/// Handles requests on the shared runtime.
pub trait HttpHandler: Send + Sync + 'static {
    /// Handles one request. The future is dropped when the caller disconnects.
    fn handle(
        &self,
        request: HttpRequest,
    ) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>>;
}

/// Why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection closed before the end of the body.
    Incomplete,
}

/// A request body.
#[derive(Debug)]
pub struct RequestBody {
    receiver: mpsc::Receiver<Result<Bytes, BodyError>>,
}

impl RequestBody {
    /// Reads the complete body, up to `max_bytes`.
    pub async fn read(mut self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let mut collected = BytesMut::new();
        while let Some(chunk) = self.receiver.recv().await {
            let chunk = chunk?;
            if collected.len() + chunk.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.freeze())
    }
}

/// The sender aborted a streamed body; the connection is closed without the normal end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamAborted;

impl std::fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response stream was aborted")
    }
}

impl std::error::Error for StreamAborted {}

/// A response body.
#[derive(Debug)]
pub enum OutgoingBody {
    /// A complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Chunks from a channel. The stream ends normally when the sender sends `None` and is aborted
    /// when the sender is dropped before that. The receiver is dropped when a write to a
    /// disconnected caller fails, so a sender that is idle for long must send keep-alive chunks to
    /// detect the disconnect.
    Stream(mpsc::Receiver<Option<Bytes>>),
    /// The stream has ended.
    Ended,
}

impl OutgoingBody {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Creates a streamed body and its sender.
    pub fn stream(capacity: usize) -> (mpsc::Sender<Option<Bytes>>, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (sender, Self::Stream(receiver))
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let this = self.get_mut();
        match this {
            Self::Full(bytes) => match bytes.take() {
                Some(bytes) if !bytes.is_empty() => Poll::Ready(Some(Ok(Frame::Data(bytes)))),
                _ => Poll::Ready(None),
            },
            Self::Stream(receiver) => match receiver.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Some(bytes))) => Poll::Ready(Some(Ok(Frame::Data(bytes)))),
                Poll::Ready(Some(None)) => {
                    *this = Self::Ended;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    *this = Self::Ended;
                    Poll::Ready(Some(Err(StreamAborted)))
                }
            },
            Self::Ended => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::Exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) | Self::Ended => SizeHint::Unknown,
        }
    }
}

/// A bound listener, which accepts connections after [`HttpServer::serve`] is called.
pub struct HttpServer {
    listener: TcpListener,
    workers: usize,
}

impl HttpServer {
    /// Binds an address; with port 0, the system chooses a free port.
    pub fn new(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        // Accepted connections inherit the option. Without it, Nagle's algorithm and delayed
        // acknowledgements add about 40 ms to streamed responses.
        socket.set_tcp_nodelay(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(Self {
            listener: socket.into(),
            workers: 1,
        })
    }

    /// Sets the number of worker threads.
    #[must_use]
    pub fn with_workers(mut self, workers: usize) -> Self {
        self.workers = workers.max(1);
        self
    }

    /// Returns the bound address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Starts the workers. Handlers run on the runtime of the calling task.
    ///
    /// # Errors
    ///
    /// Fails when the workers cannot be started.
    pub async fn serve(self, handler: Arc<dyn HttpHandler>) -> io::Result<HttpServerHandle> {
        let runtime = Handle::current();
        // The library blocks until its worker threads have started.
        let start = move || start_workers(self.listener, self.workers, runtime, handler);
        let (server, handle) = run_startup_in_thread(start).await?;
        let task = tokio::spawn(async move {
            // The result is ignored because the server ends only after `stop`, when the process
            // exits as well.
            let _ = server.await;
        });
        Ok(HttpServerHandle { handle, task })
    }
}

fn start_workers(
    listener: TcpListener,
    workers: usize,
    runtime: Handle,
    handler: Arc<dyn HttpHandler>,
) -> io::Result<(ServerFuture, ServerHandle)> {
    let service = fn_service(
        async move |request: Request<RequestExt<xitca_web::body::RequestBody>>| {
            Ok::<_, Infallible>(run_handler(&runtime, &handler, request).await)
        },
    );
    let mut server = xitca_web::HttpServer::serve(service)
        .worker_threads(workers)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        // The program handles signals itself: it drains first and stops the server last.
        .disable_signal()
        .listen(listener)?
        .run();
    let handle = server.handle()?;
    Ok((server, handle))
}

/// A running server.
pub struct HttpServerHandle {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServerHandle {
    /// Stops accepting connections and ends the workers. Called after all responses have been sent.
    pub async fn stop(self) {
        self.handle.stop(true);
        let _ = self.task.await;
    }
}

async fn run_handler(
    runtime: &Handle,
    handler: &Arc<dyn HttpHandler>,
    request: Request<RequestExt<xitca_web::body::RequestBody>>,
) -> HttpResponse {
    let (parts, extended) = request.into_parts();
    let peer = *extended.socket_addr();
    let (_, mut incoming) = extended.replace_body(());
    let (sender, receiver) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    let mut request = Request::from_parts(parts, RequestBody { receiver });
    request.extensions_mut().insert(peer);
    let handler = Arc::clone(handler);
    let task = runtime.spawn(async move { handler.handle(request).await });
    let mut task = AbortOnDrop(task);
    let mut is_body_read = false;
    let response = tokio::select! {
        response = &mut task.0 => response,
        is_forwarded = forward_body(&mut incoming, sender) => {
            is_body_read = is_forwarded;
            (&mut task.0).await
        }
    };
    let mut response = response.unwrap_or_else(|_| {
        refusal_response(&Refusal::new(ErrorKind::Internal, "the handler failed"))
    });
    if !is_body_read && !discard_received(&mut incoming).await {
        // The library closes the connection. A caller that is not told loses its next request.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Passes a request body on to the handler. Returns whether all of it was read, which it is not if
/// the handler stopped reading.
async fn forward_body(
    incoming: &mut xitca_web::body::RequestBody,
    sender: mpsc::Sender<Result<Bytes, BodyError>>,
) -> bool {
    while let Some(frame) = incoming.frame().await {
        let chunk = match frame {
            Ok(Frame::Data(chunk)) => Ok(chunk),
            Ok(Frame::Trailers(_)) => continue,
            Err(_) => Err(BodyError::Incomplete),
        };
        if sender.send(chunk).await.is_err() {
            return false;
        }
    }
    true
}

/// Discards the part of a request body that has arrived, and returns whether it was all of it.
async fn discard_received(incoming: &mut xitca_web::body::RequestBody) -> bool {
    let mut incoming = Pin::new(incoming);
    std::future::poll_fn(|context| {
        loop {
            match incoming.as_mut().poll_frame(context) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(None) => return Poll::Ready(true),
                Poll::Ready(Some(Err(_))) | Poll::Pending => return Poll::Ready(false),
            }
        }
    })
    .await
}

/// Aborts the handler when the worker drops the request because the caller disconnected.
struct AbortOnDrop(JoinHandle<HttpResponse>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Creates a JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).expect("response types serialize to JSON");
    let mut response = Response::new(OutgoingBody::full(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Creates a plain text response.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(OutgoingBody::full(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Creates the response for a refusal, with a `retry-after` header if it has a retry time.
pub fn refusal_response(refusal: &Refusal) -> HttpResponse {
    let mut response = Response::new(OutgoingBody::full(refusal.to_json()));
    *response.status_mut() = StatusCode::from_u16(refusal.kind.properties().status)
        .expect("every error kind has a valid status");
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(seconds) = refusal.retry_after_s() {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
