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
use wasabipoint_policy::MAX_TICKETS_PER_ENTRY;
use wasabipoint_rpc::{
    ControlError, QuotaDemand, QuotaExchange, QuotaGrants, QuotaReply, QuotaRequest,
};

use crate::link::ControlLink;
use crate::quota_ledger::{QuotaLedger, ReservedTokens, TokenDemand, TokenRequestResult};

/// Time between exchanges while no request waits for tokens.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between exchanges. Token requests of a customer far above its rate are batched, so
/// that they cost control at most 20 exchanges per second.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before an exchange without a reply is resent.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Maximum time for which a request waits for tokens from control.
const TOKEN_REQUEST_TIMEOUT_MS: u64 = 3_000;

/// Maximum time between exchanges while accepted requests wait for tokens. Control forgets what an
/// entry process stated after 2 s.
const MAX_WAITING_EXCHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// Time beyond its latest start for which an accepted request still waits: late service costs its
/// caller less than a refusal after the wait. Covers a change of the leader and tokens that running
/// requests settle later than expected.
const ACCEPTED_GRACE_MS: u64 = 1_000;

/// Retry time of a request that finds too many others waiting, in milliseconds: the time after which
/// requests that wait at once are served or gone.
const QUEUE_FULL_RETRY_MS: u64 = 3_000;

/// Detail of the refusal of a request that finds too many others waiting.
pub(crate) const QUEUE_FULL: &str = "too many requests of the customer wait";

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
        self.reserve_for(customer, tokens, deadline_ms, None).await
    }

    /// Reserves tokens for a request that may wait for them until its latest start.
    pub(crate) async fn reserve_demand(
        self: &Arc<Self>,
        customer: &CustomerId,
        tokens: u64,
        demand: TokenDemand,
    ) -> Result<Reservation, Refusal> {
        self.reserve_for(customer, tokens, demand.deadline_ms, Some(demand))
            .await
    }

    async fn reserve_for(
        self: &Arc<Self>,
        customer: &CustomerId,
        tokens: u64,
        deadline_ms: u64,
        demand: Option<TokenDemand>,
    ) -> Result<Reservation, Refusal> {
        let mut guard = {
            let mut state = self.lock();
            let now_ms = self.clock.now_ms();
            // Accepted requests precede new ones also for tokens that became free here.
            let has_queue = demand.is_some() && state.ledger.has_accepted_requests(customer);
            if !has_queue && let Some(reserved) = state.ledger.reserve(customer, tokens, now_ms) {
                return Ok(Reservation::new(self, reserved));
            }
            if has_queue {
                state.ledger.record_usage(customer, tokens, now_ms);
            }
            if demand.is_some()
                && state.ledger.open_token_requests(customer) >= MAX_TICKETS_PER_ENTRY
            {
                return Err(Refusal::new(ErrorKind::OverRate, QUEUE_FULL)
                    .with_retry_after_ms(QUEUE_FULL_RETRY_MS));
            }
            let id = state.ledger.add_token_demand(customer, tokens, demand);
            let (sender, receiver) = oneshot::channel();
            state.waiting_requests.insert(id, sender);
            TokenRequestGuard {
                quota: self,
                id,
                receiver,
            }
        };
        self.exchange_needed.notify_one();
        let left_ms = deadline_ms.saturating_sub(self.clock.now_ms());
        let limit = Duration::from_millis(left_ms.min(TOKEN_REQUEST_TIMEOUT_MS));
        let mut result = tokio::time::timeout(limit, &mut guard.receiver).await;
        if let Some(demand) = demand
            && result.is_err()
            && self.lock().ledger.is_accepted(guard.id)
        {
            let last_ms = demand.latest_start_ms.saturating_add(ACCEPTED_GRACE_MS);
            let left_ms = last_ms.min(deadline_ms).saturating_sub(self.clock.now_ms());
            let limit = Duration::from_millis(left_ms);
            result = tokio::time::timeout(limit, &mut guard.receiver).await;
        }
        match result {
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
            let _ = tokio::time::timeout(self.exchange_interval(), self.exchange_needed.notified())
                .await;
            let started = Instant::now();
            self.exchange(control, logger).await;
            tokio::time::sleep_until(started + MIN_EXCHANGE_INTERVAL).await;
        }
    }

    /// Returns the time until the next exchange if no new request needs tokens.
    fn exchange_interval(&self) -> Duration {
        let Some(expected_ms) = self.lock().ledger.next_expected_ms() else {
            return EXCHANGE_INTERVAL;
        };
        let wait = Duration::from_millis(expected_ms.saturating_sub(self.clock.now_ms()));
        wait.clamp(MIN_EXCHANGE_INTERVAL, MAX_WAITING_EXCHANGE_INTERVAL)
            .saturating_sub(MIN_EXCHANGE_INTERVAL)
    }

    /// Returns all free tokens to control before the process exits.
    pub(crate) async fn return_free_tokens(&self, control: &dyn ControlLink, logger: &Logger) {
        self.lock().ledger.reset_usage();
        self.exchange(control, logger).await;
    }

    async fn exchange(&self, control: &dyn ControlLink, logger: &Logger) {
        let mut is_first_failure = true;
        loop {
            let pending = {
                let mut state = self.lock();
                let now_ms = self.clock.now_ms();
                let exchange = state.ledger.begin_exchange(now_ms);
                exchange.map(|exchange| (exchange, state.ledger.pending_demand(now_ms)))
            };
            let Some((exchange, demand)) = pending else {
                return;
            };
            let sequence = exchange.sequence;
            let reply = match request_quota(control, exchange, demand).await {
                Ok(reply) => reply,
                Err(ControlError::Refused(refusal)) => {
                    warn!(logger, "admission: control refused a quota exchange";
                        "sequence" => sequence, "refusal" => ?refusal);
                    without_verdicts(QuotaGrants {
                        slices: Vec::new(),
                        waits: Vec::new(),
                    })
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
            self.complete(sequence, &reply);
            return;
        }
    }

    fn complete(&self, sequence: u64, reply: &QuotaReply) {
        let mut state = self.lock();
        let now_ms = self.clock.now_ms();
        let results = state.ledger.complete_reply(sequence, reply, now_ms);
        state.deliver(results, now_ms);
    }

    /// Settles a reservation, whose free tokens go to accepted requests of the customer.
    fn settle(&self, reserved: &ReservedTokens, spent_tokens: u64) {
        let mut state = self.lock();
        let now_ms = self.clock.now_ms();
        if state.settle(reserved, spent_tokens, now_ms) {
            // Control keeps tokens for the served requests until it learns that they have theirs.
            self.exchange_needed.notify_one();
        }
    }
}

impl State {
    fn deliver(&mut self, results: Vec<(u64, TokenRequestResult)>, now_ms: u64) {
        for (id, result) in results {
            let Some(sender) = self.waiting_requests.remove(&id) else {
                continue;
            };
            if let Err(TokenRequestResult::Granted(reserved)) = sender.send(result) {
                self.ledger.settle(&reserved, 0, now_ms);
            }
        }
    }

    /// Settles a reservation and returns whether accepted requests got its free tokens.
    fn settle(&mut self, reserved: &ReservedTokens, spent_tokens: u64, now_ms: u64) -> bool {
        self.ledger.settle(reserved, spent_tokens, now_ms);
        let results = self.ledger.serve_accepted(reserved.customer(), now_ms);
        let is_served = !results.is_empty();
        self.deliver(results, now_ms);
        is_served
    }
}

/// Sends an exchange. Without waiting requests it is the plain one.
async fn request_quota(
    control: &dyn ControlLink,
    exchange: QuotaExchange,
    demand: Vec<QuotaDemand>,
) -> Result<QuotaReply, ControlError> {
    if demand.is_empty() {
        return control.exchange_quota(exchange).await.map(without_verdicts);
    }
    let request = QuotaRequest { exchange, demand };
    control.request_quota(request).await
}

fn without_verdicts(grants: QuotaGrants) -> QuotaReply {
    QuotaReply {
        grants,
        verdicts: Vec::new(),
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
            state.settle(&reserved, 0, now_ms);
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
        self.quota.settle(&reserved, spent);
        spent
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let may_have_run = *self.may_have_run.get_mut();
        self.settle((!may_have_run).then_some(0));
    }
}
