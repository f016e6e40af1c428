//! Translation between internal metadata and the HTTP headers of callers and endpoints.

use http::{HeaderMap, request, response};
use wasabipoint_kernel::{CustomerId, EndpointId, ModelName, PromptPartId};
use wasabipoint_policy::Announcement;

/// Metadata read from the headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Request id chosen by the caller, which uses a new one for each of its own retries.
    pub request_id: String,
    /// Time that the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The requested model, or `MODEL/ADAPTER`.
    pub model: Option<ModelName>,
    /// Number of prompt tokens and maximum number of generated tokens.
    pub tokens: Option<(u64, u64)>,
    /// Prompt parts in order, each with its id and its number of tokens.
    pub prompt_parts: Vec<(u64, u64)>,
    /// Id of the last event that the caller received.
    pub last_event_id: Option<u64>,
    /// Request id of the caller's attempt that brought the first event of the stream that it resumes.
    pub resumed_request_id: Option<String>,
}

/// Maximum length of the id of another request in a record, in characters.
const MAX_LOGGED_ID_CHARS: usize = 64;

impl RequestMetadata {
    /// Returns the id of the attempt that the caller resumes, cut to a bounded length.
    pub(crate) fn resumed_id_for_log(&self) -> Option<String> {
        let id = self.resumed_request_id.as_deref()?;
        Some(id.chars().take(MAX_LOGGED_ID_CHARS).collect())
    }

    /// Returns the prompt parts that other requests may share: all but the last.
    pub(crate) fn shared_prompt_parts(&self) -> impl Iterator<Item = PromptPartId> {
        let count = self.prompt_parts.len().saturating_sub(1);
        let shared = self.prompt_parts[..count].iter();
        shared.map(|(part, _)| PromptPartId::of_part(*part))
    }
}

/// Metadata sent to an endpoint in addition to the caller's headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardMetadata<'a> {
    /// Time left for the request in milliseconds.
    pub remaining_ms: u64,
    /// Customer that the request's key belongs to.
    pub customer: Option<&'a CustomerId>,
    /// The endpoint that the request is addressed to.
    pub endpoint: &'a EndpointId,
    /// Scheduling priority at an engine; 0 is the highest.
    pub engine_priority: Option<u8>,
    /// Id of the last event that the caller received.
    pub last_event_id: Option<u64>,
}

/// Load that an endpoint reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// How long work takes at the endpoint now, in percent of the usual time.
    pub work_time_percent: Option<u32>,
}

/// What a response says about the number of requests that its endpoint accepts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RequestLimit {
    /// The response names no limit, so that none is in force.
    #[default]
    None,
    /// The endpoint accepts this number of requests per second from all entry processes together.
    PerSecond(f64),
    /// The limit cannot be read; an earlier one stays in force.
    Unreadable,
}

/// The endpoint that a response names as its sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Responder {
    /// The response names no endpoint.
    #[default]
    Unnamed,
    /// The endpoint that the request was addressed to.
    Expected,
    /// Another endpoint, which uses the address now.
    Other,
}

/// Metadata read from the headers of an endpoint's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the endpoint reports that it did not run the request.
    pub is_not_run: bool,
    /// Who sent the response, as far as it says so.
    pub responder: Responder,
    /// Whether the response carries the endpoint's signature.
    pub is_signed: bool,
    /// Load that the endpoint reports.
    pub load: Option<ReportedLoad>,
    /// Limit on requests that the endpoint names.
    pub request_limit: RequestLimit,
    /// Time for which the endpoint is still cold, in milliseconds, if the response states it.
    pub cold_remaining_ms: Option<u64>,
    /// What the endpoint announces about itself.
    pub announcement: Announcement,
    /// How long the endpoint keeps an idle connection open, in seconds.
    pub keep_alive_s: Option<u64>,
}

/// Reads and writes the headers of a deployment. Makes no routing or admission decisions.
pub trait ForwardDialect: Send + Sync + 'static {
    /// Reads the metadata of a caller's request; `None` if it has no valid id.
    fn read_request(&self, head: &request::Parts) -> Option<RequestMetadata>;
    /// Sets the headers for the endpoint and removes those that a caller must not set.
    fn write_request(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);
    /// Reads the metadata of an endpoint's response.
    fn read_response(&self, head: &response::Parts, expected: &EndpointId) -> ResponseMetadata;
}
