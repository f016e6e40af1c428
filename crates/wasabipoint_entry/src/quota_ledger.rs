//! Ledger of one entry process's quota slices: accounting without I/O, with the time passed in.

mod waiting;

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{CustomerId, EntryId, Incarnation};
use wasabipoint_rpc::{
    QuotaExchange, QuotaGrants, QuotaItem, QuotaReply, QuotaVerdict, SliceSettlement,
};

pub use waiting::TokenDemand;

/// Time constant of the exponential decay of a customer's recent usage.
const USAGE_DECAY_MS: f64 = 2_000.0;

/// Seconds of recent usage that are prefetched. Covers two exchange intervals.
const PREFETCH_HORIZON_S: f64 = 1.0;

/// Time without prefetch after control granted less than requested. Tokens prefetched for a
/// customer at its limit would be missing at other entry processes.
const PREFETCH_PAUSE_MS: u64 = 1_000;

/// Recent usage below which a customer counts as idle and no tokens are held for it.
const IDLE_TOKENS_PER_S: f64 = 1.0;

/// Tokens reserved for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedTokens {
    customer: CustomerId,
    /// Slice id and tokens taken from that slice.
    parts: Vec<(u64, u64)>,
}

impl ReservedTokens {
    /// Returns the customer whose tokens are reserved.
    pub(crate) fn customer(&self) -> &CustomerId {
        &self.customer
    }

    /// Returns the number of reserved tokens.
    pub fn total(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// Result of a token request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenRequestResult {
    /// The tokens are reserved.
    Granted(ReservedTokens),
    /// Control granted too few tokens.
    Refused {
        /// Expected time until enough tokens are available.
        available_in_ms: u64,
    },
}

/// A slice granted by control. Its tokens are free, reserved for running requests, or spent but not
/// yet settled with control.
#[derive(Debug)]
struct Slice {
    id: u64,
    free: u64,
    reserved: u64,
    spent: u64,
    lifetime_ms: u64,
    expires_ms: u64,
}

/// Slices and recent usage of one customer.
#[derive(Debug, Default)]
struct CustomerQuota {
    slices: Vec<Slice>,
    /// Recent usage as of `usage_updated_ms`.
    usage_tokens_per_s: f64,
    usage_updated_ms: u64,
    /// Time until which nothing is prefetched, because control granted less than requested.
    prefetch_paused_until_ms: u64,
    /// Time until which no free tokens are kept, because requests elsewhere wait for them.
    crowded_until_ms: u64,
}

/// Tokens that a waiting request needs from control.
#[derive(Debug)]
struct TokenRequest {
    customer: CustomerId,
    tokens: u64,
    /// Whether an exchange has carried the request.
    is_sent: bool,
    /// Urgency of a request that may wait; `None` if the grants alone decide.
    demand: Option<TokenDemand>,
    /// Expected time of its tokens, once control has accepted the request.
    expected_at_ms: Option<u64>,
}

impl TokenRequest {
    fn is_accepted(&self) -> bool {
        self.expected_at_ms.is_some()
    }
}

/// An exchange that was sent at least once and has no reply yet.
#[derive(Debug)]
struct PendingExchange {
    exchange: QuotaExchange,
    sent_ms: u64,
}

/// Slices, open token requests and the pending exchange of one entry process.
#[derive(Debug)]
pub struct QuotaLedger {
    entry: EntryId,
    incarnation: Incarnation,
    /// Sequence number of the last exchange.
    sequence: u64,
    customers: BTreeMap<CustomerId, CustomerQuota>,
    token_requests: BTreeMap<u64, TokenRequest>,
    last_token_request_id: u64,
    pending_exchange: Option<PendingExchange>,
}

impl QuotaLedger {
    /// Creates a ledger without slices.
    pub fn new(entry: EntryId, incarnation: Incarnation) -> Self {
        Self {
            entry,
            incarnation,
            sequence: 0,
            customers: BTreeMap::new(),
            token_requests: BTreeMap::new(),
            last_token_request_id: 0,
            pending_exchange: None,
        }
    }

    /// Reserves tokens from unexpired slices, in the order of their expiry.
    pub fn reserve(
        &mut self,
        customer: &CustomerId,
        tokens: u64,
        now_ms: u64,
    ) -> Option<ReservedTokens> {
        self.record_usage(customer, tokens, now_ms);
        let quota = self.customers.entry(customer.clone()).or_default();
        quota.take_tokens(customer, tokens, now_ms)
    }

    /// Counts the tokens of a new request as recent usage of its customer.
    pub fn record_usage(&mut self, customer: &CustomerId, tokens: u64, now_ms: u64) {
        let quota = self.customers.entry(customer.clone()).or_default();
        quota.record_usage(tokens, now_ms);
    }

    /// Settles a reservation: `spent_tokens` count as spent, and the rest returns to the slices it
    /// was taken from, unless those have expired.
    pub fn settle(&mut self, reserved: &ReservedTokens, spent_tokens: u64, now_ms: u64) {
        let Some(quota) = self.customers.get_mut(&reserved.customer) else {
            return;
        };
        quota.drop_expired(now_ms);
        let mut unsettled = spent_tokens.min(reserved.total());
        for (id, tokens) in &reserved.parts {
            let spent = unsettled.min(*tokens);
            unsettled -= spent;
            if let Some(slice) = quota.slices.iter_mut().find(|slice| slice.id == *id) {
                slice.reserved -= tokens;
                slice.spent += spent;
                slice.free += tokens - spent;
            }
        }
    }

    /// Registers a token request, which the next new exchange carries, and returns its id.
    pub fn add_token_request(&mut self, customer: &CustomerId, tokens: u64) -> u64 {
        self.add_token_demand(customer, tokens, None)
    }

    /// Registers a token request whose request may wait for tokens.
    pub fn add_token_demand(
        &mut self,
        customer: &CustomerId,
        tokens: u64,
        demand: Option<TokenDemand>,
    ) -> u64 {
        self.last_token_request_id += 1;
        self.token_requests.insert(
            self.last_token_request_id,
            TokenRequest {
                customer: customer.clone(),
                tokens,
                is_sent: false,
                demand,
                expected_at_ms: None,
            },
        );
        self.last_token_request_id
    }

    /// Removes a token request that is no longer needed.
    pub fn cancel_token_request(&mut self, token_request_id: u64) {
        self.token_requests.remove(&token_request_id);
    }

    /// Returns the exchange to send: the pending one unchanged, otherwise a new one if there is
    /// anything to settle, return or request.
    pub fn begin_exchange(&mut self, now_ms: u64) -> Option<QuotaExchange> {
        if let Some(pending_exchange) = &self.pending_exchange {
            return Some(pending_exchange.exchange.clone());
        }
        let requesting_customers: BTreeSet<CustomerId> = self
            .token_requests
            .values()
            .map(|token_request| token_request.customer.clone())
            .collect();
        for customer in &requesting_customers {
            self.customers.entry(customer.clone()).or_default();
        }
        let mut items = Vec::new();
        for (customer, quota) in &mut self.customers {
            quota.drop_expired(now_ms);
            let customer_requests = self
                .token_requests
                .values()
                .filter(|token_request| token_request.customer == *customer);
            let (request_count, needed_tokens) =
                customer_requests.fold((0, 0), |(request_count, sum), token_request| {
                    (request_count + 1, sum + token_request.tokens)
                });
            let settlements = quota.collect_settlements(needed_tokens, now_ms);
            let (wanted_tokens, is_prefetch) = quota.tokens_to_request(needed_tokens, now_ms);
            if !settlements.is_empty() || wanted_tokens > 0 {
                items.push(QuotaItem {
                    customer: customer.clone(),
                    settlements,
                    wanted_tokens,
                    accepts_partial: request_count != 1 || is_prefetch,
                });
            }
        }
        self.customers
            .retain(|_, quota| !quota.slices.is_empty() || quota.is_active(now_ms));
        for token_request in self.token_requests.values_mut() {
            token_request.is_sent = true;
        }
        if items.is_empty() && self.token_requests.is_empty() {
            return None;
        }
        self.sequence += 1;
        let exchange = QuotaExchange {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            items,
        };
        self.pending_exchange = Some(PendingExchange {
            exchange: exchange.clone(),
            sent_ms: now_ms,
        });
        Some(exchange)
    }

    /// Applies the reply to the pending exchange and completes the token requests that it carried.
    /// The lifetime of a slice counts from before the first send, since a resent exchange gets the
    /// reply to the first one.
    pub fn complete_exchange(
        &mut self,
        sequence: u64,
        grants: &QuotaGrants,
        now_ms: u64,
    ) -> Vec<(u64, TokenRequestResult)> {
        self.complete_request(sequence, grants, &[], now_ms)
    }

    /// As `complete_exchange`, with the verdicts of the requests that may wait.
    pub fn complete_reply(
        &mut self,
        sequence: u64,
        reply: &QuotaReply,
        now_ms: u64,
    ) -> Vec<(u64, TokenRequestResult)> {
        self.complete_request(sequence, &reply.grants, &reply.verdicts, now_ms)
    }

    fn complete_request(
        &mut self,
        sequence: u64,
        grants: &QuotaGrants,
        verdicts: &[(u64, QuotaVerdict)],
        now_ms: u64,
    ) -> Vec<(u64, TokenRequestResult)> {
        if self
            .pending_exchange
            .as_ref()
            .is_none_or(|pending_exchange| pending_exchange.exchange.sequence != sequence)
        {
            return Vec::new();
        }
        let sent_ms = self
            .pending_exchange
            .take()
            .map_or(now_ms, |pending_exchange| pending_exchange.sent_ms);
        for granted in &grants.slices {
            let quota = self.customers.entry(granted.customer.clone()).or_default();
            quota.slices.push(Slice {
                id: granted.slice_id,
                free: granted.tokens,
                reserved: 0,
                spent: 0,
                lifetime_ms: granted.lifetime_ms,
                expires_ms: sent_ms + granted.lifetime_ms,
            });
        }
        for wait in &grants.waits {
            let quota = self.customers.entry(wait.customer.clone()).or_default();
            quota.prefetch_paused_until_ms = now_ms + PREFETCH_PAUSE_MS;
        }
        let sent_ids: Vec<u64> = (self.token_requests.iter())
            .filter(|(_, token_request)| token_request.is_sent)
            .map(|(id, _)| *id)
            .collect();
        let mut results = Vec::new();
        let verdicts: BTreeMap<u64, QuotaVerdict> = verdicts.iter().cloned().collect();
        // Granted and waiting requests come before refused ones, which get what they leave: after a
        // lost reply the verdicts may be newer than the slices.
        let (refused, others): (Vec<u64>, Vec<u64>) = sent_ids
            .into_iter()
            .partition(|id| matches!(verdicts.get(id), Some(QuotaVerdict::Refused { .. })));
        let (granted, others): (Vec<u64>, Vec<u64>) = others
            .into_iter()
            .partition(|id| verdicts.get(id) == Some(&QuotaVerdict::Granted));
        let mut waiting_customers = BTreeSet::new();
        for id in granted.into_iter().chain(others) {
            let result = match verdicts.get(&id) {
                None => self.complete_token_request(id, grants, now_ms),
                Some(verdict) => self.apply_verdict(id, verdict, now_ms),
            };
            if let Some(result) = result {
                results.push((id, result));
            } else if let Some(request) = self.token_requests.get(&id) {
                waiting_customers.insert(request.customer.clone());
            }
        }
        for customer in &waiting_customers {
            results.extend(self.serve_accepted(customer, now_ms));
        }
        for id in refused {
            let result = verdicts
                .get(&id)
                .and_then(|verdict| self.apply_verdict(id, verdict, now_ms));
            results.extend(result.map(|result| (id, result)));
        }
        results
    }

    fn complete_token_request(
        &mut self,
        id: u64,
        grants: &QuotaGrants,
        now_ms: u64,
    ) -> Option<TokenRequestResult> {
        let token_request = self.token_requests.remove(&id)?;
        let quota = self
            .customers
            .entry(token_request.customer.clone())
            .or_default();
        if let Some(reserved) =
            quota.take_tokens(&token_request.customer, token_request.tokens, now_ms)
        {
            return Some(TokenRequestResult::Granted(reserved));
        }
        let wait = grants
            .waits
            .iter()
            .find(|wait| wait.customer == token_request.customer);
        Some(TokenRequestResult::Refused {
            available_in_ms: wait.map_or(1_000, |wait| wait.available_in_ms),
        })
    }

    /// Marks all customers as idle, so that the next exchange returns their free tokens.
    pub fn reset_usage(&mut self) {
        for quota in self.customers.values_mut() {
            quota.usage_tokens_per_s = 0.0;
        }
    }
}

impl CustomerQuota {
    fn record_usage(&mut self, tokens: u64, now_ms: u64) {
        self.usage_tokens_per_s =
            self.recent_usage(now_ms) + tokens as f64 * 1_000.0 / USAGE_DECAY_MS;
        self.usage_updated_ms = now_ms;
    }

    fn recent_usage(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.usage_updated_ms) as f64;
        self.usage_tokens_per_s * (-age_ms / USAGE_DECAY_MS).exp()
    }

    fn is_active(&self, now_ms: u64) -> bool {
        self.recent_usage(now_ms) >= IDLE_TOKENS_PER_S
    }

    fn free(&self) -> u64 {
        self.slices.iter().map(|slice| slice.free).sum()
    }

    /// Drops expired slices. Control counts their unsettled tokens as spent.
    fn drop_expired(&mut self, now_ms: u64) {
        self.slices.retain(|slice| now_ms < slice.expires_ms);
    }

    fn take_tokens(
        &mut self,
        customer: &CustomerId,
        tokens: u64,
        now_ms: u64,
    ) -> Option<ReservedTokens> {
        self.drop_expired(now_ms);
        if self.free() < tokens {
            return None;
        }
        self.slices.sort_by_key(|slice| slice.expires_ms);
        let mut missing = tokens;
        let mut parts = Vec::new();
        for slice in &mut self.slices {
            let part = missing.min(slice.free);
            if part > 0 {
                slice.free -= part;
                slice.reserved += part;
                missing -= part;
                parts.push((slice.id, part));
            }
        }
        Some(ReservedTokens {
            customer: customer.clone(),
            parts,
        })
    }

    /// Returns the tokens that recent usage is expected to need until the exchange after next.
    fn prefetch_target(&self, now_ms: u64) -> u64 {
        let usage_tokens_per_s = self.recent_usage(now_ms);
        if usage_tokens_per_s < IDLE_TOKENS_PER_S {
            return 0;
        }
        (usage_tokens_per_s * PREFETCH_HORIZON_S) as u64
    }

    /// Collects the spent tokens and the free tokens to return, per slice.
    fn collect_settlements(&mut self, needed_tokens: u64, now_ms: u64) -> Vec<SliceSettlement> {
        let prefetched_tokens = if now_ms < self.crowded_until_ms {
            0
        } else {
            self.prefetch_target(now_ms) * 2
        };
        let kept_tokens = needed_tokens + prefetched_tokens;
        let mut surplus = self.free().saturating_sub(kept_tokens);
        let mut settlements = Vec::new();
        self.slices.sort_by_key(|slice| slice.expires_ms);
        for slice in &mut self.slices {
            // Free tokens of a slice that expires soon are returned and requested again, since
            // control would count them as spent at expiry.
            let expires_soon = slice.expires_ms.saturating_sub(now_ms) < slice.lifetime_ms / 4;
            let returned = if expires_soon && needed_tokens == 0 {
                slice.free
            } else {
                slice.free.min(surplus)
            };
            surplus = surplus.saturating_sub(returned);
            slice.free -= returned;
            if returned > 0 || slice.spent > 0 {
                settlements.push(SliceSettlement {
                    slice_id: slice.id,
                    spent_tokens: std::mem::take(&mut slice.spent),
                    returned_tokens: returned,
                });
            }
        }
        self.slices
            .retain(|slice| slice.free + slice.reserved + slice.spent > 0);
        settlements
    }

    /// Returns the tokens to request, and whether they include prefetched ones.
    fn tokens_to_request(&self, needed_tokens: u64, now_ms: u64) -> (u64, bool) {
        let free = self.free();
        let target = self.prefetch_target(now_ms);
        let is_low = free < needed_tokens + target / 2;
        if target > 0 && is_low && now_ms >= self.prefetch_paused_until_ms {
            return (needed_tokens + target - free, true);
        }
        (needed_tokens.saturating_sub(free), false)
    }
}
