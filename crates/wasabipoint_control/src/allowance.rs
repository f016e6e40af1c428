//! Division of the tokens of customers that are short of them among requests at all entry
//! processes. The queues are in the leader's memory and only limit how many tokens an exchange
//! requests; the replicated buckets remain the only accounting.

use std::collections::BTreeMap;

use slog::{Logger, info};
use wasabipoint_kernel::CustomerId;
use wasabipoint_policy::{
    AllowanceClass, AllowanceDeal, AllowanceQueue, AllowanceTicket, BucketState, TicketSource,
    TicketVerdict,
};
use wasabipoint_rpc::{
    ControlRefusal, QuotaDemand, QuotaExchange, QuotaGrants, QuotaReply, QuotaRequest, QuotaTicket,
    QuotaVerdict,
};

use crate::context::ControlContext;
use crate::metrics::ControlMetrics;
use crate::state::{Command, CommandOutcome, ControlState};

/// Time without a request that had to wait or was refused after which a queue counts as ended.
const QUEUE_END_MS: u64 = 2_000;

/// Counts from the first request that had to wait or was refused to the last one.
#[derive(Debug, Default)]
struct Episode {
    began_ms: u64,
    last_ms: u64,
    granted: u64,
    waited: u64,
    refused: u64,
    refused_again: u64,
    returned: u64,
    promised: u64,
    promises_kept: u64,
    wrong_delays: u64,
}

/// Queue of one customer.
#[derive(Debug, Default)]
struct CustomerQueue {
    queue: AllowanceQueue,
    episode: Option<Episode>,
}

/// Queues by customer.
#[derive(Debug, Default)]
pub(crate) struct AllowanceQueues {
    customers: BTreeMap<CustomerId, CustomerQueue>,
}

/// What an exchange becomes when it is limited to the tokens that its entry process may take.
struct LimitedExchange {
    exchange: QuotaExchange,
    verdicts: Vec<(u64, TicketVerdict)>,
    /// Customers whose exchange item was left as it was.
    unlimited: Vec<CustomerId>,
}

/// Time of a decision, and where it is reported.
struct DealContext<'a> {
    now_ms: u64,
    metrics: &'a ControlMetrics,
    logger: &'a Logger,
}

impl AllowanceQueues {
    /// Logs queues that ended, and drops those without content.
    fn end_idle(&mut self, now_ms: u64, logger: &Logger) {
        self.customers.retain(|customer, known| {
            known.queue.expire(now_ms);
            let is_over = known
                .episode
                .as_ref()
                .is_some_and(|episode| now_ms >= episode.last_ms + QUEUE_END_MS);
            if is_over && let Some(episode) = known.episode.take() {
                log_end(customer, &episode, logger);
            }
            known.episode.is_some() || !known.queue.is_empty()
        });
    }

    /// Decides the requests of one customer at one entry process.
    fn deal(
        &mut self,
        source: &TicketSource,
        customer: &CustomerId,
        tickets: &[AllowanceTicket],
        held_and_wanted: (u64, u64),
        bucket: BucketState,
        context: &DealContext<'_>,
    ) -> AllowanceDeal {
        let DealContext {
            now_ms,
            metrics,
            logger,
        } = *context;
        let known = self.customers.entry(customer.clone()).or_default();
        let deal = known
            .queue
            .deal(source, tickets, held_and_wanted, bucket, now_ms);
        let count = |is_counted: fn(&TicketVerdict) -> bool| {
            let verdicts = deal.verdicts.iter();
            verdicts.filter(|(_, verdict)| is_counted(verdict)).count() as u64
        };
        let granted = count(|verdict| *verdict == TicketVerdict::Granted);
        let waits = count(|verdict| matches!(verdict, TicketVerdict::Waits { .. }));
        let refused = count(|verdict| matches!(verdict, TicketVerdict::Refused { .. }));
        metrics.count_allowance("granted", granted);
        metrics.count_allowance("waits", waits);
        metrics.count_allowance("refused", refused);
        metrics.count_allowance("refused_again", u64::from(deal.refused_again));
        metrics.count_allowance("returned", u64::from(deal.returning));
        metrics.count_allowance("promised", u64::from(deal.promised));
        metrics.count_allowance("promise_kept", u64::from(deal.promises_kept));
        metrics.count_allowance("wrong_delay", u64::from(deal.wrong_delays));
        if waits + refused > 0 && known.episode.is_none() {
            info!(logger, "admission: requests of a customer wait for tokens";
                "customer" => %customer, "entry" => %source.0,
                "level_millitokens" => bucket.level_millitokens,
                "rate_tokens_per_s" => bucket.rate_tokens_per_s,
                "outstanding_tokens" => bucket.outstanding_tokens,
                "requests" => tickets.len(),
                "wanted_tokens" => tickets.iter().map(|ticket| ticket.tokens).sum::<u64>(),
                "waiting" => known.queue.waiting(), "refused" => refused);
            known.episode = Some(Episode {
                began_ms: now_ms,
                last_ms: now_ms,
                ..Episode::default()
            });
        }
        if let Some(episode) = &mut known.episode {
            if waits + refused > 0 {
                episode.last_ms = now_ms;
            }
            episode.granted += granted;
            episode.waited += waits;
            episode.refused += refused;
            episode.refused_again += u64::from(deal.refused_again);
            episode.returned += u64::from(deal.returning);
            episode.promised += u64::from(deal.promised);
            episode.promises_kept += u64::from(deal.promises_kept);
            episode.wrong_delays += u64::from(deal.wrong_delays);
        }
        deal
    }

    /// Limits an exchange to the tokens that its entry process may take now.
    fn limit(
        &mut self,
        state: &ControlState,
        source: &TicketSource,
        request: &QuotaRequest,
        context: &DealContext<'_>,
    ) -> LimitedExchange {
        let now_ms = context.now_ms;
        self.end_idle(now_ms, context.logger);
        for (customer, known) in &mut self.customers {
            let mut stated = request.demand.iter();
            if !stated.any(|demand| demand.customer == *customer) {
                known.queue.withdraw(source);
            }
        }
        let mut limited = LimitedExchange {
            exchange: request.exchange.clone(),
            verdicts: Vec::new(),
            unlimited: Vec::new(),
        };
        for item in &mut limited.exchange.items {
            let has_demand = request
                .demand
                .iter()
                .any(|demand| demand.customer == item.customer);
            let is_known = self.customers.contains_key(&item.customer);
            if has_demand || item.wanted_tokens == 0 || !is_known {
                continue;
            }
            // Tokens that are only prefetched are not taken from requests that wait for them.
            if let Some(bucket) = bucket_state(state, &item.customer, now_ms) {
                let wanted = (0, item.wanted_tokens);
                let deal = self.deal(source, &item.customer, &[], wanted, bucket, context);
                item.wanted_tokens = deal.take_tokens.unwrap_or(item.wanted_tokens);
            }
        }
        for demand in &request.demand {
            let Some(bucket) = bucket_state(state, &demand.customer, now_ms) else {
                continue;
            };
            let mut items = limited.exchange.items.iter_mut();
            let item = items.find(|item| item.customer == demand.customer);
            let wanted_tokens = item.as_ref().map_or(0, |item| item.wanted_tokens);
            let deal = self.deal(
                source,
                &demand.customer,
                &tickets_of(demand),
                (demand.free_tokens, wanted_tokens),
                bucket,
                context,
            );
            match (deal.take_tokens, item) {
                (Some(take_tokens), Some(item)) => {
                    item.wanted_tokens = take_tokens;
                    item.accepts_partial = true;
                }
                (Some(_), None) => {}
                (None, item) => {
                    let needed: u64 = demand.tickets.iter().map(|ticket| ticket.tokens).sum();
                    let missing = needed.saturating_sub(demand.free_tokens);
                    if let Some(item) = item {
                        let limit = self.prefetch_limit(&demand.customer, missing);
                        item.wanted_tokens = item.wanted_tokens.min(limit);
                    }
                    limited.unlimited.push(demand.customer.clone());
                }
            }
            limited.verdicts.extend(deal.verdicts);
        }
        limited
    }

    /// Returns the most tokens that an exchange may take although no request waits for them now.
    /// While a customer is short, its tokens are not prefetched: they would be missing elsewhere.
    fn prefetch_limit(&self, customer: &CustomerId, needed_tokens: u64) -> u64 {
        let known = self.customers.get(customer);
        let is_short = known.is_some_and(|known| known.episode.is_some());
        if is_short { needed_tokens } else { u64::MAX }
    }

    fn end_exchange(&mut self, source: &TicketSource) {
        for known in self.customers.values_mut() {
            known.queue.end_exchange(source);
        }
    }
}

impl ControlContext {
    /// Processes a quota exchange as the leader of a term.
    pub(crate) async fn exchange_quota(
        &self,
        term: u64,
        request: QuotaRequest,
    ) -> Result<QuotaReply, ControlRefusal> {
        let log_time = self.member.log_time_ms().await;
        let now_ms = log_time.map_err(|error| self.member.refusal_for(error))?;
        let source = (request.exchange.entry.clone(), request.exchange.incarnation);
        let limited = self.limit_exchange(term, &source, &request, now_ms);
        let grants = if self.needs_commit(&limited.exchange) {
            let command = Command::ExchangeQuota {
                exchange: limited.exchange,
                lifetime_ms: self.slice_lifetime_ms,
            };
            let proposed = self.member.propose(command).await;
            self.with_leader_state(term, |leader| leader.allowance.end_exchange(&source));
            match proposed.map_err(|error| self.member.refusal_for(error))? {
                CommandOutcome::Quota(grants) => grants,
                CommandOutcome::Refused { kind, detail } => {
                    return Err(ControlRefusal::Refused { kind, detail });
                }
                _ => return Err(ControlRefusal::Unavailable),
            }
        } else {
            self.with_leader_state(term, |leader| leader.allowance.end_exchange(&source));
            QuotaGrants {
                slices: Vec::new(),
                waits: Vec::new(),
            }
        };
        let mut verdicts: BTreeMap<u64, TicketVerdict> = limited.verdicts.into_iter().collect();
        // Another exchange may have taken the tokens in between.
        let missed = missed_demand(&request, &grants, &limited.unlimited);
        if !missed.demand.is_empty() {
            let again = self.limit_exchange(term, &source, &missed, now_ms);
            self.with_leader_state(term, |leader| leader.allowance.end_exchange(&source));
            verdicts.extend(again.verdicts);
        }
        let verdicts = verdicts.into_iter();
        Ok(QuotaReply {
            grants,
            verdicts: verdicts
                .map(|(id, verdict)| (id, to_message(verdict)))
                .collect(),
        })
    }

    fn limit_exchange(
        &self,
        term: u64,
        source: &TicketSource,
        request: &QuotaRequest,
        now_ms: u64,
    ) -> LimitedExchange {
        self.with_leader_state(term, |leader| {
            self.member.read(|state| {
                let context = DealContext {
                    now_ms,
                    metrics: &self.metrics,
                    logger: &self.logger,
                };
                (leader.allowance).limit(state, source, request, &context)
            })
        })
    }

    /// Returns whether an exchange changes the replicated state, or may be the repeat of one that
    /// did. A request that only waits costs no log entry.
    fn needs_commit(&self, exchange: &QuotaExchange) -> bool {
        let has_content = exchange
            .items
            .iter()
            .any(|item| item.wanted_tokens > 0 || !item.settlements.is_empty());
        has_content
            || self.member.read(|state| {
                let last = state.quota.last_exchanges.get(&exchange.entry);
                last.is_some_and(|last| {
                    (last.incarnation, last.sequence) >= (exchange.incarnation, exchange.sequence)
                })
            })
    }
}

/// Returns the part of a request whose customers got fewer tokens than their requests need although
/// the bucket seemed to cover them.
fn missed_demand(
    request: &QuotaRequest,
    grants: &QuotaGrants,
    unlimited: &[CustomerId],
) -> QuotaRequest {
    let mut missed = QuotaRequest {
        exchange: QuotaExchange {
            items: Vec::new(),
            ..request.exchange.clone()
        },
        demand: Vec::new(),
    };
    for demand in &request.demand {
        let slices = grants.slices.iter();
        let granted_tokens: u64 = slices
            .filter(|slice| slice.customer == demand.customer)
            .map(|slice| slice.tokens)
            .sum();
        let held_tokens = granted_tokens.saturating_add(demand.free_tokens);
        let needed_tokens: u64 = demand.tickets.iter().map(|ticket| ticket.tokens).sum();
        if unlimited.contains(&demand.customer) && held_tokens < needed_tokens {
            missed.demand.push(QuotaDemand {
                free_tokens: held_tokens,
                ..demand.clone()
            });
        }
    }
    missed
}

fn bucket_state(state: &ControlState, customer: &CustomerId, now_ms: u64) -> Option<BucketState> {
    let bucket = state.quota.buckets.get(customer)?;
    bucket.is_listed.then(|| BucketState {
        level_millitokens: bucket.level_at(now_ms),
        rate_tokens_per_s: bucket.rate_tokens_per_s,
        burst_tokens: bucket.burst_tokens,
        outstanding_tokens: bucket.outstanding_tokens,
    })
}

fn tickets_of(demand: &QuotaDemand) -> Vec<AllowanceTicket> {
    let ticket = |ticket: &QuotaTicket| AllowanceTicket {
        id: ticket.id,
        class: AllowanceClass {
            priority: ticket.priority,
            can_wait: ticket.can_wait,
        },
        tokens: ticket.tokens,
        start_within_ms: ticket.start_within_ms,
        return_within_ms: ticket.return_within_ms,
        honoured_ms: ticket.honoured_ms,
        digest: ticket.digest,
        is_accepted: ticket.is_accepted,
    };
    demand.tickets.iter().map(ticket).collect()
}

fn to_message(verdict: TicketVerdict) -> QuotaVerdict {
    match verdict {
        TicketVerdict::Granted => QuotaVerdict::Granted,
        TicketVerdict::Waits { expected_ms } => QuotaVerdict::Waits { expected_ms },
        TicketVerdict::Refused { retry_after_ms } => QuotaVerdict::Refused { retry_after_ms },
    }
}

fn log_end(customer: &CustomerId, episode: &Episode, logger: &Logger) {
    info!(logger, "admission: no requests of a customer wait for tokens any more";
        "customer" => %customer, "duration_ms" => episode.last_ms - episode.began_ms,
        "granted" => episode.granted, "waited" => episode.waited, "refused" => episode.refused,
        "refused_again" => episode.refused_again, "returned" => episode.returned,
        "promised" => episode.promised, "promises_kept" => episode.promises_kept,
        "wrong_delays" => episode.wrong_delays);
}
