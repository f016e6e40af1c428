//! Process-local monotonic time.

use tokio::time::Instant;

/// Measures milliseconds since its creation on Tokio's clock.
///
/// Tests pause and advance it with `tokio::time`.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the milliseconds since the clock was created.
    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}
