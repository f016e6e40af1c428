//! State that the leader keeps about engines in addition to the endpoint directory: the results of
//! its own commands, the demand, and the models on local disks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, EngineSpec, Incarnation, ModelName};
use wasabipoint_policy::{Deferral, EngineDemand, EngineForecast, LoadForecast, StoreConcurrency};
use wasabipoint_rpc::EndpointView;

use super::ledger::EngineLedger;

/// Time after a change during which the leader's own state overrides the endpoint directory. It
/// exceeds the directory's lag.
const OVERRIDE_TTL: Duration = Duration::from_secs(2);

/// Time past its expected end after which a load no longer prevents another engine from loading the
/// model.
const LOAD_OVERDUE_GRACE: Duration = Duration::from_secs(2);

/// Minimum time that a model loaded from the weight store stays in memory.
const MIN_RESIDENCY_AFTER_STORE_LOAD: Duration = Duration::from_secs(5);

/// Minimum time that a model loaded from a local disk stays in memory. It is shorter because such a
/// load takes a fifth of the time.
const MIN_RESIDENCY_AFTER_DISK_LOAD: Duration = Duration::from_millis(2_500);

/// Time after a failed change during which no further change is planned for the engine.
const FAILED_CHANGE_BACKOFF: Duration = Duration::from_secs(2);

/// Time after an adapter request was held up by a change in progress during which no further change
/// starts on that engine. Entry processes retry within this time.
const ADAPTER_PRIORITY_WINDOW: Duration = Duration::from_millis(400);

/// Models that the leader knows to be loaded on an engine, used in place of those that the directory
/// lists.
#[derive(Debug, Clone)]
struct StateOverride {
    incarnation: Incarnation,
    models: Vec<ModelName>,
    /// When the directory applies again; `None` while a change is in progress.
    expires_at: Option<Instant>,
}

/// A load in progress.
#[derive(Debug, Clone, Copy)]
struct ActiveLoad {
    expected_end: Instant,
    is_from_store: bool,
    /// Loads from the weight store that ran when this one started, including itself.
    concurrent_store_loads: u32,
}

/// Tracks the engines during one term of the leader.
#[derive(Debug)]
pub(crate) struct EngineTracker {
    overrides: BTreeMap<EndpointId, StateOverride>,
    disk_models: BTreeMap<EndpointId, BTreeSet<ModelName>>,
    ledgers: BTreeMap<EndpointId, Arc<tokio::sync::Mutex<EngineLedger>>>,
    demand: EngineDemand,
    /// Start of the term.
    started_at: Instant,
    /// When an adapter request was last held up by a change in progress.
    adapter_waits: BTreeMap<EndpointId, Instant>,
    adapter_last_used: BTreeMap<(EndpointId, ModelName), Instant>,
    /// Start times of recent loads from the weight store.
    store_load_starts: VecDeque<Instant>,
    store_concurrency: StoreConcurrency,
    deferred: Vec<(ModelName, Deferral)>,
    failed_changes: BTreeMap<EndpointId, Instant>,
    commands_allowed_from: Option<Instant>,
    /// Time until which a recently loaded model must not be unloaded.
    protected_until: BTreeMap<(EndpointId, ModelName), Instant>,
    queried_disks: BTreeSet<(EndpointId, Incarnation)>,
    active_loads: BTreeMap<(EndpointId, ModelName), ActiveLoad>,
}

impl EngineTracker {
    /// Creates an empty tracker for a term that begins now.
    pub(crate) fn new() -> Self {
        Self {
            overrides: BTreeMap::new(),
            disk_models: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            demand: EngineDemand::default(),
            started_at: Instant::now(),
            adapter_waits: BTreeMap::new(),
            adapter_last_used: BTreeMap::new(),
            store_load_starts: VecDeque::new(),
            store_concurrency: StoreConcurrency::default(),
            deferred: Vec::new(),
            failed_changes: BTreeMap::new(),
            commands_allowed_from: None,
            protected_until: BTreeMap::new(),
            queried_disks: BTreeSet::new(),
            active_loads: BTreeMap::new(),
        }
    }

    /// Replaces the listed models of engines that are changing or have just changed by those that
    /// the leader tracks.
    pub(crate) fn apply_overrides(&mut self, mut listed: Vec<EndpointView>) -> Vec<EndpointView> {
        let now = Instant::now();
        self.overrides.retain(|_, state_override| {
            state_override
                .expires_at
                .is_none_or(|expires_at| expires_at > now)
        });
        for endpoint in &mut listed {
            let models = endpoint.models.iter().filter(|model| is_model(model));
            let disk_models = self.disk_models.entry(endpoint.id.clone()).or_default();
            disk_models.extend(models.cloned());
            let state_override = self.overrides.get(&endpoint.id);
            if let Some(state_override) = state_override
                .filter(|state_override| state_override.incarnation == endpoint.incarnation)
            {
                endpoint.models.clone_from(&state_override.models);
            }
        }
        listed
    }

    /// Records the loaded models of an engine while a change is in progress there.
    pub(crate) fn begin_change(&mut self, endpoint: &EndpointView, models: Vec<ModelName>) {
        self.set_override(endpoint, models, None);
    }

    /// Marks the disk of an engine as queried. Returns false if it already was for this
    /// incarnation.
    pub(crate) fn mark_disk_queried(&mut self, endpoint: &EndpointView) -> bool {
        let key = (endpoint.id.clone(), endpoint.incarnation);
        self.queried_disks.insert(key)
    }

    /// Records the start and the expected duration of a load.
    pub(crate) fn begin_load(
        &mut self,
        endpoint: &EndpointId,
        model: &ModelName,
        expected: Duration,
        is_from_store: bool,
    ) {
        if is_from_store {
            self.store_load_starts.push_back(Instant::now());
        }
        let loading = ActiveLoad {
            expected_end: Instant::now() + expected,
            is_from_store,
            concurrent_store_loads: self.store_loads_running() + 1,
        };
        self.active_loads
            .insert((endpoint.clone(), model.clone()), loading);
    }

    /// Removes a load that ended. `times` is the measured and the configured duration of a completed
    /// load, and `None` for a failed one. A completed load from the weight store updates the estimate
    /// of the store's concurrency.
    pub(crate) fn end_load(
        &mut self,
        endpoint: &EndpointId,
        model: &ModelName,
        times: Option<(Duration, Duration)>,
    ) {
        let key = (endpoint.clone(), model.clone());
        let running = self.store_loads_running();
        let ended = self
            .active_loads
            .remove(&key)
            .filter(|load| load.is_from_store);
        let is_from_store = ended.is_some();
        if let (Some(load), Some((measured, configured))) = (ended, times) {
            let running = running.max(load.concurrent_store_loads);
            self.store_concurrency
                .record_load(measured, configured, running);
        }
        let protected_for = if is_from_store {
            MIN_RESIDENCY_AFTER_STORE_LOAD
        } else {
            MIN_RESIDENCY_AFTER_DISK_LOAD
        };
        let now = Instant::now();
        self.protected_until.insert(key, now + protected_for);
        self.protected_until
            .retain(|_, expires_at| *expires_at > now);
    }

    /// Returns the models of an engine that must not be evicted yet, since it loaded them recently.
    pub(crate) fn protected_models(&self, endpoint: &EndpointId) -> BTreeSet<ModelName> {
        let now = Instant::now();
        let protected = self
            .protected_until
            .iter()
            .filter(|((at, _), _)| at == endpoint);
        let recent = protected.filter(|(_, expires_at)| **expires_at > now);
        recent.map(|((_, model), _)| model.clone()).collect()
    }

    /// Returns how many concurrent loads the weight store can serve at full speed.
    pub(crate) fn full_speed_store_loads(&self) -> u32 {
        self.store_concurrency.full_speed_loads()
    }

    /// Returns the number of running loads from the weight store.
    pub(crate) fn store_loads_running(&self) -> u32 {
        let running = self.active_loads.values().filter(|load| load.is_from_store);
        running.count() as u32
    }

    /// Returns the time until a model that is being loaded is expected to be ready at an endpoint that
    /// is not `unused`.
    pub(crate) fn ready_in(
        &self,
        model: &ModelName,
        unused: &BTreeSet<EndpointId>,
    ) -> Option<Duration> {
        let loads = self.loads_of(model, unused);
        let expected_end = loads.map(|load| load.expected_end).min()?;
        Some(expected_end.saturating_duration_since(Instant::now()))
    }

    /// Forecasts the waiting times of loads that have not started. `engines` are the reachable
    /// engines.
    pub(crate) fn forecast<'f>(
        &'f self,
        engines: impl Iterator<Item = &'f EndpointId>,
    ) -> LoadForecast<'f> {
        let forecasts = engines.filter_map(|engine| {
            Some(EngineForecast {
                free_in: self.free_in(engine),
                on_disk: self.disk_models.get(engine)?,
            })
        });
        let now = Instant::now();
        let from_store = self.active_loads.values().filter(|load| load.is_from_store);
        let store_loads = from_store.map(|load| load.expected_end.saturating_duration_since(now));
        LoadForecast::new(forecasts.collect())
            .with_store(
                store_loads.collect(),
                self.store_concurrency.full_speed_loads(),
            )
            .with_deferred(&self.deferred)
    }

    /// Returns the time until the load in progress on an engine is expected to end, or zero if there
    /// is none.
    fn free_in(&self, engine: &EndpointId) -> Duration {
        let loads = self.active_loads.iter().filter(|((at, _), _)| at == engine);
        let expected_end = loads.map(|(_, load)| load.expected_end).max();
        expected_end.map_or(Duration::ZERO, |expected_end| {
            expected_end.saturating_duration_since(Instant::now())
        })
    }

    /// Replaces the deferred loads of a service, given by its `spec`. The most needed comes first.
    pub(crate) fn set_deferred(&mut self, spec: &EngineSpec, deferred: Vec<(ModelName, Deferral)>) {
        self.deferred
            .retain(|(model, _)| !spec.models.contains_key(model));
        self.deferred.extend(deferred);
    }

    /// Returns the models in demand whose loads are deferred, with the reason.
    pub(crate) fn deferred(&self) -> &[(ModelName, Deferral)] {
        &self.deferred
    }

    /// Records the loaded models of an engine after a change.
    pub(crate) fn finish_change(&mut self, endpoint: &EndpointView, models: Vec<ModelName>) {
        let disk_models = self.disk_models.entry(endpoint.id.clone()).or_default();
        disk_models.extend(models.iter().filter(|model| is_model(model)).cloned());
        self.set_override(endpoint, models, Some(Instant::now() + OVERRIDE_TTL));
    }

    fn set_override(
        &mut self,
        endpoint: &EndpointView,
        models: Vec<ModelName>,
        expires_at: Option<Instant>,
    ) {
        let state_override = StateOverride {
            incarnation: endpoint.incarnation,
            models,
            expires_at,
        };
        self.overrides.insert(endpoint.id.clone(), state_override);
    }

    /// Returns the models loaded on an engine, as tracked by the leader or else as listed.
    pub(crate) fn models(&self, endpoint: &EndpointView) -> Vec<ModelName> {
        self.overrides
            .get(&endpoint.id)
            .filter(|state_override| state_override.incarnation == endpoint.incarnation)
            .map_or_else(
                || endpoint.models.clone(),
                |state_override| state_override.models.clone(),
            )
    }

    /// Returns whether a change is in progress on an engine.
    pub(crate) fn is_changing(&self, endpoint: &EndpointView) -> bool {
        let state_override = self.overrides.get(&endpoint.id);
        state_override.is_some_and(|state_override| {
            state_override.incarnation == endpoint.incarnation
                && state_override.expires_at.is_none()
        })
    }

    /// Returns the time until the change in progress on an engine is expected to end, if there is
    /// one, and records that an adapter request waits for it.
    pub(crate) fn record_adapter_wait(&mut self, endpoint: &EndpointView) -> Option<Duration> {
        if !self.is_changing(endpoint) {
            self.adapter_waits.remove(&endpoint.id);
            return None;
        }
        let remaining = self.free_in(&endpoint.id);
        self.adapter_waits
            .insert(endpoint.id.clone(), Instant::now());
        Some(remaining)
    }

    /// Returns whether a change on an engine recently held up an adapter request. Another change
    /// would delay the retry of that request.
    pub(crate) fn has_recent_adapter_wait(&self, endpoint: &EndpointId) -> bool {
        let last_wait = self.adapter_waits.get(endpoint);
        last_wait.is_some_and(|waited_at| waited_at.elapsed() < ADAPTER_PRIORITY_WINDOW)
    }

    /// Returns the models whose weights are on an engine's disk.
    pub(crate) fn disk_models(&self, endpoint: &EndpointId) -> BTreeSet<ModelName> {
        self.disk_models.get(endpoint).cloned().unwrap_or_default()
    }

    /// Records models that an engine reports to have on its disk.
    pub(crate) fn add_disk_models(&mut self, endpoint: &EndpointId, reported: &[ModelName]) {
        let recorded = self.disk_models.entry(endpoint.clone()).or_default();
        recorded.extend(reported.iter().cloned());
    }

    /// Returns the ledger of an engine. Its lock serializes the commands to that engine.
    pub(crate) fn ledger(
        &mut self,
        endpoint: &EndpointId,
    ) -> Arc<tokio::sync::Mutex<EngineLedger>> {
        Arc::clone(self.ledgers.entry(endpoint.clone()).or_default())
    }

    /// Adds a sample of a model's concurrent requests to its average and returns its demand.
    pub(crate) fn update_demand(&mut self, model: &ModelName, current: f64, is_held: bool) -> f64 {
        let now = self.started_at.elapsed();
        self.demand.update_load(model, current, is_held, now)
    }

    /// Counts requests for a model or one of its adapters, whether served or refused.
    pub(crate) fn count_arrivals(&mut self, name: &ModelName, count: u32) {
        let now = self.started_at.elapsed();
        self.demand.count_arrivals(&base_model(name), count, now);
    }

    /// Returns the share of an engine's slots that is assumed to be in use per replica of a model,
    /// even if the measured load is lower.
    pub(crate) fn presumed_share(&self) -> f64 {
        self.demand.presumed_share(self.started_at.elapsed())
    }

    /// Records a failed change, which blocks further changes of the engine for a while.
    pub(crate) fn record_failed_change(&mut self, endpoint: &EndpointId) {
        self.failed_changes.insert(endpoint.clone(), Instant::now());
    }

    /// Returns whether a change failed on an engine recently.
    pub(crate) fn has_recent_failure(&self, endpoint: &EndpointId) -> bool {
        let last_failure = self.failed_changes.get(endpoint);
        last_failure.is_some_and(|at| at.elapsed() < FAILED_CHANGE_BACKOFF)
    }

    /// Sets the time from which this leader may send commands.
    pub(crate) fn set_commands_allowed_from(&mut self, from: Instant) {
        self.commands_allowed_from = Some(from);
    }

    /// Returns whether this leader may send commands, that is, whether all commands of its
    /// predecessor have arrived.
    pub(crate) fn may_command(&self) -> bool {
        self.commands_allowed_from
            .is_some_and(|from| from <= Instant::now())
    }

    /// Returns the time until this leader may send commands.
    pub(crate) fn time_until_commands(&self) -> Duration {
        let from = self.commands_allowed_from;
        from.map_or(Duration::ZERO, |from| {
            from.saturating_duration_since(Instant::now())
        })
    }

    /// Returns whether any engine is loading a model, other than at `unused` endpoints. Loads that are
    /// overdue by more than `LOAD_OVERDUE_GRACE` do not count.
    pub(crate) fn is_loading(&self, model: &ModelName, unused: &BTreeSet<EndpointId>) -> bool {
        let now = Instant::now();
        self.loads_of(model, unused)
            .map(|load| load.expected_end + LOAD_OVERDUE_GRACE)
            .any(|overdue_at| now < overdue_at)
    }

    /// Returns the loads of a model in progress, other than at `unused` endpoints.
    fn loads_of(
        &self,
        model: &ModelName,
        unused: &BTreeSet<EndpointId>,
    ) -> impl Iterator<Item = &ActiveLoad> {
        let loads = self.active_loads.iter();
        let loads = loads.filter(move |((endpoint, loading_model), _)| {
            loading_model == model && !unused.contains(endpoint)
        });
        loads.map(|(_, load)| load)
    }

    /// Records the use of an adapter.
    pub(crate) fn record_adapter_use(&mut self, endpoint: &EndpointId, adapter: &ModelName) {
        let key = (endpoint.clone(), adapter.clone());
        self.adapter_last_used.insert(key, Instant::now());
    }

    /// Returns the time since an adapter was last used.
    pub(crate) fn adapter_idle_time(&self, endpoint: &EndpointId, adapter: &ModelName) -> Duration {
        let last_used = self
            .adapter_last_used
            .get(&(endpoint.clone(), adapter.clone()));
        last_used.map_or(Duration::MAX, Instant::elapsed)
    }

    /// Returns how many loads from the weight store may start now.
    pub(crate) fn store_loads_left(&mut self, loads_per_1000_s: u64) -> u32 {
        // Sliding-window limit: any window of this length contains at most as many starts as the rate
        // allows for its length.
        const WINDOW: Duration = Duration::from_secs(5);
        let now = Instant::now();
        while self
            .store_load_starts
            .front()
            .is_some_and(|at| now - *at >= WINDOW)
        {
            self.store_load_starts.pop_front();
        }
        let allowed = loads_per_1000_s.saturating_mul(WINDOW.as_secs()) / 1_000;
        (allowed as u32).saturating_sub(self.store_load_starts.len() as u32)
    }
}

/// Returns whether a name is that of a model. Names of adapters contain a slash.
pub(crate) fn is_model(name: &ModelName) -> bool {
    !name.as_str().contains('/')
}

/// Returns the base model of an adapter, or the name itself if it is that of a model.
pub(crate) fn base_model(name: &ModelName) -> ModelName {
    ModelName::new(name.as_str().split('/').next().unwrap_or_default())
}
