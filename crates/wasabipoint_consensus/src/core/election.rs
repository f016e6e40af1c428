//! Leader election: terms, pre-votes and votes.

use std::collections::BTreeMap;

use wasabipoint_kernel::MemberId;

use super::leader::LeaderState;
use super::{Core, MIN_ELECTION_TICKS, State};
use crate::message::{Message, MessageBody};

impl Core {
    /// Adopts the newer term of a message, unless the message only proposes it or would disrupt an
    /// active leader. Returns whether to process the message.
    pub(super) fn handle_newer_term(&mut self, message: &Message) -> bool {
        match message.body {
            // Pre-vote requests and grants carry a proposed term, which must not be adopted.
            MessageBody::PreVoteRequest { .. } | MessageBody::PreVoteReply { is_granted: true } => {
                return true;
            }
            // A candidate that is cut off from an active leader must not disrupt it.
            MessageBody::VoteRequest { .. } if self.has_active_leader() => return false,
            MessageBody::AppendEntries { .. } | MessageBody::SnapshotChunk { .. } => {
                self.become_follower(message.term, Some(message.from));
            }
            _ => self.become_follower(message.term, None),
        }
        true
    }

    /// Replies to a message of an earlier term, so that an outdated leader or candidate learns the
    /// current term.
    pub(super) fn reply_to_stale_term(&mut self, message: &Message) {
        let body = match &message.body {
            MessageBody::AppendEntries { round, .. } | MessageBody::SnapshotChunk { round, .. } => {
                MessageBody::AppendRejected {
                    prev_index: 0,
                    hint_index: 0,
                    round: *round,
                }
            }
            MessageBody::PreVoteRequest { .. } => MessageBody::PreVoteReply { is_granted: false },
            MessageBody::VoteRequest { .. } => MessageBody::VoteReply { is_granted: false },
            _ => return,
        };
        self.send_when_durable(message.from, self.hard_state.term, body);
    }

    pub(super) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        if let State::Leader(leader_state) = &mut self.state {
            let requests = leader_state.take_pending_reads();
            self.leader = leader;
            let error = self.not_leader();
            self.read_results
                .extend(requests.map(|id| (id, Err(error))));
        }
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.write_hard_state();
            // Responses of an earlier term would be ignored by their receivers.
            self.deferred_messages
                .retain(|(_, m)| m.term >= term || matches!(m.body, MessageBody::HelloReply));
            self.incoming_snapshot = None;
        }
        self.state = State::Follower;
        self.leader = leader;
        self.reset_election_timer();
    }

    /// Returns whether this member is the leader or heard from one within the minimum election
    /// timeout.
    pub(super) fn has_active_leader(&self) -> bool {
        self.leader.is_some() && (self.is_leader() || self.election_elapsed < MIN_ELECTION_TICKS)
    }

    /// Starts a pre-vote, which checks whether an election could succeed without increasing the
    /// term.
    pub(super) fn start_pre_vote(&mut self) {
        self.leader = None;
        self.reset_election_timer();
        let votes = BTreeMap::from([(self.config.member, true)]);
        self.state = State::PreCandidate(votes);
        let body = MessageBody::PreVoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.other_voters() {
            self.send_when_durable(to, self.hard_state.term + 1, body.clone());
        }
        self.start_election_if_pre_vote_won();
    }

    fn start_election_if_pre_vote_won(&mut self) {
        if let State::PreCandidate(votes) = &self.state
            && self.count_grants(votes) >= self.configuration().quorum()
        {
            self.start_election();
        }
    }

    fn start_election(&mut self) {
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.config.member);
        self.write_hard_state();
        self.deferred_messages
            .retain(|(_, m)| matches!(m.body, MessageBody::HelloReply));
        self.reset_election_timer();
        self.state = State::Candidate(BTreeMap::new());
        let body = MessageBody::VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.other_voters() {
            self.send_when_durable(to, self.hard_state.term, body.clone());
        }
        // The candidate's own vote counts only once it is durable.
        let own = MessageBody::VoteReply { is_granted: true };
        self.send_when_durable(self.config.member, self.hard_state.term, own);
    }

    fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.configuration().voters.keys().copied();
        voters.filter(|m| *m != self.config.member).collect()
    }

    fn count_grants(&self, votes: &BTreeMap<MemberId, bool>) -> usize {
        let granted = votes.iter().filter(|(_, is_granted)| **is_granted);
        let configuration = self.configuration();
        granted
            .filter(|(m, _)| configuration.voters.contains_key(m))
            .count()
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        from: MemberId,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        let is_granted = term > self.hard_state.term
            && !self.has_active_leader()
            && self.log.is_covered_by(last_index, last_term);
        let answer_term = if is_granted {
            term
        } else {
            self.hard_state.term
        };
        self.send_when_durable(from, answer_term, MessageBody::PreVoteReply { is_granted });
    }

    pub(super) fn count_pre_vote(&mut self, from: MemberId, term: u64, is_granted: bool) {
        // A rejection carries the current term, a grant the proposed one.
        if is_granted && term != self.hard_state.term + 1 {
            return;
        }
        if let State::PreCandidate(votes) = &mut self.state {
            votes.insert(from, is_granted);
            self.start_election_if_pre_vote_won();
        }
    }

    pub(super) fn handle_vote_request(&mut self, from: MemberId, last_index: u64, last_term: u64) {
        let may_vote = match self.hard_state.vote {
            Some(vote) => vote == from,
            None => self.leader.is_none(),
        };
        let is_granted = may_vote && self.log.is_covered_by(last_index, last_term);
        if is_granted {
            if self.hard_state.vote.is_none() {
                self.hard_state.vote = Some(from);
                self.write_hard_state();
            }
            self.reset_election_timer();
        }
        self.send_when_durable(
            from,
            self.hard_state.term,
            MessageBody::VoteReply { is_granted },
        );
    }

    pub(super) fn count_vote(&mut self, from: MemberId, is_granted: bool) {
        let State::Candidate(votes) = &mut self.state else {
            return;
        };
        votes.insert(from, is_granted);
        if let State::Candidate(votes) = &self.state
            && self.count_grants(votes) >= self.configuration().quorum()
        {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.config.member);
        self.state = State::Leader(LeaderState::default());
        self.reconcile_progress();
        // Entries of earlier terms are committed only through an entry of this term, so one is
        // appended at once.
        let current = self.configuration().clone();
        self.append_configuration(current);
    }
}
