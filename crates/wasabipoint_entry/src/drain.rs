//! The end of an entry process: new requests are refused, running ones finish.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use wasabipoint_kernel::{ErrorKind, Refusal};

/// How far the process is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// The health check fails, and requests are still accepted.
    Leaving,
    /// New requests are refused.
    Closed,
}

#[derive(Debug, Clone, Copy)]
struct State {
    phase: Phase,
    active: usize,
}

/// Counts running requests and closes the process to new ones.
pub(crate) struct Drain {
    state: watch::Sender<State>,
}

/// One running request, up to the end of its response.
pub(crate) struct ActiveRequest(Arc<Drain>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.state.send_modify(|state| state.active -= 1);
    }
}

impl Drain {
    pub(crate) fn new() -> Self {
        Self {
            state: watch::Sender::new(State {
                phase: Phase::Serving,
                active: 0,
            }),
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state.borrow().phase == Phase::Serving
    }

    /// Counts a request in, unless the process is closed.
    pub(crate) fn admit(self: &Arc<Self>) -> Result<ActiveRequest, Refusal> {
        let mut is_admitted = false;
        self.state.send_if_modified(|state| {
            is_admitted = state.phase != Phase::Closed;
            state.active += usize::from(is_admitted);
            is_admitted
        });
        if is_admitted {
            Ok(ActiveRequest(Arc::clone(self)))
        } else {
            Err(Refusal::new(ErrorKind::Draining, "").with_retry_after_ms(1_000))
        }
    }

    /// Fails the health check for the grace time, then refuses new requests and waits for the
    /// running ones.
    pub(crate) async fn run(&self, grace: Duration) {
        self.state.send_modify(|state| state.phase = Phase::Leaving);
        tokio::time::sleep(grace).await;
        self.state.send_modify(|state| state.phase = Phase::Closed);
        let mut receiver = self.state.subscribe();
        // The sender is `self`, so the wait ends only with the last request.
        let _ = receiver.wait_for(|state| state.active == 0).await;
    }
}
