//! Cache events of the engine in the agent's own numbering, which outlives engine restarts.

use std::collections::VecDeque;

use wasabipoint_rpc::CacheEvent;

/// Events that are kept for entry processes that are behind.
const KEPT_EVENTS: usize = 4_096;

/// Events that one report carries. At 9 bytes an event this adds at most 5 KB to a response.
const EVENTS_PER_REPORT: usize = 512;

/// Cache events for one entry process.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CacheUpdate {
    /// The events in order.
    pub events: Vec<CacheEvent>,
    /// Sequence number to continue from.
    pub sequence: u64,
    /// Whether events are missing before those listed.
    pub has_gap: bool,
}

/// The last cache events.
#[derive(Debug, Default)]
pub struct CacheLog {
    events: VecDeque<CacheEvent>,
    // Sequence number of the last event.
    sequence: u64,
}

impl CacheLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds events.
    pub fn append(&mut self, events: impl IntoIterator<Item = CacheEvent>) {
        for event in events {
            if self.events.len() == KEPT_EVENTS {
                self.events.pop_front();
            }
            self.events.push_back(event);
            self.sequence += 1;
        }
    }

    /// Notes that events are missing. Readers that are behind see a gap.
    pub fn mark_gap(&mut self) {
        self.events.clear();
        self.sequence += 1;
    }

    /// Lists events after a sequence number.
    pub fn since(&self, known: u64) -> CacheUpdate {
        let first_known = self.sequence - self.events.len() as u64;
        let has_gap = known < first_known || known > self.sequence;
        let start = if has_gap { first_known } else { known };
        let events: Vec<_> = self
            .events
            .iter()
            .skip((start - first_known) as usize)
            .take(EVENTS_PER_REPORT)
            .copied()
            .collect();
        CacheUpdate {
            sequence: start + events.len() as u64,
            events,
            has_gap,
        }
    }
}
