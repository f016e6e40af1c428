//! The HTTP client.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Idle connections kept per host.
const IDLE_CONNECTIONS_PER_HOST: usize = 64;

/// Idle time after which a pooled connection is closed; below the server's keep-alive.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection was made, so nothing was sent.
    NotConnected(String),
    /// The request may have been sent.
    Interrupted(String),
    /// The response body is over the bound.
    TooLarge,
    /// The response did not arrive in time.
    TimedOut,
}

impl std::fmt::Display for ClientError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotConnected(detail) => write!(f, "not connected: {detail}"),
            Self::Interrupted(detail) => write!(f, "interrupted: {detail}"),
            Self::TooLarge => f.write_str("the response body is too large"),
            Self::TimedOut => f.write_str("the response did not arrive in time"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A streamed response body. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
}

impl ResponseBody {
    /// Returns the next piece; `None` at the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|error| ClientError::Interrupted(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the whole body, up to `max_bytes`.
    pub async fn read(mut self, max_bytes: usize) -> Result<Bytes, ClientError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next_chunk().await? {
            if whole.len() + piece.len() > max_bytes {
                return Err(ClientError::TooLarge);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }
}

/// An HTTP/1.1 client. It never repeats a request by itself.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client with pooled connections.
    pub fn new(connect_timeout: Duration) -> Self {
        Self::build(connect_timeout, IDLE_CONNECTIONS_PER_HOST)
    }

    /// Creates a client that opens a new connection for each request.
    pub fn without_pool(connect_timeout: Duration) -> Self {
        Self::build(connect_timeout, 0)
    }

    fn build(connect_timeout: Duration, idle_connections: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_connections)
            // A repeated non-idempotent call could run twice; retries are decided by the caller.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response, without a time limit.
    pub async fn send(
        &self,
        request: Request<Bytes>,
    ) -> Result<Response<ResponseBody>, ClientError> {
        let response = self
            .client
            .request(request.map(Full::new))
            .await
            .map_err(|error| {
                if error.is_connect() {
                    ClientError::NotConnected(describe(&error))
                } else {
                    ClientError::Interrupted(describe(&error))
                }
            })?;
        Ok(response.map(|incoming| ResponseBody { incoming }))
    }

    /// Sends a request and reads the whole response within `timeout`.
    pub async fn fetch(
        &self,
        request: Request<Bytes>,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        let exchange = async {
            let (parts, body) = self.send(request).await?.into_parts();
            Ok(Response::from_parts(parts, body.read(max_bytes).await?))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(ClientError::TimedOut))
    }
}

/// Returns the text of an error with its causes. The library's own text leaves out the system's
/// error.
fn describe(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}
