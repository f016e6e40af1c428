//! Bounded prefix cache and the events of its changes.

use std::collections::VecDeque;

use serde_json::{Value, json};
use tokio::time::Instant;

/// Size of one prompt block in bytes.
const BLOCK_BYTES: usize = 256;

/// Maximum number of events retained for readers. A reader that is further behind sees a gap.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// Returns the input of `prefix_hashes` for a completion request.
pub fn completion_text(model: &str, prompt: &str) -> Vec<u8> {
    [model.as_bytes(), &[0], prompt.as_bytes()].concat()
}

/// Returns the input of `prefix_hashes` for a chat request, given the role and content of each
/// message.
pub fn chat_text(model: &str, messages: &[(String, String)]) -> Vec<u8> {
    let mut text = [model.as_bytes(), &[0]].concat();
    for part in messages.iter().flat_map(|(role, content)| [role, content]) {
        text.extend_from_slice(part.as_bytes());
        text.push(0);
    }
    text
}

/// Returns the hash of each complete block of a text. Each hash includes the previous one, so that
/// it identifies the whole prefix up to the end of its block.
pub fn prefix_hashes(text: &[u8]) -> Vec<u64> {
    let mut previous = 0;
    text.chunks_exact(BLOCK_BYTES)
        .map(|block| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&u64::to_le_bytes(previous)).update(block);
            let digest = hasher.finalize();
            let prefix = digest
                .as_bytes()
                .first_chunk()
                .expect("a digest has 32 bytes");
            previous = u64::from_le_bytes(*prefix);
            previous
        })
        .collect()
}

/// Event of a block that was stored or evicted.
#[derive(Debug, Clone, Copy)]
struct Event {
    sequence: u64,
    is_stored: bool,
    hash: u64,
    recorded_at: Instant,
}

/// Prefix cache with eviction of the least recently used block.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    /// Block hashes, the least recently used first.
    blocks: VecDeque<u64>,
    events: VecDeque<Event>,
    /// Sequence number of the last event, including lost ones.
    last_sequence: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            ..Self::default()
        }
    }

    /// Marks the blocks of a prompt as used, stores the missing ones and returns how many leading
    /// blocks were already cached.
    pub(crate) fn use_blocks(&mut self, hashes: &[u64], lost_events: &mut u32) -> usize {
        let hits = hashes
            .iter()
            .take_while(|hash| self.blocks.contains(hash))
            .count();
        for hash in hashes {
            match self.blocks.iter().position(|block| block == hash) {
                Some(position) => {
                    self.blocks.remove(position);
                }
                None => self.record(true, *hash, lost_events),
            }
            self.blocks.push_back(*hash);
            if self.blocks.len() > self.capacity_blocks
                && let Some(evicted) = self.blocks.pop_front()
            {
                self.record(false, evicted, lost_events);
            }
        }
        hits
    }

    fn record(&mut self, is_stored: bool, hash: u64, lost_events: &mut u32) {
        self.last_sequence += 1;
        if crate::faults::take_fault(lost_events) {
            return;
        }
        if self.events.len() == MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            sequence: self.last_sequence,
            is_stored,
            hash,
            recorded_at: Instant::now(),
        });
    }

    /// Returns the events after a sequence number that are at least `delay_ms` old. A lost event
    /// among them is reported as a gap.
    pub(crate) fn events_after(&self, after: u64, delay_ms: u64) -> Value {
        let visible: Vec<_> = self
            .events
            .iter()
            .filter(|event| event.sequence > after)
            .take_while(|event| event.recorded_at.elapsed().as_millis() as u64 >= delay_ms)
            .collect();
        let last = visible.last().map_or(after, |event| event.sequence);
        let expected = last.saturating_sub(after) as usize;
        let events: Vec<_> = visible
            .iter()
            .map(|event| {
                let kind = if event.is_stored { "stored" } else { "removed" };
                json!({"sequence": event.sequence, kind: event.hash})
            })
            .collect();
        json!({
            "events": events, "last": last,
            "has_gap": events.len() < expected || after > self.last_sequence,
        })
    }
}
