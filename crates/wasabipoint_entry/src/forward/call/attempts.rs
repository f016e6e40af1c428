//! The attempt loop: sends a request to one endpoint after another until a response starts.

use std::pin::{Pin, pin};
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use tokio::time::{Instant, timeout_at};
use wasabipoint_kernel::{EndpointId, Refusal};
use wasabipoint_rpc::EndpointView;

use super::refusals::{outcome_unknown_refusal, unproven_refusal};
use super::{ActiveExchange, Call, InFlightGuard};
use crate::forward::dialect::ForwardMetadata;
use crate::forward::endpoints::SelectedEndpoint;
use crate::forward::exchange::{ExchangeOutcome, ResponseFailure, begin_exchange};

/// Number of refusals by endpoints after which a request is refused to the caller.
const MAX_REFUSALS: u32 = 3;

/// Number of failed connections after which a request is refused to the caller.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Time without a response head after which a request that may run again fails over to another
/// endpoint, as a multiple of the route's latency objective.
const FAILOVER_OBJECTIVE_FACTOR: u64 = 3;

/// Minimum time before such a failover, in milliseconds.
const MIN_FAILOVER_TIMEOUT_MS: u64 = 1_200;

/// An attempt at one endpoint.
pub(super) struct Attempt {
    pub(super) selected: SelectedEndpoint,
    pub(super) in_flight: InFlightGuard,
}

/// An attempt with its outcome, `None` if the endpoint did not respond in time.
pub(super) struct EndedAttempt {
    pub(super) attempt: Attempt,
    pub(super) outcome: Option<ExchangeOutcome>,
}

/// The end of an attempt, or of two attempts if the request was hedged.
pub(super) struct AttemptsEnd {
    /// The attempt that decides how the request goes on.
    pub(super) last: EndedAttempt,
    /// The other attempt, if it failed. One that was cancelled is not part of this.
    pub(super) failed: Option<EndedAttempt>,
    /// Endpoint of the second attempt.
    pub(super) hedged_to: Option<EndpointId>,
}

impl AttemptsEnd {
    fn single(attempt: Attempt, outcome: Option<ExchangeOutcome>) -> Self {
        Self {
            last: EndedAttempt { attempt, outcome },
            failed: None,
            hedged_to: None,
        }
    }
}

/// How an attempt ended without a response head.
enum AttemptFailure {
    /// It was not sent, because the endpoint no longer accepts it.
    Withdrawn,
    /// It was not sent, because the endpoint cannot be reached.
    NotSent,
    /// The endpoint refused it.
    Rejected { status: StatusCode, is_proven: bool },
    /// It may have run.
    Unknown(ResponseFailure),
    /// The endpoint did not respond in time.
    Silent,
}

impl Call {
    /// Sends the request to one endpoint after another until a response starts.
    pub(super) async fn dispatch(&mut self) -> Result<ActiveExchange, Refusal> {
        loop {
            let selected = self.find_endpoint().await?;
            self.check_quarantine()?;
            self.check_drain()?;
            self.log_end_of_pause(&selected);
            self.attempts.tried.insert(selected.endpoint.id.clone());
            self.attempts.begin();
            let in_flight = self.track_in_flight(&selected);
            let attempt = Attempt {
                selected,
                in_flight,
            };
            let ended = self.send_attempt(attempt).await;
            self.attempts.is_hedged |= ended.hedged_to.is_some();
            self.attempts.tried.extend(ended.hedged_to);
            if let Some(failed) = ended.failed {
                // The decision follows from the other attempt.
                let _ = self.record_outcome(failed);
            }
            let endpoint = ended.last.attempt.selected.endpoint.clone();
            match self.record_outcome(ended.last) {
                Ok(active) => return Ok(active),
                Err(failure) => self.check_failure(&endpoint, failure)?,
            }
        }
    }

    /// Sends the request to one endpoint and waits for the response head until the failover
    /// deadline, or until the request's deadline if no other endpoint can take the request. Sends it
    /// to a second endpoint if the first one is unusually slow and hedging allows it.
    async fn send_attempt(&self, attempt: Attempt) -> AttemptsEnd {
        let endpoint = attempt.selected.endpoint.clone();
        let timer = self.start_latency_timer();
        let failover_at = self.failover_deadline(Instant::now(), self.attempts.executions());
        let mut exchange = pin!(self.exchange(&endpoint));
        if let Some(plan) = self.plan_hedge(failover_at) {
            let mut outcome = timeout_at(plan.at, exchange.as_mut()).await.ok();
            if outcome.is_none() {
                // The process may have had no CPU time. Lets connection tasks pass on a response that
                // has arrived meanwhile.
                tokio::task::yield_now().await;
                outcome = exchange.as_mut().now_or_never();
            }
            if let Some(outcome) = outcome {
                timer.stop(&outcome);
                return AttemptsEnd::single(attempt, Some(outcome));
            }
            if let Some(hedge) = self.begin_hedge(&plan) {
                let race = self.race((attempt, timer), exchange.as_mut(), hedge, &plan);
                return Box::pin(race).await;
            }
        }
        let outcome = self.wait_for_head(exchange, failover_at).await;
        if let Some(outcome) = &outcome {
            timer.stop(outcome);
        }
        AttemptsEnd::single(attempt, outcome)
    }

    /// Waits for the outcome of a single attempt.
    async fn wait_for_head(
        &self,
        mut exchange: Pin<&mut impl Future<Output = ExchangeOutcome>>,
        failover_at: Instant,
    ) -> Option<ExchangeOutcome> {
        if let Ok(outcome) = timeout_at(failover_at, exchange.as_mut()).await {
            return Some(outcome);
        }
        // The endpoint may only be slow. If no other endpoint can take the request, its response is
        // still the best that the caller can get.
        if self.select_endpoint().is_some() {
            return timeout_at(Instant::now(), exchange).await.ok();
        }
        timeout_at(self.deadline, exchange).await.ok()
    }

    /// Sends the request to an endpoint and waits for the response head.
    pub(super) async fn exchange(&self, endpoint: &EndpointView) -> ExchangeOutcome {
        let metadata = ForwardMetadata {
            remaining_ms: self.remaining_ms(),
            customer: self.customer.as_ref(),
            endpoint: &endpoint.id,
            engine_priority: self.engine_priority,
            last_event_id: self.metadata.last_event_id,
        };
        let forwarder = &self.forwarder;
        begin_exchange(
            &forwarder.pool,
            forwarder.dialect.as_ref(),
            &self.outgoing,
            endpoint,
            &metadata,
            || self.begin_send(endpoint),
        )
        .await
    }

    /// Returns the time at which an endpoint without a response head is abandoned for another one, if
    /// the attempt began at `since` and `executions` attempts may have run.
    pub(super) fn failover_deadline(&self, since: Instant, executions: u32) -> Instant {
        let can_fail_over =
            self.route.run_policy.allows_retry() && executions < self.route.max_attempts;
        if !can_fail_over {
            return self.deadline;
        }
        let failover_timeout_ms = (self.route.latency_objective_ms * FAILOVER_OBJECTIVE_FACTOR)
            .max(MIN_FAILOVER_TIMEOUT_MS);
        self.deadline
            .min(since + Duration::from_millis(failover_timeout_ms))
    }

    /// Records what an attempt tells about its endpoint and about the request, and returns the
    /// response if there is one.
    fn record_outcome(&mut self, ended: EndedAttempt) -> Result<ActiveExchange, AttemptFailure> {
        let Attempt {
            selected,
            in_flight,
        } = ended.attempt;
        let endpoint = &selected.endpoint;
        self.log_attempt(&selected, ended.outcome.as_ref());
        match ended.outcome {
            Some(ExchangeOutcome::Started(started)) => {
                self.settle_reservation();
                self.record_endpoint_load(endpoint, &started.metadata);
                self.record_named_limit(endpoint, &started.metadata);
                let status = started.head.status;
                self.record_announcement(endpoint, status, &started.metadata);
                Ok(ActiveExchange { started, in_flight })
            }
            Some(ExchangeOutcome::Withdrawn(proof)) => {
                self.attempts.take_back(proof);
                self.set_may_have_run(self.attempts.executions() > 0);
                self.attempts.tried.remove(&endpoint.id);
                Err(AttemptFailure::Withdrawn)
            }
            Some(ExchangeOutcome::NotSent(_, proof)) => {
                self.attempts.take_back(proof);
                self.set_may_have_run(self.attempts.executions() > 0);
                self.record_unreachable(endpoint);
                self.attempts.connect_failures += 1;
                Err(AttemptFailure::NotSent)
            }
            Some(ExchangeOutcome::Rejected {
                status,
                metadata,
                proof,
                ..
            }) => {
                let is_proven = proof.is_some();
                match proof {
                    Some(proof) => self.attempts.take_back(proof),
                    None => self.settle_reservation(),
                }
                self.set_may_have_run(self.attempts.executions() > 0);
                self.attempts.refusals += 1;
                self.record_named_limit(endpoint, &metadata);
                self.record_announcement(endpoint, status, &metadata);
                self.record_refusal(endpoint, status, &metadata);
                Err(AttemptFailure::Rejected { status, is_proven })
            }
            Some(ExchangeOutcome::Unknown(failure)) => {
                self.settle_reservation();
                self.avoid(endpoint);
                self.record_failure(endpoint, &failure);
                Err(AttemptFailure::Unknown(failure))
            }
            None => {
                self.settle_reservation();
                self.avoid(endpoint);
                Err(AttemptFailure::Silent)
            }
        }
    }

    /// Refuses a request whose attempt failed, unless it may be sent to another endpoint.
    fn check_failure(
        &mut self,
        endpoint: &EndpointView,
        failure: AttemptFailure,
    ) -> Result<(), Refusal> {
        match failure {
            AttemptFailure::Withdrawn => {}
            AttemptFailure::NotSent => {
                if self.attempts.connect_failures >= MAX_CONNECT_FAILURES {
                    return Err(self.unavailable_refusal("no endpoint can be reached"));
                }
            }
            AttemptFailure::Rejected { status, is_proven } => {
                if !is_proven && !self.route.run_policy.allows_retry() {
                    return Err(unproven_refusal(status));
                }
                // Two attempts of a hedged request may have used up what the route allows.
                let has_attempts = !self.attempts.is_hedged
                    || self.attempts.executions() < self.route.max_attempts;
                if !has_attempts || self.attempts.refusals >= MAX_REFUSALS || !self.try_take_retry()
                {
                    return Err(self.full_refusal());
                }
            }
            AttemptFailure::Unknown(failure) => {
                if !self.allow_retry(endpoint, failure.detail()) {
                    return Err(outcome_unknown_refusal(failure.detail()));
                }
            }
            AttemptFailure::Silent => {
                let is_past_deadline = Instant::now() >= self.deadline;
                if is_past_deadline || !self.allow_retry(endpoint, "no response in time") {
                    return Err(self.timeout_refusal());
                }
            }
        }
        Ok(())
    }
}
