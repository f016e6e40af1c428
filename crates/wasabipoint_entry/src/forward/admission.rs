//! Reservation of a customer's tokens for a request, and the records of refused ones.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use wasabipoint_kernel::{CustomerId, ErrorKind, ForwardRoute, PromptPartId, Refusal};

use super::dialect::RequestMetadata;
use super::{Forwarder, ModelName};
use crate::quota::{QUEUE_FULL, Reservation};
use crate::quota_ledger::TokenDemand;

/// Objective from which a request can wait for tokens longer than a quarter of it.
const LONG_OBJECTIVE_MS: u64 = 2_000;

/// Part of a long objective that is kept for serving the request.
const SERVICE_TIME_MS: u64 = 1_000;

/// Part of a short objective for which a request may wait, as a divisor.
const SHORT_WAIT_DIVISOR: u64 = 4;

/// Part of a short objective within which a refused caller has to be back, as a divisor. The rest is
/// needed to serve it.
const SHORT_RETURN_DIVISOR: u64 = 2;

/// Of the refusals of a customer over its rate, the first and then one in this many are logged.
const REFUSAL_SAMPLE_INTERVAL: u64 = 16;

/// Time without refusals after which the next one of a customer counts as the first.
const REFUSAL_EPISODE: Duration = Duration::from_secs(5);

/// Limit on the customers whose refusals are counted.
const MAX_COUNTED_CUSTOMERS: usize = 1_024;

/// Refusals of one customer since the last logged one.
#[derive(Debug)]
struct RefusalCount {
    unlogged: u64,
    last_at: Instant,
}

/// Sampling of the refusals of customers over their rates.
#[derive(Debug, Default)]
pub(crate) struct RefusalSampler {
    customers: Mutex<BTreeMap<CustomerId, RefusalCount>>,
}

impl RefusalSampler {
    /// Counts a refusal and returns the number since the last logged one if this one is logged.
    fn sample(&self, customer: &CustomerId) -> Option<u64> {
        let now = Instant::now();
        let mut customers = self
            .customers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        customers.retain(|_, count| now - count.last_at < REFUSAL_EPISODE);
        let Some(count) = customers.get_mut(customer) else {
            if customers.len() < MAX_COUNTED_CUSTOMERS {
                let count = RefusalCount {
                    unlogged: 0,
                    last_at: now,
                };
                customers.insert(customer.clone(), count);
            }
            return Some(0);
        };
        count.last_at = now;
        count.unlogged += 1;
        (count.unlogged == REFUSAL_SAMPLE_INTERVAL).then(|| std::mem::take(&mut count.unlogged))
    }
}

/// A request that needs tokens.
pub(crate) struct TokenUse<'r> {
    pub(crate) customer: &'r CustomerId,
    pub(crate) tokens: u64,
    pub(crate) route: &'r ForwardRoute,
    pub(crate) metadata: &'r RequestMetadata,
    pub(crate) identity: PromptPartId,
    pub(crate) arrived_at: Instant,
    pub(crate) timeout_ms: u64,
}

impl Forwarder {
    /// Reserves the tokens of a request, which waits for them as long as its objective allows.
    pub(crate) async fn reserve_tokens(
        &self,
        token_use: TokenUse<'_>,
    ) -> Result<Reservation, Refusal> {
        let now_ms = self.clock.now_ms();
        let waited_ms = token_use.arrived_at.elapsed().as_millis() as u64;
        let objective_ms = token_use.route.latency_objective_ms;
        let can_wait = objective_ms >= LONG_OBJECTIVE_MS;
        let deadline_ms = (now_ms + token_use.timeout_ms).saturating_sub(waited_ms);
        let start_within_ms = longest_wait_ms(objective_ms).saturating_sub(waited_ms);
        let demand = TokenDemand {
            priority: token_use.route.priority,
            can_wait,
            latest_start_ms: deadline_ms.min(now_ms + start_within_ms),
            return_until_ms: now_ms + longest_return_ms(objective_ms).saturating_sub(waited_ms),
            deadline_ms,
            digest: token_use.identity.0,
        };
        let started = Instant::now();
        let waiting = self.metrics.count_waiting(can_wait);
        let (customer, tokens) = (token_use.customer, token_use.tokens);
        let reserved = if self.config.has_token_queue {
            self.quota.reserve_demand(customer, tokens, demand).await
        } else {
            self.quota.reserve(customer, tokens, deadline_ms).await
        };
        drop(waiting);
        let refusal = match reserved {
            Ok(reservation) => {
                self.metrics.record_token_wait(can_wait, started.elapsed());
                return Ok(reservation);
            }
            Err(refusal) => refusal,
        };
        let reason = match refusal.kind {
            ErrorKind::OverRate if refusal.detail == QUEUE_FULL => "queue_full",
            ErrorKind::OverRate => "over_rate",
            _ => "no_reply",
        };
        self.metrics.count_token_refusal(reason, can_wait);
        let refusal = Refusal {
            detail: format!("customer {}, cost {}", token_use.customer, token_use.tokens),
            ..refusal
        };
        if refusal.kind == ErrorKind::OverRate {
            self.log_over_rate(&token_use, &refusal, reason, started.elapsed());
        }
        Err(refusal)
    }

    /// Logs the first refusal of a customer over its rate, and then every 16th with the number of
    /// those in between.
    fn log_over_rate(
        &self,
        token_use: &TokenUse<'_>,
        refusal: &Refusal,
        reason: &'static str,
        waited: Duration,
    ) {
        let Some(refused_since) = self.refusals.sample(token_use.customer) else {
            return;
        };
        let model = token_use.metadata.model.as_ref().map(ModelName::as_str);
        info!(self.logger, "admission: refused";
            "request" => &token_use.metadata.request_id, "model" => model,
            "route" => %token_use.route.name, "priority" => token_use.route.priority,
            "kind" => %refusal.kind, "run" => refusal.run_state.as_str(),
            "detail" => &refusal.detail, "reason" => reason,
            "retry_after_ms" => refusal.retry_after_ms,
            "waited_ms" => waited.as_millis() as u64, "refused_since" => refused_since,
            "config_version" => self.table().map(|table| table.version),
            "elapsed_ms" => token_use.arrived_at.elapsed().as_millis() as u64);
    }
}

/// Returns the time for which a request may wait for tokens: a quarter of a short objective, or a
/// long objective without the time that serving takes.
fn longest_wait_ms(objective_ms: u64) -> u64 {
    if objective_ms >= LONG_OBJECTIVE_MS {
        objective_ms - SERVICE_TIME_MS
    } else {
        objective_ms / SHORT_WAIT_DIVISOR
    }
}

/// Returns the time after which a refused caller that comes back is too late for its objective.
fn longest_return_ms(objective_ms: u64) -> u64 {
    if objective_ms >= LONG_OBJECTIVE_MS {
        objective_ms - SERVICE_TIME_MS
    } else {
        objective_ms / SHORT_RETURN_DIVISOR
    }
}
