//! When a model that no engine holds can be ready, for requests that decide whether to wait.
//!
//! A forecast that ignores the queue in front of an engine keeps requests waiting that are refused
//! in the end, and sends callers back too early.

use std::collections::BTreeSet;
use std::time::Duration;

use wasabipoint_kernel::ModelName;

use crate::engine_plan::Deferral;

/// An engine and when it can take its next change.
#[derive(Debug, Clone, Copy)]
pub struct EngineForecast<'f> {
    /// Time until the change in progress is complete.
    pub free_in: Duration,
    /// Models whose weights are on its disk.
    pub on_disk: &'f BTreeSet<ModelName>,
}

/// Times that loads of one model take on a free engine, with their commands.
#[derive(Debug, Clone, Copy)]
pub struct LoadTimes {
    /// From an engine's disk.
    pub from_disk: Duration,
    /// From the weight store.
    pub from_store: Duration,
}

/// A model that waits for a load to begin.
#[derive(Debug, Clone, Copy)]
struct Queued<'f> {
    model: &'f ModelName,
    reason: Deferral,
    /// Part of its load that each engine with its weights on disk has to expect.
    share: f64,
}

/// Engines, the store and the models that wait for them.
#[derive(Debug, Clone)]
pub struct LoadForecast<'f> {
    engines: Vec<EngineForecast<'f>>,
    queued: Vec<Queued<'f>>,
    store_loads: Vec<Duration>,
    store_loads_at_once: usize,
}

impl<'f> LoadForecast<'f> {
    /// Creates a forecast over the engines that can be reached, with no load in progress and a store
    /// that serves one at its full speed.
    pub fn new(engines: Vec<EngineForecast<'f>>) -> Self {
        Self {
            engines,
            queued: Vec::new(),
            store_loads: Vec::new(),
            store_loads_at_once: 1,
        }
    }

    /// Sets the time left of each load from the store, and how many at once have their full speed.
    #[must_use]
    pub fn with_store(mut self, mut loads: Vec<Duration>, at_once: u32) -> Self {
        loads.sort();
        self.store_loads = loads;
        self.store_loads_at_once = at_once.max(1) as usize;
        self
    }

    /// Sets the models that wait for a load to begin, most needed first.
    #[must_use]
    pub fn with_deferred(mut self, deferred: &'f [(ModelName, Deferral)]) -> Self {
        let queued = deferred.iter().map(|(model, reason)| Queued {
            model,
            reason: *reason,
            share: 1.0 / self.near(model).count().max(1) as f64,
        });
        self.queued = queued.collect();
        self
    }

    /// Returns when a model can be ready whose load has not begun.
    pub fn ready_in(&self, model: &ModelName, times: LoadTimes) -> Duration {
        match self.disk_free_in(model, times.from_disk) {
            Some(free) => free + times.from_disk,
            None => self.store_free_in(model, times.from_store) + times.from_store,
        }
    }

    /// Returns when the first engine with the weights on its disk has carried out its change and
    /// those that wait for it already.
    fn disk_free_in(&self, model: &ModelName, swap: Duration) -> Option<Duration> {
        let free = self.near(model).map(|engine| {
            let ahead = self.ahead_of(model);
            let on_disk = ahead.filter(|queued| engine.on_disk.contains(queued.model));
            let share: f64 = on_disk.map(|queued| queued.share).sum();
            engine.free_in + swap.mul_f64(share)
        });
        free.min()
    }

    /// Returns when the store can begin the load, after those in progress and those that wait.
    fn store_free_in(&self, model: &ModelName, load: Duration) -> Duration {
        let waiting = self.ahead_of(model);
        let waiting = waiting.filter(|queued| queued.reason == Deferral::StoreBusy);
        let rounds = (waiting.count() / self.store_loads_at_once) as u32;
        let excess = (self.store_loads.len() + 1).saturating_sub(self.store_loads_at_once);
        let first = match excess {
            0 => Duration::ZERO,
            excess => self.store_loads[excess - 1],
        };
        first + load * rounds
    }

    fn near(&self, model: &ModelName) -> impl Iterator<Item = &EngineForecast<'f>> {
        let engines = self.engines.iter();
        engines.filter(|engine| engine.on_disk.contains(model))
    }

    fn ahead_of(&self, model: &ModelName) -> impl Iterator<Item = &Queued<'f>> {
        let queued = self.queued.iter();
        queued.take_while(move |queued| queued.model != model)
    }
}
