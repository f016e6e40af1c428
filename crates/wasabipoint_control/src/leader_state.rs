//! State that the leader keeps in memory for one term: the reports of entries and agents and what
//! it derives from them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, EntryId, FencingToken, Incarnation, ModelName};
use wasabipoint_policy::ColdMargins;
use wasabipoint_rpc::{AgentReport, CheckpointTier, EndpointView, EntryReport};

use crate::allowance::AllowanceQueues;
use crate::engines::EngineTracker;
use crate::limits::EndpointLimits;
use crate::placement::{DecisionRecord, LoadTimeEstimator, StoreRateLimiter};
use crate::quarantine::PromptTracker;
use crate::speeds::EndpointSpeeds;

/// Age from which an entry's report is excluded from the demand.
const ENTRY_REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after a failed load during which the model is not loaded on the same endpoint.
const FAILED_LOAD_BACKOFF: Duration = Duration::from_secs(5);

/// Decisions kept per model for `explain model`.
const MAX_DECISIONS_PER_MODEL: usize = 20;

/// Age up to which an entry's report of unreachable endpoints is considered.
const UNREACHABLE_MAX_AGE: Duration = Duration::from_secs(2);

/// Number of entry processes that must report an endpoint before it is considered unreachable.
const MIN_UNREACHABLE_REPORTS: usize = 2;

/// Durations of an agent's silence after which its grants are in doubt and may be replaced.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SilenceBounds {
    /// Silence after which the agent's grants are in doubt and its endpoint gets no new replicas.
    pub(crate) in_doubt_after: Duration,
    /// Time in doubt after which another replica may be granted instead.
    pub(crate) replace_after: Duration,
}

/// The last report of an entry process.
pub(crate) struct ReceivedEntryReport {
    pub(crate) report: EntryReport,
    pub(crate) received_at: Instant,
}

/// The last report of an agent.
pub(crate) struct ReceivedAgentReport {
    pub(crate) report: AgentReport,
    pub(crate) received_at: Instant,
}

/// Demand for one model, summed over all entry processes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DemandSum {
    pub(crate) queued: u32,
    pub(crate) in_flight: u32,
    pub(crate) oldest_wait_ms: u64,
    pub(crate) earliest_deadline_ms: Option<u64>,
}

/// The leader's state of one term.
pub(crate) struct LeaderState {
    pub(crate) term: u64,
    pub(crate) term_started: Instant,
    pub(crate) entries: BTreeMap<EntryId, ReceivedEntryReport>,
    pub(crate) agents: BTreeMap<EndpointId, ReceivedAgentReport>,
    /// Time of the last report that showed requests for a model.
    pub(crate) last_used: BTreeMap<ModelName, Instant>,
    /// Requests that arrived since the last demand sample.
    pub(crate) arrivals: BTreeMap<ModelName, u32>,
    /// Checkpoint tier that each running load started from.
    pub(crate) load_tiers: BTreeMap<FencingToken, CheckpointTier>,
    pub(crate) load_times: LoadTimeEstimator,
    pub(crate) store_limiter: StoreRateLimiter,
    /// Engines that execute the commands of the leader.
    pub(crate) engines: EngineTracker,
    /// Limits on requests that endpoints named.
    pub(crate) limits: EndpointLimits,
    /// Speeds that entry processes measured at endpoints.
    pub(crate) speeds: EndpointSpeeds,
    /// Requests that wait for tokens of their customers.
    pub(crate) allowance: AllowanceQueues,
    /// Evidence about prompt parts that may crash engines.
    pub(crate) prompts: PromptTracker,
    bounds: SilenceBounds,
    /// Reported tiers of checkpoints, by model and endpoint.
    checkpoint_tiers: BTreeMap<ModelName, BTreeMap<EndpointId, CheckpointTier>>,
    failed_loads: BTreeMap<(ModelName, EndpointId), Instant>,
    idle_counted_at: Instant,
    decisions: BTreeMap<ModelName, VecDeque<DecisionRecord>>,
}

impl LeaderState {
    pub(crate) fn new(term: u64, bounds: SilenceBounds, cold_margins: ColdMargins) -> Self {
        let now = Instant::now();
        Self {
            term,
            term_started: now,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            last_used: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            load_tiers: BTreeMap::new(),
            load_times: LoadTimeEstimator::default(),
            store_limiter: StoreRateLimiter::new(now),
            engines: EngineTracker::new(),
            limits: EndpointLimits::new(cold_margins),
            speeds: EndpointSpeeds::new(),
            allowance: AllowanceQueues::default(),
            prompts: PromptTracker::new(term),
            bounds,
            checkpoint_tiers: BTreeMap::new(),
            failed_loads: BTreeMap::new(),
            idle_counted_at: now,
            decisions: BTreeMap::new(),
        }
    }

    /// Records an entry's report and returns the models that have queued requests. An outdated or
    /// repeated report is ignored, so that its arrivals count once.
    pub(crate) fn record_entry_report(&mut self, report: EntryReport) -> BTreeSet<ModelName> {
        let now = Instant::now();
        let is_outdated = self.entries.get(&report.entry).is_some_and(|known| {
            let known = (known.report.incarnation, known.report.sequence);
            known >= (report.incarnation, report.sequence)
        });
        if is_outdated {
            return BTreeSet::new();
        }
        let mut queued_models = BTreeSet::new();
        for demand in &report.demand {
            if demand.arrived > 0 || demand.queued > 0 || demand.in_flight > 0 {
                self.last_used.insert(demand.model.clone(), now);
            }
            if demand.queued > 0 {
                queued_models.insert(demand.model.clone());
            }
            let arrivals = self.arrivals.entry(demand.model.clone()).or_default();
            *arrivals = arrivals.saturating_add(demand.arrived);
            self.engines.count_arrivals(&demand.model, demand.arrived);
        }
        let received_report = ReceivedEntryReport {
            report,
            received_at: now,
        };
        self.entries
            .insert(received_report.report.entry.clone(), received_report);
        queued_models
    }

    /// Records an agent's report unless a newer one is known.
    pub(crate) fn record_agent_report(&mut self, report: &AgentReport) {
        let is_outdated = self.agents.get(&report.endpoint).is_some_and(|known| {
            let known = (known.report.incarnation, known.report.sequence);
            known > (report.incarnation, report.sequence)
        });
        if is_outdated {
            return;
        }
        let known = self.agents.get(&report.endpoint);
        let has_same_checkpoints =
            known.is_some_and(|known| known.report.checkpoints == report.checkpoints);
        if !has_same_checkpoints {
            self.set_checkpoints(report);
        }
        let received_report = ReceivedAgentReport {
            report: report.clone(),
            received_at: Instant::now(),
        };
        self.agents.insert(report.endpoint.clone(), received_report);
    }

    fn set_checkpoints(&mut self, report: &AgentReport) {
        for holders in self.checkpoint_tiers.values_mut() {
            holders.remove(&report.endpoint);
        }
        for (model, tier) in &report.checkpoints {
            let holders = self.checkpoint_tiers.entry(model.clone()).or_default();
            let best_tier = holders.entry(report.endpoint.clone()).or_insert(*tier);
            *best_tier = (*best_tier).min(*tier);
        }
        self.checkpoint_tiers
            .retain(|_, holders| !holders.is_empty());
    }

    /// Sums the demand per model over all entries with a recent report.
    pub(crate) fn demand(&self) -> BTreeMap<ModelName, DemandSum> {
        let mut sums: BTreeMap<ModelName, DemandSum> = BTreeMap::new();
        for entry in self.entries.values() {
            let age = entry.received_at.elapsed();
            if age > ENTRY_REPORT_TIMEOUT {
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

    /// Returns the endpoints that entry processes can't connect to, with the number of these
    /// processes. A report by a single process is ignored, because that process may be partitioned
    /// itself. This holds even if the leader is new and knows no other process yet.
    pub(crate) fn unreachable_endpoints(&self) -> BTreeMap<(EndpointId, Incarnation), usize> {
        let is_fresh =
            |entry: &&ReceivedEntryReport| entry.received_at.elapsed() < UNREACHABLE_MAX_AGE;
        let fresh = self.entries.values().filter(is_fresh);
        let mut counts: BTreeMap<(EndpointId, Incarnation), usize> = BTreeMap::new();
        for endpoint in fresh.flat_map(|entry| &entry.report.unreachable_endpoints) {
            *counts.entry(endpoint.clone()).or_default() += 1;
        }
        counts.retain(|_, count| *count >= MIN_UNREACHABLE_REPORTS);
        counts
    }

    /// Returns the number of entry processes that report.
    pub(crate) fn reporting_entries(&self) -> u32 {
        let entries = self.entries.values();
        let reporting = entries.filter(|entry| entry.received_at.elapsed() <= ENTRY_REPORT_TIMEOUT);
        reporting.count() as u32
    }

    /// Returns whether an endpoint can serve the requests that its models attract: entry processes
    /// can connect to it, and it names no limit below what they want to send.
    pub(crate) fn usable_endpoints(&self) -> impl Fn(&EndpointView) -> bool + use<> {
        let unreachable = self.unreachable_endpoints();
        let limited = self.limits.binding();
        move |endpoint| {
            let key = (endpoint.id.clone(), endpoint.incarnation);
            !unreachable.contains_key(&key) && !limited.contains(&key)
        }
    }

    /// Returns the time since an agent's last report, or since the start of the term if there was
    /// none.
    fn silence(&self, endpoint: &EndpointId, incarnation: Incarnation) -> Duration {
        self.agents
            .get(endpoint)
            .filter(|agent| agent.report.incarnation >= incarnation)
            .map_or(self.term_started, |agent| agent.received_at)
            .elapsed()
    }

    /// Returns whether the grants of an agent are in doubt because it has been silent for too long.
    pub(crate) fn is_in_doubt(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        self.silence(endpoint, incarnation) > self.bounds.in_doubt_after
    }

    /// Returns whether the grants of an agent have been in doubt for so long that others may replace
    /// them.
    pub(crate) fn is_replaceable(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        self.silence(endpoint, incarnation) > self.bounds.in_doubt_after + self.bounds.replace_after
    }

    /// Returns the last report of an agent's incarnation unless the agent is in doubt.
    pub(crate) fn fresh_report(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Option<&AgentReport> {
        self.agents
            .get(endpoint)
            .filter(|agent| agent.report.incarnation == incarnation)
            .filter(|agent| agent.received_at.elapsed() <= self.bounds.in_doubt_after)
            .map(|agent| &agent.report)
    }

    /// Lists the endpoints whose VM holds the checkpoint of a model, with its tier.
    pub(crate) fn nearby_checkpoints(
        &self,
        model: &ModelName,
    ) -> impl Iterator<Item = (&EndpointId, CheckpointTier)> {
        let holders = self.checkpoint_tiers.get(model).into_iter().flatten();
        holders
            .map(|(endpoint, tier)| (endpoint, *tier))
            .filter(|(_, tier)| *tier != CheckpointTier::Remote)
    }

    /// Returns the tier from which an endpoint would load a model.
    pub(crate) fn checkpoint_tier(
        &self,
        endpoint: &EndpointId,
        model: &ModelName,
    ) -> CheckpointTier {
        let holders = self.checkpoint_tiers.get(model);
        let tier = holders.and_then(|holders| holders.get(endpoint));
        tier.copied().unwrap_or(CheckpointTier::Remote)
    }

    /// Starts the backoff of a model on an endpoint where its load failed.
    pub(crate) fn record_failed_load(&mut self, model: &ModelName, endpoint: &EndpointId) {
        let now = Instant::now();
        self.failed_loads
            .retain(|_, failed_at| now - *failed_at < FAILED_LOAD_BACKOFF);
        self.failed_loads
            .insert((model.clone(), endpoint.clone()), now);
    }

    /// Returns whether a load of the model failed on the endpoint within `FAILED_LOAD_BACKOFF`.
    pub(crate) fn is_backing_off(&self, model: &ModelName, endpoint: &EndpointId) -> bool {
        self.failed_loads
            .get(&(model.clone(), endpoint.clone()))
            .is_some_and(|failed_at| failed_at.elapsed() < FAILED_LOAD_BACKOFF)
    }

    /// Returns the time since idle accelerators were last counted, and starts the next interval.
    pub(crate) fn take_idle_interval(&mut self) -> Duration {
        let elapsed = self.idle_counted_at.elapsed();
        self.idle_counted_at += elapsed;
        elapsed
    }

    /// Appends a decision to the history of a model.
    pub(crate) fn record_decision(&mut self, model: &ModelName, record: DecisionRecord) {
        let records = self.decisions.entry(model.clone()).or_default();
        records.push_back(record);
        if records.len() > MAX_DECISIONS_PER_MODEL {
            records.pop_front();
        }
    }

    pub(crate) fn decisions(&self, model: &ModelName) -> Vec<DecisionRecord> {
        self.decisions
            .get(model)
            .map(|records| records.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Removes models that are no longer in the inventory and entry processes that stopped
    /// reporting, to bound the memory.
    pub(crate) fn retain_models(&mut self, is_known: impl Fn(&ModelName) -> bool) {
        self.decisions.retain(|model, _| is_known(model));
        self.last_used.retain(|model, _| is_known(model));
        self.arrivals.retain(|model, _| is_known(model));
        self.entries
            .retain(|_, entry| entry.received_at.elapsed() < 10 * ENTRY_REPORT_TIMEOUT);
    }
}
