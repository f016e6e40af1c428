//! One change of what an engine holds, from the first command to the confirmed result.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::Instant;
use wasabipoint_kernel::{EngineSpec, FencingToken, ModelName};
use wasabipoint_policy::EngineChange;
use wasabipoint_rpc::EndpointView;

use super::book::{base_of, is_model};
use super::{
    CommandAnswer, EngineCommand, EngineCommander, EngineLedger, EngineOperation, EngineState,
};
use crate::control::Control;
use crate::directory::commit;
use crate::state::EndpointChanges;

/// Longest wait for an answer of an engine. Engines answer within milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between questions whether a command is complete, about the lag of an engine's report.
const CHECK_PAUSE: Duration = Duration::from_millis(110);

/// Longest time for an unload, which waits for the requests that run.
const UNLOAD_LIMIT: Duration = Duration::from_secs(30);

/// Longest time for a load. A load takes longer while the store is busy.
const LOAD_LIMIT: Duration = Duration::from_secs(20);

/// Sends commands to one engine on behalf of one term of the leader.
pub(crate) struct EngineSession {
    pub(crate) control: Arc<Control>,
    pub(crate) commander: Arc<dyn EngineCommander>,
    pub(crate) term: u64,
    pub(crate) endpoint: EndpointView,
    pub(crate) spec: Arc<EngineSpec>,
}

impl EngineSession {
    /// Unloads and loads models and publishes the result.
    pub(crate) async fn run(self, change: EngineChange, expected_load: Duration) {
        let began = Instant::now();
        let mut models = self.held();
        models.retain(|held| !is_part_of(held, &change.unload));
        self.publish(&models, false).await;
        let mut result = Ok(());
        for model in &change.unload {
            if result.is_ok() {
                result = self.unload(model).await;
            }
        }
        let load_began = Instant::now();
        if result.is_ok() {
            result = self.load(&change.load, expected_load).await;
        }
        let times = (load_began.elapsed(), expected_load);
        let times = result.is_ok().then_some(times);
        self.control.with_leader_state(self.term, |leader| {
            leader
                .engines
                .end_load(&self.endpoint.endpoint, &change.load, times);
            if result.is_err() {
                leader.engines.note_failed_change(&self.endpoint.endpoint);
            }
        });
        let ledger = self.ledger();
        let mut ledger = ledger.lock().await;
        let state = self.read_state(&mut ledger).await.map(|_| ledger.models());
        let held = match &state {
            Ok(models) => models.to_vec(),
            Err(_) if result.is_ok() => {
                models.push(change.load.clone());
                models
            }
            Err(_) => models,
        };
        drop(ledger);
        self.publish(&held, true).await;
        // The engine can take the next change at once.
        self.control.wake_engines.notify_one();
        let logger = &self.control.logger;
        match result {
            Ok(()) => info!(logger, "placement: changed"; "endpoint" => %self.endpoint.endpoint,
                "loaded" => %change.load, "unloaded" => change.unload.len(),
                "is_from_store" => change.is_from_store,
                "elapsed_ms" => began.elapsed().as_millis() as u64),
            Err(detail) => warn!(logger, "placement: a change failed";
                "endpoint" => %self.endpoint.endpoint, "model" => %change.load,
                "detail" => detail, "elapsed_ms" => began.elapsed().as_millis() as u64),
        }
    }

    fn held(&self) -> Vec<ModelName> {
        self.control
            .with_leader_state(self.term, |leader| leader.engines.models(&self.endpoint))
    }

    /// Records what the engine holds and commits it for the entry processes.
    pub(crate) async fn publish(&self, models: &[ModelName], is_finished: bool) {
        if self.control.member.leading_term() != Some(self.term) {
            return;
        }
        self.control.with_leader_state(self.term, |leader| {
            if is_finished {
                leader.engines.finish(&self.endpoint, models.to_vec());
            } else {
                leader.engines.begin(&self.endpoint, models.to_vec());
            }
        });
        let current = self.control.member.read(|state| {
            let known = state.view.endpoints.get(&self.endpoint.endpoint);
            known
                .filter(|known| known.incarnation == self.endpoint.incarnation)
                .cloned()
        });
        if let Some(mut endpoint) = current {
            endpoint.models = models.to_vec();
            let changes = EndpointChanges {
                put: vec![endpoint],
                removed: Vec::new(),
            };
            commit(&self.control, changes).await;
        }
    }

    async fn unload(&self, model: &ModelName) -> Result<(), String> {
        self.carry_out(EngineOperation::Unload, model, Duration::ZERO, UNLOAD_LIMIT)
            .await
    }

    async fn load(&self, model: &ModelName, expected: Duration) -> Result<(), String> {
        self.carry_out(EngineOperation::Load, model, expected, LOAD_LIMIT)
            .await
    }

    /// Sends a command and waits until it is complete. Every command names the sequence number
    /// that the engine reported, so that one of two can be carried out, however late they arrive.
    async fn carry_out(
        &self,
        operation: EngineOperation,
        model: &ModelName,
        expected: Duration,
        limit: Duration,
    ) -> Result<(), String> {
        let deadline = Instant::now() + limit;
        let wants_held = operation == EngineOperation::Load;
        let mut is_sent = false;
        while Instant::now() < deadline {
            if self.control.member.leading_term() != Some(self.term) {
                return Err("another member leads".to_owned());
            }
            let ledger = self.ledger();
            let mut ledger = ledger.lock().await;
            let Ok(state) = self.read_state(&mut ledger).await else {
                drop(ledger);
                tokio::time::sleep(CHECK_PAUSE).await;
                continue;
            };
            let is_held = state.models.contains(model);
            let is_current = ledger.sequence(self.endpoint.incarnation) == Some(state.sequence);
            if is_held == wants_held && !state.is_busy && is_current {
                return Ok(());
            }
            let mut pause = CHECK_PAUSE;
            let is_idle = !state.is_busy && is_current;
            if is_idle && wants_held && !ledger.fits(&self.spec, model) {
                return Err("the engine has no room".to_owned());
            }
            if is_idle && !is_sent {
                match self.send(&mut ledger, operation, model).await {
                    Ok(CommandAnswer::Accepted) => {
                        is_sent = true;
                        pause += expected;
                    }
                    Ok(CommandAnswer::AlreadyHolds) => return Ok(()),
                    Ok(CommandAnswer::Fenced) => {
                        return Err("a higher fencing token was used".to_owned());
                    }
                    Ok(CommandAnswer::Rejected | CommandAnswer::WrongEndpoint) => {
                        return Err("the engine rejects the command".to_owned());
                    }
                    Ok(CommandAnswer::Conflict) | Err(_) => {}
                }
            } else if is_idle {
                // Accepted, not in progress and not complete: the engine gave it up.
                is_sent = false;
            }
            drop(ledger);
            tokio::time::sleep(pause).await;
        }
        Err("not complete in time".to_owned())
    }

    /// Returns the ledger of the engine; its lock keeps any other command out.
    pub(crate) fn ledger(&self) -> Arc<tokio::sync::Mutex<EngineLedger>> {
        self.control.with_leader_state(self.term, |leader| {
            leader.engines.ledger(&self.endpoint.endpoint)
        })
    }

    /// Confirms that no other leader commands engines: this one still has a quorum, and the commands
    /// of its predecessor have arrived. A process that was paused finds out only by asking, since no
    /// clock of its own need have gone on.
    async fn confirm_command(&self) -> Result<(), String> {
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

    /// Sends one command that fits by the ledger.
    pub(crate) async fn send(
        &self,
        ledger: &mut EngineLedger,
        operation: EngineOperation,
        model: &ModelName,
    ) -> Result<CommandAnswer, String> {
        self.confirm_command().await?;
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
        let sent = self.commander.command(&self.endpoint, &command);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, sent).await;
        let answer = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        match answer {
            Ok(CommandAnswer::Accepted) => ledger.accept(operation, model),
            // An adapter that no request uses is unloaded at once.
            Ok(CommandAnswer::AlreadyHolds)
                if operation == EngineOperation::Unload && is_held && !is_model(model) =>
            {
                ledger.accept(operation, model);
            }
            _ => ledger.forget(),
        }
        info!(self.control.logger, "placement: command"; "endpoint" => %self.endpoint.endpoint,
            "operation" => ?operation, "model" => %model, "sequence" => expected_sequence,
            "fencing_token" => self.term, "answer" => ?answer);
        answer
    }

    /// Asks the engine for its state.
    pub(crate) async fn read_state(
        &self,
        ledger: &mut EngineLedger,
    ) -> Result<EngineState, String> {
        let asked = tokio::time::timeout(ANSWER_TIMEOUT, self.commander.state(&self.endpoint));
        let state = asked
            .await
            .unwrap_or_else(|_| Err("no answer in time".to_owned()))?;
        ledger.take_report(self.endpoint.incarnation, &state);
        self.control.with_leader_state(self.term, |leader| {
            leader
                .engines
                .add_near(&self.endpoint.endpoint, &state.local_models);
        });
        Ok(state)
    }
}

/// Tells whether a name is one of the models or an adapter of one.
fn is_part_of(name: &ModelName, models: &[ModelName]) -> bool {
    models.contains(&base_of(name))
}
