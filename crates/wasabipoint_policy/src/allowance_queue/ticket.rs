//! Requests that wait for tokens of a customer, and what is decided about them.

use wasabipoint_kernel::{EntryId, Incarnation};

/// An entry process that states requests.
pub type TicketSource = (EntryId, Incarnation);

/// Requests with equal urgency: a lower route priority first, then those that cannot wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AllowanceClass {
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Whether the objective leaves time to wait for tokens.
    pub can_wait: bool,
}

/// A request that waits for tokens, as stated by its entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowanceTicket {
    /// Number of the request, increasing within the entry process.
    pub id: u64,
    /// Urgency of the request.
    pub class: AllowanceClass,
    /// Tokens that the request needs.
    pub tokens: u64,
    /// Time left until its latest start, in milliseconds.
    pub start_within_ms: u64,
    /// Longest retry time that the caller is expected to honour and after which it can still be
    /// served within its objective, in milliseconds.
    pub return_within_ms: u64,
    /// Longest retry time that the caller is expected to honour, in milliseconds.
    pub honoured_ms: u64,
    /// Digest that repeats of the request share.
    pub digest: u64,
    /// Whether an earlier reply accepted the request.
    pub is_accepted: bool,
}

/// Tokens in a customer's bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BucketState {
    /// Tokens available for new slices, in millitokens.
    pub level_millitokens: u64,
    /// Refill in tokens per second.
    pub rate_tokens_per_s: u64,
    /// Most tokens that the bucket can ever hold.
    pub burst_tokens: u64,
    /// Tokens of slices that are neither spent nor returned. Together with the level they are at most
    /// the burst.
    pub outstanding_tokens: u64,
}

/// What happens to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketVerdict {
    /// The request gets its tokens with this reply.
    Granted,
    /// The request gets its tokens later, before its latest start.
    Waits {
        /// Expected wait in milliseconds.
        expected_ms: u64,
    },
    /// The request cannot get its tokens before its latest start.
    Refused {
        /// Time after which the caller should come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The result for the requests of one entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowanceDeal {
    /// New tokens for granted requests, beyond those that the entry process already holds; `None` if
    /// the bucket covers all requests, so that the exchange is processed unchanged.
    pub take_tokens: Option<u64>,
    /// Verdict of each request, by its number.
    pub verdicts: Vec<(u64, TicketVerdict)>,
    /// Requests that must wait or are refused although the bucket covered them and everything
    /// before them.
    pub wrong_delays: u32,
    /// Requests of callers that come back after a refusal.
    pub returning: u32,
    /// Of these, requests that are refused again.
    pub refused_again: u32,
    /// Retry times announced with tokens kept for them.
    pub promised: u32,
    /// Returning callers for which tokens were kept and which get them.
    pub promises_kept: u32,
}
