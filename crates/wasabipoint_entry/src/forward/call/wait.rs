//! Waits for a model or an adapter before a request is sent.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use wasabipoint_kernel::{ModelName, Refusal};
use wasabipoint_rpc::{AdapterReply, AdapterRequest};

use super::Call;
use crate::forward::Forwarder;
use crate::forward::endpoints::SelectedEndpoint;

/// Shortest time that callers wait for the first event of a stream, in milliseconds.
const MIN_PATIENCE_MS: u64 = 2_000;

/// Time that callers wait for the first event, as a multiple of the objective.
const PATIENCE_OBJECTIVES: u64 = 4;

/// Time that callers wait for the first event, as a multiple of the longest pause on time.
const PATIENCE_GAPS: u64 = 8;

/// Pause between requests to control for the same adapter.
const ADAPTER_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a request waits while the engines with its model take no further adapter.
const ADAPTER_PATIENCE: Duration = Duration::from_secs(1);

/// When a refused request for an adapter may come back. Changes of engines take about as long.
const ADAPTER_RETRY: Duration = Duration::from_millis(1_500);

/// Pause before endpoints that refused a request are asked once more.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);

/// Time beyond twice its expected duration after which a load counts as overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(500);

/// Share of a caller's patience that an expected load may take. Loads often take longer than
/// expected, and a refused caller comes back in time.
const WAIT_SHARE: f64 = 0.7;

/// Time left for the first event once a model is loaded, in milliseconds.
const FIRST_EVENT_MS: u64 = 200;

/// The answer to a request for an adapter.
enum AdapterOutcome {
    /// An endpoint has it.
    Loaded,
    /// Every engine with the model changes what it holds, for about this long.
    Changing(Duration),
    /// No engine takes it now.
    Unavailable,
}

/// Counts a request as waiting for its model.
struct WaitGuard<'a> {
    forwarder: &'a Forwarder,
    model: &'a ModelName,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.forwarder.lock().demand.end_wait(self.model);
    }
}

impl Call {
    /// Finds an endpoint, waiting for its model where that is worthwhile.
    pub(super) async fn find_endpoint(&mut self) -> Result<SelectedEndpoint, Refusal> {
        let forwarder = Arc::clone(&self.forwarder);
        let mut changed = forwarder.changed.subscribe();
        let model = self.facts.model.clone();
        let mut wait: Option<WaitGuard<'_>> = None;
        let mut asked: Option<Instant> = None;
        let mut overdue: Option<Instant> = None;
        loop {
            changed.borrow_and_update();
            if let Some(choice) = self.choose() {
                return Ok(choice);
            }
            if Instant::now() >= self.deadline {
                return Err(self.late());
            }
            if self.may_ask_again() {
                let _ = timeout_at(Instant::now() + REFUSED_PAUSE, changed.changed()).await;
                self.progress.tried.clear();
                continue;
            }
            let Some(model) = &model else {
                return Err(self.refuse("no endpoint of the service is available"));
            };
            if forwarder.is_draining() {
                return Err(self.refuse("shutting down, and the model is not loaded"));
            }
            if !self.progress.tried.is_empty() && self.has_tried_holders(model) {
                // Holders that cannot be reached may be dead, and the model on its way elsewhere.
                let is_coming =
                    self.progress.runs == 0 && forwarder.ask_load_time(model).await.is_some();
                if !is_coming {
                    return Err(self.refuse("every endpoint with the model was tried"));
                }
            }
            let is_due = asked.is_none_or(|asked| asked.elapsed() >= ADAPTER_PAUSE);
            if is_due && model.as_str().contains('/') {
                asked = Some(Instant::now());
                match self.ask_for_adapter(model).await {
                    AdapterOutcome::Loaded => continue,
                    AdapterOutcome::Changing(left) => {
                        self.await_change(left, &mut changed).await?;
                        continue;
                    }
                    AdapterOutcome::Unavailable => {}
                }
            }
            if wait.is_none() {
                forwarder.lock().demand.begin_wait(model);
                wait = Some(WaitGuard {
                    forwarder: &forwarder,
                    model,
                });
            }
            let ready = forwarder.ask_load_time(model).await;
            if changed.has_changed().unwrap_or(false) {
                continue;
            }
            let patience = self.patience();
            if ready.is_none() && asked.is_some() {
                // The model is there; its engines may take the adapter in a moment.
                let limit = self.arrived + ADAPTER_PATIENCE;
                if Instant::now() >= limit.min(patience) {
                    return Err(self.refuse_cold(Some(ADAPTER_RETRY)));
                }
                let _ = timeout_at(Instant::now() + ADAPTER_PAUSE, changed.changed()).await;
                continue;
            }
            let left = patience.saturating_duration_since(Instant::now());
            let Some(ready) = ready.filter(|ready| *ready < left.mul_f64(WAIT_SHARE)) else {
                return Err(self.refuse_cold(ready));
            };
            // A load that takes much longer than first expected may never end.
            let overdue = *overdue.get_or_insert(Instant::now() + ready * 2 + OVERDUE_MARGIN);
            if Instant::now() >= overdue {
                return Err(self.refuse_cold(Some(ready.max(OVERDUE_MARGIN))));
            }
            let look = Duration::from_millis(500).max(ready / 2);
            let limit = patience.min(Instant::now() + look);
            // A timeout leads to another look: an endpoint may no longer be avoided.
            let _ = timeout_at(limit, changed.changed()).await;
        }
    }

    /// Tells whether the endpoints that were tried can be asked once more: one of them has only just
    /// had no room, or began to change what it holds, and the request has not run.
    fn may_ask_again(&self) -> bool {
        let progress = &self.progress;
        progress.refusals > 0
            && progress.runs == 0
            && !progress.tried.is_empty()
            && !self.forwarder.is_draining()
            && Instant::now() + REFUSED_PAUSE < self.patience()
    }

    /// Waits for the end of the change that keeps the engines with the model from loading an
    /// adapter, or refuses a request that cannot wait that long.
    async fn await_change(
        &self,
        left: Duration,
        changed: &mut watch::Receiver<u64>,
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        if now + left > self.patience() {
            return Err(self.refuse_cold(Some(left)));
        }
        let limit = now + left.max(ADAPTER_PAUSE);
        // The news of the change may come before or after its expected end.
        let _ = timeout_at(limit, changed.changed()).await;
        Ok(())
    }

    /// Returns when the caller of a stream without any event leaves.
    fn patience(&self) -> Instant {
        if !self.route.run_policy.is_stream() {
            return self.deadline;
        }
        let patience_ms = MIN_PATIENCE_MS
            .max(self.route.objective_ms * PATIENCE_OBJECTIVES)
            .max(self.route.max_gap_ms * PATIENCE_GAPS);
        let until = self.arrived + Duration::from_millis(patience_ms - FIRST_EVENT_MS);
        until.min(self.deadline)
    }

    /// The answer when a model is loaded too late for the request.
    fn refuse_cold(&self, ready: Option<Duration>) -> Refusal {
        let mut refusal = self.refuse("the model is not loaded in time");
        if let (Some(ready), Some(_)) = (ready, refusal.retry_after_ms) {
            refusal.retry_after_ms = Some(ready.as_millis() as u64);
        }
        refusal
    }

    fn has_tried_holders(&self, model: &ModelName) -> bool {
        let state = self.forwarder.lock();
        let now_ms = self.forwarder.clock.now_ms();
        !state
            .endpoints
            .endpoints_with_model(&self.service, model, now_ms)
            .is_empty()
    }

    /// Asks control to load an adapter.
    async fn ask_for_adapter(&self, model: &ModelName) -> AdapterOutcome {
        let Some((base, _)) = model.as_str().split_once('/') else {
            return AdapterOutcome::Unavailable;
        };
        let now_ms = self.forwarder.clock.now_ms();
        let base = ModelName::new(base);
        let candidates =
            self.forwarder
                .lock()
                .endpoints
                .endpoints_with_model(&self.service, &base, now_ms);
        if candidates.is_empty() {
            return AdapterOutcome::Unavailable;
        }
        let request = AdapterRequest {
            adapter: model.clone(),
            candidates,
        };
        let asked = self.forwarder.control.load_adapter(request);
        match timeout_at(self.deadline, asked).await {
            Ok(Ok(AdapterReply::Loaded(endpoint))) => {
                let mut state = self.forwarder.lock();
                state.endpoints.record_loaded_model(&endpoint, model);
                AdapterOutcome::Loaded
            }
            Ok(Ok(AdapterReply::Changing { ready_in_ms })) => {
                AdapterOutcome::Changing(Duration::from_millis(ready_in_ms))
            }
            Ok(Err(error)) => {
                warn!(self.forwarder.logger, "routing: adapter not loaded";
                    "request" => &self.facts.request_id, "adapter" => %model,
                    "error" => ?error);
                AdapterOutcome::Unavailable
            }
            Err(_) => AdapterOutcome::Unavailable,
        }
    }
}
