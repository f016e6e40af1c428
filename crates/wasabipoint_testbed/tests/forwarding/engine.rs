//! Endpoints on loopback that crash when they begin to write a response to a certain prompt part, or
//! to a request with a certain body.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use wasabipoint_kernel::{
    EndpointId, FailureDomain, Incarnation, ModelName, ServiceName, SoftwareVersion,
};
use wasabipoint_rpc::{EndpointKind, EndpointView};

/// Name of the service that the engines provide.
pub(crate) const SERVICE: &str = "engines";

/// Name of the plain service.
pub(crate) const PLAIN_SERVICE: &str = "plain";

/// The model that every engine has loaded.
pub(crate) const MODEL: &str = "m1";

/// Software version of an engine until it is replaced.
pub(crate) const FIRST_VERSION: &str = "v1";

/// Time from a crash of an engine until it accepts connections again.
const RESTART_TIME: Duration = Duration::from_millis(700);

/// Number of events of a response, and the interval between them.
const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// A pause that an engine asked an entry process for.
#[derive(Debug, Clone)]
pub(crate) struct AskedPause {
    pub(crate) entry: String,
    pub(crate) asked_at: Instant,
    pub(crate) until: Instant,
}

/// An engine that keeps its address over restarts.
pub(crate) struct Engine {
    id: EndpointId,
    kind: EndpointKind,
    address: SocketAddr,
    failure_domain: Mutex<&'static str>,
    incarnation: AtomicU64,
    /// Version of the engine's software, which it writes into its events.
    software_version: Mutex<&'static str>,
    deadly_part: Mutex<Option<String>>,
    /// The body of requests that crash the engine.
    deadly_body: Mutex<Option<String>>,
    /// Requests with the deadly part or body that arrived.
    pub(crate) deadly_arrivals: AtomicU32,
    pub(crate) crashes: AtomicU32,
    /// Limit in requests per second that the engine names in its responses.
    limit_per_s: Mutex<Option<f64>>,
    /// Time for which the engine is cold after its next starts, and until when it is.
    cold_time: Mutex<Option<Duration>>,
    cold_until: Mutex<Option<Instant>>,
    /// Time of each start but the first.
    started_at: Mutex<Vec<Instant>>,
    /// Whether the engine says in its responses that it leaves.
    is_leaving: AtomicBool,
    /// Until when the engine turns requests away, and asks their senders not to return before.
    pauses_until: Mutex<Option<Instant>>,
    /// Pauses that the engine asked for.
    pub(crate) pauses: Mutex<Vec<AskedPause>>,
    /// Arrival times of all requests.
    arrivals: Mutex<Vec<Instant>>,
    /// Entry process and arrival time of all requests.
    arrivals_by_entry: Mutex<Vec<(String, Instant)>>,
    /// Number of crashes; a change closes all connections.
    crash_sender: watch::Sender<u32>,
}

impl Engine {
    pub(crate) fn start(index: usize, kind: EndpointKind) -> Arc<Self> {
        let socket = bind("127.0.0.1:0".parse().unwrap());
        let engine = Arc::new(Self {
            id: EndpointId::new(format!("engine-{index}")),
            kind,
            address: socket.local_addr().unwrap(),
            failure_domain: Mutex::new("here"),
            incarnation: AtomicU64::new(1),
            software_version: Mutex::new(FIRST_VERSION),
            deadly_part: Mutex::new(None),
            deadly_body: Mutex::new(None),
            deadly_arrivals: AtomicU32::new(0),
            crashes: AtomicU32::new(0),
            limit_per_s: Mutex::new(None),
            cold_time: Mutex::new(None),
            cold_until: Mutex::new(None),
            started_at: Mutex::new(Vec::new()),
            is_leaving: AtomicBool::new(false),
            pauses_until: Mutex::new(None),
            pauses: Mutex::new(Vec::new()),
            arrivals: Mutex::new(Vec::new()),
            arrivals_by_entry: Mutex::new(Vec::new()),
            crash_sender: watch::Sender::new(0),
        });
        tokio::spawn(Arc::clone(&engine).run(socket));
        engine
    }

    /// Makes the engine crash on requests with a prompt part, given in hexadecimal.
    pub(crate) fn crash_on(&self, part: &str) {
        *self.deadly_part.lock().unwrap() = Some(part.to_owned());
    }

    /// Makes the engine crash on requests with a body.
    pub(crate) fn crash_on_body(&self, body: &str) {
        *self.deadly_body.lock().unwrap() = Some(body.to_owned());
    }

    /// Returns whether a request with these parts and this body crashes the engine.
    fn is_deadly(&self, parts: &str, body: &str) -> bool {
        let deadly_part = self.deadly_part.lock().unwrap();
        let deadly_body = self.deadly_body.lock().unwrap();
        let has_part = |deadly: &String| parts.contains(&format!("{deadly}:"));
        deadly_part.as_ref().is_some_and(has_part)
            || deadly_body.as_deref().is_some_and(|deadly| deadly == body)
    }

    /// Closes all connections and restarts the engine, whatever it serves.
    pub(crate) fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.crash_sender.send_modify(|crashes| *crashes += 1);
    }

    /// Restarts the engine with other software.
    pub(crate) fn replace_software(&self, version: &'static str) {
        *self.software_version.lock().unwrap() = version;
        self.crash();
    }

    /// Makes the engine name a limit in its responses, or none.
    pub(crate) fn name_limit(&self, limit_per_s: Option<f64>) {
        *self.limit_per_s.lock().unwrap() = limit_per_s;
    }

    /// Makes the engine cold for some time after each of its next starts. It states the remaining time
    /// from then on.
    pub(crate) fn start_cold_for(&self, time: Duration) {
        *self.cold_time.lock().unwrap() = Some(time);
    }

    /// Makes the engine cold from now on, and after each of its next starts.
    pub(crate) fn be_cold_for(&self, time: Duration) {
        self.start_cold_for(time);
        *self.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Returns the remaining cold time that the engine states.
    pub(crate) fn cold_remaining_ms(&self) -> Option<u64> {
        (*self.cold_time.lock().unwrap())?;
        let until = *self.cold_until.lock().unwrap();
        let remaining = until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        Some(remaining.as_millis() as u64)
    }

    /// Waits until the engine has started again this many times, and returns when it did last.
    pub(crate) async fn wait_for_restart(&self, count: usize) -> Instant {
        loop {
            let started_at = self.started_at.lock().unwrap().get(count - 1).copied();
            if let Some(started_at) = started_at {
                return started_at;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Makes the engine say in its responses that it leaves.
    pub(crate) fn announce_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Makes the engine no longer say that it leaves.
    pub(crate) fn stay(&self) {
        self.is_leaving.store(false, Ordering::Relaxed);
    }

    /// Lists the engine in another failure domain.
    pub(crate) fn move_to_domain(&self, failure_domain: &'static str) {
        *self.failure_domain.lock().unwrap() = failure_domain;
    }

    /// Makes the engine turn requests away for some time.
    pub(crate) fn pause_for(&self, time: Duration) {
        *self.pauses_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Returns the number of requests that an entry process sent within a span of time.
    pub(crate) fn arrivals_from(&self, entry: &str, from: Instant, until: Instant) -> usize {
        let arrivals = self.arrivals_by_entry.lock().unwrap();
        let in_span = |at: &Instant| (from..until).contains(at);
        let from_entry = arrivals.iter().filter(|(sender, _)| sender == entry);
        from_entry.filter(|(_, at)| in_span(at)).count()
    }

    /// Returns the number of requests that arrived after `start`.
    pub(crate) fn arrivals_since(&self, start: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at >= start).count()
    }

    /// Returns the arrival times from `start` on, in milliseconds, for the message of a failed test.
    pub(crate) fn arrival_offsets(&self, start: Instant) -> Vec<u128> {
        let arrivals = self.arrivals.lock().unwrap();
        let since_start = arrivals.iter().filter(|at| **at >= start);
        since_start.map(|at| (*at - start).as_millis()).collect()
    }

    /// Returns the highest number of requests that arrived within any window of this length after
    /// `start`.
    pub(crate) fn most_arrivals(&self, start: Instant, window: Duration) -> usize {
        self.most_arrivals_until(start, Instant::now(), window)
    }

    /// Returns the highest number of requests that arrived within any window of this length between
    /// `start` and `end`.
    pub(crate) fn most_arrivals_until(
        &self,
        start: Instant,
        end: Instant,
        window: Duration,
    ) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let arrivals = arrivals.iter().copied();
        let since_start: Vec<Instant> = arrivals.filter(|at| (start..end).contains(at)).collect();
        let in_window = |first: &Instant| {
            let in_window = since_start
                .iter()
                .filter(|at| *at >= first && **at - *first < window);
            in_window.count()
        };
        since_start.iter().map(in_window).max().unwrap_or(0)
    }

    pub(crate) fn view(&self) -> EndpointView {
        EndpointView {
            id: self.id.clone(),
            incarnation: Incarnation(self.incarnation.load(Ordering::Relaxed)),
            address: self.address,
            failure_domain: FailureDomain::new(*self.failure_domain.lock().unwrap()),
            kind: self.kind,
            service: ServiceName::new(match self.kind {
                EndpointKind::Engine => SERVICE,
                EndpointKind::Service => PLAIN_SERVICE,
            }),
            models: match self.kind {
                EndpointKind::Engine => vec![ModelName::new(MODEL)],
                EndpointKind::Service => Vec::new(),
            },
            concurrency: 16,
            is_leaving: false,
            software_version: SoftwareVersion::new(*self.software_version.lock().unwrap()),
        }
    }

    async fn run(self: Arc<Self>, mut socket: TcpSocket) {
        loop {
            // Bound before the listener closes, so that no other socket receives the port.
            let next_socket = bind(self.address);
            let listener = socket.listen(64).unwrap();
            let mut crashed = self.crash_sender.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.unwrap();
                        tokio::spawn(Arc::clone(&self).serve(stream));
                    }
                    _ = crashed.changed() => break,
                }
            }
            drop(listener);
            tokio::time::sleep(RESTART_TIME).await;
            let now = Instant::now();
            let cold_time = *self.cold_time.lock().unwrap();
            *self.cold_until.lock().unwrap() = cold_time.map(|time| now + time);
            self.incarnation.fetch_add(1, Ordering::Relaxed);
            self.started_at.lock().unwrap().push(now);
            socket = next_socket;
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut crashed = self.crash_sender.subscribe();
        tokio::select! {
            _ = crashed.changed() => {}
            () = self.serve_requests(&mut stream) => {}
        }
        // An engine that crashes leaves its connections reset.
        let _ = stream.set_zero_linger();
    }

    async fn serve_requests(&self, stream: &mut TcpStream) {
        while let Some((head, body)) = read_request(stream).await {
            if self.respond(stream, &head, &body).await.is_err() {
                return;
            }
        }
    }

    async fn respond(&self, stream: &mut TcpStream, head: &str, body: &str) -> std::io::Result<()> {
        self.arrivals.lock().unwrap().push(Instant::now());
        let id = header(head, "id").unwrap();
        let entry = id.split('.').next().unwrap_or_default().to_owned();
        let now = Instant::now();
        let arrival = (entry.clone(), now);
        self.arrivals_by_entry.lock().unwrap().push(arrival);
        let pauses_until = *self.pauses_until.lock().unwrap();
        if let Some(until) = pauses_until.filter(|until| *until > now) {
            self.pauses.lock().unwrap().push(AskedPause {
                entry,
                asked_at: now,
                until,
            });
            let pause_s = (until - now).as_secs_f64();
            let text = format!(
                "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\npause: {pause_s}\r\n\
                 content-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).await;
        }
        let limit_per_s = *self.limit_per_s.lock().unwrap();
        let limit = limit_per_s.map_or(String::new(), |limit| format!("limit: {limit}\r\n"));
        let cold = self.cold_remaining_ms();
        let cold = cold.map_or(String::new(), |remaining| format!("cold: {remaining}\r\n"));
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let leaving = if is_leaving { "leaving: 1\r\n" } else { "" };
        let text = format!(
            "HTTP/1.1 200 OK\r\nid: {id}\r\n{limit}{cold}{leaving}transfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).await?;
        let parts = header(head, "parts").unwrap_or_default();
        if self.is_deadly(&parts, body) {
            self.deadly_arrivals.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(EVENT_INTERVAL).await;
            self.crash();
            std::future::pending::<()>().await;
        }
        let version = *self.software_version.lock().unwrap();
        let last_event = header(head, "last-event-id").map_or(0, |id| id.parse().unwrap());
        for event in last_event + 1..=EVENTS {
            tokio::time::sleep(EVENT_INTERVAL).await;
            let event = format!("id: {event}\ndata: {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
        }
        stream.write_all(b"0\r\n\r\n").await
    }
}

/// Binds a socket. Several may be bound to one address as long as at most one of them listens.
fn bind(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseport(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

/// Reads a request with a body of known length and returns its head in lower case, and its body.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut received = Vec::new();
    loop {
        let end = received.windows(4).position(|end| end == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
            let length: usize =
                header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
            let body = received.get(end + 4..end + 4 + length);
            if let Some(body) = body {
                return Some((head, String::from_utf8_lossy(body).into_owned()));
            }
        }
        let mut buffer = [0; 2_048];
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines();
    lines.find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(": ")?.to_owned()))
}
