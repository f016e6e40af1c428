//! What an engine holds by the commands that it accepted.

use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{EngineSpec, Incarnation, ModelName};

use super::book::{base_of, is_model};
use super::{EngineOperation, EngineState};

/// Time by which an engine's report of itself lags at most.
const REPORT_LAG: Duration = Duration::from_millis(400);

/// The memory of one engine, counted from the acceptance of each load until the confirmed end of
/// an unload. Reports lag, so the ledger goes before a report with an older sequence number.
#[derive(Debug, Default)]
pub struct EngineLedger {
    known: Option<Known>,
}

#[derive(Debug, Clone)]
struct Known {
    incarnation: Incarnation,
    sequence: u64,
    models: Vec<ModelName>,
    /// When the last command was accepted.
    accepted: Option<Instant>,
}

impl EngineLedger {
    /// Takes a report of the engine.
    pub fn take_report(&mut self, incarnation: Incarnation, state: &EngineState) {
        let known = self.known.take().filter(|k| k.incarnation == incarnation);
        let mut models = state.models.clone();
        let mut accepted = None;
        if let Some(known) = known {
            // Beyond its lag, a report with an older number shows that a command did not count.
            let is_late = known.accepted.is_some_and(|at| at.elapsed() < REPORT_LAG);
            if known.sequence > state.sequence && is_late {
                self.known = Some(known);
                return;
            }
            accepted = known.accepted;
            // A load in progress is not among the models of the report yet.
            if state.is_busy {
                let missing = known
                    .models
                    .iter()
                    .filter(|held| !state.models.contains(held));
                models.extend(missing.cloned());
            }
        }
        self.known = Some(Known {
            incarnation,
            sequence: state.sequence,
            models,
            accepted,
        });
    }

    /// Returns the sequence number that the next command has to name, if it is known.
    pub fn sequence(&self, incarnation: Incarnation) -> Option<u64> {
        let known = self.known.as_ref();
        known
            .filter(|known| known.incarnation == incarnation)
            .map(|known| known.sequence)
    }

    /// Returns the models and adapters that the engine holds.
    pub fn models(&self) -> &[ModelName] {
        self.known.as_ref().map_or(&[], |known| &known.models)
    }

    /// Tells whether a model or an adapter fits beside what the engine holds.
    pub fn fits(&self, spec: &EngineSpec, name: &ModelName) -> bool {
        if is_model(name) {
            let held = self.models().iter().filter(|held| is_model(held));
            let used_mb: u64 = held.map(|held| size_mb(spec, held)).sum();
            // The places for adapters stay free, whether or not they are taken now.
            let reserve_mb = adapter_reserve_mb(spec);
            return used_mb + size_mb(spec, name) + reserve_mb <= spec.weights_mb;
        }
        let adapters = self.models().iter().filter(|held| !is_model(held)).count();
        let used_mb: u64 = self.models().iter().map(|held| size_mb(spec, held)).sum();
        adapters < spec.max_adapters as usize && used_mb + size_mb(spec, name) <= spec.weights_mb
    }

    /// Counts a command that the engine accepted.
    pub fn accept(&mut self, operation: EngineOperation, name: &ModelName) {
        let Some(known) = &mut self.known else {
            return;
        };
        known.sequence += 1;
        known.accepted = Some(Instant::now());
        match operation {
            EngineOperation::Load => {
                if !known.models.contains(name) {
                    known.models.push(name.clone());
                }
            }
            // The memory of a model counts until a report shows that it is gone.
            EngineOperation::Unload if is_model(name) => {}
            EngineOperation::Unload => known.models.retain(|held| held != name),
        }
    }

    /// Forgets what is known, after an answer that leaves open what the engine accepted.
    pub fn forget(&mut self) {
        self.known = None;
    }
}

/// Returns the memory that the places for adapters need.
pub(crate) fn adapter_reserve_mb(spec: &EngineSpec) -> u64 {
    let largest = spec.models.values().map(|model| model.adapter_mb).max();
    largest.unwrap_or(0) * u64::from(spec.max_adapters)
}

fn size_mb(spec: &EngineSpec, name: &ModelName) -> u64 {
    let model = spec.models.get(&base_of(name));
    match model {
        Some(model) if is_model(name) => model.weights_mb,
        Some(model) => model.adapter_mb,
        // The size of a model that the configuration dropped is not known; the largest is safe.
        None => spec
            .models
            .values()
            .map(|m| m.weights_mb)
            .max()
            .unwrap_or(0),
    }
}
