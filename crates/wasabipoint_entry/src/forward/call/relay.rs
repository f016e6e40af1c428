//! Relays event streams from endpoints to callers and resumes interrupted ones.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
use slog::warn;
use tokio::sync::mpsc;
use wasabipoint_kernel::RunPolicy;
use wasabipoint_rpc::EndpointView;

use super::work::StreamTiming;
use super::{ActiveExchange, Call};
use crate::forward::events::{EventSplitter, NotResumed};
use crate::forward::exchange::{ResponseFailure, StartedResponse};
use crate::forward::origins::BeginningStream;
use crate::forward::response::{ForwardBody, strip_hop_by_hop_headers};

/// Maximum number of chunks buffered per stream. A full buffer applies backpressure to the endpoint.
const STREAM_BUFFER_CHUNKS: usize = 16;

impl Call {
    /// Spawns a task that relays the stream, and returns the response that it feeds.
    pub(super) fn relay(self, active: ActiveExchange) -> Response<ForwardBody> {
        let mut head = active.started.head.clone();
        strip_hop_by_hop_headers(&mut head.headers);
        head.headers.remove(http::header::CONTENT_LENGTH);
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        tokio::spawn(self.relay_events(active, sender));
        Response::from_parts(head, ForwardBody::Stream(receiver))
    }

    async fn relay_events(
        mut self,
        mut active: ActiveExchange,
        sender: mpsc::Sender<Option<Bytes>>,
    ) {
        let content_type = active.started.head.headers.get(CONTENT_TYPE).cloned();
        let mut events = EventSplitter::default();
        let mut has_relayed_events = false;
        let mut timing = StreamTiming::default();
        loop {
            let has_events = self.attempts.events > 0;
            let failure = tokio::select! {
                biased;
                () = sender.closed() => {
                    self.log_caller_disconnected(&active.in_flight.endpoint);
                    return;
                }
                relayed = relay_chunk(&mut active.started, &mut events, has_events, &sender) => match relayed {
                    Ok(RelayedChunk::PartialEvent) => continue,
                    Ok(RelayedChunk::CompleteEvents(complete_events)) => {
                        if !self.bind_to_version(&active.in_flight.endpoint, &sender).await {
                            return;
                        }
                        // A closed channel means that the caller disconnected, which the next turn
                        // detects.
                        let _ = sender.send(Some(complete_events)).await;
                        has_relayed_events = true;
                        self.record_events();
                        // A full buffer means that the caller is slow, not the endpoint.
                        let is_waiting = sender.capacity() > 0;
                        self.record_stream_event(&mut active.in_flight, &mut timing, is_waiting);
                        continue;
                    }
                    Ok(RelayedChunk::EndOfStream) => {
                        if active.started.has_framed_body() {
                            self.record_answered();
                        }
                        active.started.release_connection(&self.forwarder.pool);
                        let is_slow = self.record_stream_speed(&active.in_flight, &mut timing);
                        self.log_stream_end(&active.in_flight, &timing, is_slow);
                        return;
                    }
                    Err(failure) => failure,
                },
                () = tokio::time::sleep_until(self.deadline) => {
                    warn!(self.forwarder.logger, "routing: stream exceeded its deadline";
                        "request" => &self.metadata.request_id,
                        "endpoint" => %active.in_flight.endpoint.id);
                    return;
                }
            };
            let endpoint = active.in_flight.endpoint.clone();
            timing.begin_attempt();
            drop(active);
            self.avoid(&endpoint);
            self.record_failure(&endpoint, &failure);
            let last_event_id = events.last_id().or(self.metadata.last_event_id);
            // Without an id, another endpoint would begin again with the first event.
            let is_resumable = self.route.run_policy == RunPolicy::ResumableStream
                && (last_event_id.is_some() || !has_relayed_events);
            if !is_resumable || !self.allow_retry(&endpoint, failure.detail()) {
                self.log_stream_aborted(&endpoint, failure.detail());
                return;
            }
            events.resume_after(last_event_id);
            self.metadata.last_event_id = last_event_id;
            let resumed = tokio::select! {
                biased;
                () = sender.closed() => return,
                resumed = self.dispatch() => resumed,
            };
            match resumed {
                Ok(next) => {
                    let head = &next.started.head;
                    let is_same_type = head.headers.get(CONTENT_TYPE) == content_type.as_ref();
                    if head.status != StatusCode::OK || !is_same_type {
                        let detail = format!(
                            "status {} and content type {:?} when resuming the stream",
                            head.status.as_u16(),
                            head.headers.get(CONTENT_TYPE)
                        );
                        self.log_stream_aborted(&next.in_flight.endpoint, &detail);
                        return;
                    }
                    self.log_stream_resumed(&endpoint, &next.in_flight.endpoint);
                    active = next;
                }
                Err(refusal) => {
                    self.log_stream_aborted(&endpoint, &refusal.detail);
                    return;
                }
            }
        }
    }
}

impl Call {
    /// Binds the stream to the software version of the endpoint that wrote its first event, before the
    /// caller gets the event. Returns whether the caller may get it.
    async fn bind_to_version(
        &mut self,
        endpoint: &EndpointView,
        sender: &mpsc::Sender<Option<Bytes>>,
    ) -> bool {
        if self.software_version.is_some() {
            return true;
        }
        self.software_version = Some(endpoint.software_version.clone());
        let stream = BeginningStream {
            route: &self.route,
            customer: self.customer.as_ref(),
            request_id: &self.metadata.request_id,
            endpoint,
            remaining_ms: self.metadata.deadline_ms.map(|_| self.remaining_ms()),
            deadline: self.wait_deadline(),
        };
        let is_recorded = tokio::select! {
            biased;
            () = sender.closed() => {
                self.log_caller_disconnected(endpoint);
                return false;
            }
            is_recorded = self.forwarder.record_stream(stream) => is_recorded,
        };
        if !is_recorded {
            self.log_stream_aborted(endpoint, "the software version is not recorded in time");
        }
        is_recorded
    }
}

/// Result of relaying one chunk of a stream.
enum RelayedChunk {
    /// The chunk completed no event.
    PartialEvent,
    /// The chunk completed these events.
    CompleteEvents(Bytes),
    /// The stream is complete.
    EndOfStream,
}

/// Reads the next chunk and returns the events that it completes. `has_events` tells whether the
/// endpoint has already sent some.
async fn relay_chunk(
    started: &mut StartedResponse,
    events: &mut EventSplitter,
    has_events: bool,
    sender: &mpsc::Sender<Option<Bytes>>,
) -> Result<RelayedChunk, ResponseFailure> {
    let Some(chunk) = started.next_chunk().await? else {
        if events.has_partial() {
            let detail = "the stream ended inside an event";
            return Err(ResponseFailure::ConnectionLost(detail.to_owned()));
        }
        // Without chunks and a length, the crash of an engine looks like the end of its stream.
        if !has_events && !started.has_framed_body() {
            let detail = "the stream ended before its first event";
            return Err(ResponseFailure::ConnectionLost(detail.to_owned()));
        }
        // A closed channel means that the caller disconnected, which `relay_events` detects.
        let _ = sender.send(None).await;
        return Ok(RelayedChunk::EndOfStream);
    };
    let complete_events = events.push(chunk).map_err(|NotResumed| {
        let detail = "the resumed stream does not continue with its next event";
        ResponseFailure::Invalid(detail.to_owned())
    })?;
    if events.exceeds_event_limit() {
        return Err(ResponseFailure::Invalid("an event is too large".to_owned()));
    }
    if complete_events.is_empty() {
        return Ok(RelayedChunk::PartialEvent);
    }
    Ok(RelayedChunk::CompleteEvents(complete_events))
}
