//! Averaged demand for models: hot, rare and absent ones.

use std::time::Duration;

use wasabipoint_kernel::ModelName;
use wasabipoint_policy::EngineDemand;

const SECOND: Duration = Duration::from_secs(1);

/// Feeds one request in `every` seconds for `seconds` and returns the demand at the end.
fn demand_after(every: u32, seconds: u32, is_held: bool) -> f64 {
    let model = ModelName::new("m");
    let mut demand = EngineDemand::default();
    let mut load = 0.0;
    for second in 0..=seconds {
        let now = SECOND * second;
        demand.count_arrivals(&model, u32::from(second % every == 0), now);
        load = demand.update_load(&model, 0.0, is_held, now);
    }
    load
}

/// Pattern: a model is asked for every six seconds while all others are in use. Guards against a
/// model that is refused through the whole day, because no single request is worth a place.
#[test]
fn demand_asked_for_in_vain_grows() {
    let early = demand_after(6, 6, false);
    let later = demand_after(6, 30, false);
    assert!(later > early + 1.0, "{early} then {later}");
    let held = demand_after(6, 30, true);
    assert!(held < early, "{held} of a model that an engine holds");
}

/// Pattern: one request for a model that nobody else asks for. Guards against an absent model that
/// displaces others long after its only request.
#[test]
fn a_single_request_counts_little_and_fades() {
    let once = demand_after(100, 0, false);
    assert!(once < 0.2, "{once}");
    let mut demand = EngineDemand::default();
    let model = ModelName::new("m");
    demand.count_arrivals(&model, 1, Duration::ZERO);
    demand.update_load(&model, 0.0, true, Duration::ZERO);
    assert!(demand.update_load(&model, 0.0, true, SECOND * 30) < 0.01);
}

/// Pattern: demand moves to a model that no engine holds, ten requests in the first second, all of
/// them refused at once. Guards against seconds in which it looks like a rare model.
#[test]
fn demand_that_begins_is_seen_within_a_second() {
    let model = ModelName::new("m");
    let mut demand = EngineDemand::default();
    demand.count_arrivals(&model, 10, SECOND);
    let load = demand.update_load(&model, 0.0, false, SECOND);
    let rare = demand_after(2, 30, true);
    assert!(load > rare * 3.0, "{load} beside {rare} of a rare model");
}

/// Pattern: the first seconds of a day, where busy models have several replicas. Guards against
/// replicas that are given away before requests show which models are busy.
#[test]
fn replicas_stand_for_demand_until_requests_come() {
    let mut demand = EngineDemand::default();
    let before = demand.presumed_share(SECOND * 100);
    assert!(before > 0.1);
    demand.count_arrivals(&ModelName::new("m"), 1, SECOND * 100);
    assert!(demand.presumed_share(SECOND * 110) < before / 10.0);
}
