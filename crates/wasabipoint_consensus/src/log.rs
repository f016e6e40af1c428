//! The in-memory log.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

use crate::entry::Entry;

/// Log entries after a base index. Entries up to the base are covered by a snapshot.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    pub(crate) fn new(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        Self {
            base_index,
            base_term,
            entries: entries.into(),
        }
    }

    pub(crate) fn base(&self) -> (u64, u64) {
        (self.base_index, self.base_term)
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns whether a log that ends at the given index and term is at least as up to date as
    /// this one.
    pub(crate) fn is_covered_by(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Iterates over the entries of a range of indexes that is in the log.
    pub(crate) fn range(&self, indexes: RangeInclusive<u64>) -> impl Iterator<Item = &Entry> {
        indexes.map(|index| self.get(index).expect("the range is in the log"))
    }

    /// Returns the base of a log that keeps the entries before and at an index, up to both limits.
    pub(crate) fn trailing_base(&self, index: u64, max_entries: u64, max_bytes: u64) -> u64 {
        let mut base = index;
        let mut bytes = 0;
        while let Some(entry) = self.get(base) {
            bytes += entry.size() as u64;
            if index - base >= max_entries || bytes > max_bytes {
                break;
            }
            base -= 1;
        }
        base
    }

    /// Copies entries from an index on, up to both limits. The first entry is copied even if it
    /// exceeds the size limit.
    pub(crate) fn batch(&self, from: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let skipped = (from - self.base_index - 1) as usize;
        self.entries
            .range(skipped.min(self.entries.len())..)
            .take(max_entries)
            .take_while(|entry| {
                let is_first = size == 0;
                size += entry.size();
                is_first || size <= max_bytes
            })
            .cloned()
            .collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "entries have no gaps");
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: u64) {
        self.entries
            .truncate((index - self.base_index - 1) as usize);
    }

    /// Removes entries up to an index, which must be in the log.
    pub(crate) fn compact_to(&mut self, index: u64) {
        if index <= self.base_index {
            return;
        }
        let term = self.term_at(index).expect("the new base is in the log");
        self.entries.drain(..(index - self.base_index) as usize);
        self.entries.shrink_to_fit();
        (self.base_index, self.base_term) = (index, term);
    }

    pub(crate) fn reset(&mut self, index: u64, term: u64) {
        *self = Self::new(index, term, Vec::new());
    }
}
