//! Estimates how many concurrent loads a weight store serves at full speed.

use std::time::Duration;

/// Upper limit and initial value of concurrent loads. Each load occupies an engine for seconds, and
/// probing beyond the store's bandwidth slows down all of them.
const MAX_LOADS: u32 = 4;

/// Ratio of measured to configured time above which a load counts as slowed by concurrent loads.
const MIN_SLOWED_RATIO: f64 = 1.3;

/// Ratio of measured to configured time below which a load counts as running at full speed. It
/// allows for completion reports that arrive a few hundred milliseconds late.
const MAX_FULL_SPEED_RATIO: f64 = 1.15;

/// Adapts the number of concurrent loads to the measured load times.
///
/// Beyond the number that the store serves at full speed, all loads slow down in proportion, so
/// that more of them add no throughput and only keep engines busy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreConcurrency {
    full_speed_loads: u32,
}

impl Default for StoreConcurrency {
    fn default() -> Self {
        Self {
            full_speed_loads: MAX_LOADS,
        }
    }
}

impl StoreConcurrency {
    /// Records the measured and the configured time of a load, and how many loads ran concurrently,
    /// including itself. Samples with fewer loads than the current limit are ignored, because they
    /// say nothing about it.
    pub fn record_load(&mut self, measured: Duration, configured: Duration, running: u32) {
        if running < self.full_speed_loads || configured.is_zero() {
            return;
        }
        let ratio = measured.as_secs_f64() / configured.as_secs_f64();
        if ratio > MIN_SLOWED_RATIO {
            let at_full_speed = (f64::from(running) / ratio).round() as u32;
            self.full_speed_loads = at_full_speed.clamp(1, MAX_LOADS);
        } else if ratio < MAX_FULL_SPEED_RATIO {
            self.full_speed_loads = (running + 1).min(MAX_LOADS);
        }
    }

    /// Returns the number of concurrent loads that the store serves at full speed.
    pub fn full_speed_loads(&self) -> u32 {
        self.full_speed_loads
    }
}
