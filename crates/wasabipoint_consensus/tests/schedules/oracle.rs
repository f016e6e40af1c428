//! Safety checks across all members.

use std::collections::BTreeMap;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::register::{RegisterOperation, RegisterSpecification};
use wasabipoint_consensus::{Configuration, Entry, Payload};

/// A client call on the replicated register.
struct Call {
    process: usize,
    /// The written value; `None` for a read.
    written: Option<u64>,
    called_at: usize,
    /// Time of the response and the value read.
    response: Option<(usize, u64)>,
}

/// Records events of all members and checks invariants across terms and restarts.
#[derive(Default)]
pub(crate) struct Oracle {
    /// Leader of each term.
    leaders: BTreeMap<u64, u64>,
    /// Content and previous term of each entry ever written, by index and term.
    written: BTreeMap<(u64, u64), (Payload, u64)>,
    /// Digest of all entries applied up to each index.
    applied: BTreeMap<u64, u64>,
    /// Term of each acknowledged entry, by index.
    acknowledged: BTreeMap<u64, u64>,
    configurations: Vec<(u64, Configuration)>,
    calls: Vec<Call>,
    now: usize,
    processes: usize,
}

impl Oracle {
    pub(crate) fn record_leader(&mut self, term: u64, member: u64) {
        let first = *self.leaders.entry(term).or_insert(member);
        assert_eq!(first, member, "election safety: two leaders in term {term}");
    }

    pub(crate) fn record_written(&mut self, entry: &Entry, prev_term: u64) {
        let content = (entry.payload.clone(), prev_term);
        let known = self.written.entry((entry.index, entry.term));
        let known = known.or_insert_with(|| content.clone());
        let position = (entry.index, entry.term);
        assert_eq!(*known, content, "log matching: two entries at {position:?}");
        if let Payload::Configuration(configuration) = &entry.payload {
            let item = (entry.index, configuration.clone());
            if !self.configurations.contains(&item) {
                self.configurations.push(item);
            }
        }
    }

    pub(crate) fn record_applied(&mut self, index: u64, digest: u64) {
        let first = *self.applied.entry(index).or_insert(digest);
        assert_eq!(
            first, digest,
            "state machine safety: histories differ at {index}"
        );
    }

    pub(crate) fn last_applied(&self) -> u64 {
        self.applied.keys().last().copied().unwrap_or(0)
    }

    pub(crate) fn last_acknowledged(&self) -> u64 {
        self.acknowledged.keys().last().copied().unwrap_or(0)
    }

    /// Returns the configurations that may be in effect: the last committed one and all later ones.
    pub(crate) fn possible_configurations(&self) -> Vec<&Configuration> {
        let applied = self.last_applied();
        let indexes = self.configurations.iter().map(|(index, _)| *index);
        let committed = indexes.filter(|index| *index <= applied).max().unwrap_or(0);
        let possible = self.configurations.iter().filter(|(i, _)| *i >= committed);
        possible.map(|(_, configuration)| configuration).collect()
    }

    /// Returns the id of a new process. A client whose call gets no response continues as a new
    /// process, because each process of a history has at most one open call.
    pub(crate) fn new_process(&mut self) -> usize {
        self.processes += 1;
        self.processes - 1
    }

    pub(crate) fn record_call(&mut self, process: usize, written: Option<u64>) -> usize {
        self.now += 1;
        self.calls.push(Call {
            process,
            written,
            called_at: self.now,
            response: None,
        });
        self.calls.len() - 1
    }

    pub(crate) fn complete_write(&mut self, call: usize, index: u64, term: u64) {
        self.now += 1;
        self.acknowledged.insert(index, term);
        self.calls[call].response = Some((self.now, 0));
    }

    pub(crate) fn complete_read(&mut self, call: usize, value: u64) {
        self.now += 1;
        self.calls[call].response = Some((self.now, value));
    }

    pub(crate) fn completed_reads(&self) -> usize {
        let completed = |c: &&Call| c.written.is_none() && c.response.is_some();
        self.calls.iter().filter(completed).count()
    }

    /// Checks that the calls form a linearizable history of one register.
    ///
    /// The checker requires a response to each call. A write without a response may take effect at
    /// any later time or never. If its value was read, a response is added at the end of the
    /// history; otherwise the write is omitted, because it cannot affect any read.
    pub(crate) fn check_linearizability(&self) {
        let is_seen = |value: u64| {
            let reads = self.calls.iter().filter(|c| c.written.is_none());
            reads.filter_map(|c| c.response).any(|(_, v)| v == value)
        };
        let reads = self.calls.iter().filter(|c| c.written.is_none());
        let last_read = reads.filter_map(|c| c.response).map(|(at, _)| at).max();
        let relevant = |c: &&Call| Some(c.called_at) < last_read;
        let mut timed = Vec::new();
        for call in self.calls.iter().filter(relevant) {
            let (operation, responded_at) = match (call.written, call.response) {
                (None, Some((at, value))) => (RegisterOperation::Read(Some(value)), at),
                (Some(value), Some((at, _))) => (RegisterOperation::Write(value), at),
                (Some(value), None) if is_seen(value) => {
                    (RegisterOperation::Write(value), usize::MAX)
                }
                (_, None) => continue,
            };
            timed.push((call.called_at, call.process, Action::Call(operation)));
            timed.push((responded_at, call.process, Action::Response(operation)));
        }
        timed.sort_by_key(|(at, ..)| *at);
        let actions = timed
            .into_iter()
            .map(|(_, process, action)| (process, action));
        assert!(
            is_linearizable(actions.collect()),
            "the history is not linearizable"
        );
    }
}

pub(crate) fn is_linearizable(actions: Vec<(usize, Action<RegisterOperation<u64>>)>) -> bool {
    actions.is_empty()
        || WGLChecker::<RegisterSpecification<u64>>::is_linearizable(History::from_actions(actions))
}
