//! Arrival times of the events of streams, from which the speed of endpoints is learned.

use std::time::Duration;

use tokio::time::Instant;
use wasabipoint_policy::{GapBatch, RequestWork};

use super::{Call, InFlightGuard};

/// Arrival times of the events of a stream.
#[derive(Debug, Default)]
pub(super) struct StreamTiming {
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    longest_pause: Duration,
    /// Last event of the current endpoint, its longest pause, and the gaps that are not recorded yet.
    attempt_event_at: Option<Instant>,
    attempt_pause: Duration,
    gaps: GapBatch,
}

impl StreamTiming {
    /// Records an event. Returns whether it is the first of the current endpoint, and whether enough
    /// gaps were collected. `is_waiting` tells whether the relay waited for the endpoint.
    fn record_event(&mut self, now: Instant, is_waiting: bool) -> (bool, bool) {
        let pause = now - self.last_event_at.unwrap_or(now);
        self.longest_pause = self.longest_pause.max(pause);
        self.first_event_at.get_or_insert(now);
        self.last_event_at = Some(now);
        let Some(before) = self.attempt_event_at.replace(now) else {
            return (true, false);
        };
        if !is_waiting {
            return (false, false);
        }
        let gap = now - before;
        self.attempt_pause = self.attempt_pause.max(gap);
        let gap_us = u32::try_from(gap.as_micros()).unwrap_or(u32::MAX);
        (false, self.gaps.push(gap_us))
    }

    /// Discards what was collected for an endpoint that failed. Its last gap is not known.
    pub(super) fn begin_attempt(&mut self) {
        self.attempt_event_at = None;
        self.attempt_pause = Duration::ZERO;
        self.gaps.clear();
    }

    pub(super) fn first_event_at(&self) -> Option<Instant> {
        self.first_event_at
    }

    pub(super) fn longest_pause(&self) -> Duration {
        self.longest_pause
    }
}

impl Call {
    /// Returns the size and the objectives of the request.
    pub(super) fn request_work(&self) -> RequestWork {
        let (prompt, answer) = self.metadata.tokens.unwrap_or_default();
        let is_stream = self.route.run_policy.is_stream();
        RequestWork {
            prompt_tokens: u32::try_from(prompt).unwrap_or(u32::MAX),
            answer_tokens: u32::try_from(answer).unwrap_or(u32::MAX),
            max_gap_ms: if is_stream { self.route.max_gap_ms } else { 0 },
            latency_objective_ms: self.route.latency_objective_ms,
        }
    }

    /// Records an event of a stream, and its gaps when enough were collected.
    pub(super) fn record_stream_event(
        &self,
        in_flight: &mut InFlightGuard,
        timing: &mut StreamTiming,
        is_waiting: bool,
    ) {
        let now = Instant::now();
        let (is_first, is_full) = timing.record_event(now, is_waiting);
        if is_first {
            let first_us = (now - in_flight.sent_at).as_micros() as u64;
            let mut state = self.forwarder.lock();
            let endpoints = &mut state.endpoints;
            endpoints.record_first_event(&in_flight.endpoint, &mut in_flight.charge, first_us);
        }
        if is_full {
            self.record_gaps(in_flight, timing);
        }
    }

    fn record_gaps(&self, in_flight: &InFlightGuard, timing: &mut StreamTiming) {
        let now_ms = self.forwarder.clock.now_ms();
        let (id, incarnation) = (&in_flight.endpoint.id, in_flight.endpoint.incarnation);
        let mut state = self.forwarder.lock();
        let gaps_us = timing.gaps.gaps_us();
        state
            .endpoints
            .record_gaps(id, incarnation, gaps_us, now_ms);
        drop(state);
        timing.gaps.clear();
    }

    /// Records the end of a complete stream with its remaining gaps. Returns whether the endpoint is
    /// slower than usual, `None` if speeds of its service are not measured.
    pub(super) fn record_stream_speed(
        &self,
        in_flight: &InFlightGuard,
        timing: &mut StreamTiming,
    ) -> Option<bool> {
        self.record_gaps(in_flight, timing);
        let max_gap_ms = self.route.max_gap_ms;
        let is_late = max_gap_ms > 0 && timing.attempt_pause.as_millis() as u64 > max_gap_ms;
        let (id, incarnation) = (&in_flight.endpoint.id, in_flight.endpoint.incarnation);
        let mut state = self.forwarder.lock();
        state.endpoints.record_stream(id, incarnation, is_late)
    }
}
