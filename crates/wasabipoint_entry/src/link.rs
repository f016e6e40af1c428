//! Borders to control and to agents, as traits, and their implementations over the network.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use serde_json::Value;
use wasabipoint_http::{ClientError, HttpClient, ResponseBody};
use wasabipoint_kernel::{ErrorKind, RunState};
use wasabipoint_rpc::{
    AdapterReply, AdapterRequest, ClaimOutcome, ClaimRequest, ControlClient, ControlError,
    DispatchRequest, EntryDirective, EntryReport, Outcome, OutcomeRequest, QuotaExchange,
    QuotaGrants, WatchReply, WatchRequest, decode_message, encode_message,
};

/// Time for a call that does not wait at control, over all members that are tried.
const CONTROL_CALL: Duration = Duration::from_secs(3);

/// Time to connect to an agent; VMs are about a millisecond apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for an outcome query over its new connection.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest stored response that an outcome query returns.
const OUTCOME_BYTES: usize = 32 * 1_024 * 1_024;

/// Largest refusal that an agent answers in place of a frame stream.
const REFUSAL_BYTES: usize = 64 * 1_024;

/// Calls to the control leader.
pub trait ControlLink: Send + Sync + 'static {
    /// Waits for changes of the fleet view.
    fn watch(&self, request: WatchRequest) -> BoxFuture<'_, Result<WatchReply, ControlError>>;
    /// Reports demand.
    fn report(&self, report: EntryReport) -> BoxFuture<'_, Result<EntryDirective, ControlError>>;
    /// Settles and asks for quota slices. The call is made once; repeats are the caller's.
    fn exchange_quota(
        &self,
        exchange: QuotaExchange,
    ) -> BoxFuture<'_, Result<QuotaGrants, ControlError>>;
    /// Claims an idempotency key.
    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, Result<ClaimOutcome, ControlError>>;
    /// Asks for an adapter at one of the endpoints that hold its model.
    fn load_adapter(
        &self,
        _request: AdapterRequest,
    ) -> BoxFuture<'_, Result<AdapterReply, ControlError>> {
        Box::pin(async { Err(ControlError::Unavailable) })
    }
}

/// Why an agent's response cannot be read.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentError {
    /// Nothing was sent.
    NotSent(String),
    /// The request may have been sent.
    Interrupted(String),
    /// The agent refused the request.
    Refused {
        /// The kind of error.
        kind: ErrorKind,
        /// Whether the request ran.
        run: RunState,
        /// What was wrong.
        detail: String,
    },
}

/// The bytes of a frame stream. Dropping it closes the connection and cancels the request.
pub trait ResponsePieces: Send {
    /// Returns the next piece; `None` at the end. A dropped future loses no bytes.
    fn next_piece(&mut self) -> BoxFuture<'_, Result<Option<Bytes>, AgentError>>;
}

/// Calls to agents.
pub trait AgentLink: Send + Sync + 'static {
    /// Sends a request, once, and returns the frame stream.
    fn dispatch(
        &self,
        address: SocketAddr,
        request: &DispatchRequest,
    ) -> BoxFuture<'_, Result<Box<dyn ResponsePieces>, AgentError>>;
    /// Asks for the outcome of a request over a new connection.
    fn ask_outcome(
        &self,
        address: SocketAddr,
        request: OutcomeRequest,
    ) -> BoxFuture<'_, Result<Outcome, AgentError>>;
}

/// Control over tarpc. Long polls have a connection of their own, so that giving up a silent one
/// does not interrupt other calls.
pub struct RpcControlLink {
    watcher: ControlClient,
    caller: ControlClient,
}

impl RpcControlLink {
    /// Creates a link to the given members.
    pub fn new(members: &[SocketAddr]) -> Self {
        Self {
            watcher: ControlClient::new(members),
            caller: ControlClient::new(members),
        }
    }

    /// Replaces the members that are asked when no leader is known.
    pub fn set_members(&self, members: &[SocketAddr]) {
        self.watcher.set_members(members);
        self.caller.set_members(members);
    }
}

impl ControlLink for RpcControlLink {
    fn watch(&self, request: WatchRequest) -> BoxFuture<'_, Result<WatchReply, ControlError>> {
        Box::pin(async move {
            let wait = Duration::from_millis(request.wait_ms);
            self.watcher
                .call(wait, wait + CONTROL_CALL, |client, context| {
                    let request = request.clone();
                    async move { client.watch(context, request).await }
                })
                .await
        })
    }

    fn report(&self, report: EntryReport) -> BoxFuture<'_, Result<EntryDirective, ControlError>> {
        Box::pin(async move {
            self.caller
                .call(Duration::ZERO, CONTROL_CALL, |client, context| {
                    let report = report.clone();
                    async move { client.report_entry(context, report).await }
                })
                .await
        })
    }

    fn exchange_quota(
        &self,
        exchange: QuotaExchange,
    ) -> BoxFuture<'_, Result<QuotaGrants, ControlError>> {
        Box::pin(async move {
            self.caller
                .call(Duration::ZERO, CONTROL_CALL, |client, context| {
                    let exchange = exchange.clone();
                    async move { client.exchange_quota(context, exchange).await }
                })
                .await
        })
    }

    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, Result<ClaimOutcome, ControlError>> {
        Box::pin(async move {
            self.caller
                .call(Duration::ZERO, CONTROL_CALL, |client, context| {
                    let request = request.clone();
                    async move { client.claim(context, request).await }
                })
                .await
        })
    }

    fn load_adapter(
        &self,
        request: AdapterRequest,
    ) -> BoxFuture<'_, Result<AdapterReply, ControlError>> {
        Box::pin(async move {
            self.caller
                .call(Duration::ZERO, CONTROL_CALL, |client, context| {
                    let request = request.clone();
                    async move { client.load_adapter(context, request).await }
                })
                .await
        })
    }
}

/// Agents over HTTP/1.1.
pub struct HttpAgentLink {
    pooled: HttpClient,
    fresh: HttpClient,
}

impl HttpAgentLink {
    /// Creates a link; connections are made on first use.
    pub fn new() -> Self {
        Self {
            pooled: HttpClient::new(CONNECT_TIMEOUT),
            fresh: HttpClient::without_pool(CONNECT_TIMEOUT),
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
    ) -> BoxFuture<'_, Result<Box<dyn ResponsePieces>, AgentError>> {
        let request = post(address, "/v1/dispatch", encode_message(request));
        Box::pin(async move {
            let response = self.pooled.send(request).await.map_err(map_error)?;
            let (parts, body) = response.into_parts();
            if parts.status == StatusCode::OK {
                return Ok(Box::new(HttpPieces(body)) as Box<dyn ResponsePieces>);
            }
            let text = body.read(REFUSAL_BYTES).await.map_err(map_error)?;
            Err(parse_refusal(&text, parts.status))
        })
    }

    fn ask_outcome(
        &self,
        address: SocketAddr,
        request: OutcomeRequest,
    ) -> BoxFuture<'_, Result<Outcome, AgentError>> {
        let request = post(address, "/v1/outcome", encode_message(&request));
        Box::pin(async move {
            let response = self
                .fresh
                .fetch(request, OUTCOME_BYTES, OUTCOME_TIMEOUT)
                .await
                .map_err(map_error)?;
            if response.status() != StatusCode::OK {
                return Err(parse_refusal(response.body(), response.status()));
            }
            decode_message(response.body())
                .map_err(|_| AgentError::Interrupted("the outcome does not decode".to_owned()))
        })
    }
}

struct HttpPieces(ResponseBody);

impl ResponsePieces for HttpPieces {
    fn next_piece(&mut self) -> BoxFuture<'_, Result<Option<Bytes>, AgentError>> {
        Box::pin(async move { self.0.next_chunk().await.map_err(map_error) })
    }
}

fn post(address: SocketAddr, path: &str, body: Vec<u8>) -> Request<Bytes> {
    Request::post(format!("http://{address}{path}"))
        .body(Bytes::from(body))
        .expect("an address and a fixed path make a valid URI")
}

fn map_error(error: ClientError) -> AgentError {
    match error {
        ClientError::NotConnected(detail) => AgentError::NotSent(detail),
        other => AgentError::Interrupted(other.to_string()),
    }
}

/// Reads a refusal in place of a frame stream. Only an explicit `not run` is taken as proof.
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
    let run = if field("run") == RunState::NotRun.as_str() {
        RunState::NotRun
    } else {
        RunState::Unknown
    };
    AgentError::Refused {
        kind: *kind,
        run,
        detail: field("message"),
    }
}
