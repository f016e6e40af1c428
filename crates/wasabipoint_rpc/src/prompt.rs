//! Messages about prompt parts that crash engines: evidence from entry processes, and the parts that
//! are quarantined.

use wasabipoint_kernel::{EndpointId, EntryId, Incarnation, PromptPartId, plain_data};

/// Maximum number of failures in one report.
pub const MAX_REPORTED_FAILURES: usize = 32;

/// Maximum number of prompts of one failure.
pub const MAX_PROMPTS_PER_FAILURE: usize = 24;

/// Maximum number of parts of a reported prompt. The id of the whole request and the last part are
/// always among them.
pub const MAX_PARTS_PER_PROMPT: usize = 16;

plain_data! {
    data
    /// Requests whose connections to an endpoint broke before or just after the first event of their
    /// response.
    pub struct EngineFailure {
        /// Number of the failure within the incarnation of the entry process, from 1.
        pub sequence: u64,
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Incarnation of the endpoint.
        pub incarnation: Incarnation,
        /// Time since the first of the connections broke, in milliseconds.
        pub age_ms: u64,
        /// The prompts of the requests, each with its shared parts in order, the id of the whole request,
        /// and the last part of the prompt.
        pub prompts: Vec<Vec<PromptPartId>>,
    }
}

plain_data! {
    copy
    /// The last answer to a suspected part that an entry process received.
    pub struct AnsweredPart {
        /// The part.
        pub part: PromptPartId,
        /// Time since the answer, in milliseconds.
        pub age_ms: u64,
    }
}

plain_data! {
    copy
    /// Requests with a quarantined part that an entry process refused since its last report.
    pub struct RefusedPart {
        /// The part.
        pub part: PromptPartId,
        /// Number of requests.
        pub refused: u32,
    }
}

plain_data! {
    data
    /// What an entry process observed of prompt parts.
    #[derive(Default)]
    pub struct PromptReport {
        /// Failures that the leader has not acknowledged.
        pub failures: Vec<EngineFailure>,
        /// Revision of the list of suspects that `answered` refers to.
        pub suspects_revision: u64,
        /// Answers to suspects.
        pub answered: Vec<AnsweredPart>,
        /// Refused requests by part.
        pub refused: Vec<RefusedPart>,
    }
}

plain_data! {
    data
    /// What the leader needs to know of prompt parts.
    #[derive(Default)]
    pub struct PromptDirective {
        /// Term of the leader. A new leader has not received the failures reported before.
        pub term: u64,
        /// Highest sequence number of the received failures.
        pub received_sequence: u64,
        /// Revision of the list of suspects.
        pub suspects_revision: u64,
        /// The suspects, unless the report already refers to this revision.
        pub suspects: Option<Vec<PromptPartId>>,
    }
}

plain_data! {
    data
    /// Why a part is quarantined.
    pub enum QuarantineCause {
        /// Engines crashed with requests that contained it.
        Crashes {
            /// Number of crashes before the verdict.
            crashes: u32,
            /// Number of different requests.
            requests: u32,
            /// Number of entry processes that reported it.
            entries: u32,
        },
        /// An operator set the quarantine.
        Operator,
    }
}

plain_data! {
    data
    /// Permission to let one request with a quarantined part through.
    pub struct ProbeGrant {
        /// The entry process that may do so.
        pub entry: EntryId,
        /// Number of the probe, which the entry process uses once.
        pub number: u32,
    }
}

plain_data! {
    data
    /// A part whose requests are refused.
    pub struct QuarantinedPart {
        /// The part.
        pub part: PromptPartId,
        /// The cause.
        pub cause: QuarantineCause,
        /// Log time at which the quarantine began or its last probe ended, in milliseconds.
        pub unprobed_since_ms: u64,
        /// Number of probes that were granted.
        pub probes: u32,
        /// Number of probes that crashed an engine.
        pub failed_probes: u32,
        /// The probe in progress.
        pub probe: Option<ProbeGrant>,
    }
}

impl QuarantinedPart {
    /// Creates the quarantine of a part without probes.
    pub fn new(part: PromptPartId, cause: QuarantineCause, since_ms: u64) -> Self {
        Self {
            part,
            cause,
            unprobed_since_ms: since_ms,
            probes: 0,
            failed_probes: 0,
            probe: None,
        }
    }
}
