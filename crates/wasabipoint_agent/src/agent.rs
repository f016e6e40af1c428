//! The running agent: shared core, reports to control, drain.

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
use crate::control::ControlLink;
use crate::dispatch;
use crate::endpoint::Endpoint;
use crate::memory_ledger::Holding;
use crate::meters::{Meters, Sample};
use crate::reconcile::reconcile;
use crate::slots::Slots;
use crate::state::AgentState;

/// Time between reports until control names another.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between reports; changes that come together go into one report.
const REPORT_PAUSE: Duration = Duration::from_millis(20);

/// Time between samples of the gauges.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// State and links that all tasks of the agent share.
pub(crate) struct Core {
    pub(crate) config: AgentConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) endpoint: Arc<dyn Endpoint>,
    pub(crate) control: Arc<dyn ControlLink>,
    pub(crate) logger: Logger,
    pub(crate) clock: MonotonicClock,
    pub(crate) slots: Arc<Slots>,
    pub(crate) meters: Meters,
    pub(crate) report_wake: Notify,
    pub(crate) reconcile_wake: Notify,
    pub(crate) adapters_changed: Notify,
    pub(crate) idle: Notify,
    state: Mutex<AgentState>,
}

impl std::fmt::Debug for Core {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Core")
            .field("endpoint", &self.config.endpoint)
            .finish_non_exhaustive()
    }
}

impl Core {
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
            is_engine_known: false,
            replicas: Vec::new(),
            adapters: Vec::new(),
            checkpoints: Vec::new(),
        };
        self.state().fill_report(&mut report);
        report
    }

    fn sample(&self) -> Sample {
        let (running, queued) = self.slots.counts();
        let state = self.state();
        let idle_mib: u64 = state
            .replicas
            .iter()
            .filter(|(model, replica)| {
                replica.state == ReplicaState::Loaded && !state.running.contains_key(*model)
            })
            .filter_map(|(model, _)| state.memory.get(&Holding::Replica(model.clone())))
            .map(|(memory_mib, _)| memory_mib)
            .sum();
        let share = idle_mib as f64 / state.memory.usable_mib().max(1) as f64;
        Sample {
            idle_accelerators: f64::from(self.config.accelerators) * share.min(1.0),
            memory_used_mib: state.memory.used_mib(),
            memory_usable_mib: state.memory.usable_mib(),
            running,
            queued,
        }
    }
}

/// A running agent. Dropping it ends its tasks.
#[derive(Debug)]
pub struct Agent {
    core: Arc<Core>,
    _tasks: JoinSet<()>,
}

impl Agent {
    /// Starts the agent's tasks on the current runtime. The incarnation must be larger than those
    /// of earlier runs at the same endpoint.
    pub fn start(
        config: AgentConfig,
        incarnation: Incarnation,
        endpoint: Arc<dyn Endpoint>,
        control: Arc<dyn ControlLink>,
        metrics: Metrics,
        logger: Logger,
    ) -> Self {
        let core = Arc::new(Core {
            state: Mutex::new(AgentState::new(&config)),
            slots: Slots::new(config.concurrency as usize),
            incarnation,
            endpoint,
            control,
            logger,
            clock: MonotonicClock::new(),
            meters: Meters::new(metrics),
            report_wake: Notify::new(),
            reconcile_wake: Notify::new(),
            adapters_changed: Notify::new(),
            idle: Notify::new(),
            config,
        });
        let mut tasks = JoinSet::new();
        if core.config.kind == EndpointKind::Engine {
            tasks.spawn(reconcile(Arc::clone(&core)));
        }
        tasks.spawn(report(Arc::clone(&core)));
        tasks.spawn(sample(Arc::clone(&core)));
        Self {
            core,
            _tasks: tasks,
        }
    }

    /// Returns the run of this agent.
    pub fn incarnation(&self) -> Incarnation {
        self.core.incarnation
    }

    /// Accepts a request; the receiver yields the encoded frames and then `None`. Dropping the
    /// receiver is the loss of the entry's connection.
    pub fn dispatch(&self, request: DispatchRequest) -> mpsc::Receiver<Option<Bytes>> {
        dispatch::dispatch(&self.core, request)
    }

    /// Answers what became of a request; one that did not start never will.
    pub fn outcome(&self, request: &OutcomeRequest) -> Outcome {
        dispatch::outcome(&self.core, request)
    }

    /// Tells whether the agent is shutting down.
    pub fn is_draining(&self) -> bool {
        self.core.state().is_draining
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        self.core.meters.render()
    }

    /// Refuses new requests, reports it, and waits until all accepted requests have ended.
    pub async fn drain(&self) {
        let core = &self.core;
        core.state().is_draining = true;
        core.report_wake.notify_one();
        info!(core.logger, "agent: draining"; "requests" => core.state().accepted);
        loop {
            let idle = core.idle.notified();
            tokio::pin!(idle);
            idle.as_mut().enable();
            if core.state().accepted == 0 {
                break;
            }
            idle.await;
        }
        info!(core.logger, "agent: drained");
    }
}

/// Reports every second or on change, one report at a time.
async fn report(core: Arc<Core>) {
    let mut interval = REPORT_INTERVAL;
    let mut is_connected = true;
    loop {
        let sent_at = Instant::now();
        let report = core.build_report();
        match core.control.report(report).await {
            Ok(directive) => {
                interval = Duration::from_millis(directive.next_report_ms.max(1));
                let now_ms = core.clock.now_ms();
                core.state().set_directive(directive, now_ms);
                core.reconcile_wake.notify_one();
                core.adapters_changed.notify_waiters();
                if !is_connected {
                    info!(core.logger, "agent: control answers again");
                }
                is_connected = true;
            }
            Err(error) => {
                if is_connected {
                    warn!(core.logger, "agent: control does not answer"; "error" => ?error);
                }
                is_connected = false;
            }
        }
        tokio::time::sleep(REPORT_PAUSE).await;
        let wake = core.report_wake.notified();
        let _ = tokio::time::timeout_at(sent_at + interval, wake).await;
    }
}

async fn sample(core: Arc<Core>) {
    let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut last = Instant::now();
    loop {
        interval.tick().await;
        let now = Instant::now();
        core.meters.record_sample(&core.sample(), now - last);
        last = now;
    }
}
