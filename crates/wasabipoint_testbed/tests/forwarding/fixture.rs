//! A control member, forwarding entry processes and engines on loopback.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use slog::{Discard, Logger, o};
use tokio::net::{TcpListener, TcpStream};
use wasabipoint_consensus::Role;
use wasabipoint_control::{
    ColdMargins, CommandAnswer, ControlConfig, ControlServer, EndpointDirectory, EndpointList,
    EngineCommand, EngineCommander, EngineState, PlatformIntegration, RateAllowance,
};
use wasabipoint_entry::{ForwardConfig, Forwarder, Regions, RpcControlLink};
use wasabipoint_http::{HttpClient, ResponseBody};
use wasabipoint_kernel::{
    CallerLimits, ColdLimit, Deployment, EngineModel, EngineSpec, EntryId, FailureDomain,
    ForwardRoute, ForwardService, Incarnation, MemberId, ModelName, RouteName, RunPolicy,
    ServiceName,
};
use wasabipoint_rpc::{EndpointKind, EndpointView};

use super::engine::{Engine, MODEL, PLAIN_SERVICE, SERVICE};
use super::test_dialect::TestDialect;

/// Time limit for one step of a test.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(30);

const OPERATOR_TOKEN: &str = "operator";

/// Engines that the directory lists.
type ListedEngines = Arc<Mutex<Vec<Arc<Engine>>>>;

/// Lists the engines as they are.
struct EngineDirectory(ListedEngines);

impl EndpointDirectory for EngineDirectory {
    fn list(&self) -> BoxFuture<'_, Result<EndpointList, String>> {
        let listed = self.0.lock().unwrap();
        let engines: Vec<_> = listed.iter().map(|engine| engine.view()).collect();
        let cold = listed.iter().zip(&engines).filter_map(|(engine, view)| {
            let key = (view.id.clone(), view.incarnation);
            Some((key, engine.cold_remaining_ms()?))
        });
        let list = EndpointList {
            cold_remaining_ms: cold.collect(),
            ..engines.clone().into()
        };
        Box::pin(std::future::ready(Ok(list)))
    }
}

/// Reports an engine as in its listed state if it can be connected to.
struct ConnectingCommander;

impl EngineCommander for ConnectingCommander {
    fn state(&self, endpoint: &EndpointView) -> BoxFuture<'_, Result<EngineState, String>> {
        let (address, models) = (endpoint.address, endpoint.models.clone());
        Box::pin(async move {
            let connected = TcpStream::connect(address).await;
            connected.map_err(|error| error.to_string())?;
            Ok(EngineState {
                local_models: models.clone(),
                models,
                is_busy: false,
                sequence: 0,
            })
        })
    }

    fn command(
        &self,
        _: &EndpointView,
        _: &EngineCommand,
    ) -> BoxFuture<'_, Result<CommandAnswer, String>> {
        Box::pin(std::future::ready(Ok(CommandAnswer::Rejected)))
    }
}

fn deployment(cold_limit: Option<ColdLimit>) -> Deployment {
    let model = EngineModel {
        name: ModelName::new(MODEL),
        weights_mb: 100,
        store_load_ms: 1_000,
        disk_load_ms: 100,
        adapter_count: 0,
        adapter_mb: 0,
    };
    let engine = EngineSpec {
        slots: 16,
        cache_tokens: 100_000,
        weights_mb: 100,
        max_adapters: 1,
        store_loads_per_1000_s: 1_000,
        models: BTreeMap::from([(model.name.clone(), model)]),
    };
    let service = ForwardService {
        name: ServiceName::new(SERVICE),
        max_connections: 100,
        engine: Some(engine),
        cold_limit,
    };
    let route = ForwardRoute {
        name: RouteName::new("chat"),
        host: "app.example".to_owned(),
        path_prefix: "/".to_owned(),
        run_policy: RunPolicy::ResumableStream,
        timeout_ms: 10_000,
        latency_objective_ms: 500,
        max_gap_ms: 150,
        priority: 0,
        services: vec![(service.name.clone(), 1)],
        max_attempts: 2,
        is_public: true,
        is_cacheable: true,
        home_regions: BTreeSet::new(),
    };
    let plain_service = ForwardService {
        name: ServiceName::new(PLAIN_SERVICE),
        max_connections: 100,
        engine: None,
        cold_limit: None,
    };
    let plain_route = ForwardRoute {
        name: RouteName::new("book"),
        path_prefix: "/book/".to_owned(),
        run_policy: RunPolicy::AtMostOnce,
        services: vec![(plain_service.name.clone(), 1)],
        ..route.clone()
    };
    let services = [service, plain_service];
    Deployment {
        version: 1,
        routes: vec![route, plain_route],
        services: services
            .map(|service| (service.name.clone(), service))
            .into(),
        customers: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

fn new_data_folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("forwarding-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn discard_logger() -> Logger {
    Logger::root(Discard, o!())
}

async fn start_control(engines: &ListedEngines, members: usize) -> Vec<ControlServer> {
    let mut listeners = Vec::new();
    for _ in 0..members {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let ids = (1..).map(MemberId);
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap());
    let members: BTreeMap<MemberId, SocketAddr> = ids.zip(addresses).collect();
    let mut servers = Vec::new();
    for (member, listener) in members.keys().zip(listeners) {
        let config = ControlConfig {
            cluster: "test".to_owned(),
            member: *member,
            members: members.clone(),
            is_joining: false,
            uses_discovery: false,
            rpc_listen: "127.0.0.1:0".parse().unwrap(),
            http_listen: "127.0.0.1:0".parse().unwrap(),
            data_folder: new_data_folder(),
            failure_domain: "here".to_owned(),
            key_secret: String::new(),
            operator_token: OPERATOR_TOKEN.to_owned(),
            platform_list: None,
            tick_ms: 20,
            snapshot_entries: 100,
            snapshot_log_bytes: 8 * 1_024 * 1_024,
            slice_lifetime_ms: 1_000,
            agent_silence: Duration::from_secs(5),
            replace_after: Duration::from_secs(10),
        };
        let integration = PlatformIntegration {
            directory: Arc::new(EngineDirectory(Arc::clone(engines))),
            commander: Arc::new(ConnectingCommander),
            command_lease: Duration::ZERO,
            rate_allowance: RateAllowance::default(),
            cold_margins: ColdMargins::default(),
            seeds: tokio::sync::watch::channel(Vec::new()).1,
            build_operator_api: |_, api| api,
        };
        let logger = discard_logger();
        let started =
            ControlServer::start_with_integration(config, listener, logger, Some(integration));
        servers.push(started.await.unwrap());
    }
    servers
}

/// An entry process and the addresses that it serves.
pub(crate) struct Entry {
    address: SocketAddr,
    status_address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Control members, entry processes and engines, and a client for them.
pub(crate) struct Fleet {
    pub(crate) control: Vec<ControlServer>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) engines: Vec<Arc<Engine>>,
    listed_engines: ListedEngines,
    client: HttpClient,
}

impl Fleet {
    /// Starts a fleet and waits until every entry process serves.
    pub(crate) async fn start(members: usize, entries: usize, engines: usize) -> Self {
        Self::start_with(EndpointKind::Engine, members, entries, engines).await
    }

    /// Starts a fleet whose endpoints are all of one kind.
    pub(crate) async fn start_with(
        kind: EndpointKind,
        members: usize,
        entries: usize,
        endpoints: usize,
    ) -> Self {
        Self::start_in_domains(kind, members, entries, &vec!["here"; endpoints]).await
    }

    /// Starts a fleet with one endpoint in each of the given failure domains.
    pub(crate) async fn start_in_domains(
        kind: EndpointKind,
        members: usize,
        entries: usize,
        domains: &[&'static str],
    ) -> Self {
        Self::start_configured(kind, members, entries, domains, None).await
    }

    /// Starts a fleet whose engines have a limit while they are cold, which they are after each of
    /// their next starts.
    pub(crate) async fn start_with_cold_limit(
        members: usize,
        entries: usize,
        engines: usize,
        limit: ColdLimit,
    ) -> Self {
        let kind = EndpointKind::Engine;
        Self::start_configured(kind, members, entries, &vec!["here"; engines], Some(limit)).await
    }

    async fn start_configured(
        kind: EndpointKind,
        members: usize,
        entries: usize,
        domains: &[&'static str],
        cold_limit: Option<ColdLimit>,
    ) -> Self {
        let engines = domains.iter().enumerate().map(|(index, domain)| {
            let engine = Engine::start(index, kind);
            engine.move_to_domain(domain);
            engine
        });
        let engines: Vec<_> = engines.collect();
        if let Some(limit) = cold_limit {
            for engine in &engines {
                engine.start_cold_for(Duration::from_millis(limit.start_ms));
            }
        }
        let listed_engines = Arc::new(Mutex::new(engines.clone()));
        let control = start_control(&listed_engines, members).await;
        let mut fleet = Self {
            control,
            entries: Vec::new(),
            engines,
            listed_engines,
            client: HttpClient::without_pool(STEP_TIMEOUT),
        };
        fleet.apply_deployment(cold_limit).await;
        for _ in 0..entries {
            fleet.add_entry().await;
        }
        fleet
    }

    /// Starts another engine that is cold for some time, and returns its index.
    pub(crate) fn add_cold_engine(&mut self, cold_time: Duration) -> usize {
        let index = self.engines.len();
        let engine = Engine::start(index, EndpointKind::Engine);
        engine.be_cold_for(cold_time);
        self.engines.push(Arc::clone(&engine));
        self.listed_engines.lock().unwrap().push(engine);
        index
    }

    async fn apply_deployment(&self, cold_limit: Option<ColdLimit>) {
        let applied = async {
            loop {
                for member in &self.control {
                    let store = member.deployment_store();
                    if store
                        .apply(Vec::new(), deployment(cold_limit))
                        .await
                        .is_ok()
                    {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, applied).await.unwrap();
    }

    /// Starts another entry process, waits until it is ready and returns its index.
    pub(crate) async fn add_entry(&mut self) -> usize {
        let index = self.entries.len();
        let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let status = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let config = ForwardConfig {
            entry: EntryId::new(format!("entry-{index}")),
            listen: callers.local_addr().unwrap(),
            status_listen: status.local_addr().unwrap(),
            ready_path: "/ready",
            failure_domain: FailureDomain::new("here"),
            regions: Regions::default(),
            key_secret: String::new(),
            grace: Duration::from_secs(2),
            hedge_percent: 0,
            has_token_queue: false,
        };
        let (address, status_address) = (config.listen, config.status_listen);
        let members: Vec<SocketAddr> = self
            .control
            .iter()
            .map(ControlServer::rpc_address)
            .collect();
        let forwarder = Arc::new(Forwarder::new(
            config,
            Incarnation(1),
            Arc::new(TestDialect),
            Arc::new(RpcControlLink::new(&members)),
            discard_logger(),
        ));
        let task = tokio::spawn(async move {
            forwarder
                .run_on(callers, status, std::future::pending())
                .await;
        });
        self.entries.push(Entry {
            address,
            status_address,
            task,
        });
        let ready = async {
            while !self.is_ready(index).await {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, ready).await.unwrap();
        index
    }

    async fn is_ready(&self, entry: usize) -> bool {
        let uri = format!("http://{}/ready", self.entries[entry].status_address);
        let request = Request::get(uri).body(Bytes::new()).unwrap();
        let fetched = self.client.fetch(request, 1_024, STEP_TIMEOUT).await;
        fetched.is_ok_and(|response| response.status().is_success())
    }

    /// Sends a request with prompt parts through an entry process. Returns `None` if its response
    /// broke off.
    pub(crate) async fn send(&self, entry: usize, parts: &str) -> Option<http::Response<Bytes>> {
        self.send_body(entry, parts, "prompt").await
    }

    /// Sends a request with prompt parts and a body.
    pub(crate) async fn send_body(
        &self,
        entry: usize,
        parts: &str,
        body: &'static str,
    ) -> Option<http::Response<Bytes>> {
        let request = self.build_request(entry, "chat", body);
        let request = request.header("model", MODEL).header("parts", parts);
        self.fetch(request, body).await
    }

    /// Sends a request to the plain service.
    pub(crate) async fn book(
        &self,
        entry: usize,
        body: &'static str,
    ) -> Option<http::Response<Bytes>> {
        let request = self.build_request(entry, "book/bay", body);
        self.fetch(request, body).await
    }

    fn build_request(&self, entry: usize, path: &str, body: &str) -> http::request::Builder {
        static NEXT_REQUEST: AtomicU32 = AtomicU32::new(0);
        let id = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        Request::post(format!("http://{}/{path}", self.entries[entry].address))
            .header("host", "app.example")
            .header("id", format!("{entry}.{id}"))
            .header("content-length", body.len())
    }

    /// Sends a request with further headers and returns its response as soon as it begins.
    pub(crate) async fn open(
        &self,
        entry: usize,
        id: &str,
        headers: &[(&'static str, String)],
    ) -> Option<http::Response<ResponseBody>> {
        let body = Bytes::from_static(b"prompt");
        let mut request = self.build_request(entry, "chat", "prompt");
        request = request.header("model", MODEL);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let mut request = request.body(body).unwrap();
        request.headers_mut().insert("id", id.parse().unwrap());
        self.client.send(request).await.ok()
    }

    /// Removes an engine from the directory. It goes on with what it serves.
    pub(crate) fn delist(&self, engine: usize) {
        let address = self.engines[engine].view().address;
        let mut listed = self.listed_engines.lock().unwrap();
        listed.retain(|engine| engine.view().address != address);
    }

    async fn fetch(
        &self,
        request: http::request::Builder,
        body: &'static str,
    ) -> Option<http::Response<Bytes>> {
        let request = request.body(Bytes::from_static(body.as_bytes())).unwrap();
        self.client.fetch(request, 65_536, STEP_TIMEOUT).await.ok()
    }

    /// Repeats a sound request until it is served.
    pub(crate) async fn send_until_served(&self, entry: usize, parts: &str) {
        let served = async {
            loop {
                let response = self.send(entry, parts).await;
                if response.is_some_and(|response| response.status() == StatusCode::OK) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, served).await.unwrap();
    }

    /// Stops the control member that leads, and waits until another one does.
    pub(crate) async fn stop_leader(&mut self) {
        self.take_leader().await.stop().await;
        self.wait_for_leader().await;
    }

    /// Removes the control member that leads from the fixture.
    pub(crate) async fn take_leader(&mut self) -> ControlServer {
        let leader = self.wait_for_leader().await;
        self.control.remove(leader)
    }

    /// Takes a failure domain out of service, or returns it, through whichever member leads.
    pub(crate) async fn set_out_of_service(&self, domain: &str, is_taken_out: bool) {
        let committed = async {
            loop {
                for member in &self.control {
                    let (store, domain) = (member.domain_store(), FailureDomain::new(domain));
                    let committed = if is_taken_out {
                        store.take_out(domain).await
                    } else {
                        store.return_to_service(domain).await
                    };
                    if committed.is_ok() {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, committed).await.unwrap();
    }

    async fn wait_for_leader(&self) -> usize {
        let found = async {
            loop {
                let mut members = self.control.iter();
                let leads = |member: &ControlServer| member.replica_status().role == Role::Leader;
                if let Some(leader) = members.position(leads) {
                    return leader;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, found).await.unwrap()
    }

    /// Returns the quarantined parts as the operator API of the leader lists them.
    pub(crate) async fn quarantined_parts(&self) -> Vec<serde_json::Value> {
        let leader = self.wait_for_leader().await;
        let uri = format!(
            "http://{}/v1/quarantine",
            self.control[leader].http_address()
        );
        let request = Request::get(uri)
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Bytes::new())
            .unwrap();
        let response = self
            .client
            .fetch(request, 65_536, STEP_TIMEOUT)
            .await
            .unwrap();
        let listed: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
        listed["quarantine"].as_array().unwrap().clone()
    }

    pub(crate) fn crash_on(&self, part: &str) {
        for engine in &self.engines {
            engine.crash_on(part);
        }
    }

    /// Returns the number of requests with the deadly part that arrived at engines.
    pub(crate) fn deadly_arrivals(&self) -> u32 {
        let engines = self.engines.iter();
        let arrivals = engines.map(|engine| engine.deadly_arrivals.load(Ordering::Relaxed));
        arrivals.sum()
    }

    /// Returns the number of crashes of all engines.
    pub(crate) fn crashes(&self) -> u32 {
        let engines = self.engines.iter();
        engines
            .map(|engine| engine.crashes.load(Ordering::Relaxed))
            .sum()
    }
}
