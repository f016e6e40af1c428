//! The retry budget.

use std::sync::Mutex;

/// Share of requests that may be repeated.
const RETRY_SHARE: f64 = 0.1;

/// Repeats that may be saved up, so that a quiet process can retry at all.
const MAX_SAVED: f64 = 10.0;

/// Bounds repeated sends, so that a failing fleet is not loaded further.
pub(crate) struct RetryBudget {
    saved: Mutex<f64>,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self {
            saved: Mutex::new(MAX_SAVED),
        }
    }

    pub(crate) fn record_request(&self) {
        let mut saved = self.saved.lock().expect("no holder of this lock panics");
        *saved = (*saved + RETRY_SHARE).min(MAX_SAVED);
    }

    /// Takes one repeat from the budget.
    pub(crate) fn try_take(&self) -> bool {
        let mut saved = self.saved.lock().expect("no holder of this lock panics");
        let is_allowed = *saved >= 1.0;
        if is_allowed {
            *saved -= 1.0;
        }
        is_allowed
    }
}
