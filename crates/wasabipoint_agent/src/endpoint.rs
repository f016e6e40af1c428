//! What the agent needs of an endpoint; each engine dialect is one implementation.

use bytes::Bytes;
use futures::future::BoxFuture;
use wasabipoint_kernel::{AdapterName, FencingToken, ModelName, RequestId};
use wasabipoint_rpc::{CacheEvent, CheckpointTier, ReplicaState};

/// A model at the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// The model.
    pub model: ModelName,
    /// Version of the checkpoint.
    pub version: u64,
    /// Fencing token of the last command.
    pub fencing_token: FencingToken,
    /// Memory of the replica, when the engine states it.
    pub memory_mib: Option<u64>,
    /// State of the replica.
    pub state: ReplicaState,
}

/// State of an engine at one moment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineSnapshot {
    /// Changes when the engine restarts.
    pub instance: String,
    /// Memory in use by models and adapters.
    pub memory_used_mib: u64,
    /// Models that are held or loading.
    pub models: Vec<EngineModel>,
    /// Adapters that are loaded.
    pub adapters: Vec<AdapterName>,
    /// Checkpoints that are nearer than the weight store.
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
    /// Its model.
    pub model: ModelName,
    /// Memory of the adapter.
    pub memory_mib: u64,
}

/// Why a command has no success answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandError {
    /// The engine saw a larger fencing token.
    Stale {
        /// The largest token that the engine saw.
        highest: u64,
    },
    /// The engine refused the command or failed to carry it out.
    Refused(String),
    /// There is no answer; the command may have taken effect.
    Unanswered(String),
}

/// Why a request to the endpoint failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointError {
    /// No connection was made, so nothing was sent.
    NotConnected(String),
    /// The request may have run.
    Interrupted(String),
}

impl EndpointError {
    /// Returns what was wrong.
    pub fn detail(&self) -> &str {
        match self {
            Self::NotConnected(detail) | Self::Interrupted(detail) => detail,
        }
    }
}

/// Cache events after a sequence number of the engine.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CacheEventPage {
    /// The events in order.
    pub events: Vec<CacheEvent>,
    /// Sequence number to continue from.
    pub last: u64,
    /// Whether events are missing.
    pub has_gap: bool,
}

/// A request for the endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRequest {
    /// The request.
    pub request_id: RequestId,
    /// Priority for engines.
    pub priority: u8,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the endpoint.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// A response body. Dropping it before its end closes the connection.
pub trait ResponsePieces: Send {
    /// Returns the next piece; `None` at the end of the body.
    fn next_piece(&mut self) -> BoxFuture<'_, Result<Option<Bytes>, EndpointError>>;
}

/// A response whose body is read in pieces.
pub struct EndpointResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Box<dyn ResponsePieces>,
}

/// An endpoint: requests for all kinds, commands and state for engines.
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
    /// Loads a model; the answer comes when it is loaded. Dropping the future closes the connection.
    fn load(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>>;
    /// Unloads a model.
    fn unload(&self, command: ModelCommand) -> BoxFuture<'_, Result<(), CommandError>>;
    /// Loads an adapter.
    fn load_adapter(&self, command: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>>;
    /// Unloads an adapter.
    fn unload_adapter(&self, command: AdapterCommand) -> BoxFuture<'_, Result<(), CommandError>>;
}
