//! Builds the snapshot of the fleet that placement policies decide on.

use std::collections::BTreeSet;

use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, FencingToken, ModelName};
use wasabipoint_policy::{
    EndpointCapacity, GrantState, GrantView, ModelView, PlacementView, StoreView,
};
use wasabipoint_rpc::{AgentReport, CheckpointTier, EndpointKind};

use crate::leader_state::LeaderState;
use crate::state::{ControlState, GrantPhase, GrantRecord, Registration};

/// Returns the version and memory that the inventory lists for a model.
pub(crate) fn listed_model_version(state: &ControlState, model: &ModelName) -> Option<(u64, u64)> {
    let model = state.view.inventory.models.get(model)?;
    Some((model.version, model.memory_mib))
}

/// Lists the grants that another replica may replace: those that have been in doubt for too long,
/// and those on leaving endpoints, which only finish their requests.
pub(crate) fn replaceable_grants(
    state: &ControlState,
    leader_state: &LeaderState,
) -> BTreeSet<FencingToken> {
    let grants = state.fleet.grants.iter();
    grants
        .filter(|(_, grant)| is_replaceable_grant(state, leader_state, grant))
        .map(|(token, _)| *token)
        .collect()
}

fn is_replaceable_grant(
    state: &ControlState,
    leader_state: &LeaderState,
    grant: &GrantRecord,
) -> bool {
    let registration = state.fleet.endpoints.get(&grant.endpoint);
    registration.is_none_or(|registration| {
        registration.is_leaving
            || leader_state.is_replaceable(&grant.endpoint, registration.incarnation)
    })
}

/// Builds the policy's view for one round of decisions. Replaceable grants are omitted.
pub(crate) fn build_view(
    state: &ControlState,
    leader_state: &mut LeaderState,
    now_ms: u64,
) -> PlacementView {
    let rules = &state.view.rules;
    let replaceable = replaceable_grants(state, leader_state);
    let loads_running = count_store_loads(state, leader_state);
    let loads_allowed = leader_state
        .store_limiter
        .available_loads(&rules.store, loads_running);
    let demand = leader_state.demand();
    let models = state.view.inventory.models.values().map(|model| {
        let model_demand = demand.get(&model.name).copied().unwrap_or_default();
        let idle_ms = leader_state
            .last_used
            .get(&model.name)
            .map(|used| elapsed_ms(*used));
        ModelView {
            name: model.name.clone(),
            memory_mib: model.memory_mib,
            max_replicas: model.max_replicas,
            queued: model_demand.queued,
            in_flight: model_demand.in_flight,
            oldest_wait_ms: model_demand.oldest_wait_ms,
            earliest_deadline_ms: model_demand.earliest_deadline_ms,
            idle_ms,
            load_ms_by_endpoint: nearby_load_times(
                state,
                leader_state,
                &model.name,
                model.memory_mib,
            ),
            remote_load_ms: leader_state
                .load_times
                .estimate_ms(CheckpointTier::Remote, model.memory_mib),
        }
    });
    let models = models.collect();
    let endpoints = state
        .fleet
        .endpoints
        .iter()
        .filter(|(_, registration)| registration.kind == EndpointKind::Engine)
        .map(|(endpoint, registration)| {
            endpoint_capacity(state, leader_state, endpoint, registration)
        })
        .collect();
    let grants = state
        .fleet
        .grants
        .iter()
        .filter(|(token, _)| !replaceable.contains(token))
        .map(|(token, grant)| grant_view(state, leader_state, now_ms, *token, grant))
        .collect();
    PlacementView {
        cycle_ms: now_ms % rules.placement.day_ms.max(1),
        rules: rules.placement.clone(),
        models,
        endpoints,
        grants,
        store: StoreView {
            limits: rules.store.clone(),
            loads_running,
            loads_allowed,
        },
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// Counts the running loads from the weight store. The tier of a load that an earlier leader
/// granted is unknown and counts as remote.
fn count_store_loads(state: &ControlState, leader_state: &LeaderState) -> u32 {
    let loading = state.fleet.grants.iter().filter(|(token, grant)| {
        let tier = leader_state.load_tiers.get(token).copied();
        let is_remote = tier.is_none_or(|tier| tier == CheckpointTier::Remote);
        grant.phase == GrantPhase::Loading
            && is_remote
            && !leader_state.is_in_doubt(&grant.endpoint, grant.incarnation)
    });
    loading.count() as u32
}

/// Estimates the load times of a model on the endpoints whose VM holds its checkpoint.
fn nearby_load_times(
    state: &ControlState,
    leader_state: &LeaderState,
    model: &ModelName,
    memory_mib: u64,
) -> Vec<(EndpointId, u64)> {
    let nearby_checkpoints = leader_state.nearby_checkpoints(model);
    nearby_checkpoints
        .filter(|(endpoint, _)| state.fleet.endpoints.contains_key(*endpoint))
        .map(|(endpoint, tier)| {
            let load_ms = leader_state.load_times.estimate_ms(tier, memory_mib);
            (endpoint.clone(), load_ms)
        })
        .collect()
}

fn endpoint_capacity(
    state: &ControlState,
    leader_state: &LeaderState,
    endpoint: &EndpointId,
    registration: &Registration,
) -> EndpointCapacity {
    let report = leader_state.fresh_report(endpoint, registration.incarnation);
    let is_placeable =
        report.is_some() && !registration.is_leaving && registration.has_engine_state;
    EndpointCapacity {
        id: endpoint.clone(),
        failure_domain: registration.failure_domain.clone(),
        memory_mib: registration.memory_mib,
        free_mib: free_mib(state, endpoint, registration, report),
        accelerators: registration.accelerators,
        concurrency: registration.concurrency,
        is_placeable,
    }
}

/// Returns the memory that is neither reserved by a grant nor reported as used. The used memory
/// that an agent reports includes adapters and replicas without a grant, but not the grants that the
/// agent doesn't list as replicas yet, so these are added.
fn free_mib(
    state: &ControlState,
    endpoint: &EndpointId,
    registration: &Registration,
    report: Option<&AgentReport>,
) -> u64 {
    let granted_mib = state.fleet.reserved_mib(endpoint);
    let Some(report) = report else {
        return registration.memory_mib.saturating_sub(granted_mib);
    };
    let pending_mib: u64 = state
        .fleet
        .grants_of(endpoint)
        .filter(|(_, grant)| {
            report
                .replicas
                .iter()
                .all(|replica| replica.model != grant.model)
        })
        .map(|(_, grant)| grant.memory_mib)
        .sum();
    let used_mib = granted_mib.max(report.memory_used_mib + pending_mib);
    registration.memory_mib.saturating_sub(used_mib)
}

fn grant_view(
    state: &ControlState,
    leader_state: &LeaderState,
    now_ms: u64,
    token: FencingToken,
    grant: &GrantRecord,
) -> GrantView {
    let registration = state.fleet.endpoints.get(&grant.endpoint);
    let is_in_doubt = registration.is_none_or(|registration| {
        leader_state.is_in_doubt(&grant.endpoint, registration.incarnation)
    });
    let grant_state = match grant.phase {
        _ if is_in_doubt => GrantState::InDoubt,
        GrantPhase::Loading => GrantState::Loading,
        GrantPhase::Loaded => GrantState::Loaded,
        GrantPhase::Revoked => GrantState::Revoked,
    };
    GrantView {
        model: grant.model.clone(),
        endpoint: grant.endpoint.clone(),
        fencing_token: token,
        state: grant_state,
        age_ms: now_ms.saturating_sub(grant.granted_ms),
    }
}

/// Estimates the time until a model can serve requests. Returns `None` if it has a loaded replica or
/// is not in the inventory.
pub(crate) fn estimate_cold_start_ms(
    state: &ControlState,
    leader_state: &LeaderState,
    model: &ModelName,
    now_ms: u64,
) -> Option<u64> {
    let (_, memory_mib) = listed_model_version(state, model)?;
    let mut earliest_ms = None;
    for (token, grant) in &state.fleet.grants {
        if grant.model != *model || grant.phase == GrantPhase::Revoked {
            continue;
        }
        if leader_state.is_in_doubt(&grant.endpoint, grant.incarnation) {
            continue;
        }
        if grant.phase == GrantPhase::Loaded {
            return None;
        }
        let tier = leader_state.load_tiers.get(token).copied();
        let load_ms = leader_state
            .load_times
            .estimate_ms(tier.unwrap_or(CheckpointTier::Remote), memory_mib);
        let age_ms = now_ms.saturating_sub(grant.granted_ms);
        let remaining_ms = load_ms.saturating_sub(age_ms).max(load_ms / 10);
        earliest_ms =
            Some(earliest_ms.map_or(remaining_ms, |earliest: u64| earliest.min(remaining_ms)));
    }
    earliest_ms.or_else(|| {
        let nearby = nearby_load_times(state, leader_state, model, memory_mib);
        let nearest_ms = nearby.into_iter().map(|(_, load_ms)| load_ms).min();
        let remote_ms = leader_state
            .load_times
            .estimate_ms(CheckpointTier::Remote, memory_mib);
        let queued_batches =
            count_store_loads(state, leader_state) / state.view.rules.store.loads_at_once.max(1);
        Some(nearest_ms.unwrap_or(remote_ms * (1 + u64::from(queued_batches))))
    })
}
