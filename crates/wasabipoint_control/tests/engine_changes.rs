//! Tests of engine changes by the leader, against fake engines whose state may differ from the
//! directory.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "engine_changes/domains.rs"]
mod domains;
#[path = "fixtures/member.rs"]
mod member;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::BoxFuture;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use wasabipoint_consensus::Role;
use wasabipoint_control::{
    CommandAnswer, ControlServer, EndpointDirectory, EndpointList, EngineCommand, EngineCommander,
    EngineOperation, EngineState, MemberIdentity,
};
use wasabipoint_kernel::{
    CallerLimits, Deployment, EndpointId, EngineModel, EngineSpec, EntryId, FailureDomain,
    ForwardService, Incarnation, MemberId, ModelName, ServiceName, SoftwareVersion,
};
use wasabipoint_rpc::{
    AdapterReply, AdapterRequest, ControlClient, ControlError, EndpointKind, EndpointView,
    EntryDirective, EntryReport, FleetUpdate, ModelDemand, PromptReport, SpeedReport, WatchRequest,
};

use member::{member_config, platform_integration};

/// Time limit for a condition to hold. A change of these engines takes well under a second.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Tick of members whose leader takes at least a second to notice the loss of its quorum.
const SLOW_TICK_MS: u64 = 100;

fn names(models: &[&str]) -> Vec<ModelName> {
    models.iter().map(|model| ModelName::new(*model)).collect()
}

/// Engines that execute commands immediately, and a directory that may be out of date.
struct FakeEngines {
    directory: Mutex<Vec<EndpointView>>,
    states: Mutex<BTreeMap<EndpointId, EngineState>>,
    commands: Mutex<Vec<EngineCommand>>,
    /// Whether loads of models never complete.
    has_endless_loads: AtomicBool,
    /// Whether unloads take until `finish_unload`.
    has_endless_unloads: AtomicBool,
}

impl FakeEngines {
    /// Takes the id of each engine, its listed models and the models that it has actually loaded.
    fn new(engines: &[(&str, &[&str], &[&str])]) -> Arc<Self> {
        let directory = engines.iter().map(|(id, listed, _)| EndpointView {
            id: EndpointId::new(*id),
            incarnation: Incarnation(1),
            address: "127.0.0.1:9".parse().unwrap(),
            failure_domain: FailureDomain::new("here"),
            kind: EndpointKind::Engine,
            service: ServiceName::new("assistant"),
            models: names(listed),
            concurrency: 64,
            is_leaving: false,
            software_version: SoftwareVersion::new("v1"),
        });
        let states = engines.iter().map(|(id, _, loaded)| {
            let state = EngineState {
                models: names(loaded),
                local_models: names(&["a", "b", "c"]),
                is_busy: false,
                sequence: 3,
            };
            (EndpointId::new(*id), state)
        });
        Arc::new(Self {
            directory: Mutex::new(directory.collect()),
            states: Mutex::new(states.collect()),
            commands: Mutex::default(),
            has_endless_loads: AtomicBool::new(false),
            has_endless_unloads: AtomicBool::new(false),
        })
    }

    fn mark_leaving(&self, index: usize) {
        self.directory.lock().unwrap()[index].is_leaving = true;
    }

    fn replica_count(&self, model: &str) -> usize {
        let states = self.states.lock().unwrap();
        let model = ModelName::new(model);
        states
            .values()
            .filter(|state| state.models.contains(&model))
            .count()
    }
}

impl EndpointDirectory for FakeEngines {
    fn list(&self) -> BoxFuture<'_, Result<EndpointList, String>> {
        Box::pin(async { Ok(self.directory.lock().unwrap().clone().into()) })
    }
}

impl EngineCommander for FakeEngines {
    fn state(&self, endpoint: &EndpointView) -> BoxFuture<'_, Result<EngineState, String>> {
        let state = self.states.lock().unwrap()[&endpoint.id].clone();
        Box::pin(async { Ok(state) })
    }

    fn command(
        &self,
        endpoint: &EndpointView,
        command: &EngineCommand,
    ) -> BoxFuture<'_, Result<CommandAnswer, String>> {
        self.commands.lock().unwrap().push(command.clone());
        let mut states = self.states.lock().unwrap();
        let state = states.get_mut(&endpoint.id).unwrap();
        if command.expected_sequence != state.sequence {
            return Box::pin(async { Ok(CommandAnswer::Conflict) });
        }
        state.sequence += 1;
        match command.operation {
            EngineOperation::Load if self.has_endless_loads.load(Ordering::Relaxed) => {
                state.is_busy = true;
            }
            EngineOperation::Unload if self.has_endless_unloads.load(Ordering::Relaxed) => {
                state.is_busy = true;
            }
            EngineOperation::Load => state.models.push(command.model.clone()),
            EngineOperation::Unload => state.models.retain(|model| *model != command.model),
        }
        let models = state
            .models
            .iter()
            .filter(|model| !model.as_str().contains('/'));
        assert!(
            models.count() <= 2,
            "an engine was commanded to load more models than it has memory for"
        );
        Box::pin(async { Ok(CommandAnswer::Accepted) })
    }
}

fn deployment() -> Deployment {
    let models = ["a", "b", "c"].map(|name| {
        let model = EngineModel {
            name: ModelName::new(name),
            weights_mb: 70,
            store_load_ms: 200,
            disk_load_ms: 100,
            adapter_count: 2,
            adapter_mb: 1,
        };
        (model.name.clone(), model)
    });
    let service = ForwardService {
        name: ServiceName::new("assistant"),
        max_connections: 100,
        engine: Some(EngineSpec {
            slots: 64,
            cache_tokens: 100_000,
            weights_mb: 150,
            max_adapters: 2,
            store_loads_per_1000_s: 2_000,
            models: BTreeMap::from(models),
        }),
        cold_limit: None,
    };
    Deployment {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([(service.name.clone(), service)]),
        customers: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

/// A control member with a client.
struct Fixture {
    server: Option<ControlServer>,
    client: ControlClient,
    folder: std::path::PathBuf,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fixture {
    async fn start(test: &str, engines: &Arc<FakeEngines>) -> Self {
        Self::start_with_lease(test, engines, Duration::ZERO).await
    }

    async fn start_with_lease(test: &str, engines: &Arc<FakeEngines>, lease: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let members = BTreeMap::from([(MemberId(1), listener.local_addr().unwrap())]);
        let fixture = Self::start_member(test, engines, listener, &members, lease).await;
        fixture.apply_deployment().await;
        fixture
    }

    /// Starts three members whose leader is slow to notice the loss of its quorum. The first one
    /// returned is the leader.
    async fn start_three(test: &str, engines: &Arc<FakeEngines>) -> Vec<Self> {
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses = listeners
            .iter()
            .map(|listener| listener.local_addr().unwrap());
        let members: BTreeMap<_, _> = (1..=3).map(MemberId).zip(addresses).collect();
        let mut fixtures = Vec::new();
        for listener in listeners {
            let lease = Duration::ZERO;
            fixtures.push(Self::start_member(test, engines, listener, &members, lease).await);
        }
        let elected = async {
            loop {
                let is_leader =
                    |member: &Self| member.server().replica_status().role == Role::Leader;
                if let Some(leader) = fixtures.iter().position(is_leader) {
                    return leader;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let leader = tokio::time::timeout(TIMEOUT, elected).await.unwrap();
        fixtures.swap(0, leader);
        fixtures[0].apply_deployment().await;
        fixtures
    }

    async fn start_member(
        test: &str,
        engines: &Arc<FakeEngines>,
        listener: TcpListener,
        members: &BTreeMap<MemberId, SocketAddr>,
        lease: Duration,
    ) -> Self {
        let address = listener.local_addr().unwrap();
        let (member, _) = members
            .iter()
            .find(|(_, known)| **known == address)
            .unwrap();
        let name = format!(
            "wasabipoint-changes-{test}-{}-{}",
            member.0,
            std::process::id()
        );
        let folder = std::env::temp_dir().join(name);
        let identity = MemberIdentity {
            member: *member,
            is_joining: false,
            members: members.clone(),
        };
        let mut config = member_config(identity, address, &folder);
        if members.len() > 1 {
            config.tick_ms = SLOW_TICK_MS;
        }
        let mut integration = platform_integration(
            Arc::clone(engines) as _,
            Arc::clone(engines) as _,
            tokio::sync::watch::channel(Vec::new()).1,
        );
        integration.command_lease = lease;
        let logger = Logger::root(Discard, o!());
        let server =
            ControlServer::start_with_integration(config, listener, logger, Some(integration));
        Self {
            client: ControlClient::new(&[address]),
            server: Some(server.await.unwrap()),
            folder,
        }
    }

    fn server(&self) -> &ControlServer {
        self.server.as_ref().unwrap()
    }

    async fn apply_deployment(&self) {
        let store = self.server().deployment_store();
        let applied = async {
            while store.apply(b"{}".to_vec(), deployment()).await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, applied).await.unwrap();
    }

    /// Reports queued requests for a model until the condition holds.
    async fn report_demand_until(&self, model: &str, is_reached: impl Fn() -> bool) {
        self.report_until(model, &[("entry-1", &[])], is_reached)
            .await;
    }

    /// Reports queued requests for a model from several entry processes until the condition holds.
    /// Each entry is given with the endpoints that it cannot reach.
    async fn report_until(
        &self,
        model: &str,
        entries: &[(&str, &[&str])],
        is_reached: impl Fn() -> bool,
    ) {
        let reported = async {
            for sequence in 1.. {
                if is_reached() {
                    return;
                }
                for (entry, unreachable) in entries {
                    self.report(entry_report(model, entry, unreachable, sequence))
                        .await;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, reported).await.unwrap();
    }

    /// Requests the load of an adapter on the engine `e1`.
    async fn load_adapter(&self, adapter: &str) -> Result<AdapterReply, ControlError> {
        let request = AdapterRequest {
            adapter: ModelName::new(adapter),
            candidates: vec![EndpointId::new("e1")],
        };
        let call = self
            .client
            .call(Duration::ZERO, TIMEOUT, |client, context| {
                let request = request.clone();
                async move { client.load_adapter(context, request).await }
            });
        call.await
    }

    /// Waits until the leader has read the directory of engines.
    async fn wait_for_directory(&self) {
        let listed = async {
            let mut listed_count = 0;
            while listed_count == 0 {
                let request = WatchRequest {
                    process_name: "test".to_owned(),
                    known_revision: 0,
                    wait_ms: 0,
                };
                let call = self
                    .client
                    .call(Duration::ZERO, TIMEOUT, |client, context| {
                        let request = request.clone();
                        async move { client.watch(context, request).await }
                    });
                if let FleetUpdate::Snapshot(view) = call.await.unwrap().update {
                    listed_count = view.endpoints.len();
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, listed).await.unwrap();
    }

    async fn report(&self, report: EntryReport) -> EntryDirective {
        let call = self
            .client
            .call(Duration::ZERO, TIMEOUT, |client, context| {
                let report = report.clone();
                async move { client.report_entry(context, report).await }
            });
        call.await.unwrap()
    }
}

fn entry_report(model: &str, entry: &str, unreachable: &[&str], sequence: u64) -> EntryReport {
    let unreachable = unreachable.iter().map(|id| EndpointId::new(*id));
    EntryReport {
        entry: EntryId::new(entry),
        incarnation: Incarnation(1),
        sequence,
        address: "127.0.0.1:9".parse().unwrap(),
        demand: vec![ModelDemand {
            model: ModelName::new(model),
            arrived: 5,
            queued: 5,
            in_flight: 0,
            oldest_wait_ms: 100,
            earliest_deadline_ms: None,
        }],
        draining_endpoints: Vec::new(),
        unreachable_endpoints: unreachable.map(|id| (id, Incarnation(1))).collect(),
        prompts: PromptReport::default(),
        limits: Vec::new(),
        speeds: Vec::new(),
    }
}

/// Guards against a model that no engine loads although requests for it are queued, and against
/// commands that exceed an engine's memory.
#[tokio::test]
async fn cold_model_replaces_an_unused_model() {
    let engines = FakeEngines::new(&[("e1", &["a", "b"], &["a", "b"])]);
    let fixture = Fixture::start("cold", &engines).await;
    fixture
        .report_demand_until("c", || engines.replica_count("c") == 1)
        .await;
    let commands = engines.commands.lock().unwrap().clone();
    assert_eq!(commands[0].operation, EngineOperation::Unload);
    assert_eq!(commands[1].operation, EngineOperation::Load);
    assert!(commands.iter().all(|command| command.fencing_token.0 > 0));
    drop(commands);
    assert!(!fixture.server().is_refused_by_peers());
}

/// Guards against a change that waits 30 s for memory on an engine that an earlier leader has
/// filled in the meantime. During that time no other engine would load the model.
#[tokio::test]
async fn change_without_free_memory_is_replanned() {
    let engines = FakeEngines::new(&[("e1", &[], &["a", "b"])]);
    let fixture = Fixture::start("room", &engines).await;
    fixture
        .report_demand_until("c", || engines.replica_count("c") == 1)
        .await;
}

/// Guards against a leader that does not load a model in demand elsewhere as long as the directory
/// lists it on a leaving engine.
#[tokio::test]
async fn model_of_a_leaving_engine_is_loaded_elsewhere() {
    let engines = FakeEngines::new(&[("e1", &["a"], &["a"]), ("e2", &["b"], &["b"])]);
    engines.mark_leaving(0);
    let fixture = Fixture::start("leaving", &engines).await;
    fixture
        .report_demand_until("a", || engines.replica_count("a") == 2)
        .await;
}

/// Guards against a leader that does not load a model in demand elsewhere as long as the directory
/// lists it on a dead engine, and against treating an engine as unreachable because one entry
/// process is cut off.
#[tokio::test]
async fn model_of_an_unreachable_engine_is_loaded_elsewhere() {
    let engines = FakeEngines::new(&[("e1", &["a"], &["a"]), ("e2", &["b"], &["b"])]);
    let fixture = Fixture::start("unreachable", &engines).await;
    let only_entry: [(&str, &[&str]); 1] = [("entry-1", &["e1"])];
    let one_of_two: [(&str, &[&str]); 2] = [("entry-1", &["e1"]), ("entry-2", &[])];
    for entries in [&only_entry[..], &one_of_two[..]] {
        let end = tokio::time::Instant::now() + Duration::from_secs(1);
        fixture
            .report_until("a", entries, || tokio::time::Instant::now() > end)
            .await;
        assert_eq!(engines.replica_count("a"), 1);
    }
    let both_entries: [(&str, &[&str]); 2] = [("entry-1", &["e1"]), ("entry-2", &["e1"])];
    fixture
        .report_until("a", &both_entries, || engines.replica_count("a") == 2)
        .await;
}

/// Guards against loading more adapters than an engine has slots, and against loading an adapter a
/// second time.
#[tokio::test]
async fn adapters_are_loaded_once_and_within_their_slots() {
    let engines = FakeEngines::new(&[("e1", &["a", "b"], &["a", "b"])]);
    let fixture = Fixture::start("adapters", &engines).await;
    let request_adapter = async |adapter: &str| fixture.load_adapter(adapter).await;
    // Requests fail until the leader has read the directory.
    let loaded = async {
        while request_adapter("a/a1").await.is_err() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, loaded).await.unwrap();
    request_adapter("a/a1").await.unwrap();
    request_adapter("a/a2").await.unwrap();
    // Both adapters were used recently, so neither is unloaded.
    assert!(request_adapter("a/a3").await.is_err());
    assert_eq!(engines.commands.lock().unwrap().len(), 2);
}

/// Guards against a new leader that loads an adapter while commands of its predecessor are still in
/// transit to an engine that does not check fencing tokens.
#[tokio::test]
async fn new_leader_loads_no_adapter_before_the_lease_of_its_predecessor_expires() {
    let engines = FakeEngines::new(&[("e1", &["a", "b"], &["a", "b"])]);
    let lease = Duration::from_hours(1);
    let fixture = Fixture::start_with_lease("lease", &engines, lease).await;
    fixture.wait_for_directory().await;
    for _ in 0..10 {
        assert!(fixture.load_adapter("a/a1").await.is_err());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(engines.commands.lock().unwrap().len(), 0);
}

/// Guards against a leader that was suspended or partitioned, still considers itself the leader,
/// and sends commands to an engine concurrently with its successor.
#[tokio::test]
async fn leader_without_quorum_sends_no_commands() {
    let engines = FakeEngines::new(&[("e1", &["a", "b"], &["a", "b"])]);
    let mut members = Fixture::start_three("quorum", &engines).await;
    members[0].wait_for_directory().await;
    for member in &mut members[1..] {
        member.server.take().unwrap().stop().await;
    }
    assert_eq!(members[0].server().replica_status().role, Role::Leader);
    assert!(members[0].load_adapter("a/a1").await.is_err());
    assert_eq!(engines.commands.lock().unwrap().len(), 0);
}

/// Guards against adapter requests that are refused without a retry time, or wait for an unknown
/// time, while their engine loads a model. The workload is a busy model with adapters next to rarely
/// used models.
#[tokio::test]
async fn adapter_request_is_told_when_the_change_of_its_engine_ends() {
    let engines = FakeEngines::new(&[("e1", &["a", "b"], &["a", "b"])]);
    engines.has_endless_loads.store(true, Ordering::Relaxed);
    let fixture = Fixture::start("changing", &engines).await;
    let is_loading = || engines.states.lock().unwrap()[&EndpointId::new("e1")].is_busy;
    fixture.report_demand_until("c", is_loading).await;
    let reply = fixture.load_adapter("a/a1").await.unwrap();
    let AdapterReply::Changing { ready_in_ms } = reply else {
        panic!("{reply:?}");
    };
    // A load from disk takes 100 ms here, and its commands take less than a second.
    assert!(ready_in_ms <= 1_100, "{ready_in_ms}");
}

/// Guards against speeds that stay with the process that measured them, and against speeds of endpoints
/// or incarnations that the fleet does not list.
#[tokio::test]
async fn measured_speeds_reach_the_other_entry_processes() {
    let engines = FakeEngines::new(&[("e1", &["a"], &["a"])]);
    let fixture = Fixture::start("speeds", &engines).await;
    fixture.wait_for_directory().await;
    let speed = |endpoint: &str, incarnation| SpeedReport {
        endpoint: EndpointId::new(endpoint),
        incarnation: Incarnation(incarnation),
        event_us: 70_000,
        samples: 32,
        age_ms: 10,
    };
    let mut report = entry_report("a", "entry-1", &[], 1);
    report.speeds = vec![speed("e1", 1), speed("e1", 2), speed("e2", 1)];
    fixture.report(report).await;
    let directive = fixture.report(entry_report("a", "entry-2", &[], 1)).await;
    let [stated] = directive.speeds.as_slice() else {
        panic!("one speed is stated: {:?}", directive.speeds);
    };
    assert_eq!(stated.endpoint, EndpointId::new("e1"));
    assert_eq!(
        (stated.incarnation, stated.event_us),
        (Incarnation(1), 70_000)
    );
    let again = fixture.report(entry_report("a", "entry-2", &[], 2)).await;
    assert_eq!(again.speeds, Vec::new(), "it is known");
}
