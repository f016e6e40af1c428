//! Control members as processes see them: operator API, rpc service, placement and fail-over.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod faults;
mod fixture;
mod links;
mod operators;
mod program;
mod single_member;
mod three_members;
