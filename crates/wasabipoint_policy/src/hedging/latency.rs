//! Recent latencies of one route.

use hdrhistogram::Histogram;

use super::HedgeDelay;

/// Longest latency that is told from longer ones, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// Significant decimal digits of a latency. With one, values are exact to 6%, and a histogram takes less
/// than 1 KB, so that thousands of routes fit into the memory of an entry process.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Quantile of the latencies that delays are derived from.
const DELAY_QUANTILE: f64 = 0.95;

/// Minimum ratio of the delay to the median. Where latencies hardly differ, the quantile alone would
/// hedge requests that are about to be answered.
const MIN_DELAY_RATIO: u64 = 2;

/// Minimum number of latencies. With fewer, the quantile is one of the highest two values.
const MIN_SAMPLES: u64 = 50;

/// Time after which latencies are replaced by later ones, in milliseconds, if there are enough. The
/// history covers up to twice this time.
const GENERATION_MS: u64 = 30_000;

/// Time without latencies after which earlier ones are not used, in milliseconds.
const MAX_SILENCE_MS: u64 = 300_000;

/// A histogram of latencies in which old ones lose their weight.
#[derive(Debug)]
pub(super) struct LatencyHistory {
    /// Latencies of the current generation and the one before.
    all: Histogram<u32>,
    /// Latencies of the current generation.
    current: Histogram<u32>,
    current_since_ms: u64,
    recorded_ms: u64,
}

impl LatencyHistory {
    pub(super) fn new(now_ms: u64) -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        Self {
            all: histogram.clone(),
            current: histogram,
            current_since_ms: now_ms,
            recorded_ms: now_ms,
        }
    }

    pub(super) fn record(&mut self, latency_ms: u64, now_ms: u64) {
        self.expire(now_ms);
        self.all.saturating_record(latency_ms.max(1));
        self.current.saturating_record(latency_ms.max(1));
        self.recorded_ms = now_ms;
    }

    /// Drops the latencies that are too old.
    fn expire(&mut self, now_ms: u64) {
        if self.is_outdated(now_ms) {
            self.all.reset();
            self.current.reset();
            self.current_since_ms = now_ms;
        }
        let is_complete = now_ms >= self.current_since_ms.saturating_add(GENERATION_MS);
        if is_complete && self.current.len() >= MIN_SAMPLES {
            std::mem::swap(&mut self.all, &mut self.current);
            self.current.reset();
            self.current_since_ms = now_ms;
        }
    }

    fn is_outdated(&self, now_ms: u64) -> bool {
        now_ms >= self.recorded_ms.saturating_add(MAX_SILENCE_MS)
    }

    pub(super) fn delay(&self, now_ms: u64) -> Option<HedgeDelay> {
        let samples = self.all.len();
        if samples < MIN_SAMPLES || self.is_outdated(now_ms) {
            return None;
        }
        let median_ms = self.all.value_at_quantile(0.5);
        let quantile_ms = self.all.value_at_quantile(DELAY_QUANTILE);
        Some(HedgeDelay {
            delay_ms: quantile_ms.max(median_ms * MIN_DELAY_RATIO),
            median_ms,
            samples,
        })
    }
}
