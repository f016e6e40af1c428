//! The placement task of the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::Instant;
use wasabipoint_consensus::ProposeError;
use wasabipoint_kernel::{EndpointId, FencingToken, ModelName};
use wasabipoint_policy::{
    DemandSample, PlacementDecision, PlacementPolicy, PlacementView, build_placement_policy,
};
use wasabipoint_rpc::CheckpointTier;

use super::{DecisionRecord, build_view, listed_model_version, replaceable_grants};
use crate::context::ControlContext;
use crate::leader_state::LeaderState;
use crate::state::{Command, CommandOutcome, ControlState, GrantPhase, GrantRequest};

/// Interval of decisions while no requests are queued for a model without a replica, and minimum
/// interval of demand samples.
const DECISION_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of decisions while requests are queued for a model without a replica, for example
/// because the weight store is busy.
const QUEUED_DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval of decisions, so that one decision covers a burst of reports.
const MIN_DECISION_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between saves of the policy's demand profile.
const PROFILE_SAVE_INTERVAL: Duration = Duration::from_mins(1);

/// Policy used if the rules name one that this program doesn't have.
const FALLBACK_POLICY: &str = "load_on_demand";

/// Time after which a loading grant is revoked if the agent doesn't list it, for example because
/// the agent refuses it for lack of memory.
const UNLISTED_GRANT_TIMEOUT_MS: u64 = 60_000;

/// Placement policy of one term, with its sampling and saving state.
struct TermPlacement {
    term: u64,
    policy_name: String,
    policy: Box<dyn PlacementPolicy>,
    last_sample: Instant,
    last_save: Instant,
    saved_profile: Vec<u8>,
}

/// Runs placement while this member is the leader, until the task is aborted.
pub(crate) async fn run_placement(control: Arc<ControlContext>) {
    let mut current: Option<TermPlacement> = None;
    let mut pause = DECISION_INTERVAL;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = control.wake_placement.notified() => {}
        }
        control.update_gauges();
        pause = DECISION_INTERVAL;
        let Some(term) = control.member.leading_term() else {
            current = None;
            continue;
        };
        match decide_once(&control, &mut current, term).await {
            Ok(true) => pause = QUEUED_DEMAND_INTERVAL,
            Ok(false) => {}
            Err(error) => {
                warn!(control.logger, "placement: decisions were not committed"; "error" => %error);
            }
        }
        tokio::time::sleep(MIN_DECISION_INTERVAL).await;
    }
}

/// Runs one round of decisions. Returns whether requests are still queued for a model that has no
/// replica, not even a loading one.
async fn decide_once(
    control: &ControlContext,
    current: &mut Option<TermPlacement>,
    term: u64,
) -> Result<bool, ProposeError> {
    let now_ms = control.member.log_time_ms().await?;
    if current
        .as_ref()
        .is_none_or(|placement| placement.term != term)
    {
        control.announce_addresses().await?;
        *current = Some(start_placement(control, term));
    }
    let Some(term_placement) = current.as_mut() else {
        return Ok(false);
    };
    select_policy(control, term_placement);
    sample_demand(control, term_placement, now_ms);
    revoke_invalid_grants(control, now_ms).await?;
    let view = control.with_leader_state(term, |leader_state| {
        control.member.read(|state| {
            leader_state.retain_models(|model| state.view.inventory.models.contains_key(model));
            count_idle_accelerators(control, state, leader_state);
            build_view(state, leader_state, now_ms)
        })
    });
    for decision in term_placement.policy.decide(&view) {
        match &decision {
            PlacementDecision::Load {
                model,
                endpoint,
                reason,
            } => {
                let decision = Decision::new("load", model, endpoint, reason);
                propose_load(control, term, &view, decision).await?;
            }
            PlacementDecision::Unload {
                model,
                endpoint,
                reason,
            } => {
                let decision = Decision::new("unload", model, endpoint, reason);
                propose_unload(control, term, &view, decision).await?;
            }
        }
    }
    save_profile(control, term_placement).await?;
    Ok(control.member.read(|state| {
        let waiting = view.models.iter().filter(|model| model.queued > 0);
        waiting.into_iter().any(|model| {
            let mut grants = state.fleet.grants.values();
            grants.all(|grant| grant.model != model.name || grant.phase == GrantPhase::Revoked)
        })
    }))
}

fn start_placement(control: &ControlContext, term: u64) -> TermPlacement {
    let now = Instant::now();
    let mut term_placement = TermPlacement {
        term,
        policy_name: String::new(),
        policy: build_placement_policy(FALLBACK_POLICY).expect("the fallback policy is registered"),
        last_sample: now,
        last_save: now,
        saved_profile: Vec::new(),
    };
    select_policy(control, &mut term_placement);
    term_placement
}

/// Switches to the policy that the rules name, if it is not in use yet, and restores its saved demand
/// profile.
fn select_policy(control: &ControlContext, term_placement: &mut TermPlacement) {
    let (name, profile) = control.member.read(|state| {
        let name = state.view.rules.placement.policy.clone();
        (name, state.profile.clone())
    });
    if term_placement.policy_name == name {
        return;
    }
    term_placement.policy = build_placement_policy(&name).unwrap_or_else(|| {
        warn!(control.logger, "placement: the policy of the rules is unknown, using the fallback";
            "policy" => &name, "fallback" => FALLBACK_POLICY);
        build_placement_policy(FALLBACK_POLICY).expect("the fallback policy is registered")
    });
    if let Some((saved_by, bytes)) = profile
        && saved_by == name
    {
        term_placement.policy.restore(&bytes);
        term_placement.saved_profile = bytes;
    }
    info!(control.logger, "placement: policy in use";
        "policy" => &name, "term" => term_placement.term);
    term_placement.policy_name = name;
}

/// Passes the arrivals since the last sample to the policy.
fn sample_demand(control: &ControlContext, term_placement: &mut TermPlacement, now_ms: u64) {
    let interval = term_placement.last_sample.elapsed();
    if interval < DECISION_INTERVAL {
        return;
    }
    term_placement.last_sample = Instant::now();
    let arrived = control.with_leader_state(term_placement.term, |leader_state| {
        std::mem::take(&mut leader_state.arrivals)
    });
    let interval_ms = interval.as_millis() as u64;
    let day_ms = control
        .member
        .read(|state| state.view.rules.placement.day_ms)
        .max(1);
    term_placement.policy.observe(&DemandSample {
        cycle_ms: now_ms.saturating_sub(interval_ms) % day_ms,
        interval_ms,
        arrived: arrived
            .into_iter()
            .filter(|(_, count)| *count > 0)
            .collect(),
        largest_customer: None,
    });
}

/// Saves the demand profile of the policy if it has changed.
async fn save_profile(
    control: &ControlContext,
    term_placement: &mut TermPlacement,
) -> Result<(), ProposeError> {
    if term_placement.last_save.elapsed() < PROFILE_SAVE_INTERVAL {
        return Ok(());
    }
    term_placement.last_save = Instant::now();
    let bytes = term_placement.policy.save();
    if bytes == term_placement.saved_profile {
        return Ok(());
    }
    term_placement.saved_profile.clone_from(&bytes);
    let policy = term_placement.policy_name.clone();
    let saved = control
        .member
        .propose(Command::SaveProfile { policy, bytes });
    saved.await.map(|_| ())
}

/// Revokes grants that are no longer valid, see [`invalid_grants`].
async fn revoke_invalid_grants(control: &ControlContext, now_ms: u64) -> Result<(), ProposeError> {
    let Some(term) = control.member.leading_term() else {
        return Ok(());
    };
    let invalid = control.with_leader_state(term, |leader_state| {
        control
            .member
            .read(|state| invalid_grants(state, leader_state, now_ms))
    });
    for (token, model, endpoint, reason) in invalid {
        control.member.propose(Command::Revoke(token)).await?;
        let decision = Decision::new("revoke", &model, &endpoint, reason);
        let outcome = format!("revoked, fencing token {token}");
        log_decision(control, term, None, &decision, &outcome);
    }
    Ok(())
}

/// Lists grants to revoke, with the reason: the inventory no longer has the model in this version,
/// the endpoint is leaving, a replaced replica reports again, or the agent doesn't load the
/// replica.
fn invalid_grants(
    state: &ControlState,
    leader_state: &LeaderState,
    now_ms: u64,
) -> Vec<(FencingToken, ModelName, EndpointId, &'static str)> {
    let live = state
        .fleet
        .grants
        .iter()
        .filter(|(_, grant)| grant.phase != GrantPhase::Revoked);
    live.filter_map(|(token, grant)| {
        let registration = state.fleet.endpoints.get(&grant.endpoint)?;
        let report = leader_state.fresh_report(&grant.endpoint, registration.incarnation);
        let is_listed = report.is_some_and(|report| {
            let mut replicas = report.replicas.iter();
            replicas.any(|replica| replica.model == grant.model)
        });
        let is_old = now_ms.saturating_sub(grant.granted_ms) > UNLISTED_GRANT_TIMEOUT_MS;
        let listed_version = listed_model_version(state, &grant.model);
        let reason = if listed_version.is_none() {
            "the model left the inventory"
        } else if listed_version != Some((grant.version, grant.memory_mib)) {
            "the inventory has another version"
        } else if registration.is_leaving {
            "the endpoint is leaving"
        } else if grant.is_replaced && report.is_some() {
            "the replica was replaced while it was in doubt"
        } else if grant.phase == GrantPhase::Loading && report.is_some() && !is_listed && is_old {
            "the agent does not take up the grant"
        } else {
            return None;
        };
        Some((*token, grant.model.clone(), grant.endpoint.clone(), reason))
    })
    .collect()
}

/// Proposes a grant, unless the endpoint or the model is gone or a load of the model just failed on
/// the endpoint.
async fn propose_load(
    control: &ControlContext,
    term: u64,
    view: &PlacementView,
    mut decision: Decision<'_>,
) -> Result<(), ProposeError> {
    let Decision {
        model, endpoint, ..
    } = decision;
    let prepared = control.with_leader_state(term, |leader_state| {
        if leader_state.is_backing_off(model, endpoint) {
            return None;
        }
        let tier = leader_state.checkpoint_tier(endpoint, model);
        let request = control
            .member
            .read(|state| build_grant_request(state, leader_state, model, endpoint));
        request.map(|request| (request, tier))
    });
    let Some((request, tier)) = prepared else {
        decision.action = "skip";
        let outcome = "the endpoint is gone or a load just failed there";
        log_decision(control, term, Some(view), &decision, outcome);
        return Ok(());
    };
    if request.replaces.is_some() {
        decision.action = "replace";
    }
    let replaces = request.replaces;
    let outcome = control.member.propose(Command::Grant(request)).await?;
    let text = match outcome {
        CommandOutcome::Granted(token) => {
            control.with_leader_state(term, |leader_state| {
                leader_state.load_tiers.insert(token, tier);
                if tier == CheckpointTier::Remote {
                    leader_state.store_limiter.consume();
                }
            });
            if let Some(replaced) = replaces {
                warn!(control.logger,
                    "placement: replacing a replica in doubt or on a leaving endpoint, replica limit raised by one";
                    "model" => %model, "replaced_token" => replaced.0, "fencing_token" => token.0);
            }
            format!("granted, fencing token {token}, checkpoint {tier:?}")
        }
        CommandOutcome::Refused { kind, detail } => format!("refused: {kind}: {detail}"),
        other => format!("unexpected outcome {other:?}"),
    };
    log_decision(control, term, Some(view), &decision, &text);
    Ok(())
}

/// Builds the request to grant a replica. If the model has reached its replica limit, the request
/// replaces a replaceable grant.
fn build_grant_request(
    state: &ControlState,
    leader_state: &LeaderState,
    model: &ModelName,
    endpoint: &EndpointId,
) -> Option<GrantRequest> {
    let registration = state.fleet.endpoints.get(endpoint)?;
    let listed = state.view.inventory.models.get(model)?;
    let granted = state
        .fleet
        .grants
        .values()
        .filter(|grant| grant.model == *model && !grant.is_replaced)
        .count();
    let replaceable = replaceable_grants(state, leader_state);
    let replaces = (granted >= listed.max_replicas as usize)
        .then(|| {
            let mut candidates = state.fleet.grants.iter();
            candidates.find(|(token, grant)| {
                grant.model == *model && !grant.is_replaced && replaceable.contains(token)
            })
        })
        .flatten()
        .map(|(token, _)| *token);
    Some(GrantRequest {
        model: model.clone(),
        version: listed.version,
        endpoint: endpoint.clone(),
        incarnation: registration.incarnation,
        memory_mib: listed.memory_mib,
        replaces,
    })
}

/// Proposes to revoke the grant of a model on an endpoint.
async fn propose_unload(
    control: &ControlContext,
    term: u64,
    view: &PlacementView,
    decision: Decision<'_>,
) -> Result<(), ProposeError> {
    let Decision {
        model, endpoint, ..
    } = decision;
    let token = control.member.read(|state| {
        let mut grants = state.fleet.grants_of(endpoint);
        grants
            .find(|(_, grant)| grant.model == *model && grant.phase != GrantPhase::Revoked)
            .map(|(token, _)| token)
    });
    let Some(token) = token else {
        return Ok(());
    };
    control.member.propose(Command::Revoke(token)).await?;
    let outcome = format!("revoked, fencing token {token}");
    log_decision(control, term, Some(view), &decision, &outcome);
    Ok(())
}

/// A decision as it is logged and recorded.
#[derive(Clone, Copy)]
struct Decision<'a> {
    action: &'static str,
    model: &'a ModelName,
    endpoint: &'a EndpointId,
    reason: &'a str,
}

impl<'a> Decision<'a> {
    fn new(
        action: &'static str,
        model: &'a ModelName,
        endpoint: &'a EndpointId,
        reason: &'a str,
    ) -> Self {
        Self {
            action,
            model,
            endpoint,
            reason,
        }
    }
}

/// Logs a decision with its inputs and records it for `explain model`.
fn log_decision(
    control: &ControlContext,
    term: u64,
    view: Option<&PlacementView>,
    decision: &Decision<'_>,
    outcome: &str,
) {
    let model_view = view.and_then(|view| {
        let mut models = view.models.iter();
        models.find(|model| model.name == *decision.model)
    });
    let endpoint_view = view.and_then(|view| {
        let mut endpoints = view.endpoints.iter();
        endpoints.find(|endpoint| endpoint.id == *decision.endpoint)
    });
    let record = DecisionRecord {
        log_time_ms: control.member.read(|state| state.time_ms),
        action: decision.action,
        endpoint: decision.endpoint.to_string(),
        reason: decision.reason.to_owned(),
        outcome: outcome.to_owned(),
        queued: model_view.map_or(0, |model| model.queued),
        in_flight: model_view.map_or(0, |model| model.in_flight),
        free_mib: endpoint_view.map_or(0, |endpoint| endpoint.free_mib),
        loads_running: view.map_or(0, |view| view.store.loads_running),
    };
    info!(control.logger, "placement: {}", decision.action; "model" => %decision.model,
        "endpoint" => %decision.endpoint, "reason" => decision.reason, "outcome" => outcome,
        "queued" => record.queued, "in_flight" => record.in_flight,
        "free_mib" => record.free_mib, "loads_running" => record.loads_running,
        "loads_allowed" => view.map_or(0, |view| view.store.loads_allowed));
    control.with_leader_state(term, |leader_state| {
        leader_state.record_decision(decision.model, record);
    });
}

/// Adds to the metric the accelerator time that loaded replicas without requests have taken since the
/// last round of decisions.
fn count_idle_accelerators(
    control: &ControlContext,
    state: &ControlState,
    leader_state: &mut LeaderState,
) {
    let elapsed_s = leader_state.take_idle_interval().as_secs_f64();
    let demand = leader_state.demand();
    let mut memory_share: BTreeMap<&EndpointId, f64> = BTreeMap::new();
    for grant in state.fleet.grants.values() {
        let is_used = demand
            .get(&grant.model)
            .is_some_and(|sum| sum.queued > 0 || sum.in_flight > 0);
        let Some(registration) = state.fleet.endpoints.get(&grant.endpoint) else {
            continue;
        };
        if grant.phase == GrantPhase::Loaded && !is_used {
            let share = grant.memory_mib as f64 / registration.memory_mib.max(1) as f64;
            *memory_share.entry(&grant.endpoint).or_default() += share;
        }
    }
    for (endpoint, share) in memory_share {
        let accelerators = state.fleet.endpoints[endpoint].accelerators;
        let idle = share.min(1.0) * f64::from(accelerators) * elapsed_s;
        control.metrics.record_idle_seconds(idle);
    }
}
