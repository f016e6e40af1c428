//! A placement policy that knows all arrivals in advance.

use std::collections::HashMap;

use wasabipoint_kernel::ModelName;
use wasabipoint_policy::{
    DemandSample, LoadOption, ModelView, PlacementDecision, PlacementPlan, PlacementPolicy,
    PlacementView, idle_ms, is_idle,
};

use super::workload::{DAY_MS, Workload};

/// Time for the release of memory and for rounds that are a second apart.
const MARGIN_MS: u64 = 20_000;

/// Idle time below which unloading is not worth a later load.
const BREAK_EVEN_MS: u64 = 300_000;

/// Loads models just before their next request and unloads those whose next request is latest.
pub(crate) struct Oracle {
    arrivals: HashMap<ModelName, Vec<u64>>,
    days_passed: u64,
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
            days_passed: 0,
            last_cycle_ms: 0,
        }
    }

    fn until_next_ms(&self, model: &ModelView, now_ms: u64) -> u64 {
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
        self.days_passed += u64::from(view.cycle_ms < self.last_cycle_ms);
        self.last_cycle_ms = view.cycle_ms;
        let now_ms = self.days_passed * DAY_MS + view.cycle_ms;
        let mut plan = PlacementPlan::new(view);
        let mut wanted: Vec<(u64, &ModelView)> = view
            .models
            .iter()
            .filter(|model| plan.serving(model) == 0)
            .map(|model| match model.queued {
                0 => (self.until_next_ms(model, now_ms), model),
                _ => (0, model),
            })
            .collect();
        wanted.sort_by_key(|(until_ms, _)| *until_ms);
        let at_once = u64::from(view.store.limits.loads_at_once.max(1));
        let mut store_ms = 0;
        for (until_ms, model) in wanted {
            store_ms += model.remote_load_ms / at_once;
            if until_ms > model.remote_load_ms + store_ms + MARGIN_MS {
                continue;
            }
            let has_store_slot = plan.has_store_slot();
            let rank = |option: &LoadOption<'_>| {
                (has_store_slot || !option.is_remote).then_some((option.load_ms, option.free_mib))
            };
            if !plan.load(model, "needed next", rank) && !plan.has_free_memory(model) {
                plan.reclaim_memory(model, "needed last", |_, held| {
                    let held_until_ms = self.until_next_ms(held, now_ms);
                    let is_later =
                        model.queued > 0 || held_until_ms > until_ms + held.remote_load_ms;
                    (is_idle(held) && is_later).then(|| u64::MAX - held_until_ms)
                });
            }
        }
        for (index, grant, model) in plan.loaded() {
            let until_ms = self.until_next_ms(model, now_ms);
            if is_idle(model) && idle_ms(grant, model) >= 1_000 && until_ms > BREAK_EVEN_MS {
                plan.unload(index, "not needed soon");
            }
        }
        plan.into_decisions()
    }
}
