//! In-memory disk with the same atomic steps as the real storage, so that a crash can be simulated
//! between any two of them.

use std::sync::Arc;

use wasabipoint_consensus::{Compaction, Entry, HardState, RecoveredState, Snapshot, Write};

/// A change that becomes durable atomically.
pub(crate) enum DurableStep {
    /// One frame of the log file.
    Frame(Vec<Write>),
    /// Replacement of the snapshot file.
    Snapshot(Arc<Snapshot>),
    /// Replacement of the log file.
    Log(Box<Compaction>),
}

/// Splits a batch of writes into the steps that the storage performs.
pub(crate) fn split_into_steps(writes: Vec<Write>) -> Vec<DurableStep> {
    let mut steps = Vec::new();
    let mut records = Vec::new();
    for write in writes {
        if let Write::Snapshot(compaction) = write {
            records.clear();
            steps.push(DurableStep::Snapshot(Arc::clone(&compaction.snapshot)));
            steps.push(DurableStep::Log(compaction));
        } else {
            records.push(write);
        }
    }
    if !records.is_empty() {
        steps.push(DurableStep::Frame(records));
    }
    steps
}

#[derive(Default)]
pub(crate) struct Disk {
    snapshot: Option<Arc<Snapshot>>,
    hard_state: HardState,
    base: (u64, u64),
    entries: Vec<Entry>,
}

impl Disk {
    /// Makes a step durable. Calls `on_entry` for each new entry with the term of the previous one.
    pub(crate) fn apply(&mut self, step: DurableStep, mut on_entry: impl FnMut(&Entry, u64)) {
        match step {
            DurableStep::Snapshot(snapshot) => self.snapshot = Some(snapshot),
            DurableStep::Log(compaction) => {
                self.hard_state = compaction.hard_state;
                self.base = (compaction.base_index, compaction.base_term);
                self.entries = compaction.entries;
            }
            DurableStep::Frame(writes) => {
                for write in writes {
                    match write {
                        Write::Hard(hard_state) => self.hard_state = hard_state,
                        Write::Entry(entry) => {
                            self.entries
                                .truncate((entry.index - self.base.0 - 1) as usize);
                            let last = self.entries.last();
                            on_entry(&entry, last.map_or(self.base.1, |e| e.term));
                            self.entries.push(entry);
                        }
                        Write::Snapshot(_) => unreachable!("split into steps"),
                    }
                }
            }
        }
    }

    /// Reads the durable state at a start. A log that conflicts with the snapshot is replaced.
    pub(crate) fn recover(&mut self) -> RecoveredState {
        if let Some(snapshot) = &self.snapshot {
            let term = match (snapshot.index - self.base.0) as usize {
                0 => Some(self.base.1),
                position => self.entries.get(position - 1).map(|e| e.term),
            };
            if term != Some(snapshot.term) {
                self.entries.clear();
                self.base = (snapshot.index, snapshot.term);
            }
        }
        RecoveredState {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            base_index: self.base.0,
            base_term: self.base.1,
            entries: self.entries.clone(),
        }
    }
}
