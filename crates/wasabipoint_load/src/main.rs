//! Load generator and experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    wasabipoint_load::run()
}
