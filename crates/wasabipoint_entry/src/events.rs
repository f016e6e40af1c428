//! Splits a stream into server-sent events, so that keep-alive comments are inserted only between
//! events.

use bytes::{Bytes, BytesMut};
use serde_json::Value;

use crate::completion::read_usage;

/// Buffers bytes into complete events, extracts the token usage and can hide usage events.
pub(crate) struct UsageFilter {
    buffer: BytesMut,
    hides_usage: bool,
    usage_tokens: Option<u64>,
}

impl UsageFilter {
    /// Creates a filter; `hides_usage` drops usage events, which the caller did not request.
    pub(crate) fn new(hides_usage: bool) -> Self {
        Self {
            buffer: BytesMut::new(),
            hides_usage,
            usage_tokens: None,
        }
    }

    pub(crate) fn usage_tokens(&self) -> Option<u64> {
        self.usage_tokens
    }

    /// Appends bytes and returns the events that are now complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(length) = find_event_end(&self.buffer) {
            let event = self.buffer.split_to(length);
            if !self.is_hidden(&event) {
                events.extend_from_slice(&event);
            }
        }
        events.freeze()
    }

    /// Returns the remaining bytes after the last complete event.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    fn is_hidden(&mut self, event: &[u8]) -> bool {
        let text = String::from_utf8_lossy(event);
        // Skips parsing for most events, which carry no usage.
        if !text.contains("\"usage\"") {
            return false;
        }
        let Some(data) = text.trim().strip_prefix("data:") else {
            return false;
        };
        let Ok(value) = serde_json::from_str::<Value>(data.trim()) else {
            return false;
        };
        let Some(tokens) = read_usage(&value) else {
            return false;
        };
        self.usage_tokens = Some(tokens);
        let has_choices = value
            .get("choices")
            .and_then(Value::as_array)
            .is_some_and(|choices| !choices.is_empty());
        self.hides_usage && !has_choices
    }
}

fn find_event_end(buffer: &[u8]) -> Option<usize> {
    let lf_end = buffer.windows(2).position(|pair| pair == b"\n\n");
    let crlf_end = buffer.windows(4).position(|window| window == b"\r\n\r\n");
    match (lf_end, crlf_end) {
        (Some(short), Some(long)) if long < short => Some(long + 4),
        (Some(short), _) => Some(short + 2),
        (None, Some(long)) => Some(long + 4),
        (None, None) => None,
    }
}
