//! Retry times announced to refused callers.

use super::order::Place;
use super::{AllowanceClass, TicketSource};

/// Time by which a caller may be back earlier than expected, in milliseconds: its deadline is counted
/// from before the request reached the entry process.
const RETURN_SLACK_MS: u64 = 50;

/// A retry time announced to a refused caller.
#[derive(Debug, Clone)]
pub(super) struct Promise {
    pub(super) entry: TicketSource,
    pub(super) id: u64,
    pub(super) tokens: u64,
    pub(super) class: AllowanceClass,
    pub(super) due_ms: u64,
    /// Whether tokens are kept for the caller.
    pub(super) is_kept: bool,
    /// Time until which a start is still within the caller's objective.
    pub(super) on_time_until_ms: u64,
    /// Time at which the caller is expected back: the retry time, or earlier if it does not honour
    /// all of it.
    pub(super) return_at_ms: u64,
    /// Whether different callers send the request, so that it does not identify one of them.
    pub(super) is_shared: bool,
}

impl Promise {
    /// Returns whether its caller cannot be back yet.
    pub(super) fn is_early(&self, now_ms: u64) -> bool {
        now_ms + RETURN_SLACK_MS < self.return_at_ms
    }
}

/// What is known about the caller of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallerState {
    /// It was refused before and can still be served within its objective.
    BackInTime,
    /// It was not refused before.
    First,
    /// It was refused before and is too late for its objective.
    BackLate,
}

/// Returns the place of a promise for which tokens are kept.
pub(super) fn promise_place(promise: &Promise) -> Place {
    Place {
        latest_start_ms: promise.due_ms,
        class: promise.class,
        tokens: promise.tokens,
        own_id: None,
        is_promise: true,
        due_ms: promise.due_ms,
    }
}
