//! Placement of models on engines of several software versions, between which streams cannot move.

#[path = "fixtures/engines.rs"]
mod engines;

use engines::model;
use wasabipoint_kernel::{EndpointId, ModelName, SoftwareVersion};
use wasabipoint_policy::{
    ChangeCause, EngineChange, EngineView, ModelLoad, StoreBudget, plan_engine_changes,
};

const SLOTS: u32 = 48;

const STORE: StoreBudget = StoreBudget {
    loads_left: 9,
    loads_running: 0,
    full_speed_loads: 4,
};

fn engine(name: &str, version: &str, models: &[&str]) -> EngineView {
    EngineView {
        software_version: SoftwareVersion::new(version),
        ..engines::engine(name, models)
    }
}

fn plan(models: &[ModelLoad], engines: &[EngineView]) -> Vec<EngineChange> {
    plan_engine_changes(models, engines, SLOTS, STORE).changes
}

/// Guards against a used model with one replica at each software version while engines have free memory:
/// the streams of a lost engine could not go on anywhere.
#[test]
fn a_used_model_gets_two_replicas_at_one_version() {
    let models = [model("busy", 4.0, 0), model("other", 0.1, 0)];
    let alone = [
        engine("old", "v1", &["busy", "other"]),
        engine("new1", "v1.1", &["other"]),
        engine("new2", "v1.1", &["other"]),
    ];
    let changes = plan(&models, &alone);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].cause, ChangeCause::Redundancy);
    assert_eq!(changes[0].load, ModelName::new("busy"));
    assert!(changes[0].unload.is_empty());
    let one_each = [
        engine("old", "v1", &["busy", "other"]),
        engine("new1", "v1.1", &["other", "busy"]),
        engine("new2", "v1.1", &["other"]),
    ];
    let changes = plan(&models, &one_each);
    assert_eq!(changes[0].endpoint, EndpointId::new("new2"));
    let two = [
        engine("old", "v1", &["busy", "other"]),
        engine("new1", "v1.1", &["other", "busy"]),
        engine("new2", "v1.1", &["other", "busy"]),
        engine("new3", "v1.1", &["other"]),
    ];
    assert!(plan(&models, &two).is_empty());
}

/// Guards against second replicas that cost other models their place, that no stream needs, or that can
/// never be two.
#[test]
fn a_second_replica_costs_no_other_model() {
    let busy = [
        model("busy", 4.0, 0),
        model("other", 0.1, 0),
        model("third", 0.1, 0),
    ];
    let full = [
        engine("old", "v1", &["busy", "other"]),
        engine("new", "v1.1", &["other", "third"]),
        engine("new2", "v1.1", &["other", "third"]),
    ];
    assert!(plan(&busy, &full).is_empty());
    let single = [
        engine("old", "v1", &["busy", "other"]),
        engine("new", "v1", &["third"]),
        engine("new2", "v1", &["third"]),
    ];
    assert!(plan(&busy, &single).is_empty());
    let unused = [
        model("busy", 0.2, 0),
        model("other", 0.1, 0),
        model("third", 0.1, 0),
    ];
    let free = [
        engine("old", "v1", &["busy", "other"]),
        engine("new", "v1.1", &["third"]),
        engine("new2", "v1.1", &["third"]),
    ];
    assert!(plan(&unused, &free).is_empty());
    let one_engine = &free[..2];
    assert!(plan(&busy, one_engine).is_empty());
}

/// Guards against a relief replica at another software version although an engine of the same one is as
/// good.
#[test]
fn relief_goes_to_the_version_that_has_the_model() {
    let models = [model("busy", 30.0, 0), model("other", 0.1, 0)];
    for (version, expected) in [("v1", "e1"), ("v1.1", "e2")] {
        let engines = [
            engine("busy", version, &["busy"]),
            engine("e1", "v1", &["other"]),
            engine("e2", "v1.1", &["other"]),
        ];
        let changes = plan(&models, &engines);
        assert_eq!(changes[0].cause, ChangeCause::Relief);
        assert_eq!(changes[0].endpoint, EndpointId::new(expected));
    }
}

/// Guards against an eviction that leaves a model one replica at each software version although another
/// one leaves it two.
#[test]
fn a_single_replica_of_a_version_is_evicted_first() {
    let models = [
        model("busy", 6.0, 0),
        model("cold", 0.5, 3),
        model("used", 6.0, 0),
    ];
    for (lonely, pair) in [("v1", "v1.1"), ("v1.1", "v1")] {
        let engines = [
            engine("e1", pair, &["busy", "used"]),
            engine("e2", lonely, &["busy", "used"]),
            engine("e3", pair, &["busy", "used"]),
        ];
        let changes = plan(&models, &engines);
        assert_eq!(changes[0].load, ModelName::new("cold"));
        assert_eq!(changes[0].endpoint, EndpointId::new("e2"));
    }
}
