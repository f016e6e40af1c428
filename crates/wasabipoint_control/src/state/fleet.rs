//! Endpoint registrations and grants.
//!
//! A grant counts toward the memory of its endpoint and the replicas of its model from its commit
//! until its release is certain. An agent's report shows that a replica is gone, so a delayed
//! report must not release a grant that the agent has received since. Therefore the sequence number
//! of a report is committed before the reply to it first delivers a grant, and from then on only
//! reports with a larger sequence number are considered. This relies on the guarantees of agents
//! (`wasabipoint_rpc::AgentReport`): an agent has at most one report in flight, its report lists
//! every grant that the last directive listed as live, and it doesn't repeat a failed load under
//! the same fencing token.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wasabipoint_kernel::{
    EndpointId, ErrorKind, FailureDomain, FencingToken, Incarnation, ModelName, ServiceName,
    SoftwareVersion, VmId, plain_data,
};
use wasabipoint_rpc::{
    AgentReport, EndpointKind, EndpointView, FencingMode, FleetChange, Grant, ReplicaReport,
    ReplicaState,
};

use super::{CommandOutcome, ControlState, VmState};

plain_data! {
    data
    /// An endpoint as its agent registered it.
    pub struct Registration {
        /// VM of the endpoint.
        pub vm: VmId,
        /// Incarnation of the agent.
        pub incarnation: Incarnation,
        /// Sequence number of the last committed report. Reports up to it change no grant.
        pub sequence: u64,
        /// Address of the agent.
        pub address: SocketAddr,
        /// Failure domain of the VM.
        pub failure_domain: FailureDomain,
        /// Whether the endpoint is an engine or a service.
        pub kind: EndpointKind,
        /// Service of an endpoint that is not an engine.
        pub service: ServiceName,
        /// Whether the engine checks fencing tokens.
        pub fencing: FencingMode,
        /// Memory for replicas and adapters.
        pub memory_mib: u64,
        /// Number of accelerators.
        pub accelerators: u32,
        /// Maximum number of concurrent requests.
        pub concurrency: u32,
        /// Whether this incarnation is leaving. Only a new incarnation resets this.
        pub is_leaving: bool,
        /// Whether this incarnation has read the state of its engine.
        pub has_engine_state: bool,
    }
}

plain_data! {
    copy
    /// Durable phase of a grant.
    pub enum GrantPhase {
        /// The agent has not reported the replica as loaded.
        Loading,
        /// The replica serves requests.
        Loaded,
        /// The replica is to be unloaded. Its memory stays reserved until then.
        Revoked,
    }
}

plain_data! {
    data
    /// A grant that is not released.
    pub struct GrantRecord {
        /// Model of the replica.
        pub model: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// Endpoint that holds the replica.
        pub endpoint: EndpointId,
        /// Incarnation of the agent that last confirmed the grant, at first the one that it was made
        /// for.
        pub incarnation: Incarnation,
        /// Accelerator memory of the replica.
        pub memory_mib: u64,
        /// Phase of the grant.
        pub phase: GrantPhase,
        /// Log time at which the grant was committed or at which a report last showed that its
        /// loaded replica no longer serves.
        pub granted_ms: u64,
        /// Whether another replica was granted in place of this one.
        pub is_replaced: bool,
    }
}

plain_data! {
    data
    /// A request to load a replica.
    pub struct GrantRequest {
        /// Model of the replica.
        pub model: ModelName,
        /// Version of the checkpoint.
        pub version: u64,
        /// Endpoint that is to load the replica.
        pub endpoint: EndpointId,
        /// Incarnation of the agent that the request was decided for.
        pub incarnation: Incarnation,
        /// Accelerator memory of the replica.
        pub memory_mib: u64,
        /// Grant that this one replaces, for example because it is in doubt. The replaced grant no
        /// longer counts toward the model's replica limit.
        pub replaces: Option<FencingToken>,
    }
}

plain_data! {
    data
    /// Endpoints, grants and the VM states of the platform's list.
    #[derive(Default)]
    pub struct FleetState {
        /// Registrations by endpoint.
        pub endpoints: BTreeMap<EndpointId, Registration>,
        /// Last incarnation of endpoints whose VM was terminated. Its reports are refused.
        pub terminated_incarnations: BTreeMap<EndpointId, Incarnation>,
        /// Grants that are not released, by fencing token.
        pub grants: BTreeMap<FencingToken, GrantRecord>,
        /// The last assigned fencing token.
        pub last_fencing_token: FencingToken,
        /// Last recorded VM states of the platform's list.
        pub vms: BTreeMap<VmId, VmState>,
    }
}

/// Effect of a report on a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantTransition {
    Unchanged,
    Loaded,
    /// The engine has lost the replica or loads it again.
    NotServing,
    /// A new incarnation of the agent found the replica in its engine.
    Adopted,
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

    /// Lists the grants of an endpoint in the form that its agent's directive holds.
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

    /// Checks that a report comes from the current or a newer incarnation and is not older than the
    /// last committed one.
    pub fn check_report(&self, report: &AgentReport) -> Result<(), &'static str> {
        let terminated = self.terminated_incarnations.get(&report.endpoint);
        if terminated.is_some_and(|last| report.incarnation <= *last) {
            return Err("the VM of this run was terminated");
        }
        let Some(registration) = self.endpoints.get(&report.endpoint) else {
            return Ok(());
        };
        if report.incarnation < registration.incarnation {
            return Err("a newer run of the agent is registered");
        }
        if report.incarnation == registration.incarnation && report.sequence < registration.sequence
        {
            return Err("a newer report of the agent was taken in");
        }
        Ok(())
    }

    /// Returns whether a report must be committed before the reply to it.
    pub fn needs_commit(&self, report: &AgentReport) -> bool {
        let Some(registration) = self.endpoints.get(&report.endpoint) else {
            return true;
        };
        if report.incarnation != registration.incarnation {
            return true;
        }
        if report.sequence <= registration.sequence {
            return false;
        }
        let mut next = next_registration(Some(registration), report);
        next.sequence = registration.sequence;
        next != *registration
            || self.grants_of(&report.endpoint).any(|(token, grant)| {
                let is_not_accepted =
                    grant.phase != GrantPhase::Revoked && !is_accepted(report, token, grant);
                is_not_accepted
                    || grant_transition(token, grant, report) != GrantTransition::Unchanged
            })
    }

    /// Sums the memory that the grants of an endpoint reserve.
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

/// Returns whether the agent has accepted a grant or already holds the model without one.
fn is_accepted(report: &AgentReport, token: FencingToken, grant: &GrantRecord) -> bool {
    find_replica(report, grant)
        .is_some_and(|replica| replica.fencing_token == token || replica.fencing_token.0 == 0)
}

fn grant_transition(
    token: FencingToken,
    grant: &GrantRecord,
    report: &AgentReport,
) -> GrantTransition {
    if !report.has_engine_state {
        return GrantTransition::Unchanged;
    }
    let is_new_incarnation = grant.incarnation != report.incarnation;
    let Some(replica) = find_replica(report, grant) else {
        return match grant.phase {
            _ if is_new_incarnation => GrantTransition::Released { is_failed: false },
            GrantPhase::Revoked => GrantTransition::Released { is_failed: false },
            // The agent may still follow a directive that lists the grant as live.
            GrantPhase::Loaded => GrantTransition::NotServing,
            GrantPhase::Loading => GrantTransition::Unchanged,
        };
    };
    let is_same_token = replica.fencing_token == token;
    match (replica.state, grant.phase) {
        (ReplicaState::Failed, _) if is_same_token => GrantTransition::Released { is_failed: true },
        (ReplicaState::Loaded, GrantPhase::Loading)
            if replica.version == grant.version
                && (is_same_token || replica.fencing_token.0 == 0) =>
        {
            GrantTransition::Loaded
        }
        (ReplicaState::Loading | ReplicaState::Unloading, GrantPhase::Loaded) => {
            GrantTransition::NotServing
        }
        _ if is_new_incarnation => GrantTransition::Adopted,
        _ => GrantTransition::Unchanged,
    }
}

fn next_registration(registration: Option<&Registration>, report: &AgentReport) -> Registration {
    let was_leaving = registration.is_some_and(|registration| {
        registration.incarnation == report.incarnation && registration.is_leaving
    });
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
        has_engine_state: report.has_engine_state,
    }
}

impl ControlState {
    /// Updates the registration and the grants of an endpoint from its agent's report.
    pub(super) fn record_report(&mut self, report: &AgentReport) -> CommandOutcome {
        if let Err(reason) = self.fleet.check_report(report) {
            return CommandOutcome::refused(ErrorKind::FencingStale, reason);
        }
        let registration = self.fleet.endpoints.get(&report.endpoint);
        let is_duplicate = registration.is_some_and(|registration| {
            registration.incarnation == report.incarnation
                && registration.sequence == report.sequence
        });
        let mut loaded = Vec::new();
        let mut released = Vec::new();
        if !is_duplicate {
            let next = next_registration(registration, report);
            self.fleet.endpoints.insert(report.endpoint.clone(), next);
            self.fleet.terminated_incarnations.remove(&report.endpoint);
            let now_ms = self.time_ms;
            self.fleet.grants.retain(|token, grant| {
                if grant.endpoint != report.endpoint {
                    return true;
                }
                match grant_transition(*token, grant, report) {
                    GrantTransition::Unchanged => {}
                    GrantTransition::Loaded => {
                        grant.phase = GrantPhase::Loaded;
                        grant.incarnation = report.incarnation;
                        loaded.push((*token, grant.model.clone(), now_ms - grant.granted_ms));
                    }
                    GrantTransition::NotServing => {
                        grant.phase = GrantPhase::Loading;
                        grant.incarnation = report.incarnation;
                        grant.granted_ms = now_ms;
                    }
                    GrantTransition::Adopted => grant.incarnation = report.incarnation,
                    GrantTransition::Released { is_failed } => {
                        released.push((*token, grant.model.clone(), is_failed));
                        return false;
                    }
                }
                true
            });
            self.publish_endpoint(&report.endpoint);
        }
        CommandOutcome::Reported { loaded, released }
    }

    /// Grants a replica and returns its fencing token.
    pub(super) fn grant(&mut self, request: GrantRequest) -> CommandOutcome {
        if let Err((kind, detail)) = self.check_grant(&request) {
            return CommandOutcome::refused(kind, detail);
        }
        if let Some(replaced_grant) = request
            .replaces
            .and_then(|token| self.fleet.grants.get_mut(&token))
        {
            replaced_grant.is_replaced = true;
        }
        let token = FencingToken(self.fleet.last_fencing_token.0 + 1);
        self.fleet.last_fencing_token = token;
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
        CommandOutcome::Granted(token)
    }

    /// Checks a request against the agent's incarnation, the inventory, the memory of the endpoint
    /// and the replica limit of the model.
    fn check_grant(&self, request: &GrantRequest) -> Result<(), (ErrorKind, String)> {
        let Some(registration) = self.fleet.endpoints.get(&request.endpoint) else {
            return Err((ErrorKind::NotFound, "the endpoint is not registered".into()));
        };
        if registration.incarnation != request.incarnation
            || registration.is_leaving
            || !registration.has_engine_state
        {
            let detail = "the run of the agent ended, leaves or has not read its engine";
            return Err((ErrorKind::FencingStale, detail.into()));
        }
        let model = self.view.inventory.models.get(&request.model);
        let Some(model) = model.filter(|model| {
            model.version == request.version && model.memory_mib == request.memory_mib
        }) else {
            return Err((ErrorKind::ModelUnknown, "the inventory has changed".into()));
        };
        let mut model_grants = self
            .fleet
            .grants
            .values()
            .filter(|grant| grant.model == request.model);
        if model_grants.any(|grant| grant.endpoint == request.endpoint) {
            let detail = "the endpoint has a grant of the model";
            return Err((ErrorKind::FencingStale, detail.into()));
        }
        let reserved_mib = self.fleet.reserved_mib(&request.endpoint);
        if reserved_mib.saturating_add(request.memory_mib) > registration.memory_mib {
            let detail = format!(
                "{reserved_mib} of {} MiB are granted",
                registration.memory_mib
            );
            return Err((ErrorKind::MemoryFull, detail));
        }
        let is_replacement = request.replaces.is_some_and(|token| {
            self.fleet
                .grants
                .get(&token)
                .is_some_and(|grant| grant.model == request.model && !grant.is_replaced)
        });
        let granted = self
            .fleet
            .grants
            .values()
            .filter(|grant| grant.model == request.model && !grant.is_replaced)
            .count() as u32
            - u32::from(is_replacement);
        if granted >= model.max_replicas {
            let detail = format!("{granted} replicas are decided");
            return Err((ErrorKind::FencingStale, detail));
        }
        Ok(())
    }

    /// Revokes a grant. It is released once the agent no longer reports the replica.
    pub(super) fn revoke(&mut self, token: FencingToken) -> CommandOutcome {
        let Some(grant) = self.fleet.grants.get_mut(&token) else {
            return CommandOutcome::Done;
        };
        grant.phase = GrantPhase::Revoked;
        let endpoint = grant.endpoint.clone();
        self.publish_endpoint(&endpoint);
        CommandOutcome::Done
    }

    pub(super) fn mark_leaving(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> CommandOutcome {
        if let Some(registration) = self.fleet.endpoints.get_mut(endpoint)
            && registration.incarnation == incarnation
        {
            registration.is_leaving = true;
            self.publish_endpoint(endpoint);
        }
        CommandOutcome::Done
    }

    /// Records VM states of the platform's list and applies them to the endpoints.
    ///
    /// The list lags, so a repeated state may concern the predecessor of an incarnation that has
    /// registered since. Therefore, when a VM is listed as terminated again, only its endpoints
    /// without grants are removed, which a delayed report may have registered. An agent that is
    /// still running registers again with its next report.
    pub(super) fn update_vm_states(&mut self, vms: Vec<(VmId, VmState)>) -> CommandOutcome {
        for (vm, state) in vms {
            let is_duplicate = self.fleet.vms.insert(vm.clone(), state) == Some(state);
            let vm_endpoints: Vec<_> = self
                .fleet
                .endpoints
                .iter()
                .filter(|(_, registration)| registration.vm == vm)
                .map(|(endpoint, registration)| (endpoint.clone(), registration.incarnation))
                .collect();
            for (endpoint, incarnation) in vm_endpoints {
                match state {
                    VmState::Leaving if !is_duplicate => {
                        self.mark_leaving(&endpoint, incarnation);
                    }
                    VmState::Terminated if !is_duplicate => {
                        self.fleet
                            .terminated_incarnations
                            .insert(endpoint.clone(), incarnation);
                        self.remove_endpoint(&endpoint);
                    }
                    VmState::Terminated if self.fleet.grants_of(&endpoint).next().is_none() => {
                        self.remove_endpoint(&endpoint);
                    }
                    _ => {}
                }
            }
        }
        CommandOutcome::Done
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.fleet.endpoints.remove(endpoint);
        self.fleet
            .grants
            .retain(|_, grant| grant.endpoint != *endpoint);
        if self.view.endpoints.contains_key(endpoint) {
            self.publish_change(FleetChange::RemoveEndpoint(endpoint.clone()));
        }
    }

    /// Publishes the endpoint in the fleet view if its entry there differs.
    fn publish_endpoint(&mut self, endpoint: &EndpointId) {
        let Some(registration) = self.fleet.endpoints.get(endpoint) else {
            return;
        };
        let models = self
            .fleet
            .grants_of(endpoint)
            .filter(|(_, grant)| {
                grant.phase == GrantPhase::Loaded
                    && grant.incarnation == registration.incarnation
                    && registration.has_engine_state
            })
            .map(|(_, grant)| grant.model.clone())
            .collect();
        let view = EndpointView {
            id: endpoint.clone(),
            incarnation: registration.incarnation,
            address: registration.address,
            failure_domain: registration.failure_domain.clone(),
            kind: registration.kind,
            service: registration.service.clone(),
            models,
            concurrency: registration.concurrency,
            is_leaving: registration.is_leaving,
            software_version: SoftwareVersion::new(""),
        };
        if self.view.endpoints.get(endpoint) != Some(&view) {
            self.publish_change(FleetChange::PutEndpoint(Box::new(view)));
        }
    }
}
