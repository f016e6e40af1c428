//! Demand reports to control.

use std::sync::Arc;
use std::time::Duration;

use wasabipoint_rpc::EntryReport;

use crate::config::EntryConfig;
use crate::link::ControlLink;
use crate::scheduler::Scheduler;

/// Bounds of the time between reports, whatever control asks for.
const INTERVAL_MS: std::ops::RangeInclusive<u64> = 100..=10_000;

/// Time between reports when control does not answer.
const DEFAULT_INTERVAL_MS: u64 = 1_000;

/// Shortest time between reports, so that many cold models do not cause a report each.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Reports demand every second, and at once when a cold model is asked for.
pub(crate) struct DemandReporter {
    scheduler: Arc<Scheduler>,
}

impl DemandReporter {
    pub(crate) fn new(scheduler: Arc<Scheduler>) -> Self {
        Self { scheduler }
    }

    /// Reports until the process ends.
    pub(crate) async fn run(&self, control: &dyn ControlLink, config: &EntryConfig) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let (demand, draining_endpoints) = self.scheduler.take_demand();
            let report = EntryReport {
                entry: config.entry.clone(),
                incarnation: config.incarnation,
                sequence,
                address: config.address,
                demand,
                draining_endpoints,
                unreachable_endpoints: Vec::new(),
            };
            let interval_ms = match control.report(report).await {
                Ok(directive) => {
                    self.scheduler
                        .apply_cold_estimates(&directive.cold_estimates);
                    directive.next_report_ms
                }
                // Demand of a lost report is not added to the next one; waiting requests are
                // reported again by their number.
                Err(_) => DEFAULT_INTERVAL_MS,
            };
            tokio::time::sleep(MIN_PAUSE).await;
            let interval =
                Duration::from_millis(interval_ms.clamp(*INTERVAL_MS.start(), *INTERVAL_MS.end()));
            // A timeout only means that no cold model was asked for.
            let _ = tokio::time::timeout(interval, self.scheduler.wait_for_cold_demand()).await;
        }
    }
}
