//! A model of agents and engines: an agent has one report in flight, lists what it has accepted,
//! and follows directives; an engine works on its own pace.

use std::collections::BTreeMap;

use wasabipoint_control::ControlState;
use wasabipoint_kernel::FencingToken;
use wasabipoint_rpc::{AgentReport, Grant, ReplicaReport, ReplicaState};

use crate::samples::{model_name, report};

/// A replica at the agent or at its engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    pub(crate) token: u64,
    pub(crate) state: ReplicaState,
}

#[derive(Debug, Default)]
pub(crate) struct TestEngine {
    pub(crate) index: usize,
    pub(crate) memory_mib: u64,
    pub(crate) is_alive: bool,
    incarnation: u64,
    sequence: u64,
    is_engine_known: bool,
    /// Replicas in the engine, by model; they survive the agent.
    pub(crate) engine: BTreeMap<usize, Held>,
    /// What the agent has accepted, by model.
    pub(crate) accepted: BTreeMap<usize, Held>,
    in_flight: Option<AgentReport>,
    in_transit: Option<Vec<Grant>>,
    /// The last directive.
    delivered: Vec<Grant>,
    sent: Vec<AgentReport>,
}

impl TestEngine {
    pub(crate) fn new(index: usize, memory_mib: u64) -> Self {
        Self {
            index,
            memory_mib,
            is_alive: true,
            incarnation: 1,
            ..Self::default()
        }
    }

    /// Composes the next report; the answer to an earlier one is given up.
    pub(crate) fn send(&mut self) {
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
            self.is_engine_known,
            replicas.collect(),
        );
        self.in_transit = None;
        self.in_flight = Some(report.clone());
        self.sent.push(report);
    }

    /// Control answers the report in flight.
    pub(crate) fn handle(&mut self, state: &mut ControlState, apply: Apply) {
        if let Some(report) = self.in_flight.take() {
            self.in_transit = answer(state, &report, apply);
        }
    }

    /// An old copy of a report is committed. It may have been judged before a newer report was
    /// committed; nobody waits for the answer.
    pub(crate) fn repeat(&self, state: &mut ControlState, back: usize, apply: Apply) {
        let index = self.sent.len().checked_sub(back + 1);
        if let Some(report) = index.and_then(|index| self.sent.get(index)) {
            apply(state, report);
        }
    }

    /// The agent takes in the answer to its report.
    pub(crate) fn take(&mut self) {
        if let Some(grants) = self.in_transit.take() {
            self.delivered = grants;
            self.follow();
        }
    }

    fn follow(&mut self) {
        if !self.is_alive || !self.is_engine_known {
            return;
        }
        let delivered = std::mem::take(&mut self.delivered);
        let live = |model: usize| {
            let mut grants = delivered.iter();
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
                self.accepted.entry(model).or_insert(Held {
                    token: grant.fencing_token.0,
                    state: ReplicaState::Loading,
                });
            }
        }
        self.delivered = delivered;
    }

    /// The agent or engine makes one step on a model.
    pub(crate) fn work(&mut self, model: usize, is_failing: bool) {
        match self.engine.get(&model).map(|held| held.state) {
            Some(ReplicaState::Loading) if is_failing => {
                self.engine.remove(&model);
                self.settle(model, ReplicaState::Failed);
            }
            Some(ReplicaState::Loading) => {
                if let Some(held) = self.engine.get_mut(&model) {
                    held.state = ReplicaState::Loaded;
                }
                self.settle(model, ReplicaState::Loaded);
            }
            Some(ReplicaState::Unloading) => {
                self.engine.remove(&model);
                self.accepted.remove(&model);
            }
            Some(_) => {
                let is_unloading = self
                    .accepted
                    .get(&model)
                    .is_some_and(|held| self.is_alive && held.state == ReplicaState::Unloading);
                if let Some(held) = self.engine.get_mut(&model).filter(|_| is_unloading) {
                    held.state = ReplicaState::Unloading;
                }
            }
            None => match self.accepted.get(&model).copied() {
                Some(held) if held.state == ReplicaState::Loading => {
                    self.engine.insert(model, held);
                }
                Some(held) if held.state == ReplicaState::Unloading => {
                    self.accepted.remove(&model);
                }
                _ => {}
            },
        }
    }

    fn settle(&mut self, model: usize, state: ReplicaState) {
        if let Some(held) = self.accepted.get_mut(&model)
            && held.state == ReplicaState::Loading
        {
            held.state = state;
        } else if state == ReplicaState::Failed {
            self.accepted.remove(&model);
        }
    }

    /// The agent restarts; its engine goes on.
    pub(crate) fn restart_agent(&mut self) {
        self.is_alive = true;
        self.incarnation += 1;
        self.sequence = 0;
        self.is_engine_known = false;
        self.accepted.clear();
        self.in_flight = None;
        self.in_transit = None;
        self.delivered.clear();
    }

    /// A new run reads the engine once the commands of its predecessor have ended.
    pub(crate) fn read_engine(&mut self) {
        let is_quiet = self
            .engine
            .values()
            .all(|held| held.state == ReplicaState::Loaded);
        if self.is_alive && !self.is_engine_known && is_quiet {
            self.is_engine_known = true;
            self.accepted = self.engine.clone();
            self.follow();
        }
    }

    /// The engine restarts empty; its agent loads again what the last directive listed.
    pub(crate) fn restart_engine(&mut self) {
        self.engine.clear();
        self.accepted
            .retain(|_, held| held.state != ReplicaState::Unloading);
        for held in self.accepted.values_mut() {
            if held.state == ReplicaState::Loaded {
                held.state = ReplicaState::Loading;
            }
        }
    }

    /// The VM is gone.
    pub(crate) fn terminate(&mut self) {
        self.is_alive = false;
        self.engine.clear();
        self.accepted.clear();
        self.in_flight = None;
        self.in_transit = None;
    }

    /// Lists the models and tokens that the report in flight shows as loaded.
    pub(crate) fn serving(&self) -> Vec<(usize, u64)> {
        let is_reported = self
            .in_flight
            .as_ref()
            .is_some_and(|report| report.is_engine_known);
        let loaded = self
            .accepted
            .iter()
            .filter(|(_, held)| is_reported && held.state == ReplicaState::Loaded);
        loaded.map(|(model, held)| (*model, held.token)).collect()
    }

    /// Lists the models that the engine holds or that the agent may begin to load.
    pub(crate) fn possible_models(&self) -> Vec<usize> {
        let is_possible = |model: &usize| {
            let is_accepted = self.accepted.get(model).is_some_and(|held| {
                matches!(held.state, ReplicaState::Loading | ReplicaState::Loaded)
            });
            self.engine.contains_key(model) || is_accepted
        };
        (0..4).filter(is_possible).collect()
    }
}

/// Commits a report.
pub(crate) type Apply = fn(&mut ControlState, &AgentReport);

/// Answers a report as the rpc service does.
fn answer(state: &mut ControlState, report: &AgentReport, apply: Apply) -> Option<Vec<Grant>> {
    if state.fleet.check_report(report).is_err() {
        return None;
    }
    if state.fleet.needs_commit(report) {
        apply(state, report);
    }
    Some(state.fleet.directive_grants(&report.endpoint))
}
