//! Placement on the leader: runs the policy that the rules name on a view of the fleet and proposes
//! its decisions.

mod driver;
mod timing;
mod view;

use serde::Serialize;

pub(crate) use driver::run_placement;
pub(crate) use timing::{LoadTimeEstimator, StoreRateLimiter};
pub(crate) use view::{
    build_view, estimate_cold_start_ms, listed_model_version, replaceable_grants,
};

/// A decision with its inputs, for `explain model`.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct DecisionRecord {
    /// Log time of the decision.
    pub(crate) log_time_ms: u64,
    /// `load`, `unload`, `replace`, `revoke` or `skip`.
    pub(crate) action: &'static str,
    /// Endpoint that the decision is about.
    pub(crate) endpoint: String,
    /// Reason for the decision.
    pub(crate) reason: String,
    /// Outcome of the decision.
    pub(crate) outcome: String,
    /// Queued requests of the model.
    pub(crate) queued: u32,
    /// Requests of the model in flight.
    pub(crate) in_flight: u32,
    /// Free memory of the endpoint before the decision.
    pub(crate) free_mib: u64,
    /// Running loads from the weight store.
    pub(crate) loads_running: u32,
}
