//! An invalid configuration is sent: two routes share a host and a prefix, and the host is written in
//! capitals in one of them. See `review/5/claim.txt`.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Bounds, Fleet, Instance};
use crate::http::call;
use crate::plain::Plain;
use crate::record::Record;

const HOST: &str = "bays.example";
const SAME_HOST: &str = "Bays.example";
const BOOKINGS: usize = 20;

fn route(name: &str, host: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{host}","path_prefix":"/book/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":1,"service":"{service}","max_attempts":1,"public":true,"sticky":false,"resumable":false}}"#
    )
}

fn config(version: u32, routes: &[String]) -> String {
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"ledger","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},{{"name":"archive","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

pub fn run(repository: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new(folder));
    let mut fleet = Fleet::new(repository, Bounds { fencing_required: true });
    let runners: Vec<Arc<Plain>> = ["ledger", "archive"]
        .iter()
        .zip(1..)
        .map(|(service, number)| {
            let listener = fleet.runner_listener(number);
            let id = format!("i-{service}");
            fleet.platform.instances.lock().unwrap().push(Instance {
                id: id.clone(),
                service: (*service).to_owned(),
                address: listener.local_addr().expect("bound"),
                zone: "zone-1".to_owned(),
                slots: 6,
                state: "ready",
                more: String::new(),
            });
            Plain::start(&id, 6, 6, listener, &record)
        })
        .collect();
    (1..=3).for_each(|machine| fleet.start_control(machine, true));
    (1..=2).for_each(|machine| fleet.start_entry(machine));
    let first = route("r-ledger", HOST, "ledger");
    let is_up = fleet.put_config(&config(1, &[first.clone()]), Duration::from_secs(20)).is_ok()
        && fleet.wait_ready(1, Duration::from_secs(10))
        && fleet.wait_ready(2, Duration::from_secs(10));
    if !is_up {
        record.line("the deployment did not start");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(2));
    book(&fleet, &record, HOST);
    let mut is_invalid_acknowledged = false;
    if has_trouble {
        let second = route("r-archive", SAME_HOST, "archive");
        match fleet.put_config(&config(2, &[first, second]), Duration::from_secs(5)) {
            Ok(()) => {
                is_invalid_acknowledged = true;
                record.line("CONFIG: configuration 2, which is invalid, is acknowledged");
            }
            Err(error) => record.line(&format!("configuration 2 is refused: {error}")),
        }
        std::thread::sleep(Duration::from_secs(4));
    }
    book(&fleet, &record, HOST);
    let before = runs(&runners[0]);
    if is_invalid_acknowledged {
        book(&fleet, &record, SAME_HOST);
    }
    let foreign = runs(&runners[0]) - before;
    fleet.stop();
    let summary = format!(
        "invalid configuration acknowledged: {is_invalid_acknowledged}; bookings for the route to \
         the archive that the ledger ran: {foreign}, that the archive ran: {}",
        runs(&runners[1])
    );
    record.line(&summary);
    println!("{summary}");
    i32::from(is_invalid_acknowledged)
}

fn runs(runner: &Plain) -> usize {
    runner.runs.lock().unwrap().len()
}

fn book(fleet: &Fleet, record: &Record, host: &str) {
    let now = record.now_ms();
    for number in 0..BOOKINGS {
        let id = format!("{now:08x}{number:08x}");
        let headers =
            [("Host", host), ("X-Request-Id", id.as_str()), ("X-Request-Deadline", "3000")];
        let entry = fleet.entry_address(1 + (number % 2) as u8);
        let line = "POST /book/30 HTTP/1.1";
        let answer = call(entry, line, &headers, b"", Duration::from_millis(3_500));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("booking {id} for {host}, answer {status}"));
    }
}
