//! Endpoint discovery: the leader polls the directory and commits the differences.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use slog::{info, warn};
use tokio::time::{Instant, MissedTickBehavior};
use wasabipoint_kernel::{EndpointId, EntryId, Incarnation, SoftwareVersion};
use wasabipoint_rpc::EndpointView;

use crate::context::ControlContext;
use crate::state::{Command, EndpointChanges};

/// Interval between polls. It is a fraction of the drain time, which is a few seconds, so that a
/// leaving endpoint gets no new requests long before it stops.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// The complete list of a directory.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointList {
    /// Endpoints that are live or leaving.
    pub endpoints: Vec<EndpointView>,
    /// Number of entries that cannot be read. They name no endpoint.
    pub unreadable_entries: usize,
    /// Remaining cold time of endpoints in milliseconds, as far as the directory states it.
    pub cold_remaining_ms: BTreeMap<(EndpointId, Incarnation), u64>,
}

impl From<Vec<EndpointView>> for EndpointList {
    fn from(endpoints: Vec<EndpointView>) -> Self {
        Self {
            endpoints,
            unreadable_entries: 0,
            cold_remaining_ms: BTreeMap::new(),
        }
    }
}

/// Source of the endpoints that are live or leaving.
pub trait EndpointDirectory: Send + Sync + 'static {
    /// Returns the complete list, or the reason why it is unavailable.
    fn list(&self) -> BoxFuture<'_, Result<EndpointList, String>>;
}

/// Polls the directory while this member leads and commits the differences.
pub(crate) async fn poll_directory(
    control: Arc<ControlContext>,
    directory: Arc<dyn EndpointDirectory>,
) {
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_unavailable = false;
    let mut unreadable_entries = 0;
    loop {
        interval.tick().await;
        if control.member.leading_term().is_none() {
            continue;
        }
        let fetched_at = Instant::now();
        let polled = tokio::time::timeout(POLL_TIMEOUT, directory.list()).await;
        match polled.unwrap_or_else(|_| Err("the poll timed out".to_owned())) {
            Ok(list) => {
                let before = std::mem::replace(&mut unreadable_entries, list.unreadable_entries);
                if before != unreadable_entries {
                    warn!(control.logger, "control: entries of the endpoint directory cannot be read";
                        "entries" => unreadable_entries, "before" => before,
                        "readable" => list.endpoints.len());
                }
                if std::mem::take(&mut is_unavailable) {
                    info!(
                        control.logger,
                        "control: the endpoint directory is available again"
                    );
                }
                sync_endpoints(&control, list, fetched_at).await;
            }
            Err(detail) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    warn!(control.logger, "control: the endpoint directory is unavailable";
                        "detail" => detail);
                }
            }
        }
    }
}

async fn sync_endpoints(control: &ControlContext, list: EndpointList, fetched_at: Instant) {
    let Some(term) = control.member.leading_term() else {
        return;
    };
    control.record_cold_times(term, &list, fetched_at);
    let listed = list.endpoints;
    let listed = control.with_leader_state(term, |leader_state| {
        leader_state.engines.apply_overrides(listed)
    });
    let changes = control
        .member
        .read(|state| diff_endpoints(&state.view.endpoints, listed));
    if changes.put.is_empty() && changes.removed.is_empty() && !has_retired_base(control).await {
        return;
    }
    for endpoint in &changes.put {
        info!(control.logger, "control: endpoint changed"; "endpoint" => %endpoint.id,
            "incarnation" => endpoint.incarnation.0, "address" => %endpoint.address,
            "service" => %endpoint.service, "is_leaving" => endpoint.is_leaving,
            "models" => endpoint.models.len(),
            "software_version" => %endpoint.software_version);
    }
    for endpoint in &changes.removed {
        info!(control.logger, "control: endpoint gone"; "endpoint" => %endpoint);
    }
    commit_endpoint_changes(control, changes).await;
}

/// Returns whether the base version of a service is to be replaced, which any change of the endpoints
/// does, also an empty one.
async fn has_retired_base(control: &ControlContext) -> bool {
    match control.member.log_time_ms().await {
        Ok(now_ms) => control.member.read(|state| state.has_retired_base(now_ms)),
        Err(_) => false,
    }
}

/// Commits that endpoints of the directory leave, as an entry process learnt from their responses.
pub(crate) async fn mark_endpoints_leaving(
    control: &ControlContext,
    entry: &EntryId,
    leaving: &[(EndpointId, Incarnation)],
) {
    let newly_leaving = control.member.read(|state| {
        let known = leaving.iter().filter_map(|(id, incarnation)| {
            let endpoint = state.view.endpoints.get(id)?;
            let is_new = endpoint.incarnation == *incarnation && !endpoint.is_leaving;
            is_new.then(|| EndpointView {
                is_leaving: true,
                ..endpoint.clone()
            })
        });
        known.collect::<Vec<_>>()
    });
    if newly_leaving.is_empty() {
        return;
    }
    for endpoint in &newly_leaving {
        info!(control.logger, "control: endpoint announced that it leaves";
            "endpoint" => %endpoint.id, "incarnation" => endpoint.incarnation.0,
            "service" => %endpoint.service, "entry" => %entry);
    }
    let changes = EndpointChanges {
        put: newly_leaving,
        removed: Vec::new(),
    };
    commit_endpoint_changes(control, changes).await;
    control.wake_engine_planner.notify_one();
}

/// Commits endpoint changes. A failure is only logged, since the next poll finds the same
/// difference.
pub(crate) async fn commit_endpoint_changes(control: &ControlContext, changes: EndpointChanges) {
    let read_base = || {
        control
            .member
            .read(|state| state.view.base_versions.clone())
    };
    let before = read_base();
    let proposed = control.member.propose(Command::ChangeEndpoints(changes));
    if let Err(error) = proposed.await {
        warn!(control.logger, "control: endpoint changes were not committed";
            "error" => %error);
    }
    for (service, version) in read_base() {
        let before = before.get(&service);
        if before != Some(&version) {
            info!(control.logger, "control: base version of a service changed";
                "service" => %service, "software_version" => %version,
                "before" => before.map(SoftwareVersion::as_str));
        }
    }
}

fn diff_endpoints(
    known: &BTreeMap<EndpointId, EndpointView>,
    listed: Vec<EndpointView>,
) -> EndpointChanges {
    let mut put = Vec::new();
    let mut removed = known.clone();
    for mut endpoint in listed {
        let before = removed.remove(&endpoint.id);
        // The directory may not know yet that an endpoint leaves. An incarnation never returns.
        endpoint.is_leaving |= before
            .as_ref()
            .is_some_and(|before| before.is_leaving && before.incarnation == endpoint.incarnation);
        if before.as_ref() != Some(&endpoint) {
            put.push(endpoint);
        }
    }
    EndpointChanges {
        put,
        removed: removed.into_keys().collect(),
    }
}
