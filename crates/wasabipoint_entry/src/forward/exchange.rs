//! One request/response exchange with one endpoint.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use wasabipoint_rpc::EndpointView;

use super::body_buffer::{BodyBuffer, MAX_REFUSAL_BYTES};
use super::dialect::{ForwardDialect, ForwardMetadata, Responder, ResponseMetadata};
use super::pool::{Connection, ConnectionId, Pool, SendError};

/// Largest request body after which the connection is reused. A larger one may still be in transit
/// when an early response is complete.
const MAX_REUSE_BODY_BYTES: usize = 16 * 1_024;

/// Proof that one attempt did not run its request and never will. Without it, the attempt may have run.
#[derive(Debug)]
pub(crate) struct NotRunProof(());

/// The caller's request as forwarded to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingRequest {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The head of a response and the connection that delivers its body.
#[derive(Debug)]
pub(crate) struct StartedResponse {
    pub(crate) head: http::response::Parts,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) body: Incoming,
    connection: Connection,
    can_reuse_connection: bool,
}

/// Result of sending a request to an endpoint.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// The endpoint returned a response head.
    Started(Box<StartedResponse>),
    /// The endpoint rejected the request. Only a rejection that states it proves that the request was
    /// not run.
    Rejected {
        status: StatusCode,
        metadata: ResponseMetadata,
        connection: ConnectionId,
        proof: Option<NotRunProof>,
    },
    /// The request was not sent, because the endpoint no longer accepts it.
    Withdrawn(NotRunProof),
    /// The request was not sent.
    NotSent(String, NotRunProof),
    /// The request may have run; its response is missing or invalid.
    Unknown(ResponseFailure),
}

/// Why a response is not complete or not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ResponseFailure {
    /// The connection to the endpoint broke.
    ConnectionLost(String),
    /// The endpoint sent something else than a response to the request.
    Invalid(String),
}

impl ResponseFailure {
    pub(crate) fn detail(&self) -> &str {
        match self {
            Self::ConnectionLost(detail) | Self::Invalid(detail) => detail,
        }
    }
}

/// Sends a request on a connection that it was not sent on before, and waits for the response head.
/// `begin_send` is called once a connection is open, which can take longer than it takes an endpoint to
/// announce that it wants no more requests; it returns whether the request may still be sent.
pub(crate) async fn begin_exchange(
    pool: &Arc<Pool>,
    dialect: &dyn ForwardDialect,
    outgoing: &OutgoingRequest,
    endpoint: &EndpointView,
    metadata: &ForwardMetadata<'_>,
    begin_send: impl Fn() -> bool,
) -> ExchangeOutcome {
    let acquired = pool.acquire(endpoint.address, &outgoing.request_id).await;
    let mut connection = match acquired {
        Ok(connection) => connection,
        Err(SendError::NotSent(detail) | SendError::Interrupted(detail)) => {
            return ExchangeOutcome::NotSent(detail, NotRunProof(()));
        }
    };
    if !begin_send() {
        pool.release(connection);
        return ExchangeOutcome::Withdrawn(NotRunProof(()));
    }
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    request.headers_mut().clone_from(&outgoing.headers);
    dialect.write_request(request.headers_mut(), metadata);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(SendError::NotSent(detail)) => {
            return ExchangeOutcome::NotSent(detail, NotRunProof(()));
        }
        Err(SendError::Interrupted(detail)) => {
            return ExchangeOutcome::Unknown(ResponseFailure::ConnectionLost(detail));
        }
    };
    let (head, body) = Response::into_parts(response);
    let metadata = dialect.read_response(&head, &endpoint.id);
    if metadata.request_id.as_deref() != Some(outgoing.request_id.as_str()) {
        return ExchangeOutcome::Unknown(invalid("the response belongs to another request"));
    }
    // No request asks for another protocol, so that an interim status answers nothing.
    if head.status.is_informational() {
        return ExchangeOutcome::Unknown(invalid("an interim status as the response"));
    }
    if let Some(seconds) = metadata.keep_alive_s {
        connection.set_idle_timeout(seconds);
    }
    let closes_connection = head
        .headers
        .get(http::header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let can_reuse_connection = !closes_connection && outgoing.body.len() <= MAX_REUSE_BODY_BYTES;
    let started = StartedResponse {
        head,
        metadata,
        body,
        connection,
        can_reuse_connection,
    };
    let is_misdirected = started.head.status == StatusCode::MISDIRECTED_REQUEST;
    // An endpoint runs no request that is addressed to another one.
    let is_from_other = is_misdirected && started.metadata.responder == Responder::Other;
    let proof = (started.metadata.is_not_run || is_from_other).then_some(NotRunProof(()));
    if proof.is_some() || is_misdirected {
        let (status, metadata) = (started.head.status, started.metadata.clone());
        let connection = started.connection_id();
        // If the body cannot be read to its end, the connection is closed instead of reused.
        let _ = started.read_body_to_end(pool, MAX_REFUSAL_BYTES).await;
        return ExchangeOutcome::Rejected {
            status,
            metadata,
            connection,
            proof,
        };
    }
    if started.head.status.is_success() && !started.metadata.is_signed {
        return ExchangeOutcome::Unknown(invalid("a success without a signature"));
    }
    ExchangeOutcome::Started(Box::new(started))
}

fn invalid(detail: &str) -> ResponseFailure {
    ResponseFailure::Invalid(detail.to_owned())
}

impl StartedResponse {
    /// Returns the connection that the request was sent on.
    pub(crate) fn connection_id(&self) -> ConnectionId {
        self.connection.id()
    }

    /// Returns whether the end of the body can be told from the end of its connection, because its
    /// length is known or it is sent in chunks.
    pub(crate) fn has_framed_body(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(http::header::CONTENT_LENGTH)
            || headers.contains_key(http::header::TRANSFER_ENCODING)
    }

    /// Returns the next chunk of the body, or `None` at the end of a complete body.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, ResponseFailure> {
        while let Some(frame) = self.body.frame().await {
            let frame =
                frame.map_err(|error| ResponseFailure::ConnectionLost(error.to_string()))?;
            if let Ok(chunk) = frame.into_data() {
                self.connection.claim_body(chunk.len());
                return Ok(Some(chunk));
            }
        }
        Ok(None)
    }

    /// Reads the whole body, up to `max_bytes`, and releases the connection.
    pub(crate) async fn read_body_to_end(
        mut self,
        pool: &Arc<Pool>,
        max_bytes: usize,
    ) -> Result<(http::response::Parts, Bytes), ResponseFailure> {
        let mut buffer = BodyBuffer::new(pool.body_budget(), max_bytes);
        while let Some(chunk) = self.next_chunk().await? {
            buffer.push(&chunk).map_err(ResponseFailure::Invalid)?;
        }
        let head = self.head.clone();
        self.release_connection(pool);
        Ok((head, buffer.into_bytes()))
    }

    /// Returns the connection to the pool if it can be reused, otherwise closes it. The body must
    /// have been read to its end.
    pub(crate) fn release_connection(self, pool: &Arc<Pool>) {
        if self.can_reuse_connection {
            pool.release(self.connection);
        }
    }
}
