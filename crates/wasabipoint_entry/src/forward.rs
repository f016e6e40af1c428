//! Forwarding: any request whose host and path match a route goes unchanged to an endpoint of the
//! route's service, and the response comes back unchanged.

mod answer;
mod body_buffer;
mod budget;
mod call;
mod demand;
mod dialect;
mod endpoints;
mod events;
mod exchange;
mod meters;
mod pool;
mod server;
mod table;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use wasabipoint_kernel::{
    CustomerId, EntryId, ErrorKind, FailureDomain, ForwardCustomer, ForwardRoute, Incarnation,
    KeyDigester, ModelName, MonotonicClock, RateUnit, Refusal,
};
use wasabipoint_rpc::{EntryReport, FleetUpdate, FleetView, WatchRequest};

pub use answer::{ResponseBody, StreamAborted};
pub use budget::RetryBudget;
pub use dialect::{
    ForwardDialect, ForwardMetadata, ReportedLoad, RequestMetadata, ResponseMetadata,
};
pub use endpoints::{Endpoints, SelectedEndpoint, SelectionCriteria};
pub use events::EventSplitter;
pub use table::{RouteTable, pick_service};

use crate::link::ControlLink;
use crate::quota::Quota;
use answer::{refusal_answer, strip_connection_headers};
use call::{Call, DemandGuard, Progress};
use demand::Demand;
use exchange::Outgoing;
use meters::Meters;
use pool::Pool;
use server::{DrainTimes, drain, listen, serve_callers, serve_status};

/// Longest wait of one watch call in milliseconds. A silent connection to control costs no more
/// than this and the call's own timeout.
const WATCH_WAIT_MS: u64 = 500;

/// Pause after a failed watch call.
const WATCH_PAUSE: Duration = Duration::from_millis(50);

/// Pause between reports of demand.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two reports.
const MIN_REPORT_GAP: Duration = Duration::from_millis(50);

/// Pause between sweeps of idle connections.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Age up to which an expected load time is used without asking again.
const LOAD_TIME_AGE: Duration = Duration::from_millis(700);

/// One successful request in this many is logged whole; failed and refused ones always are.
const LOG_SAMPLE: u64 = 16;

/// When a caller finds a starting process ready, in milliseconds.
const STARTING_RETRY_MS: u64 = 500;

const SERVING: u8 = 0;
const DRAINING: u8 = 1;
const REFUSING: u8 = 2;

/// Settings of a forwarding entry process.
#[derive(Debug, Clone)]
pub struct ForwardConfig {
    /// Name of the process, unique in the fleet.
    pub entry: EntryId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness and metrics.
    pub status_listen: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Secret of the keyed digest of keys.
    pub key_secret: String,
    /// Time that the platform grants between SIGTERM and the end.
    pub grace: Duration,
}

struct State {
    endpoints: Endpoints,
    budget: RetryBudget,
    demand: Demand,
    view: FleetView,
    /// When control expects models that no endpoint holds, and when it said so.
    load_times: HashMap<ModelName, (Instant, Instant)>,
}

/// A forwarding entry process.
pub struct Forwarder {
    config: ForwardConfig,
    incarnation: Incarnation,
    dialect: Arc<dyn ForwardDialect>,
    control: Arc<dyn ControlLink>,
    state: Mutex<State>,
    table: RwLock<Option<Arc<RouteTable>>>,
    changed: watch::Sender<u64>,
    quota: Arc<Quota>,
    pool: Arc<Pool>,
    digester: KeyDigester,
    wake_report: Notify,
    report_sequence: tokio::sync::Mutex<u64>,
    phase: AtomicU8,
    clock: MonotonicClock,
    meters: Meters,
    logger: Logger,
}

impl Forwarder {
    /// Creates a process that is not ready until it holds a configuration.
    pub fn new(
        config: ForwardConfig,
        incarnation: Incarnation,
        dialect: Arc<dyn ForwardDialect>,
        control: Arc<dyn ControlLink>,
        logger: Logger,
    ) -> Self {
        let clock = MonotonicClock::new();
        Self {
            state: Mutex::new(State {
                endpoints: Endpoints::new(config.failure_domain.clone()),
                budget: RetryBudget::default(),
                demand: Demand::default(),
                view: FleetView::new(),
                load_times: HashMap::new(),
            }),
            quota: Arc::new(Quota::new(config.entry.clone(), incarnation, clock)),
            digester: KeyDigester::new(&config.key_secret),
            config,
            incarnation,
            dialect,
            control,
            table: RwLock::new(None),
            changed: watch::Sender::new(0),
            pool: Arc::default(),
            wake_report: Notify::new(),
            report_sequence: tokio::sync::Mutex::new(0),
            phase: AtomicU8::new(SERVING),
            clock,
            meters: Meters::new(),
            logger,
        }
    }

    /// Serves until `stop` completes and the drain that follows it is over.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn run(self: Arc<Self>, stop: impl Future<Output = ()>) -> std::io::Result<()> {
        let callers = listen(self.config.listen)?;
        let status = listen(self.config.status_listen)?;
        self.run_on(callers, status, stop).await;
        Ok(())
    }

    /// Serves on listeners that are bound already.
    pub async fn run_on(
        self: Arc<Self>,
        callers: TcpListener,
        status: TcpListener,
        stop: impl Future<Output = ()>,
    ) {
        info!(self.logger, "entry: started"; "entry" => %self.config.entry,
            "listen" => %self.config.listen, "failure_domain" => %self.config.failure_domain);
        let (closing, closed) = watch::channel(false);
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(serve_status(
            Arc::clone(&self),
            status,
            self.config.ready_path,
        ));
        tasks.spawn(Arc::clone(&self).follow_control());
        tasks.spawn(Arc::clone(&self).report_demand());
        tasks.spawn(Arc::clone(&self).prune_connections());
        let quota = Arc::clone(&self);
        tasks.spawn(async move {
            quota.quota.run(quota.control.as_ref(), &quota.logger).await;
        });
        let mut serving = tokio::spawn(serve_callers(Arc::clone(&self), callers, closed));
        stop.await;
        let times = DrainTimes::new(self.config.grace);
        let end = Instant::now() + times.end;
        info!(self.logger, "entry: draining"; "end_after_ms" => times.end.as_millis() as u64);
        drain(&self, times, &closing).await;
        let is_drained = tokio::time::timeout_at(end, &mut serving).await.is_ok();
        info!(self.logger, "entry: stopped"; "is_drained" => is_drained);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn table(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    fn is_ready(&self) -> bool {
        self.phase.load(Ordering::Relaxed) == SERVING && self.table().is_some()
    }

    fn is_draining(&self) -> bool {
        self.phase.load(Ordering::Relaxed) != SERVING
    }

    fn begin_drain(&self) {
        self.phase.store(DRAINING, Ordering::Relaxed);
        // Requests that wait for a model look again and are refused.
        self.changed.send_modify(|_| {});
    }

    fn refuse_new(&self) {
        self.phase.store(REFUSING, Ordering::Relaxed);
    }

    /// Serves one request of a caller.
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let named = self.dialect.read_request(&head).unwrap_or_default();
        let (id, model) = (named.request_id, named.model);
        let model = model.as_ref().map(ModelName::as_str);
        match Arc::clone(&self).serve(head, body, arrived).await {
            Ok(response) => {
                self.meters.record_first_byte(arrived.elapsed());
                response
            }
            Err(refusal) => {
                self.meters.count(refusal.kind.answer().name);
                info!(self.logger, "admission: refused"; "request" => id,
                    "model" => model,
                    "kind" => %refusal.kind, "run" => refusal.run.as_str(),
                    "detail" => &refusal.detail, "retry_after_ms" => refusal.retry_after_ms,
                    "config_version" => self.table().map(|table| table.version),
                    "elapsed_ms" => arrived.elapsed().as_millis() as u64);
                refusal_answer(&refusal)
            }
        }
    }

    async fn serve(
        self: Arc<Self>,
        mut head: request::Parts,
        body: Incoming,
        arrived: Instant,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let Some(table) = self.table() else {
            return Err(Refusal::new(ErrorKind::ConfigurationStale, "starting")
                .with_retry_after_ms(STARTING_RETRY_MS));
        };
        if self.phase.load(Ordering::Relaxed) == REFUSING {
            return Err(Refusal::new(ErrorKind::Draining, "").with_retry_after_ms(0));
        }
        let route = find_route(&table, &head)?;
        let Some(facts) = self.dialect.read_request(&head) else {
            return Err(Refusal::new(ErrorKind::MalformedRequest, "request headers"));
        };
        let customer = self.check_key(&table, &route, facts.key.as_deref())?;
        let body = read_body(body, table.deployment.limits.body_bytes).await?;
        let service = pick_service(&route, rand::random())
            .cloned()
            .ok_or_else(|| Refusal::new(ErrorKind::NoEndpoint, "the route has no service"))?;
        self.lock()
            .budget
            .count_request(&service, self.clock.now_ms());
        let limit_ms = facts
            .deadline_ms
            .unwrap_or(route.timeout_ms)
            .min(route.timeout_ms);
        let caller_ms = facts.deadline_ms.unwrap_or(route.timeout_ms);
        let cost = customer.and_then(|customer| cost_of(customer, &facts));
        let reservation = match cost {
            Some((id, cost)) => {
                let deadline_ms = self.clock.now_ms() + limit_ms;
                let reserved = self.quota.reserve(id, cost, deadline_ms).await;
                Some(reserved.map_err(|refusal| Refusal {
                    detail: format!("customer {id}, cost {cost}"),
                    ..refusal
                })?)
            }
            None => None,
        };
        strip_connection_headers(&mut head.headers);
        head.headers.remove(http::header::CONTENT_LENGTH);
        head.headers.remove(http::header::EXPECT);
        let priority = customer
            .and_then(|customer| customer.priority)
            .unwrap_or(route.priority);
        let engine_priority = facts.model.is_some().then(|| (1 + priority * 2).min(9));
        let demand = facts
            .model
            .as_ref()
            .map(|model| DemandGuard::new(&self, model));
        let call = Call {
            service,
            customer: customer.map(|customer| customer.id.clone()),
            engine_priority,
            outgoing: Outgoing {
                request_id: facts.request_id.clone(),
                method: head.method,
                uri: head.uri,
                headers: head.headers,
                body,
            },
            facts,
            route,
            arrived,
            deadline: arrived + Duration::from_millis(limit_ms),
            caller_deadline: arrived + Duration::from_millis(caller_ms),
            reservation,
            progress: Progress::default(),
            _demand: demand,
            forwarder: self,
        };
        call.run().await
    }

    fn check_key<'t>(
        &self,
        table: &'t RouteTable,
        route: &ForwardRoute,
        key: Option<&str>,
    ) -> Result<Option<&'t ForwardCustomer>, Refusal> {
        if route.is_open || table.deployment.customers.is_empty() {
            return Ok(None);
        }
        let key = key.ok_or_else(|| Refusal::new(ErrorKind::MissingKey, ""))?;
        let customer = table.customer(&self.digester.digest(key));
        customer
            .map(Some)
            .ok_or_else(|| Refusal::new(ErrorKind::InvalidKey, ""))
    }

    /// Follows the fleet view of control.
    async fn follow_control(self: Arc<Self>) {
        let mut is_lost = true;
        loop {
            let known_revision = self.lock().view.revision;
            let request = WatchRequest {
                caller: self.config.entry.as_str().to_owned(),
                known_revision,
                wait_ms: WATCH_WAIT_MS,
            };
            match self.control.watch(request).await {
                Ok(reply) => {
                    if std::mem::take(&mut is_lost) {
                        info!(self.logger, "entry: control is reachable";
                            "revision" => reply.revision);
                    }
                    self.apply(reply.revision, reply.update);
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_lost, true) {
                        warn!(self.logger, "entry: control is not reachable";
                            "known_revision" => known_revision, "error" => ?error);
                    }
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
        }
    }

    fn apply(&self, revision: u64, update: FleetUpdate) {
        let mut state = self.lock();
        let known_version = state.view.deployment.as_ref().map(|known| known.version);
        match update {
            FleetUpdate::Delta(changes) => {
                if changes.is_empty() && revision == state.view.revision {
                    return;
                }
                for change in &changes {
                    state.view.apply(change);
                }
            }
            FleetUpdate::Snapshot(view) => {
                // What this process has already obeyed is never undone.
                if view.revision < state.view.revision {
                    return;
                }
                state.view = *view;
            }
        }
        state.view.revision = revision;
        let views = state.view.endpoints.clone();
        state.endpoints.update(&views);
        let version = state.view.deployment.as_ref().map(|known| known.version);
        if version > known_version {
            let deployment = state.view.deployment.clone();
            let table = deployment.map(|deployment| Arc::new(RouteTable::new(deployment)));
            *self.table.write().unwrap_or_else(PoisonError::into_inner) = table;
            info!(self.logger, "entry: configuration in force"; "version" => version,
                "before" => known_version, "revision" => revision);
        }
        drop(state);
        self.changed.send_replace(revision);
    }

    /// Tells control the demand at this process.
    async fn report_demand(self: Arc<Self>) {
        let mut was_idle = true;
        loop {
            // A timeout means that no request asked for a report.
            let _ = tokio::time::timeout(REPORT_INTERVAL, self.wake_report.notified()).await;
            was_idle = self.send_report(was_idle).await;
            tokio::time::sleep(MIN_REPORT_GAP).await;
        }
    }

    /// Reports at once and returns when control expects a model that no endpoint holds.
    async fn ask_load_time(&self, model: &ModelName) -> Option<Duration> {
        let known = self.lock().load_times.get(model).copied();
        if let Some((ready, _)) = known.filter(|(_, told)| told.elapsed() < LOAD_TIME_AGE) {
            return Some(ready.saturating_duration_since(Instant::now()));
        }
        self.send_report(false).await;
        let state = self.lock();
        let (ready, _) = state.load_times.get(model)?;
        Some(ready.saturating_duration_since(Instant::now()))
    }

    async fn send_report(&self, was_idle: bool) -> bool {
        let mut sequence = self.report_sequence.lock().await;
        let (demand, unreachable) = {
            let mut state = self.lock();
            let unreachable = state.endpoints.unreachable(self.clock.now_ms());
            (state.demand.take_report(), unreachable)
        };
        let is_idle = demand.is_empty();
        if is_idle && was_idle {
            return true;
        }
        *sequence += 1;
        let report = EntryReport {
            entry: self.config.entry.clone(),
            incarnation: self.incarnation,
            sequence: *sequence,
            address: self.config.listen,
            demand,
            draining_endpoints: Vec::new(),
            unreachable_endpoints: unreachable,
        };
        drop(sequence);
        // A lost report is followed by the next one.
        if let Ok(directive) = self.control.report(report).await {
            let now = Instant::now();
            let estimates = directive.cold_estimates.into_iter();
            let times = estimates.map(|estimate| {
                let ready = now + Duration::from_millis(estimate.ready_in_ms);
                (estimate.model, (ready, now))
            });
            self.lock().load_times = times.collect();
        }
        is_idle
    }

    async fn prune_connections(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PRUNE_INTERVAL).await;
            self.pool
                .prune(|address| self.lock().endpoints.has_address(address));
        }
    }
}

/// Tells whether a request that succeeds is logged. All processes choose the same requests.
fn is_sampled(request_id: &str) -> bool {
    let sum: u64 = request_id.bytes().map(u64::from).sum();
    sum.is_multiple_of(LOG_SAMPLE)
}

fn find_route(table: &RouteTable, head: &request::Parts) -> Result<Arc<ForwardRoute>, Refusal> {
    let host = head.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table.route(host, head.uri.path());
    route
        .cloned()
        .ok_or_else(|| Refusal::new(ErrorKind::NotFound, "no route matches"))
}

async fn read_body(body: Incoming, max_bytes: u64) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes as usize).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(ErrorKind::BodyTooLarge, ""))
        }
        Err(_) => Err(Refusal::new(ErrorKind::MalformedRequest, "incomplete body")),
    }
}

/// Returns what a request costs a customer with a limited rate.
fn cost_of<'c>(
    customer: &'c ForwardCustomer,
    facts: &RequestMetadata,
) -> Option<(&'c CustomerId, u64)> {
    customer.rate_per_s?;
    let cost = match customer.unit {
        RateUnit::Requests => 1,
        RateUnit::Tokens => facts
            .tokens
            .map_or(customer.default_cost, |(prompt, output)| prompt + output),
    };
    Some((&customer.id, cost))
}
