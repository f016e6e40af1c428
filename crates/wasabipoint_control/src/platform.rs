//! Polls the platform's list of VMs and commits their states.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use serde::Deserialize;
use serde_json::value::RawValue;
use slog::{info, warn};
use tokio::time::MissedTickBehavior;
use wasabipoint_http::HttpClient;
use wasabipoint_kernel::{JsonDocument, VmId};

use crate::context::ControlContext;
use crate::leader_state::LeaderState;
use crate::state::{Command, ControlState, VmState};

/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest accepted response body.
const MAX_LIST_BYTES: usize = 4 * 1_024 * 1_024;

/// Largest accepted entry of the list, in bytes.
const MAX_ENTRY_BYTES: usize = 4 * 1_024;

#[derive(Deserialize)]
struct PlatformList<'a> {
    #[serde(borrow)]
    vms: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct PlatformVm {
    vm: VmId,
    state: String,
}

/// Polls the list while this member leads. Runs until the task is aborted.
pub(crate) async fn poll_platform(control: Arc<ControlContext>, url: String) {
    let client = HttpClient::new(POLL_TIMEOUT);
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_unavailable = false;
    loop {
        interval.tick().await;
        if control.member.leading_term().is_none() {
            continue;
        }
        match fetch_vm_states(&client, &url).await {
            Ok(vms) => {
                is_unavailable = false;
                sync_vm_states(&control, vms).await;
            }
            // Logged once per outage, since the poll repeats every second.
            Err(detail) if !is_unavailable => {
                is_unavailable = true;
                warn!(control.logger, "control: the platform's VM list is unavailable";
                    "detail" => detail);
            }
            Err(_) => {}
        }
    }
}

async fn fetch_vm_states(client: &HttpClient, url: &str) -> Result<Vec<(VmId, VmState)>, String> {
    let request = Request::get(url)
        .body(Bytes::new())
        .map_err(|error| error.to_string())?;
    let response = client
        .fetch(request, MAX_LIST_BYTES, POLL_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    decode_vm_states(response.body())
}

/// Decodes the list. Entries that cannot be read or have another state name no VM.
fn decode_vm_states(body: &[u8]) -> Result<Vec<(VmId, VmState)>, String> {
    let document = JsonDocument::new(body);
    let list: PlatformList<'_> =
        serde_json::from_str(document.text()).map_err(|error| error.to_string())?;
    let vm_states = list.vms.into_iter().filter_map(|vm| {
        let vm: PlatformVm = document.decode_entry(vm, MAX_ENTRY_BYTES)?;
        let state = match vm.state.as_str() {
            "live" => VmState::Live,
            "leaving" => VmState::Leaving,
            "terminated" => VmState::Terminated,
            _ => return None,
        };
        Some((vm.vm, state))
    });
    Ok(vm_states.collect())
}

async fn sync_vm_states(control: &ControlContext, vms: Vec<(VmId, VmState)>) {
    let Some(term) = control.member.leading_term() else {
        return;
    };
    let changed: Vec<_> = control.with_leader_state(term, |leader_state| {
        control.member.read(|state| {
            let vms = vms.into_iter();
            vms.filter(|(vm, listed)| match listed {
                VmState::Terminated => is_termination_current(state, leader_state, vm),
                listed => state.fleet.vms.get(vm) != Some(listed),
            })
            .collect()
        })
    });
    if changed.is_empty() {
        return;
    }
    info!(control.logger, "control: VM states changed in the platform's list";
        "count" => changed.len());
    if let Err(error) = control
        .member
        .propose(Command::UpdateVmStates(changed))
        .await
    {
        warn!(control.logger, "control: VM states were not committed"; "error" => %error);
    }
}

/// Returns whether the termination of a listed VM has to be committed. While one of its agents
/// reports, the list lags behind and refers to a previous VM of the same name, and the grants of
/// the running VM stay valid. A known termination is committed again to remove endpoints without
/// grants.
fn is_termination_current(state: &ControlState, leader_state: &LeaderState, vm: &VmId) -> bool {
    let endpoints = state.fleet.endpoints.iter();
    let mut on_vm = endpoints.filter(|(_, registration)| registration.vm == *vm);
    let is_silent = on_vm.clone().all(|(endpoint, registration)| {
        leader_state.is_in_doubt(endpoint, registration.incarnation)
    });
    let is_new = state.fleet.vms.get(vm) != Some(&VmState::Terminated);
    let has_unused_endpoint =
        on_vm.any(|(endpoint, _)| state.fleet.grants_of(endpoint).next().is_none());
    is_silent && (is_new || has_unused_endpoint)
}
