//! Estimates of the load of endpoints between reports, and the choice of an endpoint by cost.
//!
//! Many entry processes share the endpoints, so that each of them rarely receives a report of an
//! endpoint. If an old report counted as no load and equal endpoints were taken in a fixed order,
//! all entry processes would choose the same endpoint.

/// Time constant, in milliseconds, of the decay from a report to the mean of all endpoints.
const REPORT_DECAY_MS: f64 = 2_000.0;

/// Difference in cost, as a share of the slots, up to which endpoints count as equal. It is smaller
/// than the cost of sending a request to another failure domain.
const COST_TOLERANCE: f64 = 0.02;

/// Estimated load that other callers put on an endpoint, based on the endpoint's last report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadEstimate {
    reported: f64,
    reported_ms: Option<u64>,
}

impl LoadEstimate {
    /// Records a report of all running and waiting requests, `own` of which are the caller's.
    pub fn record_report(&mut self, total: u32, own: u32, now_ms: u64) {
        self.reported = f64::from(total.saturating_sub(own));
        self.reported_ms = Some(now_ms);
    }

    /// Returns the estimated requests of other callers, which move from the report towards `mean`
    /// as the report ages.
    pub fn other_requests(&self, mean: f64, now_ms: u64) -> f64 {
        let weight = self.weight(now_ms);
        self.reported * weight + mean * (1.0 - weight)
    }

    /// Returns the weight of the last report, which decays from 1 to 0 with its age.
    pub fn weight(&self, now_ms: u64) -> f64 {
        self.reported_ms.map_or(0.0, |reported_ms| {
            let age_ms = now_ms.saturating_sub(reported_ms) as f64;
            (-age_ms / REPORT_DECAY_MS).exp()
        })
    }
}

/// Weight of an assumed idle endpoint in the mean, so that an endpoint without a report is tried
/// before one that is known to be busy.
const IDLE_PRIOR_WEIGHT: f64 = 1.0;

/// Returns the mean number of requests of other callers per endpoint, weighted by the age of the
/// reports.
pub fn mean_load<'e>(estimates: impl Iterator<Item = &'e LoadEstimate>, now_ms: u64) -> f64 {
    let (mut sum, mut weights) = (0.0, IDLE_PRIOR_WEIGHT);
    for estimate in estimates {
        let weight = estimate.weight(now_ms);
        sum += estimate.reported * weight;
        weights += weight;
    }
    sum / weights
}

/// Returns the mean number of requests of other callers at an endpoint with a share of 1, where each
/// endpoint has an expected share of the requests. With equal shares of 1 this is `mean_load`.
pub fn mean_load_by_share<'e>(
    estimates: impl Iterator<Item = (&'e LoadEstimate, f64)>,
    now_ms: u64,
) -> f64 {
    let (mut sum, mut weights) = (0.0, IDLE_PRIOR_WEIGHT);
    for (estimate, share) in estimates {
        let weight = estimate.weight(now_ms);
        sum += estimate.reported * weight;
        weights += share * weight;
    }
    sum / weights
}

/// Returns the index of the lowest cost. Among costs that count as equal, `tie_breaker` selects
/// one. Costs are shares of the slots.
pub fn choose_lowest_cost(costs: &[f64], tie_breaker: u64) -> Option<usize> {
    let least = costs.iter().copied().min_by(f64::total_cmp)?;
    let equal = || {
        let costs = costs.iter().enumerate();
        costs.filter(move |(_, cost)| **cost <= least + COST_TOLERANCE)
    };
    let position = tie_breaker % equal().count() as u64;
    let (index, _) = equal().nth(position as usize)?;
    Some(index)
}
