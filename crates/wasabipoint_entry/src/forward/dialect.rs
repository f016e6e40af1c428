//! The border to the names that callers and endpoints use on the wire.

use http::{HeaderMap, request, response};
use wasabipoint_kernel::{CustomerId, EndpointId, ModelName};

/// What a caller's request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of this attempt, chosen by the caller.
    pub request_id: String,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<String>,
    /// The model, or `MODEL/ADAPTER`.
    pub model: Option<ModelName>,
    /// Tokens of the prompt and largest number of generated tokens.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt in order: id and tokens.
    pub prompt_parts: Vec<(u64, u64)>,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// What the system tells an endpoint beside the caller's own headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardMetadata<'a> {
    /// Time left for the request in milliseconds.
    pub remaining_ms: u64,
    /// Customer whose key the request bears.
    pub customer: Option<&'a CustomerId>,
    /// The endpoint that is meant.
    pub endpoint: &'a EndpointId,
    /// Urgency at an engine, 0 is first.
    pub engine_priority: Option<u8>,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// Load that an endpoint tells with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What a response says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Whether another endpoint than the expected one has answered.
    pub is_other_endpoint: bool,
    /// Whether the endpoint vouches for the response.
    pub is_signed: bool,
    /// Load of the endpoint.
    pub load: Option<ReportedLoad>,
    /// How long the endpoint keeps an idle connection open, in seconds.
    pub keep_alive_s: Option<u64>,
}

/// Translates headers. It decides nothing.
pub trait ForwardDialect: Send + Sync + 'static {
    /// Reads a caller's request; `None` if it has no usable id.
    fn read_request(&self, head: &request::Parts) -> Option<RequestMetadata>;
    /// Sets the system's headers and removes those that a caller must not set.
    fn write_request(&self, headers: &mut HeaderMap, facts: &ForwardMetadata<'_>);
    /// Reads the response of an endpoint.
    fn read_response(&self, head: &response::Parts, expected: &EndpointId) -> ResponseMetadata;
}
