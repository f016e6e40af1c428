//! Types of the public interface.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use wasabipoint_kernel::{MemberId, plain_data};

/// Largest command. One command must fit in one message of the transport with its frame.
pub const MAX_COMMAND_BYTES: usize = 4 * 1_024 * 1_024;

/// The replicated state. Commands are applied in log order on every member.
pub trait StateMachine: Send + 'static {
    /// Applies a committed command and returns the result for its proposer. It must be
    /// deterministic: the same commands in the same order give the same state on every member.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;
    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by an encoded one.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

/// Best-effort delivery of messages between members.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message. It never blocks, and messages may be lost, repeated or reordered.
    fn send(&self, to: MemberId, message: Vec<u8>);
}

/// A snapshot that the state machine cannot read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestoreError {
    detail: String,
}

impl RestoreError {
    /// Creates the error from a description of what is wrong.
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
    /// This member.
    pub member: MemberId,
    /// The first voters of the cluster, the same on every member.
    pub members: Vec<MemberId>,
    /// Whether this member joins an existing cluster as a learner.
    pub is_joining: bool,
    /// Folder of the log, the snapshot and the identity file.
    pub data_folder: PathBuf,
    /// Length of a tick in milliseconds; an election takes 10 to 20 ticks.
    pub tick_ms: u64,
    /// Applied log entries between snapshots.
    pub snapshot_entries: u64,
}

plain_data! {
    copy
    /// What a member currently does.
    #[derive(Default)]
    pub enum Role {
        /// Receives entries without a vote.
        Learner,
        /// Votes and receives entries.
        #[default]
        Follower,
        /// Asks for votes.
        Candidate,
        /// Appends entries.
        Leader,
    }
}

plain_data! {
    copy
    /// Replication state of one member, as its leader knows it.
    pub struct MemberStatus {
        /// The member.
        pub member: MemberId,
        /// Whether the member votes.
        pub is_voter: bool,
        /// Last entry that the member holds durably; zero when this replica does not lead.
        pub match_index: u64,
        /// Whether the leader heard from the member within an election timeout.
        pub is_responding: bool,
        /// Its address, if it joined. First members are known by the settings.
        pub address: Option<SocketAddr>,
    }
}

plain_data! {
    data
    /// Observable state of a replica.
    #[derive(Eq, Default)]
    pub struct ReplicaStatus {
        /// This member.
        pub member: MemberId,
        /// What the member does.
        pub role: Role,
        /// The current term.
        pub term: u64,
        /// The known leader of the term.
        pub leader: Option<MemberId>,
        /// Last committed entry.
        pub commit_index: u64,
        /// Last applied entry.
        pub applied_index: u64,
        /// All members of the current configuration, ordered by id.
        pub members: Vec<MemberStatus>,
        /// How many further voters can be lost without losing the quorum. Only voters that
        /// respond and hold every committed entry durably count. It is zero unless this
        /// replica leads.
        pub remaining_redundancy: usize,
        /// Whether the replica has stopped, by request or after a fault.
        pub is_stopped: bool,
        /// Why the replica stopped by itself: a failed disk, a refusal by the other members or a
        /// snapshot that cannot be restored.
        pub fault: Option<String>,
        /// Whether the other members refuse this one, so that it can only join under a new id.
        pub is_refused: bool,
    }
}

plain_data! {
    copy
    /// A change by one member. The next change is accepted once the previous one is committed.
    pub enum MembershipChange {
        /// Adds a member at an address, which receives entries without a vote.
        AddLearner(MemberId, SocketAddr),
        /// Turns a learner that holds every committed entry durably into a voter.
        Promote(MemberId),
        /// Removes a voter or learner.
        Remove(MemberId),
    }
}

plain_data! {
    copy
    /// Why a membership change was not started.
    pub enum ChangeRefusal {
        /// An earlier change is not committed yet.
        ChangeInProgress,
        /// The leader has not committed an entry of its term yet.
        LeaderNotReady,
        /// The learner does not yet hold every committed entry durably.
        LearnerBehind,
        /// The member is not in the configuration, or not in the needed role.
        UnknownMember,
        /// The member is already in the configuration.
        AlreadyMember,
        /// The change would remove the last voter.
        LastVoter,
        /// The member was removed before; a removed id is never used again.
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

/// Why a proposal, a read barrier or a membership change did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// This member does not lead. The call had no effect.
    NotLeader {
        /// The leader, when it is known.
        leader: Option<MemberId>,
    },
    /// Leadership was lost or the replica stopped after the proposal was appended; it may
    /// still be committed.
    OutcomeUnknown,
    /// The queue of proposals is full. The call had no effect.
    Overloaded,
    /// The command exceeds the size limit. The call had no effect.
    TooLarge,
    /// The replica has stopped. The call had no effect.
    Stopped,
    /// The membership change was not started.
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

/// Why a replica cannot start.
#[derive(Debug)]
pub enum StartError {
    /// The settings contradict each other.
    InvalidConfig {
        /// What is wrong.
        detail: String,
    },
    /// Another process uses the data folder.
    FolderInUse {
        /// The data folder.
        folder: PathBuf,
    },
    /// The data folder belongs to another member or cluster.
    ForeignFolder {
        /// The data folder.
        folder: PathBuf,
        /// Whose folder it is.
        detail: String,
    },
    /// A file is damaged at a place that a crash cannot explain.
    Corrupt {
        /// The damaged file.
        file: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// A file was written by a release with another format. It is left as it is.
    OtherFormat {
        /// The file.
        file: PathBuf,
        /// Its format.
        version: u8,
        /// The format of this release.
        expected: u8,
    },
    /// The disk refused an operation, for example because it is full or read-only.
    Disk {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
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
            Self::ForeignFolder { folder, detail } => write!(
                f,
                "data folder {} is not this member's: {detail}",
                folder.display()
            ),
            Self::Corrupt { file, detail } => {
                write!(f, "file {} is corrupt: {detail}", file.display())
            }
            Self::OtherFormat {
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
