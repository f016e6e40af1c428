//! Speeds of endpoints, as the leader combines them from the reports of entry processes.

use std::collections::BTreeMap;

use slog::info;
use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, Incarnation};
use wasabipoint_policy::{MAX_SPEEDS, SharedSpeeds, SpeedSample};
use wasabipoint_rpc::{EndpointView, EntryReport, SpeedDirective};

use crate::context::ControlContext;

/// Time of the clock at the start of a term, in milliseconds, so that earlier measurements have a time
/// as well.
const START_MS: u64 = 1_000_000;

/// Ratio by which a speed changes before it is logged again.
const LOGGED_RATIO: f64 = 1.25;

/// The speeds of all endpoints in one term of the leader. They are lost with the leader and reported
/// again within seconds.
#[derive(Debug)]
pub(crate) struct EndpointSpeeds {
    started_at: Instant,
    shared: SharedSpeeds,
    /// Speed in the last log record of each endpoint.
    logged: BTreeMap<(EndpointId, Incarnation), f64>,
}

impl EndpointSpeeds {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            shared: SharedSpeeds::default(),
            logged: BTreeMap::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.started_at.elapsed().as_millis() as u64
    }

    /// Returns the speeds of the listed endpoints in proportion to their service; 1.0 is usual. An
    /// endpoint without recent measurements is missing.
    pub(crate) fn relative(
        &self,
        endpoints: &BTreeMap<EndpointId, EndpointView>,
    ) -> BTreeMap<(EndpointId, Incarnation), f64> {
        self.shared.relative_speeds(|endpoint, incarnation| {
            let view = endpoints.get(endpoint)?;
            (view.incarnation == incarnation).then_some(&view.service)
        })
    }

    /// Records the measurements of an entry process and returns the speeds that it does not know yet.
    fn record_report(
        &mut self,
        report: &EntryReport,
        endpoints: &BTreeMap<EndpointId, EndpointView>,
    ) -> Vec<SpeedDirective> {
        let now_ms = self.now_ms();
        let is_listed = |endpoint: &EndpointId, incarnation| {
            let view = endpoints.get(endpoint);
            view.is_some_and(|view| view.incarnation == incarnation)
        };
        for speed in report.speeds.iter().take(MAX_SPEEDS) {
            if !is_listed(&speed.endpoint, speed.incarnation) {
                continue;
            }
            let sample = SpeedSample {
                event_us: speed.event_us,
                samples: speed.samples,
                age_ms: speed.age_ms,
            };
            let (endpoint, incarnation) = (&speed.endpoint, speed.incarnation);
            self.shared
                .record(&report.entry, endpoint, incarnation, sample, now_ms);
        }
        self.shared.combine(is_listed, now_ms);
        let statements = self
            .shared
            .take_statements(&report.entry, report.incarnation, now_ms);
        let directives = statements.into_iter().map(|stated| SpeedDirective {
            endpoint: stated.endpoint,
            incarnation: stated.incarnation,
            event_us: stated.event_us,
            age_ms: stated.age_ms,
        });
        directives.collect()
    }

    /// Returns the speeds that changed since they were last logged.
    fn take_logged_changes(
        &mut self,
        endpoints: &BTreeMap<EndpointId, EndpointView>,
    ) -> Vec<((EndpointId, Incarnation), f64)> {
        let speeds = self.relative(endpoints);
        self.logged.retain(|key, _| speeds.contains_key(key));
        let mut changes = Vec::new();
        for (key, speed) in speeds {
            let known = self.logged.get(&key).copied().unwrap_or(1.0);
            if (speed / known).max(known / speed) > LOGGED_RATIO {
                self.logged.insert(key.clone(), speed);
                changes.push((key, speed));
            }
        }
        changes
    }
}

impl ControlContext {
    /// Records the speeds that an entry process measured, and returns those that it does not know yet.
    pub(crate) fn record_speed_report(
        &self,
        term: u64,
        report: &EntryReport,
    ) -> Vec<SpeedDirective> {
        let (directives, changes) = self.with_leader_state(term, |leader| {
            self.member.read(|state| {
                let endpoints = &state.view.endpoints;
                let directives = leader.speeds.record_report(report, endpoints);
                let changes = if report.speeds.is_empty() {
                    Vec::new()
                } else {
                    leader.speeds.take_logged_changes(endpoints)
                };
                (directives, changes)
            })
        });
        for ((endpoint, incarnation), speed) in changes {
            info!(self.logger, "placement: speed of an endpoint changed";
                "endpoint" => %endpoint, "incarnation" => incarnation.0,
                "speed" => (speed * 100.0).round() / 100.0, "entry" => %report.entry);
        }
        directives
    }
}
