//! Forwarding entry processes and control members with engines that fail in ways that only the
//! whole fleet can recognize.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod cold;
mod domains;
mod engine;
mod fixture;
mod leaving;
mod limits;
mod pauses;
mod quarantine;
mod repeated_request;
#[path = "../../../wasabipoint_entry/tests/fixtures/test_dialect.rs"]
mod test_dialect;
mod versions;
