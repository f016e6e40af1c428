//! Connection pool for endpoints.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
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
use wasabipoint_http::{MAX_READ_BUFFER_BYTES, MeteredStream, ReadMeter};

use super::body_buffer::BodyBudget;

/// Timeout for establishing a connection. Endpoints are about a millisecond away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Idle time after which a connection is not reused, unless the endpoint announces its own timeout.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Margin subtracted from an idle timeout that the endpoint announces.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Time without an acknowledgement after which the operating system closes a connection
/// (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval of TCP keep-alive probes on a connection without traffic.
const TCP_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of idle connections per endpoint address.
const MAX_IDLE_PER_ENDPOINT: usize = 64;

/// Maximum number of requests that a connection carries, which bounds the ids that it remembers.
const MAX_REQUESTS_PER_CONNECTION: usize = 512;

/// Error from sending a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The request was not sent.
    NotSent(String),
    /// The connection failed after the request may have been sent.
    Interrupted(String),
}

/// Identifies a connection within its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// An HTTP/1 connection that carries one request at a time and closes when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    id: ConnectionId,
    /// Hashes of the ids of all requests that the connection carried.
    carried_ids: Vec<u64>,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    meter: ReadMeter,
    task: AbortHandle,
    last_used: Instant,
    max_idle: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.meter.claim_head();
                Ok(response)
            }
            // hyper returns the request only if no byte of it was written.
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

    /// Counts a part of a response body as received.
    pub(crate) fn claim_body(&self, bytes: usize) {
        self.meter.claim_body(bytes);
    }

    /// Applies the idle timeout that the endpoint announced, less `IDLE_MARGIN`.
    pub(crate) fn set_idle_timeout(&mut self, seconds: u64) {
        self.max_idle = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
    }

    pub(crate) fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns whether the connection can carry a request. A second copy of a response may still arrive
    /// on the connection of its request, where only another request id tells it from the response to a
    /// later one. So no id is carried twice, not even if the caller itself repeats the request.
    fn can_carry(&self, id_hash: u64) -> bool {
        !self.carried_ids.contains(&id_hash)
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.last_used.elapsed() < self.max_idle
    }
}

/// Idle connections by endpoint address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle_connections: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    opened_connections: AtomicU64,
    body_budget: BodyBudget,
    /// Keyed at random, so that callers cannot choose ids with equal hashes.
    id_hasher: RandomState,
}

impl Pool {
    /// Returns the memory budget shared by response bodies.
    pub(crate) fn body_budget(&self) -> &BodyBudget {
        &self.body_budget
    }

    /// Returns an idle connection that has not carried the request, or a new one.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        address: SocketAddr,
        request_id: &str,
    ) -> Result<Connection, SendError> {
        // Lets the connection tasks process unexpected data on idle connections first, so that such
        // a connection is not reused.
        tokio::task::yield_now().await;
        let id_hash = self.id_hasher.hash_one(request_id);
        let mut connection = if let Some(connection) = self.take_idle(address, id_hash) {
            connection
        } else {
            let id = self.opened_connections.fetch_add(1, Ordering::Relaxed);
            open_connection(ConnectionId(id), address).await?
        };
        connection.carried_ids.push(id_hash);
        Ok(connection)
    }

    fn take_idle(&self, address: SocketAddr, id_hash: u64) -> Option<Connection> {
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connections = idle_connections.get_mut(&address)?;
        for index in (0..connections.len()).rev() {
            if !connections[index].can_carry(id_hash) {
                continue;
            }
            let connection = connections.remove(index);
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read to the end. Closes it if it carried
    /// as many requests as it may.
    pub(crate) fn release(&self, mut connection: Connection) {
        if connection.carried_ids.len() >= MAX_REQUESTS_PER_CONNECTION {
            return;
        }
        connection.last_used = Instant::now();
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connections = idle_connections.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(connection);
        }
    }

    /// Closes connections that exceeded their idle timeout or whose address is not in use.
    pub(crate) fn prune(&self, is_used: impl Fn(&SocketAddr) -> bool) {
        let mut idle_connections = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        idle_connections.retain(|address, connections| {
            connections.retain(|connection| {
                !connection.sender.is_closed()
                    && connection.last_used.elapsed() < connection.max_idle
            });
            is_used(address) && !connections.is_empty()
        });
    }
}

async fn open_connection(id: ConnectionId, address: SocketAddr) -> Result<Connection, SendError> {
    let not_sent = |detail: String| SendError::NotSent(detail);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| not_sent("connection timed out".to_owned()))?
        .map_err(|error| not_sent(error.to_string()))?;
    set_socket_options(&stream).map_err(|error| not_sent(error.to_string()))?;
    let meter = ReadMeter::default();
    let stream = MeteredStream::new(stream, meter.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    // Connection errors are reported through the pending request.
    let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
    Ok(Connection {
        id,
        carried_ids: Vec::new(),
        address,
        sender,
        meter,
        task,
        last_used: Instant::now(),
        max_idle: MAX_IDLE,
    })
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(TCP_KEEPALIVE_INTERVAL)
        .with_interval(TCP_KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
