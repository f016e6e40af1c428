//! Tests of the durable state: crashes, corruption and folders of other members.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use wasabipoint_consensus::{
    Compaction, Configuration, Entry, HardState, OpenedStorage, Payload, SharedBytes, Snapshot,
    StartError, Storage, Write,
};
use wasabipoint_kernel::MemberId;

/// A temporary data folder that is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!("wasabipoint-storage-{:016x}", rand::random::<u64>());
        Self(std::env::temp_dir().join(name))
    }

    fn open(&self) -> Result<(Storage, OpenedStorage), StartError> {
        Storage::open(&self.0, "test", MemberId(1))
    }

    fn reopen(&self) -> OpenedStorage {
        self.open().unwrap().1
    }

    fn log(&self) -> PathBuf {
        self.0.join("log")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, term: u64) -> Entry {
    // The last byte is not zero, so that a torn entry followed by zeros is never valid.
    let command = SharedBytes::new(index.to_be_bytes().repeat(4));
    Entry {
        index,
        term,
        payload: Payload::Command(command),
    }
}

fn write_entries(storage: &mut Storage, indexes: std::ops::RangeInclusive<u64>, term: u64) {
    for index in indexes {
        storage.write(&[Write::Entry(entry(index, term))]).unwrap();
    }
}

fn snapshot(index: u64, term: u64) -> Write {
    let snapshot = Snapshot {
        index,
        term,
        configuration: Configuration::default(),
        data: SharedBytes::new(vec![7; 100]),
    };
    Write::Snapshot(Box::new(Compaction {
        snapshot: Arc::new(snapshot),
        hard_state: HardState {
            term,
            ..HardState::default()
        },
        base_index: index,
        base_term: term,
        entries: vec![entry(index + 1, term)],
    }))
}

/// Guards against state that is lost or changed by a restart.
#[test]
fn reads_back_what_was_written() {
    let folder = Folder::new();
    let (mut storage, opened) = folder.open().unwrap();
    let hard_state = HardState {
        term: 3,
        vote: Some(MemberId(2)),
        ..HardState::default()
    };
    storage.write(&[Write::Hard(hard_state.clone())]).unwrap();
    write_entries(&mut storage, 1..=9, 2);
    write_entries(&mut storage, 5..=6, 3);
    drop(storage);
    let reopened = folder.reopen();
    assert_eq!(reopened.disk, opened.disk);
    assert_eq!(reopened.recovered.hard_state, hard_state);
    let terms: Vec<_> = reopened.recovered.entries.iter().map(|e| e.term).collect();
    assert_eq!(terms, [2, 2, 2, 2, 3, 3]);

    let (mut storage, _) = folder.open().unwrap();
    storage.write(&[snapshot(6, 3)]).unwrap();
    write_entries(&mut storage, 8..=8, 3);
    drop(storage);
    let compacted = folder.reopen().recovered;
    assert_eq!((compacted.base_index, compacted.base_term), (6, 3));
    assert_eq!(compacted.entries, [entry(7, 3), entry(8, 3)]);
    assert_eq!(compacted.snapshot.unwrap().index, 6);
}

/// Guards against a crash during a write that prevents the next start, or that leaves partial data
/// which corrupts later writes.
#[test]
fn truncates_a_torn_tail_of_any_length() {
    let folder = Folder::new();
    let (mut storage, _) = folder.open().unwrap();
    write_entries(&mut storage, 1..=3, 1);
    let synced_bytes = storage.log_bytes() as usize;
    write_entries(&mut storage, 4..=4, 1);
    drop(storage);
    let whole = fs::read(folder.log()).unwrap();
    for length in synced_bytes..whole.len() {
        // A torn write leaves a short file, or trailing zeros if the file size was extended first.
        for has_zeros in [false, true] {
            let mut torn = whole[..length].to_vec();
            if has_zeros {
                torn.resize(whole.len() + 512, 0);
            }
            fs::write(folder.log(), &torn).unwrap();
            let (mut storage, opened) = folder.open().unwrap();
            assert_eq!(opened.recovered.entries.len(), 3, "{length} bytes");
            assert_eq!(opened.truncated_bytes as usize, torn.len() - synced_bytes);
            write_entries(&mut storage, 4..=5, 2);
            drop(storage);
            assert_eq!(folder.reopen().recovered.entries.len(), 5);
        }
    }
}

/// Guards against a start that silently drops acknowledged entries after a corrupt one.
#[test]
fn refuses_corruption_before_the_tail() {
    let folder = Folder::new();
    let (mut storage, _) = folder.open().unwrap();
    write_entries(&mut storage, 1..=3, 1);
    let before_last = storage.log_bytes() as usize;
    write_entries(&mut storage, 4..=4, 1);
    drop(storage);
    let whole = fs::read(folder.log()).unwrap();
    for position in 0..before_last {
        let mut corrupted = whole.clone();
        corrupted[position] ^= 0x10;
        fs::write(folder.log(), &corrupted).unwrap();
        let result = folder.open();
        assert!(
            matches!(result, Err(StartError::Corrupt { .. })),
            "corruption at byte {position} is not detected"
        );
    }
}

/// Guards against a start with a corrupt snapshot, or without the log or the snapshot that the log
/// continues.
#[test]
fn refuses_a_corrupt_or_missing_snapshot_or_log() {
    let folder = Folder::new();
    let (mut storage, _) = folder.open().unwrap();
    write_entries(&mut storage, 1..=6, 1);
    storage.write(&[snapshot(6, 1)]).unwrap();
    drop(storage);
    let path = folder.0.join("snapshot");
    let whole = fs::read(&path).unwrap();
    for length in [0, 10, whole.len() - 1] {
        fs::write(&path, &whole[..length]).unwrap();
        assert!(matches!(folder.open(), Err(StartError::Corrupt { .. })));
    }
    fs::remove_file(&path).unwrap();
    assert!(matches!(folder.open(), Err(StartError::Corrupt { .. })));
    fs::write(&path, &whole).unwrap();
    folder.reopen();
    fs::remove_file(folder.log()).unwrap();
    assert!(matches!(folder.open(), Err(StartError::Disk { .. })));
}

/// Guards against a log of another release that is reported as corrupt, or overwritten.
#[test]
fn refuses_a_log_of_another_format_without_modifying_it() {
    let folder = Folder::new();
    let (mut storage, _) = folder.open().unwrap();
    write_entries(&mut storage, 1..=2, 1);
    drop(storage);
    let mut older = fs::read(folder.log()).unwrap();
    older[7] = 1;
    let checksum = crc32c::crc32c(&older[..16]);
    older[16..20].copy_from_slice(&checksum.to_le_bytes());
    fs::write(folder.log(), &older).unwrap();
    let opened = folder.open();
    assert!(matches!(
        opened,
        Err(StartError::UnsupportedFormat { version: 1, .. })
    ));
    assert_eq!(fs::read(folder.log()).unwrap(), older);
}

/// Guards against entries that are discarded at the second start after a crash between the
/// replacements of snapshot and log.
#[test]
fn replaces_a_log_that_conflicts_with_the_snapshot() {
    for last_index in [4, 8] {
        let folder = Folder::new();
        let (mut storage, _) = folder.open().unwrap();
        write_entries(&mut storage, 1..=last_index, 1);
        drop(storage);
        let old_log = fs::read(folder.log()).unwrap();
        let (mut storage, _) = folder.open().unwrap();
        storage.write(&[snapshot(6, 2)]).unwrap();
        drop(storage);
        fs::write(folder.log(), &old_log).unwrap();
        let (mut storage, opened) = folder.open().unwrap();
        assert_eq!(opened.recovered.entries, []);
        write_entries(&mut storage, 7..=7, 2);
        drop(storage);
        assert_eq!(folder.reopen().recovered.entries, [entry(7, 2)]);
    }
}

/// Guards against a member that starts with the state of another member or cluster.
#[test]
fn refuses_a_folder_of_another_member_or_cluster() {
    let folder = Folder::new();
    drop(folder.open().unwrap());
    for (cluster, member) in [("test", 2), ("other", 1)] {
        let result = Storage::open(&folder.0, cluster, MemberId(member));
        let error = result.err().unwrap();
        assert!(matches!(error, StartError::FolderMismatch { .. }));
        assert!(
            error
                .to_string()
                .contains("belongs to member 1 of cluster test")
        );
    }
    let (mut storage, _) = folder.open().unwrap();
    write_entries(&mut storage, 1..=1, 1);
    drop(storage);
    fs::remove_file(folder.0.join("identity")).unwrap();
    assert!(matches!(
        folder.open(),
        Err(StartError::FolderMismatch { .. })
    ));
}

/// Guards against an unclear error, or a start that seems to succeed, on a path that is not
/// writable.
#[test]
fn reports_a_folder_that_cannot_be_created() {
    let folder = Folder::new();
    fs::write(&folder.0, "a file").unwrap();
    let inside = folder.0.join("data");
    let error = Storage::open(&inside, "test", MemberId(1)).err().unwrap();
    assert!(matches!(&error, StartError::Disk { path, .. } if *path == inside));
    fs::remove_file(&folder.0).unwrap();
}

/// Guards against success being reported although a write or sync failed.
#[test]
fn reports_a_failed_write_or_sync() {
    for failing in 0..2 {
        let folder = Folder::new();
        let mut operation = 0;
        let hook = move |_: &Path| {
            operation += 1;
            if operation > failing {
                return Err(io::Error::from(ErrorKind::ReadOnlyFilesystem));
            }
            Ok(())
        };
        let mut storage = folder.open().unwrap().0.with_hook(Box::new(hook));
        let result = storage.write(&[Write::Entry(entry(1, 1))]);
        assert_eq!(
            result.unwrap_err().error.kind(),
            ErrorKind::ReadOnlyFilesystem
        );
    }
}
