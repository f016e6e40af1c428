//! A placement policy that knows all arrivals in advance, as a bound for the other policies.

use std::collections::HashMap;

use wasabipoint_kernel::ModelName;
use wasabipoint_policy::{
    DemandSample, LoadOption, ModelView, PlacementDecision, PlacementPlan, PlacementPolicy,
    PlacementView, idle_ms, is_idle,
};

use super::workload::{DAY_MS, Workload};

/// Lead time of a load on top of its duration. It covers the release of memory and the interval
/// between decisions.
const LOAD_MARGIN_MS: u64 = 20_000;

/// A replica is unloaded only if its next request is further away than this. For a shorter gap, the
/// idle time that unloading saves is not worth the later load.
const MIN_UNLOAD_GAP_MS: u64 = 300_000;

/// Loads each model just before its next request. Evicts the models whose next request is furthest
/// in the future.
pub(crate) struct Oracle {
    arrivals: HashMap<ModelName, Vec<u64>>,
    days_elapsed: u64,
    last_cycle_ms: u64,
}

impl Oracle {
    pub(crate) fn new(workload: &Workload) -> Self {
        let mut arrivals: HashMap<ModelName, Vec<u64>> = HashMap::new();
        for (arrival_ms, model) in &workload.arrivals {
            let name = workload.models[*model].name.clone();
            arrivals.entry(name).or_default().push(*arrival_ms);
        }
        Self {
            arrivals,
            days_elapsed: 0,
            last_cycle_ms: 0,
        }
    }

    fn time_to_next_request_ms(&self, model: &ModelView, now_ms: u64) -> u64 {
        let arrivals = self
            .arrivals
            .get(&model.name)
            .map_or(&[][..], Vec::as_slice);
        let next = arrivals.partition_point(|arrival_ms| *arrival_ms < now_ms);
        arrivals
            .get(next)
            .map_or(u64::MAX / 2, |arrival_ms| arrival_ms - now_ms)
    }
}

impl PlacementPolicy for Oracle {
    fn observe(&mut self, _sample: &DemandSample) {}

    fn decide(&mut self, view: &PlacementView) -> Vec<PlacementDecision> {
        // `cycle_ms` is the time of day: it decreases when a new day begins.
        self.days_elapsed += u64::from(view.cycle_ms < self.last_cycle_ms);
        self.last_cycle_ms = view.cycle_ms;
        let now_ms = self.days_elapsed * DAY_MS + view.cycle_ms;
        let mut plan = PlacementPlan::new(view);
        let mut candidates: Vec<(u64, &ModelView)> = view
            .models
            .iter()
            .filter(|model| plan.serving(model) == 0)
            .map(|model| match model.queued {
                0 => (self.time_to_next_request_ms(model, now_ms), model),
                _ => (0, model),
            })
            .collect();
        candidates.sort_by_key(|(time_to_request_ms, _)| *time_to_request_ms);
        let parallel_loads = u64::from(view.store.limits.loads_at_once.max(1));
        let mut store_backlog_ms = 0;
        for (time_to_request_ms, model) in candidates {
            store_backlog_ms += model.remote_load_ms / parallel_loads;
            if time_to_request_ms > model.remote_load_ms + store_backlog_ms + LOAD_MARGIN_MS {
                continue;
            }
            let has_store_slot = plan.has_store_slot();
            let rank = |option: &LoadOption<'_>| {
                (has_store_slot || !option.is_remote).then_some((option.load_ms, option.free_mib))
            };
            if !plan.load(model, "needed next", rank) && !plan.has_free_memory(model) {
                plan.reclaim_memory(model, "needed last", |_, loaded_model| {
                    let loaded_model_gap_ms = self.time_to_next_request_ms(loaded_model, now_ms);
                    let is_replaceable = model.queued > 0
                        || loaded_model_gap_ms > time_to_request_ms + loaded_model.remote_load_ms;
                    (is_idle(loaded_model) && is_replaceable)
                        .then(|| u64::MAX - loaded_model_gap_ms)
                });
            }
        }
        for (index, grant, model) in plan.loaded() {
            let time_to_request_ms = self.time_to_next_request_ms(model, now_ms);
            if is_idle(model)
                && idle_ms(grant, model) >= 1_000
                && time_to_request_ms > MIN_UNLOAD_GAP_MS
            {
                plan.unload(index, "not needed soon");
            }
        }
        plan.into_decisions()
    }
}
