//! Hedged requests: a second attempt at another endpoint when the first one takes unusually long.
//!
//! Handles a few endpoints that answer some requests many times slower than the others while the
//! service as a whole has capacity. A service that is slow as a whole is not hedged: second attempts
//! would add to its load.

mod latency;
mod race;
mod window;

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{RouteName, ServiceName};

use latency::LatencyHistory;
use window::HedgeWindow;

pub use race::{AttemptGrade, Entrant, HedgeRace, RaceStep};

/// Maximum load of the endpoint for the second attempt, as a share of its slots. Beyond it, the
/// attempt would take slots that first attempts need when load moves between endpoints.
const MAX_LOAD_RATIO: f64 = 0.5;

/// Maximum share of first attempts that exceed their delay. The delay is exceeded by 5% of the usual
/// latencies; at four times as many, the service as a whole has become slower.
const MAX_LATE_RATIO: f64 = 0.2;

/// Number of first attempts beyond their delay up to which their share is not considered. With fewer
/// in a window, the share says nothing about the service.
const MIN_LATE_ATTEMPTS: u32 = 5;

/// When a request of a route is hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeDelay {
    /// Age of the first attempt, in milliseconds, from which it counts as unusually slow.
    pub delay_ms: u64,
    /// Usual latency, in milliseconds.
    pub median_ms: u64,
    /// Number of latencies that both are derived from.
    pub samples: u64,
}

/// Why a request is not hedged although its first attempt is slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// The share of hedged requests is used up.
    Limit,
    /// The endpoint for the second attempt is loaded, or the service as a whole is slow.
    Load,
    /// Too much of the retry budget is used.
    Budget,
    /// No endpoint may receive the second attempt.
    NoEndpoint,
}

impl HedgeRefusal {
    /// Returns the name of the refusal in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limit => "refused_limit",
            Self::Load => "refused_load",
            Self::Budget => "refused_budget",
            Self::NoEndpoint => "refused_no_endpoint",
        }
    }
}

/// The properties of a request that decide whether it may be sent a second time.
#[derive(Debug, Clone, Copy)]
pub struct HedgeRequest {
    /// Whether the request may run more than once.
    pub may_run_again: bool,
    /// Attempts that ran or may have run, including the current one.
    pub executions: u32,
    /// Maximum number of such attempts.
    pub max_attempts: u32,
    /// Whether the request probes a quarantined prompt part, or may have crashed an endpoint.
    pub is_suspected: bool,
    /// Whether the process drains.
    pub is_draining: bool,
    /// Time left for the request, in milliseconds.
    pub remaining_ms: u64,
}

impl HedgeRequest {
    /// Returns whether a second attempt may be sent. Only the first attempt of a request is hedged: a
    /// retry and the resumption of a stream are second attempts themselves.
    pub fn may_be_hedged(&self, delay: &HedgeDelay) -> bool {
        self.may_run_again
            && self.executions == 1
            && self.max_attempts > self.executions
            && !self.is_suspected
            && !self.is_draining
            && self.remaining_ms >= delay.median_ms
    }
}

/// Latencies of routes, and the hedged requests of services, at one entry process.
#[derive(Debug)]
pub struct Hedging {
    max_percent: u32,
    routes: BTreeMap<RouteName, LatencyHistory>,
    services: BTreeMap<ServiceName, HedgeWindow>,
}

impl Hedging {
    /// Creates the state for a maximum share of hedged requests in percent; 0 for none.
    pub fn new(max_percent: u32) -> Self {
        Self {
            max_percent,
            routes: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Returns whether requests are hedged at all.
    pub fn is_enabled(&self) -> bool {
        self.max_percent > 0
    }

    /// Forgets routes and services that are not part of the configuration.
    pub fn retain(&mut self, routes: &BTreeSet<&RouteName>, services: &BTreeSet<&ServiceName>) {
        self.routes.retain(|route, _| routes.contains(route));
        self.services
            .retain(|service, _| services.contains(service));
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&mut self, service: &ServiceName, now_ms: u64) {
        self.window(service).count(now_ms).requests += 1;
    }

    /// Counts a first attempt that has a delay.
    pub fn count_timed_attempt(&mut self, service: &ServiceName, now_ms: u64) {
        self.window(service).count(now_ms).timed_attempts += 1;
    }

    /// Counts a first attempt that exceeded its delay.
    pub fn count_late_attempt(&mut self, service: &ServiceName, now_ms: u64) {
        self.window(service).count(now_ms).late_attempts += 1;
    }

    /// Counts a second attempt.
    pub fn count_hedge(&mut self, service: &ServiceName, now_ms: u64) {
        self.window(service).count(now_ms).hedges += 1;
    }

    /// Records the time from the start of an attempt to its response head.
    pub fn record_latency(&mut self, route: &RouteName, latency_ms: u64, now_ms: u64) {
        self.history(route, now_ms).record(latency_ms, now_ms);
    }

    /// Records the age of an attempt that was cancelled, whose latency would have been at least that.
    /// An age below the median is ignored: it would make the latencies look shorter than they are.
    pub fn record_cancelled(&mut self, route: &RouteName, age_ms: u64, now_ms: u64) {
        let history = self.history(route, now_ms);
        if history.delay(now_ms).is_some_and(|d| age_ms >= d.median_ms) {
            history.record(age_ms, now_ms);
        }
    }

    /// Returns when a request of a route is hedged; `None` while too few latencies are known.
    pub fn delay(&self, route: &RouteName, now_ms: u64) -> Option<HedgeDelay> {
        self.routes.get(route)?.delay(now_ms)
    }

    /// Checks whether a request of a service may be hedged by an attempt at an endpoint with `load`
    /// requests and `slots` slots.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    pub fn check(
        &self,
        service: &ServiceName,
        load: u32,
        slots: u32,
        now_ms: u64,
    ) -> Result<(), HedgeRefusal> {
        let window = self.services.get(service);
        let counts = window.map(|window| window.sum(now_ms)).unwrap_or_default();
        let max_late = f64::from(counts.timed_attempts) * MAX_LATE_RATIO;
        let is_slow =
            counts.late_attempts > MIN_LATE_ATTEMPTS && f64::from(counts.late_attempts) > max_late;
        if is_slow || f64::from(load) > f64::from(slots) * MAX_LOAD_RATIO {
            return Err(HedgeRefusal::Load);
        }
        let (hedges, requests) = (u64::from(counts.hedges), u64::from(counts.requests));
        if (hedges + 1) * 100 > requests * u64::from(self.max_percent) {
            return Err(HedgeRefusal::Limit);
        }
        Ok(())
    }

    fn window(&mut self, service: &ServiceName) -> &mut HedgeWindow {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), HedgeWindow::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }

    fn history(&mut self, route: &RouteName, now_ms: u64) -> &mut LatencyHistory {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.clone(), LatencyHistory::new(now_ms));
        }
        self.routes.get_mut(route).expect("inserted above")
    }
}
