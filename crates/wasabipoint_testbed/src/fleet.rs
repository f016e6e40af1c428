//! A running fleet.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::process::Command;

use crate::caller::Caller;
use crate::link::Link;
use crate::plan::{EngineFencing, FleetPlan};
use crate::process::{Process, StartError, program_path};

const KEY_SECRET: &str = "testbed-key-secret";
const OPERATOR_TOKEN: &str = "testbed-operator-token";

/// Bound on waiting for a condition; a fleet that does not reach it has failed.
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);

const CONDITION_PAUSE: Duration = Duration::from_millis(50);

static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// Why a fleet could not be started or operated.
#[derive(Debug)]
pub enum FleetError {
    /// A file or port could not be used.
    Io(io::Error),
    /// A process did not start.
    Start(StartError),
    /// A command of the command line failed: its exit code and output.
    Command(i32, String),
    /// A condition was not reached in time.
    Condition(String),
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
            Self::Condition(what) => write!(f, "not reached in time: {what}"),
        }
    }
}

impl std::error::Error for FleetError {}

/// A key and its public name.
#[derive(Debug, Clone)]
pub struct CallerKey {
    /// Public name, for withdrawal.
    pub id: String,
    /// The key itself.
    pub key: String,
}

/// All processes of a fleet. Dropping it kills them; its folder stays when the start or a test
/// fails.
#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    host: String,
    control_host: String,
    plan: FleetPlan,
    control_rpc: Vec<SocketAddr>,
    control_http: Vec<SocketAddr>,
    /// The weight store.
    pub store: Process,
    /// The platform list.
    pub platform: Process,
    /// Engines and services, in the order of their agents.
    pub endpoints: Vec<Process>,
    /// Control members; a member that is not running is `None`.
    pub controls: Vec<Option<Process>>,
    /// Agents, in the order of their endpoints.
    pub agents: Vec<Process>,
    /// Entry processes.
    pub entries: Vec<Process>,
    is_started: bool,
    /// Links in front of the control members, when the plan has them. Every process, also the
    /// other members, reaches a member through its link.
    pub control_links: Vec<Link>,
}

impl Fleet {
    /// Starts all processes, waits for a control leader, and applies inventory and rules.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("wasabipoint-{pid}-{number}"));
        std::fs::create_dir_all(&folder)?;
        // Each fleet has loopback addresses of its own, so that ports of parallel runs never meet.
        // Control members have one for themselves: their ports are chosen before they start, and
        // no other process may be given one of them in between.
        let network = format!("127.{}.{}", 64 + pid / 250 % 128, pid % 250);
        let host = format!("{network}.{}", 1 + number % 125);
        let control_host = format!("{network}.{}", 126 + number % 125);
        let count = plan.controls as usize;
        let mut control_rpc = reserve_ports(&control_host, 2 * count)?;
        let control_http = control_rpc.split_off(count);

        let mut store_arguments = options(&host, &[("loads-per-s", 20), ("mib-per-s", 200_000)]);
        store_arguments.extend(option("adapter-mib", 1_000));
        let store =
            Process::start(&folder, "store", "wasabipoint-fake-store", &store_arguments).await?;
        let mut platform_arguments = options(&host, &[("lag-ms", 500)]);
        for index in 0..plan.engines + plan.services {
            platform_arguments.extend(option("vm", vm_name(index)));
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
            plan,
            control_rpc,
            control_http,
            store,
            platform,
            endpoints: Vec::new(),
            controls: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            is_started: false,
            control_links: Vec::new(),
        };
        if fleet.plan.has_control_links {
            for target in &fleet.control_rpc {
                fleet
                    .control_links
                    .push(Link::start(&fleet.host, *target).await?);
            }
        }
        for index in 0..count {
            fleet.controls.push(None);
            fleet.start_control(index).await?;
        }
        fleet.write_operator_settings()?;
        fleet.apply_example().await?;
        for index in 0..fleet.plan.engines + fleet.plan.services {
            let endpoint = fleet.start_endpoint(index).await?;
            fleet.endpoints.push(endpoint);
            let agent = fleet.start_agent(index).await?;
            fleet.agents.push(agent);
        }
        for index in 0..fleet.plan.entries {
            let entry = fleet.start_entry(index).await?;
            fleet.entries.push(entry);
        }
        fleet.wait_until_entries_are_healthy().await?;
        fleet.is_started = true;
        Ok(fleet)
    }

    /// Describes the processes in one phrase.
    pub fn describe(&self) -> String {
        format!(
            "{} control, {} entry, {} agent, {} engine, {} service, 1 store and 1 platform process",
            self.controls.len(),
            self.entries.len(),
            self.agents.len(),
            self.plan.engines,
            self.plan.services,
        )
    }

    /// Terminates the daemons, kills the stand-ins, and waits for all of them.
    pub async fn stop(mut self) -> Result<(), FleetError> {
        let controls = self.controls.iter_mut().flatten();
        let daemons = self
            .entries
            .iter_mut()
            .chain(&mut self.agents)
            .chain(controls);
        for process in daemons {
            process.terminate()?;
            if !process.wait().await? {
                let what = format!("a clean end of {}", process.name());
                return Err(FleetError::Condition(what));
            }
        }
        let stand_ins = [&mut self.store, &mut self.platform];
        for process in stand_ins.into_iter().chain(&mut self.endpoints) {
            process.kill().await?;
        }
        Ok(())
    }

    /// Returns the folder of settings, data and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns a caller of an entry process.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].http_address())
    }

    /// Starts or restarts a control member on its data folder.
    pub async fn start_control(&mut self, index: usize) -> Result<(), FleetError> {
        let process = self.run_control(index, false).await?;
        self.controls[index] = Some(process);
        Ok(())
    }

    /// Starts one more control member on an empty data folder, under a new member id, and returns
    /// the id. It takes part once it was added to the cluster.
    pub async fn start_joining_control(&mut self) -> Result<u64, FleetError> {
        let index = self.controls.len();
        let mut addresses = reserve_ports(&self.control_host, 2)?;
        self.control_http.extend(addresses.pop());
        self.control_rpc.extend(addresses.pop());
        let process = self.run_control(index, true).await?;
        self.controls.push(Some(process));
        Ok(index as u64 + 1)
    }

    async fn run_control(&self, index: usize, is_joining: bool) -> Result<Process, FleetError> {
        let member = index + 1;
        let initial_member_count = self.plan.controls as usize;
        let members: Vec<String> = self
            .control_addresses()
            .iter()
            .take(initial_member_count)
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
            self.control_rpc[index],
            self.control_http[index],
            self.folder.join(format!("control-{member}")).display(),
            self.failure_domain(index),
            self.platform.http_address(),
        );
        let name = format!("control-{member}");
        self.start_daemon(&name, "wasabipoint-control", &settings)
            .await
    }

    /// Starts the endpoint of an index: engines first, then services.
    pub async fn start_endpoint(&self, index: usize) -> Result<Process, FleetError> {
        let name = endpoint_name(index);
        if index >= self.plan.engines {
            let arguments = options(&self.host, &[("call-ms", 5)]);
            return Ok(
                Process::start(&self.folder, &name, "wasabipoint-fake-service", &arguments).await?,
            );
        }
        let mut arguments = options(
            &self.host,
            &[
                ("memory-mib", self.plan.engine_memory_mib),
                ("token-ms", self.plan.engine_token_ms),
                ("load-ms", self.plan.engine_load_ms),
                ("disk-checkpoints", 4),
            ],
        );
        arguments.extend(option("store", self.store.http_address()));
        if self.plan.fencing == EngineFencing::Ignored {
            arguments.push("--ignore-fencing".to_owned());
        }
        Ok(Process::start(&self.folder, &name, "wasabipoint-fake-engine", &arguments).await?)
    }

    /// Starts the agent of an endpoint.
    pub async fn start_agent(&self, index: usize) -> Result<Process, FleetError> {
        let is_engine = index < self.plan.engines;
        let (kind, service, memory_mib) = if is_engine {
            ("engine", "none", self.plan.engine_memory_mib)
        } else {
            ("service", self.plan.service_name.as_str(), 0)
        };
        let fencing = match self.plan.fencing {
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
            join(&self.control_addresses()),
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
            join(&self.control_addresses()),
            self.failure_domain(index),
            self.plan.drain_grace_ms,
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

    /// Returns the addresses at which processes reach the control members.
    fn control_addresses(&self) -> Vec<SocketAddr> {
        if self.control_links.is_empty() {
            return self.control_rpc.clone();
        }
        self.control_links.iter().map(Link::address).collect()
    }

    fn write_operator_settings(&self) -> Result<(), FleetError> {
        let settings = format!(
            "[operator]\ncontrol = {}\noperator_token = {OPERATOR_TOKEN}\ntimeout_ms = 30000\n",
            join(&self.control_http)
        );
        Ok(std::fs::write(self.folder.join("operator.ini"), settings)?)
    }

    async fn apply_example(&self) -> Result<(), FleetError> {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let example = examples.join(&self.plan.example);
        let inventory = self.file_or(self.plan.inventory.as_deref(), &example, "inventory.ini")?;
        let rules = self.file_or(self.plan.rules.as_deref(), &example, "rules.ini")?;
        self.operate(&["inventory", "apply", &inventory.display().to_string()])
            .await?;
        self.operate(&["rules", "apply", &rules.display().to_string()])
            .await?;
        Ok(())
    }

    /// Returns the example's file, or writes the text that replaces it.
    fn file_or(
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

    /// Runs the command line with JSON output.
    pub async fn operate(&self, arguments: &[&str]) -> Result<Value, FleetError> {
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

    /// Adds a key of a customer.
    pub async fn add_key(&self, customer: &str) -> Result<CallerKey, FleetError> {
        let response = self
            .operate(&["keys", "add", "--customer", customer])
            .await?;
        let text = |field: &str| response[field].as_str().unwrap_or_default().to_owned();
        Ok(CallerKey {
            id: text("id"),
            key: text("key"),
        })
    }

    /// Returns the RPC address of a control member, without its link.
    pub fn control_rpc_address(&self, index: usize) -> SocketAddr {
        self.control_rpc[index]
    }

    /// Returns the address of a control member's operator API.
    pub fn control_address(&self, index: usize) -> SocketAddr {
        self.control_http[index]
    }

    /// Returns a caller of the operator API at one address, without following the leader.
    pub fn operator(&self, address: &str) -> Caller {
        Caller::new(address).with_key(OPERATOR_TOKEN)
    }

    /// Returns the index of the control member that leads.
    pub async fn leader(&self) -> Result<usize, FleetError> {
        let status = self.operate(&["status"]).await?;
        let member = status["leader"].as_u64().unwrap_or_default();
        usize::try_from(member)
            .ok()
            .and_then(|member| member.checked_sub(1))
            .ok_or_else(|| FleetError::Condition("a leader in the status".to_owned()))
    }

    /// Waits until a check succeeds.
    pub async fn wait_for<F, Fut>(what: &str, mut check: F) -> Result<(), FleetError>
    where
        F: FnMut() -> Fut,
        Fut: Future<Output = bool>,
    {
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        while !check().await {
            if tokio::time::Instant::now() >= deadline {
                return Err(FleetError::Condition(what.to_owned()));
            }
            tokio::time::sleep(CONDITION_PAUSE).await;
        }
        Ok(())
    }

    /// Waits until an entry process accepts a key and knows a service endpoint and a model.
    pub async fn wait_for_key(&self, entry: usize, key: &str) -> Result<(), FleetError> {
        let caller = self.caller(entry).with_key(key);
        Self::wait_for("the key in force", || async {
            caller
                .get("/v1/models")
                .await
                .is_ok_and(|response| response.status.is_success())
        })
        .await
    }

    async fn wait_until_entries_are_healthy(&self) -> Result<(), FleetError> {
        for index in 0..self.entries.len() {
            let caller = self.caller(index);
            Self::wait_for("a healthy entry process", || async {
                caller
                    .get("/healthz")
                    .await
                    .is_ok_and(|response| response.status.is_success())
            })
            .await?;
        }
        Ok(())
    }

    fn failure_domain(&self, index: usize) -> &str {
        &self.plan.failure_domains[index % self.plan.failure_domains.len()]
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if self.is_started && !std::thread::panicking() {
            // A leftover folder is no fault of the run.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Chooses free ports of the fleet's own loopback address.
fn reserve_ports(host: &str, count: usize) -> io::Result<Vec<SocketAddr>> {
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

fn option(name: &str, value: impl std::fmt::Display) -> [String; 2] {
    [format!("--{name}"), value.to_string()]
}

fn options(host: &str, values: &[(&str, u64)]) -> Vec<String> {
    let listen = option("listen", format!("{host}:0"));
    listen
        .into_iter()
        .chain(values.iter().flat_map(|(name, value)| option(name, value)))
        .collect()
}

fn join(addresses: &[SocketAddr]) -> String {
    addresses
        .iter()
        .map(SocketAddr::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}
