//! Evidence that a request or a part of its prompt crashes endpoints or does not, and the quarantine of
//! both.

use std::time::Duration;

use slog::info;
use tokio::time::Instant;
use wasabipoint_kernel::{PromptPartId, Refusal};
use wasabipoint_rpc::EndpointView;

use super::Call;
use super::refusals::outcome_unknown_refusal;
use crate::forward::State;
use crate::forward::exchange::ResponseFailure;

/// Time from the first event of a response after which its prompt did not crash the engine. Others
/// may still do so.
const SURVIVAL_TIME: Duration = Duration::from_millis(100);

impl Call {
    /// Records that events of the response arrived.
    pub(super) fn record_events(&mut self) {
        let now = Instant::now();
        self.attempts.events += 1;
        let first_event_at = *self.attempts.first_event_at.get_or_insert(now);
        if now >= first_event_at + SURVIVAL_TIME {
            self.record_answered();
        }
    }

    /// Records that the endpoint has written a response to the request, once per attempt.
    pub(super) fn record_answered(&mut self) {
        if std::mem::replace(&mut self.attempts.is_answered, true) {
            return;
        }
        let parts = self.metadata.shared_prompt_parts().chain([self.identity]);
        let now_ms = self.forwarder.clock.now_ms();
        self.forwarder.lock().prompts.record_answered(parts, now_ms);
    }

    /// Reports an attempt whose connection broke when the response had not begun, or just had: the
    /// request may have crashed the endpoint.
    pub(super) fn record_failure(&self, endpoint: &EndpointView, failure: &ResponseFailure) {
        let is_connection_lost = matches!(failure, ResponseFailure::ConnectionLost(_));
        if is_connection_lost {
            let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
            let mut state = self.forwarder.lock();
            state.endpoints.record_lost_connection(id, incarnation);
        }
        if !is_connection_lost || self.attempts.is_answered {
            return;
        }
        let own_part = self.metadata.prompt_parts.last();
        let own_part = own_part.map_or(self.identity, |(part, _)| PromptPartId::of_part(*part));
        let shared_parts = self.metadata.shared_prompt_parts();
        let parts = shared_parts.chain([self.identity, own_part]).collect();
        let now_ms = self.forwarder.clock.now_ms();
        self.forwarder
            .lock()
            .prompts
            .record_failure(endpoint, parts, now_ms);
        self.forwarder.report_requested.notify_one();
    }

    /// Returns whether the request or one of its prompt parts is quarantined, or may have crashed an
    /// endpoint.
    pub(super) fn is_suspected(&self, state: &State) -> bool {
        let parts = || self.metadata.shared_prompt_parts().chain([self.identity]);
        let quarantine = &state.view.quarantine;
        parts().any(|part| quarantine.contains_key(&part))
            || state.prompts.is_suspected(parts(), self.identity)
    }

    /// Refuses the request if it or one of its prompt parts was quarantined since it was admitted.
    pub(super) fn check_quarantine(&self) -> Result<(), Refusal> {
        if self.is_probe {
            return Ok(());
        }
        let Err(refusal) = self.forwarder.admit_prompt(&self.metadata, self.identity) else {
            return Ok(());
        };
        info!(self.forwarder.logger, "routing: prompt part quarantined meanwhile";
            "request" => &self.metadata.request_id, "part" => &refusal.detail,
            "runs" => self.attempts.executions());
        if self.attempts.executions() > 0 {
            return Err(outcome_unknown_refusal(
                "the request or a part of its prompt is quarantined",
            ));
        }
        Err(refusal)
    }
}
