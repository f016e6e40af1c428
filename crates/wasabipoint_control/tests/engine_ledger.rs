//! The ledger of an engine's memory: late reports, lost answers and adapters.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipoint_control::{EngineLedger, EngineOperation, EngineState};
use wasabipoint_kernel::{EngineModel, EngineSpec, Incarnation, ModelName};

const FIRST: Incarnation = Incarnation(1);

fn name(text: &str) -> ModelName {
    ModelName::new(text)
}

fn spec() -> EngineSpec {
    let models = ["a", "b", "c"].map(|model| {
        let model = EngineModel {
            name: name(model),
            weights_mb: 70,
            store_load_ms: 6_000,
            disk_load_ms: 1_300,
            adapter_count: 4,
            adapter_mb: 1,
        };
        (model.name.clone(), model)
    });
    EngineSpec {
        slots: 64,
        cache_tokens: 100_000,
        weights_mb: 150,
        max_adapters: 2,
        store_loads_per_1000_s: 1_800,
        models: BTreeMap::from(models),
    }
}

fn state(sequence: u64, is_busy: bool, models: &[&str]) -> EngineState {
    EngineState {
        models: models.iter().map(|model| name(model)).collect(),
        local_models: Vec::new(),
        is_busy,
        sequence,
    }
}

/// Guards against a second load beside one that the engine accepted but does not list yet, which
/// ordered more than its memory holds.
#[tokio::test(start_paused = true)]
async fn an_accepted_load_counts_before_a_report_shows_it() {
    let mut ledger = EngineLedger::default();
    ledger.take_report(FIRST, &state(4, false, &["a"]));
    assert!(ledger.fits(&spec(), &name("b")));
    ledger.accept(EngineOperation::Load, &name("b"));
    assert_eq!(ledger.sequence(FIRST), Some(5));
    assert!(!ledger.fits(&spec(), &name("c")));
    // The report is older than the command.
    ledger.take_report(FIRST, &state(4, false, &["a"]));
    assert!(!ledger.fits(&spec(), &name("c")));
    // The load is in progress and not among the models.
    ledger.take_report(FIRST, &state(5, true, &["a"]));
    assert!(!ledger.fits(&spec(), &name("c")));
}

/// Guards against memory that counts as free while an unload waits for running requests.
#[tokio::test(start_paused = true)]
async fn an_unloaded_model_counts_until_a_report_shows_it_gone() {
    let mut ledger = EngineLedger::default();
    ledger.take_report(FIRST, &state(2, false, &["a", "b"]));
    ledger.accept(EngineOperation::Unload, &name("b"));
    assert!(!ledger.fits(&spec(), &name("c")));
    ledger.take_report(FIRST, &state(3, false, &["a"]));
    assert!(ledger.fits(&spec(), &name("c")));
}

/// Guards against more adapters than places, and against places taken by a model's weights.
#[tokio::test(start_paused = true)]
async fn adapters_keep_to_their_places() {
    let mut ledger = EngineLedger::default();
    ledger.take_report(FIRST, &state(0, false, &["a", "a/a1"]));
    assert!(ledger.fits(&spec(), &name("a/a2")));
    ledger.accept(EngineOperation::Load, &name("a/a2"));
    assert!(!ledger.fits(&spec(), &name("a/a3")));
    ledger.accept(EngineOperation::Unload, &name("a/a1"));
    assert!(ledger.fits(&spec(), &name("a/a3")));
}

/// Guards against a ledger that stays ahead of its engine, which kept a change waiting for 30 s.
#[tokio::test(start_paused = true)]
async fn a_report_beyond_its_lag_corrects_the_ledger() {
    let mut ledger = EngineLedger::default();
    ledger.take_report(FIRST, &state(7, false, &["a"]));
    ledger.accept(EngineOperation::Unload, &name("a/a1"));
    ledger.take_report(FIRST, &state(7, false, &["a"]));
    assert_eq!(ledger.sequence(FIRST), Some(8));
    tokio::time::advance(Duration::from_secs(1)).await;
    ledger.take_report(FIRST, &state(7, false, &["a"]));
    assert_eq!(ledger.sequence(FIRST), Some(7));
}

/// Guards against commands to a restarted engine by what its predecessor held.
#[tokio::test(start_paused = true)]
async fn a_restarted_engine_is_not_known() {
    let mut ledger = EngineLedger::default();
    ledger.take_report(FIRST, &state(7, false, &["a", "b"]));
    assert_eq!(ledger.sequence(Incarnation(2)), None);
    ledger.take_report(Incarnation(2), &state(0, false, &[]));
    assert_eq!(ledger.sequence(Incarnation(2)), Some(0));
    assert!(ledger.fits(&spec(), &name("c")));
}
