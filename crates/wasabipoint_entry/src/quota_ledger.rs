//! Quota slices of one entry process, as pure accounting over a passed-in time.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{CustomerId, EntryId, Incarnation};
use wasabipoint_rpc::{QuotaExchange, QuotaGrants, QuotaItem, SliceSettlement};

/// Time constant of the recent use of a customer.
const USE_DECAY_MS: f64 = 2_000.0;

/// Use that is prefetched. Two exchanges fit into it.
const PREFETCH_S: f64 = 1.0;

/// Time without prefetch after a short grant. Prefetched tokens of a customer at its limit would
/// only be missing at other entry processes.
const SHORT_MS: u64 = 1_000;

/// Recent use below which nothing is held for a customer.
const IDLE_TOKENS_PER_S: f64 = 1.0;

/// Tokens that one request took from slices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedTokens {
    customer: CustomerId,
    parts: Vec<(u64, u64)>,
}

impl ReservedTokens {
    /// Returns the reserved tokens.
    pub fn total(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// The end of a direct ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TokenRequestResult {
    /// The tokens are reserved.
    Granted(ReservedTokens),
    /// Control granted too few; the tokens are expected after this time.
    Refused {
        /// Expected time until the tokens are there.
        available_in_ms: u64,
    },
}

#[derive(Debug)]
struct Slice {
    id: u64,
    free: u64,
    reserved: u64,
    spent: u64,
    lifetime_ms: u64,
    expires_ms: u64,
}

#[derive(Debug, Default)]
struct CustomerQuota {
    slices: Vec<Slice>,
    use_tokens_per_s: f64,
    used_ms: u64,
    /// Until when nothing is prefetched, because control granted less than was asked for.
    short_until_ms: u64,
}

#[derive(Debug)]
struct Ask {
    customer: CustomerId,
    tokens: u64,
    is_sent: bool,
}

#[derive(Debug)]
struct Pending {
    exchange: QuotaExchange,
    sent_ms: u64,
}

/// Slices, reservations and the exchange in progress.
#[derive(Debug)]
pub struct QuotaLedger {
    entry: EntryId,
    incarnation: Incarnation,
    sequence: u64,
    customers: BTreeMap<CustomerId, CustomerQuota>,
    asks: BTreeMap<u64, Ask>,
    next_ask: u64,
    pending: Option<Pending>,
}

impl QuotaLedger {
    /// Creates a ledger without slices.
    pub fn new(entry: EntryId, incarnation: Incarnation) -> Self {
        Self {
            entry,
            incarnation,
            sequence: 0,
            customers: BTreeMap::new(),
            asks: BTreeMap::new(),
            next_ask: 0,
            pending: None,
        }
    }

    /// Reserves tokens from live slices, those that expire first before others.
    pub fn reserve(
        &mut self,
        customer: &CustomerId,
        tokens: u64,
        now_ms: u64,
    ) -> Option<ReservedTokens> {
        let quota = self.customers.entry(customer.clone()).or_default();
        quota.note_use(tokens, now_ms);
        quota.take(customer, tokens, now_ms)
    }

    /// Settles a reservation: `spent` tokens are used, the rest returns to slices that still live.
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

    /// Registers a direct ask, which the next exchange carries.
    pub fn add_ask(&mut self, customer: &CustomerId, tokens: u64) -> u64 {
        self.next_ask += 1;
        self.asks.insert(
            self.next_ask,
            Ask {
                customer: customer.clone(),
                tokens,
                is_sent: false,
            },
        );
        self.next_ask
    }

    /// Forgets an ask whose request gave up.
    pub fn cancel_ask(&mut self, ask: u64) {
        self.asks.remove(&ask);
    }

    /// Returns the exchange to send: the unanswered one unchanged, else a new one when there is
    /// something to settle, return or ask.
    pub fn begin_exchange(&mut self, now_ms: u64) -> Option<QuotaExchange> {
        if let Some(pending) = &self.pending {
            return Some(pending.exchange.clone());
        }
        let asking: BTreeSet<CustomerId> =
            self.asks.values().map(|ask| ask.customer.clone()).collect();
        for customer in &asking {
            self.customers.entry(customer.clone()).or_default();
        }
        let mut items = Vec::new();
        for (customer, quota) in &mut self.customers {
            quota.drop_expired(now_ms);
            let asks = self.asks.values().filter(|ask| ask.customer == *customer);
            let (count, needed) =
                asks.fold((0, 0), |(count, sum), ask| (count + 1, sum + ask.tokens));
            let settlements = quota.close(needed, now_ms);
            let (wanted_tokens, is_prefetch) = quota.want(needed, now_ms);
            if !settlements.is_empty() || wanted_tokens > 0 {
                items.push(QuotaItem {
                    customer: customer.clone(),
                    settlements,
                    wanted_tokens,
                    accepts_partial: count != 1 || is_prefetch,
                });
            }
        }
        self.customers
            .retain(|_, quota| !quota.slices.is_empty() || quota.is_active(now_ms));
        for ask in self.asks.values_mut() {
            ask.is_sent = true;
        }
        if items.is_empty() && self.asks.is_empty() {
            return None;
        }
        self.sequence += 1;
        let exchange = QuotaExchange {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            items,
        };
        self.pending = Some(Pending {
            exchange: exchange.clone(),
            sent_ms: now_ms,
        });
        Some(exchange)
    }

    /// Applies the answer of the exchange in progress and ends the asks that it carried. The
    /// lifetime of a slice counts from before the first send, since a repeat gets the first answer.
    pub fn complete_exchange(
        &mut self,
        sequence: u64,
        grants: &QuotaGrants,
        now_ms: u64,
    ) -> Vec<(u64, TokenRequestResult)> {
        if self
            .pending
            .as_ref()
            .is_none_or(|pending| pending.exchange.sequence != sequence)
        {
            return Vec::new();
        }
        let sent_ms = self
            .pending
            .take()
            .map_or(now_ms, |pending| pending.sent_ms);
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
            quota.short_until_ms = now_ms + SHORT_MS;
        }
        let sent: Vec<u64> = (self.asks.iter())
            .filter(|(_, ask)| ask.is_sent)
            .map(|(id, _)| *id)
            .collect();
        sent.into_iter()
            .filter_map(|id| Some((id, self.finish_ask(id, grants, now_ms)?)))
            .collect()
    }

    fn finish_ask(
        &mut self,
        id: u64,
        grants: &QuotaGrants,
        now_ms: u64,
    ) -> Option<TokenRequestResult> {
        let ask = self.asks.remove(&id)?;
        let quota = self.customers.entry(ask.customer.clone()).or_default();
        if let Some(reserved) = quota.take(&ask.customer, ask.tokens, now_ms) {
            return Some(TokenRequestResult::Granted(reserved));
        }
        let wait = grants
            .waits
            .iter()
            .find(|wait| wait.customer == ask.customer);
        Some(TokenRequestResult::Refused {
            available_in_ms: wait.map_or(1_000, |wait| wait.available_in_ms),
        })
    }

    /// Gives up all free tokens, so that the next exchange returns them.
    pub fn forget_use(&mut self) {
        for quota in self.customers.values_mut() {
            quota.use_tokens_per_s = 0.0;
        }
    }
}

impl CustomerQuota {
    fn note_use(&mut self, tokens: u64, now_ms: u64) {
        self.use_tokens_per_s = self.recent_use(now_ms) + tokens as f64 * 1_000.0 / USE_DECAY_MS;
        self.used_ms = now_ms;
    }

    fn recent_use(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.used_ms) as f64;
        self.use_tokens_per_s * (-age_ms / USE_DECAY_MS).exp()
    }

    fn is_active(&self, now_ms: u64) -> bool {
        self.recent_use(now_ms) >= IDLE_TOKENS_PER_S
    }

    fn free(&self) -> u64 {
        self.slices.iter().map(|slice| slice.free).sum()
    }

    /// Drops slices at the end of their lifetime. Control counts their tokens as spent.
    fn drop_expired(&mut self, now_ms: u64) {
        self.slices.retain(|slice| now_ms < slice.expires_ms);
    }

    fn take(&mut self, customer: &CustomerId, tokens: u64, now_ms: u64) -> Option<ReservedTokens> {
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

    /// Returns the tokens that recent use needs until the exchange after next.
    fn prefetch_target(&self, now_ms: u64) -> u64 {
        let use_tokens_per_s = self.recent_use(now_ms);
        if use_tokens_per_s < IDLE_TOKENS_PER_S {
            return 0;
        }
        (use_tokens_per_s * PREFETCH_S) as u64
    }

    /// Collects what was spent, and returns what is not needed.
    fn close(&mut self, needed: u64, now_ms: u64) -> Vec<SliceSettlement> {
        let kept = needed + self.prefetch_target(now_ms) * 2;
        let mut surplus = self.free().saturating_sub(kept);
        let mut settlements = Vec::new();
        self.slices.sort_by_key(|slice| slice.expires_ms);
        for slice in &mut self.slices {
            // Free tokens of a slice that expires soon are returned and asked for again; at
            // expiry control would count them as spent.
            let is_ending = slice.expires_ms.saturating_sub(now_ms) < slice.lifetime_ms / 4;
            let returned = if is_ending && needed == 0 {
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

    /// Returns the tokens to ask for, and whether prefetched ones are among them.
    fn want(&self, needed: u64, now_ms: u64) -> (u64, bool) {
        let free = self.free();
        let target = self.prefetch_target(now_ms);
        let is_low = free < needed + target / 2;
        if target > 0 && is_low && now_ms >= self.short_until_ms {
            return (needed + target - free, true);
        }
        (needed.saturating_sub(free), false)
    }
}
