//! What `demand_profile` learns: how likely a model is requested at a time of the cycle.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{ModelName, plain_data};

use super::super::DemandSample;

/// Slots of the demand cycle; five minutes each when the cycle is a day.
const SLOTS: usize = 288;

/// Likelihood from which demand is expected. A missed expectation costs a cold start and a wrong
/// one only some idle minutes, so that it is low.
pub(super) const EXPECTED: f32 = 0.1;

/// Smallest weight of the newest cycle. A change of habit shows within about four cycles.
const MIN_WEIGHT: f32 = 0.25;

/// Likelihood that some slot of a model reaches when its demand follows the cycle. A single
/// request stays below it after two cycles.
const HABIT: f32 = 0.4;

/// Cycles after which demand at a new time counts as unpredicted. Before, all times are new.
const LEARNING_CYCLES: u32 = 2;

/// What remains of the unpredicted demand of a cycle after each later one.
const UNPREDICTED_DECAY: f32 = 0.9;

/// Unpredicted starts, after decay, below which demand counts as predicted again.
const MIN_UNPREDICTED: f32 = 0.1;

/// Likelihood below which a model is dropped, so that removed models do not add up.
const FORGOTTEN: f32 = 0.01;

/// First bytes of saved profiles. The last byte is the version of the format.
const FORMAT: &[u8] = b"demand_profile\x02";

plain_data! {
    data
    /// Likelihood of demand by model and slot, and unpredicted demand by model.
    pub(super) struct DemandProfile {
        day_ms: u64,
        models: BTreeMap<ModelName, ModelProfile>,
        open_slot: Option<OpenSlot>,
        closed_slot: Option<OpenSlot>,
        cycles_learnt: u32,
    }
}

plain_data! {
    data
    struct ModelProfile {
        likelihood: Vec<f32>,
        cycles_seen: Vec<u8>,
        unpredicted: f32,
    }
}

plain_data! {
    data
    struct OpenSlot {
        slot: usize,
        requested: BTreeSet<ModelName>,
    }
}

impl DemandProfile {
    pub(super) fn new(day_ms: u64) -> Self {
        Self {
            day_ms: day_ms.max(SLOTS as u64),
            models: BTreeMap::new(),
            open_slot: None,
            closed_slot: None,
            cycles_learnt: 0,
        }
    }

    pub(super) fn has_cycle(&self, day_ms: u64) -> bool {
        self.day_ms == day_ms.max(SLOTS as u64)
    }

    pub(super) fn observe(&mut self, sample: &DemandSample) {
        let slot = self.slot_of(sample.cycle_ms);
        if self.open_slot.as_ref().is_none_or(|open| open.slot != slot) {
            self.close_slot();
            self.open_slot = Some(OpenSlot {
                slot,
                requested: BTreeSet::new(),
            });
        }
        if let Some(open) = &mut self.open_slot {
            let arrived = sample.arrived.iter().filter(|(_, count)| *count > 0);
            open.requested
                .extend(arrived.map(|(model, _)| model.clone()));
        }
    }

    /// Returns the time until the start of the next slot in which demand is at least as likely
    /// as `threshold`, within `horizon_ms`. Zero when the present slot is one.
    pub(super) fn next_demand_ms(
        &self,
        model: &ModelName,
        cycle_ms: u64,
        threshold: f32,
        horizon_ms: u64,
    ) -> Option<u64> {
        let profile = self.models.get(model)?;
        let slot_ms = self.day_ms / SLOTS as u64;
        let present = self.slot_of(cycle_ms);
        let into_slot_ms = (cycle_ms % self.day_ms).saturating_sub(present as u64 * slot_ms);
        (0..SLOTS)
            .map(|ahead| (ahead, (ahead as u64 * slot_ms).saturating_sub(into_slot_ms)))
            .take_while(|(_, until_ms)| *until_ms <= horizon_ms)
            .find(|(ahead, _)| profile.likelihood[(present + ahead) % SLOTS] >= threshold)
            .map(|(_, until_ms)| until_ms)
    }

    /// Rates how often a model is requested at times that the profile does not predict. `None`
    /// for models whose demand follows the cycle, and for all until enough cycles were seen.
    pub(super) fn unpredicted(&self, model: &ModelName) -> Option<f32> {
        if self.cycles_learnt < LEARNING_CYCLES {
            return None;
        }
        let Some(profile) = self.models.get(model) else {
            return Some(0.0);
        };
        let has_habit = profile.likelihood.iter().any(|l| *l >= HABIT);
        let is_unpredicted = !has_habit || profile.unpredicted >= MIN_UNPREDICTED;
        is_unpredicted.then_some(profile.unpredicted)
    }

    pub(super) fn save(&self) -> Vec<u8> {
        postcard::to_extend(self, FORMAT.to_vec()).unwrap_or_default()
    }

    pub(super) fn read(saved: &[u8]) -> Option<Self> {
        let profile: Self = postcard::from_bytes(saved.strip_prefix(FORMAT)?).ok()?;
        profile.is_consistent().then_some(profile)
    }

    fn is_consistent(&self) -> bool {
        self.day_ms >= SLOTS as u64
            && [&self.open_slot, &self.closed_slot]
                .into_iter()
                .flatten()
                .all(|open| open.slot < SLOTS)
            && self
                .models
                .values()
                .all(|p| p.likelihood.len() == SLOTS && p.cycles_seen.len() == SLOTS)
    }

    fn slot_of(&self, cycle_ms: u64) -> usize {
        let slot_ms = self.day_ms / SLOTS as u64;
        (((cycle_ms % self.day_ms) / slot_ms) as usize).min(SLOTS - 1)
    }

    /// Counts the slot that has ended for all known models. Slots without any sample, such as
    /// those during a change of leader, are left as they are.
    fn close_slot(&mut self) {
        let Some(open) = self.open_slot.take() else {
            return;
        };
        let previous = self.closed_slot.take();
        if previous.as_ref().is_some_and(|last| last.slot > open.slot) {
            self.close_cycle();
        }
        for model in &open.requested {
            if !self.models.contains_key(model) {
                self.models.insert(model.clone(), ModelProfile::new());
            }
        }
        for (model, profile) in &mut self.models {
            let is_requested = open.requested.contains(model);
            let is_start = is_requested
                && previous
                    .as_ref()
                    .is_none_or(|last| !last.requested.contains(model));
            let is_learnt = self.cycles_learnt >= LEARNING_CYCLES;
            if is_start && is_learnt && !profile.predicts(open.slot) {
                profile.unpredicted += 1.0;
            }
            profile.count(open.slot, is_requested);
        }
        self.closed_slot = Some(open);
    }

    fn close_cycle(&mut self) {
        self.cycles_learnt = self.cycles_learnt.saturating_add(1);
        for profile in self.models.values_mut() {
            profile.unpredicted *= UNPREDICTED_DECAY;
        }
        self.models.retain(|_, profile| !profile.is_forgotten());
    }
}

impl ModelProfile {
    fn new() -> Self {
        Self {
            likelihood: vec![0.0; SLOTS],
            cycles_seen: vec![0; SLOTS],
            unpredicted: 0.0,
        }
    }

    fn is_forgotten(&self) -> bool {
        self.unpredicted < FORGOTTEN && self.likelihood.iter().all(|l| *l < FORGOTTEN)
    }

    fn predicts(&self, slot: usize) -> bool {
        [SLOTS - 1, 0, 1]
            .into_iter()
            .any(|offset| self.likelihood[(slot + offset) % SLOTS] >= EXPECTED)
    }

    /// Moves the likelihood towards the newest observation. The first one counts half, so that a
    /// single request is not taken for a habit.
    fn count(&mut self, slot: usize, is_requested: bool) {
        let weight = (1.0 / (f32::from(self.cycles_seen[slot]) + 2.0)).max(MIN_WEIGHT);
        let observed = if is_requested { 1.0 } else { 0.0 };
        self.likelihood[slot] += weight * (observed - self.likelihood[slot]);
        self.cycles_seen[slot] = self.cycles_seen[slot].saturating_add(1);
    }
}
