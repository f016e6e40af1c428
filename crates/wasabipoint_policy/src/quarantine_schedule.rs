//! When a quarantined prompt part is tried again, and when its quarantine ends.
//!
//! Requests with the part renew the quarantine as long as they come. One request in the whole fleet
//! is let through after a delay that grows with each crash, so that a part that was blamed wrongly,
//! or no longer crashes engines, is found at the cost of few engines.

use std::time::Duration;

/// Delay from the quarantine of a part to the first probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(30);

/// Factor by which each failed probe extends the delay to the next one.
const PROBE_BACKOFF_FACTOR: u32 = 4;

/// Longest delay to the next probe.
const MAX_PROBE_DELAY: Duration = Duration::from_hours(1);

/// Time after which a probe is given to another entry process if no result is known.
const PROBE_TIMEOUT: Duration = Duration::from_secs(8);

/// Age up to which a refused request makes its entry process a candidate for the next probe.
const MAX_REFUSAL_AGE: Duration = Duration::from_secs(5);

/// Time without requests after which a part is forgotten, to bound the state.
const LAPSE_TIME: Duration = Duration::from_mins(30);

/// What is known about a quarantined part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineView {
    /// Whether an operator set the quarantine, which is then left alone.
    pub is_set_by_operator: bool,
    /// Number of probes that crashed an engine.
    pub failed_probes: u32,
    /// Time since the quarantine began or its last probe ended.
    pub unprobed_for: Duration,
    /// Time since an entry process last refused a request with the part.
    pub unrefused_for: Duration,
    /// The probe in progress.
    pub probe: Option<ProbeView>,
}

/// A probe of a quarantined part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeView {
    /// Time since the probe was granted.
    pub granted_for: Duration,
    /// Whether an engine crashed with the part since.
    pub has_crashed: bool,
    /// Whether an engine answered the part since.
    pub is_answered: bool,
}

/// What to do about a quarantined part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStep {
    /// Nothing.
    Keep,
    /// Let one request through at the entry process that refused one last.
    GrantProbe,
    /// End the probe without a result.
    EndProbe,
    /// End the probe, which crashed an engine.
    FailProbe,
    /// End the quarantine: an engine answered the part.
    LiftAnswered,
    /// End the quarantine: no request with the part came for a long time.
    LiftLapsed,
}

/// Returns the next step for a quarantined part.
pub fn next_quarantine_step(view: &QuarantineView) -> QuarantineStep {
    if view.is_set_by_operator {
        return QuarantineStep::Keep;
    }
    if let Some(probe) = view.probe {
        return match probe {
            ProbeView {
                has_crashed: true, ..
            } => QuarantineStep::FailProbe,
            ProbeView {
                is_answered: true, ..
            } => QuarantineStep::LiftAnswered,
            _ if probe.granted_for >= PROBE_TIMEOUT => QuarantineStep::EndProbe,
            _ => QuarantineStep::Keep,
        };
    }
    if view.unrefused_for >= LAPSE_TIME {
        return QuarantineStep::LiftLapsed;
    }
    let is_requested = view.unrefused_for <= MAX_REFUSAL_AGE;
    if is_requested && view.unprobed_for >= probe_delay(view.failed_probes) {
        return QuarantineStep::GrantProbe;
    }
    QuarantineStep::Keep
}

/// Returns the delay from the last probe to the next one.
pub fn probe_delay(failed_probes: u32) -> Duration {
    let factor = PROBE_BACKOFF_FACTOR.saturating_pow(failed_probes);
    FIRST_PROBE_DELAY
        .saturating_mul(factor)
        .min(MAX_PROBE_DELAY)
}
