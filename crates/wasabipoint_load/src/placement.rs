//! Experiment `placement`: cold-start times and idle accelerator time of each placement policy.

mod oracle;
mod simulation;
mod workload;

use wasabipoint_kernel::Rules;
use wasabipoint_policy::{PlacementPolicy, build_placement_policy};

use self::oracle::Oracle;
use self::simulation::PlacementSimulation;
use self::workload::{DEMAND_PATTERN_NAMES, Workload};
use crate::latency::LatencyHistogram;
use crate::report::{Plot, Report, Table};

pub use workload::ReferenceDeployment;

const POLICIES: [&str; 4] = ["load_on_demand", "keep_loaded", "demand_profile", "oracle"];
/// Number of runs, under consecutive seeds, that are merged into one table row.
const SEEDS_PER_ROW: u64 = 4;
/// Days at the start of a run that are excluded from the results.
const WARM_UP_DAYS: u32 = 2;
const SCENARIOS: [PlacementScenario; 4] = [
    PlacementScenario {
        name: "normal",
        store_speed_percent: 100,
        endpoints_lost: 0,
        is_irregular: false,
    },
    PlacementScenario {
        name: "store at a quarter of its speed",
        store_speed_percent: 25,
        endpoints_lost: 0,
        is_irregular: false,
    },
    PlacementScenario {
        name: "two endpoints lost at dawn",
        store_speed_percent: 100,
        endpoints_lost: 2,
        is_irregular: false,
    },
    PlacementScenario {
        name: "irregular demand",
        store_speed_percent: 100,
        endpoints_lost: 0,
        is_irregular: true,
    },
];

/// Faults and demand variations that a run simulates.
#[derive(Debug, Clone, Copy)]
pub struct PlacementScenario {
    /// Name in the result tables.
    pub name: &'static str,
    /// Speed of the weight store, as a percentage of its normal speed.
    pub store_speed_percent: u64,
    /// Number of endpoints that fail every day at dawn.
    pub endpoints_lost: usize,
    /// Whether sessions are skipped, shifted and added at random.
    pub is_irregular: bool,
}

/// Results of one or more merged runs.
#[derive(Debug, Clone)]
pub struct PlacementOutcome {
    pub(crate) cold_start_times: LatencyHistogram,
    pub(crate) idle_accelerator_s: f64,
    pub(crate) refused: u64,
    pub(crate) requests: u64,
    /// Cold starts with a non-zero wait, by demand pattern of the model.
    pub(crate) delayed_by_demand_pattern: [u64; DEMAND_PATTERN_NAMES.len()],
}

impl PlacementOutcome {
    pub(crate) fn new() -> Self {
        Self {
            cold_start_times: LatencyHistogram::new(),
            idle_accelerator_s: 0.0,
            refused: 0,
            requests: 0,
            delayed_by_demand_pattern: [0; DEMAND_PATTERN_NAMES.len()],
        }
    }

    fn merge(&mut self, other: &Self) {
        self.cold_start_times.merge(&other.cold_start_times);
        self.idle_accelerator_s += other.idle_accelerator_s;
        self.refused += other.refused;
        self.requests += other.requests;
        let counts = self.delayed_by_demand_pattern.iter_mut();
        for (count, other) in counts.zip(other.delayed_by_demand_pattern) {
            *count += other;
        }
    }

    /// Returns the number of cold starts.
    pub fn cold_starts(&self) -> u64 {
        self.cold_start_times.count()
    }

    /// Returns a quantile of the cold-start time.
    pub fn cold_start_ms(&self, quantile: f64) -> u64 {
        self.cold_start_times.quantile_ms(quantile)
    }

    /// Returns the accelerator hours that replicas held without running a request.
    pub fn idle_accelerator_hours(&self) -> f64 {
        self.idle_accelerator_s / 3_600.0
    }

    /// Returns the number of requests that were not started before their deadline.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// Runs one policy over generated demand. Returns `None` if the policy is unknown. Besides the
/// registered policies, `oracle` is a policy that knows all arrivals in advance.
pub fn run_placement(
    policy: &str,
    deployment: ReferenceDeployment,
    scenario: PlacementScenario,
    days: u32,
    seed: u64,
) -> Option<PlacementOutcome> {
    let workload = Workload::generate(deployment, scenario.is_irregular, days, seed);
    let mut policy: Box<dyn PlacementPolicy> = match policy {
        "oracle" => Box::new(Oracle::new(&workload)),
        name => build_placement_policy(name)?,
    };
    let mut simulation = PlacementSimulation::new(&workload, scenario, Rules::default().placement);
    simulation.run(policy.as_mut(), days);
    Some(simulation.outcome)
}

/// Runs all compared policies in parallel, each under `SEEDS_PER_ROW` seeds, and returns the merged
/// outcome of each.
pub fn compare_placement(
    deployment: ReferenceDeployment,
    scenario: PlacementScenario,
    days: u32,
    seed: u64,
) -> Vec<(&'static str, PlacementOutcome)> {
    std::thread::scope(|scope| {
        let runs = POLICIES.map(|policy| {
            scope.spawn(move || {
                let mut merged = PlacementOutcome::new();
                for seed in seed..seed + SEEDS_PER_ROW {
                    let outcome = run_placement(policy, deployment, scenario, days, seed);
                    merged.merge(&outcome.expect("all compared policies are registered"));
                }
                (policy, merged)
            })
        });
        let joined = runs.map(|run| run.join().expect("a simulation thread panicked"));
        joined.into_iter().collect()
    })
}

pub(crate) fn report(seed: u64, days: u32) -> Report {
    let measured_days = u64::from(days.saturating_sub(WARM_UP_DAYS)).max(1) * SEEDS_PER_ROW;
    let mut report = Report::new("placement").with_paragraph(format!(
        "Command: `wasabipoint-load placement --seed {seed} --days {days}`. Seeds {seed} to {}; \
         the first {WARM_UP_DAYS} days of each run are not measured. A cold start is the \
         first request after a pause of `idle_unload_ms`, or a request that finds no replica; its \
         time is the wait until a replica is loaded, zero when one is. Idle hours and refused \
         requests are per day.",
        seed + SEEDS_PER_ROW - 1
    ));
    for deployment in [ReferenceDeployment::Delta, ReferenceDeployment::GujaratWest] {
        for scenario in SCENARIOS {
            let outcomes = compare_placement(deployment, scenario, days, seed);
            let title = format!("{}, {}", deployment.name(), scenario.name);
            report = report.with_table(Table {
                title: title.clone(),
                columns: [
                    "policy",
                    "cold starts",
                    "of them waited (dawn, daytime, rare)",
                    "mean s",
                    "p50 s",
                    "p90 s",
                    "p99 s",
                    "max s",
                    "p99 / load_on_demand",
                    "p99 / oracle",
                    "idle accelerator h/day",
                    "refused/day",
                    "requests/day",
                ]
                .map(str::to_owned)
                .to_vec(),
                rows: table_rows(&outcomes, measured_days),
            });
            report = report.with_plot(plot_quantiles(&title, &outcomes));
        }
    }
    report
}

fn table_rows(
    outcomes: &[(&'static str, PlacementOutcome)],
    measured_days: u64,
) -> Vec<Vec<String>> {
    let p99_ms_of = |name: &str| {
        let mut outcomes = outcomes.iter();
        let found = outcomes.find(|(policy, _)| *policy == name);
        found.map_or(0, |(_, outcome)| outcome.cold_start_ms(0.99))
    };
    let (on_demand_ms, oracle_ms) = (p99_ms_of("load_on_demand"), p99_ms_of("oracle"));
    let seconds = |ms: u64| format!("{:.1}", ms as f64 / 1_000.0);
    let ratio = |ms: u64, reference_ms: u64| match reference_ms {
        0 => "-".to_owned(),
        _ => format!("{:.2}", ms as f64 / reference_ms as f64),
    };
    let row = |(policy, outcome): &(&'static str, PlacementOutcome)| {
        let p99_ms = outcome.cold_start_ms(0.99);
        vec![
            (*policy).to_owned(),
            outcome.cold_starts().to_string(),
            outcome
                .delayed_by_demand_pattern
                .map(|count| count.to_string())
                .join(", "),
            seconds(outcome.cold_start_times.mean_ms() as u64),
            seconds(outcome.cold_start_ms(0.5)),
            seconds(outcome.cold_start_ms(0.9)),
            seconds(p99_ms),
            seconds(outcome.cold_start_ms(1.0)),
            ratio(p99_ms, on_demand_ms),
            ratio(p99_ms, oracle_ms),
            format!(
                "{:.0}",
                outcome.idle_accelerator_hours() / measured_days as f64
            ),
            format!("{:.1}", outcome.refused as f64 / measured_days as f64),
            format!("{:.0}", outcome.requests as f64 / measured_days as f64),
        ]
    };
    outcomes.iter().map(row).collect()
}

fn plot_quantiles(title: &str, outcomes: &[(&'static str, PlacementOutcome)]) -> Plot {
    let file_stem = title.to_lowercase().replace(", ", "-").replace(' ', "-");
    let series = outcomes.iter().map(|(policy, outcome)| {
        let points = (0..=200).map(|step| {
            let wait_ms = outcome.cold_start_ms(f64::from(step) / 200.0);
            (f64::from(step) / 2.0, wait_ms as f64 / 1_000.0)
        });
        ((*policy).to_owned(), points.collect())
    });
    Plot {
        file: format!("placement-{file_stem}.svg"),
        title: format!("Cold-start time: {title}"),
        x_label: "percentile".to_owned(),
        y_label: "seconds".to_owned(),
        series: series.collect(),
    }
}
