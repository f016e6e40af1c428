//! The order in which accepted requests and promises use the tokens of a customer.

use super::share::ClassShare;
use super::{AllowanceClass, AllowanceTicket};

/// Time constant of the observed settlements, in milliseconds: longer than requests run.
const SETTLEMENT_DECAY_MS: f64 = 4_000.0;

/// Time between decisions after which a change of the outstanding tokens says nothing, in
/// milliseconds.
const MAX_OBSERVED_GAP_MS: u64 = 1_000;

/// Lowest rate that is assumed, as a share of the configured one, so that requests are accepted again
/// once tokens are settled.
const MIN_RATE_SHARE: f64 = 0.0625;

/// One place in the order in which tokens are used.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place {
    pub(super) latest_start_ms: u64,
    pub(super) class: AllowanceClass,
    pub(super) tokens: u64,
    /// The number of the request if it is at the entry process that is being answered.
    pub(super) own_id: Option<u64>,
    /// Whether a caller has to come back before the tokens are used.
    pub(super) is_promise: bool,
    pub(super) due_ms: u64,
}

/// Inputs and counts of one decision.
pub(super) struct Context {
    pub(super) level_tokens: f64,
    pub(super) rate_tokens_per_s: f64,
    /// Tokens that can be granted before others are settled.
    pub(super) capacity_tokens: f64,
    /// Tokens that running requests settle per second.
    pub(super) settled_tokens_per_s: f64,
    pub(super) now_ms: u64,
}

impl Context {
    fn covered_by(&self, rate_tokens_per_s: f64, at_ms: u64) -> f64 {
        let left_s = self.left_s(at_ms);
        let refilled = self.level_tokens + rate_tokens_per_s * left_s;
        refilled.min(self.capacity_tokens + self.settlement_rate() * left_s)
    }

    fn left_s(&self, at_ms: u64) -> f64 {
        at_ms.saturating_sub(self.now_ms) as f64 / 1_000.0
    }

    fn settlement_rate(&self) -> f64 {
        self.settled_tokens_per_s
            .max(self.rate_tokens_per_s * MIN_RATE_SHARE)
    }

    /// Returns the time until the bucket has given a number of tokens, rounded up.
    pub(super) fn wait_ms(&self, tokens: f64) -> u64 {
        let refill_s = (tokens - self.level_tokens).max(0.0) / self.rate_tokens_per_s;
        let settlement_s = (tokens - self.capacity_tokens).max(0.0) / self.settlement_rate();
        (refill_s.max(settlement_s) * 1_000.0).ceil() as u64
    }
}

/// The rate at which running requests settled tokens recently. While their tokens fill the burst, the
/// bucket gets nothing until some are settled.
#[derive(Debug, Default)]
pub(super) struct ObservedSettlements {
    /// Outstanding tokens after the last decision, and its time.
    last: Option<(f64, u64)>,
    settled_tokens: f64,
}

impl ObservedSettlements {
    /// Returns the settled tokens per second, given those outstanding before a decision.
    pub(super) fn rate(&mut self, outstanding_tokens: f64, now_ms: u64) -> f64 {
        let (last_tokens, last_ms) = self.last.unwrap_or((outstanding_tokens, now_ms));
        let elapsed_ms = now_ms.saturating_sub(last_ms);
        self.settled_tokens *= (-(elapsed_ms as f64) / SETTLEMENT_DECAY_MS).exp();
        if elapsed_ms <= MAX_OBSERVED_GAP_MS {
            self.settled_tokens += (last_tokens - outstanding_tokens).max(0.0);
        }
        self.settled_tokens * 1_000.0 / SETTLEMENT_DECAY_MS
    }

    /// Records the outstanding tokens after a decision.
    pub(super) fn record(&mut self, outstanding_tokens: f64, now_ms: u64) {
        self.last = Some((outstanding_tokens, now_ms));
    }
}

pub(super) fn own_place(ticket: &AllowanceTicket, now_ms: u64) -> Place {
    own_place_until(ticket, now_ms.saturating_add(ticket.start_within_ms))
}

pub(super) fn own_place_until(ticket: &AllowanceTicket, latest_start_ms: u64) -> Place {
    Place {
        latest_start_ms,
        class: ticket.class,
        tokens: ticket.tokens,
        own_id: Some(ticket.id),
        is_promise: false,
        due_ms: 0,
    }
}

pub(super) fn place_order(place: &Place) -> (u64, AllowanceClass) {
    (place.latest_start_ms, place.class)
}

/// Inserts a place if it and all those after it can start in time.
pub(super) fn insert_if_feasible(
    places: &mut Vec<Place>,
    place: Place,
    share: ClassShare,
    context: &Context,
) -> bool {
    let position = places.partition_point(|other| place_order(other) <= place_order(&place));
    let mut needed: f64 = places[..position]
        .iter()
        .map(|place| place.tokens as f64)
        .sum();
    needed += place.tokens as f64;
    if needed > context.covered_by(context.rate_tokens_per_s, place.latest_start_ms) {
        return false;
    }
    // A request that the bucket covers, with everything accepted before, is never refused.
    let after: f64 = places[position..]
        .iter()
        .map(|place| place.tokens as f64)
        .sum();
    let is_covered = !place.is_promise && needed + after <= context.level_tokens;
    let left_s = context.left_s(place.latest_start_ms);
    let is_in_share = share.covers(place.tokens, left_s);
    if !is_covered && !is_in_share {
        return false;
    }
    for later in &places[position..] {
        needed += later.tokens as f64;
        if needed > context.covered_by(context.rate_tokens_per_s, later.latest_start_ms) {
            return false;
        }
    }
    places.insert(position, place);
    true
}

/// Returns the time from which a place's tokens exist, with everything before it counted.
pub(super) fn due_of_place(
    places: &[Place],
    place: &Place,
    share: ClassShare,
    context: &Context,
) -> u64 {
    let end = places.partition_point(|other| place_order(other) <= place_order(place));
    let needed: f64 = places[..end].iter().map(|place| place.tokens as f64).sum();
    let owed = place.tokens as f64 - share.credit_tokens;
    let in_turn_ms = (owed.max(0.0) * 1_000.0 / share.tokens_per_s.max(1.0)) as u64;
    let left_ms = place.latest_start_ms.saturating_sub(context.now_ms);
    let wait_ms = context.wait_ms(needed).max(in_turn_ms.min(left_ms));
    context.now_ms + wait_ms.max(1)
}
