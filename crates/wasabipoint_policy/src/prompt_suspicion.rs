//! Finds the prompt part that crashes engines (a query of death) among the prompts that were on
//! engines when they crashed.
//!
//! Every crash also breaks requests that only happened to be there, which share their first part
//! and other parts with the culprit. A part is cleared by each response that an engine wrote to it,
//! so that shared parts clear themselves and the culprit remains. Engines also crash for other
//! reasons; one crash, or several at one moment, are therefore no evidence against any part.
//!
//! A whole request that its caller sends again is a suspect like a part: in the reported prompts its id
//! stands behind the parts that it shares with others.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{EndpointId, EntryId, Incarnation, PromptPartId};

/// Number of crashes after which a part is blamed that no engine is known to have answered.
const MIN_CRASHES: usize = 3;

/// Number of crashes that must have broken a whole request, and of its repeats that they must have
/// broken in all. Several repeats may be on one engine.
const MIN_CRASHES_OF_REQUEST: usize = 2;
const MIN_BROKEN_REPEATS: usize = 3;

/// Number of crashes since its last answer after which a part is blamed that engines answered
/// before.
const MIN_CRASHES_ONCE_ANSWERED: usize = 5;

/// Number of crashes after which a part is blamed on the reports of one entry process. Until then
/// two have to report it, so that one process that reports wrong prompts has no effect.
const MIN_CRASHES_OF_ONE_WITNESS: usize = 5;

/// Number of crashes by which a part must lead all parts of other prompts that no engine answered
/// either, unless it has `MIN_CRASHES_ONCE_ANSWERED`. A rare part may be on three crashed engines by
/// chance while crashes of several causes overlap.
const MIN_LEAD: usize = 2;

/// Number of different requests that must contain the part. A bystander that is sent again after
/// each crash is one request. A whole request is always one.
const MIN_REQUESTS: usize = 2;

/// Crashes closer together than this are one event, such as the loss of a rack, in milliseconds,
/// unless a request was on both engines: it was sent to the second one after the first had crashed.
/// The time exceeds the accuracy of the times that entry processes report.
const SAME_EVENT_MS: u64 = 40;

/// Time within which connections to a crashed engine break, in milliseconds. Failures further apart
/// are different ones: broken connections before a crash, or a crash of the engine's next
/// incarnation, which entry processes do not know yet.
const MAX_CRASH_SPREAD_MS: u64 = 1_000;

/// Time after which a crash is no longer considered, in milliseconds.
const MAX_EVIDENCE_AGE_MS: u64 = 120_000;

/// Time after which a failure without confirmation is no longer considered, in milliseconds. A crashed
/// engine stays in the directory for some seconds.
const MAX_UNCONFIRMED_MS: u64 = 10_000;

/// Maximum number of crashes that are kept; the oldest are dropped.
const MAX_CRASHES: usize = 64;

/// Maximum number of prompts that are kept per crash. An engine runs fewer requests.
const MAX_PROMPTS_PER_CRASH: usize = 128;

/// Maximum number of parts that are tracked. Beyond it, parts that were answered since their last
/// crash are dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// Time that entry processes have to report when they received answers to a part, in milliseconds.
/// A process that is silent for longer does not delay the verdict.
const MAX_ANSWER_REPORT_MS: u64 = 600;

/// A prompt that was on a crashed engine and had received no events, or only just begun to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SuspectPrompt {
    entry: EntryId,
    /// The parts in order. The last one belongs to the request alone, and the one before it may be the
    /// id of the whole request.
    parts: Vec<PromptPartId>,
}

impl SuspectPrompt {
    fn contains(&self, part: PromptPartId) -> bool {
        shared_parts(&self.parts).any(|shared| shared == part)
    }
}

/// A crash of one incarnation of an endpoint.
#[derive(Debug)]
struct Crash {
    endpoint: EndpointId,
    incarnation: Incarnation,
    at_ms: u64,
    /// Time at which the first report of it was received.
    recorded_ms: u64,
    /// Whether another process than the reporting one found that the endpoint has ended.
    is_confirmed: bool,
    /// Each prompt with the number of attempts that broke.
    prompts: BTreeMap<SuspectPrompt, usize>,
}

/// A part of a prompt that was on a crashed engine.
#[derive(Debug, Clone, Copy)]
struct Suspect {
    /// Revision of the list of suspects since the last crash with the part.
    listed_revision: u64,
    /// Time since which entry processes are asked for answers to the part without interruption.
    listed_ms: u64,
    /// Time of the last crash with the part.
    crashed_ms: u64,
    /// Time of the last answer by any engine.
    answered_ms: Option<u64>,
    /// Whether there were crashes at several times, in any order of their reports.
    has_crashed_again: bool,
    /// Whether the part was probed. Its crashes may be forgotten by then, or unknown to this leader.
    is_probed: bool,
}

impl Suspect {
    /// Returns whether no answer since the last crash is known.
    fn is_open(&self) -> bool {
        self.answered_ms
            .is_none_or(|answered_ms| answered_ms < self.crashed_ms)
    }

    /// Returns whether entry processes are asked for answers to the part.
    fn is_listed(&self, part: PromptPartId) -> bool {
        self.is_open() && (!part.is_request() || self.has_crashed_again || self.is_probed)
    }
}

/// Evidence against a part that is blamed for crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptVerdict {
    /// The part.
    pub part: PromptPartId,
    /// Number of crashes that it is blamed for.
    pub crashes: u32,
    /// Number of different requests with it that were on crashed engines.
    pub requests: u32,
    /// Number of entry processes that reported it.
    pub entries: u32,
}

/// Which parts need no verdict, and how much of the fleet has reported.
#[derive(Debug, Clone, Copy)]
pub struct VerdictContext<'v> {
    /// Parts that are quarantined already. Crashes of prompts with them are explained.
    pub quarantined: &'v BTreeSet<PromptPartId>,
    /// Number of entry processes that report.
    pub entries: usize,
    /// Lowest revision of the list of suspects for which all of them reported answers.
    pub reported_revision: u64,
}

/// Crashes of engines, the prompts on them, and the answers to their parts.
#[derive(Debug, Default)]
pub struct PromptSuspicion {
    crashes: Vec<Crash>,
    suspects: BTreeMap<PromptPartId, Suspect>,
    revision: u64,
}

/// Evidence against one part, from the crashes that no other part explains. Compared field by field,
/// the strongest is the greatest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Evidence {
    /// Whether no answer to the part is known.
    is_never_answered: bool,
    /// Position in the prompt. Of two parts with sufficient evidence the later one is blamed: if an
    /// earlier one were the cause, it would crash engines without the later one as well.
    position: usize,
    events: usize,
    /// Number of broken attempts.
    attempts: usize,
    requests: usize,
    entries: usize,
    part: PromptPartId,
}

impl Evidence {
    /// Returns how much speaks against the part: the number of crashes, or of broken attempts of a
    /// whole request.
    fn weight(&self) -> usize {
        if self.part.is_request() {
            self.attempts
        } else {
            self.events
        }
    }
}

/// Occurrences of one part on one crashed engine.
#[derive(Debug, Default)]
struct Occurrence<'c> {
    position: usize,
    attempts: usize,
    /// The last parts of the prompts, which tell requests apart.
    requests: BTreeSet<PromptPartId>,
    entries: BTreeSet<&'c EntryId>,
}

/// Occurrences of one part on all crashed engines, in order of time.
#[derive(Debug, Default)]
struct Trace<'c> {
    events: usize,
    /// Time of the last event, and the requests of the last crash.
    last_event_ms: Option<u64>,
    last_requests: BTreeSet<PromptPartId>,
    position: usize,
    attempts: usize,
    requests: BTreeSet<PromptPartId>,
    entries: BTreeSet<&'c EntryId>,
}

impl<'c> Trace<'c> {
    fn record(&mut self, crashed_ms: u64, occurrence: Occurrence<'c>) {
        let is_close = self
            .last_event_ms
            .is_some_and(|last_ms| crashed_ms < last_ms + SAME_EVENT_MS);
        if !is_close || !self.last_requests.is_disjoint(&occurrence.requests) {
            self.events += 1;
            self.last_event_ms = Some(crashed_ms);
        }
        self.position = occurrence.position;
        self.attempts += occurrence.attempts;
        self.requests.extend(&occurrence.requests);
        self.entries.extend(occurrence.entries);
        self.last_requests = occurrence.requests;
    }
}

impl PromptSuspicion {
    /// Records prompts of an entry process that broke at an engine. Prompts of one part only are
    /// ignored, as are those beyond the limits.
    pub fn record_crash(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        entry: &EntryId,
        prompts: &[Vec<PromptPartId>],
        at_ms: u64,
        now_ms: u64,
    ) {
        let crash = self.find_or_add_crash(endpoint, incarnation, at_ms, now_ms);
        let shared = prompts.iter().filter(|parts| parts.len() > 1);
        for parts in shared {
            if crash.prompts.len() >= MAX_PROMPTS_PER_CRASH {
                break;
            }
            let prompt = SuspectPrompt {
                entry: entry.clone(),
                parts: parts.clone(),
            };
            *crash.prompts.entry(prompt).or_default() += 1;
        }
        let crash_ms = crash.at_ms;
        self.drop_excess_crashes();
        self.revision += 1;
        for part in prompts.iter().flat_map(|parts| shared_parts(parts)) {
            self.list_suspect(part, crash_ms, now_ms);
        }
    }

    /// Returns the crash of an endpoint at about this time. An earlier failure that was not confirmed
    /// is dropped.
    fn find_or_add_crash(
        &mut self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        at_ms: u64,
        now_ms: u64,
    ) -> &mut Crash {
        let is_same_endpoint =
            |crash: &Crash| crash.endpoint == *endpoint && crash.incarnation == incarnation;
        self.crashes.retain(|crash| {
            let is_earlier = at_ms > crash.at_ms + MAX_CRASH_SPREAD_MS;
            crash.is_confirmed || !is_earlier || !is_same_endpoint(crash)
        });
        let known = self.crashes.iter().position(|crash| {
            is_same_endpoint(crash) && crash.at_ms.abs_diff(at_ms) <= MAX_CRASH_SPREAD_MS
        });
        let index = known.unwrap_or_else(|| {
            self.crashes.push(Crash {
                endpoint: endpoint.clone(),
                incarnation,
                at_ms,
                recorded_ms: now_ms,
                is_confirmed: false,
                prompts: BTreeMap::new(),
            });
            self.crashes.len() - 1
        });
        &mut self.crashes[index]
    }

    /// Drops the oldest crashes beyond the limit, those without confirmation first.
    fn drop_excess_crashes(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self
                .crashes
                .iter()
                .enumerate()
                .min_by_key(|(_, crash)| (crash.is_confirmed, crash.at_ms));
            let Some((index, _)) = oldest else {
                break;
            };
            self.crashes.swap_remove(index);
        }
    }

    /// Returns the crashes that no second process has confirmed yet.
    pub fn unconfirmed(&self) -> impl Iterator<Item = (&EndpointId, Incarnation)> {
        let crashes = self.crashes.iter().filter(|crash| !crash.is_confirmed);
        crashes.map(|crash| (&crash.endpoint, crash.incarnation))
    }

    /// Records that an endpoint was found to have ended. Returns the number of prompts that were on
    /// it, and of entry processes that reported them.
    pub fn confirm(&mut self, endpoint: &EndpointId, incarnation: Incarnation) -> (usize, usize) {
        let mut crashes = self.crashes.iter_mut();
        let unconfirmed = crashes.find(|crash| {
            !crash.is_confirmed && crash.endpoint == *endpoint && crash.incarnation == incarnation
        });
        let Some(crash) = unconfirmed else {
            return (0, 0);
        };
        crash.is_confirmed = true;
        let entries: BTreeSet<&EntryId> =
            crash.prompts.keys().map(|prompt| &prompt.entry).collect();
        (crash.prompts.len(), entries.len())
    }

    /// Records that an engine answered a prompt with a part.
    pub fn record_answered(&mut self, part: PromptPartId, at_ms: u64) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.answered_ms = suspect.answered_ms.max(Some(at_ms));
        }
    }

    /// Returns the parts whose answers entry processes have to report: those without an answer since
    /// the last crash. Whole requests count from their second crash on, since most are never sent again.
    pub fn suspects(&self) -> impl Iterator<Item = PromptPartId> {
        let suspects = self.suspects.iter();
        let listed = suspects.filter(|(part, suspect)| suspect.is_listed(**part));
        listed.map(|(part, _)| *part)
    }

    /// Returns the revision of the list of suspects.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether a crash after `since_ms` broke a prompt with the part.
    pub fn has_crashed_since(&self, part: PromptPartId, since_ms: u64) -> bool {
        let crashes = self.crashes.iter();
        let mut recent = crashes.filter(|crash| crash.is_confirmed && crash.at_ms > since_ms);
        recent.any(|crash| position_in(crash, part).is_some())
    }

    /// Returns whether an engine answered a prompt with the part after `since_ms`.
    pub fn is_answered_since(&self, part: PromptPartId, since_ms: u64) -> bool {
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(|suspect| suspect.answered_ms > Some(since_ms))
    }

    /// Lists a part so that entry processes report answers after now, such as those to a probe.
    pub fn expect_answers(&mut self, part: PromptPartId, now_ms: u64) {
        self.revision += 1;
        self.list_suspect(part, now_ms, now_ms);
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.is_probed = true;
        }
    }

    /// Forgets the crashes that a part was blamed for, after its quarantine was lifted.
    pub fn acquit(&mut self, part: PromptPartId, now_ms: u64) {
        self.record_answered(part, now_ms);
    }

    /// Drops evidence that is too old, and returns the parts to blame for the crashes, the most
    /// suspicious first.
    pub fn verdicts(&mut self, context: &VerdictContext<'_>, now_ms: u64) -> Vec<PromptVerdict> {
        let oldest_ms = now_ms.saturating_sub(MAX_EVIDENCE_AGE_MS);
        self.crashes.retain(|crash| {
            let is_awaited = now_ms < crash.recorded_ms + MAX_UNCONFIRMED_MS;
            crash.at_ms >= oldest_ms && (crash.is_confirmed || is_awaited)
        });
        self.suspects
            .retain(|_, suspect| suspect.crashed_ms >= oldest_ms);
        let mut unexplained: Vec<&Crash> = self
            .crashes
            .iter()
            .filter(|crash| crash.is_confirmed && !is_explained(crash, context.quarantined))
            .collect();
        unexplained.sort_by_key(|crash| crash.at_ms);
        let mut verdicts = Vec::new();
        while let Some(evidence) = self.strongest(&unexplained, context, now_ms) {
            verdicts.push(PromptVerdict {
                part: evidence.part,
                crashes: evidence.events as u32,
                requests: evidence.requests as u32,
                entries: evidence.entries as u32,
            });
            unexplained.retain(|crash| position_in(crash, evidence.part).is_none());
        }
        verdicts
    }

    /// Returns the strongest evidence that suffices for a verdict.
    fn strongest(
        &self,
        crashes: &[&Crash],
        context: &VerdictContext<'_>,
        now_ms: u64,
    ) -> Option<Evidence> {
        let evidence = self.collect_evidence(crashes, None);
        let sufficient = evidence.into_iter().filter(|evidence| {
            self.is_reported(evidence.part, context, now_ms) && is_sufficient(evidence, context)
        });
        let leading = sufficient.filter(|evidence| {
            evidence.events >= MIN_CRASHES_ONCE_ANSWERED
                || evidence.weight() >= self.heaviest_rival(evidence.part, crashes) + MIN_LEAD
        });
        leading.max()
    }

    /// Returns whether entry processes reported their answers to a part, or had the time to.
    fn is_reported(&self, part: PromptPartId, context: &VerdictContext<'_>, now_ms: u64) -> bool {
        self.suspects.get(&part).is_some_and(|suspect| {
            suspect.listed_revision <= context.reported_revision
                || now_ms >= suspect.listed_ms + MAX_ANSWER_REPORT_MS
        })
    }

    /// Returns the most that speaks against another part which no engine answered, without the prompts
    /// that contain the given part as well.
    fn heaviest_rival(&self, part: PromptPartId, crashes: &[&Crash]) -> usize {
        let rivals = self.collect_evidence(crashes, Some(part));
        let unanswered = rivals.iter().filter(|rival| rival.is_never_answered);
        unanswered.map(Evidence::weight).max().unwrap_or(0)
    }

    /// Collects the evidence against each part from the crashes since it was last answered. The
    /// crashes are in order of time. Prompts that contain the part `without` are left out.
    fn collect_evidence(&self, crashes: &[&Crash], without: Option<PromptPartId>) -> Vec<Evidence> {
        let mut traces: BTreeMap<PromptPartId, Trace<'_>> = BTreeMap::new();
        for crash in crashes {
            for (part, occurrence) in self.occurrences(crash, without) {
                let trace = traces.entry(part).or_default();
                trace.record(crash.at_ms, occurrence);
            }
        }
        let evidence = traces.into_iter().map(|(part, trace)| {
            let suspect = self.suspects.get(&part);
            Evidence {
                is_never_answered: suspect.is_some_and(|suspect| suspect.answered_ms.is_none()),
                position: trace.position,
                events: trace.events,
                attempts: trace.attempts,
                requests: trace.requests.len(),
                entries: trace.entries.len(),
                part,
            }
        });
        evidence.collect()
    }

    /// Returns the parts that were on a crashed engine and were not answered since.
    fn occurrences<'c>(
        &self,
        crash: &'c Crash,
        without: Option<PromptPartId>,
    ) -> BTreeMap<PromptPartId, Occurrence<'c>> {
        let mut occurrences: BTreeMap<PromptPartId, Occurrence<'c>> = BTreeMap::new();
        for (prompt, attempts) in &crash.prompts {
            if without.is_some_and(|without| prompt.contains(without)) {
                continue;
            }
            for (position, part) in shared_parts(&prompt.parts).enumerate() {
                let suspect = self.suspects.get(&part);
                if suspect.is_none_or(|suspect| suspect.answered_ms >= Some(crash.at_ms)) {
                    continue;
                }
                let occurrence = occurrences.entry(part).or_default();
                occurrence.position = position;
                occurrence.attempts += attempts;
                occurrence.requests.extend(prompt.parts.last());
                occurrence.entries.insert(&prompt.entry);
            }
        }
        occurrences
    }

    /// Drops the whole request that was on a single crash, the longest time ago. Crashes of other causes
    /// leave many such suspects.
    fn drop_oldest_request(&mut self) {
        let suspects = self.suspects.iter();
        let single = suspects.filter(|(part, suspect)| {
            part.is_request() && !suspect.has_crashed_again && !suspect.is_probed
        });
        let oldest = single.min_by_key(|(_, suspect)| suspect.crashed_ms);
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }

    /// Lists a part as a suspect of a crash.
    fn list_suspect(&mut self, part: PromptPartId, crashed_ms: u64, now_ms: u64) {
        let (revision, is_full) = (self.revision, self.suspects.len() >= MAX_SUSPECTS);
        if let Some(suspect) = self.suspects.get_mut(&part) {
            let was_listed = suspect.is_listed(part);
            suspect.listed_revision = revision;
            suspect.has_crashed_again |= crashed_ms != suspect.crashed_ms;
            if !was_listed {
                suspect.listed_ms = now_ms;
            }
            suspect.crashed_ms = suspect.crashed_ms.max(crashed_ms);
            return;
        }
        if is_full {
            self.suspects.retain(|_, suspect| suspect.is_open());
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.drop_oldest_request();
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let suspect = Suspect {
            listed_revision: revision,
            listed_ms: now_ms,
            crashed_ms,
            answered_ms: None,
            has_crashed_again: false,
            is_probed: false,
        };
        self.suspects.insert(part, suspect);
    }
}

/// Returns the parts that other requests may share, and the id of the whole request: all but the last.
fn shared_parts(parts: &[PromptPartId]) -> impl Iterator<Item = PromptPartId> {
    let count = parts.len().saturating_sub(1);
    parts[..count].iter().copied()
}

fn is_explained(crash: &Crash, quarantined: &BTreeSet<PromptPartId>) -> bool {
    let mut parts = crash
        .prompts
        .keys()
        .flat_map(|prompt| shared_parts(&prompt.parts));
    parts.any(|part| quarantined.contains(&part))
}

/// Returns the position of a part in the prompts on a crashed engine.
fn position_in(crash: &Crash, part: PromptPartId) -> Option<usize> {
    let mut prompts = crash.prompts.keys();
    prompts.find_map(|prompt| shared_parts(&prompt.parts).position(|shared| shared == part))
}

fn is_sufficient(evidence: &Evidence, context: &VerdictContext<'_>) -> bool {
    let has_witnesses =
        evidence.entries >= context.entries.min(2) || evidence.events >= MIN_CRASHES_OF_ONE_WITNESS;
    let has_crashes = if !evidence.is_never_answered {
        evidence.events >= MIN_CRASHES_ONCE_ANSWERED
    } else if evidence.part.is_request() {
        evidence.events >= MIN_CRASHES_OF_REQUEST && evidence.attempts >= MIN_BROKEN_REPEATS
    } else {
        evidence.events >= MIN_CRASHES
    };
    let has_requests = evidence.part.is_request() || evidence.requests >= MIN_REQUESTS;
    has_crashes && has_requests && has_witnesses
}
