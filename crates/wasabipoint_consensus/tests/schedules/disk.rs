//! A disk in memory with the atomic steps of the real storage, which can crash between them.

use std::sync::Arc;

use wasabipoint_consensus::{Compaction, Entry, HardState, Recovered, Snapshot, Write};

/// A change that is either durable as a whole or not at all.
pub(crate) enum Step {
    /// One frame of the log file.
    Frame(Vec<Write>),
    /// Replacement of the snapshot file.
    Snapshot(Arc<Snapshot>),
    /// Replacement of the log file.
    Log(Box<Compaction>),
}

/// Splits a batch as the storage does.
pub(crate) fn steps_of(writes: Vec<Write>) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut records = Vec::new();
    for write in writes {
        if let Write::Snapshot(compaction) = write {
            records.clear();
            steps.push(Step::Snapshot(Arc::clone(&compaction.snapshot)));
            steps.push(Step::Log(compaction));
        } else {
            records.push(write);
        }
    }
    if !records.is_empty() {
        steps.push(Step::Frame(records));
    }
    steps
}

#[derive(Default)]
pub(crate) struct Disk {
    snapshot: Option<Arc<Snapshot>>,
    hard: HardState,
    base: (u64, u64),
    entries: Vec<Entry>,
}

impl Disk {
    /// Makes a step durable; each new entry is shown with the term before it.
    pub(crate) fn apply(&mut self, step: Step, mut note: impl FnMut(&Entry, u64)) {
        match step {
            Step::Snapshot(snapshot) => self.snapshot = Some(snapshot),
            Step::Log(compaction) => {
                self.hard = compaction.hard;
                self.base = (compaction.base_index, compaction.base_term);
                self.entries = compaction.entries;
            }
            Step::Frame(writes) => {
                for write in writes {
                    match write {
                        Write::Hard(hard) => self.hard = hard,
                        Write::Entry(entry) => {
                            self.entries
                                .truncate((entry.index - self.base.0 - 1) as usize);
                            let last = self.entries.last();
                            note(&entry, last.map_or(self.base.1, |e| e.term));
                            self.entries.push(entry);
                        }
                        Write::Snapshot(_) => unreachable!("split into steps"),
                    }
                }
            }
        }
    }

    /// Reads the state at a start. A log that the snapshot contradicts is replaced.
    pub(crate) fn recover(&mut self) -> Recovered {
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
        Recovered {
            hard: self.hard.clone(),
            snapshot: self.snapshot.clone(),
            base_index: self.base.0,
            base_term: self.base.1,
            entries: self.entries.clone(),
        }
    }
}
