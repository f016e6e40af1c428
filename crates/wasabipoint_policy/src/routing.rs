//! Routing policies, which choose the endpoint that runs a request.

mod least_loaded;
mod prefix_affinity;

use linkme::distributed_slice;
use wasabipoint_kernel::{EndpointId, FailureDomain, plain_data};

plain_data! {
    data
    /// Properties of a request that a routing decision depends on.
    pub struct RoutingRequest {
        /// Failure domain of the entry process.
        pub failure_domain: FailureDomain,
        /// Length of the prompt in blocks of the prefix cache.
        pub prompt_blocks: u32,
        /// Whether the request names an adapter.
        pub has_adapter: bool,
    }
}

plain_data! {
    data
    /// An endpoint that can run the request.
    pub struct RoutingCandidate {
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Failure domain of its VM.
        pub failure_domain: FailureDomain,
        /// Requests of this entry process that run on the endpoint.
        pub local_in_flight: u32,
        /// Running and waiting requests in the last load report.
        pub reported_load: u32,
        /// Age of the load report.
        pub report_age_ms: u64,
        /// Largest number of requests that the endpoint runs concurrently.
        pub concurrency: u32,
        /// Leading blocks of the prompt that the endpoint's cache is expected to hold.
        pub cached_blocks: u32,
        /// Whether the endpoint has loaded the adapter of the request.
        pub has_adapter_loaded: bool,
    }
}

plain_data! {
    data
    /// A routing decision and its reason, which is logged.
    pub struct RoutingChoice {
        /// Index into the candidates.
        pub index: usize,
        /// Why the endpoint was chosen.
        pub reason: String,
    }
}

/// A routing policy: a pure function over the candidates.
pub trait RoutingPolicy: Send + Sync {
    /// Chooses a candidate. Returns `None` only if there are no candidates. `tie_breaker` is a
    /// random number, so that entry processes choose differently among equal candidates.
    fn choose(
        &self,
        request: &RoutingRequest,
        candidates: &[RoutingCandidate],
        tie_breaker: u64,
    ) -> Option<RoutingChoice>;
}

/// A registered routing policy.
pub struct RoutingPlugin {
    /// Name of the policy in the rules file.
    pub name: &'static str,
    /// Description for operators, in one sentence.
    pub summary: &'static str,
    /// Creates the policy.
    pub build: fn() -> Box<dyn RoutingPolicy>,
}

/// All registered routing policies.
#[distributed_slice]
pub static ROUTING_POLICIES: [RoutingPlugin];

/// Creates the policy with the given name.
pub fn build_routing_policy(name: &str) -> Option<Box<dyn RoutingPolicy>> {
    ROUTING_POLICIES
        .iter()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.build)())
}

/// Returns the names of all routing policies.
pub fn routing_policy_names() -> Vec<&'static str> {
    ROUTING_POLICIES.iter().map(|plugin| plugin.name).collect()
}

impl RoutingCandidate {
    /// Returns the larger of the local requests and the reported load. The sum would count local
    /// requests twice that the last report already includes.
    pub fn estimated_load(&self) -> u32 {
        self.local_in_flight.max(self.reported_load)
    }
}
