//! Forwarding over real connections: callers, and endpoints that fail on demand, on loopback.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, Request, request, response};
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use wasabipoint_entry::{
    ControlLink, ForwardConfig, ForwardDialect, ForwardFacts, Forwarder, RequestFacts,
    ResponseFacts,
};
use wasabipoint_http::{ClientError, HttpClient};
use wasabipoint_kernel::{
    CallerLimits, CustomerId, Deployment, EndpointId, EntryId, FailureDomain, ForwardCustomer,
    ForwardRoute, ForwardService, Incarnation, KeyDigester, RateUnit, RouteName, RunPolicy,
    ServiceName,
};
use wasabipoint_rpc::{
    ClaimOutcome, ClaimRequest, ControlError, EndpointKind, EndpointView, EntryDirective,
    EntryReport, FleetUpdate, FleetView, QuotaExchange, QuotaGrants, WatchReply, WatchRequest,
};

const SECRET: &str = "test";

/// Names on the wire as the tests use them.
struct TestDialect;

impl ForwardDialect for TestDialect {
    fn read_request(&self, head: &request::Parts) -> Option<RequestFacts> {
        let text = |name: &str| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
        Some(RequestFacts {
            request_id: text("id")?,
            key: text("key"),
            ..RequestFacts::default()
        })
    }

    fn write_request(&self, headers: &mut HeaderMap, facts: &ForwardFacts<'_>) {
        headers.remove("key");
        if let Some(id) = facts.last_event_id {
            headers.insert("last-event-id", id.into());
        }
    }

    fn read_response(&self, head: &response::Parts, _: &EndpointId) -> ResponseFacts {
        let text = |name: &str| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
        ResponseFacts {
            request_id: text("id"),
            is_not_run: text("not-run").is_some(),
            is_signed: true,
            ..ResponseFacts::default()
        }
    }
}

/// Control that holds one view.
struct StillControl {
    view: Option<FleetView>,
}

impl ControlLink for StillControl {
    fn watch(&self, request: WatchRequest) -> BoxFuture<'_, Result<WatchReply, ControlError>> {
        Box::pin(async move {
            let Some(view) = &self.view else {
                return Err(ControlError::Unavailable);
            };
            if request.known_revision == view.revision {
                tokio::time::sleep(Duration::from_millis(request.wait_ms)).await;
                return Ok(WatchReply {
                    revision: view.revision,
                    update: FleetUpdate::Delta(Vec::new()),
                });
            }
            Ok(WatchReply {
                revision: view.revision,
                update: FleetUpdate::Snapshot(Box::new(view.clone())),
            })
        })
    }

    fn report(&self, _: EntryReport) -> BoxFuture<'_, Result<EntryDirective, ControlError>> {
        Box::pin(async { Err(ControlError::Unavailable) })
    }

    fn exchange_quota(&self, _: QuotaExchange) -> BoxFuture<'_, Result<QuotaGrants, ControlError>> {
        Box::pin(async { Err(ControlError::Unavailable) })
    }

    fn claim(&self, _: ClaimRequest) -> BoxFuture<'_, Result<ClaimOutcome, ControlError>> {
        Box::pin(async { Err(ControlError::Unavailable) })
    }
}

/// What an endpoint does with the next request that it has read.
enum Step {
    /// Sends these bytes and keeps the connection.
    Send(String),
    /// Sends these bytes and closes the connection.
    SendAndClose(String),
    /// Closes the connection.
    Close,
    /// Says nothing, and tells when the connection is closed by the other side.
    Silence(oneshot::Sender<()>),
}

/// An endpoint that follows a script and records the requests that it read.
struct Endpoint {
    address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
}

impl Endpoint {
    async fn start(steps: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let heads = Arc::new(Mutex::new(Vec::new()));
        let steps = Arc::new(Mutex::new(VecDeque::from(steps)));
        let seen = Arc::clone(&heads);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_steps(stream, Arc::clone(&steps), Arc::clone(&seen)));
            }
        });
        Self { address, heads }
    }

    fn arrivals(&self) -> usize {
        self.heads.lock().unwrap().len()
    }
}

async fn serve_steps(
    mut stream: TcpStream,
    steps: Arc<Mutex<VecDeque<Step>>>,
    heads: Arc<Mutex<Vec<String>>>,
) {
    let mut read = Vec::new();
    loop {
        while !read.windows(4).any(|end| end == b"\r\n\r\n") {
            let mut buffer = [0; 4_096];
            match stream.read(&mut buffer).await {
                Ok(count) if count > 0 => read.extend_from_slice(&buffer[..count]),
                _ => return,
            }
        }
        heads
            .lock()
            .unwrap()
            .push(String::from_utf8_lossy(&read).into_owned());
        read.clear();
        let step = steps.lock().unwrap().pop_front().unwrap();
        match step {
            Step::Send(text) => stream.write_all(text.as_bytes()).await.unwrap(),
            Step::SendAndClose(text) => {
                stream.write_all(text.as_bytes()).await.unwrap();
                return;
            }
            Step::Close => return,
            Step::Silence(closed) => {
                let mut buffer = [0; 16];
                let _ = stream.read(&mut buffer).await;
                let _ = closed.send(());
                return;
            }
        }
    }
}

fn whole(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn not_run(id: &str) -> String {
    format!("HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n")
}

fn chunks(id: &str, events: &[&str], is_ended: bool) -> String {
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
        objective_ms: 300,
        max_gap_ms: 100,
        priority: 0,
        services: vec![(ServiceName::new("app"), 1)],
        max_attempts: 2,
        is_open: true,
        is_cacheable: false,
    }
}

fn deployment() -> Deployment {
    let mut keyed = route("keyed", RunPolicy::Idempotent);
    keyed.is_open = false;
    let service = ForwardService {
        name: ServiceName::new("app"),
        max_connections: 10,
        engine: None,
    };
    let customer = ForwardCustomer {
        id: CustomerId::new("harbour"),
        keys: vec![KeyDigester::new(SECRET).digest("right")],
        priority: None,
        unit: RateUnit::Requests,
        rate_per_s: None,
        burst: 0,
        default_cost: 1,
    };
    Deployment {
        version: 3,
        routes: vec![
            route("once", RunPolicy::AtMostOnce),
            route("safe", RunPolicy::Idempotent),
            route("stream", RunPolicy::Stream),
            route("resumable", RunPolicy::ResumableStream),
            keyed,
        ],
        services: BTreeMap::from([(service.name.clone(), service)]),
        customers: BTreeMap::from([(customer.id.clone(), customer)]),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

fn view(endpoints: &[&Endpoint]) -> FleetView {
    let mut view = FleetView::new();
    view.revision = 1;
    view.deployment = Some(Box::new(deployment()));
    for (index, endpoint) in endpoints.iter().enumerate() {
        let id = EndpointId::new(format!("endpoint-{index}"));
        let listed = EndpointView {
            endpoint: id.clone(),
            incarnation: Incarnation(1),
            address: endpoint.address,
            // The first endpoint is nearer, so it is asked first.
            failure_domain: FailureDomain::new(if index == 0 { "here" } else { "far" }),
            kind: EndpointKind::Service,
            service: ServiceName::new("app"),
            models: Vec::new(),
            concurrency: 8,
            is_leaving: false,
        };
        view.endpoints.insert(id, listed);
    }
    view
}

/// A forwarding entry process and a client of it.
struct Fixture {
    address: SocketAddr,
    status: SocketAddr,
    client: HttpClient,
    stop: Option<oneshot::Sender<()>>,
}

impl Fixture {
    async fn start(view: Option<FleetView>) -> Self {
        let is_ready = view.is_some();
        let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let status = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let config = ForwardConfig {
            entry: EntryId::new("entry-1"),
            listen: callers.local_addr().unwrap(),
            status_listen: status.local_addr().unwrap(),
            ready_path: "/ready",
            failure_domain: FailureDomain::new("here"),
            key_secret: SECRET.to_owned(),
            grace: Duration::from_secs(2),
        };
        let (address, status_address) = (config.listen, config.status_listen);
        let forwarder = Arc::new(Forwarder::new(
            config,
            Incarnation(1),
            Arc::new(TestDialect),
            Arc::new(StillControl { view }),
            Logger::root(Discard, o!()),
        ));
        let (stop, stopped) = oneshot::channel::<()>();
        tokio::spawn(async move {
            let stopped = async {
                let _ = stopped.await;
            };
            forwarder.run_on(callers, status, stopped).await;
        });
        let fixture = Self {
            address,
            status: status_address,
            client: HttpClient::new(Duration::from_secs(1)),
            stop: Some(stop),
        };
        if is_ready {
            while fixture.ready_status().await != 200 {
                tokio::task::yield_now().await;
            }
        }
        fixture
    }

    async fn ready_status(&self) -> u16 {
        let uri = format!("http://{}/ready", self.status);
        let request = Request::get(uri).body(Bytes::new()).unwrap();
        let limit = Duration::from_secs(5);
        let answered = self.client.fetch(request, 1_024, limit).await;
        answered.unwrap().status().as_u16()
    }

    fn request(&self, route: &str, id: &str) -> Request<Bytes> {
        Request::post(format!("http://{}/{route}/x", self.address))
            .header("host", "app.example")
            .header("id", id)
            .body(Bytes::from_static(b"body"))
            .unwrap()
    }

    async fn call(&self, route: &str, id: &str) -> Result<http::Response<Bytes>, ClientError> {
        let request = self.request(route, id);
        let limit = Duration::from_secs(10);
        self.client.fetch(request, 1_024 * 1_024, limit).await
    }
}

/// Guards against a request that runs twice: its connection ends after it was sent.
#[tokio::test]
async fn an_at_most_once_request_is_not_repeated_after_a_lost_answer() {
    let first = Endpoint::start(vec![Step::Close]).await;
    let second = Endpoint::start(vec![]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    let response = fixture.call("once", "a1").await.unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0));
}

/// Guards against an idempotent request that fails though another endpoint is sound.
#[tokio::test]
async fn an_idempotent_request_is_repeated_elsewhere() {
    let first = Endpoint::start(vec![Step::Close]).await;
    let second = Endpoint::start(vec![Step::Send(whole("a1", "good"))]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    let response = fixture.call("safe", "a1").await.unwrap();
    assert_eq!(
        (response.status().as_u16(), &response.body()[..]),
        (200, &b"good"[..])
    );
}

/// Guards against the answer to another request being passed on.
#[tokio::test]
async fn an_answer_with_another_id_is_not_passed_on() {
    let first = Endpoint::start(vec![Step::Send(whole("other", "not yours"))]).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    let response = fixture.call("once", "a1").await.unwrap();
    assert_eq!(response.status(), 502);
}

/// Guards against extra bytes behind an answer that are read as the next answer.
#[tokio::test]
async fn bytes_behind_an_answer_end_its_connection() {
    let twice = format!("{}{}", whole("a1", "one"), whole("a1", "extra"));
    let steps = vec![Step::Send(twice), Step::Send(whole("a2", "two"))];
    let first = Endpoint::start(steps).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    assert_eq!(
        &fixture.call("once", "a1").await.unwrap().body()[..],
        b"one"
    );
    assert_eq!(
        &fixture.call("once", "a2").await.unwrap().body()[..],
        b"two"
    );
}

/// Guards against a refusal by one endpoint that reaches the caller though another has room, also
/// for a request that may run only once.
#[tokio::test]
async fn a_request_that_was_not_run_goes_to_another_endpoint() {
    let first = Endpoint::start(vec![Step::Send(not_run("a1"))]).await;
    let second = Endpoint::start(vec![Step::Send(whole("a1", "good"))]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    assert_eq!(fixture.call("once", "a1").await.unwrap().status(), 200);
}

/// Guards against a stream that breaks off though another endpoint can continue it, and against
/// events that come twice or in part.
#[tokio::test]
async fn a_resumable_stream_goes_on_after_its_last_whole_event() {
    let events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\nda"];
    let first = Endpoint::start(vec![Step::SendAndClose(chunks("a1", &events, false))]).await;
    let rest = ["id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
    let second = Endpoint::start(vec![Step::Send(chunks("a1", &rest, true))]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    let response = fixture.call("resumable", "a1").await.unwrap();
    let text = String::from_utf8_lossy(response.body()).into_owned();
    let ids: Vec<&str> = text.lines().filter(|line| line.starts_with("id")).collect();
    assert_eq!(ids, ["id: 1", "id: 2", "id: 3", "id: 4"]);
    let head = second.heads.lock().unwrap()[0].clone();
    assert!(head.contains("last-event-id: 2"), "{head}");
}

/// Guards against a broken stream that looks complete.
#[tokio::test]
async fn a_broken_stream_does_not_end_as_complete() {
    let events = ["id: 1\ndata: a\n\n"];
    let first = Endpoint::start(vec![Step::SendAndClose(chunks("a1", &events, false))]).await;
    let second = Endpoint::start(vec![]).await;
    let fixture = Fixture::start(Some(view(&[&first, &second]))).await;
    let result = fixture.call("stream", "a1").await;
    assert!(
        matches!(result, Err(ClientError::Interrupted(_))),
        "{result:?}"
    );
    assert_eq!(second.arrivals(), 0);
}

/// Guards against an endpoint that works on for a caller who has left.
#[tokio::test]
async fn a_caller_who_leaves_ends_the_request_at_its_endpoint() {
    let (closed, ended) = oneshot::channel();
    let first = Endpoint::start(vec![Step::Silence(closed)]).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    let mut caller = TcpStream::connect(fixture.address).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: app.example\r\nid: a1\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    while first.arrivals() == 0 {
        tokio::task::yield_now().await;
    }
    drop(caller);
    tokio::time::timeout(Duration::from_secs(5), ended)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against requests that run without a key, or that are refused with the wrong status
/// before a configuration is known.
#[tokio::test]
async fn keys_and_routes_are_checked_against_the_configuration() {
    let first = Endpoint::start(vec![Step::Send(whole("a3", "good"))]).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    assert_eq!(fixture.call("keyed", "a1").await.unwrap().status(), 401);
    assert_eq!(fixture.call("unknown", "a2").await.unwrap().status(), 404);
    let mut keyed = fixture.request("keyed", "a3");
    keyed.headers_mut().insert("key", "right".parse().unwrap());
    let limit = Duration::from_secs(5);
    let answered = fixture.client.fetch(keyed, 1_024, limit).await.unwrap();
    assert_eq!(answered.status(), 200);
    assert!(!first.heads.lock().unwrap()[0].contains("right"));
    let starting = Fixture::start(None).await;
    assert_eq!(starting.call("unknown", "a4").await.unwrap().status(), 503);
    assert_eq!(starting.ready_status().await, 503);
}

/// Guards against a body beyond the limit that is read into memory.
#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let first = Endpoint::start(vec![]).await;
    let fixture = Fixture::start(Some(view(&[&first]))).await;
    let large = fixture
        .request("once", "a1")
        .map(|_| Bytes::from(vec![0; 2_048]));
    let limit = Duration::from_secs(5);
    let answered = fixture.client.fetch(large, 1_024, limit).await.unwrap();
    assert_eq!((answered.status().as_u16(), first.arrivals()), (413, 0));
}

/// Guards against a drain that stays ready, that refuses requests on open connections at once, or
/// that lets callers keep their connections.
#[tokio::test]
async fn a_drain_serves_open_connections_and_asks_to_close_them() {
    let steps = vec![
        Step::Send(whole("a1", "one")),
        Step::Send(whole("a2", "two")),
    ];
    let first = Endpoint::start(steps).await;
    let mut fixture = Fixture::start(Some(view(&[&first]))).await;
    fixture.call("once", "a1").await.unwrap();
    fixture.stop.take().unwrap().send(()).unwrap();
    while fixture.ready_status().await == 200 {
        tokio::task::yield_now().await;
    }
    let response = fixture.call("once", "a2").await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["connection"], "close");
}
