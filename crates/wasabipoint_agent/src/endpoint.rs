//! The interface to an endpoint. Each engine protocol is one implementation.

use bytes::Bytes;
use futures::future::BoxFuture;
use wasabipoint_kernel::{AdapterName, FencingToken, ModelName, RequestId};
use wasabipoint_rpc::{CacheEvent, CheckpointTier, ReplicaState};

/// A model replica on the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReplica {
    /// The model.
    pub model: ModelName,
    /// Version of the checkpoint.
    pub version: u64,
    /// Fencing token of the last command for the model.
    pub fencing_token: FencingToken,
    /// Memory of the replica, if the engine reports it.
    pub memory_mib: Option<u64>,
    /// State of the replica.
    pub state: ReplicaState,
}

/// A snapshot of an engine's state.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineSnapshot {
    /// Instance id, which changes when the engine restarts.
    pub instance: String,
    /// Memory used by models and adapters.
    pub memory_used_mib: u64,
    /// Models that are loaded, being loaded or being unloaded.
    pub models: Vec<EngineReplica>,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
    /// Checkpoints in tiers closer than the remote weight store.
    pub checkpoints: Vec<(ModelName, CheckpointTier)>,
}

/// A load or unload command.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCommand {
    /// The model.
    pub model: ModelName,
    /// Version of the checkpoint.
    pub version: u64,
    /// Memory of the replica.
    pub memory_mib: u64,
    /// Fencing token of the command.
    pub fencing_token: FencingToken,
}

/// A load or unload command for an adapter.
#[derive(Debug, Clone, PartialEq)]
pub struct AdapterCommand {
    /// The adapter.
    pub adapter: AdapterName,
    /// Base model of the adapter.
    pub model: ModelName,
    /// Memory of the adapter.
    pub memory_mib: u64,
}

/// Reason why a command was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandError {
    /// The engine has seen a larger fencing token.
    Stale {
        /// The largest token that the engine has seen.
        highest: u64,
    },
    /// The engine refused the command or failed to carry it out.
    Refused(String),
    /// No response arrived, so the command may have taken effect.
    Unanswered(String),
}

/// Reason why a request to the endpoint failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointError {
    /// No connection was established, so nothing was sent.
    NotConnected(String),
    /// The connection failed after the request may have been sent, so the request may have run.
    Interrupted(String),
}

impl EndpointError {
    /// Returns a description of what failed.
    pub fn detail(&self) -> &str {
        match self {
            Self::NotConnected(detail) | Self::Interrupted(detail) => detail,
        }
    }
}

/// Cache events that follow a sequence number of the engine.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CacheEventPage {
    /// The events in order.
    pub events: Vec<CacheEvent>,
    /// Sequence number from which to read the next events.
    pub last: u64,
    /// Whether events before `events` are missing.
    pub has_gap: bool,
}

/// A request to the endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRequest {
    /// Id of the request.
    pub request_id: RequestId,
    /// Scheduling priority at engines.
    pub priority: u8,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// A streamed response body. Dropping it before its end closes the connection.
pub trait ResponseChunks: Send {
    /// Returns the next chunk, or `None` at the end of the body.
    fn next_chunk(&mut self) -> BoxFuture<'_, Result<Option<Bytes>, EndpointError>>;
}

/// A response whose body is read in chunks.
pub struct EndpointResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Box<dyn ResponseChunks>,
}

/// An endpoint. All kinds take requests; commands, state and cache events are for engines.
pub trait Endpoint: Send + Sync + 'static {
    /// Sends a request on a connection that serves no other request. Dropping the future or the
    /// response's body closes the connection.
    fn send(
        &self,
        request: EndpointRequest,
    ) -> BoxFuture<'_, Result<EndpointResponse, EndpointError>>;
    /// Asks the engine to cancel a request.
    fn cancel(&self, request_id: RequestId) -> BoxFuture<'_, ()>;
    /// Reads the engine's state.
    fn read_state(&self) -> BoxFuture<'_, Result<EngineSnapshot, EndpointError>>;
    /// Reads cache events after a sequence number.
    fn read_cache_events(&self, after: u64)
    -> BoxFuture<'_, Result<CacheEventPage, EndpointError>>;
    /// Loads a model and waits until it is loaded. Dropping the future closes the connection.
    fn load(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>>;
    /// Unloads a model.
    fn unload(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>>;
    /// Loads an adapter.
    fn load_adapter(&self, command: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>>;
    /// Unloads an adapter.
    fn unload_adapter(&self, command: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>>;
}
