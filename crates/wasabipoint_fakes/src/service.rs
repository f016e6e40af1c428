//! The plain service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bpaf::Bpaf;
use futures::future::BoxFuture;
use http::{HeaderName, HeaderValue, Request};
use hyper::body::Incoming;
use serde_json::json;

use crate::faults::ResponseFaults;
use crate::server::{
    FakeHandler, FakeResponse, FakeServer, json, lock, parse, read_body, truncated,
};

/// Options of the service.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
pub struct ServiceOptions {
    /// Address to listen on.
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Time of a call in milliseconds.
    #[bpaf(fallback(5))]
    pub call_ms: u64,
}

impl ServiceOptions {
    /// Options for use inside a test.
    pub fn for_tests() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            call_ms: 2,
        }
    }
}

#[derive(Debug)]
struct Service {
    call_ms: u64,
    executions: Mutex<BTreeMap<String, u64>>,
    headers: Mutex<Vec<(String, String)>>,
    previous: Mutex<String>,
    faults: Mutex<ResponseFaults>,
}

/// A running service.
#[derive(Debug)]
pub struct FakeService {
    server: FakeServer,
    service: Arc<Service>,
}

impl FakeService {
    /// Starts a service.
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        let service = Arc::new(Service {
            call_ms: options.call_ms,
            executions: Mutex::default(),
            headers: Mutex::default(),
            previous: Mutex::new("another-request".to_owned()),
            faults: Mutex::default(),
        });
        let server = FakeServer::start(options.listen, Arc::<Service>::clone(&service)).await?;
        Ok(Self { server, service })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the server, to wait on it.
    pub fn into_server(self) -> FakeServer {
        self.server
    }

    /// Sets all faults.
    pub fn set_faults(&self, faults: ResponseFaults) {
        *lock(&self.service.faults) = faults;
    }

    /// Returns how often each request id was executed.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        lock(&self.service.executions).clone()
    }

    /// Returns the headers of the last call.
    pub fn last_headers(&self) -> Vec<(String, String)> {
        lock(&self.service.headers).clone()
    }
}

impl FakeHandler for Service {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, FakeResponse> {
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let body = read_body(body).await?;
            match parts.uri.path() {
                "/admin/executions" => return Ok(json(200, &json!(*lock(&self.executions)))),
                "/admin/faults" => {
                    return Ok(parse(&body).map_or_else(
                        |response| *response,
                        |faults| {
                            *lock(&self.faults) = faults;
                            json(200, &json!({}))
                        },
                    ));
                }
                _ => {}
            }
            let id = parts
                .headers
                .get("x-request-id")
                .and_then(|value| value.to_str().ok())
                .unwrap_or("none")
                .to_owned();
            *lock(&self.headers) = parts
                .headers
                .iter()
                .map(|(name, value)| {
                    let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                    (name.to_string(), value)
                })
                .collect();
            self.execute(&id, parts.uri.path(), &body).await
        })
    }
}

impl Service {
    async fn execute(&self, id: &str, path: &str, body: &[u8]) -> FakeResponse {
        *lock(&self.executions).entry(id.to_owned()).or_default() += 1;
        let other = std::mem::replace(&mut *lock(&self.previous), id.to_owned());
        let faults = lock(&self.faults).draw();
        let wait_ms = self.call_ms + faults.slow_ms + faults.late_ms;
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        if faults.is_silent {
            std::future::pending::<()>().await;
        }
        let answered = if faults.crossed_after_chunks.is_some() {
            &other
        } else {
            id
        };
        let answer = json!({"request_id": answered, "path": path, "body_bytes": body.len()});
        if faults.is_truncated || faults.is_unfinished {
            return Ok(truncated(&answer.to_string()));
        }
        let mut response = json(200, &answer);
        if let Ok(value) = HeaderValue::from_str(answered) {
            response
                .headers_mut()
                .insert(HeaderName::from_static("x-request-id"), value);
        }
        Ok(response)
    }
}
