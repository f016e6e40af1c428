//! Tests of the agent with fake endpoints over loopback connections.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod adapters;
mod dispatch;
mod drain;
mod executions;
mod history;
mod silence;
mod support;
