//! Messages between entry processes and control.

use std::net::SocketAddr;

use wasabipoint_kernel::{
    CustomerId, EndpointId, EntryId, Incarnation, ModelName, RequestId, plain_data,
};

plain_data! {
    data
    /// Demand for one model at one entry process since the last report.
    pub struct ModelDemand {
        /// The model.
        pub model: ModelName,
        /// Requests that arrived since the last report.
        pub arrived: u32,
        /// Requests that wait now.
        pub queued: u32,
        /// Requests that run now.
        pub in_flight: u32,
        /// Age of the oldest waiting request.
        pub oldest_wait_ms: u64,
        /// Time left until the earliest deadline of a waiting request.
        pub earliest_deadline_ms: Option<u64>,
    }
}

plain_data! {
    data
    /// Demand at an entry process, sent every second and at once when a cold model is asked for.
    pub struct EntryReport {
        /// Name of the entry process.
        pub entry: EntryId,
        /// Run of the entry process.
        pub incarnation: Incarnation,
        /// Number of this report within the run; an older one is ignored.
        pub sequence: u64,
        /// Address for callers and `explain request`.
        pub address: SocketAddr,
        /// Models with demand.
        pub demand: Vec<ModelDemand>,
        /// Endpoints that refused work because they drain.
        pub draining_endpoints: Vec<(EndpointId, Incarnation)>,
        /// Endpoints that could not be connected to a moment ago.
        pub unreachable_endpoints: Vec<(EndpointId, Incarnation)>,
    }
}

plain_data! {
    data
    /// When a model that is not loaded is expected to serve.
    pub struct ColdEstimate {
        /// The model.
        pub model: ModelName,
        /// Expected time until it serves.
        pub ready_in_ms: u64,
    }
}

plain_data! {
    data
    /// The answer to an entry's report.
    pub struct EntryDirective {
        /// Estimates for the reported models that are not loaded.
        pub cold_estimates: Vec<ColdEstimate>,
        /// When the next report is due.
        pub next_report_ms: u64,
    }
}

plain_data! {
    data
    /// What became of the tokens of a slice since the last exchange.
    pub struct SliceSettlement {
        /// The slice.
        pub slice_id: u64,
        /// Tokens used by settled requests.
        pub spent_tokens: u64,
        /// Tokens given back unused.
        pub returned_tokens: u64,
    }
}

plain_data! {
    data
    /// Settlement and need of one customer.
    pub struct QuotaItem {
        /// The customer.
        pub customer: CustomerId,
        /// Settlements of its slices.
        pub settlements: Vec<SliceSettlement>,
        /// Tokens wanted now; 0 for none.
        pub wanted_tokens: u64,
        /// Whether fewer tokens than wanted are of use.
        pub accepts_partial: bool,
    }
}

plain_data! {
    data
    /// An exchange of tokens. A repeated sequence number gets the first answer again.
    pub struct QuotaExchange {
        /// Name of the entry process.
        pub entry: EntryId,
        /// Run of the entry process.
        pub incarnation: Incarnation,
        /// Number of this exchange within the run, from 1 without gaps.
        pub sequence: u64,
        /// Customers with something to settle or a need.
        pub items: Vec<QuotaItem>,
    }
}

plain_data! {
    data
    /// Tokens that one entry process may spend until the slice expires.
    pub struct QuotaSlice {
        /// The slice.
        pub slice_id: u64,
        /// The customer.
        pub customer: CustomerId,
        /// Tokens of the slice.
        pub tokens: u64,
        /// Lifetime, counted from before the exchange was sent.
        pub lifetime_ms: u64,
    }
}

plain_data! {
    data
    /// When a customer's bucket is expected to hold the wanted tokens.
    pub struct QuotaWait {
        /// The customer.
        pub customer: CustomerId,
        /// Expected time until the wanted tokens are there.
        pub available_in_ms: u64,
    }
}

plain_data! {
    data
    /// The answer to an exchange.
    pub struct QuotaGrants {
        /// New slices.
        pub slices: Vec<QuotaSlice>,
        /// Customers that got fewer tokens than wanted.
        pub waits: Vec<QuotaWait>,
    }
}

plain_data! {
    data
    /// The agent that a claimed call is bound to.
    pub struct ClaimHolder {
        /// Request id of the call.
        pub request_id: RequestId,
        /// Endpoint that the call is sent to.
        pub endpoint: EndpointId,
        /// Run of its agent.
        pub incarnation: Incarnation,
        /// Address of its agent.
        pub address: SocketAddr,
    }
}

plain_data! {
    data
    /// A claim of an idempotency key, made before the call is sent.
    pub struct ClaimRequest {
        /// The customer.
        pub customer: CustomerId,
        /// The caller's idempotency key.
        pub idempotency_key: String,
        /// Digest of method, route, path and body.
        pub fingerprint: [u8; 32],
        /// Where the call will be sent.
        pub holder: ClaimHolder,
        /// The earlier holder that is known not to have started the call; it is replaced.
        pub replaces: Option<RequestId>,
    }
}

plain_data! {
    data
    /// Outcome of a claim.
    pub enum ClaimOutcome {
        /// The caller of `claim` owns the call.
        Claimed,
        /// The call is bound elsewhere; its outcome is learnt there.
        Held(ClaimHolder),
        /// The idempotency key belongs to another call.
        Mismatch,
    }
}
