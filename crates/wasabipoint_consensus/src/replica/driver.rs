//! The task that feeds the step function and carries out what it asks for.

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

/// Requests and messages handled before writes and messages are issued for all of them.
const GROUP_SIZE: usize = 1_024;

/// Pause before a write is repeated on a full disk.
const FULL_DISK_PAUSE: Duration = Duration::from_millis(100);

/// Time without a known leader before each record of it. An election takes less than a second.
const NO_LEADER_PAUSE: Duration = Duration::from_secs(2);

type Answer = oneshot::Sender<Result<Vec<u8>, ProposeError>>;

/// A call of a handle.
pub(super) enum Request {
    Propose {
        command: Vec<u8>,
        answer: Answer,
    },
    Change {
        change: MembershipChange,
        answer: Answer,
    },
    Read {
        answer: oneshot::Sender<Result<u64, ProposeError>>,
    },
    NoteLostDisk(MemberId),
    Stop,
}

/// A proposal in the log that is not applied yet.
struct Waiter {
    term: u64,
    answer: Answer,
}

/// Writes in progress; the storage comes back with the result.
type DiskTask = JoinHandle<(Storage, u64, Result<(), DiskError>)>;

/// Where the storage is.
enum Disk {
    Idle(Storage),
    Busy(DiskTask),
    /// A write failed or panicked.
    Failed,
}

pub(super) struct Driver {
    config: ReplicaConfig,
    core: Core,
    disk: Disk,
    machine: Arc<Mutex<dyn StateMachine>>,
    transport: Arc<dyn Transport>,
    status: watch::Sender<ReplicaStatus>,
    logger: Logger,
    proposals: BTreeMap<u64, Waiter>,
    reads: HashMap<u64, oneshot::Sender<Result<u64, ProposeError>>>,
    next_read: u64,
    next_leader_record: Instant,
    is_stopping: bool,
    /// Tells a write that waits for room to give up.
    is_ending: Arc<AtomicBool>,
    /// Why the replica stops by itself.
    fault: Option<String>,
}

/// Locks the state machine. A panic while it was locked is not ours to hide or to repeat.
pub(super) fn lock(machine: &Arc<Mutex<dyn StateMachine>>) -> MutexGuard<'_, dyn StateMachine> {
    machine.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Driver {
    pub(super) fn new(
        config: ReplicaConfig,
        mut core: Core,
        storage: Storage,
        machine: Arc<Mutex<dyn StateMachine>>,
        transport: Arc<dyn Transport>,
        status: watch::Sender<ReplicaStatus>,
        logger: Logger,
    ) -> Self {
        // The recovered snapshot is restored before the driver starts.
        core.take_effects();
        Self {
            config,
            core,
            disk: Disk::Idle(storage),
            machine,
            transport,
            status,
            logger,
            proposals: BTreeMap::new(),
            reads: HashMap::new(),
            next_read: 0,
            next_leader_record: Instant::now() + NO_LEADER_PAUSE,
            is_stopping: false,
            is_ending: Arc::default(),
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
        // After a pause of the process, a burst of ticks would start a needless election.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.carry_out();
            if self.is_stopping {
                break;
            }
            tokio::select! {
                _ = ticks.tick() => {
                    self.core.tick();
                    self.report_missing_leader();
                }
                request = requests.recv() => {
                    self.take_request(request.unwrap_or(Request::Stop));
                    for _ in 1..GROUP_SIZE {
                        let Ok(request) = requests.try_recv() else { break };
                        self.take_request(request);
                    }
                }
                Some((from, bytes)) = messages.recv() => {
                    self.take_message(from, &bytes);
                    for _ in 1..GROUP_SIZE {
                        let Ok((from, bytes)) = messages.try_recv() else { break };
                        self.take_message(from, &bytes);
                    }
                }
                result = finish_disk(&mut self.disk) => self.take_disk_result(result),
            }
        }
        self.shut_down(requests).await;
    }

    /// Records that no leader is known, with what an election waits for: the voters that are asked,
    /// the first members that have not recorded this disk, and a disk that is busy.
    fn report_missing_leader(&mut self) {
        let has_leader = self.status.borrow().leader.is_some();
        if has_leader {
            self.next_leader_record = Instant::now() + NO_LEADER_PAUSE;
        }
        if Instant::now() < self.next_leader_record {
            return;
        }
        self.next_leader_record = Instant::now() + NO_LEADER_PAUSE;
        let ids = |members: Vec<MemberId>| members.into_iter().map(|m| m.0).collect::<Vec<_>>();
        let voters = self.core.configuration().voters.keys().copied().collect();
        warn!(self.logger, "consensus: no leader is known";
            "role" => ?self.status.borrow().role, "term" => self.core.term(),
            "voters" => ?ids(voters), "awaited" => ?ids(self.core.awaited_members()),
            "is_disk_busy" => matches!(self.disk, Disk::Busy(_)));
    }

    /// Records a step of an election: who asks whom, and the answer.
    fn record_election_step(&self, message: &Message) {
        if let Some(step) = message.body.election_step() {
            info!(self.logger, "consensus: election"; "step" => step, "term" => message.term,
                "from" => message.from.0, "to" => message.to.0);
        }
    }

    fn take_request(&mut self, request: Request) {
        match request {
            Request::Propose { command, answer } => {
                let result = self.core.propose(SharedBytes::new(command));
                self.register(result, answer);
            }
            Request::Change { change, answer } => {
                let result = self.core.change_membership(change);
                self.register(result, answer);
            }
            Request::Read { answer } => {
                self.next_read += 1;
                match self.core.request_read(self.next_read) {
                    Ok(()) => {
                        self.reads.insert(self.next_read, answer);
                    }
                    Err(error) => drop(answer.send(Err(error))),
                }
            }
            Request::NoteLostDisk(member) => self.record_lost_disk(member),
            Request::Stop => self.is_stopping = true,
        }
    }

    /// Records that a first member is no longer waited for, if that lets this one take part.
    fn record_lost_disk(&mut self, member: MemberId) {
        let awaited = self.core.awaited_members();
        self.core.record_lost_disk(member);
        if awaited != self.core.awaited_members() {
            info!(self.logger, "consensus: a first member lost its disk before the first election";
                "member" => member.0);
        }
    }

    fn register(&mut self, result: Result<u64, ProposeError>, answer: Answer) {
        match result {
            Ok(index) => {
                let term = self.core.term();
                self.proposals.insert(index, Waiter { term, answer });
            }
            Err(error) => drop(answer.send(Err(error))),
        }
    }

    fn take_message(&mut self, from: MemberId, bytes: &[u8]) {
        match message::decode(&self.config.cluster, bytes) {
            Some(message) if message.from == from => {
                self.record_election_step(&message);
                self.core.receive(message);
            }
            _ => warn!(self.logger, "consensus: dropped a message that is malformed or not of \
                this cluster"; "from" => from.0),
        }
    }

    fn take_disk_result(&mut self, result: (Storage, u64, Result<(), DiskError>)) {
        let (storage, batch, outcome) = result;
        match outcome {
            Ok(()) => {
                self.disk = Disk::Idle(storage);
                self.core.complete_writes(batch);
            }
            Err(error) => {
                // Not repeated: after a failed sync the system may have dropped the data and
                // report success. The finished write must not be awaited again either.
                self.disk = Disk::Failed;
                self.stop_after(format!("the disk failed: {error}"));
            }
        }
    }

    /// Sends messages, applies entries, answers callers and starts the next write.
    fn carry_out(&mut self) {
        self.core.flush();
        self.apply_effects();
        self.answer_reads();
        self.fail_lost_proposals();
        self.compact_if_due();
        self.start_write();
        for message in self.core.take_messages() {
            self.record_election_step(&message);
            let bytes = message::encode(&self.config.cluster, &message);
            self.transport.send(message.to, bytes);
        }
        self.publish_status();
        if let Some(reason) = self.core.refusal() {
            self.stop_after(format!("the other members refuse this one: {reason}"));
        }
    }

    fn stop_after(&mut self, fault: String) {
        crit!(self.logger, "consensus: stopping after a fault"; "fault" => &fault);
        self.is_stopping = true;
        self.fault = Some(fault);
    }

    fn apply_effects(&mut self) {
        let effects = self.core.take_effects();
        if effects.is_empty() {
            return;
        }
        let machine = Arc::clone(&self.machine);
        let mut machine = lock(&machine);
        for effect in effects {
            let entry = match effect {
                Effect::Apply(entry) => entry,
                Effect::Restore(snapshot) => {
                    info!(self.logger, "consensus: installed a snapshot"; "index" => snapshot.index);
                    if let Err(error) = machine.restore(&snapshot.data) {
                        self.stop_after(error.to_string());
                        return;
                    }
                    continue;
                }
            };
            let result = match &entry.payload {
                Payload::Command(command) => machine.apply(entry.index, command),
                Payload::Configuration(_) => Vec::new(),
            };
            if let Some(waiter) = self.proposals.remove(&entry.index) {
                let is_own = waiter.term == entry.term;
                let result = is_own.then_some(result);
                let _ = waiter
                    .answer
                    .send(result.ok_or(ProposeError::OutcomeUnknown));
            }
        }
    }

    fn answer_reads(&mut self) {
        for (id, result) in self.core.take_reads() {
            if let Some(answer) = self.reads.remove(&id) {
                let _ = answer.send(result);
            }
        }
    }

    /// Answers callers whose entries another leader may commit or replace.
    fn fail_lost_proposals(&mut self) {
        let term = self.core.term();
        let is_leader = self.core.is_leader();
        let lost = self
            .proposals
            .extract_if(.., |_, waiter| !is_leader || waiter.term != term);
        for (_, waiter) in lost {
            let _ = waiter.answer.send(Err(ProposeError::OutcomeUnknown));
        }
    }

    fn compact_if_due(&mut self) {
        let applied = self.core.commit_index();
        if self.is_stopping || applied - self.core.snapshot_index() < self.config.snapshot_entries {
            return;
        }
        let data = lock(&self.machine).snapshot();
        self.core.compact(applied, SharedBytes::new(data));
    }

    fn start_write(&mut self) {
        // Writes that arrive while the disk is busy are collected and share the next sync.
        let Disk::Idle(_) = self.disk else {
            return;
        };
        let Some((batch, writes)) = self.core.take_writes() else {
            return;
        };
        let Disk::Idle(mut storage) = std::mem::replace(&mut self.disk, Disk::Failed) else {
            return;
        };
        let (logger, is_ending) = (self.logger.clone(), Arc::clone(&self.is_ending));
        self.disk = Disk::Busy(tokio::task::spawn_blocking(move || {
            let result = write_when_there_is_room(&mut storage, &writes, &logger, &is_ending);
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
        self.is_ending.store(true, Ordering::Relaxed);
        if let Disk::Busy(task) = std::mem::replace(&mut self.disk, Disk::Failed) {
            let _ = task.await;
        }
        for (_, waiter) in std::mem::take(&mut self.proposals) {
            let _ = waiter.answer.send(Err(ProposeError::OutcomeUnknown));
        }
        for (_, answer) in self.reads.drain() {
            let _ = answer.send(Err(ProposeError::Stopped));
        }
        while let Some(request) = requests.recv().await {
            match request {
                Request::Propose { answer, .. } | Request::Change { answer, .. } => {
                    let _ = answer.send(Err(ProposeError::Stopped));
                }
                Request::Read { answer } => drop(answer.send(Err(ProposeError::Stopped))),
                Request::NoteLostDisk(_) | Request::Stop => {}
            }
        }
        info!(self.logger, "consensus: stopped");
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        // Also after a panic in the state machine, the status must not look alive.
        self.status.send_modify(|status| {
            status.is_stopped = true;
            status.fault = self.fault.take();
            status.leader = None;
            status.remaining_redundancy = 0;
        });
    }
}

/// Writes a batch, repeating it while the disk is full. Until then the member confirms and grants
/// nothing, and answers and follows its leader as before.
fn write_when_there_is_room(
    storage: &mut Storage,
    writes: &[Write],
    logger: &Logger,
    is_ending: &AtomicBool,
) -> Result<(), DiskError> {
    let mut is_full = false;
    loop {
        match storage.write(writes) {
            Err(error) if error.is_repeatable && !is_ending.load(Ordering::Relaxed) => {
                if !std::mem::replace(&mut is_full, true) {
                    warn!(logger, "consensus: the disk is full, writes wait for room";
                        "path" => %error.path.display(), "writes" => writes.len());
                }
                std::thread::sleep(FULL_DISK_PAUSE);
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

/// Waits for the write in progress; never completes if there is none.
async fn finish_disk(disk: &mut Disk) -> (Storage, u64, Result<(), DiskError>) {
    match disk {
        Disk::Busy(task) => task.await.expect("writing does not panic"),
        Disk::Idle(_) | Disk::Failed => std::future::pending().await,
    }
}
