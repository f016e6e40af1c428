//! Choice among endpoints by old and new reports, with few and many callers.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_policy::{LoadEstimate, choose_lowest_cost, mean_load};

/// Time that a request runs, in milliseconds.
const RUN_MS: u64 = 1_500;

/// Step of the simulation in milliseconds.
const STEP_MS: u64 = 20;

/// Largest ratio of the busiest endpoint to the mean, over the whole run.
const MAX_SPREAD: f64 = 1.3;

struct Simulation {
    endpoints: usize,
    entries: usize,
    /// Requests per second, over all entries.
    rate_per_s: f64,
}

impl Simulation {
    /// Returns the requests that each endpoint got in a minute. A response tells the load when it
    /// starts, to its own entry only.
    fn run(&self, choose: impl Fn(&[LoadEstimate], &[u32], u64, u64) -> usize) -> Vec<u32> {
        let mut rng = StdRng::seed_from_u64(7);
        let mut beliefs = vec![vec![LoadEstimate::default(); self.endpoints]; self.entries];
        let mut own = vec![vec![0_u32; self.endpoints]; self.entries];
        let mut running = vec![0_u32; self.endpoints];
        let mut ends: VecDeque<(u64, usize, usize)> = VecDeque::new();
        let mut served = vec![0; self.endpoints];
        for now_ms in (0..60_000).step_by(STEP_MS as usize) {
            while ends.front().is_some_and(|(end_ms, ..)| *end_ms <= now_ms) {
                let (_, entry, endpoint) = ends.pop_front().expect("the front was there");
                own[entry][endpoint] -= 1;
                running[endpoint] -= 1;
            }
            let arrivals = self.rate_per_s * STEP_MS as f64 / 1_000.0;
            let count = arrivals as u32 + u32::from(rng.random_bool(arrivals.fract()));
            for _ in 0..count {
                let entry = rng.random_range(0..self.entries);
                let endpoint = choose(&beliefs[entry], &own[entry], now_ms, rng.random());
                own[entry][endpoint] += 1;
                running[endpoint] += 1;
                served[endpoint] += 1;
                beliefs[entry][endpoint].record_report(
                    running[endpoint],
                    own[entry][endpoint],
                    now_ms,
                );
                ends.push_back((now_ms + RUN_MS, entry, endpoint));
            }
        }
        served
    }
}

const SLOTS: f64 = 16.0;

fn by_belief(beliefs: &[LoadEstimate], own: &[u32], now_ms: u64, draw: u64) -> usize {
    let mean = mean_load(beliefs.iter(), now_ms);
    let costs: Vec<f64> = beliefs
        .iter()
        .zip(own)
        .map(|(belief, own)| (f64::from(*own) + belief.other_requests(mean, now_ms)) / SLOTS)
        .collect();
    choose_lowest_cost(&costs, draw).expect("there are endpoints")
}

fn spread(served: &[u32]) -> f64 {
    let mean = f64::from(served.iter().sum::<u32>()) / served.len() as f64;
    f64::from(*served.iter().max().expect("there are endpoints")) / mean
}

/// Pattern: late reports with 6, 30 and 70 entries. Guards against entries that all take the endpoint
/// of which they have not heard, and starve the others.
#[test]
fn many_entries_spread_over_the_endpoints_of_a_model() {
    for entries in [6, 30, 70] {
        let simulation = Simulation {
            endpoints: 6,
            entries,
            rate_per_s: 40.0,
        };
        let served = simulation.run(by_belief);
        let spread = spread(&served);
        assert!(
            spread < MAX_SPREAD,
            "{entries} entries: {spread} {served:?}"
        );
    }
}

/// Guards against an old report that counts as an idle endpoint.
#[test]
fn an_old_report_drifts_to_the_mean() {
    let mut busy = LoadEstimate::default();
    busy.record_report(12, 0, 1_000);
    assert!((busy.other_requests(4.0, 1_000) - 12.0).abs() < 0.01);
    let later = busy.other_requests(4.0, 4_000);
    assert!((4.0..12.0).contains(&later), "{later}");
    assert!((busy.other_requests(4.0, 60_000) - 4.0).abs() < 0.01);
    assert!((LoadEstimate::default().other_requests(4.0, 0) - 4.0).abs() < 0.01);
}

/// Guards against a draw that goes to a busier endpoint.
#[test]
fn only_equals_are_drawn() {
    let costs = [0.50, 0.10, 0.12, 0.30];
    for draw in 0..10 {
        let chosen = choose_lowest_cost(&costs, draw);
        assert!(matches!(chosen, Some(1 | 2)), "{chosen:?}");
    }
    assert_eq!(choose_lowest_cost(&[], 3), None);
}

/// Guards against a draw that sends requests to another failure domain, which costs 3% of the slots,
/// while an endpoint in the own one is as idle.
#[test]
fn the_price_of_another_failure_domain_is_never_drawn_away() {
    for draw in 0..10 {
        assert_eq!(choose_lowest_cost(&[0.13, 0.10], draw), Some(1));
    }
}
