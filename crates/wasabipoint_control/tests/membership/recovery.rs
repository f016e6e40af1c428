//! Power loss of all VMs together with a lost disk, after the membership has changed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;

use crate::vm::{Vm, apply, read, start_all, wait_for_voters};

/// Time after the VMs are back in which the cluster has to serve again.
const RECOVERY: Duration = Duration::from_secs(12);

/// Stops all VMs at once.
async fn stop_all(vms: &mut [Vm]) {
    futures::future::join_all(vms.iter_mut().map(Vm::stop)).await;
}

/// Starts all VMs at once. One with an empty disk is up only when it has joined.
async fn recover(vms: &mut [Vm], seeds: &[SocketAddr]) {
    let started = futures::future::join_all(vms.iter_mut().map(|vm| vm.start(seeds, false)));
    let recovered = tokio::time::timeout(RECOVERY, started).await;
    recovered.expect("no leader took the join of the VM that lost its disk");
}

/// Replaces a VM by one with an empty disk at another address.
async fn replace(vms: &mut Vec<Vm>, index: usize, seeds: &[SocketAddr]) {
    let mut gone = vms.remove(index);
    gone.wipe().await;
    let mut successor = Vm::new("successor");
    successor.start(seeds, false).await;
    vms.push(successor);
    wait_for_voters(vms, 3).await;
}

/// Guards against survivors that cannot elect a leader because one of them joined after the last
/// snapshot, and the other knows its address from applied commands only.
#[tokio::test]
async fn survivors_elect_a_leader_when_one_joined_after_the_last_snapshot() {
    let (mut vms, seeds) = start_all("joined", 3).await;
    wait_for_voters(&vms, 3).await;
    vms[0].wipe().await;
    vms[0].start(&seeds, false).await;
    wait_for_voters(&vms, 3).await;
    apply(&vms, 1, "one").await;
    stop_all(&mut vms).await;
    vms[1].wipe().await;
    recover(&mut vms, &seeds).await;
    assert_eq!(read(&vms).await, "one");
}

/// Guards against survivors that both joined after the last snapshot and cannot reach each other.
#[tokio::test]
async fn survivors_elect_a_leader_when_both_joined_after_the_last_snapshot() {
    let (mut vms, seeds) = start_all("both", 3).await;
    wait_for_voters(&vms, 3).await;
    for index in 0..2 {
        vms[index].wipe().await;
        vms[index].start(&seeds, false).await;
        wait_for_voters(&vms, 3).await;
    }
    apply(&vms, 1, "one").await;
    stop_all(&mut vms).await;
    vms[2].wipe().await;
    recover(&mut vms, &seeds).await;
    assert_eq!(read(&vms).await, "one");
}

/// Guards against a cluster that depends on its first members: all are replaced by VMs at other
/// addresses, and the settings name new seeds only at the last start.
#[tokio::test]
async fn a_leader_is_elected_after_all_first_members_were_replaced() {
    let (mut vms, mut seeds) = start_all("all", 3).await;
    wait_for_voters(&vms, 3).await;
    for _ in 0..3 {
        replace(&mut vms, 0, &seeds).await;
        seeds = vms.iter().map(|vm| vm.address).collect();
    }
    apply(&vms, 1, "one").await;
    stop_all(&mut vms).await;
    vms[0].wipe().await;
    recover(&mut vms, &seeds).await;
    assert_eq!(read(&vms).await, "one");
}

/// Guards against first members that wait for ever for one that lost its disk before all of them
/// took part.
#[tokio::test]
async fn a_disk_lost_before_the_first_election_does_not_stop_the_first_start() {
    let (mut vms, seeds) = start_all("founding", 3).await;
    vms[0].wipe().await;
    vms[0].start(&seeds, false).await;
    wait_for_voters(&vms, 3).await;
    apply(&vms, 1, "one").await;
}

/// Guards against a member that was removed while it was away and comes back: nobody can tell it so
/// once its address is forgotten, and its VM stays out of the cluster.
#[tokio::test]
async fn a_removed_member_that_returns_joins_again() {
    let (mut vms, seeds) = start_all("removed", 3).await;
    wait_for_voters(&vms, 3).await;
    vms[0].wipe().await;
    vms[0].start(&seeds, false).await;
    wait_for_voters(&vms, 3).await;
    vms[0].stop().await;
    let mut successor = Vm::new("removed");
    successor.start(&seeds, false).await;
    vms.push(successor);
    wait_for_voters(&vms, 3).await;
    vms[0].start(&seeds, false).await;
    vms[0].rejoin(&seeds).await;
    wait_for_voters(&vms, 4).await;
}

/// Guards against four voters of which one is gone: the next lost disk takes their quorum for good.
#[tokio::test]
async fn a_voter_that_is_stopped_in_an_even_set_leaves_first() {
    let (mut vms, seeds) = start_all("even", 3).await;
    wait_for_voters(&vms, 3).await;
    let mut successor = Vm::new("even");
    successor.start(&seeds, false).await;
    vms.push(successor);
    wait_for_voters(&vms, 4).await;
    apply(&vms, 1, "one").await;
    let mut planned = vms.remove(0);
    planned.server.as_ref().unwrap().leave_if_redundant().await;
    planned.stop().await;
    vms[0].wipe().await;
    recover(&mut vms[..1], &seeds).await;
    assert_eq!(read(&vms).await, "one");
}

/// Guards against a joining process whose seeds are all gone, and that does not look at new ones.
#[tokio::test]
async fn a_joining_process_follows_seeds_that_change() {
    let (vms, seeds) = start_all("seeds", 3).await;
    wait_for_voters(&vms, 3).await;
    let gone = Vm::new("seeds");
    let mut joiner = Vm::new("seeds");
    let (sender, listed) = watch::channel(vec![gone.address]);
    let started = joiner.start_with_seeds(&listed, false);
    let exchange = async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        sender.send(seeds).unwrap();
    };
    tokio::join!(started, exchange);
    assert!(joiner.server.is_some());
}

/// Guards against a first start that needs its members at the same moment.
#[tokio::test]
async fn first_members_that_come_up_far_apart_elect_a_leader() {
    let mut vms: Vec<Vm> = (0..3).map(|_| Vm::new("apart")).collect();
    let seeds: Vec<SocketAddr> = vms.iter().map(|vm| vm.address).collect();
    for vm in &mut vms {
        vm.start(&seeds, true).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    wait_for_voters(&vms, 3).await;
    apply(&vms, 1, "one").await;
}

/// Guards against a member that comes back at another address with its disk: the others know the old
/// one, and answers go there.
#[tokio::test]
async fn a_member_that_returns_at_another_address_is_answered() {
    let (mut vms, seeds) = start_all("moved", 3).await;
    wait_for_voters(&vms, 3).await;
    apply(&vms, 1, "one").await;
    stop_all(&mut vms).await;
    vms[0].take_new_address();
    vms[1].wipe().await;
    recover(&mut vms, &seeds).await;
    wait_for_voters(&vms, 3).await;
    assert_eq!(read(&vms).await, "one");
}

/// Guards against a joining member that is never whole because it lost power before its first
/// snapshot was.
#[tokio::test]
async fn a_joining_member_that_lost_power_at_once_goes_on() {
    let (mut vms, seeds) = start_all("early", 3).await;
    wait_for_voters(&vms, 3).await;
    for version in 1..=80 {
        apply(&vms, version, "document ".repeat(1_024).as_str()).await;
    }
    let mut successor = Vm::new("early");
    successor.start(&seeds, false).await;
    successor.stop().await;
    successor.start(&seeds, false).await;
    vms.push(successor);
    wait_for_voters(&vms, 4).await;
}
