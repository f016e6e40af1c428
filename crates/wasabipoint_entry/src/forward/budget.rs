//! Retry budget per service.

use std::collections::BTreeMap;

use wasabipoint_kernel::ServiceName;

/// Duration that one bucket covers, in milliseconds.
const BUCKET_MS: u64 = 500;

/// Number of buckets in the sliding window, which spans 10 s.
const BUCKET_COUNT: usize = 20;

/// Maximum ratio of retries to requests. Each process applies it to its own requests, so that it
/// holds for their sum without a shared counter.
const RETRY_RATIO: f64 = 0.15;

/// Retries allowed in addition to the ratio, so that a process with few requests can retry.
const BASE_RETRIES: f64 = 3.0;

/// Share of the budget that is used at most after a hedged request.
const HEDGE_SHARE: f64 = 0.5;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Limits retries in proportion to requests over a sliding window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<ServiceName, [Bucket; BUCKET_COUNT]>,
}

impl RetryBudget {
    /// Counts a caller's request to a service.
    pub fn count_request(&mut self, service: &ServiceName, now_ms: u64) {
        self.bucket(service, now_ms).requests += 1;
    }

    /// Consumes one retry if the budget allows it; returns whether it did.
    pub fn try_take_retry(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        self.try_take(service, 1.0, now_ms)
    }

    /// Consumes one retry for a hedged request if half of the budget stays unused, so that retries
    /// after failures have precedence; returns whether it did.
    pub fn try_take_hedge(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        self.try_take(service, HEDGE_SHARE, now_ms)
    }

    /// Consumes one retry if no more than a share of the budget is used then.
    fn try_take(&mut self, service: &ServiceName, share: f64, now_ms: u64) -> bool {
        let index = now_ms / BUCKET_MS;
        self.bucket(service, now_ms);
        let buckets = &self.services[service];
        let in_window = buckets
            .iter()
            .filter(|bucket| bucket.index + BUCKET_COUNT as u64 > index);
        let (requests, retries) = in_window.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        let allowed = (f64::from(requests) * RETRY_RATIO + BASE_RETRIES) * share;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(service, now_ms).retries += 1;
        true
    }

    /// Returns the current bucket of a service, cleared if it still holds an earlier period.
    fn bucket(&mut self, service: &ServiceName, now_ms: u64) -> &mut Bucket {
        let index = now_ms / BUCKET_MS;
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), [Bucket::default(); BUCKET_COUNT]);
        }
        let buckets = self.services.get_mut(service).expect("inserted above");
        let bucket = &mut buckets[(index % BUCKET_COUNT as u64) as usize];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }
}
