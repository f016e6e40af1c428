//! Limits on requests that endpoints name, and limits of cold endpoints, as the leader deals them out
//! to entry processes.

mod cold;

use std::collections::{BTreeMap, BTreeSet};

use slog::{Logger, info};
use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, EntryId, Incarnation};
use wasabipoint_policy::{
    COLD_TAKEOVER_MS, ColdMargins, ColdRate, ColdStatement, LimitDealer, NamedLimit,
    PERMISSION_LIFETIME_MS,
};
use wasabipoint_rpc::{
    ColdDirective, EndpointView, EntryReport, FleetView, LimitDirective, LimitReport,
};

use crate::context::ControlContext;
use crate::directory::EndpointList;
use cold::cold_limit;

pub use cold::{ColdEndpoints, EndpointKey, KnownCold};

/// Time of the clock at the start of a term, in milliseconds, so that earlier responses have a time
/// as well.
pub(crate) const START_MS: u64 = 1_000_000;

/// Time for which entry processes are told that a limit ended, in milliseconds.
const LIFTED_LIMIT_TTL_MS: u64 = 10_000;

/// Maximum number of limits that are considered in one report.
const MAX_LIMITS: usize = 512;

/// The limits of all endpoints in one term of the leader.
#[derive(Debug)]
pub(crate) struct EndpointLimits {
    started_at: Instant,
    dealers: BTreeMap<EndpointKey, LimitDealer>,
    cold: ColdEndpoints,
    cold_margins: ColdMargins,
}

impl EndpointLimits {
    pub(crate) fn new(cold_margins: ColdMargins) -> Self {
        Self {
            started_at: Instant::now(),
            dealers: BTreeMap::new(),
            cold: ColdEndpoints::default(),
            cold_margins,
        }
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.started_at.elapsed().as_millis() as u64
    }

    /// Records the cold times in a list of the directory that was fetched at `fetched_at`, before its
    /// changes are applied to the view. Returns the number of cold endpoints.
    fn record_list(
        &mut self,
        listed: &EndpointList,
        fetched_at: Instant,
        view: &FleetView,
        logger: &Logger,
    ) -> usize {
        let now_ms = self.now_ms();
        let fetched_ms = now_ms.saturating_sub(fetched_at.elapsed().as_millis() as u64);
        self.cold.observe_domains(view, now_ms);
        self.cold.record_list(
            &listed.endpoints,
            &listed.cold_remaining_ms,
            view,
            fetched_ms,
            now_ms,
        );
        self.cold.log_changes(now_ms, logger)
    }

    /// Records the limits that an entry process knows, grants permissions, and returns all limits,
    /// and what is known about the cold times that it asked for.
    fn record_report(
        &mut self,
        entry: &EntryId,
        reports: &[LimitReport],
        view: &FleetView,
        logger: &Logger,
    ) -> Vec<LimitDirective> {
        let now_ms = self.now_ms();
        self.cold.observe_domains(view, now_ms);
        let mut wanted = BTreeMap::new();
        let mut asked = Vec::new();
        for report in reports.iter().take(MAX_LIMITS) {
            let Some(endpoint) = listed_endpoint(view, &report.endpoint, report.incarnation) else {
                continue;
            };
            self.record_named(entry, report, now_ms, logger);
            let key = (report.endpoint.clone(), report.incarnation);
            if cold_limit(view, endpoint).is_some() {
                if let Some(cold) = report.cold {
                    self.cold.record_report(key.clone(), cold, now_ms);
                }
                asked.push((key.clone(), report.cold.is_some()));
            }
            wanted.insert(key, report.wanted);
        }
        self.update_cold_dealers(view, now_ms);
        let cold = &self.cold;
        self.dealers.retain(|key, dealer| {
            let named = dealer.named();
            let ended_ms = cold.statement(key, true).map_or(0, |cold| cold.until_ms);
            let is_current = named.rate_per_s.is_some()
                || now_ms < named.at_ms.max(ended_ms) + LIFTED_LIMIT_TTL_MS;
            is_current && listed_endpoint(view, &key.0, key.1).is_some()
        });
        let dealers = self.dealers.iter_mut();
        let mut directives: Vec<LimitDirective> = dealers
            .map(|(key, dealer)| {
                let wanted = wanted.get(key).copied().unwrap_or(0);
                build_directive(key, dealer, entry, wanted, cold, now_ms)
            })
            .collect();
        let answered = asked
            .into_iter()
            .filter(|(key, _)| !self.dealers.contains_key(key));
        directives.extend(answered.filter_map(|(key, is_presumed)| {
            let statement = cold.statement(&key, is_presumed)?;
            Some(LimitDirective {
                endpoint: key.0,
                incarnation: key.1,
                limit_per_1000_s: None,
                age_ms: u64::MAX,
                permissions: 0,
                lifetime_ms: PERMISSION_LIFETIME_MS,
                ready_in_ms: 0,
                cold: Some(cold_directive(statement, None, false, now_ms)),
            })
        }));
        directives
    }

    /// Sets the limits of cold endpoints, and ends those of endpoints that are no longer cold.
    fn update_cold_dealers(&mut self, view: &FleetView, now_ms: u64) {
        for (key, known) in self.cold.iter() {
            let Some(endpoint) = listed_endpoint(view, &key.0, key.1) else {
                continue;
            };
            let limit = cold_limit(view, endpoint);
            let until_ms = match limit {
                Some(_) => known.statement.until_ms,
                None => now_ms,
            };
            let is_cold = now_ms < until_ms;
            if !is_cold && !self.dealers.contains_key(key) {
                continue;
            }
            let tolerated_per_s =
                limit.map_or(0.0, |limit| limit.requests_per_1000_s as f64 / 1_000.0);
            let rate = ColdRate::new(tolerated_per_s, self.cold_margins);
            // Permissions of an earlier leader may be in use until then.
            let from_ms = if known.has_begun_in_term {
                now_ms
            } else {
                START_MS + COLD_TAKEOVER_MS
            };
            let unlimited = NamedLimit {
                rate_per_s: None,
                at_ms: 0,
            };
            let dealer = self.dealers.entry(key.clone());
            let dealer = dealer.or_insert_with(|| LimitDealer::new(unlimited, now_ms));
            dealer.set_cold(until_ms, rate, from_ms, now_ms);
            dealer.set_assigns_shares(known.has_begun_in_term);
        }
    }

    fn record_named(
        &mut self,
        entry: &EntryId,
        report: &LimitReport,
        now_ms: u64,
        logger: &Logger,
    ) {
        let named = NamedLimit {
            rate_per_s: report.limit_per_1000_s.map(|limit| limit as f64 / 1_000.0),
            at_ms: now_ms.saturating_sub(report.age_ms),
        };
        let key = (report.endpoint.clone(), report.incarnation);
        let known = self.dealers.get(&key).map(LimitDealer::named);
        if known.is_none() && named.rate_per_s.is_none() {
            return;
        }
        let dealer = self
            .dealers
            .entry(key)
            .or_insert_with(|| LimitDealer::new(named, now_ms));
        dealer.record_named(named, now_ms);
        let rate_per_s = dealer.named().rate_per_s;
        if known.is_none_or(|known| known.rate_per_s != rate_per_s) {
            info!(logger, "placement: request limit of an endpoint changed";
                "endpoint" => %report.endpoint, "incarnation" => report.incarnation.0,
                "limit_per_s" => rate_per_s, "entry" => %entry, "age_ms" => report.age_ms);
        }
    }

    /// Returns the endpoints that receive fewer requests than entry processes want to send, because
    /// they named a limit. Cold endpoints are not among them: they become warm sooner than a model
    /// is loaded elsewhere, and all endpoints may be cold at once.
    pub(crate) fn binding(&self) -> BTreeSet<(EndpointId, Incarnation)> {
        let now_ms = self.now_ms();
        let dealers = self.dealers.iter();
        let binding = dealers
            .filter(|(_, dealer)| dealer.named().rate_per_s.is_some() && dealer.is_binding(now_ms));
        binding.map(|(key, _)| key.clone()).collect()
    }
}

impl ControlContext {
    /// Records the limits that an entry process knows, and returns all limits with its permissions.
    pub(crate) fn record_limit_report(
        &self,
        term: u64,
        report: &EntryReport,
    ) -> Vec<LimitDirective> {
        self.with_leader_state(term, |leader| {
            self.member.read(|state| {
                leader.limits.record_report(
                    &report.entry,
                    &report.limits,
                    &state.view,
                    &self.logger,
                )
            })
        })
    }

    /// Records the cold times in a list of the directory, before its changes are committed.
    pub(crate) fn record_cold_times(&self, term: u64, listed: &EndpointList, fetched_at: Instant) {
        let cold = self.with_leader_state(term, |leader| {
            self.member.read(|state| {
                leader
                    .limits
                    .record_list(listed, fetched_at, &state.view, &self.logger)
            })
        });
        self.metrics.set_cold_endpoints(cold as u64);
    }
}

/// Returns an endpoint of the view if it has this incarnation.
fn listed_endpoint<'v>(
    view: &'v FleetView,
    endpoint: &EndpointId,
    incarnation: Incarnation,
) -> Option<&'v EndpointView> {
    let listed = view.endpoints.get(endpoint);
    listed.filter(|listed| listed.incarnation == incarnation)
}

fn build_directive(
    key: &EndpointKey,
    dealer: &mut LimitDealer,
    entry: &EntryId,
    wanted: u32,
    cold: &ColdEndpoints,
    now_ms: u64,
) -> LimitDirective {
    let grant = dealer.grant(entry, wanted, now_ms);
    let named = dealer.named();
    let has_share = dealer.assign_share(entry, now_ms);
    let statement = cold.statement(key, true);
    LimitDirective {
        endpoint: key.0.clone(),
        incarnation: key.1,
        limit_per_1000_s: named.rate_per_s.map(to_per_1000_s),
        age_ms: match named.rate_per_s {
            // No response named a limit or its end.
            None if named.at_ms == 0 => u64::MAX,
            _ => now_ms.saturating_sub(named.at_ms),
        },
        permissions: grant.permissions,
        lifetime_ms: grant.lifetime_ms,
        ready_in_ms: grant.ready_in_ms,
        cold: statement.map(|statement| {
            cold_directive(statement, dealer.cold_rate(now_ms), has_share, now_ms)
        }),
    }
}

fn cold_directive(
    statement: ColdStatement,
    rate: Option<ColdRate>,
    has_share: bool,
    now_ms: u64,
) -> ColdDirective {
    ColdDirective {
        remaining_ms: statement.remaining_ms(now_ms),
        age_ms: now_ms.saturating_sub(statement.stated_ms),
        issued_per_1000_s: rate.map_or(0, |rate| to_per_1000_s(rate.issued_per_s)),
        has_share,
    }
}

fn to_per_1000_s(rate_per_s: f64) -> u64 {
    (rate_per_s * 1_000.0).floor() as u64
}
