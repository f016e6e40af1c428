//! Driver of a replica.

use std::sync::{Arc, Mutex, PoisonError};

use slog::{Logger, info};
use tokio::sync::watch;
use wasabipoint_kernel::MemberId;

use crate::{
    MemberStatus, MembershipChange, ProposeError, ReplicaConfig, ReplicaStatus, Role, StartError,
    StateMachine, Transport,
};

/// Starts replicas.
pub struct Replica;

impl Replica {
    /// Opens the data folder and starts the replica on the current runtime.
    #[expect(
        clippy::unused_async,
        reason = "opening the folder will wait for the disk"
    )]
    pub async fn start(
        config: ReplicaConfig,
        machine: Arc<Mutex<dyn StateMachine>>,
        transport: Arc<dyn Transport>,
        logger: Logger,
    ) -> Result<ReplicaHandle, StartError> {
        let _ = transport;
        info!(logger, "consensus: started"; "member" => config.member.0);
        let status = ReplicaStatus {
            member: config.member,
            role: Role::Leader,
            term: 1,
            leader: Some(config.member),
            members: vec![MemberStatus {
                member: config.member,
                is_voter: true,
                match_index: 0,
                is_responding: true,
            }],
            ..ReplicaStatus::default()
        };
        Ok(ReplicaHandle {
            machine,
            status: Arc::new(watch::Sender::new(status)),
        })
    }
}

/// Access to a running replica.
#[derive(Clone)]
pub struct ReplicaHandle {
    machine: Arc<Mutex<dyn StateMachine>>,
    status: Arc<watch::Sender<ReplicaStatus>>,
}

impl ReplicaHandle {
    /// Proposes a command and waits until it is committed and applied; returns its result.
    #[expect(
        clippy::unused_async,
        reason = "replication will wait for other members"
    )]
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let mut machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        if self.status.borrow().is_stopped {
            return Err(ProposeError::Stopped);
        }
        let index = self.status.borrow().applied_index + 1;
        let result = machine.apply(index, &command);
        self.status.send_modify(|status| {
            status.commit_index = index;
            status.applied_index = index;
        });
        Ok(result)
    }

    /// Confirms that this member still leads. State applied up to the returned index includes
    /// everything that was acknowledged before the call. Concurrent calls share a round.
    #[expect(
        clippy::unused_async,
        reason = "the barrier will wait for other members"
    )]
    pub async fn confirm_read(&self) -> Result<u64, ProposeError> {
        Ok(self.status.borrow().applied_index)
    }

    /// Takes in a message of another member.
    pub fn deliver(&self, from: MemberId, message: Vec<u8>) {
        let _ = (from, message);
    }

    /// Returns the current status.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Follows the status.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.subscribe()
    }

    /// Changes the membership by one member and waits until the change is committed.
    #[expect(
        clippy::unused_async,
        reason = "the change will wait for other members"
    )]
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ProposeError> {
        let _ = change;
        Err(ProposeError::Overloaded)
    }

    /// Stops the replica and waits until its files are closed.
    #[expect(clippy::unused_async, reason = "stopping will wait for the disk")]
    pub async fn stop(self) {
        self.status.send_modify(|status| status.is_stopped = true);
    }
}
