//! What the leader knows of engines beyond the list: its own commands, demand and disks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, EngineSpec, Incarnation, ModelName};
use wasabipoint_policy::{Deferral, EngineDemand, EngineForecast, LoadForecast, StoreConcurrency};
use wasabipoint_rpc::EndpointView;

use super::ledger::EngineLedger;

/// Time for which the leader's own knowledge outlasts a change, longer than the lag of the list.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Time beyond its expected end after which a load no longer keeps the model from being loaded
/// elsewhere.
const OVERDUE: Duration = Duration::from_secs(2);

/// Time for which a model stays after its load from the store.
const KEPT_AFTER_STORE_LOAD: Duration = Duration::from_secs(5);

/// The same after a load from a disk, which takes a fifth of the time.
const KEPT_AFTER_DISK_LOAD: Duration = Duration::from_millis(2_500);

/// Time for which an engine is left alone after a change failed there.
const FAILED_CHANGE_PAUSE: Duration = Duration::from_secs(2);

/// Time after a request for an adapter met a change in progress in which no further change begins
/// there. Entry processes ask again within it.
const ADAPTER_TURN: Duration = Duration::from_millis(400);

/// Models that the leader knows an engine to hold.
#[derive(Debug, Clone)]
struct Known {
    incarnation: Incarnation,
    models: Vec<ModelName>,
    /// End of its precedence over the list; `None` while a change is in progress.
    until: Option<Instant>,
}

/// A load in progress.
#[derive(Debug, Clone, Copy)]
struct Loading {
    ready: Instant,
    is_from_store: bool,
    /// Loads from the store that ran when it began, itself included.
    store_loads: u32,
}

/// The leader's knowledge of engines for its term.
#[derive(Debug)]
pub(crate) struct EngineTracker {
    known: BTreeMap<EndpointId, Known>,
    near: BTreeMap<EndpointId, BTreeSet<ModelName>>,
    ledgers: BTreeMap<EndpointId, Arc<tokio::sync::Mutex<EngineLedger>>>,
    demand: EngineDemand,
    began: Instant,
    /// When requests for an adapter last met a change in progress.
    adapter_waits: BTreeMap<EndpointId, Instant>,
    adapter_use: BTreeMap<(EndpointId, ModelName), Instant>,
    store_loads: VecDeque<Instant>,
    store: StoreConcurrency,
    deferred: Vec<(ModelName, Deferral)>,
    failed: BTreeMap<EndpointId, Instant>,
    commands_from: Option<Instant>,
    /// Until when models stay that were loaded a moment ago.
    kept_until: BTreeMap<(EndpointId, ModelName), Instant>,
    read_disks: BTreeSet<(EndpointId, Incarnation)>,
    loading: BTreeMap<(EndpointId, ModelName), Loading>,
}

impl EngineTracker {
    /// Creates the knowledge of a leader whose term begins now.
    pub(crate) fn new() -> Self {
        Self {
            known: BTreeMap::new(),
            near: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            demand: EngineDemand::default(),
            began: Instant::now(),
            adapter_waits: BTreeMap::new(),
            adapter_use: BTreeMap::new(),
            store_loads: VecDeque::new(),
            store: StoreConcurrency::default(),
            deferred: Vec::new(),
            failed: BTreeMap::new(),
            commands_from: None,
            kept_until: BTreeMap::new(),
            read_disks: BTreeSet::new(),
            loading: BTreeMap::new(),
        }
    }

    /// Replaces what the list says of engines under change by what the leader knows.
    pub(crate) fn apply_overrides(&mut self, mut listed: Vec<EndpointView>) -> Vec<EndpointView> {
        let now = Instant::now();
        self.known
            .retain(|_, known| known.until.is_none_or(|until| until > now));
        for endpoint in &mut listed {
            let models = endpoint.models.iter().filter(|model| is_model(model));
            let near = self.near.entry(endpoint.endpoint.clone()).or_default();
            near.extend(models.cloned());
            let known = self.known.get(&endpoint.endpoint);
            if let Some(known) = known.filter(|k| k.incarnation == endpoint.incarnation) {
                endpoint.models.clone_from(&known.models);
            }
        }
        listed
    }

    /// Records what an engine holds while a change is in progress there.
    pub(crate) fn begin(&mut self, endpoint: &EndpointView, models: Vec<ModelName>) {
        self.set(endpoint, models, None);
    }

    /// Tells whether the disk of an engine has not been asked for, and records that it is.
    pub(crate) fn begin_read_of_disk(&mut self, endpoint: &EndpointView) -> bool {
        let key = (endpoint.endpoint.clone(), endpoint.incarnation);
        self.read_disks.insert(key)
    }

    /// Records a load that begins and when it should be complete.
    pub(crate) fn begin_load(
        &mut self,
        endpoint: &EndpointId,
        model: &ModelName,
        expected: Duration,
        is_from_store: bool,
    ) {
        if is_from_store {
            self.store_loads.push_back(Instant::now());
        }
        let loading = Loading {
            ready: Instant::now() + expected,
            is_from_store,
            store_loads: self.store_loads_running() + 1,
        };
        self.loading
            .insert((endpoint.clone(), model.clone()), loading);
    }

    /// Forgets a load that ended, and learns from one that is complete. `times` are its measured
    /// and its configured duration.
    pub(crate) fn end_load(
        &mut self,
        endpoint: &EndpointId,
        model: &ModelName,
        times: Option<(Duration, Duration)>,
    ) {
        let key = (endpoint.clone(), model.clone());
        let running = self.store_loads_running();
        let ended = self.loading.remove(&key).filter(|load| load.is_from_store);
        let is_from_store = ended.is_some();
        if let (Some(load), Some((measured, configured))) = (ended, times) {
            let running = running.max(load.store_loads);
            self.store.take_load(measured, configured, running);
        }
        let kept_for = if is_from_store {
            KEPT_AFTER_STORE_LOAD
        } else {
            KEPT_AFTER_DISK_LOAD
        };
        let now = Instant::now();
        self.kept_until.insert(key, now + kept_for);
        self.kept_until.retain(|_, until| *until > now);
    }

    /// Returns the models that an engine loaded a moment ago.
    pub(crate) fn loaded_lately(&self, endpoint: &EndpointId) -> BTreeSet<ModelName> {
        let now = Instant::now();
        let kept = self.kept_until.iter().filter(|((at, _), _)| at == endpoint);
        let lately = kept.filter(|(_, until)| **until > now);
        lately.map(|((_, model), _)| model.clone()).collect()
    }

    /// Returns how many loads from the store at once have their full speed.
    pub(crate) fn store_loads_at_once(&self) -> u32 {
        self.store.loads_at_once()
    }

    /// Returns how many loads from the store are running.
    pub(crate) fn store_loads_running(&self) -> u32 {
        let running = self.loading.values().filter(|load| load.is_from_store);
        running.count() as u32
    }

    /// Returns when a model that is being loaded should be ready.
    pub(crate) fn ready_in(&self, model: &ModelName) -> Option<Duration> {
        let loads = self
            .loading
            .iter()
            .filter(|((_, loading), _)| loading == model);
        let ready = loads.map(|(_, load)| load.ready).min()?;
        Some(ready.saturating_duration_since(Instant::now()))
    }

    /// Returns what loads that have not begun have to wait for. `engines` are those that can be
    /// reached.
    pub(crate) fn forecast<'f>(
        &'f self,
        engines: impl Iterator<Item = &'f EndpointId>,
    ) -> LoadForecast<'f> {
        let forecasts = engines.filter_map(|engine| {
            Some(EngineForecast {
                free_in: self.free_in(engine),
                on_disk: self.near.get(engine)?,
            })
        });
        let now = Instant::now();
        let from_store = self.loading.values().filter(|load| load.is_from_store);
        let store_loads = from_store.map(|load| load.ready.saturating_duration_since(now));
        LoadForecast::new(forecasts.collect())
            .with_store(store_loads.collect(), self.store.loads_at_once())
            .with_deferred(&self.deferred)
    }

    /// Returns when an engine has carried out the load in progress.
    fn free_in(&self, engine: &EndpointId) -> Duration {
        let loads = self.loading.iter().filter(|((at, _), _)| at == engine);
        let ready = loads.map(|(_, load)| load.ready).max();
        ready.map_or(Duration::ZERO, |ready| {
            ready.saturating_duration_since(Instant::now())
        })
    }

    /// Records the models of a service in demand whose loads have not begun, most needed first.
    pub(crate) fn set_deferred(
        &mut self,
        service: &EngineSpec,
        deferred: Vec<(ModelName, Deferral)>,
    ) {
        self.deferred
            .retain(|(model, _)| !service.models.contains_key(model));
        self.deferred.extend(deferred);
    }

    /// Returns the models in demand whose loads have not begun, with the reason.
    pub(crate) fn deferred(&self) -> &[(ModelName, Deferral)] {
        &self.deferred
    }

    /// Records what an engine holds after a change.
    pub(crate) fn finish(&mut self, endpoint: &EndpointView, models: Vec<ModelName>) {
        let near = self.near.entry(endpoint.endpoint.clone()).or_default();
        near.extend(models.iter().filter(|model| is_model(model)).cloned());
        self.set(endpoint, models, Some(Instant::now() + LIST_LAG));
    }

    fn set(&mut self, endpoint: &EndpointView, models: Vec<ModelName>, until: Option<Instant>) {
        let known = Known {
            incarnation: endpoint.incarnation,
            models,
            until,
        };
        self.known.insert(endpoint.endpoint.clone(), known);
    }

    /// Returns the models that an engine holds, by the leader's knowledge or by the list.
    pub(crate) fn models(&self, endpoint: &EndpointView) -> Vec<ModelName> {
        self.known
            .get(&endpoint.endpoint)
            .filter(|known| known.incarnation == endpoint.incarnation)
            .map_or_else(|| endpoint.models.clone(), |known| known.models.clone())
    }

    /// Tells whether a change is in progress at an engine.
    pub(crate) fn is_changing(&self, endpoint: &EndpointView) -> bool {
        let known = self.known.get(&endpoint.endpoint);
        known.is_some_and(|k| k.incarnation == endpoint.incarnation && k.until.is_none())
    }

    /// Returns when the change in progress at an engine should be complete, if there is one, and
    /// notes that an adapter waits for its end.
    pub(crate) fn await_change_for_adapter(&mut self, endpoint: &EndpointView) -> Option<Duration> {
        if !self.is_changing(endpoint) {
            self.adapter_waits.remove(&endpoint.endpoint);
            return None;
        }
        let left = self.free_in(&endpoint.endpoint);
        self.adapter_waits
            .insert(endpoint.endpoint.clone(), Instant::now());
        Some(left)
    }

    /// Tells whether requests for an adapter met a change of an engine a moment ago, so that the next
    /// change would keep them waiting.
    pub(crate) fn has_adapter_wait(&self, endpoint: &EndpointId) -> bool {
        let waits = self.adapter_waits.get(endpoint);
        waits.is_some_and(|asked| asked.elapsed() < ADAPTER_TURN)
    }

    /// Returns the models whose weights an engine has on its disk.
    pub(crate) fn near(&self, endpoint: &EndpointId) -> BTreeSet<ModelName> {
        self.near.get(endpoint).cloned().unwrap_or_default()
    }

    /// Records what an engine reports to have on its disk.
    pub(crate) fn add_near(&mut self, endpoint: &EndpointId, near: &[ModelName]) {
        let known = self.near.entry(endpoint.clone()).or_default();
        known.extend(near.iter().cloned());
    }

    /// Returns the ledger of an engine. Whoever holds its lock may send a command.
    pub(crate) fn ledger(
        &mut self,
        endpoint: &EndpointId,
    ) -> Arc<tokio::sync::Mutex<EngineLedger>> {
        Arc::clone(self.ledgers.entry(endpoint.clone()).or_default())
    }

    /// Averages the concurrent requests of a model and returns its demand.
    pub(crate) fn take_load(&mut self, model: &ModelName, current: f64, is_held: bool) -> f64 {
        let now = self.began.elapsed();
        self.demand.take_load(model, current, is_held, now)
    }

    /// Counts requests for a model or an adapter of it, whether they were served or refused.
    pub(crate) fn count_arrivals(&mut self, name: &ModelName, count: u32) {
        let now = self.began.elapsed();
        self.demand.count_arrivals(&base_of(name), count, now);
    }

    /// Returns the share of an engine's slots that each replica of a model stands for, whatever was
    /// measured.
    pub(crate) fn presumed_share(&self) -> f64 {
        self.demand.presumed_share(self.began.elapsed())
    }

    /// Leaves an engine alone for a while after a change failed there.
    pub(crate) fn note_failed_change(&mut self, endpoint: &EndpointId) {
        self.failed.insert(endpoint.clone(), Instant::now());
    }

    /// Tells whether a change failed at an engine a moment ago.
    pub(crate) fn has_failed(&self, endpoint: &EndpointId) -> bool {
        let failed = self.failed.get(endpoint);
        failed.is_some_and(|at| at.elapsed() < FAILED_CHANGE_PAUSE)
    }

    /// Records from when on this leader sends commands.
    pub(crate) fn set_commands_from(&mut self, from: Instant) {
        self.commands_from = Some(from);
    }

    /// Tells whether the commands of an earlier leader have all arrived.
    pub(crate) fn may_command(&self) -> bool {
        self.commands_from
            .is_some_and(|from| from <= Instant::now())
    }

    /// Returns the time until this leader sends commands.
    pub(crate) fn wait_for_commands(&self) -> Duration {
        let from = self.commands_from;
        from.map_or(Duration::ZERO, |from| {
            from.saturating_duration_since(Instant::now())
        })
    }

    /// Tells whether a model is being loaded anywhere and the load is not long overdue.
    pub(crate) fn is_loading(&self, model: &ModelName) -> bool {
        let now = Instant::now();
        let loads = self
            .loading
            .iter()
            .filter(|((_, loading), _)| loading == model);
        loads
            .map(|(_, load)| load.ready + OVERDUE)
            .any(|overdue| now < overdue)
    }

    /// Records the use of an adapter.
    pub(crate) fn use_adapter(&mut self, endpoint: &EndpointId, adapter: &ModelName) {
        let key = (endpoint.clone(), adapter.clone());
        self.adapter_use.insert(key, Instant::now());
    }

    /// Returns the time since an adapter was last used.
    pub(crate) fn adapter_idle(&self, endpoint: &EndpointId, adapter: &ModelName) -> Duration {
        let used = self.adapter_use.get(&(endpoint.clone(), adapter.clone()));
        used.map_or(Duration::MAX, Instant::elapsed)
    }

    /// Returns how many loads from the store may begin now.
    pub(crate) fn store_loads_left(&mut self, per_1000_s: u64) -> u32 {
        // The rate holds over every window; the bound that is kept is one window of it.
        const WINDOW: Duration = Duration::from_secs(5);
        let now = Instant::now();
        while self
            .store_loads
            .front()
            .is_some_and(|at| now - *at >= WINDOW)
        {
            self.store_loads.pop_front();
        }
        let allowed = per_1000_s.saturating_mul(WINDOW.as_secs()) / 1_000;
        (allowed as u32).saturating_sub(self.store_loads.len() as u32)
    }
}

/// Tells a model from an adapter, whose name has a slash.
pub(crate) fn is_model(name: &ModelName) -> bool {
    !name.as_str().contains('/')
}

/// Returns the model of an adapter, or the model itself.
pub(crate) fn base_of(name: &ModelName) -> ModelName {
    ModelName::new(name.as_str().split('/').next().unwrap_or_default())
}
