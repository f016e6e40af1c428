//! Fixture: a forwarding entry process between callers and scripted endpoints.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use wasabipoint_entry::{ForwardConfig, Forwarder, Regions};
use wasabipoint_http::{ClientError, HttpClient};
use wasabipoint_kernel::{
    CallerLimits, CustomerId, Deployment, EndpointId, EntryId, FailureDomain, ForwardCustomer,
    ForwardRoute, ForwardService, Incarnation, KeyDigester, RateUnit, RouteName, RunPolicy,
    ServiceName, SoftwareVersion,
};
use wasabipoint_rpc::{EndpointKind, EndpointView, FleetView};

use super::control::{GenerousQuota, PromptLeader, StaticControl};
use crate::test_dialect::TestDialect;

const KEY_SECRET: &str = "test";

/// How an endpoint handles the next request that it has read.
pub(crate) enum ScriptStep {
    /// Sends the bytes and keeps the connection open.
    Send(String),
    /// Sends the bytes, and a second copy of them before the next response on this connection.
    SendWithLateCopy(String),
    /// Sends the bytes and closes the connection.
    SendAndClose(String),
    /// Sends the bytes and, after they were read, resets the connection.
    SendAndReset(String),
    /// Sends the first bytes, then the rest after a pause.
    SendWithPause(String, Duration, String),
    /// Sends the texts with a pause between them.
    SendInIntervals(Vec<String>, Duration),
    /// Closes the connection.
    Close,
    /// Sends the first text, then repeats the second one until the peer closes the connection, and
    /// returns the number of bytes that were written.
    Endless(String, String, oneshot::Sender<usize>),
    /// Sends nothing, and signals when the peer closes the connection.
    StaySilent(oneshot::Sender<()>),
}

/// An endpoint that follows a script and records the request heads that it reads.
pub(crate) struct Endpoint {
    address: SocketAddr,
    pub(crate) request_heads: Arc<Mutex<Vec<String>>>,
}

impl Endpoint {
    pub(crate) async fn start(steps: Vec<ScriptStep>) -> Self {
        Self::start_sharing(&Arc::new(Mutex::new(VecDeque::from(steps)))).await
    }

    /// Starts an endpoint that takes its steps from a script that other endpoints may share.
    pub(crate) async fn start_sharing(steps: &Arc<Mutex<VecDeque<ScriptStep>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let request_heads = Arc::new(Mutex::new(Vec::new()));
        let steps = Arc::clone(steps);
        let recorded_heads = Arc::clone(&request_heads);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(run_script(
                    stream,
                    Arc::clone(&steps),
                    Arc::clone(&recorded_heads),
                ));
            }
        });
        Self {
            address,
            request_heads,
        }
    }

    pub(crate) fn request_count(&self) -> usize {
        self.request_heads.lock().unwrap().len()
    }
}

async fn run_script(
    mut stream: TcpStream,
    steps: Arc<Mutex<VecDeque<ScriptStep>>>,
    request_heads: Arc<Mutex<Vec<String>>>,
) {
    let mut received = Vec::new();
    let mut late_copy: Option<String> = None;
    loop {
        while !received.windows(4).any(|end| end == b"\r\n\r\n") {
            let mut buffer = [0; 4_096];
            match stream.read(&mut buffer).await {
                Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
                _ => return,
            }
        }
        request_heads
            .lock()
            .unwrap()
            .push(String::from_utf8_lossy(&received).into_owned());
        received.clear();
        if let Some(copy) = late_copy.take() {
            stream.write_all(copy.as_bytes()).await.unwrap();
        }
        let step = steps.lock().unwrap().pop_front().unwrap();
        match step {
            ScriptStep::Send(text) => stream.write_all(text.as_bytes()).await.unwrap(),
            ScriptStep::SendWithLateCopy(text) => {
                stream.write_all(text.as_bytes()).await.unwrap();
                late_copy = Some(text);
            }
            ScriptStep::SendWithPause(first, pause, rest) => {
                stream.write_all(first.as_bytes()).await.unwrap();
                tokio::time::sleep(pause).await;
                stream.write_all(rest.as_bytes()).await.unwrap();
            }
            ScriptStep::SendInIntervals(texts, interval) => {
                for text in texts {
                    stream.write_all(text.as_bytes()).await.unwrap();
                    tokio::time::sleep(interval).await;
                }
            }
            ScriptStep::SendAndClose(text) => {
                stream.write_all(text.as_bytes()).await.unwrap();
                return;
            }
            ScriptStep::SendAndReset(text) => {
                stream.write_all(text.as_bytes()).await.unwrap();
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().unwrap();
                return;
            }
            ScriptStep::Endless(first, repeated, closed) => {
                let mut written = first.len();
                let mut next = stream.write_all(first.as_bytes()).await;
                while next.is_ok() {
                    written += repeated.len();
                    next = stream.write_all(repeated.as_bytes()).await;
                }
                let _ = closed.send(written);
                return;
            }
            ScriptStep::Close => return,
            ScriptStep::StaySilent(closed) => {
                let mut buffer = [0; 16];
                let _ = stream.read(&mut buffer).await;
                let _ = closed.send(());
                return;
            }
        }
    }
}

pub(crate) fn full_response(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

pub(crate) fn not_run_response(id: &str) -> String {
    format!("HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n")
}

pub(crate) fn chunked_response(id: &str, events: &[&str], is_ended: bool) -> String {
    let mut text = format!("HTTP/1.1 200 OK\r\nid: {id}\r\ntransfer-encoding: chunked\r\n\r\n");
    for event in events {
        write!(text, "{:x}\r\n{event}\r\n", event.len()).unwrap();
    }
    if is_ended {
        text.push_str("0\r\n\r\n");
    }
    text
}

fn route(name: &str, run_policy: RunPolicy) -> ForwardRoute {
    ForwardRoute {
        name: RouteName::new(name),
        host: "app.example".to_owned(),
        path_prefix: format!("/{name}/"),
        run_policy,
        timeout_ms: 5_000,
        latency_objective_ms: 300,
        max_gap_ms: 100,
        priority: 0,
        services: vec![(ServiceName::new("app"), 1)],
        max_attempts: 2,
        is_public: true,
        is_cacheable: false,
        home_regions: BTreeSet::new(),
    }
}

fn deployment() -> Deployment {
    let mut keyed = route("keyed", RunPolicy::Idempotent);
    keyed.is_public = false;
    let mut keyed_stream = route("keyed-stream", RunPolicy::ResumableStream);
    keyed_stream.is_public = false;
    let mut thrice = route("thrice", RunPolicy::ResumableStream);
    thrice.max_attempts = 3;
    let service = ForwardService {
        name: ServiceName::new("app"),
        max_connections: 10,
        engine: None,
        cold_limit: None,
    };
    let unlimited = ForwardCustomer {
        id: CustomerId::new("harbour"),
        keys: vec![KeyDigester::new(KEY_SECRET).digest("right")],
        priority: None,
        unit: RateUnit::Requests,
        rate_per_s: None,
        burst: 0,
        default_cost: 1,
        home_regions: BTreeSet::new(),
    };
    let limited = ForwardCustomer {
        id: CustomerId::new("quarry"),
        keys: vec![KeyDigester::new(KEY_SECRET).digest("limited")],
        rate_per_s: Some(100),
        burst: 100,
        ..unlimited.clone()
    };
    Deployment {
        version: 3,
        routes: vec![
            route("once", RunPolicy::AtMostOnce),
            route("safe", RunPolicy::Idempotent),
            route("stream", RunPolicy::Stream),
            route("resumable", RunPolicy::ResumableStream),
            keyed,
            keyed_stream,
            thrice,
        ],
        services: BTreeMap::from([(service.name.clone(), service)]),
        customers: [unlimited, limited]
            .map(|customer| (customer.id.clone(), customer))
            .into(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

pub(crate) fn fleet_view(endpoints: &[&Endpoint]) -> FleetView {
    let mut fleet_view = FleetView::new();
    fleet_view.revision = 1;
    fleet_view.deployment = Some(Box::new(deployment()));
    let base = (ServiceName::new("app"), SoftwareVersion::new("v1"));
    fleet_view.base_versions = BTreeMap::from([base]);
    for (index, endpoint) in endpoints.iter().enumerate() {
        let id = EndpointId::new(format!("endpoint-{index}"));
        let listed = EndpointView {
            id: id.clone(),
            incarnation: Incarnation(1),
            address: endpoint.address,
            // The first endpoint shares the entry's failure domain, so it is selected first.
            failure_domain: FailureDomain::new(if index == 0 { "here" } else { "far" }),
            kind: EndpointKind::Service,
            service: ServiceName::new("app"),
            models: Vec::new(),
            concurrency: 8,
            is_leaving: false,
            software_version: SoftwareVersion::new("v1"),
        };
        fleet_view.endpoints.insert(id, listed);
    }
    fleet_view
}

/// A fleet view whose endpoints have the given software versions.
pub(crate) fn fleet_view_of_versions(endpoints: &[(&Endpoint, &str)]) -> FleetView {
    let plain: Vec<&Endpoint> = endpoints.iter().map(|(endpoint, _)| *endpoint).collect();
    let mut fleet_view = fleet_view(&plain);
    for (listed, (_, version)) in fleet_view.endpoints.values_mut().zip(endpoints) {
        listed.software_version = SoftwareVersion::new(*version);
    }
    fleet_view
}

/// A forwarding entry process and a client for it.
pub(crate) struct Fixture {
    pub(crate) address: SocketAddr,
    pub(crate) status_address: SocketAddr,
    pub(crate) client: HttpClient,
    pub(crate) stop_sender: Option<oneshot::Sender<()>>,
}

impl Fixture {
    pub(crate) async fn start(fleet_view: Option<FleetView>) -> Self {
        Self::start_logged(fleet_view, Logger::root(Discard, o!())).await
    }

    pub(crate) async fn start_logged(fleet_view: Option<FleetView>, logger: Logger) -> Self {
        let control = StaticControl {
            fleet_view,
            ..StaticControl::default()
        };
        Self::start_with(control, logger).await
    }

    /// Starts an entry process that reports to a leader.
    pub(crate) async fn start_with_leader(
        fleet_view: FleetView,
        leader: &Arc<PromptLeader>,
    ) -> Self {
        let control = StaticControl {
            fleet_view: Some(fleet_view),
            leader: Some(Arc::clone(leader)),
            ..StaticControl::default()
        };
        Self::start_with(control, Logger::root(Discard, o!())).await
    }

    /// Starts an entry process whose customers get all tokens that they need.
    pub(crate) async fn start_with_quota(
        fleet_view: FleetView,
        quota: &Arc<GenerousQuota>,
    ) -> Self {
        let control = StaticControl {
            fleet_view: Some(fleet_view),
            quota: Some(Arc::clone(quota)),
            ..StaticControl::default()
        };
        Self::start_with(control, Logger::root(Discard, o!())).await
    }

    pub(crate) async fn start_with(control: StaticControl, logger: Logger) -> Self {
        Self::start_hedged(control, 0, logger).await
    }

    /// Starts an entry process that hedges up to a share of the requests.
    pub(crate) async fn start_hedged(
        control: StaticControl,
        hedge_percent: u32,
        logger: Logger,
    ) -> Self {
        let fleet_view = &control.fleet_view;
        let is_ready = fleet_view.is_some();
        let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let status = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let config = ForwardConfig {
            entry: EntryId::new("entry-1"),
            listen: callers.local_addr().unwrap(),
            status_listen: status.local_addr().unwrap(),
            ready_path: "/ready",
            failure_domain: FailureDomain::new("here"),
            regions: Regions::default(),
            key_secret: KEY_SECRET.to_owned(),
            grace: Duration::from_secs(2),
            has_token_queue: control.scarce.is_some(),
            hedge_percent,
        };
        let (address, status_listen_address) = (config.listen, config.status_listen);
        let forwarder = Arc::new(Forwarder::new(
            config,
            Incarnation(1),
            Arc::new(TestDialect),
            Arc::new(control),
            logger,
        ));
        let (stop_sender, stopped) = oneshot::channel::<()>();
        tokio::spawn(async move {
            let stopped = async {
                let _ = stopped.await;
            };
            forwarder.run_on(callers, status, stopped).await;
        });
        let fixture = Self {
            address,
            status_address: status_listen_address,
            client: HttpClient::new(Duration::from_secs(1)),
            stop_sender: Some(stop_sender),
        };
        if is_ready {
            while fixture.ready_status().await != 200 {
                tokio::task::yield_now().await;
            }
        }
        fixture
    }

    pub(crate) async fn ready_status(&self) -> u16 {
        let uri = format!("http://{}/ready", self.status_address);
        let request = Request::get(uri).body(Bytes::new()).unwrap();
        let limit = Duration::from_secs(5);
        let fetched = self.client.fetch(request, 1_024, limit).await;
        fetched.unwrap().status().as_u16()
    }

    pub(crate) async fn metrics(&self) -> String {
        let uri = format!("http://{}/metrics", self.status_address);
        let request = Request::get(uri).body(Bytes::new()).unwrap();
        let limit = Duration::from_secs(5);
        let fetched = self.client.fetch(request, 1_024 * 1_024, limit).await;
        String::from_utf8_lossy(fetched.unwrap().body()).into_owned()
    }

    pub(crate) fn build_request(&self, route: &str, id: &str) -> Request<Bytes> {
        Request::post(format!("http://{}/{route}/x", self.address))
            .header("host", "app.example")
            .header("id", id)
            .body(Bytes::from_static(b"body"))
            .unwrap()
    }

    pub(crate) async fn send_request(
        &self,
        route: &str,
        id: &str,
    ) -> Result<http::Response<Bytes>, ClientError> {
        let request = self.build_request(route, id);
        let limit = Duration::from_secs(10);
        self.client.fetch(request, 1_024 * 1_024, limit).await
    }
}
