//! Simulates the control traffic of many nodes from one process, with the real RPC client and
//! messages.

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
    PromptReport, QuotaExchange, QuotaItem, SliceSettlement, WatchRequest,
};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between quota exchanges of an entry process under load.
const QUOTA_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which control holds a watch call open when nothing changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of models with demand at one entry process. At the design size, half of all models are
/// active.
const ACTIVE_MODELS: usize = 10;

/// Number of customers with traffic at one entry process.
const ACTIVE_CUSTOMERS: usize = 3;

/// Counts of RPC calls over all nodes.
#[derive(Debug, Default)]
pub(crate) struct CallCounters {
    pub(crate) failed_calls: AtomicU64,
    pub(crate) calls: AtomicU64,
}

/// A set of simulated entry processes and agents. Dropping it stops their traffic.
pub(crate) struct SimulatedNodes {
    pub(crate) counters: Arc<CallCounters>,
    /// Last configuration version that each entry process has received.
    config_versions: Vec<Arc<AtomicU64>>,
    tasks: Vec<JoinHandle<()>>,
}

impl SimulatedNodes {
    /// Starts the traffic of `entries` entry processes and `agents` agents to one control address.
    pub(crate) fn start(
        entries: usize,
        agents: usize,
        control: SocketAddr,
        run_number: u64,
    ) -> Self {
        let counters = Arc::new(CallCounters::default());
        let mut node_set = Self {
            counters,
            config_versions: Vec::new(),
            tasks: Vec::new(),
        };
        for index in 0..entries {
            let node = Node::new(index, control, run_number, &node_set.counters);
            let config_version = Arc::new(AtomicU64::new(0));
            node_set.config_versions.push(Arc::clone(&config_version));
            node_set
                .tasks
                .push(tokio::spawn(Arc::clone(&node).watch(config_version)));
            node_set
                .tasks
                .push(tokio::spawn(Arc::clone(&node).send_entry_reports()));
            node_set.tasks.push(tokio::spawn(node.exchange_quota()));
        }
        for index in 0..agents {
            let node = Node::new(index, control, run_number, &node_set.counters);
            node_set.tasks.push(tokio::spawn(node.send_agent_reports()));
        }
        node_set
    }

    /// Returns the lowest configuration version that any entry process has received.
    pub(crate) fn lowest_config_version(&self) -> u64 {
        self.config_versions
            .iter()
            .map(|version| version.load(Ordering::Relaxed))
            .min()
            .unwrap_or(0)
    }
}

impl Drop for SimulatedNodes {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

struct Node {
    index: usize,
    run_number: u64,
    client: ControlClient,
    address: SocketAddr,
    counters: Arc<CallCounters>,
}

impl Node {
    fn new(
        index: usize,
        control: SocketAddr,
        run_number: u64,
        counters: &Arc<CallCounters>,
    ) -> Arc<Self> {
        let client = ControlClient::new(&[control]);
        Arc::new(Self {
            index,
            run_number,
            client,
            address: control,
            counters: Arc::clone(counters),
        })
    }

    fn record_call<T, E>(&self, result: Result<T, E>) -> Option<T> {
        self.counters.calls.fetch_add(1, Ordering::Relaxed);
        if result.is_err() {
            self.counters.failed_calls.fetch_add(1, Ordering::Relaxed);
        }
        result.ok()
    }

    /// Delays the node by a fraction of the interval that depends on its index, so that the nodes'
    /// calls are spread over the interval like those of nodes that start at different times.
    async fn stagger(&self, interval: Duration) {
        let percent = self.index as u32 * 37 % 100;
        tokio::time::sleep(interval * percent / 100).await;
    }

    async fn watch(self: Arc<Self>, config_version: Arc<AtomicU64>) {
        let mut known_revision = 0;
        loop {
            let request = WatchRequest {
                process_name: format!("entry-{}", self.index),
                known_revision,
                wait_ms: WATCH_TIMEOUT.as_millis() as u64,
            };
            let reply = self
                .client
                .call(WATCH_TIMEOUT, CALL_TIMEOUT, |client, context| {
                    let request = request.clone();
                    async move { client.watch(context, request).await }
                })
                .await;
            let Some(reply) = self.record_call(reply) else {
                continue;
            };
            known_revision = reply.revision;
            let received_version = match &reply.update {
                FleetUpdate::Snapshot(view) => Some(view.config_version.0),
                FleetUpdate::Delta(changes) => {
                    changes.iter().rev().find_map(|change| match change {
                        wasabipoint_rpc::FleetChange::Config(received_version) => {
                            Some(received_version.0)
                        }
                        _ => None,
                    })
                }
            };
            if let Some(received_version) = received_version {
                config_version.store(received_version, Ordering::Relaxed);
            }
        }
    }

    async fn send_entry_reports(self: Arc<Self>) {
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
                incarnation: Incarnation(self.run_number),
                sequence,
                address: self.address,
                demand: demand.collect(),
                draining_endpoints: Vec::new(),
                unreachable_endpoints: Vec::new(),
                prompts: PromptReport::default(),
                limits: Vec::new(),
                speeds: Vec::new(),
            };
            let rpc_result = self
                .client
                .call(Duration::ZERO, CALL_TIMEOUT, |client, context| {
                    let report = report.clone();
                    async move { client.report_entry(context, report).await }
                })
                .await;
            self.record_call(rpc_result);
        }
    }

    async fn exchange_quota(self: Arc<Self>) {
        self.stagger(QUOTA_EXCHANGE_INTERVAL).await;
        let mut ticks = tokio::time::interval(QUOTA_EXCHANGE_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        // Each slice is reported as fully spent in the next exchange: customer, slice id, tokens.
        let mut held_slices: Vec<(CustomerId, u64, u64)> = Vec::new();
        for sequence in 1.. {
            ticks.tick().await;
            let items = (0..ACTIVE_CUSTOMERS).map(|offset| {
                let customer = CustomerId::new(format!("customer-{}", (self.index + offset) % 20));
                let held_for_customer = held_slices
                    .iter()
                    .filter(|(slice_customer, _, _)| *slice_customer == customer);
                let settlements = held_for_customer.map(|(_, slice_id, tokens)| SliceSettlement {
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
                incarnation: Incarnation(self.run_number),
                sequence,
                items: items.collect(),
            };
            let rpc_result = self
                .client
                .call(Duration::ZERO, CALL_TIMEOUT, |client, context| {
                    let exchange = exchange.clone();
                    async move { client.exchange_quota(context, exchange).await }
                })
                .await;
            held_slices.clear();
            let Some(grants) = self.record_call(rpc_result) else {
                continue;
            };
            held_slices.extend(
                grants
                    .slices
                    .into_iter()
                    .map(|slice| (slice.customer, slice.slice_id, slice.tokens)),
            );
        }
    }

    async fn send_agent_reports(self: Arc<Self>) {
        self.stagger(REPORT_INTERVAL).await;
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        for sequence in 1.. {
            ticks.tick().await;
            let report = self.agent_report(sequence);
            let rpc_result = self
                .client
                .call(Duration::ZERO, CALL_TIMEOUT, |client, context| {
                    let report = report.clone();
                    async move { client.report_agent(context, report).await }
                })
                .await;
            self.record_call(rpc_result);
        }
    }

    fn agent_report(&self, sequence: u64) -> AgentReport {
        AgentReport {
            endpoint: EndpointId::new(format!("endpoint-{}", self.index)),
            vm: VmId::new(format!("vm-{}", self.index)),
            incarnation: Incarnation(self.run_number),
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
