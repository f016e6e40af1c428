//! Endpoint registrations and grants.
//!
//! A grant is counted from its commit until its release is certain. The evidence is an agent's
//! report, so reports that arrive late must prove nothing: before an answer first tells an agent of
//! a grant, the sequence number of the answered report is committed, and only reports with a larger
//! one are evidence from then on. This relies on what agents promise (`wasabipoint_rpc::AgentReport`):
//! one report is in flight, every grant that the last directive listed as live is listed, and a failed
//! load is not repeated under its fencing token.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wasabipoint_kernel::{
    EndpointId, ErrorKind, FailureDomain, FencingToken, Incarnation, ModelName, ServiceName, VmId,
    plain_data,
};
use wasabipoint_rpc::{
    AgentReport, EndpointKind, EndpointView, FencingMode, FleetChange, Grant, ReplicaReport,
    ReplicaState,
};

use super::{ControlState, Outcome, VmState};

plain_data! {
    data
    /// An endpoint as its agent registered it.
    pub struct Registration {
        /// VM of the endpoint.
        pub vm: VmId,
        /// Run of the agent.
        pub incarnation: Incarnation,
        /// Last report that was committed; only later ones are evidence.
        pub sequence: u64,
        /// Address of the agent.
        pub address: SocketAddr,
        /// Failure domain of the VM.
        pub failure_domain: FailureDomain,
        /// Engine or service.
        pub kind: EndpointKind,
        /// Service of a plain endpoint.
        pub service: ServiceName,
        /// Whether the engine checks fencing tokens.
        pub fencing: FencingMode,
        /// Memory for replicas and adapters.
        pub memory_mib: u64,
        /// Accelerators of the endpoint.
        pub accelerators: u32,
        /// Requests that the endpoint runs at once.
        pub concurrency: u32,
        /// Whether this run is leaving; it stays so until the next run.
        pub is_leaving: bool,
        /// Whether this run has read its engine.
        pub is_engine_known: bool,
    }
}

plain_data! {
    copy
    /// Durable state of a grant.
    pub enum GrantPhase {
        /// The agent has not reported the replica as loaded.
        Loading,
        /// The replica serves requests.
        Loaded,
        /// The replica is to be unloaded and still counts.
        Revoked,
    }
}

plain_data! {
    data
    /// A grant that counts.
    pub struct GrantRecord {
        /// The model.
        pub model: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Run of the agent that last confirmed or first received it.
        pub incarnation: Incarnation,
        /// Accelerator memory of the replica.
        pub memory_mib: u64,
        /// State of the grant.
        pub phase: GrantPhase,
        /// Log time of its commit, or since when a replica that served has to load again.
        pub granted_ms: u64,
        /// Whether it is in doubt and another replica was decided in its place.
        pub is_replaced: bool,
    }
}

plain_data! {
    data
    /// A decision to load a replica.
    pub struct GrantRequest {
        /// The model.
        pub model: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Run of the agent that the decision was made for.
        pub incarnation: Incarnation,
        /// Accelerator memory of the replica.
        pub memory_mib: u64,
        /// A grant in doubt that this one replaces, which raises the decided number by one.
        pub replaces: Option<FencingToken>,
    }
}

plain_data! {
    data
    /// Endpoints, grants and the platform's list.
    #[derive(Default)]
    pub struct FleetState {
        /// Registrations by endpoint.
        pub endpoints: BTreeMap<EndpointId, Registration>,
        /// Last run of endpoints whose VM was terminated; reports of that run are refused.
        pub retired: BTreeMap<EndpointId, Incarnation>,
        /// Grants that count, by fencing token.
        pub grants: BTreeMap<FencingToken, GrantRecord>,
        /// The last fencing token.
        pub last_token: FencingToken,
        /// Last acted-on states of the platform's list.
        pub vms: BTreeMap<VmId, VmState>,
    }
}

/// What a report proves about a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    Nothing,
    Loaded,
    /// The engine has lost the replica or loads it again.
    NotServing,
    /// A new run of the agent found the replica.
    Confirmed,
    Released {
        is_failed: bool,
    },
}

impl FleetState {
    /// Lists the grants of an endpoint.
    pub fn grants_of<'a>(
        &'a self,
        endpoint: &'a EndpointId,
    ) -> impl Iterator<Item = (FencingToken, &'a GrantRecord)> {
        self.grants
            .iter()
            .filter(move |(_, grant)| grant.endpoint == *endpoint)
            .map(|(token, grant)| (*token, grant))
    }

    /// Lists the grants that an agent's directive holds.
    pub fn directive_grants(&self, endpoint: &EndpointId) -> Vec<Grant> {
        self.grants_of(endpoint)
            .map(|(token, grant)| Grant {
                model: grant.model.clone(),
                version: grant.version,
                endpoint: grant.endpoint.clone(),
                fencing_token: token,
                memory_mib: grant.memory_mib,
                is_revoked: grant.phase == GrantPhase::Revoked,
            })
            .collect()
    }

    /// Checks that a report is of the current or a new run and not older than the last committed
    /// one.
    pub fn check_report(&self, report: &AgentReport) -> Result<(), &'static str> {
        let retired = self.retired.get(&report.endpoint);
        if retired.is_some_and(|last| report.incarnation <= *last) {
            return Err("the VM of this run was terminated");
        }
        let Some(known) = self.endpoints.get(&report.endpoint) else {
            return Ok(());
        };
        if report.incarnation < known.incarnation {
            return Err("a newer run of the agent is registered");
        }
        if report.incarnation == known.incarnation && report.sequence < known.sequence {
            return Err("a newer report of the agent was taken in");
        }
        Ok(())
    }

    /// Tells whether a report must be committed before it is answered.
    pub fn needs_commit(&self, report: &AgentReport) -> bool {
        let Some(known) = self.endpoints.get(&report.endpoint) else {
            return true;
        };
        if report.incarnation != known.incarnation {
            return true;
        }
        if report.sequence <= known.sequence {
            return false;
        }
        let mut next = next_registration(Some(known), report);
        next.sequence = known.sequence;
        next != *known
            || self.grants_of(&report.endpoint).any(|(token, grant)| {
                let is_unlisted =
                    grant.phase != GrantPhase::Revoked && !is_listed(report, token, grant);
                is_unlisted || judge(token, grant, report) != Evidence::Nothing
            })
    }

    /// Sums the memory of the counted grants of an endpoint.
    pub fn reserved_mib(&self, endpoint: &EndpointId) -> u64 {
        self.grants_of(endpoint)
            .map(|(_, grant)| grant.memory_mib)
            .sum()
    }
}

fn find_replica<'a>(report: &'a AgentReport, grant: &GrantRecord) -> Option<&'a ReplicaReport> {
    report
        .replicas
        .iter()
        .find(|replica| replica.model == grant.model)
}

/// Tells whether the agent has accepted a grant, or holds the model from before any grant.
fn is_listed(report: &AgentReport, token: FencingToken, grant: &GrantRecord) -> bool {
    find_replica(report, grant)
        .is_some_and(|replica| replica.fencing_token == token || replica.fencing_token.0 == 0)
}

fn judge(token: FencingToken, grant: &GrantRecord, report: &AgentReport) -> Evidence {
    if !report.is_engine_known {
        return Evidence::Nothing;
    }
    let is_new_run = grant.incarnation != report.incarnation;
    let Some(replica) = find_replica(report, grant) else {
        return match grant.phase {
            _ if is_new_run => Evidence::Released { is_failed: false },
            GrantPhase::Revoked => Evidence::Released { is_failed: false },
            // The agent may act on a directive that still tells the grant as live.
            GrantPhase::Loaded => Evidence::NotServing,
            GrantPhase::Loading => Evidence::Nothing,
        };
    };
    let is_same_token = replica.fencing_token == token;
    match (replica.state, grant.phase) {
        (ReplicaState::Failed, _) if is_same_token => Evidence::Released { is_failed: true },
        (ReplicaState::Loaded, GrantPhase::Loading)
            if replica.version == grant.version
                && (is_same_token || replica.fencing_token.0 == 0) =>
        {
            Evidence::Loaded
        }
        (ReplicaState::Loading | ReplicaState::Unloading, GrantPhase::Loaded) => {
            Evidence::NotServing
        }
        _ if is_new_run => Evidence::Confirmed,
        _ => Evidence::Nothing,
    }
}

fn next_registration(known: Option<&Registration>, report: &AgentReport) -> Registration {
    let was_leaving =
        known.is_some_and(|known| known.incarnation == report.incarnation && known.is_leaving);
    Registration {
        vm: report.vm.clone(),
        incarnation: report.incarnation,
        sequence: report.sequence,
        address: report.address,
        failure_domain: report.failure_domain.clone(),
        kind: report.kind,
        service: report.service.clone(),
        fencing: report.fencing,
        memory_mib: report.memory_mib,
        accelerators: report.accelerators,
        concurrency: report.concurrency,
        is_leaving: was_leaving || report.is_draining,
        is_engine_known: report.is_engine_known,
    }
}

impl ControlState {
    pub(super) fn take_report(&mut self, report: &AgentReport) -> Outcome {
        if let Err(reason) = self.fleet.check_report(report) {
            return Outcome::refused(ErrorKind::FencingStale, reason);
        }
        let known = self.fleet.endpoints.get(&report.endpoint);
        let is_repeated = known.is_some_and(|known| {
            known.incarnation == report.incarnation && known.sequence == report.sequence
        });
        let mut loaded = Vec::new();
        let mut released = Vec::new();
        if !is_repeated {
            let next = next_registration(known, report);
            self.fleet.endpoints.insert(report.endpoint.clone(), next);
            self.fleet.retired.remove(&report.endpoint);
            let now_ms = self.time_ms;
            self.fleet.grants.retain(|token, grant| {
                if grant.endpoint != report.endpoint {
                    return true;
                }
                match judge(*token, grant, report) {
                    Evidence::Nothing => {}
                    Evidence::Loaded => {
                        grant.phase = GrantPhase::Loaded;
                        grant.incarnation = report.incarnation;
                        loaded.push((*token, grant.model.clone(), now_ms - grant.granted_ms));
                    }
                    Evidence::NotServing => {
                        grant.phase = GrantPhase::Loading;
                        grant.incarnation = report.incarnation;
                        grant.granted_ms = now_ms;
                    }
                    Evidence::Confirmed => grant.incarnation = report.incarnation,
                    Evidence::Released { is_failed } => {
                        released.push((*token, grant.model.clone(), is_failed));
                        return false;
                    }
                }
                true
            });
            self.refresh_endpoint(&report.endpoint);
        }
        Outcome::Reported { loaded, released }
    }

    pub(super) fn grant(&mut self, request: GrantRequest) -> Outcome {
        if let Err((kind, detail)) = self.check_grant(&request) {
            return Outcome::refused(kind, detail);
        }
        if let Some(replaced) = request
            .replaces
            .and_then(|token| self.fleet.grants.get_mut(&token))
        {
            replaced.is_replaced = true;
        }
        let token = FencingToken(self.fleet.last_token.0 + 1);
        self.fleet.last_token = token;
        self.fleet.grants.insert(
            token,
            GrantRecord {
                model: request.model,
                version: request.version,
                endpoint: request.endpoint,
                incarnation: request.incarnation,
                memory_mib: request.memory_mib,
                phase: GrantPhase::Loading,
                granted_ms: self.time_ms,
                is_replaced: false,
            },
        );
        Outcome::Granted(token)
    }

    fn check_grant(&self, request: &GrantRequest) -> Result<(), (ErrorKind, String)> {
        let Some(known) = self.fleet.endpoints.get(&request.endpoint) else {
            return Err((ErrorKind::NotFound, "the endpoint is not registered".into()));
        };
        if known.incarnation != request.incarnation || known.is_leaving || !known.is_engine_known {
            let detail = "the run of the agent ended, leaves or has not read its engine";
            return Err((ErrorKind::FencingStale, detail.into()));
        }
        let model = self.view.inventory.models.get(&request.model);
        let Some(model) = model.filter(|model| {
            model.version == request.version && model.memory_mib == request.memory_mib
        }) else {
            return Err((ErrorKind::ModelUnknown, "the inventory has changed".into()));
        };
        let mut of_model = self
            .fleet
            .grants
            .values()
            .filter(|grant| grant.model == request.model);
        if of_model.any(|grant| grant.endpoint == request.endpoint) {
            let detail = "the endpoint has a grant of the model";
            return Err((ErrorKind::FencingStale, detail.into()));
        }
        let reserved_mib = self.fleet.reserved_mib(&request.endpoint);
        if reserved_mib.saturating_add(request.memory_mib) > known.memory_mib {
            let detail = format!("{reserved_mib} of {} MiB are granted", known.memory_mib);
            return Err((ErrorKind::MemoryFull, detail));
        }
        let is_replacement = request.replaces.is_some_and(|token| {
            self.fleet
                .grants
                .get(&token)
                .is_some_and(|grant| grant.model == request.model && !grant.is_replaced)
        });
        let counted = self
            .fleet
            .grants
            .values()
            .filter(|grant| grant.model == request.model && !grant.is_replaced)
            .count() as u32
            - u32::from(is_replacement);
        if counted >= model.max_replicas {
            let detail = format!("{counted} replicas are decided");
            return Err((ErrorKind::FencingStale, detail));
        }
        Ok(())
    }

    pub(super) fn revoke(&mut self, token: FencingToken) -> Outcome {
        let Some(grant) = self.fleet.grants.get_mut(&token) else {
            return Outcome::Done;
        };
        grant.phase = GrantPhase::Revoked;
        let endpoint = grant.endpoint.clone();
        self.refresh_endpoint(&endpoint);
        Outcome::Done
    }

    pub(super) fn mark_leaving(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Outcome {
        if let Some(known) = self.fleet.endpoints.get_mut(endpoint)
            && known.incarnation == incarnation
        {
            known.is_leaving = true;
            self.refresh_endpoint(endpoint);
        }
        Outcome::Done
    }

    /// Acts on changed VM states: the list lags, and a repeated state may be about the predecessor
    /// of a run that has registered since. A terminated VM that is listed again only loses
    /// endpoints without grants, which a report that was still under way had registered; an agent
    /// that runs after all registers again with its next report.
    pub(super) fn take_platform(&mut self, vms: Vec<(VmId, VmState)>) -> Outcome {
        for (vm, state) in vms {
            let is_repeated = self.fleet.vms.insert(vm.clone(), state) == Some(state);
            let on_vm: Vec<_> = self
                .fleet
                .endpoints
                .iter()
                .filter(|(_, known)| known.vm == vm)
                .map(|(endpoint, known)| (endpoint.clone(), known.incarnation))
                .collect();
            for (endpoint, incarnation) in on_vm {
                match state {
                    VmState::Leaving if !is_repeated => {
                        self.mark_leaving(&endpoint, incarnation);
                    }
                    VmState::Terminated if !is_repeated => {
                        self.fleet.retired.insert(endpoint.clone(), incarnation);
                        self.remove_endpoint(&endpoint);
                    }
                    VmState::Terminated if self.fleet.grants_of(&endpoint).next().is_none() => {
                        self.remove_endpoint(&endpoint);
                    }
                    _ => {}
                }
            }
        }
        Outcome::Done
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.fleet.endpoints.remove(endpoint);
        self.fleet
            .grants
            .retain(|_, grant| grant.endpoint != *endpoint);
        if self.view.endpoints.contains_key(endpoint) {
            self.change_view(FleetChange::RemoveEndpoint(endpoint.clone()));
        }
    }

    fn refresh_endpoint(&mut self, endpoint: &EndpointId) {
        let Some(known) = self.fleet.endpoints.get(endpoint) else {
            return;
        };
        let models = self
            .fleet
            .grants_of(endpoint)
            .filter(|(_, grant)| {
                grant.phase == GrantPhase::Loaded
                    && grant.incarnation == known.incarnation
                    && known.is_engine_known
            })
            .map(|(_, grant)| grant.model.clone())
            .collect();
        let view = EndpointView {
            endpoint: endpoint.clone(),
            incarnation: known.incarnation,
            address: known.address,
            failure_domain: known.failure_domain.clone(),
            kind: known.kind,
            service: known.service.clone(),
            models,
            concurrency: known.concurrency,
            is_leaving: known.is_leaving,
        };
        if self.view.endpoints.get(endpoint) != Some(&view) {
            self.change_view(FleetChange::PutEndpoint(Box::new(view)));
        }
    }
}
