//! Speeds of endpoints, combined by the leader from the reports of all entry processes.
//!
//! Load pattern: with many entry processes each one sends few requests to an endpoint, and a new
//! process none at all, so that its own measurements come too late to avoid a slow endpoint.

use std::collections::BTreeMap;

use wasabipoint_kernel::{EndpointId, EntryId, Incarnation, ServiceName};

use crate::endpoint_speed::{SpeedSample, combine_speeds, has_speed_changed, mean_event_us};

/// Age from which a report is discarded, in milliseconds. Its weight is below a twentieth by then.
const MAX_AGE_MS: u64 = 30_000;

/// Maximum number of processes whose reports of one endpoint are kept.
const MAX_REPORTERS: usize = 128;

/// Maximum number of entries of one report or directive.
pub const MAX_SPEEDS: usize = 64;

/// Bounds of a reported time per event, in microseconds.
const EVENT_US_BOUNDS: (u32, u32) = (1_000, 2_000_000);

/// Interval at which the reports are combined, in milliseconds.
const COMBINE_INTERVAL_MS: u64 = 250;

/// Interval after which an unchanged speed is stated again, in milliseconds, so that a confirmed
/// speed does not decay at the entry processes, and a lost reply is made up for.
const RESTATE_MS: u64 = 5_000;

type EndpointKey = (EndpointId, Incarnation);

/// A combined time per event.
#[derive(Debug, Clone, Copy, PartialEq)]
struct CombinedSpeed {
    event_us: u32,
    measured_ms: u64,
}

/// What one entry process was told.
#[derive(Debug)]
struct Told {
    incarnation: Incarnation,
    /// Time per event and when it was stated.
    speeds: BTreeMap<EndpointKey, (u32, u64)>,
    last_report_ms: u64,
}

/// A speed for an entry process.
#[derive(Debug, Clone, PartialEq)]
pub struct StatedSpeed {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Time per event in microseconds.
    pub event_us: u32,
    /// Age of the newest measurement in milliseconds.
    pub age_ms: u64,
}

/// The speeds of all endpoints in one term of the leader.
#[derive(Debug, Default)]
pub struct SharedSpeeds {
    /// Last report by endpoint and process. The age of a sample is replaced by its time.
    reports: BTreeMap<EndpointKey, BTreeMap<EntryId, (SpeedSample, u64)>>,
    combined: BTreeMap<EndpointKey, CombinedSpeed>,
    combined_ms: u64,
    told: BTreeMap<EntryId, Told>,
}

impl SharedSpeeds {
    /// Records what an entry process measured at an endpoint.
    pub fn record(
        &mut self,
        entry: &EntryId,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        sample: SpeedSample,
        now_ms: u64,
    ) {
        if sample.age_ms > MAX_AGE_MS {
            return;
        }
        let event_us = sample.event_us.clamp(EVENT_US_BOUNDS.0, EVENT_US_BOUNDS.1);
        let measured_ms = now_ms.saturating_sub(sample.age_ms);
        let reporters = self
            .reports
            .entry((endpoint.clone(), incarnation))
            .or_default();
        if reporters.len() < MAX_REPORTERS || reporters.contains_key(entry) {
            let sample = SpeedSample { event_us, ..sample };
            reporters.insert(entry.clone(), (sample, measured_ms));
        }
    }

    /// Combines the reports if that is due, and discards old ones and those of endpoints that
    /// `is_listed` doesn't know.
    pub fn combine(&mut self, is_listed: impl Fn(&EndpointId, Incarnation) -> bool, now_ms: u64) {
        if now_ms < self.combined_ms + COMBINE_INTERVAL_MS && self.combined_ms > 0 {
            return;
        }
        self.combined_ms = now_ms;
        self.reports.retain(|(endpoint, incarnation), reporters| {
            reporters.retain(|_, (_, measured_ms)| now_ms <= *measured_ms + MAX_AGE_MS);
            !reporters.is_empty() && is_listed(endpoint, *incarnation)
        });
        self.told
            .retain(|_, told| now_ms <= told.last_report_ms + MAX_AGE_MS);
        let mut samples = Vec::new();
        self.combined = self
            .reports
            .iter()
            .filter_map(|(key, reporters)| {
                samples.clear();
                samples.extend(reporters.values().map(|(sample, measured_ms)| SpeedSample {
                    age_ms: now_ms.saturating_sub(*measured_ms),
                    ..*sample
                }));
                let (event_us, age_ms) = combine_speeds(&samples)?;
                let measured_ms = now_ms.saturating_sub(age_ms);
                let combined = CombinedSpeed {
                    event_us,
                    measured_ms,
                };
                Some((key.clone(), combined))
            })
            .collect();
    }

    /// Returns the speeds that an entry process doesn't know: new and changed ones, and after some
    /// time those that were measured again.
    pub fn take_statements(
        &mut self,
        entry: &EntryId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Vec<StatedSpeed> {
        if self.combined.is_empty() {
            return Vec::new();
        }
        let new = || Told {
            incarnation,
            speeds: BTreeMap::new(),
            last_report_ms: now_ms,
        };
        let told = self.told.entry(entry.clone()).or_insert_with(new);
        if told.incarnation != incarnation {
            *told = new();
        }
        told.last_report_ms = now_ms;
        let combined = &self.combined;
        told.speeds.retain(|key, _| combined.contains_key(key));
        let mut statements = Vec::new();
        for (key, speed) in combined {
            let is_due = told.speeds.get(key).is_none_or(|(event_us, stated_ms)| {
                let is_repeated =
                    now_ms >= stated_ms + RESTATE_MS && speed.measured_ms > *stated_ms;
                has_speed_changed(*event_us, speed.event_us) || is_repeated
            });
            if !is_due {
                continue;
            }
            if statements.len() == MAX_SPEEDS {
                break;
            }
            told.speeds.insert(key.clone(), (speed.event_us, now_ms));
            statements.push(StatedSpeed {
                endpoint: key.0.clone(),
                incarnation: key.1,
                event_us: speed.event_us,
                age_ms: now_ms.saturating_sub(speed.measured_ms),
            });
        }
        statements
    }

    /// Returns the speeds in proportion to the mean of each service; 1.0 is usual. `service_of` returns
    /// the service of a listed endpoint.
    pub fn relative_speeds<'s>(
        &self,
        service_of: impl Fn(&EndpointId, Incarnation) -> Option<&'s ServiceName>,
    ) -> BTreeMap<(EndpointId, Incarnation), f64> {
        let mut services: BTreeMap<&ServiceName, Vec<(&EndpointKey, f64)>> = BTreeMap::new();
        for (key, speed) in &self.combined {
            if let Some(service) = service_of(&key.0, key.1) {
                let times = services.entry(service).or_default();
                times.push((key, f64::from(speed.event_us)));
            }
        }
        let mut speeds = BTreeMap::new();
        for times in services.into_values() {
            let usual_us = mean_event_us(times.iter().map(|(_, event_us)| *event_us));
            let usual_us = usual_us.unwrap_or(1.0);
            let relative = times.into_iter().map(|(key, event_us)| {
                let speed = (usual_us / event_us).clamp(0.25, 4.0);
                (key.clone(), speed)
            });
            speeds.extend(relative);
        }
        speeds
    }
}
