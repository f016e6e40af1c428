//! Log replication, commit index and read rounds on the leader.

use std::collections::BTreeMap;
use std::sync::Arc;

use wasabipoint_kernel::MemberId;

use super::{Core, HEARTBEAT_INTERVAL_TICKS, MIN_ELECTION_TICKS, State};
use crate::api::ProposeError;
use crate::entry::{DiskId, Entry, Payload, SharedBytes, Snapshot};
use crate::message::{MemberRefusal, MessageBody};

/// Maximum size of a snapshot chunk in one message.
pub(super) const MAX_CHUNK_BYTES: usize = 256 * 1_024;
/// Maximum number of entries in one message; bounds the work of one step.
const MAX_BATCH_ENTRIES: usize = 512;
/// Maximum size of the entries in one message. A single larger entry is still sent.
const MAX_BATCH_BYTES: usize = 256 * 1_024;
/// Maximum number of unacknowledged entries per member.
const MAX_IN_FLIGHT_ENTRIES: u64 = 4_096;
/// Maximum size of the unacknowledged entries per member; bounds the memory of the transport.
const MAX_IN_FLIGHT_BYTES: usize = 1_024 * 1_024;

/// Volatile state of a leader, valid for one term.
#[derive(Debug, Default)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<MemberId, Progress>,
    pub(super) uncommitted_bytes: usize,
    /// Commit indexes at the last two heartbeats, older one first. A member that has not reached
    /// the older one lags behind, rather than having a message in transit.
    heartbeat_commits: (u64, u64),
    /// Number of the latest read round.
    round: u64,
    active_read_round: Option<ReadRound>,
    /// Read requests that wait for the next round.
    queued_reads: Vec<u64>,
}

/// Read requests that share one round of heartbeats. Responses of a quorum confirm that this member
/// was still the leader after the requests arrived.
#[derive(Debug)]
struct ReadRound {
    /// Commit index at the start of the round.
    index: u64,
    requests: Vec<u64>,
}

/// Replication progress of another member, as the leader knows it.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) match_index: u64,
    next_index: u64,
    in_flight_bytes: usize,
    mode: ReplicationMode,
    /// Latest read round that the member confirmed.
    round: u64,
    last_response_tick: u64,
    /// Disk id in the member's first response. A later change means that the disk was lost.
    pub(super) disk: Option<DiskId>,
    is_heartbeat_due: bool,
}

/// How entries are sent to a member.
#[derive(Debug)]
enum ReplicationMode {
    /// The match index is unknown: one message at a time, until it is answered or a heartbeat is
    /// due.
    Probe { is_sent: bool },
    /// Entries are sent without waiting for earlier ones to be acknowledged.
    Pipeline,
    /// The member needs entries that are compacted away, so it receives the snapshot in chunks.
    Snapshot {
        snapshot: Arc<Snapshot>,
        offset: u64,
        is_sent: bool,
    },
}

impl LeaderState {
    /// Takes the read requests of the active round and of the queue.
    pub(super) fn take_pending_reads(&mut self) -> impl Iterator<Item = u64> + use<> {
        let active = self.active_read_round.take().map(|round| round.requests);
        let queued = std::mem::take(&mut self.queued_reads);
        active.unwrap_or_default().into_iter().chain(queued)
    }

    fn is_responding(&self, member: MemberId, now: u64) -> bool {
        let progress = self.progress.get(&member);
        progress.is_some_and(|p| now - p.last_response_tick < MIN_ELECTION_TICKS)
    }

    fn schedule_heartbeats(&mut self) {
        for progress in self.progress.values_mut() {
            progress.is_heartbeat_due = true;
        }
    }
}

impl Core {
    fn leader_state(&self) -> Option<&LeaderState> {
        match &self.state {
            State::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.state {
            State::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    /// Adds and removes progress records to match the other members of the configuration.
    pub(super) fn reconcile_progress(&mut self) {
        let (now, next_index) = (self.now, self.log.last_index() + 1);
        let own = self.config.member;
        let members: Vec<_> = self.configuration().members().collect();
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        leader_state.progress.retain(|m, _| members.contains(m));
        for member in members.into_iter().filter(|m| *m != own) {
            leader_state.progress.entry(member).or_insert(Progress {
                match_index: 0,
                next_index,
                in_flight_bytes: 0,
                mode: ReplicationMode::Probe { is_sent: false },
                round: 0,
                last_response_tick: now,
                disk: None,
                is_heartbeat_due: true,
            });
        }
    }

    pub(super) fn append(&mut self, payload: Payload) -> u64 {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload,
        };
        let (index, size) = (entry.index, entry.size());
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.uncommitted_bytes += size;
        }
        self.push_entry(entry);
        index
    }

    pub(super) fn tick_leader(&mut self) {
        let now = self.now;
        let commit = self.commit;
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        if now.is_multiple_of(HEARTBEAT_INTERVAL_TICKS) {
            leader_state.schedule_heartbeats();
            leader_state.heartbeat_commits = (leader_state.heartbeat_commits.1, commit);
        }
        // Check quorum: without responses from a quorum, another leader may have been elected.
        let is_responding = |core: &Self, m| core.replication_of(m).1;
        if self.count_voters(|m| is_responding(self, m)) < self.configuration().quorum() {
            self.become_follower(self.hard_state.term, None);
        }
    }

    fn count_voters(&self, is_counted: impl Fn(MemberId) -> bool) -> usize {
        let voters = self.configuration().voters.keys();
        voters.filter(|m| is_counted(**m)).count()
    }

    /// Returns the index of the last entry that a member stores durably, and whether the member
    /// responds; `(0, false)` unless this member is the leader.
    pub(super) fn replication_of(&self, member: MemberId) -> (u64, bool) {
        let Some(leader_state) = self.leader_state() else {
            return (0, false);
        };
        if member == self.config.member {
            return (self.durable_index, true);
        }
        let match_index = leader_state.progress.get(&member).map(|p| p.match_index);
        let is_responding = leader_state.is_responding(member, self.now);
        (match_index.unwrap_or(0), is_responding)
    }

    pub(super) fn remaining_redundancy(&self) -> usize {
        let Some(leader_state) = self.leader_state() else {
            return 0;
        };
        let required_index = leader_state.heartbeat_commits.0;
        let healthy = self.count_voters(|m| {
            let (match_index, is_responding) = self.replication_of(m);
            is_responding && match_index >= required_index
        });
        healthy.saturating_sub(self.configuration().quorum())
    }

    pub(super) fn advance_leader_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let voters = self.configuration().voters.keys();
        let mut matches: Vec<u64> = voters.map(|m| self.replication_of(*m).0).collect();
        matches.sort_unstable_by(|a, b| b.cmp(a));
        let index = matches[self.configuration().quorum() - 1];
        // An entry of an earlier term can still be overwritten, even if a quorum stores it.
        if index <= self.commit || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        let newly_committed = self.commit + 1..=index;
        let sizes = newly_committed.filter_map(|i| self.log.get(i).map(Entry::size));
        let committed_bytes: usize = sizes.sum();
        self.advance_commit(index);
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.uncommitted_bytes = leader_state
                .uncommitted_bytes
                .saturating_sub(committed_bytes);
        }
        let is_configuration_committed = self.configurations.back().is_some_and(|c| c.0 <= index);
        if is_configuration_committed && !self.is_voter() {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Returns whether an entry of the leader's own term is committed. Until then, its commit index
    /// may be lower than what earlier leaders acknowledged.
    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.hard_state.term)
    }

    /// Registers a read request; its result is returned by `take_read_results`.
    pub fn request_read(&mut self, request: u64) -> Result<(), ProposeError> {
        let error = self.not_leader();
        let leader_state = self.leader_state_mut().ok_or(error)?;
        leader_state.queued_reads.push(request);
        Ok(())
    }

    fn start_read_round(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let index = self.commit;
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        if leader_state.active_read_round.is_none() && !leader_state.queued_reads.is_empty() {
            leader_state.round += 1;
            leader_state.active_read_round = Some(ReadRound {
                index,
                requests: std::mem::take(&mut leader_state.queued_reads),
            });
            leader_state.schedule_heartbeats();
        }
    }

    fn finish_read_round(&mut self) {
        let Some(leader_state) = self.leader_state() else {
            return;
        };
        let confirms = |m: MemberId| {
            let progress = leader_state.progress.get(&m);
            m == self.config.member || progress.is_some_and(|p| p.round >= leader_state.round)
        };
        if self.count_voters(confirms) < self.configuration().quorum() {
            return;
        }
        if let Some(round) = self
            .leader_state_mut()
            .and_then(|l| l.active_read_round.take())
        {
            let results = round.requests.into_iter().map(|id| (id, Ok(round.index)));
            self.read_results.extend(results);
        }
    }

    pub(super) fn flush_leader(&mut self) {
        self.start_read_round();
        self.finish_read_round();
        let members: Vec<_> = self
            .leader_state()
            .map(|l| l.progress.keys().copied().collect())
            .unwrap_or_default();
        for member in members {
            while self.send_next(member) {}
        }
    }

    /// Sends the next message that a member needs; returns whether to call again for another one.
    fn send_next(&mut self, to: MemberId) -> bool {
        let (commit, last) = (self.commit, self.log.last_index());
        let snapshot = self.snapshot.clone();
        let State::Leader(leader_state) = &mut self.state else {
            return false;
        };
        let round = leader_state.round;
        let Some(progress) = leader_state.progress.get_mut(&to) else {
            return false;
        };
        let prev_index = progress.next_index - 1;
        let prev_term = self.log.term_at(prev_index);
        if prev_term.is_none() && !matches!(progress.mode, ReplicationMode::Snapshot { .. }) {
            progress.mode = ReplicationMode::Snapshot {
                snapshot: snapshot.expect("a compacted log has a snapshot"),
                offset: 0,
                is_sent: false,
            };
        }
        let needs_heartbeat = std::mem::take(&mut progress.is_heartbeat_due);
        // A probe or chunk without a response is repeated with the next heartbeat, except to an
        // unresponsive member, which then receives only empty heartbeats.
        let is_responding = self.now - progress.last_response_tick < MIN_ELECTION_TICKS;
        let may_send_data = match &mut progress.mode {
            ReplicationMode::Probe { is_sent } | ReplicationMode::Snapshot { is_sent, .. } => {
                !std::mem::replace(is_sent, true) || (needs_heartbeat && is_responding)
            }
            ReplicationMode::Pipeline => {
                prev_index.saturating_sub(progress.match_index) < MAX_IN_FLIGHT_ENTRIES
                    && progress.in_flight_bytes < MAX_IN_FLIGHT_BYTES
            }
        };
        if let ReplicationMode::Snapshot {
            snapshot, offset, ..
        } = &progress.mode
        {
            if may_send_data || needs_heartbeat {
                let size = if may_send_data { MAX_CHUNK_BYTES } else { 0 };
                let body = snapshot_chunk(snapshot, *offset, size, round);
                self.send(to, body);
            }
            return false;
        }
        let is_pipelined = matches!(progress.mode, ReplicationMode::Pipeline);
        if !needs_heartbeat && (!may_send_data || (is_pipelined && prev_index >= last)) {
            return false;
        }
        let mut entries = Vec::new();
        if may_send_data {
            entries = self
                .log
                .batch(progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES);
        }
        if is_pipelined {
            progress.next_index += entries.len() as u64;
            progress.in_flight_bytes += entries.iter().map(Entry::size).sum::<usize>();
        }
        let has_more = is_pipelined && !entries.is_empty();
        let body = MessageBody::AppendEntries {
            prev_index,
            prev_term: prev_term.expect("the previous entry is in the log"),
            entries,
            commit,
            round,
        };
        self.send(to, body);
        has_more
    }

    /// Records that a member responded in this term. Returns false if the response must be ignored:
    /// the sender is not in the configuration, or its disk changed and it is refused.
    fn record_response(&mut self, from: MemberId, disk: DiskId, round: u64) -> bool {
        let now = self.now;
        let progress = self
            .leader_state_mut()
            .and_then(|l| l.progress.get_mut(&from));
        let Some(progress) = progress else {
            return false;
        };
        if *progress.disk.get_or_insert(disk) != disk {
            let reason = MemberRefusal::LostDisk;
            self.send(from, MessageBody::Refuse { disk, reason });
            return false;
        }
        progress.last_response_tick = now;
        progress.round = progress.round.max(round);
        self.finish_read_round();
        true
    }

    pub(super) fn handle_append_accepted(
        &mut self,
        from: MemberId,
        disk: DiskId,
        acknowledged_index: u64,
        round: u64,
    ) {
        if !self.record_response(from, disk, round) {
            return;
        }
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        if let Some(progress) = leader_state.progress.get_mut(&from) {
            let newly_matched = progress.match_index + 1..=acknowledged_index;
            let sizes = newly_matched.filter_map(|i| self.log.get(i).map(Entry::size));
            progress.in_flight_bytes = progress.in_flight_bytes.saturating_sub(sizes.sum());
            progress.match_index = progress.match_index.max(acknowledged_index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            if progress.next_index == progress.match_index + 1 {
                progress.in_flight_bytes = 0;
            }
            let needs_more = matches!(&progress.mode,
                ReplicationMode::Snapshot { snapshot, .. } if snapshot.index > progress.match_index);
            if !needs_more {
                progress.mode = ReplicationMode::Pipeline;
            }
        }
        self.advance_leader_commit();
    }

    pub(super) fn handle_append_rejected(
        &mut self,
        from: MemberId,
        disk: DiskId,
        prev_index: u64,
        hint_index: u64,
        round: u64,
    ) {
        if !self.record_response(from, disk, round) {
            return;
        }
        let progress = self
            .leader_state_mut()
            .and_then(|l| l.progress.get_mut(&from));
        let Some(progress) = progress else {
            return;
        };
        let is_outdated = prev_index <= progress.match_index || prev_index >= progress.next_index;
        if is_outdated || matches!(progress.mode, ReplicationMode::Snapshot { .. }) {
            return;
        }
        let next_index = prev_index.min(hint_index + 1);
        progress.next_index = next_index.max(progress.match_index + 1);
        progress.in_flight_bytes = 0;
        progress.mode = ReplicationMode::Probe { is_sent: false };
    }

    pub(super) fn handle_snapshot_chunk_reply(
        &mut self,
        from: MemberId,
        disk: DiskId,
        index: u64,
        received_bytes: u64,
        round: u64,
    ) {
        if !self.record_response(from, disk, round) {
            return;
        }
        let progress = self
            .leader_state_mut()
            .and_then(|l| l.progress.get_mut(&from));
        if let Some(Progress {
            mode:
                ReplicationMode::Snapshot {
                    snapshot,
                    offset,
                    is_sent,
                },
            ..
        }) = progress
            && snapshot.index == index
            && *offset != received_bytes
        {
            *offset = received_bytes.min(snapshot.data.len() as u64);
            *is_sent = false;
        }
    }
}

fn snapshot_chunk(snapshot: &Snapshot, offset: u64, size: usize, round: u64) -> MessageBody {
    let start = offset as usize;
    let end = snapshot.data.len().min(start + size);
    MessageBody::SnapshotChunk {
        index: snapshot.index,
        term: snapshot.term,
        configuration: snapshot.configuration.clone(),
        total_bytes: snapshot.data.len() as u64,
        offset,
        data: SharedBytes::new(&snapshot.data[start..end]),
        round,
    }
}
