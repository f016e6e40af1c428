//! Tests of the entry process with fakes of control and agents, in paused time.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod fake_agents;
mod fake_control;
mod harness;

mod admission;
mod completions;
mod drain;
mod keys;
mod quota;
mod runs;
mod streams;
