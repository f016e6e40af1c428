//! Graceful shutdown of an entry process: refuses new requests and waits for running ones.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use wasabipoint_kernel::{ErrorKind, Refusal};

/// Shutdown phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// The health check fails, and requests are still accepted.
    GracePeriod,
    /// New requests are refused.
    Closed,
}

#[derive(Debug, Clone, Copy)]
struct DrainState {
    phase: Phase,
    active_requests: usize,
}

/// Counts running requests and stops the admission of new ones.
pub(crate) struct Drain {
    state: watch::Sender<DrainState>,
}

/// Guard that counts a request as running until the end of its response.
pub(crate) struct ActiveRequest(Arc<Drain>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.state.send_modify(|state| state.active_requests -= 1);
    }
}

impl Drain {
    pub(crate) fn new() -> Self {
        Self {
            state: watch::Sender::new(DrainState {
                phase: Phase::Serving,
                active_requests: 0,
            }),
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state.borrow().phase == Phase::Serving
    }

    /// Registers a new request, unless the process no longer accepts any.
    pub(crate) fn admit(self: &Arc<Self>) -> Result<ActiveRequest, Refusal> {
        let mut is_admitted = false;
        self.state.send_if_modified(|state| {
            is_admitted = state.phase != Phase::Closed;
            state.active_requests += usize::from(is_admitted);
            is_admitted
        });
        if is_admitted {
            Ok(ActiveRequest(Arc::clone(self)))
        } else {
            Err(Refusal::new(ErrorKind::Draining, "").with_retry_after_ms(1_000))
        }
    }

    /// Fails the health check during the grace period, then refuses new requests and waits for
    /// running ones to finish.
    pub(crate) async fn run(&self, grace: Duration) {
        self.state
            .send_modify(|state| state.phase = Phase::GracePeriod);
        tokio::time::sleep(grace).await;
        self.state.send_modify(|state| state.phase = Phase::Closed);
        let mut receiver = self.state.subscribe();
        // `self` owns the sender, so the wait ends only when the last request has finished.
        let _ = receiver.wait_for(|state| state.active_requests == 0).await;
    }
}
