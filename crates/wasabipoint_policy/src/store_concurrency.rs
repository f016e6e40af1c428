//! How many loads from a weight store at once keep their full speed.

use std::time::Duration;

/// Most loads at once, also before any was measured. Each occupies an engine for seconds, and a trial
/// beyond the store's speed slows all of them.
const MAX_LOADS: u32 = 4;

/// Ratio of the measured to the configured time from which on a load was slowed by the others.
const SLOWED_RATIO: f64 = 1.3;

/// Ratio up to which a load had its full speed. Reports of its end are a few hundred milliseconds
/// late.
const FULL_SPEED_RATIO: f64 = 1.15;

/// Learns from the times of loads how many of them the store serves at full speed.
///
/// Beyond that number all loads take longer in proportion, so that more of them bring nothing and
/// keep engines busy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreConcurrency {
    loads_at_once: u32,
}

impl Default for StoreConcurrency {
    fn default() -> Self {
        Self {
            loads_at_once: MAX_LOADS,
        }
    }
}

impl StoreConcurrency {
    /// Takes the measured and the configured time of a load, and how many loads ran beside it,
    /// itself included. Fewer loads than are allowed tell nothing.
    pub fn record_load(&mut self, measured: Duration, configured: Duration, running: u32) {
        if running < self.loads_at_once || configured.is_zero() {
            return;
        }
        let ratio = measured.as_secs_f64() / configured.as_secs_f64();
        if ratio > SLOWED_RATIO {
            let at_full_speed = (f64::from(running) / ratio).round() as u32;
            self.loads_at_once = at_full_speed.clamp(1, MAX_LOADS);
        } else if ratio < FULL_SPEED_RATIO {
            self.loads_at_once = (running + 1).min(MAX_LOADS);
        }
    }

    /// Returns how many loads at once have their full speed.
    pub fn loads_at_once(&self) -> u32 {
        self.loads_at_once
    }
}
