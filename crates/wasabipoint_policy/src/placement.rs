//! Placement: which endpoint holds which model.

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
    /// State of a grant as control knows it.
    pub enum GrantState {
        /// Committed; the agent has not confirmed the load.
        Loading,
        /// The replica serves requests.
        Loaded,
        /// The replica is to be unloaded and still counts.
        Revoked,
        /// The agent has not reported for longer than the bound; the grant still counts.
        InDoubt,
    }
}

plain_data! {
    data
    /// A grant that counts against the decided replicas.
    pub struct GrantView {
        /// The model.
        pub model: ModelName,
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Order among all grants.
        pub fencing_token: FencingToken,
        /// State of the grant.
        pub state: GrantState,
        /// Time since the grant was committed.
        pub age_ms: u64,
    }
}

plain_data! {
    data
    /// A model with its present demand, summed over all entry processes.
    pub struct ModelView {
        /// The model.
        pub name: ModelName,
        /// Memory of a replica.
        pub memory_mib: u64,
        /// Largest number of replicas that may be decided.
        pub max_replicas: u32,
        /// Requests that wait now.
        pub queued: u32,
        /// Requests that run now.
        pub in_flight: u32,
        /// Age of the oldest waiting request.
        pub oldest_wait_ms: u64,
        /// Time left until the earliest deadline of a waiting request.
        pub earliest_deadline_ms: Option<u64>,
        /// Time since the last request; `None` when there was none since the leader became leader.
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
        /// The endpoint.
        pub endpoint: EndpointId,
        /// Failure domain of its VM.
        pub failure_domain: FailureDomain,
        /// Memory for replicas and adapters.
        pub memory_mib: u64,
        /// Memory not yet taken by counted grants and adapters.
        pub free_mib: u64,
        /// Accelerators of the endpoint.
        pub accelerators: u32,
        /// Requests that the endpoint runs at once.
        pub concurrency: u32,
        /// Whether new replicas may be placed: it reports, is not leaving and its engine is known.
        pub is_placeable: bool,
    }
}

plain_data! {
    data
    /// Load of the weight store.
    pub struct StoreView {
        /// Limits from the rules.
        pub limits: StoreRules,
        /// Loads that run now.
        pub loads_running: u32,
        /// Loads that may start now within the rate.
        pub loads_allowed: u32,
    }
}

plain_data! {
    data
    /// Everything that a placement decision depends on.
    pub struct PlacementView {
        /// Time within the demand cycle.
        pub cycle_ms: u64,
        /// Rules of placement.
        pub rules: PlacementRules,
        /// Models of the inventory.
        pub models: Vec<ModelView>,
        /// Registered endpoints that hold models.
        pub endpoints: Vec<EndpointCapacity>,
        /// Grants that count.
        pub grants: Vec<GrantView>,
        /// Load of the weight store.
        pub store: StoreView,
    }
}

plain_data! {
    data
    /// Requests that arrived in one interval, from which a policy may learn.
    pub struct DemandSample {
        /// Time within the demand cycle at the start of the interval.
        pub cycle_ms: u64,
        /// Length of the interval.
        pub interval_ms: u64,
        /// Arrived requests by model.
        pub arrived: Vec<(ModelName, u32)>,
        /// The customer that sent most of them, when known.
        pub largest_customer: Option<CustomerId>,
    }
}

plain_data! {
    data
    /// A placement decision with its reason, which is logged.
    pub enum PlacementDecision {
        /// Load a replica.
        Load {
            /// The model.
            model: ModelName,
            /// The endpoint.
            endpoint: EndpointId,
            /// Why this model and this endpoint.
            reason: String,
        },
        /// Unload a replica.
        Unload {
            /// The model.
            model: ModelName,
            /// The endpoint.
            endpoint: EndpointId,
            /// Why this replica.
            reason: String,
        },
    }
}

/// A placement policy. It keeps no state beyond what it learns from samples.
pub trait PlacementPolicy: Send {
    /// Learns from the demand of one interval.
    fn observe(&mut self, sample: &DemandSample);

    /// Decides loads and unloads, in order of urgency. Loads stay within free memory, within
    /// `max_replicas` and within `store.loads_allowed`.
    fn decide(&mut self, view: &PlacementView) -> Vec<PlacementDecision>;

    /// Returns what was learnt, to be stored across leader changes.
    fn save(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Restores what was learnt. Bytes of another policy or version are ignored.
    fn restore(&mut self, _saved: &[u8]) {}
}

/// A registered placement policy.
pub struct PlacementPlugin {
    /// Name in the rules file.
    pub name: &'static str,
    /// One sentence for operators.
    pub summary: &'static str,
    /// Creates the policy.
    pub build: fn() -> Box<dyn PlacementPolicy>,
}

/// All registered placement policies.
#[distributed_slice]
pub static PLACEMENT_POLICIES: [PlacementPlugin];

/// Creates the policy of a name.
pub fn build_placement_policy(name: &str) -> Option<Box<dyn PlacementPolicy>> {
    PLACEMENT_POLICIES
        .iter()
        .find(|plugin| plugin.name == name)
        .map(|plugin| (plugin.build)())
}

/// Lists the names of all placement policies.
pub fn placement_policy_names() -> Vec<&'static str> {
    PLACEMENT_POLICIES
        .iter()
        .map(|plugin| plugin.name)
        .collect()
}
