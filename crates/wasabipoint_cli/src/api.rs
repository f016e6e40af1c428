//! Client of the operator API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use serde_json::Value;
use tokio::time::Instant;
use wasabipoint_http::{ClientError, HttpClient};
use wasabipoint_kernel::{ErrorKind, Refusal, RunState, Settings};

/// Timeout of connecting to one address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a request to one address, after which the next control member is tried.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between two attempts to send a request.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1_024 * 1_024;

/// A request to the operator API. It may be sent more than once; changes of inventory, rules and
/// keys carry a change id.
#[derive(Debug, Clone)]
pub(crate) struct ApiRequest {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl ApiRequest {
    pub(crate) fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub(crate) fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

/// Client that sends requests to control members and entry processes.
pub(crate) struct ApiClient {
    client: HttpClient,
    members: Vec<SocketAddr>,
    token: String,
    timeout: Duration,
}

impl ApiClient {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            client: HttpClient::new(CONNECT_TIMEOUT),
            members: settings.addresses("control"),
            token: settings.text("operator_token").to_owned(),
            timeout: settings.duration_ms("timeout_ms"),
        }
    }

    /// Sends a request to the leader. Follows leader hints, otherwise tries the members in turn,
    /// and retries until the timeout. A change that may have been applied although its response was
    /// lost is reported with `RunState::Unknown`.
    pub(crate) async fn send(&self, request: &ApiRequest) -> Result<Value, Refusal> {
        let deadline = Instant::now() + self.timeout;
        let mut leader = None;
        let mut next_member = 0;
        let mut last_refusal = Refusal::new(ErrorKind::Unavailable, "no control member answered");
        while Instant::now() < deadline {
            let address = leader.take().unwrap_or_else(|| {
                next_member += 1;
                self.members[(next_member - 1) % self.members.len()]
            });
            match self.send_to(address, request).await {
                Ok(response) if response.status() == StatusCode::MISDIRECTED_REQUEST => {
                    leader = parse_leader_hint(&response);
                }
                Ok(response) if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
                    last_refusal = parse_refusal(&response);
                }
                Ok(response) if response.status().is_success() => return Ok(parse_body(&response)),
                Ok(response) => return Err(parse_refusal(&response)),
                Err(error) => {
                    let may_have_run = request.method != Method::GET
                        && !matches!(error, ClientError::NotConnected(_));
                    if may_have_run {
                        last_refusal.run_state = RunState::Unknown;
                    }
                    last_refusal.detail = format!("{address}: {error}");
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(last_refusal)
    }

    /// Sends a request to one address, without retries.
    pub(crate) async fn send_to(
        &self,
        address: SocketAddr,
        request: &ApiRequest,
    ) -> Result<Response<Bytes>, ClientError> {
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{address}{}", request.path))
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let request = builder
            .body(request.body.clone())
            .map_err(|error| ClientError::NotConnected(error.to_string()))?;
        self.client
            .fetch(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT)
            .await
    }
}

/// Parses the `leader` header, which a member that is not the leader sends.
fn parse_leader_hint(response: &Response<Bytes>) -> Option<SocketAddr> {
    response
        .headers()
        .get("leader")?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Parses a JSON body; any other body becomes a string.
pub(crate) fn parse_body(response: &Response<Bytes>) -> Value {
    serde_json::from_slice(response.body())
        .unwrap_or_else(|_| Value::from(String::from_utf8_lossy(response.body()).into_owned()))
}

/// Parses the refusal in a response. The text of its kind is removed from the message, because the
/// output adds it again.
pub(crate) fn parse_refusal(response: &Response<Bytes>) -> Refusal {
    let value = parse_body(response);
    let name = value["error"]["kind"].as_str().unwrap_or_default();
    let kind = ErrorKind::ALL
        .iter()
        .copied()
        .find(|kind| kind.properties().name == name);
    let detail = value["error"]["message"].as_str().map_or_else(
        || format!("status {}", response.status().as_u16()),
        str::to_owned,
    );
    let text = kind.map_or("", |kind| kind.properties().text);
    let detail = detail
        .strip_prefix(text)
        .unwrap_or(&detail)
        .trim_start_matches(": ")
        .to_owned();
    Refusal::new(kind.unwrap_or(ErrorKind::Internal), detail)
}
