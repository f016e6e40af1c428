//! A machine of the core is lost for good while it starts for the first time, and an empty one takes
//! its place at another address. See `review/4/claim.txt`.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::{Bounds, Fleet, Instance};
use crate::http::call;
use crate::plain::Plain;
use crate::record::Record;

/// How long the empty machine takes to come (replace_core, x = 2).
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// Time in which the operator sends the first configuration again and again. The core is stable
/// after 3 s (`contact_window_ms`), and `ack_ms` is 4,000.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time in which clients send bookings.
const TRAFFIC: Duration = Duration::from_secs(10);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"booking","host":"app.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":1,"service":"app","max_attempts":1,"public":true,"sticky":false,"resumable":false}],
"services":[{"name":"app","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(repository: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new(folder));
    let mut fleet = Fleet::new(repository, Bounds { fencing_required: true });
    let listener = fleet.runner_listener(1);
    fleet.platform.instances.lock().unwrap().push(Instance {
        id: "i-1".to_owned(),
        service: "app".to_owned(),
        address: listener.local_addr().expect("bound"),
        zone: "zone-1".to_owned(),
        slots: 6,
        state: "ready",
        more: String::new(),
    });
    let runner = Plain::start("i-1", 6, 6, listener, &record);
    (1..=3).for_each(|machine| fleet.start_control(machine, true));
    if has_trouble {
        fleet.lose_control(3);
        record.line("machine core-3 is lost for good while it starts");
    }
    (1..=2).for_each(|machine| fleet.start_entry(machine));
    std::thread::sleep(REPLACED_AFTER);
    if has_trouble {
        fleet.replace_control(3, 9);
        record.line("an empty machine core-9 starts at another address, all settings name it");
    }
    let started = Instant::now();
    let acknowledged = fleet.put_config(CONFIG, PATIENCE);
    let waited = started.elapsed().as_millis();
    record.line(&format!("the first configuration, after {waited} ms: {acknowledged:?}"));
    let (mut sent, mut served) = (0, 0);
    let end = Instant::now() + TRAFFIC;
    while Instant::now() < end {
        sent += 1;
        let id = format!("{sent:016x}");
        let headers =
            [("Host", "app.example"), ("X-Request-Id", id.as_str()), ("X-Request-Deadline", "3000")];
        let entry = fleet.entry_address(1 + (sent % 2) as u8);
        let line = "POST /book/30 HTTP/1.1";
        let answer = call(entry, line, &headers, b"", Duration::from_millis(3_500));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("booking {id}, answer {status}"));
        served += usize::from(status == 200);
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.stop();
    let runs = runner.runs.lock().unwrap().len();
    let summary = format!(
        "first configuration acknowledged: {} (after {waited} ms); {sent} bookings, {served} served, \
         {runs} runs",
        acknowledged.is_ok()
    );
    record.line(&summary);
    println!("{summary}");
    i32::from(served == 0)
}
