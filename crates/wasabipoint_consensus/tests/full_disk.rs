//! Behavior on a full disk: writes are retried until space is available, and until then nothing is
//! acknowledged and the replica keeps running.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Discard, Logger, o};
use wasabipoint_consensus::{
    Compaction, Configuration, DiskHook, Entry, HardState, Payload, ProposeError, Replica,
    ReplicaConfig, ReplicaHandle, RestoreError, SharedBytes, Snapshot, StateMachine, Storage,
    Transport, Write,
};
use wasabipoint_kernel::MemberId;

/// Timeout of each test step. Writes on a full disk are retried every 100 ms.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// State machine that lists the first byte of each command.
#[derive(Default)]
struct ValueList(Vec<u8>);

impl StateMachine for ValueList {
    fn apply(&mut self, _: u64, command: &[u8]) -> Vec<u8> {
        self.0.push(command[0]);
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.0 = snapshot.to_vec();
        Ok(())
    }
}

/// Number of entries between snapshots. It is small so that some snapshots are taken while the disk
/// is full.
const SNAPSHOT_ENTRIES: u64 = 16;

struct NoPeers;

impl Transport for NoPeers {
    fn send(&self, _: MemberId, _: Vec<u8>) {}
}

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("wasabipoint-full-disk-{}-{number}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fail_if_full(is_full: bool) -> io::Result<()> {
    if is_full {
        return Err(io::Error::from(io::ErrorKind::StorageFull));
    }
    Ok(())
}

/// Returns the configuration of the only member of a cluster.
fn config(folder: &Folder) -> ReplicaConfig {
    ReplicaConfig {
        cluster: "test".to_owned(),
        member: MemberId(1),
        initial_members: vec![MemberId(1)],
        is_joining: false,
        data_folder: folder.0.clone(),
        tick_ms: 10,
        snapshot_entries: SNAPSHOT_ENTRIES,
        snapshot_log_bytes: 8 * 1_024 * 1_024,
    }
}

/// Starts the only member of a cluster with a disk hook.
async fn start_with_hook(folder: &Folder, hook: DiskHook) -> ReplicaHandle {
    start_replica(config(folder), hook).await
}

async fn start_replica(config: ReplicaConfig, hook: DiskHook) -> ReplicaHandle {
    let logger = Logger::root(Discard, o!());
    let state_machine = Arc::new(Mutex::new(ValueList::default()));
    let started =
        Replica::start_with_disk_hook(config, state_machine, Arc::new(NoPeers), logger, Some(hook));
    started.await.unwrap()
}

/// Starts the only member of a cluster on a disk that is full while `is_full` is set.
async fn start(folder: &Folder, is_full: &Arc<AtomicBool>) -> ReplicaHandle {
    let is_full = Arc::clone(is_full);
    let hook = Box::new(move |_: &Path| fail_if_full(is_full.load(Ordering::Relaxed)));
    let handle = start_with_hook(folder, hook).await;
    let committed = async {
        while handle.propose(vec![0]).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, committed).await.unwrap();
    handle
}

/// Guards against a replica that stops while its disk is full, and against a proposal that is
/// acknowledged before it is durable.
#[tokio::test]
async fn a_proposal_on_a_full_disk_is_acknowledged_once_space_is_available() {
    let folder = Folder::new();
    let is_full = Arc::new(AtomicBool::new(false));
    let handle = start(&folder, &is_full).await;
    is_full.store(true, Ordering::Relaxed);
    let mut proposed = tokio::spawn({
        let handle = handle.clone();
        async move { handle.propose(vec![1]).await }
    });
    let early = tokio::time::timeout(Duration::from_millis(300), &mut proposed).await;
    assert!(early.is_err(), "{early:?}");
    assert!(!handle.status().is_stopped);
    is_full.store(false, Ordering::Relaxed);
    let result = tokio::time::timeout(STEP_TIMEOUT, proposed).await.unwrap();
    assert!(result.unwrap().is_ok());
    handle.stop().await;
}

/// Guards against a replica that cannot be stopped while its disk is full.
#[tokio::test]
async fn a_replica_stops_on_a_full_disk() {
    let folder = Folder::new();
    let is_full = Arc::new(AtomicBool::new(false));
    let handle = start(&folder, &is_full).await;
    is_full.store(true, Ordering::Relaxed);
    let proposed = tokio::spawn({
        let handle = handle.clone();
        async move { handle.propose(vec![1]).await }
    });
    tokio::task::yield_now().await;
    tokio::time::timeout(STEP_TIMEOUT, handle.stop())
        .await
        .unwrap();
    let result = proposed.await.unwrap();
    assert!(
        matches!(
            result,
            Err(ProposeError::OutcomeUnknown | ProposeError::Stopped)
        ),
        "{result:?}"
    );
}

/// Returns the values that a stopped member has stored durably.
fn stored_values(folder: &Folder) -> Vec<u8> {
    let (_, opened) = Storage::open(&folder.0, "test", MemberId(1)).unwrap();
    let recovered = opened.recovered;
    let snapshot = recovered.snapshot.as_deref();
    let mut values = snapshot.map_or(Vec::new(), |snapshot| snapshot.data.to_vec());
    let from = snapshot.map_or(0, |snapshot| snapshot.index);
    let entries = recovered.entries.iter().filter(|entry| entry.index > from);
    for entry in entries {
        if let Payload::Command(command) = &entry.payload {
            values.push(command[0]);
        }
    }
    values
}

/// Guards against an acknowledged proposal that is lost by a restart, no matter which operation
/// finds the disk full: a log write, a snapshot or a sync.
#[tokio::test]
async fn a_full_disk_loses_no_acknowledged_proposal() {
    for allowed_operations in (3..30).chain(60..80) {
        let folder = Folder::new();
        let mut operations = 0;
        let hook = Box::new(move |_: &Path| {
            operations += 1;
            fail_if_full(operations > allowed_operations)
        });
        let handle = start_with_hook(&folder, hook).await;
        let mut acknowledged = Vec::new();
        for value in 0.. {
            let proposed = handle.propose(vec![value]);
            match tokio::time::timeout(Duration::from_millis(60), proposed).await {
                Ok(Ok(_)) => acknowledged.push(value),
                Ok(Err(ProposeError::NotLeader { .. })) if acknowledged.is_empty() => {
                    // The disk may have become full during the election.
                    if value == u8::MAX {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                _ => break,
            }
        }
        tokio::time::timeout(STEP_TIMEOUT, handle.stop())
            .await
            .unwrap();
        let stored = stored_values(&folder);
        let lost: Vec<_> = acknowledged
            .iter()
            .filter(|value| !stored.contains(value))
            .collect();
        assert!(
            lost.is_empty(),
            "{lost:?} lost after {allowed_operations} operations"
        );
    }
}

/// Returns a hook for a disk of a fixed size on which the folder is the only user.
fn limited_disk(folder: &Folder, capacity_bytes: u64) -> DiskHook {
    let path = folder.0.clone();
    Box::new(move |_: &Path| {
        let files = std::fs::read_dir(&path)?;
        let sizes = files.map(|file| file.and_then(|file| file.metadata()).map(|m| m.len()));
        let used_bytes: u64 = sizes.sum::<io::Result<u64>>()?;
        fail_if_full(used_bytes > capacity_bytes)
    })
}

/// Guards against a member whose own log fills its disk: large entries reached the size of the disk
/// long before the number after which a snapshot replaces them, and only that snapshot, which then
/// found no room, would have freed the space.
#[tokio::test]
async fn large_entries_do_not_fill_the_disk() {
    const COMMAND_BYTES: usize = 64 * 1_024;
    const COMMANDS: u8 = 200;
    let folder = Folder::new();
    let config = ReplicaConfig {
        snapshot_entries: 512,
        snapshot_log_bytes: 1_024 * 1_024,
        ..config(&folder)
    };
    // The log before and after a compaction and the new log have 3 MiB.
    let handle = start_replica(config, limited_disk(&folder, 4 * 1_024 * 1_024)).await;
    while handle.propose(vec![0]).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for value in 1..=COMMANDS {
        let proposed = handle.propose(vec![value; COMMAND_BYTES]);
        let result = tokio::time::timeout(STEP_TIMEOUT, proposed).await;
        result
            .unwrap_or_else(|_| panic!("command {value} is never acknowledged"))
            .unwrap();
    }
    handle.stop().await;
    let stored = stored_values(&folder);
    assert!((1..=COMMANDS).all(|value| stored.contains(&value)));
}

/// Guards against a full disk that stays full: the kept entries have no room in the new log, but
/// the old log is larger than the new one would be without them.
#[test]
fn a_compaction_drops_kept_entries_that_have_no_room() {
    let folder = Folder::new();
    let (storage, _) = Storage::open(&folder.0, "test", MemberId(1)).unwrap();
    let mut operation = 0;
    // The batch appends to the log (write and sync), then replaces the snapshot and the log.
    let mut storage = storage.with_hook(Box::new(move |_: &Path| {
        operation += 1;
        fail_if_full(operation == 4)
    }));
    storage.write(&[1, 2, 3].map(entry)).unwrap();
    let compaction = Compaction {
        snapshot: Arc::new(Snapshot {
            index: 2,
            term: 1,
            configuration: Configuration::default(),
            data: SharedBytes::new(vec![1, 2]),
        }),
        hard_state: HardState {
            term: 1,
            ..HardState::default()
        },
        base_index: 1,
        base_term: 1,
        entries: vec![log_entry(2), log_entry(3)],
    };
    storage
        .write(&[Write::Snapshot(Box::new(compaction)), entry(4)])
        .unwrap();
    drop(storage);
    let (_, opened) = Storage::open(&folder.0, "test", MemberId(1)).unwrap();
    let recovered = opened.recovered;
    assert_eq!((recovered.base_index, recovered.base_term), (2, 1));
    assert_eq!(recovered.entries, [log_entry(3), log_entry(4)]);
    assert_eq!(recovered.hard_state.term, 1);
    assert_eq!(stored_values(&folder), [1, 2, 3, 4]);
}

/// Guards against space that an interrupted replacement of a file takes for ever.
#[test]
fn unfinished_files_are_removed_at_start() {
    let folder = Folder::new();
    drop(Storage::open(&folder.0, "test", MemberId(1)).unwrap());
    let unfinished = ["log.new", "snapshot.new"].map(|name| folder.0.join(name));
    for path in &unfinished {
        std::fs::write(path, [0; 10]).unwrap();
    }
    drop(Storage::open(&folder.0, "test", MemberId(1)).unwrap());
    assert!(unfinished.iter().all(|path| !path.exists()));
}

fn log_entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        payload: Payload::Command(SharedBytes::new(vec![index as u8])),
    }
}

fn entry(index: u64) -> Write {
    Write::Entry(log_entry(index))
}

/// Guards against a retried write that leaves the failed one in the log, and against a failed sync
/// that is retried although the system may have dropped the data.
#[test]
fn only_a_write_that_finds_no_space_is_retryable() {
    let folder = Folder::new();
    let (storage, _) = Storage::open(&folder.0, "test", MemberId(1)).unwrap();
    let mut operation = 0;
    // The first write fails, then the sync of the third one.
    let hook = move |_: &Path| {
        operation += 1;
        match operation {
            1 | 5 => Err(io::Error::from(io::ErrorKind::StorageFull)),
            _ => Ok(()),
        }
    };
    let mut storage = storage.with_hook(Box::new(hook));
    let writes = [entry(1), entry(2)];
    assert!(storage.write(&writes).unwrap_err().is_retryable);
    storage.write(&writes).unwrap();
    assert!(!storage.write(&[entry(3)]).unwrap_err().is_retryable);
    drop(storage);
    let (_, opened) = Storage::open(&folder.0, "test", MemberId(1)).unwrap();
    assert_eq!(opened.recovered.entries[..2].len(), 2);
    assert_eq!(opened.recovered.entries[1].index, 2);
}
