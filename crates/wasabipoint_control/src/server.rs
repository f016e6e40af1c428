//! Configuration, startup and shutdown of a control member.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wasabipoint_consensus::{Replica, ReplicaConfig, ReplicaStatus, StartError};
use wasabipoint_http::{HttpHandler, HttpServer, HttpServerHandle};
use wasabipoint_kernel::{ErrorKind, KeyDigester, MemberId, Settings};
use wasabipoint_policy::ColdMargins;

use crate::addresses::AddressBook;
use crate::api::OperatorApi;
use crate::context::ControlContext;
use crate::deployment::DeploymentStore;
use crate::directory::{EndpointDirectory, poll_directory};
use crate::domains::DomainStore;
use crate::engines::{EngineCommander, run_engine_planner};
use crate::first_start::FirstStart;
use crate::identity::MemberIdentity;
use crate::leader_state::SilenceBounds;
use crate::member::Member;
use crate::membership::maintain_membership;
use crate::metrics::ControlMetrics;
use crate::peer::PeerTransport;
use crate::placement::run_placement;
use crate::platform::poll_platform;
use crate::quarantine::run_quarantine;
use crate::rpc::serve_rpc;
use crate::state::RateAllowance;
use crate::state_machine::ControlStateMachine;
use crate::stores::OperatorStores;

/// Size of log entries between snapshots of a member on a platform. With the entries that are kept
/// behind a snapshot and those in flight, the old and the new log fit on a disk of 128 MB.
const SNAPSHOT_LOG_BYTES: u64 = 8 * 1_024 * 1_024;

/// Configuration of a control member.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Name of the cluster. Messages from members of other clusters are dropped.
    pub cluster: String,
    /// Id of this member.
    pub member: MemberId,
    /// RPC addresses of the initial members, as seen from this member.
    pub members: BTreeMap<MemberId, SocketAddr>,
    /// Whether this member joins an existing cluster as a learner.
    pub is_joining: bool,
    /// Whether the members discovered each other, so that an address that a member advertises takes
    /// precedence over `members`. Otherwise `members` was set by an operator and takes precedence.
    pub uses_discovery: bool,
    /// Listen address for RPC from entry, agent and control processes.
    pub rpc_listen: SocketAddr,
    /// Listen address of the operator API and of the metrics.
    pub http_listen: SocketAddr,
    /// Folder of the replicated log and snapshots.
    pub data_folder: PathBuf,
    /// Failure domain of this VM.
    pub failure_domain: String,
    /// Secret for the keyed digests of caller keys.
    pub key_secret: String,
    /// Bearer token of the operator API.
    pub operator_token: String,
    /// URL of the platform's list of VMs, if it has one.
    pub platform_list: Option<String>,
    /// Interval of the consensus clock.
    pub tick_ms: u64,
    /// Number of log entries between snapshots.
    pub snapshot_entries: u64,
    /// Size of log entries between snapshots in bytes, if they reach it before their number.
    pub snapshot_log_bytes: u64,
    /// Lifetime of a quota slice that an entry holds.
    pub slice_lifetime_ms: u64,
    /// Silence of an agent after which its grants are in doubt.
    pub agent_silence: Duration,
    /// Time for which grants are in doubt before their replica may be replaced.
    pub replace_after: Duration,
}

impl ControlConfig {
    /// Builds the configuration of a member that resolved its identity on a platform.
    pub fn for_platform(
        settings: &Settings,
        identity: &MemberIdentity,
        rpc_listen: SocketAddr,
        http_listen: SocketAddr,
    ) -> Self {
        Self {
            cluster: "platform".to_owned(),
            member: identity.member,
            members: identity.members.clone(),
            is_joining: identity.is_joining,
            uses_discovery: true,
            rpc_listen,
            http_listen,
            data_folder: settings.path("data_folder"),
            failure_domain: settings.text("failure_domain").to_owned(),
            key_secret: String::new(),
            operator_token: format!("{:032x}", rand::random::<u128>()),
            platform_list: None,
            tick_ms: 50,
            snapshot_entries: 512,
            snapshot_log_bytes: SNAPSHOT_LOG_BYTES,
            slice_lifetime_ms: 5_000,
            agent_silence: Duration::from_secs(5),
            replace_after: Duration::from_secs(10),
        }
    }

    /// Reads the configuration from the section `[control]`.
    pub fn from_settings(settings: &Settings) -> Self {
        let platform_list = settings.text("platform_list");
        let members = settings.members("members").into_iter();
        Self {
            cluster: settings.text("cluster").to_owned(),
            member: MemberId(settings.integer("member")),
            members: members
                .map(|(member, address)| (MemberId(member), address))
                .collect(),
            is_joining: settings.flag("join"),
            uses_discovery: false,
            rpc_listen: settings.address("rpc_listen"),
            http_listen: settings.address("http_listen"),
            data_folder: settings.path("data_folder"),
            failure_domain: settings.text("failure_domain").to_owned(),
            key_secret: settings.text("key_secret").to_owned(),
            operator_token: settings.text("operator_token").to_owned(),
            platform_list: (platform_list != "none").then(|| platform_list.to_owned()),
            tick_ms: settings.integer("tick_ms"),
            snapshot_entries: settings.integer("snapshot_entries"),
            snapshot_log_bytes: settings.integer("snapshot_log_kb") * 1_024,
            slice_lifetime_ms: settings.integer("slice_lifetime_ms"),
            agent_silence: settings.duration_ms("agent_silence_ms"),
            replace_after: settings.duration_ms("replace_after_ms"),
        }
    }

    fn replica_config(&self) -> ReplicaConfig {
        ReplicaConfig {
            cluster: self.cluster.clone(),
            member: self.member,
            initial_members: self.members.keys().copied().collect(),
            is_joining: self.is_joining,
            data_folder: self.data_folder.clone(),
            tick_ms: self.tick_ms,
            snapshot_entries: self.snapshot_entries,
            snapshot_log_bytes: self.snapshot_log_bytes,
        }
    }
}

/// Error that prevents a control member from starting.
#[derive(Debug)]
pub enum ControlStartError {
    /// A listen address cannot be bound.
    Listen {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The replica cannot start.
    Replica(StartError),
}

impl ControlStartError {
    /// Returns the error kind, which determines the exit code.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Listen { .. } => ErrorKind::Unavailable,
            Self::Replica(StartError::InvalidConfig { .. }) => ErrorKind::InvalidConfiguration,
            Self::Replica(_) => ErrorKind::DataFolderUnusable,
        }
    }
}

impl fmt::Display for ControlStartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, error } => write!(f, "cannot listen on {address}: {error}"),
            Self::Replica(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ControlStartError {}

/// Platform services and settings of a member that is deployed on a platform.
pub struct PlatformIntegration {
    /// Source of the endpoints.
    pub directory: Arc<dyn EndpointDirectory>,
    /// Sends commands to engines.
    pub commander: Arc<dyn EngineCommander>,
    /// Time after an election during which commands of the previous leader may still arrive.
    pub command_lease: Duration,
    /// Tokens that customers may use beyond rate and burst.
    pub rate_allowance: RateAllowance,
    /// Margins of the bound on arrivals at cold endpoints.
    pub cold_margins: ColdMargins,
    /// RPC addresses of control members that the platform names now.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Builds the HTTP handler for operators from the stores of the member and the built-in operator
    /// API.
    pub build_operator_api: fn(OperatorStores, Arc<dyn HttpHandler>) -> Arc<dyn HttpHandler>,
}

/// A running control member.
pub struct ControlServer {
    control: Arc<ControlContext>,
    http: HttpServerHandle,
    tasks: JoinSet<()>,
}

impl ControlServer {
    /// Binds the configured addresses and starts the member.
    pub async fn start(config: ControlConfig, logger: Logger) -> Result<Self, ControlStartError> {
        let address = config.rpc_listen;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| ControlStartError::Listen { address, error })?;
        Self::start_on_listener(config, listener, logger).await
    }

    /// Starts the member on an already bound RPC listener.
    pub async fn start_on_listener(
        config: ControlConfig,
        listener: TcpListener,
        logger: Logger,
    ) -> Result<Self, ControlStartError> {
        Self::start_with_integration(config, listener, logger, None).await
    }

    /// Starts the member with the services of a platform, if any, on an already bound RPC listener.
    pub async fn start_with_integration(
        config: ControlConfig,
        listener: TcpListener,
        logger: Logger,
        integration: Option<PlatformIntegration>,
    ) -> Result<Self, ControlStartError> {
        let listen_error = |address| move |error| ControlStartError::Listen { address, error };
        let bound_rpc = listener
            .local_addr()
            .map_err(listen_error(config.rpc_listen))?;
        let http = HttpServer::new(config.http_listen).map_err(listen_error(config.http_listen))?;
        let bound_http = http
            .local_address()
            .map_err(listen_error(config.http_listen))?;
        let configured_rpc = config.members.get(&config.member).copied();
        // A member that uses discovery may have moved since its first start, so its configured
        // address may be outdated.
        let configured_rpc = configured_rpc
            .filter(|configured_rpc| configured_rpc.port() != 0 && !config.uses_discovery);
        let rpc_address = configured_rpc.unwrap_or(bound_rpc);
        let http_address = reachable_address(bound_http, rpc_address);
        let machine = Arc::new(Mutex::new(ControlStateMachine::new()));
        let transport = Arc::new(PeerTransport::new(
            &config.cluster,
            config.member,
            rpc_address,
            AddressBook::new(config.members.clone(), !config.uses_discovery),
            logger.clone(),
        ));
        let replica = Replica::start(
            config.replica_config(),
            Arc::clone(&machine) as _,
            Arc::clone(&transport) as _,
            logger.clone(),
        )
        .await
        .map_err(ControlStartError::Replica)?;
        let seeds = integration.as_ref().map(|platform| platform.seeds.clone());
        let control = Arc::new(ControlContext {
            member: Member::new(config.member, replica, machine, Arc::clone(&transport)),
            metrics: ControlMetrics::new(),
            logger,
            wake_placement: tokio::sync::Notify::new(),
            wake_engine_planner: tokio::sync::Notify::new(),
            wake_quarantine: tokio::sync::Notify::new(),
            commander: integration
                .as_ref()
                .map(|platform| Arc::clone(&platform.commander)),
            slice_lifetime_ms: config.slice_lifetime_ms,
            rate_allowance: integration
                .as_ref()
                .map(|platform| platform.rate_allowance)
                .unwrap_or_default(),
            cold_margins: integration
                .as_ref()
                .map(|platform| platform.cold_margins)
                .unwrap_or_default(),
            silence_bounds: SilenceBounds {
                in_doubt_after: config.agent_silence,
                replace_after: config.replace_after,
            },
            key_digester: KeyDigester::new(&config.key_secret),
            key_secret: config.key_secret,
            operator_token: config.operator_token,
            rpc_address,
            http_address,
            failure_domain: config.failure_domain,
            leader_state: Mutex::new(None),
            first_start: FirstStart::new(&config.members, seeds),
        });
        let mut tasks = JoinSet::new();
        let cluster = Arc::from(config.cluster.as_str());
        tasks.spawn(serve_rpc(Arc::clone(&control), cluster, listener));
        tasks.spawn(run_placement(Arc::clone(&control)));
        tasks.spawn(sync_peer_addresses(Arc::clone(&control), transport));
        if let Some(url) = config.platform_list {
            tasks.spawn(poll_platform(Arc::clone(&control), url));
        }
        let mut api: Arc<dyn HttpHandler> = Arc::new(OperatorApi::new(Arc::clone(&control)));
        if let Some(integration) = integration {
            let (directory, commander) = (integration.directory, integration.commander);
            tasks.spawn(poll_directory(Arc::clone(&control), directory));
            tasks.spawn(run_quarantine(Arc::clone(&control), Arc::clone(&commander)));
            tasks.spawn(run_engine_planner(
                Arc::clone(&control),
                commander,
                integration.command_lease,
            ));
            tasks.spawn(maintain_membership(Arc::clone(&control)));
            let stores = OperatorStores {
                deployment: DeploymentStore::new(Arc::clone(&control)),
                domains: DomainStore::new(Arc::clone(&control)),
            };
            api = (integration.build_operator_api)(stores, api);
        }
        let handle = http.serve(api).await.map_err(listen_error(bound_http))?;
        info!(control.logger, "control: ready"; "member" => config.member.0,
            "rpc" => %bound_rpc, "http" => %bound_http);
        Ok(Self {
            control,
            http: handle,
            tasks,
        })
    }

    /// Returns the RPC address advertised to other processes.
    pub fn rpc_address(&self) -> SocketAddr {
        self.control.rpc_address
    }

    /// Returns the HTTP address advertised to other members.
    pub fn http_address(&self) -> SocketAddr {
        self.control.http_address
    }

    /// Returns the status of the replica.
    pub fn replica_status(&self) -> ReplicaStatus {
        self.control.member.replica().status()
    }

    /// Waits until the replica stops by itself, which happens after a disk error or when the other
    /// members refuse it.
    pub async fn wait_until_stopped(&self) {
        let mut status = self.control.member.replica().watch_status();
        // A closed channel means that the replica has stopped as well.
        let _ = status.wait_for(|status| status.is_stopped).await;
    }

    /// Returns the configuration store, accessed through this member.
    pub fn deployment_store(&self) -> DeploymentStore {
        DeploymentStore::new(Arc::clone(&self.control))
    }

    /// Returns the store of failure domains that are out of service, accessed through this member.
    pub fn domain_store(&self) -> DomainStore {
        DomainStore::new(Arc::clone(&self.control))
    }

    /// Returns whether the other members refuse this one, so that it can only rejoin under a new
    /// id.
    pub fn is_refused_by_peers(&self) -> bool {
        self.control.member.replica().status().is_refused_by_peers
    }

    /// Leaves the membership before a stop, if that does not reduce the number of tolerated losses.
    /// If one of four voters stops for good without leaving, the next loss costs the quorum. A
    /// member that left and restarts is refused and joins under a new id.
    pub async fn leave_if_redundant(&self) {
        self.control.leave_if_redundant().await;
    }

    /// Stops the services, then the replica.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
        self.http.stop().await;
        self.control.member.replica().clone().stop().await;
        info!(self.control.logger, "control: stopped");
    }
}

/// Minimum interval between updates of the peer addresses, which change rarely.
const ADDRESS_SYNC_DELAY: Duration = Duration::from_millis(200);

/// Passes replicated member addresses to the transport: those in the membership configuration,
/// which are known before any entry is applied, and those in the applied state, which take lower
/// precedence.
async fn sync_peer_addresses(control: Arc<ControlContext>, transport: Arc<PeerTransport>) {
    let mut status = control.member.replica().watch_status();
    loop {
        let mut addresses = control.member.read(|state| {
            let announced = state.members.iter();
            let announced = announced.map(|(member, known)| (*member, known.rpc_address));
            announced.collect::<BTreeMap<_, _>>()
        });
        let applied = {
            let status = status.borrow_and_update();
            addresses.extend(configured_addresses(&status));
            status.applied_index
        };
        transport.set_replicated(addresses.clone());
        let is_known = |(member, address)| addresses.get(&member) == Some(&address);
        let changed = status.wait_for(|status| {
            status.applied_index > applied || !configured_addresses(status).all(is_known)
        });
        if changed.await.is_err() {
            return;
        }
        tokio::time::sleep(ADDRESS_SYNC_DELAY).await;
    }
}

fn configured_addresses(status: &ReplicaStatus) -> impl Iterator<Item = (MemberId, SocketAddr)> {
    let members = status.members.iter();
    members.filter_map(|known| Some((known.member, known.address?)))
}

/// Returns the address at which other members reach a listener. They cannot connect to a wildcard
/// address, but the RPC address is reachable.
fn reachable_address(bound: SocketAddr, rpc_address: SocketAddr) -> SocketAddr {
    if bound.ip().is_unspecified() {
        SocketAddr::new(rpc_address.ip(), bound.port())
    } else {
        bound
    }
}
