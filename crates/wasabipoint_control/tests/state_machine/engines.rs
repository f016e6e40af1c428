//! Simulation of agents and engines. An agent has one report in flight, lists the grants that it
//! has accepted, and follows directives. Its engine loads and unloads replicas independently.

use std::collections::BTreeMap;

use wasabipoint_control::ControlState;
use wasabipoint_kernel::FencingToken;
use wasabipoint_rpc::{AgentReport, Grant, ReplicaReport, ReplicaState};

use crate::samples::{model_name, report};

/// A replica at the agent or at its engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldReplica {
    pub(crate) token: u64,
    pub(crate) state: ReplicaState,
}

/// An agent with its engine.
#[derive(Debug, Default)]
pub(crate) struct SimulatedAgent {
    pub(crate) index: usize,
    pub(crate) memory_mib: u64,
    pub(crate) is_alive: bool,
    incarnation: u64,
    sequence: u64,
    has_engine_state: bool,
    /// Replicas in the engine, by model. They survive a restart of the agent.
    pub(crate) engine_replicas: BTreeMap<usize, HeldReplica>,
    /// Replicas under the grants that the agent has accepted, by model.
    pub(crate) accepted: BTreeMap<usize, HeldReplica>,
    report_in_flight: Option<AgentReport>,
    reply_in_transit: Option<Vec<Grant>>,
    /// Grants of the last directive.
    last_directive: Vec<Grant>,
    /// All reports, from which delayed copies are taken.
    sent_reports: Vec<AgentReport>,
}

impl SimulatedAgent {
    pub(crate) fn new(index: usize, memory_mib: u64) -> Self {
        Self {
            index,
            memory_mib,
            is_alive: true,
            incarnation: 1,
            ..Self::default()
        }
    }

    /// Sends the next report. A reply to an earlier one is lost.
    pub(crate) fn send_report(&mut self) {
        if !self.is_alive {
            return;
        }
        self.sequence += 1;
        let replicas = self.accepted.iter().map(|(model, held)| ReplicaReport {
            model: model_name(*model),
            version: 1,
            fencing_token: FencingToken(held.token),
            state: held.state,
        });
        let report = report(
            self.index,
            self.incarnation,
            self.sequence,
            self.memory_mib,
            self.has_engine_state,
            replicas.collect(),
        );
        self.reply_in_transit = None;
        self.report_in_flight = Some(report.clone());
        self.sent_reports.push(report);
    }

    /// Control processes the report in flight and sends its reply.
    pub(crate) fn process_report(&mut self, state: &mut ControlState, commit: CommitReport) {
        if let Some(report) = self.report_in_flight.take() {
            self.reply_in_transit = reply_to(state, &report, commit);
        }
    }

    /// Commits a copy of the report that was sent `back` reports before the last one, without
    /// checking it: control may have checked it before it committed a newer report. The reply is
    /// lost.
    pub(crate) fn redeliver_report(
        &self,
        state: &mut ControlState,
        back: usize,
        commit: CommitReport,
    ) {
        let index = self.sent_reports.len().checked_sub(back + 1);
        if let Some(report) = index.and_then(|index| self.sent_reports.get(index)) {
            commit(state, report);
        }
    }

    /// The agent receives the reply to its report.
    pub(crate) fn receive_reply(&mut self) {
        if let Some(grants) = self.reply_in_transit.take() {
            self.last_directive = grants;
            self.follow_directive();
        }
    }

    /// Accepts the live grants of the last directive and unloads the other replicas.
    fn follow_directive(&mut self) {
        if !self.is_alive || !self.has_engine_state {
            return;
        }
        let last_directive = std::mem::take(&mut self.last_directive);
        let live = |model: usize| {
            let mut grants = last_directive.iter();
            grants.find(|grant| grant.model == model_name(model) && !grant.is_revoked)
        };
        self.accepted.retain(|model, held| {
            let is_valid = live(*model).is_some_and(|grant| grant.fencing_token.0 == held.token);
            if !is_valid && held.state != ReplicaState::Failed {
                held.state = ReplicaState::Unloading;
            }
            is_valid || held.state != ReplicaState::Failed
        });
        for model in 0..4 {
            if let Some(grant) = live(model) {
                self.accepted.entry(model).or_insert(HeldReplica {
                    token: grant.fencing_token.0,
                    state: ReplicaState::Loading,
                });
            }
        }
        self.last_directive = last_directive;
    }

    /// Advances the load or unload of a model by one step of the agent or engine.
    pub(crate) fn advance(&mut self, model: usize, is_failing: bool) {
        match self.engine_replicas.get(&model).map(|held| held.state) {
            Some(ReplicaState::Loading) if is_failing => {
                self.engine_replicas.remove(&model);
                self.finish_load(model, ReplicaState::Failed);
            }
            Some(ReplicaState::Loading) => {
                if let Some(held) = self.engine_replicas.get_mut(&model) {
                    held.state = ReplicaState::Loaded;
                }
                self.finish_load(model, ReplicaState::Loaded);
            }
            Some(ReplicaState::Unloading) => {
                self.engine_replicas.remove(&model);
                self.accepted.remove(&model);
            }
            Some(_) => {
                let is_unloading = self
                    .accepted
                    .get(&model)
                    .is_some_and(|held| self.is_alive && held.state == ReplicaState::Unloading);
                if let Some(held) = self
                    .engine_replicas
                    .get_mut(&model)
                    .filter(|_| is_unloading)
                {
                    held.state = ReplicaState::Unloading;
                }
            }
            None => match self.accepted.get(&model).copied() {
                Some(held) if held.state == ReplicaState::Loading => {
                    self.engine_replicas.insert(model, held);
                }
                Some(held) if held.state == ReplicaState::Unloading => {
                    self.accepted.remove(&model);
                }
                _ => {}
            },
        }
    }

    /// Records the result of a load at the agent.
    fn finish_load(&mut self, model: usize, state: ReplicaState) {
        if let Some(held) = self.accepted.get_mut(&model)
            && held.state == ReplicaState::Loading
        {
            held.state = state;
        } else if state == ReplicaState::Failed {
            self.accepted.remove(&model);
        }
    }

    /// Restarts the agent. Its engine keeps running.
    pub(crate) fn restart_agent(&mut self) {
        self.is_alive = true;
        self.incarnation += 1;
        self.sequence = 0;
        self.has_engine_state = false;
        self.accepted.clear();
        self.report_in_flight = None;
        self.reply_in_transit = None;
        self.last_directive.clear();
    }

    /// A new incarnation of the agent reads the engine once the commands of its predecessor have
    /// ended.
    pub(crate) fn read_engine(&mut self) {
        let is_quiet = self
            .engine_replicas
            .values()
            .all(|held| held.state == ReplicaState::Loaded);
        if self.is_alive && !self.has_engine_state && is_quiet {
            self.has_engine_state = true;
            self.accepted = self.engine_replicas.clone();
            self.follow_directive();
        }
    }

    /// Restarts the engine without replicas. Its agent loads again what the last directive listed.
    pub(crate) fn restart_engine(&mut self) {
        self.engine_replicas.clear();
        self.accepted
            .retain(|_, held| held.state != ReplicaState::Unloading);
        for held in self.accepted.values_mut() {
            if held.state == ReplicaState::Loaded {
                held.state = ReplicaState::Loading;
            }
        }
    }

    /// Terminates the VM with agent and engine.
    pub(crate) fn terminate_vm(&mut self) {
        self.is_alive = false;
        self.engine_replicas.clear();
        self.accepted.clear();
        self.report_in_flight = None;
        self.reply_in_transit = None;
    }

    /// Lists the models that the report in flight shows as loaded, with their fencing tokens.
    pub(crate) fn reported_as_loaded(&self) -> Vec<(usize, u64)> {
        let is_reported = self
            .report_in_flight
            .as_ref()
            .is_some_and(|report| report.has_engine_state);
        let loaded = self
            .accepted
            .iter()
            .filter(|(_, held)| is_reported && held.state == ReplicaState::Loaded);
        loaded.map(|(model, held)| (*model, held.token)).collect()
    }

    /// Lists the models that the engine holds or may be commanded to load.
    pub(crate) fn possible_models(&self) -> Vec<usize> {
        let is_possible = |model: &usize| {
            let is_accepted = self.accepted.get(model).is_some_and(|held| {
                matches!(held.state, ReplicaState::Loading | ReplicaState::Loaded)
            });
            self.engine_replicas.contains_key(model) || is_accepted
        };
        (0..4).filter(is_possible).collect()
    }
}

/// Function that commits a report.
pub(crate) type CommitReport = fn(&mut ControlState, &AgentReport);

/// Checks and commits a report as the RPC service does, and returns the grants of the reply.
fn reply_to(
    state: &mut ControlState,
    report: &AgentReport,
    commit: CommitReport,
) -> Option<Vec<Grant>> {
    if state.fleet.check_report(report).is_err() {
        return None;
    }
    if state.fleet.needs_commit(report) {
        commit(state, report);
    }
    Some(state.fleet.directive_grants(&report.endpoint))
}
