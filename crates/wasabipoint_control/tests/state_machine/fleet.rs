//! Grants, replicas and memory under random reports, restarts, lost replies and delayed reports.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wasabipoint_control::{
    Command, CommandOutcome, ControlState, GrantPhase, GrantRequest, VmState,
};
use wasabipoint_kernel::{FencingToken, Incarnation, VmId};
use wasabipoint_rpc::AgentReport;

use crate::engines::SimulatedAgent;
use crate::samples::{apply, apply_inventory, customer, endpoint_id, inventory, model, model_name};

const ENDPOINTS: usize = 3;
const MODELS: usize = 4;
const MEMORY_MIB: u64 = 100;
const MODEL_MIB: [u64; MODELS] = [30, 40, 60, 90];
const MAX_REPLICAS: [u32; MODELS] = [1, 2, 1, 3];

/// A step of the simulation. The first number is the endpoint unless stated otherwise.
#[derive(Debug, Clone)]
enum Step {
    SendReport(usize),
    ProcessReport(usize),
    ReceiveReply(usize),
    /// An agent sends a report and receives the reply, without loss.
    ExchangeReport(usize),
    /// Endpoint, and how many reports back.
    RedeliverReport(usize, usize),
    /// Endpoint, model, whether a load fails.
    AdvanceEngine(usize, usize, bool),
    RestartAgent(usize),
    ReadEngine(usize),
    RestartEngine(usize),
    TerminateVm(usize),
    ListVmAsTerminated(usize),
    /// An agent reads its engine, advances all models by one step and exchanges a report.
    MakeProgress(usize),
    /// Model, endpoint, index of the model's grant to replace, whether the incarnation is outdated.
    Grant(usize, usize, Option<usize>, bool),
    /// Index of the grant.
    Revoke(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let endpoint = 0..ENDPOINTS;
    let model = 0..MODELS;
    prop_oneof![
        4 => endpoint.clone().prop_map(Step::SendReport),
        4 => endpoint.clone().prop_map(Step::ProcessReport),
        4 => endpoint.clone().prop_map(Step::ReceiveReply),
        6 => endpoint.clone().prop_map(Step::ExchangeReport),
        3 => (endpoint.clone(), 0_usize..5).prop_map(|(e, back)| Step::RedeliverReport(e, back)),
        12 => (endpoint.clone(), model.clone(), prop::bool::weighted(0.1))
            .prop_map(|(e, m, is_failing)| Step::AdvanceEngine(e, m, is_failing)),
        1 => endpoint.clone().prop_map(Step::RestartAgent),
        3 => endpoint.clone().prop_map(Step::ReadEngine),
        1 => endpoint.clone().prop_map(Step::RestartEngine),
        1 => endpoint.clone().prop_map(Step::TerminateVm),
        1 => endpoint.clone().prop_map(Step::ListVmAsTerminated),
        6 => endpoint.clone().prop_map(Step::MakeProgress),
        8 => (
            model,
            endpoint,
            prop::option::weighted(0.3, 0_usize..3),
            prop::bool::weighted(0.1),
        )
            .prop_map(|(m, e, replaces, is_outdated)| Step::Grant(m, e, replaces, is_outdated)),
        3 => (0_u64..6).prop_map(Step::Revoke),
    ]
}

struct Simulation {
    state: ControlState,
    agents: Vec<SimulatedAgent>,
    /// Incarnations that were registered when the platform listed their VM as terminated.
    terminated: BTreeMap<usize, Incarnation>,
}

fn commit(state: &mut ControlState, report: &AgentReport) {
    apply(state, 0, Command::RecordReport(Box::new(report.clone())));
}

impl Simulation {
    fn new() -> Self {
        let mut state = ControlState::new();
        let models = (0..MODELS)
            .map(|index| model(index, MODEL_MIB[index], MAX_REPLICAS[index]))
            .collect();
        let listed = inventory(models, vec![customer(1, 1)]);
        apply(&mut state, 0, apply_inventory(0, 1, listed));
        let agents = (0..ENDPOINTS).map(|index| SimulatedAgent::new(index, MEMORY_MIB));
        Self {
            state,
            agents: agents.collect(),
            terminated: BTreeMap::new(),
        }
    }

    fn execute(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let state = &mut self.state;
        match *step {
            Step::SendReport(e) => self.agents[e].send_report(),
            Step::ProcessReport(e) => self.agents[e].process_report(state, commit),
            Step::ReceiveReply(e) => self.agents[e].receive_reply(),
            Step::ExchangeReport(e) => return self.exchange(e),
            Step::RedeliverReport(e, back) => self.agents[e].redeliver_report(state, back, commit),
            Step::AdvanceEngine(e, model, is_failing) => self.agents[e].advance(model, is_failing),
            Step::RestartAgent(e) => self.agents[e].restart_agent(),
            Step::ReadEngine(e) => self.agents[e].read_engine(),
            Step::RestartEngine(e) => self.agents[e].restart_engine(),
            Step::TerminateVm(e) => self.agents[e].terminate_vm(),
            Step::ListVmAsTerminated(e) => self.list_vm_as_terminated(e),
            Step::MakeProgress(e) => return self.make_progress(e),
            Step::Grant(model, e, replaces, is_outdated) => {
                return self.grant(model, e, replaces, is_outdated);
            }
            Step::Revoke(nth) => {
                let mut tokens = state.fleet.grants.keys().copied();
                if let Some(token) = tokens.nth(nth as usize) {
                    apply(state, 0, Command::Revoke(token));
                }
            }
        }
        Ok(())
    }

    fn exchange(&mut self, index: usize) -> Result<(), TestCaseError> {
        self.agents[index].send_report();
        let loaded = self.agents[index].reported_as_loaded();
        self.agents[index].process_report(&mut self.state, commit);
        // The fleet view lists a replica that is reported as loaded under a live grant, so that it
        // gets requests.
        let endpoint = endpoint_id(index);
        for (model, token) in loaded {
            let grant = self.state.fleet.grants.get(&FencingToken(token));
            if grant.is_some_and(|grant| grant.phase != GrantPhase::Revoked) {
                let view = &self.state.view.endpoints[&endpoint];
                prop_assert!(view.models.contains(&model_name(model)), "{view:?}");
            }
        }
        self.agents[index].receive_reply();
        Ok(())
    }

    fn registered_incarnation(&self, index: usize) -> Option<Incarnation> {
        let registration = self.state.fleet.endpoints.get(&endpoint_id(index));
        registration.map(|registration| registration.incarnation)
    }

    fn list_vm_as_terminated(&mut self, index: usize) {
        if self.agents[index].is_alive {
            return;
        }
        let registered = self.registered_incarnation(index);
        let vm = VmId::new(format!("vm-{index}"));
        for state in [VmState::Terminated, VmState::Live] {
            let command = Command::UpdateVmStates(vec![(vm.clone(), state)]);
            apply(&mut self.state, 0, command);
        }
        if let Some(incarnation) = registered {
            self.terminated.insert(index, incarnation);
        }
    }

    fn make_progress(&mut self, index: usize) -> Result<(), TestCaseError> {
        self.agents[index].read_engine();
        for model in 0..MODELS {
            self.agents[index].advance(model, false);
        }
        self.exchange(index)
    }

    /// Proposes a grant, regardless of the memory, the replica limit and the state of the endpoint,
    /// and checks that it is made only within them.
    fn grant(
        &mut self,
        model: usize,
        index: usize,
        replaces: Option<usize>,
        is_outdated: bool,
    ) -> Result<(), TestCaseError> {
        let endpoint = endpoint_id(index);
        let current = self.registered_incarnation(index).unwrap_or(Incarnation(1));
        let mut grants = self.state.fleet.grants.iter();
        let replaces = replaces.and_then(|nth| {
            let of_model = grants
                .by_ref()
                .filter(|(_, grant)| grant.model == model_name(model));
            of_model.map(|(token, _)| *token).nth(nth)
        });
        let command = Command::Grant(GrantRequest {
            model: model_name(model),
            version: 1,
            endpoint: endpoint.clone(),
            incarnation: Incarnation(current.0 - u64::from(is_outdated)),
            memory_mib: MODEL_MIB[model],
            replaces,
        });
        let before = self.replica_limit(model);
        if let CommandOutcome::Granted(_) = apply(&mut self.state, 0, command) {
            let registration = &self.state.fleet.endpoints[&endpoint];
            prop_assert!(!is_outdated && registration.has_engine_state && !registration.is_leaving);
            prop_assert!(self.state.fleet.reserved_mib(&endpoint) <= registration.memory_mib);
            let raised = self.replica_limit(model) - before;
            prop_assert!(raised <= u32::from(replaces.is_some()));
        }
        Ok(())
    }

    /// Returns the replica limit of a model: that of the inventory plus one for each replaced grant.
    fn replica_limit(&self, model: usize) -> u32 {
        let replaced = self.grant_count(model, true);
        MAX_REPLICAS[model] + replaced
    }

    fn grant_count(&self, model: usize, is_replaced: bool) -> u32 {
        let grants = self.state.fleet.grants.values();
        let matching = grants
            .filter(|grant| grant.model == model_name(model) && grant.is_replaced == is_replaced);
        matching.count() as u32
    }

    fn check_grants(&self) -> Result<(), TestCaseError> {
        for model in 0..MODELS {
            let grant_count = self.grant_count(model, false) + self.grant_count(model, true);
            prop_assert!(
                grant_count <= self.replica_limit(model),
                "model {model}: {grant_count} grants"
            );
        }
        for (index, terminated) in &self.terminated {
            let registered = self.registered_incarnation(*index);
            prop_assert!(
                registered.is_none_or(|registered| registered > *terminated),
                "a delayed report re-registered terminated incarnation {terminated} of endpoint {index}"
            );
        }
        for agent in &self.agents {
            let endpoint = endpoint_id(agent.index);
            let mut possible_mib = 0;
            for model in agent.possible_models() {
                let mut grants = self.state.fleet.grants_of(&endpoint);
                prop_assert!(
                    grants.any(|(_, grant)| grant.model == model_name(model)),
                    "endpoint {} holds or may load model {model} without a grant",
                    agent.index
                );
                possible_mib += MODEL_MIB[model];
            }
            prop_assert!(possible_mib <= agent.memory_mib);
        }
        Ok(())
    }

    /// Revokes all grants and delivers messages until they are released.
    fn release_all(&mut self) -> Result<(), TestCaseError> {
        let tokens: Vec<_> = self.state.fleet.grants.keys().copied().collect();
        for token in tokens {
            apply(&mut self.state, 0, Command::Revoke(token));
        }
        for index in 0..ENDPOINTS {
            self.list_vm_as_terminated(index);
        }
        for _ in 0..6 {
            for index in 0..ENDPOINTS {
                self.make_progress(index)?;
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_048))]

    /// Guards against replicas that an endpoint holds or may load without a grant, models that
    /// exceed their replica limit, endpoints that exceed their memory, and grants that are never
    /// released.
    #[test]
    fn every_possible_replica_has_a_grant(steps in prop::collection::vec(step(), 1..150)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.execute(step)?;
            simulation.check_grants()?;
        }
        simulation.release_all()?;
        simulation.check_grants()?;
        prop_assert!(
            simulation.state.fleet.grants.is_empty(),
            "{:?}",
            simulation.state.fleet.grants
        );
    }
}
