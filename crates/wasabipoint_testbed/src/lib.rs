//! Runs the real programs and the stand-ins on loopback, for the demo and for tests with real
//! kills, pauses and silent links.

mod caller;
mod capacity;
mod demo;
mod fleet;
mod link;
mod plan;
mod process;
mod swarm;
mod usage;

pub use caller::{Caller, ReceivedResponse};
pub use capacity::{CapacityOptions, capacity_options, run_capacity};
pub use demo::{DemoEnd, DemoError, DemoOptions, demo_options, run_demo};
pub use fleet::{CallerKey, Fleet, FleetError};
pub use link::{Link, LinkState};
pub use plan::{EngineFencing, FleetPlan};
pub use process::{Process, StartError, program_path};
