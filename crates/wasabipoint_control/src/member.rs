//! Reads and proposals on the replicated state of one member.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;
use tokio::time::Instant;
use wasabipoint_consensus::{ProposeError, ReplicaHandle, ReplicaStatus, Role};
use wasabipoint_kernel::MemberId;
use wasabipoint_rpc::ControlRefusal;

use crate::peer::PeerTransport;
use crate::state::{Command, CommandOutcome, ControlState, StampedCommand};
use crate::state_machine::{ControlStateMachine, encode};

/// Clock that a leader uses to stamp commands with log time during one term.
#[derive(Debug, Clone, Copy)]
struct LogClock {
    term: u64,
    /// Log time at `origin`.
    base_ms: u64,
    origin: Instant,
}

/// One member: its replica, its applied state and its clock as leader.
pub(crate) struct Member {
    id: MemberId,
    replica: ReplicaHandle,
    state_machine: Arc<Mutex<ControlStateMachine>>,
    clock: Mutex<Option<LogClock>>,
    transport: Arc<PeerTransport>,
    leading_term: watch::Receiver<Option<u64>>,
}

/// Returns a receiver of the term in which this member leads, notified only when that term begins
/// or ends. The replica's status changes several times per applied entry and would wake every long
/// poll each time.
fn watch_leading_term(replica: &ReplicaHandle) -> watch::Receiver<Option<u64>> {
    let mut status = replica.watch_status();
    let term_of = |status: &ReplicaStatus| (status.role == Role::Leader).then_some(status.term);
    let first = term_of(&status.borrow_and_update());
    let (sender, receiver) = watch::channel(first);
    tokio::spawn(async move {
        while status.changed().await.is_ok() && !sender.is_closed() {
            let term = term_of(&status.borrow_and_update());
            sender.send_if_modified(|published| std::mem::replace(published, term) != term);
        }
    });
    receiver
}

impl Member {
    pub(crate) fn new(
        id: MemberId,
        replica: ReplicaHandle,
        state_machine: Arc<Mutex<ControlStateMachine>>,
        transport: Arc<PeerTransport>,
    ) -> Self {
        Self {
            id,
            leading_term: watch_leading_term(&replica),
            replica,
            state_machine,
            clock: Mutex::new(None),
            transport,
        }
    }

    pub(crate) fn id(&self) -> MemberId {
        self.id
    }

    pub(crate) fn replica(&self) -> &ReplicaHandle {
        &self.replica
    }

    /// Runs `read` on the state that this member has applied, which may be stale.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&ControlState) -> T) -> T {
        let state_machine = self
            .state_machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        read(state_machine.state())
    }

    pub(crate) fn subscribe_revision(&self) -> watch::Receiver<u64> {
        self.state_machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .subscribe_revision()
    }

    /// Returns the current term if this member leads.
    pub(crate) fn leading_term(&self) -> Option<u64> {
        let status = self.replica.status();
        (status.role == Role::Leader).then_some(status.term)
    }

    /// Subscribes to the term in which this member leads. Unlike the replica's status, it does not
    /// change with each applied entry.
    pub(crate) fn subscribe_leading_term(&self) -> watch::Receiver<Option<u64>> {
        self.leading_term.clone()
    }

    /// Waits until the applied state includes every change acknowledged before the call, so that a
    /// following read is linearizable.
    pub(crate) async fn confirm_current(&self) -> Result<(), ProposeError> {
        let index = self.replica.confirm_read().await?;
        let mut status = self.replica.watch_status();
        let applied = status.wait_for(|status| status.is_stopped || status.applied_index >= index);
        match applied.await {
            Ok(status) if !status.is_stopped => Ok(()),
            _ => Err(ProposeError::Stopped),
        }
    }

    /// Returns the log time: the last timestamp of earlier leaders plus the time since this leader
    /// read it. It never runs faster than real time.
    pub(crate) async fn log_time_ms(&self) -> Result<u64, ProposeError> {
        let status = self.replica.status();
        if status.role != Role::Leader {
            return Err(ProposeError::NotLeader {
                leader: status.leader,
            });
        }
        if let Some(now_ms) = self.clock_ms(status.term) {
            return Ok(now_ms);
        }
        self.confirm_current().await?;
        let base_ms = self.read(|state| state.time_ms);
        let mut clock = self.clock.lock().unwrap_or_else(PoisonError::into_inner);
        if clock.is_none_or(|clock| clock.term < status.term) {
            *clock = Some(LogClock {
                term: status.term,
                base_ms,
                origin: Instant::now(),
            });
        }
        Ok(base_ms)
    }

    fn clock_ms(&self, term: u64) -> Option<u64> {
        let clock = self.clock.lock().unwrap_or_else(PoisonError::into_inner);
        let clock = clock.filter(|clock| clock.term == term)?;
        Some(clock.base_ms + clock.origin.elapsed().as_millis() as u64)
    }

    /// Proposes a command and waits for its outcome.
    pub(crate) async fn propose(&self, command: Command) -> Result<CommandOutcome, ProposeError> {
        let time_ms = self.log_time_ms().await?;
        let encoded = encode(&StampedCommand { time_ms, command });
        let outcome = self.replica.propose(encoded).await?;
        Ok(postcard::from_bytes(&outcome).expect("the state machine returns an encoded outcome"))
    }

    /// Returns the RPC address of a member.
    pub(crate) fn rpc_address(&self, member: MemberId) -> Option<SocketAddr> {
        self.transport.address(member)
    }

    /// Stores the address that another member sent with a message.
    pub(crate) fn learn_address(&self, member: MemberId, rpc: SocketAddr) {
        self.transport.learn(member, rpc);
    }

    /// Returns the HTTP address of a member, which is known once the member has led or joined.
    pub(crate) fn http_address(&self, member: MemberId) -> Option<SocketAddr> {
        self.read(|state| {
            state
                .members
                .get(&member)
                .and_then(|addresses| addresses.http_address)
        })
    }

    /// Maps an error to the refusal sent to callers of the RPC service.
    pub(crate) fn refusal_for(&self, error: ProposeError) -> ControlRefusal {
        match error {
            ProposeError::NotLeader { leader } => ControlRefusal::NotLeader {
                leader: leader.and_then(|leader| self.rpc_address(leader)),
            },
            _ => ControlRefusal::Unavailable,
        }
    }
}
