//! Decodes snapshots of earlier encoding versions: version 4 has no software versions of endpoints,
//! version 3 also no failure domains out of service and an earlier layout of the complete
//! configuration, version 2 also no quarantine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use wasabipoint_kernel::{
    ConfigVersion, Deployment, EarlierDeployment, EndpointId, FailureDomain, Inventory, KeyId,
    MemberId, PromptPartId, Rules,
};
use wasabipoint_rpc::{
    EarlierEndpointView, EndpointView, FleetChange, FleetView, KeyRecord, QuarantinedPart,
};

use crate::state::{
    ClaimState, ConfigState, ControlState, DeploymentRecord, FleetState, MemberAddresses,
    QuotaState, StreamState,
};

/// First byte of snapshots of version 2.
pub(super) const VERSION_2: u8 = 2;

/// First byte of snapshots of version 3.
pub(super) const VERSION_3: u8 = 3;

/// First byte of snapshots of version 4.
pub(super) const VERSION_4: u8 = 4;

/// The state with a fleet view of version `V`.
#[derive(Deserialize)]
struct EarlierState<V> {
    time_ms: u64,
    config: ConfigState,
    fleet: FleetState,
    quota: QuotaState,
    claims: ClaimState,
    profile: Option<(String, Vec<u8>)>,
    members: BTreeMap<MemberId, MemberAddresses>,
    deployment: DeploymentRecord,
    view: V,
    changes: VecDeque<(u64, FleetChange)>,
}

/// The fleet view of version 2 with a configuration of layout `D`.
#[derive(Deserialize)]
struct FleetViewV2<D = EarlierDeployment> {
    revision: u64,
    config_version: ConfigVersion,
    inventory: Inventory,
    rules: Rules,
    keys: BTreeMap<KeyId, KeyRecord>,
    endpoints: BTreeMap<EndpointId, EarlierEndpointView>,
    deployment: Option<Box<D>>,
}

#[derive(Deserialize)]
struct FleetViewV3 {
    version_2: FleetViewV2,
    quarantine: BTreeMap<PromptPartId, QuarantinedPart>,
}

#[derive(Deserialize)]
struct FleetViewV4 {
    version_2: FleetViewV2<Deployment>,
    quarantine: BTreeMap<PromptPartId, QuarantinedPart>,
    out_of_service: BTreeSet<FailureDomain>,
}

impl<D: Into<Deployment>> From<FleetViewV2<D>> for FleetView {
    fn from(view: FleetViewV2<D>) -> Self {
        let endpoints = view.endpoints.into_iter();
        let deployment = view.deployment;
        Self {
            revision: view.revision,
            config_version: view.config_version,
            inventory: view.inventory,
            rules: view.rules,
            keys: view.keys,
            endpoints: endpoints
                .map(|(id, endpoint)| (id, EndpointView::from(endpoint)))
                .collect(),
            deployment: deployment.map(|deployment| Box::new((*deployment).into())),
            quarantine: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
            base_versions: BTreeMap::new(),
        }
    }
}

impl From<FleetViewV3> for FleetView {
    fn from(view: FleetViewV3) -> Self {
        Self {
            quarantine: view.quarantine,
            ..view.version_2.into()
        }
    }
}

impl From<FleetViewV4> for FleetView {
    fn from(view: FleetViewV4) -> Self {
        Self {
            quarantine: view.quarantine,
            out_of_service: view.out_of_service,
            ..view.version_2.into()
        }
    }
}

/// Decodes the state that follows the byte of version 2.
pub(super) fn decode_version_2(encoded: &[u8]) -> postcard::Result<ControlState> {
    decode::<FleetViewV2>(encoded)
}

/// Decodes the state that follows the byte of version 3.
pub(super) fn decode_version_3(encoded: &[u8]) -> postcard::Result<ControlState> {
    decode::<FleetViewV3>(encoded)
}

/// Decodes the state that follows the byte of version 4.
pub(super) fn decode_version_4(encoded: &[u8]) -> postcard::Result<ControlState> {
    decode::<FleetViewV4>(encoded)
}

fn decode<V: DeserializeOwned + Into<FleetView>>(encoded: &[u8]) -> postcard::Result<ControlState> {
    let state: EarlierState<V> = postcard::from_bytes(encoded)?;
    Ok(ControlState {
        time_ms: state.time_ms,
        config: state.config,
        fleet: state.fleet,
        quota: state.quota,
        claims: state.claims,
        profile: state.profile,
        members: state.members,
        deployment: state.deployment,
        view: state.view.into(),
        changes: state.changes,
        streams: StreamState::default(),
    })
}
