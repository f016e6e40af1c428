//! Placement of models on commanded engines: cold models, bursts and rare models.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeSet;

use wasabipoint_kernel::{EndpointId, ModelName};
use wasabipoint_policy::{
    ChangeCause, Deferral, EngineView, ModelLoad, StoreBudget, plan_engine_changes,
};

const SLOTS: u32 = 64;

const STORE: StoreBudget = StoreBudget {
    loads_left: 9,
    loads_running: 0,
    full_speed_loads: 4,
};

fn model(name: &str, load: f64, waiting: u32) -> ModelLoad {
    ModelLoad {
        name: ModelName::new(name),
        weights_mb: 70,
        load,
        waiting,
        running: 0,
        is_loading: false,
    }
}

fn engine(name: &str, models: &[&str]) -> EngineView {
    EngineView {
        endpoint: EndpointId::new(name),
        capacity_mb: 150,
        models: models.iter().map(|model| ModelName::new(*model)).collect(),
        on_disk: models.iter().map(|model| ModelName::new(*model)).collect(),
        is_changeable: true,
        recently_loaded: BTreeSet::new(),
        serves_adapters: false,
    }
}

/// Pattern: requests for a model that no engine holds. Guards against a cold model that waits
/// because every place is taken by replicas of a busy one.
#[test]
fn a_cold_model_takes_the_place_of_a_surplus_replica() {
    let models = [
        model("busy", 8.0, 0),
        model("rare", 0.0, 0),
        model("cold", 0.1, 3),
    ];
    let engines = [
        engine("e1", &["busy", "rare"]),
        engine("e2", &["busy", "other"]),
    ];
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].load, ModelName::new("cold"));
    assert!(changes[0].is_from_store);
}

/// Pattern: the busiest model has far more requests than one engine serves. Guards against several
/// replicas begun at once, which occupied most engines for the time of a store load.
#[test]
fn a_burst_on_one_model_adds_one_replica_at_a_time() {
    let models = [model("busy", 200.0, 0), model("idle", 0.0, 0)];
    let mut engines = vec![engine("e0", &["busy"])];
    for index in 1..8 {
        engines.push(engine(&format!("e{index}"), &["idle"]));
    }
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    assert_eq!(changes.len(), 1);
    let mut loading = models.to_vec();
    loading[0].is_loading = true;
    assert!(
        plan_engine_changes(&loading, &engines, SLOTS, STORE)
            .changes
            .is_empty()
    );
}

/// Pattern: single requests for rare models. Guards against models that displace each other back
/// and forth, each for one request.
#[test]
fn a_single_request_does_not_displace_a_model_in_use() {
    let models = [
        model("used", 0.3, 0),
        model("used2", 0.3, 0),
        model("rare", 0.04, 1),
    ];
    let engines = [engine("e1", &["used", "used2"])];
    assert!(
        plan_engine_changes(&models, &engines, SLOTS, STORE)
            .changes
            .is_empty()
    );
}

/// Pattern: many rare models, each asked for now and then, before few places. Guards against a model
/// that is refused for seconds while an engine has it on its disk and holds another rare model, and
/// against the unload of one that runs requests while an idle one is there.
#[test]
fn a_waiting_request_swaps_rare_models_of_a_disk() {
    let mut models = [
        model("used", 0.3, 0),
        model("used2", 0.3, 0),
        model("rare", 0.04, 1),
    ];
    models[0].running = 1;
    let mut engines = [engine("e1", &["used", "used2"])];
    engines[0].on_disk.insert(ModelName::new("rare"));
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].unload, [ModelName::new("used2")]);
    assert!(!changes[0].is_from_store);
    // A model that runs several requests at any time does not make room for a single one.
    models[0].load = 2.5;
    models[1].load = 2.5;
    assert!(
        plan_engine_changes(&models, &engines, SLOTS, STORE)
            .changes
            .is_empty()
    );
}

/// Pattern: rare models asked for together while their engine carries out another change. Guards
/// against a load from the store that keeps a second engine busy for six seconds, where the first one
/// is free within one.
#[test]
fn a_model_on_a_busy_engines_disk_is_not_loaded_from_the_store() {
    let models = [model("idle", 0.0, 0), model("cold", 1.0, 3)];
    let mut engines = [engine("e1", &["idle"]), engine("e2", &["idle"])];
    engines[0].on_disk.insert(ModelName::new("cold"));
    engines[0].is_changeable = false;
    let plan = plan_engine_changes(&models, &engines, SLOTS, STORE);
    assert!(plan.changes.is_empty());
    let deferred = (ModelName::new("cold"), Deferral::EnginesChanging);
    assert_eq!(plan.deferred, [deferred]);
    engines[0].is_changeable = true;
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].endpoint, EndpointId::new("e1"));
}

/// Pattern: a model that was busy for a while keeps three replicas with few requests each. Guards
/// against rare models that displace each other while places are spent on it.
#[test]
fn a_surplus_replica_makes_room_before_a_rare_model() {
    let models = [
        model("calm", 6.0, 0),
        model("rare", 0.3, 0),
        model("cold", 0.1, 1),
    ];
    let mut engines = [
        engine("e1", &["calm", "rare"]),
        engine("e2", &["calm"]),
        engine("e3", &["calm"]),
    ];
    engines[0].on_disk.insert(ModelName::new("cold"));
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].unload, [ModelName::new("calm")]);
}

/// Pattern: adapters of a busy model beside rare models. Guards against requests for adapters that
/// wait for a change of their engine, where another engine could have changed.
#[test]
fn a_swap_spares_an_engine_that_is_asked_for_adapters() {
    let models = [
        model("idle", 0.0, 0),
        model("rare", 0.2, 0),
        model("cold", 0.1, 1),
    ];
    let mut engines = [engine("e1", &["idle"]), engine("e2", &["rare"])];
    for engine in &mut engines {
        engine.capacity_mb = 100;
        engine.on_disk.insert(ModelName::new("cold"));
    }
    engines[0].serves_adapters = true;
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].endpoint, EndpointId::new("e2"));
}

/// Pattern: demand moves to one model while every place holds a rare model in use. Guards against
/// a queue of a hundred requests at one engine, all late, beside models with one request a second.
#[test]
fn a_crowded_model_displaces_a_rare_one() {
    let models = [
        model("crowded", 45.0, 0),
        model("rare1", 0.5, 0),
        model("rare2", 0.4, 0),
        model("rare3", 0.6, 0),
    ];
    let engines = [
        engine("e1", &["crowded", "rare1"]),
        engine("e2", &["rare2", "rare3"]),
    ];
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].load, ModelName::new("crowded"));
    assert_eq!(changes[0].unload, [ModelName::new("rare2")]);
    assert_eq!(changes[0].cause, ChangeCause::Relief);
    // Pauses at a busy engine do not yet cost what a rare model loses.
    let mut busy = models;
    busy[0].load = 22.0;
    assert!(
        plan_engine_changes(&busy, &engines, SLOTS, STORE)
            .changes
            .is_empty()
    );
}

/// Pattern: engines with few slots. Guards against further replicas for models that their engine
/// serves in time, in place of rare ones.
#[test]
fn few_slots_do_not_make_a_model_crowded() {
    let models = [
        model("busy", 17.0, 0),
        model("rare1", 0.5, 0),
        model("rare2", 0.4, 0),
    ];
    let engines = [
        engine("e1", &["busy", "rare1"]),
        engine("e2", &["rare2", "rare3"]),
    ];
    assert!(
        plan_engine_changes(&models, &engines, 32, STORE)
            .changes
            .is_empty()
    );
    let mut crowded = models;
    crowded[0].load = 30.0;
    assert_eq!(
        plan_engine_changes(&crowded, &engines, 32, STORE)
            .changes
            .len(),
        1
    );
}

/// Pattern: two busy models share an engine, neither of them crowded by itself. Guards against an
/// engine that is late for both while others are nearly idle.
#[test]
fn an_engine_crowded_by_two_models_is_relieved() {
    let models = [
        model("one", 19.0, 0),
        model("two", 18.0, 0),
        model("rare", 0.3, 0),
    ];
    let engines = [
        engine("e1", &["one", "two"]),
        engine("e2", &["rare", "other"]),
    ];
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    let relieved = changes.iter().any(|c| c.cause == ChangeCause::Relief);
    assert!(relieved, "{changes:?}");
    // A rare model beside them gains nothing from a further replica.
    assert!(changes.iter().all(|c| c.load != ModelName::new("rare")));
}

/// Pattern: a busy model on engines with sixteen slots. Guards against an engine whose slots are all
/// taken, so that requests wait there, before a further replica is thought of.
#[test]
fn an_engine_without_free_slots_is_crowded() {
    let models = [
        model("busy", 13.0, 0),
        model("rare1", 0.5, 0),
        model("rare2", 0.4, 0),
        model("rare3", 0.6, 0),
    ];
    let engines = [
        engine("e1", &["busy", "rare1"]),
        engine("e2", &["rare2", "rare3"]),
    ];
    let changes = plan_engine_changes(&models, &engines, 16, STORE).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].load, ModelName::new("busy"));
}

/// Pattern: the same, while requests wait for another rare model. Guards against an engine that
/// goes to the rare model and leaves the crowd waiting for seconds more.
#[test]
fn a_crowded_model_comes_before_a_cold_one() {
    let models = [
        model("crowded", 60.0, 0),
        model("cold", 0.3, 2),
        model("idle", 0.0, 0),
    ];
    let engines = [
        engine("e1", &["crowded", "other"]),
        engine("e2", &["idle", "other"]),
    ];
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    let at_e2 = changes.iter().find(|c| c.endpoint == EndpointId::new("e2"));
    assert_eq!(at_e2.unwrap().load, ModelName::new("crowded"));
}

/// Pattern: single requests for rare models beside a busy one. Guards against cold models that take
/// the replicas of a busy model one after the other until it is crowded.
#[test]
fn a_cold_model_does_not_take_a_replica_that_is_needed() {
    let models = [model("busy", 30.0, 0), model("cold", 0.1, 3)];
    let engines = [engine("e1", &["busy"]), engine("e2", &["busy"])];
    let engines = engines.map(|engine| EngineView {
        capacity_mb: 100,
        ..engine
    });
    assert!(
        plan_engine_changes(&models, &engines, SLOTS, STORE)
            .changes
            .is_empty()
    );
    let mut calm = models;
    calm[0].load = 12.0;
    assert_eq!(
        plan_engine_changes(&calm, &engines, SLOTS, STORE)
            .changes
            .len(),
        1
    );
}

/// Guards against the unload of a model whose load has just ended.
#[test]
fn a_model_loaded_a_moment_ago_is_kept() {
    let models = [
        model("fresh", 0.0, 0),
        model("fresh2", 0.0, 0),
        model("cold", 2.0, 5),
    ];
    let mut engines = [engine("e1", &["fresh", "fresh2"])];
    engines[0].recently_loaded = engines[0].models.iter().cloned().collect();
    assert!(
        plan_engine_changes(&models, &engines, SLOTS, STORE)
            .changes
            .is_empty()
    );
    engines[0].recently_loaded.clear();
    assert_eq!(
        plan_engine_changes(&models, &engines, SLOTS, STORE)
            .changes
            .len(),
        1
    );
}

/// Pattern: demand moves on to models that were idle. Guards against idle models without any
/// replica while others have several.
#[test]
fn an_idle_model_without_a_replica_is_spread_from_a_near_disk() {
    let models = [model("busy", 6.0, 0), model("idle", 0.0, 0)];
    let mut engines = [engine("e1", &["busy", "a"]), engine("e2", &["busy", "b"])];
    engines[1].on_disk.insert(ModelName::new("idle"));
    let changes = plan_engine_changes(&models, &engines, SLOTS, STORE).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].endpoint, EndpointId::new("e2"));
    assert_eq!(changes[0].unload, [ModelName::new("busy")]);
    assert!(!changes[0].is_from_store);
}

/// Guards against loads beyond what the store serves at full speed, and beyond its rate.
#[test]
fn loads_from_the_store_keep_to_its_budget() {
    let names: Vec<String> = (0..8).map(|index| format!("cold{index}")).collect();
    let models: Vec<ModelLoad> = names.iter().map(|name| model(name, 1.0, 1)).collect();
    let engines: Vec<EngineView> = (0..8)
        .map(|index| engine(&format!("e{index}"), &[]))
        .collect();
    let begun = |store| {
        plan_engine_changes(&models, &engines, SLOTS, store)
            .changes
            .len()
    };
    assert_eq!(begun(STORE), 4);
    assert_eq!(
        begun(StoreBudget {
            loads_running: 3,
            ..STORE
        }),
        1
    );
    assert_eq!(
        begun(StoreBudget {
            loads_left: 2,
            ..STORE
        }),
        2
    );
}

/// Guards against a load at an engine whose memory does not hold the model beside what stays.
#[test]
fn a_change_makes_room_for_its_load() {
    let mut models = vec![
        model("a", 0.0, 0),
        model("b", 0.0, 0),
        model("large", 3.0, 4),
    ];
    models[2].weights_mb = 150;
    let changes = plan_engine_changes(&models, &[engine("e1", &["a", "b"])], SLOTS, STORE).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].unload.len(), 2);
}
