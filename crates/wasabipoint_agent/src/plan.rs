//! Decides the next action of the reconciliation loop from the grants and the engine's state.

use std::collections::BTreeMap;

use wasabipoint_kernel::{AdapterName, FencingToken, ModelName};
use wasabipoint_rpc::{Grant, ReplicaState};

use crate::memory_ledger::MemoryLedger;

/// Time in which the running requests of a replica without a valid grant may end before it is
/// unloaded. Responses longer than a minute are rare, and other replicas wait for the memory.
pub(crate) const REVOKED_DRAIN_TIMEOUT_MS: u64 = 60_000;

/// A replica on the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Replica {
    /// Version of the checkpoint.
    pub version: u64,
    /// Fencing token of the grant or, without one, of the engine's last command.
    pub fencing_token: FencingToken,
    /// State on the engine.
    pub state: ReplicaState,
    /// Time since which the replica has had no valid grant, or `None` if it has one.
    pub ungranted_since_ms: Option<u64>,
}

/// A failure of the last command for a model.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandFailure {
    /// Fencing token of the failed command.
    pub fencing_token: FencingToken,
    /// Time from which an unload may be retried. Loads are not retried under the same token.
    pub retry_at_ms: u64,
    /// Number of failures in a row under this token.
    pub consecutive_failures: u32,
}

/// Input of [`plan_action`].
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// Current time of the agent's clock.
    pub now_ms: u64,
    /// Whether the agent is shutting down and starts no loads.
    pub is_draining: bool,
    /// Grants of the endpoint, including revoked ones.
    pub grants: &'a [Grant],
    /// Replicas on the engine.
    pub replicas: &'a BTreeMap<ModelName, Replica>,
    /// Number of running requests by model.
    pub running_requests: &'a BTreeMap<ModelName, u32>,
    /// Last command failures by model.
    pub failures: &'a BTreeMap<ModelName, CommandFailure>,
    /// The memory ledger.
    pub memory: &'a MemoryLedger,
    /// Loaded adapters without active requests, least recently used first.
    pub idle_adapters: &'a [AdapterName],
}

/// An action of the reconciliation loop.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineAction {
    /// Unload a replica.
    Unload {
        /// The model.
        model: ModelName,
        /// Fencing token of the command.
        fencing_token: FencingToken,
    },
    /// Load the granted replica.
    Load(Grant),
    /// Unload the adapter to make room for a granted replica.
    EvictAdapter(AdapterName),
    /// Refuse the grant, because its replica does not fit into the memory.
    RefuseLoad(Grant),
}

/// Returns the valid grant for a version of a model.
pub(crate) fn find_grant<'a>(grants: &'a [Grant], model: &str, version: u64) -> Option<&'a Grant> {
    grants.iter().find(|grant| {
        grant.model.as_str() == model && grant.version == version && !grant.is_revoked
    })
}

/// Decides the next action. Unloads come before loads.
pub fn plan_action(input: &PlanInput<'_>) -> Option<EngineAction> {
    plan_unload(input).or_else(|| plan_load(input))
}

/// Returns whether a command may be sent. After a failure under the same token, this is the case
/// only once the retry delay has passed.
fn may_send_command(input: &PlanInput<'_>, model: &ModelName, token: FencingToken) -> bool {
    input
        .failures
        .get(model)
        .is_none_or(|failure| failure.fencing_token != token || failure.retry_at_ms <= input.now_ms)
}

/// Returns whether the load of a grant failed. It is not retried under the same token, because
/// control takes the reported failure as proof that the grant is released, and decides again.
pub(crate) fn has_failed(failures: &BTreeMap<ModelName, CommandFailure>, grant: &Grant) -> bool {
    failures
        .get(&grant.model)
        .is_some_and(|failure| failure.fencing_token == grant.fencing_token)
}

fn plan_unload(input: &PlanInput<'_>) -> Option<EngineAction> {
    input.replicas.iter().find_map(|(model, replica)| {
        let ungranted_since_ms = replica.ungranted_since_ms?;
        let is_unused = input
            .running_requests
            .get(model)
            .is_none_or(|count| *count == 0);
        let is_timed_out =
            input.now_ms.saturating_sub(ungranted_since_ms) >= REVOKED_DRAIN_TIMEOUT_MS;
        if replica.state != ReplicaState::Loaded || !(is_unused || is_timed_out) {
            return None;
        }
        // Without a valid grant, the token is above all granted ones. It fences off a load under
        // the revoked grant that has not reached the engine yet. Tokens of later grants of the
        // model are at least as large.
        let granted_tokens = input
            .grants
            .iter()
            .filter(|grant| grant.model == *model)
            .map(|grant| grant.fencing_token);
        let highest_token = granted_tokens.fold(replica.fencing_token, std::cmp::max);
        let has_valid_grant = input
            .grants
            .iter()
            .any(|grant| grant.model == *model && !grant.is_revoked);
        let fencing_token = if has_valid_grant {
            highest_token
        } else {
            FencingToken(highest_token.0 + 1)
        };
        may_send_command(input, model, fencing_token).then(|| EngineAction::Unload {
            model: model.clone(),
            fencing_token,
        })
    })
}

fn plan_load(input: &PlanInput<'_>) -> Option<EngineAction> {
    if input.is_draining {
        return None;
    }
    let mut pending: Vec<_> = input
        .grants
        .iter()
        .filter(|grant| !grant.is_revoked && !input.replicas.contains_key(&grant.model))
        .filter(|grant| !has_failed(input.failures, grant))
        .collect();
    pending.sort_by_key(|grant| grant.fencing_token);
    let fits = |grant: &&&Grant| grant.memory_mib <= input.memory.free_mib();
    if let Some(grant) = pending.iter().find(fits) {
        return Some(EngineAction::Load((*grant).clone()));
    }
    let grant = pending.first()?;
    let is_unload_expected = input
        .replicas
        .values()
        .any(|replica| replica.ungranted_since_ms.is_some());
    if is_unload_expected {
        return None;
    }
    Some(match input.idle_adapters.first() {
        Some(adapter) => EngineAction::EvictAdapter(adapter.clone()),
        None => EngineAction::RefuseLoad((*grant).clone()),
    })
}
