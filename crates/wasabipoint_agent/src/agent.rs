//! The running agent: state shared by its tasks, reports to control, and drain.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::Instant;
use wasabipoint_kernel::{Incarnation, Metrics, MonotonicClock};
use wasabipoint_rpc::{
    AgentReport, DispatchRequest, EndpointKind, Outcome, OutcomeRequest, ReplicaState,
};

use crate::config::AgentConfig;
use crate::control_link::ControlLink;
use crate::dispatch;
use crate::endpoint::Endpoint;
use crate::memory_ledger::Allocation;
use crate::metrics::{AgentMetrics, GaugeSample};
use crate::reconcile::reconcile;
use crate::slots::RequestSlots;
use crate::state::AgentState;

/// Report interval until control sends another one.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between reports, so that simultaneous changes share one report.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Sampling interval of the gauges and of the accelerator idle time.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// State and connections shared by all tasks of the agent.
pub(crate) struct AgentContext {
    pub(crate) config: AgentConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) endpoint: Arc<dyn Endpoint>,
    pub(crate) control: Arc<dyn ControlLink>,
    pub(crate) logger: Logger,
    pub(crate) clock: MonotonicClock,
    pub(crate) slots: Arc<RequestSlots>,
    pub(crate) metrics: AgentMetrics,
    pub(crate) report_requested: Notify,
    pub(crate) reconcile_requested: Notify,
    pub(crate) adapters_changed: Notify,
    pub(crate) requests_done: Notify,
    state: Mutex<AgentState>,
}

impl std::fmt::Debug for AgentContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentContext")
            .field("endpoint", &self.config.endpoint)
            .finish_non_exhaustive()
    }
}

impl AgentContext {
    pub(crate) fn state(&self) -> MutexGuard<'_, AgentState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn build_report(&self) -> AgentReport {
        let config = &self.config;
        let mut report = AgentReport {
            endpoint: config.endpoint.clone(),
            vm: config.vm.clone(),
            incarnation: self.incarnation,
            sequence: 0,
            address: config.listen,
            failure_domain: config.failure_domain.clone(),
            kind: config.kind,
            service: config.service.clone(),
            fencing: config.fencing,
            memory_mib: 0,
            memory_used_mib: 0,
            accelerators: config.accelerators,
            concurrency: config.concurrency,
            is_draining: false,
            has_engine_state: false,
            replicas: Vec::new(),
            adapters: Vec::new(),
            checkpoints: Vec::new(),
        };
        self.state().fill_report(&mut report);
        report
    }

    fn sample_gauges(&self) -> GaugeSample {
        let (running, queued) = self.slots.counts();
        let state = self.state();
        let idle_mib: u64 = state
            .replicas
            .iter()
            .filter(|(model, replica)| {
                replica.state == ReplicaState::Loaded
                    && !state.running_requests.contains_key(*model)
            })
            .filter_map(|(model, _)| state.memory.get(&Allocation::Replica(model.clone())))
            .map(|(memory_mib, _)| memory_mib)
            .sum();
        let idle_ratio = idle_mib as f64 / state.memory.usable_mib().max(1) as f64;
        GaugeSample {
            idle_accelerators: f64::from(self.config.accelerators) * idle_ratio.min(1.0),
            memory_used_mib: state.memory.used_mib(),
            memory_usable_mib: state.memory.usable_mib(),
            running,
            queued,
        }
    }
}

/// A running agent. Dropping it aborts its background tasks.
#[derive(Debug)]
pub struct Agent {
    context: Arc<AgentContext>,
    _tasks: JoinSet<()>,
}

impl Agent {
    /// Spawns the agent's tasks on the current runtime. The incarnation must be larger than that of
    /// every earlier agent of the same endpoint.
    pub fn start(
        config: AgentConfig,
        incarnation: Incarnation,
        endpoint: Arc<dyn Endpoint>,
        control: Arc<dyn ControlLink>,
        registry: Metrics,
        logger: Logger,
    ) -> Self {
        let context = Arc::new(AgentContext {
            state: Mutex::new(AgentState::new(&config)),
            slots: RequestSlots::new(config.concurrency as usize),
            incarnation,
            endpoint,
            control,
            logger,
            clock: MonotonicClock::new(),
            metrics: AgentMetrics::new(registry),
            report_requested: Notify::new(),
            reconcile_requested: Notify::new(),
            adapters_changed: Notify::new(),
            requests_done: Notify::new(),
            config,
        });
        let mut tasks = JoinSet::new();
        if context.config.kind == EndpointKind::Engine {
            tasks.spawn(reconcile(Arc::clone(&context)));
        }
        tasks.spawn(send_reports(Arc::clone(&context)));
        tasks.spawn(record_samples(Arc::clone(&context)));
        Self {
            context,
            _tasks: tasks,
        }
    }

    /// Returns the incarnation of this agent.
    pub fn incarnation(&self) -> Incarnation {
        self.context.incarnation
    }

    /// Accepts a request and handles it in its own task. The receiver yields the encoded frames and
    /// then `None`. Dropping the receiver has the same effect as a lost connection to the entry
    /// process.
    pub fn dispatch(&self, request: DispatchRequest) -> mpsc::Receiver<Option<Bytes>> {
        dispatch::dispatch(&self.context, request)
    }

    /// Returns the outcome of a request. A request that has not started is refused from then on.
    pub fn outcome(&self, request: &OutcomeRequest) -> Outcome {
        dispatch::outcome(&self.context, request)
    }

    /// Returns whether the agent is shutting down.
    pub fn is_draining(&self) -> bool {
        self.context.state().is_draining
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        self.context.metrics.render()
    }

    /// Refuses new requests, reports the drain to control and waits until all accepted requests
    /// have ended.
    pub async fn drain(&self) {
        let context = &self.context;
        context.state().is_draining = true;
        context.report_requested.notify_one();
        info!(context.logger, "agent: draining"; "requests" => context.state().accepted_requests);
        loop {
            let requests_done = context.requests_done.notified();
            tokio::pin!(requests_done);
            requests_done.as_mut().enable();
            if context.state().accepted_requests == 0 {
                break;
            }
            requests_done.await;
        }
        info!(context.logger, "agent: drained");
    }
}

/// Sends reports periodically and on change, one at a time.
async fn send_reports(context: Arc<AgentContext>) {
    let mut interval = REPORT_INTERVAL;
    let mut is_connected = true;
    loop {
        let sent_at = Instant::now();
        let report = context.build_report();
        match context.control.report(report).await {
            Ok(directive) => {
                interval = Duration::from_millis(directive.next_report_ms.max(1));
                let now_ms = context.clock.now_ms();
                context.state().apply_directive(directive, now_ms);
                context.reconcile_requested.notify_one();
                context.adapters_changed.notify_waiters();
                if !is_connected {
                    info!(context.logger, "agent: connection to control restored");
                }
                is_connected = true;
            }
            Err(error) => {
                if is_connected {
                    warn!(context.logger, "agent: report to control failed"; "error" => ?error);
                }
                is_connected = false;
            }
        }
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
        let requested = context.report_requested.notified();
        let _ = tokio::time::timeout_at(sent_at + interval, requested).await;
    }
}

async fn record_samples(context: Arc<AgentContext>) {
    let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut last = Instant::now();
    loop {
        interval.tick().await;
        let now = Instant::now();
        context
            .metrics
            .record_sample(&context.sample_gauges(), now - last);
        last = now;
    }
}
