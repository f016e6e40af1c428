//! Dispatch messages and the frames of response streams.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wasabipoint_kernel::{
    AdapterName, ErrorKind, Incarnation, ModelName, RequestId, RunState, plain_data,
};

/// Largest encoded frame. Data is sent in pieces of at most 64 KiB.
const MAX_FRAME_BYTES: usize = 1_024 * 1_024;

plain_data! {
    data
    /// A request from entry to agent, the body of `POST /v1/dispatch`.
    pub struct DispatchRequest {
        /// The request.
        pub request_id: RequestId,
        /// Run of the agent that the request is bound to; another run refuses it.
        pub incarnation: Incarnation,
        /// Model, for engines.
        pub model: Option<ModelName>,
        /// Adapter, for engines.
        pub adapter: Option<AdapterName>,
        /// Time left until the deadline.
        pub remaining_ms: u64,
        /// Whether the call may be repeated. The agent stores the response of one that may not.
        pub is_idempotent: bool,
        /// Priority for the engine.
        pub priority: u8,
        /// HTTP method.
        pub method: String,
        /// Path and query at the endpoint.
        pub path: String,
        /// Headers for the endpoint; never a caller's key.
        pub headers: Vec<(String, String)>,
        /// Body for the endpoint.
        pub body: Vec<u8>,
        /// Last cache event that the entry process knows of this agent run.
        pub known_cache_sequence: u64,
    }
}

plain_data! {
    copy
    /// A change of an engine's prefix cache, by hash of the prefix block chain.
    pub enum CacheEvent {
        /// The engine cached the block.
        Stored(u64),
        /// The engine evicted the block.
        Removed(u64),
    }
}

plain_data! {
    data
    /// Load of an endpoint, as its agent last saw it.
    #[derive(Default)]
    pub struct LoadReport {
        /// Requests that run at the endpoint.
        pub running: u32,
        /// Requests that wait at the endpoint.
        pub queued: u32,
        /// Adapters at the engine.
        pub adapters: Vec<AdapterName>,
        /// Cache events after the sequence number that the entry process knew.
        pub cache_events: Vec<CacheEvent>,
        /// Sequence number of the last cache event.
        pub cache_sequence: u64,
        /// Whether events are missing before those listed.
        pub has_cache_gap: bool,
    }
}

plain_data! {
    data
    /// Content of a frame.
    pub enum Frame {
        /// Status and headers of the response; first, unless the request failed.
        Head {
            /// HTTP status of the endpoint.
            status: u16,
            /// Headers for the caller.
            headers: Vec<(String, String)>,
        },
        /// A piece of the body.
        Data(Vec<u8>),
        /// Sign of life while there is nothing to send.
        Heartbeat,
        /// The response is complete.
        End {
            /// Bytes of the whole body.
            byte_count: u64,
            /// Load after the request.
            load: LoadReport,
        },
        /// The request was refused or failed; last.
        Failed {
            /// The kind of error.
            kind: ErrorKind,
            /// Whether the request ran.
            run: RunState,
            /// What was wrong.
            detail: String,
        },
    }
}

plain_data! {
    data
    /// One frame of a response stream.
    pub struct StreamFrame {
        /// The request that the frame belongs to.
        pub request_id: RequestId,
        /// Position in the stream, from 0 without gaps.
        pub sequence: u64,
        /// The content.
        pub frame: Frame,
    }
}

plain_data! {
    data
    /// A question about a request, the body of `POST /v1/outcome`.
    pub struct OutcomeRequest {
        /// The request.
        pub request_id: RequestId,
        /// Run of the agent that the request was bound to.
        pub incarnation: Incarnation,
    }
}

plain_data! {
    data
    /// A stored response of a finished call.
    pub struct StoredResponse {
        /// HTTP status.
        pub status: u16,
        /// Headers for the caller.
        pub headers: Vec<(String, String)>,
        /// The whole body.
        pub body: Vec<u8>,
    }
}

plain_data! {
    data
    /// What became of a request, the answer to `POST /v1/outcome`.
    pub enum Outcome {
        /// It did not start and will be refused from now on.
        NotStarted,
        /// It runs.
        Running,
        /// It finished with this response.
        Finished(StoredResponse),
        /// It cannot be known.
        Unknown,
    }
}

/// Why bytes are not a frame or message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The stated length is over the bound.
    TooLong,
    /// The content does not decode.
    Malformed,
}

/// Encodes a frame with its length in front.
pub fn encode_frame(frame: &StreamFrame) -> Bytes {
    let content = encode_message(frame);
    let mut buffer = BytesMut::with_capacity(content.len() + 4);
    buffer.put_u32(content.len() as u32);
    buffer.put_slice(&content);
    buffer.freeze()
}

/// Encodes a message without a length.
pub fn encode_message<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages hold only types that postcard encodes")
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

    /// Takes the next whole frame; `None` when more bytes are needed.
    pub fn next_frame(&mut self) -> Result<Option<StreamFrame>, FrameError> {
        let Some(prefix) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong);
        }
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        self.buffer.advance(4);
        let content = self.buffer.split_to(length);
        decode_message(&content).map(Some)
    }
}
