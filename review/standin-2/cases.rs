//! The cases, and what they share.

mod flood;
mod large_bodies;
mod list_entry;
mod no_leader;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Connection, Message};
use crate::record::Record;

/// Runs a case and returns whether the rule held.
pub fn run(case: &str, has_trouble: bool, record: &Record) -> Result<bool, String> {
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    match case {
        "flood-head" => flood::run(flood::Place::Head, has_trouble, record),
        "flood-body" => flood::run(flood::Place::Body, has_trouble, record),
        "large-bodies" => large_bodies::run(has_trouble, record),
        "no-leader" => no_leader::run(has_trouble, record),
        "list-entry" => list_entry::run(has_trouble, record),
        _ => Err(format!("unknown case {case}")),
    }
}

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub request_id: String,
    pub path: String,
    pub server: String,
    pub service: String,
}

/// All runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A plain server, as PROTOCOL.md describes it: it answers 421 unless it is the one that the request
/// names, and otherwise runs the request for a while.
pub struct Server {
    pub id: String,
    pub service: String,
    pub work: Duration,
    pub slots: u32,
    pub runs: Runs,
    pub record: Record,
}

impl Server {
    /// Starts the server, which handles each connection with `serve`.
    pub fn start_with(
        self,
        serve: impl Fn(&Self, Connection) + Send + Sync + 'static,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        Ok(http::serve(listener, move |connection| {
            serve(&self, connection)
        }))
    }

    pub fn start(self) -> io::Result<SocketAddr> {
        self.start_with(|server, mut connection| {
            while let Ok(request) = connection.read_message() {
                if !server.admit(&mut connection, &request)
                    || server.answer(&mut connection, &request).is_err()
                {
                    return;
                }
            }
        })
    }

    /// Rejects a request that names another server. Returns whether to go on.
    pub fn admit(&self, connection: &mut Connection, request: &Message) -> bool {
        let expected = request.header("x-expect-instance");
        if expected
            .as_deref()
            .is_none_or(|expected| expected == self.id)
        {
            return true;
        }
        let id = request.header("x-request-id").unwrap_or_default();
        self.record
            .detail(&format!("{} rejects {id} with 421", self.id));
        let headers: [(&str, &[u8]); 2] =
            [("X-Request-Id", id.as_bytes()), ("X-Not-Executed", b"1")];
        let _ = connection.write("HTTP/1.1 421 Misdirected Request", &headers, b"");
        false
    }

    pub fn record_run(&self, request: &Message) -> String {
        let id = request.header("x-request-id").unwrap_or_default();
        self.record.detail(&format!(
            "{} of service {} runs {id} {}",
            self.id,
            self.service,
            request.path()
        ));
        self.runs.lock().unwrap().push(Run {
            request_id: id.clone(),
            path: request.path().to_owned(),
            server: self.id.clone(),
            service: self.service.clone(),
        });
        id
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let id = self.record_run(request);
        std::thread::sleep(self.work);
        let load = format!("1,0,{}", self.slots);
        let headers: [(&str, &[u8]); 4] = [
            ("X-Request-Id", id.as_bytes()),
            ("X-Response-Signature", self.id.as_bytes()),
            ("X-Server-Load", load.as_bytes()),
            ("Content-Type", b"text/plain"),
        ];
        connection.write("HTTP/1.1 200 OK", &headers, &[b'x'; 800])
    }
}

/// A plain route of the configuration.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u32,
    target_ms: u32,
) -> String {
    let attempts = if kind == "safe" { 2 } else { 1 };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"app.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":0,\"service\":\"{service}\",\
         \"max_attempts\":{attempts},\"public\":true,\"sticky\":false,\"resumable\":false}}"
    )
}

/// A plain service of the configuration.
pub fn service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}"
    )
}

pub fn configuration(
    version: u32,
    routes: &[String],
    services: &[String],
    tenants: &str,
) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}",
        routes.join(","),
        services.join(",")
    )
}
