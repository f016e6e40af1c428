//! The endpoint protocol over HTTP/1.1 and JSON.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderName, HeaderValue, Request};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use wasabipoint_http::{ClientError, HttpClient, ResponseBody};
use wasabipoint_kernel::{AdapterName, FencingToken, ModelName, RequestId};
use wasabipoint_rpc::{CacheEvent, CheckpointTier, ReplicaState};

use crate::endpoint::{
    AdapterCommand, CacheEventPage, CommandError, Endpoint, EndpointError, EndpointRequest,
    EndpointResponse, EngineReplica, EngineSnapshot, ModelCommand, ResponseChunks,
};

/// Timeout for establishing a connection. The endpoint runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of reading state or cache events, and of cancelling a request.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a command, after which the agent queries the engine's state. Dead connections are
/// detected earlier, because the agent polls the state while a model is loading.
const COMMAND_TIMEOUT: Duration = Duration::from_mins(15);

/// Maximum response size of the engine's administration paths.
const MAX_ADMIN_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// An engine or a plain service, reached over HTTP.
#[derive(Debug)]
pub struct HttpEndpoint {
    base_url: String,
    // Reads of state and cache events are retried after a failure, so they may reuse connections.
    query_client: HttpClient,
    // Each command or request has its own connection. No response can then belong to an earlier
    // request, and the outcome of a call cannot become unknown because the endpoint closed an idle
    // connection.
    request_client: HttpClient,
}

impl HttpEndpoint {
    /// Creates a client for the endpoint at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            base_url: format!("http://{address}"),
            query_client: HttpClient::new(CONNECT_TIMEOUT),
            request_client: HttpClient::without_pool(CONNECT_TIMEOUT),
        }
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, EndpointError> {
        let request = Request::get(format!("{}{path}", self.base_url))
            .body(Bytes::new())
            .map_err(|error| EndpointError::NotConnected(error.to_string()))?;
        let response = self
            .query_client
            .fetch(request, MAX_ADMIN_RESPONSE_BYTES, READ_TIMEOUT)
            .await
            .map_err(convert_client_error)?;
        serde_json::from_slice(response.body())
            .map_err(|error| EndpointError::Interrupted(format!("malformed response: {error}")))
    }

    async fn post_command(&self, path: &str, body: Value) -> Result<(), CommandError> {
        let request = Request::post(format!("{}{path}", self.base_url))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body.to_string()))
            .map_err(|error| CommandError::Refused(error.to_string()))?;
        let response = self
            .request_client
            .fetch(request, MAX_ADMIN_RESPONSE_BYTES, COMMAND_TIMEOUT)
            .await
            .map_err(|error| CommandError::Unanswered(error.to_string()))?;
        if response.status().is_success() {
            return Ok(());
        }
        let payload: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        if payload["error"] == "stale_fencing_token" {
            let highest = payload["highest"].as_u64().unwrap_or_default();
            return Err(CommandError::Stale { highest });
        }
        let reason = payload["error"].as_str().unwrap_or("no reason given");
        let status = response.status().as_u16();
        Err(CommandError::Refused(format!("status {status}, {reason}")))
    }
}

fn convert_client_error(error: ClientError) -> EndpointError {
    match error {
        ClientError::NotConnected(detail) => EndpointError::NotConnected(detail),
        error => EndpointError::Interrupted(error.to_string()),
    }
}

fn model_command_body(command: &ModelCommand) -> Value {
    json!({
        "model": command.model,
        "version": command.version,
        "memory_mib": command.memory_mib,
        "fencing_token": command.fencing_token,
    })
}

fn adapter_command_body(command: &AdapterCommand) -> Value {
    json!({
        "adapter": command.adapter,
        "model": command.model,
        "memory_mib": command.memory_mib,
    })
}

#[derive(Deserialize)]
struct StateResponse {
    instance: Value,
    #[serde(default)]
    memory_used_mib: u64,
    models: Vec<ModelStatus>,
    #[serde(default)]
    adapters: Vec<String>,
    #[serde(default)]
    checkpoints: Vec<CheckpointStatus>,
}

#[derive(Deserialize)]
struct ModelStatus {
    model: String,
    version: u64,
    #[serde(default)]
    fencing_token: u64,
    memory_mib: Option<u64>,
    state: String,
}

#[derive(Deserialize)]
struct CheckpointStatus {
    model: String,
    tier: String,
}

#[derive(Deserialize)]
struct CacheEventsResponse {
    events: Vec<CacheEventRecord>,
    last: u64,
    has_gap: bool,
}

#[derive(Deserialize)]
struct CacheEventRecord {
    stored: Option<u64>,
    removed: Option<u64>,
}

impl From<StateResponse> for EngineSnapshot {
    fn from(payload: StateResponse) -> Self {
        let models = payload.models.into_iter().map(|model| EngineReplica {
            model: ModelName::new(model.model),
            version: model.version,
            fencing_token: FencingToken(model.fencing_token),
            memory_mib: model.memory_mib,
            state: match model.state.as_str() {
                "loading" => ReplicaState::Loading,
                "unloading" => ReplicaState::Unloading,
                _ => ReplicaState::Loaded,
            },
        });
        let checkpoints = payload.checkpoints.into_iter().map(|checkpoint| {
            let tier = match checkpoint.tier.as_str() {
                "memory" => CheckpointTier::Memory,
                "disk" => CheckpointTier::Disk,
                _ => CheckpointTier::Remote,
            };
            (ModelName::new(checkpoint.model), tier)
        });
        Self {
            instance: payload.instance.to_string(),
            memory_used_mib: payload.memory_used_mib,
            models: models.collect(),
            adapters: payload.adapters.into_iter().map(AdapterName::new).collect(),
            checkpoints: checkpoints.collect(),
        }
    }
}

struct HttpResponseChunks(ResponseBody);

impl ResponseChunks for HttpResponseChunks {
    fn next_chunk(&mut self) -> BoxFuture<'_, Result<Option<Bytes>, EndpointError>> {
        Box::pin(async { self.0.next_chunk().await.map_err(convert_client_error) })
    }
}

fn build_request(base_url: &str, request: &EndpointRequest) -> Result<Request<Bytes>, http::Error> {
    let mut http_request = Request::builder()
        .method(request.method.as_str())
        .uri(format!("{base_url}{}", request.path))
        .body(request.body.clone())?;
    let headers = http_request.headers_mut();
    for (name, value) in &request.headers {
        headers.append(HeaderName::try_from(name)?, HeaderValue::try_from(value)?);
    }
    let id = HeaderValue::try_from(request.request_id.to_string())?;
    headers.insert("x-request-id", id);
    headers.insert("x-priority", HeaderValue::from(u16::from(request.priority)));
    Ok(http_request)
}

impl Endpoint for HttpEndpoint {
    fn send(
        &self,
        request: EndpointRequest,
    ) -> BoxFuture<'_, Result<EndpointResponse, EndpointError>> {
        Box::pin(async move {
            let http_request = build_request(&self.base_url, &request)
                .map_err(|error| EndpointError::NotConnected(error.to_string()))?;
            let response = self
                .request_client
                .send(http_request)
                .await
                .map_err(convert_client_error)?;
            let (parts, body) = response.into_parts();
            let headers = parts.headers.iter().map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                (name.to_string(), value)
            });
            Ok(EndpointResponse {
                status: parts.status.as_u16(),
                headers: headers.collect(),
                body: Box::new(HttpResponseChunks(body)),
            })
        })
    }

    fn cancel(&self, request_id: RequestId) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let body = json!({"request_id": request_id.to_string()});
            let cancel = self.post_command("/admin/cancel", body);
            // Closing the connection cancels the request as well, so a failure needs no retry.
            let _ = tokio::time::timeout(READ_TIMEOUT, cancel).await;
        })
    }

    fn read_state(&self) -> BoxFuture<'_, Result<EngineSnapshot, EndpointError>> {
        Box::pin(async { Ok(self.get_json::<StateResponse>("/admin/state").await?.into()) })
    }

    fn read_cache_events(
        &self,
        after: u64,
    ) -> BoxFuture<'_, Result<CacheEventPage, EndpointError>> {
        Box::pin(async move {
            let path = format!("/admin/cache_events?after={after}");
            let payload: CacheEventsResponse = self.get_json(&path).await?;
            let events = payload.events.into_iter().filter_map(|event| {
                let stored = event.stored.map(CacheEvent::Stored);
                stored.or(event.removed.map(CacheEvent::Removed))
            });
            Ok(CacheEventPage {
                events: events.collect(),
                last: payload.last,
                has_gap: payload.has_gap,
            })
        })
    }

    fn load(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        Box::pin(async move {
            self.post_command("/admin/load", model_command_body(&command))
                .await
        })
    }

    fn unload(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        Box::pin(async move {
            self.post_command("/admin/unload", model_command_body(&command))
                .await
        })
    }

    fn load_adapter(&self, command: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        Box::pin(async move {
            self.post_command("/admin/load_adapter", adapter_command_body(&command))
                .await
        })
    }

    fn unload_adapter(&self, command: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        Box::pin(async move {
            self.post_command("/admin/unload_adapter", adapter_command_body(&command))
                .await
        })
    }
}
