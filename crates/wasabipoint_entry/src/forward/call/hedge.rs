//! Hedged requests: a second attempt at another endpoint while the first one has no response head.
//!
//! The response that is delivered decides; the other attempt is dropped, which closes its connection and
//! so cancels its work. What an attempt tells before that counts as without hedging. A cancelled
//! attempt tells nothing about its endpoint.

use std::pin::{Pin, pin};
use std::time::Duration;

use slog::info;
use tokio::time::{Instant, sleep_until};
use wasabipoint_kernel::EndpointId;
use wasabipoint_policy::{
    AttemptGrade, Entrant, HedgeDelay, HedgeRace, HedgeRefusal, HedgeRequest, RaceStep,
};

use super::Call;
use super::attempts::{Attempt, AttemptsEnd, EndedAttempt};
use crate::forward::State;
use crate::forward::endpoints::{SelectedEndpoint, SelectionCriteria};
use crate::forward::exchange::ExchangeOutcome;

/// When a request is hedged.
pub(super) struct HedgePlan {
    pub(super) at: Instant,
    delay: HedgeDelay,
}

/// Measures the time until the response head of an attempt. An attempt whose timer is dropped was
/// cancelled.
pub(super) struct LatencyTimer<'a> {
    call: &'a Call,
    started_at: Instant,
    is_active: bool,
}

impl LatencyTimer<'_> {
    /// Records the latency of a success. Failures may come early, and say nothing about latencies.
    pub(super) fn stop(mut self, outcome: &ExchangeOutcome) {
        if !std::mem::take(&mut self.is_active) {
            return;
        }
        if let ExchangeOutcome::Started(started) = outcome
            && started.head.status.is_success()
        {
            let forwarder = &self.call.forwarder;
            let now_ms = forwarder.clock.now_ms();
            let latency_ms = self.started_at.elapsed().as_millis() as u64;
            let route = &self.call.route.name;
            let mut state = forwarder.lock();
            state.hedging.record_latency(route, latency_ms, now_ms);
        }
    }
}

impl Drop for LatencyTimer<'_> {
    fn drop(&mut self) {
        if !self.is_active {
            return;
        }
        let forwarder = &self.call.forwarder;
        let now_ms = forwarder.clock.now_ms();
        let age_ms = self.started_at.elapsed().as_millis() as u64;
        let route = &self.call.route.name;
        let mut state = forwarder.lock();
        state.hedging.record_cancelled(route, age_ms, now_ms);
    }
}

/// Logs and counts a hedge when it ends, also if the caller leaves meanwhile.
struct HedgeRecord<'a> {
    call: &'a Call,
    delay: HedgeDelay,
    selected: SelectedEndpoint,
    first_endpoint: EndpointId,
    sent_at: Instant,
    outcome: &'static str,
}

/// Outcome of a hedge whose response was delivered.
const WON: &str = "won";

impl Drop for HedgeRecord<'_> {
    fn drop(&mut self) {
        let event = if self.outcome == WON { WON } else { "wasted" };
        let call = self.call;
        call.forwarder.metrics.count_hedge(event);
        info!(call.forwarder.logger, "routing: hedged";
            "request" => &call.metadata.request_id, "route" => %call.route.name,
            "service" => %call.service,
            "delay_ms" => self.delay.delay_ms, "median_ms" => self.delay.median_ms,
            "samples" => self.delay.samples,
            "first_endpoint" => %self.first_endpoint,
            "endpoint" => %self.selected.endpoint.id,
            "incarnation" => self.selected.endpoint.incarnation.0,
            "load" => self.selected.load, "slots" => self.selected.endpoint.concurrency,
            "hedge_age_ms" => self.sent_at.elapsed().as_millis() as u64,
            "outcome" => self.outcome);
    }
}

impl Call {
    /// Starts to measure the latency of an attempt.
    pub(super) fn start_latency_timer(&self) -> LatencyTimer<'_> {
        LatencyTimer {
            call: self,
            started_at: Instant::now(),
            is_active: self.forwarder.config.hedge_percent > 0
                && self.route.run_policy.allows_retry(),
        }
    }

    /// Returns when the attempt that begins now is hedged, `None` if it never is: because it cannot be,
    /// because too few latencies are known, or because it fails over before.
    pub(super) fn plan_hedge(&self, failover_at: Instant) -> Option<HedgePlan> {
        if self.forwarder.config.hedge_percent == 0 {
            return None;
        }
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        let delay = state.hedging.delay(&self.route.name, now_ms)?;
        if !self.hedge_request(self.is_probe).may_be_hedged(&delay) {
            return None;
        }
        let at = Instant::now() + Duration::from_millis(delay.delay_ms);
        if at >= failover_at {
            return None;
        }
        state.hedging.count_timed_attempt(&self.service, now_ms);
        Some(HedgePlan { at, delay })
    }

    fn hedge_request(&self, is_suspected: bool) -> HedgeRequest {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        HedgeRequest {
            may_run_again: self.route.run_policy.allows_retry(),
            executions: self.attempts.executions(),
            max_attempts: self.route.max_attempts,
            is_suspected,
            is_draining: self.forwarder.is_draining(),
            remaining_ms: remaining.as_millis() as u64,
        }
    }

    /// Begins a second attempt if everything still allows it.
    pub(super) fn begin_hedge(&self, plan: &HedgePlan) -> Option<Attempt> {
        let now_ms = self.forwarder.clock.now_ms();
        let mut state = self.forwarder.lock();
        state.hedging.count_late_attempt(&self.service, now_ms);
        let is_suspected = self.is_probe || self.is_suspected(&state);
        if !self.hedge_request(is_suspected).may_be_hedged(&plan.delay) {
            return None;
        }
        let admitted = self.admit_hedge(&mut state, now_ms);
        drop(state);
        let selected = match admitted {
            Ok(selected) => selected,
            Err(refusal) => {
                self.forwarder.metrics.count_hedge(refusal.as_str());
                return None;
            }
        };
        self.forwarder.metrics.count_hedge("sent");
        self.attempts.begin_hedge();
        let in_flight = self.track_in_flight(&selected);
        Some(Attempt {
            selected,
            in_flight,
        })
    }

    /// Selects the endpoint of a second attempt and counts the attempt against the limit, the retry
    /// budget and the permissions of the endpoint.
    fn admit_hedge(
        &self,
        state: &mut State,
        now_ms: u64,
    ) -> Result<SelectedEndpoint, HedgeRefusal> {
        let selected = state
            .endpoints
            .select_hedge(&self.selection_criteria(), now_ms)
            .ok_or(HedgeRefusal::NoEndpoint)?;
        let (load, slots) = (selected.load, selected.endpoint.concurrency);
        state.hedging.check(&self.service, load, slots, now_ms)?;
        if !state.budget.try_take_hedge(&self.service, now_ms) {
            return Err(HedgeRefusal::Budget);
        }
        state.hedging.count_hedge(&self.service, now_ms);
        state.endpoints.use_permission(&selected, now_ms);
        Ok(selected)
    }

    /// Waits for the first good response of two attempts. The other attempt is dropped.
    pub(super) async fn race(
        &self,
        first: (Attempt, LatencyTimer<'_>),
        mut first_exchange: Pin<&mut impl Future<Output = ExchangeOutcome>>,
        hedge: Attempt,
        plan: &HedgePlan,
    ) -> AttemptsEnd {
        let (first, first_timer) = first;
        let first_since = first_timer.started_at;
        let hedge_timer = self.start_latency_timer();
        let hedge_since = hedge_timer.started_at;
        let endpoint = hedge.selected.endpoint.clone();
        let mut record = HedgeRecord {
            call: self,
            delay: plan.delay,
            selected: hedge.selected.clone(),
            first_endpoint: first.selected.endpoint.id.clone(),
            sent_at: hedge_since,
            outcome: "cancelled",
        };
        let mut hedge_exchange = pin!(self.exchange(&endpoint));
        let (mut first_timer, mut hedge_timer) = (Some(first_timer), Some(hedge_timer));
        let (mut first_outcome, mut hedge_outcome) = (None, None);
        let mut race = HedgeRace::new();
        // An attempt that did not run leaves its place to another one.
        let mut executions = self.attempts.executions();
        let mut limit = self.failover_deadline(hedge_since, executions);
        let (step, ended_last) = loop {
            let (entrant, outcome) = tokio::select! {
                biased;
                outcome = first_exchange.as_mut(), if !race.has_ended(Entrant::First) => {
                    (Entrant::First, outcome)
                }
                outcome = hedge_exchange.as_mut(), if !race.has_ended(Entrant::Hedge) => {
                    (Entrant::Hedge, outcome)
                }
                () = sleep_until(limit) => {
                    if limit < self.deadline && !self.has_endpoint_besides(&endpoint.id) {
                        limit = self.deadline;
                        continue;
                    }
                    break (race.expire(), None);
                }
            };
            executions -= u32::from(is_proven_not_run(&outcome));
            let step = race.record(entrant, grade(&outcome));
            let (timer, ended) = match entrant {
                Entrant::First => (&mut first_timer, &mut first_outcome),
                Entrant::Hedge => (&mut hedge_timer, &mut hedge_outcome),
            };
            if let Some(timer) = timer.take() {
                timer.stop(&outcome);
            }
            *ended = Some(outcome);
            if step != RaceStep::Wait {
                break (step, Some(entrant));
            }
            let since = if entrant == Entrant::Hedge {
                first_since
            } else {
                hedge_since
            };
            limit = self.failover_deadline(since, executions);
        };
        let first = EndedAttempt {
            attempt: first,
            outcome: first_outcome,
        };
        let hedge = EndedAttempt {
            attempt: hedge,
            outcome: hedge_outcome,
        };
        let (end, outcome) = end_race(first, hedge, step, ended_last);
        record.outcome = outcome;
        end
    }

    /// Returns whether an endpoint can take the request that was neither tried nor is `hedged_to`.
    fn has_endpoint_besides(&self, hedged_to: &EndpointId) -> bool {
        let mut tried = self.attempts.tried.clone();
        tried.insert(hedged_to.clone());
        let criteria = SelectionCriteria {
            tried: &tried,
            ..self.selection_criteria()
        };
        let now_ms = self.forwarder.clock.now_ms();
        let state = self.forwarder.lock();
        state.endpoints.select(&criteria, now_ms).is_some()
    }
}

/// Returns which attempt decides how the request goes on, and the outcome for the record. `ended_last`
/// is the attempt whose end decided the race, `None` if neither was awaited any longer.
fn end_race(
    first: EndedAttempt,
    hedge: EndedAttempt,
    step: RaceStep,
    ended_last: Option<Entrant>,
) -> (AttemptsEnd, &'static str) {
    let hedged_to = hedge.attempt.selected.endpoint.id.clone();
    let is_hedge_last = match (step, ended_last) {
        (RaceStep::Deliver(entrant), _) | (_, Some(entrant)) => entrant == Entrant::Hedge,
        // The request goes on as after the silence of one endpoint.
        (_, None) => hedge.outcome.is_none(),
    };
    let (last, other) = if is_hedge_last {
        (hedge, first)
    } else {
        (first, hedge)
    };
    let is_good = last
        .outcome
        .as_ref()
        .is_some_and(|outcome| grade(outcome) == AttemptGrade::Good);
    let outcome = match (is_good, is_hedge_last) {
        (true, true) => WON,
        (true, false) => "the first attempt answered",
        (false, _) if ended_last.is_none() => "no response in time",
        (false, _) => "both attempts failed",
    };
    let has_failed = other.outcome.is_some() || ended_last.is_none();
    let end = AttemptsEnd {
        last,
        failed: has_failed.then_some(other),
        hedged_to: Some(hedged_to),
    };
    (end, outcome)
}

fn grade(outcome: &ExchangeOutcome) -> AttemptGrade {
    match outcome {
        ExchangeOutcome::Started(started) if started.head.status.is_server_error() => {
            AttemptGrade::Poor
        }
        ExchangeOutcome::Started(_) => AttemptGrade::Good,
        _ => AttemptGrade::Failed,
    }
}

fn is_proven_not_run(outcome: &ExchangeOutcome) -> bool {
    match outcome {
        ExchangeOutcome::Withdrawn(_) | ExchangeOutcome::NotSent(..) => true,
        ExchangeOutcome::Rejected { proof, .. } => proof.is_some(),
        ExchangeOutcome::Started(_) | ExchangeOutcome::Unknown(_) => false,
    }
}
