//! Reconciles the engine with the grants, with at most one model command in flight.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::Instant;
use wasabipoint_kernel::{FencingToken, ModelName};
use wasabipoint_rpc::{Grant, ReplicaState};

use crate::agent::AgentContext;
use crate::endpoint::{CommandError, EngineSnapshot, ModelCommand};
use crate::memory_ledger::Allocation;
use crate::plan::{EngineAction, Replica};
use crate::state::AgentState;

/// Interval between reads of the engine's state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Number of failed reads in a row at which the engine's state counts as unknown.
const MAX_FAILED_READS: u32 = 3;

/// Time after which a load that the engine's state does not list, or an unload without a response,
/// counts as lost. Its connection may be dead.
const LOST_COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the reconciliation loop until the agent stops.
pub(crate) async fn reconcile(context: Arc<AgentContext>) {
    let mut reconciler = Reconciler {
        context,
        failed_reads: 0,
        last_cache_event: 0,
    };
    reconciler.wait_for_predecessor().await;
    let mut refreshed_at = Instant::now();
    loop {
        let requested = reconciler.context.reconcile_requested.notified();
        let _ = tokio::time::timeout_at(refreshed_at + POLL_INTERVAL, requested).await;
        if refreshed_at.elapsed() >= POLL_INTERVAL {
            reconciler.refresh().await;
            refreshed_at = Instant::now();
        }
        while let Some(action) = reconciler.next_action() {
            reconciler.execute(action).await;
        }
    }
}

struct Reconciler {
    context: Arc<AgentContext>,
    // Number of failed state reads in a row.
    failed_reads: u32,
    // Engine's sequence number of the last cache event that was read.
    last_cache_event: u64,
}

impl Reconciler {
    /// Waits until the engine responds and the connections of an earlier agent have ended, and then
    /// reads the engine's state. It then includes the effects of commands that the earlier agent
    /// had in flight.
    async fn wait_for_predecessor(&mut self) {
        while self.context.endpoint.read_state().await.is_err() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(self.context.config.predecessor_wait).await;
        self.refresh().await;
    }

    fn next_action(&self) -> Option<EngineAction> {
        self.context.state().plan(self.context.clock.now_ms())
    }

    /// Reads the engine's state and its cache events.
    async fn refresh(&mut self) {
        let epoch = self.context.state().command_epoch;
        match self.context.endpoint.read_state().await {
            Ok(snapshot) => {
                self.failed_reads = 0;
                self.apply_if_current(snapshot, epoch);
                self.read_cache_events().await;
            }
            Err(error) => self.record_failed_read(error.detail()),
        }
    }

    fn apply_if_current(&mut self, snapshot: EngineSnapshot, epoch: u64) {
        let context = &self.context;
        let mut state = context.state();
        if state.command_epoch != epoch {
            return;
        }
        if state.snapshot.instance != snapshot.instance {
            self.last_cache_event = 0;
        }
        let is_changed = state.apply_snapshot(snapshot, context.clock.now_ms(), &context.logger);
        drop(state);
        if is_changed {
            context.report_requested.notify_one();
            context.adapters_changed.notify_waiters();
        }
    }

    fn record_failed_read(&mut self, detail: &str) {
        self.failed_reads += 1;
        if self.failed_reads != MAX_FAILED_READS {
            return;
        }
        warn!(self.context.logger, "agent: engine does not respond"; "detail" => detail);
        // The state of an engine that does not respond is unknown: it gets no requests, and control
        // keeps counting its grants.
        self.context.state().has_engine_state = false;
        self.context.report_requested.notify_one();
    }

    async fn read_cache_events(&mut self) {
        if let Ok(page) = self
            .context
            .endpoint
            .read_cache_events(self.last_cache_event)
            .await
        {
            let mut state = self.context.state();
            if page.has_gap {
                state.cache_log.record_gap();
            }
            state.cache_log.append(page.events);
            self.last_cache_event = page.last;
        }
    }

    async fn execute(&mut self, action: EngineAction) {
        match action {
            EngineAction::Load(grant) => self.load(&grant).await,
            EngineAction::Unload {
                model,
                fencing_token,
            } => self.unload(&model, fencing_token).await,
            EngineAction::EvictAdapter(adapter) => {
                AgentContext::evict_adapter(&self.context, &adapter).await;
            }
            EngineAction::RefuseLoad(grant) => {
                warn!(self.context.logger, "agent: granted model does not fit into memory";
                    "model" => %grant.model, "needed_mib" => grant.memory_mib,
                    "free_mib" => self.context.state().memory.free_mib());
                self.record_failure(&grant.model, grant.fencing_token);
            }
        }
    }

    fn record_failure(&self, model: &ModelName, fencing_token: FencingToken) {
        let now_ms = self.context.clock.now_ms();
        let mut state = self.context.state();
        state.record_failure(model, fencing_token, now_ms);
        drop(state);
        self.context.report_requested.notify_one();
    }

    /// Changes the state at the start or end of a command. A snapshot whose read began before the
    /// change is not applied after it.
    fn update_state(&self, change: impl FnOnce(&mut AgentState)) {
        let mut state = self.context.state();
        state.command_epoch += 1;
        change(&mut state);
        drop(state);
        self.context.report_requested.notify_one();
    }

    async fn load(&mut self, grant: &Grant) {
        let allocation = Allocation::Replica(grant.model.clone());
        let replica = Replica {
            version: grant.version,
            fencing_token: grant.fencing_token,
            state: ReplicaState::Loading,
            ungranted_since_ms: None,
        };
        let mut is_refused = false;
        self.update_state(|state| {
            is_refused = state
                .memory
                .begin_load(allocation.clone(), grant.memory_mib)
                .is_err();
            if !is_refused {
                state.replicas.insert(grant.model.clone(), replica);
            }
        });
        if is_refused {
            return;
        }
        info!(self.context.logger, "agent: loading model";
            "model" => %grant.model, "version" => grant.version,
            "fencing_token" => grant.fencing_token.0);
        let started_at = Instant::now();
        let command = ModelCommand {
            model: grant.model.clone(),
            version: grant.version,
            memory_mib: grant.memory_mib,
            fencing_token: grant.fencing_token,
        };
        let is_loaded = match self.send_load(&command).await {
            Ok(()) => true,
            Err(error) => {
                warn!(self.context.logger, "agent: load was not confirmed";
                    "model" => %grant.model, "error" => ?error);
                self.query_model(&command.model, command.version, &error)
                    .await
            }
        };
        if is_loaded {
            self.context.metrics.record_load(started_at.elapsed());
            self.update_state(|state| {
                state.memory.confirm_load(&allocation);
                state.failures.remove(&grant.model);
                if let Some(replica) = state.replicas.get_mut(&grant.model) {
                    replica.state = ReplicaState::Loaded;
                }
            });
        } else {
            self.update_state(|state| state.remove_replica(&grant.model));
            self.record_failure(&grant.model, grant.fencing_token);
        }
        self.refresh().await;
    }

    /// Sends a load and polls the engine's state meanwhile, because the connection may die or the
    /// engine may restart.
    async fn send_load(&self, command: &ModelCommand) -> Result<(), CommandError> {
        let instance = self.context.state().snapshot.instance.clone();
        let pending_load = self.context.endpoint.load(command.clone());
        tokio::pin!(pending_load);
        let mut absent_since = None;
        let mut loaded_reads = 0;
        loop {
            let read = async {
                tokio::time::sleep(POLL_INTERVAL).await;
                self.context.endpoint.read_state().await
            };
            let snapshot = tokio::select! {
                result = &mut pending_load => return result,
                snapshot = read => snapshot,
            };
            let Ok(snapshot) = snapshot else { continue };
            if snapshot.instance != instance {
                return Err(CommandError::Unanswered("the engine restarted".to_owned()));
            }
            match find_replica_state(&snapshot, &command.model, command.version) {
                Some(ReplicaState::Loaded) => loaded_reads += 1,
                Some(_) => absent_since = None,
                None => {
                    let since = *absent_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= LOST_COMMAND_TIMEOUT {
                        let detail = "the engine's state does not list the load".to_owned();
                        return Err(CommandError::Unanswered(detail));
                    }
                }
            }
            // The second read gives the response one more poll interval to arrive.
            if loaded_reads == 2 {
                return Ok(());
            }
        }
    }

    /// Queries the engine after a command that was not confirmed, until it is known whether the
    /// model is loaded.
    async fn query_model(&mut self, model: &ModelName, version: u64, error: &CommandError) -> bool {
        if matches!(error, CommandError::Unanswered(_)) {
            // The command may still reach the engine, so the agent waits as long as for commands of
            // an earlier agent.
            tokio::time::sleep(self.context.config.predecessor_wait).await;
        }
        loop {
            match self.context.endpoint.read_state().await {
                Ok(snapshot) => match find_replica_state(&snapshot, model, version) {
                    Some(ReplicaState::Loaded) => return true,
                    Some(_) => {}
                    None => return false,
                },
                Err(error) => self.record_failed_read(error.detail()),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn unload(&mut self, model: &ModelName, fencing_token: FencingToken) {
        let allocation = Allocation::Replica(model.clone());
        let mut version = 0;
        self.update_state(|state| {
            state.memory.begin_unload(&allocation);
            if let Some(replica) = state.replicas.get_mut(model) {
                replica.state = ReplicaState::Unloading;
                version = replica.version;
            }
        });
        info!(self.context.logger, "agent: unloading model";
            "model" => %model, "version" => version, "fencing_token" => fencing_token.0);
        let command = ModelCommand {
            model: model.clone(),
            version,
            memory_mib: 0,
            fencing_token,
        };
        let result =
            tokio::time::timeout(LOST_COMMAND_TIMEOUT, self.context.endpoint.unload(command))
                .await
                .unwrap_or_else(|_| {
                    Err(CommandError::Unanswered("no response in time".to_owned()))
                });
        let is_still_loaded = match result {
            Ok(()) => false,
            Err(error) => {
                warn!(self.context.logger, "agent: unload was not confirmed";
                    "model" => %model, "error" => ?error);
                self.query_model(model, version, &error).await
            }
        };
        if is_still_loaded {
            self.update_state(|state| {
                if let Some(replica) = state.replicas.get_mut(model) {
                    replica.state = ReplicaState::Loaded;
                }
            });
            self.record_failure(model, fencing_token);
        } else {
            self.update_state(|state| {
                state.remove_replica(model);
                state.failures.remove(model);
            });
        }
        self.refresh().await;
    }
}

fn find_replica_state(
    snapshot: &EngineSnapshot,
    model: &ModelName,
    version: u64,
) -> Option<ReplicaState> {
    snapshot
        .models
        .iter()
        .find(|engine_model| engine_model.model == *model && engine_model.version == version)
        .map(|engine_model| engine_model.state)
}
