//! Command line for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = wasabipoint_cli::parse_arguments();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime without worker threads starts");
    let output = runtime.block_on(wasabipoint_cli::run(&arguments));
    output.print()
}
