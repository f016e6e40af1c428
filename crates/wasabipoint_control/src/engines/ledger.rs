//! Accounting of an engine's memory from its reports and the commands that it accepted.

use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{EngineSpec, Incarnation, ModelName};

use super::tracker::{base_model, is_model};
use super::{EngineOperation, EngineState};

/// Maximum lag of an engine's state report.
const MAX_REPORT_LAG: Duration = Duration::from_millis(400);

/// Accounts for the memory of one engine. A model counts from the acceptance of its load until its
/// unload is confirmed.
///
/// Reports lag, so the ledger takes precedence over a report with an older sequence number.
#[derive(Debug, Default)]
pub struct EngineLedger {
    tracked: Option<LedgerState>,
}

#[derive(Debug, Clone)]
struct LedgerState {
    incarnation: Incarnation,
    sequence: u64,
    models: Vec<ModelName>,
    /// When the last command was accepted.
    accepted_at: Option<Instant>,
}

impl EngineLedger {
    /// Updates the ledger from a state report of the engine.
    pub fn apply_report(&mut self, incarnation: Incarnation, state: &EngineState) {
        let tracked = self
            .tracked
            .take()
            .filter(|tracked| tracked.incarnation == incarnation);
        let mut models = state.models.clone();
        let mut accepted_at = None;
        if let Some(tracked) = tracked {
            // A report with an older sequence number is stale if it is within the maximum lag.
            // After that, it shows that the engine did not count a command.
            let may_be_stale = tracked
                .accepted_at
                .is_some_and(|at| at.elapsed() < MAX_REPORT_LAG);
            if tracked.sequence > state.sequence && may_be_stale {
                self.tracked = Some(tracked);
                return;
            }
            accepted_at = tracked.accepted_at;
            // A report may not list the model of a load in progress yet.
            if state.is_busy {
                let missing = tracked
                    .models
                    .iter()
                    .filter(|held| !state.models.contains(held));
                models.extend(missing.cloned());
            }
        }
        self.tracked = Some(LedgerState {
            incarnation,
            sequence: state.sequence,
            models,
            accepted_at,
        });
    }

    /// Returns the sequence number that the next command has to carry, if it is known.
    pub fn sequence(&self, incarnation: Incarnation) -> Option<u64> {
        let tracked = self.tracked.as_ref();
        tracked
            .filter(|tracked| tracked.incarnation == incarnation)
            .map(|tracked| tracked.sequence)
    }

    /// Returns the models and adapters that occupy the engine's memory.
    pub fn models(&self) -> &[ModelName] {
        self.tracked.as_ref().map_or(&[], |tracked| &tracked.models)
    }

    /// Returns whether a model or an adapter fits into the free memory of the engine.
    pub fn fits(&self, spec: &EngineSpec, name: &ModelName) -> bool {
        if is_model(name) {
            let held = self.models().iter().filter(|held| is_model(held));
            let used_mb: u64 = held.map(|held| size_mb(spec, held)).sum();
            // The memory of all adapter slots stays reserved, whether or not they are in use.
            let reserve_mb = adapter_reserve_mb(spec);
            return used_mb + size_mb(spec, name) + reserve_mb <= spec.weights_mb;
        }
        let adapters = self.models().iter().filter(|held| !is_model(held)).count();
        let used_mb: u64 = self.models().iter().map(|held| size_mb(spec, held)).sum();
        adapters < spec.max_adapters as usize && used_mb + size_mb(spec, name) <= spec.weights_mb
    }

    /// Records a command that the engine accepted.
    pub fn record_accepted(&mut self, operation: EngineOperation, name: &ModelName) {
        let Some(tracked) = &mut self.tracked else {
            return;
        };
        tracked.sequence += 1;
        tracked.accepted_at = Some(Instant::now());
        match operation {
            EngineOperation::Load => {
                if !tracked.models.contains(name) {
                    tracked.models.push(name.clone());
                }
            }
            // The memory of a model counts as used until a report shows that the model is gone.
            EngineOperation::Unload if is_model(name) => {}
            EngineOperation::Unload => tracked.models.retain(|held| held != name),
        }
    }

    /// Discards the state after an answer that leaves open whether the engine accepted a command.
    pub fn invalidate(&mut self) {
        self.tracked = None;
    }
}

/// Returns the memory that is reserved for adapter slots.
pub(crate) fn adapter_reserve_mb(spec: &EngineSpec) -> u64 {
    let largest = spec.models.values().map(|model| model.adapter_mb).max();
    largest.unwrap_or(0) * u64::from(spec.max_adapters)
}

fn size_mb(spec: &EngineSpec, name: &ModelName) -> u64 {
    let model = spec.models.get(&base_model(name));
    match model {
        Some(model) if is_model(name) => model.weights_mb,
        Some(model) => model.adapter_mb,
        // The size of a model that was removed from the configuration is unknown; the largest
        // configured size is a safe bound.
        None => spec
            .models
            .values()
            .map(|m| m.weights_mb)
            .max()
            .unwrap_or(0),
    }
}
