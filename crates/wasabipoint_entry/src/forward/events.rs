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
    /// The event after which another endpoint continues the stream, until its first event arrives.
    resumes_after: Option<u64>,
}

/// Another endpoint resumed a stream with something else than its next event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotResumed;

impl EventSplitter {
    /// Adds bytes and returns all events that are now complete.
    ///
    /// # Errors
    ///
    /// Fails if the stream was resumed and its first event does not continue it.
    pub fn push(&mut self, chunk: Bytes) -> Result<Bytes, NotResumed> {
        let complete_events = self.split_complete(chunk);
        if complete_events.is_empty() {
            return Ok(complete_events);
        }
        if let Some(last_id) = self.resumes_after {
            // The ids of a stream increase.
            if first_event_id(&complete_events).is_none_or(|id| id <= last_id) {
                return Err(NotResumed);
            }
            self.resumes_after = None;
        }
        self.last_id = last_event_id(&complete_events).or(self.last_id);
        Ok(complete_events)
    }

    fn split_complete(&mut self, chunk: Bytes) -> Bytes {
        if self.buffered.is_empty() && last_event_end(&chunk) == Some(chunk.len()) {
            return chunk;
        }
        self.buffered.extend_from_slice(&chunk);
        let end = last_event_end(&self.buffered).unwrap_or(0);
        self.buffered.split_to(end).freeze()
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

    /// Discards the incomplete event of an interrupted stream, and expects its next event from
    /// another endpoint if the caller has received one.
    pub fn resume_after(&mut self, last_id: Option<u64>) {
        self.buffered.clear();
        self.resumes_after = last_id;
    }
}

/// Returns the id of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<u64> {
    events.rsplit(|byte| *byte == b'\n').find_map(parse_id_line)
}

/// Returns the id of the first event, if it has one.
fn first_event_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut first_event = lines.take_while(|line| !line.trim_ascii().is_empty());
    first_event.find_map(parse_id_line)
}

fn parse_id_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
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
