//! Properties of the replicated state under random histories. A failing case prints its seed,
//! which `proptest-regressions` replays.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod configuration;
mod engines;
mod fleet;
mod quota;
mod samples;
mod snapshots;
mod streams;
