//! On-demand loading of adapters while a request waits.

use std::sync::Arc;
use std::time::Duration;

use wasabipoint_kernel::{EngineSpec, ErrorKind, ModelName};
use wasabipoint_rpc::{AdapterReply, AdapterRequest, ControlRefusal, EndpointView};

use super::change::EngineSession;
use super::tracker::{base_model, is_model};
use super::{CommandAnswer, EngineLedger, EngineOperation};
use crate::context::ControlContext;

/// Time that an adapter takes to load from the weight store while few transfers are in progress.
/// The reply to a request is delayed by it.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(20);

/// Typical lag of an engine's state report.
const REPORT_LAG: Duration = Duration::from_millis(150);

/// Minimum idle time before an adapter may be unloaded, so that a request that was just sent to the
/// engine still finds it loaded.
const MIN_ADAPTER_IDLE_TIME: Duration = Duration::from_secs(1);

impl ControlContext {
    /// Loads an adapter on the first candidate that can load it. If none can and a change is in
    /// progress on some, returns the time until the earliest of these changes ends.
    pub(crate) async fn load_adapter(
        self: &Arc<Self>,
        term: u64,
        request: &AdapterRequest,
    ) -> Result<AdapterReply, ControlRefusal> {
        let Some(commander) = self.commander.clone() else {
            return Err(unavailable("no engines are commanded here"));
        };
        let mut failures = Vec::new();
        let mut change_ends_in: Option<Duration> = None;
        for candidate in &request.candidates {
            let endpoint = self.member.read(|state| {
                let listed = state.view.endpoints.get(candidate);
                listed
                    .filter(|endpoint| state.view.accepts_requests(endpoint))
                    .cloned()
            });
            let Some(endpoint) = endpoint else {
                continue;
            };
            // An engine executes one command at a time, and loading a model takes seconds, so an
            // engine with a change in progress is skipped.
            let current_change = self
                .with_leader_state(term, |leader| leader.engines.record_adapter_wait(&endpoint));
            if let Some(remaining) = current_change {
                change_ends_in =
                    Some(change_ends_in.map_or(remaining, |earliest| earliest.min(remaining)));
                continue;
            }
            let Some(spec) = self.engine_spec(&endpoint) else {
                continue;
            };
            let session = EngineSession {
                control: Arc::clone(self),
                commander: Arc::clone(&commander),
                term,
                endpoint,
                spec: Arc::new(spec),
            };
            match self.load_adapter_at(&session, &request.adapter).await {
                Ok(()) => return Ok(AdapterReply::Loaded(candidate.clone())),
                Err(failure) => failures.push(failure),
            }
        }
        if let Some(remaining) = change_ends_in {
            return Ok(AdapterReply::Changing {
                ready_in_ms: remaining.as_millis() as u64,
            });
        }
        Err(unavailable(&format!(
            "no engine can load the adapter now: {}",
            failures.join("; ")
        )))
    }

    /// Loads an adapter on one engine, unloading the least recently used one if there is no room.
    async fn load_adapter_at(
        &self,
        session: &EngineSession,
        adapter: &ModelName,
    ) -> Result<(), String> {
        let endpoint = &session.endpoint;
        let ledger = session.ledger();
        let mut ledger = ledger.lock().await;
        if ledger.sequence(endpoint.incarnation).is_none() {
            session.read_state(&mut ledger).await?;
        }
        if ledger.models().contains(adapter) {
            self.record_use(session, adapter);
            return Ok(());
        }
        if !ledger.models().contains(&base_model(adapter)) {
            return Err("the model is not there".to_owned());
        }
        if !ledger.fits(&session.spec, adapter) {
            let held = ledger.models().iter().filter(|held| !is_model(held));
            let Some(victim) =
                self.least_recently_used(session, &held.cloned().collect::<Vec<_>>())
            else {
                return Err("every adapter there is in use".to_owned());
            };
            let unload = session.send(&mut ledger, EngineOperation::Unload, &victim);
            check_accepted(unload.await?)?;
            if !self.ensure_valid(session, &mut ledger).await {
                return Err("the state after an unload is not known".to_owned());
            }
        }
        let mut load_answer = session
            .send(&mut ledger, EngineOperation::Load, adapter)
            .await?;
        if load_answer == CommandAnswer::Conflict && self.ensure_valid(session, &mut ledger).await {
            load_answer = session
                .send(&mut ledger, EngineOperation::Load, adapter)
                .await?;
        }
        check_accepted(load_answer)?;
        if self.ensure_valid(session, &mut ledger).await {
            let models = ledger.models().to_vec();
            self.with_leader_state(session.term, |leader| {
                if leader.engines.is_changing(endpoint) {
                    leader.engines.begin_change(endpoint, models);
                } else {
                    leader.engines.finish_change(endpoint, models);
                }
            });
        }
        self.record_use(session, adapter);
        drop(ledger);
        tokio::time::sleep(ADAPTER_LOAD_TIME).await;
        Ok(())
    }

    /// Ensures that the ledger is valid, querying the engine if it is not. Returns whether it is
    /// valid.
    async fn ensure_valid(&self, session: &EngineSession, ledger: &mut EngineLedger) -> bool {
        if ledger.sequence(session.endpoint.incarnation).is_some() {
            return true;
        }
        tokio::time::sleep(REPORT_LAG).await;
        session.read_state(ledger).await.is_ok()
    }

    fn record_use(&self, session: &EngineSession, adapter: &ModelName) {
        self.with_leader_state(session.term, |leader| {
            leader
                .engines
                .record_adapter_use(&session.endpoint.id, adapter);
        });
    }

    /// Returns the least recently used of the adapters that have no running requests and have been
    /// idle for at least `MIN_ADAPTER_IDLE_TIME`.
    fn least_recently_used(
        &self,
        session: &EngineSession,
        adapters: &[ModelName],
    ) -> Option<ModelName> {
        self.with_leader_state(session.term, |leader| {
            let demand = leader.demand();
            let endpoint = &session.endpoint.id;
            let idle = adapters.iter().filter(|adapter| {
                let adapter_demand = demand.get(*adapter).copied().unwrap_or_default();
                adapter_demand.in_flight == 0
                    && leader.engines.adapter_idle_time(endpoint, adapter) >= MIN_ADAPTER_IDLE_TIME
            });
            idle.max_by_key(|adapter| leader.engines.adapter_idle_time(endpoint, adapter))
                .cloned()
        })
    }

    fn engine_spec(&self, endpoint: &EndpointView) -> Option<EngineSpec> {
        self.member.read(|state| {
            let deployment = state.view.deployment.as_ref()?;
            let service = deployment.services.get(&endpoint.service)?;
            service.engine.clone()
        })
    }
}

fn check_accepted(answer: CommandAnswer) -> Result<(), String> {
    match answer {
        CommandAnswer::Accepted | CommandAnswer::AlreadyHolds => Ok(()),
        refused => Err(format!("the engine answers {refused:?}")),
    }
}

fn unavailable(detail: &str) -> ControlRefusal {
    ControlRefusal::Refused {
        kind: ErrorKind::NoEndpoint,
        detail: detail.to_owned(),
    }
}
