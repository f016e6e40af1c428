//! Prompt parts whose requests entry processes refuse.

use wasabipoint_kernel::{ErrorKind, PromptPartId};
use wasabipoint_rpc::{FleetChange, QuarantinedPart};

use super::{CommandOutcome, ControlState};

/// Maximum number of quarantined parts, which every entry process holds.
const MAX_QUARANTINED_PARTS: usize = 64;

impl ControlState {
    /// Quarantines a part or replaces its record.
    pub(super) fn put_quarantine(&mut self, quarantined: Box<QuarantinedPart>) -> CommandOutcome {
        let known = &self.view.quarantine;
        if !known.contains_key(&quarantined.part) && known.len() >= MAX_QUARANTINED_PARTS {
            let detail = format!("at most {MAX_QUARANTINED_PARTS} parts can be quarantined");
            return CommandOutcome::refused(ErrorKind::QueueFull, detail);
        }
        if known.get(&quarantined.part) != Some(&quarantined) {
            self.publish_change(FleetChange::PutQuarantine(quarantined));
        }
        CommandOutcome::Done
    }

    /// Ends the quarantine of a part, if there is one.
    pub(super) fn lift_quarantine(&mut self, part: PromptPartId) -> CommandOutcome {
        if self.view.quarantine.contains_key(&part) {
            self.publish_change(FleetChange::LiftQuarantine(part));
        }
        CommandOutcome::Done
    }
}
