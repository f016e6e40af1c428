//! Estimates of queueing, model load and response time from observed requests.

use std::collections::HashMap;

use crate::scheduler::Target;

/// Weight of a new sample in the exponentially weighted moving averages.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Age beyond which the observed time to the first response is ignored. Otherwise, an average above
/// the deadline would cause every request to be refused, and no new sample would ever correct it.
const FIRST_RESPONSE_MAX_AGE_MS: u64 = 10_000;

/// Observations for one model or service.
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Default)]
struct TargetStats {
    /// Average time for which a request holds its slot.
    slot_hold_ms: Option<f64>,
    /// Average time from dispatch to the first part of the response.
    first_response_ms: Option<f64>,
    first_response_at_ms: u64,
    /// Expected end of the model's load.
    model_ready_at_ms: Option<u64>,
}

/// Expected time until the first token of a completion or the response of a service.
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WaitEstimate {
    pub(crate) queue_ms: u64,
    pub(crate) load_ms: u64,
    /// Time from dispatch to the first part of the response.
    pub(crate) response_ms: u64,
}

impl WaitEstimate {
    pub(crate) fn total_ms(&self) -> u64 {
        self.queue_ms + self.load_ms + self.response_ms
    }
}

/// Moving averages per model and service. Without observations the estimate is zero, so that no
/// request is refused without evidence.
pub(crate) struct WaitEstimator {
    stats: HashMap<Target, TargetStats>,
}

impl WaitEstimator {
    pub(crate) fn new() -> Self {
        Self {
            stats: HashMap::new(),
        }
    }

    /// Records for how long a request held its slot.
    pub(crate) fn record_slot_hold(&mut self, target: &Target, held_ms: u64) {
        let stats = self.stats.entry(target.clone()).or_default();
        update_average(&mut stats.slot_hold_ms, held_ms);
    }

    /// Records the time from dispatch to the first part of the response.
    pub(crate) fn record_response_start(&mut self, target: &Target, elapsed_ms: u64, now_ms: u64) {
        let stats = self.stats.entry(target.clone()).or_default();
        update_average(&mut stats.first_response_ms, elapsed_ms);
        stats.first_response_at_ms = now_ms;
    }

    /// Records when a model that is not loaded yet is expected to be ready.
    pub(crate) fn record_model_ready(&mut self, target: &Target, ready_ms: u64) {
        self.stats
            .entry(target.clone())
            .or_default()
            .model_ready_at_ms = Some(ready_ms);
    }

    /// Estimates the wait behind `requests_ahead` requests that share `slots` slots. There is no
    /// queueing if the request `can_start_now`. Without slots, the model has to be loaded first.
    pub(crate) fn estimate(
        &self,
        target: &Target,
        requests_ahead: u64,
        slots: u32,
        can_start_now: bool,
        now_ms: u64,
    ) -> WaitEstimate {
        let Some(stats) = self.stats.get(target) else {
            return WaitEstimate::default();
        };
        let is_recent =
            now_ms.saturating_sub(stats.first_response_at_ms) < FIRST_RESPONSE_MAX_AGE_MS;
        let response_ms = stats.first_response_ms.filter(|_| is_recent).unwrap_or(0.0) as u64;
        if slots == 0 {
            let ready_ms = stats.model_ready_at_ms.unwrap_or(0);
            return WaitEstimate {
                queue_ms: 0,
                load_ms: ready_ms.saturating_sub(now_ms),
                response_ms,
            };
        }
        let queue_ms = if can_start_now {
            0.0
        } else {
            stats.slot_hold_ms.unwrap_or(0.0) * (requests_ahead + 1) as f64 / f64::from(slots)
        };
        WaitEstimate {
            queue_ms: queue_ms as u64,
            load_ms: 0,
            response_ms,
        }
    }
}

fn update_average(average: &mut Option<f64>, value_ms: u64) {
    let value = value_ms as f64;
    *average = Some(average.map_or(value, |previous| {
        previous + (value - previous) * SMOOTHING_FACTOR
    }));
}
