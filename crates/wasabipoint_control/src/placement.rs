//! Placement on the leader: builds views, runs the policy of the rules and proposes its decisions.

mod driver;
mod timing;
mod view;

use serde::Serialize;

pub(crate) use driver::run_placement;
pub(crate) use timing::{LoadTimes, StorePacer};
pub(crate) use view::{build_view, estimate_cold_start_ms, hidden_grants, live_version};

/// A decision with its inputs, for `explain model`.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct DecisionRecord {
    /// Log time of the decision.
    pub(crate) log_time_ms: u64,
    /// `load`, `unload`, `replace` or `skip`.
    pub(crate) action: &'static str,
    /// The endpoint.
    pub(crate) endpoint: String,
    /// The policy's reason.
    pub(crate) reason: String,
    /// What became of it.
    pub(crate) outcome: String,
    /// Requests that waited.
    pub(crate) queued: u32,
    /// Requests that ran.
    pub(crate) in_flight: u32,
    /// Free memory of the endpoint before the decision.
    pub(crate) free_mib: u64,
    /// Loads from the weight store that ran.
    pub(crate) loads_running: u32,
}
