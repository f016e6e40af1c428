//! Speed of an endpoint, learned from the time between the events of its streams.
//!
//! Load pattern: endpoints of one service differ in speed and share their machines with other work,
//! so that everything there takes a multiple of the usual time for some 100 ms. The median of the means
//! of a few gaps is moved neither by such disturbances nor by single prompts that are read between two
//! events.

/// Number of gaps that a stream collects before they are recorded together.
pub const GAP_BATCH: usize = 16;

/// Number of consecutive gaps whose mean is one measurement. An entry process with a small CPU quota runs
/// at intervals of some 100 ms and sees several events at once, so single gaps are near 0 or 100 ms.
const GAPS_PER_MEAN: usize = 4;

/// Number of recent means kept per endpoint. Several streams contribute, and a disturbance or the
/// prompt of one request covers fewer than half of them.
const RECENT_MEANS: usize = 8;

/// Largest weight of the measurements of one process, in samples: the number of gaps that it keeps.
const MAX_SAMPLES: usize = RECENT_MEANS * GAPS_PER_MEAN;

/// Time constant, in milliseconds, of the decay of a measurement. It lets an endpoint that was slow
/// look usual again within some 20 s, so that it gets requests that show whether it has recovered.
const SPEED_DECAY_MS: f64 = 10_000.0;

/// Weight of the usual time of the service, in samples.
const USUAL_WEIGHT: f64 = 4.0;

/// Largest weight of the speed that the leader states, in samples.
const SHARED_WEIGHT: f64 = 16.0;

/// Bound on the ratio of an endpoint's time per event to the usual one, in both directions.
const MAX_SPEED_RATIO: f64 = 4.0;

/// Largest gap that is recorded, in microseconds. A longer one is a fault, not a speed.
const MAX_GAP_US: u32 = 2_000_000;

/// Minimum number of means of a measurement that is reported.
const MIN_REPORTED_MEANS: usize = 2;

/// Minimum interval between two reports of one endpoint, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Interval after which an unchanged measurement is reported again, in milliseconds, so that it does
/// not decay at the leader while it is confirmed.
const REPORT_REPEAT_MS: u64 = 5_000;

/// Relative change from which a measurement is reported or stated again.
const REPORTED_CHANGE: f64 = 0.1;

/// Number of streams over which the share of late ones is taken.
const LATE_WINDOW: f64 = 16.0;

/// Gaps between the events of one stream, in microseconds, collected without allocation.
#[derive(Debug, Clone, Default)]
pub struct GapBatch {
    gaps_us: [u32; GAP_BATCH],
    len: usize,
}

impl GapBatch {
    /// Adds a gap. Returns whether the batch is full and has to be recorded.
    pub fn push(&mut self, gap_us: u32) -> bool {
        if let Some(slot) = self.gaps_us.get_mut(self.len) {
            *slot = gap_us;
            self.len += 1;
        }
        self.len == GAP_BATCH
    }

    /// Returns the gaps in order.
    pub fn gaps_us(&self) -> &[u32] {
        &self.gaps_us[..self.len]
    }

    /// Removes all gaps.
    pub fn clear(&mut self) {
        self.len = 0;
    }
}

/// A measured time per event, as entry processes report it to the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedSample {
    /// Median time between two events in microseconds.
    pub event_us: u32,
    /// Number of gaps that it is based on.
    pub samples: u32,
    /// Age in milliseconds.
    pub age_ms: u64,
}

impl SpeedSample {
    /// Returns the weight, which is bounded and decays with the age.
    fn weight(&self) -> f64 {
        let samples = self.samples.min(MAX_SAMPLES as u32);
        f64::from(samples) * decay(self.age_ms)
    }
}

/// Time per event that the leader stated.
#[derive(Debug, Clone, Copy)]
struct SharedSpeed {
    event_us: u32,
    /// Age of the measurement when it was stated.
    stated_age_ms: u64,
    stated_ms: u64,
}

impl SharedSpeed {
    fn age_ms(&self, now_ms: u64) -> u64 {
        let since_ms = now_ms.saturating_sub(self.stated_ms);
        self.stated_age_ms.saturating_add(since_ms)
    }
}

/// Speed of one incarnation of an endpoint as seen by one entry process.
#[derive(Debug, Clone)]
pub struct EndpointSpeed {
    /// Means of consecutive gaps.
    recent_us: [u32; RECENT_MEANS],
    len: usize,
    next: usize,
    median_us: u32,
    high_us: u32,
    recorded_ms: u64,
    shared: Option<SharedSpeed>,
    late_streams: f64,
    streams: f64,
    reported: Option<(u32, u64)>,
}

impl Default for EndpointSpeed {
    fn default() -> Self {
        Self {
            recent_us: [0; RECENT_MEANS],
            len: 0,
            next: 0,
            median_us: 0,
            high_us: 0,
            recorded_ms: 0,
            shared: None,
            late_streams: 0.0,
            streams: 0.0,
            reported: None,
        }
    }
}

impl EndpointSpeed {
    /// Records consecutive gaps between events of one stream, in microseconds. A remainder that is too
    /// short for a mean is not used.
    pub fn record_gaps(&mut self, gaps_us: &[u32], now_ms: u64) {
        if gaps_us.len() < GAPS_PER_MEAN {
            return;
        }
        for gaps in gaps_us.chunks_exact(GAPS_PER_MEAN) {
            let gaps = gaps.iter().map(|gap_us| (*gap_us).clamp(1, MAX_GAP_US));
            self.recent_us[self.next] = gaps.sum::<u32>() / GAPS_PER_MEAN as u32;
            self.next = (self.next + 1) % RECENT_MEANS;
            self.len = (self.len + 1).min(RECENT_MEANS);
        }
        let mut sorted = self.recent_us;
        let sorted = &mut sorted[..self.len];
        sorted.sort_unstable();
        self.median_us = sorted[self.len / 2];
        self.high_us = sorted[self.len * 9 / 10];
        self.recorded_ms = now_ms;
    }

    /// Returns the number of gaps that the measurement is based on.
    fn samples(&self) -> usize {
        self.len * GAPS_PER_MEAN
    }

    /// Records whether a complete stream had a pause beyond the objective of its route.
    pub fn record_stream(&mut self, is_late: bool) {
        let keep = 1.0 - 1.0 / LATE_WINDOW;
        self.late_streams = self.late_streams * keep + f64::from(u8::from(is_late));
        self.streams = self.streams * keep + 1.0;
    }

    /// Records the time per event that the leader states, unless a newer one is known.
    pub fn record_shared(&mut self, event_us: u32, age_ms: u64, now_ms: u64) {
        let known = self.shared;
        if known.is_none_or(|known| age_ms <= known.age_ms(now_ms)) {
            self.shared = Some(SharedSpeed {
                event_us: event_us.clamp(1, MAX_GAP_US),
                stated_age_ms: age_ms,
                stated_ms: now_ms,
            });
        }
    }

    /// Returns the measured time per event in microseconds and its weight in samples, `None` if
    /// nothing is known. The measurements of this process and those of the others are combined.
    pub fn measured(&self, now_ms: u64) -> Option<(f64, f64)> {
        let own_weight = self.samples() as f64 * decay(now_ms.saturating_sub(self.recorded_ms));
        let (mut sum, mut weight) = (f64::from(self.median_us) * own_weight, own_weight);
        if let Some(shared) = self.shared {
            let shared_weight = SHARED_WEIGHT * decay(shared.age_ms(now_ms));
            sum += f64::from(shared.event_us) * shared_weight;
            weight += shared_weight;
        }
        (weight > 0.0).then(|| (sum / weight, weight))
    }

    /// Returns the expected time per event in microseconds, where `usual_us` is that of the service.
    pub fn event_us(&self, usual_us: f64, now_ms: u64) -> f64 {
        let (measured_us, weight) = self.measured(now_ms).unwrap_or((usual_us, 0.0));
        let measured_us = measured_us.clamp(usual_us / MAX_SPEED_RATIO, usual_us * MAX_SPEED_RATIO);
        (measured_us * weight + usual_us * USUAL_WEIGHT) / (weight + USUAL_WEIGHT)
    }

    /// Returns the ratio of long gaps (the 90th percentile) to the median, if there are enough gaps.
    pub fn gap_spread(&self) -> Option<f64> {
        let is_known = self.len >= RECENT_MEANS / 2;
        is_known.then(|| f64::from(self.high_us) / f64::from(self.median_us.max(1)))
    }

    /// Returns the share of recent streams that were late. `usual_share` counts like half a window of
    /// streams.
    pub fn late_share(&self, usual_share: f64) -> f64 {
        let prior = LATE_WINDOW / 2.0;
        (self.late_streams + usual_share * prior) / (self.streams + prior)
    }

    /// Returns the number of recent late streams, and of all recent streams.
    pub fn streams(&self) -> (f64, f64) {
        (self.late_streams, self.streams)
    }

    /// Returns the measurement to report to the leader, if it is recent and changed.
    pub fn take_report(&mut self, now_ms: u64) -> Option<SpeedSample> {
        let age_ms = now_ms.saturating_sub(self.recorded_ms);
        if self.len < MIN_REPORTED_MEANS || age_ms > REPORT_REPEAT_MS {
            return None;
        }
        if let Some((known_us, reported_ms)) = self.reported {
            let since_ms = now_ms.saturating_sub(reported_ms);
            let has_changed = has_speed_changed(known_us, self.median_us);
            let is_new = self.recorded_ms > reported_ms;
            let is_due = since_ms >= REPORT_INTERVAL_MS && has_changed
                || since_ms >= REPORT_REPEAT_MS && is_new;
            if !is_due {
                return None;
            }
        }
        self.reported = Some((self.median_us, now_ms));
        Some(SpeedSample {
            event_us: self.median_us,
            samples: self.samples() as u32,
            age_ms,
        })
    }
}

/// Returns whether a time per event differs from a known one by more than a tenth.
pub fn has_speed_changed(known_us: u32, event_us: u32) -> bool {
    let difference = f64::from(known_us.abs_diff(event_us));
    difference > REPORTED_CHANGE * f64::from(known_us)
}

/// Combines the measurements of several processes: their median, weighted by samples and age. No
/// process has more than a third of the weight if three or more report, so that one that misreports
/// does not decide. Returns the time per event in microseconds and the age of the newest measurement.
pub fn combine_speeds(samples: &[SpeedSample]) -> Option<(u32, u64)> {
    let age_ms = samples.iter().map(|sample| sample.age_ms).min()?;
    let max_weight = max_single_weight(samples);
    let weighted = samples.iter();
    let mut weighted: Vec<(u32, f64)> = weighted
        .map(|sample| (sample.event_us, sample.weight().min(max_weight)))
        .collect();
    weighted.sort_unstable_by_key(|(event_us, _)| *event_us);
    let half: f64 = weighted.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for (event_us, weight) in &weighted {
        sum += weight;
        if sum >= half {
            return Some((*event_us, age_ms));
        }
    }
    None
}

/// Returns the weight that leaves no process more than a third of the sum. It exists only for three or
/// more processes.
fn max_single_weight(samples: &[SpeedSample]) -> f64 {
    if samples.len() < 3 {
        return f64::INFINITY;
    }
    let mut weights: Vec<f64> = samples.iter().map(SpeedSample::weight).collect();
    weights.sort_unstable_by(|one, other| other.total_cmp(one));
    let without_first: f64 = weights[1..].iter().sum();
    let without_second: f64 = weights[2..].iter().sum();
    // Half of the others if only the largest weight is above it, otherwise all but the two largest.
    if weights[1] <= without_first / 2.0 {
        without_first / 2.0
    } else {
        without_second
    }
}

/// Returns the geometric mean of times per event, which gives a slow and a quick endpoint equal weight.
pub fn mean_event_us(times_us: impl Iterator<Item = f64>) -> Option<f64> {
    let (mut sum, mut count) = (0.0, 0.0);
    for time_us in times_us.filter(|time_us| *time_us > 0.0) {
        sum += time_us.ln();
        count += 1.0;
    }
    (count > 0.0).then(|| f64::exp(sum / count))
}

fn decay(age_ms: u64) -> f64 {
    (-(age_ms as f64) / SPEED_DECAY_MS).exp()
}
