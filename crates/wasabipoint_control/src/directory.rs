//! The list of endpoints, polled by the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use slog::{info, warn};
use tokio::time::MissedTickBehavior;
use wasabipoint_kernel::EndpointId;
use wasabipoint_rpc::EndpointView;

use crate::control::ControlContext;
use crate::state::{Command, EndpointChanges};

/// Pause between polls. A leaving endpoint has to be known well within the drain bound of seconds.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time for one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// A list of the endpoints that are live or leaving.
pub trait EndpointDirectory: Send + Sync + 'static {
    /// Returns the whole list, or why it is not to be had now.
    fn list(&self) -> BoxFuture<'_, Result<Vec<EndpointView>, String>>;
}

/// Polls the list while this member leads and commits what changed.
pub(crate) async fn poll_directory(
    control: Arc<ControlContext>,
    directory: Arc<dyn EndpointDirectory>,
) {
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_lost = false;
    loop {
        interval.tick().await;
        if control.member.leading_term().is_none() {
            continue;
        }
        let polled = tokio::time::timeout(POLL_TIMEOUT, directory.list()).await;
        match polled.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
            Ok(endpoints) => {
                if std::mem::take(&mut is_lost) {
                    info!(
                        control.logger,
                        "control: the list of endpoints is available again"
                    );
                }
                commit_changes(&control, endpoints).await;
            }
            Err(detail) => {
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(control.logger, "control: the list of endpoints is not available";
                        "detail" => detail);
                }
            }
        }
    }
}

async fn commit_changes(control: &ControlContext, listed: Vec<EndpointView>) {
    let Some(term) = control.member.leading_term() else {
        return;
    };
    let listed = control.with_leader_state(term, |leader| leader.engines.apply_overrides(listed));
    let changes = control
        .member
        .read(|state| find_changes(&state.view.endpoints, listed));
    if changes.put.is_empty() && changes.removed.is_empty() {
        return;
    }
    for endpoint in &changes.put {
        info!(control.logger, "control: endpoint changed"; "endpoint" => %endpoint.endpoint,
            "incarnation" => endpoint.incarnation.0, "address" => %endpoint.address,
            "service" => %endpoint.service, "is_leaving" => endpoint.is_leaving,
            "models" => endpoint.models.len());
    }
    for endpoint in &changes.removed {
        info!(control.logger, "control: endpoint gone"; "endpoint" => %endpoint);
    }
    commit_endpoint_changes(control, changes).await;
}

/// Commits changes of endpoints. A failure is logged; the next poll finds the difference again.
pub(crate) async fn commit_endpoint_changes(control: &ControlContext, changes: EndpointChanges) {
    let proposed = control.member.propose(Command::ChangeEndpoints(changes));
    if let Err(error) = proposed.await {
        warn!(control.logger, "control: changes of endpoints were not committed";
            "error" => %error);
    }
}

fn find_changes(
    known: &BTreeMap<EndpointId, EndpointView>,
    listed: Vec<EndpointView>,
) -> EndpointChanges {
    let mut put = Vec::new();
    let mut removed = known.clone();
    for endpoint in listed {
        let before = removed.remove(&endpoint.endpoint);
        if before.as_ref() != Some(&endpoint) {
            put.push(endpoint);
        }
    }
    EndpointChanges {
        put,
        removed: removed.into_keys().collect(),
    }
}
