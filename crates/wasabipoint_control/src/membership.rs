//! Membership changes: joins of processes with an empty disk, promotion of learners, and removal of
//! members that stop or were replaced.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::Instant;
use wasabipoint_consensus::{MembershipChange, ReplicaStatus, Role};
use wasabipoint_kernel::{ErrorKind, MemberId};
use wasabipoint_rpc::{ControlClient, ControlRefusal, JoinReply, JoinRequest};

use crate::context::ControlContext;
use crate::identity::initial_member_id;
use crate::state::Command;

/// Interval between membership checks by the leader.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Silence after which the leader removes a learner, or a voter if the number of voters is even. It
/// is longer than a restart takes.
const REMOVE_SILENT_AFTER: Duration = Duration::from_secs(3);

/// Silence after which the leader removes a voter if the number of voters is even and all other
/// voters respond. With four voters, one of them silent, the next loss costs the quorum; with three
/// responding voters it does not.
const REMOVE_REDUNDANT_AFTER: Duration = Duration::from_secs(1);

/// Smallest number of voters that has a redundant one: three voters tolerate as many losses as
/// four.
const MIN_VOTERS_WITH_REDUNDANT: usize = 4;

/// Time limit for a stopping member to leave the membership.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

impl ControlContext {
    /// Adds a process with an empty disk as a learner and returns the members.
    pub(crate) async fn admit_learner(
        &self,
        request: &JoinRequest,
    ) -> Result<JoinReply, ControlRefusal> {
        let refusal = |error| self.member.refusal_for(error);
        let command = Command::PutMemberAddresses {
            member: request.member,
            rpc_address: request.rpc_address,
            http_address: Some(request.http_address),
        };
        self.member.propose(command).await.map_err(refusal)?;
        let status = self.member.replica().status();
        if !status.members.iter().any(|m| m.member == request.member) {
            let change = MembershipChange::AddLearner(request.member, request.rpc_address);
            let changed = self.member.replica().change_membership(change).await;
            changed.map_err(refusal)?;
            info!(self.logger, "control: a member joins as a learner";
                "member" => request.member.0, "rpc" => %request.rpc_address);
        }
        let members = status.members.iter().filter_map(|peer| {
            let address = self.member.rpc_address(peer.member)?;
            Some((peer.member, address))
        });
        Ok(JoinReply {
            members: members.collect(),
        })
    }

    /// Reports the disk of an initial member as lost if the request comes from its address under
    /// another id: only a process with an empty disk joins, and it draws a new id. A member that the
    /// platform no longer names, but the joining process, counts as lost with its VM.
    ///
    /// If it is alive after all, the others refuse it and it joins under a new id. No second group can
    /// form: a quorum is a majority of all initial members, also of those that were lost.
    pub(crate) fn report_lost_disk(&self, request: &JoinRequest) {
        let initial_id = initial_member_id(request.rpc_address);
        if initial_id != request.member {
            self.member.replica().record_lost_disk(initial_id);
        }
        for member in self.first_start.replaced_members(request.rpc_address) {
            self.member.replica().record_lost_disk(member);
        }
    }

    /// Removes a member that is about to stop, if its removal does not reduce the number of
    /// tolerated losses.
    pub(crate) async fn remove_stopping_member(
        &self,
        member: MemberId,
    ) -> Result<(), ControlRefusal> {
        let refusal = |error| self.member.refusal_for(error);
        let status = self.member.replica().status();
        let is_redundant =
            has_redundant_voter(&status) && all_other_voters_respond(&status, member);
        if status.role == Role::Leader && !is_redundant {
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
        // A leader that has removed itself can no longer commit commands.
        if member != self.member.id() {
            let address_removed = self
                .member
                .propose(Command::RemoveMemberAddresses(member))
                .await;
            address_removed.map_err(refusal)?;
        }
        Ok(())
    }

    /// Leaves the membership if that does not reduce the number of tolerated losses.
    pub(crate) async fn leave_if_redundant(&self) {
        let status = self.member.replica().status();
        let own = self.member.id();
        let is_voter = status.members.iter().any(|m| m.member == own && m.is_voter);
        if !is_voter || !has_redundant_voter(&status) {
            return;
        }
        if status.role == Role::Leader {
            let removal =
                tokio::time::timeout(LEAVE_TIMEOUT, self.remove_stopping_member(own)).await;
            info!(self.logger, "control: the stopping leader leaves the membership";
                "result" => ?removal);
            return;
        }
        let leader = status.leader;
        if let Some(leader) = leader.and_then(|leader| self.member.rpc_address(leader)) {
            let client = ControlClient::new(&[leader]);
            let response = client.call(
                Duration::ZERO,
                LEAVE_TIMEOUT,
                |client, context| async move { client.leave(context, own).await },
            );
            info!(self.logger, "control: asked the leader for removal from the membership";
                "result" => ?response.await);
        }
    }
}

/// Promotes learners and removes superseded or silent members while this member leads.
pub(crate) async fn maintain_membership(control: Arc<ControlContext>) {
    let mut silent_since: BTreeMap<MemberId, Instant> = BTreeMap::new();
    loop {
        tokio::time::sleep(MEMBERSHIP_CHECK_INTERVAL).await;
        let status = control.member.replica().status();
        if status.role != Role::Leader {
            silent_since.clear();
            continue;
        }
        if let Err(error) = control.announce_addresses().await {
            warn!(control.logger, "control: the leader's address was not committed";
                "error" => %error);
        }
        for peer in &status.members {
            if peer.is_responding || peer.member == control.member.id() {
                silent_since.remove(&peer.member);
            } else {
                silent_since.entry(peer.member).or_insert_with(Instant::now);
            }
        }
        let Some(change) = select_change(&control, &status, &silent_since) else {
            continue;
        };
        let changed = control.member.replica().change_membership(change).await;
        info!(control.logger, "control: membership change"; "change" => ?change,
            "result" => ?changed, "voters" => count_voters(&status));
        if let (Ok(()), MembershipChange::Remove(member)) = (changed, change)
            && let Err(error) = control
                .member
                .propose(Command::RemoveMemberAddresses(member))
                .await
        {
            warn!(control.logger, "control: the address of a removed member was not deleted";
                "member" => member.0, "error" => %error);
        }
    }
}

/// Returns whether all voters other than `member` respond.
fn all_other_voters_respond(status: &ReplicaStatus, member: MemberId) -> bool {
    let mut others = status.members.iter().filter(|m| m.member != member);
    others.all(|m| !m.is_voter || m.is_responding)
}

/// Returns whether removing one voter would not reduce the number of tolerated losses.
fn has_redundant_voter(status: &ReplicaStatus) -> bool {
    let count = count_voters(status);
    count >= MIN_VOTERS_WITH_REDUNDANT && count.is_multiple_of(2)
}

fn count_voters(status: &ReplicaStatus) -> usize {
    status.members.iter().filter(|m| m.is_voter).count()
}

fn select_change(
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
    // A responding voter at the same address proves that the silent member lost its disk and joined
    // again under a new id.
    let superseded = silent.clone().find(|m| {
        status.members.iter().any(|other| {
            other.member != m.member
                && other.is_voter
                && other.is_responding
                && addresses[&other.member] == addresses[&m.member]
        })
    });
    if let Some(superseded) = superseded {
        return Some(MembershipChange::Remove(superseded.member));
    }
    let is_even = count_voters(status).is_multiple_of(2);
    let removable = silent.filter(|m| {
        let limit = if m.is_voter && all_other_voters_respond(status, m.member) {
            REMOVE_REDUNDANT_AFTER
        } else {
            REMOVE_SILENT_AFTER
        };
        silent_since[&m.member].elapsed() >= limit && (is_even || !m.is_voter)
    });
    removable
        .max_by_key(|m| silent_since[&m.member].elapsed())
        .map(|m| MembershipChange::Remove(m.member))
}
