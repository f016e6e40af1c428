//! Division of a customer's allowance among requests at many entry processes, for the load pattern
//! in which callers of one customer send several times its rate.
//!
//! The leader keeps the requests that wait for tokens (each stated in every exchange of its entry
//! process) and the retry times that it announced. A request is accepted only if it and everything
//! accepted or announced before it can start in time, so that no request waits and is then refused;
//! accepted requests get tokens in the order of their latest start. The rate is divided among the
//! classes by weighted max-min fairness.

mod order;
mod promise;
mod share;
mod ticket;

use std::collections::{BTreeMap, BTreeSet};

use order::{
    Context, ObservedSettlements, Place, due_of_place, insert_if_feasible, own_place,
    own_place_until, place_order,
};
use promise::{CallerState, Promise, promise_place};
use share::{ClassShare, ClassShares};
pub use ticket::{
    AllowanceClass, AllowanceDeal, AllowanceTicket, BucketState, TicketSource, TicketVerdict,
};

/// Time after which the requests stated by a silent entry process are forgotten, in milliseconds.
pub const STATEMENT_LIFETIME_MS: u64 = 2_000;

/// Longest announced retry time, in milliseconds. Deadlines are at most 25 s and callers honour a
/// third of their remaining time, so none waits for longer.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Longest time by which retry times are moved to spread them, in milliseconds.
const MAX_SPREAD_MS: u64 = 5_000;

/// Time after an announced retry time until which its tokens are kept, in milliseconds. Covers the
/// round trip to the caller and one exchange.
const PROMISE_GRACE_MS: u64 = 300;

/// Time for which the share of its class is left to others by a caller who comes back too late for its
/// objective, in seconds.
const LATE_RESERVE_S: f64 = 0.25;

/// Time constant of the decay of a class's demand, in milliseconds.
const DEMAND_DECAY_MS: f64 = 2_000.0;

/// Time before it is due from which the tokens of a kept retry time are not granted to others, in
/// milliseconds.
const KEEP_MS: u64 = 125;

/// Limit on retry times and refused callers that are remembered per customer.
const MAX_REMEMBERED: usize = 4_096;

/// Limit on the requests of one customer that wait at one entry process. At the rates of the
/// deployments fewer than 20 can get their tokens in time.
pub const MAX_TICKETS_PER_ENTRY: usize = 128;

/// A request that was accepted and has no tokens yet.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    class: AllowanceClass,
    tokens: u64,
    latest_start_ms: u64,
}

/// Requests of one entry process.
#[derive(Debug, Default)]
struct Statement {
    stated_ms: u64,
    accepted: Vec<Accepted>,
    /// Number of the newest request that was decided.
    last_id: u64,
    /// Tokens that an exchange in progress takes from the bucket.
    in_flight_tokens: u64,
}

/// Exponentially decayed demand.
#[derive(Debug, Default, Clone, Copy)]
struct Demand {
    tokens: f64,
    requests: f64,
    updated_ms: u64,
}

impl Demand {
    fn decay(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let factor = (-age_ms / DEMAND_DECAY_MS).exp();
        self.tokens *= factor;
        self.requests *= factor;
        self.updated_ms = now_ms;
    }

    fn tokens_per_s(&self) -> f64 {
        self.tokens * 1_000.0 / DEMAND_DECAY_MS
    }
}

/// The requests of one customer that wait for tokens, and the retry times announced to its callers.
#[derive(Debug, Default)]
pub struct AllowanceQueue {
    statements: BTreeMap<TicketSource, Statement>,
    /// By digest of the refused request.
    promises: BTreeMap<u64, Promise>,
    /// Due times and digests of the promises, for their expiry.
    due: BTreeSet<(u64, u64)>,
    demand: BTreeMap<AllowanceClass, Demand>,
    shares: ClassShares,
    /// Digests of the promises for which tokens are kept.
    kept: BTreeSet<u64>,
    /// Tokens of the other promises.
    unkept_tokens: u64,
    settlements: ObservedSettlements,
    /// The last retry time that was announced without kept tokens.
    last_announced_ms: u64,
}

impl AllowanceQueue {
    /// Returns whether nothing is remembered, so that the queue may be dropped.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty() && self.promises.is_empty()
    }

    /// Returns the number of requests that were accepted and wait for tokens.
    pub fn waiting(&self) -> usize {
        let statements = self.statements.values();
        statements.map(|statement| statement.accepted.len()).sum()
    }

    /// Returns the number of announced retry times for which tokens are kept.
    pub fn promised(&self) -> usize {
        self.kept.len()
    }

    /// Forgets entry processes that stated nothing recently, and promises that were not used.
    pub fn expire(&mut self, now_ms: u64) {
        self.statements
            .retain(|_, statement| now_ms < statement.stated_ms + STATEMENT_LIFETIME_MS);
        while let Some((due_ms, digest)) = self.due.first().copied() {
            let is_expired = due_ms + PROMISE_GRACE_MS <= now_ms;
            if !is_expired && self.due.len() <= MAX_REMEMBERED {
                break;
            }
            self.forget_promise(digest);
        }
        for demand in self.demand.values_mut() {
            demand.decay(now_ms);
        }
        self.demand.retain(|_, demand| demand.requests > 0.05);
    }

    /// Forgets the accepted requests of an entry process that states none any more.
    pub fn withdraw(&mut self, entry: &TicketSource) {
        if let Some(statement) = self.statements.get_mut(entry) {
            statement.accepted.clear();
        }
    }

    /// Ends the exchange of an entry process, whose tokens are now part of the bucket's level.
    pub fn end_exchange(&mut self, entry: &TicketSource) {
        if let Some(statement) = self.statements.get_mut(entry) {
            statement.in_flight_tokens = 0;
        }
    }

    /// Decides which of an entry process's requests get tokens now, wait or are refused.
    /// `free_tokens` are those that the entry process already holds, `wanted_tokens` those that its
    /// exchange requests.
    pub fn deal(
        &mut self,
        entry: &TicketSource,
        tickets: &[AllowanceTicket],
        (free_tokens, wanted_tokens): (u64, u64),
        bucket: BucketState,
        now_ms: u64,
    ) -> AllowanceDeal {
        self.expire(now_ms);
        let tickets = &tickets[..tickets.len().min(MAX_TICKETS_PER_ENTRY)];
        let in_flight: u64 = (self.statements.iter())
            .filter(|(other, _)| *other != entry)
            .map(|(_, statement)| statement.in_flight_tokens)
            .fold(0, u64::saturating_add);
        let level = bucket.level_millitokens as f64 / 1_000.0 - in_flight as f64;
        let outstanding = bucket.outstanding_tokens.saturating_add(in_flight) as f64;
        let context = Context {
            level_tokens: level + free_tokens as f64,
            rate_tokens_per_s: bucket.rate_tokens_per_s.max(1) as f64,
            capacity_tokens: bucket.burst_tokens as f64 - outstanding + free_tokens as f64,
            settled_tokens_per_s: self.settlements.rate(outstanding, now_ms),
            now_ms,
        };
        let own_tokens = tickets
            .iter()
            .map(|ticket| ticket.tokens)
            .fold(0, u64::saturating_add);
        let last_id = self.record_demand(entry, tickets, now_ms);
        let mut places = self.places_of_others(entry);
        let has_others = places
            .iter()
            .any(|place| !place.is_promise || place.due_ms <= now_ms + 2 * KEEP_MS);
        if !has_others && own_tokens as f64 <= context.level_tokens {
            self.settlements
                .record(outstanding + wanted_tokens as f64, now_ms);
            return self.grant_all(entry, tickets, wanted_tokens, now_ms);
        }
        let mut deal = AllowanceDeal {
            take_tokens: Some(0),
            verdicts: Vec::with_capacity(tickets.len()),
            wrong_delays: 0,
            returning: 0,
            refused_again: 0,
            promised: 0,
            promises_kept: 0,
        };
        places.extend(
            tickets
                .iter()
                .filter(|ticket| ticket.is_accepted)
                .map(|ticket| own_place(ticket, now_ms)),
        );
        places.sort_by_key(place_order);
        let mut new: Vec<&AllowanceTicket> = tickets
            .iter()
            .filter(|ticket| !ticket.is_accepted)
            .collect();
        new.sort_by_key(|ticket| {
            let caller = self.caller_state(entry, ticket, now_ms);
            (ticket.class, caller, ticket.start_within_ms, ticket.id)
        });
        for ticket in new {
            if ticket.tokens > bucket.burst_tokens {
                // The bucket never holds so many.
                let retry_after_ms = MAX_RETRY_AFTER_MS;
                deal.verdicts
                    .push((ticket.id, TicketVerdict::Refused { retry_after_ms }));
                continue;
            }
            self.admit(entry, ticket, last_id, &context, &mut places, &mut deal);
        }
        let granted_tokens = self.grant_in_order(entry, &places, &context, &mut deal);
        let take = granted_tokens.saturating_sub(free_tokens);
        if let Some(statement) = self.statements.get_mut(entry) {
            statement.in_flight_tokens = take;
        }
        self.settlements.record(outstanding + take as f64, now_ms);
        deal.take_tokens = Some(take);
        deal
    }

    /// Adds the new requests to the demand of their classes, and returns the number of the newest
    /// request that was decided before.
    fn record_demand(
        &mut self,
        entry: &TicketSource,
        tickets: &[AllowanceTicket],
        now_ms: u64,
    ) -> u64 {
        let last_id = self.statements.get(entry).map_or(0, |known| known.last_id);
        for ticket in tickets {
            if ticket.id <= last_id || ticket.is_accepted {
                continue;
            }
            self.mark_shared(entry, ticket, now_ms);
            // Callers that are late come after all others, so nothing is held back for them.
            if self.caller_state(entry, ticket, now_ms) == CallerState::BackLate {
                continue;
            }
            let demand = self.demand.entry(ticket.class).or_default();
            demand.decay(now_ms);
            demand.tokens += ticket.tokens as f64;
            demand.requests += 1.0;
        }
        let statement = self.statements.entry(entry.clone()).or_default();
        statement.stated_ms = now_ms;
        statement.accepted.clear();
        statement.in_flight_tokens = 0;
        let newest = tickets.iter().map(|ticket| ticket.id).max();
        statement.last_id = newest.map_or(last_id, |newest| newest.max(last_id));
        last_id
    }

    /// Grants everything, as if there were no queue.
    fn grant_all(
        &mut self,
        entry: &TicketSource,
        tickets: &[AllowanceTicket],
        wanted_tokens: u64,
        now_ms: u64,
    ) -> AllowanceDeal {
        let mut returning = 0;
        for ticket in tickets {
            if self.caller_state(entry, ticket, now_ms) != CallerState::First {
                returning += 1;
                self.forget_promise(ticket.digest);
            }
        }
        if let Some(statement) = self.statements.get_mut(entry) {
            statement.in_flight_tokens = wanted_tokens;
        }
        let verdicts = tickets
            .iter()
            .map(|ticket| (ticket.id, TicketVerdict::Granted));
        AllowanceDeal {
            take_tokens: None,
            verdicts: verdicts.collect(),
            wrong_delays: 0,
            returning,
            refused_again: 0,
            promised: 0,
            promises_kept: 0,
        }
    }

    /// Returns the accepted requests of other entry processes and the promises.
    fn places_of_others(&self, entry: &TicketSource) -> Vec<Place> {
        let others = self.statements.iter().filter(|(other, _)| *other != entry);
        let accepted = others.flat_map(|(_, statement)| &statement.accepted);
        let accepted = accepted.map(|accepted| Place {
            latest_start_ms: accepted.latest_start_ms,
            class: accepted.class,
            tokens: accepted.tokens,
            own_id: None,
            is_promise: false,
            due_ms: 0,
        });
        accepted.chain(self.kept_places()).collect()
    }

    fn kept_places(&self) -> impl Iterator<Item = Place> {
        let kept = self.kept.iter();
        kept.filter_map(|digest| self.promises.get(digest).map(promise_place))
    }

    /// Returns the promise to the caller of a request if it is not the request's own one, which is
    /// stated again after a lost reply.
    fn earlier_promise(&self, entry: &TicketSource, ticket: &AllowanceTicket) -> Option<&Promise> {
        let promise = self.promises.get(&ticket.digest)?;
        (promise.entry != *entry || promise.id < ticket.id).then_some(promise)
    }

    /// Returns whether the caller of a request was refused before, and whether it is in time. Those
    /// that are too late do not precede new callers: under steady overload each of them would take
    /// the place of one that is in time.
    fn caller_state(
        &self,
        entry: &TicketSource,
        ticket: &AllowanceTicket,
        now_ms: u64,
    ) -> CallerState {
        match self.earlier_promise(entry, ticket) {
            Some(promise) if promise.is_kept => CallerState::BackInTime,
            Some(promise) if promise.is_shared || promise.is_early(now_ms) => CallerState::First,
            Some(promise) if now_ms <= promise.on_time_until_ms => CallerState::BackInTime,
            Some(_) => CallerState::BackLate,
            None => CallerState::First,
        }
    }

    /// Recognizes requests that different callers send: a second one arrives before the refused
    /// caller can be back.
    fn mark_shared(&mut self, entry: &TicketSource, ticket: &AllowanceTicket, now_ms: u64) {
        let is_early = self
            .earlier_promise(entry, ticket)
            .is_some_and(|promise| promise.is_early(now_ms));
        if is_early && let Some(promise) = self.promises.get_mut(&ticket.digest) {
            promise.is_shared = true;
        }
    }

    fn remember(&mut self, digest: u64, promise: Promise) {
        self.forget_promise(digest);
        self.due.insert((promise.due_ms, digest));
        if promise.is_kept {
            self.kept.insert(digest);
        } else {
            self.last_announced_ms = promise.due_ms;
            self.unkept_tokens += promise.tokens;
        }
        self.promises.insert(digest, promise);
    }

    fn forget_promise(&mut self, digest: u64) -> Option<Promise> {
        let promise = self.promises.remove(&digest)?;
        self.due.remove(&(promise.due_ms, digest));
        if promise.is_kept {
            self.kept.remove(&digest);
        } else {
            self.unkept_tokens -= promise.tokens;
        }
        Some(promise)
    }

    /// Returns what requests of a class may count on.
    fn class_share(&mut self, class: AllowanceClass, context: &Context) -> ClassShare {
        let demands = self.demand.iter();
        let demands = demands.map(|(class, demand)| (*class, demand.tokens_per_s()));
        self.shares
            .share(class, demands, context.rate_tokens_per_s, context.now_ms)
    }

    /// Accepts a new request if it and everything accepted before can start in time, and refuses it
    /// otherwise.
    fn admit(
        &mut self,
        entry: &TicketSource,
        ticket: &AllowanceTicket,
        last_id: u64,
        context: &Context,
        places: &mut Vec<Place>,
        deal: &mut AllowanceDeal,
    ) {
        if ticket.id <= last_id
            && let Some(promise) = self.promises.get(&ticket.digest)
            && promise.entry == *entry
            && promise.id == ticket.id
        {
            let left_ms = promise.due_ms.saturating_sub(context.now_ms);
            let retry_after_ms = left_ms.max(context.wait_ms(ticket.tokens as f64)).max(1);
            deal.verdicts
                .push((ticket.id, TicketVerdict::Refused { retry_after_ms }));
            return;
        }
        let caller = self.caller_state(entry, ticket, context.now_ms);
        let is_returning = caller != CallerState::First;
        deal.returning += u32::from(is_returning);
        let earlier = self.earlier_promise(entry, ticket).cloned();
        let is_promised = is_returning && earlier.as_ref().is_some_and(|earlier| earlier.is_kept);
        if is_returning {
            self.forget_promise(ticket.digest);
        }
        if is_promised {
            *places = self.rebuild_promises(places);
        }
        let mut share = self.class_share(ticket.class, context);
        if is_promised {
            share = ClassShare::whole(context.rate_tokens_per_s);
        } else if caller == CallerState::BackLate {
            // Callers that are late for their objective come after all others of their class.
            share.credit_tokens -= share.tokens_per_s * LATE_RESERVE_S;
        }
        if insert_if_feasible(places, own_place(ticket, context.now_ms), share, context) {
            deal.promises_kept += u32::from(is_promised);
            if !is_promised {
                self.shares.take(ticket.class, ticket.tokens);
            }
            return;
        }
        let before: f64 = places.iter().map(|place| place.tokens as f64).sum();
        if before + ticket.tokens as f64 <= context.level_tokens {
            deal.wrong_delays += 1;
        }
        deal.refused_again += u32::from(is_returning);
        let promise = self.promise(
            entry,
            ticket,
            earlier.as_ref(),
            (share, before),
            places,
            context,
        );
        deal.promised += u32::from(promise.is_kept);
        if promise.is_kept {
            self.shares.take(ticket.class, ticket.tokens);
        }
        let retry_after_ms = promise.due_ms - context.now_ms;
        // A request that several callers send may replace the kept promise of another caller.
        let is_changed = promise.is_kept || self.kept.contains(&ticket.digest);
        self.remember(ticket.digest, promise);
        if is_changed {
            *places = self.rebuild_promises(places);
        }
        deal.verdicts
            .push((ticket.id, TicketVerdict::Refused { retry_after_ms }));
    }

    /// Chooses the retry time of a refused request. Tokens are kept for it if there are some at a
    /// time at which its caller can be back and is still within its objective.
    fn promise(
        &self,
        entry: &TicketSource,
        ticket: &AllowanceTicket,
        earlier: Option<&Promise>,
        (share, before_tokens): (ClassShare, f64),
        places: &mut Vec<Place>,
        context: &Context,
    ) -> Promise {
        let now_ms = context.now_ms;
        let on_time_until_ms = earlier.map_or(now_ms + ticket.return_within_ms, |earlier| {
            earlier.on_time_until_ms
        });
        let kept_place = Place {
            own_id: None,
            is_promise: true,
            ..own_place_until(ticket, now_ms + ticket.return_within_ms)
        };
        let is_kept = ticket.return_within_ms > 0
            && self.promises.len() < MAX_REMEMBERED
            && insert_if_feasible(places, kept_place, share, context);
        let due_ms = if is_kept {
            due_of_place(places, &kept_place, share, context)
        } else {
            self.announced_ms(ticket, before_tokens, context)
        };
        Promise {
            entry: entry.clone(),
            id: ticket.id,
            tokens: ticket.tokens,
            class: ticket.class,
            due_ms,
            is_kept,
            on_time_until_ms,
            return_at_ms: due_ms.min(now_ms + ticket.honoured_ms),
            is_shared: earlier.is_some_and(|earlier| earlier.is_shared),
        }
    }

    /// Replaces the promises among the places by the current ones.
    fn rebuild_promises(&self, places: &[Place]) -> Vec<Place> {
        let requests = places.iter().filter(|place| !place.is_promise).copied();
        let mut rebuilt: Vec<Place> = requests.chain(self.kept_places()).collect();
        rebuilt.sort_by_key(place_order);
        rebuilt
    }

    /// Returns the retry time of a refused request for which no tokens can be kept in time: the time
    /// at which the bucket has given the tokens of everything accepted and announced before.
    fn announced_ms(&self, ticket: &AllowanceTicket, before_tokens: f64, context: &Context) -> u64 {
        let tokens = before_tokens + ticket.tokens as f64;
        let earliest_ms = context.wait_ms(tokens).max(1);
        let behind_all_ms = context.wait_ms(tokens + self.unkept_tokens as f64);
        // Callers that are refused again leave their old place, so that each of several would get the
        // same new one.
        let step_ms = (ticket.tokens as f64 * 1_000.0 / context.rate_tokens_per_s).ceil() as u64;
        let after_last_ms = (self.last_announced_ms + step_ms.max(1))
            .saturating_sub(context.now_ms)
            .min(behind_all_ms + MAX_SPREAD_MS);
        let told_ms = behind_all_ms.max(after_last_ms).min(MAX_RETRY_AFTER_MS);
        context.now_ms + told_ms.max(earliest_ms)
    }

    /// Grants tokens in the order of the latest starts for as long as the level covers them, and
    /// returns the sum for this entry process.
    fn grant_in_order(
        &mut self,
        entry: &TicketSource,
        places: &[Place],
        context: &Context,
        deal: &mut AllowanceDeal,
    ) -> u64 {
        let (mut before, mut granted_tokens) = (0.0, 0);
        let mut accepted = Vec::new();
        for place in places {
            // Tokens of a promise are not kept idle before its caller is due.
            if place.is_promise && place.due_ms > context.now_ms + KEEP_MS {
                continue;
            }
            let needed = before + place.tokens as f64;
            before = needed;
            let Some(id) = place.own_id else { continue };
            if needed <= context.level_tokens {
                granted_tokens += place.tokens;
                deal.verdicts.push((id, TicketVerdict::Granted));
                continue;
            }
            accepted.push(Accepted {
                class: place.class,
                tokens: place.tokens,
                latest_start_ms: place.latest_start_ms,
            });
            let expected_ms = context.wait_ms(needed).max(1);
            deal.verdicts
                .push((id, TicketVerdict::Waits { expected_ms }));
        }
        if let Some(statement) = self.statements.get_mut(entry) {
            statement.accepted = accepted;
        }
        granted_tokens
    }
}
