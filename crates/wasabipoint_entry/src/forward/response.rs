//! Responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use wasabipoint_kernel::Refusal;

/// Error that aborts a response stream before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamAborted;

impl std::fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response stream aborted before its end")
    }
}

impl std::error::Error for StreamAborted {}

impl From<Infallible> for StreamAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ForwardBody {
    /// A complete body, `None` once it has been sent.
    Full(Option<Bytes>),
    /// A stream of chunks. `None` ends the body; a dropped sender aborts it.
    Stream(mpsc::Receiver<Option<Bytes>>),
    /// The stream has ended or was aborted.
    Ended,
}

impl Body for ForwardBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let this = self.get_mut();
        match this {
            Self::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(receiver) => match receiver.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Some(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Poll::Ready(Some(None)) => {
                    *this = Self::Ended;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    *this = Self::Ended;
                    Poll::Ready(Some(Err(StreamAborted)))
                }
            },
            Self::Ended => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
            Self::Ended => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
            Self::Ended => SizeHint::with_exact(0),
        }
    }
}

/// Builds the response for a refusal.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<ForwardBody> {
    let mut response = Response::new(ForwardBody::Full(Some(refusal.to_json().into())));
    *response.status_mut() = StatusCode::from_u16(refusal.kind.properties().status)
        .expect("every error kind has a valid HTTP status");
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", ms / 1_000, ms % 1_000);
        let value = HeaderValue::from_str(&seconds).expect("digits are a valid header value");
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// Sets `Connection: close`, so that the caller closes the connection after this response.
pub(crate) fn set_connection_close(response: &mut Response<ForwardBody>) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    const HOP_BY_HOP_HEADERS: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let listed_headers: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    for name in listed_headers {
        headers.remove(name.as_str());
    }
}
