//! Quota of an entry process: reservations of requests and the exchange loop with control.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use slog::{Logger, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;
use wasabipoint_kernel::{CustomerId, EntryId, ErrorKind, Incarnation, MonotonicClock, Refusal};
use wasabipoint_rpc::{ControlError, QuotaGrants};

use crate::link::ControlLink;
use crate::quota_ledger::{QuotaLedger, ReservedTokens, TokenRequestResult};

/// Time between exchanges without a direct ask.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between exchanges. Direct asks of a customer far over its rate are thereby asked
/// for together, and cost control at most 20 exchanges per second.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Pause before an unanswered exchange is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait of a request for its direct ask.
const ASK_TIMEOUT_MS: u64 = 3_000;

struct State {
    ledger: QuotaLedger,
    waiting: HashMap<u64, oneshot::Sender<TokenRequestResult>>,
}

/// Reserves and settles tokens.
pub(crate) struct QuotaClient {
    state: Mutex<State>,
    wake: Notify,
    clock: MonotonicClock,
}

impl QuotaClient {
    pub(crate) fn new(entry: EntryId, incarnation: Incarnation, clock: MonotonicClock) -> Self {
        Self {
            state: Mutex::new(State {
                ledger: QuotaLedger::new(entry, incarnation),
                waiting: HashMap::new(),
            }),
            wake: Notify::new(),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Reserves tokens, asking control once when too few are held here.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        customer: &CustomerId,
        tokens: u64,
        deadline_ms: u64,
    ) -> Result<Reservation, Refusal> {
        let (ask, receiver) = {
            let mut state = self.lock();
            let now_ms = self.clock.now_ms();
            if let Some(reserved) = state.ledger.reserve(customer, tokens, now_ms) {
                return Ok(Reservation::new(self, reserved));
            }
            let ask = state.ledger.add_ask(customer, tokens);
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(ask, sender);
            (ask, receiver)
        };
        self.wake.notify_one();
        let mut guard = AskGuard {
            quota: self,
            ask,
            receiver,
        };
        let left_ms = deadline_ms.saturating_sub(self.clock.now_ms());
        let limit = Duration::from_millis(left_ms.min(ASK_TIMEOUT_MS));
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

    /// Exchanges tokens with control until the process ends.
    pub(crate) async fn run(&self, control: &dyn ControlLink, logger: &Logger) {
        loop {
            // A timeout only means that no request asked directly.
            let _ = tokio::time::timeout(EXCHANGE_INTERVAL, self.wake.notified()).await;
            let began = Instant::now();
            self.exchange(control, logger).await;
            tokio::time::sleep_until(began + MIN_INTERVAL).await;
        }
    }

    /// Returns all free tokens before the process ends.
    pub(crate) async fn return_free_tokens(&self, control: &dyn ControlLink, logger: &Logger) {
        self.lock().ledger.forget_use();
        self.exchange(control, logger).await;
    }

    async fn exchange(&self, control: &dyn ControlLink, logger: &Logger) {
        let mut is_first = true;
        loop {
            let begun = self.lock().ledger.begin_exchange(self.clock.now_ms());
            let Some(exchange) = begun else { return };
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
                    if std::mem::take(&mut is_first) {
                        warn!(logger, "admission: a quota exchange got no answer and is resent";
                            "sequence" => sequence);
                    }
                    tokio::time::sleep(RESEND_PAUSE).await;
                    continue;
                }
            };
            self.finish(sequence, &grants);
            return;
        }
    }

    fn finish(&self, sequence: u64, grants: &QuotaGrants) {
        let mut state = self.lock();
        let now_ms = self.clock.now_ms();
        let results = state.ledger.complete_exchange(sequence, grants, now_ms);
        for (ask, result) in results {
            let Some(sender) = state.waiting.remove(&ask) else {
                continue;
            };
            if let Err(TokenRequestResult::Granted(reserved)) = sender.send(result) {
                state.ledger.settle(&reserved, 0, now_ms);
            }
        }
    }
}

/// Forgets an ask whose request ended, and frees tokens that were granted at the same moment.
struct AskGuard<'a> {
    quota: &'a QuotaClient,
    ask: u64,
    receiver: oneshot::Receiver<TokenRequestResult>,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.quota.lock();
        state.waiting.remove(&self.ask);
        state.ledger.cancel_ask(self.ask);
        if let Ok(TokenRequestResult::Granted(reserved)) = self.receiver.try_recv() {
            let now_ms = self.quota.clock.now_ms();
            state.ledger.settle(&reserved, 0, now_ms);
        }
    }
}

/// Tokens of one request. Dropped unsettled, it counts as spent once the request was sent.
pub(crate) struct Reservation {
    quota: Arc<QuotaClient>,
    reserved: Option<ReservedTokens>,
    may_have_run: bool,
}

impl Reservation {
    fn new(quota: &Arc<QuotaClient>, reserved: ReservedTokens) -> Self {
        Self {
            quota: Arc::clone(quota),
            reserved: Some(reserved),
            may_have_run: false,
        }
    }

    /// Notes whether the request may have run.
    pub(crate) fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }

    /// Settles the request; without a known use, the whole reservation is spent.
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
        let used = if self.may_have_run { None } else { Some(0) };
        self.settle(used);
    }
}
