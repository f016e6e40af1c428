//! Experiment `cost`: time per policy decision, by number of endpoints and models.

use std::time::Instant;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_kernel::{EndpointId, FailureDomain, FencingToken, ModelName, Rules};
use wasabipoint_policy::{
    DemandSample, EndpointCapacity, GrantState, GrantView, ModelView, PlacementView,
    RoutingCandidate, RoutingRequest, StoreView, build_placement_policy, build_routing_policy,
    placement_policy_names, routing_policy_names,
};

use crate::report::{Plot, Report, Table};

/// Number of endpoints that the system is designed for.
const DESIGN_ENDPOINTS: usize = 600;
/// Number of models that the system is designed for.
const DESIGN_MODELS: usize = 95;
/// Divisors of the design size; each one is measured.
const SIZE_DIVISORS: [usize; 4] = [8, 4, 2, 1];
const FAILURE_DOMAINS: usize = 11;
/// Decisions over which the time of a placement policy is averaged.
const PLACEMENT_ITERATIONS: u32 = 300;
/// Decisions over which the time of a routing policy is averaged.
const ROUTING_ITERATIONS: u32 = 20_000;

pub(crate) fn report(seed: u64) -> Report {
    let build_profile = if cfg!(debug_assertions) {
        "debug"
    } else {
        "release"
    };
    Report::new("cost")
        .with_paragraph(format!(
            "Command: `wasabipoint-load cost --seed {seed}`, {build_profile} build. Mean time per \
             call on a shared machine; the slope is that between the smallest and the largest \
             size."
        ))
        .with_table(placement_table(
            "Placement round, nothing waits (µs)",
            seed,
            0.0,
        ))
        .with_table(placement_table(
            "Placement round, half of the models wait (µs)",
            seed,
            0.5,
        ))
        .with_table(routing_table(seed))
        .with_plot(placement_plot(seed))
}

fn placement_table(title: &str, seed: u64, waiting_fraction: f64) -> Table {
    let rows = placement_policy_names().into_iter().map(|policy| {
        let times =
            SIZE_DIVISORS.map(|divisor| placement_us(policy, seed, divisor, waiting_fraction));
        timing_row(policy, &times)
    });
    Table {
        title: title.to_owned(),
        columns: size_columns(|divisor| {
            format!(
                "{} endpoints, {} models",
                DESIGN_ENDPOINTS / divisor,
                DESIGN_MODELS / divisor
            )
        }),
        rows: rows.collect(),
    }
}

fn routing_table(seed: u64) -> Table {
    let rows = routing_policy_names().into_iter().map(|policy| {
        let times = SIZE_DIVISORS.map(|divisor| routing_us(policy, seed, divisor));
        timing_row(policy, &times)
    });
    Table {
        title: "Routing decision (µs)".to_owned(),
        columns: size_columns(|divisor| format!("{} candidates", DESIGN_ENDPOINTS / divisor)),
        rows: rows.collect(),
    }
}

fn placement_plot(seed: u64) -> Plot {
    let series = placement_policy_names().into_iter().map(|policy| {
        let points = SIZE_DIVISORS.map(|divisor| {
            let mean_us = placement_us(policy, seed, divisor, 0.5);
            ((DESIGN_ENDPOINTS / divisor) as f64, mean_us)
        });
        (policy.to_owned(), points.to_vec())
    });
    Plot {
        file: "cost-placement.svg".to_owned(),
        title: "Placement round, half of the models wait".to_owned(),
        x_label: "endpoints".to_owned(),
        y_label: "µs".to_owned(),
        series: series.collect(),
    }
}

fn size_columns(name: impl Fn(usize) -> String) -> Vec<String> {
    let mut columns = vec!["policy".to_owned()];
    columns.extend(SIZE_DIVISORS.map(name));
    columns.push("slope per endpoint".to_owned());
    columns
}

fn timing_row(policy: &str, times_us: &[f64; 4]) -> Vec<String> {
    let smallest = (DESIGN_ENDPOINTS / SIZE_DIVISORS[0]) as f64;
    let slope = (times_us[3] - times_us[0]) / (DESIGN_ENDPOINTS as f64 - smallest);
    let mut row = vec![policy.to_owned()];
    row.extend(times_us.map(|mean_us| format!("{mean_us:.1}")));
    row.push(format!("{slope:.3}"));
    row
}

/// Returns the mean time of a placement decision in microseconds.
fn placement_us(policy: &str, seed: u64, divisor: usize, waiting_fraction: f64) -> f64 {
    let view = placement_view(seed, divisor, waiting_fraction);
    let mut policy = build_placement_policy(policy).expect("policy names come from the registry");
    policy.decide(&view);
    for hour in 0..24 {
        policy.observe(&DemandSample {
            cycle_ms: hour * 3_600_000,
            interval_ms: 1_000,
            arrived: view.models.iter().map(|m| (m.name.clone(), 1)).collect(),
            largest_customer: None,
        });
    }
    let start = Instant::now();
    for _ in 0..PLACEMENT_ITERATIONS {
        std::hint::black_box(policy.decide(std::hint::black_box(&view)));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(PLACEMENT_ITERATIONS)
}

fn placement_view(seed: u64, divisor: usize, waiting_fraction: f64) -> PlacementView {
    let mut rng = StdRng::seed_from_u64(seed);
    let endpoints: Vec<EndpointCapacity> = (0..DESIGN_ENDPOINTS / divisor)
        .map(|index| EndpointCapacity {
            id: EndpointId::new(format!("endpoint-{index}")),
            failure_domain: FailureDomain::new(format!("domain-{}", index % FAILURE_DOMAINS)),
            memory_mib: 80_000,
            free_mib: 0,
            accelerators: 8,
            concurrency: 16,
            is_placeable: true,
        })
        .collect();
    let models: Vec<ModelView> = (0..DESIGN_MODELS / divisor)
        .map(|index| {
            let is_waiting = rng.random_bool(waiting_fraction);
            ModelView {
                name: ModelName::new(format!("model-{index}")),
                memory_mib: 40_000,
                max_replicas: endpoints.len() as u32,
                queued: u32::from(is_waiting) * 5,
                in_flight: 0,
                oldest_wait_ms: u64::from(is_waiting) * 1_000,
                earliest_deadline_ms: is_waiting.then_some(50_000),
                idle_ms: Some(rng.random_range(0..3_600_000)),
                load_ms_by_endpoint: Vec::new(),
                remote_load_ms: 40_000,
            }
        })
        .collect();
    // Replicas of models without demand fill all memory, so that each load for a model with queued
    // requests requires an eviction.
    let idle_models: Vec<&ModelView> = models.iter().filter(|m| m.queued == 0).collect();
    let grants = (0..endpoints.len() * 2).filter_map(|index| {
        Some(GrantView {
            model: idle_models
                .get(index % idle_models.len().max(1))?
                .name
                .clone(),
            endpoint: endpoints[index / 2].id.clone(),
            fencing_token: FencingToken(index as u64),
            state: GrantState::Loaded,
            age_ms: 500_000,
        })
    });
    let rules = Rules::default();
    PlacementView {
        cycle_ms: 21_000_000,
        grants: grants.collect(),
        rules: rules.placement,
        models,
        endpoints,
        store: StoreView {
            limits: rules.store,
            loads_running: 0,
            loads_allowed: 2,
        },
    }
}

/// Returns the mean time of a routing decision in microseconds.
fn routing_us(policy: &str, seed: u64, divisor: usize) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let policy = build_routing_policy(policy).expect("policy names come from the registry");
    let candidates: Vec<RoutingCandidate> = (0..DESIGN_ENDPOINTS / divisor)
        .map(|index| RoutingCandidate {
            endpoint: EndpointId::new(format!("endpoint-{index}")),
            failure_domain: FailureDomain::new(format!("domain-{}", index % FAILURE_DOMAINS)),
            local_in_flight: rng.random_range(0..16),
            reported_load: rng.random_range(0..16),
            report_age_ms: 500,
            concurrency: 16,
            cached_blocks: rng.random_range(0..100),
            has_adapter_loaded: false,
        })
        .collect();
    let request = RoutingRequest {
        failure_domain: FailureDomain::new("domain-0"),
        prompt_blocks: 100,
        has_adapter: false,
    };
    let start = Instant::now();
    for tie_breaker in 0..ROUTING_ITERATIONS {
        let choice = policy.choose(&request, &candidates, u64::from(tie_breaker));
        std::hint::black_box(choice);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUTING_ITERATIONS)
}
