//! An in-memory control link, and helpers that dispatch requests and read their frames.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use wasabipoint_agent::{Agent, AgentConfig, ControlLink, Endpoint, HttpEndpoint};
use wasabipoint_fakes::{EngineOptions, FakeEngine, FakeService, ServiceOptions};
use wasabipoint_kernel::{
    AGENT_SETTINGS, AdapterName, EndpointId, ErrorKind, FencingToken, Incarnation, Metrics,
    ModelName, RequestId, RunState, Settings,
};
use wasabipoint_rpc::{
    AgentDirective, AgentReport, ControlError, DispatchRequest, FrameDecoder, FramePayload, Grant,
    LoadReport, ReplicaState,
};

/// Time after which a test that waits for an event fails. It ends hanging tests and does not test
/// the machine's speed.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(50);

pub(crate) const INCARNATION: Incarnation = Incarnation(7);

#[derive(Debug)]
pub(crate) struct TestControl {
    directive: Mutex<AgentDirective>,
    issued_grants: Mutex<BTreeSet<(String, u64)>>,
    reports: Mutex<Vec<AgentReport>>,
    // Incarnations whose report is in flight.
    in_flight: Mutex<Vec<Incarnation>>,
    reported: Notify,
}

impl TestControl {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            directive: Mutex::new(AgentDirective {
                grants: Vec::new(),
                adapters_in_transit: 2,
                adapters: Vec::new(),
                next_report_ms: 20,
            }),
            issued_grants: Mutex::default(),
            reports: Mutex::default(),
            in_flight: Mutex::default(),
            reported: Notify::new(),
        })
    }

    pub(crate) fn update_directive(&self, update: impl FnOnce(&mut AgentDirective)) {
        update(&mut self.directive.lock().unwrap());
    }

    /// Returns the models and tokens of all grants that were ever issued.
    pub(crate) fn issued_grants(&self) -> BTreeSet<(String, u64)> {
        self.issued_grants.lock().unwrap().clone()
    }

    /// Returns a token larger than all issued ones.
    pub(crate) fn next_token(&self) -> u64 {
        let issued_grants = self.issued_grants.lock().unwrap();
        issued_grants
            .iter()
            .map(|(_, token)| token + 1)
            .max()
            .unwrap_or(1)
    }

    /// Gives grants whose load failed a new token, as control does. The agent never retries a load
    /// under a token whose load failed.
    fn renew_failed_grants(&self, report: &AgentReport) {
        let mut directive = self.directive.lock().unwrap();
        for grant in &mut directive.grants {
            let has_failed = report.replicas.iter().any(|replica| {
                replica.state == ReplicaState::Failed
                    && replica.fencing_token == grant.fencing_token
            });
            if has_failed && !grant.is_revoked {
                let token = self.next_token();
                grant.fencing_token = FencingToken(token);
                let model = grant.model.to_string();
                self.issued_grants.lock().unwrap().insert((model, token));
            }
        }
    }

    /// Adds a grant that replaces earlier ones for the model.
    pub(crate) fn grant(&self, model: &str, fencing_token: u64, memory_mib: u64) {
        let issued_grant = (model.to_owned(), fencing_token);
        self.issued_grants.lock().unwrap().insert(issued_grant);
        self.update_directive(|directive| {
            directive
                .grants
                .retain(|grant| grant.model.as_str() != model);
            directive.grants.push(Grant {
                model: ModelName::new(model),
                version: 1,
                endpoint: EndpointId::new("endpoint-1"),
                fencing_token: FencingToken(fencing_token),
                memory_mib,
                is_revoked: false,
            });
        });
    }

    pub(crate) fn revoke(&self, model: &str) {
        self.update_directive(|directive| {
            for grant in &mut directive.grants {
                grant.is_revoked |= grant.model.as_str() == model;
            }
        });
    }

    pub(crate) fn reports(&self) -> Vec<AgentReport> {
        self.reports.lock().unwrap().clone()
    }

    /// Waits for a report that arrives after the call and meets a condition.
    pub(crate) async fn wait_for_report(&self, what: &str, is_met: impl Fn(&AgentReport) -> bool) {
        let mut seen = self.reports().len();
        let wait = async {
            loop {
                let reported = self.reported.notified();
                tokio::pin!(reported);
                reported.as_mut().enable();
                let reports = self.reports();
                if reports[seen..].iter().any(&is_met) {
                    return;
                }
                seen = reports.len();
                reported.await;
            }
        };
        let result = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
        let last = self.reports().pop();
        assert!(result.is_ok(), "no report with {what}; last {last:?}");
    }

    pub(crate) async fn wait_for_loaded(&self, model: &str) {
        self.wait_for_report(&format!("{model} loaded"), |report| {
            find_replica_state(report, model) == Some(ReplicaState::Loaded)
        })
        .await;
    }

    pub(crate) async fn wait_for_absent(&self, model: &str) {
        self.wait_for_report(&format!("{model} absent"), |report| {
            report.has_engine_state && find_replica_state(report, model).is_none()
        })
        .await;
    }
}

pub(crate) fn find_replica_state(report: &AgentReport, model: &str) -> Option<ReplicaState> {
    let mut replicas = report.replicas.iter();
    replicas
        .find(|replica| replica.model.as_str() == model)
        .map(|replica| replica.state)
}

/// Marks a report as in flight until it is answered or its agent ends.
struct InFlightReport<'a> {
    control: &'a TestControl,
    incarnation: Incarnation,
}

impl<'a> InFlightReport<'a> {
    fn new(control: &'a TestControl, incarnation: Incarnation) -> Self {
        let mut in_flight = control.in_flight.lock().unwrap();
        let has_other = in_flight.contains(&incarnation);
        in_flight.push(incarnation);
        drop(in_flight);
        assert!(!has_other, "an agent has more than one report in flight");
        Self {
            control,
            incarnation,
        }
    }
}

impl Drop for InFlightReport<'_> {
    fn drop(&mut self) {
        let mut in_flight = self.control.in_flight.lock().unwrap();
        in_flight.retain(|incarnation| *incarnation != self.incarnation);
    }
}

impl ControlLink for TestControl {
    fn report(&self, report: AgentReport) -> BoxFuture<'_, Result<AgentDirective, ControlError>> {
        Box::pin(async move {
            let _in_flight = InFlightReport::new(self, report.incarnation);
            self.renew_failed_grants(&report);
            self.reports.lock().unwrap().push(report);
            tokio::task::yield_now().await;
            self.reported.notify_waiters();
            Ok(self.directive.lock().unwrap().clone())
        })
    }
}

pub(crate) fn agent_config(kind: &str, endpoint_address: &str, extra: &str) -> AgentConfig {
    let text = format!(
        "[agent]\nendpoint = endpoint-1\nvm = vm-1\nfailure_domain = Tanta\nkind = {kind}\n\
         endpoint_address = {endpoint_address}\nlisten = 127.0.0.1:0\ncontrol = 127.0.0.1:1\n\
         memory_mib = 1200\nkv_reserve_mib = 200\naccelerators = 8\npredecessor_wait_ms = 50\n{extra}"
    );
    AgentConfig::new(&Settings::parse("test", &text, "agent", AGENT_SETTINGS).unwrap())
}

pub(crate) fn start_agent(
    config: AgentConfig,
    incarnation: Incarnation,
    endpoint: Arc<dyn Endpoint>,
    control: &Arc<TestControl>,
) -> Arc<Agent> {
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let control: Arc<dyn ControlLink> = Arc::<TestControl>::clone(control);
    let metrics = Metrics::new("wasabipoint-agent");
    Arc::new(Agent::start(
        config,
        incarnation,
        endpoint,
        control,
        metrics,
        logger,
    ))
}

pub(crate) struct EngineSetup {
    pub(crate) engine: FakeEngine,
    pub(crate) control: Arc<TestControl>,
    pub(crate) agent: Arc<Agent>,
}

/// Starts an engine and its agent, and waits until model `m` of 400 MiB is loaded.
pub(crate) async fn start_engine(options: EngineOptions, extra: &str) -> EngineSetup {
    let engine = FakeEngine::start(options).await.unwrap();
    let control = TestControl::new();
    control.grant("m", 1, 400);
    let config = agent_config("engine", &engine.address().to_string(), extra);
    let endpoint = Arc::new(HttpEndpoint::new(engine.address()));
    let agent = start_agent(config, INCARNATION, endpoint, &control);
    control.wait_for_loaded("m").await;
    EngineSetup {
        engine,
        control,
        agent,
    }
}

pub(crate) struct ServiceSetup {
    pub(crate) service: FakeService,
    pub(crate) agent: Arc<Agent>,
}

pub(crate) async fn start_service(options: ServiceOptions) -> ServiceSetup {
    let service = FakeService::start(options).await.unwrap();
    let control = TestControl::new();
    let config = agent_config("service", &service.address().to_string(), "");
    let endpoint = Arc::new(HttpEndpoint::new(service.address()));
    let agent = start_agent(config, INCARNATION, endpoint, &control);
    ServiceSetup { service, agent }
}

/// Builds a completion request for model `m`.
pub(crate) fn completion_request(prompt: &str, body: &Value) -> DispatchRequest {
    let mut full_body = json!({"prompt": prompt, "max_tokens": 8, "stream": true});
    full_body
        .as_object_mut()
        .unwrap()
        .extend(body.as_object().unwrap().clone());
    DispatchRequest {
        request_id: RequestId::random(),
        incarnation: INCARNATION,
        model: Some(ModelName::new("m")),
        adapter: None,
        remaining_ms: 60_000,
        is_idempotent: true,
        priority: 5,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: full_body.to_string().into_bytes(),
        known_cache_sequence: 0,
    }
}

pub(crate) fn with_adapter(mut request: DispatchRequest, adapter: &str) -> DispatchRequest {
    request.adapter = Some(AdapterName::new(adapter));
    request
}

/// Builds a call of a plain service that is not idempotent.
pub(crate) fn booking_request() -> DispatchRequest {
    DispatchRequest {
        model: None,
        is_idempotent: false,
        path: "/bookings".to_owned(),
        ..completion_request("", &json!({}))
    }
}

#[derive(Debug, Default)]
pub(crate) struct ReceivedResponse {
    pub(crate) head: Option<(u16, Vec<(String, String)>)>,
    pub(crate) data: Vec<u8>,
    pub(crate) heartbeats: usize,
    pub(crate) end: Option<LoadReport>,
    pub(crate) failed: Option<(ErrorKind, RunState)>,
}

impl ReceivedResponse {
    /// Returns the concatenated text of a complete stream.
    pub(crate) fn text(&self) -> String {
        assert!(self.end.is_some(), "the response is complete: {self:?}");
        let stream = String::from_utf8(self.data.clone()).unwrap();
        let chunks = stream
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        chunks
            .filter(|chunk| *chunk != "[DONE]")
            .filter_map(|chunk| {
                let chunk: Value = serde_json::from_str(chunk).unwrap();
                chunk["choices"][0]["text"].as_str().map(str::to_owned)
            })
            .collect()
    }
}

/// Reads all frames and checks request ids, sequence numbers and the byte count.
pub(crate) async fn receive_response(
    id: RequestId,
    mut frames: mpsc::Receiver<Option<Bytes>>,
) -> ReceivedResponse {
    let mut received = ReceivedResponse::default();
    let mut decoder = FrameDecoder::new();
    let mut sequence = 0;
    let read = async {
        while let Some(bytes) = frames.recv().await.expect("the stream ends normally") {
            decoder.push(&bytes);
            while let Some(frame) = decoder.next_frame().unwrap() {
                assert_eq!((frame.request_id, frame.sequence), (id, sequence));
                assert!(received.end.is_none() && received.failed.is_none());
                sequence += 1;
                match frame.payload {
                    FramePayload::Head { status, headers } => {
                        received.head = Some((status, headers));
                    }
                    FramePayload::Data(bytes) => received.data.extend_from_slice(&bytes),
                    FramePayload::Heartbeat => received.heartbeats += 1,
                    FramePayload::End { byte_count, load } => {
                        assert_eq!(byte_count, received.data.len() as u64);
                        received.end = Some(load);
                    }
                    FramePayload::Failed {
                        kind, run_state, ..
                    } => received.failed = Some((kind, run_state)),
                }
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, read)
        .await
        .expect("the response ends");
    received
}

pub(crate) async fn send_request(agent: &Agent, request: DispatchRequest) -> ReceivedResponse {
    let id = request.request_id;
    receive_response(id, agent.dispatch(request)).await
}

/// Polls until a condition holds.
pub(crate) async fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let wait = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(result.is_ok(), "timed out waiting until {what}");
}

/// Returns the seeds of a randomised test: 1 to `count`, or only the one in `WASABIPOINT_SEED`.
pub(crate) fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("WASABIPOINT_SEED") {
        Ok(seed) => vec![seed.parse().unwrap()],
        Err(_) => (1..=count).collect(),
    }
}
