//! Background task of the leader that plans changes of engines and starts them.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::task::JoinSet;
use tokio::time::Instant;
use wasabipoint_kernel::{Deployment, EndpointId, EngineSpec, Incarnation, ModelName};
use wasabipoint_policy::{Deferral, EngineChange, LoadForecast, LoadTimes, plan_engine_changes};
use wasabipoint_rpc::{ColdEstimate, EndpointView, FleetView};

use super::EngineCommander;
use super::change::EngineSession;
use super::planner_input::{engine_views, model_loads, store_budget, sum_by_base_model};
use super::tracker::{EngineTracker, base_model};
use crate::context::ControlContext;

/// Interval between planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Delay from a notification to the planning round that it triggers. It bounds the rate of rounds.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Plans and executes changes while this member leads.
///
/// A new leader waits for `lease` before its first command, so that all commands of its predecessor
/// have arrived by then.
pub(crate) async fn run_engine_planner(
    control: Arc<ControlContext>,
    commander: Arc<dyn EngineCommander>,
    lease: Duration,
) {
    let mut changes = JoinSet::new();
    let mut current_term: Option<(u64, Instant)> = None;
    let mut unreachable = BTreeMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(PLAN_INTERVAL) => {}
            () = control.wake_engine_planner.notified() => tokio::time::sleep(MIN_PLAN_INTERVAL).await,
        }
        while changes.try_join_next().is_some() {}
        let Some(term) = control.member.leading_term() else {
            current_term = None;
            changes.abort_all();
            continue;
        };
        let leader_since = match current_term {
            Some((last_term, leader_since)) if last_term == term => leader_since,
            _ => Instant::now(),
        };
        current_term = Some((term, leader_since));
        query_disks(&control, &commander, term);
        control.with_leader_state(term, |leader| {
            leader
                .engines
                .set_commands_allowed_from(leader_since + lease);
        });
        if leader_since.elapsed() < lease {
            continue;
        }
        log_unreachable(&control, term, &mut unreachable);
        for (session, change, expected) in plan_changes(&control, &commander, term) {
            info!(control.logger, "placement: change decided"; "term" => term,
                "endpoint" => %change.endpoint, "load" => %change.load,
                "unload" => ?change.unload.iter().map(ModelName::as_str).collect::<Vec<_>>(),
                "is_from_store" => change.is_from_store, "cause" => ?change.cause,
                "load_per_replica" => round_for_log(change.load_per_replica),
                "loss" => round_for_log(change.loss));
            changes.spawn(session.run(change, expected));
        }
    }
}

/// Time that a change takes in addition to its load: commands, the preceding unload, and
/// propagation to the entry processes.
const CHANGE_OVERHEAD: Duration = Duration::from_millis(400);

/// Logs which engines became unreachable or reachable again.
fn log_unreachable(
    control: &ControlContext,
    term: u64,
    logged: &mut BTreeMap<(EndpointId, Incarnation), usize>,
) {
    let current = control.with_leader_state(term, |leader| leader.unreachable_endpoints());
    for ((endpoint, incarnation), entries) in &current {
        if !logged.contains_key(&(endpoint.clone(), *incarnation)) {
            warn!(control.logger, "placement: an engine cannot be reached";
                "endpoint" => %endpoint, "incarnation" => incarnation.0,
                "entries" => entries, "term" => term);
        }
    }
    for (endpoint, incarnation) in logged.keys() {
        if !current.contains_key(&(endpoint.clone(), *incarnation)) {
            info!(control.logger, "placement: an engine is no longer reported unreachable";
                "endpoint" => %endpoint, "incarnation" => incarnation.0, "term" => term);
        }
    }
    *logged = current;
}

/// Rounds to two decimals for log records.
fn round_for_log(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Queries the models on each engine's disk, once per term and incarnation.
fn query_disks(control: &Arc<ControlContext>, commander: &Arc<dyn EngineCommander>, term: u64) {
    let endpoints: Vec<EndpointView> = control.member.read(|state| {
        let Some(deployment) = &state.view.deployment else {
            return Vec::new();
        };
        let is_engine = |endpoint: &&EndpointView| {
            let service = deployment.services.get(&endpoint.service);
            service.is_some_and(|service| service.engine.is_some())
        };
        let endpoints = state.view.endpoints.values();
        endpoints.filter(is_engine).cloned().collect()
    });
    for endpoint in endpoints {
        let is_first_query =
            control.with_leader_state(term, |leader| leader.engines.mark_disk_queried(&endpoint));
        if !is_first_query {
            continue;
        }
        let (control, commander) = (Arc::clone(control), Arc::clone(commander));
        tokio::spawn(async move {
            let state = commander.state(&endpoint).await;
            control.with_leader_state(term, |leader| match state {
                Ok(state) => leader
                    .engines
                    .add_disk_models(&endpoint.id, &state.local_models),
                Err(detail) => {
                    info!(control.logger, "placement: cannot query the disk of an engine";
                        "endpoint" => %endpoint.id, "detail" => detail);
                }
            });
        });
    }
}

/// A change with the session that executes it and the expected duration of its load.
type PlannedChange = (EngineSession, EngineChange, Duration);

/// Plans the changes of the engines of all services.
fn plan_changes(
    control: &Arc<ControlContext>,
    commander: &Arc<dyn EngineCommander>,
    term: u64,
) -> Vec<PlannedChange> {
    let (services, unused) = control.member.read(|state| {
        let deployment = state.view.deployment.iter();
        let services = deployment.flat_map(|deployment| deployment.services.values());
        let services: Vec<(EngineSpec, Vec<EndpointView>)> = services
            .filter_map(|service| {
                // The models of an engine that accepts no new requests do not count.
                let endpoints = state.view.endpoints.values().filter(|endpoint| {
                    endpoint.service == service.name && state.view.accepts_requests(endpoint)
                });
                let spec = service.engine.clone()?;
                Some((spec, endpoints.cloned().collect()))
            })
            .collect();
        (services, endpoints_out_of_service(&state.view))
    });
    let mut planned = Vec::new();
    for (spec, endpoints) in services {
        planned.extend(plan_service(
            control, commander, term, &spec, &endpoints, &unused,
        ));
    }
    planned
}

/// Returns the endpoints of failure domains that are out of service. A load in progress there ends,
/// but does not replace one elsewhere.
fn endpoints_out_of_service(view: &FleetView) -> BTreeSet<EndpointId> {
    let endpoints = view.endpoints.values();
    let unused = endpoints.filter(|endpoint| view.is_out_of_service(endpoint));
    unused.map(|endpoint| endpoint.id.clone()).collect()
}

/// Plans the changes of a service's engines and records them as started. `unused` are the endpoints
/// that are out of service.
fn plan_service(
    control: &Arc<ControlContext>,
    commander: &Arc<dyn EngineCommander>,
    term: u64,
    spec: &EngineSpec,
    endpoints: &[EndpointView],
    unused: &BTreeSet<EndpointId>,
) -> Vec<PlannedChange> {
    let changes = control.with_leader_state(term, |leader| {
        let is_usable = leader.usable_endpoints();
        let usable = endpoints.iter().filter(|endpoint| is_usable(endpoint));
        let endpoints: Vec<EndpointView> = usable.cloned().collect();
        let endpoints = endpoints.as_slice();
        let demand = sum_by_base_model(leader.demand());
        let models = model_loads(leader, spec, endpoints, &demand, unused);
        let speeds = control
            .member
            .read(|state| leader.speeds.relative(&state.view.endpoints));
        let engine_views = engine_views(leader, spec, endpoints, &demand, &speeds);
        let store = store_budget(leader, spec);
        let plan = plan_engine_changes(&models, &engine_views, spec.slots, store);
        log_deferred(control, term, leader.engines.deferred(), &plan.deferred);
        leader.engines.set_deferred(spec, plan.deferred);
        let changes = plan.changes;
        for change in &changes {
            let expected = expected_load_time(spec, &change.load, change.is_from_store);
            leader.engines.begin_load(
                &change.endpoint,
                &change.load,
                expected + CHANGE_OVERHEAD,
                change.is_from_store,
            );
            let endpoint = endpoints.iter().find(|e| e.id == change.endpoint);
            if let Some(endpoint) = endpoint {
                let models = leader.engines.models(endpoint);
                leader.engines.begin_change(endpoint, models);
            }
        }
        changes
    });
    let shared_spec = Arc::new(spec.clone());
    changes
        .into_iter()
        .filter_map(|change| {
            let endpoint = endpoints.iter().find(|e| e.id == change.endpoint)?;
            let expected = expected_load_time(spec, &change.load, change.is_from_store);
            let session = EngineSession {
                control: Arc::clone(control),
                commander: Arc::clone(commander),
                term,
                endpoint: endpoint.clone(),
                spec: Arc::clone(&shared_spec),
            };
            Some((session, change, expected))
        })
        .collect()
}

/// Returns the configured load time of a model.
fn expected_load_time(spec: &EngineSpec, model: &ModelName, is_from_store: bool) -> Duration {
    let model = spec.models.get(model);
    let load_ms = model.map_or(0, |model| {
        if is_from_store {
            model.store_load_ms
        } else {
            model.disk_load_ms
        }
    });
    Duration::from_millis(load_ms)
}

impl ControlContext {
    /// Estimates the time until models are ready, for each of the given ones that no usable engine
    /// has loaded.
    pub(crate) fn estimate_loads(&self, term: u64, names: &[ModelName]) -> Vec<ColdEstimate> {
        self.with_leader_state(term, |leader| {
            let is_usable = leader.usable_endpoints();
            self.member.read(|state| {
                let Some(deployment) = &state.view.deployment else {
                    return Vec::new();
                };
                let endpoints = state.view.endpoints.values();
                let usable: Vec<&EndpointView> = endpoints
                    .filter(|endpoint| state.view.accepts_requests(endpoint) && is_usable(endpoint))
                    .collect();
                let loaded: HashSet<&ModelName> = usable
                    .iter()
                    .flat_map(|endpoint| &endpoint.models)
                    .collect();
                let not_loaded = names
                    .iter()
                    .filter(|name| !loaded.contains(&base_model(name)));
                let not_loaded: Vec<&ModelName> = not_loaded.collect();
                if not_loaded.is_empty() {
                    return Vec::new();
                }
                let ids = usable.iter().map(|endpoint| &endpoint.id);
                let forecast = leader.engines.forecast(ids);
                let unused = endpoints_out_of_service(&state.view);
                let estimates = not_loaded.into_iter().filter_map(|name| {
                    let engines = &leader.engines;
                    let ready_in = estimate_load(engines, &forecast, deployment, &unused, name)?;
                    Some(ColdEstimate {
                        model: name.clone(),
                        ready_in_ms: ready_in.as_millis() as u64,
                    })
                });
                estimates.collect()
            })
        })
    }
}

/// Estimates the time until a model that no engine has loaded is ready, not counting loads at `unused`
/// endpoints. Returns `None` if no load of it is in progress and no service is configured with it.
fn estimate_load(
    tracker: &EngineTracker,
    forecast: &LoadForecast<'_>,
    deployment: &Deployment,
    unused: &BTreeSet<EndpointId>,
    name: &ModelName,
) -> Option<Duration> {
    let base = base_model(name);
    if let Some(ready) = tracker.ready_in(&base, unused) {
        return Some(ready);
    }
    let mut specs = deployment
        .services
        .values()
        .filter_map(|service| service.engine.as_ref());
    let spec = specs.find(|spec| spec.models.contains_key(&base))?;
    let times = LoadTimes {
        from_disk: expected_load_time(spec, &base, false) + CHANGE_OVERHEAD,
        from_store: expected_load_time(spec, &base, true) + CHANGE_OVERHEAD,
    };
    Some(forecast.ready_in(&base, times) + tracker.time_until_commands())
}

/// Logs the models whose loads are newly deferred, with the reason. Models that were deferred for
/// the same reason before are not logged again.
fn log_deferred(
    control: &ControlContext,
    term: u64,
    previous: &[(ModelName, Deferral)],
    deferred: &[(ModelName, Deferral)],
) {
    for (position, (model, reason)) in deferred.iter().enumerate() {
        if previous.contains(&(model.clone(), *reason)) {
            continue;
        }
        info!(control.logger, "placement: load deferred"; "term" => term, "model" => %model,
            "reason" => ?reason, "position" => position);
    }
}
