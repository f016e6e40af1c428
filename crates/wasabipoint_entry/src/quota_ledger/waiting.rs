//! Token requests whose requests may wait for tokens of a customer that is short of them.

use std::collections::BTreeMap;

use wasabipoint_kernel::CustomerId;
use wasabipoint_rpc::{QuotaDemand, QuotaTicket, QuotaVerdict};

use super::{CustomerQuota, PREFETCH_PAUSE_MS, QuotaLedger, TokenRequestResult};

/// Part of its remaining time for which a caller is expected to honour a retry time, as a divisor.
const RETURN_TIME_DIVISOR: u64 = 3;

/// Time for which no free tokens are kept after control let a request wait or refused it.
const CROWDED_MS: u64 = 1_000;

/// Urgency and identity of a request that may wait for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenDemand {
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Whether the objective leaves time to wait for tokens.
    pub can_wait: bool,
    /// Latest time at which a start is still within the objective.
    pub latest_start_ms: u64,
    /// Latest time at which a caller that comes back can still be served within its objective.
    pub return_until_ms: u64,
    /// Deadline of the caller.
    pub deadline_ms: u64,
    /// Digest that repeats of the request share.
    pub digest: u64,
}

impl QuotaLedger {
    /// Returns the number of open token requests of a customer.
    pub fn open_token_requests(&self, customer: &CustomerId) -> usize {
        let requests = self.token_requests.values();
        requests
            .filter(|token_request| token_request.customer == *customer)
            .count()
    }

    /// Returns whether control accepted a request, which then waits for its tokens.
    pub fn is_accepted(&self, token_request_id: u64) -> bool {
        let request = self.token_requests.get(&token_request_id);
        request.is_some_and(super::TokenRequest::is_accepted)
    }

    /// Returns whether accepted requests of a customer wait for tokens.
    pub fn has_accepted_requests(&self, customer: &CustomerId) -> bool {
        let mut requests = self.token_requests.values();
        requests.any(|request| request.is_accepted() && request.customer == *customer)
    }

    /// Returns the earliest time at which an accepted request is expected to get its tokens.
    pub fn next_expected_ms(&self) -> Option<u64> {
        let requests = self.token_requests.values();
        requests.filter_map(|request| request.expected_at_ms).min()
    }

    /// Returns the requests that the pending exchange carries and that may wait, by customer.
    pub fn pending_demand(&self, now_ms: u64) -> Vec<QuotaDemand> {
        let mut tickets: BTreeMap<&CustomerId, Vec<QuotaTicket>> = BTreeMap::new();
        for (id, request) in &self.token_requests {
            let Some(demand) = request.demand.filter(|_| request.is_sent) else {
                continue;
            };
            let left_ms = demand.deadline_ms.saturating_sub(now_ms);
            tickets
                .entry(&request.customer)
                .or_default()
                .push(QuotaTicket {
                    id: *id,
                    priority: demand.priority,
                    can_wait: demand.can_wait,
                    tokens: request.tokens,
                    start_within_ms: demand.latest_start_ms.saturating_sub(now_ms),
                    honoured_ms: left_ms / RETURN_TIME_DIVISOR,
                    return_within_ms: (left_ms / RETURN_TIME_DIVISOR)
                        .min(demand.return_until_ms.saturating_sub(now_ms)),
                    digest: demand.digest,
                    is_accepted: request.is_accepted(),
                });
        }
        let demand = tickets.into_iter().map(|(customer, tickets)| QuotaDemand {
            customer: customer.clone(),
            free_tokens: self.customers.get(customer).map_or(0, CustomerQuota::free),
            tickets,
        });
        demand.collect()
    }

    /// Reserves free tokens for the accepted requests of a customer, in the order of their latest
    /// starts.
    pub fn serve_accepted(
        &mut self,
        customer: &CustomerId,
        now_ms: u64,
    ) -> Vec<(u64, TokenRequestResult)> {
        let accepted = self
            .token_requests
            .iter()
            .filter(|(_, request)| request.is_accepted() && request.customer == *customer);
        let mut order: Vec<(u64, u64, u64)> = accepted
            .map(|(id, request)| {
                let latest_ms = request.demand.map_or(0, |demand| demand.latest_start_ms);
                (latest_ms, *id, request.tokens)
            })
            .collect();
        order.sort_unstable();
        let Some(quota) = self.customers.get_mut(customer) else {
            return Vec::new();
        };
        let mut results = Vec::new();
        for (_, id, tokens) in order {
            let Some(reserved) = quota.take_tokens(customer, tokens, now_ms) else {
                break;
            };
            self.token_requests.remove(&id);
            results.push((id, TokenRequestResult::Granted(reserved)));
        }
        results
    }

    /// Returns the result of a request, `None` if it waits.
    pub(super) fn apply_verdict(
        &mut self,
        id: u64,
        verdict: &QuotaVerdict,
        now_ms: u64,
    ) -> Option<TokenRequestResult> {
        let token_request = self.token_requests.get_mut(&id)?;
        let customer = token_request.customer.clone();
        let quota = self.customers.entry(customer.clone()).or_default();
        if *verdict != QuotaVerdict::Granted {
            quota.crowded_until_ms = now_ms + CROWDED_MS;
            quota.prefetch_paused_until_ms = now_ms + PREFETCH_PAUSE_MS;
        }
        let result = match verdict {
            QuotaVerdict::Granted => {
                let Some(reserved) = quota.take_tokens(&customer, token_request.tokens, now_ms)
                else {
                    // A concurrent exchange of another entry process got the tokens.
                    token_request.expected_at_ms = Some(now_ms);
                    return None;
                };
                TokenRequestResult::Granted(reserved)
            }
            QuotaVerdict::Waits { expected_ms } => {
                token_request.expected_at_ms = Some(now_ms + expected_ms);
                return None;
            }
            QuotaVerdict::Refused { retry_after_ms } => {
                let tokens = token_request.tokens;
                match quota.take_tokens(&customer, tokens, now_ms) {
                    Some(reserved) => TokenRequestResult::Granted(reserved),
                    None => TokenRequestResult::Refused {
                        available_in_ms: *retry_after_ms,
                    },
                }
            }
        };
        self.token_requests.remove(&id);
        Some(result)
    }
}
