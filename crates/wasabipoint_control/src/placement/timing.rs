//! Load times and pacing of loads from the weight store.

use tokio::time::Instant;
use wasabipoint_kernel::StoreRules;
use wasabipoint_rpc::CheckpointTier;

/// Weight of a new measurement in the moving average.
const NEW_WEIGHT: f64 = 0.3;

/// Shortest estimate: the time until an agent hears of its grant and reports the load.
const MIN_LOAD_MS: f64 = 200.0;

/// Moving averages of load times per MiB and checkpoint tier.
#[derive(Debug, Clone)]
pub(crate) struct LoadTimes {
    ms_per_mib: [f64; 3],
}

impl Default for LoadTimes {
    fn default() -> Self {
        // Until loads are measured: 20 GiB/s from memory, 2 GiB/s from disk, 1 GiB/s from the store.
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

impl LoadTimes {
    pub(crate) fn estimate_ms(&self, tier: CheckpointTier, memory_mib: u64) -> u64 {
        let estimate = self.ms_per_mib[tier_index(tier)] * memory_mib as f64;
        estimate.max(MIN_LOAD_MS) as u64
    }

    pub(crate) fn observe(&mut self, tier: CheckpointTier, memory_mib: u64, elapsed_ms: u64) {
        let measured = elapsed_ms as f64 / memory_mib.max(1) as f64;
        let average = &mut self.ms_per_mib[tier_index(tier)];
        *average += NEW_WEIGHT * (measured - *average);
    }
}

/// Paces the start of loads to the rate of the weight store.
#[derive(Debug, Clone)]
pub(crate) struct StorePacer {
    allowance: f64,
    refilled: Instant,
}

impl StorePacer {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            allowance: 1.0,
            refilled: now,
        }
    }

    /// Returns how many loads may start now.
    pub(crate) fn allowed(&mut self, limits: &StoreRules, running: u32) -> u32 {
        let now = Instant::now();
        let elapsed_s = (now - self.refilled).as_secs_f64();
        self.refilled = now;
        let rate = f64::from(limits.loads_per_s);
        self.allowance = (self.allowance + elapsed_s * rate).min(rate.max(1.0));
        let at_once = limits.loads_at_once.saturating_sub(running);
        at_once.min(self.allowance as u32)
    }

    pub(crate) fn take(&mut self) {
        self.allowance = (self.allowance - 1.0).max(0.0);
    }
}
