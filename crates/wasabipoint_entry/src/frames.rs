//! Reads and validates the frame stream of a dispatched request.

use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{ErrorKind, RequestId, RunState};
use wasabipoint_rpc::{FrameDecoder, FramePayload, LoadReport};

use crate::link::{AgentError, ResponseChunks};

/// Validated content of a frame stream.
pub(crate) enum StreamEvent {
    Head {
        status: u16,
        headers: Vec<(String, String)>,
    },
    Data(Vec<u8>),
    End(LoadReport),
}

/// Why a frame stream ended without its response.
#[derive(Debug)]
pub(crate) enum StreamError {
    /// No frame arrived within the silence bound.
    TimedOut,
    /// The stream broke off or contains an invalid frame.
    Broken(&'static str),
    /// The agent reported a refusal or failure.
    Failed {
        kind: ErrorKind,
        run_state: RunState,
        detail: String,
    },
}

/// Reads a frame stream and checks its request id, frame order and byte count.
pub(crate) struct FrameReader {
    chunks: Box<dyn ResponseChunks>,
    decoder: FrameDecoder,
    request_id: RequestId,
    next_sequence: u64,
    body_bytes: u64,
    has_head: bool,
    silence_bound: Duration,
    last_activity: Instant,
}

impl FrameReader {
    pub(crate) fn new(
        chunks: Box<dyn ResponseChunks>,
        request_id: RequestId,
        silence_bound: Duration,
    ) -> Self {
        Self {
            chunks,
            decoder: FrameDecoder::new(),
            request_id,
            next_sequence: 0,
            body_bytes: 0,
            has_head: false,
            silence_bound,
            last_activity: Instant::now(),
        }
    }

    pub(crate) fn request_id(&self) -> RequestId {
        self.request_id
    }

    /// Restarts the silence timer, on each frame and after a slow caller has delayed the reads.
    pub(crate) fn reset_silence_timer(&mut self) {
        self.last_activity = Instant::now();
    }

    /// Returns the next content; heartbeats only restart the silence timer. Cancel-safe.
    pub(crate) async fn next(&mut self) -> Result<StreamEvent, StreamError> {
        loop {
            while let Some(frame) = self
                .decoder
                .next_frame()
                .map_err(|_| StreamError::Broken("invalid frame encoding"))?
            {
                if frame.request_id != self.request_id {
                    return Err(StreamError::Broken("frame of another request"));
                }
                if frame.sequence != self.next_sequence {
                    return Err(StreamError::Broken("frame sequence out of order"));
                }
                self.next_sequence += 1;
                self.reset_silence_timer();
                if let Some(event) = self.validate_payload(frame.payload)? {
                    return Ok(event);
                }
            }
            let limit = self.last_activity + self.silence_bound;
            let chunk = tokio::time::timeout_at(limit, self.chunks.next_chunk())
                .await
                .map_err(|_| StreamError::TimedOut)?;
            match chunk {
                Ok(Some(bytes)) => self.decoder.push(&bytes),
                Ok(None) => {
                    return Err(StreamError::Broken("stream ended without an end frame"));
                }
                Err(AgentError::Refused {
                    kind,
                    run_state,
                    detail,
                }) => {
                    return Err(StreamError::Failed {
                        kind,
                        run_state,
                        detail,
                    });
                }
                Err(_) => return Err(StreamError::Broken("connection interrupted")),
            }
        }
    }

    fn validate_payload(
        &mut self,
        payload: FramePayload,
    ) -> Result<Option<StreamEvent>, StreamError> {
        match payload {
            FramePayload::Head { status, headers } if !self.has_head => {
                self.has_head = true;
                Ok(Some(StreamEvent::Head { status, headers }))
            }
            FramePayload::Data(bytes) if self.has_head => {
                self.body_bytes += bytes.len() as u64;
                Ok(Some(StreamEvent::Data(bytes)))
            }
            FramePayload::End { byte_count, load } if self.has_head => {
                if byte_count == self.body_bytes {
                    Ok(Some(StreamEvent::End(load)))
                } else {
                    Err(StreamError::Broken("byte count mismatch"))
                }
            }
            FramePayload::Heartbeat => Ok(None),
            FramePayload::Failed {
                kind,
                run_state,
                detail,
            } => {
                // A response that has started contradicts `not run`.
                let run_state = if self.has_head {
                    RunState::Unknown
                } else {
                    run_state
                };
                Err(StreamError::Failed {
                    kind,
                    run_state,
                    detail,
                })
            }
            FramePayload::Head { .. } | FramePayload::Data(_) | FramePayload::End { .. } => {
                Err(StreamError::Broken("unexpected frame type"))
            }
        }
    }
}
