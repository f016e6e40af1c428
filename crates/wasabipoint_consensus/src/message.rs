//! Messages between members, and their encoding.

use wasabipoint_kernel::{MemberId, plain_data};

use crate::entry::{Configuration, DiskId, Entry, SharedBytes};

plain_data! {
    copy
    /// Reason why the other members refuse a member.
    pub enum MemberRefusal {
        /// The member id is registered with another disk id: the member lost its disk.
        LostDisk,
        /// The member was removed.
        Removed,
        /// The member is not an initial member.
        NotMember,
    }
}

impl std::fmt::Display for MemberRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::LostDisk => "the id belongs to another disk; join under a new member id",
            Self::Removed => "the member was removed; join under a new member id",
            Self::NotMember => "the member is not an initial member; join as a learner",
        })
    }
}

plain_data! {
    data
    /// A message between two members.
    pub struct Message {
        /// The sender.
        pub from: MemberId,
        /// Disk id of the sender.
        pub disk: DiskId,
        /// The receiver.
        pub to: MemberId,
        /// The sender's term; in pre-vote requests and grants the proposed term.
        pub term: u64,
        /// The content.
        pub body: MessageBody,
    }
}

plain_data! {
    data
    /// Content of a message.
    pub enum MessageBody {
        /// An initial member that has not bootstrapped announces its disk id.
        Hello,
        /// The sender has durably recorded the receiver's disk id.
        HelloReply,
        /// The receiver may not participate.
        Refuse {
            /// The refused disk id.
            disk: DiskId,
            /// The reason.
            reason: MemberRefusal,
        },
        /// Asks whether a vote would be granted, without increasing any term.
        PreVoteRequest {
            /// Index of the last entry of the sender.
            last_index: u64,
            /// Term of that entry.
            last_term: u64,
        },
        /// Answers a pre-vote request.
        PreVoteReply {
            /// Whether a vote would be granted.
            is_granted: bool,
        },
        /// Requests a vote.
        VoteRequest {
            /// Index of the last entry of the sender.
            last_index: u64,
            /// Term of that entry.
            last_term: u64,
        },
        /// Answers a vote request.
        VoteReply {
            /// Whether the vote is granted.
            is_granted: bool,
        },
        /// Replicates entries. A message without entries is a heartbeat.
        AppendEntries {
            /// Index of the entry before the first one sent.
            prev_index: u64,
            /// Term of that entry.
            prev_term: u64,
            /// The entries.
            entries: Vec<Entry>,
            /// Commit index of the leader.
            commit: u64,
            /// Number of the latest read round.
            round: u64,
        },
        /// Acknowledges an append or a complete snapshot.
        AppendAccepted {
            /// Index of the last entry that matches the leader's log and is durable.
            match_index: u64,
            /// Read round of the request.
            round: u64,
        },
        /// Rejects a message of the leader because the previous entry does not match or the term is
        /// outdated.
        AppendRejected {
            /// Index of the previous entry in the request.
            prev_index: u64,
            /// Index of the last entry that may match.
            hint_index: u64,
            /// Read round of the request.
            round: u64,
        },
        /// A chunk of a snapshot.
        SnapshotChunk {
            /// Index of the last entry in the snapshot.
            index: u64,
            /// Term of that entry.
            term: u64,
            /// The configuration at that entry.
            configuration: Configuration,
            /// Size of the complete snapshot.
            total_bytes: u64,
            /// Position of this chunk.
            offset: u64,
            /// Content of the chunk.
            data: SharedBytes,
            /// Number of the latest read round.
            round: u64,
        },
        /// Acknowledges a chunk of a snapshot that is not complete yet.
        SnapshotChunkReply {
            /// Index of the last entry in the snapshot.
            index: u64,
            /// Bytes received so far.
            received_bytes: u64,
            /// Read round of the request.
            round: u64,
        },
    }
}

impl MessageBody {
    /// Returns the name under which an election message or a refusal is logged; `None` for other
    /// messages.
    pub(crate) fn election_step_name(&self) -> Option<&'static str> {
        Some(match self {
            Self::PreVoteRequest { .. } => "pre-vote asked",
            Self::PreVoteReply { is_granted: true } => "pre-vote granted",
            Self::PreVoteReply { is_granted: false } => "pre-vote refused",
            Self::VoteRequest { .. } => "vote asked",
            Self::VoteReply { is_granted: true } => "vote granted",
            Self::VoteReply { is_granted: false } => "vote refused",
            Self::Refuse { .. } => "member refused",
            _ => return None,
        })
    }
}

/// Version of the message encoding; messages of other versions are dropped.
const WIRE_VERSION: u8 = 2;

/// Encodes a message with a header that identifies the encoding version and the cluster.
pub(crate) fn encode(cluster: &str, message: &Message) -> Vec<u8> {
    let head = (WIRE_VERSION, crc32c::crc32c(cluster.as_bytes()));
    postcard::to_stdvec(&(head, message)).expect("messages have no unsupported types")
}

/// Decodes a message. Returns `None` if it is malformed or from another cluster or version.
pub(crate) fn decode(cluster: &str, bytes: &[u8]) -> Option<Message> {
    let expected = (WIRE_VERSION, crc32c::crc32c(cluster.as_bytes()));
    let (head, message): ((u8, u32), Message) = postcard::from_bytes(bytes).ok()?;
    (head == expected).then_some(message)
}
