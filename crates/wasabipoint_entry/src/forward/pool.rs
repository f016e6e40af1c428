//! Connections to endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::body_buffer::BodyBudget;

/// Longest time for a connection to be established. Endpoints are a millisecond away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle time after which a connection is not used again, unless the endpoint states its own.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Margin to the endpoint's own idle timeout.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Time without an acknowledgement after which the kernel gives a connection up.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between keep-alive probes on a connection without traffic.
const KEEP_ALIVE_PAUSE: Duration = Duration::from_secs(1);

/// Idle connections kept for one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;

/// Why a request has no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection: the request was not sent.
    NotSent(String),
    /// The connection ended after the request may have been sent.
    Interrupted(String),
}

/// A connection that carries one request at a time. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    used: Instant,
    max_idle: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            // The request comes back only if no byte of it was written.
            Err(mut failed) => {
                let detail = failed.error().to_string();
                if failed.take_message().is_some() {
                    Err(SendError::NotSent(detail))
                } else {
                    Err(SendError::Interrupted(detail))
                }
            }
        }
    }

    /// Sets how long the endpoint keeps the connection open while it is idle.
    pub(crate) fn set_keep_alive(&mut self, seconds: u64) {
        self.max_idle = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.used.elapsed() < self.max_idle
    }
}

/// Idle connections by endpoint address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    bodies: BodyBudget,
}

impl Pool {
    /// Returns the memory that bodies on these connections share.
    pub(crate) fn bodies(&self) -> &BodyBudget {
        &self.bodies
    }

    /// Returns an idle connection, or a new one.
    pub(crate) async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
    ) -> Result<Connection, SendError> {
        // Data that an endpoint sent on an idle connection is seen before the connection is used.
        tokio::task::yield_now().await;
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        open(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose response was read to its end.
    pub(crate) fn put_back(&self, mut connection: Connection) {
        connection.used = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(connection);
        }
    }

    /// Closes connections that are idle too long or belong to no address in use.
    pub(crate) fn prune(&self, is_used: impl Fn(&SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|address, connections| {
            connections.retain(|connection| {
                !connection.sender.is_closed() && connection.used.elapsed() < connection.max_idle
            });
            is_used(address) && !connections.is_empty()
        });
    }
}

async fn open(address: SocketAddr) -> Result<Connection, SendError> {
    let not_sent = |detail: String| SendError::NotSent(detail);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| not_sent("no connection in time".to_owned()))?
        .map_err(|error| not_sent(error.to_string()))?;
    set_options(&stream).map_err(|error| not_sent(error.to_string()))?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    // Errors of the connection reach the request that waits on it.
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(Connection {
        address,
        sender,
        task,
        used: Instant::now(),
        max_idle: MAX_IDLE,
    })
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_PAUSE)
        .with_interval(KEEP_ALIVE_PAUSE);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
