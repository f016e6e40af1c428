//! Shutdown of a replica whose disk fails. This is a separate test program because it counts the
//! panics of its process.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use slog::{Discard, Logger, o};
use wasabipoint_consensus::{
    ProposeError, Replica, ReplicaConfig, RestoreError, StateMachine, Transport,
};
use wasabipoint_kernel::MemberId;

/// Number of disk operations before the disk fails. It suffices for an election and some entries.
const ALLOWED_OPERATIONS: usize = 40;

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// State machine that returns the index of each command.
struct EchoIndex;

impl StateMachine for EchoIndex {
    fn apply(&mut self, index: u64, _: &[u8]) -> Vec<u8> {
        index.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: &[u8]) -> Result<(), RestoreError> {
        Ok(())
    }
}

struct NoPeers;

impl Transport for NoPeers {
    fn send(&self, _: MemberId, _: Vec<u8>) {}
}

/// Guards against a driver that panics after a disk fault instead of closing its files and
/// answering its callers. This happened when it awaited the completed write task a second time.
#[tokio::test(start_paused = true)]
async fn a_disk_fault_stops_the_driver_without_a_panic() {
    let name = format!("wasabipoint-disk-fault-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let config = ReplicaConfig {
        cluster: "test".to_owned(),
        member: MemberId(1),
        initial_members: vec![MemberId(1)],
        is_joining: false,
        data_folder: folder.clone(),
        tick_ms: 50,
        snapshot_entries: 1_000,
        snapshot_log_bytes: 8 * 1_024 * 1_024,
    };
    let mut operations = 0;
    let hook = Box::new(move |_: &std::path::Path| {
        operations += 1;
        if operations > ALLOWED_OPERATIONS {
            return Err(io::Error::from(io::ErrorKind::ReadOnlyFilesystem));
        }
        Ok(())
    });
    std::panic::set_hook(Box::new(|_| {
        PANICS.fetch_add(1, Ordering::Relaxed);
    }));
    let logger = Logger::root(Discard, o!());
    let state_machine = Arc::new(Mutex::new(EchoIndex));
    let started =
        Replica::start_with_disk_hook(config, state_machine, Arc::new(NoPeers), logger, Some(hook));
    let handle = started.await.unwrap();
    let fault = loop {
        match handle.propose(vec![0]).await {
            Ok(_) => {}
            Err(ProposeError::NotLeader { .. }) => {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
            Err(error) => break error,
        }
    };
    handle.stop().await;
    drop(std::panic::take_hook());
    std::fs::remove_dir_all(folder).unwrap();
    assert!(matches!(
        fault,
        ProposeError::OutcomeUnknown | ProposeError::Stopped
    ));
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
}
