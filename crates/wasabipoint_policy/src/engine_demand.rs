//! Moving averages of the demand for models on commanded engines, as entry processes report it.
//!
//! Times are relative to any fixed origin, such as the start of the leader's term.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipoint_kernel::ModelName;

/// Time constant, in seconds, of the averaged load. Demand shifts between models within a few
/// seconds.
const LOAD_DECAY_S: f64 = 1.5;

/// Time constant, in seconds, of the averaged request rate. It is long enough that a rarely
/// requested model stays in demand between requests, also while all of them are refused.
const RATE_DECAY_S: f64 = 8.0;

/// Time constant, in seconds, of the recent request rate, which shows rising demand early.
const RECENT_RATE_DECAY_S: f64 = 2.0;

/// Demand of one request per second, in concurrent requests.
const DEMAND_PER_RATE: f64 = 0.3;

/// Additional demand of one request per second for a model that no engine holds, in concurrent
/// requests. It applies to the part of the recent rate above that of a single request.
const UNHELD_DEMAND_PER_RATE: f64 = 0.8;

/// Contribution of a single request to the recent rate.
const SINGLE_REQUEST_PER_S: f64 = 1.0 / RECENT_RATE_DECAY_S;

/// Growth per second of the demand for a requested model that no engine holds, in concurrent
/// requests. Without it, a rarely requested model would never be loaded.
const UNHELD_DEMAND_GROWTH_PER_S: f64 = 0.05;

/// Highest request rate at which a model counts as unused. A single request exceeds it for 16 s.
const MAX_UNUSED_RATE_PER_S: f64 = 0.017;

/// Presumed demand per replica before the first request, as a share of an engine's slots. Busy
/// models start with many replicas. This share lets each of them keep three until requests show the
/// real demand.
const PRESUMED_SHARE: f64 = 0.18;

/// Time constant, in seconds, with which measured demand replaces presumed demand.
const PRESUMED_DECAY_S: f64 = 2.0;

/// Averaged demand for one model.
#[derive(Debug, Clone, Copy, Default)]
struct DemandAverage {
    /// Concurrent requests.
    load: f64,
    load_at: Duration,
    /// Requests per second.
    rate_per_s: f64,
    /// Requests per second with the shorter time constant.
    recent_rate_per_s: f64,
    rate_at: Duration,
    /// Time of the first update that found the model in demand while no engine held it.
    unheld_since: Option<Duration>,
}

impl DemandAverage {
    fn count(&mut self, requests: u32, now: Duration) {
        let requests = f64::from(requests);
        self.rate_per_s = self.steady_rate(now) + requests / RATE_DECAY_S;
        self.recent_rate_per_s = self.recent_rate(now) + requests / RECENT_RATE_DECAY_S;
        self.rate_at = now;
    }

    fn steady_rate(&self, now: Duration) -> f64 {
        self.rate_per_s * decay(now.saturating_sub(self.rate_at), RATE_DECAY_S)
    }

    fn recent_rate(&self, now: Duration) -> f64 {
        self.recent_rate_per_s * decay(now.saturating_sub(self.rate_at), RECENT_RATE_DECAY_S)
    }

    fn update_load(&mut self, current: f64, now: Duration) {
        let old_weight = decay(now.saturating_sub(self.load_at), LOAD_DECAY_S);
        self.load = self.load * old_weight + current * (1.0 - old_weight);
        self.load_at = now;
    }

    /// Returns the demand that results from the load and the higher of the steady and the recent
    /// rate, so that rising demand counts at once.
    fn base_demand(&self, now: Duration) -> f64 {
        let rate = self.steady_rate(now).max(self.recent_rate(now));
        self.load + rate * DEMAND_PER_RATE
    }

    /// Returns the additional demand for a model that no engine holds.
    fn unheld_demand(&self, now: Duration) -> f64 {
        let excess = (self.recent_rate(now) - SINGLE_REQUEST_PER_S).max(0.0);
        let unheld = self.unheld_since.map(|since| now.saturating_sub(since));
        let unheld_s = unheld.unwrap_or_default().as_secs_f64();
        excess * UNHELD_DEMAND_PER_RATE + unheld_s * UNHELD_DEMAND_GROWTH_PER_S
    }
}

/// Averaged demand for all models on commanded engines.
#[derive(Debug, Default)]
pub struct EngineDemand {
    averages: BTreeMap<ModelName, DemandAverage>,
    first_request: Option<Duration>,
}

impl EngineDemand {
    /// Counts requests for a model, both served and refused.
    pub fn count_arrivals(&mut self, model: &ModelName, count: u32, now: Duration) {
        if count == 0 {
            return;
        }
        self.first_request.get_or_insert(now);
        let average = self.averages.entry(model.clone()).or_default();
        average.count(count, now);
    }

    /// Records the concurrent requests for a model and returns its averaged demand, in concurrent
    /// requests. `is_held` is whether any engine holds the model.
    pub fn update_load(
        &mut self,
        model: &ModelName,
        current: f64,
        is_held: bool,
        now: Duration,
    ) -> f64 {
        let average = self.averages.entry(model.clone()).or_default();
        average.update_load(current, now);
        if is_held {
            average.unheld_since = None;
            return average.base_demand(now);
        }
        if average.steady_rate(now) > MAX_UNUSED_RATE_PER_S {
            average.unheld_since.get_or_insert(now);
        }
        average.base_demand(now) + average.unheld_demand(now)
    }

    /// Returns the presumed demand per replica as a share of an engine's slots. It decays after the
    /// first request, whatever the measured demand is.
    pub fn presumed_share(&self, now: Duration) -> f64 {
        let since_first_request = self.first_request.map(|first| now.saturating_sub(first));
        PRESUMED_SHARE * decay(since_first_request.unwrap_or_default(), PRESUMED_DECAY_S)
    }
}

fn decay(age: Duration, time_constant_s: f64) -> f64 {
    (-age.as_secs_f64() / time_constant_s).exp()
}
