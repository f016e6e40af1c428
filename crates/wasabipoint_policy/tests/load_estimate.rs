//! Choice of endpoints based on reports of different ages, with few and many callers.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_policy::{LoadEstimate, choose_lowest_cost, mean_load};

/// Duration of a request in milliseconds.
const REQUEST_MS: u64 = 1_500;

/// Simulation step in milliseconds.
const STEP_MS: u64 = 20;

/// Largest permitted ratio of the requests of the busiest endpoint to the mean.
const MAX_LOAD_RATIO: f64 = 1.3;

struct Simulation {
    endpoints: usize,
    entries: usize,
    /// Requests per second, over all entry processes.
    rate_per_s: f64,
}

impl Simulation {
    /// Simulates one minute and returns the number of requests per endpoint. Each request receives
    /// a report of the load at its start, which only its own entry process records.
    fn run(&self, choose: impl Fn(&[LoadEstimate], &[u32], u64, u64) -> usize) -> Vec<u32> {
        let mut rng = StdRng::seed_from_u64(7);
        let mut estimates = vec![vec![LoadEstimate::default(); self.endpoints]; self.entries];
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
                let endpoint = choose(&estimates[entry], &own[entry], now_ms, rng.random());
                own[entry][endpoint] += 1;
                running[endpoint] += 1;
                served[endpoint] += 1;
                estimates[entry][endpoint].record_report(
                    running[endpoint],
                    own[entry][endpoint],
                    now_ms,
                );
                ends.push_back((now_ms + REQUEST_MS, entry, endpoint));
            }
        }
        served
    }
}

const SLOTS: f64 = 16.0;

fn choose_by_estimate(
    estimates: &[LoadEstimate],
    own: &[u32],
    now_ms: u64,
    tie_breaker: u64,
) -> usize {
    let mean = mean_load(estimates.iter(), now_ms);
    let costs: Vec<f64> = estimates
        .iter()
        .zip(own)
        .map(|(estimate, own)| (f64::from(*own) + estimate.other_requests(mean, now_ms)) / SLOTS)
        .collect();
    choose_lowest_cost(&costs, tie_breaker).expect("there are endpoints")
}

fn max_to_mean_ratio(served: &[u32]) -> f64 {
    let mean = f64::from(served.iter().sum::<u32>()) / served.len() as f64;
    f64::from(*served.iter().max().expect("there are endpoints")) / mean
}

/// Guards against entry processes that all choose an endpoint without a recent report and leave the
/// others idle.
#[test]
fn many_entries_balance_load_over_endpoints() {
    for entries in [6, 30, 70] {
        let simulation = Simulation {
            endpoints: 6,
            entries,
            rate_per_s: 40.0,
        };
        let served = simulation.run(choose_by_estimate);
        let max_to_mean_ratio = max_to_mean_ratio(&served);
        assert!(
            max_to_mean_ratio < MAX_LOAD_RATIO,
            "{entries} entries: {max_to_mean_ratio} {served:?}"
        );
    }
}

/// Guards against treating an endpoint with an old report as idle.
#[test]
fn an_old_report_decays_to_the_mean() {
    let mut busy = LoadEstimate::default();
    busy.record_report(12, 0, 1_000);
    assert!((busy.other_requests(4.0, 1_000) - 12.0).abs() < 0.01);
    let later = busy.other_requests(4.0, 4_000);
    assert!((4.0..12.0).contains(&later), "{later}");
    assert!((busy.other_requests(4.0, 60_000) - 4.0).abs() < 0.01);
    assert!((LoadEstimate::default().other_requests(4.0, 0) - 4.0).abs() < 0.01);
}

/// Guards against a tie-breaker that selects a busier endpoint.
#[test]
fn a_tie_breaker_chooses_only_among_equal_costs() {
    let costs = [0.50, 0.10, 0.12, 0.30];
    for tie_breaker in 0..10 {
        let chosen = choose_lowest_cost(&costs, tie_breaker);
        assert!(matches!(chosen, Some(1 | 2)), "{chosen:?}");
    }
    assert_eq!(choose_lowest_cost(&[], 3), None);
}

/// Guards against sending requests to another failure domain, which costs 3% of the slots, while an
/// equally idle endpoint exists in the caller's own domain.
#[test]
fn a_tie_breaker_never_chooses_another_failure_domain() {
    for tie_breaker in 0..10 {
        assert_eq!(choose_lowest_cost(&[0.13, 0.10], tie_breaker), Some(1));
    }
}
