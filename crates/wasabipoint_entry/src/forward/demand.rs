//! Per-model demand at one entry process, reported to control.

use std::collections::BTreeMap;

use tokio::time::Instant;
use wasabipoint_kernel::ModelName;
use wasabipoint_rpc::ModelDemand;

#[derive(Debug, Default)]
struct ModelCounts {
    arrived: u32,
    waiting: u32,
    /// Requests that have not ended, including those that wait for the model.
    in_flight: u32,
    waiting_since: Option<Instant>,
}

/// Counts arriving, waiting and in-flight requests per model.
#[derive(Debug, Default)]
pub(crate) struct DemandTracker {
    counts: BTreeMap<ModelName, ModelCounts>,
}

impl DemandTracker {
    pub(crate) fn record_arrival(&mut self, model: &ModelName) {
        let count = self.counts.entry(model.clone()).or_default();
        count.arrived += 1;
        count.in_flight += 1;
    }

    pub(crate) fn record_departure(&mut self, model: &ModelName) {
        if let Some(count) = self.counts.get_mut(model) {
            count.in_flight = count.in_flight.saturating_sub(1);
        }
    }

    pub(crate) fn begin_wait(&mut self, model: &ModelName) {
        let count = self.counts.entry(model.clone()).or_default();
        count.waiting += 1;
        count.waiting_since.get_or_insert_with(Instant::now);
    }

    pub(crate) fn end_wait(&mut self, model: &ModelName) {
        if let Some(count) = self.counts.get_mut(model) {
            count.waiting = count.waiting.saturating_sub(1);
            if count.waiting == 0 {
                count.waiting_since = None;
            }
        }
    }

    /// Returns the demand since the last report and removes models without requests in flight.
    pub(crate) fn take_report(&mut self) -> Vec<ModelDemand> {
        let report = self
            .counts
            .iter_mut()
            .map(|(model, count)| ModelDemand {
                model: model.clone(),
                arrived: std::mem::take(&mut count.arrived),
                queued: count.waiting,
                in_flight: count.in_flight - count.waiting.min(count.in_flight),
                oldest_wait_ms: count
                    .waiting_since
                    .map_or(0, |since| since.elapsed().as_millis() as u64),
                earliest_deadline_ms: None,
            })
            .collect();
        self.counts.retain(|_, count| count.in_flight > 0);
        report
    }
}
