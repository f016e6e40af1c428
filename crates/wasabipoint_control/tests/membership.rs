//! Members that find each other: first start, a lost disk, a replaced VM, and the configuration
//! that has to outlast them.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "fixtures/member.rs"]
mod member;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use wasabipoint_consensus::Role;
use wasabipoint_control::{
    CommandAnswer, ControlServer, EndpointDirectory, EngineCommand, EngineCommander, EngineState,
    find_identity,
};
use wasabipoint_kernel::{CallerLimits, Deployment};
use wasabipoint_rpc::EndpointView;

use member::{deployed, member_config};

/// Longest wait for a condition. Elections and joins take a second or two.
const LIMIT: Duration = Duration::from_secs(30);

struct NoEndpoints;

impl EndpointDirectory for NoEndpoints {
    fn list(&self) -> BoxFuture<'_, Result<Vec<EndpointView>, String>> {
        Box::pin(async { Ok(Vec::new()) })
    }
}

impl EngineCommander for NoEndpoints {
    fn state(&self, _: &EndpointView) -> BoxFuture<'_, Result<EngineState, String>> {
        Box::pin(async { Err("no engine".to_owned()) })
    }

    fn command(
        &self,
        _: &EndpointView,
        _: &EngineCommand,
    ) -> BoxFuture<'_, Result<CommandAnswer, String>> {
        Box::pin(async { Err("no engine".to_owned()) })
    }
}

/// One VM: an address, a disk, and the member that runs there.
struct Vm {
    address: SocketAddr,
    folder: PathBuf,
    server: Option<ControlServer>,
}

impl Vm {
    fn new(test: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let name = format!("wasabipoint-{test}-{}-{number}", std::process::id());
        Self {
            address: port.local_addr().unwrap(),
            folder: std::env::temp_dir().join(name),
            server: None,
        }
    }

    async fn start(&mut self, seeds: &[SocketAddr], is_first_start: bool) {
        let listener = TcpListener::bind(self.address).await.unwrap();
        let http: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let identity = find_identity(&self.folder, self.address, http, seeds, is_first_start);
        let identity = identity.await.unwrap();
        let config = member_config(identity, self.address, &self.folder);
        let deployed = deployed(Arc::new(NoEndpoints), Arc::new(NoEndpoints));
        let logger = Logger::root(Discard, o!());
        let started = ControlServer::start_deployed(config, listener, logger, Some(deployed));
        self.server = Some(started.await.unwrap());
    }

    async fn stop(&mut self) {
        if let Some(server) = self.server.take() {
            server.stop().await;
        }
    }

    async fn wipe(&mut self) {
        self.stop().await;
        std::fs::remove_dir_all(&self.folder).unwrap();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn deployment(version: u64) -> Deployment {
    Deployment {
        version,
        routes: Vec::new(),
        services: BTreeMap::new(),
        customers: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

/// Sends a change to each member in turn until one confirms it.
async fn apply(vms: &[Vm], version: u64, document: &str) {
    let confirmed = async {
        loop {
            for server in vms.iter().filter_map(|vm| vm.server.as_ref()) {
                let document = document.as_bytes().to_vec();
                let store = server.deployments();
                let applied = store.apply(document, deployment(version));
                if applied.await.is_ok() {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, confirmed).await.unwrap();
}

/// Reads the document that a quorum confirms.
async fn read(vms: &[Vm]) -> String {
    let confirmed = async {
        loop {
            for server in vms.iter().filter_map(|vm| vm.server.as_ref()) {
                if let Ok(Some(document)) = server.deployments().read().await {
                    return String::from_utf8(document).unwrap();
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, confirmed).await.unwrap()
}

/// Waits until the leader counts exactly these voters, all responding.
async fn wait_for_voters(vms: &[Vm], count: usize) {
    let reached = async {
        loop {
            let statuses = vms.iter().filter_map(|vm| vm.server.as_ref());
            let is_reached = statuses.map(ControlServer::replica_status).any(|status| {
                let voters = status.members.iter().filter(|m| m.is_voter);
                status.role == Role::Leader
                    && status.members.len() == count
                    && voters.filter(|m| m.is_responding).count() == count
            });
            if is_reached {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, reached).await.unwrap();
}

async fn start_all(test: &str, count: usize) -> (Vec<Vm>, Vec<SocketAddr>) {
    let mut vms: Vec<Vm> = (0..count).map(|_| Vm::new(test)).collect();
    let seeds: Vec<SocketAddr> = vms.iter().take(3).map(|vm| vm.address).collect();
    // A later member waits for the first ones before it starts, so all start at once.
    futures::future::join_all(vms.iter_mut().map(|vm| vm.start(&seeds, true))).await;
    (vms, seeds)
}

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
