//! Replicas and handles to them.

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
use crate::storage::{DiskHook, OpenedStorage, Storage};
use driver::{Driver, Request};

/// Maximum number of calls that wait for the driver. Further calls fail as overloaded.
const REQUEST_QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of messages that wait for the driver. Further messages are dropped, which the
/// protocol tolerates.
const MESSAGE_QUEUE_CAPACITY: usize = 1_024;

/// Starts replicas. A running replica is used through its [`ReplicaHandle`].
pub struct Replica;

impl Replica {
    /// Opens the data folder and starts the replica on the current runtime.
    pub async fn start(
        config: ReplicaConfig,
        state_machine: Arc<Mutex<dyn StateMachine>>,
        transport: Arc<dyn Transport>,
        logger: Logger,
    ) -> Result<ReplicaHandle, StartError> {
        Self::start_with_disk_hook(config, state_machine, transport, logger, None).await
    }

    /// Starts the replica with a hook that can inject errors into writes and syncs.
    pub async fn start_with_disk_hook(
        config: ReplicaConfig,
        state_machine: Arc<Mutex<dyn StateMachine>>,
        transport: Arc<dyn Transport>,
        logger: Logger,
        hook: Option<DiskHook>,
    ) -> Result<ReplicaHandle, StartError> {
        validate_config(&config)?;
        let (mut storage, opened) = open_storage(&config).await?;
        if let Some(hook) = hook {
            storage = storage.with_hook(hook);
        }
        log_opened_folder(&logger, &config, &opened);
        if let Some(snapshot) = &opened.recovered.snapshot {
            let mut state_machine = driver::lock(&state_machine);
            state_machine
                .restore(&snapshot.data)
                .map_err(StartError::Restore)?;
        }
        let core = Core::new(core_config(&config, &opened), opened.recovered);
        let (requests, request_queue) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (messages, message_queue) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        let (status, _) = watch::channel(core.status());
        let handle = ReplicaHandle {
            requests,
            messages,
            status: status.subscribe(),
        };
        let driver = Driver::new(
            config,
            core,
            storage,
            state_machine,
            transport,
            status,
            logger,
        );
        tokio::spawn(driver.run(request_queue, message_queue));
        Ok(handle)
    }
}

fn validate_config(config: &ReplicaConfig) -> Result<(), StartError> {
    let is_initial = config.initial_members.contains(&config.member);
    let detail = if config.cluster.is_empty() || config.cluster.contains(['\n', '\r']) {
        "the cluster name must be one non-empty line".to_owned()
    } else if config.tick_ms == 0 || config.snapshot_entries == 0 || config.snapshot_log_bytes == 0
    {
        "tick and snapshot intervals must not be zero".to_owned()
    } else if !is_initial && !config.is_joining {
        format!(
            "member {} is not an initial member; it can only join as a learner",
            config.member
        )
    } else {
        return Ok(());
    };
    Err(StartError::InvalidConfig { detail })
}

async fn open_storage(config: &ReplicaConfig) -> Result<(Storage, OpenedStorage), StartError> {
    let folder = config.data_folder.clone();
    let (cluster, member) = (config.cluster.clone(), config.member);
    tokio::task::spawn_blocking(move || Storage::open(&folder, &cluster, member))
        .await
        .expect("opening the folder does not panic")
}

fn log_opened_folder(logger: &Logger, config: &ReplicaConfig, opened: &OpenedStorage) {
    let recovered = &opened.recovered;
    info!(logger, "consensus: opened data folder";
        "member" => config.member.0,
        "folder" => %config.data_folder.display(),
        "term" => recovered.hard_state.term,
        "snapshot" => recovered.snapshot.as_ref().map(|s| s.index),
        "last_index" => recovered.base_index + recovered.entries.len() as u64);
    if opened.truncated_bytes > 0 {
        warn!(logger, "consensus: truncated a torn write at the end of the log";
            "bytes" => opened.truncated_bytes);
    }
}

fn core_config(config: &ReplicaConfig, opened: &OpenedStorage) -> CoreConfig {
    CoreConfig {
        member: config.member,
        disk: opened.disk,
        initial_members: config.initial_members.clone(),
        is_joining: config.is_joining,
        // Half an interval lets a member catch up without a snapshot after a short outage.
        trailing_entries: config.snapshot_entries / 2,
        trailing_bytes: config.snapshot_log_bytes / 2,
        seed: rand::random(),
    }
}

/// Handle to a running replica. The replica stops when all handles are dropped.
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
        let (reply, response) = oneshot::channel();
        self.enqueue(Request::Propose { command, reply })?;
        response.await.unwrap_or(Err(ProposeError::OutcomeUnknown))
    }

    /// Confirms that this member is still the leader, for a linearizable read. State applied up to
    /// the returned index includes everything that was acknowledged before the call. Concurrent
    /// calls share a round of heartbeats.
    pub async fn confirm_read(&self) -> Result<u64, ProposeError> {
        let (reply, response) = oneshot::channel();
        self.enqueue(Request::ConfirmRead { reply })?;
        response.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Passes on a message of another member without blocking. It is dropped if the queue is full.
    pub fn deliver(&self, from: MemberId, message: Vec<u8>) {
        let _ = self.messages.try_send((from, message));
    }

    /// Returns the current status.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Returns a receiver that is notified of status changes.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Changes the membership by one member and waits until the change is committed.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ProposeError> {
        let (reply, response) = oneshot::channel();
        self.enqueue(Request::ChangeMembership { change, reply })?;
        let result = response.await.unwrap_or(Err(ProposeError::OutcomeUnknown));
        result.map(|_| ())
    }

    /// Reports that an initial member lost its disk and joins under another id. A replica that has
    /// bootstrapped ignores this.
    pub fn record_lost_disk(&self, member: MemberId) {
        // The process that lost its disk retries its request, so it may be dropped when the queue
        // is full.
        let _ = self.requests.try_send(Request::RecordLostDisk(member));
    }

    /// Stops the replica and waits until its files are closed.
    pub async fn stop(self) {
        // A failed send means that the replica has already stopped.
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
