//! One request at one endpoint.

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use wasabipoint_rpc::EndpointView;

use super::body_buffer::{BodyBuffer, MAX_REFUSAL_BYTES};
use super::dialect::{ForwardDialect, ForwardMetadata, ResponseMetadata};
use super::pool::{Connection, Pool, SendError};
use std::sync::Arc;

/// Largest request body after which a connection is used again. A larger one may still be on its
/// way when an early response is complete.
const MAX_REUSE_BODY_BYTES: usize = 16 * 1_024;

/// The caller's request as it is sent on.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) request_id: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The head of a response, with the connection on which its body follows.
#[derive(Debug)]
pub(crate) struct Started {
    pub(crate) head: http::response::Parts,
    pub(crate) facts: ResponseMetadata,
    pub(crate) body: Incoming,
    connection: Connection,
    is_reusable: bool,
}

/// How an exchange began.
#[derive(Debug)]
pub(crate) enum Exchange {
    /// The endpoint answers.
    Started(Box<Started>),
    /// The endpoint states that it did not run the request.
    NotRun {
        status: StatusCode,
        facts: ResponseMetadata,
    },
    /// The request was not sent.
    NotSent(String),
    /// The request may have run.
    Unknown(String),
}

/// Sends a request and waits for the head of its response.
pub(crate) async fn begin_exchange(
    pool: &Arc<Pool>,
    dialect: &dyn ForwardDialect,
    outgoing: &Outgoing,
    endpoint: &EndpointView,
    facts: &ForwardMetadata<'_>,
) -> Exchange {
    let mut connection = match pool.connect(endpoint.address).await {
        Ok(connection) => connection,
        Err(SendError::NotSent(detail) | SendError::Interrupted(detail)) => {
            return Exchange::NotSent(detail);
        }
    };
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    request.headers_mut().clone_from(&outgoing.headers);
    dialect.write_request(request.headers_mut(), facts);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(SendError::NotSent(detail)) => return Exchange::NotSent(detail),
        Err(SendError::Interrupted(detail)) => return Exchange::Unknown(detail),
    };
    let (head, body) = Response::into_parts(response);
    let facts = dialect.read_response(&head, &endpoint.endpoint);
    if facts.request_id.as_deref() != Some(outgoing.request_id.as_str()) {
        return Exchange::Unknown("the response belongs to another request".to_owned());
    }
    if let Some(seconds) = facts.keep_alive_s {
        connection.set_keep_alive(seconds);
    }
    let closes = head
        .headers
        .get(http::header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let is_reusable = !closes && outgoing.body.len() <= MAX_REUSE_BODY_BYTES;
    let started = Started {
        head,
        facts,
        body,
        connection,
        is_reusable,
    };
    if started.facts.is_not_run || started.head.status == StatusCode::MISDIRECTED_REQUEST {
        let (status, facts) = (started.head.status, started.facts.clone());
        // Without the end of its body the connection is not used again.
        let _ = started.read_whole(pool, MAX_REFUSAL_BYTES).await;
        return Exchange::NotRun { status, facts };
    }
    if started.head.status.is_success() && !started.facts.is_signed {
        return Exchange::Unknown("a success without a signature".to_owned());
    }
    Exchange::Started(Box::new(started))
}

impl Started {
    /// Returns the next piece, `None` at the end of a complete body.
    pub(crate) async fn next_piece(&mut self) -> Result<Option<Bytes>, String> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            if let Ok(piece) = frame.into_data() {
                return Ok(Some(piece));
            }
        }
        Ok(None)
    }

    /// Reads the whole body, up to `max_bytes`, and keeps the connection.
    pub(crate) async fn read_whole(
        mut self,
        pool: &Arc<Pool>,
        max_bytes: usize,
    ) -> Result<(http::response::Parts, Bytes), String> {
        let mut whole = BodyBuffer::new(pool.bodies(), max_bytes);
        while let Some(piece) = self.next_piece().await? {
            whole.push(&piece)?;
        }
        let head = self.head.clone();
        self.finish(pool);
        Ok((head, whole.finish()))
    }

    /// Keeps the connection of a body that was read to its end.
    pub(crate) fn finish(self, pool: &Arc<Pool>) {
        if self.is_reusable {
            pool.put_back(self.connection);
        }
    }
}
