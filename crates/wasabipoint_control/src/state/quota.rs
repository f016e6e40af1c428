//! Token buckets and the slices that entry processes lease from them. For every customer,
//! `level + outstanding <= burst` always holds.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{Customer, CustomerId, EntryId, ErrorKind, Incarnation, plain_data};
use wasabipoint_rpc::{QuotaExchange, QuotaGrants, QuotaItem, QuotaSlice, QuotaWait};

use super::CommandOutcome;

/// Expiry time of a slice as a multiple of its lifetime at the entry process. The tokens that remain
/// at expiry count as spent.
const EXPIRY_LIFETIMES: u64 = 2;

/// Time for which the last exchange of a silent entry process is kept. The slices of that process
/// expire long before.
const ENTRY_RETENTION_MS: u64 = 3_600_000;

/// Bucket levels are kept in millitokens: a rate in tokens per second adds a whole number of
/// millitokens per millisecond, so refills don't round.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;

plain_data! {
    data
    /// Token bucket of one customer.
    pub struct Bucket {
        /// Refill in tokens per second.
        pub rate_tokens_per_s: u64,
        /// Upper bound of the sum of level and outstanding tokens.
        pub burst_tokens: u64,
        /// Tokens available for new slices, in millitokens.
        pub level_millitokens: u64,
        /// Tokens in granted slices that are neither spent nor returned.
        pub outstanding_tokens: u64,
        /// Log time of the last refill.
        pub last_refill_ms: u64,
        /// Whether the customer is in the inventory.
        pub is_listed: bool,
    }
}

plain_data! {
    data
    /// A number of tokens leased to an entry process.
    pub struct SliceRecord {
        /// Customer whose bucket the tokens come from.
        pub customer: CustomerId,
        /// Entry process that holds the slice.
        pub entry: EntryId,
        /// Incarnation of the entry process.
        pub incarnation: Incarnation,
        /// Tokens that are neither spent nor returned.
        pub tokens: u64,
        /// Log time until which the entry may spend the tokens.
        pub usable_until_ms: u64,
        /// Log time at which the remaining tokens count as spent.
        pub expires_ms: u64,
    }
}

plain_data! {
    data
    /// The last exchange of an entry process, kept to answer a resent one.
    pub struct LastExchange {
        /// Incarnation of the entry process.
        pub incarnation: Incarnation,
        /// Sequence number of the exchange.
        pub sequence: u64,
        /// The reply to it.
        pub grants: QuotaGrants,
        /// Log time of the exchange.
        pub received_ms: u64,
    }
}

plain_data! {
    data
    /// Token buckets and slices of all customers.
    #[derive(Default)]
    pub struct QuotaState {
        /// Buckets by customer.
        pub buckets: BTreeMap<CustomerId, Bucket>,
        /// Slices by id.
        pub slices: BTreeMap<u64, SliceRecord>,
        /// Expiry time and id of each slice, in the order of expiry.
        pub expiry: BTreeSet<(u64, u64)>,
        /// Last exchange of each entry process.
        pub last_exchanges: BTreeMap<EntryId, LastExchange>,
        /// Id of the last granted slice.
        pub last_slice_id: u64,
    }
}

impl Bucket {
    /// Returns the highest level that the outstanding tokens leave.
    fn capacity_millitokens(&self) -> u64 {
        self.burst_tokens
            .saturating_sub(self.outstanding_tokens)
            .saturating_mul(MILLITOKENS_PER_TOKEN)
    }

    /// Returns the tokens available for new slices at a time, in millitokens.
    pub(crate) fn level_at(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.last_refill_ms);
        let refill_millitokens = elapsed_ms.saturating_mul(self.rate_tokens_per_s);
        self.level_millitokens
            .saturating_add(refill_millitokens)
            .min(self.capacity_millitokens())
    }

    fn refill(&mut self, now_ms: u64) {
        self.level_millitokens = self.level_at(now_ms);
        self.last_refill_ms = self.last_refill_ms.max(now_ms);
    }

    fn is_full(&self) -> bool {
        self.outstanding_tokens == 0 && self.level_millitokens >= self.capacity_millitokens()
    }
}

impl QuotaState {
    /// Updates the buckets to the customers of a new inventory. The bucket of a removed customer is
    /// kept until it is full, so that removing and re-adding a customer doesn't refill it.
    pub(super) fn set_customers(
        &mut self,
        now_ms: u64,
        customers: &BTreeMap<CustomerId, Customer>,
    ) {
        self.expire_slices(now_ms);
        self.last_exchanges
            .retain(|_, last| now_ms.saturating_sub(last.received_ms) < ENTRY_RETENTION_MS);
        for (id, bucket) in &mut self.buckets {
            bucket.refill(now_ms);
            bucket.is_listed = customers.contains_key(id);
        }
        self.buckets
            .retain(|_, bucket| bucket.is_listed || !bucket.is_full());
        for customer in customers.values() {
            let bucket = self
                .buckets
                .entry(customer.id.clone())
                .or_insert_with(|| Bucket {
                    rate_tokens_per_s: customer.rate_tokens_per_s,
                    burst_tokens: customer.burst_tokens,
                    level_millitokens: customer.burst_tokens.saturating_mul(MILLITOKENS_PER_TOKEN),
                    outstanding_tokens: 0,
                    last_refill_ms: now_ms,
                    is_listed: true,
                });
            bucket.rate_tokens_per_s = customer.rate_tokens_per_s;
            bucket.burst_tokens = customer.burst_tokens;
            bucket.level_millitokens = bucket.level_millitokens.min(bucket.capacity_millitokens());
        }
    }

    /// Settles the slices of an entry process and grants new ones. A resent exchange gets the reply
    /// to the first one; an older exchange or incarnation is refused.
    pub(super) fn exchange(
        &mut self,
        now_ms: u64,
        exchange: QuotaExchange,
        lifetime_ms: u64,
    ) -> CommandOutcome {
        self.expire_slices(now_ms);
        if let Some(last) = self.last_exchanges.get(&exchange.entry) {
            if exchange.incarnation < last.incarnation {
                return CommandOutcome::refused(
                    ErrorKind::FencingStale,
                    "an older run of the entry",
                );
            }
            if exchange.incarnation == last.incarnation {
                if exchange.sequence == last.sequence {
                    return CommandOutcome::Quota(self.replay_grants(now_ms, &last.grants));
                }
                if exchange.sequence < last.sequence {
                    return CommandOutcome::refused(ErrorKind::FencingStale, "an older exchange");
                }
            }
        }
        let mut grants = QuotaGrants {
            slices: Vec::new(),
            waits: Vec::new(),
        };
        for item in &exchange.items {
            self.settle(now_ms, &exchange, item);
            self.grant_slice(now_ms, &exchange, item, lifetime_ms, &mut grants);
        }
        self.last_exchanges.insert(
            exchange.entry,
            LastExchange {
                incarnation: exchange.incarnation,
                sequence: exchange.sequence,
                grants: grants.clone(),
                received_ms: now_ms,
            },
        );
        CommandOutcome::Quota(grants)
    }

    /// Returns an earlier reply again. The entry measures lifetimes from when it resent the
    /// exchange, so they are shortened by the time since the first reply.
    fn replay_grants(&self, now_ms: u64, first: &QuotaGrants) -> QuotaGrants {
        let mut grants = first.clone();
        grants.slices.retain_mut(|slice| {
            let Some(record) = self.slices.get(&slice.slice_id) else {
                return false;
            };
            slice.lifetime_ms = record.usable_until_ms.saturating_sub(now_ms);
            slice.lifetime_ms > 0
        });
        grants
    }

    /// Subtracts spent tokens from their slices and puts returned ones back into the bucket.
    /// Settlements of slices that expired or belong to another entry process are ignored.
    fn settle(&mut self, now_ms: u64, exchange: &QuotaExchange, item: &QuotaItem) {
        for settlement in &item.settlements {
            let Some(slice) = self.slices.get_mut(&settlement.slice_id) else {
                continue;
            };
            let is_owner = slice.entry == exchange.entry
                && slice.incarnation == exchange.incarnation
                && slice.customer == item.customer;
            if !is_owner {
                continue;
            }
            let spent = settlement.spent_tokens.min(slice.tokens);
            let returned = settlement.returned_tokens.min(slice.tokens - spent);
            slice.tokens -= spent + returned;
            let is_empty = slice.tokens == 0;
            let expires_ms = slice.expires_ms;
            if let Some(bucket) = self.buckets.get_mut(&item.customer) {
                // The refill precedes the reduction of the outstanding tokens, since the capacity
                // that they occupied was not available for it.
                bucket.refill(now_ms);
                bucket.outstanding_tokens -= spent + returned;
                bucket.level_millitokens = bucket
                    .level_millitokens
                    .saturating_add(returned.saturating_mul(MILLITOKENS_PER_TOKEN))
                    .min(bucket.capacity_millitokens());
            }
            if is_empty {
                self.slices.remove(&settlement.slice_id);
                self.expiry.remove(&(expires_ms, settlement.slice_id));
            }
        }
    }

    /// Grants a slice of the wanted tokens, or of the available ones if the entry accepts fewer.
    /// Reports the wait until the wanted tokens are available if the bucket is short.
    fn grant_slice(
        &mut self,
        now_ms: u64,
        exchange: &QuotaExchange,
        item: &QuotaItem,
        lifetime_ms: u64,
        grants: &mut QuotaGrants,
    ) {
        let Some(bucket) = self.buckets.get_mut(&item.customer) else {
            return;
        };
        bucket.refill(now_ms);
        if item.wanted_tokens == 0 || !bucket.is_listed {
            return;
        }
        let available = bucket.level_millitokens / MILLITOKENS_PER_TOKEN;
        let is_short = available < item.wanted_tokens;
        if is_short {
            let missing_millitokens = item
                .wanted_tokens
                .saturating_mul(MILLITOKENS_PER_TOKEN)
                .saturating_sub(bucket.level_millitokens);
            grants.waits.push(QuotaWait {
                customer: item.customer.clone(),
                available_in_ms: missing_millitokens.div_ceil(bucket.rate_tokens_per_s.max(1)),
            });
        }
        let tokens = match (is_short, item.accepts_partial) {
            (true, false) => 0,
            _ => item.wanted_tokens.min(available),
        };
        if tokens == 0 {
            return;
        }
        bucket.level_millitokens -= tokens * MILLITOKENS_PER_TOKEN;
        bucket.outstanding_tokens += tokens;
        self.last_slice_id += 1;
        let slice_id = self.last_slice_id;
        let expires_ms = now_ms.saturating_add(lifetime_ms.saturating_mul(EXPIRY_LIFETIMES));
        self.slices.insert(
            slice_id,
            SliceRecord {
                customer: item.customer.clone(),
                entry: exchange.entry.clone(),
                incarnation: exchange.incarnation,
                tokens,
                usable_until_ms: now_ms.saturating_add(lifetime_ms),
                expires_ms,
            },
        );
        self.expiry.insert((expires_ms, slice_id));
        grants.slices.push(QuotaSlice {
            slice_id,
            customer: item.customer.clone(),
            tokens,
            lifetime_ms,
        });
    }

    /// Removes expired slices and counts their remaining tokens as spent.
    fn expire_slices(&mut self, now_ms: u64) {
        while let Some((expires_ms, slice_id)) = self.expiry.first().copied() {
            if expires_ms > now_ms {
                break;
            }
            self.expiry.pop_first();
            let Some(slice) = self.slices.remove(&slice_id) else {
                continue;
            };
            if let Some(bucket) = self.buckets.get_mut(&slice.customer) {
                // The slice limits the level of the bucket until it expires, so the bucket is
                // refilled up to that time first.
                bucket.refill(expires_ms);
                bucket.outstanding_tokens -= slice.tokens;
            }
        }
    }
}
