//! Cold endpoints, which tolerate few requests from all entry processes together. Their limit is a
//! source of the same permissions as the limits that endpoints name.

use std::collections::BTreeSet;

use wasabipoint_kernel::{EndpointId, FailureDomain, Incarnation};
use wasabipoint_policy::{ColdSource, ColdStatement, NamedLimit, RequestAllowance};
use wasabipoint_rpc::{ColdDirective, ColdReport, FleetView};

use super::{EndpointState, Endpoints, SelectionCriteria};

/// Time after the return of a failure domain for which the directory may not know of it yet, in
/// milliseconds.
const RETURN_LAG_MS: u64 = 1_000;

/// Time that a process that has just started waits for the leader to say which endpoints are cold,
/// in milliseconds. Without an answer it would otherwise refuse requests until the end of the
/// longest cold time, although control may be unavailable.
const MAX_UNKNOWN_MS: u64 = 3_000;

/// Interval between the requests of one process to an endpoint that may have restarted, in
/// milliseconds. All processes may send one in the same second.
const TRIAL_INTERVAL_MS: u64 = 1_000;

/// Time for which the end of a cold time is reported, in milliseconds.
const ENDED_COLD_TTL_MS: u64 = 10_000;

/// Additional cost of a cold endpoint, as a share of its slots. A warm endpoint in another failure
/// domain is preferred at equal load; a cold one gets requests, and becomes warm, once the others
/// have more load.
pub(super) const COLD_COST: f64 = 0.06;

/// Fleet view that was applied last, as far as cold times depend on it.
#[derive(Debug, Default)]
pub(super) struct ObservedFleet {
    /// Whether a view with endpoints was applied. An empty one is that of a system that starts.
    has_endpoints: bool,
    out_of_service: BTreeSet<FailureDomain>,
}

/// Requests to an endpoint that may have restarted, and be cold, before the directory says so.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RestartTrial {
    /// Time of the last request in milliseconds.
    sent_ms: Option<u64>,
}

/// The begin or end of an endpoint's cold time, as this process knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it is cold now.
    pub is_cold: bool,
    /// Remaining cold time in milliseconds.
    pub remaining_ms: u64,
    /// Origin of the information.
    pub source: ColdSource,
    /// Age of the information in milliseconds.
    pub age_ms: u64,
}

impl EndpointState {
    /// Returns whether the endpoint is cold.
    pub(super) fn is_cold(&self, now_ms: u64) -> bool {
        let allowance = self.allowance.as_ref();
        allowance.is_some_and(|allowance| allowance.is_cold(now_ms))
    }

    /// Records a statement about the cold time, unless the service has no limit for cold endpoints.
    fn record_cold(&mut self, statement: ColdStatement, now_ms: u64) {
        if self.cold_limit.is_none() {
            return;
        }
        match &mut self.allowance {
            Some(allowance) => {
                allowance.record_cold(statement, now_ms);
            }
            None if statement.is_cold(now_ms) => {
                let unlimited = NamedLimit {
                    rate_per_s: None,
                    at_ms: 0,
                };
                let mut allowance = RequestAllowance::new(unlimited, now_ms);
                allowance.record_cold(statement, now_ms);
                self.allowance = Some(allowance);
            }
            None => {}
        }
    }

    /// Begins a trial after a connection was lost or refused.
    pub(super) fn begin_trial(&mut self) {
        if self.cold_limit.is_some() && self.trial.is_none() {
            self.trial = Some(RestartTrial::default());
        }
    }

    /// Returns the time until the next request of a trial, in milliseconds.
    pub(super) fn trial_ready_in_ms(&self, now_ms: u64) -> u64 {
        let sent_ms = self.trial.and_then(|trial| trial.sent_ms);
        sent_ms.map_or(0, |sent_ms| {
            (sent_ms + TRIAL_INTERVAL_MS).saturating_sub(now_ms)
        })
    }

    /// Records that a request is sent to the endpoint.
    pub(super) fn record_trial_send(&mut self, now_ms: u64) {
        if let Some(trial) = &mut self.trial {
            trial.sent_ms = Some(now_ms);
        }
    }

    /// Ends the cold time because the service has no longer a limit for cold endpoints.
    fn lift_cold_limit(&mut self, now_ms: u64) {
        if let Some(allowance) = &mut self.allowance {
            allowance.lift_cold(now_ms);
        }
    }
}

impl Endpoints {
    /// Replaces the endpoints with those of a fleet view. In services with a limit for cold
    /// endpoints, those that appear after the first view and those of failure domains that return
    /// to service are presumed to be cold.
    pub fn update_fleet(&mut self, view: &FleetView, now_ms: u64) {
        let services = view.deployment.as_ref().map(|known| &known.services);
        let is_limited = services.is_some_and(|services| {
            services
                .values()
                .any(|service| service.cold_limit.is_some())
        });
        let mut known: BTreeSet<(EndpointId, Incarnation)> = BTreeSet::new();
        if is_limited {
            let states = self.states.values();
            known.extend(states.map(|state| (state.view.id.clone(), state.view.incarnation)));
        }
        self.update(&view.endpoints);
        let next = ObservedFleet {
            has_endpoints: self.observed.has_endpoints || !view.endpoints.is_empty(),
            out_of_service: view.out_of_service.clone(),
        };
        let observed = std::mem::replace(&mut self.observed, next);
        let returned: BTreeSet<_> = observed
            .out_of_service
            .difference(&view.out_of_service)
            .collect();
        for state in self.states.values_mut() {
            let service = services.and_then(|services| services.get(&state.view.service));
            let limit = service.and_then(|service| service.cold_limit);
            let had_limit = std::mem::replace(&mut state.cold_limit, limit).is_some();
            let Some(limit) = limit else {
                if had_limit {
                    state.lift_cold_limit(now_ms);
                }
                continue;
            };
            let is_known = known.contains(&(state.view.id.clone(), state.view.incarnation));
            let statement = if returned.contains(&state.view.failure_domain) {
                ColdStatement::presumed(limit.start_ms, RETURN_LAG_MS, now_ms)
            } else if !is_known && observed.has_endpoints {
                ColdStatement::presumed(limit.start_ms, 0, now_ms)
            } else if !had_limit {
                ColdStatement {
                    until_ms: now_ms + MAX_UNKNOWN_MS.min(limit.start_ms),
                    stated_ms: 0,
                    source: ColdSource::Unknown,
                }
            } else {
                continue;
            };
            state.record_cold(statement, now_ms);
        }
    }

    /// Records that a connection to an endpoint was lost. It may have restarted, and the directory
    /// lists the new incarnation only at the next poll: until a response says more, one request is
    /// sent per `TRIAL_INTERVAL_MS`. Only in services with a limit for cold endpoints.
    pub fn record_lost_connection(&mut self, endpoint: &EndpointId, incarnation: Incarnation) {
        if let Some(state) = self.state_mut(endpoint, incarnation) {
            state.begin_trial();
        }
    }

    /// Records the remaining cold time that a response states, if it does.
    pub fn record_response(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        cold_remaining_ms: Option<u64>,
        now_ms: u64,
    ) {
        let Some(state) = self.state_mut(endpoint, incarnation) else {
            return;
        };
        state.trial = None;
        if let Some(remaining_ms) = cold_remaining_ms {
            let statement = ColdStatement::new(remaining_ms, now_ms, ColdSource::Response);
            state.record_cold(statement, now_ms);
        }
    }

    /// Records what the leader knows about the cold time of an endpoint, in the reply to a report
    /// that was sent at `sent_ms`. Returns whether this ended the cold time.
    pub(super) fn record_cold_directive(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        directive: ColdDirective,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(state) = self.state_mut(endpoint, incarnation) else {
            return false;
        };
        let was_cold = state.is_cold(now_ms);
        let (remaining_ms, age_ms) = (directive.remaining_ms, directive.age_ms);
        let statement = ColdStatement::aged(remaining_ms, age_ms, sent_ms, now_ms);
        state.record_cold(statement, now_ms);
        if let Some(allowance) = &mut state.allowance {
            let issued_per_s = directive.issued_per_1000_s as f64 / 1_000.0;
            allowance.record_cold_rate(issued_per_s, directive.has_share);
        }
        was_cold && !state.is_cold(now_ms)
    }

    /// Returns whether an endpoint that could serve a request is cold and has no permission for it.
    pub fn has_cold(&self, criteria: &SelectionCriteria<'_>, now_ms: u64) -> bool {
        let mut limited = self.limited_endpoints(criteria, now_ms);
        limited.any(|state| state.is_cold(now_ms))
    }

    /// Returns the begins and ends of cold times since the last call.
    pub fn take_cold_changes(&mut self, now_ms: u64) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for state in self.states.values_mut() {
            let is_cold = state.is_cold(now_ms);
            if std::mem::replace(&mut state.was_cold, is_cold) == is_cold {
                continue;
            }
            let statement = state.allowance.as_ref().and_then(RequestAllowance::cold);
            changes.push(ColdChange {
                endpoint: state.view.id.clone(),
                incarnation: state.view.incarnation,
                is_cold,
                remaining_ms: statement.map_or(0, |statement| statement.remaining_ms(now_ms)),
                source: statement.map_or(ColdSource::Unknown, |statement| statement.source),
                age_ms: statement.map_or(0, |statement| now_ms.saturating_sub(statement.stated_ms)),
            });
        }
        changes
    }
}

/// Returns what is reported to the leader about the cold time of an endpoint.
pub(super) fn cold_report(allowance: &RequestAllowance, now_ms: u64) -> Option<ColdReport> {
    let statement = allowance.cold()?;
    if statement.source == ColdSource::Unknown {
        return None;
    }
    Some(ColdReport {
        remaining_ms: statement.remaining_ms(now_ms),
        age_ms: now_ms.saturating_sub(statement.stated_ms),
    })
}

/// Returns whether the cold time of an endpoint is over for so long that it is no longer reported.
pub(super) fn is_forgotten(allowance: &RequestAllowance, now_ms: u64) -> bool {
    let statement = allowance.cold();
    statement.is_none_or(|statement| {
        let ended_ms = statement.until_ms.max(statement.stated_ms);
        now_ms >= ended_ms + ENDED_COLD_TTL_MS
    })
}
