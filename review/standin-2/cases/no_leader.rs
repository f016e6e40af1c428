//! A core machine is being replaced while the machines of the core freeze, all processes are killed and
//! one disk is lost. Afterwards all are back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Runs, Server, configuration, route, service};
use crate::fleet::{Fleet, SIGCONT, SIGSTOP, list_entry, send_signal};
use crate::http::Connection;
use crate::record::Record;

/// Time after all machines are back from which requests have to be served (`recover_s` is 12).
const RECOVER: Duration = Duration::from_secs(12);

/// Index of the machine that is added.
const ADDED: usize = 3;

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

struct Core<'r> {
    fleet: Fleet,
    record: &'r Record,
}

impl Core<'_> {
    fn signal(&self, index: usize, signal: i32) {
        let name = format!("core-{index}");
        let what = if signal == SIGSTOP {
            "freezes"
        } else {
            "wakes"
        };
        self.record.detail(&format!("{name} {what}"));
        if let Some(pid) = self.fleet.pid(&name) {
            send_signal(pid, signal);
        }
    }

    fn count(&self, index: usize, text: &str) -> usize {
        self.fleet.log_lines(&format!("core-{index}"), text).len()
    }

    /// Lets a frozen machine run until it has logged another line with a text, and a little longer.
    fn wake_until(&self, index: usize, text: &str) {
        let before = self.count(index, text);
        self.signal(index, SIGCONT);
        self.run_until(index, text, before);
    }

    /// Lets a machine run until it has logged more than some lines with a text, and a little longer, and
    /// freezes it.
    fn run_until(&self, index: usize, text: &str, before: usize) {
        let until = Instant::now() + Duration::from_millis(1_500);
        while self.count(index, text) <= before && Instant::now() < until {
            pause(1);
        }
        pause(10);
        self.signal(index, SIGSTOP);
    }

    fn kill(&mut self, index: usize) {
        self.record.line(&format!("core-{index} is killed"));
        self.fleet.kill(&format!("core-{index}"));
    }

    fn start(&mut self, index: usize, address: SocketAddr) -> Result<(), String> {
        let started = self.fleet.start_member(index, address, false);
        started.map_err(|error| error.to_string())
    }

    fn leader(&self) -> Option<usize> {
        let is_leader = |index: &usize| {
            let lines = self
                .fleet
                .log_lines(&format!("core-{index}"), "role or term changed");
            lines
                .last()
                .is_some_and(|line| line.contains("\"role\":\"Leader\""))
        };
        (0..3).find(is_leader)
    }
}

/// The added machine may be promoted a moment too early or too late for the case, which then is played
/// again.
const ATTEMPTS: u32 = 3;

pub fn run(has_trouble: bool, record: &Record) -> Result<bool, String> {
    for number in 1..=ATTEMPTS {
        record.line(&format!("attempt {number}"));
        if !play(has_trouble, record)? {
            return Ok(false);
        }
        if !has_trouble {
            break;
        }
    }
    Ok(true)
}

fn play(has_trouble: bool, record: &Record) -> Result<bool, String> {
    let error = |error: std::io::Error| error.to_string();
    let mut core = Core {
        fleet: Fleet::start(record, 1).map_err(error)?,
        record,
    };
    let server = Server {
        id: "i-b1".to_owned(),
        service: "rounds-app".to_owned(),
        work: Duration::from_millis(60),
        slots: 6,
        runs: Runs::default(),
        record: record.clone(),
    };
    let entry = list_entry("i-b1", "rounds-app", server.start().map_err(error)?, 6);
    core.fleet.listing.set(vec![entry]);
    let booking = route("booking", "/book/", "unsafe", "rounds-app", 3_000, 300);
    core.fleet
        .configure(&configuration(1, &[booking], &[service("rounds-app")], ""))?;
    pause(1_500);
    let mut addresses = core.fleet.control_http.clone();
    let added: SocketAddr = (std::net::Ipv4Addr::new(127, 0, 0, 14), addresses[0].port()).into();
    addresses.push(added);
    let leader = core.leader().ok_or("no leader is known at the start")?;
    let others: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
    let (first, second) = (others[0], others[1]);
    record.line(&format!(
        "core-{leader} leads; core-{ADDED} is added to replace a machine of the core"
    ));
    core.start(ADDED, added)?;
    let name = format!("core-{ADDED}");
    let until = Instant::now() + Duration::from_secs(10);
    while core
        .fleet
        .log_lines(&name, "\"role\":\"Learner\"")
        .is_empty()
    {
        if Instant::now() > until {
            return Err("the added machine does not join".to_owned());
        }
        pause(1);
    }
    pause(12);
    if has_trouble {
        record.line(&format!(
            "all machines of the core but core-{leader} freeze"
        ));
        for index in [first, second, ADDED] {
            core.signal(index, SIGSTOP);
        }
    }
    pause(440);
    record.line("all processes of the core are killed");
    for index in [first, second, ADDED, leader] {
        core.kill(index);
    }
    // The machine that led comes back later than the others.
    let asked_before = core.count(first, "pre-vote asked");
    for index in [second, first, ADDED] {
        core.start(index, addresses[index])?;
    }
    if has_trouble {
        pause(120);
        record.line(&format!(
            "core-{second} and core-{first} freeze and wake in turn"
        ));
        core.signal(second, SIGSTOP);
        core.run_until(first, "pre-vote asked", asked_before);
        core.wake_until(second, "pre-vote granted");
        core.wake_until(first, "\"vote asked");
        core.wake_until(second, "\"vote granted");
        core.signal(first, SIGCONT);
        pause(150);
    } else {
        pause(1_500);
    }
    record.line("all processes of the core are killed again");
    for index in [second, first, ADDED] {
        core.kill(index);
    }
    core.fleet.kill("front-0");
    if has_trouble {
        core.fleet.lose_disk(first).map_err(error)?;
    }
    for (index, address) in addresses.iter().enumerate() {
        core.start(index, *address)?;
    }
    core.fleet.restart_entry(0).map_err(error)?;
    record.line("all machines are back");
    pause(RECOVER.as_millis() as u64);
    core.fleet.control_http = addresses.clone();
    let read = core.fleet.operator("GET", "", Duration::from_secs(15));
    record.line(&format!(
        "operator: the configuration is read back with {:?}",
        read.as_ref().map(|(status, body)| (*status, body.len()))
    ));
    let address = core.fleet.entries[0].callers;
    let mut served = 0;
    for number in 0..30 {
        let id = format!("book-{number:04}");
        let headers: [(&str, &[u8]); 3] = [
            ("Host", b"app.example"),
            ("X-Request-Id", id.as_bytes()),
            ("X-Request-Deadline", b"3000"),
        ];
        let start = format!("POST /book/{number} HTTP/1.1");
        let answer = Connection::connect(address).and_then(|mut connection| {
            connection.call(&start, &headers, b"{}", Duration::from_secs(4))
        });
        let status = answer.map(|answer| answer.status());
        record.detail(&format!("client: {id} gets {status:?}"));
        served += u32::from(status.is_ok_and(|status| status == 200));
        pause(100);
    }
    record.line(&format!(
        "{served} of 30 requests were served, all sent later than 12 s after all machines are back"
    ));
    for index in 0..=ADDED {
        for line in core
            .fleet
            .log_lines(&format!("core-{index}"), "consensus: ")
        {
            let folder = core.fleet.folder.display().to_string();
            record.detail(&format!(
                "core-{index}: {}",
                line.replace(&folder, "FOLDER")
            ));
        }
    }
    Ok(read.is_ok_and(|(status, _)| status == 200) && served * 4 >= 30)
}
