//! Counts of one service over a sliding window.

/// Duration that one bucket covers, in milliseconds.
const BUCKET_MS: u64 = 500;

/// Number of buckets in the window, which spans 10 s.
const BUCKET_COUNT: usize = 20;

/// Requests and attempts in one period.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HedgeCounts {
    /// Requests of callers.
    pub(super) requests: u32,
    /// First attempts with a delay.
    pub(super) timed_attempts: u32,
    /// First attempts that exceeded their delay.
    pub(super) late_attempts: u32,
    /// Second attempts.
    pub(super) hedges: u32,
}

/// Counts of the last 10 s.
#[derive(Debug, Default)]
pub(super) struct HedgeWindow {
    /// Buckets with the index of their period.
    buckets: [(u64, HedgeCounts); BUCKET_COUNT],
}

impl HedgeWindow {
    /// Returns the counts of the current period.
    pub(super) fn count(&mut self, now_ms: u64) -> &mut HedgeCounts {
        let index = now_ms / BUCKET_MS;
        let bucket = &mut self.buckets[(index % BUCKET_COUNT as u64) as usize];
        if bucket.0 != index {
            *bucket = (index, HedgeCounts::default());
        }
        &mut bucket.1
    }

    /// Returns the sum over the window that ends now.
    pub(super) fn sum(&self, now_ms: u64) -> HedgeCounts {
        let index = now_ms / BUCKET_MS;
        let buckets = self.buckets.iter();
        let in_window = buckets.filter(|bucket| bucket.0 + BUCKET_COUNT as u64 > index);
        in_window.fold(HedgeCounts::default(), |sum, (_, counts)| HedgeCounts {
            requests: sum.requests + counts.requests,
            timed_attempts: sum.timed_attempts + counts.timed_attempts,
            late_attempts: sum.late_attempts + counts.late_attempts,
            hedges: sum.hedges + counts.hedges,
        })
    }
}
