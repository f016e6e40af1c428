//! Limits that endpoints name and those of cold endpoints, and the permissions of this entry process
//! to send requests to them.

use wasabipoint_kernel::{EndpointId, Incarnation};
use wasabipoint_policy::{NamedLimit, PermissionGrant, RequestAllowance};
use wasabipoint_rpc::{LimitDirective, LimitReport};

use super::cold::{COLD_COST, cold_report, is_forgotten};
use super::{EndpointState, Endpoints, SelectedEndpoint, SelectionCriteria, estimated_load};
use crate::forward::dialect::RequestLimit;

/// Time for which the end of a limit is reported, in milliseconds.
const LIFTED_LIMIT_TTL_MS: u64 = 10_000;

impl Endpoints {
    /// Selects an endpoint, counts the request as sent and uses the permission that its limit
    /// requires. Counts the permissions that the request would have needed at endpoints with less
    /// load.
    pub fn take(
        &mut self,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> Option<SelectedEndpoint> {
        let selected = self.select(criteria, now_ms);
        self.count_wanted(criteria, selected.as_ref(), now_ms);
        let mut selected = selected?;
        let entry_processes = self.entry_processes;
        let state = self.states.get_mut(&selected.endpoint.id)?;
        if let Some(allowance) = &mut state.allowance {
            allowance.take(entry_processes, now_ms);
        }
        state.record_trial_send(now_ms);
        selected.is_first_after_pause = state.availability.record_send(now_ms);
        Some(selected)
    }

    /// Counts a permission as wanted at each endpoint whose limit prevents the request and which has
    /// less load than the selected one.
    fn count_wanted(
        &mut self,
        criteria: &SelectionCriteria<'_>,
        selected: Option<&SelectedEndpoint>,
        now_ms: u64,
    ) {
        if !self.has_limits() {
            return;
        }
        let mean = self.mean_load(criteria.service, now_ms);
        let wanted: Vec<EndpointId> = self
            .limited_endpoints(criteria, now_ms)
            .filter(|state| {
                let mut load = estimated_load(state, mean, now_ms);
                if state.is_cold(now_ms) {
                    load += COLD_COST * f64::from(state.view.concurrency.max(1));
                }
                selected.is_none_or(|selected| load < f64::from(selected.load))
            })
            .map(|state| state.view.id.clone())
            .collect();
        for id in wanted {
            let allowance = self
                .states
                .get_mut(&id)
                .and_then(|state| state.allowance.as_mut());
            if let Some(allowance) = allowance {
                allowance.want();
            }
        }
    }

    /// Returns the endpoints that could serve a request if they did not pause and their limit allowed
    /// it.
    pub(super) fn limited_endpoints(
        &self,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> impl Iterator<Item = &EndpointState> {
        let entry_processes = self.entry_processes;
        self.eligible_endpoints(criteria, now_ms)
            .filter(move |state| !state.can_send(entry_processes, now_ms))
    }

    /// Returns the time in milliseconds until the pause of an endpoint ends and its limit is expected
    /// to allow a request, or `None` if neither prevents it.
    pub fn permission_ready_in_ms(
        &self,
        criteria: &SelectionCriteria<'_>,
        now_ms: u64,
    ) -> Option<u64> {
        let limited = self.limited_endpoints(criteria, now_ms);
        let ready_in_ms = limited.map(|state| {
            let allowance = state.allowance.as_ref();
            let limit_allows_in_ms = allowance.map_or(0, |allowance| allowance.ready_in_ms(now_ms));
            limit_allows_in_ms
                .max(state.availability.ready_in_ms(now_ms))
                .max(state.trial_ready_in_ms(now_ms))
        });
        ready_in_ms.min()
    }

    /// Records the limit that the head of a response names, or that it names none. Returns whether
    /// the limit changed.
    pub fn record_limit(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        limit: RequestLimit,
        now_ms: u64,
    ) -> bool {
        let rate_per_s = match limit {
            RequestLimit::None => None,
            RequestLimit::PerSecond(rate_per_s) => Some(rate_per_s),
            RequestLimit::Unreadable => return false,
        };
        let at_ms = now_ms;
        let named = NamedLimit { rate_per_s, at_ms };
        self.record_named(endpoint, incarnation, named, now_ms)
    }

    fn record_named(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        named: NamedLimit,
        now_ms: u64,
    ) -> bool {
        let Some(state) = self.state_mut(endpoint, incarnation) else {
            return false;
        };
        match &mut state.allowance {
            Some(allowance) => allowance.record_named(named),
            None if named.rate_per_s.is_none() => false,
            None => {
                state.allowance = Some(RequestAllowance::new(named, now_ms));
                true
            }
        }
    }

    /// Returns the limits to report to the leader, with the permissions to request.
    pub fn take_limit_reports(&mut self, now_ms: u64) -> Vec<LimitReport> {
        let mut reports = Vec::new();
        for state in self.states.values_mut() {
            let Some(allowance) = &mut state.allowance else {
                continue;
            };
            let named = allowance.named();
            let age_ms = match named.rate_per_s {
                // No response named a limit or its end.
                None if named.at_ms == 0 => u64::MAX,
                _ => now_ms.saturating_sub(named.at_ms),
            };
            let has_ended = named.rate_per_s.is_none() && age_ms > LIFTED_LIMIT_TTL_MS;
            if has_ended && is_forgotten(allowance, now_ms) {
                state.allowance = None;
                continue;
            }
            reports.push(LimitReport {
                endpoint: state.view.id.clone(),
                incarnation: state.view.incarnation,
                limit_per_1000_s: named
                    .rate_per_s
                    .map(|rate_per_s| (rate_per_s * 1_000.0) as u64),
                age_ms,
                wanted: allowance.take_wanted(),
                cold: cold_report(allowance, now_ms),
            });
        }
        reports
    }

    /// Applies the leader's reply to a report that was sent at `sent_ms`. Returns the endpoints whose
    /// limit changed, and whether requests that wait for a permission may be sent now.
    pub fn apply_limits(
        &mut self,
        directives: &[LimitDirective],
        entry_processes: u32,
        sent_ms: u64,
        now_ms: u64,
    ) -> (Vec<EndpointId>, bool) {
        self.entry_processes = entry_processes.max(1);
        let (mut changed, mut may_send) = (Vec::new(), false);
        for directive in directives {
            let named = NamedLimit {
                rate_per_s: directive
                    .limit_per_1000_s
                    .map(|limit| limit as f64 / 1_000.0),
                at_ms: now_ms.saturating_sub(directive.age_ms),
            };
            let (endpoint, incarnation) = (&directive.endpoint, directive.incarnation);
            if self.record_named(endpoint, incarnation, named, now_ms) {
                changed.push(endpoint.clone());
            }
            if let Some(cold) = directive.cold {
                may_send |=
                    self.record_cold_directive(endpoint, incarnation, cold, sent_ms, now_ms);
            }
            let state = self.state_mut(endpoint, incarnation);
            if let Some(allowance) = state.and_then(|state| state.allowance.as_mut()) {
                let grant = PermissionGrant {
                    permissions: directive.permissions,
                    lifetime_ms: directive.lifetime_ms,
                    ready_in_ms: directive.ready_in_ms,
                };
                allowance.add(grant, sent_ms, now_ms);
                may_send |= directive.permissions > 0;
            }
        }
        let may_send = may_send || !changed.is_empty();
        (changed, may_send)
    }

    /// Returns whether an endpoint named a limit or is cold, so that reports to the leader are due.
    pub fn has_limits(&self) -> bool {
        self.states.values().any(|state| state.allowance.is_some())
    }
}
