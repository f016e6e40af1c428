//! The demo program: runs the demo until it ends or a signal arrives.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let result = tokio::select! {
        result = wasabipoint_testbed::run_demo() => result,
        // Dropping the demo kills every process that it started.
        _ = wasabipoint_kernel::wait_for_termination() => {
            eprintln!("demo: stopped by a signal");
            return ExitCode::from(130);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
