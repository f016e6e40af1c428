//! Messages between entry processes and control members.

use std::net::SocketAddr;

use wasabipoint_kernel::{
    CustomerId, EndpointId, EntryId, Incarnation, ModelName, RequestId, plain_data,
};

use crate::limit::{LimitDirective, LimitReport};
use crate::prompt::{PromptDirective, PromptReport};
use crate::speed::{SpeedDirective, SpeedReport};

plain_data! {
    data
    /// Demand for one model at one entry process.
    pub struct ModelDemand {
        /// Name of the model.
        pub model: ModelName,
        /// Requests that arrived since the last report.
        pub arrived: u32,
        /// Requests that are queued now.
        pub queued: u32,
        /// Requests that are being executed now.
        pub in_flight: u32,
        /// Age of the oldest queued request.
        pub oldest_wait_ms: u64,
        /// Time left until the earliest deadline of a queued request.
        pub earliest_deadline_ms: Option<u64>,
    }
}

plain_data! {
    data
    /// Demand at an entry process, and endpoints that it found draining or unreachable. Sent at the
    /// interval that control sets, and immediately when a request arrives for a model that is not
    /// loaded.
    pub struct EntryReport {
        /// Name of the entry process.
        pub entry: EntryId,
        /// Incarnation of the entry process.
        pub incarnation: Incarnation,
        /// Sequence number of the report within the incarnation; older reports are ignored.
        pub sequence: u64,
        /// Address for callers and `explain request`.
        pub address: SocketAddr,
        /// Models with demand.
        pub demand: Vec<ModelDemand>,
        /// Endpoints that refused requests because they are draining.
        pub draining_endpoints: Vec<(EndpointId, Incarnation)>,
        /// Endpoints to which connecting failed recently.
        pub unreachable_endpoints: Vec<(EndpointId, Incarnation)>,
        /// Evidence about prompt parts that may crash engines.
        pub prompts: PromptReport,
        /// Limits that endpoints named.
        pub limits: Vec<LimitReport>,
        /// Speeds of endpoints that changed; at most 64.
        pub speeds: Vec<SpeedReport>,
    }
}

plain_data! {
    data
    /// A model that is not loaded, and when it is expected to be ready.
    pub struct ColdEstimate {
        /// Name of the model.
        pub model: ModelName,
        /// Expected time until it can serve requests.
        pub ready_in_ms: u64,
    }
}

plain_data! {
    data
    /// The response to the report of an entry process.
    pub struct EntryDirective {
        /// Estimates for the reported models that are not loaded.
        pub cold_estimates: Vec<ColdEstimate>,
        /// Time until the next report is due.
        pub next_report_ms: u64,
        /// Prompt parts about which the leader needs evidence.
        pub prompts: PromptDirective,
        /// Limits that endpoints named, with permissions to send requests.
        pub limits: Vec<LimitDirective>,
        /// Number of entry processes that report.
        pub entry_processes: u32,
        /// Speeds of endpoints that the entry process does not know; at most 64.
        pub speeds: Vec<SpeedDirective>,
    }
}

plain_data! {
    data
    /// Use of a slice's tokens since the last exchange.
    pub struct SliceSettlement {
        /// Id of the slice.
        pub slice_id: u64,
        /// Tokens consumed by settled requests.
        pub spent_tokens: u64,
        /// Unused tokens that are returned.
        pub returned_tokens: u64,
    }
}

plain_data! {
    data
    /// Settlements and token request of one customer.
    pub struct QuotaItem {
        /// Name of the customer.
        pub customer: CustomerId,
        /// Settlements of its slices.
        pub settlements: Vec<SliceSettlement>,
        /// Requested tokens; 0 for none.
        pub wanted_tokens: u64,
        /// Whether fewer tokens than requested may be granted.
        pub accepts_partial: bool,
    }
}

plain_data! {
    data
    /// A quota exchange. Resending a sequence number returns the first response again.
    pub struct QuotaExchange {
        /// Name of the entry process.
        pub entry: EntryId,
        /// Incarnation of the entry process.
        pub incarnation: Incarnation,
        /// Sequence number of the exchange within the incarnation, from 1 without gaps.
        pub sequence: u64,
        /// Customers with settlements or a token request.
        pub items: Vec<QuotaItem>,
    }
}

plain_data! {
    data
    /// Tokens that one entry process may spend until the slice expires.
    pub struct QuotaSlice {
        /// Id of the slice.
        pub slice_id: u64,
        /// Name of the customer.
        pub customer: CustomerId,
        /// Tokens of the slice.
        pub tokens: u64,
        /// Lifetime, counted from the time just before the exchange was sent.
        pub lifetime_ms: u64,
    }
}

plain_data! {
    data
    /// Expected wait until a customer's bucket holds the requested tokens.
    pub struct QuotaWait {
        /// Name of the customer.
        pub customer: CustomerId,
        /// Expected time until the requested tokens are available.
        pub available_in_ms: u64,
    }
}

plain_data! {
    data
    /// The response to a quota exchange.
    pub struct QuotaGrants {
        /// New slices.
        pub slices: Vec<QuotaSlice>,
        /// Customers that received fewer tokens than requested.
        pub waits: Vec<QuotaWait>,
    }
}

plain_data! {
    data
    /// A request that waits for tokens of its customer.
    pub struct QuotaTicket {
        /// Number of the request, increasing within the incarnation of the entry process.
        pub id: u64,
        /// Priority of its route; 0 is the highest.
        pub priority: u8,
        /// Whether its objective leaves time to wait for tokens.
        pub can_wait: bool,
        /// Tokens that it needs.
        pub tokens: u64,
        /// Time left until its latest start.
        pub start_within_ms: u64,
        /// Longest retry time that its caller is expected to honour and after which it can still be
        /// served within its objective.
        pub return_within_ms: u64,
        /// Longest retry time that its caller is expected to honour.
        pub honoured_ms: u64,
        /// Digest that repeats of the request share.
        pub digest: u64,
        /// Whether an earlier reply accepted it.
        pub is_accepted: bool,
    }
}

plain_data! {
    data
    /// All requests of one customer that wait for tokens at an entry process.
    pub struct QuotaDemand {
        /// Name of the customer.
        pub customer: CustomerId,
        /// Tokens that the entry process holds and no request uses.
        pub free_tokens: u64,
        /// The waiting requests.
        pub tickets: Vec<QuotaTicket>,
    }
}

plain_data! {
    data
    /// A quota exchange with the requests that wait for its result.
    pub struct QuotaRequest {
        /// The exchange, which is the only accounting of tokens.
        pub exchange: QuotaExchange,
        /// Waiting requests by customer.
        pub demand: Vec<QuotaDemand>,
    }
}

plain_data! {
    data
    /// What happens to a waiting request.
    pub enum QuotaVerdict {
        /// Its tokens are part of the granted slices.
        Granted,
        /// It gets its tokens later, before its latest start.
        Waits {
            /// Expected wait.
            expected_ms: u64,
        },
        /// It cannot get its tokens before its latest start.
        Refused {
            /// Time after which its caller should come back.
            retry_after_ms: u64,
        },
    }
}

plain_data! {
    data
    /// The response to a quota exchange with waiting requests.
    pub struct QuotaReply {
        /// The response to the exchange.
        pub grants: QuotaGrants,
        /// Verdicts by number of the request; requests without a verdict are decided by the grants.
        pub verdicts: Vec<(u64, QuotaVerdict)>,
    }
}

plain_data! {
    data
    /// The agent to which a claimed call is bound.
    pub struct ClaimHolder {
        /// Request id of the call.
        pub request_id: RequestId,
        /// Endpoint to which the call is sent.
        pub endpoint: EndpointId,
        /// Incarnation of its agent.
        pub incarnation: Incarnation,
        /// Address of its agent.
        pub address: SocketAddr,
    }
}

plain_data! {
    data
    /// A claim of an idempotency key, made before the call is sent.
    pub struct ClaimRequest {
        /// Name of the customer.
        pub customer: CustomerId,
        /// The caller's idempotency key.
        pub idempotency_key: String,
        /// Digest of method, route, path and body.
        pub fingerprint: [u8; 32],
        /// Agent to which the call will be sent.
        pub holder: ClaimHolder,
        /// Request id of the previous holder to replace; it is known not to have started the call.
        pub replaces: Option<RequestId>,
    }
}

plain_data! {
    data
    /// Outcome of a claim.
    pub enum ClaimOutcome {
        /// The claim succeeded and the claimant may send the call.
        Claimed,
        /// The call is bound to another holder, which knows its outcome.
        Held(ClaimHolder),
        /// The idempotency key was used for a different call.
        Mismatch,
    }
}
