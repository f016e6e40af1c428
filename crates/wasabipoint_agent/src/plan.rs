//! Decides the next command for the engine from grants and the engine's state.

use std::collections::BTreeMap;

use wasabipoint_kernel::{AdapterName, FencingToken, ModelName};
use wasabipoint_rpc::{Grant, ReplicaState};

use crate::memory_ledger::MemoryLedger;

/// Time in which requests of a replica without a valid grant may end before it is unloaded. Longer
/// answers than a minute are rare, and the memory is wanted elsewhere.
pub(crate) const REVOKED_DRAIN_MS: u64 = 60_000;

/// A replica at the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Replica {
    /// Version of the checkpoint.
    pub version: u64,
    /// Fencing token of the grant or, without one, of the engine's last command.
    pub fencing_token: FencingToken,
    /// State at the engine.
    pub state: ReplicaState,
    /// Since when the replica has no valid grant.
    pub invalid_since_ms: Option<u64>,
}

/// The last command for a model failed.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadFailure {
    /// Fencing token of the grant.
    pub fencing_token: FencingToken,
    /// When an unload may be repeated; a load is not.
    pub retry_at_ms: u64,
    /// Failures in a row.
    pub attempts: u32,
}

/// What the decision is based on.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// The agent's time.
    pub now_ms: u64,
    /// Whether the agent is shutting down; it starts no loads then.
    pub is_draining: bool,
    /// All grants of the endpoint.
    pub grants: &'a [Grant],
    /// Replicas at the engine.
    pub replicas: &'a BTreeMap<ModelName, Replica>,
    /// Running requests by model.
    pub running: &'a BTreeMap<ModelName, u32>,
    /// Failed commands by model.
    pub failures: &'a BTreeMap<ModelName, LoadFailure>,
    /// The memory ledger.
    pub memory: &'a MemoryLedger,
    /// Adapters without requests, least recently used first.
    pub idle_adapters: &'a [AdapterName],
}

/// The next command.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Unload the replica with this fencing token.
    Unload {
        /// The model.
        model: ModelName,
        /// Token of the command.
        fencing_token: FencingToken,
    },
    /// Load the granted replica.
    Load(Grant),
    /// Unload the adapter to make room for a granted replica.
    EvictAdapter(AdapterName),
    /// Refuse the grant, whose replica does not fit into the memory.
    RefuseLoad(Grant),
}

/// Returns the grant that allows a replica.
pub(crate) fn find_grant<'a>(grants: &'a [Grant], model: &str, version: u64) -> Option<&'a Grant> {
    grants.iter().find(|grant| {
        grant.model.as_str() == model && grant.version == version && !grant.is_revoked
    })
}

/// Decides the next command; unloads come before loads.
pub fn plan_step(input: &PlanInput<'_>) -> Option<Step> {
    plan_unload(input).or_else(|| plan_load(input))
}

fn may_try(input: &PlanInput<'_>, model: &ModelName, token: FencingToken) -> bool {
    input
        .failures
        .get(model)
        .is_none_or(|failure| failure.fencing_token != token || failure.retry_at_ms <= input.now_ms)
}

/// Tells whether the load of a grant failed. It is not tried again under the same token: control
/// takes the reported failure as proof that the grant is released, and decides anew.
pub(crate) fn has_failed(failures: &BTreeMap<ModelName, LoadFailure>, grant: &Grant) -> bool {
    failures
        .get(&grant.model)
        .is_some_and(|failure| failure.fencing_token == grant.fencing_token)
}

fn plan_unload(input: &PlanInput<'_>) -> Option<Step> {
    input.replicas.iter().find_map(|(model, replica)| {
        let since_ms = replica.invalid_since_ms?;
        let has_ended = input.running.get(model).is_none_or(|count| *count == 0);
        let is_overdue = input.now_ms.saturating_sub(since_ms) >= REVOKED_DRAIN_MS;
        if replica.state != ReplicaState::Loaded || !(has_ended || is_overdue) {
            return None;
        }
        // The next token fences off a load of the same grant that is still on its way. Tokens of
        // later grants of the model are at least as large.
        let granted = input
            .grants
            .iter()
            .filter(|grant| grant.model == *model)
            .map(|grant| grant.fencing_token);
        let last = granted.fold(replica.fencing_token, std::cmp::max);
        let has_successor = input
            .grants
            .iter()
            .any(|grant| grant.model == *model && !grant.is_revoked);
        let fencing_token = if has_successor {
            last
        } else {
            FencingToken(last.0 + 1)
        };
        may_try(input, model, fencing_token).then(|| Step::Unload {
            model: model.clone(),
            fencing_token,
        })
    })
}

fn plan_load(input: &PlanInput<'_>) -> Option<Step> {
    if input.is_draining {
        return None;
    }
    let mut wanted: Vec<_> = input
        .grants
        .iter()
        .filter(|grant| !grant.is_revoked && !input.replicas.contains_key(&grant.model))
        .filter(|grant| !has_failed(input.failures, grant))
        .collect();
    wanted.sort_by_key(|grant| grant.fencing_token);
    let fits = |grant: &&&Grant| grant.memory_mib <= input.memory.free_mib();
    if let Some(grant) = wanted.iter().find(fits) {
        return Some(Step::Load((*grant).clone()));
    }
    let grant = wanted.first()?;
    let is_unload_expected = input
        .replicas
        .values()
        .any(|replica| replica.invalid_since_ms.is_some());
    if is_unload_expected {
        return None;
    }
    Some(match input.idle_adapters.first() {
        Some(adapter) => Step::EvictAdapter(adapter.clone()),
        None => Step::RefuseLoad((*grant).clone()),
    })
}
