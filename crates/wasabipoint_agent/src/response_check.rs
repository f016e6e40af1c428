//! Checks that an engine's response belongs to the request and is whole.

use serde_json::Value;

/// Largest event of a stream.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Why a response is not passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckError {
    /// The response belongs to another request.
    Crossed,
    /// The response is not in the engine's format.
    Malformed,
    /// The response ended before it was complete.
    Truncated,
}

impl CheckError {
    /// Describes the error.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crossed => "the response belongs to another request",
            Self::Malformed => "the response is malformed",
            Self::Truncated => "the response ended early",
        }
    }
}

/// Checks a stream of server-sent events. Bytes are released by whole events, after each event's
/// id was compared.
#[derive(Debug)]
pub struct EventStreamCheck {
    request_id: String,
    buffer: Vec<u8>,
    is_done: bool,
}

impl EventStreamCheck {
    /// Creates a check for the response to one request.
    pub fn new(request_id: String) -> Self {
        Self {
            request_id,
            buffer: Vec::new(),
            is_done: false,
        }
    }

    /// Adds received bytes and returns the bytes of the events that are now whole.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<u8>, CheckError> {
        // The delimiter may straddle two pieces.
        let mut searched = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(piece);
        let mut released = 0;
        while let Some(offset) = find(&self.buffer[searched..], b"\n\n") {
            let end = searched + offset + 2;
            check_event(
                &self.request_id,
                &self.buffer[released..end],
                &mut self.is_done,
            )?;
            released = end;
            searched = end;
        }
        if self.buffer.len() - released > MAX_EVENT_BYTES {
            return Err(CheckError::Malformed);
        }
        let rest = self.buffer.split_off(released);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Checks that the stream ended after its last event.
    pub fn finish(self) -> Result<(), CheckError> {
        if self.is_done && self.buffer.is_empty() {
            Ok(())
        } else {
            Err(CheckError::Truncated)
        }
    }
}

fn check_event(request_id: &str, event: &[u8], is_done: &mut bool) -> Result<(), CheckError> {
    let text = std::str::from_utf8(event).map_err(|_| CheckError::Malformed)?;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            continue;
        };
        if *is_done {
            return Err(CheckError::Malformed);
        }
        if data == "[DONE]" {
            *is_done = true;
            continue;
        }
        check_whole_response(request_id, data.as_bytes())?;
    }
    Ok(())
}

/// Checks the id of a JSON response or chunk.
pub fn check_whole_response(request_id: &str, body: &[u8]) -> Result<(), CheckError> {
    let value: Value = serde_json::from_slice(body).map_err(|_| CheckError::Malformed)?;
    match value["id"].as_str() {
        Some(id) if id == request_id => Ok(()),
        Some(_) => Err(CheckError::Crossed),
        None => Err(CheckError::Malformed),
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}
