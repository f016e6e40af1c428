//! Fake plain service.

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
    FakeHandler, FakeResponse, FakeServer, json_response, lock, parse_json, read_body,
    truncated_response,
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
    /// Options for tests, with a short call time.
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
    last_headers: Mutex<Vec<(String, String)>>,
    /// Id of the previous request, for crossed responses.
    previous_id: Mutex<String>,
    faults: Mutex<ResponseFaults>,
}

/// A running fake service.
#[derive(Debug)]
pub struct FakeService {
    server: FakeServer,
    service: Arc<Service>,
}

impl FakeService {
    /// Starts a fake service.
    pub async fn start(options: ServiceOptions) -> io::Result<Self> {
        let service = Arc::new(Service {
            call_ms: options.call_ms,
            executions: Mutex::default(),
            last_headers: Mutex::default(),
            previous_id: Mutex::new("another-request".to_owned()),
            faults: Mutex::default(),
        });
        let server = FakeServer::start(options.listen, Arc::<Service>::clone(&service)).await?;
        Ok(Self { server, service })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the server, for `print_address_and_serve`.
    pub fn into_server(self) -> FakeServer {
        self.server
    }

    /// Sets all faults.
    pub fn set_faults(&self, faults: ResponseFaults) {
        *lock(&self.service.faults) = faults;
    }

    /// Returns the number of executions of each request id.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        lock(&self.service.executions).clone()
    }

    /// Returns the headers of the last call.
    pub fn last_headers(&self) -> Vec<(String, String)> {
        lock(&self.service.last_headers).clone()
    }
}

impl FakeHandler for Service {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, FakeResponse> {
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let body = read_body(body).await?;
            match parts.uri.path() {
                "/admin/executions" => {
                    return Ok(json_response(200, &json!(*lock(&self.executions))));
                }
                "/admin/faults" => {
                    return Ok(parse_json(&body).map_or_else(
                        |response| *response,
                        |faults| {
                            *lock(&self.faults) = faults;
                            json_response(200, &json!({}))
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
            *lock(&self.last_headers) = parts
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
        let previous_id = std::mem::replace(&mut *lock(&self.previous_id), id.to_owned());
        let faults = lock(&self.faults).take_next();
        let delay_ms = self.call_ms + faults.slow_ms + faults.late_ms;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        if faults.is_silent {
            std::future::pending::<()>().await;
        }
        let response_id = if faults.crossed_after_chunks.is_some() {
            &previous_id
        } else {
            id
        };
        let answer = json!({"request_id": response_id, "path": path, "body_bytes": body.len()});
        if faults.is_truncated || faults.is_unfinished {
            return Ok(truncated_response(&answer.to_string()));
        }
        let mut response = json_response(200, &answer);
        if let Ok(value) = HeaderValue::from_str(response_id) {
            response
                .headers_mut()
                .insert(HeaderName::from_static("x-request-id"), value);
        }
        Ok(response)
    }
}
