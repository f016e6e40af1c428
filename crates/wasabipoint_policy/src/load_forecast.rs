//! Forecasts when a model that no engine holds will be ready, to decide whether requests wait.
//!
//! A forecast that ignored the queue of an engine would let requests wait that are refused in the
//! end, and tell refused callers to retry too early.

use std::collections::BTreeSet;
use std::time::Duration;

use wasabipoint_kernel::ModelName;

use crate::engine_plan::Deferral;

/// Availability of an engine for its next change.
#[derive(Debug, Clone, Copy)]
pub struct EngineForecast<'f> {
    /// Time until the change in progress is complete.
    pub free_in: Duration,
    /// Models whose weights are on its disk.
    pub on_disk: &'f BTreeSet<ModelName>,
}

/// Load times of one model on an idle engine, including the commands.
#[derive(Debug, Clone, Copy)]
pub struct LoadTimes {
    /// Load time from the engine's disk.
    pub from_disk: Duration,
    /// Load time from the weight store.
    pub from_store: Duration,
}

/// A model whose load has not started.
#[derive(Debug, Clone, Copy)]
struct QueuedLoad<'f> {
    model: &'f ModelName,
    reason: Deferral,
    /// Expected share of the load for each engine with the weights on disk.
    share: f64,
}

/// Availability of engines and the weight store, and the queue of models to load.
#[derive(Debug, Clone)]
pub struct LoadForecast<'f> {
    engines: Vec<EngineForecast<'f>>,
    queued: Vec<QueuedLoad<'f>>,
    /// Remaining times of the loads from the store, in increasing order.
    store_loads: Vec<Duration>,
    full_speed_loads: usize,
}

impl<'f> LoadForecast<'f> {
    /// Creates a forecast for the reachable engines, without loads in progress and with a store
    /// that serves one load at full speed.
    pub fn new(engines: Vec<EngineForecast<'f>>) -> Self {
        Self {
            engines,
            queued: Vec::new(),
            store_loads: Vec::new(),
            full_speed_loads: 1,
        }
    }

    /// Sets the remaining time of each load from the store, and how many concurrent loads the store
    /// serves at full speed.
    #[must_use]
    pub fn with_store(mut self, mut loads: Vec<Duration>, at_full_speed: u32) -> Self {
        loads.sort();
        self.store_loads = loads;
        self.full_speed_loads = at_full_speed.max(1) as usize;
        self
    }

    /// Sets the models whose loads have not started, by decreasing priority.
    #[must_use]
    pub fn with_deferred(mut self, deferred: &'f [(ModelName, Deferral)]) -> Self {
        let queued = deferred.iter().map(|(model, reason)| QueuedLoad {
            model,
            reason: *reason,
            share: 1.0 / self.engines_with_weights(model).count().max(1) as f64,
        });
        self.queued = queued.collect();
        self
    }

    /// Returns the time until a model whose load has not started can be ready.
    pub fn ready_in(&self, model: &ModelName, times: LoadTimes) -> Duration {
        match self.disk_available_in(model, times.from_disk) {
            Some(available) => available + times.from_disk,
            None => self.store_available_in(model, times.from_store) + times.from_store,
        }
    }

    /// Returns the time until the first engine with the weights on disk has completed its current
    /// change and its share of the loads queued before this one, or `None` if no engine has them.
    /// Each queued load is taken to last `disk_load_time`.
    fn disk_available_in(&self, model: &ModelName, disk_load_time: Duration) -> Option<Duration> {
        let available = self.engines_with_weights(model).map(|engine| {
            let before = self.queued_before(model);
            let on_disk = before.filter(|queued| engine.on_disk.contains(queued.model));
            let share: f64 = on_disk.map(|queued| queued.share).sum();
            engine.free_in + disk_load_time.mul_f64(share)
        });
        available.min()
    }

    /// Returns the time until the store can start the load, after those in progress and those
    /// queued before it. Each queued load is taken to last `store_load_time`.
    fn store_available_in(&self, model: &ModelName, store_load_time: Duration) -> Duration {
        let waiting = self.queued_before(model);
        let waiting = waiting.filter(|queued| queued.reason == Deferral::StoreBusy);
        let rounds = (waiting.count() / self.full_speed_loads) as u32;
        // Number of running loads that have to end before the store can start another one.
        let must_end = (self.store_loads.len() + 1).saturating_sub(self.full_speed_loads);
        let first_start_in = match must_end {
            0 => Duration::ZERO,
            must_end => self.store_loads[must_end - 1],
        };
        first_start_in + store_load_time * rounds
    }

    fn engines_with_weights(&self, model: &ModelName) -> impl Iterator<Item = &EngineForecast<'f>> {
        let engines = self.engines.iter();
        engines.filter(|engine| engine.on_disk.contains(model))
    }

    fn queued_before(&self, model: &ModelName) -> impl Iterator<Item = &QueuedLoad<'f>> {
        let queued = self.queued.iter();
        queued.take_while(move |queued| queued.model != model)
    }
}
