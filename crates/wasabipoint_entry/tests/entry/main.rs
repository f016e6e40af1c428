//! Tests of the entry process against a fake control and fake agents, with paused Tokio time.

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
