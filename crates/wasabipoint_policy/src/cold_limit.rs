//! The limit of cold endpoints: how much of the rate that they tolerate is issued, and which
//! information about their remaining cold time decides.
//!
//! A cold endpoint tolerates few requests and crashes above them, so the bound holds for the
//! arrivals of any one second, in the worst case of accumulated, outstanding and delayed
//! permissions and of entry processes that are cut off from the leader.

/// Time for which a permission for a cold endpoint is valid, in milliseconds. All that are valid at
/// once can be used in one second, so the time is as short as the interval of reports allows.
pub const COLD_PERMISSION_LIFETIME_MS: u64 = 500;

/// Time for which permissions for a cold endpoint accumulate while none is requested, in
/// milliseconds.
pub(crate) const COLD_ACCUMULATION_MS: u64 = 100;

/// Longest delay between the use of a permission and the arrival of its request, in milliseconds.
/// Requests that are delayed differently arrive closer together than they were sent.
const MAX_DELAY_MS: u64 = 100;

/// Time after the begin of a term for which no permission is issued, in milliseconds. An earlier
/// leader that is cut off steps down within this time, which is the longest time of an election.
pub const COLD_TAKEOVER_MS: u64 = 1_000;

/// Maximum number of entry processes that may send to a cold endpoint while they are cut off from
/// the leader. They may all send a request at the same time.
pub const MAX_SHARE_HOLDERS: u32 = 3;

/// Part of the issued rate that the entry processes that are cut off may use together.
const SHARE_RATIO: f64 = 0.3;

/// Longest remaining time that is believed, in milliseconds.
pub const MAX_COLD_MS: u64 = 600_000;

/// Margins of the bound on the arrivals at a cold endpoint in one second: `over` times the rate that
/// it tolerates, plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdMargins {
    /// Multiple of the tolerated rate.
    pub over: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl Default for ColdMargins {
    fn default() -> Self {
        Self {
            over: 1.5,
            slack: 5.0,
        }
    }
}

/// What the leader issues for a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRate {
    /// Permissions per second.
    pub issued_per_s: f64,
    /// Number of entry processes that may use a share while they are cut off from the leader.
    pub share_holders: u32,
}

impl ColdRate {
    /// Derives the issued rate from the rate that the endpoint tolerates, so that the bound holds.
    ///
    /// Requests that arrive in one second use permissions issued in `1 s + lifetime + delay`, and at
    /// most `accumulation` (at least one) that were left before. Each holder of a share adds one
    /// request, and all together add their part of the rate.
    pub fn new(tolerated_per_s: f64, margins: ColdMargins) -> Self {
        let bound = margins.over * tolerated_per_s + margins.slack;
        let spare = (margins.slack - 2.0).clamp(0.0, f64::from(MAX_SHARE_HOLDERS));
        let share_holders = spare.floor() as u32;
        let arrival_s = 1.0 + MAX_DELAY_MS as f64 / 1_000.0;
        let issued_s =
            arrival_s + (COLD_PERMISSION_LIFETIME_MS + COLD_ACCUMULATION_MS) as f64 / 1_000.0;
        let shared_s = if share_holders > 0 {
            SHARE_RATIO * arrival_s
        } else {
            0.0
        };
        let accumulated = 1.0;
        let reserved = accumulated + f64::from(share_holders);
        let issued_per_s = (bound - reserved) / (issued_s + shared_s);
        Self {
            issued_per_s: issued_per_s.clamp(0.0, tolerated_per_s.max(0.0)),
            share_holders,
        }
    }
}

/// Returns the requests per second that one holder of a share may send while it is cut off from the
/// leader. The divisor is at least the number of holders, so that their sum is bounded also while
/// the number of entry processes is not known.
pub(crate) fn share_per_s(issued_per_s: f64, entries: u32) -> f64 {
    SHARE_RATIO * issued_per_s / f64::from(entries.max(MAX_SHARE_HOLDERS))
}

/// Where a statement about the remaining cold time of an endpoint comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdSource {
    /// The endpoint directory.
    Directory,
    /// A response of the endpoint.
    Response,
    /// The endpoint just started, or its failure domain just returned to service.
    Presumed,
    /// Another process: the leader, or an entry process that reported to it.
    Peer,
    /// Nothing is known yet: this process has just started.
    Unknown,
}

impl ColdSource {
    /// Returns the name in records and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Directory => "directory",
            Self::Response => "response",
            Self::Presumed => "presumed",
            Self::Peer => "peer",
            Self::Unknown => "unknown",
        }
    }
}

/// A statement about the time until which an endpoint is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStatement {
    /// End of the cold time, in milliseconds; in the past if the endpoint is not cold.
    pub until_ms: u64,
    /// Time at which the statement held, in milliseconds.
    pub stated_ms: u64,
    /// Origin of the statement.
    pub source: ColdSource,
}

impl ColdStatement {
    /// Creates a statement of a remaining time that held at `stated_ms`.
    pub fn new(remaining_ms: u64, stated_ms: u64, source: ColdSource) -> Self {
        Self {
            until_ms: stated_ms + remaining_ms.min(MAX_COLD_MS),
            stated_ms,
            source,
        }
    }

    /// Creates a statement from a message of another process that arrived at `now_ms`: the time that
    /// remains, and the age of the information when the message was sent, not before `sent_ms`.
    pub fn aged(remaining_ms: u64, age_ms: u64, sent_ms: u64, now_ms: u64) -> Self {
        Self {
            until_ms: now_ms + remaining_ms.min(MAX_COLD_MS),
            stated_ms: sent_ms.saturating_sub(age_ms),
            source: ColdSource::Peer,
        }
    }

    /// Presumes that an endpoint is cold for `remaining_ms` from now on. Statements that held less
    /// than `lag_ms` after now do not end the presumption.
    pub fn presumed(remaining_ms: u64, lag_ms: u64, now_ms: u64) -> Self {
        Self {
            until_ms: now_ms + remaining_ms.min(MAX_COLD_MS),
            stated_ms: now_ms + lag_ms,
            source: ColdSource::Presumed,
        }
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns the remaining cold time in milliseconds.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }

    /// Replaces the statement by one that held later. Returns whether it did.
    pub fn update(&mut self, other: Self) -> bool {
        let is_newer = other.stated_ms > self.stated_ms;
        if is_newer {
            *self = other;
        }
        is_newer
    }
}
