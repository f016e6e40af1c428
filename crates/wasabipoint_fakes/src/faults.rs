//! Faults that tests switch on. Fields without a unit count how many of the next requests, loads or
//! events have the fault.

use serde::{Deserialize, Serialize};

/// Faults of responses.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResponseFaults {
    /// Delay of each response of a service and of each token of an engine, in milliseconds.
    pub slow_ms: u64,
    /// Requests that are never answered, while their connection stays open. A service counts them
    /// as executed; an engine does not count them as completed.
    pub silent: u32,
    /// Responses whose connection is closed in the middle.
    pub truncated: u32,
    /// Streams that end normally before their last event; other responses are truncated.
    pub unfinished: u32,
    /// Responses that are delayed by `late_ms`.
    pub late: u32,
    /// Delay of late responses in milliseconds.
    pub late_ms: u64,
    /// Requests that receive the response to another request.
    pub crossed: u32,
    /// Number of correct chunks before a crossed stream continues with those of another request.
    pub crossed_after_chunks: u32,
}

/// Faults of the engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Faults of responses to completion requests.
    pub response: ResponseFaults,
    /// Loads during which the engine exits.
    pub exit_in_load: u32,
    /// Loads that run to their end but whose response is lost.
    pub lost_load_answer: u32,
    /// Loads that fail with status 500.
    pub failed_load: u32,
    /// Loads that are accepted `late_command_ms` after they arrived, even if their connection has
    /// closed by then.
    pub late_command: u32,
    /// Delay of late commands in milliseconds.
    pub late_command_ms: u64,
    /// State requests that are never answered.
    pub silent_state: u32,
    /// Cache events that are lost.
    pub lost_cache_events: u32,
    /// Delay before cache events become visible, in milliseconds.
    pub cache_event_delay_ms: u64,
}

/// Decrements the counter of a fault and returns whether the fault applies.
pub(crate) fn take_fault(count: &mut u32) -> bool {
    let is_set = *count > 0;
    *count = count.saturating_sub(1);
    is_set
}

/// The faults that apply to one response.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveFaults {
    pub(crate) slow_ms: u64,
    pub(crate) is_silent: bool,
    pub(crate) is_truncated: bool,
    pub(crate) is_unfinished: bool,
    pub(crate) late_ms: u64,
    pub(crate) crossed_after_chunks: Option<u32>,
}

impl ResponseFaults {
    /// Takes the faults of the next response from the counters.
    pub(crate) fn take_next(&mut self) -> ActiveFaults {
        ActiveFaults {
            slow_ms: self.slow_ms,
            is_silent: take_fault(&mut self.silent),
            is_truncated: take_fault(&mut self.truncated),
            is_unfinished: take_fault(&mut self.unfinished),
            late_ms: if take_fault(&mut self.late) {
                self.late_ms
            } else {
                0
            },
            crossed_after_chunks: take_fault(&mut self.crossed)
                .then_some(self.crossed_after_chunks),
        }
    }
}
