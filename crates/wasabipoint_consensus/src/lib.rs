//! Replicated log: a pure step function, synced storage and an async driver.

mod api;
mod core;
mod entry;
mod log;
mod message;
mod replica;
mod storage;

pub use api::{
    ChangeRefusal, MAX_COMMAND_BYTES, MemberStatus, MembershipChange, ProposeError, ReplicaConfig,
    ReplicaStatus, RestoreError, Role, StartError, StateMachine, Transport,
};
pub use core::{Core, CoreConfig, ELECTION_TICKS, Effect, ReadAnswer};
pub use entry::{
    Compaction, Configuration, DiskId, Entry, HardState, Payload, Recovered, SharedBytes, Snapshot,
    Write,
};
pub use message::{Body, Message, Refusal};
pub use replica::{Replica, ReplicaHandle};
pub use storage::{DiskError, DiskHook, Opened, Storage};
