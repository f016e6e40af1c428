//! Replicated log: a pure step function, synced storage and an async driver.
//!
//! A new cluster starts once all its first members have been up at the same time: each records
//! the disks of the others, and from then on a member with an empty disk is refused under an old
//! id. Such a VM joins as a learner under a new id, is promoted once it holds every committed entry
//! durably, and the old id is removed.
//!
//! [`Core`] decides; it has no clock and no I/O. [`Storage`] makes its writes durable. The driver
//! behind [`ReplicaHandle`] connects both with the transport and the state machine. While a write
//! is in progress, further proposals are collected and share the next one.

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
pub use storage::{DiskError, DiskHook, Opened, Storage, create_folder, replace_file, sync_folder};
