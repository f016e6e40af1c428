//! The pure step function: messages, ticks and disk completions in; messages, writes and
//! committed entries out. It has no clock, no I/O and no source of randomness but its seed.

mod admission;
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
    Compaction, Configuration, DiskId, Entry, HardState, Payload, Recovered, SharedBytes, Snapshot,
    Write,
};
use crate::log::Log;
use crate::message::{Body, Message, Refusal};
use follower::IncomingSnapshot;
use leader::Leadership;

/// Shortest election timeout in ticks. The longest is twice as long.
pub const ELECTION_TICKS: u64 = 10;
/// Ticks between heartbeats. Several must be lost before an election starts.
pub(crate) const HEARTBEAT_TICKS: u64 = 2;
/// Uncommitted bytes beyond which a leader takes no proposals, so that a leader without a quorum
/// does not fill its memory.
const UNCOMMITTED_BYTES: usize = 16 * 1_024 * 1_024;

/// Settings of the step function.
#[derive(Debug, Clone)]
pub struct CoreConfig {
    /// This member.
    pub member: MemberId,
    /// Its disk.
    pub disk: DiskId,
    /// The first voters of the cluster.
    pub initial_members: Vec<MemberId>,
    /// Whether this member joins an existing cluster as a learner.
    pub is_joining: bool,
    /// Entries kept in the log before a snapshot, so that a slow member needs no snapshot.
    pub trailing_entries: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
}

/// A change of the state machine, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Applies a committed entry.
    Apply(Entry),
    /// Replaces the state by a snapshot.
    Restore(Arc<Snapshot>),
}

/// Answer to a read request: the index up to which applied state is current, or the error.
pub type ReadAnswer = (u64, Result<u64, ProposeError>);

#[derive(Debug)]
enum State {
    Follower,
    /// Collects answers to pre-votes.
    PreCandidate(BTreeMap<MemberId, bool>),
    /// Collects votes.
    Candidate(BTreeMap<MemberId, bool>),
    Leader(Leadership),
}

/// One member's consensus state.
#[derive(Debug)]
pub struct Core {
    config: CoreConfig,
    rng: StdRng,
    hard: HardState,
    welcomed_by: BTreeSet<MemberId>,
    /// First members that lost their disks before this member took part.
    lost_disks: BTreeSet<MemberId>,
    refusal: Option<Refusal>,
    log: Log,
    /// Configurations by the index of their entry; the first is in force at the commit index or
    /// before.
    configurations: VecDeque<(u64, Configuration)>,
    snapshot: Option<Arc<Snapshot>>,
    incoming: Option<IncomingSnapshot>,
    state: State,
    leader: Option<MemberId>,
    commit: u64,
    now: u64,
    election_elapsed: u64,
    election_timeout: u64,
    durable_index: u64,
    /// Last entry of each batch of writes that is not durable yet.
    marks: VecDeque<(u64, u64)>,
    writes: Vec<Write>,
    open_batch: u64,
    durable_batch: u64,
    /// The batch with the latest term and vote.
    hard_batch: u64,
    held: VecDeque<(u64, Message)>,
    messages: Vec<Message>,
    effects: Vec<Effect>,
    reads: Vec<ReadAnswer>,
}

impl Core {
    /// Creates the member from its durable state.
    pub fn new(config: CoreConfig, recovered: Recovered) -> Self {
        let snapshot = recovered.snapshot;
        let commit = snapshot.as_ref().map_or(0, |s| s.index);
        let first = match &snapshot {
            Some(snapshot) => (snapshot.index, snapshot.configuration.clone()),
            None => (0, recovered.hard.bootstrap.clone().unwrap_or_default()),
        };
        let log = Log::new(recovered.base_index, recovered.base_term, recovered.entries);
        let mut core = Self {
            rng: StdRng::seed_from_u64(config.seed),
            hard: recovered.hard,
            welcomed_by: BTreeSet::new(),
            lost_disks: BTreeSet::new(),
            refusal: None,
            configurations: VecDeque::from([first]),
            incoming: None,
            state: State::Follower,
            leader: None,
            commit,
            now: 0,
            election_elapsed: 0,
            election_timeout: 0,
            durable_index: log.last_index(),
            marks: VecDeque::new(),
            writes: Vec::new(),
            open_batch: 1,
            durable_batch: 0,
            hard_batch: 0,
            held: VecDeque::new(),
            messages: Vec::new(),
            effects: snapshot.iter().cloned().map(Effect::Restore).collect(),
            reads: Vec::new(),
            snapshot,
            log,
            config,
        };
        // After a crash between the replacements of snapshot and log, the log's term is older.
        if core.hard.term < core.log.last_term() {
            core.hard.term = core.log.last_term();
            core.hard.vote = None;
        }
        core.load_configurations();
        core.reset_election_timer();
        core.admit_if_known();
        core
    }

    fn load_configurations(&mut self) {
        let after = self.configurations[0].0;
        for entry in self.log.iter().filter(|entry| entry.index > after) {
            if let Payload::Configuration(configuration) = &entry.payload {
                self.configurations
                    .push_back((entry.index, configuration.clone()));
            }
        }
    }

    /// Advances time by one tick.
    pub fn tick(&mut self) {
        self.now += 1;
        if !self.is_admitted() {
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

    /// Takes in a message. It may be repeated, late or out of order.
    pub fn receive(&mut self, message: Message) {
        if message.to != self.config.member || self.refusal.is_some() {
            return;
        }
        match message.body {
            Body::Hello => return self.answer_hello(message.from, message.disk),
            Body::Welcome => return self.record_welcome(message.from, message.disk),
            Body::Refuse { disk, reason } => {
                if disk == self.config.disk {
                    self.refusal = Some(reason);
                }
                return;
            }
            _ => {}
        }
        if !self.is_admitted() || !self.is_sender_accepted(message.from, message.disk) {
            return;
        }
        if message.term > self.hard.term && !self.follow_term(&message) {
            return;
        }
        if message.term < self.hard.term {
            return self.answer_old_term(&message);
        }
        self.dispatch(message);
    }

    fn dispatch(&mut self, message: Message) {
        let Message {
            from, disk, term, ..
        } = message;
        match message.body {
            Body::PreVote {
                last_index,
                last_term,
            } => self.answer_pre_vote(from, term, last_index, last_term),
            Body::PreVoteReply { is_granted } => self.count_pre_vote(from, term, is_granted),
            Body::Vote {
                last_index,
                last_term,
            } => self.answer_vote(from, last_index, last_term),
            Body::VoteReply { is_granted } => self.count_vote(from, is_granted),
            Body::Append { .. } => self.accept_append(from, message.body),
            Body::Chunk { .. } => self.accept_chunk(from, message.body),
            Body::Appended { match_index, round } => {
                self.note_appended(from, disk, match_index, round);
            }
            Body::Rejected {
                prev_index,
                hint_index,
                round,
            } => self.note_rejected(from, disk, prev_index, hint_index, round),
            Body::ChunkReply {
                index,
                received_bytes,
                round,
            } => self.note_chunk(from, disk, index, received_bytes, round),
            Body::Hello | Body::Welcome | Body::Refuse { .. } => {}
        }
    }

    /// Appends a command if this member leads; returns its index in the current term.
    pub fn propose(&mut self, command: SharedBytes) -> Result<u64, ProposeError> {
        let State::Leader(leadership) = &self.state else {
            return Err(self.not_leader());
        };
        if leadership.uncommitted_bytes > UNCOMMITTED_BYTES {
            return Err(ProposeError::Overloaded);
        }
        Ok(self.append(Payload::Command(command)))
    }

    /// Sends what the inputs since the last call made necessary. Calling it once per group of
    /// inputs shares messages, writes and read rounds among them.
    pub fn flush(&mut self) {
        if let State::Leader(_) = self.state {
            self.flush_leader();
        }
    }

    /// Takes the writes issued so far as one batch. Batches must become durable in order.
    pub fn take_writes(&mut self) -> Option<(u64, Vec<Write>)> {
        if self.writes.is_empty() {
            return None;
        }
        self.open_batch += 1;
        Some((self.open_batch - 1, std::mem::take(&mut self.writes)))
    }

    /// Notes that a batch of writes and all earlier ones are durable.
    pub fn complete_writes(&mut self, batch: u64) {
        self.durable_batch = batch;
        while let Some((_, last)) = self.marks.pop_front_if(|(at, _)| *at <= batch) {
            self.durable_index = self.durable_index.max(last);
        }
        while let Some((_, message)) = self.held.pop_front_if(|(at, _)| *at <= batch) {
            if message.to == self.config.member {
                self.receive(message);
            } else {
                self.messages.push(message);
            }
        }
        self.advance_leader_commit();
    }

    /// Takes messages that may be sent now.
    pub fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.messages)
    }

    /// Takes changes of the state machine.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes answers to read requests. They are valid once all earlier effects are applied.
    pub fn take_reads(&mut self) -> Vec<ReadAnswer> {
        std::mem::take(&mut self.reads)
    }

    /// Returns why the other members refuse this one for good.
    pub fn refusal(&self) -> Option<Refusal> {
        self.refusal
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns whether this member leads its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// Returns the last entry in the latest snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        let (_, configuration) = self.configurations.back().expect("there is always one");
        configuration
    }

    /// Replaces the log up to a committed entry by a snapshot of the state after it.
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
        self.log
            .compact_to(index.saturating_sub(self.config.trailing_entries));
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
            term: self.hard.term,
            leader: self.leader,
            commit_index: self.commit,
            applied_index: self.commit,
            members,
            remaining_redundancy: self.remaining_redundancy(),
            is_stopped: false,
            fault: None,
            is_refused: self.refusal.is_some(),
        }
    }

    fn is_voter(&self) -> bool {
        self.configuration()
            .voters
            .contains_key(&self.config.member)
    }

    /// Returns whether this member is a voter in the configuration in force or, while that is not
    /// known to be committed, in one before it. A leader that fails while it removes itself may
    /// hold the only log that the remaining voters accept.
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

    fn message(&self, to: MemberId, term: u64, body: Body) -> Message {
        Message {
            from: self.config.member,
            disk: self.config.disk,
            to,
            term,
            body,
        }
    }

    /// Sends a message that depends on nothing durable.
    fn send(&mut self, to: MemberId, body: Body) {
        let message = self.message(to, self.hard.term, body);
        self.messages.push(message);
    }

    /// Sends a message once everything written so far is durable.
    fn send_when_durable(&mut self, to: MemberId, term: u64, body: Body) {
        let message = self.message(to, term, body);
        let batch = if self.writes.is_empty() {
            self.open_batch - 1
        } else {
            self.open_batch
        };
        if batch <= self.durable_batch && to != self.config.member {
            self.messages.push(message);
        } else {
            self.held.push_back((batch, message));
        }
    }

    fn write_hard_state(&mut self) {
        self.hard_batch = self.open_batch;
        self.writes.push(Write::Hard(self.hard.clone()));
    }

    fn write_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        let (base_index, base_term) = self.log.base();
        self.writes.push(Write::Snapshot(Box::new(Compaction {
            snapshot,
            hard: self.hard.clone(),
            base_index,
            base_term,
            entries: self.log.iter().cloned().collect(),
        })));
    }

    /// Adds an entry to the log and its write.
    fn push_entry(&mut self, entry: Entry) {
        if let Payload::Configuration(configuration) = &entry.payload {
            self.configurations
                .push_back((entry.index, configuration.clone()));
        }
        self.marks.push_back((self.open_batch, entry.index));
        self.writes.push(Write::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Removes entries that conflict with the leader's. They are not committed.
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
        for (_, last) in &mut self.marks {
            *last = (*last).min(index - 1);
        }
    }

    /// Commits entries up to an index that the log holds.
    fn advance_commit(&mut self, index: u64) {
        for next in self.commit + 1..=index {
            let entry = self
                .log
                .get(next)
                .expect("committed entries are in the log");
            self.effects.push(Effect::Apply(entry.clone()));
        }
        self.commit = self.commit.max(index);
    }

    fn reset_election_timer(&mut self) {
        self.election_elapsed = 0;
        self.election_timeout = self.rng.random_range(ELECTION_TICKS..2 * ELECTION_TICKS);
    }
}
