//! Budget of repeated sends, per service.

use std::collections::BTreeMap;

use wasabipoint_kernel::ServiceName;

/// Length of a bucket in milliseconds.
const BUCKET_MS: u64 = 500;

/// Buckets in the window over which repeats are bounded, 10 s in all.
const BUCKETS: usize = 20;

/// Repeats per request that one process allows itself. The processes share no counter, so their
/// sum keeps the ratio when each keeps it.
const REPEAT_RATIO: f64 = 0.15;

/// Repeats that a process may send with hardly any requests.
const BASE_REPEATS: f64 = 3.0;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeated sends over a sliding window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: BTreeMap<ServiceName, [Bucket; BUCKETS]>,
}

impl RetryBudget {
    /// Counts a caller's request to a service.
    pub fn count_request(&mut self, service: &ServiceName, now_ms: u64) {
        self.bucket(service, now_ms).requests += 1;
    }

    /// Takes one repeat if the window has room for it.
    pub fn try_take_retry(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        let index = now_ms / BUCKET_MS;
        self.bucket(service, now_ms);
        let buckets = &self.services[service];
        let live = buckets
            .iter()
            .filter(|bucket| bucket.index + BUCKETS as u64 > index);
        let (requests, repeats) = live.fold((0, 0), |(requests, repeats), bucket| {
            (requests + bucket.requests, repeats + bucket.repeats)
        });
        let allowed = f64::from(requests) * REPEAT_RATIO + BASE_REPEATS;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.bucket(service, now_ms).repeats += 1;
        true
    }

    fn bucket(&mut self, service: &ServiceName, now_ms: u64) -> &mut Bucket {
        let index = now_ms / BUCKET_MS;
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), [Bucket::default(); BUCKETS]);
        }
        let buckets = self.services.get_mut(service).expect("inserted above");
        let bucket = &mut buckets[(index % BUCKETS as u64) as usize];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }
}
