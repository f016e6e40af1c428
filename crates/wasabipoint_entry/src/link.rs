//! Traits for calls to control and to agents, and their network implementations.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use serde_json::Value;
use tarpc::client::RpcError;
use wasabipoint_http::{ClientError, HttpClient, ResponseBody};
use wasabipoint_kernel::{ErrorKind, RunState};
use wasabipoint_rpc::{
    AdapterReply, AdapterRequest, CallContext, ClaimOutcome, ClaimRequest, ControlClient,
    ControlError, ControlRefusal, ControlRpcClient, DispatchRequest, EntryDirective, EntryReport,
    Outcome, OutcomeRequest, QuotaExchange, QuotaGrants, QuotaReply, QuotaRequest, StreamOrigin,
    StreamQuery, StreamRecord, WatchReply, WatchRequest, decode_message, encode_message,
};

/// Timeout of a call that does not long-poll, over all control members that are tried.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for connecting to an agent; the network latency between VMs is about a millisecond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of the HTTP request of an outcome query, which opens a new connection.
const OUTCOME_HTTP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest stored response that an outcome query returns.
const MAX_OUTCOME_BYTES: usize = 32 * 1_024 * 1_024;

/// Largest refusal that an agent may send in place of a frame stream.
const MAX_REFUSAL_BYTES: usize = 64 * 1_024;

/// Calls to the control leader.
pub trait ControlLink: Send + Sync + 'static {
    /// Long-polls for changes of the fleet view.
    fn watch(&self, request: WatchRequest) -> BoxFuture<'_, Result<WatchReply, ControlError>>;
    /// Reports the demand at this entry process.
    fn report(&self, report: EntryReport) -> BoxFuture<'_, Result<EntryDirective, ControlError>>;
    /// Settles used quota slices and requests new ones. Does not retry; that is up to the caller.
    fn exchange_quota(
        &self,
        exchange: QuotaExchange,
    ) -> BoxFuture<'_, Result<QuotaGrants, ControlError>>;
    /// As `exchange_quota`, with the requests that wait for the result. A control without queues
    /// decides them by the grants alone.
    fn request_quota(
        &self,
        request: QuotaRequest,
    ) -> BoxFuture<'_, Result<QuotaReply, ControlError>> {
        Box::pin(async move {
            let grants = self.exchange_quota(request.exchange).await?;
            Ok(QuotaReply {
                grants,
                verdicts: Vec::new(),
            })
        })
    }
    /// Claims an idempotency key.
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, Result<ClaimOutcome, ControlError>>;
    /// Requests that an adapter is loaded at one of the endpoints that serve its model.
    fn load_adapter(
        &self,
        _request: AdapterRequest,
    ) -> BoxFuture<'_, Result<AdapterReply, ControlError>> {
        Box::pin(async { Err(ControlError::Unavailable) })
    }
    /// Commits which software versions began streams.
    fn record_streams(
        &self,
        _streams: Vec<StreamRecord>,
    ) -> BoxFuture<'_, Result<(), ControlError>> {
        Box::pin(async { Err(ControlError::Unavailable) })
    }
    /// Returns where a stream began that a caller resumes.
    fn find_stream(
        &self,
        _query: StreamQuery,
    ) -> BoxFuture<'_, Result<StreamOrigin, ControlError>> {
        Box::pin(async { Err(ControlError::Unavailable) })
    }
}

/// Error of a call to an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentError {
    /// The request was not sent.
    NotSent(String),
    /// The request may have been sent.
    Interrupted(String),
    /// The agent refused the request.
    Refused {
        /// Kind of the error.
        kind: ErrorKind,
        /// Whether the request ran.
        run_state: RunState,
        /// Description of the error.
        detail: String,
    },
}

/// Chunks of an encoded frame stream; a frame may span several. Dropping it closes the connection
/// and cancels the request.
pub trait ResponseChunks: Send {
    /// Returns the next chunk, or `None` at the end. Cancel-safe: a dropped future loses no bytes.
    fn next_chunk(&mut self) -> BoxFuture<'_, Result<Option<Bytes>, AgentError>>;
}

/// Calls to agents.
pub trait AgentLink: Send + Sync + 'static {
    /// Sends a request without retries and returns its frame stream.
    fn dispatch(
        &self,
        address: SocketAddr,
        request: &DispatchRequest,
    ) -> BoxFuture<'_, Result<Box<dyn ResponseChunks>, AgentError>>;
    /// Queries the outcome of a request over a new connection.
    fn query_outcome(
        &self,
        address: SocketAddr,
        request: OutcomeRequest,
    ) -> BoxFuture<'_, Result<Outcome, AgentError>>;
}

/// Calls control over tarpc. Long polls use a separate connection, so that abandoning an
/// unresponsive one does not interrupt other calls.
pub struct RpcControlLink {
    watch_client: ControlClient,
    call_client: ControlClient,
}

impl RpcControlLink {
    /// Creates a link to the given control members.
    pub fn new(members: &[SocketAddr]) -> Self {
        Self {
            watch_client: ControlClient::new(members),
            call_client: ControlClient::new(members),
        }
    }

    /// Replaces the members that are tried while no leader is known.
    pub fn set_members(&self, members: &[SocketAddr]) {
        self.watch_client.set_members(members);
        self.call_client.set_members(members);
    }
}

impl RpcControlLink {
    /// Sends a request that does not long-poll to the leader. `call` is the call of the RPC service.
    fn call<'l, R, T, Fut>(
        &'l self,
        request: R,
        call: impl Fn(ControlRpcClient, CallContext, R) -> Fut + Send + Sync + 'l,
    ) -> BoxFuture<'l, Result<T, ControlError>>
    where
        R: Clone + Send + Sync + 'l,
        T: Send,
        Fut: Future<Output = Result<Result<T, ControlRefusal>, RpcError>> + Send,
    {
        Box::pin(async move {
            let send = |client, context| call(client, context, request.clone());
            self.call_client
                .call(Duration::ZERO, CONTROL_CALL_TIMEOUT, send)
                .await
        })
    }
}

impl ControlLink for RpcControlLink {
    fn watch(&self, request: WatchRequest) -> BoxFuture<'_, Result<WatchReply, ControlError>> {
        Box::pin(async move {
            let wait = Duration::from_millis(request.wait_ms);
            self.watch_client
                .call(wait, wait + CONTROL_CALL_TIMEOUT, |client, context| {
                    let request = request.clone();
                    async move { client.watch(context, request).await }
                })
                .await
        })
    }

    fn report(&self, report: EntryReport) -> BoxFuture<'_, Result<EntryDirective, ControlError>> {
        self.call(report, |client, context, report| async move {
            client.report_entry(context, report).await
        })
    }

    fn exchange_quota(
        &self,
        exchange: QuotaExchange,
    ) -> BoxFuture<'_, Result<QuotaGrants, ControlError>> {
        self.call(exchange, |client, context, exchange| async move {
            client.exchange_quota(context, exchange).await
        })
    }

    fn request_quota(
        &self,
        request: QuotaRequest,
    ) -> BoxFuture<'_, Result<QuotaReply, ControlError>> {
        self.call(request, |client, context, request| async move {
            client.request_quota(context, request).await
        })
    }

    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, Result<ClaimOutcome, ControlError>> {
        self.call(request, |client, context, request| async move {
            client.claim(context, request).await
        })
    }

    fn load_adapter(
        &self,
        request: AdapterRequest,
    ) -> BoxFuture<'_, Result<AdapterReply, ControlError>> {
        self.call(request, |client, context, request| async move {
            client.load_adapter(context, request).await
        })
    }

    fn record_streams(
        &self,
        streams: Vec<StreamRecord>,
    ) -> BoxFuture<'_, Result<(), ControlError>> {
        self.call(streams, |client, context, streams| async move {
            client.record_streams(context, streams).await
        })
    }

    fn find_stream(&self, query: StreamQuery) -> BoxFuture<'_, Result<StreamOrigin, ControlError>> {
        self.call(query, |client, context, query| async move {
            client.find_stream(context, query).await
        })
    }
}

/// Calls agents over HTTP/1.1.
pub struct HttpAgentLink {
    pooled_client: HttpClient,
    unpooled_client: HttpClient,
}

impl HttpAgentLink {
    /// Creates a link; connections are opened on first use.
    pub fn new() -> Self {
        Self {
            pooled_client: HttpClient::new(CONNECT_TIMEOUT),
            unpooled_client: HttpClient::without_pool(CONNECT_TIMEOUT),
        }
    }
}

impl Default for HttpAgentLink {
    fn default() -> Self {
        Self::new()
    }
}

impl AgentLink for HttpAgentLink {
    fn dispatch(
        &self,
        address: SocketAddr,
        request: &DispatchRequest,
    ) -> BoxFuture<'_, Result<Box<dyn ResponseChunks>, AgentError>> {
        let request = build_post_request(address, "/v1/dispatch", encode_message(request));
        Box::pin(async move {
            let response = self
                .pooled_client
                .send(request)
                .await
                .map_err(map_client_error)?;
            let (parts, body) = response.into_parts();
            if parts.status == StatusCode::OK {
                return Ok(Box::new(HttpResponseChunks(body)) as Box<dyn ResponseChunks>);
            }
            let text = body
                .read(MAX_REFUSAL_BYTES)
                .await
                .map_err(map_client_error)?;
            Err(parse_refusal(&text, parts.status))
        })
    }

    fn query_outcome(
        &self,
        address: SocketAddr,
        request: OutcomeRequest,
    ) -> BoxFuture<'_, Result<Outcome, AgentError>> {
        let request = build_post_request(address, "/v1/outcome", encode_message(&request));
        Box::pin(async move {
            let response = self
                .unpooled_client
                .fetch(request, MAX_OUTCOME_BYTES, OUTCOME_HTTP_TIMEOUT)
                .await
                .map_err(map_client_error)?;
            if response.status() != StatusCode::OK {
                return Err(parse_refusal(response.body(), response.status()));
            }
            decode_message(response.body())
                .map_err(|_| AgentError::Interrupted("the outcome does not decode".to_owned()))
        })
    }
}

struct HttpResponseChunks(ResponseBody);

impl ResponseChunks for HttpResponseChunks {
    fn next_chunk(&mut self) -> BoxFuture<'_, Result<Option<Bytes>, AgentError>> {
        Box::pin(async move { self.0.next_chunk().await.map_err(map_client_error) })
    }
}

fn build_post_request(address: SocketAddr, path: &str, body: Vec<u8>) -> Request<Bytes> {
    Request::post(format!("http://{address}{path}"))
        .body(Bytes::from(body))
        .expect("a socket address and a fixed path form a valid URI")
}

fn map_client_error(error: ClientError) -> AgentError {
    match error {
        ClientError::NotConnected(detail) => AgentError::NotSent(detail),
        other => AgentError::Interrupted(other.to_string()),
    }
}

/// Parses a refusal sent in place of a frame stream. Only an explicit `not run` proves that the
/// request did not run.
fn parse_refusal(body: &[u8], status: StatusCode) -> AgentError {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let field = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
    let name = field("kind");
    let Some(kind) = ErrorKind::ALL
        .iter()
        .find(|kind| kind.properties().name == name)
    else {
        return AgentError::Interrupted(format!("the agent answered status {status}"));
    };
    let run_state = if field("run") == RunState::NotRun.as_str() {
        RunState::NotRun
    } else {
        RunState::Unknown
    };
    AgentError::Refused {
        kind: *kind,
        run_state,
        detail: field("message"),
    }
}
