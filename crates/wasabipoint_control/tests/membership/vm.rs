//! Simulated VMs on loopback, each with one control member.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use slog::{Discard, Logger, o};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use wasabipoint_consensus::Role;
use wasabipoint_control::{
    CommandAnswer, ControlServer, EndpointDirectory, EndpointList, EngineCommand, EngineCommander,
    EngineState, discard_identity, resolve_identity,
};
use wasabipoint_kernel::{CallerLimits, Deployment};
use wasabipoint_rpc::EndpointView;

use crate::member::{member_config, platform_integration};

/// Time limit for a condition. Elections and joins take one or two seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Platform without endpoints and engines.
struct EmptyPlatform;

impl EndpointDirectory for EmptyPlatform {
    fn list(&self) -> BoxFuture<'_, Result<EndpointList, String>> {
        Box::pin(async { Ok(EndpointList::default()) })
    }
}

impl EngineCommander for EmptyPlatform {
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

/// Simulated VM with an address, a data folder and a control member.
pub(crate) struct Vm {
    pub(crate) address: SocketAddr,
    /// Reserves the port while the member is down, so that it is not assigned to an outgoing
    /// connection. The socket does not listen, so the member can bind the same address.
    reserved_socket: TcpSocket,
    folder: PathBuf,
    pub(crate) server: Option<ControlServer>,
}

impl Vm {
    pub(crate) fn new(test: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let reserved_socket = TcpSocket::new_v4().unwrap();
        reserved_socket.set_reuseaddr(true).unwrap();
        reserved_socket
            .bind("127.0.0.1:0".parse().unwrap())
            .unwrap();
        let name = format!("wasabipoint-{test}-{}-{number}", std::process::id());
        Self {
            address: reserved_socket.local_addr().unwrap(),
            reserved_socket,
            folder: std::env::temp_dir().join(name),
            server: None,
        }
    }

    /// Assigns another address to a stopped VM that keeps its data folder.
    pub(crate) fn move_to_new_address(&mut self) {
        let mut moved = Self::new("moved");
        std::mem::swap(&mut self.address, &mut moved.address);
        std::mem::swap(&mut self.reserved_socket, &mut moved.reserved_socket);
    }

    pub(crate) async fn start(&mut self, seeds: &[SocketAddr], is_first_start: bool) {
        let (_sender, seeds) = watch::channel(seeds.to_vec());
        self.start_with_seeds(&seeds, is_first_start).await;
    }

    /// Starts the member with seeds that may change during the join.
    pub(crate) async fn start_with_seeds(
        &mut self,
        seeds: &watch::Receiver<Vec<SocketAddr>>,
        is_first_start: bool,
    ) {
        let listener = TcpListener::bind(self.address).await.unwrap();
        let http: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let identity = resolve_identity(&self.folder, self.address, http, seeds, is_first_start);
        let identity = tokio::time::timeout(WAIT_TIMEOUT, identity).await;
        let identity = identity.expect("no leader accepted the join").unwrap();
        let config = member_config(identity, self.address, &self.folder);
        let platform = Arc::new(EmptyPlatform);
        let integration = platform_integration(Arc::clone(&platform) as _, platform, seeds.clone());
        let logger = Logger::root(Discard, o!());
        let started =
            ControlServer::start_with_integration(config, listener, logger, Some(integration));
        self.server = Some(started.await.unwrap());
    }

    pub(crate) async fn stop(&mut self) {
        if let Some(server) = self.server.take() {
            server.stop().await;
        }
    }

    /// Waits until the other members refuse this one, then joins as a new member as the program
    /// does.
    pub(crate) async fn rejoin(&mut self, seeds: &[SocketAddr]) {
        let server = self.server.as_ref().unwrap();
        let stopped = tokio::time::timeout(WAIT_TIMEOUT, server.wait_until_stopped()).await;
        stopped.expect("no member refused the removed member");
        assert!(server.is_refused_by_peers());
        self.stop().await;
        discard_identity(&self.folder).unwrap();
        self.start(seeds, false).await;
    }

    pub(crate) async fn stop_and_wipe_disk(&mut self) {
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

/// Sends the document to each member in turn until one confirms it.
pub(crate) async fn apply_document(vms: &[Vm], version: u64, document: &str) {
    let confirmed = async {
        loop {
            for server in vms.iter().filter_map(|vm| vm.server.as_ref()) {
                let document = document.as_bytes().to_vec();
                let store = server.deployment_store();
                let applied = store.apply(document, deployment(version));
                if applied.await.is_ok() {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, confirmed).await.unwrap();
}

/// Asks each member in turn until one returns a confirmed document.
pub(crate) async fn read_document(vms: &[Vm]) -> String {
    let confirmed = async {
        loop {
            for server in vms.iter().filter_map(|vm| vm.server.as_ref()) {
                if let Ok(Some(document)) = server.deployment_store().read().await {
                    return String::from_utf8(document).unwrap();
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, confirmed).await.unwrap()
}

/// Waits until the leader has exactly `count` members, all of them responding voters.
pub(crate) async fn wait_for_voters(vms: &[Vm], count: usize) {
    let reached = async {
        loop {
            let servers = vms.iter().filter_map(|vm| vm.server.as_ref());
            let is_reached = servers.map(ControlServer::replica_status).any(|status| {
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
    tokio::time::timeout(WAIT_TIMEOUT, reached).await.unwrap();
}

pub(crate) async fn start_vms(test: &str, count: usize) -> (Vec<Vm>, Vec<SocketAddr>) {
    let mut vms: Vec<Vm> = (0..count).map(|_| Vm::new(test)).collect();
    let seeds: Vec<SocketAddr> = vms.iter().take(3).map(|vm| vm.address).collect();
    // All start at once, since a member that is not a seed waits for the seeds during its start.
    futures::future::join_all(vms.iter_mut().map(|vm| vm.start(&seeds, true))).await;
    (vms, seeds)
}
