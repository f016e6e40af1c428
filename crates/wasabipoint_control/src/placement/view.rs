//! The typed snapshot that placement policies decide on.

use std::collections::BTreeSet;

use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, FencingToken, ModelName};
use wasabipoint_policy::{
    EndpointCapacity, GrantState, GrantView, ModelView, PlacementView, StoreView,
};
use wasabipoint_rpc::{AgentReport, CheckpointTier, EndpointKind};

use crate::leader_state::LeaderState;
use crate::state::{ControlState, GrantPhase, GrantRecord, Registration};

/// Returns the version and memory under which a model is granted now.
pub(crate) fn live_version(state: &ControlState, model: &ModelName) -> Option<(u64, u64)> {
    let model = state.view.inventory.models.get(model)?;
    Some((model.version, model.memory_mib))
}

/// Lists the grants that the policy decides without, so that another replica may take their place:
/// those in doubt for long, and those on endpoints that leave and only finish their requests.
pub(crate) fn hidden_grants(
    state: &ControlState,
    leader_state: &LeaderState,
) -> BTreeSet<FencingToken> {
    let grants = state.fleet.grants.iter();
    grants
        .filter(|(_, grant)| is_hidden(state, leader_state, grant))
        .map(|(token, _)| *token)
        .collect()
}

fn is_hidden(state: &ControlState, leader_state: &LeaderState, grant: &GrantRecord) -> bool {
    let known = state.fleet.endpoints.get(&grant.endpoint);
    known.is_none_or(|known| {
        known.is_leaving || leader_state.is_replaceable(&grant.endpoint, known.incarnation)
    })
}

/// Builds the view of one decision.
pub(crate) fn build_view(
    state: &ControlState,
    leader_state: &mut LeaderState,
    now_ms: u64,
) -> PlacementView {
    let rules = &state.view.rules;
    let hidden = hidden_grants(state, leader_state);
    let loads_running = count_store_loads(state, leader_state);
    let loads_allowed = leader_state.pacer.allowed(&rules.store, loads_running);
    let demand = leader_state.demand();
    let models = state.view.inventory.models.values().map(|model| {
        let sum = demand.get(&model.name).copied().unwrap_or_default();
        let idle_ms = leader_state
            .last_used
            .get(&model.name)
            .map(|used| elapsed_ms(*used));
        ModelView {
            name: model.name.clone(),
            memory_mib: model.memory_mib,
            max_replicas: model.max_replicas,
            queued: sum.queued,
            in_flight: sum.in_flight,
            oldest_wait_ms: sum.oldest_wait_ms,
            earliest_deadline_ms: sum.earliest_deadline_ms,
            idle_ms,
            load_ms_by_endpoint: near_load_times(
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
        .filter(|(_, known)| known.kind == EndpointKind::Engine)
        .map(|(endpoint, known)| capacity(state, leader_state, endpoint, known))
        .collect();
    let grants = state
        .fleet
        .grants
        .iter()
        .filter(|(token, _)| !hidden.contains(token))
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

/// Counts loads that use the weight store; the tier of loads granted by an earlier leader is not
/// known and counts as remote.
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

fn near_load_times(
    state: &ControlState,
    leader_state: &LeaderState,
    model: &ModelName,
    memory_mib: u64,
) -> Vec<(EndpointId, u64)> {
    let near = leader_state.near(model);
    near.filter(|(endpoint, _)| state.fleet.endpoints.contains_key(*endpoint))
        .map(|(endpoint, tier)| {
            let load_ms = leader_state.load_times.estimate_ms(tier, memory_mib);
            (endpoint.clone(), load_ms)
        })
        .collect()
}

fn capacity(
    state: &ControlState,
    leader_state: &LeaderState,
    endpoint: &EndpointId,
    known: &Registration,
) -> EndpointCapacity {
    let report = leader_state.fresh_report(endpoint, known.incarnation);
    let is_placeable = report.is_some() && !known.is_leaving && known.is_engine_known;
    EndpointCapacity {
        endpoint: endpoint.clone(),
        failure_domain: known.failure_domain.clone(),
        memory_mib: known.memory_mib,
        free_mib: free_mib(state, endpoint, known, report),
        accelerators: known.accelerators,
        concurrency: known.concurrency,
        is_placeable,
    }
}

/// Memory that neither a counted grant nor anything that the agent reports has taken. What the
/// agent reports holds adapters and replicas without a grant; grants that it has not begun to load
/// are added.
fn free_mib(
    state: &ControlState,
    endpoint: &EndpointId,
    known: &Registration,
    report: Option<&AgentReport>,
) -> u64 {
    let granted_mib = state.fleet.reserved_mib(endpoint);
    let Some(report) = report else {
        return known.memory_mib.saturating_sub(granted_mib);
    };
    let unreported_mib: u64 = state
        .fleet
        .grants_of(endpoint)
        .filter(|(_, grant)| report.replicas.iter().all(|held| held.model != grant.model))
        .map(|(_, grant)| grant.memory_mib)
        .sum();
    let taken_mib = granted_mib.max(report.memory_used_mib + unreported_mib);
    known.memory_mib.saturating_sub(taken_mib)
}

fn grant_view(
    state: &ControlState,
    leader_state: &LeaderState,
    now_ms: u64,
    token: FencingToken,
    grant: &GrantRecord,
) -> GrantView {
    let known = state.fleet.endpoints.get(&grant.endpoint);
    let is_in_doubt =
        known.is_none_or(|known| leader_state.is_in_doubt(&grant.endpoint, known.incarnation));
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

/// Estimates when a model serves that has no loaded replica; `None` when it has one.
pub(crate) fn estimate_cold_start_ms(
    state: &ControlState,
    leader_state: &LeaderState,
    model: &ModelName,
    now_ms: u64,
) -> Option<u64> {
    let (_, memory_mib) = live_version(state, model)?;
    let mut soonest = None;
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
        let left_ms = load_ms.saturating_sub(age_ms).max(load_ms / 10);
        soonest = Some(soonest.map_or(left_ms, |known: u64| known.min(left_ms)));
    }
    soonest.or_else(|| {
        let near = near_load_times(state, leader_state, model, memory_mib);
        let nearest = near.into_iter().map(|(_, load_ms)| load_ms).min();
        let remote_ms = leader_state
            .load_times
            .estimate_ms(CheckpointTier::Remote, memory_mib);
        let waves =
            count_store_loads(state, leader_state) / state.view.rules.store.loads_at_once.max(1);
        Some(nearest.unwrap_or(remote_ms * (1 + u64::from(waves))))
    })
}
