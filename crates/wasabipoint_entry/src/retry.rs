//! Retry budget: a token bucket that limits retries to a share of all requests.

use std::sync::Mutex;

/// Retry tokens added per request, which is the long-term ratio of retries to requests.
const RETRY_RATIO: f64 = 0.1;

/// Capacity and initial level of the bucket, so that a process with little traffic can retry too.
const MAX_RETRY_TOKENS: f64 = 10.0;

/// Limits retries of calls to agents, so that they do not overload a failing fleet.
pub(crate) struct CallRetryBudget {
    retry_tokens: Mutex<f64>,
}

impl CallRetryBudget {
    pub(crate) fn new() -> Self {
        Self {
            retry_tokens: Mutex::new(MAX_RETRY_TOKENS),
        }
    }

    pub(crate) fn record_request(&self) {
        let mut retry_tokens = self
            .retry_tokens
            .lock()
            .expect("no holder of this lock panics");
        *retry_tokens = (*retry_tokens + RETRY_RATIO).min(MAX_RETRY_TOKENS);
    }

    /// Takes the budget for one retry, or returns `false` if none is left.
    pub(crate) fn try_take(&self) -> bool {
        let mut retry_tokens = self
            .retry_tokens
            .lock()
            .expect("no holder of this lock panics");
        let is_allowed = *retry_tokens >= 1.0;
        if is_allowed {
            *retry_tokens -= 1.0;
        }
        is_allowed
    }
}
