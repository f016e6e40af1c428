//! Async driver of the step function.

mod driver;

use std::sync::{Arc, Mutex};

use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use wasabipoint_kernel::MemberId;

use crate::api::{
    MAX_COMMAND_BYTES, MembershipChange, ProposeError, ReplicaConfig, ReplicaStatus, StartError,
    StateMachine, Transport,
};
use crate::core::{Core, CoreConfig};
use crate::storage::{DiskHook, Opened, Storage};
use driver::{Driver, Request};

/// Calls that wait for the driver; beyond that callers are told to slow down.
const REQUEST_QUEUE: usize = 4_096;
/// Messages of other members that wait for the driver; beyond that they are lost, which is safe.
const MESSAGE_QUEUE: usize = 1_024;

/// Starts replicas.
pub struct Replica;

impl Replica {
    /// Opens the data folder and starts the replica on the current runtime.
    pub async fn start(
        config: ReplicaConfig,
        machine: Arc<Mutex<dyn StateMachine>>,
        transport: Arc<dyn Transport>,
        logger: Logger,
    ) -> Result<ReplicaHandle, StartError> {
        Self::start_with_disk_hook(config, machine, transport, logger, None).await
    }

    /// Starts the replica with a hook that can fail writes and syncs.
    pub async fn start_with_disk_hook(
        config: ReplicaConfig,
        machine: Arc<Mutex<dyn StateMachine>>,
        transport: Arc<dyn Transport>,
        logger: Logger,
        hook: Option<DiskHook>,
    ) -> Result<ReplicaHandle, StartError> {
        check_config(&config)?;
        let (mut storage, opened) = open_storage(&config).await?;
        if let Some(hook) = hook {
            storage = storage.with_hook(hook);
        }
        report_opened(&logger, &config, &opened);
        if let Some(snapshot) = &opened.recovered.snapshot {
            let mut machine = driver::lock(&machine);
            machine
                .restore(&snapshot.data)
                .map_err(StartError::Restore)?;
        }
        let core = Core::new(core_config(&config, &opened), opened.recovered);
        let (requests, request_queue) = mpsc::channel(REQUEST_QUEUE);
        let (messages, message_queue) = mpsc::channel(MESSAGE_QUEUE);
        let (status, _) = watch::channel(core.status());
        let handle = ReplicaHandle {
            requests,
            messages,
            status: status.subscribe(),
        };
        let driver = Driver::new(config, core, storage, machine, transport, status, logger);
        tokio::spawn(driver.run(request_queue, message_queue));
        Ok(handle)
    }
}

fn check_config(config: &ReplicaConfig) -> Result<(), StartError> {
    let is_first = config.members.contains(&config.member);
    let detail = if config.cluster.is_empty() || config.cluster.contains(['\n', '\r']) {
        "the cluster name must be one non-empty line".to_owned()
    } else if config.tick_ms == 0 || config.snapshot_entries == 0 {
        "tick and snapshot interval must not be zero".to_owned()
    } else if !is_first && !config.is_joining {
        format!(
            "member {} is not among the first members; it can only join",
            config.member
        )
    } else {
        return Ok(());
    };
    Err(StartError::InvalidConfig { detail })
}

async fn open_storage(config: &ReplicaConfig) -> Result<(Storage, Opened), StartError> {
    let folder = config.data_folder.clone();
    let (cluster, member) = (config.cluster.clone(), config.member);
    tokio::task::spawn_blocking(move || Storage::open(&folder, &cluster, member))
        .await
        .expect("opening the folder does not panic")
}

fn report_opened(logger: &Logger, config: &ReplicaConfig, opened: &Opened) {
    let recovered = &opened.recovered;
    info!(logger, "consensus: opened data folder";
        "member" => config.member.0,
        "folder" => %config.data_folder.display(),
        "term" => recovered.hard.term,
        "snapshot" => recovered.snapshot.as_ref().map(|s| s.index),
        "last_index" => recovered.base_index + recovered.entries.len() as u64);
    if opened.truncated_bytes > 0 {
        warn!(logger, "consensus: cut a torn write from the log";
            "bytes" => opened.truncated_bytes);
    }
}

fn core_config(config: &ReplicaConfig, opened: &Opened) -> CoreConfig {
    CoreConfig {
        member: config.member,
        disk: opened.disk,
        initial_members: config.members.clone(),
        is_joining: config.is_joining,
        // Half an interval lets a member that was away shortly catch up without a snapshot.
        trailing_entries: config.snapshot_entries / 2,
        seed: rand::random(),
    }
}

/// Access to a running replica. The replica stops when all handles are dropped.
#[derive(Clone)]
pub struct ReplicaHandle {
    requests: mpsc::Sender<Request>,
    messages: mpsc::Sender<(MemberId, Vec<u8>)>,
    status: watch::Receiver<ReplicaStatus>,
}

impl ReplicaHandle {
    /// Proposes a command and waits until it is committed and applied; returns its result.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        if command.len() > MAX_COMMAND_BYTES {
            return Err(ProposeError::TooLarge);
        }
        let (answer, received) = oneshot::channel();
        self.enqueue(Request::Propose { command, answer })?;
        received.await.unwrap_or(Err(ProposeError::OutcomeUnknown))
    }

    /// Confirms that this member still leads. State applied up to the returned index includes
    /// everything that was acknowledged before the call. Concurrent calls share a round.
    pub async fn confirm_read(&self) -> Result<u64, ProposeError> {
        let (answer, received) = oneshot::channel();
        self.enqueue(Request::Read { answer })?;
        received.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Takes in a message of another member. It never blocks; messages beyond the queue are lost.
    pub fn deliver(&self, from: MemberId, message: Vec<u8>) {
        let _ = self.messages.try_send((from, message));
    }

    /// Returns the current status.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Follows the status.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Changes the membership by one member and waits until the change is committed.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ProposeError> {
        let (answer, received) = oneshot::channel();
        self.enqueue(Request::Change { change, answer })?;
        let result = received.await.unwrap_or(Err(ProposeError::OutcomeUnknown));
        result.map(|_| ())
    }

    /// Tells the replica that a first member lost its disk and joins under another id. A replica
    /// that takes part already ignores it.
    pub fn record_lost_disk(&self, member: MemberId) {
        // The process that lost its disk repeats its request, so a full queue loses nothing.
        let _ = self.requests.try_send(Request::NoteLostDisk(member));
    }

    /// Stops the replica and waits until its files are closed.
    pub async fn stop(self) {
        // A failed send means that the replica has stopped already.
        let _ = self.requests.send(Request::Stop).await;
        let mut status = self.status;
        // The sender is dropped only after the files are closed.
        while status.changed().await.is_ok() {}
    }

    fn enqueue(&self, request: Request) -> Result<(), ProposeError> {
        self.requests
            .try_send(request)
            .map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => ProposeError::Overloaded,
                mpsc::error::TrySendError::Closed(_) => ProposeError::Stopped,
            })
    }
}
