//! Cache of the fleet view, updated by long polls to control.

use std::collections::HashMap;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::watch;
use wasabipoint_kernel::{
    CustomerId, ErrorKind, KeyDigest, KeyDigester, KeyId, MonotonicClock, Refusal,
};
use wasabipoint_rpc::{FleetUpdate, FleetView, WatchReply, WatchRequest};

use crate::link::ControlLink;

/// Longest wait of one long poll. Freshness is measured from the time a poll is sent, so the wait
/// must be well below the freshness bound.
const MAX_WAIT_MS: u64 = 1_000;

/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// An authenticated caller.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) customer: CustomerId,
    pub(crate) digest: KeyDigest,
}

/// The current view, its index of keys and the time of its last confirmation.
struct FleetState {
    view: Arc<FleetView>,
    keys: HashMap<KeyDigest, (KeyId, CustomerId)>,
    confirmed_ms: Option<u64>,
}

/// Caches the last confirmed fleet view.
pub(crate) struct FleetCache {
    state: RwLock<FleetState>,
    revision_sender: watch::Sender<u64>,
    digester: KeyDigester,
    clock: MonotonicClock,
    freshness_bound_ms: u64,
}

impl FleetCache {
    pub(crate) fn new(key_secret: &str, freshness_bound_ms: u64, clock: MonotonicClock) -> Self {
        Self {
            state: RwLock::new(FleetState {
                view: Arc::new(FleetView::new()),
                keys: HashMap::new(),
                confirmed_ms: None,
            }),
            revision_sender: watch::Sender::new(0),
            digester: KeyDigester::new(key_secret),
            clock,
            freshness_bound_ms,
        }
    }

    pub(crate) fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.read().view)
    }

    /// Returns a receiver that is notified of each confirmation, with the revision of the view.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision_sender.subscribe()
    }

    /// Returns whether control has confirmed a first view.
    pub(crate) fn is_ready(&self) -> bool {
        self.read().confirmed_ms.is_some()
    }

    pub(crate) fn check_ready(&self) -> Result<(), Refusal> {
        if self.is_ready() {
            Ok(())
        } else {
            Err(stale_refusal("no configuration was received yet"))
        }
    }

    /// Refuses if the last confirmation is older than the freshness bound.
    pub(crate) fn check_fresh(&self) -> Result<(), Refusal> {
        let confirmed_ms = self.read().confirmed_ms;
        match confirmed_ms {
            Some(confirmed_at_ms)
                if self.clock.now_ms().saturating_sub(confirmed_at_ms)
                    <= self.freshness_bound_ms =>
            {
                Ok(())
            }
            _ => Err(stale_refusal("control has not confirmed it in time")),
        }
    }

    pub(crate) fn digest(&self, key: &str) -> KeyDigest {
        self.digester.digest(key)
    }

    pub(crate) fn is_known_key(&self, text: &str) -> bool {
        self.find_by_digest(&self.digest(text)).is_some()
    }

    /// Looks up the caller of a key digest in the current view, which must be fresh.
    pub(crate) fn verify(&self, digest: &KeyDigest) -> Result<Caller, Refusal> {
        self.check_fresh()?;
        let customer = self
            .find_by_digest(digest)
            .ok_or_else(|| Refusal::new(ErrorKind::InvalidKey, ""))?;
        Ok(Caller {
            customer,
            digest: *digest,
        })
    }

    fn find_by_digest(&self, digest: &KeyDigest) -> Option<CustomerId> {
        let state = self.read();
        let (id, customer) = state.keys.get(digest)?;
        state
            .view
            .keys
            .get(id)
            .filter(|record| record.digest.matches(digest))
            .map(|_| customer.clone())
    }

    /// Applies the reply to a poll sent at `sent_ms`. A reply older than the current view is
    /// ignored, does not count as a confirmation, and returns `false`.
    pub(crate) fn apply(&self, reply: WatchReply, sent_ms: u64) -> bool {
        let mut state = self.state.write().expect("no holder of this lock panics");
        let old = &state.view;
        if reply.revision < old.revision {
            return false;
        }
        let next = match reply.update {
            FleetUpdate::Delta(changes) if changes.is_empty() => None,
            FleetUpdate::Delta(changes) => {
                let mut view = (**old).clone();
                for change in &changes {
                    view.apply(change);
                }
                Some(view)
            }
            FleetUpdate::Snapshot(view) => Some(*view),
        };
        if let Some(mut view) = next {
            if view.config_version < old.config_version {
                return false;
            }
            view.revision = reply.revision;
            state.keys = index_keys(&view);
            state.view = Arc::new(view);
        }
        state.confirmed_ms = state.confirmed_ms.max(Some(sent_ms));
        drop(state);
        self.revision_sender.send_replace(reply.revision);
        true
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, FleetState> {
        self.state.read().expect("no holder of this lock panics")
    }

    /// Polls control for changes of the view; never returns.
    pub(crate) async fn poll_updates(
        &self,
        control: &dyn ControlLink,
        entry_name: &str,
        logger: &Logger,
    ) {
        let wait_ms = MAX_WAIT_MS.min(self.freshness_bound_ms / 4);
        let mut is_failing = false;
        loop {
            let sent_ms = self.clock.now_ms();
            let request = WatchRequest {
                process_name: entry_name.to_owned(),
                known_revision: self.view().revision,
                // The first poll does not wait, so that start-up is not delayed.
                wait_ms: if self.is_ready() { wait_ms } else { 0 },
            };
            // A reply that takes longer than the freshness bound cannot confirm the view.
            let limit = Duration::from_millis(self.freshness_bound_ms.max(wait_ms));
            let result = tokio::time::timeout(limit, control.watch(request)).await;
            let is_applied = match result {
                Ok(Ok(reply)) => self.apply(reply, sent_ms),
                _ => false,
            };
            if is_applied == is_failing {
                if is_applied {
                    info!(logger, "entry: configuration confirmed by control again");
                } else {
                    warn!(logger, "entry: configuration not confirmed by control");
                }
                is_failing = !is_applied;
            }
            if !is_applied {
                tokio::time::sleep(RETRY_PAUSE).await;
            } else if self.clock.now_ms() == sent_ms {
                // Avoids a busy loop against a member that replies immediately.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

fn index_keys(view: &FleetView) -> HashMap<KeyDigest, (KeyId, CustomerId)> {
    view.keys
        .values()
        .map(|record| (record.digest, (record.id.clone(), record.customer.clone())))
        .collect()
}

fn stale_refusal(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::ConfigurationStale, detail).with_retry_after_ms(1_000)
}
