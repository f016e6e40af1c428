//! Terms, pre-votes and votes.

use std::collections::BTreeMap;

use wasabipoint_kernel::MemberId;

use super::leader::Leadership;
use super::{Core, ELECTION_TICKS, State};
use crate::message::{Body, Message};

impl Core {
    /// Handles a message of a later term. Returns whether the message is handled further.
    pub(super) fn follow_term(&mut self, message: &Message) -> bool {
        match message.body {
            // A pre-vote and its grant carry a term that is only proposed.
            Body::PreVote { .. } | Body::PreVoteReply { is_granted: true } => return true,
            // A live leader is not deposed by a candidate that cannot hear it.
            Body::Vote { .. } if self.has_live_leader() => return false,
            Body::Append { .. } | Body::Chunk { .. } => {
                self.become_follower(message.term, Some(message.from));
            }
            _ => self.become_follower(message.term, None),
        }
        true
    }

    /// Answers a message of an earlier term, so that an outdated leader or candidate learns the
    /// current one.
    pub(super) fn answer_old_term(&mut self, message: &Message) {
        let body = match &message.body {
            Body::Append { round, .. } | Body::Chunk { round, .. } => Body::Rejected {
                prev_index: 0,
                hint_index: 0,
                round: *round,
            },
            Body::PreVote { .. } => Body::PreVoteReply { is_granted: false },
            Body::Vote { .. } => Body::VoteReply { is_granted: false },
            _ => return,
        };
        self.send_when_durable(message.from, self.hard.term, body);
    }

    pub(super) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        if let State::Leader(leadership) = &mut self.state {
            let reads = leadership.take_reads();
            self.leader = leader;
            let error = self.not_leader();
            self.reads.extend(reads.map(|id| (id, Err(error))));
        }
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.write_hard_state();
            // Answers within an earlier term are of no use to their receivers any more.
            self.held
                .retain(|(_, m)| m.term >= term || matches!(m.body, Body::Welcome));
            self.incoming = None;
        }
        self.state = State::Follower;
        self.leader = leader;
        self.reset_election_timer();
    }

    pub(super) fn has_live_leader(&self) -> bool {
        self.leader.is_some() && (self.is_leader() || self.election_elapsed < ELECTION_TICKS)
    }

    /// Asks whether an election could succeed, without raising the term.
    pub(super) fn start_pre_vote(&mut self) {
        self.leader = None;
        self.reset_election_timer();
        let votes = BTreeMap::from([(self.config.member, true)]);
        self.state = State::PreCandidate(votes);
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.other_voters() {
            self.send_when_durable(to, self.hard.term + 1, body.clone());
        }
        self.start_election_if_wanted();
    }

    fn start_election_if_wanted(&mut self) {
        if let State::PreCandidate(votes) = &self.state
            && self.count_grants(votes) >= self.configuration().quorum()
        {
            self.start_election();
        }
    }

    fn start_election(&mut self) {
        self.hard.term += 1;
        self.hard.vote = Some(self.config.member);
        self.write_hard_state();
        self.held.retain(|(_, m)| matches!(m.body, Body::Welcome));
        self.reset_election_timer();
        self.state = State::Candidate(BTreeMap::new());
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.other_voters() {
            self.send_when_durable(to, self.hard.term, body.clone());
        }
        // The own vote counts once it is durable.
        let own = Body::VoteReply { is_granted: true };
        self.send_when_durable(self.config.member, self.hard.term, own);
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

    pub(super) fn answer_pre_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last_index: u64,
        last_term: u64,
    ) {
        let is_granted = term > self.hard.term
            && !self.has_live_leader()
            && self.log.is_covered_by(last_index, last_term);
        let answer_term = if is_granted { term } else { self.hard.term };
        self.send_when_durable(from, answer_term, Body::PreVoteReply { is_granted });
    }

    pub(super) fn count_pre_vote(&mut self, from: MemberId, term: u64, is_granted: bool) {
        // A refusal has the current term, a grant the proposed one.
        if is_granted && term != self.hard.term + 1 {
            return;
        }
        if let State::PreCandidate(votes) = &mut self.state {
            votes.insert(from, is_granted);
            self.start_election_if_wanted();
        }
    }

    pub(super) fn answer_vote(&mut self, from: MemberId, last_index: u64, last_term: u64) {
        let is_free = match self.hard.vote {
            Some(vote) => vote == from,
            None => self.leader.is_none(),
        };
        let is_granted = is_free && self.log.is_covered_by(last_index, last_term);
        if is_granted {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from);
                self.write_hard_state();
            }
            self.reset_election_timer();
        }
        self.send_when_durable(from, self.hard.term, Body::VoteReply { is_granted });
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
        self.state = State::Leader(Leadership::default());
        self.sync_progress();
        // Entries of earlier terms count as committed only with an entry of this term.
        let current = self.configuration().clone();
        self.append_configuration(current);
    }
}
