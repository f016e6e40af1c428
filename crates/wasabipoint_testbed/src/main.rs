//! The demo program: runs the demo until it ends or a signal arrives.

use std::process::ExitCode;

use wasabipoint_testbed::{DemoEnd, demo_options, run_demo};

/// Exit code of a program that a signal has ended, as shells report it.
const STOPPED_BY_SIGNAL: u8 = 130;

#[tokio::main]
async fn main() -> ExitCode {
    let options = demo_options().run();
    let stop = async {
        // Without signals the demo can still run to its end.
        if let Err(error) = wasabipoint_kernel::wait_for_termination().await {
            eprintln!("demo: signals cannot be received: {error}");
            std::future::pending::<()>().await;
        }
    };
    match run_demo(&options, stop).await {
        Ok(DemoEnd::Complete) => ExitCode::SUCCESS,
        Ok(DemoEnd::Stopped) => {
            eprintln!("demo: stopped by a signal");
            ExitCode::from(STOPPED_BY_SIGNAL)
        }
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}
