//! Recent routing decisions, for `explain request`.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::Serialize;
use wasabipoint_kernel::{CustomerId, EndpointId, RequestId};

/// Decisions that are kept.
const CAPACITY: usize = 1_024;

/// One routing decision with its inputs.
#[derive(Debug, Clone)]
pub(crate) struct RoutingDecision {
    pub(crate) request_id: RequestId,
    pub(crate) customer: CustomerId,
    pub(crate) target: String,
    pub(crate) endpoint: EndpointId,
    pub(crate) reason: String,
    pub(crate) others: Vec<String>,
    pub(crate) waited_ms: u64,
}

/// A decision as operators see it.
#[derive(Debug, Serialize)]
pub(crate) struct DecisionView {
    customer: CustomerId,
    target: String,
    endpoint: EndpointId,
    reason: String,
    others: Vec<String>,
    waited_ms: u64,
}

/// A bounded ring of decisions.
#[derive(Default)]
pub(crate) struct DecisionLog {
    ring: Mutex<VecDeque<RoutingDecision>>,
}

impl DecisionLog {
    pub(crate) fn add(&self, decision: RoutingDecision) {
        let mut ring = self.ring.lock().expect("no holder of this lock panics");
        if ring.len() == CAPACITY {
            ring.pop_front();
        }
        ring.push_back(decision);
    }

    /// Lists the decisions for a request in order.
    pub(crate) fn find(&self, request_id: RequestId) -> Vec<DecisionView> {
        let ring = self.ring.lock().expect("no holder of this lock panics");
        ring.iter()
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
