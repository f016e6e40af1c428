//! Quota client of an entry process: token reservations for requests and the exchange loop with
//! control.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use slog::{Logger, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;
use wasabipoint_kernel::{CustomerId, EntryId, ErrorKind, Incarnation, MonotonicClock, Refusal};
use wasabipoint_rpc::{ControlError, QuotaGrants};

use crate::link::ControlLink;
use crate::quota_ledger::{QuotaLedger, ReservedTokens, TokenRequestResult};

/// Time between exchanges while no request waits for tokens.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between exchanges. Token requests of a customer far above its rate are batched, so
/// that they cost control at most 20 exchanges per second.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before an exchange without a reply is resent.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Maximum time for which a request waits for tokens from control.
const TOKEN_REQUEST_TIMEOUT_MS: u64 = 3_000;

struct State {
    ledger: QuotaLedger,
    /// Senders for the results of open token requests, by token request id.
    waiting_requests: HashMap<u64, oneshot::Sender<TokenRequestResult>>,
}

/// Reserves and settles tokens from the quota slices that control grants this entry process.
pub(crate) struct QuotaClient {
    state: Mutex<State>,
    exchange_needed: Notify,
    clock: MonotonicClock,
}

impl QuotaClient {
    pub(crate) fn new(entry: EntryId, incarnation: Incarnation, clock: MonotonicClock) -> Self {
        Self {
            state: Mutex::new(State {
                ledger: QuotaLedger::new(entry, incarnation),
                waiting_requests: HashMap::new(),
            }),
            exchange_needed: Notify::new(),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Reserves tokens. If the local slices hold too few, requests them from control once.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        customer: &CustomerId,
        tokens: u64,
        deadline_ms: u64,
    ) -> Result<Reservation, Refusal> {
        let (id, receiver) = {
            let mut state = self.lock();
            let now_ms = self.clock.now_ms();
            if let Some(reserved) = state.ledger.reserve(customer, tokens, now_ms) {
                return Ok(Reservation::new(self, reserved));
            }
            let id = state.ledger.add_token_request(customer, tokens);
            let (sender, receiver) = oneshot::channel();
            state.waiting_requests.insert(id, sender);
            (id, receiver)
        };
        self.exchange_needed.notify_one();
        let mut guard = TokenRequestGuard {
            quota: self,
            id,
            receiver,
        };
        let left_ms = deadline_ms.saturating_sub(self.clock.now_ms());
        let limit = Duration::from_millis(left_ms.min(TOKEN_REQUEST_TIMEOUT_MS));
        match tokio::time::timeout(limit, &mut guard.receiver).await {
            Ok(Ok(TokenRequestResult::Granted(reserved))) => Ok(Reservation::new(self, reserved)),
            Ok(Ok(TokenRequestResult::Refused { available_in_ms })) => {
                Err(Refusal::new(ErrorKind::OverRate, "").with_retry_after_ms(available_in_ms))
            }
            _ => Err(
                Refusal::new(ErrorKind::Unavailable, "control grants no tokens now")
                    .with_retry_after_ms(1_000),
            ),
        }
    }

    /// Exchanges tokens with control for as long as the process runs.
    pub(crate) async fn run(&self, control: &dyn ControlLink, logger: &Logger) {
        loop {
            // A timeout only means that no request needed tokens from control.
            let _ = tokio::time::timeout(EXCHANGE_INTERVAL, self.exchange_needed.notified()).await;
            let started = Instant::now();
            self.exchange(control, logger).await;
            tokio::time::sleep_until(started + MIN_EXCHANGE_INTERVAL).await;
        }
    }

    /// Returns all free tokens to control before the process exits.
    pub(crate) async fn return_free_tokens(&self, control: &dyn ControlLink, logger: &Logger) {
        self.lock().ledger.reset_usage();
        self.exchange(control, logger).await;
    }

    async fn exchange(&self, control: &dyn ControlLink, logger: &Logger) {
        let mut is_first_failure = true;
        loop {
            let pending = self.lock().ledger.begin_exchange(self.clock.now_ms());
            let Some(exchange) = pending else { return };
            let sequence = exchange.sequence;
            let grants = match control.exchange_quota(exchange).await {
                Ok(grants) => grants,
                Err(ControlError::Refused(refusal)) => {
                    warn!(logger, "admission: control refused a quota exchange";
                        "sequence" => sequence, "refusal" => ?refusal);
                    QuotaGrants {
                        slices: Vec::new(),
                        waits: Vec::new(),
                    }
                }
                Err(ControlError::Unavailable) => {
                    if std::mem::take(&mut is_first_failure) {
                        warn!(logger, "admission: a quota exchange got no answer and is resent";
                            "sequence" => sequence);
                    }
                    tokio::time::sleep(RESEND_DELAY).await;
                    continue;
                }
            };
            self.complete(sequence, &grants);
            return;
        }
    }

    fn complete(&self, sequence: u64, grants: &QuotaGrants) {
        let mut state = self.lock();
        let now_ms = self.clock.now_ms();
        let results = state.ledger.complete_exchange(sequence, grants, now_ms);
        for (id, result) in results {
            let Some(sender) = state.waiting_requests.remove(&id) else {
                continue;
            };
            if let Err(TokenRequestResult::Granted(reserved)) = sender.send(result) {
                state.ledger.settle(&reserved, 0, now_ms);
            }
        }
    }
}

/// Cancels a token request when the request that waits for it ends, and releases tokens that were
/// granted meanwhile.
struct TokenRequestGuard<'a> {
    quota: &'a QuotaClient,
    id: u64,
    receiver: oneshot::Receiver<TokenRequestResult>,
}

impl Drop for TokenRequestGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.quota.lock();
        state.waiting_requests.remove(&self.id);
        state.ledger.cancel_token_request(self.id);
        if let Ok(TokenRequestResult::Granted(reserved)) = self.receiver.try_recv() {
            let now_ms = self.quota.clock.now_ms();
            state.ledger.settle(&reserved, 0, now_ms);
        }
    }
}

/// Tokens reserved for one request. A reservation that is dropped unsettled counts as spent if the
/// request may have run, and is released otherwise.
pub(crate) struct Reservation {
    quota: Arc<QuotaClient>,
    reserved: Option<ReservedTokens>,
    may_have_run: AtomicBool,
}

impl Reservation {
    fn new(quota: &Arc<QuotaClient>, reserved: ReservedTokens) -> Self {
        Self {
            quota: Arc::clone(quota),
            reserved: Some(reserved),
            may_have_run: AtomicBool::new(false),
        }
    }

    /// Sets whether the request may have run.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }

    /// Settles the reservation and returns the spent tokens. If the usage is unknown, the whole
    /// reservation counts as spent.
    pub(crate) fn settle(&mut self, used_tokens: Option<u64>) -> u64 {
        let Some(reserved) = self.reserved.take() else {
            return 0;
        };
        let spent = used_tokens.unwrap_or(u64::MAX).min(reserved.total());
        let now_ms = self.quota.clock.now_ms();
        self.quota.lock().ledger.settle(&reserved, spent, now_ms);
        spent
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let may_have_run = *self.may_have_run.get_mut();
        self.settle((!may_have_run).then_some(0));
    }
}
