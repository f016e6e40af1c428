//! Idempotency keys: a call's key is claimed in control before the call is sent, so that repeats of
//! the call through any entry process are detected.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wasabipoint_kernel::{CustomerId, ErrorKind, Refusal, RequestId, RunState};
use wasabipoint_rpc::{
    ClaimHolder, ClaimOutcome, ClaimRequest, Outcome, OutcomeRequest, StoredResponse,
};

use crate::link::{AgentLink, ControlLink};
use crate::scheduler::EndpointPermit;

/// Time between outcome queries while the call that holds the key is running.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one outcome query.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);

/// A caller's idempotency key and the fingerprint of its request.
pub(crate) struct IdempotencyClaim {
    pub(crate) customer: CustomerId,
    pub(crate) key: String,
    pub(crate) fingerprint: [u8; 32],
}

/// Result of claiming a key.
pub(crate) enum ClaimResult {
    /// This attempt holds the key and may run the call.
    Acquired,
    /// An earlier call with the same key completed with this response.
    Completed(StoredResponse),
}

/// Claims keys in control and waits for calls that already hold them.
pub(crate) struct ClaimClient {
    control: Arc<dyn ControlLink>,
    agents: Arc<dyn AgentLink>,
}

impl ClaimClient {
    pub(crate) fn new(control: Arc<dyn ControlLink>, agents: Arc<dyn AgentLink>) -> Self {
        Self { control, agents }
    }

    /// Claims the key for an attempt, or waits for the response of the call that holds it.
    /// `replaces` is an earlier attempt at the same call whose claim this one may replace.
    pub(crate) async fn claim(
        &self,
        claim: &IdempotencyClaim,
        permit: &EndpointPermit,
        request_id: RequestId,
        mut replaces: Option<RequestId>,
        deadline: Instant,
    ) -> Result<ClaimResult, Refusal> {
        let mut is_holder_running = false;
        loop {
            let request = build_request(claim, permit, request_id, replaces);
            let claimed = timeout_at(deadline, self.control.claim(request)).await;
            let Ok(Ok(outcome)) = claimed else {
                return Err(build_claim_refusal(is_holder_running));
            };
            let holder = match outcome {
                ClaimOutcome::Claimed => return Ok(ClaimResult::Acquired),
                ClaimOutcome::Mismatch => {
                    return Err(Refusal::new(ErrorKind::IdempotencyMismatch, ""));
                }
                // An earlier claim of this attempt succeeded, but its reply was lost.
                ClaimOutcome::Held(holder) if holder.request_id == request_id => {
                    return Ok(ClaimResult::Acquired);
                }
                ClaimOutcome::Held(holder) => holder,
            };
            match self.query_holder(&holder, deadline).await {
                Some(Outcome::Finished(response)) => return Ok(ClaimResult::Completed(response)),
                // The holder's agent refuses this request id from now on, so it is safe to replace
                // the claim.
                Some(Outcome::NotStarted) => replaces = Some(holder.request_id),
                Some(Outcome::Running) => {
                    is_holder_running = true;
                    if Instant::now() + HOLDER_POLL_INTERVAL >= deadline {
                        return Err(build_claim_refusal(true));
                    }
                    tokio::time::sleep(HOLDER_POLL_INTERVAL).await;
                }
                Some(Outcome::Unknown) | None => return Err(build_claim_refusal(true)),
            }
        }
    }

    /// Queries the agent of a holder for the outcome, or returns `None` if it gives no reply.
    async fn query_holder(&self, holder: &ClaimHolder, deadline: Instant) -> Option<Outcome> {
        let outcome_request = OutcomeRequest {
            request_id: holder.request_id,
            incarnation: holder.incarnation,
        };
        let limit = deadline.min(Instant::now() + OUTCOME_TIMEOUT);
        let outcome_future = self.agents.query_outcome(holder.address, outcome_request);
        timeout_at(limit, outcome_future).await.ok()?.ok()
    }
}

fn build_request(
    claim: &IdempotencyClaim,
    permit: &EndpointPermit,
    request_id: RequestId,
    replaces: Option<RequestId>,
) -> ClaimRequest {
    ClaimRequest {
        customer: claim.customer.clone(),
        idempotency_key: claim.key.clone(),
        fingerprint: claim.fingerprint,
        holder: ClaimHolder {
            request_id,
            endpoint: permit.endpoint.id.clone(),
            incarnation: permit.endpoint.incarnation,
            address: permit.endpoint.address,
        },
        replaces,
    }
}

/// Builds the refusal of a call whose key could not be claimed. If another attempt holds the key,
/// the call may have run; otherwise it has not.
fn build_claim_refusal(is_held: bool) -> Refusal {
    if is_held {
        let detail = "an earlier call with this idempotency key has no known outcome";
        return Refusal::new(ErrorKind::OutcomeUnknown, detail);
    }
    Refusal::new(
        ErrorKind::Unavailable,
        "the idempotency key cannot be claimed now",
    )
    .with_run_state(RunState::NotRun)
    .with_retry_after_ms(1_000)
}
