//! Exchange with control: the fleet view that it publishes, and reports of demand, failures, prompt
//! parts and limits.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use slog::{info, warn};
use tokio::time::Instant;
use wasabipoint_kernel::{FailureDomain, ModelName};
use wasabipoint_rpc::{EntryDirective, EntryReport, FleetUpdate, WatchRequest};

use super::endpoints::ColdChange;
use super::table::RouteTable;
use super::{Forwarder, State};

/// Maximum time that control holds a watch call open, in milliseconds. An unresponsive connection
/// to control delays updates by at most this plus the call's own timeout.
const MAX_WATCH_WAIT_MS: u64 = 500;

/// Delay before a failed watch call is repeated.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between demand reports unless a request triggers one earlier.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum delay between two reports of the report task.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between reports that ask for permissions. Many entry processes may wait for one
/// endpoint, and the leader handles the reports of all.
const MIN_PERMISSION_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum age of a load time estimate that is used without another report to control.
const MAX_LOAD_TIME_AGE: Duration = Duration::from_millis(700);

impl Forwarder {
    /// Watches the fleet view published by control and applies its updates.
    pub(super) async fn watch_control(self: Arc<Self>) {
        let mut is_disconnected = true;
        loop {
            let known_revision = self.lock().view.revision;
            let request = WatchRequest {
                process_name: self.config.entry.as_str().to_owned(),
                known_revision,
                wait_ms: MAX_WATCH_WAIT_MS,
            };
            let asked_at = Instant::now();
            match self.control.watch(request).await {
                Ok(reply) => {
                    if std::mem::take(&mut is_disconnected) {
                        info!(self.logger, "entry: control is reachable";
                            "revision" => reply.revision);
                    }
                    self.apply_update(reply.revision, reply.update);
                    self.lock().view_confirmed_at = Some(asked_at);
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_disconnected, true) {
                        warn!(self.logger, "entry: control is not reachable";
                            "known_revision" => known_revision, "error" => ?error);
                    }
                    tokio::time::sleep(WATCH_RETRY_DELAY).await;
                }
            }
        }
    }

    fn apply_update(&self, revision: u64, update: FleetUpdate) {
        let mut state = self.lock();
        let known_version = state.view.deployment.as_ref().map(|known| known.version);
        match update {
            FleetUpdate::Delta(changes) => {
                if changes.is_empty() && revision == state.view.revision {
                    return;
                }
                for change in &changes {
                    state.view.apply(change);
                }
            }
            FleetUpdate::Snapshot(view) => {
                // An older snapshot must not roll back the view that is already applied.
                if view.revision < state.view.revision {
                    return;
                }
                state.view = *view;
            }
        }
        state.view.revision = revision;
        let now_ms = self.clock.now_ms();
        let (view, endpoints) = state.view_and_endpoints();
        endpoints.update_fleet(view, now_ms);
        let cold_changes = endpoints.take_cold_changes(now_ms);
        self.update_domains(&mut state, revision);
        let version = state.view.deployment.as_ref().map(|known| known.version);
        if version > known_version {
            let deployment = state.view.deployment.clone();
            if let Some(deployment) = &deployment {
                let routes = deployment.routes.iter().map(|route| &route.name).collect();
                let services = deployment.services.keys().collect();
                state.hedging.retain(&routes, &services);
                state.endpoints.apply_cache_sizes(deployment);
            }
            let table = deployment.map(|deployment| Arc::new(RouteTable::new(deployment)));
            *self.table.write().unwrap_or_else(PoisonError::into_inner) = table;
            info!(self.logger, "entry: configuration applied"; "version" => version,
                "before" => known_version, "revision" => revision);
        }
        drop(state);
        self.record_cold_changes(&cold_changes);
        self.fleet_changed.send_replace(revision);
    }

    /// Applies which failure domains are out of service.
    fn update_domains(&self, state: &mut State, revision: u64) {
        if state
            .endpoints
            .set_out_of_service(&state.view.out_of_service)
        {
            let domains = state.view.out_of_service.iter();
            let domains: Vec<&str> = domains.map(FailureDomain::as_str).collect();
            info!(self.logger, "entry: failure domains out of service changed";
                "out_of_service" => ?domains, "revision" => revision,
                "running" => state.endpoints.requests_out_of_service());
        }
    }

    /// Reports demand to control, periodically and on request.
    pub(super) async fn report_demand(self: Arc<Self>) {
        let mut was_idle = true;
        loop {
            // On timeout the periodic report is due.
            let _ = tokio::time::timeout(REPORT_INTERVAL, self.report_requested.notified()).await;
            was_idle = self.send_report(was_idle).await;
            tokio::time::sleep(MIN_REPORT_INTERVAL).await;
        }
    }

    /// Triggers a report that asks for permissions to send requests to endpoints with limits, unless
    /// one was triggered just before.
    pub(super) fn request_permissions(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let requested_at = state.permissions_requested_at;
        if requested_at.is_some_and(|requested_at| now < requested_at + MIN_PERMISSION_INTERVAL) {
            return;
        }
        state.permissions_requested_at = Some(now);
        self.report_requested.notify_one();
    }

    /// Returns the time until control expects a model to be loaded, as far as it is known.
    pub(super) fn known_load_time(&self, model: &ModelName) -> Option<Duration> {
        let (ready_at, _) = self.lock().load_times.get(model).copied()?;
        Some(ready_at.saturating_duration_since(Instant::now()))
    }

    /// Returns the time until control expects a model to be loaded, `None` without an estimate.
    /// Sends a report first unless the known estimate is recent.
    pub(super) async fn fetch_load_time(&self, model: &ModelName) -> Option<Duration> {
        let known = self.lock().load_times.get(model).copied();
        if let Some((ready_at, _)) =
            known.filter(|(_, reported_at)| reported_at.elapsed() < MAX_LOAD_TIME_AGE)
        {
            return Some(ready_at.saturating_duration_since(Instant::now()));
        }
        self.send_report(false).await;
        self.known_load_time(model)
    }

    /// Sends a demand report, but skips an empty one if `was_idle`. Returns whether the demand is
    /// empty.
    async fn send_report(&self, was_idle: bool) -> bool {
        let mut sequence = self.report_sequence.lock().await;
        let now_ms = self.clock.now_ms();
        let (demand, leaving, unreachable, prompts, limits, speeds, cold_changes) = {
            let mut state = self.lock();
            let leaving = state.endpoints.announced_leaving();
            let unreachable = state.endpoints.unreachable(now_ms);
            let demand = state.demand.take_report();
            let has_news = state.prompts.has_news()
                || state.endpoints.has_limits()
                || !leaving.is_empty()
                || state.endpoints.measures_speeds();
            if demand.is_empty() && was_idle && !has_news {
                return true;
            }
            let prompts = state.prompts.take_report(now_ms);
            let cold_changes = state.endpoints.take_cold_changes(now_ms);
            let limits = state.endpoints.take_limit_reports(now_ms);
            let speeds = state.endpoints.take_speed_reports(now_ms);
            (
                demand,
                leaving,
                unreachable,
                prompts,
                limits,
                speeds,
                cold_changes,
            )
        };
        self.record_cold_changes(&cold_changes);
        let is_idle = demand.is_empty();
        *sequence += 1;
        let report = EntryReport {
            entry: self.config.entry.clone(),
            incarnation: self.incarnation,
            sequence: *sequence,
            address: self.config.listen,
            demand,
            draining_endpoints: leaving,
            unreachable_endpoints: unreachable,
            prompts,
            limits,
            speeds,
        };
        drop(sequence);
        // A failed report is not repeated; the next one follows.
        if let Ok(directive) = self.control.report(report).await {
            self.apply_directive(directive, now_ms);
        }
        is_idle
    }

    /// Logs and counts the begins and ends of cold times. The begin triggers a report, since requests
    /// to the endpoint need permissions.
    fn record_cold_changes(&self, changes: &[ColdChange]) {
        for change in changes {
            let source = change.source.as_str();
            self.metrics.count_cold_change(change.is_cold, source);
            info!(self.logger, "routing: cold time of an endpoint changed";
                "endpoint" => %change.endpoint, "incarnation" => change.incarnation.0,
                "is_cold" => change.is_cold, "remaining_ms" => change.remaining_ms,
                "source" => source, "age_ms" => change.age_ms);
        }
        if changes.iter().any(|change| change.is_cold) {
            self.report_requested.notify_one();
        }
    }

    /// Applies the reply to a report that was sent at `sent_ms`.
    fn apply_directive(&self, directive: EntryDirective, sent_ms: u64) {
        let now = Instant::now();
        let estimates = directive.cold_estimates.into_iter();
        let times = estimates.map(|estimate| {
            let ready_at = now + Duration::from_millis(estimate.ready_in_ms);
            (estimate.model, (ready_at, now))
        });
        let mut state = self.lock();
        state.load_times = times.collect();
        let now_ms = self.clock.now_ms();
        let entries = directive.entry_processes;
        let (changed_limits, may_send) =
            state
                .endpoints
                .apply_limits(&directive.limits, entries, sent_ms, now_ms);
        state.endpoints.apply_speeds(&directive.speeds, now_ms);
        let wants_answers = state.prompts.apply_directive(directive.prompts);
        let cold_changes = state.endpoints.take_cold_changes(now_ms);
        drop(state);
        self.record_cold_changes(&cold_changes);
        if wants_answers {
            self.report_requested.notify_one();
        }
        for endpoint in changed_limits {
            info!(self.logger, "routing: request limit of an endpoint learnt from control";
                "endpoint" => %endpoint);
        }
        if may_send {
            // Wakes requests that wait for a permission.
            self.fleet_changed.send_modify(|_| {});
        }
    }
}
