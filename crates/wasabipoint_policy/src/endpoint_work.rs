//! Load of an endpoint as work, and the cost of adding a request to it.
//!
//! Load pattern: engines read new prompts between the tokens of their running requests, during which
//! all streams of the engine stand still. A slow or disturbed engine exceeds the pause objective of
//! its streams with a prompt that a quick one reads unnoticed, so the cost of a request rises faster
//! than the time that an endpoint takes for it.

use crate::endpoint_speed::{EndpointSpeed, mean_event_us};

/// Time per event that is assumed before the first measurement, in microseconds. It only matters
/// until the first streams of a service have been served.
const INITIAL_EVENT_US: f64 = 50_000.0;

/// Time per prompt token that is assumed before the first measurement, in microseconds.
const INITIAL_TOKEN_US: f64 = 25.0;

/// Bounds of the learned time per prompt token, in microseconds.
const TOKEN_US_BOUNDS: (f64, f64) = (1.0, 2_000.0);

/// Steps of the learned time per prompt token towards a longer and a shorter measurement. It settles
/// at the 35th percentile, since a first event also includes waiting and other prompts.
const TOKEN_STEPS: (f64, f64) = (1.035, 1.065);

/// Minimum number of prompt tokens of a request that the time per token is learned from.
const MIN_LEARNED_TOKENS: u32 = 200;

/// Largest share of the slots in use at an endpoint that the time per token is learned from.
const MAX_LEARNED_LOAD: f64 = 0.25;

/// Ratio of long gaps to the usual one that is assumed before the first measurement, and its bounds.
const INITIAL_SPREAD: f64 = 2.0;
const SPREAD_BOUNDS: (f64, f64) = (1.25, 4.0);

/// Step of the mean prompt and of the mean tokens held by a request.
const MEAN_STEP: f64 = 0.02;

/// Minimum weight in samples of a measurement that counts towards the usual time of the service.
const MIN_USUAL_WEIGHT: f64 = 2.0;

/// Age in milliseconds from which an endpoint's statement has no weight. The stated time changes many
/// times per second.
const STATED_MAX_AGE_MS: f64 = 300.0;

/// Weight of a new statement against the usual spread. Measurements keep the larger part, so that an
/// endpoint that states a false time gains little.
const STATED_WEIGHT: f64 = 0.5;

/// Bounds of a stated time in percent of the usual one.
const STATED_BOUNDS: (u32, u32) = (50, 400);

/// Weight of the fourth power of the expected pause, as a share of the objective, in the cost. With
/// the fourth power an endpoint at the objective costs a multiple of one at half of it, which matches
/// the share of streams that miss the objective on endpoints of 0.6, 1.0 and 1.6 times the usual speed.
const PAUSE_WEIGHT: f64 = 8.0;

/// Bounds of the ratio of an endpoint's cost to that of the usual one.
const COST_RATIO_BOUNDS: (f64, f64) = (0.1, 20.0);

/// Weight of the share of late streams beyond that of the service.
const LATE_WEIGHT: f64 = 2.0;

/// Share of the slots in use from which requests may have to wait, and the cost per share beyond it.
const FULL_SHARE: f64 = 0.8;
const FULL_COST: f64 = 5.0;

/// Bounds of the share of a service's requests that an endpoint is expected to have.
const SHARE_BOUNDS: (f64, f64) = (0.2, 3.0);

/// What is known of a request's work before it is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestWork {
    /// Length of the prompt in tokens; 0 if it is not known.
    pub prompt_tokens: u32,
    /// Largest answer in tokens.
    pub answer_tokens: u32,
    /// Longest pause between two events, in milliseconds; 0 for none.
    pub max_gap_ms: u64,
    /// Objective for the first event in milliseconds; 0 for none.
    pub latency_objective_ms: u64,
}

impl RequestWork {
    /// Returns the tokens that the request holds at its endpoint at most.
    pub fn held_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.answer_tokens)
    }
}

/// Work statistics of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceWork {
    /// Usual time per event in microseconds.
    pub usual_event_us: f64,
    /// Time per prompt token at usual speed, in microseconds.
    pub token_us: f64,
    /// Usual ratio of long gaps to the median.
    pub gap_spread: f64,
    /// Share of streams that are late.
    pub late_share: f64,
    mean_prompt_tokens: f64,
    mean_held_tokens: f64,
}

impl Default for ServiceWork {
    fn default() -> Self {
        Self {
            usual_event_us: INITIAL_EVENT_US,
            token_us: INITIAL_TOKEN_US,
            gap_spread: INITIAL_SPREAD,
            late_share: 0.0,
            mean_prompt_tokens: 0.0,
            mean_held_tokens: 0.0,
        }
    }
}

impl ServiceWork {
    /// Records a request that is sent to an endpoint.
    pub fn record_request(&mut self, request: &RequestWork) {
        let update = |mean: &mut f64, value: f64| {
            let step = if *mean == 0.0 { 1.0 } else { MEAN_STEP };
            *mean += (value - *mean) * step;
        };
        update(
            &mut self.mean_prompt_tokens,
            f64::from(request.prompt_tokens),
        );
        update(&mut self.mean_held_tokens, request.held_tokens() as f64);
    }

    /// Returns the mean number of tokens that a request holds at most.
    pub fn mean_held_tokens(&self) -> f64 {
        self.mean_held_tokens
    }

    /// Learns the time per prompt token from a first event. `load_share` is the share of the slots in
    /// use when the request was sent, `event_us` the time per event of its endpoint.
    pub fn record_first_event(
        &mut self,
        first_us: u64,
        prompt_tokens: u32,
        load_share: f64,
        event_us: f64,
    ) {
        if prompt_tokens < MIN_LEARNED_TOKENS || load_share > MAX_LEARNED_LOAD {
            return;
        }
        let slowdown = event_us / self.usual_event_us.max(1.0);
        let prompt_us = (first_us as f64 - event_us).max(0.0);
        let measured_us = prompt_us / f64::from(prompt_tokens) / slowdown.max(0.1);
        let (longer, shorter) = TOKEN_STEPS;
        let token_us = if measured_us > self.token_us {
            (self.token_us * longer).min(measured_us)
        } else {
            (self.token_us / shorter).max(measured_us)
        };
        self.token_us = token_us.clamp(TOKEN_US_BOUNDS.0, TOKEN_US_BOUNDS.1);
    }

    /// Derives the usual time per event, the usual spread of gaps and the share of late streams from
    /// the endpoints. Without measurements the last usual time remains.
    pub fn derive<'s>(
        &mut self,
        endpoints: impl Iterator<Item = &'s EndpointSpeed> + Clone,
        now_ms: u64,
    ) {
        let times = endpoints.clone().filter_map(|speed| {
            let (event_us, weight) = speed.measured(now_ms)?;
            (weight >= MIN_USUAL_WEIGHT).then_some(event_us)
        });
        if let Some(usual_us) = mean_event_us(times) {
            self.usual_event_us = usual_us;
        }
        if let Some(spread) = mean_event_us(endpoints.clone().filter_map(EndpointSpeed::gap_spread))
        {
            self.gap_spread = spread.clamp(SPREAD_BOUNDS.0, SPREAD_BOUNDS.1);
        }
        let (mut late, mut streams) = (0.0, 1.0);
        for speed in endpoints {
            let (late_here, streams_here) = speed.streams();
            late += late_here;
            streams += streams_here;
        }
        self.late_share = late / streams;
    }

    /// Returns how long the work of a request stops an endpoint's streams, as a share of the objective.
    fn stall_share(&self, event_us: f64, tokens: f64, factor: f64, request: &RequestWork) -> f64 {
        let slowdown = event_us / self.usual_event_us;
        let stall_ms = (event_us + tokens * self.token_us * slowdown) * factor / 1_000.0;
        let share = |objective_ms: u64| match objective_ms {
            0 => 0.0,
            objective_ms => stall_ms / objective_ms as f64,
        };
        share(request.max_gap_ms).max(share(request.latency_objective_ms))
    }

    /// Returns the number of requests that an endpoint of a given speed is expected to have, in
    /// proportion to a usual one.
    pub fn expected_share(&self, event_us: f64, late_share: f64, request: &RequestWork) -> f64 {
        let endpoint = EndpointWork::default();
        let mean_prompt = RequestWork {
            prompt_tokens: self.mean_prompt_tokens as u32,
            ..*request
        };
        let view = WorkView {
            event_us,
            late_share,
            work: &endpoint,
            prompt_tokens: mean_prompt.prompt_tokens,
            load: 0.0,
            slots: 1,
            cache_tokens: 0,
        };
        let ratio = self.cost_ratio(&view, &mean_prompt, 0);
        (1.0 / ratio).clamp(SHARE_BOUNDS.0, SHARE_BOUNDS.1)
    }

    /// Returns the ratio of an endpoint's cost per request to that of a usual one.
    fn cost_ratio(&self, view: &WorkView<'_>, request: &RequestWork, now_ms: u64) -> f64 {
        let factor = view.work.time_factor(self.gap_spread, now_ms);
        let tokens = view.work.prompt_tokens as f64 + f64::from(view.prompt_tokens);
        let share = self.stall_share(view.event_us, tokens, factor, request);
        let usual_share = self.stall_share(
            self.usual_event_us,
            self.mean_prompt_tokens,
            self.gap_spread,
            request,
        );
        let late = LATE_WEIGHT * (view.late_share - self.late_share).max(0.0);
        let ratio = view.event_us / self.usual_event_us * (1.0 + PAUSE_WEIGHT * share.powi(4))
            / (1.0 + PAUSE_WEIGHT * usual_share.powi(4))
            * (1.0 + late);
        ratio.clamp(COST_RATIO_BOUNDS.0, COST_RATIO_BOUNDS.1)
    }

    /// Returns the cost of adding a request to an endpoint as a share of its slots. At an endpoint of
    /// usual speed with a prompt of usual length this is the share of slots in use.
    pub fn cost(&self, view: &WorkView<'_>, request: &RequestWork, now_ms: u64) -> WorkCost {
        let slots = f64::from(view.slots.max(1));
        let ratio = self.cost_ratio(view, request, now_ms);
        let full = ((view.load + 1.0) / slots - FULL_SHARE).max(0.0) * FULL_COST;
        let cost = ((view.load + 1.0) * ratio - 1.0) / slots + full;
        WorkCost {
            cost,
            is_within_bounds: self.is_within_bounds(view, request),
        }
    }

    /// Returns whether the tokens held at an endpoint fit into its cache, and the prompts on their way
    /// to it are read without exceeding the pause objective.
    fn is_within_bounds(&self, view: &WorkView<'_>, request: &RequestWork) -> bool {
        let others = (view.load - f64::from(view.work.own_requests)).max(0.0);
        let held = view.work.held_tokens as f64 + others * self.mean_held_tokens;
        let fits = view.cache_tokens == 0
            || held + request.held_tokens() as f64 <= view.cache_tokens as f64;
        let tokens = view.work.prompt_tokens as f64 + f64::from(view.prompt_tokens);
        // The first prompt on its way is always within the bound: it is read somewhere anyway.
        let pause_objective = RequestWork {
            latency_objective_ms: 0,
            ..*request
        };
        let is_read_in_time = view.work.prompt_tokens == 0
            || self.stall_share(view.event_us, tokens, 1.0, &pause_objective) <= 1.0;
        fits && is_read_in_time
    }
}

/// Work of the requests of this process at one endpoint, and what the endpoint states.
#[derive(Debug, Clone, Default)]
pub struct EndpointWork {
    /// Requests of this process.
    own_requests: u32,
    /// Prompt tokens of requests without a first event.
    prompt_tokens: u64,
    /// Prompt and largest answer of all requests.
    held_tokens: u64,
    /// Stated time in percent of the usual one, and when it was stated.
    stated: Option<(u32, u64)>,
}

impl EndpointWork {
    /// Adds a request of this process, `prompt_tokens` of which are not cached.
    pub fn add(&mut self, prompt_tokens: u32, held_tokens: u64) {
        self.own_requests = self.own_requests.saturating_add(1);
        self.prompt_tokens = self.prompt_tokens.saturating_add(u64::from(prompt_tokens));
        self.held_tokens = self.held_tokens.saturating_add(held_tokens);
    }

    /// Removes the prompt of a request, which has been read.
    pub fn remove_prompt(&mut self, prompt_tokens: u32) {
        self.prompt_tokens = self.prompt_tokens.saturating_sub(u64::from(prompt_tokens));
    }

    /// Removes a request. Its prompt is removed separately.
    pub fn remove(&mut self, held_tokens: u64) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.held_tokens = self.held_tokens.saturating_sub(held_tokens);
    }

    /// Returns the prompt tokens of requests without a first event.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens
    }

    /// Records how long work takes at the endpoint, in percent of the usual time.
    pub fn record_stated(&mut self, percent: u32, now_ms: u64) {
        let percent = percent.clamp(STATED_BOUNDS.0, STATED_BOUNDS.1);
        self.stated = Some((percent, now_ms));
    }

    /// Returns the last stated time in percent and its age in milliseconds.
    pub fn stated(&self, now_ms: u64) -> Option<(u32, u64)> {
        let (percent, stated_ms) = self.stated?;
        Some((percent, now_ms.saturating_sub(stated_ms)))
    }

    /// Returns the factor by which the next prompt and events may take longer than the median.
    fn time_factor(&self, gap_spread: f64, now_ms: u64) -> f64 {
        let Some((percent, age_ms)) = self.stated(now_ms) else {
            return gap_spread;
        };
        let weight = STATED_WEIGHT * (1.0 - age_ms as f64 / STATED_MAX_AGE_MS).max(0.0);
        gap_spread * (1.0 - weight) + f64::from(percent) / 100.0 * weight
    }
}

/// An endpoint as the cost function sees it.
#[derive(Debug, Clone)]
pub struct WorkView<'a> {
    /// Expected time per event in microseconds.
    pub event_us: f64,
    /// Share of recent streams that were late.
    pub late_share: f64,
    /// Own work at the endpoint and its statement.
    pub work: &'a EndpointWork,
    /// Prompt tokens of the request that the endpoint has not cached.
    pub prompt_tokens: u32,
    /// Estimated requests of all processes.
    pub load: f64,
    /// Number of slots.
    pub slots: u32,
    /// Number of tokens that the endpoint holds; 0 if it is not known.
    pub cache_tokens: u64,
}

/// Cost of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkCost {
    /// Cost as a share of the slots.
    pub cost: f64,
    /// Whether the endpoint holds the request's tokens and reads its prompt in time.
    pub is_within_bounds: bool,
}
