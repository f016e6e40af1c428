//! Messages between members and their encoding.

use wasabipoint_kernel::{MemberId, plain_data};

use crate::entry::{Configuration, DiskId, Entry, SharedBytes};

plain_data! {
    copy
    /// Why a member is refused by the others.
    pub enum Refusal {
        /// The id belongs to another disk: this member lost its disk.
        LostDisk,
        /// The member was removed.
        Removed,
        /// The member is not one of the first members.
        NotMember,
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::LostDisk => "the id belongs to another disk; join under a new member id",
            Self::Removed => "the member was removed; join under a new member id",
            Self::NotMember => "the member is not one of the first members; join as a learner",
        })
    }
}

plain_data! {
    data
    /// A message between two members.
    pub struct Message {
        /// The sender.
        pub from: MemberId,
        /// The sender's disk.
        pub disk: DiskId,
        /// The receiver.
        pub to: MemberId,
        /// The sender's term; in a pre-vote and its grant the proposed one.
        pub term: u64,
        /// The content.
        pub body: Body,
    }
}

plain_data! {
    data
    /// Content of a message.
    pub enum Body {
        /// A first member without a configuration introduces its disk.
        Hello,
        /// The sender recorded the receiver's disk durably.
        Welcome,
        /// The receiver may not take part.
        Refuse {
            /// The refused disk.
            disk: DiskId,
            /// The reason.
            reason: Refusal,
        },
        /// Asks whether a vote would be granted, without raising a term.
        PreVote {
            /// Last entry of the sender.
            last_index: u64,
            /// Its term.
            last_term: u64,
        },
        /// Answers a pre-vote.
        PreVoteReply {
            /// Whether a vote would be granted.
            is_granted: bool,
        },
        /// Asks for a vote.
        Vote {
            /// Last entry of the sender.
            last_index: u64,
            /// Its term.
            last_term: u64,
        },
        /// Answers a vote request.
        VoteReply {
            /// Whether the vote is granted.
            is_granted: bool,
        },
        /// Replicates entries; without entries a heartbeat.
        Append {
            /// The entry before the first one sent.
            prev_index: u64,
            /// Its term.
            prev_term: u64,
            /// The entries.
            entries: Vec<Entry>,
            /// Last committed entry of the leader.
            commit: u64,
            /// Latest round of the read barrier.
            round: u64,
        },
        /// Accepts an append.
        Appended {
            /// Last entry that agrees with the leader's log and is durable.
            match_index: u64,
            /// Round of the request.
            round: u64,
        },
        /// Refuses an append because the previous entry does not agree, or the term is old.
        Rejected {
            /// Previous entry of the request.
            prev_index: u64,
            /// Last entry that may agree.
            hint_index: u64,
            /// Round of the request.
            round: u64,
        },
        /// A part of a snapshot.
        Chunk {
            /// Last entry in the snapshot.
            index: u64,
            /// Term of that entry.
            term: u64,
            /// The configuration at that entry.
            configuration: Configuration,
            /// Size of the whole snapshot.
            total_bytes: u64,
            /// Position of this part.
            offset: u64,
            /// The part.
            data: SharedBytes,
            /// Latest round of the read barrier.
            round: u64,
        },
        /// Answers a part of a snapshot that is not complete yet.
        ChunkReply {
            /// Last entry in the snapshot.
            index: u64,
            /// Bytes received so far.
            received_bytes: u64,
            /// Round of the request.
            round: u64,
        },
    }
}

impl Body {
    /// Names the step of an election or of a refusal, for records.
    pub(crate) fn election_step(&self) -> Option<&'static str> {
        Some(match self {
            Self::PreVote { .. } => "pre-vote asked",
            Self::PreVoteReply { is_granted: true } => "pre-vote granted",
            Self::PreVoteReply { is_granted: false } => "pre-vote refused",
            Self::Vote { .. } => "vote asked",
            Self::VoteReply { is_granted: true } => "vote granted",
            Self::VoteReply { is_granted: false } => "vote refused",
            Self::Refuse { .. } => "member refused",
            _ => return None,
        })
    }
}

/// Version of the message encoding.
const WIRE_VERSION: u8 = 2;

/// Encodes a message for members of the cluster.
pub(crate) fn encode(cluster: &str, message: &Message) -> Vec<u8> {
    let head = (WIRE_VERSION, crc32c::crc32c(cluster.as_bytes()));
    postcard::to_stdvec(&(head, message)).expect("messages have no unsupported types")
}

/// Decodes a message; `None` if it is malformed or of another cluster or version.
pub(crate) fn decode(cluster: &str, bytes: &[u8]) -> Option<Message> {
    let expected = (WIRE_VERSION, crc32c::crc32c(cluster.as_bytes()));
    let (head, message): ((u8, u32), Message) = postcard::from_bytes(bytes).ok()?;
    (head == expected).then_some(message)
}
