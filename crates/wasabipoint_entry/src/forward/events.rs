//! Whole events of an event stream.

use bytes::{Bytes, BytesMut};

/// Largest event that is held back until it is complete.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Cuts a stream into whole events, so that a stream that breaks off can be continued after the
/// last whole one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes and returns all whole events that are complete now.
    pub fn push(&mut self, piece: Bytes) -> Bytes {
        if self.held.is_empty()
            && let Some(end) = last_event_end(&piece)
            && end == piece.len()
        {
            self.note_ids(&piece);
            return piece;
        }
        self.held.extend_from_slice(&piece);
        let Some(end) = last_event_end(&self.held) else {
            return Bytes::new();
        };
        let whole = self.held.split_to(end).freeze();
        self.note_ids(&whole);
        whole
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Tells whether an event is held back that is too large to be one.
    pub fn exceeds_event_limit(&self) -> bool {
        self.held.len() > MAX_EVENT_BYTES
    }

    /// Tells whether a part of an event is held back.
    pub fn has_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Drops the part of an event that a broken stream left.
    pub fn discard_partial(&mut self) {
        self.held.clear();
    }

    fn note_ids(&mut self, events: &[u8]) {
        let mut lines = events.rsplit(|byte| *byte == b'\n');
        let id = lines.find_map(|line| {
            let value = line.strip_prefix(b"id:")?;
            std::str::from_utf8(value).ok()?.trim().parse().ok()
        });
        self.last_id = id.or(self.last_id);
    }
}

/// Returns the position after the last empty line that ends an event.
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
