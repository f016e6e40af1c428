//! Tests of the engine's command history under changing grants and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use wasabipoint_agent::{Agent, HttpEndpoint};
use wasabipoint_fakes::{EngineFaults, EngineOptions, FakeEngine, HistoryKind, generated_text};
use wasabipoint_kernel::Incarnation;
use wasabipoint_rpc::{AgentReport, ReplicaState};

use crate::support::{
    TestControl, agent_config, completion_request, find_replica_state, seeds, send_request,
    start_agent, start_engine, wait_until,
};

/// Memory that models may use: 1,200 MiB less the KV reserve of 200 MiB.
const USABLE_MIB: u64 = 1_000;

/// Delay of late commands in the randomised test. It stays well below `PREDECESSOR_WAIT_MS`, also
/// on a busy machine.
const COMMAND_DELAY_MS: u64 = 30;
const PREDECESSOR_WAIT_MS: u64 = 300;

fn loaded_models(engine: &FakeEngine) -> BTreeMap<String, u64> {
    let state = engine.state();
    let models = state["models"].as_array().unwrap().iter();
    models
        .filter(|model| model["state"] == "loaded")
        .map(|model| {
            let name = model["model"].as_str().unwrap().to_owned();
            (name, model["fencing_token"].as_u64().unwrap())
        })
        .collect()
}

fn count_events(engine: &FakeEngine, kind: HistoryKind) -> usize {
    let history = engine.history();
    history.iter().filter(|event| event.kind == kind).count()
}

/// Guards against a load that is repeated because its response was lost.
#[tokio::test]
async fn a_lost_load_response_is_resolved_by_the_engine_state() {
    let setup = start_engine(EngineOptions::for_tests(), "").await;
    setup.engine.set_faults(EngineFaults {
        lost_load_answer: 1,
        // The regular poll may consume the first fault; the second one hits the query after the
        // load in any case.
        silent_state: 2,
        ..EngineFaults::default()
    });
    setup.control.grant("n", 2, 300);
    setup.control.wait_for_loaded("n").await;
    assert_eq!(count_events(&setup.engine, HistoryKind::LoadStarted), 2);
    assert_eq!(count_events(&setup.engine, HistoryKind::Loaded), 2);
    let reports = setup.control.reports();
    let states = reports.iter().map(|report| find_replica_state(report, "n"));
    let states: Vec<_> = states.skip_while(Option::is_none).collect();
    let is_loading_or_loaded = |state: &Option<ReplicaState>| {
        matches!(state, Some(ReplicaState::Loading | ReplicaState::Loaded))
    };
    assert!(states.iter().all(is_loading_or_loaded), "{states:?}");
}

/// Guards against an agent that blocks forever when a read of the engine's state gets no response.
#[tokio::test]
async fn an_unanswered_state_read_times_out() {
    let setup = start_engine(EngineOptions::for_tests(), "").await;
    setup.engine.set_faults(EngineFaults {
        silent_state: 1,
        ..EngineFaults::default()
    });
    wait_until("the state is read again", || {
        setup.engine.faults().silent_state == 0
    })
    .await;
    setup.control.grant("n", 2, 300);
    setup.control.wait_for_loaded("n").await;
}

/// Guards against a model that stays unloaded when the engine exits during its load.
#[tokio::test]
async fn a_model_is_loaded_after_an_engine_exit_during_its_load() {
    let setup = start_engine(EngineOptions::for_tests(), "").await;
    setup.engine.set_faults(EngineFaults {
        exit_in_load: 1,
        ..EngineFaults::default()
    });
    setup.control.grant("n", 2, 300);
    wait_until("the engine exited", || {
        count_events(&setup.engine, HistoryKind::Exited) == 1
    })
    .await;
    wait_until("both models are loaded", || {
        loaded_models(&setup.engine).len() == 2
    })
    .await;
}

/// Guards against a replica that is unloaded during a request, or stays loaded without a grant.
#[tokio::test]
async fn a_revoked_replica_drains_and_is_unloaded() {
    let setup = start_engine(EngineOptions::for_tests(), "").await;
    let request = completion_request("running", &json!({"max_tokens": 100}));
    let id = request.request_id;
    let frames = setup.agent.dispatch(request);
    wait_until("the request runs", || setup.engine.state()["running"] == 1).await;
    setup.control.revoke("m");
    setup
        .control
        .wait_for_report("m unloading", |report| {
            find_replica_state(report, "m") == Some(ReplicaState::Unloading)
        })
        .await;
    let refused = send_request(&setup.agent, completion_request("refused", &json!({}))).await;
    assert!(refused.failed.is_some());
    let received = crate::support::receive_response(id, frames).await;
    assert_eq!(received.text(), generated_text("running", 100));
    setup.control.wait_for_absent("m").await;
    assert!(loaded_models(&setup.engine).is_empty());
}

/// Guards against memory overcommitted by a grant that does not fit.
#[tokio::test]
async fn a_grant_that_does_not_fit_is_refused() {
    let setup = start_engine(
        EngineOptions {
            memory_mib: 10_000,
            ..EngineOptions::for_tests()
        },
        "",
    )
    .await;
    setup.control.grant("big", 2, 601);
    setup
        .control
        .wait_for_report("big failed", |report| {
            find_replica_state(report, "big") == Some(ReplicaState::Failed)
        })
        .await;
    setup.control.grant("big", 3, 600);
    setup.control.wait_for_loaded("big").await;
    assert_eq!(setup.engine.state()["peak_memory_mib"], USABLE_MIB);
}

/// Guards against a valid grant that is missing from reports while its load waits for another one.
/// Control takes a missing replica as proof that the agent will not load under the grant.
#[tokio::test]
async fn a_grant_that_waits_for_its_load_is_reported_as_loading() {
    let engine = FakeEngine::start(EngineOptions {
        load_ms: 300,
        ..EngineOptions::for_tests()
    })
    .await
    .unwrap();
    let control = TestControl::new();
    control.grant("first", 1, 100);
    control.grant("second", 2, 100);
    let _agent = start_with_wait(&engine, &control, Incarnation(1), 0);
    control.wait_for_loaded("second").await;
    let reports = control.reports();
    let is_first_listed = |report: &&AgentReport| find_replica_state(report, "first").is_some();
    for report in reports.iter().filter(is_first_listed) {
        assert!(find_replica_state(report, "second").is_some(), "{report:?}");
    }
    let is_waiting = |report: &AgentReport| {
        let second = find_replica_state(report, "second");
        second == Some(ReplicaState::Loading) && find_replica_state(report, "first") == second
    };
    assert!(reports.iter().any(is_waiting));
}

/// Guards against a load of an earlier agent that arrives late and overrides a newer grant.
#[tokio::test]
async fn a_delayed_command_of_an_earlier_agent_is_fenced() {
    let engine = FakeEngine::start(EngineOptions::for_tests()).await.unwrap();
    engine.set_faults(EngineFaults {
        late_command: 1,
        late_command_ms: 700,
        ..EngineFaults::default()
    });
    let control = TestControl::new();
    control.grant("m", 5, 400);
    let first = start(&engine, &control, Incarnation(1));
    wait_until("the load is in progress", || {
        control
            .reports()
            .iter()
            .any(|report| find_replica_state(report, "m").is_some())
    })
    .await;
    drop(first);
    control.grant("m", 6, 500);
    let _second = start(&engine, &control, Incarnation(2));
    wait_until("the late load was refused", || {
        count_events(&engine, HistoryKind::Fenced) == 1
    })
    .await;
    assert_eq!(
        loaded_models(&engine),
        BTreeMap::from([("m".to_owned(), 6)])
    );
    assert_eq!(engine.state()["peak_memory_mib"], 500);
}

/// Guards against a restarted agent that sends commands before the load of an earlier agent shows
/// in the engine's state, when the engine ignores fencing tokens.
#[tokio::test]
async fn a_restarted_agent_waits_for_its_predecessor() {
    let engine = FakeEngine::start(EngineOptions {
        ignore_fencing: true,
        memory_mib: 1_200,
        ..EngineOptions::for_tests()
    })
    .await
    .unwrap();
    engine.set_faults(EngineFaults {
        late_command: 1,
        late_command_ms: 100,
        ..EngineFaults::default()
    });
    let control = TestControl::new();
    control.grant("m", 5, 700);
    let first = start_with_wait(&engine, &control, Incarnation(1), 500);
    wait_until("the load is in progress", || {
        control
            .reports()
            .iter()
            .any(|report| find_replica_state(report, "m").is_some())
    })
    .await;
    drop(first);
    control.update_directive(|directive| directive.grants.clear());
    control.grant("n", 6, 700);
    let _second = start_with_wait(&engine, &control, Incarnation(2), 500);
    wait_until("the late load arrived", || {
        engine.history().iter().any(|event| event.model == "m")
    })
    .await;
    wait_until("only the later model is loaded", || {
        loaded_models(&engine) == BTreeMap::from([("n".to_owned(), 6)])
    })
    .await;
    assert_eq!(engine.state()["peak_memory_mib"], 700);
    assert_eq!(count_events(&engine, HistoryKind::MemoryShort), 0);
}

fn start(engine: &FakeEngine, control: &Arc<TestControl>, incarnation: Incarnation) -> Arc<Agent> {
    start_with_wait(engine, control, incarnation, 50)
}

fn start_with_wait(
    engine: &FakeEngine,
    control: &Arc<TestControl>,
    incarnation: Incarnation,
    wait_ms: u64,
) -> Arc<Agent> {
    let mut config = agent_config("engine", &engine.address().to_string(), "");
    config.predecessor_wait = Duration::from_millis(wait_ms);
    let endpoint = Arc::new(HttpEndpoint::new(engine.address()));
    start_agent(config, incarnation, endpoint, control)
}

/// Guards against overcommitted memory, replicas without a grant and grants without a replica when
/// grants change at random, the engine exits, commands are lost or late, and the agent restarts.
#[tokio::test]
async fn random_grants_never_overcommit() {
    let runs = seeds(8)
        .into_iter()
        .map(|seed| tokio::spawn(async move { run_random_grants(seed).await }));
    for run in runs.collect::<Vec<_>>() {
        run.await.unwrap();
    }
}

async fn run_random_grants(seed: u64) {
    println!("seed {seed}");
    let mut random = StdRng::seed_from_u64(seed);
    // The engine has more memory than the agent may use, so that only the ledger enforces the
    // limit.
    let engine = FakeEngine::start(EngineOptions {
        memory_mib: 5_000,
        ignore_fencing: random.random_bool(0.5),
        ..EngineOptions::for_tests()
    })
    .await
    .unwrap();
    let control = TestControl::new();
    let mut memory_by_model = BTreeMap::new();
    let mut incarnation = Incarnation(1);
    let mut agent = start_with_wait(&engine, &control, incarnation, PREDECESSOR_WAIT_MS);
    for _ in 0..40 {
        let model = format!("model-{}", random.random_range(0..5));
        match random.random_range(0..10) {
            0..4 => {
                let token = control.next_token();
                let memory_mib = 100 * random.random_range(1..8);
                // A model has the same size in all its grants.
                let memory_mib = *memory_by_model.entry(model.clone()).or_insert(memory_mib);
                control.grant(&model, token, memory_mib);
            }
            4..6 => control.revoke(&model),
            6 => engine.exit(),
            7 => {
                incarnation.0 += 1;
                drop(agent);
                agent = start_with_wait(&engine, &control, incarnation, PREDECESSOR_WAIT_MS);
            }
            _ => engine.set_faults(random_faults(&mut random)),
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..150))).await;
    }
    engine.set_faults(EngineFaults::default());
    control.update_directive(|directive| {
        let mut free_mib = USABLE_MIB;
        for grant in &mut directive.grants {
            if !grant.is_revoked && grant.memory_mib <= free_mib {
                free_mib -= grant.memory_mib;
            } else {
                grant.is_revoked = true;
            }
        }
    });
    let mut wanted = BTreeSet::new();
    control.update_directive(|directive| {
        let valid = directive.grants.iter().filter(|grant| !grant.is_revoked);
        wanted = valid.map(|grant| grant.model.to_string()).collect();
    });
    wait_until(
        &format!("seed {seed}: the engine has loaded {wanted:?}"),
        || loaded_models(&engine).into_keys().collect::<BTreeSet<_>>() == wanted,
    )
    .await;
    for event in engine.history() {
        assert!(
            event.memory_used_mib <= USABLE_MIB,
            "seed {seed}: {event:?}"
        );
        if event.kind == HistoryKind::LoadStarted {
            let load = (event.model.clone(), event.fencing_token);
            assert!(
                control.issued_grants().contains(&load),
                "seed {seed}: {event:?}"
            );
        }
    }
    drop(agent);
}

fn random_faults(random: &mut StdRng) -> EngineFaults {
    EngineFaults {
        exit_in_load: u32::from(random.random_bool(0.3)),
        lost_load_answer: u32::from(random.random_bool(0.3)),
        failed_load: u32::from(random.random_bool(0.3)),
        late_command: u32::from(random.random_bool(0.3)),
        late_command_ms: COMMAND_DELAY_MS,
        ..EngineFaults::default()
    }
}
