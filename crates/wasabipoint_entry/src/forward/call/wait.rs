//! Selects an endpoint for a request, waiting for its model or adapter to be loaded if necessary.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use wasabipoint_kernel::{ModelName, Refusal};
use wasabipoint_rpc::{AdapterReply, AdapterRequest};

use super::Call;
use crate::forward::Forwarder;
use crate::forward::endpoints::{SelectedEndpoint, SelectionCriteria};

/// Minimum time that callers are expected to wait for the first event of a stream, in milliseconds.
const MIN_FIRST_EVENT_TIMEOUT_MS: u64 = 2_000;

/// Time that callers are expected to wait for the first event, as a multiple of the route's latency
/// objective.
const FIRST_EVENT_OBJECTIVE_FACTOR: u64 = 4;

/// Time that callers are expected to wait for the first event, as a multiple of the route's maximum
/// gap between events.
const FIRST_EVENT_GAP_FACTOR: u64 = 8;

/// Minimum interval between requests to control for the same adapter.
const ADAPTER_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time that a request waits while no engine with its model accepts another adapter.
const ADAPTER_WAIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay announced when a request for an adapter is refused. An engine takes about as long to
/// change its loaded models.
const ADAPTER_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Delay before a request is sent again to endpoints that refused it.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Interval at which a waiting request asks for a permission to be sent to an endpoint with a limit.
const PERMISSION_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval between checks whether a pause has ended.
const MIN_PAUSE_WAIT: Duration = Duration::from_millis(10);

/// Margin added to twice the expected duration of a load before the load counts as overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(500);

/// Maximum expected duration of a load that a request waits for, as a share of its remaining wait
/// time. Loads often take longer than expected, and a caller that is refused early can still retry
/// in time.
const MAX_LOAD_WAIT_RATIO: f64 = 0.7;

/// Time reserved for the first event after a model is loaded, in milliseconds.
const FIRST_EVENT_RESERVE_MS: u64 = 200;

/// Result of asking control to load an adapter.
enum AdapterRequestOutcome {
    /// An endpoint holds the adapter.
    Loaded,
    /// Every engine with the model is changing its loaded models; the first is expected to finish
    /// after this time.
    Changing(Duration),
    /// No engine can load the adapter now.
    Unavailable,
}

/// Counts a request as waiting for its model until dropped.
struct WaitGuard<'a> {
    forwarder: &'a Forwarder,
    model: &'a ModelName,
}

impl<'a> WaitGuard<'a> {
    fn new(forwarder: &'a Forwarder, model: &'a ModelName) -> Self {
        forwarder.lock().demand.begin_wait(model);
        Self { forwarder, model }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.forwarder.lock().demand.end_wait(self.model);
    }
}

impl Call {
    /// Selects an endpoint, waiting for the model if it is expected to be loaded in time.
    pub(super) async fn find_endpoint(&mut self) -> Result<SelectedEndpoint, Refusal> {
        let forwarder = Arc::clone(&self.forwarder);
        let mut fleet_changed = forwarder.fleet_changed.subscribe();
        let model = self.metadata.model.clone();
        let mut wait_guard: Option<WaitGuard<'_>> = None;
        let mut adapter_requested_at: Option<Instant> = None;
        let mut overdue_at: Option<Instant> = None;
        loop {
            fleet_changed.borrow_and_update();
            if let Some(selected) = self.take_endpoint() {
                return Ok(selected);
            }
            if Instant::now() >= self.deadline {
                return Err(self.timeout_refusal());
            }
            self.check_conditions()?;
            if let Some(ready_in) = self.permission_ready_in() {
                if let (None, Some(model)) = (&wait_guard, &model) {
                    wait_guard = Some(WaitGuard::new(&forwarder, model));
                }
                self.wait_for_permission(ready_in, &mut fleet_changed)
                    .await?;
                continue;
            }
            self.check_in_service()?;
            if self.can_retry_refused() {
                // Endpoints that pause are not sent to before their time, so no delay is needed.
                if self.all_ready_in().is_none() {
                    let _ = timeout_at(
                        Instant::now() + REFUSED_RETRY_DELAY,
                        fleet_changed.changed(),
                    )
                    .await;
                }
                self.attempts.tried.clear();
                continue;
            }
            let Some(model) = &model else {
                return Err(self.unavailable_refusal("no endpoint of the service is available"));
            };
            if forwarder.is_draining() {
                return Err(self.unavailable_refusal("shutting down, and the model is not loaded"));
            }
            if !self.attempts.tried.is_empty() && self.has_endpoint_with_model(model) {
                // Endpoints that cannot be reached may have crashed, and control may be loading the
                // model elsewhere.
                let is_loading = self.attempts.executions() == 0
                    && forwarder.fetch_load_time(model).await.is_some();
                if !is_loading {
                    return Err(self.unavailable_refusal("every endpoint with the model was tried"));
                }
            }
            let is_adapter_request_due = adapter_requested_at.is_none_or(|adapter_requested_at| {
                adapter_requested_at.elapsed() >= ADAPTER_REQUEST_INTERVAL
            });
            if is_adapter_request_due && model.as_str().contains('/') {
                adapter_requested_at = Some(Instant::now());
                match self.request_adapter(model).await {
                    AdapterRequestOutcome::Loaded => continue,
                    AdapterRequestOutcome::Changing(change_ends_in) => {
                        self.wait_for_engine_change(change_ends_in, &mut fleet_changed)
                            .await?;
                        continue;
                    }
                    AdapterRequestOutcome::Unavailable => {}
                }
            }
            if wait_guard.is_none() {
                wait_guard = Some(WaitGuard::new(&forwarder, model));
            }
            let ready_in = forwarder.fetch_load_time(model).await;
            if fleet_changed.has_changed().unwrap_or(false) {
                continue;
            }
            let wait_deadline = self.wait_deadline();
            if ready_in.is_none() && adapter_requested_at.is_some() {
                // Without an estimate the base model counts as loaded; its engines may accept the
                // adapter shortly.
                let limit = self.arrived_at + ADAPTER_WAIT_TIMEOUT;
                if Instant::now() >= limit.min(wait_deadline) {
                    return Err(self.model_not_loaded_refusal(Some(ADAPTER_RETRY_AFTER)));
                }
                let _ = timeout_at(
                    Instant::now() + ADAPTER_REQUEST_INTERVAL,
                    fleet_changed.changed(),
                )
                .await;
                continue;
            }
            let remaining_wait = wait_deadline.saturating_duration_since(Instant::now());
            let Some(ready_in) =
                ready_in.filter(|ready_in| *ready_in < remaining_wait.mul_f64(MAX_LOAD_WAIT_RATIO))
            else {
                return Err(self.model_not_loaded_refusal(ready_in));
            };
            // A load that takes much longer than first expected may never complete.
            let overdue_at =
                *overdue_at.get_or_insert(Instant::now() + ready_in * 2 + OVERDUE_MARGIN);
            if Instant::now() >= overdue_at {
                return Err(self.model_not_loaded_refusal(Some(ready_in.max(OVERDUE_MARGIN))));
            }
            let poll_interval = Duration::from_millis(500).max(ready_in / 2);
            let limit = wait_deadline.min(Instant::now() + poll_interval);
            // On timeout the loop selects again: an endpoint may no longer be avoided.
            let _ = timeout_at(limit, fleet_changed.changed()).await;
        }
    }

    /// Returns the time until the first endpoint accepts the request, tried or not, if pauses and limits
    /// prevent all of them now.
    pub(super) fn all_ready_in(&self) -> Option<Duration> {
        let tried = BTreeSet::new();
        let criteria = SelectionCriteria {
            tried: &tried,
            ..self.selection_criteria()
        };
        let state = self.forwarder.lock();
        let now_ms = self.forwarder.clock.now_ms();
        if state.endpoints.select(&criteria, now_ms).is_some() {
            return None;
        }
        let ready_in_ms = state.endpoints.permission_ready_in_ms(&criteria, now_ms)?;
        Some(Duration::from_millis(ready_in_ms))
    }

    /// Returns the time until an endpoint is expected to accept the request, if only pauses and limits
    /// of endpoints prevent it.
    fn permission_ready_in(&self) -> Option<Duration> {
        let state = self.forwarder.lock();
        let now_ms = self.forwarder.clock.now_ms();
        let criteria = self.selection_criteria();
        let ready_in_ms = state.endpoints.permission_ready_in_ms(&criteria, now_ms)?;
        Some(Duration::from_millis(ready_in_ms))
    }

    /// Waits for the end of a pause or for a permission to send the request to an endpoint with a limit,
    /// or for another endpoint. Refuses the request if none of these is expected in time.
    async fn wait_for_permission(
        &self,
        permission_in: Duration,
        fleet_changed: &mut watch::Receiver<u64>,
    ) -> Result<(), Refusal> {
        let forwarder = &self.forwarder;
        let (has_limits, has_paused, has_cold) = {
            let state = forwarder.lock();
            let now_ms = forwarder.clock.now_ms();
            let criteria = self.selection_criteria();
            let has_paused = state.endpoints.has_paused(&criteria, now_ms);
            let has_cold = state.endpoints.has_cold(&criteria, now_ms);
            (state.endpoints.has_limits(), has_paused, has_cold)
        };
        if has_limits {
            forwarder.request_permissions();
        }
        let load_in = match &self.metadata.model {
            Some(model) => forwarder.known_load_time(model),
            None => None,
        };
        let ready_in = load_in.map_or(permission_in, |load_in| load_in.min(permission_in));
        let remaining = self
            .wait_deadline()
            .saturating_duration_since(Instant::now());
        if forwarder.is_draining() || ready_in >= remaining.mul_f64(MAX_LOAD_WAIT_RATIO) {
            let detail = if has_paused {
                "the endpoints pause"
            } else if has_cold {
                "the endpoints are cold and at their request limits"
            } else {
                "the endpoints are at their request limits"
            };
            let refusal = self.unavailable_refusal(detail);
            return Err(refusal.with_retry_after(ready_in));
        }
        let mut interval = PERMISSION_REQUEST_INTERVAL.min(remaining);
        if !has_limits {
            interval = interval.min(ready_in.max(MIN_PAUSE_WAIT));
        }
        let limit = Instant::now() + interval;
        // On timeout the permission is requested again.
        let _ = timeout_at(limit, fleet_changed.changed()).await;
        Ok(())
    }

    /// Returns whether the endpoints that were tried can be tried again: one of them refused the
    /// request because it was full or was changing its loaded models, and the request has not run.
    fn can_retry_refused(&self) -> bool {
        let attempts = &self.attempts;
        attempts.refusals > 0
            && attempts.executions() == 0
            && !attempts.tried.is_empty()
            && !self.forwarder.is_draining()
            && Instant::now() + REFUSED_RETRY_DELAY < self.wait_deadline()
    }

    /// Waits for the engine change that prevents an adapter from being loaded, or refuses the
    /// request if it cannot wait that long.
    async fn wait_for_engine_change(
        &self,
        change_ends_in: Duration,
        fleet_changed: &mut watch::Receiver<u64>,
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        if now + change_ends_in > self.wait_deadline() {
            return Err(self.model_not_loaded_refusal(Some(change_ends_in)));
        }
        let limit = now + change_ends_in.max(ADAPTER_REQUEST_INTERVAL);
        // The fleet update may arrive before or after the expected end of the change.
        let _ = timeout_at(limit, fleet_changed.changed()).await;
        Ok(())
    }

    /// Returns the time until which the request can wait to be sent. For a stream this leaves time
    /// for the first event before the caller is expected to disconnect.
    pub(super) fn wait_deadline(&self) -> Instant {
        if !self.route.run_policy.is_stream() {
            return self.deadline;
        }
        let timeout_ms = MIN_FIRST_EVENT_TIMEOUT_MS
            .max(self.route.latency_objective_ms * FIRST_EVENT_OBJECTIVE_FACTOR)
            .max(self.route.max_gap_ms * FIRST_EVENT_GAP_FACTOR);
        let stream_wait_deadline =
            self.arrived_at + Duration::from_millis(timeout_ms - FIRST_EVENT_RESERVE_MS);
        stream_wait_deadline.min(self.deadline)
    }

    /// Returns the refusal of a request whose model will not be loaded in time.
    fn model_not_loaded_refusal(&self, ready_in: Option<Duration>) -> Refusal {
        let refusal = self.unavailable_refusal("the model is not loaded in time");
        match ready_in {
            Some(ready_in) => refusal.with_retry_after(ready_in),
            None => refusal,
        }
    }

    fn has_endpoint_with_model(&self, model: &ModelName) -> bool {
        let state = self.forwarder.lock();
        let now_ms = self.forwarder.clock.now_ms();
        !state
            .endpoints
            .endpoints_with_model(model, &self.selection_criteria(), now_ms)
            .is_empty()
    }

    /// Asks control to load an adapter at an endpoint that holds its base model.
    async fn request_adapter(&self, model: &ModelName) -> AdapterRequestOutcome {
        let Some((base, _)) = model.as_str().split_once('/') else {
            return AdapterRequestOutcome::Unavailable;
        };
        let now_ms = self.forwarder.clock.now_ms();
        let base = ModelName::new(base);
        let candidates = self.forwarder.lock().endpoints.endpoints_with_model(
            &base,
            &self.selection_criteria(),
            now_ms,
        );
        if candidates.is_empty() {
            return AdapterRequestOutcome::Unavailable;
        }
        let request = AdapterRequest {
            adapter: model.clone(),
            candidates,
        };
        let load_request = self.forwarder.control.load_adapter(request);
        match timeout_at(self.deadline, load_request).await {
            Ok(Ok(AdapterReply::Loaded(endpoint))) => {
                let mut state = self.forwarder.lock();
                state.endpoints.record_loaded_model(&endpoint, model);
                AdapterRequestOutcome::Loaded
            }
            Ok(Ok(AdapterReply::Changing { ready_in_ms })) => {
                AdapterRequestOutcome::Changing(Duration::from_millis(ready_in_ms))
            }
            Ok(Err(error)) => {
                warn!(self.forwarder.logger, "routing: adapter not loaded";
                    "request" => &self.metadata.request_id, "adapter" => %model,
                    "error" => ?error);
                AdapterRequestOutcome::Unavailable
            }
            Err(_) => AdapterRequestOutcome::Unavailable,
        }
    }
}
