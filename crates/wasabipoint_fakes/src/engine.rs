//! Fake model engine.

mod cache;
mod completion;
mod memory;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bpaf::Bpaf;
use futures::future::BoxFuture;
use http::{Method, Request};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::faults::{EngineFaults, take_fault};
use crate::server::{
    Aborted, FakeHandler, FakeResponse, FakeServer, json_response, lock, parse_json, read_body,
};
use crate::slots::Slots;
use crate::store::fetch_checkpoint;

use cache::PrefixCache;
pub use cache::{chat_text, completion_text, prefix_hashes};
pub use completion::generated_text;
use memory::{AdapterCommand, EngineMemory, LoadStart, ModelCommand};
pub use memory::{HistoryEvent, HistoryKind};

/// Effect of an engine exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitMode {
    /// The process ends.
    Process,
    /// Connections close and the state in memory is lost, as if a supervisor had restarted the
    /// process.
    Restart,
}

impl std::str::FromStr for ExitMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "process" => Ok(Self::Process),
            "restart" => Ok(Self::Restart),
            _ => Err("expected process or restart".to_owned()),
        }
    }
}

/// Options of the engine.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub struct EngineOptions {
    /// Address to listen on.
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Memory for models and adapters in MiB.
    #[bpaf(fallback(80_000))]
    pub memory_mib: u64,
    /// Whether commands with stale fencing tokens are accepted.
    pub ignore_fencing: bool,
    /// Maximum number of requests in the batch.
    #[bpaf(fallback(16))]
    pub batch: usize,
    /// Time per generated token in milliseconds.
    #[bpaf(fallback(20))]
    pub token_ms: u64,
    /// Prefill time per prompt block that is not cached, in milliseconds.
    #[bpaf(fallback(1))]
    pub prefill_block_ms: u64,
    /// Capacity of the prefix cache in blocks.
    #[bpaf(fallback(4_096))]
    pub cache_blocks: usize,
    /// Time of a load after the checkpoint has arrived, in milliseconds.
    #[bpaf(fallback(200))]
    pub load_ms: u64,
    /// Time of an adapter load in milliseconds.
    #[bpaf(fallback(3))]
    pub adapter_load_ms: u64,
    /// Maximum number of fetched checkpoints kept on disk.
    #[bpaf(fallback(0))]
    pub disk_checkpoints: usize,
    /// Address of the weight store; without it, all checkpoints are on disk.
    pub store: Option<SocketAddr>,
    /// Effect of an exit: process or restart.
    #[bpaf(fallback(ExitMode::Process))]
    pub exit_mode: ExitMode,
}

impl EngineOptions {
    /// Options for tests, with short times and an exit that does not end the process.
    pub fn for_tests() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            memory_mib: 1_000,
            ignore_fencing: false,
            batch: 8,
            token_ms: 2,
            prefill_block_ms: 0,
            cache_blocks: 64,
            load_ms: 20,
            adapter_load_ms: 2,
            disk_checkpoints: 0,
            store: None,
            exit_mode: ExitMode::Restart,
        }
    }
}

#[derive(Debug)]
struct Engine {
    options: EngineOptions,
    memory: Mutex<EngineMemory>,
    cache: Mutex<PrefixCache>,
    /// Models with a checkpoint on disk, the oldest first.
    disk: Mutex<Vec<String>>,
    faults: Mutex<EngineFaults>,
    slots: Arc<Slots>,
    /// Cancels running completions by request id.
    running: Mutex<HashMap<String, Arc<Notify>>>,
    /// Number of completions that ran to their end, by request id.
    completed: Mutex<BTreeMap<String, u64>>,
    /// Id and prompt of the previous request, for crossed responses.
    previous_request: Mutex<(String, String)>,
    /// Current and peak number of concurrent adapter loads.
    adapters_in_transit: Mutex<(u64, u64)>,
    /// Tasks of running loads, which an exit aborts.
    loads: Mutex<JoinSet<()>>,
    /// Connections of the server, which an exit closes.
    connections: OnceLock<Arc<Mutex<JoinSet<()>>>>,
}

/// A running fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    server: FakeServer,
    engine: Arc<Engine>,
}

impl FakeEngine {
    /// Starts a fake engine.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let engine = Arc::new(Engine {
            memory: Mutex::new(EngineMemory::new(
                options.memory_mib,
                !options.ignore_fencing,
            )),
            cache: Mutex::new(PrefixCache::new(options.cache_blocks)),
            disk: Mutex::default(),
            faults: Mutex::default(),
            slots: Slots::new(options.batch),
            running: Mutex::default(),
            completed: Mutex::default(),
            previous_request: Mutex::new((
                "another-request".to_owned(),
                "another prompt".to_owned(),
            )),
            adapters_in_transit: Mutex::default(),
            loads: Mutex::default(),
            connections: OnceLock::new(),
            options,
        });
        let server =
            FakeServer::start(engine.options.listen, Arc::<Engine>::clone(&engine)).await?;
        let _ = engine.connections.set(server.connections());
        Ok(Self { server, engine })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the server, for `print_address_and_serve`.
    pub fn into_server(self) -> FakeServer {
        self.server
    }

    /// Sets all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.engine.faults) = faults;
    }

    /// Returns the remaining faults.
    pub fn faults(&self) -> EngineFaults {
        lock(&self.engine.faults).clone()
    }

    /// Exits in the configured `ExitMode`.
    pub fn exit(&self) {
        self.engine.exit();
    }

    /// Returns the history of all changes.
    pub fn history(&self) -> Vec<HistoryEvent> {
        lock(&self.engine.memory).history().to_vec()
    }

    /// Returns the state that `GET /admin/state` reports.
    pub fn state(&self) -> Value {
        self.engine.to_json()
    }

    /// Returns how often each request id was run to completion.
    pub fn completed(&self) -> BTreeMap<String, u64> {
        lock(&self.engine.completed).clone()
    }
}

#[derive(Deserialize)]
struct CancelCommand {
    request_id: String,
}

impl FakeHandler for Engine {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, FakeResponse> {
        Box::pin(async move {
            let method = request.method().clone();
            let uri = request.uri().clone();
            let headers = request.headers().clone();
            let body = read_body(request.into_body()).await?;
            match (method, uri.path()) {
                (Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                    completion::complete(self, &headers, &body).await
                }
                (Method::POST, "/admin/load") => match parse_json(&body) {
                    Ok(command) => self.load(command).await,
                    Err(response) => Ok(*response),
                },
                (Method::POST, "/admin/unload") => Ok(self.unload(&body)),
                (Method::POST, "/admin/load_adapter") => match parse_json(&body) {
                    Ok(command) => {
                        let (status, value) = self.load_adapter(&command).await;
                        Ok(json_response(status, &value))
                    }
                    Err(response) => Ok(*response),
                },
                (Method::POST, "/admin/unload_adapter") => Ok(parse_json(&body).map_or_else(
                    |response| *response,
                    |command| {
                        let (status, value) = lock(&self.memory).unload_adapter(&command);
                        json_response(status, &value)
                    },
                )),
                (Method::POST, "/admin/cancel") => Ok(parse_json::<CancelCommand>(&body)
                    .map_or_else(
                        |response| *response,
                        |command| {
                            if let Some(cancelled) = lock(&self.running).get(&command.request_id) {
                                cancelled.notify_one();
                            }
                            json_response(200, &json!({}))
                        },
                    )),
                (Method::POST, "/admin/faults") => Ok(parse_json(&body).map_or_else(
                    |response| *response,
                    |faults| {
                        *lock(&self.faults) = faults;
                        json_response(200, &json!({}))
                    },
                )),
                (Method::POST, "/admin/exit") => {
                    self.exit();
                    Err(Aborted)
                }
                (Method::GET, "/admin/state") => {
                    let is_silent = take_fault(&mut lock(&self.faults).silent_state);
                    if is_silent {
                        std::future::pending::<()>().await;
                    }
                    Ok(json_response(200, &self.to_json()))
                }
                (Method::GET, "/admin/history") => {
                    Ok(json_response(200, &json!(lock(&self.memory).history())))
                }
                (Method::GET, "/admin/cache_events") => {
                    let after = uri
                        .query()
                        .and_then(|query| query.strip_prefix("after="))
                        .and_then(|number| number.parse().ok())
                        .unwrap_or(0);
                    let delay_ms = lock(&self.faults).cache_event_delay_ms;
                    Ok(json_response(
                        200,
                        &lock(&self.cache).events_after(after, delay_ms),
                    ))
                }
                _ => Ok(json_response(404, &json!({"error": "not_found"}))),
            }
        })
    }
}

impl Engine {
    fn to_json(&self) -> Value {
        let mut state = lock(&self.memory).to_json();
        let (running, queued) = self.slots.counts();
        let checkpoints: Vec<_> = lock(&self.disk)
            .iter()
            .map(|model| json!({"model": model, "tier": "disk"}))
            .collect();
        state["running"] = json!(running);
        state["queued"] = json!(queued);
        state["checkpoints"] = json!(checkpoints);
        state["peak_adapters_in_transit"] = json!(lock(&self.adapters_in_transit).1);
        state
    }

    fn exit(&self) {
        if self.options.exit_mode == ExitMode::Process {
            std::process::exit(1);
        }
        lock(&self.memory).restart();
        *lock(&self.cache) = PrefixCache::new(self.options.cache_blocks);
        lock(&self.running).clear();
        lock(&self.loads).abort_all();
        if let Some(connections) = self.connections.get() {
            lock(connections).abort_all();
        }
    }

    async fn load_adapter(&self, command: &AdapterCommand) -> (u16, Value) {
        {
            let mut in_transit = lock(&self.adapters_in_transit);
            in_transit.0 += 1;
            in_transit.1 = in_transit.1.max(in_transit.0);
        }
        let is_fetched = match self.options.store {
            Some(store) => fetch_checkpoint(store, &command.adapter, command.memory_mib).await,
            None => true,
        };
        tokio::time::sleep(Duration::from_millis(self.options.adapter_load_ms)).await;
        lock(&self.adapters_in_transit).0 -= 1;
        if !is_fetched {
            return (500, json!({"error": "load_failed"}));
        }
        lock(&self.memory).load_adapter(command)
    }

    fn unload(&self, body: &[u8]) -> http::Response<crate::server::FakeBody> {
        match parse_json(body) {
            Ok(command) => {
                let (status, value) = lock(&self.memory).unload(&command);
                json_response(status, &value)
            }
            Err(response) => *response,
        }
    }

    /// Runs a load in a separate task, so that it continues when the connection closes.
    async fn load(self: Arc<Self>, command: ModelCommand) -> FakeResponse {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let is_response_lost = take_fault(&mut lock(&self.faults).lost_load_answer);
        let engine = Arc::clone(&self);
        lock(&self.loads).spawn(async move {
            let _ = sender.send(engine.run_load(&command).await);
        });
        let (status, value) = receiver.await.map_err(|_| Aborted)?;
        if is_response_lost {
            return Err(Aborted);
        }
        Ok(json_response(status, &value))
    }

    async fn run_load(&self, command: &ModelCommand) -> (u16, Value) {
        let late_ms = {
            let mut faults = lock(&self.faults);
            if take_fault(&mut faults.late_command) {
                faults.late_command_ms
            } else {
                0
            }
        };
        if late_ms > 0 {
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
        }
        match lock(&self.memory).start_load(command) {
            LoadStart::Started => {}
            LoadStart::AlreadyLoaded => return (200, json!({})),
            LoadStart::Refused(status, body) => return (status, body),
        }
        if take_fault(&mut lock(&self.faults).exit_in_load) {
            tokio::time::sleep(Duration::from_millis(self.options.load_ms / 2)).await;
            self.exit();
            // The exit aborts this task at its next await.
            std::future::pending::<()>().await;
        }
        let is_fetched = self.fetch_if_missing(command).await;
        tokio::time::sleep(Duration::from_millis(self.options.load_ms)).await;
        let is_successful = is_fetched && !take_fault(&mut lock(&self.faults).failed_load);
        lock(&self.memory).finish_load(command, is_successful);
        if is_successful {
            (200, json!({}))
        } else {
            (500, json!({"error": "load_failed"}))
        }
    }

    /// Fetches the checkpoint unless it is on disk, and returns whether it is available.
    async fn fetch_if_missing(&self, command: &ModelCommand) -> bool {
        let Some(store) = self.options.store else {
            return true;
        };
        if lock(&self.disk).contains(&command.model) {
            return true;
        }
        if !fetch_checkpoint(store, &command.model, command.memory_mib).await {
            return false;
        }
        let mut disk = lock(&self.disk);
        if self.options.disk_checkpoints > 0 {
            if disk.len() >= self.options.disk_checkpoints {
                disk.remove(0);
            }
            disk.push(command.model.clone());
        }
        true
    }
}
