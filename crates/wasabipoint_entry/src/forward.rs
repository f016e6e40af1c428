//! Request forwarding: a request whose host and path match a route is passed unchanged to an
//! endpoint of the route's service, and the response is passed back unchanged.

mod admission;
mod body_buffer;
mod budget;
mod call;
mod control;
mod demand;
mod dialect;
mod endpoints;
mod events;
mod exchange;
mod metrics;
mod origins;
mod pool;
mod prompts;
mod response;
mod server;
mod table;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use wasabipoint_kernel::{
    CustomerId, EntryId, ErrorKind, FailureDomain, ForwardCustomer, ForwardRoute, Incarnation,
    KeyDigester, ModelName, MonotonicClock, PromptPartId, RateUnit, Refusal, RequestDigester,
    ServiceName,
};
use wasabipoint_policy::Hedging;
use wasabipoint_rpc::FleetView;

pub use budget::RetryBudget;
pub use dialect::{
    ForwardDialect, ForwardMetadata, ReportedLoad, RequestLimit, RequestMetadata, Responder,
    ResponseMetadata,
};
pub use endpoints::{
    ColdChange, Endpoints, HomeRegions, Regions, SelectedEndpoint, SelectedWork, SelectionCriteria,
    WorkCharge,
};
pub use events::{EventSplitter, NotResumed};
pub use response::{ForwardBody, StreamAborted};
pub use table::{RouteTable, pick_service};

use crate::link::ControlLink;
use crate::quota::QuotaClient;
use admission::{RefusalSampler, TokenUse};
use call::{AttemptHistory, Call, DemandGuard};
use demand::DemandTracker;
use exchange::OutgoingRequest;
use metrics::ForwardMetrics;
use origins::{StreamBinding, StreamRecorder};
use pool::Pool;
use prompts::{PromptAdmission, PromptMonitor};
use response::{refusal_response, strip_hop_by_hop_headers};
use server::{DrainSchedule, drain, listen, serve_callers, serve_status};

/// Interval at which idle connections are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Log sampling: one successful request in this many is logged; failed and refused ones always are.
const LOG_SAMPLE_INTERVAL: u64 = 16;

/// Retry delay announced to callers while the process has no configuration, in milliseconds. The
/// process is expected to be ready by then.
const STARTUP_RETRY_AFTER_MS: u64 = 500;

/// Retry delay announced to callers whose prompt contains a quarantined part, in milliseconds. The
/// part stays quarantined at least until a probe succeeds, the first of which comes after half of this.
const QUARANTINE_RETRY_AFTER_MS: u64 = 60_000;

// Values of `Forwarder::phase`.
const SERVING: u8 = 0;
const DRAINING: u8 = 1;
const REFUSING: u8 = 2;

/// Settings of a forwarding entry process.
#[derive(Debug, Clone)]
pub struct ForwardConfig {
    /// Name of the process, unique in the fleet.
    pub entry: EntryId,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for the readiness check and metrics.
    pub status_listen: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Region of each failure domain.
    pub regions: Regions,
    /// Secret for the keyed digest of API keys.
    pub key_secret: String,
    /// Time that the platform grants between SIGTERM and termination.
    pub grace: Duration,
    /// Maximum share of the requests of a service that are hedged, in percent; 0 for none.
    pub hedge_percent: u32,
    /// Whether requests of a customer that is short of tokens wait for them in a queue.
    pub has_token_queue: bool,
}

/// State that requests and background tasks share under one lock.
struct State {
    endpoints: Endpoints,
    budget: RetryBudget,
    hedging: Hedging,
    demand: DemandTracker,
    prompts: PromptMonitor,
    view: FleetView,
    /// Time before the last call that confirmed the view.
    view_confirmed_at: Option<Instant>,
    /// For each model that no endpoint holds: the time at which control expects it to be loaded,
    /// and the time of that estimate.
    load_times: HashMap<ModelName, (Instant, Instant)>,
    /// When waiting requests last triggered a report that asks for permissions.
    permissions_requested_at: Option<Instant>,
}

impl State {
    /// Counts a caller's request to a service for the limits on retries and hedged requests.
    fn count_request(&mut self, service: &ServiceName, now_ms: u64) {
        self.budget.count_request(service, now_ms);
        if self.hedging.is_enabled() {
            self.hedging.count_request(service, now_ms);
        }
    }

    fn view_and_endpoints(&mut self) -> (&FleetView, &mut Endpoints) {
        (&self.view, &mut self.endpoints)
    }
}

/// A forwarding entry process.
pub struct Forwarder {
    config: ForwardConfig,
    incarnation: Incarnation,
    dialect: Arc<dyn ForwardDialect>,
    control: Arc<dyn ControlLink>,
    state: Mutex<State>,
    table: RwLock<Option<Arc<RouteTable>>>,
    /// Revision of the last update from control. Also notifies when a drain begins.
    fleet_changed: watch::Sender<u64>,
    quota: Arc<QuotaClient>,
    refusals: RefusalSampler,
    recorder: StreamRecorder,
    pool: Arc<Pool>,
    digester: KeyDigester,
    request_digester: RequestDigester,
    report_requested: Notify,
    report_sequence: tokio::sync::Mutex<u64>,
    phase: AtomicU8,
    /// Set when the drain is about to end and requests without a response are answered.
    is_ending: watch::Sender<bool>,
    clock: MonotonicClock,
    metrics: ForwardMetrics,
    logger: Logger,
}

impl Forwarder {
    /// Creates a forwarder that is not ready until it receives a configuration.
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
                endpoints: Endpoints::new(config.failure_domain.clone())
                    .with_regions(config.regions.clone()),
                budget: RetryBudget::default(),
                hedging: Hedging::new(config.hedge_percent),
                demand: DemandTracker::default(),
                prompts: PromptMonitor::default(),
                view: FleetView::new(),
                view_confirmed_at: None,
                load_times: HashMap::new(),
                permissions_requested_at: None,
            }),
            quota: Arc::new(QuotaClient::new(config.entry.clone(), incarnation, clock)),
            refusals: RefusalSampler::default(),
            recorder: StreamRecorder::default(),
            digester: KeyDigester::new(&config.key_secret),
            request_digester: RequestDigester::new(&config.key_secret),
            config,
            incarnation,
            dialect,
            control,
            table: RwLock::new(None),
            fleet_changed: watch::Sender::new(0),
            pool: Arc::default(),
            report_requested: Notify::new(),
            report_sequence: tokio::sync::Mutex::new(0),
            phase: AtomicU8::new(SERVING),
            is_ending: watch::Sender::new(false),
            clock,
            metrics: ForwardMetrics::new(),
            logger,
        }
    }

    /// Serves until `stop` completes and the subsequent drain ends.
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

    /// Serves on listeners that are already bound.
    pub async fn run_on(
        self: Arc<Self>,
        callers: TcpListener,
        status: TcpListener,
        stop: impl Future<Output = ()>,
    ) {
        info!(self.logger, "entry: started"; "entry" => %self.config.entry,
            "listen" => %self.config.listen, "failure_domain" => %self.config.failure_domain);
        let (closing_sender, closing_receiver) = watch::channel(false);
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(serve_status(
            Arc::clone(&self),
            status,
            self.config.ready_path,
        ));
        tasks.spawn(Arc::clone(&self).watch_control());
        tasks.spawn(Arc::clone(&self).report_demand());
        tasks.spawn(Arc::clone(&self).prune_connections());
        let this = Arc::clone(&self);
        tasks.spawn(async move { this.recorder.run(&this.control).await });
        let this = Arc::clone(&self);
        tasks.spawn(async move {
            this.quota.run(this.control.as_ref(), &this.logger).await;
        });
        let mut serving = tokio::spawn(serve_callers(Arc::clone(&self), callers, closing_receiver));
        stop.await;
        let schedule = DrainSchedule::new(self.config.grace);
        let exit_at = Instant::now() + schedule.max_duration;
        info!(self.logger, "entry: draining";
            "end_after_ms" => schedule.max_duration.as_millis() as u64);
        let drained = async {
            tokio::join!(
                drain(&self, schedule, &closing_sender),
                tokio::time::sleep_until(exit_at)
            );
        };
        let is_drained = tokio::select! {
            _ = &mut serving => true,
            () = drained => false,
        };
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
        // Wakes requests that wait for a model, so that they are refused.
        self.fleet_changed.send_modify(|_| {});
    }

    fn begin_refusing(&self) {
        self.phase.store(REFUSING, Ordering::Relaxed);
    }

    /// Returns whether requests that were not sent to an endpoint yet are refused.
    fn is_refusing(&self) -> bool {
        self.phase.load(Ordering::Relaxed) == REFUSING
    }

    /// Ends all requests that have no response yet, so that their callers receive one before the
    /// process exits.
    fn answer_pending_requests(&self) {
        self.is_ending.send_replace(true);
    }

    /// Waits until requests without a response are answered because the drain ends.
    async fn wait_until_ending(&self) {
        let mut is_ending = self.is_ending.subscribe();
        // The sender is part of the forwarder and outlives the receiver.
        let _ = is_ending.wait_for(|is_ending| *is_ending).await;
    }

    /// Serves one caller request and converts a refusal into its response.
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ForwardBody> {
        let arrived_at = Instant::now();
        let (head, body) = request.into_parts();
        let parsed = self.dialect.read_request(&head).unwrap_or_default();
        let (id, model) = (parsed.request_id, parsed.model);
        let model = model.as_ref().map(ModelName::as_str);
        match Arc::clone(&self).serve(head, body, arrived_at).await {
            Ok(response) => {
                self.metrics.record_first_byte(arrived_at.elapsed());
                response
            }
            Err(refusal) => {
                self.metrics.count_outcome(refusal.kind.properties().name);
                // Refusals of customers over their rates are sampled where they are made.
                if refusal.kind != ErrorKind::OverRate {
                    info!(self.logger, "admission: refused"; "request" => id,
                        "model" => model,
                        "kind" => %refusal.kind, "run" => refusal.run_state.as_str(),
                        "detail" => &refusal.detail, "retry_after_ms" => refusal.retry_after_ms,
                        "config_version" => self.table().map(|table| table.version),
                        "elapsed_ms" => arrived_at.elapsed().as_millis() as u64);
                }
                refusal_response(&refusal)
            }
        }
    }

    /// Admits a request by its route, API key, body size and quota, and forwards it.
    async fn serve(
        self: Arc<Self>,
        mut head: request::Parts,
        body: Incoming,
        arrived_at: Instant,
    ) -> Result<Response<ForwardBody>, Refusal> {
        let Some(table) = self.table() else {
            return Err(Refusal::new(ErrorKind::ConfigurationStale, "starting")
                .with_retry_after_ms(STARTUP_RETRY_AFTER_MS));
        };
        if self.is_refusing() {
            return Err(draining_refusal());
        }
        let route = find_route(&table, &head)?;
        let Some(metadata) = self.dialect.read_request(&head) else {
            return Err(Refusal::new(ErrorKind::MalformedRequest, "request headers"));
        };
        let customer = self.authenticate(&table, &route, metadata.key.as_deref())?;
        let body = read_body(body, table.deployment.limits.body_bytes).await?;
        let customer_id = customer.map(|customer| &customer.id);
        let identity = self.identify_request(&head, &body, customer_id);
        let is_probe = self.admit_prompt(&metadata, identity)?;
        let service = pick_service(&route, rand::random())
            .cloned()
            .ok_or_else(|| Refusal::new(ErrorKind::NoEndpoint, "the route has no service"))?;
        let effective_timeout_ms = metadata
            .deadline_ms
            .unwrap_or(route.timeout_ms)
            .min(route.timeout_ms);
        let deadline = arrived_at + Duration::from_millis(effective_timeout_ms);
        let binding = self.bind_stream(&route, service, customer_id, &metadata, deadline);
        let StreamBinding {
            service,
            software_version,
        } = binding.await?;
        let customer_homes =
            customer.map_or_else(BTreeSet::new, |customer| customer.home_regions.clone());
        let homes = HomeRegions {
            route: &route.home_regions,
            customer: &customer_homes,
        };
        self.check_homes(&service, &homes)?;
        self.lock().count_request(&service, self.clock.now_ms());
        let caller_timeout_ms = metadata.deadline_ms.unwrap_or(route.timeout_ms);
        let cost = customer.and_then(|customer| request_cost(customer, &metadata));
        let reservation = match cost {
            Some((id, cost)) => {
                let token_use = TokenUse {
                    customer: id,
                    tokens: cost,
                    route: &route,
                    metadata: &metadata,
                    identity,
                    arrived_at,
                    timeout_ms: effective_timeout_ms,
                };
                Some(self.reserve_tokens(token_use).await?)
            }
            None => None,
        };
        strip_hop_by_hop_headers(&mut head.headers);
        head.headers.remove(http::header::CONTENT_LENGTH);
        head.headers.remove(http::header::EXPECT);
        let priority = customer
            .and_then(|customer| customer.priority)
            .unwrap_or(route.priority);
        let engine_priority = metadata.model.is_some().then(|| (1 + priority * 2).min(9));
        let demand_guard = metadata
            .model
            .as_ref()
            .map(|model| DemandGuard::new(&self, model));
        let call = Call {
            service,
            customer: customer_id.cloned(),
            customer_homes,
            identity,
            engine_priority,
            outgoing: OutgoingRequest {
                request_id: metadata.request_id.clone(),
                method: head.method,
                uri: head.uri,
                headers: head.headers,
                body,
            },
            metadata,
            route,
            arrived_at,
            deadline,
            caller_deadline: arrived_at + Duration::from_millis(caller_timeout_ms),
            reservation,
            attempts: AttemptHistory::default(),
            software_version,
            is_probe,
            _demand_guard: demand_guard,
            forwarder: self,
        };
        call.run().await
    }

    fn authenticate<'t>(
        &self,
        table: &'t RouteTable,
        route: &ForwardRoute,
        key: Option<&str>,
    ) -> Result<Option<&'t ForwardCustomer>, Refusal> {
        if route.is_public || table.deployment.customers.is_empty() {
            return Ok(None);
        }
        let key = key.ok_or_else(|| Refusal::new(ErrorKind::MissingKey, ""))?;
        let customer = table.customer(&self.digester.digest(key));
        customer
            .map(Some)
            .ok_or_else(|| Refusal::new(ErrorKind::InvalidKey, ""))
    }

    /// Returns the id of a request that its repeats share, whichever process receives them: each of
    /// them has a request id of its own.
    fn identify_request(
        &self,
        head: &request::Parts,
        body: &[u8],
        customer: Option<&CustomerId>,
    ) -> PromptPartId {
        let host = head.headers.get(http::header::HOST);
        let target = head.uri.path_and_query();
        let digest = self.request_digester.digest(&[
            customer.map_or("", CustomerId::as_str).as_bytes(),
            head.method.as_str().as_bytes(),
            host.map_or(&[], http::HeaderValue::as_bytes),
            target.map_or("", |target| target.as_str()).as_bytes(),
            body,
        ]);
        PromptPartId::of_request(digest)
    }

    /// Refuses a request that is quarantined or has a quarantined prompt part, and returns whether the
    /// request is a probe.
    fn admit_prompt(
        &self,
        metadata: &RequestMetadata,
        identity: PromptPartId,
    ) -> Result<bool, Refusal> {
        let mut guard = self.lock();
        let state = &mut *guard;
        let (quarantine, entry) = (&state.view.quarantine, &self.config.entry);
        let suspects = metadata.shared_prompt_parts().chain([identity]);
        let admission = state.prompts.admit(quarantine, entry, suspects);
        drop(guard);
        match admission {
            PromptAdmission::Admitted => Ok(false),
            PromptAdmission::Probe(part) => {
                info!(self.logger, "routing: request probes a quarantined prompt part";
                    "request" => &metadata.request_id, "part" => %part);
                Ok(true)
            }
            PromptAdmission::Refused(part) => {
                self.report_requested.notify_one();
                Err(Refusal::new(ErrorKind::PromptQuarantined, part.to_string())
                    .with_retry_after_ms(QUARANTINE_RETRY_AFTER_MS))
            }
        }
    }

    async fn prune_connections(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PRUNE_INTERVAL).await;
            self.pool
                .prune(|address| self.lock().endpoints.has_address(address));
        }
    }
}

/// Returns the refusal of a request that was not sent to an endpoint before the process stops. Other
/// processes can serve it at once.
fn draining_refusal() -> Refusal {
    Refusal::new(ErrorKind::Draining, "").with_retry_after_ms(0)
}

/// Returns whether a successful request is logged. Depends on the request id only, so that all
/// processes sample the same requests.
fn is_sampled(request_id: &str) -> bool {
    let byte_sum: u64 = request_id.bytes().map(u64::from).sum();
    byte_sum.is_multiple_of(LOG_SAMPLE_INTERVAL)
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
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(ErrorKind::BodyTooLarge, ""))
        }
        Err(_) => Err(Refusal::new(ErrorKind::MalformedRequest, "incomplete body")),
    }
}

/// Returns the customer and the quota cost of a request, `None` if the customer's rate is
/// unlimited.
fn request_cost<'c>(
    customer: &'c ForwardCustomer,
    metadata: &RequestMetadata,
) -> Option<(&'c CustomerId, u64)> {
    customer.rate_per_s?;
    let cost = match customer.unit {
        RateUnit::Requests => 1,
        RateUnit::Tokens => metadata
            .tokens
            .map_or(customer.default_cost, |(prompt, output)| prompt + output),
    };
    Some((&customer.id, cost))
}
