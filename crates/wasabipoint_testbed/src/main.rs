//! Entry point of the demo, which runs until it ends or a signal arrives.

use std::process::ExitCode;

use wasabipoint_testbed::{DemoOutcome, demo_options, run_demo};

/// Exit code that shells report for a program that SIGINT has terminated.
const SIGINT_EXIT_CODE: u8 = 130;

#[tokio::main]
async fn main() -> ExitCode {
    let options = demo_options().run();
    let stop = async {
        // Without signal handling, the demo can still run to completion.
        if let Err(error) = wasabipoint_kernel::wait_for_termination().await {
            eprintln!("demo: cannot install signal handlers: {error}");
            std::future::pending::<()>().await;
        }
    };
    match run_demo(&options, stop).await {
        Ok(DemoOutcome::Complete) => ExitCode::SUCCESS,
        Ok(DemoOutcome::Interrupted) => {
            eprintln!("demo: stopped by a signal");
            ExitCode::from(SIGINT_EXIT_CODE)
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
