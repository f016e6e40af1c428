//! Execution of one planned change of an engine, from the first command to the confirmed result.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::Instant;
use wasabipoint_kernel::{EngineSpec, FencingToken, ModelName};
use wasabipoint_policy::EngineChange;
use wasabipoint_rpc::EndpointView;

use super::tracker::{base_model, is_model};
use super::{
    CommandAnswer, EngineCommand, EngineCommander, EngineLedger, EngineOperation, EngineState,
};
use crate::context::ControlContext;
use crate::directory::commit_endpoint_changes;
use crate::state::EndpointChanges;

/// Timeout of a call to an engine or of a quorum check. Engines answer within milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the completion of a command is polled, about the lag of an engine's report.
const POLL_INTERVAL: Duration = Duration::from_millis(110);

/// Timeout of an unload, which waits for running requests.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of a load. Loads take longer while the weight store is busy.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends commands to one engine during one term of the leader.
pub(crate) struct EngineSession {
    pub(crate) control: Arc<ControlContext>,
    pub(crate) commander: Arc<dyn EngineCommander>,
    pub(crate) term: u64,
    pub(crate) endpoint: EndpointView,
    pub(crate) spec: Arc<EngineSpec>,
}

impl EngineSession {
    /// Unloads and loads the models of a change and publishes the result.
    pub(crate) async fn run(self, change: EngineChange, expected_load: Duration) {
        let started_at = Instant::now();
        let mut models = self.tracked_models();
        models.retain(|held| !belongs_to_any(held, &change.unload));
        self.publish(&models, false).await;
        let mut result = Ok(());
        for model in &change.unload {
            if result.is_ok() {
                result = self.unload(model).await;
            }
        }
        let load_started_at = Instant::now();
        if result.is_ok() {
            result = self.load(&change.load, expected_load).await;
        }
        let times = (load_started_at.elapsed(), expected_load);
        let times = result.is_ok().then_some(times);
        self.control.with_leader_state(self.term, |leader| {
            leader
                .engines
                .end_load(&self.endpoint.id, &change.load, times);
            if result.is_err() {
                leader.engines.record_failed_change(&self.endpoint.id);
            }
        });
        let ledger = self.ledger();
        let mut ledger = ledger.lock().await;
        let reported_models = self.read_state(&mut ledger).await.map(|_| ledger.models());
        let final_models = match &reported_models {
            Ok(models) => models.to_vec(),
            Err(_) if result.is_ok() => {
                models.push(change.load.clone());
                models
            }
            Err(_) => models,
        };
        drop(ledger);
        self.publish(&final_models, true).await;
        // The engine is free for its next change, so the planner runs without delay.
        self.control.wake_engine_planner.notify_one();
        let logger = &self.control.logger;
        match result {
            Ok(()) => info!(logger, "placement: changed"; "endpoint" => %self.endpoint.id,
                "loaded" => %change.load, "unloaded" => change.unload.len(),
                "is_from_store" => change.is_from_store,
                "elapsed_ms" => started_at.elapsed().as_millis() as u64),
            Err(detail) => warn!(logger, "placement: a change failed";
                "endpoint" => %self.endpoint.id, "model" => %change.load,
                "detail" => detail, "elapsed_ms" => started_at.elapsed().as_millis() as u64),
        }
    }

    /// Returns the models and adapters that the leader tracks as loaded on the engine.
    fn tracked_models(&self) -> Vec<ModelName> {
        self.control
            .with_leader_state(self.term, |leader| leader.engines.models(&self.endpoint))
    }

    /// Records the loaded models of the engine and commits them to the fleet view, which entry
    /// processes replicate. `is_finished` is whether the change has ended.
    pub(crate) async fn publish(&self, models: &[ModelName], is_finished: bool) {
        if self.control.member.leading_term() != Some(self.term) {
            return;
        }
        self.control.with_leader_state(self.term, |leader| {
            if is_finished {
                leader
                    .engines
                    .finish_change(&self.endpoint, models.to_vec());
            } else {
                leader.engines.begin_change(&self.endpoint, models.to_vec());
            }
        });
        let listed_endpoint = self.control.member.read(|state| {
            let listed = state.view.endpoints.get(&self.endpoint.id);
            listed
                .filter(|listed| listed.incarnation == self.endpoint.incarnation)
                .cloned()
        });
        if let Some(mut endpoint) = listed_endpoint {
            endpoint.models = models.to_vec();
            let changes = EndpointChanges {
                put: vec![endpoint],
                removed: Vec::new(),
            };
            commit_endpoint_changes(&self.control, changes).await;
        }
    }

    async fn unload(&self, model: &ModelName) -> Result<(), String> {
        self.execute(
            EngineOperation::Unload,
            model,
            Duration::ZERO,
            UNLOAD_TIMEOUT,
        )
        .await
    }

    async fn load(&self, model: &ModelName, expected: Duration) -> Result<(), String> {
        self.execute(EngineOperation::Load, model, expected, LOAD_TIMEOUT)
            .await
    }

    /// Sends a command and waits for its completion, resending it if the engine dropped it. Every
    /// command carries the sequence number that the engine reported. Of several commands with the
    /// same number the engine accepts at most one, however late they arrive.
    async fn execute(
        &self,
        operation: EngineOperation,
        model: &ModelName,
        expected: Duration,
        time_limit: Duration,
    ) -> Result<(), String> {
        let deadline = Instant::now() + time_limit;
        let wants_held = operation == EngineOperation::Load;
        let mut is_sent = false;
        while Instant::now() < deadline {
            if self.control.member.leading_term() != Some(self.term) {
                return Err("this member no longer leads".to_owned());
            }
            let ledger = self.ledger();
            let mut ledger = ledger.lock().await;
            let Ok(state) = self.read_state(&mut ledger).await else {
                drop(ledger);
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            let is_held = state.models.contains(model);
            let is_current = ledger.sequence(self.endpoint.incarnation) == Some(state.sequence);
            if is_held == wants_held && !state.is_busy && is_current {
                return Ok(());
            }
            let mut pause = POLL_INTERVAL;
            let is_idle = !state.is_busy && is_current;
            if is_idle && wants_held && !ledger.fits(&self.spec, model) {
                return Err("the engine has no free memory for the model".to_owned());
            }
            if is_idle && !is_sent {
                self.check_in_service()?;
                match self.send(&mut ledger, operation, model).await {
                    Ok(CommandAnswer::Accepted) => {
                        is_sent = true;
                        pause += expected;
                    }
                    Ok(CommandAnswer::AlreadyHolds) => return Ok(()),
                    Ok(CommandAnswer::Fenced) => {
                        return Err("the engine has seen a higher fencing token".to_owned());
                    }
                    Ok(CommandAnswer::Rejected | CommandAnswer::WrongEndpoint) => {
                        return Err("the engine rejected the command".to_owned());
                    }
                    Ok(CommandAnswer::Conflict) | Err(_) => {}
                }
            } else if is_idle {
                // The command was accepted but is neither in progress nor complete: the engine
                // dropped it, so it is sent again.
                is_sent = false;
            }
            drop(ledger);
            tokio::time::sleep(pause).await;
        }
        Err("the command did not complete in time".to_owned())
    }

    /// Returns the ledger of the engine. Its lock serializes the commands to that engine.
    pub(crate) fn ledger(&self) -> Arc<tokio::sync::Mutex<EngineLedger>> {
        self.control
            .with_leader_state(self.term, |leader| leader.engines.ledger(&self.endpoint.id))
    }

    /// Confirms that no other leader sends commands: this one still has a quorum, and the commands
    /// of its predecessor have arrived. The quorum has to be asked each time, since a process that
    /// was suspended cannot rely on its own clock, which may have stood still as well.
    async fn confirm_leadership(&self) -> Result<(), String> {
        let member = &self.control.member;
        let confirmed = tokio::time::timeout(ANSWER_TIMEOUT, member.replica().confirm_read()).await;
        let has_quorum = matches!(confirmed, Ok(Ok(_)));
        if !has_quorum || member.leading_term() != Some(self.term) {
            return Err("another member may lead".to_owned());
        }
        let may_command = self
            .control
            .with_leader_state(self.term, |leader| leader.engines.may_command());
        if !may_command {
            return Err("commands of an earlier leader may still arrive".to_owned());
        }
        Ok(())
    }

    /// Fails if the failure domain of the engine is out of service. A command that the engine has
    /// accepted ends there, but the rest of its change is dropped: a load would use the weight store for
    /// an engine that gets no requests.
    fn check_in_service(&self) -> Result<(), String> {
        let member = &self.control.member;
        if member.read(|state| state.view.is_out_of_service(&self.endpoint)) {
            return Err("the failure domain of the engine is out of service".to_owned());
        }
        Ok(())
    }

    /// Sends one command. A load is sent only if the model or adapter fits according to the ledger.
    pub(crate) async fn send(
        &self,
        ledger: &mut EngineLedger,
        operation: EngineOperation,
        model: &ModelName,
    ) -> Result<CommandAnswer, String> {
        self.confirm_leadership().await?;
        self.check_in_service()?;
        let Some(expected_sequence) = ledger.sequence(self.endpoint.incarnation) else {
            return Err("the state of the engine is not known".to_owned());
        };
        let is_held = ledger.models().contains(model);
        if operation == EngineOperation::Load && !is_held && !ledger.fits(&self.spec, model) {
            return Err("the engine has no room".to_owned());
        }
        let command = EngineCommand {
            operation,
            model: model.clone(),
            expected_sequence,
            holder: format!("member-{}", self.control.member.id()),
            fencing_token: FencingToken(self.term),
        };
        let call = self.commander.command(&self.endpoint, &command);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, call).await;
        let answer = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        match answer {
            Ok(CommandAnswer::Accepted) => ledger.record_accepted(operation, model),
            // An engine unloads an unused adapter before it answers, so it reports that the adapter
            // is already gone.
            Ok(CommandAnswer::AlreadyHolds)
                if operation == EngineOperation::Unload && is_held && !is_model(model) =>
            {
                ledger.record_accepted(operation, model);
            }
            _ => ledger.invalidate(),
        }
        info!(self.control.logger, "placement: command"; "endpoint" => %self.endpoint.id,
            "operation" => ?operation, "model" => %model, "sequence" => expected_sequence,
            "fencing_token" => self.term, "answer" => ?answer);
        answer
    }

    /// Queries the state of the engine and updates the ledger.
    pub(crate) async fn read_state(
        &self,
        ledger: &mut EngineLedger,
    ) -> Result<EngineState, String> {
        let query = tokio::time::timeout(ANSWER_TIMEOUT, self.commander.state(&self.endpoint));
        let state = query
            .await
            .unwrap_or_else(|_| Err("no answer in time".to_owned()))?;
        ledger.apply_report(self.endpoint.incarnation, &state);
        self.control.with_leader_state(self.term, |leader| {
            leader
                .engines
                .add_disk_models(&self.endpoint.id, &state.local_models);
        });
        Ok(state)
    }
}

/// Returns whether a name is one of the models or an adapter of one.
fn belongs_to_any(name: &ModelName, models: &[ModelName]) -> bool {
    models.contains(&base_model(name))
}
