//! An entry of the platform's list that comes from another writer and lacks fields.

use std::sync::Arc;
use std::time::Duration;

use super::{Runs, Server, configuration, route, service};
use crate::fleet::{Fleet, list_entry};
use crate::http::Connection;
use crate::record::Record;

/// Requests of each route.
const REQUESTS: usize = 60;

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(60);

pub fn run(has_trouble: bool, record: &Record) -> Result<bool, String> {
    let error = |error: std::io::Error| error.to_string();
    let fleet = Fleet::start(record, 1).map_err(error)?;
    let runs = Runs::default();
    let start = |id: &str, service: &str| {
        Server {
            id: id.to_owned(),
            service: service.to_owned(),
            work: Duration::from_millis(60),
            slots: 6,
            runs: Arc::clone(&runs),
            record: record.clone(),
        }
        .start()
    };
    let booking = [
        start("i-b1", "rounds-app").map_err(error)?,
        start("i-b2", "rounds-app").map_err(error)?,
    ];
    let stock = [
        start("i-s1", "stock-app").map_err(error)?,
        start("i-s2", "stock-app").map_err(error)?,
    ];
    let mut entries = vec![
        list_entry("i-b1", "rounds-app", booking[0], 6),
        list_entry("i-b2", "rounds-app", booking[1], 6),
        list_entry("i-s1", "stock-app", stock[0], 6),
        list_entry("i-s2", "stock-app", stock[1], 6),
    ];
    fleet.listing.set(entries.clone());
    fleet.configure(&configuration(
        1,
        &[
            route("booking", "/book/", "unsafe", "rounds-app", 3_000, 300),
            route("stock", "/stock/", "safe", "stock-app", 3_000, 300),
        ],
        &[service("rounds-app"), service("stock-app")],
        "",
    ))?;
    std::thread::sleep(Duration::from_secs(2));
    if has_trouble {
        // The entry of another writer lacks `version`, `cold_remaining_ms` and `born`.
        let foreign = format!(
            "{{\"id\":\"i-s1\",\"service\":\"rounds-app\",\"address\":\"{}\",\"zone\":\"tanta\",\
             \"slots\":6,\"state\":\"ready\"}}",
            stock[0]
        );
        record.line(&format!(
            "the list gets an entry of another writer: {foreign}"
        ));
        entries.push(foreign);
        fleet.listing.set(entries);
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut answers = std::collections::BTreeMap::<String, u32>::new();
    let address = fleet.entries[0].callers;
    for number in 0..REQUESTS {
        for prefix in ["book", "stock"] {
            let id = format!("{prefix}-{number:04}");
            let path = format!("POST /{prefix}/{number} HTTP/1.1");
            let headers: [(&str, &[u8]); 3] = [
                ("Host", b"app.example"),
                ("X-Request-Id", id.as_bytes()),
                ("X-Request-Deadline", b"3000"),
            ];
            let answer = Connection::connect(address).and_then(|mut connection| {
                connection.call(&path, &headers, b"{}", Duration::from_secs(4))
            });
            let text = match answer {
                Ok(answer) => format!(
                    "{} signed {}",
                    answer.status(),
                    answer
                        .header("x-response-signature")
                        .unwrap_or_else(|| "by nobody".to_owned())
                ),
                Err(error) => format!("no answer: {error}"),
            };
            record.detail(&format!("client: {id} gets {text}"));
            *answers.entry(format!("{prefix}: {text}")).or_default() += 1;
        }
        std::thread::sleep(PAUSE);
    }
    for (answer, count) in &answers {
        record.line(&format!("{count} x {answer}"));
    }
    let runs = runs.lock().unwrap();
    let allowed = |path: &str| {
        if path.starts_with("/book/") {
            "rounds-app"
        } else {
            "stock-app"
        }
    };
    let wrong = runs.iter().filter(|run| run.service != allowed(&run.path));
    let wrong: Vec<_> = wrong.collect();
    for run in wrong.iter().take(5) {
        record.line(&format!(
            "ROUTE: {} {} was run by {} of service {}, to which no configuration allows it to go",
            run.request_id, run.path, run.server, run.service
        ));
    }
    record.line(&format!(
        "{} runs, {} by a service that no configuration allows",
        runs.len(),
        wrong.len()
    ));
    if runs.len() < REQUESTS {
        return Err("too few requests were run".to_owned());
    }
    Ok(wrong.is_empty())
}
