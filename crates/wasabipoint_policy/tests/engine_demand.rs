//! Averaged demand for busy models, rare models and models that no engine holds.

use std::time::Duration;

use wasabipoint_kernel::ModelName;
use wasabipoint_policy::EngineDemand;

const SECOND: Duration = Duration::from_secs(1);

/// Records one request every `interval` seconds for `seconds` and returns the demand at the end.
fn demand_after(interval: u32, seconds: u32, is_held: bool) -> f64 {
    let model = ModelName::new("m");
    let mut demand = EngineDemand::default();
    let mut load = 0.0;
    for second in 0..=seconds {
        let now = SECOND * second;
        demand.count_arrivals(&model, u32::from(second % interval == 0), now);
        load = demand.update_load(&model, 0.0, is_held, now);
    }
    load
}

/// Guards against a model that is requested every six seconds and always refused, because a single
/// request never justifies evicting a used model.
#[test]
fn demand_for_an_unheld_model_grows() {
    let early = demand_after(6, 6, false);
    let later = demand_after(6, 30, false);
    assert!(later > early + 1.0, "{early} after 6 s, {later} after 30 s");
    let held = demand_after(6, 30, true);
    assert!(held < early, "{held} for a model that an engine holds");
}

/// Guards against a model whose demand lasts long after its only request, so that it evicts others.
#[test]
fn a_single_request_adds_little_demand_and_decays() {
    let once = demand_after(100, 0, false);
    assert!(once < 0.2, "{once}");
    let mut demand = EngineDemand::default();
    let model = ModelName::new("m");
    demand.count_arrivals(&model, 1, Duration::ZERO);
    demand.update_load(&model, 0.0, true, Duration::ZERO);
    assert!(demand.update_load(&model, 0.0, true, SECOND * 30) < 0.01);
}

/// Guards against treating a model as rare for seconds after demand shifts to it, with ten requests
/// in the first second that are all refused.
#[test]
fn rising_demand_is_detected_within_a_second() {
    let model = ModelName::new("m");
    let mut demand = EngineDemand::default();
    demand.count_arrivals(&model, 10, SECOND);
    let load = demand.update_load(&model, 0.0, false, SECOND);
    let rare = demand_after(2, 30, true);
    assert!(load > rare * 3.0, "{load}, but {rare} for a rare model");
}

/// Guards against evicting the initial replicas of busy models before requests show which models
/// are busy.
#[test]
fn demand_is_presumed_until_requests_arrive() {
    let mut demand = EngineDemand::default();
    let before = demand.presumed_share(SECOND * 100);
    assert!(before > 0.1);
    demand.count_arrivals(&ModelName::new("m"), 1, SECOND * 100);
    assert!(demand.presumed_share(SECOND * 110) < before / 10.0);
}
