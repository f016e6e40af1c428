//! Learned likelihood that a model is requested at a given time of the demand cycle.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{ModelName, plain_data};

use super::super::DemandSample;

/// Number of slots per demand cycle. A slot lasts five minutes if the cycle is a day.
const SLOTS: usize = 288;

/// Smallest likelihood at which demand is expected. It is low, because a false negative costs a
/// cold start and a false positive only some idle minutes.
pub(super) const EXPECTED_LIKELIHOOD: f32 = 0.1;

/// Smallest weight of the newest cycle. A change of the demand pattern shows within about four
/// cycles.
const MIN_SMOOTHING_FACTOR: f32 = 0.25;

/// Likelihood that at least one slot of a model reaches if its demand follows the cycle. A single
/// request stays below it after two cycles.
const PERIODIC_LIKELIHOOD: f32 = 0.4;

/// Completed cycles before demand can count as unpredicted. Until then, demand is new at every
/// time of the cycle.
const WARM_UP_CYCLES: u32 = 2;

/// Decay factor of unpredicted starts per cycle.
const UNPREDICTED_DECAY: f32 = 0.9;

/// Decayed unpredicted starts below which demand counts as predicted again.
const MIN_UNPREDICTED_STARTS: f32 = 0.1;

/// Likelihood below which a model is dropped, so that removed models do not accumulate.
const NEGLIGIBLE_LIKELIHOOD: f32 = 0.01;

/// Prefix of saved profiles. Its last byte is the format version.
const FORMAT_PREFIX: &[u8] = b"demand_profile\x02";

plain_data! {
    data
    /// Likelihood of demand by model and slot, and unpredicted starts by model.
    pub(super) struct DemandProfile {
        day_ms: u64,
        models: BTreeMap<ModelName, ModelProfile>,
        current_slot: Option<SlotRequests>,
        previous_slot: Option<SlotRequests>,
        completed_cycles: u32,
    }
}

plain_data! {
    data
    struct ModelProfile {
        /// Likelihood of demand in each slot.
        likelihood: Vec<f32>,
        /// Number of times that each slot was observed.
        observations: Vec<u8>,
        /// Decayed number of times that demand started unpredicted.
        unpredicted_starts: f32,
    }
}

plain_data! {
    data
    /// Models that were requested in one slot.
    struct SlotRequests {
        slot: usize,
        requested: BTreeSet<ModelName>,
    }
}

impl DemandProfile {
    pub(super) fn new(day_ms: u64) -> Self {
        Self {
            day_ms: day_ms.max(SLOTS as u64),
            models: BTreeMap::new(),
            current_slot: None,
            previous_slot: None,
            completed_cycles: 0,
        }
    }

    pub(super) fn has_cycle(&self, day_ms: u64) -> bool {
        self.day_ms == day_ms.max(SLOTS as u64)
    }

    pub(super) fn observe(&mut self, sample: &DemandSample) {
        let slot = self.slot_of(sample.cycle_ms);
        if self
            .current_slot
            .as_ref()
            .is_none_or(|current| current.slot != slot)
        {
            self.close_slot();
            self.current_slot = Some(SlotRequests {
                slot,
                requested: BTreeSet::new(),
            });
        }
        if let Some(current) = &mut self.current_slot {
            let arrived = sample.arrived.iter().filter(|(_, count)| *count > 0);
            current
                .requested
                .extend(arrived.map(|(model, _)| model.clone()));
        }
    }

    /// Returns the time until the next slot within `horizon_ms` whose likelihood of demand is at
    /// least `threshold`, or zero if the current slot is one.
    pub(super) fn next_demand_ms(
        &self,
        model: &ModelName,
        cycle_ms: u64,
        threshold: f32,
        horizon_ms: u64,
    ) -> Option<u64> {
        let profile = self.models.get(model)?;
        let slot_ms = self.day_ms / SLOTS as u64;
        let current_index = self.slot_of(cycle_ms);
        let elapsed_in_slot_ms =
            (cycle_ms % self.day_ms).saturating_sub(current_index as u64 * slot_ms);
        (0..SLOTS)
            .map(|ahead| {
                (
                    ahead,
                    (ahead as u64 * slot_ms).saturating_sub(elapsed_in_slot_ms),
                )
            })
            .take_while(|(_, until_ms)| *until_ms <= horizon_ms)
            .find(|(ahead, _)| profile.likelihood[(current_index + ahead) % SLOTS] >= threshold)
            .map(|(_, until_ms)| until_ms)
    }

    /// Returns the decayed number of times that demand for a model started unpredicted. Returns
    /// `None` for models whose demand follows the cycle, and for all models during warm-up.
    pub(super) fn unpredicted_starts(&self, model: &ModelName) -> Option<f32> {
        if self.completed_cycles < WARM_UP_CYCLES {
            return None;
        }
        let Some(profile) = self.models.get(model) else {
            return Some(0.0);
        };
        let is_periodic = profile.likelihood.iter().any(|l| *l >= PERIODIC_LIKELIHOOD);
        let is_unpredicted = !is_periodic || profile.unpredicted_starts >= MIN_UNPREDICTED_STARTS;
        is_unpredicted.then_some(profile.unpredicted_starts)
    }

    pub(super) fn save(&self) -> Vec<u8> {
        postcard::to_extend(self, FORMAT_PREFIX.to_vec()).unwrap_or_default()
    }

    pub(super) fn read(saved: &[u8]) -> Option<Self> {
        let profile: Self = postcard::from_bytes(saved.strip_prefix(FORMAT_PREFIX)?).ok()?;
        profile.is_consistent().then_some(profile)
    }

    fn is_consistent(&self) -> bool {
        self.day_ms >= SLOTS as u64
            && [&self.current_slot, &self.previous_slot]
                .into_iter()
                .flatten()
                .all(|recorded| recorded.slot < SLOTS)
            && self
                .models
                .values()
                .all(|p| p.likelihood.len() == SLOTS && p.observations.len() == SLOTS)
    }

    fn slot_of(&self, cycle_ms: u64) -> usize {
        let slot_ms = self.day_ms / SLOTS as u64;
        (((cycle_ms % self.day_ms) / slot_ms) as usize).min(SLOTS - 1)
    }

    /// Updates all known models with the slot that has ended. Slots without samples, such as those
    /// during a leader change, are not updated.
    fn close_slot(&mut self) {
        let Some(ended) = self.current_slot.take() else {
            return;
        };
        let previous = self.previous_slot.take();
        if previous.as_ref().is_some_and(|last| last.slot > ended.slot) {
            self.close_cycle();
        }
        for model in &ended.requested {
            if !self.models.contains_key(model) {
                self.models.insert(model.clone(), ModelProfile::new());
            }
        }
        for (model, profile) in &mut self.models {
            let is_requested = ended.requested.contains(model);
            let is_start = is_requested
                && previous
                    .as_ref()
                    .is_none_or(|last| !last.requested.contains(model));
            let is_warmed_up = self.completed_cycles >= WARM_UP_CYCLES;
            if is_start && is_warmed_up && !profile.predicts_demand(ended.slot) {
                profile.unpredicted_starts += 1.0;
            }
            profile.update(ended.slot, is_requested);
        }
        self.previous_slot = Some(ended);
    }

    fn close_cycle(&mut self) {
        self.completed_cycles = self.completed_cycles.saturating_add(1);
        for profile in self.models.values_mut() {
            profile.unpredicted_starts *= UNPREDICTED_DECAY;
        }
        self.models.retain(|_, profile| !profile.is_negligible());
    }
}

impl ModelProfile {
    fn new() -> Self {
        Self {
            likelihood: vec![0.0; SLOTS],
            observations: vec![0; SLOTS],
            unpredicted_starts: 0.0,
        }
    }

    fn is_negligible(&self) -> bool {
        self.unpredicted_starts < NEGLIGIBLE_LIKELIHOOD
            && self.likelihood.iter().all(|l| *l < NEGLIGIBLE_LIKELIHOOD)
    }

    fn predicts_demand(&self, slot: usize) -> bool {
        [SLOTS - 1, 0, 1]
            .into_iter()
            .any(|offset| self.likelihood[(slot + offset) % SLOTS] >= EXPECTED_LIKELIHOOD)
    }

    /// Moves the likelihood towards the newest observation. The first one has half the weight, so
    /// that a single request does not count as periodic demand.
    fn update(&mut self, slot: usize, is_requested: bool) {
        let weight = (1.0 / (f32::from(self.observations[slot]) + 2.0)).max(MIN_SMOOTHING_FACTOR);
        let observed = if is_requested { 1.0 } else { 0.0 };
        self.likelihood[slot] += weight * (observed - self.likelihood[slot]);
        self.observations[slot] = self.observations[slot].saturating_add(1);
    }
}
