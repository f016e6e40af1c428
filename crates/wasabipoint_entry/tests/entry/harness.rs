//! Runs an entry process against a fake control and fake agents, with helpers to call it.

use std::fmt::{Arguments, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{HeaderMap, Request};
use serde_json::{Value, json};
use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer, o};
use wasabipoint_entry::{AgentLink, ControlLink, Entry, EntryConfig};
use wasabipoint_http::{BodyError, HttpResponse, OutgoingBody};
use wasabipoint_kernel::{
    CustomerId, EndpointId, EntryId, FailureDomain, Incarnation, Inventory, KeyDigester, KeyId,
    ModelName, Rules, ServiceName, SoftwareVersion,
};
use wasabipoint_rpc::{EndpointKind, EndpointView, FleetView, KeyRecord};

use crate::fake_agents::FakeAgents;
use crate::fake_control::FakeControl;

pub(crate) const KEY_SECRET: &str = "digest-secret";
pub(crate) const OPERATOR_TOKEN: &str = "operator-token";
pub(crate) const KEY: &str = "k-delta-7f3a9c";
pub(crate) const OTHER_KEY: &str = "k-other-55e1b2";

const INVENTORY: &str = include_str!("inventory.ini");
const RULES: &str = include_str!("rules.ini");

/// Collects all log records as lines of text.
#[derive(Clone, Default)]
pub(crate) struct CapturedLog(Arc<Mutex<String>>);

impl CapturedLog {
    pub(crate) fn text(&self) -> String {
        self.0.lock().unwrap().clone()
    }
}

struct LineWriter<'a>(&'a mut String);

impl Serializer for LineWriter<'_> {
    fn emit_arguments(&mut self, key: slog::Key, value: &Arguments<'_>) -> slog::Result {
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

impl Drain for CapturedLog {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut text = self.0.lock().unwrap();
        let _ = write!(text, "{}", record.msg());
        let _ = record.kv().serialize(record, &mut LineWriter(&mut text));
        let _ = values.serialize(record, &mut LineWriter(&mut text));
        text.push('\n');
        Ok(())
    }
}

pub(crate) struct Harness {
    pub(crate) entry: Arc<Entry>,
    pub(crate) control: Arc<FakeControl>,
    pub(crate) agents: Arc<FakeAgents>,
    pub(crate) log: CapturedLog,
}

impl Harness {
    pub(crate) async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    pub(crate) async fn start_with(edit_view: impl FnOnce(&mut FleetView)) -> Self {
        let mut view = build_view();
        edit_view(&mut view);
        let control = Arc::new(FakeControl::new(view, 1));
        Self::start_entry(&control, &Arc::new(FakeAgents::default()), "entry-1").await
    }

    /// Starts an entry process that shares control and agents with others, and waits until it is
    /// ready.
    pub(crate) async fn start_entry(
        control: &Arc<FakeControl>,
        agents: &Arc<FakeAgents>,
        name: &str,
    ) -> Self {
        let harness = Self::start_entry_unready(control, agents, name);
        harness.entry.wait_until_ready().await;
        // Lets the scheduler apply the first fleet view.
        tokio::task::yield_now().await;
        harness
    }

    pub(crate) fn start_entry_unready(
        control: &Arc<FakeControl>,
        agents: &Arc<FakeAgents>,
        name: &str,
    ) -> Self {
        let config = EntryConfig {
            entry: EntryId::new(name),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".parse().unwrap(),
            failure_domain: FailureDomain::new("tanta"),
            key_secret: KEY_SECRET.to_owned(),
            operator_token: OPERATOR_TOKEN.to_owned(),
            max_body_bytes: 4_096,
            freshness_bound_ms: 5_000,
            silence_bound_ms: 2_000,
            drain_grace_ms: 1_000,
        };
        let log = CapturedLog::default();
        let entry = Entry::start(
            config,
            Arc::clone(control) as Arc<dyn ControlLink>,
            Arc::clone(agents) as Arc<dyn AgentLink>,
            Logger::root(log.clone(), o!()),
        );
        Self {
            entry,
            control: Arc::clone(control),
            agents: Arc::clone(agents),
            log,
        }
    }

    pub(crate) async fn send(&self, request: Request<Vec<u8>>) -> ReceivedResponse {
        read_response(self.entry.handle_request(with_body(request)).await).await
    }

    /// Sends a text completion of customer `delta`.
    pub(crate) async fn complete(&self, prompt: &str, is_streamed: bool) -> ReceivedResponse {
        self.send(completion(KEY, prompt, is_streamed)).await
    }

    pub(crate) async fn metrics(&self) -> String {
        let request = Request::get("/metrics").body(Vec::new()).unwrap();
        self.send(request).await.text()
    }
}

pub(crate) fn with_body(request: Request<Vec<u8>>) -> Request<Result<Bytes, BodyError>> {
    request.map(|body| Ok(Bytes::from(body)))
}

pub(crate) fn completion(key: &str, prompt: &str, is_streamed: bool) -> Request<Vec<u8>> {
    let body = json!({"model": "small", "prompt": prompt, "max_tokens": 20, "stream": is_streamed});
    Request::post("/v1/completions")
        .header("authorization", format!("Bearer {key}"))
        .body(body.to_string().into_bytes())
        .unwrap()
}

/// A service call that is not idempotent, with an optional idempotency key.
pub(crate) fn booking(idempotency_key: Option<&str>) -> Request<Vec<u8>> {
    let mut builder = Request::post("/services/booking/pickup?day=3")
        .header("authorization", format!("Bearer {KEY}"));
    if let Some(key) = idempotency_key {
        builder = builder.header("idempotency-key", key);
    }
    builder.body(b"bay 4".to_vec()).unwrap()
}

/// A response whose body was read completely, or until it broke off.
pub(crate) struct ReceivedResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// Whether the body ended without breaking off.
    pub(crate) is_complete: bool,
}

impl ReceivedResponse {
    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.clone()).unwrap()
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub(crate) fn kind(&self) -> String {
        self.json()["error"]["kind"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub(crate) fn run(&self) -> String {
        self.json()["error"]["run"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

pub(crate) async fn read_response(response: HttpResponse) -> ReceivedResponse {
    let (parts, body) = response.into_parts();
    let mut collected = ReceivedResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: Vec::new(),
        is_complete: true,
    };
    match body {
        OutgoingBody::Full(bytes) => collected.body.extend(bytes.unwrap_or_default()),
        OutgoingBody::Stream(mut receiver) => loop {
            match receiver.recv().await {
                Some(Some(bytes)) => collected.body.extend(bytes),
                Some(None) => break,
                None => {
                    collected.is_complete = false;
                    break;
                }
            }
        },
        OutgoingBody::Ended => {}
    }
    collected
}

pub(crate) fn engine(name: &str, port: u16, concurrency: u32) -> EndpointView {
    EndpointView {
        id: EndpointId::new(name),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        failure_domain: FailureDomain::new("tanta"),
        kind: EndpointKind::Engine,
        service: ServiceName::new("none"),
        models: vec![ModelName::new("small")],
        concurrency,
        is_leaving: false,
        software_version: SoftwareVersion::new("v1"),
    }
}

fn service(name: &str, port: u16) -> EndpointView {
    EndpointView {
        kind: EndpointKind::Service,
        service: ServiceName::new("booking"),
        models: Vec::new(),
        ..engine(name, port, 8)
    }
}

fn build_view() -> FleetView {
    let digester = KeyDigester::new(KEY_SECRET);
    let mut view = FleetView::new();
    view.revision = 1;
    view.inventory = Inventory::parse("inventory.ini", INVENTORY).unwrap();
    view.rules = Rules::parse("rules.ini", RULES).unwrap();
    for (id, customer, key) in [("k1", "delta", KEY), ("k2", "other", OTHER_KEY)] {
        let record = KeyRecord {
            id: KeyId::new(id),
            customer: CustomerId::new(customer),
            digest: digester.digest(key),
        };
        view.keys.insert(record.id.clone(), record);
    }
    for endpoint in [
        engine("engine-1", 11, 4),
        engine("engine-2", 12, 4),
        service("desk-1", 21),
        service("desk-2", 22),
    ] {
        view.endpoints.insert(endpoint.id.clone(), endpoint);
    }
    view
}
