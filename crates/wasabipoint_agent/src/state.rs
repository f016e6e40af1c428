//! The agent's state, behind one lock.

use std::collections::BTreeMap;

use slog::{Logger, info, warn};
use wasabipoint_kernel::{AdapterName, FencingToken, ModelName};
use wasabipoint_rpc::{
    AgentDirective, AgentReport, EndpointKind, Grant, ReplicaReport, ReplicaState,
};

use crate::cache_log::CacheLog;
use crate::config::AgentConfig;
use crate::endpoint::EngineSnapshot;
use crate::execution_ledger::{ExecutionBounds, ExecutionLedger};
use crate::memory_ledger::{Holding, HoldingState, MemoryLedger};
use crate::plan::{LoadFailure, PlanInput, Replica, Step, find_grant, has_failed, plan_step};

/// First pause before a failed command is repeated.
const RETRY_MS: u64 = 1_000;

/// Doublings of the pause; it grows to 32 s.
const RETRY_DOUBLINGS: u32 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdapterState {
    Loading,
    Loaded,
    Unloading,
}

#[derive(Debug, Clone)]
pub(crate) struct AdapterEntry {
    pub(crate) state: AdapterState,
    pub(crate) in_use: u32,
    pub(crate) last_used_ms: u64,
}

#[derive(Debug)]
pub(crate) struct AgentState {
    pub(crate) directive: Option<AgentDirective>,
    pub(crate) snapshot: EngineSnapshot,
    pub(crate) is_engine_known: bool,
    pub(crate) replicas: BTreeMap<ModelName, Replica>,
    pub(crate) running: BTreeMap<ModelName, u32>,
    pub(crate) failures: BTreeMap<ModelName, LoadFailure>,
    pub(crate) adapters: BTreeMap<AdapterName, AdapterEntry>,
    pub(crate) memory: MemoryLedger,
    pub(crate) executions: ExecutionLedger,
    pub(crate) cache: CacheLog,
    pub(crate) is_draining: bool,
    // Requests from their acceptance until their response was written.
    pub(crate) accepted: usize,
    pub(crate) report_sequence: u64,
    // Counts starts and ends of commands; a snapshot that was read across one is not applied.
    pub(crate) command_epoch: u64,
}

impl AgentState {
    pub(crate) fn new(config: &AgentConfig) -> Self {
        Self {
            directive: None,
            snapshot: EngineSnapshot::default(),
            is_engine_known: config.kind == EndpointKind::Service,
            replicas: BTreeMap::new(),
            running: BTreeMap::new(),
            failures: BTreeMap::new(),
            adapters: BTreeMap::new(),
            memory: MemoryLedger::new(config.memory_mib, config.kv_reserve_mib),
            executions: ExecutionLedger::new(ExecutionBounds::default()),
            cache: CacheLog::new(),
            is_draining: false,
            accepted: 0,
            report_sequence: 0,
            command_epoch: 0,
        }
    }

    pub(crate) fn grants(&self) -> &[Grant] {
        self.directive
            .as_ref()
            .map_or(&[], |directive| &directive.grants)
    }

    /// Tells whether requests for a model may run now.
    pub(crate) fn is_serving(&self, model: &str) -> bool {
        self.is_engine_known
            && self.replicas.get(model).is_some_and(|replica| {
                replica.state == ReplicaState::Loaded
                    && find_grant(self.grants(), model, replica.version).is_some()
            })
    }

    pub(crate) fn set_directive(&mut self, directive: AgentDirective, now_ms: u64) {
        self.directive = Some(directive);
        self.check_grants(now_ms);
        let grants = self.directive.as_ref().map(|directive| &directive.grants);
        self.failures.retain(|model, _| {
            grants.is_some_and(|grants| grants.iter().any(|grant| grant.model == *model))
                || self.replicas.contains_key(model)
        });
    }

    /// Notes which replicas have a valid grant, once grants are known.
    fn check_grants(&mut self, now_ms: u64) {
        let Some(directive) = &self.directive else {
            return;
        };
        for (model, replica) in &mut self.replicas {
            match find_grant(&directive.grants, model.as_str(), replica.version) {
                Some(grant) => {
                    replica.fencing_token = grant.fencing_token;
                    replica.invalid_since_ms = None;
                }
                None => {
                    replica.invalid_since_ms.get_or_insert(now_ms);
                }
            }
        }
    }

    /// Decides the next command, once the engine's state and the grants are known.
    pub(crate) fn plan(&self, now_ms: u64) -> Option<Step> {
        let directive = self.directive.as_ref().filter(|_| self.is_engine_known)?;
        plan_step(&PlanInput {
            now_ms,
            is_draining: self.is_draining,
            grants: &directive.grants,
            replicas: &self.replicas,
            running: &self.running,
            failures: &self.failures,
            memory: &self.memory,
            idle_adapters: &self.idle_adapters(),
        })
    }

    /// Lists loaded adapters without requests, least recently used first.
    pub(crate) fn idle_adapters(&self) -> Vec<AdapterName> {
        let mut idle: Vec<_> = self
            .adapters
            .iter()
            .filter(|(_, entry)| entry.state == AdapterState::Loaded && entry.in_use == 0)
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

    pub(crate) fn note_failure(
        &mut self,
        model: &ModelName,
        fencing_token: FencingToken,
        now_ms: u64,
    ) {
        let attempts = self
            .failures
            .get(model)
            .filter(|previous| previous.fencing_token == fencing_token)
            .map_or(1, |previous| previous.attempts + 1);
        let pause_ms = RETRY_MS << (attempts - 1).min(RETRY_DOUBLINGS);
        self.failures.insert(
            model.clone(),
            LoadFailure {
                fencing_token,
                retry_at_ms: now_ms + pause_ms,
                attempts,
            },
        );
    }

    /// Forgets a replica that the engine confirmed to be absent, and its adapters' memory.
    pub(crate) fn remove_replica(&mut self, model: &ModelName) {
        self.replicas.remove(model);
        self.memory.confirm_absent(&Holding::Replica(model.clone()));
    }

    /// Applies the engine's state; true when something changed that control should know.
    pub(crate) fn apply_snapshot(
        &mut self,
        snapshot: EngineSnapshot,
        now_ms: u64,
        logger: &Logger,
    ) -> bool {
        let before = (self.is_engine_known, self.replicas.clone());
        let is_restart =
            !self.snapshot.instance.is_empty() && self.snapshot.instance != snapshot.instance;
        if is_restart {
            warn!(logger, "agent: the engine restarted"; "instance" => &snapshot.instance);
            self.replicas.clear();
            self.adapters.clear();
            self.memory.clear();
            self.cache.mark_gap();
        }
        self.is_engine_known = true;
        self.apply_models(&snapshot, logger);
        self.apply_adapters(&snapshot, now_ms);
        self.memory.set_reported(snapshot.memory_used_mib);
        self.snapshot = snapshot;
        self.check_grants(now_ms);
        is_restart || before.0 != self.is_engine_known || before.1 != self.replicas
    }

    fn apply_models(&mut self, snapshot: &EngineSnapshot, logger: &Logger) {
        let absent: Vec<_> = self
            .replicas
            .keys()
            .filter(|model| !snapshot.models.iter().any(|held| held.model == **model))
            .cloned()
            .collect();
        for model in absent {
            warn!(logger, "agent: the engine no longer holds the model"; "model" => %model);
            self.remove_replica(&model);
        }
        for held in &snapshot.models {
            let holding = Holding::Replica(held.model.clone());
            let granted = self
                .grants()
                .iter()
                .find(|grant| grant.model == held.model && grant.version == held.version)
                .map(|grant| grant.memory_mib);
            let known = self.memory.get(&holding).map(|(mib, _)| mib);
            let memory_mib = held.memory_mib.or(granted).or(known).unwrap_or(0);
            let state = match held.state {
                ReplicaState::Loading => HoldingState::Loading,
                ReplicaState::Unloading => HoldingState::Unloading,
                ReplicaState::Loaded | ReplicaState::Failed => HoldingState::Loaded,
            };
            self.memory.observe(holding, memory_mib, state);
            let replica = self.replicas.entry(held.model.clone()).or_insert_with(|| {
                info!(logger, "agent: the engine holds a model";
                    "model" => %held.model, "version" => held.version);
                Replica {
                    version: held.version,
                    fencing_token: held.fencing_token,
                    state: held.state,
                    invalid_since_ms: None,
                }
            });
            replica.version = held.version;
            replica.state = held.state;
        }
    }

    /// Adapters in transit are left to the task that moves them.
    fn apply_adapters(&mut self, snapshot: &EngineSnapshot, now_ms: u64) {
        let gone: Vec<_> = self
            .adapters
            .iter()
            .filter(|(name, entry)| {
                entry.state == AdapterState::Loaded && !snapshot.adapters.contains(name)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.adapters.remove(&name);
            self.memory.confirm_absent(&Holding::Adapter(name));
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
            let holding = Holding::Adapter(name.clone());
            self.memory
                .observe(holding, memory_mib, HoldingState::Loaded);
            self.adapters.insert(
                name.clone(),
                AdapterEntry {
                    state: AdapterState::Loaded,
                    in_use: 0,
                    last_used_ms: now_ms,
                },
            );
        }
    }

    /// Builds the parts of a report that change.
    pub(crate) fn fill_report(&mut self, report: &mut AgentReport) {
        self.report_sequence += 1;
        report.sequence = self.report_sequence;
        report.memory_mib = self.memory.usable_mib();
        report.memory_used_mib = self.memory.used_mib();
        report.is_draining = self.is_draining;
        report.is_engine_known = self.is_engine_known;
        if !self.is_engine_known {
            return;
        }
        report.replicas = self
            .replicas
            .iter()
            .map(|(model, replica)| ReplicaReport {
                model: model.clone(),
                version: replica.version,
                fencing_token: replica.fencing_token,
                state: if replica.invalid_since_ms.is_some() {
                    ReplicaState::Unloading
                } else {
                    replica.state
                },
            })
            .collect();
        // A live grant that waits for its load counts as loading: control takes absence as proof
        // that the agent does not load under the grant.
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
