//! Periodic demand reports to control.

use std::sync::Arc;
use std::time::Duration;

use wasabipoint_rpc::{EntryReport, PromptReport};

use crate::config::EntryConfig;
use crate::link::ControlLink;
use crate::scheduler::Scheduler;

/// Range to which the report interval requested by control is clamped.
const INTERVAL_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=10_000;

/// Time between reports while control does not reply.
const DEFAULT_INTERVAL_MS: u64 = 1_000;

/// Minimum time between reports, so that requests for several unloaded models share a report.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Reports demand at the interval set by control, and immediately when a request arrives for a
/// model that is not loaded.
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
                prompts: PromptReport::default(),
                limits: Vec::new(),
                speeds: Vec::new(),
            };
            let interval_ms = match control.report(report).await {
                Ok(directive) => {
                    self.scheduler
                        .apply_cold_estimates(&directive.cold_estimates);
                    directive.next_report_ms
                }
                // Arrivals of a lost report are not added to the next one. Queued requests are
                // counted again in every report.
                Err(_) => DEFAULT_INTERVAL_MS,
            };
            tokio::time::sleep(MIN_INTERVAL).await;
            let interval = Duration::from_millis(
                interval_ms.clamp(*INTERVAL_RANGE_MS.start(), *INTERVAL_RANGE_MS.end()),
            );
            // A timeout only means that no request arrived for an unloaded model.
            let _ = tokio::time::timeout(interval, self.scheduler.wait_for_cold_demand()).await;
        }
    }
}
