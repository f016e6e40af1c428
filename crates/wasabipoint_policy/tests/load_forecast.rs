//! Load forecasts with busy engines, queued models and a store of limited concurrency.

use std::collections::BTreeSet;
use std::time::Duration;

use wasabipoint_kernel::ModelName;
use wasabipoint_policy::{Deferral, EngineForecast, LoadForecast, LoadTimes};

const MILLI: Duration = Duration::from_millis(1);

const TIMES: LoadTimes = LoadTimes {
    from_disk: Duration::from_secs(1),
    from_store: Duration::from_secs(6),
};

fn names(models: &[&str]) -> BTreeSet<ModelName> {
    models.iter().map(|model| ModelName::new(*model)).collect()
}

fn engine(free_in_ms: u32, on_disk: &BTreeSet<ModelName>) -> EngineForecast<'_> {
    EngineForecast {
        free_in: MILLI * free_in_ms,
        on_disk,
    }
}

fn deferred(models: &[&str], reason: Deferral) -> Vec<(ModelName, Deferral)> {
    let models = models.iter();
    models
        .map(|model| (ModelName::new(*model), reason))
        .collect()
}

fn ready_ms(forecast: &LoadForecast<'_>, model: &str) -> u128 {
    forecast.ready_in(&ModelName::new(model), TIMES).as_millis()
}

/// Guards against a forecast that ignores a busy engine and keeps a request waiting for seconds.
#[test]
fn a_disk_load_starts_on_the_first_available_engine() {
    let (with_model, without_model) = (names(&["m"]), names(&[]));
    let engines = vec![
        engine(5_000, &with_model),
        engine(700, &with_model),
        engine(0, &without_model),
    ];
    let forecast = LoadForecast::new(engines);
    assert_eq!(ready_ms(&forecast, "m"), 1_700);
    assert_eq!(ready_ms(&forecast, "elsewhere"), 6_000);
}

/// Guards against a forecast that gives the time of the first load for all models on one engine's
/// disk, so that requests wait and are refused.
#[test]
fn models_on_the_same_engine_are_queued() {
    let waiting = deferred(&["a", "b"], Deferral::NoRoom);
    let (all, two) = (names(&["a", "b", "c"]), names(&["a", "b"]));
    let alone = LoadForecast::new(vec![engine(0, &all)]).with_deferred(&waiting);
    assert_eq!(ready_ms(&alone, "a"), 1_000);
    assert_eq!(ready_ms(&alone, "b"), 2_000);
    assert_eq!(ready_ms(&alone, "c"), 3_000);
    // A second engine is expected to load half of the models that both have on disk.
    let engines = vec![engine(0, &all), engine(10_000, &two)];
    let shared = LoadForecast::new(engines).with_deferred(&waiting);
    assert_eq!(ready_ms(&shared, "c"), 2_000);
}

/// Guards against a forecast that is correct only for the first of several loads from the store.
#[test]
fn models_from_the_store_are_queued() {
    let idle = LoadForecast::new(Vec::new()).with_store(Vec::new(), 2);
    assert_eq!(ready_ms(&idle, "m"), 6_000);
    let running = vec![MILLI * 4_000, MILLI * 1_000];
    let busy = LoadForecast::new(Vec::new()).with_store(running, 2);
    assert_eq!(ready_ms(&busy, "m"), 7_000);
    let waiting = deferred(&["a", "b", "m"], Deferral::StoreBusy);
    let queued = busy.with_deferred(&waiting);
    assert_eq!(ready_ms(&queued, "a"), 7_000);
    assert_eq!(ready_ms(&queued, "m"), 13_000);
}
