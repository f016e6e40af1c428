//! A fake of control: fleet view, escrow buckets and claims.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use futures::future::BoxFuture;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio::time::Instant;
use wasabipoint_entry::ControlLink;
use wasabipoint_kernel::{CustomerId, EntryId};
use wasabipoint_rpc::{
    ClaimHolder, ClaimOutcome, ClaimRequest, ColdEstimate, ControlError, EntryDirective,
    EntryReport, FleetUpdate, FleetView, QuotaExchange, QuotaGrants, QuotaSlice, QuotaWait,
    WatchReply, WatchRequest,
};

pub(crate) const SLICE_LIFETIME_MS: u64 = 5_000;

struct Bucket {
    level: f64,
    refilled: Instant,
}

struct Outstanding {
    customer: CustomerId,
    tokens: u64,
    written_off: Instant,
}

struct State {
    view: FleetView,
    is_silent: bool,
    reply_delay: Duration,
    loss: f64,
    random: StdRng,
    buckets: HashMap<CustomerId, Bucket>,
    outstanding: HashMap<u64, Outstanding>,
    answers: HashMap<EntryId, (u64, QuotaGrants)>,
    exchanges: Vec<u64>,
    next_slice: u64,
    claims: HashMap<String, (ClaimHolder, [u8; 32])>,
    reports: Vec<(Instant, EntryReport)>,
    cold: Vec<ColdEstimate>,
}

pub(crate) struct FakeControl {
    state: Mutex<State>,
    changed: Notify,
}

impl FakeControl {
    pub(crate) fn new(view: FleetView, seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                view,
                is_silent: false,
                reply_delay: Duration::ZERO,
                loss: 0.0,
                random: StdRng::seed_from_u64(seed),
                buckets: HashMap::new(),
                outstanding: HashMap::new(),
                answers: HashMap::new(),
                exchanges: Vec::new(),
                next_slice: 0,
                claims: HashMap::new(),
                reports: Vec::new(),
                cold: Vec::new(),
            }),
            changed: Notify::new(),
        }
    }

    pub(crate) fn update_view(&self, change: impl FnOnce(&mut FleetView)) {
        let mut state = self.state.lock().unwrap();
        change(&mut state.view);
        state.view.revision += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    pub(crate) fn stop_watch_replies(&self) {
        self.state.lock().unwrap().is_silent = true;
    }

    /// Holds back replies that were made, as a slow network would.
    pub(crate) fn delay_replies(&self, delay: Duration) {
        self.state.lock().unwrap().reply_delay = delay;
    }

    /// Tokens of all slices that were not settled or returned.
    pub(crate) fn outstanding_tokens(&self) -> u64 {
        let state = self.state.lock().unwrap();
        state.outstanding.values().map(|slice| slice.tokens).sum()
    }

    pub(crate) fn lose(&self, share: f64) {
        self.state.lock().unwrap().loss = share;
    }

    pub(crate) fn estimate_cold(&self, estimate: ColdEstimate) {
        self.state.lock().unwrap().cold.push(estimate);
    }

    pub(crate) fn reports(&self) -> Vec<(Instant, EntryReport)> {
        self.state.lock().unwrap().reports.clone()
    }

    pub(crate) fn exchange_sequences(&self) -> Vec<u64> {
        self.state.lock().unwrap().exchanges.clone()
    }

    pub(crate) fn claim_count(&self) -> usize {
        self.state.lock().unwrap().claims.len()
    }

    /// Binds an idempotency key as another entry process would.
    pub(crate) fn insert_claim(&self, key: &str, holder: ClaimHolder, fingerprint: [u8; 32]) {
        let mut state = self.state.lock().unwrap();
        state.claims.insert(key.to_owned(), (holder, fingerprint));
    }

    pub(crate) fn stored_claim(&self, key: &str) -> (ClaimHolder, [u8; 32]) {
        self.state.lock().unwrap().claims[key].clone()
    }
}

impl State {
    fn make_reply(&self, request: &WatchRequest, limit: Instant) -> Option<(WatchReply, Duration)> {
        let is_new = self.view.revision > request.known_revision;
        if self.is_silent || !(is_new || Instant::now() >= limit) {
            return None;
        }
        let update = if is_new {
            FleetUpdate::Snapshot(Box::new(self.view.clone()))
        } else {
            FleetUpdate::Delta(Vec::new())
        };
        let revision = self.view.revision;
        Some((WatchReply { revision, update }, self.reply_delay))
    }

    fn draw(&mut self, share: f64) -> bool {
        self.random.random_bool(share)
    }

    fn refill(&mut self, customer: &CustomerId) {
        let now = Instant::now();
        self.outstanding.retain(|_, slice| slice.written_off > now);
        let escrow: u64 = self
            .outstanding
            .values()
            .filter(|slice| slice.customer == *customer)
            .map(|slice| slice.tokens)
            .sum();
        let limits = &self.view.inventory.customers[customer];
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket {
            level: limits.burst_tokens as f64,
            refilled: now,
        });
        let elapsed_s = (now - bucket.refilled).as_secs_f64();
        let bound = limits.burst_tokens as f64 - escrow as f64;
        bucket.level =
            (bucket.level + elapsed_s * limits.rate_tokens_per_s as f64).min(bound.max(0.0));
        bucket.refilled = now;
    }

    fn exchange(&mut self, exchange: &QuotaExchange) -> QuotaGrants {
        if let Some((sequence, grants)) = self.answers.get(&exchange.entry) {
            if *sequence == exchange.sequence {
                return grants.clone();
            }
            assert_eq!(*sequence + 1, exchange.sequence, "a gap in the sequence");
        }
        let mut grants = QuotaGrants {
            slices: Vec::new(),
            waits: Vec::new(),
        };
        for item in &exchange.items {
            self.refill(&item.customer);
            for settled in &item.settlements {
                if let Some(slice) = self.outstanding.get_mut(&settled.slice_id) {
                    slice.tokens -= settled.spent_tokens + settled.returned_tokens;
                    let bucket = self.buckets.get_mut(&item.customer).unwrap();
                    bucket.level += settled.returned_tokens as f64;
                }
            }
            let bucket = self.buckets.get_mut(&item.customer).unwrap();
            let held = bucket.level as u64;
            let is_short = held < item.wanted_tokens;
            if is_short {
                grants.waits.push(QuotaWait {
                    customer: item.customer.clone(),
                    available_in_ms: 1_500,
                });
            }
            let tokens = item.wanted_tokens.min(held);
            if tokens == 0 || (is_short && !item.accepts_partial) {
                continue;
            }
            bucket.level -= tokens as f64;
            self.next_slice += 1;
            let lifetime = Duration::from_millis(SLICE_LIFETIME_MS * 2);
            self.outstanding.insert(
                self.next_slice,
                Outstanding {
                    customer: item.customer.clone(),
                    tokens,
                    written_off: Instant::now() + lifetime,
                },
            );
            grants.slices.push(QuotaSlice {
                slice_id: self.next_slice,
                customer: item.customer.clone(),
                tokens,
                lifetime_ms: SLICE_LIFETIME_MS,
            });
        }
        let answer = (exchange.sequence, grants.clone());
        self.answers.insert(exchange.entry.clone(), answer);
        grants
    }
}

impl ControlLink for FakeControl {
    fn watch(&self, request: WatchRequest) -> BoxFuture<'_, Result<WatchReply, ControlError>> {
        Box::pin(async move {
            let limit = Instant::now() + Duration::from_millis(request.wait_ms);
            loop {
                let changed = self.changed.notified();
                let made = self.state.lock().unwrap().make_reply(&request, limit);
                if let Some((reply, delay)) = made {
                    tokio::time::sleep(delay).await;
                    return Ok(reply);
                }
                if Instant::now() >= limit {
                    std::future::pending::<()>().await;
                }
                let _ = tokio::time::timeout_at(limit, changed).await;
            }
        })
    }

    fn report(&self, report: EntryReport) -> BoxFuture<'_, Result<EntryDirective, ControlError>> {
        Box::pin(async move {
            let mut state = self.state.lock().unwrap();
            state.reports.push((Instant::now(), report));
            Ok(EntryDirective {
                cold_estimates: state.cold.clone(),
                next_report_ms: 1_000,
            })
        })
    }

    fn exchange_quota(
        &self,
        exchange: QuotaExchange,
    ) -> BoxFuture<'_, Result<QuotaGrants, ControlError>> {
        Box::pin(async move {
            let mut state = self.state.lock().unwrap();
            let loss = state.loss;
            state.exchanges.push(exchange.sequence);
            if state.draw(loss) {
                return Err(ControlError::Unavailable);
            }
            let grants = state.exchange(&exchange);
            if state.draw(loss) {
                return Err(ControlError::Unavailable);
            }
            Ok(grants)
        })
    }

    fn claim(&self, request: ClaimRequest) -> BoxFuture<'_, Result<ClaimOutcome, ControlError>> {
        Box::pin(async move {
            let mut state = self.state.lock().unwrap();
            let key = request.idempotency_key.clone();
            if let Some((holder, fingerprint)) = state.claims.get(&key) {
                if *fingerprint != request.fingerprint {
                    return Ok(ClaimOutcome::Mismatch);
                }
                if Some(holder.request_id) != request.replaces {
                    return Ok(ClaimOutcome::Held(holder.clone()));
                }
            }
            let claim = (request.holder, request.fingerprint);
            state.claims.insert(key, claim);
            Ok(ClaimOutcome::Claimed)
        })
    }
}
