//! Number of loads that the weight store serves at full speed, estimated from load times.

use std::time::Duration;

use wasabipoint_policy::StoreConcurrency;

const CONFIGURED: Duration = Duration::from_secs(6);

/// Returns the estimate after a number of loads from a store that serves `at_full_speed` concurrent
/// loads at full speed.
fn measure_concurrency(at_full_speed: u32, loads: u32) -> u32 {
    let mut store = StoreConcurrency::default();
    for _ in 0..loads {
        let running = store.full_speed_loads();
        let slowed = f64::from(running.max(at_full_speed)) / f64::from(at_full_speed);
        let late_report = Duration::from_millis(300);
        let measured = CONFIGURED.mul_f64(slowed) + late_report;
        store.record_load(measured, CONFIGURED, running);
    }
    store.full_speed_loads()
}

/// Guards against starting four loads on a store that serves two at full speed, which occupies
/// engines for twice the time without more throughput.
#[test]
fn a_store_that_slows_down_gets_fewer_loads() {
    // The estimate is raised by one from time to time to probe whether the store has become faster.
    assert!((2..=3).contains(&measure_concurrency(2, 4)));
    assert!((1..=2).contains(&measure_concurrency(1, 5)));
}

/// Guards against a single slow load that reduces the limit permanently.
#[test]
fn a_store_that_regains_its_speed_gets_more_loads() {
    let mut store = StoreConcurrency::default();
    store.record_load(CONFIGURED * 4, CONFIGURED, 4);
    assert_eq!(store.full_speed_loads(), 1);
    for running in 1..4 {
        store.record_load(CONFIGURED, CONFIGURED, running);
    }
    assert_eq!(store.full_speed_loads(), 4);
}

/// Guards against treating the store as slow because of a single slow engine.
#[test]
fn loads_below_the_limit_are_ignored() {
    let mut store = StoreConcurrency::default();
    let before = store.full_speed_loads();
    store.record_load(CONFIGURED * 3, CONFIGURED, 1);
    assert_eq!(store.full_speed_loads(), before);
}
