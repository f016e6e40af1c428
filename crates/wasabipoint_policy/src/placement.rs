//! Placement policies, which decide which endpoint holds which model.

mod demand_profile;
mod keep_loaded;
mod load_on_demand;
mod plan;

use linkme::distributed_slice;
use wasabipoint_kernel::{
    CustomerId, EndpointId, FailureDomain, FencingToken, ModelName, PlacementRules, StoreRules,
    plain_data,
};

pub use plan::{LoadOption, PlacementPlan, idle_ms, is_idle};

plain_data! {
    copy
    /// State of a grant as the control plane knows it.
    pub enum GrantState {
        /// The grant is committed; the agent has not confirmed the load.
        Loading,
        /// The replica serves requests.
        Loaded,
        /// The replica is being unloaded; the grant still counts.
        Revoked,
        /// The agent has been silent for longer than the bound; the grant still counts.
        InDoubt,
    }
}

plain_data! {
    data
    /// A grant that counts towards the replicas of its model.
    pub struct GrantView {
        /// The model.
        pub model: ModelName,
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Fencing token, which orders all grants.
        pub fencing_token: FencingToken,
        /// State of the grant.
        pub state: GrantState,
        /// Time since the grant was committed.
        pub age_ms: u64,
    }
}

plain_data! {
    data
    /// A model and its current demand, summed over all entry processes.
    pub struct ModelView {
        /// The model.
        pub name: ModelName,
        /// Memory of a replica.
        pub memory_mib: u64,
        /// Largest number of replicas.
        pub max_replicas: u32,
        /// Waiting requests.
        pub queued: u32,
        /// Running requests.
        pub in_flight: u32,
        /// Age of the oldest waiting request.
        pub oldest_wait_ms: u64,
        /// Time until the earliest deadline of a waiting request.
        pub earliest_deadline_ms: Option<u64>,
        /// Time since the last request, or `None` if there was none in the leader's term.
        pub idle_ms: Option<u64>,
        /// Endpoints whose VM holds the checkpoint, with the expected load time in milliseconds.
        pub load_ms_by_endpoint: Vec<(EndpointId, u64)>,
        /// Expected load time from the weight store.
        pub remote_load_ms: u64,
    }
}

plain_data! {
    data
    /// An endpoint that may hold replicas.
    pub struct EndpointCapacity {
        /// Name of the endpoint.
        pub id: EndpointId,
        /// Failure domain of its VM.
        pub failure_domain: FailureDomain,
        /// Memory for replicas and adapters.
        pub memory_mib: u64,
        /// Memory that is not used by counted grants and adapters.
        pub free_mib: u64,
        /// Number of accelerators.
        pub accelerators: u32,
        /// Largest number of requests that the endpoint runs concurrently.
        pub concurrency: u32,
        /// Whether new replicas may be placed. The endpoint reports, is not leaving and the
        /// state of its engine is known.
        pub is_placeable: bool,
    }
}

plain_data! {
    data
    /// Load of the weight store.
    pub struct StoreView {
        /// Limits from the rules.
        pub limits: StoreRules,
        /// Loads in progress.
        pub loads_running: u32,
        /// Loads that may start now within the rate limit.
        pub loads_allowed: u32,
    }
}

plain_data! {
    data
    /// Snapshot of the state that a placement decision depends on.
    pub struct PlacementView {
        /// Time within the demand cycle.
        pub cycle_ms: u64,
        /// Placement rules.
        pub rules: PlacementRules,
        /// Models of the inventory.
        pub models: Vec<ModelView>,
        /// Registered endpoints that hold models.
        pub endpoints: Vec<EndpointCapacity>,
        /// Grants that count towards memory and replicas.
        pub grants: Vec<GrantView>,
        /// Load of the weight store.
        pub store: StoreView,
    }
}

plain_data! {
    data
    /// Requests that arrived in one interval.
    pub struct DemandSample {
        /// Time within the demand cycle at the start of the interval.
        pub cycle_ms: u64,
        /// Length of the interval.
        pub interval_ms: u64,
        /// Number of arrived requests by model.
        pub arrived: Vec<(ModelName, u32)>,
        /// Customer that sent the most requests, if known.
        pub largest_customer: Option<CustomerId>,
    }
}

plain_data! {
    data
    /// A placement decision and its reason, which is logged.
    pub enum PlacementDecision {
        /// Load a replica.
        Load {
            /// The model.
            model: ModelName,
            /// The endpoint.
            endpoint: EndpointId,
            /// Why the model is loaded on this endpoint.
            reason: String,
        },
        /// Unload a replica.
        Unload {
            /// The model.
            model: ModelName,
            /// The endpoint.
            endpoint: EndpointId,
            /// Why this replica is unloaded.
            reason: String,
        },
    }
}

/// A placement policy. Its only state is what it learns from samples.
pub trait PlacementPolicy: Send {
    /// Updates the learned state with the demand of one interval.
    fn observe(&mut self, sample: &DemandSample);

    /// Decides loads and unloads, in order of urgency. Loads stay within free memory, within
    /// `max_replicas` and within `store.loads_allowed`.
    fn decide(&mut self, view: &PlacementView) -> Vec<PlacementDecision>;

    /// Serializes the learned state, which is stored across leader changes.
    fn save(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Restores the learned state. Bytes of another policy or format version are ignored.
    fn restore(&mut self, _saved: &[u8]) {}
}

/// A registered placement policy.
pub struct PlacementPlugin {
    /// Name of the policy in the rules file.
    pub name: &'static str,
    /// Description for operators, in one sentence.
    pub summary: &'static str,
    /// Creates the policy.
    pub build: fn() -> Box<dyn PlacementPolicy>,
}

/// All registered placement policies.
#[distributed_slice]
pub static PLACEMENT_POLICIES: [PlacementPlugin];

/// Creates the policy with the given name.
pub fn build_placement_policy(name: &str) -> Option<Box<dyn PlacementPolicy>> {
    PLACEMENT_POLICIES
        .iter()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.build)())
}

/// Returns the names of all placement policies.
pub fn placement_policy_names() -> Vec<&'static str> {
    PLACEMENT_POLICIES
        .iter()
        .map(|plugin| plugin.name)
        .collect()
}
