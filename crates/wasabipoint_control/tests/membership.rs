//! Members that find each other: first start, a lost disk, a replaced VM, and the configuration
//! that has to outlast them.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "fixtures/member.rs"]
mod member;
#[path = "membership/recovery.rs"]
mod recovery;
#[path = "membership/vm.rs"]
mod vm;

use vm::{Vm, apply, read, start_all, wait_for_voters};

/// Guards against a fourth and a fifth member that stay out of the quorum, so that fewer lost
/// disks are borne than VMs were paid for.
#[tokio::test]
async fn five_members_find_each_other_by_three_seeds() {
    let (vms, _) = start_all("five", 5).await;
    wait_for_voters(&vms, 5).await;
    apply(&vms, 1, "one").await;
    assert_eq!(read(&vms).await, "one");
}

/// Guards against a member that votes under its old id without its disk, and against an
/// acknowledged configuration lost with two disks, one after the other.
#[tokio::test]
async fn a_member_that_lost_its_disk_joins_under_a_new_id() {
    let (mut vms, seeds) = start_all("disk", 3).await;
    apply(&vms, 1, "one").await;
    for index in 0..2 {
        let before = vms[index].server.as_ref().unwrap().replica_status().member;
        vms[index].wipe().await;
        vms[index].start(&seeds, false).await;
        let after = vms[index].server.as_ref().unwrap().replica_status().member;
        assert_ne!(before, after);
        wait_for_voters(&vms, 3).await;
        assert_eq!(read(&vms).await, "one");
    }
}

/// Guards against a VM that is gone for good and counts for ever, and against a successor at
/// another address that the others do not learn.
#[tokio::test]
async fn a_replaced_vm_leaves_the_membership() {
    let (mut vms, seeds) = start_all("replace", 3).await;
    apply(&vms, 1, "one").await;
    let mut lost = vms.remove(0);
    lost.wipe().await;
    let mut successor = Vm::new("replace");
    successor.start(&seeds, false).await;
    vms.push(successor);
    wait_for_voters(&vms, 3).await;
    apply(&vms, 2, "two").await;
    assert_eq!(read(&vms).await, "two");
}

/// Guards against a lower or equal version that replaces what is in force, and against a restart
/// that forgets it.
#[tokio::test]
async fn the_highest_version_stays_in_force_over_restarts() {
    let (mut vms, seeds) = start_all("highest", 3).await;
    apply(&vms, 5, "five").await;
    apply(&vms, 4, "four").await;
    apply(&vms, 5, "other content").await;
    assert_eq!(read(&vms).await, "five");
    for vm in &mut vms {
        vm.stop().await;
    }
    for vm in &mut vms {
        vm.start(&seeds, false).await;
    }
    assert_eq!(read(&vms).await, "five");
}
