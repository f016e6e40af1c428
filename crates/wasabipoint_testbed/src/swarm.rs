//! The control traffic of many nodes, sent by one process with the real client and messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;
use wasabipoint_kernel::{
    CustomerId, EndpointId, EntryId, FailureDomain, Incarnation, ModelName, ServiceName, VmId,
};
use wasabipoint_rpc::{
    AgentReport, ControlClient, EndpointKind, EntryReport, FencingMode, FleetUpdate, ModelDemand,
    QuotaExchange, QuotaItem, SliceSettlement, WatchRequest,
};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between quota exchanges of an entry process under load.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

const WATCH_WAIT: Duration = Duration::from_secs(1);

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Models with demand at one entry process; half of the design's models are awake.
const ACTIVE_MODELS: usize = 10;

/// Customers with traffic at one entry process.
const ACTIVE_CUSTOMERS: usize = 3;

/// What the nodes have seen, for the time until a change is in force everywhere.
#[derive(Debug, Default)]
pub(crate) struct SwarmCounters {
    pub(crate) failed_calls: AtomicU64,
    pub(crate) calls: AtomicU64,
}

/// Many nodes. Dropping them ends their traffic.
pub(crate) struct Swarm {
    pub(crate) counters: Arc<SwarmCounters>,
    versions: Vec<Arc<AtomicU64>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Swarm {
    /// Starts the traffic of `entries` entry processes and `agents` agents towards one address.
    pub(crate) fn start(entries: usize, agents: usize, control: SocketAddr, run: u64) -> Self {
        let counters = Arc::new(SwarmCounters::default());
        let mut swarm = Self {
            counters,
            versions: Vec::new(),
            tasks: Vec::new(),
        };
        for index in 0..entries {
            let node = Node::new(index, control, run, &swarm.counters);
            let version = Arc::new(AtomicU64::new(0));
            swarm.versions.push(Arc::clone(&version));
            swarm
                .tasks
                .push(tokio::spawn(Arc::clone(&node).watch(version)));
            swarm
                .tasks
                .push(tokio::spawn(Arc::clone(&node).report_demand()));
            swarm.tasks.push(tokio::spawn(node.exchange_quota()));
        }
        for index in 0..agents {
            let node = Node::new(index, control, run, &swarm.counters);
            swarm.tasks.push(tokio::spawn(node.report_endpoint()));
        }
        swarm
    }

    /// Returns the lowest configuration version that an entry process holds.
    pub(crate) fn lowest_version(&self) -> u64 {
        self.versions
            .iter()
            .map(|version| version.load(Ordering::Relaxed))
            .min()
            .unwrap_or(0)
    }
}

impl Drop for Swarm {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

struct Node {
    index: usize,
    run: u64,
    client: ControlClient,
    address: SocketAddr,
    counters: Arc<SwarmCounters>,
}

impl Node {
    fn new(
        index: usize,
        control: SocketAddr,
        run: u64,
        counters: &Arc<SwarmCounters>,
    ) -> Arc<Self> {
        let client = ControlClient::new(&[control]);
        Arc::new(Self {
            index,
            run,
            client,
            address: control,
            counters: Arc::clone(counters),
        })
    }

    fn count<T, E>(&self, result: Result<T, E>) -> Option<T> {
        self.counters.calls.fetch_add(1, Ordering::Relaxed);
        if result.is_err() {
            self.counters.failed_calls.fetch_add(1, Ordering::Relaxed);
        }
        result.ok()
    }

    /// Spreads the nodes over the interval, as nodes that start at different times do.
    async fn stagger(&self, interval: Duration) {
        let share = self.index as u32 * 37 % 100;
        tokio::time::sleep(interval * share / 100).await;
    }

    async fn watch(self: Arc<Self>, version: Arc<AtomicU64>) {
        let mut known_revision = 0;
        loop {
            let request = WatchRequest {
                process_name: format!("entry-{}", self.index),
                known_revision,
                wait_ms: WATCH_WAIT.as_millis() as u64,
            };
            let reply = self
                .client
                .call(WATCH_WAIT, CALL_TIMEOUT, |client, context| {
                    let request = request.clone();
                    async move { client.watch(context, request).await }
                })
                .await;
            let Some(reply) = self.count(reply) else {
                continue;
            };
            known_revision = reply.revision;
            let held = match &reply.update {
                FleetUpdate::Snapshot(view) => Some(view.config_version.0),
                FleetUpdate::Delta(changes) => {
                    changes.iter().rev().find_map(|change| match change {
                        wasabipoint_rpc::FleetChange::Config(held) => Some(held.0),
                        _ => None,
                    })
                }
            };
            if let Some(held) = held {
                version.store(held, Ordering::Relaxed);
            }
        }
    }

    async fn report_demand(self: Arc<Self>) {
        self.stagger(REPORT_INTERVAL).await;
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        for sequence in 1.. {
            ticks.tick().await;
            let demand = (0..ACTIVE_MODELS).map(|offset| ModelDemand {
                model: ModelName::new(format!("model-{}", (self.index + offset) % 95)),
                arrived: 2,
                queued: 0,
                in_flight: 3,
                oldest_wait_ms: 0,
                earliest_deadline_ms: None,
            });
            let report = EntryReport {
                entry: EntryId::new(format!("entry-{}", self.index)),
                incarnation: Incarnation(self.run),
                sequence,
                address: self.address,
                demand: demand.collect(),
                draining_endpoints: Vec::new(),
                unreachable_endpoints: Vec::new(),
            };
            let response = self
                .client
                .call(Duration::ZERO, CALL_TIMEOUT, |client, context| {
                    let report = report.clone();
                    async move { client.report_entry(context, report).await }
                })
                .await;
            self.count(response);
        }
    }

    async fn exchange_quota(self: Arc<Self>) {
        self.stagger(EXCHANGE_INTERVAL).await;
        let mut ticks = tokio::time::interval(EXCHANGE_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut held: Vec<(CustomerId, u64, u64)> = Vec::new();
        for sequence in 1.. {
            ticks.tick().await;
            let items = (0..ACTIVE_CUSTOMERS).map(|offset| {
                let customer = CustomerId::new(format!("customer-{}", (self.index + offset) % 20));
                let spent = held.iter().filter(|(holder, _, _)| *holder == customer);
                let settlements = spent.map(|(_, slice_id, tokens)| SliceSettlement {
                    slice_id: *slice_id,
                    spent_tokens: *tokens,
                    returned_tokens: 0,
                });
                let settlements = settlements.collect();
                QuotaItem {
                    customer,
                    settlements,
                    wanted_tokens: 200,
                    accepts_partial: true,
                }
            });
            let exchange = QuotaExchange {
                entry: EntryId::new(format!("entry-{}", self.index)),
                incarnation: Incarnation(self.run),
                sequence,
                items: items.collect(),
            };
            let response = self
                .client
                .call(Duration::ZERO, CALL_TIMEOUT, |client, context| {
                    let exchange = exchange.clone();
                    async move { client.exchange_quota(context, exchange).await }
                })
                .await;
            held.clear();
            let Some(grants) = self.count(response) else {
                continue;
            };
            held.extend(
                grants
                    .slices
                    .into_iter()
                    .map(|slice| (slice.customer, slice.slice_id, slice.tokens)),
            );
        }
    }

    async fn report_endpoint(self: Arc<Self>) {
        self.stagger(REPORT_INTERVAL).await;
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        for sequence in 1.. {
            ticks.tick().await;
            let report = self.agent_report(sequence);
            let response = self
                .client
                .call(Duration::ZERO, CALL_TIMEOUT, |client, context| {
                    let report = report.clone();
                    async move { client.report_agent(context, report).await }
                })
                .await;
            self.count(response);
        }
    }

    fn agent_report(&self, sequence: u64) -> AgentReport {
        AgentReport {
            endpoint: EndpointId::new(format!("endpoint-{}", self.index)),
            vm: VmId::new(format!("vm-{}", self.index)),
            incarnation: Incarnation(self.run),
            sequence,
            address: self.address,
            failure_domain: FailureDomain::new(format!("domain-{}", self.index % 11)),
            kind: EndpointKind::Engine,
            service: ServiceName::new("none"),
            fencing: FencingMode::Checked,
            memory_mib: 640_000,
            memory_used_mib: 0,
            accelerators: 8,
            concurrency: 32,
            is_draining: false,
            has_engine_state: true,
            replicas: Vec::new(),
            adapters: Vec::new(),
            checkpoints: Vec::new(),
        }
    }
}
