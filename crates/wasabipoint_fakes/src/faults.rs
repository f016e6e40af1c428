//! Fault switches. Each number counts how many of the next requests have the fault.

use serde::{Deserialize, Serialize};

/// Faults of responses.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResponseFaults {
    /// Time added before each response, in milliseconds; also before each streamed token.
    pub slow_ms: u64,
    /// Requests that are executed and never answered, on a connection that stays open.
    pub silent: u32,
    /// Responses that end with a closed connection in the middle.
    pub truncated: u32,
    /// Streams that end normally before their last event.
    pub unfinished: u32,
    /// Responses that are `late_ms` late.
    pub late: u32,
    /// Delay of late responses in milliseconds.
    pub late_ms: u64,
    /// Requests that are answered with the response to another request.
    pub crossed: u32,
    /// Own chunks that are sent before a crossed stream turns to the other request.
    pub crossed_after_chunks: u32,
}

/// Faults of the engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Faults of completions.
    pub response: ResponseFaults,
    /// Loads during which the engine exits.
    pub exit_in_load: u32,
    /// Loads that are done but whose answer is lost.
    pub lost_load_answer: u32,
    /// Loads that are refused with status 500.
    pub failed_load: u32,
    /// Loads that are accepted `late_command_ms` after they arrived, although their connection has
    /// been closed by then.
    pub late_command: u32,
    /// Delay of late commands in milliseconds.
    pub late_command_ms: u64,
    /// Requests for the engine's state that are never answered.
    pub silent_state: u32,
    /// Cache events that are lost.
    pub lost_cache_events: u32,
    /// Age at which cache events become visible, in milliseconds.
    pub cache_event_delay_ms: u64,
}

/// Takes one from a fault's count and tells whether it was there.
pub(crate) fn take(count: &mut u32) -> bool {
    let is_set = *count > 0;
    *count = count.saturating_sub(1);
    is_set
}

/// The faults of one response.
#[derive(Debug, Clone, Default)]
pub(crate) struct DrawnFaults {
    pub(crate) slow_ms: u64,
    pub(crate) is_silent: bool,
    pub(crate) is_truncated: bool,
    pub(crate) is_unfinished: bool,
    pub(crate) late_ms: u64,
    pub(crate) crossed_after_chunks: Option<u32>,
}

impl ResponseFaults {
    pub(crate) fn draw(&mut self) -> DrawnFaults {
        DrawnFaults {
            slow_ms: self.slow_ms,
            is_silent: take(&mut self.silent),
            is_truncated: take(&mut self.truncated),
            is_unfinished: take(&mut self.unfinished),
            late_ms: if take(&mut self.late) {
                self.late_ms
            } else {
                0
            },
            crossed_after_chunks: take(&mut self.crossed).then_some(self.crossed_after_chunks),
        }
    }
}
