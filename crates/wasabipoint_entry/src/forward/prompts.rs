//! Prompt parts and whole requests at one entry process: evidence about those that may crash endpoints,
//! and refusal of those that are quarantined.

use std::collections::{BTreeMap, VecDeque};

use wasabipoint_kernel::{EntryId, PromptPartId};
use wasabipoint_policy::PromptHistory;
use wasabipoint_rpc::{
    AnsweredPart, EndpointView, EngineFailure, MAX_PARTS_PER_PROMPT, MAX_PROMPTS_PER_FAILURE,
    MAX_REPORTED_FAILURES, PromptDirective, PromptReport, QuarantinedPart, RefusedPart,
};

/// Time after which a failure is no longer reported, in milliseconds. It equals the time for which
/// the leader considers it, so that a new leader receives all evidence.
const MAX_FAILURE_AGE_MS: u64 = 120_000;

/// Time for which broken requests at one endpoint count as one failure, in milliseconds.
const MERGE_TIME_MS: u64 = 500;

/// Whether a request with certain prompt parts may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromptAdmission {
    /// No part is quarantined.
    Admitted,
    /// The part is quarantined, and this request probes it.
    Probe(PromptPartId),
    /// The part is quarantined.
    Refused(PromptPartId),
}

/// A failure and when it occurred.
#[derive(Debug)]
struct RecordedFailure {
    failure: EngineFailure,
    at_ms: u64,
    is_reported: bool,
}

/// Evidence that is reported to the leader, and the state of quarantined parts.
#[derive(Debug, Default)]
pub(crate) struct PromptMonitor {
    history: PromptHistory,
    /// Answers to whole requests, apart from those to parts: most requests differ from all others, and
    /// would displace the parts.
    request_history: PromptHistory,
    failures: VecDeque<RecordedFailure>,
    last_sequence: u64,
    leader_term: u64,
    received_sequence: u64,
    suspects: Vec<PromptPartId>,
    suspects_revision: u64,
    refused: BTreeMap<PromptPartId, u32>,
    /// Number of the last probe of each quarantined part that this process sent.
    used_probes: BTreeMap<PromptPartId, u32>,
}

impl PromptMonitor {
    /// Records that an endpoint has written a response to a request with these parts.
    pub(crate) fn record_answered(
        &mut self,
        parts: impl IntoIterator<Item = PromptPartId>,
        now_ms: u64,
    ) {
        let (requests, parts): (Vec<_>, Vec<_>) =
            parts.into_iter().partition(|part| part.is_request());
        self.request_history.record_answered(requests, now_ms);
        self.history.record_answered(parts, now_ms);
    }

    /// Records a request whose connection to an endpoint broke when its response had not begun, or
    /// just had. Its shared parts are followed by its own id and by its last part.
    pub(crate) fn record_failure(
        &mut self,
        endpoint: &EndpointView,
        mut parts: Vec<PromptPartId>,
        now_ms: u64,
    ) {
        if parts.len() > MAX_PARTS_PER_PROMPT {
            parts.drain(MAX_PARTS_PER_PROMPT - 2..parts.len() - 2);
        }
        let open = self.failures.iter_mut().find(|recorded| {
            recorded.failure.endpoint == endpoint.id
                && recorded.failure.incarnation == endpoint.incarnation
                && !recorded.is_reported
                && now_ms < recorded.at_ms + MERGE_TIME_MS
        });
        if let Some(recorded) = open {
            if recorded.failure.prompts.len() < MAX_PROMPTS_PER_FAILURE {
                recorded.failure.prompts.push(parts);
            }
            return;
        }
        self.last_sequence += 1;
        self.failures.push_back(RecordedFailure {
            failure: EngineFailure {
                sequence: self.last_sequence,
                endpoint: endpoint.id.clone(),
                incarnation: endpoint.incarnation,
                age_ms: 0,
                prompts: vec![parts],
            },
            at_ms: now_ms,
            is_reported: false,
        });
        if self.failures.len() > MAX_REPORTED_FAILURES {
            self.failures.pop_front();
        }
    }

    /// Decides whether a request of this process with the given parts may be sent, and counts it if
    /// not.
    pub(crate) fn admit(
        &mut self,
        quarantine: &BTreeMap<PromptPartId, QuarantinedPart>,
        entry: &EntryId,
        parts: impl IntoIterator<Item = PromptPartId>,
    ) -> PromptAdmission {
        if quarantine.is_empty() {
            return PromptAdmission::Admitted;
        }
        let mut parts = parts.into_iter();
        let Some(quarantined) = parts.find_map(|part| quarantine.get(&part)) else {
            return PromptAdmission::Admitted;
        };
        let part = quarantined.part;
        self.used_probes
            .retain(|part, _| quarantine.contains_key(part));
        let granted = quarantined.probe.as_ref();
        if let Some(probe) = granted.filter(|probe| probe.entry == *entry)
            && self.used_probes.get(&part) != Some(&probe.number)
        {
            self.used_probes.insert(part, probe.number);
            return PromptAdmission::Probe(part);
        }
        *self.refused.entry(part).or_default() += 1;
        PromptAdmission::Refused(part)
    }

    /// Returns whether the leader suspects one of the parts of a request, or the request itself was on
    /// an endpoint that failed. The parts that it shares with others are on many endpoints that fail.
    pub(crate) fn is_suspected(
        &self,
        mut parts: impl Iterator<Item = PromptPartId>,
        identity: PromptPartId,
    ) -> bool {
        let mut failures = self.failures.iter();
        parts.any(|part| self.suspects.contains(&part))
            || failures.any(|recorded| {
                let mut prompts = recorded.failure.prompts.iter();
                prompts.any(|parts| parts.contains(&identity))
            })
    }

    /// Returns whether a report is due even if there is no demand.
    pub(crate) fn has_news(&self) -> bool {
        let mut failures = self.failures.iter();
        !self.suspects.is_empty()
            || !self.refused.is_empty()
            || failures.any(|recorded| recorded.failure.sequence > self.received_sequence)
    }

    /// Returns the report to the leader.
    pub(crate) fn take_report(&mut self, now_ms: u64) -> PromptReport {
        self.failures
            .retain(|recorded| now_ms < recorded.at_ms + MAX_FAILURE_AGE_MS);
        let received_sequence = self.received_sequence;
        let unreceived = self
            .failures
            .iter_mut()
            .filter(|recorded| recorded.failure.sequence > received_sequence);
        let failures = unreceived.map(|recorded| {
            recorded.is_reported = true;
            EngineFailure {
                age_ms: now_ms - recorded.at_ms,
                ..recorded.failure.clone()
            }
        });
        let failures = failures.collect();
        let answered = self.suspects.iter().filter_map(|part| {
            let history = if part.is_request() {
                &self.request_history
            } else {
                &self.history
            };
            let answered_ms = history.answered_ms(*part)?;
            Some(AnsweredPart {
                part: *part,
                age_ms: now_ms.saturating_sub(answered_ms),
            })
        });
        let answered = answered.collect();
        let refused = std::mem::take(&mut self.refused).into_iter();
        PromptReport {
            failures,
            suspects_revision: self.suspects_revision,
            answered,
            refused: refused
                .map(|(part, refused)| RefusedPart { part, refused })
                .collect(),
        }
    }

    /// Gives new sequence numbers to the failures that only an earlier leader received. A new leader
    /// acknowledges the highest number that it received, which would include theirs.
    fn renumber_received_failures(&mut self) {
        for recorded in &mut self.failures {
            if recorded.failure.sequence <= self.received_sequence {
                self.last_sequence += 1;
                recorded.failure.sequence = self.last_sequence;
            }
        }
    }

    /// Applies the reply of the leader. Returns whether it asks for answers that were not reported
    /// yet.
    pub(crate) fn apply_directive(&mut self, directive: PromptDirective) -> bool {
        if directive.term < self.leader_term {
            return false;
        }
        if directive.term > self.leader_term {
            self.leader_term = directive.term;
            self.renumber_received_failures();
        }
        self.received_sequence = self.received_sequence.max(directive.received_sequence);
        let Some(suspects) = directive.suspects else {
            return false;
        };
        self.suspects = suspects;
        self.suspects_revision = directive.suspects_revision;
        true
    }
}
