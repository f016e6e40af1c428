//! Randomized soak of the real programs: faults from outside come in series and overlap while
//! callers send bookings and completions. The promises are checked from what callers received and
//! what the services executed.
//!
//! CI plays one short seed. `SOAK_SEEDS=1..51 SOAK_ROUNDS=40` plays more; a failure prints its seed.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use wasabipoint_testbed::{ApiClient, ApiResponse, Fleet, FleetConfig, ProxyMode};

const ENTRIES: usize = 2;
const SERVICES: usize = 2;
const CONTROL_MEMBERS: usize = 3;

/// Rounds of faults per seed unless `SOAK_ROUNDS` is set.
const DEFAULT_ROUNDS: u32 = 6;

/// Bookings that are in flight while the faults of a round begin.
const BOOKINGS_PER_ROUND: u32 = 12;

/// A fault that begins and ends while requests are in flight.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillEntry(usize),
    TerminateEntry(usize),
    PauseEntry(usize),
    KillAgent(usize),
    PauseAgent(usize),
    KillControl(usize),
    PauseControl(usize),
    SilenceControl(usize),
    WithdrawKey,
}

/// What callers received, and the keys that were withdrawn.
#[derive(Default)]
struct Observations {
    served: BTreeSet<String>,
    not_run: BTreeSet<String>,
    withdrawn: Vec<String>,
}

impl Observations {
    /// Records the response to a booking and checks that it is the caller's own.
    fn record_booking(&mut self, number: u32, response: &ApiResponse) {
        if response.status == StatusCode::OK {
            let body = response.json();
            let path = body["path"].as_str().unwrap();
            assert!(
                path.ends_with(&format!("/{number}")),
                "booking {number}: {body}"
            );
            // An attempt after one that did not start has an id of its own, which the service names.
            let id = body["request_id"].as_str().unwrap().to_owned();
            assert!(self.served.insert(id), "booking {number}: {body}");
        } else if response.is_not_run() {
            self.not_run.extend(response.request_id.clone());
        }
    }
}

/// Returns how often each request was executed, over all services.
async fn executions(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut executions = BTreeMap::new();
    for endpoint in &fleet.endpoints {
        let service = ApiClient::new(endpoint.http_address());
        let counts = service.get("/admin/executions").await.unwrap().json();
        let Value::Object(counts) = counts else {
            continue;
        };
        for (id, count) in counts {
            *executions.entry(id).or_default() += count.as_u64().unwrap();
        }
    }
    executions
}

struct Soak {
    fleet: Fleet,
    rng: StdRng,
    observations: Observations,
    key: wasabipoint_testbed::CustomerKey,
    /// Clients of the entry processes, which keep their connections until the process is gone.
    clients: Vec<ApiClient>,
    next_booking: u32,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let config = FleetConfig::delta()
            .with_control_members(CONTROL_MEMBERS as u64)
            .with_entries(ENTRIES)
            .with_endpoints(0, SERVICES)
            .with_control_proxies();
        let fleet = Fleet::start(config).await.unwrap();
        let key = fleet.add_key("bucket-traders").await.unwrap();
        for entry in 0..ENTRIES {
            fleet.wait_for_key(entry, &key.key).await.unwrap();
        }
        let clients = (0..ENTRIES).map(|entry| fleet.client(entry)).collect();
        Self {
            fleet,
            clients,
            rng: StdRng::seed_from_u64(seed),
            observations: Observations::default(),
            key,
            next_booking: 0,
        }
    }

    fn draw_fault(&mut self) -> Fault {
        let entry = self.rng.random_range(0..ENTRIES);
        let agent = self.rng.random_range(0..SERVICES);
        let member = self.rng.random_range(0..CONTROL_MEMBERS);
        match self.rng.random_range(0..9) {
            0 => Fault::KillEntry(entry),
            1 => Fault::TerminateEntry(entry),
            2 => Fault::PauseEntry(entry),
            3 => Fault::KillAgent(agent),
            4 => Fault::PauseAgent(agent),
            5 => Fault::KillControl(member),
            6 => Fault::PauseControl(member),
            7 => Fault::SilenceControl(member),
            _ => Fault::WithdrawKey,
        }
    }

    /// Draws the faults of a round: one for each kind of process at most, so that each can end.
    fn draw_round(&mut self) -> Vec<Fault> {
        let mut faults: Vec<Fault> = Vec::new();
        let group = |fault: &Fault| match fault {
            Fault::KillEntry(_) | Fault::TerminateEntry(_) | Fault::PauseEntry(_) => 0,
            Fault::KillAgent(_) | Fault::PauseAgent(_) => 1,
            _ => 2,
        };
        for _ in 0..self.rng.random_range(1..=3) {
            let fault = self.draw_fault();
            if faults.iter().all(|known| group(known) != group(&fault)) {
                faults.push(fault);
            }
        }
        faults
    }

    async fn begin(&mut self, fault: Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillEntry(entry) => fleet.entries[entry].kill().await.unwrap(),
            Fault::TerminateEntry(entry) => fleet.entries[entry].terminate().unwrap(),
            Fault::PauseEntry(entry) => fleet.entries[entry].pause().unwrap(),
            Fault::KillAgent(agent) => fleet.agents[agent].kill().await.unwrap(),
            Fault::PauseAgent(agent) => fleet.agents[agent].pause().unwrap(),
            Fault::KillControl(member) => {
                let process = fleet.control_members[member].as_mut().unwrap();
                process.kill().await.unwrap();
            }
            Fault::PauseControl(member) => {
                fleet.control_members[member]
                    .as_ref()
                    .unwrap()
                    .pause()
                    .unwrap();
            }
            Fault::SilenceControl(member) => {
                fleet.control_proxies[member].set_mode(ProxyMode::Blackhole);
            }
            Fault::WithdrawKey => self.replace_key().await,
        }
    }

    async fn end(&mut self, fault: Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillEntry(entry) => {
                fleet.entries[entry] = fleet.start_entry(entry).await.unwrap();
                self.clients[entry] = fleet.client(entry);
            }
            Fault::TerminateEntry(entry) => {
                assert!(fleet.entries[entry].wait().await.unwrap());
                fleet.entries[entry] = fleet.start_entry(entry).await.unwrap();
                self.clients[entry] = fleet.client(entry);
            }
            Fault::PauseEntry(entry) => fleet.entries[entry].resume().unwrap(),
            Fault::KillAgent(agent) => {
                fleet.agents[agent] = fleet.start_agent(agent).await.unwrap();
            }
            Fault::PauseAgent(agent) => fleet.agents[agent].resume().unwrap(),
            Fault::KillControl(member) => fleet.start_control_member(member).await.unwrap(),
            Fault::PauseControl(member) => {
                fleet.control_members[member]
                    .as_ref()
                    .unwrap()
                    .resume()
                    .unwrap();
            }
            Fault::SilenceControl(member) => {
                fleet.control_proxies[member].set_mode(ProxyMode::BlackholeExisting);
            }
            Fault::WithdrawKey => {}
        }
    }

    /// Withdraws the key and adds another one. Both changes are resent until acknowledged.
    async fn replace_key(&mut self) {
        let change = format!("withdraw-{}", self.next_booking);
        let arguments = ["keys", "withdraw", "--change-id", &change, &self.key.id];
        while self.fleet.run_cli(&arguments).await.is_err() {}
        self.observations.withdrawn.push(self.key.key.clone());
        self.key = loop {
            if let Ok(key) = self.fleet.add_key("bucket-traders").await {
                break key;
            }
        };
    }

    /// Sends bookings while the faults of a round begin and end.
    async fn play_round(&mut self, faults: &[Fault]) {
        let mut calls = tokio::task::JoinSet::new();
        for _ in 0..BOOKINGS_PER_ROUND {
            self.next_booking += 1;
            let number = self.next_booking;
            let entry = self.rng.random_range(0..ENTRIES);
            let delay = Duration::from_millis(self.rng.random_range(0..600));
            let client = self.clients[entry].clone().with_key(&self.key.key);
            calls.spawn(async move {
                tokio::time::sleep(delay).await;
                let path = format!("/services/booking/pickups/{number}");
                (number, client.send(Method::POST, &path, &[], "{}").await)
            });
        }
        for fault in faults {
            let pause_ms = self.rng.random_range(0..200);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            self.begin(*fault).await;
        }
        let duration_ms = self.rng.random_range(100..2_500);
        tokio::time::sleep(Duration::from_millis(duration_ms)).await;
        for fault in faults {
            self.end(*fault).await;
        }
        while let Some(call) = calls.join_next().await {
            // A broken connection promises nothing about the booking.
            if let (number, Ok(response)) = call.unwrap() {
                self.observations.record_booking(number, &response);
            }
        }
    }

    /// Waits until every entry process serves again, and checks all promises.
    async fn check(&mut self) {
        for proxy in &self.fleet.control_proxies {
            proxy.set_mode(ProxyMode::Forward);
        }
        for entry in 0..ENTRIES {
            self.fleet.wait_for_key(entry, &self.key.key).await.unwrap();
            let client = self.fleet.client(entry).with_key(&self.key.key);
            Fleet::wait_for("a booking after the faults", || async {
                let path = "/services/booking/pickups/last";
                let response = client.send(Method::POST, path, &[], "{}").await;
                response.is_ok_and(|response| response.status == StatusCode::OK)
            })
            .await
            .unwrap();
            for key in &self.observations.withdrawn {
                let client = self.fleet.client(entry).with_key(key);
                Fleet::wait_for("refusal of a withdrawn key", || async {
                    let response = client.get("/v1/models").await;
                    response.is_ok_and(|response| {
                        response.error_kind().as_deref() == Some("invalid_key")
                    })
                })
                .await
                .unwrap();
            }
        }
        let executions = executions(&self.fleet).await;
        for (id, count) in &executions {
            assert_eq!(*count, 1, "request {id} was executed {count} times");
            assert!(
                !self.observations.not_run.contains(id),
                "{id} was \"not run\" and ran"
            );
        }
        for id in &self.observations.served {
            assert!(
                executions.contains_key(id),
                "{id} was served and not executed"
            );
        }
    }
}

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return vec![1];
    };
    let (first, end) = range.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    (first.parse().unwrap()..end.parse().unwrap()).collect()
}

fn rounds() -> u32 {
    let rounds = std::env::var("SOAK_ROUNDS");
    rounds.map_or(DEFAULT_ROUNDS, |rounds| rounds.parse().unwrap())
}

/// Guards against bookings that run twice, run after they were refused as not run, or get another
/// booking's response, against withdrawn keys that are in use again after a restart, and against
/// programs that do not recover, when faults come in series and overlap.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_faults_come_in_series_and_overlap() {
    for seed in seeds() {
        let mut soak = Soak::start(seed).await;
        for round in 0..rounds() {
            let faults = soak.draw_round();
            println!("seed {seed}, round {round}: {faults:?}");
            soak.play_round(&faults).await;
        }
        soak.check().await;
        println!(
            "seed {seed}: {} served, {} not run, {} keys withdrawn",
            soak.observations.served.len(),
            soak.observations.not_run.len(),
            soak.observations.withdrawn.len()
        );
    }
}
