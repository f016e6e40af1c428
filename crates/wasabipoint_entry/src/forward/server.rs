//! The listener for callers.
//!
//! `hyper` serves callers here in place of `xitca-web`: a forwarding entry process has a fifth of a
//! core, needs the end of a caller's connection while an endpoint works, and keeps connections open
//! through a drain that it times itself.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::Forwarder;
use super::answer::{ResponseBody, close_after};

/// Largest request head that is read before it is refused, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// Longest time between requests of a connection. Callers use connections again within 15 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(40);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the drain is over.
pub(crate) async fn serve_callers(
    forwarder: Arc<Forwarder>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let mut stopped = closing.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let forwarder = Arc::clone(&forwarder);
                    connections.spawn(serve_connection(forwarder, stream, closing.clone()));
                }
                Err(error) => {
                    warn!(forwarder.logger, "entry: a connection was not accepted";
                        "error" => %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = wait_until_closing(&mut stopped) => break,
        }
    }
    while connections.join_next().await.is_some() {}
}

/// Waits until connections are to be closed. A dropped sender means the same.
async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|is_closing| *is_closing).await;
}

async fn serve_connection(
    forwarder: Arc<Forwarder>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        info!(forwarder.logger, "entry: a connection ended at once"; "error" => %error);
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let forwarder = Arc::clone(&forwarder);
        async move {
            let mut response = Arc::clone(&forwarder).handle(request).await;
            if forwarder.is_draining() {
                close_after(&mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // Errors of a connection concern its caller only, who sees them.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_until_closing(&mut closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Serves the readiness check and the metrics.
pub(crate) async fn serve_status(
    forwarder: Arc<Forwarder>,
    listener: TcpListener,
    ready_path: &'static str,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let forwarder = Arc::clone(&forwarder);
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer_status(&forwarder, request.uri().path(), ready_path);
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // The platform asks again after an error.
            let _ = connection.await;
        });
    }
}

fn answer_status(forwarder: &Forwarder, path: &str, ready_path: &str) -> Response<ResponseBody> {
    let (status, text) = if path == ready_path {
        if forwarder.is_ready() {
            (StatusCode::OK, "ready\n".to_owned())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    } else if path == "/metrics" {
        (StatusCode::OK, forwarder.meters.render())
    } else {
        (StatusCode::NOT_FOUND, "not found\n".to_owned())
    };
    let mut response = Response::new(ResponseBody::Whole(Some(text.into())));
    *response.status_mut() = status;
    response
}

/// Binds a listener with a backlog for bursts of new connections.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    const BACKLOG: u32 = 1_024;
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Times of a graceful stop, counted from the signal.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainTimes {
    /// New requests on open connections are refused from then on.
    pub(crate) refusal: Duration,
    /// Idle connections are closed from then on.
    pub(crate) close: Duration,
    /// The process ends at the latest.
    pub(crate) end: Duration,
}

impl DrainTimes {
    /// Divides the time that the platform grants.
    pub(crate) fn new(grace: Duration) -> Self {
        Self {
            refusal: grace.mul_f64(0.35),
            close: grace.mul_f64(0.6),
            end: grace.mul_f64(0.95),
        }
    }
}

/// Drains: the process is not ready at once, still serves, refuses, closes and ends.
pub(crate) async fn drain(forwarder: &Forwarder, times: DrainTimes, closing: &watch::Sender<bool>) {
    let began = Instant::now();
    forwarder.begin_drain();
    tokio::time::sleep_until(began + times.refusal).await;
    forwarder.refuse_new();
    tokio::time::sleep_until(began + times.close).await;
    closing.send_replace(true);
}
