//! Load generator and policy experiments, with results as Markdown tables and SVG plots.
//!
//! The `placement` and `routing` experiments run the real policies against simplified simulations
//! of engines and of the weight store under a discrete clock. Their figures compare policies and do
//! not predict the performance of a deployment.

mod arguments;
mod cost;
mod error;
mod http;
mod latency;
mod placement;
mod report;
mod routing;

use std::process::ExitCode;

pub use arguments::{Command, ExperimentArguments};
pub use error::LoadError;
pub use http::{CustomerLoad, CustomerStats, HttpLoadConfig, read_customers, run_http};
pub use placement::{
    PlacementOutcome, PlacementScenario, ReferenceDeployment, compare_placement, run_placement,
};
pub use report::{Report, Table};
pub use routing::{RoutingOutcome, RoutingScenario, run_routing};

/// Parses the command line and runs the selected experiment.
pub fn run() -> ExitCode {
    let command = arguments::command().run();
    match command.execute() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
