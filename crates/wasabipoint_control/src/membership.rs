//! Changes of the membership: joins of processes with an empty disk, promotion of learners, and
//! removal of members that leave or were replaced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::Instant;
use wasabipoint_consensus::{MembershipChange, ReplicaStatus, Role};
use wasabipoint_kernel::{ErrorKind, MemberId};
use wasabipoint_rpc::{ControlClient, ControlRefusal, JoinReply, JoinRequest};

use crate::control::ControlContext;
use crate::identity::initial_member_id;
use crate::state::Command;

/// Pause between looks at the membership.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(300);

/// Silence after which a learner, or one voter beyond an odd number, is taken for replaced. Shorter
/// silences come from restarts.
const REPLACED_AFTER: Duration = Duration::from_secs(3);

/// The same for a voter when all others respond. Four voters of which one is gone lose their quorum
/// with the next one; three do not.
const SPARE_AFTER: Duration = Duration::from_secs(1);

/// Smallest number of voters of which one may leave: three bear as many losses as four.
const SMALLEST_SPARE_SET: usize = 4;

/// Longest time for a member to leave before it stops.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

impl ControlContext {
    /// Takes a process with an empty disk as a learner and tells it the members.
    pub(crate) async fn accept_join(
        &self,
        request: &JoinRequest,
    ) -> Result<JoinReply, ControlRefusal> {
        let refusal = |error| self.member.refusal(error);
        let address = Command::PutMember {
            member: request.member,
            rpc: request.rpc,
            http: Some(request.http),
        };
        self.member.propose(address).await.map_err(refusal)?;
        let status = self.member.replica().status();
        if !status.members.iter().any(|m| m.member == request.member) {
            let change = MembershipChange::AddLearner(request.member, request.rpc);
            let changed = self.member.replica().change_membership(change).await;
            changed.map_err(refusal)?;
            info!(self.logger, "control: a member joins as a learner";
                "member" => request.member.0, "rpc" => %request.rpc);
        }
        let members = status.members.iter().filter_map(|known| {
            let address = self.member.rpc_address(known.member)?;
            Some((known.member, address))
        });
        Ok(JoinReply {
            members: members.collect(),
        })
    }

    /// Takes a join from the address of a first member as the news that its disk is lost: only a
    /// process with an empty disk joins, and it has a new id.
    pub(crate) fn note_lost_disk(&self, request: &JoinRequest) {
        let first = initial_member_id(request.rpc);
        if first != request.member {
            self.member.replica().note_lost_disk(first);
        }
    }

    /// Removes a voter that is about to stop, if the others bear as many losses without it.
    pub(crate) async fn release_member(&self, member: MemberId) -> Result<(), ControlRefusal> {
        let refusal = |error| self.member.refusal(error);
        let status = self.member.replica().status();
        let is_spare = has_spare_voter(&status) && do_others_respond(&status, member);
        if status.role == Role::Leader && !is_spare {
            return Err(ControlRefusal::Refused {
                kind: ErrorKind::Unavailable,
                detail: "the other members need this one".to_owned(),
            });
        }
        let change = MembershipChange::Remove(member);
        let changed = self.member.replica().change_membership(change).await;
        info!(self.logger, "control: a member leaves before it stops"; "member" => member.0,
            "result" => ?changed, "voters" => count_voters(&status));
        changed.map_err(refusal)?;
        // A leader that has left itself can commit no more.
        if member != self.member.id() {
            let forgotten = self.member.propose(Command::RemoveMember(member)).await;
            forgotten.map_err(refusal)?;
        }
        Ok(())
    }

    /// Leaves the membership if the other members bear as many losses without this one.
    pub(crate) async fn leave_if_redundant(&self) {
        let status = self.member.replica().status();
        let own = self.member.id();
        let is_voter = status.members.iter().any(|m| m.member == own && m.is_voter);
        if !is_voter || !has_spare_voter(&status) {
            return;
        }
        if status.role == Role::Leader {
            let released = tokio::time::timeout(LEAVE_TIMEOUT, self.release_member(own)).await;
            info!(self.logger, "control: left as the leader"; "result" => ?released);
            return;
        }
        let leader = status.leader;
        if let Some(leader) = leader.and_then(|leader| self.member.rpc_address(leader)) {
            let client = ControlClient::new(&[leader]);
            let left = client.call(
                Duration::ZERO,
                LEAVE_TIMEOUT,
                |client, context| async move { client.leave(context, own).await },
            );
            info!(self.logger, "control: asked to leave"; "result" => ?left.await);
        }
    }
}

/// Promotes learners and removes replaced members while this member leads.
pub(crate) async fn keep_membership(control: Arc<ControlContext>) {
    let mut silent_since: BTreeMap<MemberId, Instant> = BTreeMap::new();
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        let status = control.member.replica().status();
        if status.role != Role::Leader {
            silent_since.clear();
            continue;
        }
        if let Err(error) = control.announce_addresses().await {
            warn!(control.logger, "control: the leader's address was not committed";
                "error" => %error);
        }
        for known in &status.members {
            if known.is_responding || known.member == control.member.id() {
                silent_since.remove(&known.member);
            } else {
                silent_since
                    .entry(known.member)
                    .or_insert_with(Instant::now);
            }
        }
        let Some(change) = choose_change(&control, &status, &silent_since) else {
            continue;
        };
        let changed = control.member.replica().change_membership(change).await;
        info!(control.logger, "control: membership change"; "change" => ?change,
            "result" => ?changed, "voters" => count_voters(&status));
        if let (Ok(()), MembershipChange::Remove(member)) = (changed, change)
            && let Err(error) = control.member.propose(Command::RemoveMember(member)).await
        {
            warn!(control.logger, "control: the address of a removed member stays";
                "member" => member.0, "error" => %error);
        }
    }
}

/// Returns whether all voters but one respond.
fn do_others_respond(status: &ReplicaStatus, member: MemberId) -> bool {
    let mut others = status.members.iter().filter(|m| m.member != member);
    others.all(|m| !m.is_voter || m.is_responding)
}

/// Returns whether one voter less would bear as many losses.
fn has_spare_voter(status: &ReplicaStatus) -> bool {
    let count = count_voters(status);
    count >= SMALLEST_SPARE_SET && count.is_multiple_of(2)
}

fn count_voters(status: &ReplicaStatus) -> usize {
    status.members.iter().filter(|m| m.is_voter).count()
}

fn choose_change(
    control: &ControlContext,
    status: &ReplicaStatus,
    silent_since: &BTreeMap<MemberId, Instant>,
) -> Option<MembershipChange> {
    let learner = status
        .members
        .iter()
        .find(|m| !m.is_voter && m.is_responding && m.match_index >= status.commit_index);
    if let Some(learner) = learner {
        return Some(MembershipChange::Promote(learner.member));
    }
    let addresses: BTreeMap<MemberId, Option<SocketAddr>> = status
        .members
        .iter()
        .map(|m| (m.member, control.member.rpc_address(m.member)))
        .collect();
    let silent = status
        .members
        .iter()
        .filter(|m| silent_since.contains_key(&m.member));
    // A responding voter at the same address proves that the silent one lost its disk.
    let displaced = silent.clone().find(|m| {
        status.members.iter().any(|other| {
            other.member != m.member
                && other.is_voter
                && other.is_responding
                && addresses[&other.member] == addresses[&m.member]
        })
    });
    if let Some(displaced) = displaced {
        return Some(MembershipChange::Remove(displaced.member));
    }
    let is_even = count_voters(status).is_multiple_of(2);
    let replaced = silent.filter(|m| {
        let limit = if m.is_voter && do_others_respond(status, m.member) {
            SPARE_AFTER
        } else {
            REPLACED_AFTER
        };
        silent_since[&m.member].elapsed() >= limit && (is_even || !m.is_voter)
    });
    replaced
        .max_by_key(|m| silent_since[&m.member].elapsed())
        .map(|m| MembershipChange::Remove(m.member))
}
