//! Starts and operates a fleet of real processes and fakes.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::process::Command;

use crate::client::ApiClient;
use crate::config::{EngineFencing, FleetConfig};
use crate::process::{Process, StartError, program_path};
use crate::proxy::TcpProxy;

const KEY_SECRET: &str = "testbed-key-secret";
const OPERATOR_TOKEN: &str = "testbed-operator-token";

/// Time within which a condition must be met.
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause between two checks of a condition.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(50);

static NEXT_FLEET_NUMBER: AtomicU32 = AtomicU32::new(0);

/// An error while starting or operating a fleet.
#[derive(Debug)]
pub enum FleetError {
    /// A file or port could not be used.
    Io(io::Error),
    /// A process did not start.
    Start(StartError),
    /// A command of the `wasabipoint` program failed. Holds its exit code and standard error.
    Command(i32, String),
    /// A condition was not met, or not in time. Holds its description.
    ConditionNotMet(String),
}

impl From<io::Error> for FleetError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<StartError> for FleetError {
    fn from(error: StartError) -> Self {
        Self::Start(error)
    }
}

impl std::fmt::Display for FleetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Start(error) => write!(f, "{error}"),
            Self::Command(code, output) => write!(f, "exit code {code}: {output}"),
            Self::ConditionNotMet(condition) => write!(f, "condition not met: {condition}"),
        }
    }
}

impl std::error::Error for FleetError {}

/// A key of a customer.
#[derive(Debug, Clone)]
pub struct CustomerKey {
    /// Public identifier, as used for withdrawal.
    pub id: String,
    /// The secret that authenticates requests.
    pub key: String,
}

/// All processes of a fleet. Dropping it kills them. Its folder is kept when the start or a test
/// fails.
#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    host: String,
    control_host: String,
    config: FleetConfig,
    control_rpc_addresses: Vec<SocketAddr>,
    control_http_addresses: Vec<SocketAddr>,
    /// The fake weight store.
    pub store: Process,
    /// The fake platform, which lists VMs.
    pub platform: Process,
    /// Engines and services, in the order of their agents.
    pub endpoints: Vec<Process>,
    /// Control members. `None` stands for a member that is not running.
    pub control_members: Vec<Option<Process>>,
    /// Agents, in the order of their endpoints.
    pub agents: Vec<Process>,
    /// Entry processes.
    pub entries: Vec<Process>,
    is_started: bool,
    /// Proxies in front of the control members, if configured. Every process, including the other
    /// members, reaches a member through its proxy.
    pub control_proxies: Vec<TcpProxy>,
}

impl Fleet {
    /// Starts all processes, waits for a control leader, applies inventory and rules, and waits
    /// until the entry processes are healthy.
    pub async fn start(config: FleetConfig) -> Result<Self, FleetError> {
        let fleet_number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("wasabipoint-{pid}-{fleet_number}"));
        std::fs::create_dir_all(&folder)?;
        // Each fleet has its own loopback addresses, so that the ports of parallel runs cannot
        // collide. Control members have a separate address: their ports are chosen before they
        // start, and no other process may bind one of them in between.
        let loopback_network = format!("127.{}.{}", 64 + pid / 250 % 128, pid % 250);
        let host = format!("{loopback_network}.{}", 1 + fleet_number % 125);
        let control_host = format!("{loopback_network}.{}", 126 + fleet_number % 125);
        let member_count = config.control_members as usize;
        let mut control_rpc_addresses = find_free_addresses(&control_host, 2 * member_count)?;
        let control_http_addresses = control_rpc_addresses.split_off(member_count);

        let mut store_arguments =
            cli_options(&host, &[("loads-per-s", 20), ("mib-per-s", 200_000)]);
        store_arguments.extend(cli_option("adapter-mib", 1_000));
        let store =
            Process::start(&folder, "store", "wasabipoint-fake-store", &store_arguments).await?;
        let mut platform_arguments = cli_options(&host, &[("lag-ms", 500)]);
        for index in 0..config.engines + config.services {
            platform_arguments.extend(cli_option("vm", vm_name(index)));
        }
        let platform = Process::start(
            &folder,
            "platform",
            "wasabipoint-fake-platform",
            &platform_arguments,
        )
        .await?;
        let mut fleet = Self {
            folder,
            host,
            control_host,
            config,
            control_rpc_addresses,
            control_http_addresses,
            store,
            platform,
            endpoints: Vec::new(),
            control_members: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            is_started: false,
            control_proxies: Vec::new(),
        };
        if fleet.config.has_control_proxies {
            for target in &fleet.control_rpc_addresses {
                fleet
                    .control_proxies
                    .push(TcpProxy::start(&fleet.host, *target).await?);
            }
        }
        for index in 0..member_count {
            fleet.control_members.push(None);
            fleet.start_control_member(index).await?;
        }
        fleet.write_operator_settings()?;
        fleet.apply_example_config().await?;
        for index in 0..fleet.config.engines + fleet.config.services {
            let endpoint = fleet.start_endpoint(index).await?;
            fleet.endpoints.push(endpoint);
            let agent = fleet.start_agent(index).await?;
            fleet.agents.push(agent);
        }
        for index in 0..fleet.config.entries {
            let entry = fleet.start_entry(index).await?;
            fleet.entries.push(entry);
        }
        fleet.wait_for_healthy_entries().await?;
        fleet.is_started = true;
        Ok(fleet)
    }

    /// Returns a one-line summary of the processes.
    pub fn describe(&self) -> String {
        format!(
            "{} control, {} entry, {} agent, {} engine, {} service, 1 store and 1 platform process",
            self.control_members.len(),
            self.entries.len(),
            self.agents.len(),
            self.config.engines,
            self.config.services,
        )
    }

    /// Terminates the daemons, kills the fakes, and waits for all of them to exit.
    pub async fn stop(mut self) -> Result<(), FleetError> {
        let control_members = self.control_members.iter_mut().flatten();
        let daemons = self
            .entries
            .iter_mut()
            .chain(&mut self.agents)
            .chain(control_members);
        for process in daemons {
            process.terminate()?;
            if !process.wait().await? {
                let condition = format!("a clean exit of {}", process.name());
                return Err(FleetError::ConditionNotMet(condition));
            }
        }
        let fakes = [&mut self.store, &mut self.platform];
        for process in fakes.into_iter().chain(&mut self.endpoints) {
            process.kill().await?;
        }
        Ok(())
    }

    /// Returns the folder that holds settings, data and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns a client of an entry process.
    pub fn client(&self, entry: usize) -> ApiClient {
        ApiClient::new(self.entries[entry].http_address())
    }

    /// Starts or restarts a control member with its existing data folder.
    pub async fn start_control_member(&mut self, index: usize) -> Result<(), FleetError> {
        let process = self.spawn_control_member(index, false).await?;
        self.control_members[index] = Some(process);
        Ok(())
    }

    /// Starts an additional control member with an empty data folder and returns its new member id.
    /// It participates once it is added to the cluster.
    pub async fn start_joining_control_member(&mut self) -> Result<u64, FleetError> {
        let index = self.control_members.len();
        let mut addresses = find_free_addresses(&self.control_host, 2)?;
        self.control_http_addresses.extend(addresses.pop());
        self.control_rpc_addresses.extend(addresses.pop());
        let process = self.spawn_control_member(index, true).await?;
        self.control_members.push(Some(process));
        Ok(index as u64 + 1)
    }

    async fn spawn_control_member(
        &self,
        index: usize,
        is_joining: bool,
    ) -> Result<Process, FleetError> {
        let member = index + 1;
        let initial_members = self.config.control_members as usize;
        let members: Vec<String> = self
            .control_addresses()
            .iter()
            .take(initial_members)
            .enumerate()
            .map(|(index, address)| format!("{}={address}", index + 1))
            .collect();
        let settings = format!(
            "[control]\ncluster = testbed\nmember = {member}\nmembers = {}\njoin = {}\n\
             rpc_listen = {}\nhttp_listen = {}\ndata_folder = {}\nfailure_domain = {}\n\
             key_secret = {KEY_SECRET}\noperator_token = {OPERATOR_TOKEN}\n\
             platform_list = http://{}/vms\ntick_ms = 20\nsnapshot_entries = 200\n\
             agent_silence_ms = 1500\nreplace_after_ms = 1500\n",
            members.join(", "),
            if is_joining { "yes" } else { "no" },
            self.control_rpc_addresses[index],
            self.control_http_addresses[index],
            self.folder.join(format!("control-{member}")).display(),
            self.failure_domain(index),
            self.platform.http_address(),
        );
        let name = format!("control-{member}");
        self.start_daemon(&name, "wasabipoint-control", &settings)
            .await
    }

    /// Starts the endpoint with the given index. Engines come first, then services.
    pub async fn start_endpoint(&self, index: usize) -> Result<Process, FleetError> {
        let name = endpoint_name(index);
        if index >= self.config.engines {
            let arguments = cli_options(&self.host, &[("call-ms", 5)]);
            return Ok(
                Process::start(&self.folder, &name, "wasabipoint-fake-service", &arguments).await?,
            );
        }
        let mut arguments = cli_options(
            &self.host,
            &[
                ("memory-mib", self.config.engine_memory_mib),
                ("token-ms", self.config.engine_token_ms),
                ("load-ms", self.config.engine_load_ms),
                ("disk-checkpoints", 4),
            ],
        );
        arguments.extend(cli_option("store", self.store.http_address()));
        if self.config.fencing == EngineFencing::Ignored {
            arguments.push("--ignore-fencing".to_owned());
        }
        Ok(Process::start(&self.folder, &name, "wasabipoint-fake-engine", &arguments).await?)
    }

    /// Starts the agent of an endpoint.
    pub async fn start_agent(&self, index: usize) -> Result<Process, FleetError> {
        let is_engine = index < self.config.engines;
        let (kind, service, memory_mib) = if is_engine {
            ("engine", "none", self.config.engine_memory_mib)
        } else {
            ("service", self.config.service_name.as_str(), 0)
        };
        let fencing = match self.config.fencing {
            EngineFencing::Checked => "checked",
            EngineFencing::Ignored => "ignored",
        };
        let settings = format!(
            "[agent]\nendpoint = {}\nvm = {}\nfailure_domain = {}\nkind = {kind}\n\
             service = {service}\nendpoint_address = {}\nlisten = {}:0\ncontrol = {}\n\
             fencing = {fencing}\nmemory_mib = {memory_mib}\nkv_reserve_mib = {}\n\
             accelerators = {}\npredecessor_wait_ms = 200\n",
            endpoint_name(index),
            vm_name(index),
            self.failure_domain(index),
            self.endpoints[index].http_address(),
            self.host,
            join_addresses(&self.control_addresses()),
            memory_mib / 10,
            if is_engine { 8 } else { 0 },
        );
        self.start_daemon(&format!("agent-{index}"), "wasabipoint-agent", &settings)
            .await
    }

    /// Starts an entry process.
    pub async fn start_entry(&self, index: usize) -> Result<Process, FleetError> {
        let settings = format!(
            "[entry]\nentry = entry-{index}\nlisten = {}:0\ncontrol = {}\nfailure_domain = {}\n\
             key_secret = {KEY_SECRET}\noperator_token = {OPERATOR_TOKEN}\ndrain_grace_ms = {}\n\
             freshness_bound_ms = 3000\n",
            self.host,
            join_addresses(&self.control_addresses()),
            self.failure_domain(index),
            self.config.drain_grace_ms,
        );
        self.start_daemon(&format!("entry-{index}"), "wasabipoint-entry", &settings)
            .await
    }

    async fn start_daemon(
        &self,
        name: &str,
        program: &str,
        settings: &str,
    ) -> Result<Process, FleetError> {
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, settings)?;
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        Ok(Process::start(&self.folder, name, program, &arguments).await?)
    }

    /// Returns the addresses at which processes reach the control members: their proxies, if any.
    fn control_addresses(&self) -> Vec<SocketAddr> {
        if self.control_proxies.is_empty() {
            return self.control_rpc_addresses.clone();
        }
        self.control_proxies.iter().map(TcpProxy::address).collect()
    }

    fn write_operator_settings(&self) -> Result<(), FleetError> {
        let settings = format!(
            "[operator]\ncontrol = {}\noperator_token = {OPERATOR_TOKEN}\ntimeout_ms = 30000\n",
            join_addresses(&self.control_http_addresses)
        );
        Ok(std::fs::write(self.folder.join("operator.ini"), settings)?)
    }

    async fn apply_example_config(&self) -> Result<(), FleetError> {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let example = examples.join(&self.config.example);
        let inventory = self.example_file_or_override(
            self.config.inventory.as_deref(),
            &example,
            "inventory.ini",
        )?;
        let rules =
            self.example_file_or_override(self.config.rules.as_deref(), &example, "rules.ini")?;
        self.run_cli(&["inventory", "apply", &inventory.display().to_string()])
            .await?;
        self.run_cli(&["rules", "apply", &rules.display().to_string()])
            .await?;
        Ok(())
    }

    /// Returns the path of a file of the example, or writes its replacement and returns that path.
    fn example_file_or_override(
        &self,
        text: Option<&str>,
        example: &Path,
        name: &str,
    ) -> Result<PathBuf, FleetError> {
        let Some(text) = text else {
            return Ok(example.join(name));
        };
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Runs a command of the `wasabipoint` program and returns its JSON output.
    pub async fn run_cli(&self, arguments: &[&str]) -> Result<Value, FleetError> {
        let settings = self.folder.join("operator.ini");
        let output = Command::new(program_path("wasabipoint")?)
            .arg("--settings")
            .arg(settings)
            .arg("--json")
            .args(arguments)
            .kill_on_drop(true)
            .output()
            .await?;
        if !output.status.success() {
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(FleetError::Command(
                output.status.code().unwrap_or(-1),
                text,
            ));
        }
        Ok(serde_json::from_slice(&output.stdout).unwrap_or(Value::Null))
    }

    /// Adds a key for a customer.
    pub async fn add_key(&self, customer: &str) -> Result<CustomerKey, FleetError> {
        let response = self
            .run_cli(&["keys", "add", "--customer", customer])
            .await?;
        let text = |field: &str| response[field].as_str().unwrap_or_default().to_owned();
        Ok(CustomerKey {
            id: text("id"),
            key: text("key"),
        })
    }

    /// Returns the RPC address of a control member itself, not of its proxy.
    pub fn control_rpc_address(&self, index: usize) -> SocketAddr {
        self.control_rpc_addresses[index]
    }

    /// Returns the operator API address of a control member.
    pub fn operator_api_address(&self, index: usize) -> SocketAddr {
        self.control_http_addresses[index]
    }

    /// Returns a client of the operator API of one control member. It does not follow the leader.
    pub fn operator_client(&self, address: &str) -> ApiClient {
        ApiClient::new(address).with_key(OPERATOR_TOKEN)
    }

    /// Returns the index of the control member that is the leader.
    pub async fn leader_index(&self) -> Result<usize, FleetError> {
        let status = self.run_cli(&["status"]).await?;
        let member = status["leader"].as_u64().unwrap_or_default();
        usize::try_from(member)
            .ok()
            .and_then(|member| member.checked_sub(1))
            .ok_or_else(|| FleetError::ConditionNotMet("a leader in the cluster status".to_owned()))
    }

    /// Polls a check until it succeeds or `CONDITION_TIMEOUT` has passed.
    pub async fn wait_for<F, Fut>(condition: &str, mut check: F) -> Result<(), FleetError>
    where
        F: FnMut() -> Fut,
        Fut: Future<Output = bool>,
    {
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        while !check().await {
            if tokio::time::Instant::now() >= deadline {
                return Err(FleetError::ConditionNotMet(condition.to_owned()));
            }
            tokio::time::sleep(CONDITION_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until an entry process accepts a key.
    pub async fn wait_for_key(&self, entry: usize, key: &str) -> Result<(), FleetError> {
        let client = self.client(entry).with_key(key);
        Self::wait_for("acceptance of the key by an entry process", || async {
            client
                .get("/v1/models")
                .await
                .is_ok_and(|response| response.status.is_success())
        })
        .await
    }

    async fn wait_for_healthy_entries(&self) -> Result<(), FleetError> {
        for index in 0..self.entries.len() {
            let client = self.client(index);
            Self::wait_for("a healthy entry process", || async {
                client
                    .get("/healthz")
                    .await
                    .is_ok_and(|response| response.status.is_success())
            })
            .await?;
        }
        Ok(())
    }

    fn failure_domain(&self, index: usize) -> &str {
        &self.config.failure_domains[index % self.config.failure_domains.len()]
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if self.is_started && !std::thread::panicking() {
            // A folder that cannot be removed does not affect the result of the run.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds free ports of a loopback address and returns them with the address. The ports are not kept
/// bound.
fn find_free_addresses(host: &str, count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((host, 0)))
        .collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

fn endpoint_name(index: usize) -> String {
    format!("endpoint-{index}")
}

fn vm_name(index: usize) -> String {
    format!("vm-{index}")
}

fn cli_option(name: &str, value: impl std::fmt::Display) -> [String; 2] {
    [format!("--{name}"), value.to_string()]
}

/// Returns a `--listen` option with an ephemeral port of `host`, followed by the given options.
fn cli_options(host: &str, values: &[(&str, u64)]) -> Vec<String> {
    let listen = cli_option("listen", format!("{host}:0"));
    listen
        .into_iter()
        .chain(
            values
                .iter()
                .flat_map(|(name, value)| cli_option(name, value)),
        )
        .collect()
}

fn join_addresses(addresses: &[SocketAddr]) -> String {
    addresses
        .iter()
        .map(SocketAddr::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}
