//! Entry point of the program that measures the resource usage of the processes.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let options = wasabipoint_testbed::capacity_options().run();
    match wasabipoint_testbed::run_capacity(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}
