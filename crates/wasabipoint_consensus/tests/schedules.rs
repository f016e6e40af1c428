//! Random fault schedules for the consensus core. `WASABIPOINT_SCHEDULES=FROM..TO` runs other
//! seeds.

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
/// Regression seeds for three faults: a vote that is sent before it is durable, a leader that
/// counts its own entries before they are durable, and a leader that fails while it removes itself
/// and then does not campaign.
const REGRESSION_SEEDS: [u64; 3] = [600, 1_027, 25_993];

/// A fault or change. Each is followed by a number of rounds without further events.
#[derive(Debug, Clone)]
enum Event {
    Crash {
        selector: usize,
        durable_steps: usize,
    },
    Restart {
        selector: usize,
    },
    BlockLink {
        from: usize,
        to: usize,
    },
    Isolate {
        selector: usize,
    },
    IsolateLeader,
    CrashLeader {
        durable_steps: usize,
    },
    Heal,
    LoseDisk {
        selector: usize,
    },
    Membership {
        kind: u8,
        selector: usize,
    },
    SetMessageLoss {
        percent: u32,
    },
    SetCrashRate {
        percent: u32,
    },
    SlowClock {
        selector: usize,
        percent: u32,
    },
    SuspendLeader,
}

fn any_event() -> impl Strategy<Value = Event> {
    let selector = 0..12_usize;
    let steps = 0..4_usize;
    prop_oneof![
        4 => (selector.clone(), steps.clone())
            .prop_map(|(selector, durable_steps)| Event::Crash { selector, durable_steps }),
        6 => selector.clone().prop_map(|selector| Event::Restart { selector }),
        2 => (selector.clone(), selector.clone()).prop_map(|(from, to)| Event::BlockLink { from, to }),
        1 => selector.clone().prop_map(|selector| Event::Isolate { selector }),
        1 => Just(Event::IsolateLeader),
        2 => steps.prop_map(|durable_steps| Event::CrashLeader { durable_steps }),
        3 => Just(Event::Heal),
        1 => selector.clone().prop_map(|selector| Event::LoseDisk { selector }),
        2 => (0..40_u32).prop_map(|percent| Event::SetCrashRate { percent }),
        1 => (selector.clone(), 0..=100_u32)
            .prop_map(|(selector, percent)| Event::SlowClock { selector, percent }),
        2 => Just(Event::SuspendLeader),
        4 => (any::<u8>(), selector).prop_map(|(kind, selector)| Event::Membership { kind, selector }),
        2 => (0..30_u32).prop_map(|percent| Event::SetMessageLoss { percent }),
    ]
}

fn any_schedule() -> impl Strategy<Value = (u64, bool, bool, Vec<(Event, usize)>)> {
    // Short and long intervals: some faults hit elections in progress, and some partitions outlast
    // many election timeouts.
    let rounds = prop_oneof![3 => 0..6_usize, 2 => 5..30_usize, 1 => 60..120_usize];
    let events = vec((any_event(), rounds), 1..50);
    (
        any::<u64>(),
        any::<bool>(),
        prop::bool::weighted(0.1),
        events,
    )
}

/// Runs a schedule on three members, or on five if `is_large` is set. Large snapshots are sent in
/// several chunks.
fn run_schedule(seed: u64, is_large: bool, has_large_snapshots: bool, events: &[(Event, usize)]) {
    let padding = if has_large_snapshots { 600 * 1_024 } else { 0 };
    let mut simulation = Simulation::new(seed, if is_large { 5 } else { 3 }, padding);
    simulation.run(40);
    for (event, rounds) in events {
        let ids = simulation.ids();
        let id = |selector: &usize| ids[selector % ids.len()];
        match event {
            Event::Crash {
                selector,
                durable_steps,
            } => simulation.crash(id(selector), *durable_steps),
            Event::Restart { selector } => simulation.restart(id(selector)),
            Event::BlockLink { from, to } => simulation.block_link(id(from), id(to)),
            Event::Isolate { selector } => simulation.isolate(id(selector)),
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
            Event::LoseDisk { selector } => simulation.lose_disk(id(selector)),
            Event::Membership { kind, selector } => simulation.change_membership(*kind, *selector),
            Event::SetCrashRate { percent } => simulation.crash_percent = *percent,
            Event::SlowClock { selector, percent } => simulation.slow_clock(id(selector), *percent),
            Event::SuspendLeader => {
                // Simulates a suspended process that answers calls before it notices the elapsed
                // time.
                if let Some((leader, _)) = simulation.leader() {
                    simulation.slow_clock(leader, 100);
                    simulation.isolate(leader);
                }
            }
            Event::SetMessageLoss { percent } => simulation.message_loss_percent = *percent,
        }
        simulation.run(*rounds);
    }
    simulation.finish_and_check();
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("WASABIPOINT_SCHEDULES") else {
        return FIXED_SEEDS.chain(REGRESSION_SEEDS).collect();
    };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

/// Guards against two leaders in a term, diverging logs, lost acknowledged entries, stale reads and
/// a cluster that does not recover, under any combination of faults.
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
        let result = runner.run(
            &any_schedule(),
            |(simulation_seed, is_large, has_large_snapshots, events)| {
                run_schedule(simulation_seed, is_large, has_large_snapshots, &events);
                Ok(())
            },
        );
        if let Err(error) = result {
            panic!("WASABIPOINT_SCHEDULES={seed}..{} fails: {error}", seed + 1);
        }
    }
}

/// Guards against two groups, lost entries and a first start that never ends when initial members are
/// reported as lost that are alive: silent at first, slow, or in touch with some of the others.
#[test]
fn a_first_start_with_members_wrongly_reported_as_lost_is_safe() {
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed, if seed % 2 == 0 { 3 } else { 5 }, 0);
        let mut ids = simulation.ids();
        ids.rotate_left((seed / 2) as usize % simulation.ids().len());
        let (reported, others) = ids.split_at((ids.len() - 1) / 2);
        simulation.message_loss_percent = (seed % 4) as u32 * 25;
        simulation.crash_percent = (seed % 3) as u32 * 15;
        if seed % 5 < 2 {
            for id in reported {
                simulation.isolate(*id);
            }
        }
        for round in 0..120 {
            if round == 60 {
                simulation.heal();
                simulation.message_loss_percent = 0;
                simulation.crash_percent = 0;
            }
            simulation.run(1);
            for id in &ids {
                simulation.restart(*id);
            }
            // The process that takes the place of a lost one repeats its request to join.
            if round >= (seed % 7) as usize {
                for reporter in others {
                    for member in reported {
                        simulation.report_as_lost(*reporter, *member);
                    }
                }
            }
        }
        assert!(simulation.leader().is_some(), "seed {seed}");
        simulation.finish_and_check();
    }
}

/// Guards against a checker that accepts every history: a read that returns an older value than an
/// earlier read must be rejected.
#[test]
fn the_checker_rejects_a_stale_read() {
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

/// Guards against a member that deposes a working leader while it is partitioned, fully or in one
/// direction, or when the partition ends.
#[test]
fn a_partitioned_member_does_not_disrupt_the_leader() {
    for seed in 0..20 {
        for is_one_sided in [false, true] {
            let mut simulation = Simulation::new(seed, 3, 0);
            simulation.run(60);
            let (leader, term) = simulation.leader().expect("a leader after 60 rounds");
            let partitioned = simulation
                .ids()
                .into_iter()
                .find(|id| *id != leader)
                .unwrap();
            if is_one_sided {
                for other in simulation.ids() {
                    simulation.block_link(other, partitioned);
                }
            } else {
                simulation.isolate(partitioned);
            }
            simulation.run(300);
            simulation.heal();
            simulation.run(60);
            assert_eq!(simulation.leader(), Some((leader, term)), "seed {seed}");
            simulation.finish_and_check();
        }
    }
}
