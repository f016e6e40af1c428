//! Raft consensus: a deterministic core without I/O, durable storage and an async driver.
//!
//! A new cluster starts once all its initial members have been up at the same time: each records
//! the disk ids of the others, and from then on a member that restarts with an empty disk is
//! refused under its old id. It joins as a learner under a new id, is promoted once it stores every
//! committed entry durably, and the old id is removed.
//!
//! [`Core`] implements the protocol; it has no clock and no I/O. [`Storage`] makes its writes
//! durable. The driver behind [`ReplicaHandle`] connects both with the transport and the state
//! machine. Proposals that arrive while a write is in progress are batched into the next write.

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
pub use core::{Core, CoreConfig, Effect, MIN_ELECTION_TICKS, ReadResult};
pub use entry::{
    Compaction, Configuration, DiskId, Entry, HardState, Payload, RecoveredState, SharedBytes,
    Snapshot, Write,
};
pub use message::{MemberRefusal, Message, MessageBody};
pub use replica::{Replica, ReplicaHandle};
pub use storage::{
    DiskError, DiskHook, OpenedStorage, Storage, create_folder, replace_file, sync_folder,
};
