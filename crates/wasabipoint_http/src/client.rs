//! The HTTP client.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tower_service::Service;

use crate::metered::{MAX_READ_BUFFER_BYTES, MeteredStream, ReadMeter};

/// Maximum number of idle connections in the pool per host.
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 64;

/// Idle time after which a pooled connection is closed. Below the server's keep-alive timeout, so
/// that the client closes idle connections first.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be opened, so nothing was sent.
    NotConnected(String),
    /// The exchange failed after the request may have been sent.
    Interrupted(String),
    /// The response body exceeds the size limit.
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

/// A streamed response body. Dropping it before the end closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    meter: ReadMeter,
}

impl ResponseBody {
    /// Returns the next chunk, or `None` at the end of the body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|error| ClientError::Interrupted(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.meter.claim_body(data.len());
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the complete body, up to `max_bytes`.
    pub async fn read(mut self, max_bytes: usize) -> Result<Bytes, ClientError> {
        let mut collected = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if collected.len() + chunk.len() > max_bytes {
                return Err(ClientError::TooLarge);
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.freeze())
    }
}

/// Opens connections whose peers cannot send without end.
#[derive(Debug, Clone)]
struct MeteredConnector(HttpConnector);

impl Service<Uri> for MeteredConnector {
    type Response = TokioIo<MeteredStream<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let metered = MeteredStream::new(stream, ReadMeter::default());
            Ok(TokioIo::new(metered))
        })
    }
}

impl Connection for MeteredStream<TcpStream> {
    fn connected(&self) -> Connected {
        self.inner().connected().extra(self.meter().clone())
    }
}

/// An HTTP/1.1 client. It never retries a request by itself.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<MeteredConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client with a connection pool.
    pub fn new(connect_timeout: Duration) -> Self {
        Self::build(connect_timeout, MAX_IDLE_CONNECTIONS_PER_HOST)
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
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_connections)
            // A retry could execute a non-idempotent call twice, so callers decide on retries.
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_READ_BUFFER_BYTES)
            .build(MeteredConnector(connector));
        Self { client }
    }

    /// Sends a request and waits for the response head, without a timeout.
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
                    ClientError::NotConnected(format_error_chain(&error))
                } else {
                    ClientError::Interrupted(format_error_chain(&error))
                }
            })?;
        // No request asks for another protocol, so that an interim status answers nothing.
        if response.status().is_informational() {
            let detail = format!(
                "interim status {} as the response",
                response.status().as_u16()
            );
            return Err(ClientError::Interrupted(detail));
        }
        let meter = response.extensions().get::<ReadMeter>().cloned();
        let meter = meter.expect("the connector adds the meter of each connection");
        meter.claim_head();
        Ok(response.map(|incoming| ResponseBody { incoming, meter }))
    }

    /// Sends a request and reads the complete response within `timeout`.
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

/// Formats an error with its causes. Hyper's own message omits the error of the operating system.
fn format_error_chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}
