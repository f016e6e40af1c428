//! The task that feeds inputs to the core and processes its outputs.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{Logger, crit, info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior};
use wasabipoint_kernel::MemberId;

use crate::api::{
    MembershipChange, ProposeError, ReplicaConfig, ReplicaStatus, StateMachine, Transport,
};
use crate::core::{Core, Effect};
use crate::entry::{Payload, SharedBytes, Write};
use crate::message::{self, Message};
use crate::storage::{DiskError, Storage};

/// Maximum number of requests or messages that are handled before the outputs are processed.
const MAX_INPUT_BATCH: usize = 1_024;

/// Delay before a write is retried on a full disk.
const FULL_DISK_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval between log records while no leader is known. An election normally takes less than a
/// second.
const NO_LEADER_LOG_INTERVAL: Duration = Duration::from_secs(2);

type ReplySender = oneshot::Sender<Result<Vec<u8>, ProposeError>>;

/// A call from a [`ReplicaHandle`](super::ReplicaHandle).
pub(super) enum Request {
    Propose {
        command: Vec<u8>,
        reply: ReplySender,
    },
    ChangeMembership {
        change: MembershipChange,
        reply: ReplySender,
    },
    ConfirmRead {
        reply: oneshot::Sender<Result<u64, ProposeError>>,
    },
    RecordLostDisk(MemberId),
    Stop,
}

/// Caller of a proposal that is in the log but not applied yet.
struct PendingProposal {
    term: u64,
    reply: ReplySender,
}

/// A write in progress, which returns the storage, the batch number and the result.
type WriteTask = JoinHandle<(Storage, u64, Result<(), DiskError>)>;

/// State of the storage.
enum DiskState {
    Idle(Storage),
    Busy(WriteTask),
    /// A write failed or panicked.
    Failed,
}

/// Runs one replica: passes inputs to the core and carries its outputs to the disk, the state
/// machine, the transport and the callers.
pub(super) struct Driver {
    config: ReplicaConfig,
    core: Core,
    disk: DiskState,
    state_machine: Arc<Mutex<dyn StateMachine>>,
    transport: Arc<dyn Transport>,
    status: watch::Sender<ReplicaStatus>,
    logger: Logger,
    pending_proposals: BTreeMap<u64, PendingProposal>,
    pending_reads: HashMap<u64, oneshot::Sender<Result<u64, ProposeError>>>,
    next_read_id: u64,
    next_no_leader_log: Instant,
    is_stopping: bool,
    /// Makes a write that is retried on a full disk give up.
    is_shutting_down: Arc<AtomicBool>,
    /// The fault that stops the replica.
    fault: Option<String>,
}

/// Locks the state machine and ignores poisoning, so that a panic of another holder is not repeated
/// here.
pub(super) fn lock(
    state_machine: &Arc<Mutex<dyn StateMachine>>,
) -> MutexGuard<'_, dyn StateMachine> {
    state_machine.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Driver {
    pub(super) fn new(
        config: ReplicaConfig,
        mut core: Core,
        storage: Storage,
        state_machine: Arc<Mutex<dyn StateMachine>>,
        transport: Arc<dyn Transport>,
        status: watch::Sender<ReplicaStatus>,
        logger: Logger,
    ) -> Self {
        // The recovered snapshot is restored before the driver starts.
        core.take_effects();
        Self {
            config,
            core,
            disk: DiskState::Idle(storage),
            state_machine,
            transport,
            status,
            logger,
            pending_proposals: BTreeMap::new(),
            pending_reads: HashMap::new(),
            next_read_id: 0,
            next_no_leader_log: Instant::now() + NO_LEADER_LOG_INTERVAL,
            is_stopping: false,
            is_shutting_down: Arc::default(),
            fault: None,
        }
    }

    /// Runs until the replica is stopped, refused by the other members or its disk fails.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::Receiver<Request>,
        mut messages: mpsc::Receiver<(MemberId, Vec<u8>)>,
    ) {
        let mut ticks = tokio::time::interval(Duration::from_millis(self.config.tick_ms));
        // After the process was suspended, a burst of ticks would trigger an unnecessary election.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.process_outputs();
            if self.is_stopping {
                break;
            }
            tokio::select! {
                _ = ticks.tick() => {
                    self.core.tick();
                    self.log_missing_leader();
                }
                request = requests.recv() => {
                    self.handle_request(request.unwrap_or(Request::Stop));
                    for _ in 1..MAX_INPUT_BATCH {
                        let Ok(request) = requests.try_recv() else { break };
                        self.handle_request(request);
                    }
                }
                Some((from, bytes)) = messages.recv() => {
                    self.handle_message(from, &bytes);
                    for _ in 1..MAX_INPUT_BATCH {
                        let Ok((from, bytes)) = messages.try_recv() else { break };
                        self.handle_message(from, &bytes);
                    }
                }
                result = wait_for_write(&mut self.disk) => self.handle_write_result(result),
            }
        }
        self.shut_down(requests).await;
    }

    /// Logs that no leader is known, with the possible causes: the voters that must respond, the
    /// initial members that this member waits for, and whether a write is in progress.
    fn log_missing_leader(&mut self) {
        let has_leader = self.status.borrow().leader.is_some();
        if has_leader {
            self.next_no_leader_log = Instant::now() + NO_LEADER_LOG_INTERVAL;
        }
        if Instant::now() < self.next_no_leader_log {
            return;
        }
        self.next_no_leader_log = Instant::now() + NO_LEADER_LOG_INTERVAL;
        let ids = |members: Vec<MemberId>| members.into_iter().map(|m| m.0).collect::<Vec<_>>();
        let voters = self.core.configuration().voters.keys().copied().collect();
        warn!(self.logger, "consensus: no leader is known";
            "role" => ?self.status.borrow().role, "term" => self.core.term(),
            "voters" => ?ids(voters), "awaited" => ?ids(self.core.awaited_members()),
            "is_disk_busy" => matches!(self.disk, DiskState::Busy(_)));
    }

    /// Logs an election message with its sender and receiver.
    fn log_election_step(&self, message: &Message) {
        if let Some(step) = message.body.election_step_name() {
            info!(self.logger, "consensus: election"; "step" => step, "term" => message.term,
                "from" => message.from.0, "to" => message.to.0);
        }
    }

    fn handle_request(&mut self, request: Request) {
        match request {
            Request::Propose { command, reply } => {
                let result = self.core.propose(SharedBytes::new(command));
                self.register_proposal(result, reply);
            }
            Request::ChangeMembership { change, reply } => {
                let result = self.core.change_membership(change);
                self.register_proposal(result, reply);
            }
            Request::ConfirmRead { reply } => {
                self.next_read_id += 1;
                match self.core.request_read(self.next_read_id) {
                    Ok(()) => {
                        self.pending_reads.insert(self.next_read_id, reply);
                    }
                    Err(error) => drop(reply.send(Err(error))),
                }
            }
            Request::RecordLostDisk(member) => self.record_lost_disk(member),
            Request::Stop => self.is_stopping = true,
        }
    }

    /// Records that an initial member lost its disk, and logs it if the bootstrap no longer waits
    /// for that member.
    fn record_lost_disk(&mut self, member: MemberId) {
        let awaited = self.core.awaited_members();
        self.core.record_lost_disk(member);
        if awaited != self.core.awaited_members() {
            info!(self.logger, "consensus: an initial member lost its disk before the first election";
                "member" => member.0);
        }
    }

    fn register_proposal(&mut self, result: Result<u64, ProposeError>, reply: ReplySender) {
        match result {
            Ok(index) => {
                let term = self.core.term();
                self.pending_proposals
                    .insert(index, PendingProposal { term, reply });
            }
            Err(error) => drop(reply.send(Err(error))),
        }
    }

    fn handle_message(&mut self, from: MemberId, bytes: &[u8]) {
        match message::decode(&self.config.cluster, bytes) {
            Some(message) if message.from == from => {
                self.log_election_step(&message);
                self.core.receive(message);
            }
            _ => warn!(self.logger, "consensus: dropped a message that is malformed, has a wrong \
                sender or is from another cluster"; "from" => from.0),
        }
    }

    fn handle_write_result(&mut self, result: (Storage, u64, Result<(), DiskError>)) {
        let (storage, batch, outcome) = result;
        match outcome {
            Ok(()) => {
                self.disk = DiskState::Idle(storage);
                self.core.complete_writes(batch);
            }
            Err(error) => {
                // Not retried: after a failed sync the system may have dropped the data, and a
                // repeated sync would still report success. The completed task must not be awaited
                // a second time either.
                self.disk = DiskState::Failed;
                self.stop_with_fault(format!("the disk failed: {error}"));
            }
        }
    }

    /// Applies entries, answers callers, starts the next write and sends messages.
    fn process_outputs(&mut self) {
        self.core.flush();
        self.apply_effects();
        self.answer_reads();
        self.fail_lost_proposals();
        self.compact_if_due();
        self.start_write();
        for message in self.core.take_messages() {
            self.log_election_step(&message);
            let bytes = message::encode(&self.config.cluster, &message);
            self.transport.send(message.to, bytes);
        }
        self.publish_status();
        if let Some(reason) = self.core.refusal() {
            self.stop_with_fault(format!("the other members refuse this one: {reason}"));
        }
    }

    fn stop_with_fault(&mut self, fault: String) {
        crit!(self.logger, "consensus: stopping after a fault"; "fault" => &fault);
        self.is_stopping = true;
        self.fault = Some(fault);
    }

    fn apply_effects(&mut self) {
        let effects = self.core.take_effects();
        if effects.is_empty() {
            return;
        }
        let state_machine = Arc::clone(&self.state_machine);
        let mut state_machine = lock(&state_machine);
        for effect in effects {
            let entry = match effect {
                Effect::Apply(entry) => entry,
                Effect::Restore(snapshot) => {
                    info!(self.logger, "consensus: installed a snapshot"; "index" => snapshot.index);
                    if let Err(error) = state_machine.restore(&snapshot.data) {
                        self.stop_with_fault(error.to_string());
                        return;
                    }
                    continue;
                }
            };
            let result = match &entry.payload {
                Payload::Command(command) => state_machine.apply(entry.index, command),
                Payload::Configuration(_) => Vec::new(),
            };
            if let Some(proposal) = self.pending_proposals.remove(&entry.index) {
                let is_same_entry = proposal.term == entry.term;
                let result = is_same_entry.then_some(result);
                let _ = proposal
                    .reply
                    .send(result.ok_or(ProposeError::OutcomeUnknown));
            }
        }
    }

    fn answer_reads(&mut self) {
        for (id, result) in self.core.take_read_results() {
            if let Some(reply) = self.pending_reads.remove(&id) {
                let _ = reply.send(result);
            }
        }
    }

    /// Answers callers whose entries may be either committed or replaced by another leader.
    fn fail_lost_proposals(&mut self) {
        let term = self.core.term();
        let is_leader = self.core.is_leader();
        let lost = self
            .pending_proposals
            .extract_if(.., |_, proposal| !is_leader || proposal.term != term);
        for (_, proposal) in lost {
            let _ = proposal.reply.send(Err(ProposeError::OutcomeUnknown));
        }
    }

    fn compact_if_due(&mut self) {
        let applied = self.core.commit_index();
        let entries = applied - self.core.snapshot_index();
        let bytes = self.core.committed_bytes_since_snapshot();
        let is_due =
            entries >= self.config.snapshot_entries || bytes >= self.config.snapshot_log_bytes;
        if self.is_stopping || !is_due {
            return;
        }
        let data = lock(&self.state_machine).snapshot();
        let snapshot_bytes = data.len();
        self.core.compact(applied, SharedBytes::new(data));
        let (kept_entries, kept_bytes) = self.core.log_size();
        info!(self.logger, "consensus: compacted the log"; "index" => applied,
            "entries" => entries, "bytes" => bytes, "snapshot_bytes" => snapshot_bytes,
            "kept_entries" => kept_entries, "kept_bytes" => kept_bytes);
    }

    fn start_write(&mut self) {
        // Writes that are queued while another write is in progress share the next sync.
        let DiskState::Idle(_) = self.disk else {
            return;
        };
        let Some((batch, writes)) = self.core.take_writes() else {
            return;
        };
        let DiskState::Idle(mut storage) = std::mem::replace(&mut self.disk, DiskState::Failed)
        else {
            return;
        };
        let (logger, is_shutting_down) = (self.logger.clone(), Arc::clone(&self.is_shutting_down));
        self.disk = DiskState::Busy(tokio::task::spawn_blocking(move || {
            let result = write_with_retry(&mut storage, &writes, &logger, &is_shutting_down);
            (storage, batch, result)
        }));
    }

    fn publish_status(&self) {
        let status = self.core.status();
        self.status.send_if_modified(|current| {
            let is_changed = *current != status;
            if is_changed && (current.role, current.term) != (status.role, status.term) {
                info!(self.logger, "consensus: role or term changed";
                    "role" => ?status.role, "term" => status.term,
                    "leader" => status.leader.map(|leader| leader.0));
            }
            *current = status;
            is_changed
        });
    }

    /// Waits for the write in progress, closes the files and answers all callers.
    async fn shut_down(mut self, mut requests: mpsc::Receiver<Request>) {
        requests.close();
        self.is_shutting_down.store(true, Ordering::Relaxed);
        if let DiskState::Busy(task) = std::mem::replace(&mut self.disk, DiskState::Failed) {
            let _ = task.await;
        }
        for (_, proposal) in std::mem::take(&mut self.pending_proposals) {
            let _ = proposal.reply.send(Err(ProposeError::OutcomeUnknown));
        }
        for (_, reply) in self.pending_reads.drain() {
            let _ = reply.send(Err(ProposeError::Stopped));
        }
        while let Some(request) = requests.recv().await {
            match request {
                Request::Propose { reply, .. } | Request::ChangeMembership { reply, .. } => {
                    let _ = reply.send(Err(ProposeError::Stopped));
                }
                Request::ConfirmRead { reply } => drop(reply.send(Err(ProposeError::Stopped))),
                Request::RecordLostDisk(_) | Request::Stop => {}
            }
        }
        info!(self.logger, "consensus: stopped");
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        // Runs also after a panic in the state machine, so that the status never shows a stopped
        // replica as running.
        self.status.send_modify(|status| {
            status.is_stopped = true;
            status.fault = self.fault.take();
            status.leader = None;
            status.remaining_redundancy = 0;
        });
    }
}

/// Writes a batch and retries it while the disk is full. Meanwhile the member acknowledges no new
/// entries and grants no votes, but it still answers messages and follows its leader.
fn write_with_retry(
    storage: &mut Storage,
    writes: &[Write],
    logger: &Logger,
    is_shutting_down: &AtomicBool,
) -> Result<(), DiskError> {
    let mut is_full = false;
    loop {
        match storage.write(writes) {
            Err(error) if error.is_retryable && !is_shutting_down.load(Ordering::Relaxed) => {
                if !std::mem::replace(&mut is_full, true) {
                    warn!(logger, "consensus: the disk is full, writes wait for room";
                        "path" => %error.path.display(), "writes" => writes.len(),
                        "log_bytes" => storage.log_bytes());
                }
                std::thread::sleep(FULL_DISK_RETRY_DELAY);
            }
            result => {
                if is_full && result.is_ok() {
                    info!(logger, "consensus: the disk has room again");
                }
                return result;
            }
        }
    }
}

/// Waits for the write in progress. Never completes if there is none.
async fn wait_for_write(disk: &mut DiskState) -> (Storage, u64, Result<(), DiskError>) {
    match disk {
        DiskState::Busy(task) => task.await.expect("writing does not panic"),
        DiskState::Idle(_) | DiskState::Failed => std::future::pending().await,
    }
}
