//! Synced storage of a member: log, snapshot, identity and lock file in one folder.

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
use crate::entry::{Compaction, DiskId, Entry, HardState, Recovered, Snapshot, Write};
pub use folder::{create_folder, replace_file, sync_folder};
use identity::Identity;

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";

/// One record of the log file.
#[derive(Debug, Serialize, Deserialize)]
enum Record {
    /// Index and term of the entry before the first one; the first record of a file.
    Base(u64, u64),
    Hard(HardState),
    /// Removes entries from its index on, then appends.
    Entry(Entry),
}

/// An operation that the disk refused.
#[derive(Debug)]
pub struct DiskError {
    /// The file or folder.
    pub path: PathBuf,
    /// The system's error.
    pub error: io::Error,
    /// Whether the disk was full before anything durable changed, so that the same operation can
    /// be repeated once there is room.
    pub is_repeatable: bool,
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

/// What opening a data folder finds.
#[derive(Debug)]
pub struct Opened {
    /// The disk that the identity file names.
    pub disk: DiskId,
    /// The durable state.
    pub recovered: Recovered,
    /// Bytes of a torn write that were cut from the end of the log.
    pub truncated_bytes: u64,
}

/// The open data folder of one member. Dropping it releases the lock.
pub struct Storage {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
    salt: u64,
    sequence: u64,
    hook: Option<DiskHook>,
    _lock: File,
}

impl Storage {
    /// Opens or creates the data folder and reads what it holds.
    pub fn open(
        folder: &Path,
        cluster: &str,
        member: MemberId,
    ) -> Result<(Self, Opened), StartError> {
        create_folder(folder)?;
        let lock = lock_folder(folder)?;
        let identity = open_identity(folder, cluster, member)?;
        let snapshot = read_snapshot(&folder.join(SNAPSHOT_FILE))?;
        let path = folder.join(LOG_FILE);
        let bytes = fs::read(&path).map_err(at(&path))?;
        let (salt, scan) = scan_log(&path, &bytes)?;
        let (recovered, is_outdated) = replay(&path, &scan.payloads, snapshot)?;
        let log = OpenOptions::new().write(true).open(&path);
        let log = log.map_err(at(&path))?;
        let truncated_bytes = (bytes.len() - scan.valid_bytes) as u64;
        if truncated_bytes > 0 {
            let cut = log.set_len(scan.valid_bytes as u64);
            cut.and_then(|()| log.sync_all()).map_err(at(&path))?;
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
        if is_outdated {
            // Entries appended to the outdated log would be discarded with it at the next start.
            let (index, term) = (recovered.base_index, recovered.base_term);
            storage.replace_log(index, term, recovered.hard.clone(), Vec::new())?;
        }
        let opened = Opened {
            disk: identity.disk,
            recovered,
            truncated_bytes,
        };
        Ok((storage, opened))
    }

    /// Installs a hook that can fail writes and syncs.
    #[must_use]
    pub fn with_hook(mut self, hook: DiskHook) -> Self {
        self.hook = Some(hook);
        self
    }

    /// Returns the size of the log file.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Makes a batch durable. After an error that is not repeatable the state of the files is unknown
    /// and the storage must not be used again: a repeated sync can succeed although data was lost.
    /// After a repeatable one the next call must be for the same batch.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), DiskError> {
        let mut records = Vec::new();
        for write in writes {
            match write {
                Write::Hard(hard) => push_record(&mut records, &Record::Hard(hard.clone())),
                Write::Entry(entry) => push_record(&mut records, &Record::Entry(entry.clone())),
                Write::Snapshot(compaction) => {
                    // The rewritten log contains everything that was issued before it.
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
        let bytes = frame::frame(self.salt, self.sequence, payload);
        // A part of the frame may be behind the end of the log; the repeated write replaces it.
        self.check_hook(&path).map_err(before_change)?;
        let written = self.log.write_all_at(&bytes, self.log_bytes);
        written.map_err(disk_error(&path)).map_err(before_change)?;
        self.check_hook(&path)?;
        self.log.sync_data().map_err(disk_error(&path))?;
        self.log_bytes += bytes.len() as u64;
        self.sequence += 1;
        Ok(())
    }

    fn replace_snapshot(&mut self, compaction: &Compaction) -> Result<(), DiskError> {
        let path = self.folder.join(SNAPSHOT_FILE);
        self.check_hook(&path).map_err(before_change)?;
        replace_file(&self.folder, SNAPSHOT_FILE, &encode_snapshot(compaction))?;
        let Compaction {
            hard,
            base_index,
            base_term,
            entries,
            ..
        } = compaction.clone();
        self.replace_log(base_index, base_term, hard, entries)
    }

    fn replace_log(
        &mut self,
        base_index: u64,
        base_term: u64,
        hard: HardState,
        entries: Vec<Entry>,
    ) -> Result<(), DiskError> {
        let mut records = base_record(base_index, base_term);
        push_record(&mut records, &Record::Hard(hard));
        for entry in entries {
            push_record(&mut records, &Record::Entry(entry));
        }
        let path = self.folder.join(LOG_FILE);
        self.check_hook(&path).map_err(before_change)?;
        let salt = rand::random();
        let bytes = new_log(salt, &records);
        self.log = replace_file(&self.folder, LOG_FILE, &bytes)?;
        self.salt = salt;
        self.log_bytes = bytes.len() as u64;
        self.sequence = 1;
        Ok(())
    }

    fn check_hook(&mut self, path: &Path) -> Result<(), DiskError> {
        match &mut self.hook {
            Some(hook) => hook(path).map_err(disk_error(path)),
            None => Ok(()),
        }
    }
}

fn at(path: &Path) -> impl Fn(io::Error) -> StartError + use<> {
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
        is_repeatable: false,
    }
}

/// Marks the error of an operation that has changed nothing durable as repeatable if the disk is full.
pub(super) fn before_change(error: DiskError) -> DiskError {
    let is_repeatable = error.error.kind() == ErrorKind::StorageFull;
    DiskError {
        is_repeatable,
        ..error
    }
}

fn corrupt(file: &Path, detail: impl Into<String>) -> StartError {
    StartError::Corrupt {
        file: file.to_owned(),
        detail: detail.into(),
    }
}

fn lock_folder(folder: &Path) -> Result<File, StartError> {
    let path = folder.join(LOCK_FILE);
    let mut options = OpenOptions::new();
    let opened = options.create(true).write(true).truncate(false).open(&path);
    let file = opened.map_err(at(&path))?;
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
        Err(error) => Err(at(path)(error)),
    }
}

/// Reads the identity file, or initializes an empty folder.
fn open_identity(folder: &Path, cluster: &str, member: MemberId) -> Result<Identity, StartError> {
    let path = folder.join(IDENTITY_FILE);
    if let Some(bytes) = read_if_present(&path)? {
        let text = String::from_utf8(bytes).unwrap_or_default();
        let identity = Identity::parse(&text)
            .ok_or_else(|| corrupt(&path, "it is not an identity file of this program"))?;
        identity.check(folder, cluster, member)?;
        return Ok(identity);
    }
    // The log is created before the identity, so a folder with more than an empty log was used.
    let log_path = folder.join(LOG_FILE);
    let is_log_used = match read_if_present(&log_path)? {
        Some(bytes) => bytes.len() > new_log(0, &base_record(0, 0)).len(),
        None => false,
    };
    if is_log_used || folder.join(SNAPSHOT_FILE).exists() {
        return Err(StartError::ForeignFolder {
            folder: folder.to_owned(),
            detail: "it holds a log or snapshot but no identity file".to_owned(),
        });
    }
    replace_file(
        folder,
        LOG_FILE,
        &new_log(rand::random(), &base_record(0, 0)),
    )?;
    let identity = Identity {
        cluster: cluster.to_owned(),
        member,
        disk: DiskId(rand::random()),
    };
    replace_file(folder, IDENTITY_FILE, identity.to_text().as_bytes())?;
    Ok(identity)
}

fn push_record(records: &mut Vec<u8>, record: &Record) {
    let bytes = postcard::to_stdvec(record).expect("records have no unsupported types");
    records.extend(bytes);
}

fn base_record(index: u64, term: u64) -> Vec<u8> {
    let mut records = Vec::new();
    push_record(&mut records, &Record::Base(index, term));
    records
}

fn new_log(salt: u64, records: &[u8]) -> Vec<u8> {
    let mut bytes = frame::file_header(salt);
    bytes.extend(frame::frame(salt, 0, records));
    bytes
}

fn scan_log<'a>(path: &Path, bytes: &'a [u8]) -> Result<(u64, frame::Scan<'a>), StartError> {
    if let Some(version) = frame::other_version(bytes) {
        let expected = frame::FORMAT_VERSION;
        return Err(StartError::OtherFormat {
            file: path.to_owned(),
            version,
            expected,
        });
    }
    let salt = frame::read_file_header(bytes)
        .ok_or_else(|| corrupt(path, "the file header is damaged"))?;
    let scan = frame::scan(salt, bytes);
    // The first frame is in place before the file gets its name.
    if scan.is_corrupt || scan.payloads.is_empty() {
        let detail = format!("the record at byte {} is damaged", scan.valid_bytes);
        return Err(corrupt(path, detail));
    }
    Ok((salt, scan))
}

/// Returns what the log and the snapshot hold, and whether the log is outdated.
fn replay(
    path: &Path,
    payloads: &[&[u8]],
    snapshot: Option<Snapshot>,
) -> Result<(Recovered, bool), StartError> {
    let damaged = || corrupt(path, "a record cannot be decoded");
    let mut recovered = Recovered::default();
    for payload in payloads {
        let mut rest = *payload;
        while !rest.is_empty() {
            let (record, after) = postcard::take_from_bytes(rest).map_err(|_| damaged())?;
            rest = after;
            match record {
                Record::Base(index, term) => {
                    (recovered.base_index, recovered.base_term) = (index, term);
                }
                Record::Hard(hard) => recovered.hard = hard,
                Record::Entry(entry) => push_replayed(path, &mut recovered, entry)?,
            }
        }
    }
    let mut is_outdated = false;
    match snapshot {
        Some(snapshot) => is_outdated = use_snapshot(path, &mut recovered, snapshot)?,
        None if recovered.base_index > 0 => {
            return Err(corrupt(path, "the snapshot before the log is missing"));
        }
        None => {}
    }
    Ok((recovered, is_outdated))
}

fn push_replayed(path: &Path, recovered: &mut Recovered, entry: Entry) -> Result<(), StartError> {
    let position = entry.index.checked_sub(recovered.base_index + 1);
    match position.and_then(|p| usize::try_from(p).ok()) {
        Some(position) if position <= recovered.entries.len() => {
            recovered.entries.truncate(position);
            recovered.entries.push(entry);
            Ok(())
        }
        _ => Err(corrupt(
            path,
            format!("entry {} is out of order", entry.index),
        )),
    }
}

/// Combines log and snapshot. After a crash between their replacements the log may end before
/// the snapshot or contradict it; then its entries are of no use and true is returned.
fn use_snapshot(
    path: &Path,
    recovered: &mut Recovered,
    snapshot: Snapshot,
) -> Result<bool, StartError> {
    if snapshot.index < recovered.base_index {
        return Err(corrupt(path, "the snapshot is older than the log"));
    }
    let position = (snapshot.index - recovered.base_index) as usize;
    let term = match position.checked_sub(1) {
        Some(position) => recovered.entries.get(position).map(|e| e.term),
        None => Some(recovered.base_term),
    };
    let is_outdated = term != Some(snapshot.term);
    if is_outdated {
        recovered.entries.clear();
        (recovered.base_index, recovered.base_term) = (snapshot.index, snapshot.term);
    }
    recovered.snapshot = Some(Arc::new(snapshot));
    Ok(is_outdated)
}

/// The snapshot file is one frame in the format of the log file.
fn encode_snapshot(compaction: &Compaction) -> Vec<u8> {
    let payload = postcard::to_stdvec(&*compaction.snapshot);
    let payload = payload.expect("snapshots have no unsupported types");
    new_log(rand::random(), &payload)
}

fn read_snapshot(path: &Path) -> Result<Option<Snapshot>, StartError> {
    let Some(bytes) = read_if_present(path)? else {
        return Ok(None);
    };
    let (_, scan) = scan_log(path, &bytes)?;
    if scan.valid_bytes != bytes.len() || scan.payloads.len() != 1 {
        return Err(corrupt(path, "the file has an unexpected size"));
    }
    let snapshot = postcard::from_bytes(scan.payloads[0]);
    let snapshot = snapshot.map_err(|_| corrupt(path, "the snapshot cannot be decoded"))?;
    Ok(Some(snapshot))
}
