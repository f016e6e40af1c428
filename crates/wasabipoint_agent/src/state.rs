//! State of the agent, protected by one lock.

use std::collections::BTreeMap;

use slog::{Logger, info, warn};
use wasabipoint_kernel::{AdapterName, FencingToken, ModelName};
use wasabipoint_rpc::{
    AgentDirective, AgentReport, EndpointKind, Grant, ReplicaReport, ReplicaState,
};

use crate::cache_log::CacheLog;
use crate::config::AgentConfig;
use crate::endpoint::EngineSnapshot;
use crate::execution_ledger::{ExecutionLedger, ExecutionLimits};
use crate::memory_ledger::{Allocation, AllocationState, MemoryLedger};
use crate::plan::{
    CommandFailure, EngineAction, PlanInput, Replica, find_grant, has_failed, plan_action,
};

/// Delay before the first retry of a failed command.
const INITIAL_BACKOFF_MS: u64 = 1_000;

/// Maximum number of times that the retry delay doubles; it grows to 32 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdapterState {
    Loading,
    Loaded,
    Unloading,
}

/// State and use of an adapter that is loaded, being loaded or being unloaded.
#[derive(Debug, Clone)]
pub(crate) struct AdapterEntry {
    pub(crate) state: AdapterState,
    pub(crate) active_requests: u32,
    pub(crate) last_used_ms: u64,
}

#[derive(Debug)]
pub(crate) struct AgentState {
    pub(crate) directive: Option<AgentDirective>,
    pub(crate) snapshot: EngineSnapshot,
    // Whether the engine's state has been read and the engine still responds. Always true for a
    // plain service.
    pub(crate) has_engine_state: bool,
    pub(crate) replicas: BTreeMap<ModelName, Replica>,
    // Number of running requests by model.
    pub(crate) running_requests: BTreeMap<ModelName, u32>,
    pub(crate) failures: BTreeMap<ModelName, CommandFailure>,
    pub(crate) adapters: BTreeMap<AdapterName, AdapterEntry>,
    pub(crate) memory: MemoryLedger,
    pub(crate) executions: ExecutionLedger,
    pub(crate) cache_log: CacheLog,
    pub(crate) is_draining: bool,
    // Number of requests that were accepted and whose response is not completely written.
    pub(crate) accepted_requests: usize,
    pub(crate) report_sequence: u64,
    // Incremented when a command starts or ends. A snapshot whose read overlaps such a change is
    // not applied.
    pub(crate) command_epoch: u64,
}

impl AgentState {
    pub(crate) fn new(config: &AgentConfig) -> Self {
        Self {
            directive: None,
            snapshot: EngineSnapshot::default(),
            has_engine_state: config.kind == EndpointKind::Service,
            replicas: BTreeMap::new(),
            running_requests: BTreeMap::new(),
            failures: BTreeMap::new(),
            adapters: BTreeMap::new(),
            memory: MemoryLedger::new(config.memory_mib, config.kv_reserve_mib),
            executions: ExecutionLedger::new(ExecutionLimits::default()),
            cache_log: CacheLog::new(),
            is_draining: false,
            accepted_requests: 0,
            report_sequence: 0,
            command_epoch: 0,
        }
    }

    pub(crate) fn grants(&self) -> &[Grant] {
        self.directive
            .as_ref()
            .map_or(&[], |directive| &directive.grants)
    }

    /// Returns whether requests for a model may run: it is loaded and has a valid grant.
    pub(crate) fn is_serving(&self, model: &str) -> bool {
        self.has_engine_state
            && self.replicas.get(model).is_some_and(|replica| {
                replica.state == ReplicaState::Loaded
                    && find_grant(self.grants(), model, replica.version).is_some()
            })
    }

    pub(crate) fn apply_directive(&mut self, directive: AgentDirective, now_ms: u64) {
        self.directive = Some(directive);
        self.update_grant_validity(now_ms);
        let grants = self.directive.as_ref().map(|directive| &directive.grants);
        self.failures.retain(|model, _| {
            grants.is_some_and(|grants| grants.iter().any(|grant| grant.model == *model))
                || self.replicas.contains_key(model)
        });
    }

    /// Updates which replicas have a valid grant, once control has sent grants.
    fn update_grant_validity(&mut self, now_ms: u64) {
        let Some(directive) = &self.directive else {
            return;
        };
        for (model, replica) in &mut self.replicas {
            match find_grant(&directive.grants, model.as_str(), replica.version) {
                Some(grant) => {
                    replica.fencing_token = grant.fencing_token;
                    replica.ungranted_since_ms = None;
                }
                None => {
                    replica.ungranted_since_ms.get_or_insert(now_ms);
                }
            }
        }
    }

    /// Decides the next engine action, once the engine's state and the grants are known.
    pub(crate) fn plan(&self, now_ms: u64) -> Option<EngineAction> {
        let directive = self.directive.as_ref().filter(|_| self.has_engine_state)?;
        plan_action(&PlanInput {
            now_ms,
            is_draining: self.is_draining,
            grants: &directive.grants,
            replicas: &self.replicas,
            running_requests: &self.running_requests,
            failures: &self.failures,
            memory: &self.memory,
            idle_adapters: &self.idle_adapters(),
        })
    }

    /// Returns the loaded adapters without active requests, least recently used first.
    pub(crate) fn idle_adapters(&self) -> Vec<AdapterName> {
        let mut idle: Vec<_> = self
            .adapters
            .iter()
            .filter(|(_, entry)| entry.state == AdapterState::Loaded && entry.active_requests == 0)
            .collect();
        idle.sort_by_key(|(_, entry)| entry.last_used_ms);
        idle.into_iter().map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn loaded_adapters(&self) -> Vec<AdapterName> {
        self.adapters
            .iter()
            .filter(|(_, entry)| entry.state == AdapterState::Loaded)
            .map(|(name, _)| name.clone())
            .collect()
    }

    pub(crate) fn record_failure(
        &mut self,
        model: &ModelName,
        fencing_token: FencingToken,
        now_ms: u64,
    ) {
        let consecutive_failures = self
            .failures
            .get(model)
            .filter(|previous| previous.fencing_token == fencing_token)
            .map_or(1, |previous| previous.consecutive_failures + 1);
        let backoff_ms =
            INITIAL_BACKOFF_MS << (consecutive_failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        self.failures.insert(
            model.clone(),
            CommandFailure {
                fencing_token,
                retry_at_ms: now_ms + backoff_ms,
                consecutive_failures,
            },
        );
    }

    /// Removes a replica whose absence the engine confirmed, and frees its memory.
    pub(crate) fn remove_replica(&mut self, model: &ModelName) {
        self.replicas.remove(model);
        self.memory
            .confirm_absent(&Allocation::Replica(model.clone()));
    }

    /// Applies a snapshot of the engine's state. Returns whether a report to control is due.
    pub(crate) fn apply_snapshot(
        &mut self,
        snapshot: EngineSnapshot,
        now_ms: u64,
        logger: &Logger,
    ) -> bool {
        let old_state = (self.has_engine_state, self.replicas.clone());
        let has_restarted =
            !self.snapshot.instance.is_empty() && self.snapshot.instance != snapshot.instance;
        if has_restarted {
            warn!(logger, "agent: engine restarted"; "instance" => &snapshot.instance);
            self.replicas.clear();
            self.adapters.clear();
            self.memory.clear();
            self.cache_log.record_gap();
        }
        self.has_engine_state = true;
        self.apply_models(&snapshot, logger);
        self.apply_adapters(&snapshot, now_ms);
        self.memory.set_reported_usage(snapshot.memory_used_mib);
        self.snapshot = snapshot;
        self.update_grant_validity(now_ms);
        has_restarted || old_state.0 != self.has_engine_state || old_state.1 != self.replicas
    }

    fn apply_models(&mut self, snapshot: &EngineSnapshot, logger: &Logger) {
        let absent: Vec<_> = self
            .replicas
            .keys()
            .filter(|model| {
                !snapshot
                    .models
                    .iter()
                    .any(|engine_model| engine_model.model == **model)
            })
            .cloned()
            .collect();
        for model in absent {
            warn!(logger, "agent: model is no longer loaded on the engine"; "model" => %model);
            self.remove_replica(&model);
        }
        for engine_model in &snapshot.models {
            let allocation = Allocation::Replica(engine_model.model.clone());
            let granted_mib = self
                .grants()
                .iter()
                .find(|grant| {
                    grant.model == engine_model.model && grant.version == engine_model.version
                })
                .map(|grant| grant.memory_mib);
            let tracked_mib = self.memory.get(&allocation).map(|(mib, _)| mib);
            let memory_mib = engine_model
                .memory_mib
                .or(granted_mib)
                .or(tracked_mib)
                .unwrap_or(0);
            let state = match engine_model.state {
                ReplicaState::Loading => AllocationState::Loading,
                ReplicaState::Unloading => AllocationState::Unloading,
                ReplicaState::Loaded | ReplicaState::Failed => AllocationState::Loaded,
            };
            self.memory.record_reported(allocation, memory_mib, state);
            let replica = self
                .replicas
                .entry(engine_model.model.clone())
                .or_insert_with(|| {
                    info!(logger, "agent: found a model on the engine";
                        "model" => %engine_model.model, "version" => engine_model.version);
                    Replica {
                        version: engine_model.version,
                        fencing_token: engine_model.fencing_token,
                        state: engine_model.state,
                        ungranted_since_ms: None,
                    }
                });
            replica.version = engine_model.version;
            replica.state = engine_model.state;
        }
    }

    /// Applies the adapters that the engine reports as loaded. Adapters that are being loaded or
    /// unloaded are left to the task that runs the command.
    fn apply_adapters(&mut self, snapshot: &EngineSnapshot, now_ms: u64) {
        let unloaded: Vec<_> = self
            .adapters
            .iter()
            .filter(|(name, entry)| {
                entry.state == AdapterState::Loaded && !snapshot.adapters.contains(name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in unloaded {
            self.adapters.remove(&name);
            self.memory.confirm_absent(&Allocation::Adapter(name));
        }
        for name in &snapshot.adapters {
            if self.adapters.contains_key(name) {
                continue;
            }
            let listed = self.directive.as_ref().and_then(|directive| {
                let mut adapters = directive.adapters.iter();
                adapters.find(|(adapter, _, _)| adapter == name)
            });
            let memory_mib = listed.map_or(0, |(_, _, memory_mib)| *memory_mib);
            let allocation = Allocation::Adapter(name.clone());
            self.memory
                .record_reported(allocation, memory_mib, AllocationState::Loaded);
            self.adapters.insert(
                name.clone(),
                AdapterEntry {
                    state: AdapterState::Loaded,
                    active_requests: 0,
                    last_used_ms: now_ms,
                },
            );
        }
    }

    /// Fills in the parts of a report that change over time.
    pub(crate) fn fill_report(&mut self, report: &mut AgentReport) {
        self.report_sequence += 1;
        report.sequence = self.report_sequence;
        report.memory_mib = self.memory.usable_mib();
        report.memory_used_mib = self.memory.used_mib();
        report.is_draining = self.is_draining;
        report.has_engine_state = self.has_engine_state;
        if !self.has_engine_state {
            return;
        }
        report.replicas = self
            .replicas
            .iter()
            .map(|(model, replica)| ReplicaReport {
                model: model.clone(),
                version: replica.version,
                fencing_token: replica.fencing_token,
                state: if replica.ungranted_since_ms.is_some() {
                    ReplicaState::Unloading
                } else {
                    replica.state
                },
            })
            .collect();
        // A valid grant whose load has not started is reported as loading, because control takes
        // a missing replica as proof that the agent does not load under the grant.
        let waiting: Vec<_> = self
            .grants()
            .iter()
            .filter(|grant| !grant.is_revoked && !self.replicas.contains_key(&grant.model))
            .map(|grant| ReplicaReport {
                model: grant.model.clone(),
                version: grant.version,
                fencing_token: grant.fencing_token,
                state: if has_failed(&self.failures, grant) {
                    ReplicaState::Failed
                } else {
                    ReplicaState::Loading
                },
            })
            .collect();
        report.replicas.extend(waiting);
        report.adapters = self.loaded_adapters();
        report.checkpoints.clone_from(&self.snapshot.checkpoints);
    }
}
