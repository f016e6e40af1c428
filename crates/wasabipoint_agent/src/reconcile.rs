//! Brings the engine to what the grants say, with one command in flight.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::Instant;
use wasabipoint_kernel::{FencingToken, ModelName};
use wasabipoint_rpc::{Grant, ReplicaState};

use crate::agent::Core;
use crate::endpoint::{CommandError, EngineSnapshot, ModelCommand};
use crate::memory_ledger::Holding;
use crate::plan::{Replica, Step};
use crate::state::AgentState;

/// Time between reads of the engine's state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Reads that fail in a row before the engine's state counts as unknown.
const FAILED_READS: u32 = 3;

/// Time after which a command that the engine does not show is taken as lost, since its
/// connection may have gone silent.
const COMMAND_SILENCE: Duration = Duration::from_secs(5);

/// Runs until the agent ends.
pub(crate) async fn reconcile(core: Arc<Core>) {
    let mut reconciler = Reconciler {
        core,
        failed_reads: 0,
        cache_after: 0,
    };
    reconciler.take_over().await;
    let mut refreshed_at = Instant::now();
    loop {
        let wake = reconciler.core.reconcile_wake.notified();
        let _ = tokio::time::timeout_at(refreshed_at + POLL_INTERVAL, wake).await;
        if refreshed_at.elapsed() >= POLL_INTERVAL {
            reconciler.refresh().await;
            refreshed_at = Instant::now();
        }
        while let Some(step) = reconciler.next_step() {
            reconciler.run_step(step).await;
        }
    }
}

struct Reconciler {
    core: Arc<Core>,
    failed_reads: u32,
    cache_after: u64,
}

impl Reconciler {
    /// Waits until connections of an earlier agent have ended, and then reads what the engine
    /// holds. Commands of the earlier agent that are still under way show in this read.
    async fn take_over(&mut self) {
        while self.core.endpoint.read_state().await.is_err() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(self.core.config.predecessor_wait).await;
        self.refresh().await;
    }

    fn next_step(&self) -> Option<Step> {
        self.core.state().plan(self.core.clock.now_ms())
    }

    /// Reads the engine's state and its cache events.
    async fn refresh(&mut self) {
        let epoch = self.core.state().command_epoch;
        match self.core.endpoint.read_state().await {
            Ok(snapshot) => {
                self.failed_reads = 0;
                self.apply(snapshot, epoch);
                self.read_cache_events().await;
            }
            Err(error) => self.note_failed_read(error.detail()),
        }
    }

    fn apply(&mut self, snapshot: EngineSnapshot, epoch: u64) {
        let core = &self.core;
        let mut state = core.state();
        if state.command_epoch != epoch {
            return;
        }
        if state.snapshot.instance != snapshot.instance {
            self.cache_after = 0;
        }
        let is_changed = state.apply_snapshot(snapshot, core.clock.now_ms(), &core.logger);
        drop(state);
        if is_changed {
            core.report_wake.notify_one();
            core.adapters_changed.notify_waiters();
        }
    }

    fn note_failed_read(&mut self, detail: &str) {
        self.failed_reads += 1;
        if self.failed_reads != FAILED_READS {
            return;
        }
        warn!(self.core.logger, "agent: the engine does not answer"; "detail" => detail);
        // Nothing is known of an engine that does not answer: it gets no requests, and control
        // goes on counting its grants.
        self.core.state().is_engine_known = false;
        self.core.report_wake.notify_one();
    }

    async fn read_cache_events(&mut self) {
        if let Ok(page) = self.core.endpoint.read_cache_events(self.cache_after).await {
            let mut state = self.core.state();
            if page.has_gap {
                state.cache.mark_gap();
            }
            state.cache.append(page.events);
            self.cache_after = page.last;
        }
    }

    async fn run_step(&mut self, step: Step) {
        match step {
            Step::Load(grant) => self.load(&grant).await,
            Step::Unload {
                model,
                fencing_token,
            } => self.unload(&model, fencing_token).await,
            Step::EvictAdapter(adapter) => Core::evict_adapter(&self.core, &adapter).await,
            Step::RefuseLoad(grant) => {
                warn!(self.core.logger, "agent: a granted model does not fit into the memory";
                    "model" => %grant.model, "needed_mib" => grant.memory_mib,
                    "free_mib" => self.core.state().memory.free_mib());
                self.note_failure(&grant.model, grant.fencing_token);
            }
        }
    }

    fn note_failure(&self, model: &ModelName, fencing_token: FencingToken) {
        let now_ms = self.core.clock.now_ms();
        let mut state = self.core.state();
        state.note_failure(model, fencing_token, now_ms);
        drop(state);
        self.core.report_wake.notify_one();
    }

    /// Changes the state around a command, so that no snapshot from before is applied after it.
    fn update(&self, change: impl FnOnce(&mut AgentState)) {
        let mut state = self.core.state();
        state.command_epoch += 1;
        change(&mut state);
        drop(state);
        self.core.report_wake.notify_one();
    }

    async fn load(&mut self, grant: &Grant) {
        let holding = Holding::Replica(grant.model.clone());
        let replica = Replica {
            version: grant.version,
            fencing_token: grant.fencing_token,
            state: ReplicaState::Loading,
            invalid_since_ms: None,
        };
        let mut is_refused = false;
        self.update(|state| {
            is_refused = state
                .memory
                .begin_load(holding.clone(), grant.memory_mib)
                .is_err();
            if !is_refused {
                state.replicas.insert(grant.model.clone(), replica);
            }
        });
        if is_refused {
            return;
        }
        info!(self.core.logger, "agent: loading a model";
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
                warn!(self.core.logger, "agent: a load has no success answer";
                    "model" => %grant.model, "error" => ?error);
                self.ask_for_model(&command.model, command.version, &error)
                    .await
            }
        };
        if is_loaded {
            self.core.meters.record_load(started_at.elapsed());
            self.update(|state| {
                state.memory.confirm_load(&holding);
                state.failures.remove(&grant.model);
                if let Some(replica) = state.replicas.get_mut(&grant.model) {
                    replica.state = ReplicaState::Loaded;
                }
            });
        } else {
            self.update(|state| state.remove_replica(&grant.model));
            self.note_failure(&grant.model, grant.fencing_token);
        }
        self.refresh().await;
    }

    /// Sends a load and reads the engine's state beside it, since the connection may go silent or
    /// the engine may restart.
    async fn send_load(&self, command: &ModelCommand) -> Result<(), CommandError> {
        let instance = self.core.state().snapshot.instance.clone();
        let answer = self.core.endpoint.load(command.clone());
        tokio::pin!(answer);
        let mut absent_since = None;
        let mut loaded_reads = 0;
        loop {
            let read = async {
                tokio::time::sleep(POLL_INTERVAL).await;
                self.core.endpoint.read_state().await
            };
            let snapshot = tokio::select! {
                answer = &mut answer => return answer,
                snapshot = read => snapshot,
            };
            let Ok(snapshot) = snapshot else { continue };
            if snapshot.instance != instance {
                return Err(CommandError::Unanswered("the engine restarted".to_owned()));
            }
            match find_state(&snapshot, &command.model, command.version) {
                Some(ReplicaState::Loaded) => loaded_reads += 1,
                Some(_) => absent_since = None,
                None => {
                    let since = *absent_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= COMMAND_SILENCE {
                        let detail = "the engine does not show the load".to_owned();
                        return Err(CommandError::Unanswered(detail));
                    }
                }
            }
            // One more read leaves the answer the time of a poll to arrive.
            if loaded_reads == 2 {
                return Ok(());
            }
        }
    }

    /// Asks the engine whether it holds a model after a command without a success answer.
    async fn ask_for_model(
        &mut self,
        model: &ModelName,
        version: u64,
        error: &CommandError,
    ) -> bool {
        if matches!(error, CommandError::Unanswered(_)) {
            // The command may still be on its way; the engine gets the same time as for the
            // commands of an earlier agent.
            tokio::time::sleep(self.core.config.predecessor_wait).await;
        }
        loop {
            match self.core.endpoint.read_state().await {
                Ok(snapshot) => match find_state(&snapshot, model, version) {
                    Some(ReplicaState::Loaded) => return true,
                    Some(_) => {}
                    None => return false,
                },
                Err(error) => self.note_failed_read(error.detail()),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn unload(&mut self, model: &ModelName, fencing_token: FencingToken) {
        let holding = Holding::Replica(model.clone());
        let mut version = 0;
        self.update(|state| {
            state.memory.begin_unload(&holding);
            if let Some(replica) = state.replicas.get_mut(model) {
                replica.state = ReplicaState::Unloading;
                version = replica.version;
            }
        });
        info!(self.core.logger, "agent: unloading a model";
            "model" => %model, "version" => version, "fencing_token" => fencing_token.0);
        let command = ModelCommand {
            model: model.clone(),
            version,
            memory_mib: 0,
            fencing_token,
        };
        let answer = tokio::time::timeout(COMMAND_SILENCE, self.core.endpoint.unload(command))
            .await
            .unwrap_or_else(|_| Err(CommandError::Unanswered("no answer in time".to_owned())));
        let is_held = match answer {
            Ok(()) => false,
            Err(error) => {
                warn!(self.core.logger, "agent: an unload has no success answer";
                    "model" => %model, "error" => ?error);
                self.ask_for_model(model, version, &error).await
            }
        };
        if is_held {
            self.update(|state| {
                if let Some(replica) = state.replicas.get_mut(model) {
                    replica.state = ReplicaState::Loaded;
                }
            });
            self.note_failure(model, fencing_token);
        } else {
            self.update(|state| {
                state.remove_replica(model);
                state.failures.remove(model);
            });
        }
        self.refresh().await;
    }
}

fn find_state(snapshot: &EngineSnapshot, model: &ModelName, version: u64) -> Option<ReplicaState> {
    snapshot
        .models
        .iter()
        .find(|held| held.model == *model && held.version == version)
        .map(|held| held.state)
}
