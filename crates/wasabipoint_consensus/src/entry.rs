//! Log entries, configurations and the durable state of a member.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use wasabipoint_kernel::{MemberId, plain_data};

/// Immutable bytes that are shared by the log, messages and writes without copying.
#[derive(Clone, PartialEq, Eq)]
pub struct SharedBytes(Arc<[u8]>);

impl SharedBytes {
    /// Takes ownership of the bytes.
    pub fn new(bytes: impl Into<Arc<[u8]>>) -> Self {
        Self(bytes.into())
    }
}

impl std::ops::Deref for SharedBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for SharedBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{} bytes]", self.0.len())
    }
}

impl Serialize for SharedBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for SharedBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(SharedBytesVisitor)
    }
}

struct SharedBytesVisitor;

impl Visitor<'_> for SharedBytesVisitor {
    type Value = SharedBytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<SharedBytes, E> {
        Ok(SharedBytes::new(bytes))
    }
}

plain_data! {
    copy
    /// Random number in the identity file of a data folder. It distinguishes a member from one
    /// that lost its disk and restarts under the same member id.
    #[serde(transparent)]
    pub struct DiskId(pub u64);
}

impl DiskId {
    /// Placeholder for a disk that was lost before its id was known. A random id is zero only with
    /// a probability of 2^-64.
    pub(crate) const LOST: Self = Self(0);
}

plain_data! {
    data
    /// The members of the cluster.
    #[derive(Eq, Default)]
    pub struct Configuration {
        /// Voting members, each with the id of the disk that stores its votes and entries.
        pub voters: BTreeMap<MemberId, DiskId>,
        /// Non-voting members that receive entries.
        pub learners: BTreeSet<MemberId>,
        /// Removed members. Their ids are never reused.
        pub retired: BTreeSet<MemberId>,
        /// Addresses of members that joined. They take effect together with the membership, because
        /// an election has to reach a voter before any entry is applied.
        pub addresses: BTreeMap<MemberId, SocketAddr>,
    }
}

impl Configuration {
    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Iterates over voters and learners.
    pub fn members(&self) -> impl Iterator<Item = MemberId> {
        self.voters.keys().chain(&self.learners).copied()
    }

    /// Returns whether the member is a voter or a learner.
    pub fn contains(&self, member: MemberId) -> bool {
        self.voters.contains_key(&member) || self.learners.contains(&member)
    }
}

plain_data! {
    data
    /// Content of a log entry.
    #[derive(Eq)]
    pub enum Payload {
        /// A command for the state machine.
        Command(SharedBytes),
        /// A configuration, which takes effect when the entry is appended. A new leader appends
        /// the current one as the first entry of its term.
        Configuration(Configuration),
    }
}

plain_data! {
    data
    /// One entry of the replicated log.
    #[derive(Eq)]
    pub struct Entry {
        /// Position in the log, from 1.
        pub index: u64,
        /// Term of the leader that appended it.
        pub term: u64,
        /// Content of the entry.
        pub payload: Payload,
    }
}

impl Entry {
    /// Returns the approximate encoded size in bytes.
    pub(crate) fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 16;
        match &self.payload {
            Payload::Command(bytes) => OVERHEAD_BYTES + bytes.len(),
            Payload::Configuration(_) => 16 * OVERHEAD_BYTES,
        }
    }
}

plain_data! {
    data
    /// State that must be durable before any message that depends on it is sent.
    #[derive(Eq, Default)]
    pub struct HardState {
        /// The current term.
        pub term: u64,
        /// The candidate that received this member's vote in the current term.
        pub vote: Option<MemberId>,
        /// Disk ids of the initial members, each recorded on first contact.
        pub known_disks: BTreeMap<MemberId, DiskId>,
        /// The initial configuration, set once this member participates in the cluster. It is empty
        /// for a member that joins an existing cluster.
        pub bootstrap: Option<Configuration>,
    }
}

plain_data! {
    data
    /// The state of the state machine after an entry.
    #[derive(Eq)]
    pub struct Snapshot {
        /// Index of the last entry that the state includes.
        pub index: u64,
        /// Term of that entry.
        pub term: u64,
        /// The configuration in effect at that entry.
        pub configuration: Configuration,
        /// The encoded state.
        pub data: SharedBytes,
    }
}

/// Durable state that a member reads from its data folder at start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredState {
    /// The latest hard state.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Index of the entry before the first one in `entries`.
    pub base_index: u64,
    /// Term of that entry.
    pub base_term: u64,
    /// Entries after the base index, without gaps.
    pub entries: Vec<Entry>,
}

/// One change to the durable state. Changes become durable in the order they are issued.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Replaces the hard state.
    Hard(HardState),
    /// Removes all entries from the index of this entry on, then appends it.
    Entry(Entry),
    /// Replaces the snapshot, then the log.
    Snapshot(Box<Compaction>),
}

/// A new snapshot together with the remaining log.
#[derive(Debug, Clone, PartialEq)]
pub struct Compaction {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// The hard state at this point of the log.
    pub hard_state: HardState,
    /// Index of the entry before the first remaining one.
    pub base_index: u64,
    /// Term of that entry.
    pub base_term: u64,
    /// The remaining entries.
    pub entries: Vec<Entry>,
}
