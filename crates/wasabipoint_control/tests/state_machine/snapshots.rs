//! Snapshots of the replicated state, and snapshots and deltas of the fleet view.

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use wasabipoint_consensus::StateMachine;
use wasabipoint_control::{
    ClaimState, Command, ConfigState, ControlState, ControlStateMachine, DeploymentRecord,
    FleetState, MemberAddresses, QuotaState, StampedCommand, VmState,
};
use wasabipoint_kernel::{
    ConfigVersion, Deployment, EndpointId, FailureDomain, FencingToken, Incarnation, Inventory,
    KeyId, MemberId, Rules, VmId,
};
use wasabipoint_rpc::{
    EndpointView, FleetChange, FleetUpdate, FleetView, KeyRecord, ReplicaReport, ReplicaState,
    SliceSettlement,
};

use crate::samples::{
    add_key, apply, apply_inventory, claim, customer, endpoint_id, exchange, inventory, model,
    model_name, report, revoke_key,
};
use crate::streams::{list_versions, record};

fn replica() -> impl Strategy<Value = ReplicaReport> {
    let state = prop::sample::select(vec![
        ReplicaState::Loading,
        ReplicaState::Loaded,
        ReplicaState::Unloading,
        ReplicaState::Failed,
    ]);
    (0_usize..2, 0_u64..6, state).prop_map(|(model, token, state)| ReplicaReport {
        model: model_name(model),
        version: 1,
        fencing_token: FencingToken(token),
        state,
    })
}

fn failure_domain(index: usize) -> FailureDomain {
    FailureDomain::new(format!("domain-{index}"))
}

/// Generates any command. Small value ranges make commands affect the same records.
fn command() -> impl Strategy<Value = Command> {
    let replicas = prop::collection::vec(replica(), 0..3);
    let vm_state = prop::sample::select(vec![VmState::Live, VmState::Leaving, VmState::Terminated]);
    prop_oneof![
        (0_u64..8, 0_u32..20, 1_u64..4, 1_u32..4).prop_map(|(expected, change, rate, replicas)| {
            let models = vec![model(0, 10, replicas), model(1, 20, 1)];
            let listed = inventory(models, vec![customer(rate * 100, 1_000)]);
            apply_inventory(expected, change, listed)
        }),
        (0_u32..30).prop_map(add_key),
        (0_u32..30, 0_u32..30).prop_map(|(change, key)| revoke_key(change, key)),
        (0_usize..3, 1_u64..3, 1_u64..40, any::<bool>(), replicas).prop_map(
            |(endpoint, incarnation, sequence, is_known, replicas)| {
                let report = report(endpoint, incarnation, sequence, 50, is_known, replicas);
                Command::RecordReport(Box::new(report))
            }
        ),
        (0_usize..2, 0_usize..3, 1_u64..3, prop::option::of(1_u64..6)).prop_map(
            |(index, endpoint, incarnation, replaces)| {
                Command::Grant(wasabipoint_control::GrantRequest {
                    model: model_name(index),
                    version: 1,
                    endpoint: endpoint_id(endpoint),
                    incarnation: Incarnation(incarnation),
                    memory_mib: [10, 20][index],
                    replaces: replaces.map(FencingToken),
                })
            }
        ),
        (1_u64..8).prop_map(|token| Command::Revoke(FencingToken(token))),
        (0_usize..3, 1_u64..3).prop_map(|(endpoint, incarnation)| {
            Command::MarkLeaving(endpoint_id(endpoint), Incarnation(incarnation))
        }),
        (0_usize..3, vm_state).prop_map(|(vm, state)| {
            Command::UpdateVmStates(vec![(VmId::new(format!("vm-{vm}")), state)])
        }),
        (0_usize..3, 1_u64..3, 1_u64..20, 0_u64..400, 1_u64..10).prop_map(
            |(entry, incarnation, sequence, wanted, slice_id)| {
                let settlement = SliceSettlement {
                    slice_id,
                    spent_tokens: wanted / 3,
                    returned_tokens: wanted / 5,
                };
                Command::ExchangeQuota {
                    exchange: exchange(entry, incarnation, sequence, wanted, vec![settlement]),
                    lifetime_ms: 1_000,
                }
            }
        ),
        (0_u32..4, 0_u128..4, prop::option::of(0_u128..4))
            .prop_map(|(key, request, replaces)| Command::Claim(claim(key, request, replaces))),
        prop::collection::vec(any::<u8>(), 0..20).prop_map(|bytes| Command::SaveProfile {
            policy: "demand_profile".to_owned(),
            bytes,
        }),
        (0_usize..4).prop_map(|domain| Command::TakeOutOfService(failure_domain(domain))),
        (0_usize..4).prop_map(|domain| Command::ReturnToService(failure_domain(domain))),
        prop::collection::vec(0_usize..3, 0..4)
            .prop_map(|versions| list_versions(&ControlState::new(), &versions)),
        (0_u64..20, 0_usize..3, 0_u64..5_000).prop_map(|(digest, version, lifetime_ms)| {
            Command::RecordStreams(vec![record(digest, version, lifetime_ms)])
        }),
    ]
}

/// Generates commands with the log time that passes before each.
fn history() -> impl Strategy<Value = Vec<(u64, Command)>> {
    let pause_ms = prop_oneof![9 => 0_u64..2_000, 1 => Just(4_000_000)];
    prop::collection::vec((pause_ms, command()), 1..120)
}

fn stamp(history: Vec<(u64, Command)>) -> Vec<StampedCommand> {
    let mut time_ms = 0;
    let stamped = history.into_iter().map(|(pause_ms, command)| {
        time_ms += pause_ms;
        // Proposals of a leader may be committed in another order than they were stamped in.
        let stamped_ms = time_ms.saturating_sub(time_ms * 7 % 50);
        StampedCommand {
            time_ms: stamped_ms,
            command,
        }
    });
    stamped.collect()
}

proptest! {
    /// Guards against state that a snapshot omits, and against a member that diverges from the
    /// others after it was restored from a snapshot.
    #[test]
    fn restored_member_equals_the_others(history in history(), restore_index in 0_usize..120) {
        let commands = stamp(history);
        let mut uninterrupted = ControlStateMachine::new();
        let mut restored = ControlStateMachine::new();
        for (index, command) in commands.iter().enumerate() {
            if index == restore_index.min(commands.len() - 1) {
                restored.restore(&uninterrupted.snapshot()).unwrap();
                prop_assert_eq!(restored.state(), uninterrupted.state());
            }
            let encoded = postcard::to_stdvec(command).unwrap();
            let outcome = uninterrupted.apply(index as u64, &encoded);
            if index >= restore_index.min(commands.len() - 1) {
                prop_assert_eq!(restored.apply(index as u64, &encoded), outcome);
            }
        }
        prop_assert_eq!(restored.state(), uninterrupted.state());
        prop_assert_eq!(restored.snapshot(), uninterrupted.snapshot());
    }

    /// Guards against a delta that leads to another view than a snapshot does, and against two
    /// views with the same revision.
    #[test]
    fn deltas_lead_to_the_same_view_as_snapshots(
        history in history(),
        watches in prop::collection::vec(any::<bool>(), 120),
    ) {
        let mut state = ControlState::new();
        let mut caller_view = FleetView::new();
        for (stamped, watches) in stamp(history).into_iter().zip(watches) {
            let earlier_view = state.view.clone();
            let earlier_time_ms = state.time_ms;
            state.apply(stamped);
            prop_assert!(state.time_ms >= earlier_time_ms, "log time decreased");
            prop_assert!(state.view == earlier_view || state.view.revision > earlier_view.revision);
            prop_assert!(state.view.config_version >= earlier_view.config_version);
            if watches {
                update_view(&mut caller_view, &state);
                prop_assert_eq!(&caller_view, &state.view);
            }
        }
    }
}

fn update_view(caller_view: &mut FleetView, state: &ControlState) {
    let reply = state.watch_reply(caller_view.revision);
    match reply.update {
        FleetUpdate::Delta(changes) => {
            for change in &changes {
                caller_view.apply(change);
            }
            caller_view.revision = reply.revision;
        }
        FleetUpdate::Snapshot(view) => *caller_view = *view,
    }
}

/// Guards against a delta with missing changes for a caller that lacks changes that are no longer
/// kept, and against an unnecessary snapshot for any other caller that is behind.
#[test]
fn caller_that_is_too_far_behind_gets_a_snapshot() {
    let mut state = ControlState::new();
    let listed = inventory(Vec::new(), vec![customer(1, 1)]);
    apply(&mut state, 0, apply_inventory(0, 1, listed));
    let first = state.view.revision;
    for change in 0..1_024 {
        apply(&mut state, 0, add_key(change));
    }
    let mut caller_view = FleetView::new();
    let behind = state.watch_reply(first);
    assert!(matches!(behind.update, FleetUpdate::Delta(changes) if changes.len() == 1_024));
    let too_far = state.watch_reply(first - 1);
    assert!(matches!(too_far.update, FleetUpdate::Snapshot(_)));
    let ahead = state.watch_reply(state.view.revision + 1);
    assert!(matches!(ahead.update, FleetUpdate::Snapshot(_)));
    update_view(&mut caller_view, &state);
    assert_eq!(caller_view, state.view);
}

/// Guards against a claim that is lost within its lifetime of an hour, is taken over by a request
/// that doesn't name the current holder, or never expires.
#[test]
fn claim_is_held_for_an_hour_and_replaced_only_by_name() {
    use wasabipoint_control::CommandOutcome::Claim;
    use wasabipoint_rpc::ClaimOutcome::{Claimed, Held};

    let mut state = ControlState::new();
    let mut claim_key = |time_ms, request, replaces| {
        apply(
            &mut state,
            time_ms,
            Command::Claim(claim(1, request, replaces)),
        )
    };
    assert_eq!(claim_key(0, 1, None), Claim(Claimed));
    assert_eq!(
        claim_key(3_599_999, 2, None),
        Claim(Held(claim(1, 1, None).holder))
    );
    assert_eq!(claim_key(3_599_999, 2, Some(1)), Claim(Claimed));
    assert_eq!(
        claim_key(3_599_999, 3, Some(1)),
        Claim(Held(claim(1, 2, None).holder))
    );
    assert_eq!(claim_key(3_600_000, 3, None), Claim(Claimed));
}

/// The state as encoding version 2 has it: the fleet view has no quarantine.
#[derive(serde::Serialize)]
struct StateV2<'s> {
    time_ms: u64,
    config: &'s ConfigState,
    fleet: &'s FleetState,
    quota: &'s QuotaState,
    claims: &'s ClaimState,
    profile: &'s Option<(String, Vec<u8>)>,
    members: &'s BTreeMap<MemberId, MemberAddresses>,
    deployment: &'s DeploymentRecord,
    revision: u64,
    config_version: ConfigVersion,
    inventory: &'s Inventory,
    rules: &'s Rules,
    keys: &'s BTreeMap<KeyId, KeyRecord>,
    endpoints: &'s BTreeMap<EndpointId, EndpointView>,
    view_deployment: &'s Option<Box<Deployment>>,
    changes: &'s VecDeque<(u64, FleetChange)>,
}

fn encode_version_2(state: &ControlState) -> Vec<u8> {
    let encoded = postcard::to_stdvec(&StateV2 {
        time_ms: state.time_ms,
        config: &state.config,
        fleet: &state.fleet,
        quota: &state.quota,
        claims: &state.claims,
        profile: &state.profile,
        members: &state.members,
        deployment: &state.deployment,
        revision: state.view.revision,
        config_version: state.view.config_version,
        inventory: &state.view.inventory,
        rules: &state.view.rules,
        keys: &state.view.keys,
        endpoints: &state.view.endpoints,
        view_deployment: &state.view.deployment,
        changes: &state.changes,
    });
    let mut snapshot = vec![2];
    snapshot.extend(encoded.unwrap());
    snapshot
}

/// A configuration as releases up to snapshot version 3 encode it, with one route.
type EarlierDeployment = (
    u64,
    Vec<EarlierRoute>,
    BTreeMap<String, (String, u32, Option<u8>)>,
    BTreeMap<String, EarlierCustomer>,
    (u64, u64, u64, u64),
);

/// Name, host, prefix, run policy, timeout, latency objective, maximum gap, priority, services,
/// attempts, and whether the route is public and cacheable.
type EarlierRoute = (
    String,
    String,
    String,
    u32,
    u64,
    u64,
    u64,
    u8,
    Vec<(String, u32)>,
    u32,
    (bool, bool),
);

/// Name, keys, priority, unit, rate, burst and default cost.
type EarlierCustomer = (
    String,
    Vec<[u8; 32]>,
    Option<u8>,
    u32,
    Option<u64>,
    u64,
    u64,
);

fn earlier_deployment() -> EarlierDeployment {
    let name = |text: &str| text.to_owned();
    let route = (
        name("chat"),
        name("app.example"),
        name("/chat/"),
        1,
        9_000,
        500,
        150,
        2,
        vec![(name("app"), 7)],
        1,
        (false, true),
    );
    let service = (name("app"), 30, None);
    let customer = (name("harbour"), Vec::new(), Some(1), 1, Some(90), 40, 5);
    (
        6,
        vec![route],
        BTreeMap::from([(name("app"), service)]),
        BTreeMap::from([(name("harbour"), customer)]),
        (1, 2, 3, 4),
    )
}

fn assert_is_earlier_deployment(deployment: &Deployment) {
    let route = &deployment.routes[0];
    assert_eq!(deployment.version, 6);
    assert_eq!(route.run_policy, wasabipoint_kernel::RunPolicy::AtMostOnce);
    assert_eq!((route.timeout_ms, route.max_attempts), (9_000, 1));
    assert!(route.is_cacheable && !route.is_public && route.home_regions.is_empty());
    let service = deployment.services.values().next().unwrap();
    assert_eq!((service.max_connections, service.cold_limit), (30, None));
    let customer = deployment.customers.values().next().unwrap();
    assert_eq!((customer.rate_per_s, customer.burst), (Some(90), 40));
    assert_eq!(deployment.limits.idle_timeout_ms, 4);
}

/// Guards against a configuration in the log of the previous release that is lost or misread.
#[test]
fn a_configuration_in_the_log_of_an_earlier_release_is_applied() {
    const APPLY_EARLIER_DEPLOYMENT: u32 = 13;
    let allowance = (8_000_u64, 10_u64, 7_u64);
    let body = (b"document".to_vec(), earlier_deployment(), allowance);
    let command = (5_u64, APPLY_EARLIER_DEPLOYMENT, body);
    let mut machine = ControlStateMachine::new();
    machine.apply(1, &postcard::to_stdvec(&command).unwrap());
    let state = machine.state();
    assert_eq!((state.time_ms, state.deployment.version), (5, 6));
    assert_is_earlier_deployment(state.view.deployment.as_ref().unwrap());
}

/// An endpoint as releases up to snapshot version 4 encode it.
fn earlier_endpoint() -> impl serde::Serialize {
    const ENGINE: u32 = 0;
    let address: std::net::SocketAddr = "10.1.0.7:8080".parse().unwrap();
    let models = vec!["chat", "chat/a1"];
    let place = ("east", ENGINE, "app");
    ("engine-7", 3_u64, address, place, models, 48_u32, true)
}

fn assert_is_earlier_endpoint(endpoint: &EndpointView) {
    assert_eq!(endpoint.id.as_str(), "engine-7");
    assert_eq!(endpoint.incarnation, Incarnation(3));
    assert_eq!(endpoint.address.port(), 8080);
    assert_eq!(endpoint.failure_domain.as_str(), "east");
    assert_eq!(endpoint.service.as_str(), "app");
    assert_eq!(endpoint.models.len(), 2);
    assert!(endpoint.concurrency == 48 && endpoint.is_leaving);
    assert_eq!(endpoint.software_version.as_str(), "");
}

/// Guards against endpoints in the log of the previous release that are lost or misread.
#[test]
fn endpoints_in_the_log_of_an_earlier_release_are_applied() {
    const CHANGE_EARLIER_ENDPOINTS: u32 = 14;
    let changes = (vec![earlier_endpoint()], Vec::<String>::new());
    let command = (5_u64, CHANGE_EARLIER_ENDPOINTS, changes);
    let mut machine = ControlStateMachine::new();
    machine.apply(1, &postcard::to_stdvec(&command).unwrap());
    let endpoints = &machine.state().view.endpoints;
    assert_is_earlier_endpoint(endpoints.values().next().unwrap());
}

/// Guards against a data folder of the previous release that loses state or is refused.
#[test]
fn snapshots_of_encoding_version_4_are_restored() {
    const EARLIER_ENDPOINT: u32 = 5;
    let mut state = ControlState::new();
    for change in 0..20 {
        apply(&mut state, u64::from(change), add_key(change));
    }
    let domain = Command::TakeOutOfService(FailureDomain::new("east"));
    apply(&mut state, 20, domain);
    let view = &state.view;
    let revision = view.revision + 1;
    let changes = vec![(revision, EARLIER_ENDPOINT, earlier_endpoint())];
    let encoded = postcard::to_stdvec(&(
        (state.time_ms, &state.config, &state.fleet, &state.quota),
        (&state.claims, &state.profile, &state.members),
        &state.deployment,
        (revision, view.config_version, &view.inventory, &view.rules),
        (
            &view.keys,
            BTreeMap::from([("engine-7", earlier_endpoint())]),
        ),
        (&view.deployment, &view.quarantine, &view.out_of_service),
        changes,
    ));
    let mut snapshot = vec![4];
    snapshot.extend(encoded.unwrap());
    let mut machine = ControlStateMachine::new();
    machine.restore(&snapshot).unwrap();
    let restored = machine.state();
    assert_eq!(restored.view.keys, view.keys);
    assert_eq!(restored.view.out_of_service, view.out_of_service);
    let endpoint = restored.view.endpoints.values().next();
    assert_is_earlier_endpoint(endpoint.unwrap());
    let mut caller_view = view.clone();
    update_view(&mut caller_view, restored);
    assert_eq!(caller_view, restored.view);
}

/// Guards against a data folder of an earlier release that loses state or is refused.
#[test]
fn snapshots_of_encoding_version_3_are_restored() {
    const EARLIER_DEPLOYMENT: u32 = 7;
    let mut state = ControlState::new();
    let listed = inventory(Vec::new(), vec![customer(1, 1)]);
    apply(&mut state, 0, apply_inventory(0, 1, listed));
    for change in 0..20 {
        apply(&mut state, u64::from(change), add_key(change));
    }
    let view = &state.view;
    assert!(!view.keys.is_empty());
    let revision = view.revision + 1;
    let changes = vec![(revision, EARLIER_DEPLOYMENT, earlier_deployment())];
    let encoded = postcard::to_stdvec(&(
        (state.time_ms, &state.config, &state.fleet, &state.quota),
        (&state.claims, &state.profile, &state.members),
        (6_u64, b"document".to_vec()),
        (revision, view.config_version, &view.inventory, &view.rules),
        (&view.keys, &view.endpoints, Some(earlier_deployment())),
        &view.quarantine,
        changes,
    ));
    let mut snapshot = vec![3];
    snapshot.extend(encoded.unwrap());
    let mut machine = ControlStateMachine::new();
    machine.restore(&snapshot).unwrap();
    let restored = machine.state();
    assert_eq!(restored.view.keys, view.keys);
    assert_is_earlier_deployment(restored.view.deployment.as_ref().unwrap());
    let mut caller_view = view.clone();
    update_view(&mut caller_view, restored);
    assert_eq!(caller_view, restored.view);
}

/// Guards against a data folder of an older release that loses state or is refused.
#[test]
fn snapshots_of_encoding_version_2_are_restored() {
    let mut state = ControlState::new();
    for change in 0..20 {
        apply(&mut state, u64::from(change), add_key(change));
    }
    let mut machine = ControlStateMachine::new();
    machine.restore(&encode_version_2(&state)).unwrap();
    assert!(*machine.state() == state);
}
