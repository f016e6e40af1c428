//! Measures the resource usage of the system's processes.

mod control;
mod data_path;

use bpaf::Bpaf;

use crate::demo::DemoError;
use crate::fleet::FleetError;
use crate::process::Process;
use crate::usage::{Usage, read_usage};

/// Measures resource usage: of control members by number of nodes, and of entry and agent processes
/// by requests and tokens
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct CapacityOptions {
    /// Comma-separated list of node counts
    #[bpaf(argument("LIST"), fallback("95,190,475,950".to_owned()))]
    pub nodes: String,
    /// Duration of each measurement in seconds
    #[bpaf(argument("SECONDS"), fallback(10))]
    pub seconds: u64,
}

/// Runs the measurements and prints Markdown tables.
pub async fn run_capacity(options: &CapacityOptions) -> Result<(), DemoError> {
    control::print_control_table(options).await?;
    data_path::print_data_path_table(options).await
}

/// Reads the resource usage of a process, or of the current one if `process` is `None`.
fn read_process_usage(process: Option<&Process>) -> Result<Usage, DemoError> {
    read_usage(process.map(Process::id)).map_err(|error| {
        FleetError::ConditionNotMet(format!("resource usage of a process: {error}")).into()
    })
}
