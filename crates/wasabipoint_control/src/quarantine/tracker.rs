//! Evidence about prompt parts that the leader keeps for one term. Entry processes send it again to
//! the next leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_kernel::{EndpointId, EntryId, Incarnation, PromptPartId};
use wasabipoint_policy::{
    ProbeView, PromptSuspicion, PromptVerdict, QuarantineView, VerdictContext,
};
use wasabipoint_rpc::{
    EngineFailure, MAX_PARTS_PER_PROMPT, MAX_PROMPTS_PER_FAILURE, MAX_REPORTED_FAILURES,
    PromptDirective, PromptReport, QuarantineCause, QuarantinedPart,
};

/// Time of the tracker's clock at its start, in milliseconds, so that evidence from before the term
/// has a time as well.
const START_MS: u64 = 1_000_000;

/// Age up to which a report of an entry process counts it as reporting.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Time after which the state of an entry process that stopped reporting is dropped.
const MAX_ENTRY_AGE: Duration = Duration::from_mins(1);

/// Interval between two queries of an engine whose crash is not confirmed.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of queries of an engine for one failure. An engine that responds either runs or is
/// back already; then the directory shows its new incarnation.
const MAX_QUERIES: u32 = 2;

/// Maximum number of parts whose answers are reported at once.
const MAX_LISTED_SUSPECTS: usize = 512;

/// What an entry process has reported.
#[derive(Debug)]
struct EntryProgress {
    incarnation: Incarnation,
    received_sequence: u64,
    suspects_revision: u64,
    reported_at: Instant,
}

/// Requests with a quarantined part that were refused.
#[derive(Debug)]
struct Refusals {
    count: u64,
    last_entry: EntryId,
    last_at: Instant,
}

/// The probe of a quarantined part, as far as this leader observed it.
#[derive(Debug, Clone, Copy)]
struct ObservedProbe {
    number: u32,
    since_ms: u64,
}

/// Queries of an engine whose crash is not confirmed.
#[derive(Debug, Default)]
struct Queries {
    count: u32,
    last_at: Option<Instant>,
}

impl Queries {
    fn is_due(&self) -> bool {
        let is_pause_over = self
            .last_at
            .is_none_or(|last_at| last_at.elapsed() >= QUERY_INTERVAL);
        self.count < MAX_QUERIES && is_pause_over
    }

    fn record(&mut self) {
        self.count += 1;
        self.last_at = Some(Instant::now());
    }
}

/// Evidence, refused requests and probes of one term.
#[derive(Debug)]
pub(crate) struct PromptTracker {
    term: u64,
    started_at: Instant,
    suspicion: PromptSuspicion,
    entries: BTreeMap<EntryId, EntryProgress>,
    refusals: BTreeMap<PromptPartId, Refusals>,
    probes: BTreeMap<PromptPartId, ObservedProbe>,
    /// Queries of each engine whose crash is not confirmed.
    queries: BTreeMap<(EndpointId, Incarnation), Queries>,
}

impl PromptTracker {
    pub(crate) fn new(term: u64) -> Self {
        Self {
            term,
            started_at: Instant::now(),
            suspicion: PromptSuspicion::default(),
            entries: BTreeMap::new(),
            refusals: BTreeMap::new(),
            probes: BTreeMap::new(),
            queries: BTreeMap::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        START_MS + self.started_at.elapsed().as_millis() as u64
    }

    /// Records the report of an entry process and returns the reply. `is_leaving` tells whether an
    /// endpoint was about to stop, so that its end is no crash.
    pub(crate) fn record_report(
        &mut self,
        entry: &EntryId,
        incarnation: Incarnation,
        report: &PromptReport,
        is_leaving: impl Fn(&EndpointId) -> bool,
    ) -> PromptDirective {
        let now_ms = self.now_ms();
        let known = self.entries.get(entry);
        let received_sequence = known
            .filter(|known| known.incarnation == incarnation)
            .map_or(0, |known| known.received_sequence);
        let new_failures = report.failures.iter().take(MAX_REPORTED_FAILURES);
        let mut last_sequence = received_sequence;
        for failure in new_failures.filter(|failure| failure.sequence > received_sequence) {
            last_sequence = last_sequence.max(failure.sequence);
            if !is_leaving(&failure.endpoint) {
                self.record_failure(entry, failure, now_ms);
            }
        }
        for answered in &report.answered {
            let answered_ms = now_ms.saturating_sub(answered.age_ms);
            self.suspicion.record_answered(answered.part, answered_ms);
        }
        for refused in &report.refused {
            let refusals = self.refusals.entry(refused.part).or_insert(Refusals {
                count: 0,
                last_entry: entry.clone(),
                last_at: Instant::now(),
            });
            refusals.count += u64::from(refused.refused);
            refusals.last_entry = entry.clone();
            refusals.last_at = Instant::now();
        }
        let progress = EntryProgress {
            incarnation,
            received_sequence: last_sequence,
            suspects_revision: report.suspects_revision,
            reported_at: Instant::now(),
        };
        self.entries.insert(entry.clone(), progress);
        self.directive(last_sequence, report.suspects_revision)
    }

    fn record_failure(&mut self, entry: &EntryId, failure: &EngineFailure, now_ms: u64) {
        let prompts = failure.prompts.iter().take(MAX_PROMPTS_PER_FAILURE);
        let prompts = prompts.filter(|parts| parts.len() <= MAX_PARTS_PER_PROMPT);
        self.suspicion.record_crash(
            &failure.endpoint,
            failure.incarnation,
            entry,
            &prompts.cloned().collect::<Vec<_>>(),
            now_ms.saturating_sub(failure.age_ms),
            now_ms,
        );
    }

    fn directive(&self, received_sequence: u64, reported_revision: u64) -> PromptDirective {
        let suspects_revision = self.suspicion.revision();
        let is_current = reported_revision == suspects_revision;
        let suspects = || {
            let suspects = self.suspicion.suspects().take(MAX_LISTED_SUSPECTS);
            suspects.collect()
        };
        PromptDirective {
            term: self.term,
            received_sequence,
            suspects_revision,
            suspects: (!is_current).then(suspects),
        }
    }

    /// Returns the crashes without confirmation, and whether their engines are to be queried now.
    pub(crate) fn unconfirmed_crashes(&mut self) -> Vec<(EndpointId, Incarnation, bool)> {
        let unconfirmed: BTreeSet<(EndpointId, Incarnation)> = self
            .suspicion
            .unconfirmed()
            .map(|(endpoint, incarnation)| (endpoint.clone(), incarnation))
            .collect();
        self.queries.retain(|key, _| unconfirmed.contains(key));
        let mut crashes = Vec::new();
        for key in unconfirmed {
            let is_due = self.queries.get(&key).is_none_or(Queries::is_due);
            if is_due {
                self.queries.entry(key.clone()).or_default().record();
            }
            crashes.push((key.0, key.1, is_due));
        }
        crashes
    }

    /// Confirms a crash. Returns the number of prompts and of entry processes that reported them.
    pub(crate) fn confirm_crash(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> (usize, usize) {
        self.suspicion.confirm(endpoint, incarnation)
    }

    /// Returns the parts to quarantine.
    pub(crate) fn verdicts(&mut self, quarantined: &BTreeSet<PromptPartId>) -> Vec<PromptVerdict> {
        self.entries
            .retain(|_, progress| progress.reported_at.elapsed() < MAX_ENTRY_AGE);
        self.refusals.retain(|part, _| quarantined.contains(part));
        self.probes.retain(|part, _| quarantined.contains(part));
        let reporting = self.entries.values();
        let reporting = reporting
            .filter(|progress| progress.reported_at.elapsed() <= MAX_REPORT_AGE)
            .map(|progress| progress.suspects_revision);
        let context = VerdictContext {
            quarantined,
            entries: reporting.clone().count(),
            reported_revision: reporting.min().unwrap_or(0),
        };
        let now_ms = self.now_ms();
        self.suspicion.verdicts(&context, now_ms)
    }

    /// Returns what decides the next step of a quarantined part.
    pub(crate) fn quarantine_view(
        &mut self,
        record: &QuarantinedPart,
        log_time_ms: u64,
    ) -> QuarantineView {
        let now_ms = self.now_ms();
        let refusals = self.refusals.get(&record.part);
        let last_refusal_at = refusals.map_or(self.started_at, |refusals| refusals.last_at);
        let probe = record.probe.as_ref().map(|probe| {
            let observed = self.observe_probe(record.part, probe.number, now_ms);
            ProbeView {
                granted_for: Duration::from_millis(now_ms.saturating_sub(observed.since_ms)),
                has_crashed: self
                    .suspicion
                    .has_crashed_since(record.part, observed.since_ms),
                is_answered: self
                    .suspicion
                    .is_answered_since(record.part, observed.since_ms),
            }
        });
        let unprobed_ms = log_time_ms.saturating_sub(record.unprobed_since_ms);
        QuarantineView {
            is_set_by_operator: record.cause == QuarantineCause::Operator,
            failed_probes: record.failed_probes,
            unprobed_for: Duration::from_millis(unprobed_ms),
            unrefused_for: last_refusal_at.elapsed(),
            probe,
        }
    }

    /// Records a probe that is about to be granted.
    pub(crate) fn begin_probe(&mut self, part: PromptPartId, number: u32) {
        let now_ms = self.now_ms();
        self.suspicion.expect_answers(part, now_ms);
        let since_ms = now_ms;
        self.probes.insert(part, ObservedProbe { number, since_ms });
    }

    /// Returns a probe as observed by this leader, which may have been granted by another one.
    fn observe_probe(&mut self, part: PromptPartId, number: u32, now_ms: u64) -> ObservedProbe {
        let known = self.probes.get(&part).copied();
        if let Some(probe) = known.filter(|probe| probe.number == number) {
            return probe;
        }
        self.begin_probe(part, number);
        ObservedProbe {
            number,
            since_ms: now_ms,
        }
    }

    /// Returns the entry process that refused a request with the part last.
    pub(crate) fn last_refusing_entry(&self, part: PromptPartId) -> Option<EntryId> {
        let refusals = self.refusals.get(&part)?;
        Some(refusals.last_entry.clone())
    }

    /// Returns the number of refused requests with a part, and the time since the last one.
    pub(crate) fn refusals(&self, part: PromptPartId) -> Option<(u64, Duration)> {
        let refusals = self.refusals.get(&part)?;
        Some((refusals.count, refusals.last_at.elapsed()))
    }

    /// Forgets the evidence against a part whose quarantine was lifted.
    pub(crate) fn acquit(&mut self, part: PromptPartId) {
        let now_ms = self.now_ms();
        self.suspicion.acquit(part, now_ms);
    }
}
