//! Members, operators, entries and agents of the tests, over loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use serde_json::Value;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use wasabipoint_control::{ControlConfig, ControlServer};
use wasabipoint_http::HttpClient;
use wasabipoint_kernel::{
    EndpointId, EntryId, FailureDomain, Incarnation, MemberId, ModelName, ServiceName, VmId,
};
use wasabipoint_rpc::{
    AgentDirective, AgentReport, ControlClient, EndpointKind, EntryReport, FencingMode,
    FleetUpdate, FleetView, ModelDemand, ReplicaReport, ReplicaState, WatchReply, WatchRequest,
};

pub(crate) const TOKEN: &str = "operator";
pub(crate) const INVENTORY: &str = include_str!("../data/inventory.ini");
pub(crate) const RULES: &str = include_str!("../data/rules.ini");

/// Bound on every step; a step that takes longer fails the test.
pub(crate) const STEP: Duration = Duration::from_secs(30);

pub(crate) fn logger() -> Logger {
    Logger::root(Discard, o!())
}

pub(crate) async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

pub(crate) fn new_folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("control-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

pub(crate) fn config(member: u64, members: &BTreeMap<MemberId, SocketAddr>) -> ControlConfig {
    let any = "127.0.0.1:0".parse().unwrap();
    ControlConfig {
        cluster: "test".to_owned(),
        member: MemberId(member),
        members: members.clone(),
        is_joining: false,
        uses_discovery: false,
        rpc_listen: any,
        http_listen: any,
        data_folder: new_folder(),
        failure_domain: "Rajkot".to_owned(),
        key_secret: "digest secret".to_owned(),
        operator_token: TOKEN.to_owned(),
        platform_list: None,
        tick_ms: 20,
        snapshot_entries: 100,
        slice_lifetime_ms: 1_000,
        agent_silence: Duration::from_secs(5),
        replace_after: Duration::from_secs(10),
    }
}

pub(crate) async fn start_single() -> ControlServer {
    start_single_with(|_| {}).await
}

/// Starts one member with changed settings.
pub(crate) async fn start_single_with(change: impl FnOnce(&mut ControlConfig)) -> ControlServer {
    let listener = bind().await;
    let members = BTreeMap::from([(MemberId(1), listener.local_addr().unwrap())]);
    let mut config = config(1, &members);
    change(&mut config);
    ControlServer::start_on(config, listener, logger())
        .await
        .unwrap()
}

/// Applies inventory and rules of the test data.
pub(crate) async fn configure(server: &ControlServer) -> ControlClient {
    let addresses = [server.http_address()];
    let applied = apply(&addresses, "/v1/inventory", 0, "change-1", INVENTORY).await;
    assert_eq!(json(&applied)["version"], 1);
    let applied = apply(&addresses, "/v1/rules", 1, "change-2", RULES).await;
    assert_eq!(json(&applied)["version"], 2);
    ControlClient::new(&[server.rpc_address()])
}

/// An operator's call; headers are name and value.
pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response<Bytes> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {TOKEN}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Bytes::copy_from_slice(body.as_bytes()))
        .unwrap();
    HttpClient::without_pool(STEP)
        .fetch(request, 1 << 24, STEP)
        .await
        .unwrap()
}

pub(crate) fn json(response: &Response<Bytes>) -> Value {
    serde_json::from_slice(response.body()).unwrap()
}

/// Repeats an operator's call on all members until one that leads answers it.
pub(crate) async fn call_leader(
    addresses: &[SocketAddr],
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response<Bytes> {
    let attempts = async {
        loop {
            for address in addresses {
                let response = call(*address, method.clone(), path, headers, body).await;
                if !matches!(response.status().as_u16(), 421 | 503) {
                    return response;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(STEP, attempts).await.unwrap()
}

pub(crate) async fn apply(
    addresses: &[SocketAddr],
    path: &str,
    expected: u64,
    change: &str,
    text: &str,
) -> Response<Bytes> {
    let expected = expected.to_string();
    let headers = [
        ("expected-version", expected.as_str()),
        ("change-id", change),
    ];
    call_leader(addresses, Method::PUT, path, &headers, text).await
}

fn engine_report(sequence: u64, replicas: Vec<ReplicaReport>) -> AgentReport {
    AgentReport {
        endpoint: EndpointId::new("summary-1"),
        vm: VmId::new("vm-1"),
        incarnation: Incarnation(1),
        sequence,
        address: "127.0.0.1:9".parse().unwrap(),
        failure_domain: FailureDomain::new("Rajkot"),
        kind: EndpointKind::Engine,
        service: ServiceName::new("summary"),
        fencing: FencingMode::Checked,
        memory_mib: 40_000,
        memory_used_mib: 0,
        accelerators: 8,
        concurrency: 16,
        is_draining: false,
        is_engine_known: true,
        replicas,
        adapters: Vec::new(),
        checkpoints: Vec::new(),
    }
}

pub(crate) fn waiting_report(sequence: u64, model: &str, queued: u32) -> EntryReport {
    EntryReport {
        entry: EntryId::new("entry-1"),
        incarnation: Incarnation(1),
        sequence,
        address: "127.0.0.1:8".parse().unwrap(),
        demand: vec![ModelDemand {
            model: ModelName::new(model),
            arrived: queued,
            queued,
            in_flight: 0,
            oldest_wait_ms: 10,
            earliest_deadline_ms: Some(20_000),
        }],
        draining_endpoints: Vec::new(),
        unreachable_endpoints: Vec::new(),
    }
}

pub(crate) async fn report_agent(client: &ControlClient, report: AgentReport) -> AgentDirective {
    let call = client.call(Duration::ZERO, STEP, |rpc, context| {
        let report = report.clone();
        async move { rpc.report_agent(context, report).await }
    });
    call.await.unwrap()
}

pub(crate) async fn report_entry(client: &ControlClient, report: EntryReport) {
    let call = client.call(Duration::ZERO, STEP, |rpc, context| {
        let report = report.clone();
        async move { rpc.report_entry(context, report).await }
    });
    call.await.unwrap();
}

pub(crate) async fn watch(client: &ControlClient, known_revision: u64) -> WatchReply {
    let wait_ms = 5_000;
    let request = WatchRequest {
        caller: "test".to_owned(),
        known_revision,
        wait_ms,
    };
    let call = client.call(Duration::from_millis(wait_ms), STEP, |rpc, context| {
        let request = request.clone();
        async move { rpc.watch(context, request).await }
    });
    call.await.unwrap()
}

/// Waits until the fleet view meets a condition.
pub(crate) async fn watch_until(
    client: &ControlClient,
    is_met: impl Fn(&FleetView) -> bool,
) -> FleetView {
    let follow = async {
        let mut view = FleetView::new();
        loop {
            let reply = watch(client, view.revision).await;
            match reply.update {
                FleetUpdate::Delta(changes) => {
                    for change in &changes {
                        view.apply(change);
                    }
                    view.revision = reply.revision;
                }
                FleetUpdate::Snapshot(whole) => view = *whole,
            }
            if is_met(&view) {
                return view;
            }
        }
    };
    tokio::time::timeout(STEP, follow).await.unwrap()
}

/// An agent whose engine obeys each directive at once.
pub(crate) struct TestAgent {
    number: u32,
    sequence: u64,
    replicas: Vec<ReplicaReport>,
}

impl TestAgent {
    /// Creates the agent of the endpoint `summary-NUMBER` on `vm-NUMBER`.
    pub(crate) fn new(number: u32) -> Self {
        Self {
            number,
            sequence: 0,
            replicas: Vec::new(),
        }
    }

    /// Reports and follows the directive.
    pub(crate) async fn step(&mut self, client: &ControlClient) -> AgentDirective {
        self.sequence += 1;
        let mut report = engine_report(self.sequence, self.replicas.clone());
        report.endpoint = EndpointId::new(format!("summary-{}", self.number));
        report.vm = VmId::new(format!("vm-{}", self.number));
        let directive = report_agent(client, report).await;
        let live = directive.grants.iter().filter(|grant| !grant.is_revoked);
        self.replicas = live
            .map(|grant| ReplicaReport {
                model: grant.model.clone(),
                version: grant.version,
                fencing_token: grant.fencing_token,
                state: ReplicaState::Loaded,
            })
            .collect();
        directive
    }

    /// Steps until the directive meets the condition.
    pub(crate) async fn step_until(
        &mut self,
        client: &ControlClient,
        is_met: impl Fn(&AgentDirective) -> bool,
    ) -> AgentDirective {
        let steps = async {
            loop {
                let directive = self.step(client).await;
                if is_met(&directive) {
                    return directive;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(STEP, steps).await.unwrap()
    }
}
