//! The HTTP server.
//!
//! `xitca-web` workers are threads with a runtime each, and their request bodies are not `Send`.
//! Each request is therefore handed to the shared runtime, with bodies passed over channels.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
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

use crate::start::start_in_thread;

/// Pieces of a request body that may wait between worker and handler.
const BODY_CHANNEL_PIECES: usize = 8;

/// Connections that may wait to be accepted; a burst at dawn opens many at once.
const LISTEN_BACKLOG: i32 = 1_024;

/// Keep-alive of idle connections; load balancers commonly close theirs after 60 s.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// A request whose body is read from a channel. Its extensions hold the peer's `SocketAddr`.
pub type HttpRequest = Request<RequestBody>;

/// A response with a whole or a streamed body.
pub type HttpResponse = Response<OutgoingBody>;

/// Answers requests on the shared runtime.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller's connection is gone.
    fn handle(
        &self,
        request: HttpRequest,
    ) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>>;
}

/// Why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is over the bound.
    TooLarge,
    /// The connection ended before the body did.
    Incomplete,
}

/// A request body.
#[derive(Debug)]
pub struct RequestBody {
    receiver: mpsc::Receiver<Result<Bytes, BodyError>>,
}

impl RequestBody {
    /// Reads the whole body, up to `max_bytes`.
    pub async fn read(mut self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.receiver.recv().await {
            let piece = piece?;
            if whole.len() + piece.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }
}

/// The sender of a streamed body gave up; the connection is closed without a normal end of body.
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
    /// A whole body.
    Full(Option<Bytes>),
    /// Pieces from a channel. The stream ends normally when the sender sends `None` and is aborted
    /// when the sender is dropped before that. The receiver is dropped when a write to a caller
    /// that went away fails; a sender that is silent for long sends keep-alive pieces to notice it.
    Stream(mpsc::Receiver<Option<Bytes>>),
    /// The stream has ended.
    Ended,
}

impl OutgoingBody {
    /// Creates a whole body.
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

/// A bound listener, which accepts connections once it serves.
pub struct HttpServer {
    listener: TcpListener,
    workers: usize,
}

impl HttpServer {
    /// Binds an address; port 0 lets the system choose.
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

    /// Starts the workers; handlers run on the calling runtime.
    ///
    /// # Errors
    ///
    /// Fails when the workers cannot be started.
    pub async fn serve(self, handler: Arc<dyn HttpHandler>) -> io::Result<HttpServerHandle> {
        let runtime = Handle::current();
        // The library waits for threads of its own when it starts.
        let start = move || start_workers(self.listener, self.workers, runtime, handler);
        let (server, handle) = start_in_thread(start).await?;
        let task = tokio::spawn(async move {
            // The server ends only after `stop`, when the process ends too.
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
        .keep_alive_timeout(KEEP_ALIVE)
        // The program drains first and stops the server last.
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
    /// Stops accepting and ends the workers. Called after all responses have been sent.
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
    let (sender, receiver) = mpsc::channel(BODY_CHANNEL_PIECES);
    let mut request = Request::from_parts(parts, RequestBody { receiver });
    request.extensions_mut().insert(peer);
    let handler = Arc::clone(handler);
    let task = runtime.spawn(async move { handler.handle(request).await });
    let mut task = AbortOnDrop(task);
    let pump = async {
        while let Some(frame) = incoming.frame().await {
            let piece = match frame {
                Ok(Frame::Data(piece)) => Ok(piece),
                Ok(Frame::Trailers(_)) => continue,
                Err(_) => Err(BodyError::Incomplete),
            };
            if sender.send(piece).await.is_err() {
                break;
            }
        }
        drop(sender);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        response = &mut task.0 => response.unwrap_or_else(|_| {
            refusal_response(&Refusal::new(ErrorKind::Internal, "the handler failed"))
        }),
        () = pump => unreachable!("the pump never ends by itself"),
    }
}

/// Ends the handler when the worker drops the request because the caller is gone.
struct AbortOnDrop(JoinHandle<HttpResponse>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Creates a JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).expect("response types encode as JSON");
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
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Creates the response for a refusal, with the `retry-after` header when there is a time.
pub fn refusal_response(refusal: &Refusal) -> HttpResponse {
    let mut response = Response::new(OutgoingBody::full(refusal.to_json()));
    *response.status_mut() = StatusCode::from_u16(refusal.kind.properties().status)
        .expect("the table holds valid statuses");
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
