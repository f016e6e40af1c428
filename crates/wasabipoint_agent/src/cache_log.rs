//! Log of the engine's cache events. The agent assigns their sequence numbers, which continue
//! across engine restarts.

use std::collections::VecDeque;

use wasabipoint_rpc::CacheEvent;

/// Maximum number of events retained for entry processes that lag behind.
const MAX_EVENTS: usize = 4_096;

/// Maximum number of events in one load report. At 9 bytes per event they add at most 5 KB to a
/// response.
const MAX_EVENTS_PER_REPORT: usize = 512;

/// Cache events sent to one entry process.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CacheUpdate {
    /// The events in order.
    pub events: Vec<CacheEvent>,
    /// Sequence number from which to request the next events.
    pub sequence: u64,
    /// Whether events before `events` are missing.
    pub has_gap: bool,
}

/// The most recent cache events.
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

    /// Appends events and drops the oldest ones over the limit.
    pub fn append(&mut self, events: impl IntoIterator<Item = CacheEvent>) {
        for event in events {
            if self.events.len() == MAX_EVENTS {
                self.events.pop_front();
            }
            self.events.push_back(event);
            self.sequence += 1;
        }
    }

    /// Records that events were lost. Readers with an earlier sequence number get a gap.
    pub fn record_gap(&mut self) {
        self.events.clear();
        self.sequence += 1;
    }

    /// Returns the events after a sequence number.
    pub fn events_since(&self, known: u64) -> CacheUpdate {
        let first_available = self.sequence - self.events.len() as u64;
        let has_gap = known < first_available || known > self.sequence;
        let start = if has_gap { first_available } else { known };
        let events: Vec<_> = self
            .events
            .iter()
            .skip((start - first_available) as usize)
            .take(MAX_EVENTS_PER_REPORT)
            .copied()
            .collect();
        CacheUpdate {
            sequence: start + events.len() as u64,
            events,
            has_gap,
        }
    }
}
