//! Sends a request to the endpoint, checks the response and forwards it to the entry process.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{ErrorKind, Refusal, RequestId, RunState};
use wasabipoint_rpc::{DispatchRequest, EndpointKind, FramePayload, StoredResponse};

use crate::agent::AgentContext;
use crate::dispatch::DispatchError;
use crate::endpoint::{EndpointError, EndpointRequest, EndpointResponse, ResponseChunks};
use crate::frame_sink::FrameSink;
use crate::response_check::{CheckError, EventStreamCheck, check_response_id};

/// Maximum size of a non-streaming engine response, which is buffered and checked before it is
/// forwarded.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;

/// Maximum size of a response that is stored for outcome queries.
const MAX_STORED_RESPONSE_BYTES: usize = 1_024 * 1_024;

/// Time after the deadline in which the endpoint may still begin its response. The entry process
/// enforces the deadline; this bound ends requests whose endpoint never responds.
const RESPONSE_GRACE: Duration = Duration::from_secs(30);

/// Maximum pause between two chunks of a response. A longer pause counts as a failed endpoint.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(30);

/// Status of an engine that has not loaded the model or adapter. The request did not run.
const NOT_LOADED_STATUS: u16 = 404;

/// Headers that apply to the connection to the endpoint, not to the response.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A response that was forwarded completely.
pub(crate) struct ForwardedResponse {
    pub(crate) byte_count: u64,
    pub(crate) stored: Option<StoredResponse>,
}

/// Forwards a response, and stores a copy if the request is not idempotent.
struct ResponseForwarder<'a> {
    sink: &'a mut FrameSink,
    byte_count: u64,
    stored: Option<StoredResponse>,
}

impl ResponseForwarder<'_> {
    async fn send_head(
        &mut self,
        status: u16,
        headers: Vec<(String, String)>,
    ) -> Result<(), DispatchError> {
        if let Some(stored) = &mut self.stored {
            stored.status = status;
            stored.headers.clone_from(&headers);
        }
        Ok(self
            .sink
            .send(FramePayload::Head { status, headers })
            .await?)
    }

    async fn send_data(&mut self, bytes: &[u8]) -> Result<(), DispatchError> {
        self.byte_count += bytes.len() as u64;
        match &mut self.stored {
            Some(stored) if stored.body.len() + bytes.len() <= MAX_STORED_RESPONSE_BYTES => {
                stored.body.extend_from_slice(bytes);
            }
            _ => self.stored = None,
        }
        Ok(self.sink.send_data(bytes).await?)
    }

    async fn next_chunk(
        &mut self,
        body: &mut dyn ResponseChunks,
    ) -> Result<Option<bytes::Bytes>, DispatchError> {
        let chunk = tokio::time::timeout(CHUNK_TIMEOUT, body.next_chunk());
        match self.sink.wait_with_heartbeats(chunk).await? {
            Ok(Ok(chunk)) => Ok(chunk),
            Ok(Err(error)) => Err(endpoint_failed(error.detail()).into()),
            Err(_) => Err(endpoint_failed("the endpoint fell silent within its response").into()),
        }
    }
}

fn endpoint_failed(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::EndpointFailed, detail)
}

impl From<CheckError> for DispatchError {
    fn from(error: CheckError) -> Self {
        Self::Refused(endpoint_failed(error.as_str()))
    }
}

/// Runs the request at the endpoint and forwards the response. The connection to the endpoint ends
/// with the response, and is closed early if the response is not forwarded completely.
pub(crate) async fn exchange(
    context: &Arc<AgentContext>,
    request: &DispatchRequest,
    outgoing: EndpointRequest,
    deadline: Instant,
    sink: &mut FrameSink,
) -> Result<ForwardedResponse, DispatchError> {
    let pending_response =
        tokio::time::timeout_at(deadline + RESPONSE_GRACE, context.endpoint.send(outgoing));
    let response = match sink.wait_with_heartbeats(pending_response).await? {
        Ok(Ok(response)) => response,
        Ok(Err(EndpointError::NotConnected(detail))) => {
            let refusal = Refusal::new(ErrorKind::NoEndpoint, detail);
            return Err(refusal.with_run_state(RunState::NotRun).into());
        }
        Ok(Err(error)) => return Err(endpoint_failed(error.detail()).into()),
        Err(_) => return Err(endpoint_failed("the endpoint did not answer").into()),
    };
    check_request_id_header(request.request_id, &response)?;
    let forwarder = ResponseForwarder {
        sink,
        byte_count: 0,
        stored: (!request.is_idempotent).then(|| StoredResponse {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
        }),
    };
    match context.config.kind {
        EndpointKind::Service => forward_unchecked(forwarder, response).await,
        EndpointKind::Engine if is_event_stream(&response) => {
            forward_event_stream(forwarder, request.request_id, response).await
        }
        EndpointKind::Engine => forward_buffered(forwarder, request.request_id, response).await,
    }
}

/// Checks that every `x-request-id` header of the response, if there is one, has the request's id.
fn check_request_id_header(id: RequestId, response: &EndpointResponse) -> Result<(), CheckError> {
    let mut ids = response
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
    let expected = id.to_string();
    if ids.all(|(_, value)| *value == expected) {
        Ok(())
    } else {
        Err(CheckError::IdMismatch)
    }
}

fn is_event_stream(response: &EndpointResponse) -> bool {
    response.headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with("text/event-stream")
    })
}

fn remove_connection_headers(headers: Vec<(String, String)>) -> Vec<(String, String)> {
    let is_kept = |name: &str| {
        !CONNECTION_HEADERS
            .iter()
            .any(|dropped| name.eq_ignore_ascii_case(dropped))
    };
    headers
        .into_iter()
        .filter(|(name, _)| is_kept(name))
        .collect()
}

async fn forward_unchecked(
    mut forwarder: ResponseForwarder<'_>,
    mut response: EndpointResponse,
) -> Result<ForwardedResponse, DispatchError> {
    let headers = remove_connection_headers(response.headers);
    forwarder.send_head(response.status, headers).await?;
    while let Some(chunk) = forwarder.next_chunk(response.body.as_mut()).await? {
        forwarder.send_data(&chunk).await?;
    }
    Ok(ForwardedResponse {
        byte_count: forwarder.byte_count,
        stored: forwarder.stored,
    })
}

async fn forward_event_stream(
    mut forwarder: ResponseForwarder<'_>,
    id: RequestId,
    mut response: EndpointResponse,
) -> Result<ForwardedResponse, DispatchError> {
    let mut check = EventStreamCheck::new(id.to_string());
    // The head is sent with the first checked event, so that a response to another request is
    // dropped as a whole.
    let mut head = Some((response.status, remove_connection_headers(response.headers)));
    while let Some(chunk) = forwarder.next_chunk(response.body.as_mut()).await? {
        let released = check.push(&chunk)?;
        if released.is_empty() {
            continue;
        }
        if let Some((status, headers)) = head.take() {
            forwarder.send_head(status, headers).await?;
        }
        forwarder.send_data(&released).await?;
    }
    check.finish()?;
    Ok(ForwardedResponse {
        byte_count: forwarder.byte_count,
        stored: forwarder.stored,
    })
}

async fn forward_buffered(
    mut forwarder: ResponseForwarder<'_>,
    id: RequestId,
    mut response: EndpointResponse,
) -> Result<ForwardedResponse, DispatchError> {
    let mut body = Vec::new();
    while let Some(chunk) = forwarder.next_chunk(response.body.as_mut()).await? {
        if body.len() + chunk.len() > MAX_BUFFERED_RESPONSE_BYTES {
            return Err(endpoint_failed("the response is too large").into());
        }
        body.extend_from_slice(&chunk);
    }
    check_response_id(&id.to_string(), &body)?;
    if response.status == NOT_LOADED_STATUS {
        let refusal = Refusal::new(
            ErrorKind::NoEndpoint,
            "the engine does not hold the model or adapter",
        );
        return Err(refusal.into());
    }
    let headers = remove_connection_headers(response.headers);
    forwarder.send_head(response.status, headers).await?;
    forwarder.send_data(&body).await?;
    Ok(ForwardedResponse {
        byte_count: forwarder.byte_count,
        stored: forwarder.stored,
    })
}
