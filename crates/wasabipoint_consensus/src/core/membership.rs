//! Single-member membership changes.

use super::{Core, State};
use crate::api::{ChangeRefusal, MembershipChange, ProposeError};
use crate::entry::{Configuration, Payload};

impl Core {
    /// Appends a membership change if this member is the leader; returns the index of the entry,
    /// whose term is the current one.
    pub fn change_membership(&mut self, change: MembershipChange) -> Result<u64, ProposeError> {
        if !self.is_leader() {
            return Err(self.not_leader());
        }
        let next = self
            .next_configuration(change)
            .map_err(ProposeError::ChangeRefused)?;
        Ok(self.append_configuration(next))
    }

    /// Appends a configuration, which takes effect immediately.
    pub(super) fn append_configuration(&mut self, configuration: Configuration) -> u64 {
        let index = self.append(Payload::Configuration(configuration));
        self.reconcile_progress();
        index
    }

    fn next_configuration(&self, change: MembershipChange) -> Result<Configuration, ChangeRefusal> {
        // Without a committed entry of this term, two leaders could change different older
        // configurations, and the quorums of the results would not intersect.
        if !self.has_committed_in_term() {
            return Err(ChangeRefusal::LeaderNotReady);
        }
        if self
            .configurations
            .back()
            .is_some_and(|c| c.0 > self.commit)
        {
            return Err(ChangeRefusal::ChangeInProgress);
        }
        let mut next = self.configuration().clone();
        match change {
            MembershipChange::AddLearner(member, address) => {
                if next.retired.contains(&member) {
                    return Err(ChangeRefusal::RetiredMember);
                }
                if next.contains(member) {
                    return Err(ChangeRefusal::AlreadyMember);
                }
                next.learners.insert(member);
                next.addresses.insert(member, address);
            }
            MembershipChange::Promote(member) => {
                if !next.learners.remove(&member) {
                    return Err(ChangeRefusal::UnknownMember);
                }
                let progress = match &self.state {
                    State::Leader(leader_state) => leader_state.progress.get(&member),
                    _ => None,
                };
                let disk = progress
                    .filter(|p| p.match_index >= self.commit)
                    .and_then(|p| p.disk)
                    .ok_or(ChangeRefusal::LearnerBehind)?;
                next.voters.insert(member, disk);
            }
            MembershipChange::Remove(member) => {
                if !next.contains(member) {
                    return Err(ChangeRefusal::UnknownMember);
                }
                next.learners.remove(&member);
                next.voters.remove(&member);
                next.addresses.remove(&member);
                next.retired.insert(member);
                if next.voters.is_empty() {
                    return Err(ChangeRefusal::LastVoter);
                }
            }
        }
        Ok(next)
    }
}
