//! Latency histograms.

use hdrhistogram::Histogram;

/// Histogram of durations in milliseconds, with three significant digits.
#[derive(Debug, Clone)]
pub(crate) struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    pub(crate) fn new() -> Self {
        Self(Histogram::new(3).expect("three significant digits are supported"))
    }

    pub(crate) fn record_ms(&mut self, latency_ms: u64) {
        self.0
            .record(latency_ms)
            .expect("the histogram resizes itself");
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.0.add(&other.0).expect("the histogram resizes itself");
    }

    pub(crate) fn quantile_ms(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    pub(crate) fn mean_ms(&self) -> f64 {
        self.0.mean()
    }

    pub(crate) fn count(&self) -> u64 {
        self.0.len()
    }
}
