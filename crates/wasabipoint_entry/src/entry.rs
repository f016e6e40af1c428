//! Wires the components of an entry process together and runs its background tasks.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Logger, info};
use tokio::task::JoinSet;
use wasabipoint_kernel::{Metrics, MonotonicClock};

use crate::claim::ClaimClient;
use crate::config::EntryConfig;
use crate::decisions::DecisionLog;
use crate::drain::Drain;
use crate::executor::CallExecutor;
use crate::fleet::FleetCache;
use crate::link::{AgentLink, ControlLink};
use crate::metrics::EntryMetrics;
use crate::quota::QuotaClient;
use crate::report::DemandReporter;
use crate::retry::CallRetryBudget;
use crate::scheduler::Scheduler;

/// Interval at which queued requests are dispatched even without an event, because load reports
/// age in the meantime.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of the quota exchange that returns unused tokens at the end of a drain.
const QUOTA_RETURN_TIMEOUT: Duration = Duration::from_secs(2);

/// An entry process without its listener.
pub struct Entry {
    pub(crate) config: EntryConfig,
    pub(crate) fleet: Arc<FleetCache>,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) quota: Arc<QuotaClient>,
    pub(crate) executor: CallExecutor,
    pub(crate) decisions: Arc<DecisionLog>,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) drain: Arc<Drain>,
    pub(crate) clock: MonotonicClock,
    pub(crate) logger: Logger,
    control: Arc<dyn ControlLink>,
    tasks: Mutex<JoinSet<()>>,
}

impl Entry {
    /// Creates an entry process and spawns its background tasks on the current Tokio runtime.
    pub fn start(
        config: EntryConfig,
        control: Arc<dyn ControlLink>,
        agents: Arc<dyn AgentLink>,
        logger: Logger,
    ) -> Arc<Self> {
        let clock = MonotonicClock::new();
        let fleet = Arc::new(FleetCache::new(
            &config.key_secret,
            config.freshness_bound_ms,
            clock,
        ));
        let decisions = Arc::new(DecisionLog::default());
        let scheduler = Arc::new(Scheduler::new(
            config.failure_domain.clone(),
            Arc::clone(&fleet),
            Arc::clone(&decisions),
            clock,
            logger.clone(),
        ));
        let executor = CallExecutor {
            agents: Arc::clone(&agents),
            claim_client: ClaimClient::new(Arc::clone(&control), agents),
            scheduler: Arc::clone(&scheduler),
            fleet: Arc::clone(&fleet),
            retry_budget: CallRetryBudget::new(),
            clock,
            silence_bound: Duration::from_millis(config.silence_bound_ms),
            logger: logger.clone(),
        };
        let entry = Arc::new(Self {
            quota: Arc::new(QuotaClient::new(
                config.entry.clone(),
                config.incarnation,
                clock,
            )),
            metrics: Arc::new(EntryMetrics::new(
                Metrics::new("wasabipoint-entry"),
                &scheduler,
            )),
            drain: Arc::new(Drain::new()),
            tasks: Mutex::new(JoinSet::new()),
            config,
            fleet,
            scheduler,
            executor,
            decisions,
            clock,
            logger,
            control,
        });
        entry.spawn_background_tasks();
        entry
    }

    fn spawn_background_tasks(&self) {
        let mut tasks = self.tasks.lock().expect("no holder of this lock panics");
        let control = Arc::clone(&self.control);
        let (fleet, logger) = (Arc::clone(&self.fleet), self.logger.clone());
        let entry_name = self.config.entry.to_string();
        tasks.spawn(async move { fleet.poll_updates(&*control, &entry_name, &logger).await });

        let control = Arc::clone(&self.control);
        let (quota, logger) = (Arc::clone(&self.quota), self.logger.clone());
        tasks.spawn(async move { quota.run(&*control, &logger).await });

        let control = Arc::clone(&self.control);
        let (reporter, config) = (
            DemandReporter::new(Arc::clone(&self.scheduler)),
            self.config.clone(),
        );
        tasks.spawn(async move { reporter.run(&*control, &config).await });

        let scheduler = Arc::clone(&self.scheduler);
        let mut changes = self.fleet.subscribe();
        tasks.spawn(async move {
            loop {
                match tokio::time::timeout(DISPATCH_INTERVAL, changes.changed()).await {
                    Ok(Ok(())) => scheduler.apply_fleet_view(),
                    Ok(Err(_)) => return,
                    Err(_) => scheduler.dispatch_queued(),
                }
            }
        });
    }

    /// Waits until control has confirmed a first fleet view.
    pub async fn wait_until_ready(&self) {
        let mut changes = self.fleet.subscribe();
        while !self.fleet.is_ready() {
            // Fails only if the sender is dropped, but `self` holds the fleet cache that owns it.
            let _ = changes.changed().await;
        }
    }

    /// Drains the process: fails the health check, still accepts requests during the grace period,
    /// then waits for running requests to finish and returns unused tokens to control.
    pub async fn drain(&self) {
        info!(self.logger, "entry: drain started");
        let grace = Duration::from_millis(self.config.drain_grace_ms);
        self.drain.run(grace).await;
        let returning = self.quota.return_free_tokens(&*self.control, &self.logger);
        let _ = tokio::time::timeout(QUOTA_RETURN_TIMEOUT, returning).await;
        info!(self.logger, "entry: drain completed");
    }
}
