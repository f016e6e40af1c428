//! Demand for models on commanded engines, averaged from what entry processes report.
//!
//! Times are those since any fixed moment, for example the start of the leader's term.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabipoint_kernel::ModelName;

/// Time constant of the averaged demand. Demand moves within a few seconds.
const DEMAND_DECAY_S: f64 = 1.5;

/// Time constant of the averaged rate of requests. A model that is asked for now and then stays in
/// demand over it, also while every request for it is refused.
const RATE_DECAY_S: f64 = 8.0;

/// Time constant of the rate that shows a model whose demand begins.
const RISE_DECAY_S: f64 = 2.0;

/// Concurrent requests that one request per second stands for.
const LOAD_PER_RATE: f64 = 0.3;

/// Concurrent requests that one request per second for a model stands for while no engine holds it,
/// above the rate that a single request stands for.
const UNHELD_LOAD_PER_RATE: f64 = 0.8;

/// Requests per second over the last moments that a single request stands for.
const SINGLE_REQUEST_PER_S: f64 = 1.0 / RISE_DECAY_S;

/// Concurrent requests by which the demand for a model grows per second in which requests ask for
/// it in vain. Without it a model that is asked for now and then would never be loaded.
const UNHELD_LOAD_PER_S: f64 = 0.05;

/// Requests per second below which a model counts as not asked for: one within the last 16 s.
const UNUSED_RATE_PER_S: f64 = 0.017;

/// Share of an engine's slots that each replica stands for before any request came. Busy models
/// start with many replicas, and three of them stay until requests show the real demand.
const PRESUMED_SHARE: f64 = 0.18;

/// Time constant with which measured demand takes the place of the presumed one.
const PRESUMED_DECAY_S: f64 = 2.0;

/// Averaged demand for one model.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    /// Concurrent requests.
    load: f64,
    load_at: Duration,
    /// Requests per second.
    rate_per_s: f64,
    /// The same over the last moments.
    recent_rate_per_s: f64,
    rate_at: Duration,
    /// Since when requests have asked for the model while no engine held it.
    unheld_since: Option<Duration>,
}

impl Average {
    fn count(&mut self, requests: u32, now: Duration) {
        let requests = f64::from(requests);
        self.rate_per_s = self.steady_rate(now) + requests / RATE_DECAY_S;
        self.recent_rate_per_s = self.recent_rate(now) + requests / RISE_DECAY_S;
        self.rate_at = now;
    }

    fn steady_rate(&self, now: Duration) -> f64 {
        self.rate_per_s * decay(now.saturating_sub(self.rate_at), RATE_DECAY_S)
    }

    fn recent_rate(&self, now: Duration) -> f64 {
        self.recent_rate_per_s * decay(now.saturating_sub(self.rate_at), RISE_DECAY_S)
    }

    fn update_load(&mut self, current: f64, now: Duration) {
        let kept = decay(now.saturating_sub(self.load_at), DEMAND_DECAY_S);
        self.load = self.load * kept + current * (1.0 - kept);
        self.load_at = now;
    }

    /// The demand of a model in steady use, or the higher one of a model whose demand begins.
    fn held_load(&self, now: Duration) -> f64 {
        let rate = self.steady_rate(now).max(self.recent_rate(now));
        self.load + rate * LOAD_PER_RATE
    }

    /// What requests for a model that no engine holds add to its demand.
    fn unheld_load(&self, now: Duration) -> f64 {
        let excess = (self.recent_rate(now) - SINGLE_REQUEST_PER_S).max(0.0);
        let unheld = self.unheld_since.map(|since| now.saturating_sub(since));
        let unheld_s = unheld.unwrap_or_default().as_secs_f64();
        excess * UNHELD_LOAD_PER_RATE + unheld_s * UNHELD_LOAD_PER_S
    }
}

/// Averaged demand for all models of the engines.
#[derive(Debug, Default)]
pub struct EngineDemand {
    averages: BTreeMap<ModelName, Average>,
    first_request: Option<Duration>,
}

impl EngineDemand {
    /// Counts requests for a model, whether they were served or refused.
    pub fn count_arrivals(&mut self, model: &ModelName, count: u32, now: Duration) {
        if count == 0 {
            return;
        }
        self.first_request.get_or_insert(now);
        let average = self.averages.entry(model.clone()).or_default();
        average.count(count, now);
    }

    /// Takes the concurrent requests of a model and returns its averaged demand, in concurrent
    /// requests. `is_held` tells whether any engine holds the model.
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
            return average.held_load(now);
        }
        if average.steady_rate(now) > UNUSED_RATE_PER_S {
            average.unheld_since.get_or_insert(now);
        }
        average.held_load(now) + average.unheld_load(now)
    }

    /// Returns the share of an engine's slots that each replica of a model stands for, whatever was
    /// measured.
    pub fn presumed_share(&self, now: Duration) -> f64 {
        let measured = self.first_request.map(|first| now.saturating_sub(first));
        PRESUMED_SHARE * decay(measured.unwrap_or_default(), PRESUMED_DECAY_S)
    }
}

fn decay(age: Duration, time_constant_s: f64) -> f64 {
    (-age.as_secs_f64() / time_constant_s).exp()
}
