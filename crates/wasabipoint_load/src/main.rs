//! Entry point of the load generator.

use std::process::ExitCode;

fn main() -> ExitCode {
    wasabipoint_load::run()
}
