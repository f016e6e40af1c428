//! Log of recent routing decisions, for `explain request`.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::Serialize;
use wasabipoint_kernel::{CustomerId, EndpointId, RequestId};

/// Number of decisions kept.
const MAX_DECISIONS: usize = 1_024;

/// The choice of an endpoint for a request, as it is logged.
#[derive(Debug, Clone)]
pub(crate) struct RoutingDecision {
    pub(crate) request_id: RequestId,
    pub(crate) customer: CustomerId,
    pub(crate) target: String,
    pub(crate) endpoint: EndpointId,
    /// Reason given by the routing policy.
    pub(crate) reason: String,
    /// Each other endpoint of the target, with the reason for its exclusion or its load.
    pub(crate) others: Vec<String>,
    pub(crate) waited_ms: u64,
}

/// A routing decision in the response of `explain request`.
#[derive(Debug, Serialize)]
pub(crate) struct DecisionView {
    customer: CustomerId,
    target: String,
    endpoint: EndpointId,
    reason: String,
    others: Vec<String>,
    waited_ms: u64,
}

/// A bounded log of decisions; the oldest one is dropped first.
#[derive(Default)]
pub(crate) struct DecisionLog {
    decisions: Mutex<VecDeque<RoutingDecision>>,
}

impl DecisionLog {
    pub(crate) fn record(&self, decision: RoutingDecision) {
        let mut decisions = self
            .decisions
            .lock()
            .expect("no holder of this lock panics");
        if decisions.len() == MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// Returns the decisions for a request, oldest first.
    pub(crate) fn find(&self, request_id: RequestId) -> Vec<DecisionView> {
        let decisions = self
            .decisions
            .lock()
            .expect("no holder of this lock panics");
        decisions
            .iter()
            .filter(|decision| decision.request_id == request_id)
            .map(|decision| DecisionView {
                customer: decision.customer.clone(),
                target: decision.target.clone(),
                endpoint: decision.endpoint.clone(),
                reason: decision.reason.clone(),
                others: decision.others.clone(),
                waited_ms: decision.waited_ms,
            })
            .collect()
    }
}
