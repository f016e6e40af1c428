//! Runs the real programs together with fake engines, services, store and platform on loopback, for
//! the demo, for capacity measurements and for tests that kill, pause and partition processes.

mod capacity;
mod client;
mod config;
mod demo;
mod fleet;
mod process;
mod proxy;
mod simulated_nodes;
mod usage;

pub use capacity::{CapacityOptions, capacity_options, run_capacity};
pub use client::{ApiClient, ApiResponse};
pub use config::{EngineFencing, FleetConfig};
pub use demo::{DemoError, DemoOptions, DemoOutcome, demo_options, run_demo};
pub use fleet::{CustomerKey, Fleet, FleetError};
pub use process::{Process, StartError, program_path};
pub use proxy::{ProxyMode, TcpProxy};
