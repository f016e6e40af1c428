//! Splits a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Passes on complete events only, so that an interrupted stream can be resumed after the last
/// complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffered: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are now complete.
    pub fn push(&mut self, chunk: Bytes) -> Bytes {
        if self.buffered.is_empty()
            && let Some(end) = last_event_end(&chunk)
            && end == chunk.len()
        {
            self.update_last_id(&chunk);
            return chunk;
        }
        self.buffered.extend_from_slice(&chunk);
        let Some(end) = last_event_end(&self.buffered) else {
            return Bytes::new();
        };
        let complete_events = self.buffered.split_to(end).freeze();
        self.update_last_id(&complete_events);
        complete_events
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffered event exceeds the size limit.
    pub fn exceeds_event_limit(&self) -> bool {
        self.buffered.len() > MAX_EVENT_BYTES
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Discards the incomplete event of an interrupted stream.
    pub fn discard_partial(&mut self) {
        self.buffered.clear();
    }

    fn update_last_id(&mut self, events: &[u8]) {
        let mut lines = events.rsplit(|byte| *byte == b'\n');
        let id = lines.find_map(|line| {
            let value = line.strip_prefix(b"id:")?;
            std::str::from_utf8(value).ok()?.trim().parse().ok()
        });
        self.last_id = id.or(self.last_id);
    }
}

/// Returns the position after the last blank line that ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while end >= 2 {
        if bytes[end - 1] == b'\n'
            && (bytes[end - 2] == b'\n' || bytes[..end].ends_with(b"\r\n\r\n"))
        {
            return Some(end);
        }
        end -= 1;
    }
    None
}
