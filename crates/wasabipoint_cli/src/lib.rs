//! Command line for operators: inventory, rules, keys, status, explanations and checks.

mod api;
mod arguments;
mod check;
mod command;
mod output;
mod render;

pub use arguments::{Arguments, parse_arguments};
pub use command::run;
pub use output::Output;
