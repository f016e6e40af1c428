//! Idempotency keys: a call is claimed in control before it is sent, by whichever entry process.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wasabipoint_kernel::{CustomerId, ErrorKind, Refusal, RequestId, RunState};
use wasabipoint_rpc::{
    ClaimHolder, ClaimOutcome, ClaimRequest, Outcome, OutcomeRequest, StoredResponse,
};

use crate::link::{AgentLink, ControlLink};
use crate::scheduler::EndpointPermit;

/// Time between outcome queries while the holder's call runs.
const HOLDER_PAUSE: Duration = Duration::from_millis(100);

/// Time for one outcome query.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);

/// A caller's idempotency key.
pub(crate) struct IdempotencyClaim {
    pub(crate) customer: CustomerId,
    pub(crate) key: String,
    pub(crate) fingerprint: [u8; 32],
}

/// Who runs the call.
pub(crate) enum ClaimResult {
    /// This attempt does.
    Acquired,
    /// An earlier call with the key did, with this response.
    Completed(StoredResponse),
}

/// Claims keys and follows calls that already hold them.
pub(crate) struct ClaimClient {
    control: Arc<dyn ControlLink>,
    agents: Arc<dyn AgentLink>,
}

impl ClaimClient {
    pub(crate) fn new(control: Arc<dyn ControlLink>, agents: Arc<dyn AgentLink>) -> Self {
        Self { control, agents }
    }

    /// Claims the key for an attempt, or returns the response of the call that holds it.
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
                return Err(unavailable(is_holder_running));
            };
            let holder = match outcome {
                ClaimOutcome::Claimed => return Ok(ClaimResult::Acquired),
                ClaimOutcome::Mismatch => {
                    return Err(Refusal::new(ErrorKind::IdempotencyMismatch, ""));
                }
                // The answer to an earlier claim of this attempt was lost.
                ClaimOutcome::Held(holder) if holder.request_id == request_id => {
                    return Ok(ClaimResult::Acquired);
                }
                ClaimOutcome::Held(holder) => holder,
            };
            match self.ask_holder(&holder, deadline).await {
                Some(Outcome::Finished(response)) => return Ok(ClaimResult::Completed(response)),
                // The holder's agent refuses that request id from now on.
                Some(Outcome::NotStarted) => replaces = Some(holder.request_id),
                Some(Outcome::Running) => {
                    is_holder_running = true;
                    if Instant::now() + HOLDER_PAUSE >= deadline {
                        return Err(unavailable(true));
                    }
                    tokio::time::sleep(HOLDER_PAUSE).await;
                }
                Some(Outcome::Unknown) | None => return Err(unavailable(true)),
            }
        }
    }

    async fn ask_holder(&self, holder: &ClaimHolder, deadline: Instant) -> Option<Outcome> {
        let question = OutcomeRequest {
            request_id: holder.request_id,
            incarnation: holder.incarnation,
        };
        let limit = deadline.min(Instant::now() + OUTCOME_TIMEOUT);
        let asked = self.agents.ask_outcome(holder.address, question);
        timeout_at(limit, asked).await.ok()?.ok()
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
            endpoint: permit.endpoint.endpoint.clone(),
            incarnation: permit.endpoint.incarnation,
            address: permit.endpoint.address,
        },
        replaces,
    }
}

/// A call that another attempt holds may have run; one that was never claimed has not.
fn unavailable(is_held: bool) -> Refusal {
    if is_held {
        let detail = "an earlier call with this idempotency key has no known outcome";
        return Refusal::new(ErrorKind::OutcomeUnknown, detail);
    }
    Refusal::new(
        ErrorKind::Unavailable,
        "the idempotency key cannot be claimed now",
    )
    .with_run(RunState::NotRun)
    .with_retry_after_ms(1_000)
}
