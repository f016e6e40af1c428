//! Benchmarks three members in one process with an in-memory transport and real files: time without
//! a leader after the leader is stopped, commits per second, bytes per commit and memory per entry.
//!
//! Run with `cargo run --release --example figures -p wasabipoint_consensus [FOLDER]`.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{Discard, Logger, o};
use wasabipoint_consensus::{
    Core, CoreConfig, DiskId, RecoveredState, Replica, ReplicaConfig, ReplicaHandle, RestoreError,
    SharedBytes, StateMachine, Transport,
};
use wasabipoint_kernel::MemberId;

const MEMBERS: u64 = 3;
const TICK_MS: u64 = 50;
const COMMAND_BYTES: usize = 256;
const LEADER_STOPS: usize = 15;
const LOAD_TIME: Duration = Duration::from_secs(3);

type BoxError = Box<dyn Error + Send + Sync>;

/// State machine that counts commands.
#[derive(Default)]
struct Counter(u64);

impl StateMachine for Counter {
    fn apply(&mut self, _index: u64, _command: &[u8]) -> Vec<u8> {
        self.0 += 1;
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let bytes = snapshot.try_into();
        self.0 = u64::from_le_bytes(bytes.map_err(|_| RestoreError::new("not a number"))?);
        Ok(())
    }
}

type Handles = Arc<Mutex<BTreeMap<u64, ReplicaHandle>>>;

struct MemberTransport {
    from: u64,
    handles: Handles,
}

impl Transport for MemberTransport {
    fn send(&self, to: MemberId, message: Vec<u8>) {
        let handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handle) = handles.get(&to.0) {
            handle.deliver(MemberId(self.from), message);
        }
    }
}

struct Cluster {
    folder: PathBuf,
    handles: Handles,
}

impl Cluster {
    async fn start(folder: &Path) -> Result<Self, BoxError> {
        let cluster = Self {
            folder: folder.to_owned(),
            handles: Handles::default(),
        };
        for id in 1..=MEMBERS {
            cluster.start_member(id).await?;
        }
        Ok(cluster)
    }

    async fn start_member(&self, id: u64) -> Result<(), BoxError> {
        let config = ReplicaConfig {
            cluster: "figures".to_owned(),
            member: MemberId(id),
            initial_members: (1..=MEMBERS).map(MemberId).collect(),
            is_joining: false,
            data_folder: self.folder.join(id.to_string()),
            tick_ms: TICK_MS,
            // No snapshot is taken during a run, so that the log contains every commit.
            snapshot_entries: 1_000_000,
            snapshot_log_bytes: u64::MAX,
        };
        let state_machine = Arc::new(Mutex::new(Counter::default()));
        let transport = Arc::new(MemberTransport {
            from: id,
            handles: Arc::clone(&self.handles),
        });
        let logger = Logger::root(Discard, o!());
        let handle = Replica::start(config, state_machine, transport, logger).await?;
        self.lock().insert(id, handle);
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, ReplicaHandle>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handles(&self) -> Vec<(u64, ReplicaHandle)> {
        let handles = self.lock();
        handles.iter().map(|(id, h)| (*id, h.clone())).collect()
    }

    /// Waits until a member confirms a read, and returns that member.
    async fn leader(&self) -> (u64, ReplicaHandle) {
        loop {
            for (id, handle) in self.handles() {
                if handle.confirm_read().await.is_ok() {
                    return (id, handle);
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn stop_member(&self, id: u64) {
        let handle = self.lock().remove(&id);
        if let Some(handle) = handle {
            handle.stop().await;
        }
    }

    async fn stop(self) {
        for id in 1..=MEMBERS {
            self.stop_member(id).await;
        }
    }

    fn log_bytes(&self, id: u64) -> Result<u64, BoxError> {
        Ok(fs::metadata(self.folder.join(id.to_string()).join("log"))?.len())
    }
}

/// Stops the leader repeatedly. Returns the sorted times until a read is confirmed again.
async fn measure_leader_stops(folder: &Path) -> Result<Vec<Duration>, BoxError> {
    let cluster = Cluster::start(folder).await?;
    let mut gaps = Vec::new();
    for _ in 0..LEADER_STOPS {
        let (id, _) = cluster.leader().await;
        tokio::time::sleep(Duration::from_millis(20 * TICK_MS)).await;
        let stopped_at = Instant::now();
        cluster.stop_member(id).await;
        cluster.leader().await;
        gaps.push(stopped_at.elapsed());
        cluster.start_member(id).await?;
    }
    cluster.stop().await;
    gaps.sort();
    Ok(gaps)
}

struct Load {
    callers: usize,
    commits_per_second: f64,
    bytes_per_commit: f64,
    median_latency: Duration,
}

async fn measure_load(folder: &Path, callers: usize) -> Result<Load, BoxError> {
    let cluster = Cluster::start(folder).await?;
    let (leader, handle) = cluster.leader().await;
    let bytes_before = cluster.log_bytes(leader)?;
    let started = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| tokio::spawn(propose_for(handle.clone(), started + LOAD_TIME)))
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await??);
    }
    let elapsed = started.elapsed();
    let written = cluster.log_bytes(leader)? - bytes_before;
    cluster.stop().await;
    latencies.sort();
    Ok(Load {
        callers,
        commits_per_second: latencies.len() as f64 / elapsed.as_secs_f64(),
        bytes_per_commit: written as f64 / latencies.len() as f64,
        median_latency: latencies[latencies.len() / 2],
    })
}

async fn propose_for(handle: ReplicaHandle, end: Instant) -> Result<Vec<Duration>, BoxError> {
    let mut latencies = Vec::new();
    while Instant::now() < end {
        let started = Instant::now();
        handle.propose(vec![7; COMMAND_BYTES]).await?;
        latencies.push(started.elapsed());
    }
    Ok(latencies)
}

/// Returns the resident memory per committed log entry in bytes, including the command.
fn measure_memory() -> Result<f64, BoxError> {
    const ENTRIES: u64 = 200_000;
    let config = CoreConfig {
        member: MemberId(1),
        disk: DiskId(1),
        initial_members: vec![MemberId(1)],
        is_joining: false,
        trailing_entries: 0,
        trailing_bytes: 0,
        seed: 1,
    };
    let mut core = Core::new(config, RecoveredState::default());
    let complete = |core: &mut Core| {
        while let Some((batch, _)) = core.take_writes() {
            core.complete_writes(batch);
        }
        core.take_effects();
    };
    while !core.is_leader() {
        core.tick();
        complete(&mut core);
    }
    let before = resident_bytes()?;
    for _ in 0..ENTRIES {
        core.propose(SharedBytes::new(vec![7; COMMAND_BYTES]))?;
        complete(&mut core);
    }
    let used = resident_bytes()?.saturating_sub(before);
    Ok(used as f64 / ENTRIES as f64)
}

fn resident_bytes() -> Result<u64, BoxError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    Ok(kib.ok_or("no VmRSS in /proc/self/status")?.parse::<u64>()? * 1_024)
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let memory = measure_memory()?;
    let folder = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = folder.join(format!("wasabipoint-figures-{}", std::process::id()));
    let gaps = measure_leader_stops(&folder.join("stops")).await?;
    println!("tick {TICK_MS} ms, {MEMBERS} members, commands of {COMMAND_BYTES} bytes");
    println!(
        "time without a leader, {LEADER_STOPS} stops: min {} ms, median {} ms, max {} ms",
        gaps[0].as_millis(),
        gaps[gaps.len() / 2].as_millis(),
        gaps[gaps.len() - 1].as_millis()
    );
    println!("callers  commits/s  bytes/commit  median latency");
    for callers in [1, 16, 256] {
        let load = measure_load(&folder.join(format!("load-{callers}")), callers).await?;
        println!(
            "{:>7}  {:>9.0}  {:>12.0}  {:>11.2} ms",
            load.callers,
            load.commits_per_second,
            load.bytes_per_commit,
            load.median_latency.as_secs_f64() * 1_000.0
        );
    }
    println!("memory per entry in the log: {memory:.0} bytes");
    fs::remove_dir_all(&folder)?;
    Ok(())
}
