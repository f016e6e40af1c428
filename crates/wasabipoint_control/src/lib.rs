//! The control member: replicated state, rpc service, placement and the operator API.

mod api;
mod control;
mod leader_state;
mod machine;
mod member;
mod metrics;
mod peer;
mod placement;
mod platform;
mod rpc;
mod server;
mod state;
mod stream;

pub use machine::ControlMachine;
pub use server::{ControlConfig, ControlServer, ControlStartError};
pub use state::{
    Bucket, ClaimState, Command, ConfigApply, ConfigBody, ConfigState, ControlState, EntryQuota,
    FleetState, GrantPhase, GrantRecord, GrantRequest, MemberAddress, Outcome, QuotaState,
    Registration, SliceRecord, StampedCommand, VmState,
};
