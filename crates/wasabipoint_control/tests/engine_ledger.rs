//! Tests of the ledger of an engine's memory: stale reports, lost answers and adapter slots.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipoint_control::{EngineLedger, EngineOperation, EngineState};
use wasabipoint_kernel::{EngineModel, EngineSpec, Incarnation, ModelName};

const FIRST_INCARNATION: Incarnation = Incarnation(1);

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

/// Guards against a second load while an accepted one is not yet reported, which would exceed the
/// engine's memory.
#[tokio::test(start_paused = true)]
async fn accepted_load_counts_before_it_is_reported() {
    let mut ledger = EngineLedger::default();
    ledger.apply_report(FIRST_INCARNATION, &state(4, false, &["a"]));
    assert!(ledger.fits(&spec(), &name("b")));
    ledger.record_accepted(EngineOperation::Load, &name("b"));
    assert_eq!(ledger.sequence(FIRST_INCARNATION), Some(5));
    assert!(!ledger.fits(&spec(), &name("c")));
    // A stale report from before the command.
    ledger.apply_report(FIRST_INCARNATION, &state(4, false, &["a"]));
    assert!(!ledger.fits(&spec(), &name("c")));
    // The load is in progress and not yet among the reported models.
    ledger.apply_report(FIRST_INCARNATION, &state(5, true, &["a"]));
    assert!(!ledger.fits(&spec(), &name("c")));
}

/// Guards against counting memory as free while the unload still waits for running requests.
#[tokio::test(start_paused = true)]
async fn unloaded_model_counts_until_reported_gone() {
    let mut ledger = EngineLedger::default();
    ledger.apply_report(FIRST_INCARNATION, &state(2, false, &["a", "b"]));
    ledger.record_accepted(EngineOperation::Unload, &name("b"));
    assert!(!ledger.fits(&spec(), &name("c")));
    ledger.apply_report(FIRST_INCARNATION, &state(3, false, &["a"]));
    assert!(ledger.fits(&spec(), &name("c")));
}

/// Guards against loading more adapters than the engine has slots for.
#[tokio::test(start_paused = true)]
async fn adapters_do_not_exceed_their_slots() {
    let mut ledger = EngineLedger::default();
    ledger.apply_report(FIRST_INCARNATION, &state(0, false, &["a", "a/a1"]));
    assert!(ledger.fits(&spec(), &name("a/a2")));
    ledger.record_accepted(EngineOperation::Load, &name("a/a2"));
    assert!(!ledger.fits(&spec(), &name("a/a3")));
    ledger.record_accepted(EngineOperation::Unload, &name("a/a1"));
    assert!(ledger.fits(&spec(), &name("a/a3")));
}

/// Guards against a ledger whose sequence number stays ahead of the engine's, which delayed a
/// change by 30 s.
#[tokio::test(start_paused = true)]
async fn older_report_corrects_the_ledger_after_the_maximum_lag() {
    let mut ledger = EngineLedger::default();
    ledger.apply_report(FIRST_INCARNATION, &state(7, false, &["a"]));
    ledger.record_accepted(EngineOperation::Unload, &name("a/a1"));
    ledger.apply_report(FIRST_INCARNATION, &state(7, false, &["a"]));
    assert_eq!(ledger.sequence(FIRST_INCARNATION), Some(8));
    tokio::time::advance(Duration::from_secs(1)).await;
    ledger.apply_report(FIRST_INCARNATION, &state(7, false, &["a"]));
    assert_eq!(ledger.sequence(FIRST_INCARNATION), Some(7));
}

/// Guards against commands to a restarted engine that are based on its state before the restart.
#[tokio::test(start_paused = true)]
async fn restart_resets_the_ledger() {
    let mut ledger = EngineLedger::default();
    ledger.apply_report(FIRST_INCARNATION, &state(7, false, &["a", "b"]));
    assert_eq!(ledger.sequence(Incarnation(2)), None);
    ledger.apply_report(Incarnation(2), &state(0, false, &[]));
    assert_eq!(ledger.sequence(Incarnation(2)), Some(0));
    assert!(ledger.fits(&spec(), &name("c")));
}
