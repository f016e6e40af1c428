//! Relays a streamed response to its caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, HeaderName, Response, StatusCode};
use slog::{Logger, info, warn};
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, timeout};
use wasabipoint_http::{HttpResponse, OutgoingBody};
use wasabipoint_kernel::{CustomerId, RequestId};

use crate::drain::ActiveRequest;
use crate::events::UsageFilter;
use crate::executor::OpenStream;
use crate::frames::StreamEvent;
use crate::metrics::EntryMetrics;
use crate::quota::Reservation;

/// Idle time after which a comment is sent, to detect a disconnected caller.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Server-sent event comment, which clients ignore.
const KEEP_ALIVE_COMMENT: &[u8] = b": keep-alive\n\n";

/// Maximum number of chunks buffered for a slow caller.
const MAX_BUFFERED_PIECES: usize = 16;

/// Time after which a caller that reads no data is treated as disconnected, so that it does not
/// occupy a slot forever.
const CALLER_TIMEOUT: Duration = Duration::from_mins(1);

/// Cooldown of an endpoint after one of its streams broke off.
const BROKEN_STREAM_COOLDOWN_MS: u64 = 1_000;

/// Headers that apply to a single connection and are not forwarded.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// State of a relayed request besides its stream.
pub(crate) struct RelayContext {
    pub(crate) request_id: RequestId,
    pub(crate) customer: CustomerId,
    pub(crate) reservation: Option<Reservation>,
    /// Whether usage events are dropped, since the caller did not request them.
    pub(crate) hides_usage: bool,
    pub(crate) arrived: Instant,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) logger: Logger,
    pub(crate) active_request: ActiveRequest,
}

/// How a relayed stream ended.
enum RelayEnd {
    Completed,
    CallerDisconnected,
    Aborted,
}

/// Spawns the relay of a stream and returns the response for the caller.
pub(crate) fn relay_stream(open: OpenStream, context: RelayContext) -> HttpResponse {
    let (sender, body) = OutgoingBody::stream(MAX_BUFFERED_PIECES);
    let mut response = Response::new(body);
    copy_headers(&open.headers, response.headers_mut());
    response
        .headers_mut()
        .entry(CONTENT_TYPE)
        .or_insert(HeaderValue::from_static("text/event-stream"));
    response
        .headers_mut()
        .insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    tokio::spawn(async move { run_relay(open, context, sender).await });
    response
}

/// Copies the headers of an endpoint's response, except [`CONNECTION_HEADERS`].
pub(crate) fn copy_headers(from: &[(String, String)], to: &mut HeaderMap) {
    for (name, value) in from {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::try_from(value.as_str());
        if let (Ok(name), Ok(value)) = (name, value)
            && !CONNECTION_HEADERS.contains(&name.as_str())
        {
            to.append(name, value);
        }
    }
}

/// Creates a response with a complete body.
pub(crate) fn buffered_response(
    status: u16,
    headers: &[(String, String)],
    body: Vec<u8>,
) -> HttpResponse {
    let mut response = Response::new(OutgoingBody::full(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    copy_headers(headers, response.headers_mut());
    response
}

async fn run_relay(mut open: OpenStream, mut context: RelayContext, sender: Sender<Option<Bytes>>) {
    let mut usage_filter = UsageFilter::new(context.hides_usage);
    let end = forward_events(&mut open, &mut usage_filter, &context, &sender).await;
    let used = usage_filter.usage_tokens();
    if let Some(reservation) = &mut context.reservation {
        let spent = reservation.settle(used);
        context.metrics.add_tokens(&context.customer, spent);
    }
    let elapsed = context.arrived.elapsed();
    context.metrics.record_duration(&context.customer, elapsed);
    match end {
        RelayEnd::Completed => {
            let _ = sender.send(None).await;
            // The request counts as running until the server has taken its last chunk, so that a
            // drain does not stop the server before.
            let _ = timeout(CALLER_TIMEOUT, sender.closed()).await;
        }
        RelayEnd::CallerDisconnected => {
            info!(context.logger, "entry: caller disconnected from its stream";
                "request" => %context.request_id);
        }
        // Dropping the sender without an end marker aborts the caller's stream.
        RelayEnd::Aborted => {
            warn!(context.logger, "entry: agent stream failed, response aborted";
                "request" => %context.request_id);
        }
    }
    // Cancels the engine's work before the request stops counting as active.
    drop(open);
    drop(context.active_request);
}

/// Forwards events from the agent to the caller until either side ends the stream.
async fn forward_events(
    open: &mut OpenStream,
    usage_filter: &mut UsageFilter,
    context: &RelayContext,
    sender: &Sender<Option<Bytes>>,
) -> RelayEnd {
    let mut last_data: Option<Instant> = None;
    let mut pending = std::mem::take(&mut open.first_data);
    loop {
        if !pending.is_empty() {
            match last_data {
                Some(at) => context.metrics.record_token_gap(at.elapsed()),
                None => context
                    .metrics
                    .record_first_token(&context.customer, context.arrived.elapsed()),
            }
            last_data = Some(Instant::now());
            let events = usage_filter.push(&pending);
            if !events.is_empty() && !send(sender, events).await {
                return RelayEnd::CallerDisconnected;
            }
            open.reader.reset_silence_timer();
        }
        let next = tokio::select! {
            next = timeout(KEEP_ALIVE_INTERVAL, open.reader.next()) => next,
            () = sender.closed() => return RelayEnd::CallerDisconnected,
        };
        pending = match next {
            Ok(Ok(StreamEvent::Data(bytes))) => bytes,
            Ok(Ok(StreamEvent::End(load))) => {
                open.permit.record_load(load);
                let rest = usage_filter.finish();
                if !rest.is_empty() && !send(sender, rest).await {
                    return RelayEnd::CallerDisconnected;
                }
                return RelayEnd::Completed;
            }
            Ok(Ok(StreamEvent::Head { .. }) | Err(_)) => {
                open.permit.start_cooldown(BROKEN_STREAM_COOLDOWN_MS);
                return RelayEnd::Aborted;
            }
            Err(_) => {
                if !send(sender, Bytes::from_static(KEEP_ALIVE_COMMENT)).await {
                    return RelayEnd::CallerDisconnected;
                }
                Vec::new()
            }
        };
    }
}

/// Sends bytes to the caller; returns `false` if the caller has disconnected.
async fn send(sender: &Sender<Option<Bytes>>, bytes: Bytes) -> bool {
    matches!(
        timeout(CALLER_TIMEOUT, sender.send(Some(bytes))).await,
        Ok(Ok(()))
    )
}
