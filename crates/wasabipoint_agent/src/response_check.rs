//! Checks that an engine's response belongs to the request and is complete.

use serde_json::Value;

/// Maximum size of an event in a stream.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Reason why a response is not forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckError {
    /// The response belongs to another request.
    IdMismatch,
    /// The response is not in the engine's format.
    Malformed,
    /// The response ended before it was complete.
    Truncated,
}

impl CheckError {
    /// Returns the error text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::IdMismatch => "the response belongs to another request",
            Self::Malformed => "the response is malformed",
            Self::Truncated => "the response ended early",
        }
    }
}

/// Checks a stream of server-sent events. Bytes are released in complete events, after the id of
/// each event has been compared.
#[derive(Debug)]
pub struct EventStreamCheck {
    request_id: String,
    buffer: Vec<u8>,
    is_done: bool,
}

impl EventStreamCheck {
    /// Creates a check for the response to a request.
    pub fn new(request_id: String) -> Self {
        Self {
            request_id,
            buffer: Vec::new(),
            is_done: false,
        }
    }

    /// Adds received bytes and returns the bytes of the events that are now complete.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<u8>, CheckError> {
        // The delimiter may be split between two chunks.
        let mut search_start = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(chunk);
        let mut released_end = 0;
        while let Some(offset) = find_subsequence(&self.buffer[search_start..], b"\n\n") {
            let end = search_start + offset + 2;
            check_event(
                &self.request_id,
                &self.buffer[released_end..end],
                &mut self.is_done,
            )?;
            released_end = end;
            search_start = end;
        }
        if self.buffer.len() - released_end > MAX_EVENT_BYTES {
            return Err(CheckError::Malformed);
        }
        let rest = self.buffer.split_off(released_end);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Checks that the stream ended with the final event.
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
        check_response_id(request_id, data.as_bytes())?;
    }
    Ok(())
}

/// Checks the id of a JSON response or chunk.
pub fn check_response_id(request_id: &str, body: &[u8]) -> Result<(), CheckError> {
    let value: Value = serde_json::from_slice(body).map_err(|_| CheckError::Malformed)?;
    match value["id"].as_str() {
        Some(id) if id == request_id => Ok(()),
        Some(_) => Err(CheckError::IdMismatch),
        None => Err(CheckError::Malformed),
    }
}

fn find_subsequence(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}
