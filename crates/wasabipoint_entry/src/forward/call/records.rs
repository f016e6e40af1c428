//! Records of what happens to a request.

use std::time::Duration;

use http::StatusCode;
use slog::{info, warn};
use tokio::time::Instant;
use wasabipoint_kernel::ModelName;
use wasabipoint_rpc::EndpointView;

use super::{Call, PlaceGuard};
use crate::forward::endpoints::SelectedEndpoint;
use crate::forward::exchange::Exchange;
use crate::forward::is_sampled;

/// When the events of a stream came.
#[derive(Debug, Default)]
pub(super) struct StreamPace {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_pause: Duration,
}

impl StreamPace {
    pub(super) fn note_event(&mut self, now: Instant) {
        let pause = now - self.last.unwrap_or(now);
        self.longest_pause = self.longest_pause.max(pause);
        self.first.get_or_insert(now);
        self.last = Some(now);
    }
}

impl Call {
    pub(super) fn log_attempt(
        &self,
        choice: &SelectedEndpoint,
        exchange: &Result<Exchange, tokio::time::error::Elapsed>,
    ) {
        let outcome = match exchange {
            Ok(Exchange::Started(started)) if started.head.status.is_success() => {
                if !is_sampled(&self.facts.request_id) {
                    return;
                }
                "started".to_owned()
            }
            Ok(Exchange::Started(started)) => format!("status {}", started.head.status.as_u16()),
            Ok(Exchange::NotRun { status, .. }) => format!("not run, status {}", status.as_u16()),
            Ok(Exchange::NotSent(detail)) => format!("not sent: {detail}"),
            Ok(Exchange::Unknown(detail)) => format!("unknown: {detail}"),
            Err(_) => "silent".to_owned(),
        };
        info!(self.forwarder.logger, "routing: attempt";
            "request" => &self.facts.request_id, "route" => %self.route.name,
            "model" => self.facts.model.as_ref().map(ModelName::as_str),
            "endpoint" => %choice.endpoint.endpoint,
            "incarnation" => choice.endpoint.incarnation.0,
            "load" => choice.load, "candidates" => choice.candidates,
            "waited_ms" => self.arrived.elapsed().as_millis() as u64,
            "left_ms" => self.remaining_ms(), "outcome" => outcome);
    }

    pub(super) fn log_end(&self, endpoint: &EndpointView, status: StatusCode) {
        self.forwarder.meters.count("served");
        self.forwarder.meters.record_total(self.arrived.elapsed());
        if status.is_success() && !is_sampled(&self.facts.request_id) {
            return;
        }
        info!(self.forwarder.logger, "routing: ended"; "request" => &self.facts.request_id,
            "endpoint" => %endpoint.endpoint, "status" => status.as_u16(),
            "elapsed_ms" => self.arrived.elapsed().as_millis() as u64);
    }

    /// Records the end of a stream, always where an event came later than the route aims at.
    pub(super) fn log_stream_end(&self, place: &PlaceGuard, events: &StreamPace) {
        self.forwarder.meters.count("served");
        self.forwarder.meters.record_total(self.arrived.elapsed());
        self.forwarder.meters.record_pause(events.longest_pause);
        let first_ms = events
            .first
            .map(|first| (first - self.arrived).as_millis() as u64);
        let pause_ms = events.longest_pause.as_millis() as u64;
        let is_late = first_ms.is_some_and(|first_ms| first_ms > self.route.objective_ms)
            || (self.route.max_gap_ms > 0 && pause_ms > self.route.max_gap_ms);
        if !is_late && !is_sampled(&self.facts.request_id) {
            return;
        }
        info!(self.forwarder.logger, "routing: stream ended"; "request" => &self.facts.request_id,
            "route" => %self.route.name,
            "model" => self.facts.model.as_ref().map(ModelName::as_str),
            "endpoint" => %place.endpoint.endpoint, "load" => place.load,
            "sent_after_ms" => place.sent.saturating_duration_since(self.arrived).as_millis() as u64,
            "first_event_ms" => first_ms, "longest_pause_ms" => pause_ms,
            "elapsed_ms" => self.arrived.elapsed().as_millis() as u64, "is_late" => is_late);
    }

    pub(super) fn log_left(&self, endpoint: &EndpointView) {
        self.forwarder.meters.count("caller_left");
        info!(self.forwarder.logger, "routing: caller left"; "request" => &self.facts.request_id,
            "endpoint" => %endpoint.endpoint,
            "elapsed_ms" => self.arrived.elapsed().as_millis() as u64);
    }

    pub(super) fn log_broken(&self, endpoint: &EndpointView, detail: &str) {
        self.forwarder.meters.count("broken_off");
        warn!(self.forwarder.logger, "routing: stream broken off";
            "request" => &self.facts.request_id, "endpoint" => %endpoint.endpoint,
            "detail" => detail, "elapsed_ms" => self.arrived.elapsed().as_millis() as u64);
    }
}
