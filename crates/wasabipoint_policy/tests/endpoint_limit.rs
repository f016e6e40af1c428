//! A limit that an endpoint names, dealt out to entry processes.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_kernel::EntryId;
use wasabipoint_policy::{LimitDealer, NamedLimit, RequestAllowance};

/// Simulation step in milliseconds.
const STEP_MS: u64 = 10;

/// Interval between the reports of an entry process, and between those that requests trigger.
const REPORT_MS: u64 = 500;
const MIN_REPORT_MS: u64 = 50;

/// Time that a request waits for a permission, and interval at which it asks, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;
const ASK_INTERVAL_MS: u64 = 200;

/// Window in which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time after the first response with a limit from which it binds, in milliseconds.
const ADOPTION_MS: u64 = 3_000;

fn named(rate_per_s: f64, at_ms: u64) -> NamedLimit {
    NamedLimit {
        rate_per_s: Some(rate_per_s),
        at_ms,
    }
}

/// Entry processes that share an endpoint with a limit.
struct Fleet {
    limit_per_s: f64,
    dealer: LimitDealer,
    entries: Vec<RequestAllowance>,
    reported_ms: Vec<u64>,
    /// Arrival times of the requests that wait at each entry process.
    waiting_ms: Vec<VecDeque<u64>>,
    rng: StdRng,
    arrivals_ms: VecDeque<u64>,
}

impl Fleet {
    fn new(limit_per_s: f64, entries: usize, seed: u64) -> Self {
        let limit = named(limit_per_s, 0);
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            limit_per_s,
            dealer: LimitDealer::new(limit, 0),
            entries: (0..entries)
                .map(|_| RequestAllowance::new(limit, 0))
                .collect(),
            reported_ms: (0..entries)
                .map(|_| rng.random_range(0..REPORT_MS))
                .collect(),
            waiting_ms: vec![VecDeque::new(); entries],
            rng,
            arrivals_ms: VecDeque::new(),
        }
    }

    /// Simulates until `end_ms`. In each step, `demand` gives the requests per second that an entry
    /// process wants to send.
    fn run(&mut self, start_ms: u64, end_ms: u64, has_leader: bool, demand: impl Fn(usize) -> f64) {
        let count = self.entries.len() as u32;
        for now_ms in (start_ms..end_ms).step_by(STEP_MS as usize) {
            for index in 0..self.entries.len() {
                let wanted = demand(index) * STEP_MS as f64 / 1_000.0;
                let arrived = wanted as u32 + u32::from(self.rng.random_bool(wanted.fract()));
                let entry = &mut self.entries[index];
                let waiting = &mut self.waiting_ms[index];
                waiting.extend((0..arrived).map(|_| now_ms));
                waiting.retain(|since_ms| now_ms < since_ms + MAX_WAIT_MS);
                while !waiting.is_empty() && entry.take(count, now_ms) {
                    waiting.pop_front();
                    self.arrivals_ms.push_back(now_ms);
                }
                for since_ms in waiting.iter() {
                    if (now_ms - since_ms).is_multiple_of(ASK_INTERVAL_MS) {
                        entry.want();
                    }
                }
                let has_waiting = !waiting.is_empty();
                let interval_ms = if has_waiting {
                    MIN_REPORT_MS
                } else {
                    REPORT_MS
                };
                if has_leader && now_ms >= self.reported_ms[index] + interval_ms {
                    self.reported_ms[index] = now_ms;
                    let name = EntryId::new(format!("entry-{index}"));
                    let wanted = entry.take_wanted();
                    let grant = self.dealer.grant(&name, wanted, now_ms);
                    entry.add(grant, now_ms, now_ms);
                }
            }
        }
    }

    fn most_arrivals(&self, from_ms: u64) -> usize {
        let arrivals: Vec<u64> = self
            .arrivals_ms
            .iter()
            .copied()
            .filter(|at| *at >= from_ms)
            .collect();
        let in_window = |first: &u64| {
            let in_window = arrivals
                .iter()
                .filter(|at| *at >= first && **at < first + WINDOW_MS);
            in_window.count()
        };
        arrivals.iter().map(in_window).max().unwrap_or(0)
    }

    /// Returns the arrivals that the endpoint allows in a window: one and a half times the limit and
    /// five.
    fn allowed(&self) -> usize {
        (self.limit_per_s * WINDOW_MS as f64 / 1_000.0 * 1.5 + 5.0) as usize
    }

    fn arrivals_between(&self, from_ms: u64, to_ms: u64) -> usize {
        let arrivals = self.arrivals_ms.iter();
        arrivals.filter(|at| (from_ms..to_ms).contains(at)).count()
    }
}

/// Guards against a limit that the sum of many entry processes exceeds, and against one that is not
/// used because each of them gets too little.
#[test]
fn few_and_many_entry_processes_keep_to_the_limit_and_use_it() {
    for (entries, limit_per_s) in [
        (1, 1.0),
        (4, 1.0),
        (4, 3.1),
        (30, 5.0),
        (70, 1.0),
        (70, 40.0),
    ] {
        let mut fleet = Fleet::new(limit_per_s, entries, 7);
        let total_per_s = limit_per_s * 4.0 + 10.0;
        fleet.run(0, 40_000, true, |_| total_per_s / entries as f64);
        let most = fleet.most_arrivals(ADOPTION_MS);
        assert!(
            most <= fleet.allowed(),
            "{entries} entries, {limit_per_s}/s: {most}"
        );
        let used = fleet.arrivals_between(10_000, 40_000) as f64;
        let limit = limit_per_s * 30.0;
        assert!(
            used >= limit * 0.7,
            "{entries} entries, {limit_per_s}/s: {used} of {limit}"
        );
    }
}

/// Guards against permissions that stay with an entry process whose callers moved to another one.
#[test]
fn permissions_follow_the_demand() {
    let mut fleet = Fleet::new(4.0, 20, 11);
    for phase in 0..10_u64 {
        let busy = phase as usize * 2;
        let start_ms = phase * 4_000;
        fleet.run(start_ms, start_ms + 4_000, true, |index| {
            if index == busy { 20.0 } else { 0.0 }
        });
        let used = fleet.arrivals_between(start_ms + 1_000, start_ms + 4_000);
        assert!(used >= 8, "phase {phase}: {used} of 12");
    }
    assert!(fleet.most_arrivals(ADOPTION_MS) <= fleet.allowed());
}

/// Guards against buckets that fill while nobody sends and are emptied at one moment.
#[test]
fn a_burst_after_an_idle_period_stays_within_the_limit() {
    for limit_per_s in [0.0, 0.5, 1.0, 20.0] {
        let mut fleet = Fleet::new(limit_per_s, 70, 13);
        fleet.run(0, 60_000, true, |_| 0.0);
        fleet.run(60_000, 70_000, true, |_| 5.0);
        let most = fleet.most_arrivals(ADOPTION_MS);
        assert!(most <= fleet.allowed(), "{limit_per_s}/s: {most}");
    }
}

/// Guards against entry processes that exceed the limit, or send nothing, while no leader replies.
#[test]
fn without_a_leader_each_entry_process_uses_its_equal_share() {
    let mut fleet = Fleet::new(8.0, 8, 17);
    fleet.run(0, 10_000, true, |_| 5.0);
    fleet.run(10_000, 40_000, false, |_| 5.0);
    assert!(fleet.most_arrivals(ADOPTION_MS) <= fleet.allowed());
    let used = fleet.arrivals_between(20_000, 40_000);
    assert!(used >= 100, "{used} of 160");
    fleet.dealer = LimitDealer::new(named(8.0, 0), 40_000);
    fleet.run(40_000, 60_000, true, |_| 5.0);
    assert!(fleet.most_arrivals(ADOPTION_MS) <= fleet.allowed());
}

/// Guards against an old response, received late through another process, that replaces a newer one.
#[test]
fn the_response_whose_head_came_last_decides() {
    let lifted = NamedLimit {
        rate_per_s: None,
        at_ms: 2_000,
    };
    let mut dealer = LimitDealer::new(named(1.0, 1_000), 1_000);
    dealer.record_named(lifted, 2_100);
    dealer.record_named(named(1.0, 1_500), 2_200);
    assert_eq!(dealer.named(), lifted);
    let mut allowance = RequestAllowance::new(named(1.0, 1_000), 1_000);
    assert!(!allowance.can_send(1, 1_100));
    assert!(allowance.record_named(lifted));
    assert!(!allowance.record_named(named(1.0, 1_500)));
    assert!(allowance.can_send(1, 2_300));
}

/// Guards against callers that are told to come back before the limit allows them.
#[test]
fn the_time_to_come_back_counts_all_that_wait() {
    let mut dealer = LimitDealer::new(named(2.0, 0), 0);
    let ready_in_ms = dealer.grant(&EntryId::new("entry-1"), 4, 0).ready_in_ms;
    assert_eq!(ready_in_ms, 2_000);
    let ready_in_ms = dealer.grant(&EntryId::new("entry-2"), 6, 0).ready_in_ms;
    assert_eq!(ready_in_ms, 5_000);
    assert!(dealer.is_binding(100));
    assert!(!dealer.is_binding(10_000));
}

/// Guards against permissions that are used long after they were granted.
#[test]
fn unused_permissions_expire() {
    let mut dealer = LimitDealer::new(named(2.0, 0), 0);
    let mut allowance = RequestAllowance::new(named(2.0, 0), 0);
    let grant = dealer.grant(&EntryId::new("entry-1"), 1, 1_000);
    assert_eq!(grant.permissions, 1);
    allowance.add(grant, 1_000, 1_010);
    assert!(allowance.can_send(1, 1_500));
    assert!(!allowance.can_send(1, 2_400));
}
