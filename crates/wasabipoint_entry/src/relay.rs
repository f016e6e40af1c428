//! Passes a streamed answer on to its caller.

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
use crate::events::EventSplitter;
use crate::frames::StreamEvent;
use crate::metrics::EntryMetrics;
use crate::quota::Reservation;
use crate::run::OpenStream;

/// Silence after which a comment is sent, to notice a caller that left.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Comment that clients ignore.
const KEEP_ALIVE_COMMENT: &[u8] = b": keep-alive\n\n";

/// Pieces that may wait for a slow caller.
const WAITING_PIECES: usize = 16;

/// Time after which a caller that takes no data counts as gone, so that it holds no slot forever.
const CALLER_TIMEOUT: Duration = Duration::from_mins(1);

/// Time for which an endpoint is passed over after its stream broke off.
const BROKEN_MS: u64 = 1_000;

/// Headers that belong to a connection and are not passed on.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// What the relay needs beside the stream itself.
pub(crate) struct RelayContext {
    pub(crate) request_id: RequestId,
    pub(crate) customer: CustomerId,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) hides_usage: bool,
    pub(crate) arrived: Instant,
    pub(crate) measures: Arc<EntryMetrics>,
    pub(crate) logger: Logger,
    pub(crate) active: ActiveRequest,
}

enum End {
    Complete,
    CallerLeft,
    Broken,
}

/// Starts passing on a stream and returns the response to the caller.
pub(crate) fn relay_stream(open: OpenStream, context: RelayContext) -> HttpResponse {
    let (sender, body) = OutgoingBody::stream(WAITING_PIECES);
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

/// Copies an endpoint's headers, except those of its connection.
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

/// Creates the response for a whole answer.
pub(crate) fn whole_response(
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
    let mut splitter = EventSplitter::new(context.hides_usage);
    let end = pass_on(&mut open, &mut splitter, &context, &sender).await;
    let used = splitter.usage_tokens();
    if let Some(reservation) = &mut context.reservation {
        let spent = reservation.settle(used);
        context.measures.add_tokens(&context.customer, spent);
    }
    let elapsed = context.arrived.elapsed();
    context.measures.record_duration(&context.customer, elapsed);
    match end {
        End::Complete => {
            let _ = sender.send(None).await;
            // The request counts as running until its last piece was taken, so that a drain does
            // not stop the server before.
            let _ = timeout(CALLER_TIMEOUT, sender.closed()).await;
        }
        End::CallerLeft => {
            info!(context.logger, "entry: the caller left its stream";
                "request" => %context.request_id);
        }
        // The sender is dropped without an end, which aborts the caller's stream.
        End::Broken => {
            warn!(context.logger, "entry: aborted a stream that broke off";
                "request" => %context.request_id);
        }
    }
    // The engine's work is cancelled before the request counts as ended.
    drop(open);
    drop(context.active);
}

async fn pass_on(
    open: &mut OpenStream,
    splitter: &mut EventSplitter,
    context: &RelayContext,
    sender: &Sender<Option<Bytes>>,
) -> End {
    let mut last_data: Option<Instant> = None;
    let mut pending = std::mem::take(&mut open.first);
    loop {
        if !pending.is_empty() {
            match last_data {
                Some(at) => context.measures.record_token_gap(at.elapsed()),
                None => context
                    .measures
                    .record_first_token(&context.customer, context.arrived.elapsed()),
            }
            last_data = Some(Instant::now());
            let events = splitter.push(&pending);
            if !events.is_empty() && !send(sender, events).await {
                return End::CallerLeft;
            }
            open.reader.touch();
        }
        let next = tokio::select! {
            next = timeout(KEEP_ALIVE, open.reader.next()) => next,
            () = sender.closed() => return End::CallerLeft,
        };
        pending = match next {
            Ok(Ok(StreamEvent::Data(bytes))) => bytes,
            Ok(Ok(StreamEvent::End(load))) => {
                open.permit.record_load(load);
                let rest = splitter.finish();
                if !rest.is_empty() && !send(sender, rest).await {
                    return End::CallerLeft;
                }
                return End::Complete;
            }
            Ok(Ok(StreamEvent::Head { .. }) | Err(_)) => {
                open.permit.start_cooldown(BROKEN_MS);
                return End::Broken;
            }
            Err(_) => {
                if !send(sender, Bytes::from_static(KEEP_ALIVE_COMMENT)).await {
                    return End::CallerLeft;
                }
                Vec::new()
            }
        };
    }
}

async fn send(sender: &Sender<Option<Bytes>>, bytes: Bytes) -> bool {
    matches!(
        timeout(CALLER_TIMEOUT, sender.send(Some(bytes))).await,
        Ok(Ok(()))
    )
}
