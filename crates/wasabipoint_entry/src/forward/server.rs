//! HTTP listeners for callers and for status requests, and the graceful shutdown.
//!
//! Uses `hyper` instead of `xitca-web`: a forwarding entry process has a fifth of a core, has to
//! detect that a caller disconnected while an endpoint works, and decides itself when connections
//! close during a drain.

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
use super::response::{ForwardBody, set_connection_close};

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// Maximum time until a request head is complete, which also limits the idle time between two
/// requests on a connection. Callers reuse connections within 15 s.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(40);

/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `closing` is set, then waits for the open ones to end.
pub(crate) async fn serve_callers(
    forwarder: Arc<Forwarder>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let mut accept_closing = closing.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let forwarder = Arc::clone(&forwarder);
                    connections.spawn(serve_connection(forwarder, stream, closing.clone()));
                }
                Err(error) => {
                    warn!(forwarder.logger, "entry: failed to accept a connection";
                        "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = wait_until_closing(&mut accept_closing) => break,
        }
    }
    while connections.join_next().await.is_some() {}
}

/// Waits until `closing` is set or its sender is dropped.
async fn wait_until_closing(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|is_closing| *is_closing).await;
}

async fn serve_connection(
    forwarder: Arc<Forwarder>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        info!(forwarder.logger, "entry: failed to set TCP_NODELAY on a connection";
            "error" => %error);
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let forwarder = Arc::clone(&forwarder);
        async move {
            let mut response = Arc::clone(&forwarder).handle(request).await;
            if forwarder.is_draining() {
                set_connection_close(&mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // A connection error affects only its caller, who observes it as well.
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
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let forwarder = Arc::clone(&forwarder);
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let reply = status_response(&forwarder, request.uri().path(), ready_path);
                async move { Ok::<_, Infallible>(reply) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // The platform repeats a failed status request.
            let _ = connection.await;
        });
    }
}

fn status_response(forwarder: &Forwarder, path: &str, ready_path: &str) -> Response<ForwardBody> {
    let (status, text) = if path == ready_path {
        if forwarder.is_ready() {
            (StatusCode::OK, "ready\n".to_owned())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    } else if path == "/metrics" {
        let running = forwarder.lock().endpoints.requests_out_of_service();
        forwarder.metrics.set_requests_out_of_service(running);
        (StatusCode::OK, forwarder.metrics.render())
    } else {
        (StatusCode::NOT_FOUND, "not found\n".to_owned())
    };
    let mut response = Response::new(ForwardBody::Full(Some(text.into())));
    *response.status_mut() = status;
    response
}

/// Binds a listener whose backlog absorbs bursts of new connections.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    const BACKLOG: u32 = 1_024;
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Longest time for which a draining process accepts requests. The load balancer stops sending new
/// connections after two failed readiness checks, one second apart; whatever is accepted later has less
/// time to end within the grace period.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2_800);

/// Phases of a graceful shutdown, measured from the stop signal.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainSchedule {
    /// Time after which requests that were not sent to an endpoint yet are refused.
    pub(crate) refuse_after: Duration,
    /// Time after which no connection is accepted and open ones are closed once idle.
    pub(crate) close_after: Duration,
    /// Time at which requests without a response are answered.
    pub(crate) answer_after: Duration,
    /// Maximum duration of the drain. The process then exits even with open connections.
    pub(crate) max_duration: Duration,
}

impl DrainSchedule {
    /// Divides the grace period of the platform into phases.
    pub(crate) fn new(grace: Duration) -> Self {
        Self {
            refuse_after: grace.mul_f64(0.35).min(MAX_ACCEPT_TIME),
            close_after: grace.mul_f64(0.6),
            answer_after: grace.mul_f64(0.9),
            max_duration: grace.mul_f64(0.95),
        }
    }
}

/// Drains the process: reports not ready at once but keeps serving, later refuses new requests, closes
/// connections, and finally answers the requests that still have no response.
pub(crate) async fn drain(
    forwarder: &Forwarder,
    schedule: DrainSchedule,
    closing_sender: &watch::Sender<bool>,
) {
    let drain_start = Instant::now();
    forwarder.begin_drain();
    tokio::time::sleep_until(drain_start + schedule.refuse_after).await;
    forwarder.begin_refusing();
    tokio::time::sleep_until(drain_start + schedule.close_after).await;
    closing_sender.send_replace(true);
    tokio::time::sleep_until(drain_start + schedule.answer_after).await;
    forwarder.answer_pending_requests();
}
