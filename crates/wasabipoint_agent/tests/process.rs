//! Tests of the agent process, connected to a test control over tarpc.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use serde_json::json;
use tarpc::server::{BaseChannel, Channel};
use wasabipoint_fakes::{EngineOptions, FakeEngine};
use wasabipoint_http::HttpClient;
use wasabipoint_kernel::{EndpointId, FencingToken, Incarnation, ModelName, RequestId};
use wasabipoint_rpc::{
    AgentDirective, AgentReport, CallContext, ClaimOutcome, ClaimRequest, ControlRefusal,
    ControlRpc, DispatchRequest, EntryDirective, EntryReport, FrameDecoder, FramePayload, Grant,
    QuotaExchange, QuotaGrants, ReplicaState, StreamFrame, WatchReply, WatchRequest,
    encode_message, listen_rpc,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(50);

#[derive(Clone, Default)]
struct TestControl {
    reports: Arc<Mutex<Vec<AgentReport>>>,
}

impl ControlRpc for TestControl {
    async fn watch(self, _: CallContext, _: WatchRequest) -> Result<WatchReply, ControlRefusal> {
        Err(ControlRefusal::Unavailable)
    }

    async fn report_entry(
        self,
        _: CallContext,
        _: EntryReport,
    ) -> Result<EntryDirective, ControlRefusal> {
        Err(ControlRefusal::Unavailable)
    }

    async fn request_quota(
        self,
        _: CallContext,
        _: wasabipoint_rpc::QuotaRequest,
    ) -> Result<wasabipoint_rpc::QuotaReply, ControlRefusal> {
        Err(ControlRefusal::Unavailable)
    }

    async fn exchange_quota(
        self,
        _: CallContext,
        _: QuotaExchange,
    ) -> Result<QuotaGrants, ControlRefusal> {
        Err(ControlRefusal::Unavailable)
    }

    async fn claim(self, _: CallContext, _: ClaimRequest) -> Result<ClaimOutcome, ControlRefusal> {
        Err(ControlRefusal::Unavailable)
    }

    async fn report_agent(
        self,
        _: CallContext,
        report: AgentReport,
    ) -> Result<AgentDirective, ControlRefusal> {
        self.reports.lock().unwrap().push(report);
        Ok(AgentDirective {
            grants: vec![Grant {
                model: ModelName::new("m"),
                version: 1,
                endpoint: EndpointId::new("endpoint-1"),
                fencing_token: FencingToken(3),
                memory_mib: 400,
                is_revoked: false,
            }],
            adapters_in_transit: 1,
            adapters: Vec::new(),
            next_report_ms: 20,
        })
    }

    async fn leave(
        self,
        _: tarpc::context::Context,
        _: wasabipoint_kernel::MemberId,
    ) -> Result<(), wasabipoint_rpc::ControlRefusal> {
        Err(wasabipoint_rpc::ControlRefusal::Unavailable)
    }

    async fn join(
        self,
        _: tarpc::context::Context,
        _: wasabipoint_rpc::JoinRequest,
    ) -> Result<wasabipoint_rpc::JoinReply, wasabipoint_rpc::ControlRefusal> {
        Err(wasabipoint_rpc::ControlRefusal::Unavailable)
    }

    async fn record_streams(
        self,
        _: CallContext,
        _: Vec<wasabipoint_rpc::StreamRecord>,
    ) -> Result<(), ControlRefusal> {
        Err(ControlRefusal::Unavailable)
    }

    async fn find_stream(
        self,
        _: CallContext,
        _: wasabipoint_rpc::StreamQuery,
    ) -> Result<wasabipoint_rpc::StreamOrigin, ControlRefusal> {
        Err(ControlRefusal::Unavailable)
    }

    async fn load_adapter(
        self,
        _: tarpc::context::Context,
        _: wasabipoint_rpc::AdapterRequest,
    ) -> Result<wasabipoint_rpc::AdapterReply, wasabipoint_rpc::ControlRefusal> {
        Err(wasabipoint_rpc::ControlRefusal::Unavailable)
    }
}

impl TestControl {
    async fn listen(&self) -> SocketAddr {
        let mut incoming = listen_rpc("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let address = incoming.local_addr();
        let control = self.clone();
        tokio::spawn(async move {
            while let Some(Ok(transport)) = incoming.next().await {
                let channel = BaseChannel::with_defaults(transport);
                let requests = channel.execute(control.clone().serve());
                tokio::spawn(requests.for_each(|request| async {
                    tokio::spawn(request);
                }));
            }
        });
        address
    }

    async fn wait_for_report(&self, is_met: impl Fn(&AgentReport) -> bool) -> AgentReport {
        let wait = async {
            loop {
                let found = self
                    .reports
                    .lock()
                    .unwrap()
                    .iter()
                    .rfind(|report| is_met(report))
                    .cloned();
                if let Some(report) = found {
                    return report;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, wait).await.unwrap()
    }
}

struct AgentProcess {
    child: Child,
    address: SocketAddr,
    settings: PathBuf,
}

impl AgentProcess {
    fn start(name: &str, engine: SocketAddr, control: SocketAddr) -> Self {
        let settings = write_settings(name, &engine.to_string(), &control.to_string());
        let mut child = Command::new(env!("CARGO_BIN_EXE_wasabipoint-agent"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = line
            .trim()
            .strip_prefix("listening http=")
            .unwrap()
            .parse()
            .unwrap();
        Self {
            child,
            address,
            settings,
        }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &id])
                .status()
                .unwrap()
                .success()
        );
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn write_settings(name: &str, engine: &str, control: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("wasabipoint-{name}-{}.ini", std::process::id()));
    let text = format!(
        "[agent]\nendpoint = endpoint-1\nvm = vm-1\nfailure_domain = Tanta\nkind = engine\n\
         endpoint_address = {engine}\nlisten = 127.0.0.1:0\ncontrol = {control}\n\
         memory_mib = 1000\npredecessor_wait_ms = 50\n"
    );
    std::fs::write(&path, text).unwrap();
    path
}

fn dispatch(address: SocketAddr, incarnation: Incarnation, tokens: u64) -> Request<Bytes> {
    let body = json!({"prompt": "over tcp", "max_tokens": tokens, "stream": true});
    let request = DispatchRequest {
        request_id: RequestId::random(),
        incarnation,
        model: Some(ModelName::new("m")),
        adapter: None,
        remaining_ms: 60_000,
        is_idempotent: true,
        priority: 5,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: Vec::new(),
        body: body.to_string().into_bytes(),
        known_cache_sequence: 0,
    };
    Request::post(format!("http://{address}/v1/dispatch"))
        .body(encode_message(&request).into())
        .unwrap()
}

fn decode_last_payload(body: &[u8]) -> FramePayload {
    let mut decoder = FrameDecoder::new();
    decoder.push(body);
    let frames = std::iter::from_fn(|| decoder.next_frame().unwrap());
    frames
        .last()
        .map(|StreamFrame { payload, .. }| payload)
        .unwrap()
}

fn is_loaded(report: &AgentReport) -> bool {
    report
        .replicas
        .iter()
        .any(|replica| replica.state == ReplicaState::Loaded)
}

/// Guards against a shutdown that cuts off responses, and against a process that does not exit.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_agent_finishes_its_responses() {
    let engine = FakeEngine::start(EngineOptions::for_tests()).await.unwrap();
    let control = TestControl::default();
    let mut agent = AgentProcess::start("drain", engine.address(), control.listen().await);
    let incarnation = control.wait_for_report(is_loaded).await.incarnation;
    let client = HttpClient::new(WAIT_TIMEOUT);
    let calls: Vec<_> = (0..8)
        .map(|_| {
            let client = client.clone();
            // At 2 ms per token, the responses take longer than the stop timeout of the HTTP
            // server.
            let request = dispatch(agent.address, incarnation, 1_500);
            tokio::spawn(async move { client.fetch(request, 1 << 24, WAIT_TIMEOUT).await })
        })
        .collect();
    while engine.state()["running"] != 8 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    agent.terminate();
    control.wait_for_report(|report| report.is_draining).await;
    for call in calls {
        let response = call.await.unwrap().unwrap();
        assert!(matches!(
            decode_last_payload(response.body()),
            FramePayload::End { .. }
        ));
    }
    let status = tokio::task::spawn_blocking(move || agent.child.wait().unwrap());
    let status = tokio::time::timeout(WAIT_TIMEOUT, status)
        .await
        .unwrap()
        .unwrap();
    assert!(status.success());
    assert_eq!(engine.completed().len(), 8);
}

/// Guards against an agent that loads a second replica or reuses the incarnation after its
/// predecessor was killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_is_replaced_without_another_load() {
    let engine = FakeEngine::start(EngineOptions::for_tests()).await.unwrap();
    let control = TestControl::default();
    let address = control.listen().await;
    let first = AgentProcess::start("killed", engine.address(), address);
    let incarnation = control.wait_for_report(is_loaded).await.incarnation;
    drop(first);
    let second = AgentProcess::start("successor", engine.address(), address);
    let next = control
        .wait_for_report(|report| report.incarnation > incarnation && is_loaded(report))
        .await
        .incarnation;
    let client = HttpClient::new(WAIT_TIMEOUT);
    for (bound_to, is_served) in [(incarnation, false), (next, true)] {
        let request = dispatch(second.address, bound_to, 4);
        let response = client.fetch(request, 1 << 20, WAIT_TIMEOUT).await.unwrap();
        let is_end = matches!(
            decode_last_payload(response.body()),
            FramePayload::End { .. }
        );
        assert_eq!(is_end, is_served);
    }
    let loads = engine.history();
    assert_eq!(loads.len(), 2, "one load started and ended: {loads:?}");
}

/// Guards against invalid settings that `--check` does not report.
#[test]
fn settings_are_checked() {
    let check = |path: &PathBuf| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wasabipoint-agent"));
        command.args(["--check", "--settings"]).arg(path);
        command.stderr(Stdio::null()).status().unwrap().code()
    };
    let path = write_settings("right", "127.0.0.1:1", "127.0.0.1:2");
    assert_eq!(check(&path), Some(0));
    let path = write_settings("wrong", "nowhere", "127.0.0.1:2");
    assert_eq!(check(&path), Some(10));
}
