//! Tests of the entry process with callers, control and an agent over loopback connections.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{Request, Response, StatusCode};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wasabipoint_entry::{Entry, EntryConfig, EntryHandler, HttpAgentLink, RpcControlLink};
use wasabipoint_http::{
    HttpClient, HttpHandler, HttpRequest, HttpResponse, HttpServer, OutgoingBody,
};
use wasabipoint_kernel::{
    CustomerId, ENTRY_SETTINGS, EndpointId, FailureDomain, Incarnation, Inventory, KeyDigester,
    KeyId, ModelName, Rules, ServiceName, Settings, SoftwareVersion,
};
use wasabipoint_rpc::{
    AgentDirective, AgentReport, ClaimOutcome, ClaimRequest, ControlRefusal, ControlRpc,
    DispatchRequest, EndpointKind, EndpointView, EntryDirective, EntryReport, FleetUpdate,
    FleetView, FramePayload, KeyRecord, LoadReport, PromptDirective, QuotaExchange, QuotaGrants,
    QuotaSlice, StreamFrame, WatchReply, WatchRequest, decode_message, encode_frame, listen_rpc,
};

const KEY: &str = "k-delta-7f3a9c";

const SETTINGS: &str = "[entry]\nentry = entry-1\nlisten = 127.0.0.1:0\ncontrol = 127.0.0.1:1\n\
    failure_domain = tanta\nkey_secret = secret\noperator_token = token\ndrain_grace_ms = 0\n";

#[derive(Clone)]
struct FakeControl(Arc<FleetView>);

impl ControlRpc for FakeControl {
    async fn watch(self, _: Context, request: WatchRequest) -> Result<WatchReply, ControlRefusal> {
        let update = if request.known_revision == 0 {
            FleetUpdate::Snapshot(Box::new((*self.0).clone()))
        } else {
            tokio::time::sleep(Duration::from_millis(request.wait_ms)).await;
            FleetUpdate::Delta(Vec::new())
        };
        Ok(WatchReply {
            revision: 1,
            update,
        })
    }

    async fn report_entry(
        self,
        _: Context,
        _: EntryReport,
    ) -> Result<EntryDirective, ControlRefusal> {
        Ok(EntryDirective {
            cold_estimates: Vec::new(),
            next_report_ms: 1_000,
            prompts: PromptDirective::default(),
            limits: Vec::new(),
            entry_processes: 1,
            speeds: Vec::new(),
        })
    }

    async fn request_quota(
        self,
        _: Context,
        _: wasabipoint_rpc::QuotaRequest,
    ) -> Result<wasabipoint_rpc::QuotaReply, ControlRefusal> {
        Err(ControlRefusal::Unavailable)
    }

    async fn exchange_quota(
        self,
        _: Context,
        exchange: QuotaExchange,
    ) -> Result<QuotaGrants, ControlRefusal> {
        let slices = exchange.items.into_iter().map(|item| QuotaSlice {
            slice_id: exchange.sequence,
            customer: item.customer,
            tokens: item.wanted_tokens,
            lifetime_ms: 5_000,
        });
        Ok(QuotaGrants {
            slices: slices.collect(),
            waits: Vec::new(),
        })
    }

    async fn claim(self, _: Context, _: ClaimRequest) -> Result<ClaimOutcome, ControlRefusal> {
        Ok(ClaimOutcome::Claimed)
    }

    async fn report_agent(
        self,
        _: Context,
        _: AgentReport,
    ) -> Result<AgentDirective, ControlRefusal> {
        Err(ControlRefusal::Unavailable)
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
        _: tarpc::context::Context,
        _: Vec<wasabipoint_rpc::StreamRecord>,
    ) -> Result<(), wasabipoint_rpc::ControlRefusal> {
        Err(wasabipoint_rpc::ControlRefusal::Unavailable)
    }

    async fn find_stream(
        self,
        _: tarpc::context::Context,
        _: wasabipoint_rpc::StreamQuery,
    ) -> Result<wasabipoint_rpc::StreamOrigin, wasabipoint_rpc::ControlRefusal> {
        Err(wasabipoint_rpc::ControlRefusal::Unavailable)
    }

    async fn load_adapter(
        self,
        _: tarpc::context::Context,
        _: wasabipoint_rpc::AdapterRequest,
    ) -> Result<wasabipoint_rpc::AdapterReply, wasabipoint_rpc::ControlRefusal> {
        Err(wasabipoint_rpc::ControlRefusal::Unavailable)
    }
}

/// Answers dispatches with a short stream, which never ends if the prompt contains `endless`.
#[derive(Default)]
struct FakeAgent {
    received: Mutex<Vec<u8>>,
    disconnected: Arc<tokio::sync::Notify>,
}

impl HttpHandler for FakeAgent {
    fn handle(
        &self,
        request: HttpRequest,
    ) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>> {
        Box::pin(async move {
            let body = request.into_body().read(1 << 20).await.unwrap();
            self.received.lock().unwrap().extend_from_slice(&body);
            let dispatch: DispatchRequest = decode_message(&body).unwrap();
            let (sender, body) = OutgoingBody::stream(4);
            let disconnected = Arc::clone(&self.disconnected);
            tokio::spawn(async move { stream_response(dispatch, sender, disconnected).await });
            Response::new(body)
        })
    }
}

async fn stream_response(
    dispatch: DispatchRequest,
    sender: tokio::sync::mpsc::Sender<Option<Bytes>>,
    disconnected: Arc<tokio::sync::Notify>,
) {
    let is_endless = String::from_utf8_lossy(&dispatch.body).contains("endless");
    let data = b"data: {}\n\n".to_vec();
    let byte_count = data.len() as u64;
    let head = FramePayload::Head {
        status: 200,
        headers: Vec::new(),
    };
    let end = FramePayload::End {
        byte_count,
        load: LoadReport::default(),
    };
    let last = if is_endless {
        FramePayload::Heartbeat
    } else {
        end
    };
    let mut sequence = 0;
    for payload in [head, FramePayload::Data(data), last] {
        send(&sender, &dispatch, &mut sequence, payload).await;
    }
    while is_endless && send(&sender, &dispatch, &mut sequence, FramePayload::Heartbeat).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if is_endless {
        disconnected.notify_one();
    }
    let _ = sender.send(None).await;
}

async fn send(
    sender: &tokio::sync::mpsc::Sender<Option<Bytes>>,
    dispatch: &DispatchRequest,
    sequence: &mut u64,
    payload: FramePayload,
) -> bool {
    let frame = StreamFrame {
        request_id: dispatch.request_id,
        sequence: *sequence,
        payload,
    };
    *sequence += 1;
    sender.send(Some(encode_frame(&frame))).await.is_ok()
}

fn build_view(agent: SocketAddr) -> FleetView {
    let inventory = "[inventory]\nmodels = 1\nadapters = 0\ncustomers = 1\n\
        [model small]\nversion = 1\nmemory_mib = 1\nmax_replicas = 2\n\
        max_answer_tokens = 512\n\
        [customer delta]\nrate_tokens_per_s = 1000000\nburst_tokens = 900000000\nmodels = small\n\
        routes =\npriority = 5\n";
    let mut view = FleetView::new();
    view.revision = 1;
    view.inventory = Inventory::parse("inventory", inventory).unwrap();
    view.rules = Rules::parse("rules", "[routing]\npolicy = least_loaded\n").unwrap();
    let id = KeyId::new("k1");
    view.keys.insert(
        id.clone(),
        KeyRecord {
            id,
            customer: CustomerId::new("delta"),
            digest: KeyDigester::new("secret").digest(KEY),
        },
    );
    let endpoint = EndpointView {
        id: EndpointId::new("engine-1"),
        incarnation: Incarnation(1),
        address: agent,
        failure_domain: FailureDomain::new("tanta"),
        kind: EndpointKind::Engine,
        service: ServiceName::new("none"),
        models: vec![ModelName::new("small")],
        concurrency: 4,
        is_leaving: false,
        software_version: SoftwareVersion::new("v1"),
    };
    view.endpoints.insert(endpoint.id.clone(), endpoint);
    view
}

async fn start_control(view: FleetView) -> SocketAddr {
    let mut incoming = listen_rpc("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = incoming.local_addr();
    let control = FakeControl(Arc::new(view));
    tokio::spawn(async move {
        while let Some(Ok(transport)) = incoming.next().await {
            let requests = BaseChannel::with_defaults(transport).execute(control.clone().serve());
            tokio::spawn(requests.for_each_concurrent(None, |request| request));
        }
    });
    address
}

struct TestSetup {
    entry: Arc<Entry>,
    agent: Arc<FakeAgent>,
    base_url: String,
    client: HttpClient,
}

async fn start_setup() -> TestSetup {
    let agent = Arc::new(FakeAgent::default());
    let agent_server = HttpServer::new("127.0.0.1:0".parse().unwrap()).unwrap();
    let agent_address = agent_server.local_address().unwrap();
    agent_server
        .serve(Arc::clone(&agent) as Arc<dyn HttpHandler>)
        .await
        .unwrap();
    let control_address = start_control(build_view(agent_address)).await;
    let settings = Settings::parse("entry.ini", SETTINGS, "entry", ENTRY_SETTINGS).unwrap();
    let server = HttpServer::new(settings.address("listen")).unwrap();
    let address = server.local_address().unwrap();
    let entry = Entry::start(
        EntryConfig::from_settings(&settings, address, Incarnation(1)),
        Arc::new(RpcControlLink::new(&[control_address])),
        Arc::new(HttpAgentLink::new()),
        slog::Logger::root(slog::Discard, slog::o!()),
    );
    server
        .serve(Arc::new(EntryHandler::new(Arc::clone(&entry))))
        .await
        .unwrap();
    entry.wait_until_ready().await;
    TestSetup {
        entry,
        agent,
        base_url: format!("http://{address}"),
        client: HttpClient::new(Duration::from_secs(5)),
    }
}

impl TestSetup {
    fn build_completion(&self, prompt: &str) -> Request<Bytes> {
        let body = format!(r#"{{"model":"small","prompt":"{prompt}","stream":true}}"#);
        Request::post(format!("{}/v1/completions", self.base_url))
            .header("authorization", format!("Bearer {KEY}"))
            .body(Bytes::from(body))
            .unwrap()
    }
}

/// Guards against messages that control or agents cannot decode, and against a key in the bytes
/// that an agent receives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serves_a_stream_over_connections() {
    let setup = start_setup().await;
    let timeout = Duration::from_secs(30);
    let response = setup
        .client
        .fetch(setup.build_completion("hello"), 1 << 20, timeout)
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.body(), "data: {}\n\n");
    let received = setup.agent.received.lock().unwrap().clone();
    assert!(!received.is_empty());
    assert!(
        !received
            .windows(KEY.len())
            .any(|window| window == KEY.as_bytes())
    );
    let wrong = Request::post(format!("{}/v1/completions", setup.base_url))
        .header("authorization", "Bearer wrong")
        .body(Bytes::from(vec![b'x'; 100_000]))
        .unwrap();
    let refused = setup.client.fetch(wrong, 1 << 20, timeout).await.unwrap();
    assert_eq!(refused.status(), StatusCode::UNAUTHORIZED);
    tokio::time::timeout(timeout, setup.entry.drain())
        .await
        .unwrap();
}

/// Guards against a dispatch that continues after its caller closed the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_caller_connection_ends_the_dispatch() {
    let setup = start_setup().await;
    let response = setup
        .client
        .send(setup.build_completion("endless"))
        .await
        .unwrap();
    let mut body = response.into_body();
    assert_eq!(body.next_chunk().await.unwrap().unwrap(), "data: {}\n\n");
    drop(body);
    let disconnected = setup.agent.disconnected.notified();
    tokio::time::timeout(Duration::from_secs(30), disconnected)
        .await
        .unwrap();
}

/// Guards against reading the bodies of requests without a key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn head_without_a_key_is_refused_before_its_body() {
    let setup = start_setup().await;
    let address = setup.base_url.strip_prefix("http://").unwrap();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 4000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut status_line = [0; 12];
    let reading = stream.read_exact(&mut status_line);
    tokio::time::timeout(Duration::from_secs(20), reading)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 401");
}

/// Guards against state that becomes inconsistent when several worker threads change it at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn serves_many_concurrent_callers() {
    let setup = Arc::new(start_setup().await);
    let timeout = Duration::from_secs(30);
    let callers = (0..32).map(|_| {
        let setup = Arc::clone(&setup);
        tokio::spawn(async move {
            for _ in 0..40 {
                let request = setup.build_completion("hello");
                let response = setup.client.fetch(request, 1 << 20, timeout).await.unwrap();
                assert_eq!(response.status(), StatusCode::OK, "{:?}", response.body());
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
}

/// Guards against a program that accepts invalid settings or rejects valid ones.
#[test]
fn program_checks_its_settings() {
    let folder = std::env::temp_dir();
    let file = folder.join(format!("wasabipoint-entry-{}.ini", std::process::id()));
    for (settings, code) in [
        (SETTINGS.to_owned(), 0),
        (format!("{SETTINGS}odd = 1\n"), 10),
    ] {
        std::fs::write(&file, settings).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_wasabipoint-entry"))
            .args(["--check", "--settings"])
            .arg(&file)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(code), "{output:?}");
    }
    std::fs::remove_file(&file).unwrap();
}
