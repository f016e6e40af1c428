//! Where streams should begin in a service with several software versions, and which of them need a
//! durable record of the version that began them.
//!
//! What endpoints of two software versions write does not fit together, and a caller may take a stream
//! up at any entry process, also after all of them were restarted. A stream without a record belongs to
//! the base version of its service, so that a service with a single version needs no records.

use std::collections::BTreeMap;

use wasabipoint_kernel::SoftwareVersion;

/// Longest time for which a record is kept, in milliseconds. Callers that wait longer for a stream can
/// resume it only within this time.
pub const MAX_STREAM_LIFETIME_MS: u64 = 600_000;

/// Greatest age at which a fleet view tells the base version, in milliseconds.
pub const MAX_BASE_VERSION_AGE_MS: u64 = 300_000;

/// Time after which the base version of a service is replaced, counted from the moment at which its last
/// endpoint is gone, in milliseconds. By then no caller resumes a stream without a record that the old
/// base version began, and no entry process begins one.
pub const BASE_RETIREMENT_MS: u64 = 1_200_000;

const _: () = assert!(BASE_RETIREMENT_MS > MAX_STREAM_LIFETIME_MS + MAX_BASE_VERSION_AGE_MS);

/// Margin added to the time for which the caller of a stream still waits, in milliseconds. It covers the
/// way of the record and of the caller's last attempt.
const LIFETIME_MARGIN_MS: u64 = 5_000;

/// What an entry process knows when a stream is about to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamStart<'a> {
    /// Software version of the endpoint that writes the stream.
    pub version: &'a SoftwareVersion,
    /// Base version of the endpoint's service, `None` if it is not known.
    pub base_version: Option<&'a SoftwareVersion>,
    /// Time since the base version was confirmed, in milliseconds.
    pub base_age_ms: u64,
    /// Number of services that the route may select.
    pub services: usize,
}

impl StreamStart<'_> {
    /// Returns whether the stream has to be recorded before its caller gets an event.
    pub fn needs_record(&self) -> bool {
        let is_implied = self.base_version == Some(self.version)
            && self.base_age_ms <= MAX_BASE_VERSION_AGE_MS
            && self.services <= 1;
        !is_implied
    }
}

/// Returns for how long a stream is recorded whose caller waits for `remaining_ms` more, `None` if it
/// states no deadline. Such a caller may resume the stream at any time.
pub fn record_lifetime_ms(remaining_ms: Option<u64>) -> u64 {
    remaining_ms
        .map_or(u64::MAX, |remaining| {
            remaining.saturating_add(LIFETIME_MARGIN_MS)
        })
        .min(MAX_STREAM_LIFETIME_MS)
}

/// What control knows of a service when its endpoints change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BaseVersionView<'a> {
    /// Base version, if the service has one.
    pub base: Option<&'a SoftwareVersion>,
    /// Time at which the last endpoint of the base version was found gone, in milliseconds.
    pub absent_since_ms: Option<u64>,
    /// The present in milliseconds.
    pub now_ms: u64,
}

/// What becomes of the base version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BaseVersionStep {
    /// It stays, and has endpoints.
    Present,
    /// It stays, without an endpoint since this time in milliseconds.
    AbsentSince(u64),
    /// It is set or replaced.
    Set(SoftwareVersion),
    /// The service has neither a base version nor endpoints.
    None,
}

/// Decides about the base version of a service whose endpoints have these software versions.
pub fn next_base_version<'v>(
    view: BaseVersionView<'_>,
    versions: impl Iterator<Item = &'v SoftwareVersion>,
) -> BaseVersionStep {
    let mut counts: BTreeMap<&SoftwareVersion, usize> = BTreeMap::new();
    for version in versions {
        *counts.entry(version).or_default() += 1;
    }
    if let Some(base) = view.base {
        if counts.contains_key(base) {
            return BaseVersionStep::Present;
        }
        let since_ms = view.absent_since_ms.unwrap_or(view.now_ms);
        if counts.is_empty() || view.now_ms < since_ms + BASE_RETIREMENT_MS {
            return BaseVersionStep::AbsentSince(since_ms);
        }
    }
    let most_common = counts.into_iter().max_by_key(|(_, count)| *count);
    most_common.map_or(BaseVersionStep::None, |(version, _)| {
        BaseVersionStep::Set(version.clone())
    })
}

/// Cost of an endpoint that is the only one of its software version while another version has several,
/// as a share of its slots. A stream that begins there is lost with the endpoint. High load outweighs it.
const SINGLE_ENDPOINT_COST: f64 = 0.15;

/// Adds to `costs` what it costs to begin a stream at each of the candidates. Takes the software versions
/// of the candidates, and of all endpoints that could serve the stream.
pub fn add_version_costs<'v>(
    costs: &mut [f64],
    candidates: impl Iterator<Item = &'v SoftwareVersion>,
    mut eligible: impl Iterator<Item = &'v SoftwareVersion> + Clone,
) {
    let first = eligible.clone().next();
    if eligible.clone().all(|version| Some(version) == first) {
        return;
    }
    let mut counts: BTreeMap<&SoftwareVersion, usize> = BTreeMap::new();
    for version in eligible.by_ref() {
        *counts.entry(version).or_default() += 1;
    }
    if counts.values().all(|count| *count < 2) {
        return;
    }
    for (cost, version) in costs.iter_mut().zip(candidates) {
        if counts.get(version).is_none_or(|count| *count < 2) {
            *cost += SINGLE_ENDPOINT_COST;
        }
    }
}
