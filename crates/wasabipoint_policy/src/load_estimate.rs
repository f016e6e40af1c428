//! What a caller believes of an endpoint's load between reports, and the choice among endpoints.
//!
//! Many entry processes share the endpoints, so one of them hears of an endpoint seldom. If an old
//! report counts as no load, and equals are taken in a fixed order, all of them run to the same
//! endpoint.

/// Time constant with which a report loses its weight against the mean of all endpoints.
const REPORT_DECAY_MS: f64 = 2_000.0;

/// Difference in load, as a share of the slots, below which endpoints count as equal. A request in
/// another failure domain costs more than that.
const EQUAL_SHARE: f64 = 0.02;

/// Requests of others at an endpoint, as its last response told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadEstimate {
    reported: f64,
    reported_ms: Option<u64>,
}

impl LoadEstimate {
    /// Takes a report of all running and waiting requests, of which `own` are the caller's.
    pub fn record_report(&mut self, total: u32, own: u32, now_ms: u64) {
        self.reported = f64::from(total.saturating_sub(own));
        self.reported_ms = Some(now_ms);
    }

    /// Returns the requests of others, between the report and `mean` by the report's age.
    pub fn other_requests(&self, mean: f64, now_ms: u64) -> f64 {
        let weight = self.weight(now_ms);
        self.reported * weight + mean * (1.0 - weight)
    }

    /// Returns how much the report counts, from 1 when it came to 0.
    pub fn weight(&self, now_ms: u64) -> f64 {
        self.reported_ms.map_or(0.0, |reported_ms| {
            let age_ms = now_ms.saturating_sub(reported_ms) as f64;
            (-age_ms / REPORT_DECAY_MS).exp()
        })
    }
}

/// Weight of one idle endpoint in the mean, so that one that has not reported is tried before one that
/// is known to be busy.
const IDLE_WEIGHT: f64 = 1.0;

/// Returns the mean of the requests of others over endpoints, by the weight of their reports.
pub fn mean_load<'b>(beliefs: impl Iterator<Item = &'b LoadEstimate>, now_ms: u64) -> f64 {
    let (mut sum, mut weights) = (0.0, IDLE_WEIGHT);
    for belief in beliefs {
        let weight = belief.weight(now_ms);
        sum += belief.reported * weight;
        weights += weight;
    }
    sum / weights
}

/// Chooses among costs in shares of the slots: the least, or one that is equal to it by `draw`.
pub fn choose_lowest_cost(costs: &[f64], draw: u64) -> Option<usize> {
    let least = costs.iter().copied().min_by(f64::total_cmp)?;
    let equal = || {
        let costs = costs.iter().enumerate();
        costs.filter(move |(_, cost)| **cost <= least + EQUAL_SHARE)
    };
    let position = draw % equal().count() as u64;
    let (index, _) = equal().nth(position as usize)?;
    Some(index)
}
