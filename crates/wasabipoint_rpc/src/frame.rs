//! Dispatch messages and the frames of response streams.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wasabipoint_kernel::{
    AdapterName, ErrorKind, Incarnation, ModelName, RequestId, RunState, plain_data,
};

/// Maximum size of an encoded frame. Body data is sent in chunks of at most 64 KiB.
const MAX_FRAME_BYTES: usize = 1_024 * 1_024;

plain_data! {
    data
    /// A request from an entry process to an agent, the body of `POST /v1/dispatch`.
    pub struct DispatchRequest {
        /// Id of the request.
        pub request_id: RequestId,
        /// Incarnation of the agent to which the request is bound; any other refuses it.
        pub incarnation: Incarnation,
        /// Model that executes the request; `None` for a plain service.
        pub model: Option<ModelName>,
        /// Adapter of the model, if the request uses one.
        pub adapter: Option<AdapterName>,
        /// Time left until the deadline.
        pub remaining_ms: u64,
        /// Whether the call may be retried. The agent stores the response of a call that may not.
        pub is_idempotent: bool,
        /// Priority for the engine.
        pub priority: u8,
        /// HTTP method.
        pub method: String,
        /// Path and query at the endpoint.
        pub path: String,
        /// Headers for the endpoint. They never contain a caller's key.
        pub headers: Vec<(String, String)>,
        /// Body for the endpoint.
        pub body: Vec<u8>,
        /// Sequence number of the last cache event that the entry process received from this
        /// incarnation.
        pub known_cache_sequence: u64,
    }
}

plain_data! {
    copy
    /// A change to an engine's prefix cache, identified by the hash of the prefix block chain.
    pub enum CacheEvent {
        /// The engine cached the block.
        Stored(u64),
        /// The engine evicted the block.
        Removed(u64),
    }
}

plain_data! {
    data
    /// Load of an endpoint, as last observed by its agent.
    #[derive(Default)]
    pub struct LoadReport {
        /// Requests that the endpoint is executing.
        pub running: u32,
        /// Requests that are queued at the endpoint.
        pub queued: u32,
        /// Adapters loaded in the engine.
        pub adapters: Vec<AdapterName>,
        /// Cache events after `known_cache_sequence` of the request, up to the limit of a report.
        pub cache_events: Vec<CacheEvent>,
        /// Sequence number of the last cache event that the entry process knows after this report.
        pub cache_sequence: u64,
        /// Whether events are missing before those listed.
        pub has_cache_gap: bool,
    }
}

plain_data! {
    data
    /// Content of a frame, without the request and position that [`StreamFrame`] adds.
    pub enum FramePayload {
        /// Status and headers of the response. The first frame, unless the request failed.
        Head {
            /// HTTP status of the endpoint.
            status: u16,
            /// Headers for the caller.
            headers: Vec<(String, String)>,
        },
        /// A chunk of the body.
        Data(Vec<u8>),
        /// Keeps the connection alive while there is no data to send.
        Heartbeat,
        /// The response is complete.
        End {
            /// Size of the complete body in bytes.
            byte_count: u64,
            /// Load after the request.
            load: LoadReport,
        },
        /// The request was refused or failed. The last frame.
        Failed {
            /// The kind of error.
            kind: ErrorKind,
            /// Whether the request was executed.
            run_state: RunState,
            /// What went wrong.
            detail: String,
        },
    }
}

plain_data! {
    data
    /// One frame of a response stream.
    pub struct StreamFrame {
        /// Id of the request that the frame belongs to.
        pub request_id: RequestId,
        /// Position in the stream, from 0 without gaps.
        pub sequence: u64,
        /// The content.
        pub payload: FramePayload,
    }
}

plain_data! {
    data
    /// A query for the outcome of a request, the body of `POST /v1/outcome`.
    pub struct OutcomeRequest {
        /// Id of the request.
        pub request_id: RequestId,
        /// Incarnation of the agent to which the request was bound.
        pub incarnation: Incarnation,
    }
}

plain_data! {
    data
    /// The stored response of a finished call.
    pub struct StoredResponse {
        /// HTTP status.
        pub status: u16,
        /// Headers for the caller.
        pub headers: Vec<(String, String)>,
        /// The complete body.
        pub body: Vec<u8>,
    }
}

plain_data! {
    data
    /// The outcome of a request, the response to `POST /v1/outcome`.
    pub enum Outcome {
        /// The request did not start and will be refused if it still arrives.
        NotStarted,
        /// The request is being executed.
        Running,
        /// The request finished with this response.
        Finished(StoredResponse),
        /// The outcome cannot be determined.
        Unknown,
    }
}

/// Why bytes cannot be decoded as a frame or message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The length prefix exceeds the maximum frame size.
    TooLong,
    /// The payload cannot be decoded.
    Malformed,
}

/// Encodes a frame with a length prefix.
pub fn encode_frame(frame: &StreamFrame) -> Bytes {
    let payload = encode_message(frame);
    let mut buffer = BytesMut::with_capacity(payload.len() + 4);
    buffer.put_u32(payload.len() as u32);
    buffer.put_slice(&payload);
    buffer.freeze()
}

/// Encodes a message without a length prefix.
pub fn encode_message<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages contain only types that postcard supports")
}

/// Decodes a message that fills the whole buffer.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(FrameError::Malformed),
    }
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Creates a decoder with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    pub fn next_frame(&mut self) -> Result<Option<StreamFrame>, FrameError> {
        let Some(length_prefix) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length_prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        self.buffer.advance(4);
        let payload = self.buffer.split_to(length);
        decode_message(&payload).map(Some)
    }
}
