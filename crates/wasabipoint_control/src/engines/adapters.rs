//! Loads of adapters on the path of a request.

use std::sync::Arc;
use std::time::Duration;

use wasabipoint_kernel::{EndpointId, ErrorKind, ModelName};
use wasabipoint_rpc::{AdapterRequest, ControlRefusal, EndpointView};

use super::book::is_model;
use super::change::EngineSession;
use super::{CommandAnswer, EngineOperation};
use crate::control::Control;

/// Time that an adapter takes from the store while few are in transit.
const ADAPTER_LOAD: Duration = Duration::from_millis(20);

/// Idle time before an adapter gives way, so that a request sent a moment ago still finds it.
const MIN_IDLE: Duration = Duration::from_millis(1_000);

/// Endpoints tried for one request.
const MAX_TRIES: usize = 3;

impl Control {
    /// Loads an adapter on the first of the candidates that can take it.
    pub(crate) async fn load_adapter(
        self: &Arc<Self>,
        term: u64,
        request: &AdapterRequest,
    ) -> Result<EndpointId, ControlRefusal> {
        let Some(commander) = self.commander.clone() else {
            return Err(unavailable("no engines are commanded here"));
        };
        for candidate in request.candidates.iter().take(MAX_TRIES) {
            let endpoint = self
                .member
                .read(|state| state.view.endpoints.get(candidate).cloned());
            let Some(endpoint) = endpoint.filter(|endpoint| !endpoint.is_leaving) else {
                continue;
            };
            let session = EngineSession {
                control: Arc::clone(self),
                commander: Arc::clone(&commander),
                term,
                endpoint,
            };
            if self.load_adapter_at(&session, &request.adapter).await {
                return Ok(candidate.clone());
            }
        }
        Err(unavailable("no engine can load the adapter now"))
    }

    async fn load_adapter_at(&self, session: &EngineSession, adapter: &ModelName) -> bool {
        let endpoint = &session.endpoint;
        let slots = self.adapter_slots(endpoint);
        let gate = self.with_leader_state(session.term, |leader| {
            leader.engines.gate(&endpoint.endpoint)
        });
        let _turn = gate.lock().await;
        let place = self.with_leader_state(session.term, |leader| {
            leader.engines.slot(&endpoint.endpoint)
        });
        let known = place.lock().await.sequence;
        let mut models =
            self.with_leader_state(session.term, |leader| leader.engines.models(endpoint));
        let sequence = known.filter(|(incarnation, _)| *incarnation == endpoint.incarnation);
        let mut sequence = match sequence {
            Some((_, sequence)) => sequence,
            None => match session.read_state().await {
                Ok(state) => {
                    models.clone_from(&state.models);
                    state.sequence
                }
                Err(_) => return false,
            },
        };
        if models.contains(adapter) {
            self.note_use(session, adapter);
            return true;
        }
        let adapters: Vec<ModelName> = models.iter().filter(|m| !is_model(m)).cloned().collect();
        if adapters.len() >= slots {
            let Some(victim) = self.idlest(session, &adapters) else {
                return false;
            };
            let unloaded = session.send(EngineOperation::Unload, &victim, sequence);
            match unloaded.await {
                Ok(CommandAnswer::Accepted | CommandAnswer::AlreadyHolds) => sequence += 1,
                _ => return false,
            }
            models.retain(|held| *held != victim);
        }
        let loaded = session.send(EngineOperation::Load, adapter, sequence).await;
        if !matches!(
            loaded,
            Ok(CommandAnswer::Accepted | CommandAnswer::AlreadyHolds)
        ) {
            return false;
        }
        models.push(adapter.clone());
        self.with_leader_state(session.term, |leader| {
            if leader.engines.is_changing(endpoint) {
                leader.engines.begin(endpoint, models);
            } else {
                leader.engines.finish(endpoint, models);
            }
        });
        self.note_use(session, adapter);
        tokio::time::sleep(ADAPTER_LOAD).await;
        true
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

    fn adapter_slots(&self, endpoint: &EndpointView) -> usize {
        self.member.read(|state| {
            let deployment = state.view.deployment.as_ref();
            let service = deployment.and_then(|d| d.services.get(&endpoint.service));
            let engine = service.and_then(|service| service.engine.as_ref());
            engine.map_or(0, |engine| engine.adapter_slots as usize)
        })
    }
}

fn unavailable(detail: &str) -> ControlRefusal {
    ControlRefusal::Refused {
        kind: ErrorKind::NoEndpoint,
        detail: detail.to_owned(),
    }
}
