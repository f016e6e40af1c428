//! A cluster in one process. Its members have their own data folders and can be partitioned,
//! stopped and erased.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Drain, Logger, OwnedKVList, Record, o};
use tokio::time::{sleep, timeout};
use wasabipoint_consensus::{
    ChangeRefusal, DiskHook, MembershipChange, ProposeError, Replica, ReplicaConfig, ReplicaHandle,
    RestoreError, Role, StartError, StateMachine, Transport,
};
use wasabipoint_kernel::MemberId;

const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// State machine that lists all applied values.
#[derive(Default)]
struct ValueList(Vec<u64>);

impl StateMachine for ValueList {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        self.0.push(u64::from_le_bytes(command.try_into().unwrap()));
        self.0.len().to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.iter().flat_map(|v| v.to_le_bytes()).collect()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let words = snapshot.chunks_exact(8);
        self.0 = words
            .map(|w| u64::from_le_bytes(w.try_into().unwrap()))
            .collect();
        Ok(())
    }
}

#[derive(Default)]
struct Network {
    handles: BTreeMap<u64, ReplicaHandle>,
    partitioned: BTreeSet<u64>,
}

struct MemberTransport {
    from: u64,
    network: Arc<Mutex<Network>>,
}

impl Transport for MemberTransport {
    fn send(&self, to: MemberId, message: Vec<u8>) {
        let network = self.network.lock().unwrap();
        if !network.partitioned.contains(&self.from)
            && !network.partitioned.contains(&to.0)
            && let Some(handle) = network.handles.get(&to.0)
        {
            handle.deliver(MemberId(self.from), message);
        }
    }
}

/// Log messages of all members.
#[derive(Clone, Default)]
struct LogMessages(Arc<Mutex<Vec<String>>>);

impl Drain for LogMessages {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

pub(crate) struct Cluster {
    log_messages: LogMessages,
    folder: PathBuf,
    size: u64,
    network: Arc<Mutex<Network>>,
    state_machines: BTreeMap<u64, Arc<Mutex<ValueList>>>,
    disk_limits: BTreeMap<u64, u64>,
    disk_operations: BTreeMap<u64, Arc<AtomicU64>>,
    full_disks: BTreeMap<u64, Arc<AtomicBool>>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    pub(crate) fn new(size: u64) -> Self {
        let name = format!("wasabipoint-driver-{:016x}", rand::random::<u64>());
        Self {
            log_messages: LogMessages::default(),
            folder: std::env::temp_dir().join(name),
            size,
            network: Arc::default(),
            state_machines: BTreeMap::new(),
            disk_limits: BTreeMap::new(),
            disk_operations: BTreeMap::new(),
            full_disks: BTreeMap::new(),
        }
    }

    /// Returns the number of log messages that start with a text.
    pub(crate) fn count_log_messages(&self, start: &str) -> usize {
        let log_messages = self.log_messages.0.lock().unwrap();
        log_messages.iter().filter(|r| r.starts_with(start)).count()
    }

    pub(crate) async fn start(size: u64) -> Self {
        let mut cluster = Self::new(size);
        for id in 1..=size {
            cluster.start_member(id).await.unwrap();
        }
        cluster
    }

    pub(crate) async fn start_member(&mut self, id: u64) -> Result<(), StartError> {
        let handle = self.try_start(id).await?;
        self.network.lock().unwrap().handles.insert(id, handle);
        Ok(())
    }

    /// Starts a replica without making it reachable for the other members.
    pub(crate) async fn try_start(&mut self, id: u64) -> Result<ReplicaHandle, StartError> {
        let config = ReplicaConfig {
            cluster: "test".to_owned(),
            member: MemberId(id),
            initial_members: (1..=self.size).map(MemberId).collect(),
            is_joining: id > self.size,
            data_folder: self.folder.join(id.to_string()),
            tick_ms: 50,
            snapshot_entries: 50,
            snapshot_log_bytes: 8 * 1_024 * 1_024,
        };
        let state_machine = Arc::new(Mutex::new(ValueList::default()));
        let transport = Arc::new(MemberTransport {
            from: id,
            network: Arc::clone(&self.network),
        });
        let logger = Logger::root(self.log_messages.clone(), o!());
        let hook = Some(self.disk_hook(id));
        let handle =
            Replica::start_with_disk_hook(config, state_machine.clone(), transport, logger, hook)
                .await?;
        self.state_machines.insert(id, state_machine);
        Ok(handle)
    }

    fn disk_hook(&mut self, id: u64) -> DiskHook {
        let operations = self.count_disk_operations(id);
        let limit = self.disk_limits.get(&id).copied().unwrap_or(u64::MAX);
        let is_full = Arc::clone(self.full_disks.entry(id).or_default());
        Box::new(move |_| {
            if is_full.load(Ordering::Relaxed) {
                return Err(io::Error::from(io::ErrorKind::StorageFull));
            }
            if operations.fetch_add(1, Ordering::Relaxed) >= limit {
                return Err(io::Error::from(io::ErrorKind::ReadOnlyFilesystem));
            }
            Ok(())
        })
    }

    pub(crate) fn count_disk_operations(&mut self, id: u64) -> Arc<AtomicU64> {
        Arc::clone(self.disk_operations.entry(id).or_default())
    }

    pub(crate) fn fail_disk_after(&mut self, id: u64, operations: u64) {
        self.disk_limits.insert(id, operations);
    }

    /// Takes all room from the disk of a member, or gives it back.
    pub(crate) fn set_disk_full(&self, id: u64, is_full: bool) {
        self.full_disks[&id].store(is_full, Ordering::Relaxed);
    }

    pub(crate) fn repair_disk(&mut self, id: u64) {
        self.disk_limits.remove(&id);
    }

    pub(crate) fn handle(&self, id: u64) -> ReplicaHandle {
        self.network.lock().unwrap().handles[&id].clone()
    }

    pub(crate) fn values(&self, id: u64) -> Vec<u64> {
        self.state_machines[&id].lock().unwrap().0.clone()
    }

    pub(crate) async fn append(&self, id: u64, value: u64) -> Result<Vec<u8>, ProposeError> {
        let handle = self.handle(id);
        let call = handle.propose(value.to_le_bytes().to_vec());
        timeout(WAIT_TIMEOUT, call)
            .await
            .expect("the call is answered")
    }

    pub(crate) async fn stop(&self, id: u64) {
        let handle = self.network.lock().unwrap().handles.remove(&id);
        if let Some(handle) = handle {
            timeout(WAIT_TIMEOUT, handle.stop())
                .await
                .expect("the replica stops");
        }
    }

    pub(crate) async fn stop_all(&self) {
        let ids: Vec<u64> = self
            .network
            .lock()
            .unwrap()
            .handles
            .keys()
            .copied()
            .collect();
        for id in ids {
            self.stop(id).await;
        }
    }

    pub(crate) fn erase_data_folder(&self, id: u64) {
        std::fs::remove_dir_all(self.folder.join(id.to_string())).unwrap();
    }

    pub(crate) fn set_partitioned(&self, id: u64, is_partitioned: bool) {
        let mut network = self.network.lock().unwrap();
        if is_partitioned {
            network.partitioned.insert(id);
        } else {
            network.partitioned.remove(&id);
        }
    }

    pub(crate) async fn leader(&self) -> u64 {
        let ids: Vec<u64> = self
            .network
            .lock()
            .unwrap()
            .handles
            .keys()
            .copied()
            .collect();
        self.leader_among(&ids).await
    }

    pub(crate) async fn leader_among(&self, ids: &[u64]) -> u64 {
        let is_leading = |id: &&u64| self.handle(**id).status().role == Role::Leader;
        let found = self.wait_until(|| ids.iter().find(is_leading).copied());
        let leader = found.await;
        self.handle(leader).confirm_read().await.unwrap();
        leader
    }

    /// Returns the member that leads now, if there is one.
    pub(crate) fn current_leader(&self) -> Option<u64> {
        let network = self.network.lock().unwrap();
        let mut handles = network.handles.iter();
        let leading = handles.find(|(_, handle)| handle.status().role == Role::Leader);
        leading.map(|(id, _)| *id)
    }

    pub(crate) async fn wait_applied(&self, count: usize) {
        let is_applied =
            |state_machine: &Arc<Mutex<ValueList>>| state_machine.lock().unwrap().0.len() >= count;
        self.wait_until(|| self.state_machines.values().all(is_applied).then_some(()))
            .await;
    }

    pub(crate) async fn wait_values(&self, id: u64, count: usize) {
        self.wait_until(|| (self.values(id).len() == count).then_some(()))
            .await;
    }

    pub(crate) async fn wait_redundancy(&self, leader: u64, redundancy: usize) {
        let handle = self.handle(leader);
        self.wait_until(|| (handle.status().remaining_redundancy == redundancy).then_some(()))
            .await;
    }

    pub(crate) async fn promote(&self, leader: u64, learner: u64) {
        let change = MembershipChange::Promote(MemberId(learner));
        loop {
            match self.handle(leader).change_membership(change).await {
                Err(ProposeError::ChangeRefused(ChangeRefusal::LearnerBehind)) => {
                    sleep(Duration::from_millis(50)).await;
                }
                result => return result.unwrap(),
            }
        }
    }

    async fn wait_until<T>(&self, condition: impl Fn() -> Option<T>) -> T {
        let poll = async {
            loop {
                if let Some(found) = condition() {
                    return found;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(WAIT_TIMEOUT, poll)
            .await
            .expect("the condition is met in time")
    }
}
