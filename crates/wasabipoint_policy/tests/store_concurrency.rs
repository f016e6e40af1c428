//! How many loads the weight store serves at full speed, learnt from the times of loads.

use std::time::Duration;

use wasabipoint_policy::StoreConcurrency;

const CONFIGURED: Duration = Duration::from_secs(6);

/// Feeds loads from a store that serves `at_full_speed` of them at once at full speed.
fn learn(at_full_speed: u32, loads: u32) -> u32 {
    let mut store = StoreConcurrency::default();
    for _ in 0..loads {
        let running = store.loads_at_once();
        let slowed = f64::from(running.max(at_full_speed)) / f64::from(at_full_speed);
        let late_report = Duration::from_millis(300);
        let measured = CONFIGURED.mul_f64(slowed) + late_report;
        store.record_load(measured, CONFIGURED, running);
    }
    store.loads_at_once()
}

/// Pattern: a store that serves two loads at full speed while four are begun. Guards against
/// engines that are kept busy for twice the time without one load more.
#[test]
fn a_store_that_slows_down_gets_fewer_loads() {
    // One more is tried now and then, in case the store has become faster.
    assert!((2..=3).contains(&learn(2, 4)));
    assert!((1..=2).contains(&learn(1, 5)));
}

/// Pattern: a store that was slow for a while. Guards against one slow load that narrows the store
/// for good.
#[test]
fn a_store_that_regains_its_speed_gets_more_loads() {
    let mut store = StoreConcurrency::default();
    store.record_load(CONFIGURED * 4, CONFIGURED, 4);
    assert_eq!(store.loads_at_once(), 1);
    for running in 1..4 {
        store.record_load(CONFIGURED, CONFIGURED, running);
    }
    assert_eq!(store.loads_at_once(), 4);
}

/// Guards against a single slow engine that is taken for a slow store.
#[test]
fn few_loads_tell_nothing() {
    let mut store = StoreConcurrency::default();
    let before = store.loads_at_once();
    store.record_load(CONFIGURED * 3, CONFIGURED, 1);
    assert_eq!(store.loads_at_once(), before);
}
