//! Random schedules of the step function. `WASABIPOINT_SCHEDULES=FROM..TO` runs other seeds.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "schedules/disk.rs"]
mod disk;
#[path = "schedules/oracle.rs"]
mod oracle;
#[path = "schedules/simulation.rs"]
mod simulation;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::Simulation;
use todc_utils::linearizability::history::Action::{Call, Response};
use todc_utils::specifications::register::RegisterOperation::{Read, Write};

const FIXED_SEEDS: std::ops::Range<u64> = 0..200;
/// Seeds that fail without sync before a vote and without sync before the leader's own count.
const SELECTED_SEEDS: [u64; 2] = [600, 1_027];

/// A fault or change, followed by undisturbed rounds.
#[derive(Debug, Clone)]
enum Event {
    Crash { pick: usize, durable_steps: usize },
    Restart { pick: usize },
    Cut { from: usize, to: usize },
    Isolate { pick: usize },
    IsolateLeader,
    CrashLeader { durable_steps: usize },
    Heal,
    LoseDisk { pick: usize },
    Change { kind: u8, pick: usize },
    Loss { percent: u32 },
    Crashes { percent: u32 },
    SlowClock { pick: usize, percent: u32 },
    SlowLeader,
}

fn any_event() -> impl Strategy<Value = Event> {
    let pick = 0..12_usize;
    let steps = 0..4_usize;
    prop_oneof![
        4 => (pick.clone(), steps.clone())
            .prop_map(|(pick, durable_steps)| Event::Crash { pick, durable_steps }),
        6 => pick.clone().prop_map(|pick| Event::Restart { pick }),
        2 => (pick.clone(), pick.clone()).prop_map(|(from, to)| Event::Cut { from, to }),
        1 => pick.clone().prop_map(|pick| Event::Isolate { pick }),
        1 => Just(Event::IsolateLeader),
        2 => steps.prop_map(|durable_steps| Event::CrashLeader { durable_steps }),
        3 => Just(Event::Heal),
        1 => pick.clone().prop_map(|pick| Event::LoseDisk { pick }),
        2 => (0..40_u32).prop_map(|percent| Event::Crashes { percent }),
        1 => (pick.clone(), 0..=100_u32)
            .prop_map(|(pick, percent)| Event::SlowClock { pick, percent }),
        2 => Just(Event::SlowLeader),
        4 => (any::<u8>(), pick).prop_map(|(kind, pick)| Event::Change { kind, pick }),
        2 => (0..30_u32).prop_map(|percent| Event::Loss { percent }),
    ]
}

fn any_schedule() -> impl Strategy<Value = (u64, bool, bool, Vec<(Event, usize)>)> {
    // Short and long pauses: faults meet elections in progress, and cuts outlast many timeouts.
    let rounds = prop_oneof![3 => 0..6_usize, 2 => 5..30_usize, 1 => 60..120_usize];
    let events = vec((any_event(), rounds), 1..50);
    (
        any::<u64>(),
        any::<bool>(),
        prop::bool::weighted(0.1),
        events,
    )
}

fn play(seed: u64, is_large: bool, has_chunks: bool, events: &[(Event, usize)]) {
    let padding = if has_chunks { 600 * 1_024 } else { 0 };
    let mut simulation = Simulation::new(seed, if is_large { 5 } else { 3 }, padding);
    simulation.run(40);
    for (event, rounds) in events {
        let ids = simulation.ids();
        let id = |pick: &usize| ids[pick % ids.len()];
        match event {
            Event::Crash {
                pick,
                durable_steps,
            } => simulation.crash(id(pick), *durable_steps),
            Event::Restart { pick } => simulation.restart(id(pick)),
            Event::Cut { from, to } => simulation.cut(id(from), id(to)),
            Event::Isolate { pick } => simulation.isolate(id(pick)),
            Event::IsolateLeader => {
                if let Some((leader, _)) = simulation.leader() {
                    simulation.isolate(leader);
                }
            }
            Event::CrashLeader { durable_steps } => {
                if let Some((leader, _)) = simulation.leader() {
                    simulation.crash(leader, *durable_steps);
                }
            }
            Event::Heal => simulation.heal(),
            Event::LoseDisk { pick } => simulation.lose_disk(id(pick)),
            Event::Change { kind, pick } => simulation.change_membership(*kind, *pick),
            Event::Crashes { percent } => simulation.crash_percent = *percent,
            Event::SlowClock { pick, percent } => simulation.slow_clock(id(pick), *percent),
            Event::SlowLeader => {
                // The process is suspended, then answers calls before it notices the time.
                if let Some((leader, _)) = simulation.leader() {
                    simulation.slow_clock(leader, 100);
                    simulation.isolate(leader);
                }
            }
            Event::Loss { percent } => simulation.loss_percent = *percent,
        }
        simulation.run(*rounds);
    }
    simulation.finish();
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("WASABIPOINT_SCHEDULES") else {
        return FIXED_SEEDS.chain(SELECTED_SEEDS).collect();
    };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

/// Guards against two leaders in a term, logs that differ, lost acknowledged entries, stale reads
/// and a cluster that does not recover, under any mix of faults.
#[test]
fn random_schedules_are_safe() {
    for seed in seeds() {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let config = Config {
            cases: 1,
            failure_persistence: None,
            max_shrink_iters: 300,
            ..Config::default()
        };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let result = runner.run(&any_schedule(), |(random, is_large, has_chunks, events)| {
            play(random, is_large, has_chunks, &events);
            Ok(())
        });
        if let Err(error) = result {
            panic!("WASABIPOINT_SCHEDULES={seed}..{} fails: {error}", seed + 1);
        }
    }
}

/// Guards against a checker that accepts everything: a read that returns an older value than a
/// read before it.
#[test]
fn the_checker_refuses_a_stale_read() {
    let history = |second| {
        vec![
            (0, Call(Write(1))),
            (0, Response(Write(1))),
            (0, Call(Write(2))),
            (1, Call(Read(Some(2)))),
            (1, Response(Read(Some(2)))),
            (2, Call(Read(Some(second)))),
            (2, Response(Read(Some(second)))),
            (0, Response(Write(2))),
        ]
    };
    assert!(oracle::is_linearizable(history(2)));
    assert!(!oracle::is_linearizable(history(1)));
}

/// Guards against a member that was cut off, fully or in one direction, and deposes a working
/// leader when it returns or while it hears nothing.
#[test]
fn a_member_cut_off_for_long_does_not_disturb_the_leader() {
    for seed in 0..20 {
        for is_one_sided in [false, true] {
            let mut simulation = Simulation::new(seed, 3, 0);
            simulation.run(60);
            let (leader, term) = simulation.leader().expect("a leader after 60 rounds");
            let cut = simulation
                .ids()
                .into_iter()
                .find(|id| *id != leader)
                .unwrap();
            if is_one_sided {
                for other in simulation.ids() {
                    simulation.cut(other, cut);
                }
            } else {
                simulation.isolate(cut);
            }
            simulation.run(300);
            simulation.heal();
            simulation.run(60);
            assert_eq!(simulation.leader(), Some((leader, term)), "seed {seed}");
            simulation.finish();
        }
    }
}
