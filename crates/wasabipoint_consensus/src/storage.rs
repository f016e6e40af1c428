//! Durable storage of a member: log, snapshot, identity and lock file in one folder.

mod folder;
mod frame;
mod identity;

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wasabipoint_kernel::MemberId;

use crate::api::StartError;
use crate::entry::{Compaction, DiskId, Entry, HardState, RecoveredState, Snapshot, Write};
use folder::remove_unfinished_file;
pub use folder::{create_folder, replace_file, sync_folder};
use identity::Identity;

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";

/// One record of the log file.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// Index and term of the entry before the first one. This is the first record of a log file.
    Base(u64, u64),
    Hard(HardState),
    /// Removes all entries from the index of this entry on, then appends it.
    Entry(Entry),
}

/// A failed file system operation.
#[derive(Debug)]
pub struct DiskError {
    /// The file or folder.
    pub path: PathBuf,
    /// The operating system error.
    pub error: io::Error,
    /// Whether the disk was full and nothing durable has changed, so that the same operation can be
    /// retried once space is available.
    pub is_retryable: bool,
}

impl std::fmt::Display for DiskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.error)
    }
}

impl std::error::Error for DiskError {}

impl From<DiskError> for StartError {
    fn from(DiskError { path, error, .. }: DiskError) -> Self {
        Self::Disk { path, error }
    }
}

/// Called before each write and sync of the log or snapshot; an error fails the operation.
/// Tests use it to simulate a full or failing disk.
pub type DiskHook = Box<dyn FnMut(&Path) -> io::Result<()> + Send>;

/// Result of opening a data folder.
#[derive(Debug)]
pub struct OpenedStorage {
    /// Disk id in the identity file.
    pub disk: DiskId,
    /// The durable state.
    pub recovered: RecoveredState,
    /// Size in bytes of a torn write that was truncated at the end of the log.
    pub truncated_bytes: u64,
}

/// The open data folder of one member. Dropping it releases the lock.
pub struct Storage {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
    salt: u64,
    /// Sequence number of the next frame.
    sequence: u64,
    hook: Option<DiskHook>,
    _lock: File,
}

impl Storage {
    /// Opens or creates the data folder and reads the durable state.
    pub fn open(
        folder: &Path,
        cluster: &str,
        member: MemberId,
    ) -> Result<(Self, OpenedStorage), StartError> {
        create_folder(folder)?;
        let lock = lock_folder(folder)?;
        let identity = open_identity(folder, cluster, member)?;
        for file in [LOG_FILE, SNAPSHOT_FILE] {
            remove_unfinished_file(folder, file)?;
        }
        let snapshot = read_snapshot(&folder.join(SNAPSHOT_FILE))?;
        let path = folder.join(LOG_FILE);
        let bytes = fs::read(&path).map_err(start_error(&path))?;
        let (salt, scan) = scan_log(&path, &bytes)?;
        let (recovered, is_log_outdated) = replay(&path, &scan.payloads, snapshot)?;
        let log = OpenOptions::new().write(true).open(&path);
        let log = log.map_err(start_error(&path))?;
        let truncated_bytes = (bytes.len() - scan.valid_bytes) as u64;
        if truncated_bytes > 0 {
            let truncated = log.set_len(scan.valid_bytes as u64);
            truncated
                .and_then(|()| log.sync_all())
                .map_err(start_error(&path))?;
        }
        let mut storage = Self {
            folder: folder.to_owned(),
            log,
            log_bytes: scan.valid_bytes as u64,
            salt,
            sequence: scan.payloads.len() as u64,
            hook: None,
            _lock: lock,
        };
        if is_log_outdated {
            // Entries appended to the outdated log would be discarded together with it at the next
            // start.
            let (index, term) = (recovered.base_index, recovered.base_term);
            storage.replace_log(index, term, &recovered.hard_state, &[])?;
        }
        let opened = OpenedStorage {
            disk: identity.disk,
            recovered,
            truncated_bytes,
        };
        Ok((storage, opened))
    }

    /// Installs a hook that can inject errors into writes and syncs.
    #[must_use]
    pub fn with_hook(mut self, hook: DiskHook) -> Self {
        self.hook = Some(hook);
        self
    }

    /// Returns the size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Makes a batch durable. After a non-retryable error the state of the files is unknown and the
    /// storage must not be used again, because a repeated sync can succeed although data was lost.
    /// After a retryable error the next call must be for the same batch.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), DiskError> {
        let mut records = Vec::new();
        for write in writes {
            match write {
                Write::Hard(state) => encode_record(&mut records, &Record::Hard(state.clone())),
                Write::Entry(entry) => encode_record(&mut records, &Record::Entry(entry.clone())),
                Write::Snapshot(compaction) => {
                    // The rewritten log contains all earlier records of the batch.
                    records.clear();
                    self.replace_snapshot(compaction)?;
                }
            }
        }
        if records.is_empty() {
            return Ok(());
        }
        self.append_frame(&records)
    }

    fn append_frame(&mut self, payload: &[u8]) -> Result<(), DiskError> {
        let path = self.folder.join(LOG_FILE);
        let bytes = frame::encode_frame(self.salt, self.sequence, payload);
        // A failed write may leave part of the frame after the end of the log. The retry overwrites
        // it.
        self.run_hook(&path).map_err(retryable_if_full)?;
        let written = self.log.write_all_at(&bytes, self.log_bytes);
        written
            .map_err(disk_error(&path))
            .map_err(retryable_if_full)?;
        self.run_hook(&path)?;
        self.log.sync_data().map_err(disk_error(&path))?;
        self.log_bytes += bytes.len() as u64;
        self.sequence += 1;
        Ok(())
    }

    fn replace_snapshot(&mut self, compaction: &Compaction) -> Result<(), DiskError> {
        let path = self.folder.join(SNAPSHOT_FILE);
        self.run_hook(&path).map_err(retryable_if_full)?;
        replace_file(&self.folder, SNAPSHOT_FILE, &encode_snapshot(compaction))?;
        let Compaction {
            snapshot,
            hard_state,
            base_index,
            base_term,
            entries,
        } = compaction;
        let replaced = self.replace_log(*base_index, *base_term, hard_state, entries);
        let Err(DiskError {
            is_retryable: true, ..
        }) = replaced
        else {
            return replaced;
        };
        // The entries that the snapshot includes only help other members to catch up. Without them
        // the new log may fit, and it frees the space of the old one.
        let first = entries.partition_point(|entry| entry.index <= snapshot.index);
        self.replace_log(snapshot.index, snapshot.term, hard_state, &entries[first..])
    }

    fn replace_log(
        &mut self,
        base_index: u64,
        base_term: u64,
        hard_state: &HardState,
        entries: &[Entry],
    ) -> Result<(), DiskError> {
        let mut records = encode_base_record(base_index, base_term);
        encode_record(&mut records, &Record::Hard(hard_state.clone()));
        for entry in entries {
            encode_record(&mut records, &Record::Entry(entry.clone()));
        }
        let path = self.folder.join(LOG_FILE);
        self.run_hook(&path).map_err(retryable_if_full)?;
        let salt = rand::random();
        let bytes = encode_log(salt, &records);
        self.log = replace_file(&self.folder, LOG_FILE, &bytes)?;
        self.salt = salt;
        self.log_bytes = bytes.len() as u64;
        self.sequence = 1;
        Ok(())
    }

    fn run_hook(&mut self, path: &Path) -> Result<(), DiskError> {
        match &mut self.hook {
            Some(hook) => hook(path).map_err(disk_error(path)),
            None => Ok(()),
        }
    }
}

fn start_error(path: &Path) -> impl Fn(io::Error) -> StartError + use<> {
    let path = path.to_owned();
    move |error| StartError::Disk {
        path: path.clone(),
        error,
    }
}

pub(super) fn disk_error(path: &Path) -> impl Fn(io::Error) -> DiskError + use<> {
    let path = path.to_owned();
    move |error| DiskError {
        path: path.clone(),
        error,
        is_retryable: false,
    }
}

/// Classifies the error of an operation that has not changed anything durable: it is retryable if
/// the disk is full.
pub(super) fn retryable_if_full(error: DiskError) -> DiskError {
    let is_retryable = error.error.kind() == ErrorKind::StorageFull;
    DiskError {
        is_retryable,
        ..error
    }
}

fn corrupt_error(file: &Path, detail: impl Into<String>) -> StartError {
    StartError::Corrupt {
        file: file.to_owned(),
        detail: detail.into(),
    }
}

fn lock_folder(folder: &Path) -> Result<File, StartError> {
    let path = folder.join(LOCK_FILE);
    let mut options = OpenOptions::new();
    let opened = options.create(true).write(true).truncate(false).open(&path);
    let file = opened.map_err(start_error(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StartError::FolderInUse {
            folder: folder.to_owned(),
        }),
        Err(TryLockError::Error(error)) => Err(StartError::Disk { path, error }),
    }
}

fn read_if_present(path: &Path) -> Result<Option<Vec<u8>>, StartError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(start_error(path)(error)),
    }
}

/// Reads the identity file, or creates it in an empty folder.
fn open_identity(folder: &Path, cluster: &str, member: MemberId) -> Result<Identity, StartError> {
    let path = folder.join(IDENTITY_FILE);
    if let Some(bytes) = read_if_present(&path)? {
        let text = String::from_utf8(bytes).unwrap_or_default();
        let identity = Identity::parse(&text)
            .ok_or_else(|| corrupt_error(&path, "not a valid identity file"))?;
        identity.verify(folder, cluster, member)?;
        return Ok(identity);
    }
    // The log is created before the identity file, so an empty log without an identity file is the
    // result of an interrupted initialization.
    let log_path = folder.join(LOG_FILE);
    let has_log_records = match read_if_present(&log_path)? {
        Some(bytes) => bytes.len() > encode_log(0, &encode_base_record(0, 0)).len(),
        None => false,
    };
    if has_log_records || folder.join(SNAPSHOT_FILE).exists() {
        return Err(StartError::FolderMismatch {
            folder: folder.to_owned(),
            detail: "it holds a log or snapshot but no identity file".to_owned(),
        });
    }
    replace_file(
        folder,
        LOG_FILE,
        &encode_log(rand::random(), &encode_base_record(0, 0)),
    )?;
    let identity = Identity {
        cluster: cluster.to_owned(),
        member,
        disk: DiskId(rand::random()),
    };
    replace_file(folder, IDENTITY_FILE, identity.to_text().as_bytes())?;
    Ok(identity)
}

fn encode_record(records: &mut Vec<u8>, record: &Record) {
    let bytes = postcard::to_stdvec(record).expect("records have no unsupported types");
    records.extend(bytes);
}

fn encode_base_record(index: u64, term: u64) -> Vec<u8> {
    let mut records = Vec::new();
    encode_record(&mut records, &Record::Base(index, term));
    records
}

fn encode_log(salt: u64, records: &[u8]) -> Vec<u8> {
    let mut bytes = frame::encode_file_header(salt);
    bytes.extend(frame::encode_frame(salt, 0, records));
    bytes
}

fn scan_log<'a>(path: &Path, bytes: &'a [u8]) -> Result<(u64, frame::Scan<'a>), StartError> {
    if let Some(version) = frame::unsupported_version(bytes) {
        let expected = frame::FORMAT_VERSION;
        return Err(StartError::UnsupportedFormat {
            file: path.to_owned(),
            version,
            expected,
        });
    }
    let salt = frame::decode_file_header(bytes)
        .ok_or_else(|| corrupt_error(path, "the file header is damaged"))?;
    let scan = frame::scan(salt, bytes);
    // The file is renamed into place only after its first frame is durable, so that frame is never
    // torn.
    if scan.is_corrupt || scan.payloads.is_empty() {
        let detail = format!("the record at byte {} is damaged", scan.valid_bytes);
        return Err(corrupt_error(path, detail));
    }
    Ok((salt, scan))
}

/// Replays the log on top of the snapshot. Also returns whether the log is outdated.
fn replay(
    path: &Path,
    payloads: &[&[u8]],
    snapshot: Option<Snapshot>,
) -> Result<(RecoveredState, bool), StartError> {
    let decode_error = || corrupt_error(path, "a record cannot be decoded");
    let mut recovered = RecoveredState::default();
    for payload in payloads {
        let mut rest = *payload;
        while !rest.is_empty() {
            let (record, after) = postcard::take_from_bytes(rest).map_err(|_| decode_error())?;
            rest = after;
            match record {
                Record::Base(index, term) => {
                    (recovered.base_index, recovered.base_term) = (index, term);
                }
                Record::Hard(hard_state) => recovered.hard_state = hard_state,
                Record::Entry(entry) => replay_entry(path, &mut recovered, entry)?,
            }
        }
    }
    let mut is_log_outdated = false;
    match snapshot {
        Some(snapshot) => is_log_outdated = merge_snapshot(path, &mut recovered, snapshot)?,
        None if recovered.base_index > 0 => {
            return Err(corrupt_error(
                path,
                "the snapshot before the log is missing",
            ));
        }
        None => {}
    }
    Ok((recovered, is_log_outdated))
}

fn replay_entry(
    path: &Path,
    recovered: &mut RecoveredState,
    entry: Entry,
) -> Result<(), StartError> {
    let position = entry.index.checked_sub(recovered.base_index + 1);
    match position.and_then(|p| usize::try_from(p).ok()) {
        Some(position) if position <= recovered.entries.len() => {
            recovered.entries.truncate(position);
            recovered.entries.push(entry);
            Ok(())
        }
        _ => Err(corrupt_error(
            path,
            format!("entry {} is out of order", entry.index),
        )),
    }
}

/// Combines the log with the snapshot. After a crash between their replacements, the log may end
/// before the snapshot or conflict with it. Its entries are then discarded and true is returned.
fn merge_snapshot(
    path: &Path,
    recovered: &mut RecoveredState,
    snapshot: Snapshot,
) -> Result<bool, StartError> {
    if snapshot.index < recovered.base_index {
        return Err(corrupt_error(path, "the snapshot is older than the log"));
    }
    let position = (snapshot.index - recovered.base_index) as usize;
    let term = match position.checked_sub(1) {
        Some(position) => recovered.entries.get(position).map(|e| e.term),
        None => Some(recovered.base_term),
    };
    let is_log_outdated = term != Some(snapshot.term);
    if is_log_outdated {
        recovered.entries.clear();
        (recovered.base_index, recovered.base_term) = (snapshot.index, snapshot.term);
    }
    recovered.snapshot = Some(Arc::new(snapshot));
    Ok(is_log_outdated)
}

/// Encodes a snapshot file, which is a log file with a single frame.
fn encode_snapshot(compaction: &Compaction) -> Vec<u8> {
    let payload = postcard::to_stdvec(&*compaction.snapshot);
    let payload = payload.expect("snapshots have no unsupported types");
    encode_log(rand::random(), &payload)
}

fn read_snapshot(path: &Path) -> Result<Option<Snapshot>, StartError> {
    let Some(bytes) = read_if_present(path)? else {
        return Ok(None);
    };
    let (_, scan) = scan_log(path, &bytes)?;
    if scan.valid_bytes != bytes.len() || scan.payloads.len() != 1 {
        return Err(corrupt_error(path, "the file has an unexpected size"));
    }
    let snapshot = postcard::from_bytes(scan.payloads[0]);
    let snapshot = snapshot.map_err(|_| corrupt_error(path, "the snapshot cannot be decoded"))?;
    Ok(Some(snapshot))
}
