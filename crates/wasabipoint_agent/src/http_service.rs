//! The agent's HTTP service.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use http::{Method, Response, StatusCode};
use serde::de::DeserializeOwned;
use wasabipoint_http::{
    BodyError, HttpHandler, HttpRequest, HttpResponse, OutgoingBody, RequestBody, refusal_response,
    text_response,
};
use wasabipoint_kernel::{ErrorKind, Refusal};
use wasabipoint_rpc::{decode_message, encode_message};

use crate::agent::Agent;

/// Maximum size of a request message. Entry processes limit callers' bodies to less.
const MAX_DISPATCH_BYTES: usize = 32 * 1_024 * 1_024;

/// Serves entry processes, health checks and metrics scrapers.
#[derive(Debug)]
pub struct AgentService {
    agent: Arc<Agent>,
}

impl AgentService {
    /// Creates the service of an agent.
    pub fn new(agent: Arc<Agent>) -> Self {
        Self { agent }
    }

    async fn route(&self, request: HttpRequest) -> Result<HttpResponse, Refusal> {
        let (parts, body) = request.into_parts();
        match (parts.method, parts.uri.path()) {
            (Method::POST, "/v1/dispatch") => {
                let request = read_message(body).await?;
                let frames = self.agent.dispatch(request);
                Ok(Response::new(OutgoingBody::Stream(frames)))
            }
            (Method::POST, "/v1/outcome") => {
                let request = read_message(body).await?;
                let outcome = self.agent.outcome(&request);
                Ok(Response::new(OutgoingBody::full(encode_message(&outcome))))
            }
            (Method::GET, "/healthz") if self.agent.is_draining() => Err(Refusal::new(
                ErrorKind::Draining,
                "the agent is shutting down",
            )),
            (Method::GET, "/healthz") => Ok(text_response(StatusCode::OK, "ok\n")),
            (Method::GET, "/metrics") => {
                Ok(text_response(StatusCode::OK, self.agent.render_metrics()))
            }
            (_, "/v1/dispatch" | "/v1/outcome" | "/healthz" | "/metrics") => {
                Err(Refusal::new(ErrorKind::MethodNotAllowed, ""))
            }
            _ => Err(Refusal::new(
                ErrorKind::NotFound,
                "expected /v1/dispatch, /v1/outcome, /healthz or /metrics",
            )),
        }
    }
}

async fn read_message<T: DeserializeOwned>(body: RequestBody) -> Result<T, Refusal> {
    let bytes = body
        .read(MAX_DISPATCH_BYTES)
        .await
        .map_err(|error| match error {
            BodyError::TooLarge => Refusal::new(ErrorKind::BodyTooLarge, ""),
            BodyError::Incomplete => Refusal::new(ErrorKind::MalformedRequest, "incomplete body"),
        })?;
    decode_message(&bytes)
        .map_err(|_| Refusal::new(ErrorKind::MalformedRequest, "expected an encoded message"))
}

impl HttpHandler for AgentService {
    fn handle(
        &self,
        request: HttpRequest,
    ) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>> {
        Box::pin(async move {
            self.route(request)
                .await
                .unwrap_or_else(|refusal| refusal_response(&refusal))
        })
    }
}
