//! Start and stop of a control member.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use wasabipoint_consensus::{Replica, ReplicaConfig, ReplicaStatus, StartError};
use wasabipoint_http::{HttpHandler, HttpServer, HttpServerHandle};
use wasabipoint_kernel::{ErrorKind, KeyDigester, MemberId, Settings};

use crate::addresses::AddressBook;
use crate::api::OperatorApi;
use crate::control::Control;
use crate::deployment::DeploymentStore;
use crate::directory::{EndpointDirectory, poll_directory};
use crate::engines::{EngineCommander, run_engine_planner};
use crate::identity::MemberIdentity;
use crate::leader_state::SilenceBounds;
use crate::machine::ControlMachine;
use crate::member::Member;
use crate::membership::keep_membership;
use crate::metrics::ControlMetrics;
use crate::peer::PeerTransport;
use crate::placement::run_placement;
use crate::platform::poll_platform;
use crate::rpc::serve_rpc;
use crate::state::RateAllowance;

/// Resolved settings of a control member.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Name of the cluster.
    pub cluster: String,
    /// This member.
    pub member: MemberId,
    /// Rpc addresses of the first members, as this member reaches them.
    pub members: BTreeMap<MemberId, SocketAddr>,
    /// Whether this member joins an existing cluster as a learner.
    pub is_joining: bool,
    /// Whether members found each other, so that what a member tells of its own address goes
    /// before `members`. Addresses that an operator sets stay in force.
    pub is_discovered: bool,
    /// Address for entry, agent and control processes.
    pub rpc_listen: SocketAddr,
    /// Address of the operator API and of metrics.
    pub http_listen: SocketAddr,
    /// Folder of the replicated log and snapshots.
    pub data_folder: PathBuf,
    /// Failure domain of this VM.
    pub failure_domain: String,
    /// Secret of the keyed digest of callers' keys.
    pub key_secret: String,
    /// Bearer token of the operator API.
    pub operator_token: String,
    /// URL of the platform's list of VMs.
    pub platform_list: Option<String>,
    /// Consensus tick.
    pub tick_ms: u64,
    /// Log entries between snapshots.
    pub snapshot_entries: u64,
    /// Lifetime of a quota slice at an entry.
    pub slice_lifetime_ms: u64,
    /// Silence of an agent after which its grants are in doubt.
    pub agent_silence: Duration,
    /// Time in doubt after which a replica may be replaced.
    pub replace_after: Duration,
}

impl ControlConfig {
    /// Builds the configuration of a member that found its identity by itself.
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
            is_discovered: true,
            rpc_listen,
            http_listen,
            data_folder: settings.path("data_folder"),
            failure_domain: settings.text("failure_domain").to_owned(),
            key_secret: String::new(),
            operator_token: format!("{:032x}", rand::random::<u128>()),
            platform_list: None,
            tick_ms: 50,
            snapshot_entries: 512,
            slice_lifetime_ms: 5_000,
            agent_silence: Duration::from_secs(5),
            replace_after: Duration::from_secs(10),
        }
    }

    /// Takes the values of the section `[control]`.
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
            is_discovered: false,
            rpc_listen: settings.address("rpc_listen"),
            http_listen: settings.address("http_listen"),
            data_folder: settings.path("data_folder"),
            failure_domain: settings.text("failure_domain").to_owned(),
            key_secret: settings.text("key_secret").to_owned(),
            operator_token: settings.text("operator_token").to_owned(),
            platform_list: (platform_list != "none").then(|| platform_list.to_owned()),
            tick_ms: settings.integer("tick_ms"),
            snapshot_entries: settings.integer("snapshot_entries"),
            slice_lifetime_ms: settings.integer("slice_lifetime_ms"),
            agent_silence: settings.duration_ms("agent_silence_ms"),
            replace_after: settings.duration_ms("replace_after_ms"),
        }
    }
}

/// Why a control member cannot start.
#[derive(Debug)]
pub enum ControlStartError {
    /// An address cannot be bound.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The replica cannot start.
    Replica(StartError),
}

impl ControlStartError {
    /// Returns the kind, which selects the exit code.
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

/// What a deployment on a platform adds to a member.
pub struct Deployed {
    /// List of endpoints.
    pub directory: Arc<dyn EndpointDirectory>,
    /// Sender of commands to engines.
    pub commander: Arc<dyn EngineCommander>,
    /// Time after an election in which the predecessor's commands may still arrive.
    pub command_lease: Duration,
    /// What customers may use beyond rate and burst.
    pub rate_allowance: RateAllowance,
    /// Builds the operators' interface over the configuration and the product's own interface.
    pub operator_api: fn(DeploymentStore, Arc<dyn HttpHandler>) -> Arc<dyn HttpHandler>,
}

/// A running control member.
pub struct ControlServer {
    control: Arc<Control>,
    http: HttpServerHandle,
    tasks: JoinSet<()>,
}

impl ControlServer {
    /// Binds the addresses of the settings and starts the member.
    pub async fn start(config: ControlConfig, logger: Logger) -> Result<Self, ControlStartError> {
        let address = config.rpc_listen;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| ControlStartError::Listen { address, error })?;
        Self::start_on(config, listener, logger).await
    }

    /// Starts the member on a bound rpc listener.
    pub async fn start_on(
        config: ControlConfig,
        listener: TcpListener,
        logger: Logger,
    ) -> Result<Self, ControlStartError> {
        Self::start_deployed(config, listener, logger, None).await
    }

    /// Starts a member of a deployment on a platform.
    pub async fn start_deployed(
        config: ControlConfig,
        listener: TcpListener,
        logger: Logger,
        deployed: Option<Deployed>,
    ) -> Result<Self, ControlStartError> {
        let listen_error = |address| move |error| ControlStartError::Listen { address, error };
        let bound_rpc = listener
            .local_addr()
            .map_err(listen_error(config.rpc_listen))?;
        let http = HttpServer::new(config.http_listen).map_err(listen_error(config.http_listen))?;
        let bound_http = http
            .local_address()
            .map_err(listen_error(config.http_listen))?;
        let own = config.members.get(&config.member).copied();
        // A member that found the others by itself may have moved since its first start.
        let own = own.filter(|own| own.port() != 0 && !config.is_discovered);
        let rpc_address = own.unwrap_or(bound_rpc);
        // A wildcard address is of no use to others; the member's rpc address is reachable.
        let http_address = if bound_http.ip().is_unspecified() {
            SocketAddr::new(rpc_address.ip(), bound_http.port())
        } else {
            bound_http
        };

        let machine = Arc::new(Mutex::new(ControlMachine::new()));
        let transport = Arc::new(PeerTransport::new(
            &config.cluster,
            config.member,
            rpc_address,
            AddressBook::new(config.members.clone(), !config.is_discovered),
            logger.clone(),
        ));
        let replica = Replica::start(
            ReplicaConfig {
                cluster: config.cluster.clone(),
                member: config.member,
                initial_members: config.members.keys().copied().collect(),
                is_joining: config.is_joining,
                data_folder: config.data_folder.clone(),
                tick_ms: config.tick_ms,
                snapshot_entries: config.snapshot_entries,
            },
            Arc::clone(&machine) as _,
            Arc::clone(&transport) as _,
            logger.clone(),
        )
        .await
        .map_err(ControlStartError::Replica)?;
        let control = Arc::new(Control {
            member: Member::new(config.member, replica, machine, Arc::clone(&transport)),
            metrics: ControlMetrics::new(),
            logger,
            wake_placement: tokio::sync::Notify::new(),
            wake_engines: tokio::sync::Notify::new(),
            commander: deployed.as_ref().map(|d| Arc::clone(&d.commander)),
            slice_lifetime_ms: config.slice_lifetime_ms,
            rate_allowance: deployed
                .as_ref()
                .map(|d| d.rate_allowance)
                .unwrap_or_default(),
            silence_bounds: SilenceBounds {
                in_doubt: config.agent_silence,
                replace_after: config.replace_after,
            },
            key_digester: KeyDigester::new(&config.key_secret),
            key_secret: config.key_secret,
            operator_token: config.operator_token,
            rpc_address,
            http_address,
            failure_domain: config.failure_domain,
            leader_state: Mutex::new(None),
        });
        let mut tasks = JoinSet::new();
        let cluster = Arc::from(config.cluster.as_str());
        tasks.spawn(serve_rpc(Arc::clone(&control), cluster, listener));
        tasks.spawn(run_placement(Arc::clone(&control)));
        tasks.spawn(follow_addresses(Arc::clone(&control), transport));
        if let Some(url) = config.platform_list {
            tasks.spawn(poll_platform(Arc::clone(&control), url));
        }
        let mut api: Arc<dyn HttpHandler> = Arc::new(OperatorApi::new(Arc::clone(&control)));
        if let Some(deployed) = deployed {
            let (directory, commander) = (deployed.directory, deployed.commander);
            tasks.spawn(poll_directory(Arc::clone(&control), directory));
            tasks.spawn(run_engine_planner(
                Arc::clone(&control),
                commander,
                deployed.command_lease,
            ));
            tasks.spawn(keep_membership(Arc::clone(&control)));
            let store = DeploymentStore::new(Arc::clone(&control));
            api = (deployed.operator_api)(store, api);
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

    /// Returns the rpc address that is advertised to other processes.
    pub fn rpc_address(&self) -> SocketAddr {
        self.control.rpc_address
    }

    /// Returns the bound HTTP address.
    pub fn http_address(&self) -> SocketAddr {
        self.control.http_address
    }

    /// Returns the status of the replica.
    pub fn replica_status(&self) -> ReplicaStatus {
        self.control.member.replica().status()
    }

    /// Waits until the replica stops by itself, which follows a fault of its disk.
    pub async fn wait_until_stopped(&self) {
        let mut status = self.control.member.replica().watch_status();
        // An error means that the replica is gone, which is the same.
        let _ = status.wait_for(|status| status.is_stopped).await;
    }

    /// Returns access to the complete configuration through this member.
    pub fn deployments(&self) -> DeploymentStore {
        DeploymentStore::new(Arc::clone(&self.control))
    }

    /// Tells whether the other members refuse this one, so that it can only join anew.
    pub fn is_refused(&self) -> bool {
        self.control.member.replica().status().is_refused
    }

    /// Leaves the membership before a stop, if the other members bear as many losses without this
    /// one: one of four that is stopped for good would cost them the next loss. A member that comes
    /// back is refused and joins anew.
    pub async fn leave_if_spare(&self) {
        self.control.leave_if_spare().await;
    }

    /// Closes the ports and then the data folder.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
        self.http.stop().await;
        self.control.member.replica().clone().stop().await;
        info!(self.control.logger, "control: stopped");
    }
}

/// Pause between looks at the addresses while entries are applied; addresses change rarely.
const ADDRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Tells the transport the addresses of members that joined: those of the configuration in force,
/// which need no applied entry, and those that members announced as leaders.
async fn follow_addresses(control: Arc<Control>, transport: Arc<PeerTransport>) {
    let mut status = control.member.replica().watch_status();
    loop {
        let mut addresses = control.member.read(|state| {
            let announced = state.members.iter();
            let announced = announced.map(|(member, known)| (*member, known.rpc));
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
        tokio::time::sleep(ADDRESS_INTERVAL).await;
    }
}

fn configured_addresses(status: &ReplicaStatus) -> impl Iterator<Item = (MemberId, SocketAddr)> {
    let members = status.members.iter();
    members.filter_map(|known| Some((known.member, known.address?)))
}
