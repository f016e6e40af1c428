//! The fleet view, kept current by long polls.

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

/// Longest wait of one poll. Freshness counts from before a poll is sent, so the wait must be well
/// under the freshness bound.
const MAX_WAIT_MS: u64 = 1_000;

/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A caller whose key was verified.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) customer: CustomerId,
    pub(crate) digest: KeyDigest,
}

struct Held {
    view: Arc<FleetView>,
    keys: HashMap<KeyDigest, (KeyId, CustomerId)>,
    confirmed_ms: Option<u64>,
}

/// The last confirmed fleet view.
pub(crate) struct FleetCache {
    held: RwLock<Held>,
    changed: watch::Sender<u64>,
    digester: KeyDigester,
    clock: MonotonicClock,
    bound_ms: u64,
}

impl FleetCache {
    pub(crate) fn new(key_secret: &str, bound_ms: u64, clock: MonotonicClock) -> Self {
        Self {
            held: RwLock::new(Held {
                view: Arc::new(FleetView::new()),
                keys: HashMap::new(),
                confirmed_ms: None,
            }),
            changed: watch::Sender::new(0),
            digester: KeyDigester::new(key_secret),
            clock,
            bound_ms,
        }
    }

    pub(crate) fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.read().view)
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Tells whether a first reply was confirmed.
    pub(crate) fn is_ready(&self) -> bool {
        self.read().confirmed_ms.is_some()
    }

    pub(crate) fn check_ready(&self) -> Result<(), Refusal> {
        if self.is_ready() {
            Ok(())
        } else {
            Err(stale("no configuration was received yet"))
        }
    }

    /// Refuses when the last confirmation is older than the bound.
    pub(crate) fn check_fresh(&self) -> Result<(), Refusal> {
        let confirmed_ms = self.read().confirmed_ms;
        match confirmed_ms {
            Some(at_ms) if self.clock.now_ms().saturating_sub(at_ms) <= self.bound_ms => Ok(()),
            _ => Err(stale("control has not confirmed it in time")),
        }
    }

    pub(crate) fn digest(&self, key: &str) -> KeyDigest {
        self.digester.digest(key)
    }

    pub(crate) fn is_known_key(&self, text: &str) -> bool {
        self.find(&self.digest(text)).is_some()
    }

    /// Verifies a key digest against the current view, which must be fresh.
    pub(crate) fn verify(&self, digest: &KeyDigest) -> Result<Caller, Refusal> {
        self.check_fresh()?;
        let customer = self
            .find(digest)
            .ok_or_else(|| Refusal::new(ErrorKind::InvalidKey, ""))?;
        Ok(Caller {
            customer,
            digest: *digest,
        })
    }

    fn find(&self, digest: &KeyDigest) -> Option<CustomerId> {
        let held = self.read();
        let (id, customer) = held.keys.get(digest)?;
        held.view
            .keys
            .get(id)
            .filter(|record| record.digest.matches(digest))
            .map(|_| customer.clone())
    }

    /// Applies a reply to a poll that was sent at `sent_ms`. A reply older than the view is
    /// ignored and confirms nothing.
    pub(crate) fn apply(&self, reply: WatchReply, sent_ms: u64) -> bool {
        let mut held = self.held.write().expect("no holder of this lock panics");
        let old = &held.view;
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
            held.keys = index_keys(&view);
            held.view = Arc::new(view);
        }
        held.confirmed_ms = held.confirmed_ms.max(Some(sent_ms));
        drop(held);
        self.changed.send_replace(reply.revision);
        true
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, Held> {
        self.held.read().expect("no holder of this lock panics")
    }

    /// Polls for changes until the process ends.
    pub(crate) async fn follow(&self, control: &dyn ControlLink, caller: &str, logger: &Logger) {
        let wait_ms = MAX_WAIT_MS.min(self.bound_ms / 4);
        let mut had_failure = false;
        loop {
            let sent_ms = self.clock.now_ms();
            let request = WatchRequest {
                caller: caller.to_owned(),
                known_revision: self.view().revision,
                // The first poll does not wait, so that a start is not delayed.
                wait_ms: if self.is_ready() { wait_ms } else { 0 },
            };
            // A poll that outlives the bound can confirm nothing.
            let limit = Duration::from_millis(self.bound_ms.max(wait_ms));
            let result = tokio::time::timeout(limit, control.watch(request)).await;
            let is_applied = match result {
                Ok(Ok(reply)) => self.apply(reply, sent_ms),
                _ => false,
            };
            if is_applied == had_failure {
                if is_applied {
                    info!(logger, "entry: control confirms the configuration again");
                } else {
                    warn!(logger, "entry: control does not confirm the configuration");
                }
                had_failure = !is_applied;
            }
            if !is_applied {
                tokio::time::sleep(RETRY_PAUSE).await;
            } else if self.clock.now_ms() == sent_ms {
                // A member that answers at once must not be polled in a busy loop.
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

fn stale(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::ConfigurationStale, detail).with_retry_after_ms(1_000)
}
