//! Tests of the simulated experiments and of report rendering.

#![expect(clippy::unwrap_used, reason = "a missing value fails the test")]

use wasabipoint_load::{
    PlacementScenario, ReferenceDeployment, Report, RoutingScenario, Table, run_placement,
    run_routing,
};

const NORMAL: PlacementScenario = PlacementScenario {
    name: "normal",
    store_speed_percent: 100,
    endpoints_lost: 0,
    is_irregular: false,
};

// Guards against a placement simulation whose results vary under the same seed.
#[test]
fn a_seed_reproduces_a_placement_run() {
    let measure = || {
        let outcome =
            run_placement("demand_profile", ReferenceDeployment::Delta, NORMAL, 3, 7).unwrap();
        let waits = [0.5, 0.99].map(|quantile| outcome.cold_start_ms(quantile));
        (outcome.cold_starts(), waits, outcome.refused())
    };
    assert!(measure().0 > 0);
    assert_eq!(measure(), measure());
}

// Guards against an oracle that performs worse than a policy without knowledge of the arrivals.
#[test]
fn the_oracle_waits_less_and_idles_less_than_load_on_demand() {
    let run =
        |policy| run_placement(policy, ReferenceDeployment::GujaratWest, NORMAL, 3, 7).unwrap();
    let (oracle, on_demand) = (run("oracle"), run("load_on_demand"));
    assert!(oracle.cold_start_ms(0.9) < on_demand.cold_start_ms(0.9));
    assert!(oracle.idle_accelerator_hours() < on_demand.idle_accelerator_hours());
}

// Guards against a routing simulation whose results vary under the same seed, and against an
// unknown policy name that is accepted.
#[test]
fn a_seed_reproduces_a_routing_run() {
    let scenario = RoutingScenario {
        requests_per_s: 6,
        event_delay_ms: 3_000,
        event_loss: 0.1,
    };
    let measure = || {
        let outcome = run_routing("prefix_affinity", scenario, 2_000, 7).unwrap();
        (outcome.hit_ratio().to_bits(), outcome.first_token_ms(0.99))
    };
    assert_eq!(measure(), measure());
    assert!(run_routing("unknown", scenario, 10, 7).is_none());
}

// Guards against malformed Markdown tables.
#[test]
fn a_report_renders_as_markdown() {
    let table = Table {
        title: "waits".to_owned(),
        columns: vec!["policy".to_owned(), "p99".to_owned()],
        rows: vec![vec!["oracle".to_owned(), "1".to_owned()]],
    };
    let text = Report::new("placement").with_table(table).to_markdown();
    let expected = "# placement\n\n## waits\n\n| policy | p99 |\n|---|---|\n| oracle | 1 |\n";
    assert_eq!(text, expected);
}
