//! First contact: a member that lost its disk must not vote or confirm entries under its old id.
//!
//! A first member takes part only after every other first member has durably recorded its disk.
//! Whoever has counted a vote or confirmation of a member knows its disk, so a member that starts
//! again with an empty disk is refused as long as one of the others still has its own disk.
//!
//! A first member whose process says that it lost its disk does not come back under its old id, so
//! the others do not wait for it. It stays among the first voters with a disk that nobody has: the
//! quorum is the same for members that took part before and after the loss.

use wasabipoint_kernel::MemberId;

use super::{Core, HEARTBEAT_TICKS};
use crate::entry::{Configuration, DiskId};
use crate::message::{Body, Refusal};

impl Core {
    pub(super) fn is_admitted(&self) -> bool {
        self.hard.bootstrap.is_some()
    }

    /// Takes part at once if nobody else has to record this member's disk.
    pub(super) fn admit_if_known(&mut self) {
        if self.is_admitted() {
            return;
        }
        if self.config.is_joining {
            self.hard.bootstrap = Some(Configuration::default());
            self.write_hard_state();
            return;
        }
        if self.awaited_members().is_empty() {
            let mut voters = self.hard.met.clone();
            voters.insert(self.config.member, self.config.disk);
            for lost in &self.lost_disks {
                voters.entry(*lost).or_insert(DiskId::LOST);
            }
            let configuration = Configuration {
                voters,
                ..Configuration::default()
            };
            self.configurations[0].1 = configuration.clone();
            self.hard.bootstrap = Some(configuration);
            self.write_hard_state();
        }
    }

    /// Returns the first members that have not recorded this member's disk, while it waits for
    /// them.
    pub fn awaited_members(&self) -> Vec<MemberId> {
        if self.is_admitted() {
            return Vec::new();
        }
        let first = self.config.initial_members.iter().copied();
        let others = first.filter(|m| *m != self.config.member);
        others
            .filter(|m| !self.welcomed_by.contains(m) && !self.is_counted_lost(*m))
            .collect()
    }

    /// Notes that a first member lost its disk, as the process at its address says. It counts only
    /// until this member takes part.
    pub fn record_lost_disk(&mut self, member: MemberId) {
        let is_other =
            self.config.initial_members.contains(&member) && member != self.config.member;
        if self.is_admitted() || !is_other {
            return;
        }
        self.lost_disks.insert(member);
        self.admit_if_known();
    }

    /// Returns whether a first member need not be waited for. A quorum of the first members has to
    /// be left.
    fn is_counted_lost(&self, member: MemberId) -> bool {
        let first = self.config.initial_members.len();
        self.lost_disks.len() <= (first - 1) / 2 && self.lost_disks.contains(&member)
    }

    pub(super) fn send_hellos(&mut self) {
        if self.refusal.is_some() || !self.now.is_multiple_of(HEARTBEAT_TICKS) {
            return;
        }
        for member in self.config.initial_members.clone() {
            if member != self.config.member {
                self.send(member, Body::Hello);
            }
        }
    }

    pub(super) fn answer_hello(&mut self, from: MemberId, disk: DiskId) {
        match self.refusal_of_first_member(from, disk) {
            Some(reason) => self.send(from, Body::Refuse { disk, reason }),
            None => self.send_when_durable(from, self.hard.term, Body::Welcome),
        }
    }

    fn refusal_of_first_member(&mut self, from: MemberId, disk: DiskId) -> Option<Refusal> {
        let configuration = self.configuration();
        let known = configuration.voters.get(&from).or(self.hard.met.get(&from));
        if let Some(known) = known {
            return (*known != disk).then_some(Refusal::LostDisk);
        }
        if self.is_admitted() || !self.config.initial_members.contains(&from) {
            let is_retired = configuration.retired.contains(&from);
            return Some(if is_retired {
                Refusal::Removed
            } else {
                Refusal::NotMember
            });
        }
        self.hard.met.insert(from, disk);
        self.write_hard_state();
        None
    }

    pub(super) fn record_welcome(&mut self, from: MemberId, disk: DiskId) {
        if self.is_admitted() || !self.config.initial_members.contains(&from) {
            return;
        }
        if *self.hard.met.entry(from).or_insert(disk) == disk {
            self.welcomed_by.insert(from);
            self.write_hard_state();
            self.admit_if_known();
        }
    }

    /// Checks the sender's disk, and refuses members that were removed.
    pub(super) fn is_sender_accepted(&mut self, from: MemberId, disk: DiskId) -> bool {
        let known = self.configuration().voters.get(&from).copied();
        // An uncommitted removal can still be undone, so only a committed one refuses the member.
        let mut committed = self.configurations.iter();
        let is_removed = committed.any(|(at, c)| *at <= self.commit && c.retired.contains(&from));
        let reason = match known {
            Some(known) if known != disk => Refusal::LostDisk,
            _ if is_removed => Refusal::Removed,
            _ => return true,
        };
        self.send(from, Body::Refuse { disk, reason });
        false
    }
}
