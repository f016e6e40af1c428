//! Measures what the system's processes cost.

mod control;
mod data_path;

use bpaf::Bpaf;

use crate::demo::DemoError;
use crate::fleet::FleetError;
use crate::process::Process;
use crate::usage::{Usage, read_usage};

/// Measures what the system's processes cost: control against the number of nodes, and entry and
/// agent processes against requests and tokens
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct CapacityOptions {
    /// Numbers of nodes, separated by commas
    #[bpaf(argument("LIST"), fallback("95,190,475,950".to_owned()))]
    pub nodes: String,
    /// Length of each measurement in seconds
    #[bpaf(argument("SECONDS"), fallback(10))]
    pub seconds: u64,
}

/// Runs the measurements and prints Markdown tables.
pub async fn run_capacity(options: &CapacityOptions) -> Result<(), DemoError> {
    control::print_control_table(options).await?;
    data_path::print_data_path_table(options).await
}

/// Reads the usage of a process, or of this one.
fn usage_of(process: Option<&Process>) -> Result<Usage, DemoError> {
    read_usage(process.map(Process::id))
        .map_err(|error| FleetError::Condition(format!("usage of a process: {error}")).into())
}
