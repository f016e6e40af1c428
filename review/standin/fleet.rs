//! The processes of a small deployment, the platform's list of instances and the operator.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, call, encode};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;

/// Ids of the processes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_started() {
    for id in STARTED.lock().unwrap().iter() {
        // SAFETY: `kill` has no memory effects; the process was not waited for, so the id is its own.
        unsafe { kill(*id as i32, SIGKILL) };
    }
}

const CONTROLS: u8 = 3;
const RETRY: Duration = Duration::from_millis(200);

/// A runner in the platform's list.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub state: &'static str,
    /// More fields of the entry, as JSON members that begin with a comma.
    pub more: String,
}

/// The platform's list. `foreign` holds entries of other writers, byte for byte.
#[derive(Default)]
pub struct Platform {
    pub instances: Mutex<Vec<Instance>>,
    pub foreign: Mutex<Vec<Vec<u8>>>,
}

impl Platform {
    fn page(&self) -> Vec<u8> {
        let mut entries = self.foreign.lock().unwrap().clone();
        for i in self.instances.lock().unwrap().iter() {
            entries.push(
                format!(
                    r#"{{"id":"{}","service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{}","cold_remaining_ms":0,"born":1790000000000{}}}"#,
                    i.id, i.service, i.address, i.zone, i.slots, i.state, i.more
                )
                .into_bytes(),
            );
        }
        let mut page = br#"{"instances":["#.to_vec();
        page.extend(entries.join(&b","[..]));
        page.extend(br#"],"next":null}"#);
        page
    }
}

/// Answers every request on a listener in a thread of its own for each connection.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = Reader::new(copy);
                while let Ok(Some(request)) = reader.read() {
                    if std::io::Write::write_all(&mut &stream, &answer(&request)).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

pub struct Fleet {
    repository: PathBuf,
    pub folder: PathBuf,
    network: u8,
    control_port: u16,
    rpc_port: u16,
    front_port: u16,
    ready_port: u16,
    bounds: Bounds,
    pub platform: Arc<Platform>,
    platform_address: SocketAddr,
    processes: Vec<(String, Child)>,
    /// Hosts of the three seeds.
    seeds: [u8; 3],
}

/// The bounds of the sheet that the settings carry.
pub struct Bounds {
    pub fencing_required: bool,
}

impl Fleet {
    /// Chooses addresses, and starts the platform's list.
    pub fn new(repository: &Path, bounds: Bounds) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("wasabipoint-review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let network = 10 + (pid % 200) as u8;
        let port = |used: &[u16]| {
            loop {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
                let port = listener.local_addr().expect("bound").port();
                let is_free = (1..=9).all(|host| {
                    TcpListener::bind((Ipv4Addr::new(127, network, 0, host), port)).is_ok()
                });
                if is_free && !used.contains(&port) {
                    return port;
                }
            }
        };
        let control_port = port(&[]);
        let rpc_port = port(&[control_port]);
        let front_port = port(&[control_port, rpc_port]);
        let ready_port = port(&[control_port, rpc_port, front_port]);
        let platform = Arc::new(Platform::default());
        let listener = TcpListener::bind((Ipv4Addr::new(127, network, 1, 1), 0)).expect("bind");
        let platform_address = listener.local_addr().expect("bound");
        let list = Arc::clone(&platform);
        serve(listener, move |_| {
            encode("HTTP/1.1 200 OK", &[("Content-Type", "application/json")], &list.page())
        });
        Self {
            repository: repository.to_owned(),
            folder,
            network,
            control_port,
            rpc_port,
            front_port,
            ready_port,
            bounds,
            platform,
            platform_address,
            processes: Vec::new(),
            seeds: [1, 2, 3],
        }
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 0, host)
    }

    /// An address for a runner.
    pub fn runner_listener(&self, host: u8) -> TcpListener {
        TcpListener::bind((Ipv4Addr::new(127, self.network, 2, host), 0)).expect("bind")
    }

    fn seeds(&self) -> String {
        let seeds = self.seeds.map(|host| format!("{}:{}", self.ip(host), self.control_port));
        seeds.join(",")
    }

    /// Starts the control process of a machine (1 to 3, or 9 for a new one).
    pub fn start_control(&mut self, machine: u8, is_first: bool) {
        let settings = self.control_settings(machine, is_first);
        self.start(&format!("core-{machine}"), "wasabipoint-platform-control", &settings);
    }

    /// The settings of the template of a control process.
    fn control_settings(&self, machine: u8, is_first: bool) -> String {
        let lease = if self.bounds.fencing_required { 0 } else { 3_000 };
        format!(
            "[control]\nnode = core-{machine}\nfailure_domain = zone-{machine}\nseeds = {}\n\
             rpc_port = {}\nhttp_listen = {}:{}\nfirst_start = {}\ndata_folder = {}\n\
             directory = {}\ncommand_lease_ms = {lease}\nquota_window_s = 8\n\
             quota_overshoot = 0.1\nquota_slack = 7500\n",
            self.seeds(),
            self.rpc_port,
            self.ip(machine),
            self.control_port,
            if is_first { "yes" } else { "no" },
            self.folder.join(format!("data-{machine}")).display(),
            self.platform_address,
        )
    }

    /// Starts the entry process of a machine (1 to 4).
    pub fn start_entry(&mut self, machine: u8) {
        let settings = self.entry_settings(machine);
        self.start(&format!("front-{machine}"), "wasabipoint-platform-entry", &settings);
    }

    /// The settings of the template of an entry process.
    fn entry_settings(&self, machine: u8) -> String {
        format!(
            "[entry]\nnode = front-{machine}\nfailure_domain = zone-{machine}\nseeds = {}\n\
             rpc_port = {}\nlisten = {}\nstatus_listen = {}:{}\ngrace_s = 8\n",
            self.seeds(),
            self.rpc_port,
            self.entry_address(machine),
            self.ip(CONTROLS + machine),
            self.ready_port,
        )
    }

    /// Loses a machine of the core for good.
    pub fn lose_control(&mut self, machine: u8) {
        let name = format!("core-{machine}");
        let at = self.processes.iter().position(|(n, _)| *n == name).expect("it was started");
        let (_, mut child) = self.processes.remove(at);
        let _ = child.kill();
        STARTED.lock().unwrap().retain(|id| *id != child.id());
        let _ = child.wait();
    }

    /// Adds an empty machine in the place of a lost one, at another address, and tells it to all, as
    /// the platform does: the settings name the new seed, and the processes get SIGHUP.
    pub fn replace_control(&mut self, lost: u8, new: u8) {
        for seed in self.seeds.iter_mut().filter(|seed| **seed == lost) {
            *seed = new;
        }
        for (name, child) in &self.processes {
            let (role, machine) = name.split_once('-').expect("a role and a number");
            let machine = machine.parse().expect("a number");
            let settings = match role {
                "core" => self.control_settings(machine, false),
                _ => self.entry_settings(machine),
            };
            let path = self.folder.join(format!("{name}.conf"));
            fs::write(&path, settings).expect("settings are written");
            // SAFETY: `kill` has no memory effects; the child was not waited for.
            unsafe { kill(child.id() as i32, SIGHUP) };
        }
        self.start_control(new, false);
    }

    pub fn entry_address(&self, machine: u8) -> SocketAddr {
        (self.ip(CONTROLS + machine), self.front_port).into()
    }

    fn start(&mut self, name: &str, program: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("settings are written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        let child = Command::new(self.repository.join("target/release").join(program))
            .current_dir(&self.repository)
            .env("WASABIPOINT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                self.processes.push((name.to_owned(), child));
            }
            Err(error) => {
                eprintln!("cannot start {program}: {error}; build the deploy file first");
                self.stop();
                std::process::exit(2);
            }
        }
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn put_config(&self, config: &str, limit: Duration) -> Result<(), String> {
        let deadline = Instant::now() + limit;
        let mut turn = 0;
        let mut machine = self.seeds[turn];
        let mut address = SocketAddr::from((self.ip(machine), self.control_port));
        let mut last = String::new();
        while Instant::now() < deadline {
            let answer = call(
                address,
                "PUT /api/config HTTP/1.1",
                &[("Host", "control"), ("Content-Type", "application/json")],
                config.as_bytes(),
                Duration::from_secs(1),
            );
            match answer {
                Ok(answer) if answer.status() == 200 => return Ok(()),
                Ok(answer) if answer.status() == 307 => {
                    let location = answer.header("location").unwrap_or_default();
                    let host = location.trim_start_matches("http://").split('/').next();
                    if let Some(leader) = host.and_then(|host| host.parse().ok()) {
                        address = leader;
                        continue;
                    }
                }
                Ok(answer) => last = answer.first_line,
                Err(error) => last = error.to_string(),
            }
            turn = (turn + 1) % self.seeds.len();
            machine = self.seeds[turn];
            address = (self.ip(machine), self.control_port).into();
            std::thread::sleep(RETRY);
        }
        Err(last)
    }

    /// Waits until an entry process says that it is ready.
    pub fn wait_ready(&self, machine: u8, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let address = (self.ip(CONTROLS + machine), self.ready_port).into();
        while Instant::now() < deadline {
            let line = "GET /api/ready HTTP/1.1";
            let answer = call(address, line, &[("Host", "front")], b"", Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(RETRY);
        }
        false
    }

    /// Ends all processes and removes the folder.
    pub fn stop(&mut self) {
        kill_started();
        let mut started = STARTED.lock().unwrap();
        for (_, child) in &mut self.processes {
            let _ = child.wait();
        }
        started.clear();
        drop(started);
        self.processes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}
