//! Loads of adapters on the path of a request.

use std::sync::Arc;
use std::time::Duration;

use wasabipoint_kernel::{EngineSpec, ErrorKind, ModelName};
use wasabipoint_rpc::{AdapterReply, AdapterRequest, ControlRefusal, EndpointView};

use super::book::{base_of, is_model};
use super::change::EngineSession;
use super::{CommandAnswer, EngineLedger, EngineOperation};
use crate::control::Control;

/// Time that an adapter takes from the store while few are in transit.
const ADAPTER_LOAD: Duration = Duration::from_millis(20);

/// Time by which an engine's report of itself lags.
const REPORT_LAG: Duration = Duration::from_millis(150);

/// Idle time before an adapter gives way, so that a request sent a moment ago still finds it.
const MIN_IDLE: Duration = Duration::from_secs(1);

impl Control {
    /// Loads an adapter on the first of the candidates that can take it.
    pub(crate) async fn load_adapter(
        self: &Arc<Self>,
        term: u64,
        request: &AdapterRequest,
    ) -> Result<AdapterReply, ControlRefusal> {
        let Some(commander) = self.commander.clone() else {
            return Err(unavailable("no engines are commanded here"));
        };
        let mut failures = Vec::new();
        let mut changed_in: Option<Duration> = None;
        for candidate in &request.candidates {
            let endpoint = self
                .member
                .read(|state| state.view.endpoints.get(candidate).cloned());
            let Some(endpoint) = endpoint.filter(|endpoint| !endpoint.is_leaving) else {
                continue;
            };
            // An engine carries out one command at a time, and a model takes seconds.
            let changing = self.with_leader_state(term, |leader| {
                leader.engines.await_change_for_adapter(&endpoint)
            });
            if let Some(left) = changing {
                changed_in = Some(changed_in.map_or(left, |known| known.min(left)));
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
        if let Some(left) = changed_in {
            return Ok(AdapterReply::Changing {
                ready_in_ms: left.as_millis() as u64,
            });
        }
        Err(unavailable(&format!(
            "no engine can load the adapter now: {}",
            failures.join("; ")
        )))
    }

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
            self.note_use(session, adapter);
            return Ok(());
        }
        if !ledger.models().contains(&base_of(adapter)) {
            return Err("the model is not there".to_owned());
        }
        if !ledger.fits(&session.spec, adapter) {
            let held = ledger.models().iter().filter(|held| !is_model(held));
            let Some(victim) = self.idlest(session, &held.cloned().collect::<Vec<_>>()) else {
                return Err("every adapter there is in use".to_owned());
            };
            let unloaded = session.send(&mut ledger, EngineOperation::Unload, &victim);
            check_accepted(unloaded.await?)?;
            if !self.is_known(session, &mut ledger).await {
                return Err("the state after an unload is not known".to_owned());
            }
        }
        let mut loaded = session
            .send(&mut ledger, EngineOperation::Load, adapter)
            .await?;
        if loaded == CommandAnswer::Conflict && self.is_known(session, &mut ledger).await {
            loaded = session
                .send(&mut ledger, EngineOperation::Load, adapter)
                .await?;
        }
        check_accepted(loaded)?;
        if self.is_known(session, &mut ledger).await {
            let models = ledger.models().to_vec();
            self.with_leader_state(session.term, |leader| {
                if leader.engines.is_changing(endpoint) {
                    leader.engines.begin(endpoint, models);
                } else {
                    leader.engines.finish(endpoint, models);
                }
            });
        }
        self.note_use(session, adapter);
        drop(ledger);
        tokio::time::sleep(ADAPTER_LOAD).await;
        Ok(())
    }

    /// Tells whether the ledger is known, reading the engine's state where it is not.
    async fn is_known(&self, session: &EngineSession, ledger: &mut EngineLedger) -> bool {
        if ledger.sequence(session.endpoint.incarnation).is_some() {
            return true;
        }
        tokio::time::sleep(REPORT_LAG).await;
        session.read_state(ledger).await.is_ok()
    }

    fn note_use(&self, session: &EngineSession, adapter: &ModelName) {
        self.with_leader_state(session.term, |leader| {
            leader
                .engines
                .use_adapter(&session.endpoint.endpoint, adapter);
        });
    }

    /// Returns the adapter without requests that was idle longest.
    fn idlest(&self, session: &EngineSession, adapters: &[ModelName]) -> Option<ModelName> {
        self.with_leader_state(session.term, |leader| {
            let demand = leader.demand();
            let endpoint = &session.endpoint.endpoint;
            let idle = adapters.iter().filter(|adapter| {
                let sum = demand.get(*adapter).copied().unwrap_or_default();
                sum.in_flight == 0 && leader.engines.adapter_idle(endpoint, adapter) >= MIN_IDLE
            });
            idle.max_by_key(|adapter| leader.engines.adapter_idle(endpoint, adapter))
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
