//! Tests of the driver with a paused clock, real files and an in-memory transport.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "driver/cluster.rs"]
mod cluster;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use cluster::Cluster;
use tokio::time::{Instant, sleep, timeout};
use wasabipoint_consensus::{MembershipChange, ProposeError, StartError};
use wasabipoint_kernel::MemberId;

const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Address of members that join. The transport of these tests delivers by id and ignores it.
const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Guards against a cluster that commits nothing, or different entries on different members.
#[tokio::test(start_paused = true)]
async fn commits_on_all_members() {
    let cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    for value in 0..100 {
        cluster.append(leader, value).await.unwrap();
    }
    cluster.wait_applied(100).await;
    for id in [1, 2, 3] {
        assert_eq!(cluster.values(id), (0..100).collect::<Vec<_>>());
    }
    assert_eq!(cluster.handle(leader).status().remaining_redundancy, 1);
    cluster.stop_all().await;
}

/// Guards against a bootstrap that silently waits for a missing member, and against warnings that
/// continue once all members are up.
#[tokio::test(start_paused = true)]
async fn bootstrap_with_missing_members_is_logged() {
    const NO_LEADER_MESSAGE: &str = "consensus: no leader is known";
    let mut cluster = Cluster::new(3);
    cluster.start_member(1).await.unwrap();
    cluster.start_member(2).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    let logged = cluster.count_log_messages(NO_LEADER_MESSAGE);
    assert!(
        (2..=4).contains(&logged),
        "{logged} messages of two members"
    );
    cluster.start_member(3).await.unwrap();
    cluster.leader().await;
    let logged = cluster.count_log_messages(NO_LEADER_MESSAGE);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(cluster.count_log_messages(NO_LEADER_MESSAGE), logged);
    cluster.stop_all().await;
}

/// Guards against an election whose requests and responses are missing from the log, and against
/// such log messages while no election takes place.
#[tokio::test(start_paused = true)]
async fn election_steps_are_logged() {
    const ELECTION_MESSAGE: &str = "consensus: election";
    let cluster = Cluster::start(3).await;
    cluster.leader().await;
    sleep(Duration::from_secs(1)).await;
    let logged = cluster.count_log_messages(ELECTION_MESSAGE);
    // A request and a grant for both the pre-vote and the vote, each logged by two members.
    assert!(logged >= 8, "{logged} messages");
    sleep(Duration::from_secs(10)).await;
    assert_eq!(cluster.count_log_messages(ELECTION_MESSAGE), logged);
    cluster.stop_all().await;
}

/// Guards against a cluster that stays without a leader, or loses entries, when its leader stops.
#[tokio::test(start_paused = true)]
async fn elects_a_leader_after_the_leader_stops() {
    let mut cluster = Cluster::start(3).await;
    let first = cluster.leader().await;
    cluster.append(first, 1).await.unwrap();
    cluster.stop(first).await;
    let started = Instant::now();
    let second = cluster.leader().await;
    assert!(started.elapsed() < Duration::from_secs(10));
    cluster.append(second, 2).await.unwrap();
    cluster.start_member(first).await.unwrap();
    cluster.wait_applied(2).await;
    for id in [1, 2, 3] {
        assert_eq!(cluster.values(id), [1, 2]);
    }
    cluster.stop_all().await;
}

/// Guards against a member that increases the term when a partition ends, and against a leader that
/// confirms reads or accepts proposals while it is partitioned.
#[tokio::test(start_paused = true)]
async fn a_partitioned_leader_steps_down_and_rejoins() {
    let cluster = Cluster::start(3).await;
    let partitioned = cluster.leader().await;
    cluster.append(partitioned, 1).await.unwrap();
    cluster.set_partitioned(partitioned, true);
    let read = timeout(WAIT_TIMEOUT, cluster.handle(partitioned).confirm_read()).await;
    assert!(
        matches!(read, Ok(Err(ProposeError::NotLeader { .. }))),
        "{read:?}"
    );
    let leader = cluster.leader_among(&other_members(partitioned)).await;
    cluster.append(leader, 2).await.unwrap();
    let term = cluster.handle(leader).status().term;
    sleep(Duration::from_hours(1)).await;
    assert_eq!(cluster.handle(leader).status().term, term);
    cluster.set_partitioned(partitioned, false);
    cluster.append(leader, 3).await.unwrap();
    cluster.wait_applied(3).await;
    assert_eq!(cluster.values(partitioned), [1, 2, 3]);
    assert_eq!(cluster.handle(leader).status().term, term);
    cluster.stop_all().await;
}

/// Guards against a member that lost its disk but still counts under its old id, against a
/// replacement that is counted too early, and against data loss when another member fails right
/// after the replacement.
#[tokio::test(start_paused = true)]
async fn a_second_member_fails_right_after_the_first_is_replaced() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let [lost, second] = other_members(leader);
    for value in 0..200 {
        cluster.append(leader, value).await.unwrap();
    }
    cluster.stop(lost).await;
    cluster.erase_data_folder(lost);
    cluster.start_member(lost).await.unwrap();
    let mut status = cluster.handle(lost).watch_status();
    let refused = timeout(WAIT_TIMEOUT, status.wait_for(|s| s.is_stopped)).await;
    let fault = refused.unwrap().unwrap().fault.clone();
    assert!(fault.unwrap().contains("another disk"));
    cluster.wait_redundancy(leader, 0).await;

    cluster.start_member(4).await.unwrap();
    let leader_handle = cluster.handle(leader);
    leader_handle
        .change_membership(MembershipChange::AddLearner(MemberId(4), ADDRESS))
        .await
        .unwrap();
    assert_eq!(leader_handle.status().remaining_redundancy, 0);
    cluster.promote(leader, 4).await;
    leader_handle
        .change_membership(MembershipChange::Remove(MemberId(lost)))
        .await
        .unwrap();
    cluster.wait_redundancy(leader, 1).await;

    cluster.stop(second).await;
    cluster.wait_redundancy(leader, 0).await;
    cluster.append(leader, 200).await.unwrap();
    cluster.wait_values(4, 201).await;
    let old_id = MembershipChange::AddLearner(MemberId(lost), ADDRESS);
    let result = leader_handle.change_membership(old_id).await;
    assert!(
        matches!(result, Err(ProposeError::ChangeRefused(_))),
        "{result:?}"
    );
    cluster.stop_all().await;
}

/// Guards against state that exists only in memory and is lost at a restart, and against a log that
/// grows without bound.
#[tokio::test(start_paused = true)]
async fn all_members_restart_after_many_changes() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    for value in 0..500 {
        cluster.append(leader, value).await.unwrap();
    }
    cluster.stop_all().await;
    for id in [1, 2, 3] {
        cluster.start_member(id).await.unwrap();
    }
    let leader = cluster.leader().await;
    cluster.append(leader, 500).await.unwrap();
    cluster.wait_applied(501).await;
    for id in [1, 2, 3] {
        assert_eq!(cluster.values(id), (0..=500).collect::<Vec<_>>());
    }
    cluster.stop_all().await;
}

/// Guards against an acknowledgement after a failed write, and against a replica that continues
/// with a disk in an unknown state.
#[tokio::test(start_paused = true)]
async fn a_failed_disk_stops_the_replica_without_losing_acknowledged_entries() {
    // The second range covers the first snapshot.
    for allowed_operations in (3..30).chain(95..125) {
        let mut cluster = Cluster::new(1);
        cluster.fail_disk_after(1, allowed_operations);
        cluster.start_member(1).await.unwrap();
        let mut acknowledged = Vec::new();
        let handle = cluster.handle(1);
        let mut status = handle.watch_status();
        for value in 0.. {
            match cluster.append(1, value).await {
                Ok(_) => acknowledged.push(value),
                Err(ProposeError::NotLeader { .. }) => sleep(Duration::from_millis(50)).await,
                Err(error) => {
                    assert!(matches!(
                        error,
                        ProposeError::OutcomeUnknown | ProposeError::Stopped
                    ));
                    break;
                }
            }
        }
        let stopped = status.wait_for(|s| s.is_stopped).await.unwrap().clone();
        assert!(stopped.fault.unwrap().contains("disk failed"));
        cluster.stop(1).await;
        cluster.repair_disk(1);
        cluster.start_member(1).await.unwrap();
        cluster.leader().await;
        cluster.handle(1).confirm_read().await.unwrap();
        let values = cluster.values(1);
        let lost: Vec<_> = acknowledged
            .iter()
            .filter(|v| !values.contains(v))
            .collect();
        assert!(
            lost.is_empty(),
            "{lost:?} lost after {allowed_operations} operations"
        );
        cluster.stop_all().await;
    }
}

/// Guards against two replicas that write to the same log.
#[tokio::test(start_paused = true)]
async fn a_second_replica_on_the_folder_is_refused() {
    let mut cluster = Cluster::start(1).await;
    cluster.leader().await;
    let second = cluster.try_start(1).await;
    assert!(matches!(second, Err(StartError::FolderInUse { .. })));
    cluster.stop_all().await;
}

/// Guards against unbounded queues, and against concurrent proposals that each sync the disk.
#[tokio::test(start_paused = true)]
async fn proposal_bursts_share_syncs_and_are_bounded() {
    let mut cluster = Cluster::new(1);
    let operations = cluster.count_disk_operations(1);
    cluster.start_member(1).await.unwrap();
    cluster.leader().await;
    let before = operations.load(std::sync::atomic::Ordering::Relaxed);
    let handle = cluster.handle(1);
    let burst = (0..6_000).map(|value: u64| {
        let handle = handle.clone();
        tokio::spawn(async move { handle.propose(value.to_le_bytes().to_vec()).await })
    });
    let (mut committed, mut refused) = (0, 0);
    for call in burst.collect::<Vec<_>>() {
        match call.await.unwrap() {
            Ok(_) => committed += 1,
            Err(ProposeError::Overloaded) => refused += 1,
            Err(error) => panic!("{error}"),
        }
    }
    assert!(committed >= 4_096 && refused > 0, "{committed} {refused}");
    let performed = operations.load(std::sync::atomic::Ordering::Relaxed) - before;
    assert!(performed < 600, "{performed} disk operations");
    cluster.stop_all().await;
}

fn other_members(id: u64) -> [u64; 2] {
    let other_members: Vec<u64> = (1..=3).filter(|other| *other != id).collect();
    [other_members[0], other_members[1]]
}

/// Proposes values to whoever leads, each until it is acknowledged or its outcome is unknown.
async fn propose_until(cluster: &Cluster, end: Instant, next_value: &mut u64) {
    while Instant::now() < end {
        if let Some(leader) = cluster.current_leader() {
            let handle = cluster.handle(leader);
            let proposed = handle.propose(next_value.to_le_bytes().to_vec());
            // A proposal at a full disk waits; the next one follows it.
            let _ = timeout(Duration::from_millis(100), proposed).await;
            *next_value += 1;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// The disks are full one after another, among them that of the leader of the moment, while changes
/// come. Guards against a cluster that acknowledges no change long after the last disk has room again,
/// because a member remembers that its disk was full. Uses the real clock: writes at a full disk are
/// retried by a thread.
#[tokio::test]
async fn changes_are_acknowledged_after_each_disk_was_full_in_turn() {
    const FULL_TIME: Duration = Duration::from_millis(700);
    const ROOM_TIME: Duration = Duration::from_millis(400);
    const ACKNOWLEDGE_TIME: Duration = Duration::from_secs(5);
    let cluster = Cluster::start(3).await;
    let mut next_value = 0;
    for turn in 0..9 {
        let leader = cluster.leader().await;
        let id = if turn < 3 { leader } else { turn % 3 + 1 };
        cluster.set_disk_full(id, true);
        propose_until(&cluster, Instant::now() + FULL_TIME, &mut next_value).await;
        cluster.set_disk_full(id, false);
        propose_until(&cluster, Instant::now() + ROOM_TIME, &mut next_value).await;
    }
    for _ in 0..20 {
        next_value += 1;
        let acknowledged = async {
            loop {
                let leader = cluster.leader().await;
                if cluster.append(leader, next_value).await.is_ok() {
                    return;
                }
            }
        };
        let in_time = timeout(ACKNOWLEDGE_TIME, acknowledged).await;
        assert!(in_time.is_ok(), "change {next_value} is not acknowledged");
    }
    let count = cluster.values(cluster.leader().await).len();
    cluster.wait_applied(count).await;
    cluster.stop_all().await;
}
