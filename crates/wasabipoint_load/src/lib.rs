//! Load generator and experiments: measures, tables and SVG plots.
//!
//! The experiments run the real policies against small models of engines and of the weight store
//! under a discrete clock. Their figures compare policies; they do not predict a deployment.

mod arguments;
mod cost;
mod error;
mod http;
mod measures;
mod placement;
mod report;
mod routing;

use std::process::ExitCode;

pub use arguments::{Command, Experiment};
pub use error::LoadError;
pub use http::{CustomerLoad, CustomerOutcome, HttpPlan, read_customers, run_http};
pub use placement::{
    PlacementOutcome, PlacementScenario, ReferenceDeployment, compare_placement, run_placement,
};
pub use report::{Report, Table};
pub use routing::{RoutingOutcome, RoutingScenario, run_routing};

/// Runs the program with its command line.
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
