//! What the leader knows about the remaining cold time of endpoints in its term. No I/O, and no clock of
//! its own.

use std::collections::{BTreeMap, BTreeSet};

use slog::{Logger, info};
use wasabipoint_kernel::{ColdLimit, EndpointId, FailureDomain, Incarnation};
use wasabipoint_policy::{COLD_TAKEOVER_MS, ColdSource, ColdStatement};
use wasabipoint_rpc::{ColdReport, EndpointView, FleetView};

use super::START_MS;

/// Time after the return of a failure domain for which the directory may not know of it yet, in
/// milliseconds.
const RETURN_LAG_MS: u64 = 1_000;

/// An incarnation of an endpoint.
pub type EndpointKey = (EndpointId, Incarnation);

/// The remaining cold time of one endpoint.
#[derive(Debug)]
pub struct KnownCold {
    /// The latest statement.
    pub statement: ColdStatement,
    /// Whether the cold time began in this term, so that no earlier leader issued permissions or
    /// shares for it.
    pub has_begun_in_term: bool,
    /// Whether the endpoint was last logged as cold.
    is_logged: bool,
}

/// The cold endpoints of all services that have a limit for them.
#[derive(Debug, Default)]
pub struct ColdEndpoints {
    known: BTreeMap<EndpointKey, KnownCold>,
    /// Time at which the last page of the directory was fetched; `None` before the first one.
    listed_ms: Option<u64>,
    /// Whether the directory named a remaining cold time in this term. Endpoints for which it
    /// names none are then not cold.
    is_stated: bool,
    /// Failure domains that were out of service when last seen; `None` before.
    out_of_service: Option<BTreeSet<FailureDomain>>,
}

/// Returns the limit of cold endpoints in the service of an endpoint.
pub(super) fn cold_limit(view: &FleetView, endpoint: &EndpointView) -> Option<ColdLimit> {
    let deployment = view.deployment.as_ref()?;
    deployment.services.get(&endpoint.service)?.cold_limit
}

impl ColdEndpoints {
    /// Presumes that the endpoints of failure domains that returned to service are cold.
    pub fn observe_domains(&mut self, view: &FleetView, now_ms: u64) {
        let known = self.out_of_service.as_ref();
        if known == Some(&view.out_of_service) {
            return;
        }
        let known = self.out_of_service.replace(view.out_of_service.clone());
        let known = known.unwrap_or_default();
        let returned: BTreeSet<_> = known.difference(&view.out_of_service).collect();
        for endpoint in view.endpoints.values() {
            if !returned.contains(&endpoint.failure_domain) {
                continue;
            }
            if let Some(limit) = cold_limit(view, endpoint) {
                let statement = ColdStatement::presumed(limit.start_ms, RETURN_LAG_MS, now_ms);
                self.record(key_of(endpoint), statement, true);
            }
        }
    }

    /// Records a list of the directory that was fetched at `fetched_ms`, before its changes are
    /// applied to the view, and forgets endpoints that are gone. An endpoint that is new in the view has just started, unless the view
    /// is empty because the whole system has.
    pub fn record_list(
        &mut self,
        listed: &[EndpointView],
        remaining_ms: &BTreeMap<EndpointKey, u64>,
        view: &FleetView,
        fetched_ms: u64,
        now_ms: u64,
    ) {
        self.listed_ms = Some(fetched_ms);
        self.is_stated |= !remaining_ms.is_empty();
        let can_recognize_new = !view.endpoints.is_empty();
        // The view of a new leader may still lack endpoints that its predecessor listed.
        let is_view_complete = now_ms >= START_MS + COLD_TAKEOVER_MS;
        for endpoint in listed {
            let Some(limit) = cold_limit(view, endpoint) else {
                continue;
            };
            let key = key_of(endpoint);
            let viewed = view.endpoints.get(&endpoint.id);
            let is_new = viewed.is_none_or(|viewed| viewed.incarnation != endpoint.incarnation);
            let has_begun_in_term = is_new && is_view_complete;
            let remaining_ms = remaining_ms.get(&key).copied();
            let remaining_ms = remaining_ms.or(self.is_stated.then_some(0));
            let statement = match remaining_ms {
                Some(remaining_ms) => {
                    ColdStatement::new(remaining_ms, fetched_ms, ColdSource::Directory)
                }
                None if is_new && can_recognize_new && !self.known.contains_key(&key) => {
                    ColdStatement::presumed(limit.start_ms, 0, now_ms)
                }
                None => continue,
            };
            self.record(key, statement, has_begun_in_term);
        }
        let listed: BTreeSet<EndpointKey> = listed.iter().map(key_of).collect();
        self.known.retain(|key, _| {
            let viewed = view.endpoints.get(&key.0);
            listed.contains(key) || viewed.is_some_and(|viewed| viewed.incarnation == key.1)
        });
    }

    /// Records what an entry process knows about an endpoint.
    pub fn record_report(&mut self, key: EndpointKey, report: ColdReport, now_ms: u64) {
        let statement = ColdStatement::aged(report.remaining_ms, report.age_ms, now_ms, now_ms);
        self.record(key, statement, false);
    }

    fn record(&mut self, key: EndpointKey, statement: ColdStatement, has_begun_in_term: bool) {
        let Some(known) = self.known.get_mut(&key) else {
            let known = KnownCold {
                statement,
                has_begun_in_term,
                is_logged: false,
            };
            self.known.insert(key, known);
            return;
        };
        let is_newer = known.statement.update(statement);
        if is_newer && statement.source == ColdSource::Presumed {
            known.has_begun_in_term = has_begun_in_term;
        }
    }

    /// Returns the latest statement about an endpoint. One for which there is none is not cold, as
    /// far as the directory was read and the entry process that asks knows of nothing else.
    pub fn statement(&self, key: &EndpointKey, is_presumed: bool) -> Option<ColdStatement> {
        if let Some(known) = self.known.get(key) {
            return Some(known.statement);
        }
        let listed_ms = self.listed_ms.filter(|_| !is_presumed)?;
        Some(ColdStatement::new(0, listed_ms, ColdSource::Directory))
    }

    /// Returns all endpoints about which something is known.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointKey, &KnownCold)> {
        self.known.iter()
    }

    /// Logs the begin and end of cold times, and returns the number of cold endpoints.
    pub fn log_changes(&mut self, now_ms: u64, logger: &Logger) -> usize {
        let mut cold = 0;
        for ((endpoint, incarnation), known) in &mut self.known {
            let statement = known.statement;
            let is_cold = statement.is_cold(now_ms);
            cold += usize::from(is_cold);
            if std::mem::replace(&mut known.is_logged, is_cold) == is_cold {
                continue;
            }
            info!(logger, "placement: cold time of an endpoint changed";
                "endpoint" => %endpoint, "incarnation" => incarnation.0, "is_cold" => is_cold,
                "remaining_ms" => statement.remaining_ms(now_ms),
                "source" => statement.source.as_str(),
                "age_ms" => now_ms.saturating_sub(statement.stated_ms),
                "has_begun_in_term" => known.has_begun_in_term);
        }
        cold
    }
}

fn key_of(endpoint: &EndpointView) -> EndpointKey {
    (endpoint.id.clone(), endpoint.incarnation)
}
