//! The deterministic consensus core. Its inputs are messages, ticks and completed writes; its
//! outputs are messages, writes and committed entries. It has no clock and no I/O, and its only
//! source of randomness is a seeded generator.

mod bootstrap;
mod election;
mod follower;
mod leader;
mod membership;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wasabipoint_kernel::MemberId;

use crate::api::{MemberStatus, ProposeError, ReplicaStatus, Role};
use crate::entry::{
    Compaction, Configuration, DiskId, Entry, HardState, Payload, RecoveredState, SharedBytes,
    Snapshot, Write,
};
use crate::log::Log;
use crate::message::{MemberRefusal, Message, MessageBody};
use follower::IncomingSnapshot;
use leader::LeaderState;

/// Minimum election timeout in ticks. The timeout is chosen at random up to twice this value.
pub const MIN_ELECTION_TICKS: u64 = 10;
/// Ticks between heartbeats. Short enough that several must be lost before an election starts.
pub(crate) const HEARTBEAT_INTERVAL_TICKS: u64 = 2;
/// Size of entries that are not committed, or not durable on the own disk, above which a leader
/// rejects proposals, so that it does not exhaust its memory without a quorum or while its disk
/// stalls.
const MAX_PENDING_BYTES: usize = 16 * 1_024 * 1_024;

/// Settings of [`Core`].
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// This member.
    pub member: MemberId,
    /// Id of its disk.
    pub disk: DiskId,
    /// The initial voters of the cluster.
    pub initial_members: Vec<MemberId>,
    /// Whether this member joins an existing cluster as a learner.
    pub is_joining: bool,
    /// Entries kept in the log before a snapshot, so that a slow member can catch up without one.
    pub trailing_entries: u64,
    /// Maximum size of these entries in bytes.
    pub trailing_bytes: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
}

/// A change to the state machine. Changes are returned in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Applies a committed entry.
    Apply(Entry),
    /// Replaces the state with a snapshot.
    Restore(Arc<Snapshot>),
}

/// Result of a read request, by its id: the index that must be applied before the read, or the
/// error.
pub type ReadResult = (u64, Result<u64, ProposeError>);

#[derive(Debug)]
enum State {
    Follower,
    /// Collects pre-votes.
    PreCandidate(BTreeMap<MemberId, bool>),
    /// Collects votes.
    Candidate(BTreeMap<MemberId, bool>),
    Leader(LeaderState),
}

/// An appended entry that is not durable yet.
#[derive(Debug)]
struct PendingAppend {
    /// The batch that writes the entry.
    batch: u64,
    index: u64,
    bytes: usize,
}

/// One member's consensus state.
#[derive(Debug)]
pub struct Core {
    config: CoreConfig,
    rng: StdRng,
    hard_state: HardState,
    /// Initial members that have durably recorded this member's disk id.
    acknowledged_by: BTreeSet<MemberId>,
    /// Initial members that lost their disks before this member bootstrapped.
    members_with_lost_disk: BTreeSet<MemberId>,
    /// Why the other members refuse this one.
    refusal: Option<MemberRefusal>,
    log: Log,
    /// Configurations with the index of their entry. The first one took effect at or before the
    /// commit index.
    configurations: VecDeque<(u64, Configuration)>,
    snapshot: Option<Arc<Snapshot>>,
    incoming_snapshot: Option<IncomingSnapshot>,
    state: State,
    leader: Option<MemberId>,
    /// Index of the last committed entry.
    commit: u64,
    /// Size of the committed entries after the latest snapshot.
    committed_bytes_since_snapshot: u64,
    /// Ticks since the start.
    now: u64,
    /// Ticks since the election timer was reset.
    election_elapsed: u64,
    /// Ticks after which the election timer expires.
    election_timeout: u64,
    /// Index of the last entry that this member stores durably.
    durable_index: u64,
    /// Appended entries that are not durable yet.
    pending_appends: VecDeque<PendingAppend>,
    /// Size of these entries.
    nondurable_bytes: usize,
    /// Writes of the open batch.
    writes: Vec<Write>,
    /// Number of the batch that collects the queued writes.
    open_batch: u64,
    /// The last batch that is durable.
    durable_batch: u64,
    /// The batch that writes the latest hard state.
    hard_state_batch: u64,
    /// Messages with the batch of writes that must be durable before they are sent.
    deferred_messages: VecDeque<(u64, Message)>,
    messages: Vec<Message>,
    effects: Vec<Effect>,
    read_results: Vec<ReadResult>,
}

impl Core {
    /// Creates the core of a member from its durable state.
    pub fn new(config: CoreConfig, recovered: RecoveredState) -> Self {
        let snapshot = recovered.snapshot;
        let commit = snapshot.as_ref().map_or(0, |s| s.index);
        let first = match &snapshot {
            Some(snapshot) => (snapshot.index, snapshot.configuration.clone()),
            None => (
                0,
                recovered.hard_state.bootstrap.clone().unwrap_or_default(),
            ),
        };
        let log = Log::new(recovered.base_index, recovered.base_term, recovered.entries);
        let mut core = Self {
            rng: StdRng::seed_from_u64(config.seed),
            hard_state: recovered.hard_state,
            acknowledged_by: BTreeSet::new(),
            members_with_lost_disk: BTreeSet::new(),
            refusal: None,
            configurations: VecDeque::from([first]),
            incoming_snapshot: None,
            state: State::Follower,
            leader: None,
            commit,
            committed_bytes_since_snapshot: 0,
            now: 0,
            election_elapsed: 0,
            election_timeout: 0,
            durable_index: log.last_index(),
            pending_appends: VecDeque::new(),
            nondurable_bytes: 0,
            writes: Vec::new(),
            open_batch: 1,
            durable_batch: 0,
            hard_state_batch: 0,
            deferred_messages: VecDeque::new(),
            messages: Vec::new(),
            effects: snapshot.iter().cloned().map(Effect::Restore).collect(),
            read_results: Vec::new(),
            snapshot,
            log,
            config,
        };
        // After a crash between the replacements of the snapshot and the log file, the stored term
        // can be older than that of the snapshot.
        if core.hard_state.term < core.log.last_term() {
            core.hard_state.term = core.log.last_term();
            core.hard_state.vote = None;
        }
        core.load_configurations();
        core.reset_election_timer();
        core.bootstrap_if_ready();
        core
    }

    /// Adds the configurations that are in the log.
    fn load_configurations(&mut self) {
        let after = self.configurations[0].0;
        for entry in self.log.iter().filter(|entry| entry.index > after) {
            if let Payload::Configuration(configuration) = &entry.payload {
                self.configurations
                    .push_back((entry.index, configuration.clone()));
            }
        }
    }

    /// Advances the logical clock by one tick.
    pub fn tick(&mut self) {
        self.now += 1;
        if !self.is_bootstrapped() {
            self.send_hellos();
            return;
        }
        self.election_elapsed += 1;
        if let State::Leader(_) = self.state {
            self.tick_leader();
        } else if self.election_elapsed >= self.election_timeout && self.may_campaign() {
            self.start_pre_vote();
        }
    }

    /// Handles a message, which may be duplicated, delayed or out of order.
    pub fn receive(&mut self, message: Message) {
        if message.to != self.config.member || self.refusal.is_some() {
            return;
        }
        match message.body {
            MessageBody::Hello => return self.handle_hello(message.from, message.disk),
            MessageBody::HelloReply => return self.handle_hello_reply(message.from, message.disk),
            MessageBody::Refuse { disk, reason } => {
                if disk == self.config.disk {
                    self.refusal = Some(reason);
                }
                return;
            }
            _ => {}
        }
        if !self.is_bootstrapped() || !self.is_sender_allowed(message.from, message.disk) {
            return;
        }
        if message.term > self.hard_state.term && !self.handle_newer_term(&message) {
            return;
        }
        if message.term < self.hard_state.term {
            return self.reply_to_stale_term(&message);
        }
        self.dispatch(message);
    }

    fn dispatch(&mut self, message: Message) {
        let Message {
            from, disk, term, ..
        } = message;
        match message.body {
            MessageBody::PreVoteRequest {
                last_index,
                last_term,
            } => self.handle_pre_vote_request(from, term, last_index, last_term),
            MessageBody::PreVoteReply { is_granted } => self.count_pre_vote(from, term, is_granted),
            MessageBody::VoteRequest {
                last_index,
                last_term,
            } => self.handle_vote_request(from, last_index, last_term),
            MessageBody::VoteReply { is_granted } => self.count_vote(from, is_granted),
            MessageBody::AppendEntries { .. } => self.handle_append_entries(from, message.body),
            MessageBody::SnapshotChunk { .. } => self.handle_snapshot_chunk(from, message.body),
            MessageBody::AppendAccepted { match_index, round } => {
                self.handle_append_accepted(from, disk, match_index, round);
            }
            MessageBody::AppendRejected {
                prev_index,
                hint_index,
                round,
            } => self.handle_append_rejected(from, disk, prev_index, hint_index, round),
            MessageBody::SnapshotChunkReply {
                index,
                received_bytes,
                round,
            } => self.handle_snapshot_chunk_reply(from, disk, index, received_bytes, round),
            MessageBody::Hello | MessageBody::HelloReply | MessageBody::Refuse { .. } => {}
        }
    }

    /// Appends a command if this member is the leader; returns the index of the entry, whose term
    /// is the current one.
    pub fn propose(&mut self, command: SharedBytes) -> Result<u64, ProposeError> {
        let State::Leader(leader_state) = &self.state else {
            return Err(self.not_leader());
        };
        if leader_state.uncommitted_bytes.max(self.nondurable_bytes) > MAX_PENDING_BYTES {
            return Err(ProposeError::Overloaded);
        }
        Ok(self.append(Payload::Command(command)))
    }

    /// Queues the messages that result from the inputs since the last call. Calling it once per
    /// batch of inputs lets them share messages, writes and read rounds.
    pub fn flush(&mut self) {
        if let State::Leader(_) = self.state {
            self.flush_leader();
        }
    }

    /// Takes the queued writes as one batch with its number. Batches must become durable in order.
    pub fn take_writes(&mut self) -> Option<(u64, Vec<Write>)> {
        if self.writes.is_empty() {
            return None;
        }
        self.open_batch += 1;
        Some((self.open_batch - 1, std::mem::take(&mut self.writes)))
    }

    /// Records that a batch of writes and all earlier ones are durable.
    pub fn complete_writes(&mut self, batch: u64) {
        self.durable_batch = batch;
        while let Some(append) = self.pending_appends.pop_front_if(|a| a.batch <= batch) {
            self.durable_index = self.durable_index.max(append.index);
            self.nondurable_bytes -= append.bytes;
        }
        while let Some((_, message)) = self.deferred_messages.pop_front_if(|(at, _)| *at <= batch) {
            if message.to == self.config.member {
                self.receive(message);
            } else {
                self.messages.push(message);
            }
        }
        self.advance_leader_commit();
    }

    /// Takes the messages that may be sent now.
    pub fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.messages)
    }

    /// Takes the changes to the state machine.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes the results of read requests. They are valid once all earlier effects are applied.
    pub fn take_read_results(&mut self) -> Vec<ReadResult> {
        std::mem::take(&mut self.read_results)
    }

    /// Returns why the other members refuse this one permanently.
    pub fn refusal(&self) -> Option<MemberRefusal> {
        self.refusal
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns whether this member is the leader of its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// Returns the index of the last entry in the latest snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Returns the size in bytes of the committed entries after the latest snapshot.
    pub fn committed_bytes_since_snapshot(&self) -> u64 {
        self.committed_bytes_since_snapshot
    }

    /// Returns the number and the size in bytes of the entries in the log.
    pub fn log_size(&self) -> (usize, u64) {
        let sizes = self.log.iter().map(|entry| entry.size() as u64);
        sizes.fold((0, 0), |(count, bytes), size| (count + 1, bytes + size))
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> &Configuration {
        let (_, configuration) = self.configurations.back().expect("there is always one");
        configuration
    }

    /// Replaces the log up to a committed entry with a snapshot of the state after it.
    pub fn compact(&mut self, index: u64, data: SharedBytes) {
        assert!(index <= self.commit, "only committed state is compacted");
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        while self.configurations.len() > 1 && self.configurations[1].0 <= index {
            self.configurations.pop_front();
        }
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            configuration: self.configurations[0].1.clone(),
            data,
        });
        self.snapshot = Some(Arc::clone(&snapshot));
        let (entries, bytes) = (self.config.trailing_entries, self.config.trailing_bytes);
        self.log
            .compact_to(self.log.trailing_base(index, entries, bytes));
        let remaining = self.log.range(index + 1..=self.commit);
        self.committed_bytes_since_snapshot = remaining.map(|entry| entry.size() as u64).sum();
        self.write_snapshot(snapshot);
    }

    /// Returns the observable state.
    pub fn status(&self) -> ReplicaStatus {
        let configuration = self.configuration();
        let role = match &self.state {
            State::Leader(_) => Role::Leader,
            State::PreCandidate(_) | State::Candidate(_) => Role::Candidate,
            State::Follower if self.is_voter() => Role::Follower,
            State::Follower => Role::Learner,
        };
        let members = configuration.members().map(|member| {
            let (match_index, is_responding) = self.replication_of(member);
            MemberStatus {
                member,
                is_voter: configuration.voters.contains_key(&member),
                match_index,
                is_responding,
                address: configuration.addresses.get(&member).copied(),
            }
        });
        let mut members: Vec<_> = members.collect();
        members.sort_by_key(|status| status.member);
        ReplicaStatus {
            member: self.config.member,
            role,
            term: self.hard_state.term,
            leader: self.leader,
            commit_index: self.commit,
            applied_index: self.commit,
            members,
            remaining_redundancy: self.remaining_redundancy(),
            is_stopped: false,
            fault: None,
            is_refused_by_peers: self.refusal.is_some(),
        }
    }

    fn is_voter(&self) -> bool {
        self.configuration()
            .voters
            .contains_key(&self.config.member)
    }

    /// Returns whether this member is a voter in the current configuration or, while that is not
    /// known to be committed, in an earlier one. If a leader fails while it removes itself, its log
    /// may be the only one that is up to date enough to win an election.
    fn may_campaign(&self) -> bool {
        let newest_first = self.configurations.iter().rev();
        let uncommitted = newest_first.clone().take_while(|(at, _)| *at > self.commit);
        let relevant = newest_first.take(uncommitted.count() + 1);
        let own = self.config.member;
        relevant
            .into_iter()
            .any(|(_, c)| c.voters.contains_key(&own))
    }

    fn not_leader(&self) -> ProposeError {
        ProposeError::NotLeader {
            leader: self.leader.filter(|leader| *leader != self.config.member),
        }
    }

    fn message(&self, to: MemberId, term: u64, body: MessageBody) -> Message {
        Message {
            from: self.config.member,
            disk: self.config.disk,
            to,
            term,
            body,
        }
    }

    /// Sends a message that does not depend on pending writes.
    fn send(&mut self, to: MemberId, body: MessageBody) {
        let message = self.message(to, self.hard_state.term, body);
        self.messages.push(message);
    }

    /// Sends a message once all writes queued so far are durable.
    fn send_when_durable(&mut self, to: MemberId, term: u64, body: MessageBody) {
        let message = self.message(to, term, body);
        let batch = if self.writes.is_empty() {
            self.open_batch - 1
        } else {
            self.open_batch
        };
        if batch <= self.durable_batch && to != self.config.member {
            self.messages.push(message);
        } else {
            self.deferred_messages.push_back((batch, message));
        }
    }

    fn write_hard_state(&mut self) {
        self.hard_state_batch = self.open_batch;
        self.writes.push(Write::Hard(self.hard_state.clone()));
    }

    /// Queues the replacement of snapshot and log. It contains everything that the queued writes of
    /// the open batch would make durable.
    fn write_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.writes.clear();
        let (base_index, base_term) = self.log.base();
        self.writes.push(Write::Snapshot(Box::new(Compaction {
            snapshot,
            hard_state: self.hard_state.clone(),
            base_index,
            base_term,
            entries: self.log.iter().cloned().collect(),
        })));
    }

    fn push_pending_append(&mut self, index: u64, bytes: usize) {
        self.nondurable_bytes += bytes;
        self.pending_appends.push_back(PendingAppend {
            batch: self.open_batch,
            index,
            bytes,
        });
    }

    /// Appends an entry to the log and queues its write.
    fn push_entry(&mut self, entry: Entry) {
        if let Payload::Configuration(configuration) = &entry.payload {
            self.configurations
                .push_back((entry.index, configuration.clone()));
        }
        self.push_pending_append(entry.index, entry.size());
        self.writes.push(Write::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Removes uncommitted entries that conflict with the leader's log.
    fn truncate_from(&mut self, index: u64) {
        assert!(index > self.commit, "committed entries are never removed");
        self.log.truncate_from(index);
        while self
            .configurations
            .back()
            .is_some_and(|(at, _)| *at >= index)
        {
            self.configurations.pop_back();
        }
        self.durable_index = self.durable_index.min(index - 1);
        for append in &mut self.pending_appends {
            append.index = append.index.min(index - 1);
        }
    }

    /// Commits all entries up to an index, which must be in the log.
    fn advance_commit(&mut self, index: u64) {
        for next in self.commit + 1..=index {
            let entry = self
                .log
                .get(next)
                .expect("committed entries are in the log");
            self.committed_bytes_since_snapshot += entry.size() as u64;
            self.effects.push(Effect::Apply(entry.clone()));
        }
        self.commit = self.commit.max(index);
    }

    fn reset_election_timer(&mut self) {
        self.election_elapsed = 0;
        self.election_timeout = self
            .rng
            .random_range(MIN_ELECTION_TICKS..2 * MIN_ELECTION_TICKS);
    }
}
