//! Remembers which prompt parts engines answered, in bounded memory.

use std::collections::HashMap;

use wasabipoint_kernel::PromptPartId;

/// Number of parts after which the older half is discarded.
const MAX_PARTS_PER_GENERATION: usize = 4_096;

/// Time of the last answer to each recently answered prompt part.
///
/// The parts are kept in two generations: a full one replaces the older one, which drops the parts
/// that were not answered since.
#[derive(Debug, Default)]
pub struct PromptHistory {
    current: HashMap<PromptPartId, u64>,
    older: HashMap<PromptPartId, u64>,
}

impl PromptHistory {
    /// Records that an engine answered a prompt with these parts.
    pub fn record_answered(&mut self, parts: impl IntoIterator<Item = PromptPartId>, now_ms: u64) {
        for part in parts {
            self.current.insert(part, now_ms);
        }
        if self.current.len() > MAX_PARTS_PER_GENERATION {
            self.older = std::mem::take(&mut self.current);
        }
    }

    /// Returns the time of the last known answer to a prompt with this part.
    pub fn answered_ms(&self, part: PromptPartId) -> Option<u64> {
        let current = self.current.get(&part);
        current.or_else(|| self.older.get(&part)).copied()
    }
}
