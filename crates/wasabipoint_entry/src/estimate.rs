//! Estimates of queue, load and run time from what was observed.

use std::collections::HashMap;

use crate::scheduler::Target;

/// Weight of a new observation in a running average.
const NEW_WEIGHT: f64 = 0.2;

/// Age beyond which the observed time to a first answer is not used. Without this, an average over
/// the deadline would refuse every request and never be corrected.
const FIRST_MAX_AGE_MS: u64 = 10_000;

#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Default)]
struct Observed {
    hold_ms: Option<f64>,
    first_ms: Option<f64>,
    first_at_ms: u64,
    cold_ready_ms: Option<u64>,
}

/// An expected wait until the first token or answer.
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Wait {
    pub(crate) queue_ms: u64,
    pub(crate) load_ms: u64,
    pub(crate) run_ms: u64,
}

impl Wait {
    pub(crate) fn total_ms(&self) -> u64 {
        self.queue_ms + self.load_ms + self.run_ms
    }
}

/// Running averages per model and service. Nothing observed counts as no wait, so that no request
/// is refused without evidence.
pub(crate) struct Estimates {
    observed: HashMap<Target, Observed>,
}

impl Estimates {
    pub(crate) fn new() -> Self {
        Self {
            observed: HashMap::new(),
        }
    }

    /// Notes how long a request held its slot.
    pub(crate) fn record_hold(&mut self, target: &Target, held_ms: u64) {
        let observed = self.observed.entry(target.clone()).or_default();
        update(&mut observed.hold_ms, held_ms);
    }

    /// Notes the time from dispatch to the first part of the answer.
    pub(crate) fn record_first(&mut self, target: &Target, elapsed_ms: u64, now_ms: u64) {
        let observed = self.observed.entry(target.clone()).or_default();
        update(&mut observed.first_ms, elapsed_ms);
        observed.first_at_ms = now_ms;
    }

    /// Notes when a model that is not loaded is expected to serve.
    pub(crate) fn record_cold(&mut self, target: &Target, ready_ms: u64) {
        self.observed
            .entry(target.clone())
            .or_default()
            .cold_ready_ms = Some(ready_ms);
    }

    /// Estimates the wait behind `ahead` requests at `slots` slots.
    pub(crate) fn estimate(
        &self,
        target: &Target,
        ahead: u64,
        slots: u32,
        is_idle: bool,
        now_ms: u64,
    ) -> Wait {
        let Some(observed) = self.observed.get(target) else {
            return Wait::default();
        };
        let is_recent = now_ms.saturating_sub(observed.first_at_ms) < FIRST_MAX_AGE_MS;
        let run_ms = observed.first_ms.filter(|_| is_recent).unwrap_or(0.0) as u64;
        if slots == 0 {
            let ready_ms = observed.cold_ready_ms.unwrap_or(0);
            return Wait {
                queue_ms: 0,
                load_ms: ready_ms.saturating_sub(now_ms),
                run_ms,
            };
        }
        let queue_ms = if is_idle {
            0.0
        } else {
            observed.hold_ms.unwrap_or(0.0) * (ahead + 1) as f64 / f64::from(slots)
        };
        Wait {
            queue_ms: queue_ms as u64,
            load_ms: 0,
            run_ms,
        }
    }
}

fn update(average: &mut Option<f64>, value_ms: u64) {
    let value = value_ms as f64;
    *average = Some(average.map_or(value, |old| old + (value - old) * NEW_WEIGHT));
}
