//! Starts and ends the programs of the deploy file, and the stand-in of the platform's list.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Connection};
use crate::record::Record;

pub const CONTROL_PROGRAM: &str = "target/release/wasabipoint-platform-control";
pub const ENTRY_PROGRAM: &str = "target/release/wasabipoint-platform-entry";

/// Settings of a small deployment (`ndfbta-rounds`) that a process gets from its template.
const GRACE_S: u32 = 8;

/// The platform's list of servers: the entries of one page, as JSON.
#[derive(Clone, Default)]
pub struct Listing(Arc<Mutex<Vec<String>>>);

impl Listing {
    pub fn set(&self, entries: Vec<String>) {
        *self.0.lock().unwrap() = entries;
    }
}

/// The processes of a case. Ends them when dropped.
pub struct Fleet {
    pub folder: PathBuf,
    pub control_http: Vec<SocketAddr>,
    pub entries: Vec<Entry>,
    pub listing: Listing,
    children: Vec<(String, Child)>,
    record: Record,
    seeds: String,
    rpc_port: u16,
    platform: SocketAddr,
}

#[derive(Clone, Copy)]
pub struct Entry {
    pub callers: SocketAddr,
    pub status: SocketAddr,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a port that is free on all of the addresses.
fn free_port(addresses: &[IpAddr]) -> io::Result<u16> {
    for _ in 0..50 {
        let probe = TcpListener::bind((addresses[0], 0))?;
        let port = probe.local_addr()?.port();
        let others = &addresses[1..];
        if others
            .iter()
            .all(|ip| TcpListener::bind((*ip, port)).is_ok())
        {
            return Ok(port);
        }
    }
    Err(io::Error::other("no port is free on all addresses"))
}

/// Starts the stand-in of the platform's list.
fn start_platform(listing: Listing) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    Ok(http::serve(listener, move |mut connection: Connection| {
        while connection.read_message().is_ok() {
            let entries = listing.0.lock().unwrap().join(",");
            let page = format!("{{\"instances\":[{entries}],\"next\":null}}");
            let headers: [(&str, &[u8]); 1] = [("content-type", b"application/json")];
            if connection
                .write("HTTP/1.1 200 OK", &headers, page.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }))
}

impl Fleet {
    /// Starts three control members and some entry processes.
    pub fn start(record: &Record, entry_count: usize) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let listing = Listing::default();
        let platform = start_platform(listing.clone())?;
        let cores: Vec<IpAddr> = (11..14_u8)
            .map(|last| Ipv4Addr::new(127, 0, 0, last).into())
            .collect();
        // A machine that is added later has the next address.
        let mut addresses = cores.clone();
        addresses.push(Ipv4Addr::new(127, 0, 0, 14).into());
        let (rpc_port, http_port) = (free_port(&addresses)?, free_port(&addresses)?);
        let control_http: Vec<SocketAddr> =
            cores.iter().map(|ip| (*ip, http_port).into()).collect();
        let seeds: Vec<String> = control_http.iter().map(SocketAddr::to_string).collect();
        let seeds = seeds.join(",");
        let mut fleet = Self {
            folder: folder.clone(),
            control_http: control_http.clone(),
            entries: Vec::new(),
            listing,
            children: Vec::new(),
            record: record.clone(),
            seeds: seeds.clone(),
            rpc_port,
            platform,
        };
        for (index, address) in control_http.iter().enumerate() {
            fleet.start_member(index, *address, true)?;
        }
        for index in 0..entry_count {
            let ip: IpAddr = Ipv4Addr::new(127, 0, 0, 31 + index as u8).into();
            let entry = Entry {
                callers: (ip, free_port(&[ip])?).into(),
                status: (ip, free_port(&[ip])?).into(),
            };
            let settings = format!(
                "[entry]\nnode = front-{index}\nfailure_domain = tanta\nseeds = {seeds}\n\
                 rpc_port = {rpc_port}\nlisten = {}\nstatus_listen = {}\ngrace_s = {GRACE_S}\n\
                 regions = tanta=delta\n",
                entry.callers, entry.status
            );
            fleet.spawn(&format!("front-{index}"), ENTRY_PROGRAM, &settings)?;
            fleet.entries.push(entry);
        }
        Ok(fleet)
    }

    /// Starts a control member. A new machine has an empty disk and joins, unless it is the first start
    /// of the system.
    pub fn start_member(
        &mut self,
        index: usize,
        address: SocketAddr,
        is_first_start: bool,
    ) -> io::Result<()> {
        let data = self.folder.join(format!("core-{index}"));
        fs::create_dir_all(&data)?;
        let settings = format!(
            "[control]\nnode = core-{index}\nfailure_domain = tanta\nseeds = {}\n\
             rpc_port = {}\nhttp_listen = {address}\nfirst_start = {}\n\
             data_folder = {}\ndirectory = {}\ncommand_lease_ms = 0\n\
             quota_window_s = 8\nquota_overshoot = 0.1\nquota_slack = 7500\n\
             cold_over =\ncold_slack =\n",
            self.seeds,
            self.rpc_port,
            if is_first_start { "yes" } else { "no" },
            data.display(),
            self.platform
        );
        self.spawn(&format!("core-{index}"), CONTROL_PROGRAM, &settings)
    }

    /// Starts an entry process again with its settings.
    pub fn restart_entry(&mut self, index: usize) -> io::Result<()> {
        let name = format!("front-{index}");
        let settings = fs::read_to_string(self.folder.join(format!("{name}.ini")))?;
        self.spawn(&name, ENTRY_PROGRAM, &settings)
    }

    /// Empties the disk of a control member that does not run.
    pub fn lose_disk(&self, index: usize) -> io::Result<()> {
        self.record.line(&format!("core-{index} loses its disk"));
        fs::remove_dir_all(self.folder.join(format!("core-{index}")))
    }

    /// Returns lines of a process's log that contain a text.
    pub fn log_lines(&self, name: &str, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    fn spawn(&mut self, name: &str, program: &str, settings: &str) -> io::Result<()> {
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{name}.log"));
        let output = fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("WASABIPOINT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        self.record.line(&format!("started {name}: {program}"));
        self.children.retain(|(known, _)| known != name);
        self.children.push((name.to_owned(), child));
        Ok(())
    }

    pub fn pid(&self, name: &str) -> Option<u32> {
        let found = self.children.iter().find(|(known, _)| known == name);
        found.map(|(_, child)| child.id())
    }

    pub fn kill(&mut self, name: &str) {
        if let Some((_, child)) = self.children.iter_mut().find(|(known, _)| known == name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the resident memory of a process in KB.
    pub fn memory_kb(&self, name: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid(name)?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Sends a call of the operator to the members in turn until one answers it clearly.
    pub fn operator(
        &self,
        method: &str,
        body: &str,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), String> {
        let until = Instant::now() + limit;
        let mut last = String::new();
        let mut member = 0;
        while Instant::now() < until {
            let mut address = self.control_http[member % self.control_http.len()];
            member += 1;
            for _ in 0..3 {
                let start = format!("{method} /api/config HTTP/1.1");
                let host = address.to_string();
                let headers: [(&str, &[u8]); 2] = [
                    ("host", host.as_bytes()),
                    ("content-type", b"application/json"),
                ];
                let answered = Connection::connect(address).and_then(|mut connection| {
                    connection.call(
                        &start,
                        &headers,
                        body.as_bytes(),
                        Duration::from_millis(1_500),
                    )
                });
                match answered {
                    Ok(answer) if answer.status() == 307 => {
                        let to = answer.header("location").unwrap_or_default();
                        let to = to
                            .trim_start_matches("http://")
                            .split('/')
                            .next()
                            .unwrap_or("")
                            .to_owned();
                        match to.parse() {
                            Ok(to) => address = to,
                            Err(_) => break,
                        }
                    }
                    Ok(answer) if answer.status() < 500 => {
                        return Ok((answer.status(), answer.body));
                    }
                    Ok(answer) => {
                        last = format!("status {}", answer.status());
                        break;
                    }
                    Err(error) => {
                        last = error.to_string();
                        break;
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("no clear answer to the operator: {last}"))
    }

    /// Applies a configuration and waits until all entry processes are ready.
    pub fn configure(&self, configuration: &str) -> Result<(), String> {
        let (status, body) = self.operator("PUT", configuration, Duration::from_secs(20))?;
        self.record
            .line(&format!("operator: configuration sent, answer {status}"));
        if status != 200 {
            return Err(format!(
                "the configuration was refused: {}",
                String::from_utf8_lossy(&body)
            ));
        }
        let until = Instant::now() + Duration::from_secs(10);
        for entry in &self.entries {
            while !is_ready(entry.status, Duration::from_secs(1)) {
                if Instant::now() > until {
                    return Err("an entry process is not ready".to_owned());
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Sends a signal to a process that this program started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: the call takes two numbers and has no other effect on this process.
    unsafe { kill(pid as i32, signal) };
}

/// Processor time of all threads of a process in microseconds.
fn processor_time_us(pid: u32) -> u64 {
    let threads = fs::read_dir(format!("/proc/{pid}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let times = threads.filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    times.sum::<u64>() / 1_000
}

/// Gives a process a share of a core as DEPLOY.md describes it for a quota: full speed until the quota
/// of a tenth of a second is used up, then nothing for the rest of it.
pub fn limit_processor(
    pid: u32,
    share: f64,
    is_over: Arc<std::sync::atomic::AtomicBool>,
) -> std::thread::JoinHandle<()> {
    const PERIOD: Duration = Duration::from_millis(100);
    std::thread::spawn(move || {
        let quota_us = (PERIOD.as_micros() as f64 * share) as u64;
        while !is_over.load(std::sync::atomic::Ordering::Relaxed) {
            let (begun, used) = (Instant::now(), processor_time_us(pid));
            let mut is_stopped = false;
            while begun.elapsed() < PERIOD {
                if !is_stopped && processor_time_us(pid) - used >= quota_us {
                    send_signal(pid, SIGSTOP);
                    is_stopped = true;
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            if is_stopped {
                send_signal(pid, SIGCONT);
            }
        }
    })
}

/// Asks for the readiness of an entry process as the platform does.
pub fn is_ready(status: SocketAddr, limit: Duration) -> bool {
    let answered = Connection::connect(status).and_then(|mut connection| {
        connection.call(
            "GET /api/ready HTTP/1.1",
            &[("host", b"status")],
            b"",
            limit,
        )
    });
    answered.is_ok_and(|answer| answer.status() == 200)
}

/// Returns a complete entry of the platform's list.
pub fn list_entry(id: &str, service: &str, address: SocketAddr, slots: u32) -> String {
    format!(
        "{{\"id\":\"{id}\",\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"tanta\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"born\":1790000000000}}"
    )
}
