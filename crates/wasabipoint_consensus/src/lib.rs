//! Replicated log: a pure step function, synced storage and an async driver.

mod api;
mod replica;

pub use api::{
    ChangeRefusal, MAX_COMMAND_BYTES, MemberStatus, MembershipChange, ProposeError, ReplicaConfig, ReplicaStatus,
    RestoreError, Role, StartError, StateMachine, Transport,
};
pub use replica::{Replica, ReplicaHandle};
