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
    EndpointResponse, EngineModel, EngineSnapshot, ModelCommand, ResponsePieces,
};

/// Time to connect. The endpoint runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which state and cache events must be answered.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which the agent gives up a command and asks for the engine's state. Silent
/// connections are noticed earlier by the state that is read beside a command.
const COMMAND_TIMEOUT: Duration = Duration::from_mins(15);

/// Largest answer of the engine's administration paths.
const MAX_ADMIN_BYTES: usize = 8 * 1_024 * 1_024;

/// An engine or a plain service, reached over HTTP.
#[derive(Debug)]
pub struct HttpEndpoint {
    base: String,
    // State and events are read again after a failure, so their connections may be reused.
    reader: HttpClient,
    // A command or request has a connection of its own, which ends with it. No response can then
    // belong to an earlier request, and a connection that the endpoint closed while it was idle
    // cannot make the outcome of a call unknown.
    sender: HttpClient,
}

impl HttpEndpoint {
    /// Creates a client of the endpoint at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            base: format!("http://{address}"),
            reader: HttpClient::new(CONNECT_TIMEOUT),
            sender: HttpClient::without_pool(CONNECT_TIMEOUT),
        }
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, EndpointError> {
        let request = Request::get(format!("{}{path}", self.base))
            .body(Bytes::new())
            .map_err(|error| EndpointError::NotConnected(error.to_string()))?;
        let response = self
            .reader
            .fetch(request, MAX_ADMIN_BYTES, READ_TIMEOUT)
            .await
            .map_err(describe_failure)?;
        serde_json::from_slice(response.body())
            .map_err(|error| EndpointError::Interrupted(format!("malformed answer: {error}")))
    }

    async fn command(&self, path: &str, body: Value) -> Result<(), CommandError> {
        let request = Request::post(format!("{}{path}", self.base))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body.to_string()))
            .map_err(|error| CommandError::Refused(error.to_string()))?;
        let response = self
            .sender
            .fetch(request, MAX_ADMIN_BYTES, COMMAND_TIMEOUT)
            .await
            .map_err(|error| CommandError::Unanswered(error.to_string()))?;
        if response.status().is_success() {
            return Ok(());
        }
        let answer: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        if answer["error"] == "stale_fencing_token" {
            let highest = answer["highest"].as_u64().unwrap_or_default();
            return Err(CommandError::Stale { highest });
        }
        let reason = answer["error"].as_str().unwrap_or("no reason given");
        let status = response.status().as_u16();
        Err(CommandError::Refused(format!("status {status}, {reason}")))
    }
}

fn describe_failure(error: ClientError) -> EndpointError {
    match error {
        ClientError::NotConnected(detail) => EndpointError::NotConnected(detail),
        error => EndpointError::Interrupted(error.to_string()),
    }
}

fn describe_model_command(command: &ModelCommand) -> Value {
    json!({
        "model": command.model,
        "version": command.version,
        "memory_mib": command.memory_mib,
        "fencing_token": command.fencing_token,
    })
}

fn describe_adapter_command(command: &AdapterCommand) -> Value {
    json!({
        "adapter": command.adapter,
        "model": command.model,
        "memory_mib": command.memory_mib,
    })
}

#[derive(Deserialize)]
struct StateAnswer {
    instance: Value,
    #[serde(default)]
    memory_used_mib: u64,
    models: Vec<ModelAnswer>,
    #[serde(default)]
    adapters: Vec<String>,
    #[serde(default)]
    checkpoints: Vec<CheckpointAnswer>,
}

#[derive(Deserialize)]
struct ModelAnswer {
    model: String,
    version: u64,
    #[serde(default)]
    fencing_token: u64,
    memory_mib: Option<u64>,
    state: String,
}

#[derive(Deserialize)]
struct CheckpointAnswer {
    model: String,
    tier: String,
}

#[derive(Deserialize)]
struct EventsAnswer {
    events: Vec<EventAnswer>,
    last: u64,
    has_gap: bool,
}

#[derive(Deserialize)]
struct EventAnswer {
    stored: Option<u64>,
    removed: Option<u64>,
}

impl From<StateAnswer> for EngineSnapshot {
    fn from(answer: StateAnswer) -> Self {
        let models = answer.models.into_iter().map(|model| EngineModel {
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
        let checkpoints = answer.checkpoints.into_iter().map(|checkpoint| {
            let tier = match checkpoint.tier.as_str() {
                "memory" => CheckpointTier::Memory,
                "disk" => CheckpointTier::Disk,
                _ => CheckpointTier::Remote,
            };
            (ModelName::new(checkpoint.model), tier)
        });
        Self {
            instance: answer.instance.to_string(),
            memory_used_mib: answer.memory_used_mib,
            models: models.collect(),
            adapters: answer.adapters.into_iter().map(AdapterName::new).collect(),
            checkpoints: checkpoints.collect(),
        }
    }
}

struct HttpPieces(ResponseBody);

impl ResponsePieces for HttpPieces {
    fn next_piece(&mut self) -> BoxFuture<'_, Result<Option<Bytes>, EndpointError>> {
        Box::pin(async { self.0.next_chunk().await.map_err(describe_failure) })
    }
}

fn build_request(base: &str, request: &EndpointRequest) -> Result<Request<Bytes>, http::Error> {
    let mut built = Request::builder()
        .method(request.method.as_str())
        .uri(format!("{base}{}", request.path))
        .body(request.body.clone())?;
    let headers = built.headers_mut();
    for (name, value) in &request.headers {
        headers.append(HeaderName::try_from(name)?, HeaderValue::try_from(value)?);
    }
    let id = HeaderValue::try_from(request.request_id.to_string())?;
    headers.insert("x-request-id", id);
    headers.insert("x-priority", HeaderValue::from(u16::from(request.priority)));
    Ok(built)
}

impl Endpoint for HttpEndpoint {
    fn send(
        &self,
        request: EndpointRequest,
    ) -> BoxFuture<'_, Result<EndpointResponse, EndpointError>> {
        Box::pin(async move {
            let built = build_request(&self.base, &request)
                .map_err(|error| EndpointError::NotConnected(error.to_string()))?;
            let response = self.sender.send(built).await.map_err(describe_failure)?;
            let (parts, body) = response.into_parts();
            let headers = parts.headers.iter().map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                (name.to_string(), value)
            });
            Ok(EndpointResponse {
                status: parts.status.as_u16(),
                headers: headers.collect(),
                body: Box::new(HttpPieces(body)),
            })
        })
    }

    fn cancel(&self, request_id: RequestId) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            let body = json!({"request_id": request_id.to_string()});
            let cancel = self.command("/admin/cancel", body);
            // The closed connection cancels the request too, so a failure needs no repetition.
            let _ = tokio::time::timeout(READ_TIMEOUT, cancel).await;
        })
    }

    fn read_state(&self) -> BoxFuture<'_, Result<EngineSnapshot, EndpointError>> {
        Box::pin(async { Ok(self.read::<StateAnswer>("/admin/state").await?.into()) })
    }

    fn read_cache_events(
        &self,
        after: u64,
    ) -> BoxFuture<'_, Result<CacheEventPage, EndpointError>> {
        Box::pin(async move {
            let path = format!("/admin/cache_events?after={after}");
            let answer: EventsAnswer = self.read(&path).await?;
            let events = answer.events.into_iter().filter_map(|event| {
                let stored = event.stored.map(CacheEvent::Stored);
                stored.or(event.removed.map(CacheEvent::Removed))
            });
            Ok(CacheEventPage {
                events: events.collect(),
                last: answer.last,
                has_gap: answer.has_gap,
            })
        })
    }

    fn load(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        Box::pin(async move {
            self.command("/admin/load", describe_model_command(&command))
                .await
        })
    }

    fn unload(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        Box::pin(async move {
            self.command("/admin/unload", describe_model_command(&command))
                .await
        })
    }

    fn load_adapter(&self, command: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        Box::pin(async move {
            self.command("/admin/load_adapter", describe_adapter_command(&command))
                .await
        })
    }

    fn unload_adapter(&self, command: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>> {
        Box::pin(async move {
            self.command("/admin/unload_adapter", describe_adapter_command(&command))
                .await
        })
    }
}
