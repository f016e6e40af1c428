//! Replicas and memory under random reports, restarts, lost answers and late reports.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wasabipoint_control::{Command, ControlState, GrantPhase, GrantRequest, Outcome, VmState};
use wasabipoint_kernel::{FencingToken, Incarnation, VmId};
use wasabipoint_rpc::AgentReport;

use crate::engines::TestEngine;
use crate::samples::{apply, apply_inventory, customer, endpoint_id, inventory, model, model_name};

const ENDPOINTS: usize = 3;
const MODELS: usize = 4;
const MEMORY_MIB: u64 = 100;
const MODEL_MIB: [u64; MODELS] = [30, 40, 60, 90];
const MAX_REPLICAS: [u32; MODELS] = [1, 2, 1, 3];

#[derive(Debug, Clone)]
enum Step {
    Send(usize),
    Handle(usize),
    Take(usize),
    /// A whole exchange without loss.
    Exchange(usize),
    Repeat(usize, usize),
    Work(usize, usize, bool),
    RestartAgent(usize),
    ReadEngine(usize),
    RestartEngine(usize),
    Terminate(usize),
    ListTerminated(usize),
    /// An agent reads its engine, works on all models and exchanges reports without loss.
    Progress(usize),
    /// Model, endpoint, which grant of the model is replaced, whether the run is an older one.
    Grant(usize, usize, Option<usize>, bool),
    Revoke(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let endpoint = 0..ENDPOINTS;
    let model = 0..MODELS;
    prop_oneof![
        4 => endpoint.clone().prop_map(Step::Send),
        4 => endpoint.clone().prop_map(Step::Handle),
        4 => endpoint.clone().prop_map(Step::Take),
        6 => endpoint.clone().prop_map(Step::Exchange),
        3 => (endpoint.clone(), 0_usize..5).prop_map(|(e, back)| Step::Repeat(e, back)),
        12 => (endpoint.clone(), model.clone(), prop::bool::weighted(0.1))
            .prop_map(|(e, m, is_failing)| Step::Work(e, m, is_failing)),
        1 => endpoint.clone().prop_map(Step::RestartAgent),
        3 => endpoint.clone().prop_map(Step::ReadEngine),
        1 => endpoint.clone().prop_map(Step::RestartEngine),
        1 => endpoint.clone().prop_map(Step::Terminate),
        1 => endpoint.clone().prop_map(Step::ListTerminated),
        6 => endpoint.clone().prop_map(Step::Progress),
        8 => (
            model,
            endpoint,
            prop::option::weighted(0.3, 0_usize..3),
            prop::bool::weighted(0.1),
        )
            .prop_map(|(m, e, replaces, is_stale)| Step::Grant(m, e, replaces, is_stale)),
        3 => (0_u64..6).prop_map(Step::Revoke),
    ]
}

struct World {
    state: ControlState,
    agents: Vec<TestEngine>,
    /// Runs that were registered when the platform called their VM terminated.
    terminated: BTreeMap<usize, Incarnation>,
}

fn commit(state: &mut ControlState, report: &AgentReport) {
    apply(state, 0, Command::RecordReport(Box::new(report.clone())));
}

impl World {
    fn new() -> Self {
        let mut state = ControlState::new();
        let models = (0..MODELS)
            .map(|index| model(index, MODEL_MIB[index], MAX_REPLICAS[index]))
            .collect();
        let listed = inventory(models, vec![customer(1, 1)]);
        apply(&mut state, 0, apply_inventory(0, 1, listed));
        let agents = (0..ENDPOINTS).map(|index| TestEngine::new(index, MEMORY_MIB));
        Self {
            state,
            agents: agents.collect(),
            terminated: BTreeMap::new(),
        }
    }

    fn run(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let state = &mut self.state;
        match *step {
            Step::Send(e) => self.agents[e].send(),
            Step::Handle(e) => self.agents[e].handle(state, commit),
            Step::Take(e) => self.agents[e].take(),
            Step::Exchange(e) => return self.exchange(e),
            Step::Repeat(e, back) => self.agents[e].repeat(state, back, commit),
            Step::Work(e, model, is_failing) => self.agents[e].work(model, is_failing),
            Step::RestartAgent(e) => self.agents[e].restart_agent(),
            Step::ReadEngine(e) => self.agents[e].read_engine(),
            Step::RestartEngine(e) => self.agents[e].restart_engine(),
            Step::Terminate(e) => self.agents[e].terminate(),
            Step::ListTerminated(e) => self.list_terminated(e),
            Step::Progress(e) => return self.progress(e),
            Step::Grant(model, e, replaces, is_stale) => {
                return self.grant(model, e, replaces, is_stale);
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

    fn exchange(&mut self, e: usize) -> Result<(), TestCaseError> {
        self.agents[e].send();
        let serving = self.agents[e].serving();
        self.agents[e].handle(&mut self.state, commit);
        // A replica that is reported as loaded under a live grant gets requests.
        let endpoint = endpoint_id(e);
        for (model, token) in serving {
            let grant = self.state.fleet.grants.get(&FencingToken(token));
            if grant.is_some_and(|grant| grant.phase != GrantPhase::Revoked) {
                let view = &self.state.view.endpoints[&endpoint];
                prop_assert!(view.models.contains(&model_name(model)), "{view:?}");
            }
        }
        self.agents[e].take();
        Ok(())
    }

    fn incarnation(&self, e: usize) -> Option<Incarnation> {
        let registered = self.state.fleet.endpoints.get(&endpoint_id(e));
        registered.map(|registered| registered.incarnation)
    }

    fn list_terminated(&mut self, e: usize) {
        if self.agents[e].is_alive {
            return;
        }
        let registered = self.incarnation(e);
        let vm = VmId::new(format!("vm-{e}"));
        for state in [VmState::Terminated, VmState::Live] {
            let command = Command::UpdateVmStates(vec![(vm.clone(), state)]);
            apply(&mut self.state, 0, command);
        }
        if let Some(incarnation) = registered {
            self.terminated.insert(e, incarnation);
        }
    }

    fn progress(&mut self, e: usize) -> Result<(), TestCaseError> {
        self.agents[e].read_engine();
        for model in 0..MODELS {
            self.agents[e].work(model, false);
        }
        self.exchange(e)
    }

    /// A policy without any sense proposes a grant.
    fn grant(
        &mut self,
        model: usize,
        e: usize,
        replaces: Option<usize>,
        is_stale: bool,
    ) -> Result<(), TestCaseError> {
        let endpoint = endpoint_id(e);
        let run = self.incarnation(e).unwrap_or(Incarnation(1));
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
            incarnation: Incarnation(run.0 - u64::from(is_stale)),
            memory_mib: MODEL_MIB[model],
            replaces,
        });
        let before = self.decided(model);
        if let Outcome::Granted(_) = apply(&mut self.state, 0, command) {
            let known = &self.state.fleet.endpoints[&endpoint];
            prop_assert!(!is_stale && known.is_engine_known && !known.is_leaving);
            prop_assert!(self.state.fleet.reserved_mib(&endpoint) <= known.memory_mib);
            let raised = self.decided(model) - before;
            prop_assert!(raised <= u32::from(replaces.is_some()));
        }
        Ok(())
    }

    /// The decided number: the inventory's bound and one for every explicit replacement.
    fn decided(&self, model: usize) -> u32 {
        let replaced = self.counted(model, true);
        MAX_REPLICAS[model] + replaced
    }

    fn counted(&self, model: usize, is_replaced: bool) -> u32 {
        let grants = self.state.fleet.grants.values();
        let counted = grants
            .filter(|grant| grant.model == model_name(model) && grant.is_replaced == is_replaced);
        counted.count() as u32
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for model in 0..MODELS {
            let counted = self.counted(model, false) + self.counted(model, true);
            prop_assert!(
                counted <= self.decided(model),
                "model {model}: {counted} counted"
            );
        }
        for (e, terminated) in &self.terminated {
            let registered = self.incarnation(*e);
            prop_assert!(
                registered.is_none_or(|registered| registered > *terminated),
                "a late report registered the terminated run {terminated} of endpoint {e} again"
            );
        }
        for agent in &self.agents {
            let endpoint = endpoint_id(agent.index);
            let mut possible_mib = 0;
            for model in agent.possible_models() {
                let mut grants = self.state.fleet.grants_of(&endpoint);
                prop_assert!(
                    grants.any(|(_, grant)| grant.model == model_name(model)),
                    "endpoint {} holds or may load model {model}, which is not counted",
                    agent.index
                );
                possible_mib += MODEL_MIB[model];
            }
            prop_assert!(possible_mib <= agent.memory_mib);
        }
        Ok(())
    }

    /// Revokes everything and lets all messages through.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        let tokens: Vec<_> = self.state.fleet.grants.keys().copied().collect();
        for token in tokens {
            apply(&mut self.state, 0, Command::Revoke(token));
        }
        for e in 0..ENDPOINTS {
            self.list_terminated(e);
        }
        for _ in 0..6 {
            for e in 0..ENDPOINTS {
                self.progress(e)?;
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_048))]

    /// Guards against replicas that are loaded but not counted, more counted replicas than
    /// decided, more memory than reported, and grants that are never released.
    #[test]
    fn every_possible_replica_is_counted(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::new();
        for step in &steps {
            world.run(step)?;
            world.check()?;
        }
        world.settle()?;
        world.check()?;
        prop_assert!(world.state.fleet.grants.is_empty(), "{:?}", world.state.fleet.grants);
    }
}
