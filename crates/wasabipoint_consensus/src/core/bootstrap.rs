//! Cluster bootstrap: a member that lost its disk must not vote or acknowledge entries under its
//! old id.
//!
//! An initial member participates only after every other initial member has durably recorded its
//! disk id. Every member that counted its vote or acknowledgement therefore knows the disk id, so a
//! member that restarts with an empty disk is refused as long as one of the others still has its
//! own disk.
//!
//! An initial member that reports the loss of its disk does not return under its old id, so the
//! others do not wait for it. It remains an initial voter with a disk id that no member has: the
//! quorum size is then the same for members that bootstrapped before and after the loss.

use wasabipoint_kernel::MemberId;

use super::{Core, HEARTBEAT_INTERVAL_TICKS};
use crate::entry::{Configuration, DiskId};
use crate::message::{MemberRefusal, MessageBody};

impl Core {
    pub(super) fn is_bootstrapped(&self) -> bool {
        self.hard_state.bootstrap.is_some()
    }

    /// Bootstraps this member once no other member still has to record its disk id.
    pub(super) fn bootstrap_if_ready(&mut self) {
        if self.is_bootstrapped() {
            return;
        }
        if self.config.is_joining {
            // The leader sends the current configuration with the first entries or a snapshot.
            self.hard_state.bootstrap = Some(Configuration::default());
            self.write_hard_state();
            return;
        }
        if self.awaited_members().is_empty() {
            let mut voters = self.hard_state.known_disks.clone();
            voters.insert(self.config.member, self.config.disk);
            for lost_member in &self.members_with_lost_disk {
                voters.entry(*lost_member).or_insert(DiskId::LOST);
            }
            let configuration = Configuration {
                voters,
                ..Configuration::default()
            };
            self.configurations[0].1 = configuration.clone();
            self.hard_state.bootstrap = Some(configuration);
            self.write_hard_state();
        }
    }

    /// Returns the initial members that this member waits for before it bootstraps: they have not
    /// yet recorded its disk id.
    pub fn awaited_members(&self) -> Vec<MemberId> {
        if self.is_bootstrapped() {
            return Vec::new();
        }
        let initial = self.config.initial_members.iter().copied();
        let others = initial.filter(|m| *m != self.config.member);
        others
            .filter(|m| !self.acknowledged_by.contains(m) && !self.is_treated_as_lost(*m))
            .collect()
    }

    /// Records that an initial member lost its disk, as reported by the process at its address.
    /// This has no effect once this member has bootstrapped.
    pub fn record_lost_disk(&mut self, member: MemberId) {
        let is_other =
            self.config.initial_members.contains(&member) && member != self.config.member;
        if self.is_bootstrapped() || !is_other {
            return;
        }
        self.members_with_lost_disk.insert(member);
        self.bootstrap_if_ready();
    }

    /// Returns whether bootstrap does not wait for an initial member that lost its disk. This
    /// requires that a quorum of the initial members still have their disks.
    fn is_treated_as_lost(&self, member: MemberId) -> bool {
        let initial_count = self.config.initial_members.len();
        self.members_with_lost_disk.len() <= (initial_count - 1) / 2
            && self.members_with_lost_disk.contains(&member)
    }

    pub(super) fn send_hellos(&mut self) {
        if self.refusal.is_some() || !self.now.is_multiple_of(HEARTBEAT_INTERVAL_TICKS) {
            return;
        }
        for member in self.config.initial_members.clone() {
            if member != self.config.member {
                self.send(member, MessageBody::Hello);
            }
        }
    }

    pub(super) fn handle_hello(&mut self, from: MemberId, disk: DiskId) {
        match self.record_or_refuse_disk(from, disk) {
            Some(reason) => self.send(from, MessageBody::Refuse { disk, reason }),
            None => self.send_when_durable(from, self.hard_state.term, MessageBody::HelloReply),
        }
    }

    /// Records the disk id of an initial member on first contact. Returns the reason if the sender
    /// is refused.
    fn record_or_refuse_disk(&mut self, from: MemberId, disk: DiskId) -> Option<MemberRefusal> {
        let configuration = self.configuration();
        let known = configuration
            .voters
            .get(&from)
            .or(self.hard_state.known_disks.get(&from));
        if let Some(known) = known {
            return (*known != disk).then_some(MemberRefusal::LostDisk);
        }
        if self.is_bootstrapped() || !self.config.initial_members.contains(&from) {
            let is_retired = configuration.retired.contains(&from);
            return Some(if is_retired {
                MemberRefusal::Removed
            } else {
                MemberRefusal::NotMember
            });
        }
        self.hard_state.known_disks.insert(from, disk);
        self.write_hard_state();
        None
    }

    pub(super) fn handle_hello_reply(&mut self, from: MemberId, disk: DiskId) {
        if self.is_bootstrapped() || !self.config.initial_members.contains(&from) {
            return;
        }
        if *self.hard_state.known_disks.entry(from).or_insert(disk) == disk {
            self.acknowledged_by.insert(from);
            self.write_hard_state();
            self.bootstrap_if_ready();
        }
    }

    /// Returns whether messages of the sender are processed. A voter with another disk id than the
    /// recorded one and a removed member are refused.
    pub(super) fn is_sender_allowed(&mut self, from: MemberId, disk: DiskId) -> bool {
        let known = self.configuration().voters.get(&from).copied();
        // An uncommitted removal may still be rolled back, so only a committed one is enforced.
        let mut all_configurations = self.configurations.iter();
        let is_removed =
            all_configurations.any(|(at, c)| *at <= self.commit && c.retired.contains(&from));
        let reason = match known {
            Some(known) if known != disk => MemberRefusal::LostDisk,
            _ if is_removed => MemberRefusal::Removed,
            _ => return true,
        };
        self.send(from, MessageBody::Refuse { disk, reason });
        false
    }
}
