//! Quota buckets and slices. For every customer, `level + outstanding <= burst` always holds.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{Customer, CustomerId, EntryId, ErrorKind, Incarnation, plain_data};
use wasabipoint_rpc::{QuotaExchange, QuotaGrants, QuotaItem, QuotaSlice, QuotaWait};

use super::Outcome;

/// A slice counts as spent after this multiple of its lifetime at the entry.
const WRITE_OFF_LIFETIMES: u64 = 2;

/// Time after which the last exchange of a silent entry process is forgotten; its slices were
/// written off long before.
const ENTRY_KEPT_MS: u64 = 3_600_000;

/// Levels count thousandths of a token, so that a refill of one millisecond is exact.
const MILLI: u64 = 1_000;

plain_data! {
    data
    /// Tokens of one customer.
    pub struct Bucket {
        /// Refill in tokens per second.
        pub rate_tokens_per_s: u64,
        /// Bound of level and outstanding tokens together.
        pub burst_tokens: u64,
        /// Tokens to be granted, in thousandths.
        pub level_milli: u64,
        /// Tokens of granted slices that are neither spent nor returned.
        pub outstanding_tokens: u64,
        /// Log time of the last refill.
        pub refilled_ms: u64,
        /// Whether the customer is in the inventory.
        pub is_listed: bool,
    }
}

plain_data! {
    data
    /// A granted slice.
    pub struct SliceRecord {
        /// The customer.
        pub customer: CustomerId,
        /// The entry process.
        pub entry: EntryId,
        /// Its run.
        pub incarnation: Incarnation,
        /// Tokens that are neither spent nor returned.
        pub tokens: u64,
        /// Log time until which the entry may use it.
        pub usable_until_ms: u64,
        /// Log time at which the rest counts as spent.
        pub written_off_ms: u64,
    }
}

plain_data! {
    data
    /// The last exchange of an entry process.
    pub struct LastExchange {
        /// Run of the entry process.
        pub incarnation: Incarnation,
        /// Number of the exchange.
        pub sequence: u64,
        /// Its answer.
        pub answer: QuotaGrants,
        /// Log time of the exchange.
        pub seen_ms: u64,
    }
}

plain_data! {
    data
    /// All buckets and slices.
    #[derive(Default)]
    pub struct QuotaState {
        /// Buckets by customer.
        pub buckets: BTreeMap<CustomerId, Bucket>,
        /// Slices by id.
        pub slices: BTreeMap<u64, SliceRecord>,
        /// Slices in the order of their write-off.
        pub expiry: BTreeSet<(u64, u64)>,
        /// Last exchange of each entry process.
        pub entries: BTreeMap<EntryId, LastExchange>,
        /// Id of the last slice.
        pub last_slice_id: u64,
    }
}

impl Bucket {
    fn room_milli(&self) -> u64 {
        self.burst_tokens
            .saturating_sub(self.outstanding_tokens)
            .saturating_mul(MILLI)
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let refill_milli = elapsed_ms.saturating_mul(self.rate_tokens_per_s);
        self.level_milli = self
            .level_milli
            .saturating_add(refill_milli)
            .min(self.room_milli());
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }

    fn is_full(&self) -> bool {
        self.outstanding_tokens == 0 && self.level_milli >= self.room_milli()
    }
}

impl QuotaState {
    /// Takes over the customers of a new inventory. The bucket of a removed customer is kept until
    /// it is full, so that removing and adding a customer does not refill it.
    pub(super) fn set_customers(
        &mut self,
        now_ms: u64,
        customers: &BTreeMap<CustomerId, Customer>,
    ) {
        self.write_off(now_ms);
        self.entries
            .retain(|_, entry| now_ms.saturating_sub(entry.seen_ms) < ENTRY_KEPT_MS);
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
                    level_milli: customer.burst_tokens.saturating_mul(MILLI),
                    outstanding_tokens: 0,
                    refilled_ms: now_ms,
                    is_listed: true,
                });
            bucket.rate_tokens_per_s = customer.rate_tokens_per_s;
            bucket.burst_tokens = customer.burst_tokens;
            bucket.level_milli = bucket.level_milli.min(bucket.room_milli());
        }
    }

    pub(super) fn exchange(
        &mut self,
        now_ms: u64,
        exchange: QuotaExchange,
        lifetime_ms: u64,
    ) -> Outcome {
        self.write_off(now_ms);
        if let Some(last) = self.entries.get(&exchange.entry) {
            if exchange.incarnation < last.incarnation {
                return Outcome::refused(ErrorKind::FencingStale, "an older run of the entry");
            }
            if exchange.incarnation == last.incarnation {
                if exchange.sequence == last.sequence {
                    return Outcome::Quota(self.repeat_answer(now_ms, &last.answer));
                }
                if exchange.sequence < last.sequence {
                    return Outcome::refused(ErrorKind::FencingStale, "an older exchange");
                }
            }
        }
        let mut answer = QuotaGrants {
            slices: Vec::new(),
            waits: Vec::new(),
        };
        for item in &exchange.items {
            self.settle(now_ms, &exchange, item);
            self.grant_slice(now_ms, &exchange, item, lifetime_ms, &mut answer);
        }
        self.entries.insert(
            exchange.entry,
            LastExchange {
                incarnation: exchange.incarnation,
                sequence: exchange.sequence,
                answer: answer.clone(),
                seen_ms: now_ms,
            },
        );
        Outcome::Quota(answer)
    }

    /// Repeats an answer. The entry counts lifetimes from before the resent call, so they shrink
    /// by the time that has passed since the first answer.
    fn repeat_answer(&self, now_ms: u64, first: &QuotaGrants) -> QuotaGrants {
        let mut answer = first.clone();
        answer.slices.retain_mut(|slice| {
            let Some(record) = self.slices.get(&slice.slice_id) else {
                return false;
            };
            slice.lifetime_ms = record.usable_until_ms.saturating_sub(now_ms);
            slice.lifetime_ms > 0
        });
        answer
    }

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
            let written_off_ms = slice.written_off_ms;
            if let Some(bucket) = self.buckets.get_mut(&item.customer) {
                // Refill first: room that the settlement makes was not there in the time before.
                bucket.refill(now_ms);
                bucket.outstanding_tokens -= spent + returned;
                bucket.level_milli = bucket
                    .level_milli
                    .saturating_add(returned.saturating_mul(MILLI))
                    .min(bucket.room_milli());
            }
            if is_empty {
                self.slices.remove(&settlement.slice_id);
                self.expiry.remove(&(written_off_ms, settlement.slice_id));
            }
        }
    }

    fn grant_slice(
        &mut self,
        now_ms: u64,
        exchange: &QuotaExchange,
        item: &QuotaItem,
        lifetime_ms: u64,
        answer: &mut QuotaGrants,
    ) {
        let Some(bucket) = self.buckets.get_mut(&item.customer) else {
            return;
        };
        bucket.refill(now_ms);
        if item.wanted_tokens == 0 || !bucket.is_listed {
            return;
        }
        let available = bucket.level_milli / MILLI;
        let is_short = available < item.wanted_tokens;
        if is_short {
            let missing_milli = item
                .wanted_tokens
                .saturating_mul(MILLI)
                .saturating_sub(bucket.level_milli);
            answer.waits.push(QuotaWait {
                customer: item.customer.clone(),
                available_in_ms: missing_milli.div_ceil(bucket.rate_tokens_per_s.max(1)),
            });
        }
        let tokens = match (is_short, item.accepts_partial) {
            (true, false) => 0,
            _ => item.wanted_tokens.min(available),
        };
        if tokens == 0 {
            return;
        }
        bucket.level_milli -= tokens * MILLI;
        bucket.outstanding_tokens += tokens;
        self.last_slice_id += 1;
        let slice_id = self.last_slice_id;
        let written_off_ms = now_ms.saturating_add(lifetime_ms.saturating_mul(WRITE_OFF_LIFETIMES));
        self.slices.insert(
            slice_id,
            SliceRecord {
                customer: item.customer.clone(),
                entry: exchange.entry.clone(),
                incarnation: exchange.incarnation,
                tokens,
                usable_until_ms: now_ms.saturating_add(lifetime_ms),
                written_off_ms,
            },
        );
        self.expiry.insert((written_off_ms, slice_id));
        answer.slices.push(QuotaSlice {
            slice_id,
            customer: item.customer.clone(),
            tokens,
            lifetime_ms,
        });
    }

    /// Counts the rest of expired slices as spent.
    fn write_off(&mut self, now_ms: u64) {
        while let Some((written_off_ms, slice_id)) = self.expiry.first().copied() {
            if written_off_ms > now_ms {
                break;
            }
            self.expiry.pop_first();
            let Some(slice) = self.slices.remove(&slice_id) else {
                continue;
            };
            if let Some(bucket) = self.buckets.get_mut(&slice.customer) {
                // The bucket refills under the old bound until the slice is written off.
                bucket.refill(written_off_ms);
                bucket.outstanding_tokens -= slice.tokens;
            }
        }
    }
}
