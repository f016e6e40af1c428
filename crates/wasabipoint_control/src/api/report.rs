//! JSON status reports and placement explanations for operators.

use serde_json::{Value, json};
use wasabipoint_consensus::{MemberStatus, Role};
use wasabipoint_kernel::ModelName;
use wasabipoint_rpc::EndpointKind;

use crate::context::ControlContext;
use crate::domains::{DomainStatus, list_domains};
use crate::leader_state::LeaderState;
use crate::state::{ControlState, GrantPhase, GrantRecord};

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Learner => "learner",
        Role::Follower => "follower",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
    }
}

fn phase_name(phase: GrantPhase) -> &'static str {
    match phase {
        GrantPhase::Loading => "loading",
        GrantPhase::Loaded => "loaded",
        GrantPhase::Revoked => "revoked",
    }
}

/// Returns the status of the cluster and the fleet from the state that this member has applied.
pub(super) fn status(control: &ControlContext) -> Value {
    let replica = control.member.replica().status();
    let members: Vec<Value> = replica
        .members
        .iter()
        .map(|member| describe_member(control, replica.leader, member))
        .collect();
    let mut value = json!({
        "member": replica.member.0,
        "failure_domain": control.failure_domain,
        "role": role_name(replica.role),
        "term": replica.term,
        "leader": replica.leader.map(|leader| leader.0),
        "commit_index": replica.commit_index,
        "applied_index": replica.applied_index,
        "remaining_redundancy": replica.remaining_redundancy,
        "members": members,
    });
    let fleet = with_leader_state(control, |leader_state| {
        control
            .member
            .read(|state| describe_fleet(state, leader_state))
    });
    if let (Some(value), Value::Object(fleet)) = (value.as_object_mut(), fleet) {
        value.extend(fleet);
    }
    value
}

/// Runs `work` with the leader's state if this member leads, otherwise with `None`.
fn with_leader_state<T>(
    control: &ControlContext,
    work: impl FnOnce(Option<&LeaderState>) -> T,
) -> T {
    match control.member.leading_term() {
        Some(term) => control.with_leader_state(term, |leader_state| work(Some(leader_state))),
        None => work(None),
    }
}

fn describe_member(
    control: &ControlContext,
    leader: Option<wasabipoint_kernel::MemberId>,
    member: &MemberStatus,
) -> Value {
    let role = match (leader == Some(member.member), member.is_voter) {
        (true, _) => "leader",
        (false, true) => "voter",
        (false, false) => "learner",
    };
    let rpc = control.member.rpc_address(member.member);
    let http = control.member.http_address(member.member);
    json!({
        "member": member.member.0,
        "role": role,
        "rpc_address": rpc.map(|address| address.to_string()),
        "http_address": http.map(|address| address.to_string()),
        "match_index": member.match_index,
        "is_responding": member.is_responding,
    })
}

fn describe_fleet(state: &ControlState, leader_state: Option<&LeaderState>) -> Value {
    let inventory = &state.view.inventory;
    let endpoints: Vec<Value> = state
        .fleet
        .endpoints
        .iter()
        .map(|(endpoint, registration)| {
            let grants: Vec<Value> = state
                .fleet
                .grants_of(endpoint)
                .map(|(token, grant)| describe_grant(token.0, grant, leader_state))
                .collect();
            json!({
                "endpoint": endpoint.as_str(),
                "vm": registration.vm.as_str(),
                "failure_domain": registration.failure_domain.as_str(),
                "kind": match registration.kind {
                    EndpointKind::Engine => "engine",
                    EndpointKind::Service => "service",
                },
                "service": registration.service.as_str(),
                "incarnation": registration.incarnation.0,
                "address": registration.address.to_string(),
                "memory_mib": registration.memory_mib,
                "granted_mib": state.fleet.reserved_mib(endpoint),
                "is_leaving": registration.is_leaving,
                "is_silent": leader_state.map(|leader_state| {
                    leader_state.is_in_doubt(endpoint, registration.incarnation)
                }),
                "grants": grants,
            })
        })
        .collect();
    let entries: Vec<Value> = leader_state
        .into_iter()
        .flat_map(|leader_state| leader_state.entries.values())
        .map(|entry| {
            json!({
                "entry": entry.report.entry.as_str(),
                "address": entry.report.address.to_string(),
                "report_age_ms": entry.received_at.elapsed().as_millis() as u64,
            })
        })
        .collect();
    let failure_domains = list_domains(&state.view);
    let failure_domains: Vec<Value> = failure_domains.iter().map(DomainStatus::to_json).collect();
    json!({
        "config_version": state.view.config_version.0,
        "revision": state.view.revision,
        "log_time_ms": state.time_ms,
        "models": inventory.models.len(),
        "adapters": inventory.adapters.len(),
        "customers": inventory.customers.len(),
        "keys": state.view.keys.len(),
        "failure_domains": failure_domains,
        "endpoints": endpoints,
        "entries": entries,
    })
}

fn describe_grant(token: u64, grant: &GrantRecord, leader_state: Option<&LeaderState>) -> Value {
    let is_in_doubt = leader_state
        .map(|leader_state| leader_state.is_in_doubt(&grant.endpoint, grant.incarnation));
    json!({
        "model": grant.model.as_str(),
        "endpoint": grant.endpoint.as_str(),
        "version": grant.version,
        "fencing_token": token,
        "memory_mib": grant.memory_mib,
        "state": phase_name(grant.phase),
        "is_in_doubt": is_in_doubt,
        "is_replaced": grant.is_replaced,
        "granted_log_time_ms": grant.granted_ms,
    })
}

/// Returns a model's demand, grants and recent placement decisions, or `None` if it is unknown.
pub(super) fn explain_model(control: &ControlContext, model: &ModelName) -> Option<Value> {
    with_leader_state(control, |leader_state| {
        let demand =
            leader_state.and_then(|leader_state| leader_state.demand().get(model).copied());
        let demand = demand.unwrap_or_default();
        let decisions = leader_state.map(|leader_state| leader_state.decisions(model));
        let last_use = leader_state.and_then(|leader_state| leader_state.last_used.get(model));
        control.member.read(|state| {
            let listed = state.view.inventory.models.get(model)?;
            let grants: Vec<Value> = state
                .fleet
                .grants
                .iter()
                .filter(|(_, grant)| grant.model == *model)
                .map(|(token, grant)| describe_grant(token.0, grant, leader_state))
                .collect();
            Some(json!({
                "model": model.as_str(),
                "version": listed.version,
                "memory_mib": listed.memory_mib,
                "max_replicas": listed.max_replicas,
                "policy": state.view.rules.placement.policy,
                "queued": demand.queued,
                "in_flight": demand.in_flight,
                "oldest_wait_ms": demand.oldest_wait_ms,
                "idle_ms": last_use.map(|used| used.elapsed().as_millis() as u64),
                "grants": grants,
                "decisions": decisions,
            }))
        })
    })
}
