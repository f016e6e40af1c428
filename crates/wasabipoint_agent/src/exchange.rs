//! The exchange with the endpoint: sends the request, checks the response and passes it on.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{ErrorKind, Refusal, RequestId, RunState};
use wasabipoint_rpc::{DispatchRequest, EndpointKind, Frame, StoredResponse};

use crate::agent::Core;
use crate::dispatch::Failure;
use crate::endpoint::{EndpointError, EndpointRequest, EndpointResponse, ResponsePieces};
use crate::frame_sink::FrameSink;
use crate::response_check::{CheckError, EventStreamCheck, check_whole_response};

/// Largest whole response of an engine, which is read before it is passed on.
const MAX_WHOLE_BYTES: usize = 16 * 1_024 * 1_024;

/// Largest response that is stored for outcome queries.
const MAX_STORED_BYTES: usize = 1_024 * 1_024;

/// Time beyond the deadline in which the endpoint may begin its response. The entry decides at the
/// deadline; this bound ends requests whose endpoint never answers.
const RESPONSE_GRACE: Duration = Duration::from_secs(30);

/// Silence within a response after which the endpoint counts as failed.
const PIECE_TIMEOUT: Duration = Duration::from_secs(30);

/// Status of an engine that does not hold the model or adapter. The request did not run.
const NOT_HELD_STATUS: u16 = 404;

/// Headers of the endpoint's connection, which say nothing about the response.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A response that was passed on as a whole.
pub(crate) struct Exchanged {
    pub(crate) byte_count: u64,
    pub(crate) stored: Option<StoredResponse>,
}

/// Passes a response on and keeps a copy when the call must not be repeated.
struct Passing<'a> {
    sink: &'a mut FrameSink,
    byte_count: u64,
    stored: Option<StoredResponse>,
}

impl Passing<'_> {
    async fn send_head(
        &mut self,
        status: u16,
        headers: Vec<(String, String)>,
    ) -> Result<(), Failure> {
        if let Some(stored) = &mut self.stored {
            stored.status = status;
            stored.headers.clone_from(&headers);
        }
        Ok(self.sink.send(Frame::Head { status, headers }).await?)
    }

    async fn send_data(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        self.byte_count += bytes.len() as u64;
        match &mut self.stored {
            Some(stored) if stored.body.len() + bytes.len() <= MAX_STORED_BYTES => {
                stored.body.extend_from_slice(bytes);
            }
            _ => self.stored = None,
        }
        Ok(self.sink.send_data(bytes).await?)
    }

    async fn next_piece(
        &mut self,
        body: &mut dyn ResponsePieces,
    ) -> Result<Option<bytes::Bytes>, Failure> {
        let piece = tokio::time::timeout(PIECE_TIMEOUT, body.next_piece());
        match self.sink.wait_for(piece).await? {
            Ok(Ok(piece)) => Ok(piece),
            Ok(Err(error)) => Err(failed(error.detail()).into()),
            Err(_) => Err(failed("the endpoint fell silent within its response").into()),
        }
    }
}

fn failed(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::EndpointFailed, detail)
}

impl From<CheckError> for Failure {
    fn from(error: CheckError) -> Self {
        Self::Refused(failed(error.as_str()))
    }
}

/// Runs the request at the endpoint. The endpoint's connection ends with the response, and is
/// closed when the response is not passed on to its end.
pub(crate) async fn exchange(
    core: &Arc<Core>,
    request: &DispatchRequest,
    outgoing: EndpointRequest,
    deadline: Instant,
    sink: &mut FrameSink,
) -> Result<Exchanged, Failure> {
    let answer = tokio::time::timeout_at(deadline + RESPONSE_GRACE, core.endpoint.send(outgoing));
    let response = match sink.wait_for(answer).await? {
        Ok(Ok(response)) => response,
        Ok(Err(EndpointError::NotConnected(detail))) => {
            let refusal = Refusal::new(ErrorKind::NoEndpoint, detail);
            return Err(refusal.with_run(RunState::NotRun).into());
        }
        Ok(Err(error)) => return Err(failed(error.detail()).into()),
        Err(_) => return Err(failed("the endpoint did not answer").into()),
    };
    check_header(request.request_id, &response)?;
    let passing = Passing {
        sink,
        byte_count: 0,
        stored: (!request.is_idempotent).then(|| StoredResponse {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
        }),
    };
    match core.config.kind {
        EndpointKind::Service => pass_plain(passing, response).await,
        EndpointKind::Engine if is_event_stream(&response) => {
            pass_events(passing, request.request_id, response).await
        }
        EndpointKind::Engine => pass_whole(passing, request.request_id, response).await,
    }
}

/// Endpoints that return the request's id in a header are held to it.
fn check_header(id: RequestId, response: &EndpointResponse) -> Result<(), CheckError> {
    let mut ids = response
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
    let expected = id.to_string();
    if ids.all(|(_, value)| *value == expected) {
        Ok(())
    } else {
        Err(CheckError::Crossed)
    }
}

fn is_event_stream(response: &EndpointResponse) -> bool {
    response.headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with("text/event-stream")
    })
}

fn keep_headers(headers: Vec<(String, String)>) -> Vec<(String, String)> {
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

async fn pass_plain(
    mut passing: Passing<'_>,
    mut response: EndpointResponse,
) -> Result<Exchanged, Failure> {
    let headers = keep_headers(response.headers);
    passing.send_head(response.status, headers).await?;
    while let Some(piece) = passing.next_piece(response.body.as_mut()).await? {
        passing.send_data(&piece).await?;
    }
    Ok(Exchanged {
        byte_count: passing.byte_count,
        stored: passing.stored,
    })
}

async fn pass_events(
    mut passing: Passing<'_>,
    id: RequestId,
    mut response: EndpointResponse,
) -> Result<Exchanged, Failure> {
    let mut check = EventStreamCheck::new(id.to_string());
    // The head waits for the first checked event, so that a crossed response leaves nothing.
    let mut head = Some((response.status, keep_headers(response.headers)));
    while let Some(piece) = passing.next_piece(response.body.as_mut()).await? {
        let released = check.push(&piece)?;
        if released.is_empty() {
            continue;
        }
        if let Some((status, headers)) = head.take() {
            passing.send_head(status, headers).await?;
        }
        passing.send_data(&released).await?;
    }
    check.finish()?;
    Ok(Exchanged {
        byte_count: passing.byte_count,
        stored: passing.stored,
    })
}

async fn pass_whole(
    mut passing: Passing<'_>,
    id: RequestId,
    mut response: EndpointResponse,
) -> Result<Exchanged, Failure> {
    let mut body = Vec::new();
    while let Some(piece) = passing.next_piece(response.body.as_mut()).await? {
        if body.len() + piece.len() > MAX_WHOLE_BYTES {
            return Err(failed("the response is too large").into());
        }
        body.extend_from_slice(&piece);
    }
    check_whole_response(&id.to_string(), &body)?;
    if response.status == NOT_HELD_STATUS {
        let refusal = Refusal::new(
            ErrorKind::NoEndpoint,
            "the engine does not hold the model or adapter",
        );
        return Err(refusal.into());
    }
    let headers = keep_headers(response.headers);
    passing.send_head(response.status, headers).await?;
    passing.send_data(&body).await?;
    Ok(Exchanged {
        byte_count: passing.byte_count,
        stored: passing.stored,
    })
}
