//! Public types of the crate.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use wasabipoint_kernel::{MemberId, plain_data};

/// Maximum size of a command. A command and its framing must fit in one transport message.
pub const MAX_COMMAND_BYTES: usize = 4 * 1_024 * 1_024;

/// The replicated state machine. Commands are applied in log order on every member.
pub trait StateMachine: Send + 'static {
    /// Applies a committed command and returns the result for its proposer. It must be
    /// deterministic: the same commands in the same order must produce the same state on every
    /// member.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;
    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state with an encoded one.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// Best-effort delivery of messages between members.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message without blocking. Messages may be lost, duplicated or reordered.
    fn send(&self, to: MemberId, message: Vec<u8>);
}

/// Error of a state machine that cannot read a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestoreError {
    detail: String,
}

impl RestoreError {
    /// Creates the error from a description.
    pub fn new(detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
        }
    }
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the snapshot cannot be restored: {}", self.detail)
    }
}

impl std::error::Error for RestoreError {}

/// Settings of one member.
#[derive(Debug, Clone)]
pub struct ReplicaConfig {
    /// Name of the cluster; a data folder of another cluster is refused.
    pub cluster: String,
    /// Id of this member.
    pub member: MemberId,
    /// The initial voters of the cluster. They must be the same on every member.
    pub initial_members: Vec<MemberId>,
    /// Whether this member joins an existing cluster as a learner.
    pub is_joining: bool,
    /// Folder that contains the log, the snapshot and the identity file.
    pub data_folder: PathBuf,
    /// Length of a tick in milliseconds. The election timeout is 10 to 20 ticks.
    pub tick_ms: u64,
    /// Number of applied log entries after which a snapshot replaces them.
    pub snapshot_entries: u64,
    /// Size of applied log entries in bytes after which a snapshot replaces them. It bounds the log
    /// on disk and in memory when entries are large.
    pub snapshot_log_bytes: u64,
}

plain_data! {
    copy
    /// Raft role of a member.
    #[derive(Default)]
    pub enum Role {
        /// Receives entries but does not vote.
        Learner,
        /// Votes and receives entries.
        #[default]
        Follower,
        /// Requests pre-votes or votes.
        Candidate,
        /// Appends entries and replicates them.
        Leader,
    }
}

plain_data! {
    copy
    /// Replication state of one member, as reported by the leader.
    pub struct MemberStatus {
        /// Id of the member.
        pub member: MemberId,
        /// Whether the member votes.
        pub is_voter: bool,
        /// Index of the last entry that the member stores durably; zero unless this replica is the
        /// leader.
        pub match_index: u64,
        /// Whether the leader received a response from the member within the minimum election
        /// timeout.
        pub is_responding: bool,
        /// Its address, if it joined. Addresses of initial members come from the settings.
        pub address: Option<SocketAddr>,
    }
}

plain_data! {
    data
    /// Observable state of a replica.
    #[derive(Eq, Default)]
    pub struct ReplicaStatus {
        /// Id of this member.
        pub member: MemberId,
        /// Raft role of this member.
        pub role: Role,
        /// The current term.
        pub term: u64,
        /// The leader of the term, if it is known.
        pub leader: Option<MemberId>,
        /// Index of the last committed entry.
        pub commit_index: u64,
        /// Index of the last applied entry.
        pub applied_index: u64,
        /// All members of the current configuration, ordered by id.
        pub members: Vec<MemberStatus>,
        /// Number of further voters that can fail without losing the quorum. Only voters that
        /// respond and durably store every entry committed by the heartbeat before last are
        /// counted. It is zero unless this replica is the leader.
        pub remaining_redundancy: usize,
        /// Whether the replica has stopped, by request or after a fault.
        pub is_stopped: bool,
        /// The fault that stopped the replica: a failed disk, a refusal by the other members or a
        /// snapshot that cannot be restored.
        pub fault: Option<String>,
        /// Whether the other members refuse this one, so that it can only join under a new id.
        pub is_refused_by_peers: bool,
    }
}

plain_data! {
    copy
    /// A change of the membership by one member. A change is accepted only once the previous one is
    /// committed.
    pub enum MembershipChange {
        /// Adds a non-voting member with its address.
        AddLearner(MemberId, SocketAddr),
        /// Promotes a learner that durably stores every committed entry to a voter.
        Promote(MemberId),
        /// Removes a voter or learner.
        Remove(MemberId),
    }
}

plain_data! {
    copy
    /// Reason why a membership change was refused.
    pub enum ChangeRefusal {
        /// An earlier change is not committed yet.
        ChangeInProgress,
        /// The leader has not committed an entry of its term yet.
        LeaderNotReady,
        /// The learner does not yet store every committed entry durably.
        LearnerBehind,
        /// The member is not in the configuration, or not in the required role.
        UnknownMember,
        /// The member is already in the configuration.
        AlreadyMember,
        /// The change would remove the last voter.
        LastVoter,
        /// The member was removed; ids of removed members are never reused.
        RetiredMember,
    }
}

impl fmt::Display for ChangeRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ChangeInProgress => "an earlier membership change is not committed yet",
            Self::LeaderNotReady => "the leader has not committed an entry of its term yet",
            Self::LearnerBehind => "the learner does not hold every committed entry yet",
            Self::UnknownMember => "the member is not in the configuration in the needed role",
            Self::AlreadyMember => "the member is already in the configuration",
            Self::LastVoter => "the change would remove the last voter",
            Self::RetiredMember => "the member id was removed before; use a new id",
        })
    }
}

/// Error of a proposal, a read request or a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// This member is not the leader. The call had no effect.
    NotLeader {
        /// The leader, when it is known.
        leader: Option<MemberId>,
    },
    /// The proposal was appended, but then leadership was lost or the replica stopped. The proposal
    /// may still be committed.
    OutcomeUnknown,
    /// Too many calls are queued, or too many proposed bytes are uncommitted. The call had no
    /// effect.
    Overloaded,
    /// The command exceeds the size limit. The call had no effect.
    TooLarge,
    /// The replica has stopped. The call had no effect.
    Stopped,
    /// The membership change was refused. The call had no effect.
    ChangeRefused(ChangeRefusal),
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader {
                leader: Some(leader),
            } => write!(f, "this member does not lead, member {leader} does"),
            Self::NotLeader { leader: None } => {
                f.write_str("this member does not lead, and the leader is not known")
            }
            Self::OutcomeUnknown => f.write_str("the proposal may or may not be committed"),
            Self::Overloaded => f.write_str("the queue of proposals is full"),
            Self::TooLarge => write!(f, "the command is larger than {MAX_COMMAND_BYTES} bytes"),
            Self::Stopped => f.write_str("the replica has stopped"),
            Self::ChangeRefused(reason) => write!(f, "membership change refused: {reason}"),
        }
    }
}

impl std::error::Error for ProposeError {}

/// Error that prevents a replica from starting.
#[derive(Debug)]
pub enum StartError {
    /// The settings are invalid.
    InvalidConfig {
        /// Description of the problem.
        detail: String,
    },
    /// Another process uses the data folder.
    FolderInUse {
        /// The data folder.
        folder: PathBuf,
    },
    /// The data folder belongs to another member or cluster.
    FolderMismatch {
        /// The data folder.
        folder: PathBuf,
        /// Description of the mismatch.
        detail: String,
    },
    /// A file is corrupt in a way that cannot result from a crash.
    Corrupt {
        /// The corrupt file.
        file: PathBuf,
        /// Description of the problem.
        detail: String,
    },
    /// A file has the format of another release. It is not modified.
    UnsupportedFormat {
        /// The file.
        file: PathBuf,
        /// The format version of the file.
        version: u8,
        /// The format version of this release.
        expected: u8,
    },
    /// A file system operation failed, for example because the disk is full or read-only.
    Disk {
        /// The file or folder.
        path: PathBuf,
        /// The operating system error.
        error: io::Error,
    },
    /// The state machine cannot read the snapshot.
    Restore(RestoreError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidConfig { detail } => write!(f, "invalid replica settings: {detail}"),
            Self::FolderInUse { folder } => write!(
                f,
                "data folder {} is used by another process",
                folder.display()
            ),
            Self::FolderMismatch { folder, detail } => write!(
                f,
                "data folder {} is not this member's: {detail}",
                folder.display()
            ),
            Self::Corrupt { file, detail } => {
                write!(f, "file {} is corrupt: {detail}", file.display())
            }
            Self::UnsupportedFormat {
                file,
                version,
                expected,
            } => write!(
                f,
                "file {} has format {version}, expected format {expected}; \
                 start the release that wrote it, or empty the data folder and join anew",
                file.display()
            ),
            Self::Disk { path, error } => write!(f, "{}: {error}", path.display()),
            Self::Restore(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}
