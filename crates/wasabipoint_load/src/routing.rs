//! Experiment `routing`: prefix-cache hit ratio and time to first token of each routing policy.

mod engines;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_kernel::{EndpointId, FailureDomain};
use wasabipoint_policy::{RoutingCandidate, RoutingPolicy, RoutingRequest, build_routing_policy};

use self::engines::{CONCURRENCY, Engine, KnownEngineState};
use crate::latency::LatencyHistogram;
use crate::report::{Plot, Report, Table};

const POLICIES: [&str; 2] = ["least_loaded", "prefix_affinity"];
const ENDPOINTS: usize = 10;
const ENTRIES: usize = 4;
/// Number of shared prompt prefixes.
const PREFIXES: usize = 300;
/// Interval at which the load of the engines is sampled.
const LOAD_SAMPLE_INTERVAL_MS: u64 = 1_000;
/// Interval at which another prefix becomes hot.
const HOT_PERIOD_MS: u64 = 60_000;
/// Time for which a prefix stays hot.
const HOT_DURATION_MS: u64 = 10_000;
/// Fraction of requests that use the hot prefix.
const HOT_REQUEST_FRACTION: f64 = 0.4;
/// Request rates that are compared.
const REQUEST_RATES_PER_S: [u32; 5] = [4, 6, 8, 9, 10];

/// Request rate and quality of the cache information at entry processes.
#[derive(Debug, Clone, Copy)]
pub struct RoutingScenario {
    /// Requests per second over all entry processes.
    pub requests_per_s: u32,
    /// Delay of cache events on their way to an entry process.
    pub event_delay_ms: u64,
    /// Fraction of cache events that are lost.
    pub event_loss: f64,
}

/// Results of a run.
#[derive(Debug, Clone)]
pub struct RoutingOutcome {
    time_to_first_token: LatencyHistogram,
    hit_blocks: u64,
    prompt_blocks: u64,
    peak_load: u32,
}

impl RoutingOutcome {
    /// Returns the fraction of prompt blocks that were cached.
    pub fn hit_ratio(&self) -> f64 {
        self.hit_blocks as f64 / self.prompt_blocks.max(1) as f64
    }

    /// Returns a quantile of the time to first token.
    pub fn first_token_ms(&self, quantile: f64) -> u64 {
        self.time_to_first_token.quantile_ms(quantile)
    }
}

/// State of one simulated run.
struct RoutingSimulation {
    scenario: RoutingScenario,
    rng: StdRng,
    engines: Vec<Engine>,
    /// For each entry process, its view of each engine.
    entry_views: Vec<Vec<KnownEngineState>>,
    /// Number of blocks and cumulative weight of each prefix.
    prefixes: Vec<(u32, f64)>,
    /// Ends of running requests: time, entry process and endpoint.
    completions: BinaryHeap<Reverse<(u64, usize, usize)>>,
    next_sample_ms: u64,
    outcome: RoutingOutcome,
}

/// Runs one policy over generated requests. Returns `None` if the policy is unknown.
pub fn run_routing(
    policy: &str,
    scenario: RoutingScenario,
    requests: u32,
    seed: u64,
) -> Option<RoutingOutcome> {
    let policy = build_routing_policy(policy)?;
    let mut simulation = RoutingSimulation::new(scenario, seed);
    let mut now_ms = 0.0;
    for request_index in 0..requests {
        let uniform: f64 = simulation.rng.random_range(1e-9..1.0);
        now_ms -= uniform.ln() * 1_000.0 / f64::from(scenario.requests_per_s);
        simulation.advance(now_ms as u64);
        // The first tenth of the requests fills the caches and is not measured.
        let is_measured = request_index >= requests / 10;
        simulation.dispatch(policy.as_ref(), now_ms as u64, request_index, is_measured);
    }
    Some(simulation.outcome)
}

impl RoutingSimulation {
    fn new(scenario: RoutingScenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut weight = 0.0;
        let prefixes = (1..=PREFIXES).map(|rank| {
            weight += 1.0 / rank as f64;
            (rng.random_range(40..160), weight)
        });
        Self {
            scenario,
            prefixes: prefixes.collect(),
            rng,
            engines: (0..ENDPOINTS).map(|_| Engine::default()).collect(),
            entry_views: vec![vec![KnownEngineState::default(); ENDPOINTS]; ENTRIES],
            completions: BinaryHeap::new(),
            next_sample_ms: 0,
            outcome: RoutingOutcome {
                time_to_first_token: LatencyHistogram::new(),
                hit_blocks: 0,
                prompt_blocks: 0,
                peak_load: 0,
            },
        }
    }

    /// Processes response ends and load samples that are due.
    fn advance(&mut self, now_ms: u64) {
        loop {
            let end_ms = self.completions.peek().map_or(u64::MAX, |end| end.0.0);
            if end_ms.min(self.next_sample_ms) > now_ms {
                return;
            }
            if self.next_sample_ms <= end_ms {
                for engine in &mut self.engines {
                    engine.sampled_load = engine.load(self.next_sample_ms);
                }
                self.next_sample_ms += LOAD_SAMPLE_INTERVAL_MS;
            } else if let Some(Reverse((end_ms, entry, endpoint))) = self.completions.pop() {
                self.entry_views[entry][endpoint].record_response_end(
                    &self.engines[endpoint],
                    end_ms,
                    self.scenario.event_delay_ms,
                    self.scenario.event_loss,
                    &mut self.rng,
                );
            }
        }
    }

    fn dispatch(
        &mut self,
        policy: &dyn RoutingPolicy,
        now_ms: u64,
        request_index: u32,
        is_measured: bool,
    ) {
        let entry = self.rng.random_range(0..ENTRIES);
        let prefix = self.sample_prefix(now_ms);
        let prefix_blocks = self.prefixes[prefix].0;
        let suffix_blocks = self.rng.random_range(2..12);
        let decode_ms = self.rng.random_range(1_000..5_000);
        let request = RoutingRequest {
            failure_domain: failure_domain_of(entry),
            prompt_blocks: prefix_blocks + suffix_blocks,
            has_adapter: false,
        };
        let candidates = self.candidates(entry, prefix as u64, prefix_blocks, now_ms);
        let tie_breaker = self.rng.random();
        let choice = policy.choose(&request, &candidates, tie_breaker);
        let endpoint = choice
            .expect("a choice exists because candidates are not empty")
            .index;
        self.entry_views[entry][endpoint].record_dispatch(prefix as u64);
        let timing = self.engines[endpoint].run(
            now_ms,
            (prefix as u64, prefix_blocks),
            (PREFIXES as u64 + u64::from(request_index), suffix_blocks),
            decode_ms,
        );
        self.completions
            .push(Reverse((timing.end_ms, entry, endpoint)));
        if is_measured {
            let load = self.engines[endpoint].load(now_ms);
            let outcome = &mut self.outcome;
            outcome
                .time_to_first_token
                .record_ms(timing.first_token_ms - now_ms);
            outcome.hit_blocks += u64::from(timing.hit_blocks);
            outcome.prompt_blocks += u64::from(request.prompt_blocks);
            outcome.peak_load = outcome.peak_load.max(load);
        }
    }

    /// Samples a prefix by Zipf popularity, or the hot one while there is one.
    fn sample_prefix(&mut self, now_ms: u64) -> usize {
        let is_hot =
            now_ms % HOT_PERIOD_MS < HOT_DURATION_MS && self.rng.random_bool(HOT_REQUEST_FRACTION);
        if is_hot {
            return (now_ms / HOT_PERIOD_MS) as usize * 7 % PREFIXES;
        }
        let total = self.prefixes.last().map_or(1.0, |last| last.1);
        let sampled_weight = self.rng.random_range(0.0..total);
        self.prefixes
            .partition_point(|(_, weight)| *weight < sampled_weight)
    }

    fn candidates(
        &self,
        entry: usize,
        prefix: u64,
        prefix_blocks: u32,
        now_ms: u64,
    ) -> Vec<RoutingCandidate> {
        let known = self.entry_views[entry].iter().enumerate();
        known
            .map(|(endpoint, known)| RoutingCandidate {
                endpoint: EndpointId::new(format!("endpoint-{endpoint}")),
                failure_domain: failure_domain_of(endpoint),
                local_in_flight: known.in_flight,
                reported_load: known.reported_load,
                report_age_ms: now_ms.saturating_sub(known.report_ms),
                concurrency: CONCURRENCY,
                cached_blocks: if known.expects_cached(prefix) {
                    prefix_blocks
                } else {
                    0
                },
                has_adapter_loaded: false,
            })
            .collect()
    }
}

fn failure_domain_of(index: usize) -> FailureDomain {
    FailureDomain::new(format!("domain-{}", index % 4))
}

pub(crate) fn report(seed: u64, requests: u32) -> Report {
    let mut report = Report::new("routing").with_paragraph(format!(
        "Command: `wasabipoint-load routing --seed {seed} --requests {requests}`. {ENDPOINTS} \
         endpoints and {ENTRIES} entry processes, {PREFIXES} shared prefixes with Zipf \
         popularity and a hot prefix in ten seconds of each minute. Load is sampled every \
         {LOAD_SAMPLE_INTERVAL_MS} ms and reaches an entry process with the end of a response."
    ));
    for (event_delay_ms, event_loss) in [(3_000, 0.1), (20_000, 0.5)] {
        let mut rows = Vec::new();
        let mut time_to_first_token = vec![Vec::new(); POLICIES.len()];
        for requests_per_s in REQUEST_RATES_PER_S {
            let scenario = RoutingScenario {
                requests_per_s,
                event_delay_ms,
                event_loss,
            };
            let outcomes = POLICIES.map(|policy| {
                run_routing(policy, scenario, requests, seed)
                    .expect("all compared policies are registered")
            });
            for (index, outcome) in outcomes.iter().enumerate() {
                let p99_ms = outcome.first_token_ms(0.99);
                time_to_first_token[index]
                    .push((f64::from(requests_per_s), p99_ms as f64 / 1_000.0));
                rows.push(vec![
                    requests_per_s.to_string(),
                    POLICIES[index].to_owned(),
                    format!("{:.3}", outcome.hit_ratio()),
                    format!("{:.2}", outcome.hit_ratio() / outcomes[0].hit_ratio()),
                    outcome.first_token_ms(0.5).to_string(),
                    p99_ms.to_string(),
                    outcome.peak_load.to_string(),
                ]);
            }
        }
        let lost = event_loss * 100.0;
        let title = format!("cache events {event_delay_ms} ms late, {lost:.0}% lost");
        let series = POLICIES.iter().zip(time_to_first_token);
        report = report
            .with_plot(Plot {
                file: format!("routing-{event_delay_ms}.svg"),
                title: format!("p99 time to first token: {title}"),
                x_label: "requests per second".to_owned(),
                y_label: "seconds".to_owned(),
                series: series
                    .map(|(policy, points)| ((*policy).to_owned(), points))
                    .collect(),
            })
            .with_table(Table {
                title,
                columns: [
                    "requests/s",
                    "policy",
                    "cache hit ratio",
                    "hits / least_loaded",
                    "p50 first token ms",
                    "p99 first token ms",
                    "largest load",
                ]
                .map(str::to_owned)
                .to_vec(),
                rows,
            });
    }
    report
}
