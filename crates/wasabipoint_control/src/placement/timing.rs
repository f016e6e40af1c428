//! Load time estimates and the rate limit of loads from the weight store.

use tokio::time::Instant;
use wasabipoint_kernel::StoreRules;
use wasabipoint_rpc::CheckpointTier;

/// Weight of a new measurement in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Lower bound of an estimate: the time that an agent takes to receive its grant and to report the
/// load.
const MIN_ESTIMATE_MS: f64 = 200.0;

/// Moving averages of the load time per MiB, by checkpoint tier.
#[derive(Debug, Clone)]
pub(crate) struct LoadTimeEstimator {
    ms_per_mib: [f64; 3],
}

impl Default for LoadTimeEstimator {
    fn default() -> Self {
        // Used until loads are measured: 20 GiB/s from memory, 2 GiB/s from disk, 1 GiB/s from the
        // weight store.
        Self {
            ms_per_mib: [0.05, 0.5, 1.0],
        }
    }
}

fn tier_index(tier: CheckpointTier) -> usize {
    match tier {
        CheckpointTier::Memory => 0,
        CheckpointTier::Disk => 1,
        CheckpointTier::Remote => 2,
    }
}

impl LoadTimeEstimator {
    /// Estimates the time to load a replica of the given size.
    pub(crate) fn estimate_ms(&self, tier: CheckpointTier, memory_mib: u64) -> u64 {
        let estimate = self.ms_per_mib[tier_index(tier)] * memory_mib as f64;
        estimate.max(MIN_ESTIMATE_MS) as u64
    }

    /// Adds a measured load time to the average of its tier.
    pub(crate) fn observe(&mut self, tier: CheckpointTier, memory_mib: u64, elapsed_ms: u64) {
        let measured = elapsed_ms as f64 / memory_mib.max(1) as f64;
        let average = &mut self.ms_per_mib[tier_index(tier)];
        *average += SMOOTHING_FACTOR * (measured - *average);
    }
}

/// Token bucket that limits the rate at which loads from the weight store start.
#[derive(Debug, Clone)]
pub(crate) struct StoreRateLimiter {
    tokens: f64,
    last_refill: Instant,
}

impl StoreRateLimiter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            last_refill: now,
        }
    }

    /// Refills the bucket and returns how many loads may start now, given the number of running ones.
    pub(crate) fn available_loads(&mut self, limits: &StoreRules, running: u32) -> u32 {
        let now = Instant::now();
        let elapsed_s = (now - self.last_refill).as_secs_f64();
        self.last_refill = now;
        let rate = f64::from(limits.loads_per_s);
        self.tokens = (self.tokens + elapsed_s * rate).min(rate.max(1.0));
        let free_slots = limits.loads_at_once.saturating_sub(running);
        free_slots.min(self.tokens as u32)
    }

    /// Counts the start of a load.
    pub(crate) fn consume(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
