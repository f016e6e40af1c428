//! Limits on requests that endpoints name, as the leader deals them out to entry processes.

use std::collections::{BTreeMap, BTreeSet};

use slog::{Logger, info};
use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, EntryId, Incarnation};
use wasabipoint_policy::{LimitDealer, NamedLimit};
use wasabipoint_rpc::{EntryReport, LimitDirective, LimitReport};

use crate::context::ControlContext;

/// Time of the clock at the start of a term, in milliseconds, so that earlier responses have a time
/// as well.
const START_MS: u64 = 1_000_000;

/// Time for which entry processes are told that a limit ended, in milliseconds.
const LIFTED_LIMIT_TTL_MS: u64 = 10_000;

/// Maximum number of limits that are considered in one report.
const MAX_LIMITS: usize = 512;

/// The limits of all endpoints in one term of the leader.
#[derive(Debug)]
pub(crate) struct EndpointLimits {
    started_at: Instant,
    dealers: BTreeMap<(EndpointId, Incarnation), LimitDealer>,
}

impl EndpointLimits {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            dealers: BTreeMap::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.started_at.elapsed().as_millis() as u64
    }

    /// Records the limits that an entry process knows, grants permissions, and returns all limits.
    /// `is_listed` tells whether an incarnation of an endpoint is still in the fleet.
    pub(crate) fn record_report(
        &mut self,
        entry: &EntryId,
        reports: &[LimitReport],
        is_listed: impl Fn(&EndpointId, Incarnation) -> bool,
        logger: &Logger,
    ) -> Vec<LimitDirective> {
        let now_ms = self.now_ms();
        let mut wanted = BTreeMap::new();
        for report in reports.iter().take(MAX_LIMITS) {
            if !is_listed(&report.endpoint, report.incarnation) {
                continue;
            }
            self.record_named(entry, report, now_ms, logger);
            wanted.insert((&report.endpoint, report.incarnation), report.wanted);
        }
        self.dealers.retain(|(endpoint, incarnation), dealer| {
            let named = dealer.named();
            let is_current =
                named.rate_per_s.is_some() || now_ms < named.at_ms + LIFTED_LIMIT_TTL_MS;
            is_current && is_listed(endpoint, *incarnation)
        });
        let dealers = self.dealers.iter_mut();
        let directives = dealers.map(|((endpoint, incarnation), dealer)| {
            let wanted = wanted.get(&(endpoint, *incarnation)).copied().unwrap_or(0);
            let grant = dealer.grant(entry, wanted, now_ms);
            let named = dealer.named();
            LimitDirective {
                endpoint: endpoint.clone(),
                incarnation: *incarnation,
                limit_per_1000_s: named.rate_per_s.map(to_per_1000_s),
                age_ms: now_ms.saturating_sub(named.at_ms),
                permissions: grant.permissions,
                ready_in_ms: grant.ready_in_ms,
            }
        });
        directives.collect()
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

    /// Returns the endpoints that receive fewer requests than entry processes want to send.
    pub(crate) fn binding(&self) -> BTreeSet<(EndpointId, Incarnation)> {
        let now_ms = self.now_ms();
        let dealers = self.dealers.iter();
        let binding = dealers.filter(|(_, dealer)| dealer.is_binding(now_ms));
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
                let is_listed = |endpoint: &EndpointId, incarnation| {
                    let view = state.view.endpoints.get(endpoint);
                    view.is_some_and(|view| view.incarnation == incarnation)
                };
                leader
                    .limits
                    .record_report(&report.entry, &report.limits, is_listed, &self.logger)
            })
        })
    }
}

fn to_per_1000_s(rate_per_s: f64) -> u64 {
    (rate_per_s * 1_000.0).floor() as u64
}
