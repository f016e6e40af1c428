//! Records of what happens to a request.

use http::StatusCode;
use slog::{info, warn};
use wasabipoint_kernel::ModelName;
use wasabipoint_rpc::EndpointView;

use super::Call;
use crate::forward::endpoints::Choice;
use crate::forward::exchange::Exchange;
use crate::forward::is_sampled;

impl Call {
    pub(super) fn log_attempt(
        &self,
        choice: &Choice,
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
