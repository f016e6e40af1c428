//! Handling of entries and snapshots from the leader.

use std::sync::Arc;

use wasabipoint_kernel::MemberId;

use super::{Core, Effect};
use crate::entry::{Configuration, Entry, SharedBytes, Snapshot};
use crate::message::MessageBody;

/// A partially received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: u64,
    term: u64,
    configuration: Configuration,
    total_bytes: u64,
    data: Vec<u8>,
}

impl Core {
    fn follow_leader(&mut self, leader: MemberId) {
        assert!(!self.is_leader(), "a term has at most one leader");
        self.become_follower(self.hard_state.term, Some(leader));
    }

    pub(super) fn handle_append_entries(&mut self, from: MemberId, body: MessageBody) {
        let MessageBody::AppendEntries {
            prev_index,
            prev_term,
            entries,
            commit,
            round,
        } = body
        else {
            return;
        };
        let mut expected = prev_index + 1..;
        if !entries.iter().all(|e| Some(e.index) == expected.next()) {
            return;
        }
        self.follow_leader(from);
        let base = self.log.base().0;
        if prev_index >= base && self.log.term_at(prev_index) != Some(prev_term) {
            let body = MessageBody::AppendRejected {
                prev_index,
                hint_index: self.conflict_hint(prev_index),
                round,
            };
            return self.send_when_durable(from, self.hard_state.term, body);
        }
        let last_sent = prev_index + entries.len() as u64;
        let has_written = self.append_missing(entries);
        self.advance_commit(commit.min(last_sent));
        // The leader's log contains everything that is committed here.
        let verified_index = last_sent.max(self.commit);
        self.acknowledge_append(from, verified_index, round, has_written);
    }

    /// Appends the entries that this log lacks and removes those that conflict with them. Returns
    /// whether any entry was appended.
    fn append_missing(&mut self, entries: Vec<Entry>) -> bool {
        let mut has_written = false;
        for entry in entries {
            if entry.index <= self.log.base().0 || self.log.term_at(entry.index) == Some(entry.term)
            {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate_from(entry.index);
            }
            self.push_entry(entry);
            has_written = true;
        }
        has_written
    }

    /// Acknowledges durable entries. A heartbeat is acknowledged immediately, even while a write is
    /// in progress, unless the term itself is not durable yet.
    fn acknowledge_append(
        &mut self,
        leader: MemberId,
        verified_index: u64,
        round: u64,
        has_written: bool,
    ) {
        let is_term_pending = self.hard_state_batch > self.durable_batch;
        let is_idle = self.writes.is_empty() && self.durable_batch + 1 == self.open_batch;
        if has_written || is_term_pending || is_idle {
            let body = MessageBody::AppendAccepted {
                match_index: verified_index,
                round,
            };
            self.send_when_durable(leader, self.hard_state.term, body);
        } else {
            let match_index = verified_index.min(self.durable_index);
            self.send(leader, MessageBody::AppendAccepted { match_index, round });
        }
    }

    /// Returns the last index at which this log may match the leader's, so that the leader can skip
    /// a whole conflicting term.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let conflicting = self.log.term_at(prev_index);
        let mut hint = prev_index - 1;
        while hint > self.commit && self.log.term_at(hint) == conflicting {
            hint -= 1;
        }
        hint
    }

    pub(super) fn handle_snapshot_chunk(&mut self, from: MemberId, body: MessageBody) {
        let MessageBody::SnapshotChunk {
            index,
            term,
            configuration,
            total_bytes,
            offset,
            data,
            round,
        } = body
        else {
            return;
        };
        self.follow_leader(from);
        if index <= self.commit {
            return self.acknowledge_append(from, self.commit, round, false);
        }
        let is_same = |s: &IncomingSnapshot| (s.index, s.term) == (index, term);
        if offset == 0 && !self.incoming_snapshot.as_ref().is_some_and(is_same) {
            self.incoming_snapshot = Some(IncomingSnapshot {
                index,
                term,
                configuration,
                total_bytes,
                data: Vec::new(),
            });
        }
        let mut received_bytes = 0;
        if let Some(incoming_snapshot) = self.incoming_snapshot.as_mut().filter(|s| is_same(s)) {
            if offset == incoming_snapshot.data.len() as u64 {
                incoming_snapshot.data.extend_from_slice(&data);
            }
            received_bytes = incoming_snapshot.data.len() as u64;
        }
        if let Some(done) = self
            .incoming_snapshot
            .take_if(|s| is_same(s) && s.data.len() as u64 >= s.total_bytes)
        {
            self.install_snapshot(done);
            return self.acknowledge_append(from, index, round, true);
        }
        let body = MessageBody::SnapshotChunkReply {
            index,
            received_bytes,
            round,
        };
        self.send_when_durable(from, self.hard_state.term, body);
    }

    fn install_snapshot(&mut self, incoming_snapshot: IncomingSnapshot) {
        let IncomingSnapshot { index, term, .. } = incoming_snapshot;
        if self.log.term_at(index) == Some(term) {
            // The log already contains every entry that the snapshot includes.
            return self.advance_commit(index);
        }
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            configuration: incoming_snapshot.configuration,
            data: SharedBytes::new(incoming_snapshot.data),
        });
        self.durable_index = self.durable_index.min(self.commit);
        self.pending_appends.clear();
        self.nondurable_bytes = 0;
        self.push_pending_append(index, snapshot.data.len());
        self.log.reset(index, term);
        self.configurations.clear();
        self.configurations
            .push_back((index, snapshot.configuration.clone()));
        self.commit = index;
        self.committed_bytes_since_snapshot = 0;
        self.snapshot = Some(Arc::clone(&snapshot));
        self.effects.push(Effect::Restore(Arc::clone(&snapshot)));
        self.write_snapshot(snapshot);
    }
}
