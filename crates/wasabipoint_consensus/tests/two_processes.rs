//! Locking of a data folder between processes. This is a separate test program because a child
//! process briefly shares the file locks of all tests in its parent while it is being spawned.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;
use std::process::Command;

use wasabipoint_consensus::{OpenedStorage, StartError, Storage};
use wasabipoint_kernel::MemberId;

const CHILD_FOLDER: &str = "WASABIPOINT_TEST_FOLDER";

fn open(folder: &Path) -> Result<(Storage, OpenedStorage), StartError> {
    Storage::open(folder, "test", MemberId(1))
}

/// The second process of `a_second_process_is_refused`. Does nothing in a normal run.
#[test]
fn child_opens_the_folder() {
    if let Ok(folder) = std::env::var(CHILD_FOLDER) {
        let result = open(Path::new(&folder));
        assert!(matches!(result, Err(StartError::FolderInUse { .. })));
    }
}

/// Guards against two processes that write to the same log, and against a lock that is not released
/// when its owner closes the folder.
#[test]
fn a_second_process_is_refused() {
    let name = format!("wasabipoint-lock-{:016x}", rand::random::<u64>());
    let folder = std::env::temp_dir().join(name);
    let (storage, _) = open(&folder).unwrap();
    assert!(matches!(open(&folder), Err(StartError::FolderInUse { .. })));
    let mut child = Command::new(std::env::current_exe().unwrap());
    child.args(["child_opens_the_folder", "--exact"]);
    child.env(CHILD_FOLDER, &folder);
    assert!(child.output().unwrap().status.success());
    drop(storage);
    // Now that the folder is free, the child's assertion must fail.
    assert!(!child.output().unwrap().status.success());
    std::fs::remove_dir_all(&folder).unwrap();
}
