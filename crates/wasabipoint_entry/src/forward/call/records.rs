//! Log records and metrics of a request.

use http::StatusCode;
use slog::{info, warn};
use wasabipoint_kernel::ModelName;
use wasabipoint_rpc::EndpointView;

use super::work::StreamTiming;
use super::{Call, InFlightGuard};
use crate::forward::endpoints::SelectedEndpoint;
use crate::forward::exchange::ExchangeOutcome;
use crate::forward::is_sampled;

impl Call {
    pub(super) fn log_attempt(
        &self,
        selected: &SelectedEndpoint,
        outcome: Option<&ExchangeOutcome>,
    ) {
        if let Some(work) = &selected.work {
            self.forwarder.metrics.record_endpoint_speed(work.speed);
        }
        let is_stated = match outcome {
            Some(ExchangeOutcome::Rejected { proof, .. }) => Some(proof.is_some()),
            Some(ExchangeOutcome::Started(started)) => Some(started.metadata.is_not_run),
            _ => None,
        };
        let connection = match outcome {
            Some(ExchangeOutcome::Started(started)) => Some(started.connection_id().0),
            Some(ExchangeOutcome::Rejected { connection, .. }) => Some(connection.0),
            _ => None,
        };
        let outcome = match outcome {
            Some(ExchangeOutcome::Started(started)) if started.head.status.is_success() => {
                let is_resumed = self.metadata.last_event_id.is_some();
                if !is_resumed && !is_sampled(&self.metadata.request_id) {
                    return;
                }
                "started".to_owned()
            }
            Some(ExchangeOutcome::Started(started)) => {
                format!("status {}", started.head.status.as_u16())
            }
            Some(ExchangeOutcome::Rejected { status, proof, .. }) => {
                let run = if proof.is_some() {
                    "not run"
                } else {
                    "rejected"
                };
                format!("{run}, status {}", status.as_u16())
            }
            Some(ExchangeOutcome::Withdrawn(_)) => "withdrawn".to_owned(),
            Some(ExchangeOutcome::NotSent(detail, _)) => format!("not sent: {detail}"),
            Some(ExchangeOutcome::Unknown(failure)) => format!("unknown: {}", failure.detail()),
            None => "silent".to_owned(),
        };
        let stated = selected.work.and_then(|work| work.stated);
        info!(self.forwarder.logger, "routing: attempt";
            "request" => &self.metadata.request_id, "route" => %self.route.name,
            "model" => self.metadata.model.as_ref().map(ModelName::as_str),
            "endpoint" => %selected.endpoint.id,
            "incarnation" => selected.endpoint.incarnation.0,
            "software_version" => %selected.endpoint.software_version,
            "resumed_request" => self.metadata.resumed_id_for_log(),
            "last_event_id" => self.metadata.last_event_id,
            "connection" => connection, "is_not_run_stated" => is_stated,
            "load" => selected.load, "candidates" => selected.candidates,
            "speed" => selected.work.map(|work| (work.speed * 100.0).round() / 100.0),
            "prompt_tokens" => selected.work.map(|work| work.prompt_tokens),
            "late_share" => selected.work.map(|work| (work.late_share * 100.0).round() / 100.0),
            "stated_percent" => stated.map(|(percent, _)| percent),
            "stated_age_ms" => stated.map(|(_, age_ms)| age_ms),
            "waited_ms" => self.arrived_at.elapsed().as_millis() as u64,
            "left_ms" => self.remaining_ms(), "outcome" => outcome);
    }

    pub(super) fn log_response_end(&self, endpoint: &EndpointView, status: StatusCode) {
        self.forwarder.metrics.count_outcome("served");
        self.forwarder
            .metrics
            .record_duration(self.arrived_at.elapsed());
        if status.is_success() && !is_sampled(&self.metadata.request_id) {
            return;
        }
        info!(self.forwarder.logger, "routing: response completed";
            "request" => &self.metadata.request_id,
            "endpoint" => %endpoint.id, "status" => status.as_u16(),
            "elapsed_ms" => self.arrived_at.elapsed().as_millis() as u64);
    }

    /// Logs the end of a complete stream: always if its first event or a pause exceeded the limits
    /// of the route, otherwise sampled.
    /// `is_slow` tells whether the endpoint is slower than usual, as far as it is known.
    pub(super) fn log_stream_end(
        &self,
        in_flight: &InFlightGuard,
        timing: &StreamTiming,
        is_slow: Option<bool>,
    ) {
        self.forwarder.metrics.count_outcome("served");
        self.forwarder
            .metrics
            .record_duration(self.arrived_at.elapsed());
        self.forwarder
            .metrics
            .record_longest_pause(timing.longest_pause());
        let first_ms = timing
            .first_event_at()
            .map(|first_event_at| (first_event_at - self.arrived_at).as_millis() as u64);
        let pause_ms = timing.longest_pause().as_millis() as u64;
        let sent_after = in_flight.sent_at.saturating_duration_since(self.arrived_at);
        let sent_after_ms = sent_after.as_millis() as u64;
        let objective_ms = self.route.latency_objective_ms;
        let cause = if first_ms.is_some_and(|first_ms| first_ms > objective_ms) {
            Some(if sent_after_ms * 2 > objective_ms {
                "waited"
            } else {
                "first_event"
            })
        } else if self.route.max_gap_ms > 0 && pause_ms > self.route.max_gap_ms {
            Some(if is_slow == Some(true) {
                "pause_slow_endpoint"
            } else {
                "pause"
            })
        } else {
            None
        };
        if let Some(cause) = cause {
            self.forwarder.metrics.count_late_stream(cause);
        }
        let is_late = cause.is_some();
        if !is_late && !is_sampled(&self.metadata.request_id) {
            return;
        }
        info!(self.forwarder.logger, "routing: stream ended";
            "request" => &self.metadata.request_id,
            "route" => %self.route.name,
            "model" => self.metadata.model.as_ref().map(ModelName::as_str),
            "endpoint" => %in_flight.endpoint.id, "load" => in_flight.load,
            "sent_after_ms" => sent_after_ms, "cause" => cause,
            "first_event_ms" => first_ms, "longest_pause_ms" => pause_ms,
            "elapsed_ms" => self.arrived_at.elapsed().as_millis() as u64, "is_late" => is_late);
    }

    /// Logs that a stream which broke off at one endpoint goes on at another one.
    pub(super) fn log_stream_resumed(&self, from: &EndpointView, to: &EndpointView) {
        info!(self.forwarder.logger, "routing: stream resumed";
            "request" => &self.metadata.request_id, "endpoint" => %to.id,
            "software_version" => %to.software_version, "broken_at" => %from.id,
            "broken_version" => %from.software_version,
            "last_event_id" => self.metadata.last_event_id);
    }

    pub(super) fn log_caller_disconnected(&self, endpoint: &EndpointView) {
        self.forwarder.metrics.count_outcome("caller_left");
        info!(self.forwarder.logger, "routing: caller disconnected";
            "request" => &self.metadata.request_id,
            "endpoint" => %endpoint.id,
            "elapsed_ms" => self.arrived_at.elapsed().as_millis() as u64);
    }

    pub(super) fn log_stream_aborted(&self, endpoint: &EndpointView, detail: &str) {
        self.forwarder.metrics.count_outcome("broken_off");
        warn!(self.forwarder.logger, "routing: stream aborted";
            "request" => &self.metadata.request_id, "endpoint" => %endpoint.id,
            "software_version" => %endpoint.software_version,
            "detail" => detail, "elapsed_ms" => self.arrived_at.elapsed().as_millis() as u64,
            "events" => self.attempts.events, "parts" => self.parts_for_log());
    }

    /// Returns the ids of the request's prompt parts in order, in hexadecimal, separated by commas.
    pub(super) fn parts_for_log(&self) -> String {
        let parts = self.metadata.prompt_parts.iter();
        let ids: Vec<String> = parts.map(|(part, _)| format!("{part:x}")).collect();
        ids.join(",")
    }
}
