//! What a leader keeps in memory for its term: reports of entries and agents.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, EntryId, FencingToken, Incarnation, ModelName};
use wasabipoint_rpc::{AgentReport, CheckpointTier, EntryReport};

use crate::engines::EngineBook;
use crate::placement::{DecisionRecord, LoadTimes, StorePacer};

/// Age after which the report of a silent entry no longer counts as demand.
const ENTRY_SILENCE: Duration = Duration::from_secs(5);

/// Time for which a failed load of a model keeps it from the same endpoint.
const FAILED_LOAD_PAUSE: Duration = Duration::from_secs(5);

/// Decisions kept per model for `explain model`.
const KEPT_DECISIONS: usize = 20;

/// Age up to which an entry's report tells which endpoints it cannot connect to.
const UNREACHABLE_AGE: Duration = Duration::from_secs(2);

/// Entry processes that have to find an endpoint unreachable.
const UNREACHABLE_WITNESSES: usize = 2;

/// When a silent agent's grants are in doubt and when they may be replaced.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SilenceBounds {
    /// Silence after which grants are in doubt and the endpoint gets no new replicas.
    pub(crate) in_doubt: Duration,
    /// Time in doubt after which another replica may be decided.
    pub(crate) replace_after: Duration,
}

/// The last report of an entry process.
pub(crate) struct EntryMemory {
    pub(crate) report: EntryReport,
    pub(crate) received: Instant,
}

/// The last report of an agent.
pub(crate) struct AgentMemory {
    pub(crate) report: AgentReport,
    pub(crate) received: Instant,
}

/// Demand for one model, summed over all entry processes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DemandSum {
    pub(crate) queued: u32,
    pub(crate) in_flight: u32,
    pub(crate) oldest_wait_ms: u64,
    pub(crate) earliest_deadline_ms: Option<u64>,
}

/// Memory of one term.
pub(crate) struct LeaderState {
    pub(crate) term: u64,
    pub(crate) term_started: Instant,
    pub(crate) entries: BTreeMap<EntryId, EntryMemory>,
    pub(crate) agents: BTreeMap<EndpointId, AgentMemory>,
    pub(crate) last_used: BTreeMap<ModelName, Instant>,
    pub(crate) arrived: BTreeMap<ModelName, u32>,
    pub(crate) load_tiers: BTreeMap<FencingToken, CheckpointTier>,
    pub(crate) load_times: LoadTimes,
    pub(crate) pacer: StorePacer,
    /// Engines that obey the leader's commands.
    pub(crate) engines: EngineBook,
    bounds: SilenceBounds,
    /// Checkpoints that are nearer than the weight store.
    near: BTreeMap<ModelName, BTreeMap<EndpointId, CheckpointTier>>,
    failed: BTreeMap<(ModelName, EndpointId), Instant>,
    idle_counted: Instant,
    decisions: BTreeMap<ModelName, VecDeque<DecisionRecord>>,
}

impl LeaderState {
    pub(crate) fn new(term: u64, bounds: SilenceBounds) -> Self {
        let now = Instant::now();
        Self {
            term,
            term_started: now,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            last_used: BTreeMap::new(),
            arrived: BTreeMap::new(),
            load_tiers: BTreeMap::new(),
            load_times: LoadTimes::default(),
            pacer: StorePacer::new(now),
            engines: EngineBook::new(),
            bounds,
            near: BTreeMap::new(),
            failed: BTreeMap::new(),
            idle_counted: now,
            decisions: BTreeMap::new(),
        }
    }

    /// Takes in an entry's report. Returns the models for which requests wait.
    pub(crate) fn record_entry_report(&mut self, report: EntryReport) -> BTreeSet<ModelName> {
        let now = Instant::now();
        let is_old = self.entries.get(&report.entry).is_some_and(|known| {
            let known = (known.report.incarnation, known.report.sequence);
            known >= (report.incarnation, report.sequence)
        });
        if is_old {
            return BTreeSet::new();
        }
        let mut waiting = BTreeSet::new();
        for demand in &report.demand {
            if demand.arrived > 0 || demand.queued > 0 || demand.in_flight > 0 {
                self.last_used.insert(demand.model.clone(), now);
            }
            if demand.queued > 0 {
                waiting.insert(demand.model.clone());
            }
            let arrived = self.arrived.entry(demand.model.clone()).or_default();
            *arrived = arrived.saturating_add(demand.arrived);
            self.engines.count_arrivals(&demand.model, demand.arrived);
        }
        let memory = EntryMemory {
            report,
            received: now,
        };
        self.entries.insert(memory.report.entry.clone(), memory);
        waiting
    }

    /// Takes in an agent's report unless a newer one was seen.
    pub(crate) fn record_agent_report(&mut self, report: &AgentReport) {
        let is_old = self.agents.get(&report.endpoint).is_some_and(|known| {
            let known = (known.report.incarnation, known.report.sequence);
            known > (report.incarnation, report.sequence)
        });
        if is_old {
            return;
        }
        let known = self.agents.get(&report.endpoint);
        let is_same = known.is_some_and(|known| known.report.checkpoints == report.checkpoints);
        if !is_same {
            self.set_checkpoints(report);
        }
        let memory = AgentMemory {
            report: report.clone(),
            received: Instant::now(),
        };
        self.agents.insert(report.endpoint.clone(), memory);
    }

    fn set_checkpoints(&mut self, report: &AgentReport) {
        for holders in self.near.values_mut() {
            holders.remove(&report.endpoint);
        }
        for (model, tier) in &report.checkpoints {
            let holders = self.near.entry(model.clone()).or_default();
            let known = holders.entry(report.endpoint.clone()).or_insert(*tier);
            *known = (*known).min(*tier);
        }
        self.near.retain(|_, holders| !holders.is_empty());
    }

    /// Sums the demand of all entries that report.
    pub(crate) fn demand(&self) -> BTreeMap<ModelName, DemandSum> {
        let mut sums: BTreeMap<ModelName, DemandSum> = BTreeMap::new();
        for entry in self.entries.values() {
            let age = entry.received.elapsed();
            if age > ENTRY_SILENCE {
                continue;
            }
            let age_ms = age.as_millis() as u64;
            for demand in &entry.report.demand {
                let sum = sums.entry(demand.model.clone()).or_default();
                sum.queued = sum.queued.saturating_add(demand.queued);
                sum.in_flight = sum.in_flight.saturating_add(demand.in_flight);
                if demand.queued > 0 {
                    let waited_ms = demand.oldest_wait_ms.saturating_add(age_ms);
                    sum.oldest_wait_ms = sum.oldest_wait_ms.max(waited_ms);
                }
                let deadline_ms = demand
                    .earliest_deadline_ms
                    .map(|deadline_ms| deadline_ms.saturating_sub(age_ms));
                sum.earliest_deadline_ms = match (sum.earliest_deadline_ms, deadline_ms) {
                    (Some(one), Some(other)) => Some(one.min(other)),
                    (one, other) => one.or(other),
                };
            }
        }
        sums
    }

    /// Returns the endpoints that entry processes cannot connect to, with how many of them say so.
    /// One alone may be cut off itself, also where a new leader knows no other yet.
    pub(crate) fn unreachable_endpoints(&self) -> BTreeMap<(EndpointId, Incarnation), usize> {
        let is_fresh = |entry: &&EntryMemory| entry.received.elapsed() < UNREACHABLE_AGE;
        let fresh = self.entries.values().filter(is_fresh);
        let mut counts: BTreeMap<(EndpointId, Incarnation), usize> = BTreeMap::new();
        for endpoint in fresh.flat_map(|entry| &entry.report.unreachable_endpoints) {
            *counts.entry(endpoint.clone()).or_default() += 1;
        }
        counts.retain(|_, count| *count >= UNREACHABLE_WITNESSES);
        counts
    }

    /// Tells for how long an agent has been silent in this term.
    fn silence(&self, endpoint: &EndpointId, incarnation: Incarnation) -> Duration {
        self.agents
            .get(endpoint)
            .filter(|agent| agent.report.incarnation >= incarnation)
            .map_or(self.term_started, |agent| agent.received)
            .elapsed()
    }

    pub(crate) fn is_in_doubt(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        self.silence(endpoint, incarnation) > self.bounds.in_doubt
    }

    pub(crate) fn is_replaceable(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        self.silence(endpoint, incarnation) > self.bounds.in_doubt + self.bounds.replace_after
    }

    /// Returns the fresh report of the registered run of an agent.
    pub(crate) fn fresh_report(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Option<&AgentReport> {
        self.agents
            .get(endpoint)
            .filter(|agent| agent.report.incarnation == incarnation)
            .filter(|agent| agent.received.elapsed() <= self.bounds.in_doubt)
            .map(|agent| &agent.report)
    }

    /// Lists the endpoints whose VM holds a checkpoint.
    pub(crate) fn near(
        &self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&EndpointId, CheckpointTier)> {
        let holders = self.near.get(model).into_iter().flatten();
        holders
            .map(|(endpoint, tier)| (endpoint, *tier))
            .filter(|(_, tier)| *tier != CheckpointTier::Remote)
    }

    /// Returns where a checkpoint is, seen from an endpoint.
    pub(crate) fn tier(&self, endpoint: &EndpointId, model: &ModelName) -> CheckpointTier {
        let holders = self.near.get(model);
        let tier = holders.and_then(|holders| holders.get(endpoint));
        tier.copied().unwrap_or(CheckpointTier::Remote)
    }

    pub(crate) fn record_failed_load(&mut self, model: &ModelName, endpoint: &EndpointId) {
        let now = Instant::now();
        self.failed
            .retain(|_, failed| now - *failed < FAILED_LOAD_PAUSE);
        self.failed.insert((model.clone(), endpoint.clone()), now);
    }

    pub(crate) fn is_pausing(&self, model: &ModelName, endpoint: &EndpointId) -> bool {
        self.failed
            .get(&(model.clone(), endpoint.clone()))
            .is_some_and(|failed| failed.elapsed() < FAILED_LOAD_PAUSE)
    }

    /// Returns the time since idle accelerators were counted last.
    pub(crate) fn take_idle_interval(&mut self) -> Duration {
        let elapsed = self.idle_counted.elapsed();
        self.idle_counted += elapsed;
        elapsed
    }

    pub(crate) fn record_decision(&mut self, model: &ModelName, record: DecisionRecord) {
        let records = self.decisions.entry(model.clone()).or_default();
        records.push_back(record);
        if records.len() > KEPT_DECISIONS {
            records.pop_front();
        }
    }

    pub(crate) fn decisions(&self, model: &ModelName) -> Vec<DecisionRecord> {
        self.decisions
            .get(model)
            .map(|records| records.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Forgets models that left the inventory, so that memory stays bounded.
    pub(crate) fn retain_models(&mut self, is_known: impl Fn(&ModelName) -> bool) {
        self.decisions.retain(|model, _| is_known(model));
        self.last_used.retain(|model, _| is_known(model));
        self.arrived.retain(|model, _| is_known(model));
        self.entries
            .retain(|_, entry| entry.received.elapsed() < 10 * ENTRY_SILENCE);
    }
}
