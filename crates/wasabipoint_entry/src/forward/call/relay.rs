//! Streams from endpoints to callers.

use bytes::Bytes;
use http::{Response, StatusCode};
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wasabipoint_kernel::RunPolicy;

use super::records::StreamPace;
use super::{Call, Running};
use crate::forward::answer::{ResponseBody, strip_connection_headers};
use crate::forward::events::EventSplitter;
use crate::forward::exchange::Started;

/// Pieces on their way to a caller. A caller that reads slowly slows its endpoint.
const STREAM_PIECES: usize = 16;

impl Call {
    /// Relays a stream in a task of its own.
    pub(super) fn relay(self, running: Running) -> Response<ResponseBody> {
        let mut head = running.started.head.clone();
        strip_connection_headers(&mut head.headers);
        head.headers.remove(http::header::CONTENT_LENGTH);
        let (sender, receiver) = mpsc::channel(STREAM_PIECES);
        tokio::spawn(self.relay_events(running, sender));
        Response::from_parts(head, ResponseBody::Stream(receiver))
    }

    async fn relay_events(mut self, mut running: Running, sender: mpsc::Sender<Option<Bytes>>) {
        let mut events = EventSplitter::default();
        let mut pace = StreamPace::default();
        loop {
            let detail = tokio::select! {
                biased;
                () = sender.closed() => {
                    self.log_left(&running.place.endpoint);
                    return;
                }
                relayed = relay_one(&mut running.started, &mut events, &sender) => match relayed {
                    Ok(Relayed::Part) => continue,
                    Ok(Relayed::Events) => {
                        pace.note_event(Instant::now());
                        continue;
                    }
                    Ok(Relayed::End) => {
                        running.started.finish(&self.forwarder.pool);
                        self.log_stream_end(&running.place, &pace);
                        return;
                    }
                    Err(detail) => detail,
                },
                () = tokio::time::sleep_until(self.deadline) => {
                    warn!(self.forwarder.logger, "routing: stream ended at its timeout";
                        "request" => &self.facts.request_id,
                        "endpoint" => %running.place.endpoint.endpoint);
                    return;
                }
            };
            let endpoint = running.place.endpoint.clone();
            drop(running);
            self.avoid(&endpoint);
            let is_resumable = self.route.run_policy == RunPolicy::ResumableStream;
            if !is_resumable || !self.may_run_again(&endpoint, &detail) {
                self.log_broken(&endpoint, &detail);
                return;
            }
            events.discard_partial();
            self.facts.last_event_id = events.last_id().or(self.facts.last_event_id);
            let resumed = tokio::select! {
                biased;
                () = sender.closed() => return,
                resumed = self.begin() => resumed,
            };
            match resumed {
                Ok(next) if next.started.head.status == StatusCode::OK => running = next,
                Ok(next) => {
                    let detail = format!("status {} at the resumption", next.started.head.status);
                    self.log_broken(&endpoint, &detail);
                    return;
                }
                Err(refusal) => {
                    self.log_broken(&endpoint, &refusal.detail);
                    return;
                }
            }
        }
    }
}

/// What a piece of a stream brought.
enum Relayed {
    /// Part of an event.
    Part,
    /// One or more whole events.
    Events,
    /// The end of a complete stream.
    End,
}

/// Relays the next piece.
async fn relay_one(
    started: &mut Started,
    events: &mut EventSplitter,
    sender: &mpsc::Sender<Option<Bytes>>,
) -> Result<Relayed, String> {
    let Some(piece) = started.next_piece().await? else {
        if events.has_partial() {
            return Err("the stream ended inside an event".to_owned());
        }
        // A closed channel means that the caller left, which the next look notices.
        let _ = sender.send(None).await;
        return Ok(Relayed::End);
    };
    let whole = events.push(piece);
    if events.exceeds_event_limit() {
        return Err("an event is too large".to_owned());
    }
    if whole.is_empty() {
        return Ok(Relayed::Part);
    }
    let _ = sender.send(Some(whole)).await;
    Ok(Relayed::Events)
}
