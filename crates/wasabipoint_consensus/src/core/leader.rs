//! Replication, commit and read barrier on the leader.

use std::collections::BTreeMap;
use std::sync::Arc;

use wasabipoint_kernel::MemberId;

use super::{Core, ELECTION_TICKS, HEARTBEAT_TICKS, State};
use crate::api::ProposeError;
use crate::entry::{DiskId, Entry, Payload, SharedBytes, Snapshot};
use crate::message::{Body, Refusal};

/// Largest part of a snapshot in one message.
pub(super) const CHUNK_BYTES: usize = 256 * 1_024;
/// Entries in one message; bounds the work of one step.
const BATCH_ENTRIES: usize = 512;
/// Bytes of entries in one message, except that one entry always fits.
const BATCH_BYTES: usize = 256 * 1_024;
/// Entries sent to one member before its confirmation.
const WINDOW_ENTRIES: u64 = 4_096;
/// Bytes of entries sent to one member before its confirmation; bounds the transport's memory.
const WINDOW_BYTES: usize = 1_024 * 1_024;

/// State of a leader in its term.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    pub(super) progress: BTreeMap<MemberId, Progress>,
    pub(super) uncommitted_bytes: usize,
    /// Commit indexes at the last two heartbeats. A member that lacks the older one is behind,
    /// not only a message late.
    settled: (u64, u64),
    round: u64,
    running_read: Option<ReadRound>,
    waiting_reads: Vec<u64>,
}

/// Read requests that one heartbeat round confirms.
#[derive(Debug)]
struct ReadRound {
    index: u64,
    requests: Vec<u64>,
}

/// What the leader knows of another member.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) match_index: u64,
    next_index: u64,
    in_flight_bytes: usize,
    flow: Flow,
    round: u64,
    last_heard: u64,
    /// The disk that a learner first answered with.
    pub(super) disk: Option<DiskId>,
    is_heartbeat_due: bool,
}

#[derive(Debug)]
enum Flow {
    /// The match is unknown: one message until it is answered or a heartbeat is due.
    Probe { is_sent: bool },
    /// Entries are sent ahead of their confirmation.
    Stream,
    /// The member needs entries that are only in the snapshot.
    Snapshot {
        snapshot: Arc<Snapshot>,
        offset: u64,
        is_sent: bool,
    },
}

impl Leadership {
    pub(super) fn take_reads(&mut self) -> impl Iterator<Item = u64> + use<> {
        let running = self.running_read.take().map(|round| round.requests);
        let waiting = std::mem::take(&mut self.waiting_reads);
        running.unwrap_or_default().into_iter().chain(waiting)
    }

    fn is_responding(&self, member: MemberId, now: u64) -> bool {
        let progress = self.progress.get(&member);
        progress.is_some_and(|p| now - p.last_heard < ELECTION_TICKS)
    }

    fn require_heartbeats(&mut self) {
        for progress in self.progress.values_mut() {
            progress.is_heartbeat_due = true;
        }
    }
}

impl Core {
    fn leadership(&self) -> Option<&Leadership> {
        match &self.state {
            State::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.state {
            State::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    /// Adds and removes members so that progress is kept for exactly the other members.
    pub(super) fn sync_progress(&mut self) {
        let (now, next_index) = (self.now, self.log.last_index() + 1);
        let own = self.config.member;
        let members: Vec<_> = self.configuration().members().collect();
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.progress.retain(|m, _| members.contains(m));
        for member in members.into_iter().filter(|m| *m != own) {
            leadership.progress.entry(member).or_insert(Progress {
                match_index: 0,
                next_index,
                in_flight_bytes: 0,
                flow: Flow::Probe { is_sent: false },
                round: 0,
                last_heard: now,
                disk: None,
                is_heartbeat_due: true,
            });
        }
    }

    pub(super) fn append(&mut self, payload: Payload) -> u64 {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard.term,
            payload,
        };
        let (index, size) = (entry.index, entry.size());
        if let Some(leadership) = self.leadership_mut() {
            leadership.uncommitted_bytes += size;
        }
        self.push_entry(entry);
        index
    }

    pub(super) fn tick_leader(&mut self) {
        let now = self.now;
        let commit = self.commit;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        if now.is_multiple_of(HEARTBEAT_TICKS) {
            leadership.require_heartbeats();
            leadership.settled = (leadership.settled.1, commit);
        }
        // Without a quorum this leader may have been replaced already.
        let is_responding = |core: &Self, m| core.replication_of(m).1;
        if self.count_voters(|m| is_responding(self, m)) < self.configuration().quorum() {
            self.become_follower(self.hard.term, None);
        }
    }

    fn count_voters(&self, holds: impl Fn(MemberId) -> bool) -> usize {
        let voters = self.configuration().voters.keys();
        voters.filter(|m| holds(**m)).count()
    }

    /// Returns the last durable entry of a member and whether the member responds.
    pub(super) fn replication_of(&self, member: MemberId) -> (u64, bool) {
        let Some(leadership) = self.leadership() else {
            return (0, false);
        };
        if member == self.config.member {
            return (self.durable_index, true);
        }
        let match_index = leadership.progress.get(&member).map(|p| p.match_index);
        let is_responding = leadership.is_responding(member, self.now);
        (match_index.unwrap_or(0), is_responding)
    }

    pub(super) fn remaining_redundancy(&self) -> usize {
        let Some(leadership) = self.leadership() else {
            return 0;
        };
        let settled = leadership.settled.0;
        let healthy = self.count_voters(|m| {
            let (match_index, is_responding) = self.replication_of(m);
            is_responding && match_index >= settled
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
        // An entry of an earlier term can still be overwritten although a quorum holds it.
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        let newly_committed = self.commit + 1..=index;
        let sizes = newly_committed.filter_map(|i| self.log.get(i).map(Entry::size));
        let committed_bytes: usize = sizes.sum();
        self.advance_commit(index);
        if let Some(leadership) = self.leadership_mut() {
            leadership.uncommitted_bytes =
                leadership.uncommitted_bytes.saturating_sub(committed_bytes);
        }
        let is_settled = self.configurations.back().is_some_and(|c| c.0 <= index);
        if is_settled && !self.is_voter() {
            self.become_follower(self.hard.term, None);
        }
    }

    /// Returns whether an entry of the leader's own term is committed. Only then does its commit
    /// index cover everything that earlier leaders acknowledged.
    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.hard.term)
    }

    /// Registers a read request; its answer follows from `take_reads`.
    pub fn request_read(&mut self, request: u64) -> Result<(), ProposeError> {
        let error = self.not_leader();
        let leadership = self.leadership_mut().ok_or(error)?;
        leadership.waiting_reads.push(request);
        Ok(())
    }

    fn start_read_round(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let index = self.commit;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        if leadership.running_read.is_none() && !leadership.waiting_reads.is_empty() {
            leadership.round += 1;
            leadership.running_read = Some(ReadRound {
                index,
                requests: std::mem::take(&mut leadership.waiting_reads),
            });
            leadership.require_heartbeats();
        }
    }

    fn finish_read_round(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let confirms = |m: MemberId| {
            let progress = leadership.progress.get(&m);
            m == self.config.member || progress.is_some_and(|p| p.round >= leadership.round)
        };
        if self.count_voters(confirms) < self.configuration().quorum() {
            return;
        }
        if let Some(round) = self.leadership_mut().and_then(|l| l.running_read.take()) {
            let answers = round.requests.into_iter().map(|id| (id, Ok(round.index)));
            self.reads.extend(answers);
        }
    }

    pub(super) fn flush_leader(&mut self) {
        self.start_read_round();
        self.finish_read_round();
        let members: Vec<_> = self
            .leadership()
            .map(|l| l.progress.keys().copied().collect())
            .unwrap_or_default();
        for member in members {
            while self.send_next(member) {}
        }
    }

    /// Sends the next message that a member needs; returns whether another one may follow.
    fn send_next(&mut self, to: MemberId) -> bool {
        let (commit, last) = (self.commit, self.log.last_index());
        let snapshot = self.snapshot.clone();
        let State::Leader(leadership) = &mut self.state else {
            return false;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&to) else {
            return false;
        };
        let prev_index = progress.next_index - 1;
        let prev_term = self.log.term_at(prev_index);
        if prev_term.is_none() && !matches!(progress.flow, Flow::Snapshot { .. }) {
            progress.flow = Flow::Snapshot {
                snapshot: snapshot.expect("a compacted log has a snapshot"),
                offset: 0,
                is_sent: false,
            };
        }
        let is_due = std::mem::take(&mut progress.is_heartbeat_due);
        // A member that does not answer gets no data, only heartbeats until it answers again.
        let is_responding = self.now - progress.last_heard < ELECTION_TICKS;
        let is_open = match &mut progress.flow {
            Flow::Probe { is_sent } | Flow::Snapshot { is_sent, .. } => {
                !std::mem::replace(is_sent, true) || (is_due && is_responding)
            }
            Flow::Stream => {
                prev_index.saturating_sub(progress.match_index) < WINDOW_ENTRIES
                    && progress.in_flight_bytes < WINDOW_BYTES
            }
        };
        if let Flow::Snapshot {
            snapshot, offset, ..
        } = &progress.flow
        {
            if is_open || is_due {
                let size = if is_open { CHUNK_BYTES } else { 0 };
                let body = chunk_of(snapshot, *offset, size, round);
                self.send(to, body);
            }
            return false;
        }
        let is_streaming = matches!(progress.flow, Flow::Stream);
        if !is_due && (!is_open || (is_streaming && prev_index >= last)) {
            return false;
        }
        let mut entries = Vec::new();
        if is_open {
            entries = self
                .log
                .batch(progress.next_index, BATCH_ENTRIES, BATCH_BYTES);
        }
        if is_streaming {
            progress.next_index += entries.len() as u64;
            progress.in_flight_bytes += entries.iter().map(Entry::size).sum::<usize>();
        }
        let has_more = is_streaming && !entries.is_empty();
        let body = Body::Append {
            prev_index,
            prev_term: prev_term.expect("the previous entry is in the log"),
            entries,
            commit,
            round,
        };
        self.send(to, body);
        has_more
    }

    /// Notes that a member answered in this term. Returns false for a learner whose disk changed.
    fn note_answer(&mut self, from: MemberId, disk: DiskId, round: u64) -> bool {
        let now = self.now;
        let progress = self
            .leadership_mut()
            .and_then(|l| l.progress.get_mut(&from));
        let Some(progress) = progress else {
            return false;
        };
        if *progress.disk.get_or_insert(disk) != disk {
            let reason = Refusal::LostDisk;
            self.send(from, Body::Refuse { disk, reason });
            return false;
        }
        progress.last_heard = now;
        progress.round = progress.round.max(round);
        self.finish_read_round();
        true
    }

    pub(super) fn note_appended(&mut self, from: MemberId, disk: DiskId, index: u64, round: u64) {
        if !self.note_answer(from, disk, round) {
            return;
        }
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if let Some(progress) = leadership.progress.get_mut(&from) {
            let newly_matched = progress.match_index + 1..=index;
            let sizes = newly_matched.filter_map(|i| self.log.get(i).map(Entry::size));
            progress.in_flight_bytes = progress.in_flight_bytes.saturating_sub(sizes.sum());
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            if progress.next_index == progress.match_index + 1 {
                progress.in_flight_bytes = 0;
            }
            let needs_more = matches!(&progress.flow,
                Flow::Snapshot { snapshot, .. } if snapshot.index > progress.match_index);
            if !needs_more {
                progress.flow = Flow::Stream;
            }
        }
        self.advance_leader_commit();
    }

    pub(super) fn note_rejected(
        &mut self,
        from: MemberId,
        disk: DiskId,
        prev_index: u64,
        hint_index: u64,
        round: u64,
    ) {
        if !self.note_answer(from, disk, round) {
            return;
        }
        let progress = self
            .leadership_mut()
            .and_then(|l| l.progress.get_mut(&from));
        let Some(progress) = progress else {
            return;
        };
        let is_outdated = prev_index <= progress.match_index || prev_index >= progress.next_index;
        if is_outdated || matches!(progress.flow, Flow::Snapshot { .. }) {
            return;
        }
        let next_index = prev_index.min(hint_index + 1);
        progress.next_index = next_index.max(progress.match_index + 1);
        progress.in_flight_bytes = 0;
        progress.flow = Flow::Probe { is_sent: false };
    }

    pub(super) fn note_chunk(
        &mut self,
        from: MemberId,
        disk: DiskId,
        index: u64,
        received_bytes: u64,
        round: u64,
    ) {
        if !self.note_answer(from, disk, round) {
            return;
        }
        let progress = self
            .leadership_mut()
            .and_then(|l| l.progress.get_mut(&from));
        if let Some(Progress {
            flow:
                Flow::Snapshot {
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

fn chunk_of(snapshot: &Snapshot, offset: u64, size: usize, round: u64) -> Body {
    let start = offset as usize;
    let end = snapshot.data.len().min(start + size);
    Body::Chunk {
        index: snapshot.index,
        term: snapshot.term,
        configuration: snapshot.configuration.clone(),
        total_bytes: snapshot.data.len() as u64,
        offset,
        data: SharedBytes::new(&snapshot.data[start..end]),
        round,
    }
}
