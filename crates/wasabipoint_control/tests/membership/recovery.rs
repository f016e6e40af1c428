//! Tests of recovery after membership changes: power loss of all VMs, lost disks, moved and removed
//! members.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;

use crate::vm::{Vm, apply_document, read_document, start_vms, wait_for_voters};

/// Time limit for a restart of all VMs, including an election and a join.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Stops all VMs at once.
async fn stop_all_vms(vms: &mut [Vm]) {
    futures::future::join_all(vms.iter_mut().map(Vm::stop)).await;
}

/// Starts all VMs at once. The start of a VM with an empty disk completes once it has joined.
async fn restart_vms(vms: &mut [Vm], seeds: &[SocketAddr]) {
    let started = futures::future::join_all(vms.iter_mut().map(|vm| vm.start(seeds, false)));
    let recovered = tokio::time::timeout(RECOVERY_TIMEOUT, started).await;
    recovered.expect("no leader accepted the join of the VM that lost its disk");
}

/// Replaces a VM by one with an empty disk at another address.
async fn replace_vm(vms: &mut Vec<Vm>, index: usize, seeds: &[SocketAddr]) {
    let mut replaced = vms.remove(index);
    replaced.stop_and_wipe_disk().await;
    let mut successor = Vm::new("successor");
    successor.start(seeds, false).await;
    vms.push(successor);
    wait_for_voters(vms, 3).await;
}

/// Guards against remaining members that cannot elect a leader because one of them joined after the
/// last snapshot, and the other knows its address only from commands, which a restarted member
/// applies only after an election.
#[tokio::test]
async fn remaining_members_elect_a_leader_when_one_joined_after_the_last_snapshot() {
    let (mut vms, seeds) = start_vms("joined", 3).await;
    wait_for_voters(&vms, 3).await;
    vms[0].stop_and_wipe_disk().await;
    vms[0].start(&seeds, false).await;
    wait_for_voters(&vms, 3).await;
    apply_document(&vms, 1, "one").await;
    stop_all_vms(&mut vms).await;
    vms[1].stop_and_wipe_disk().await;
    restart_vms(&mut vms, &seeds).await;
    assert_eq!(read_document(&vms).await, "one");
}

/// Guards against remaining members that cannot reach each other because both joined after the last
/// snapshot.
#[tokio::test]
async fn remaining_members_elect_a_leader_when_both_joined_after_the_last_snapshot() {
    let (mut vms, seeds) = start_vms("both", 3).await;
    wait_for_voters(&vms, 3).await;
    for index in 0..2 {
        vms[index].stop_and_wipe_disk().await;
        vms[index].start(&seeds, false).await;
        wait_for_voters(&vms, 3).await;
    }
    apply_document(&vms, 1, "one").await;
    stop_all_vms(&mut vms).await;
    vms[2].stop_and_wipe_disk().await;
    restart_vms(&mut vms, &seeds).await;
    assert_eq!(read_document(&vms).await, "one");
}

/// Guards against a cluster that depends on its initial members: all are replaced by VMs at other
/// addresses, and running members get the new seeds only when they restart.
#[tokio::test]
async fn a_leader_is_elected_after_all_initial_members_were_replaced() {
    let (mut vms, mut seeds) = start_vms("all", 3).await;
    wait_for_voters(&vms, 3).await;
    for _ in 0..3 {
        replace_vm(&mut vms, 0, &seeds).await;
        seeds = vms.iter().map(|vm| vm.address).collect();
    }
    apply_document(&vms, 1, "one").await;
    stop_all_vms(&mut vms).await;
    vms[0].stop_and_wipe_disk().await;
    restart_vms(&mut vms, &seeds).await;
    assert_eq!(read_document(&vms).await, "one");
}

/// Guards against initial members that wait forever for a member that lost its disk before the
/// first election.
#[tokio::test]
async fn a_disk_lost_before_the_first_election_does_not_block_the_first_start() {
    let (mut vms, seeds) = start_vms("first", 3).await;
    vms[0].stop_and_wipe_disk().await;
    vms[0].start(&seeds, false).await;
    wait_for_voters(&vms, 3).await;
    apply_document(&vms, 1, "one").await;
}

/// Guards against initial members that wait forever for one that was lost before it took part and whose
/// successor has another address.
#[tokio::test]
async fn a_vm_replaced_before_the_first_election_does_not_block_the_first_start() {
    for lost in 0..3 {
        let mut vms: Vec<Vm> = (0..3).map(|_| Vm::new("early")).collect();
        let addresses = |vms: &[Vm]| vms.iter().map(|vm| vm.address).collect::<Vec<_>>();
        let (seed_sender, seeds) = watch::channel(addresses(&vms));
        vms.remove(lost);
        for vm in &mut vms {
            vm.start_with_seeds(&seeds, true).await;
        }
        vms.push(Vm::new("early"));
        seed_sender.send_replace(addresses(&vms));
        vms[2].start_with_seeds(&seeds, false).await;
        wait_for_voters(&vms, 3).await;
        apply_document(&vms, 1, "one").await;
        assert_eq!(read_document(&vms).await, "one");
    }
}

/// Guards against two groups: the VM that the platform no longer names is alive and starts late. The
/// others refuse it under its old id, and it joins them.
#[tokio::test]
async fn a_replaced_vm_that_starts_late_joins_the_others() {
    let mut vms: Vec<Vm> = (0..3).map(|_| Vm::new("late")).collect();
    let addresses = |vms: &[Vm]| vms.iter().map(|vm| vm.address).collect::<Vec<_>>();
    let (seed_sender, seeds) = watch::channel(addresses(&vms));
    let (_, first_seeds) = watch::channel(addresses(&vms));
    let mut late = vms.remove(0);
    for vm in &mut vms {
        vm.start_with_seeds(&seeds, true).await;
    }
    vms.push(Vm::new("late"));
    seed_sender.send_replace(addresses(&vms));
    vms[2].start_with_seeds(&seeds, false).await;
    apply_document(&vms, 1, "one").await;
    late.start_with_seeds(&first_seeds, true).await;
    late.rejoin(&addresses(&vms)).await;
    vms.push(late);
    wait_for_voters(&vms, 4).await;
    assert_eq!(read_document(&vms).await, "one");
}

/// Guards against a member that is removed while it is down and does not learn it after a restart,
/// because the others have deleted its address. Its VM then stays out of the cluster.
#[tokio::test]
async fn a_removed_member_that_restarts_rejoins() {
    let (mut vms, seeds) = start_vms("removed", 3).await;
    wait_for_voters(&vms, 3).await;
    vms[0].stop_and_wipe_disk().await;
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

/// Guards against a stopped member that remains one of four voters: the next lost disk then costs
/// the quorum for good.
#[tokio::test]
async fn a_redundant_voter_leaves_before_it_stops() {
    let (mut vms, seeds) = start_vms("even", 3).await;
    wait_for_voters(&vms, 3).await;
    let mut successor = Vm::new("even");
    successor.start(&seeds, false).await;
    vms.push(successor);
    wait_for_voters(&vms, 4).await;
    apply_document(&vms, 1, "one").await;
    let mut stopping = vms.remove(0);
    stopping.server.as_ref().unwrap().leave_if_redundant().await;
    stopping.stop().await;
    vms[0].stop_and_wipe_disk().await;
    restart_vms(&mut vms[..1], &seeds).await;
    assert_eq!(read_document(&vms).await, "one");
}

/// Guards against a joining process that keeps to the seeds of its start when all of them are gone.
#[tokio::test]
async fn a_joining_process_uses_updated_seeds() {
    let (vms, seeds) = start_vms("seeds", 3).await;
    wait_for_voters(&vms, 3).await;
    let unused_vm = Vm::new("seeds");
    let mut joiner = Vm::new("seeds");
    let (sender, listed) = watch::channel(vec![unused_vm.address]);
    let started = joiner.start_with_seeds(&listed, false);
    let change_seeds = async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        sender.send(seeds).unwrap();
    };
    tokio::join!(started, change_seeds);
    assert!(joiner.server.is_some());
}

/// Guards against a first start that succeeds only if the members start at the same time.
#[tokio::test]
async fn initial_members_that_start_far_apart_elect_a_leader() {
    let mut vms: Vec<Vm> = (0..3).map(|_| Vm::new("apart")).collect();
    let seeds: Vec<SocketAddr> = vms.iter().map(|vm| vm.address).collect();
    for vm in &mut vms {
        vm.start(&seeds, true).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    wait_for_voters(&vms, 3).await;
    apply_document(&vms, 1, "one").await;
}

/// Guards against responses that are sent to the old address of a member that restarts at another
/// address with its disk.
#[tokio::test]
async fn a_member_that_restarts_at_another_address_is_reached() {
    let (mut vms, seeds) = start_vms("moved", 3).await;
    wait_for_voters(&vms, 3).await;
    apply_document(&vms, 1, "one").await;
    stop_all_vms(&mut vms).await;
    vms[0].move_to_new_address();
    vms[1].stop_and_wipe_disk().await;
    restart_vms(&mut vms, &seeds).await;
    wait_for_voters(&vms, 3).await;
    assert_eq!(read_document(&vms).await, "one");
}

/// Guards against a joining member that never catches up because it lost power before its first
/// snapshot was complete.
#[tokio::test]
async fn a_joining_member_survives_power_loss_before_its_first_snapshot() {
    let (mut vms, seeds) = start_vms("early", 3).await;
    wait_for_voters(&vms, 3).await;
    for version in 1..=80 {
        apply_document(&vms, version, "document ".repeat(1_024).as_str()).await;
    }
    let mut successor = Vm::new("early");
    successor.start(&seeds, false).await;
    successor.stop().await;
    successor.start(&seeds, false).await;
    vms.push(successor);
    wait_for_voters(&vms, 4).await;
}
