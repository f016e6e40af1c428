//! Tests of single steps of the core whose order is relevant for safety.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;

use wasabipoint_consensus::{
    ChangeRefusal, Configuration, Core, CoreConfig, DiskId, Entry, HardState, MembershipChange,
    Message, MessageBody, Payload, ProposeError, RecoveredState, SharedBytes, Write,
};
use wasabipoint_kernel::MemberId;

fn configuration() -> Configuration {
    let voters = (1..=3).map(|id| (MemberId(id), DiskId(id)));
    Configuration {
        voters: voters.collect(),
        ..Configuration::default()
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(SharedBytes::new(vec![1])),
    }
}

/// Creates member 1 of three with some entries, in the term of the last entry.
fn member(entries: Vec<Entry>) -> Core {
    let config = CoreConfig {
        member: MemberId(1),
        disk: DiskId(1),
        initial_members: (1..=3).map(MemberId).collect(),
        is_joining: false,
        trailing_entries: 0,
        trailing_bytes: 0,
        seed: 1,
    };
    let hard_state = HardState {
        term: entries.last().map_or(0, |e| e.term),
        bootstrap: Some(configuration()),
        ..HardState::default()
    };
    let recovered = RecoveredState {
        hard_state,
        entries,
        ..RecoveredState::default()
    };
    Core::new(config, recovered)
}

fn receive(core: &mut Core, from: u64, term: u64, body: MessageBody) {
    core.receive(Message {
        from: MemberId(from),
        disk: DiskId(from),
        to: MemberId(1),
        term,
        body,
    });
    core.flush();
}

fn complete_writes(core: &mut Core) {
    while let Some((batch, _)) = core.take_writes() {
        core.complete_writes(batch);
    }
    core.flush();
}

/// Elects the member as leader of the next term with the votes of all members.
fn elect(core: &mut Core) {
    while !core.is_leader() {
        core.tick();
        let term = core.term();
        for from in [2, 3] {
            let is_granted = true;
            receive(
                core,
                from,
                term + 1,
                MessageBody::PreVoteReply { is_granted },
            );
            complete_writes(core);
            let term = core.term();
            receive(core, from, term, MessageBody::VoteReply { is_granted });
        }
    }
    complete_writes(core);
    core.take_messages();
}

fn append(prev_index: u64, entries: Vec<Entry>, round: u64) -> MessageBody {
    MessageBody::AppendEntries {
        prev_index,
        prev_term: u64::from(prev_index > 0),
        entries,
        commit: 0,
        round,
    }
}

fn rounds_sent(core: &mut Core) -> Vec<u64> {
    let messages = core.take_messages().into_iter();
    let rounds = messages.filter_map(|message| match message.body {
        MessageBody::AppendEntries { round, .. } if message.to == MemberId(2) => Some(round),
        _ => None,
    });
    rounds.collect()
}

/// Guards against a member that votes twice in a term because it restarts before its vote is
/// durable.
#[test]
fn a_vote_is_answered_once_it_is_durable() {
    let mut core = member(Vec::new());
    let (last_index, last_term) = (0, 0);
    let body = MessageBody::VoteRequest {
        last_index,
        last_term,
    };
    receive(&mut core, 2, 1, body);
    assert_eq!(core.take_messages(), []);
    complete_writes(&mut core);
    let responses = core.take_messages();
    assert!(matches!(
        responses[..],
        [Message {
            body: MessageBody::VoteReply { is_granted: true },
            ..
        }]
    ));
}

/// Guards against an acknowledgement of an entry that a crash can lose, and against a heartbeat
/// that is delayed by a write in progress.
#[test]
fn an_append_is_acknowledged_once_it_is_durable() {
    let mut core = member(vec![entry(1, 1)]);
    receive(&mut core, 2, 1, append(1, vec![entry(2, 1)], 1));
    assert_eq!(core.take_messages(), []);
    receive(&mut core, 2, 1, append(2, Vec::new(), 2));
    let acknowledged = |core: &mut Core| {
        let messages = core.take_messages().into_iter();
        let bodies = messages.map(|message| match message.body {
            MessageBody::AppendAccepted { match_index, round } => (match_index, round),
            body => panic!("{body:?}"),
        });
        bodies.collect::<Vec<_>>()
    };
    assert_eq!(acknowledged(&mut core), [(1, 2)]);
    complete_writes(&mut core);
    assert_eq!(acknowledged(&mut core), [(2, 1)]);
}

/// Guards against a leader that commits an entry of an earlier term as soon as a quorum stores it.
/// Another leader could still overwrite that entry.
#[test]
fn an_entry_of_an_earlier_term_commits_only_with_one_of_the_current_term() {
    let mut core = member(vec![entry(1, 1), entry(2, 1)]);
    elect(&mut core);
    let term = core.term();
    let append_accepted = |match_index| MessageBody::AppendAccepted {
        match_index,
        round: 0,
    };
    receive(&mut core, 2, term, append_accepted(2));
    assert_eq!(core.commit_index(), 0);
    let not_ready = Err(ProposeError::ChangeRefused(ChangeRefusal::LeaderNotReady));
    let change = MembershipChange::Remove(MemberId(3));
    assert_eq!(core.change_membership(change), not_ready);
    receive(&mut core, 2, term, append_accepted(3));
    assert_eq!(core.commit_index(), 3);
}

/// Guards against two concurrent changes, whose quorums may not intersect.
#[test]
fn a_second_membership_change_waits_for_the_first() {
    let mut core = member(Vec::new());
    elect(&mut core);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let change = |core: &mut Core, id| {
        core.change_membership(MembershipChange::AddLearner(MemberId(id), address))
    };
    let in_progress = Err(ProposeError::ChangeRefused(ChangeRefusal::ChangeInProgress));
    let append_accepted = |match_index| MessageBody::AppendAccepted {
        match_index,
        round: 0,
    };
    let term = core.term();
    receive(&mut core, 2, term, append_accepted(1));
    assert_eq!(change(&mut core, 4), Ok(2));
    assert_eq!(change(&mut core, 5), in_progress);
    complete_writes(&mut core);
    receive(&mut core, 2, term, append_accepted(2));
    assert_eq!(change(&mut core, 5), Ok(3));
}

/// Guards against reads that each require their own round of messages, and against a read that is
/// confirmed by a round that started before it.
#[test]
fn concurrent_reads_share_a_round_that_starts_after_them() {
    let mut core = member(Vec::new());
    elect(&mut core);
    let term = core.term();
    let append_accepted = |round| MessageBody::AppendAccepted {
        match_index: 1,
        round,
    };
    receive(&mut core, 2, term, append_accepted(0));
    rounds_sent(&mut core);
    for request in 1..=100 {
        core.request_read(request)
            .expect("the member is the leader");
    }
    core.flush();
    assert_eq!(rounds_sent(&mut core), [1]);
    core.request_read(101).expect("the member is the leader");
    core.flush();
    assert_eq!(core.take_read_results(), []);
    receive(&mut core, 2, term, append_accepted(1));
    assert_eq!(core.take_read_results().len(), 100);
    receive(&mut core, 3, term, append_accepted(1));
    assert_eq!(core.take_read_results(), []);
    receive(&mut core, 2, term, append_accepted(2));
    assert_eq!(core.take_read_results(), [(101, Ok(1))]);
}

/// Creates member 1 of the given number of initial members at its first start.
fn initial_member(members: u64) -> Core {
    let config = CoreConfig {
        member: MemberId(1),
        disk: DiskId(1),
        initial_members: (1..=members).map(MemberId).collect(),
        is_joining: false,
        trailing_entries: 0,
        trailing_bytes: 0,
        seed: 1,
    };
    Core::new(config, RecoveredState::default())
}

/// Guards against an initial member that waits forever for one whose disk is lost, and against a
/// smaller quorum than that of a member that bootstrapped before the loss.
#[test]
fn bootstrap_does_not_wait_for_a_member_with_a_lost_disk() {
    let mut core = initial_member(3);
    core.record_lost_disk(MemberId(2));
    assert_eq!(core.awaited_members(), [MemberId(3)]);
    receive(&mut core, 3, 0, MessageBody::HelloReply);
    complete_writes(&mut core);
    assert_eq!(core.awaited_members(), []);
    assert_eq!(core.configuration().voters.len(), 3);
    let voters = &core.configuration().voters;
    assert_ne!(voters[&MemberId(2)], DiskId(2));
    // The member that lost its disk must not return under its old id.
    core.take_messages();
    receive(&mut core, 2, 0, MessageBody::Hello);
    let responses = core.take_messages();
    assert!(matches!(
        responses[..],
        [Message {
            body: MessageBody::Refuse { .. },
            ..
        }]
    ));
}

/// Guards against two groups of initial members that each elect a leader. If too many disks are
/// lost, the bootstrap must wait.
#[test]
fn bootstrap_waits_without_a_quorum_of_disks() {
    let mut core = initial_member(3);
    core.record_lost_disk(MemberId(2));
    core.record_lost_disk(MemberId(3));
    complete_writes(&mut core);
    assert_eq!(core.awaited_members(), [MemberId(2), MemberId(3)]);
    for _ in 0..100 {
        core.tick();
    }
    assert!(!core.is_leader());
    assert_eq!(core.term(), 0);
}

/// Guards against a member that records the loss of its own disk or of an unknown member's, and
/// against one that loses a voter after it has bootstrapped.
#[test]
fn a_lost_disk_is_recorded_only_for_other_initial_members_before_bootstrap() {
    let mut core = initial_member(3);
    core.record_lost_disk(MemberId(1));
    core.record_lost_disk(MemberId(9));
    assert_eq!(core.awaited_members(), [MemberId(2), MemberId(3)]);
    let mut core = member(Vec::new());
    core.record_lost_disk(MemberId(2));
    assert_eq!(core.configuration(), &configuration());
}

/// Guards against a leader that runs out of memory while its disk stalls: its followers commit what
/// it proposes, so that a bound on uncommitted entries alone holds nothing back.
#[test]
fn a_leader_with_a_stalled_disk_refuses_entries_beyond_a_bound() {
    const COMMAND_BYTES: usize = 64 * 1_024;
    const MAX_HELD_BYTES: usize = 20 * 1_024 * 1_024;
    let mut core = member(Vec::new());
    elect(&mut core);
    let mut accepted = 0;
    let refused = loop {
        match core.propose(SharedBytes::new(vec![0; COMMAND_BYTES])) {
            Ok(match_index) => {
                accepted += 1;
                let term = core.term();
                for from in [2, 3] {
                    let body = MessageBody::AppendAccepted {
                        match_index,
                        round: 0,
                    };
                    receive(&mut core, from, term, body);
                }
                core.take_messages();
                assert_eq!(core.commit_index(), match_index);
            }
            Err(error) => break error,
        }
        assert!(
            accepted * COMMAND_BYTES <= MAX_HELD_BYTES,
            "{accepted} entries wait for the disk"
        );
    };
    assert!(matches!(refused, ProposeError::Overloaded), "{refused:?}");
    complete_writes(&mut core);
    core.propose(SharedBytes::new(vec![0; COMMAND_BYTES]))
        .unwrap();
}

/// Guards against writes that a snapshot makes obsolete and that a stalled disk keeps in memory.
#[test]
fn a_snapshot_replaces_the_writes_queued_before_it() {
    let mut core = member(Vec::new());
    elect(&mut core);
    let index = core.propose(SharedBytes::new(vec![1])).unwrap();
    let term = core.term();
    for from in [2, 3] {
        let (match_index, round) = (index, 0);
        let body = MessageBody::AppendAccepted { match_index, round };
        receive(&mut core, from, term, body);
    }
    core.compact(index, SharedBytes::new(vec![1]));
    core.propose(SharedBytes::new(vec![2])).unwrap();
    let (_, writes) = core.take_writes().unwrap();
    assert!(
        matches!(writes[..], [Write::Snapshot(_), Write::Entry(_)]),
        "{writes:?}"
    );
}
