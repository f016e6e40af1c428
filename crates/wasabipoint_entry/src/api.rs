//! HTTP API for callers.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HeaderValue};
use http::request::Parts;
use http::{Method, Request, StatusCode};
use serde_json::json;
use slog::debug;
use wasabipoint_http::{
    BodyError, HttpHandler, HttpRequest, HttpResponse, json_response, refusal_response,
    text_response,
};
use wasabipoint_kernel::{CustomerId, ErrorKind, KeyDigester, Refusal, RequestId};

use crate::access::find_customer;
use crate::completion::CompletionKind;
use crate::credentials::{CallerKey, read_key};
use crate::drain::ActiveRequest;
use crate::entry::Entry;
use crate::fleet::Caller;

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// A request whose head was checked and whose body was read.
pub(crate) struct IncomingRequest {
    pub(crate) request_id: RequestId,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) key: Option<CallerKey>,
    pub(crate) caller: Option<Caller>,
    pub(crate) active_request: ActiveRequest,
    pub(crate) arrived_ms: u64,
}

/// What a request path leads to.
enum ApiRoute {
    Health,
    Metrics,
    Models,
    Completion(CompletionKind),
    /// A call to a plain service, by the name of its route.
    Service(String),
    /// `explain request`, by the request id.
    Explain(String),
}

impl Entry {
    /// Handles a request whose body has been read and returns its response.
    pub async fn handle_request(&self, request: Request<Result<Bytes, BodyError>>) -> HttpResponse {
        let request_id = RequestId::random();
        let (parts, body) = request.into_parts();
        let mut customer = None;
        let result = self.route(request_id, parts, body, &mut customer).await;
        let mut response = result.unwrap_or_else(|refusal| {
            self.log_refusal(request_id, customer.as_ref(), &refusal);
            self.metrics.record_refusal(customer.as_ref(), &refusal);
            refusal_response(&refusal)
        });
        let value = HeaderValue::try_from(request_id.to_string());
        response.headers_mut().insert(
            "x-request-id",
            value.expect("hexadecimal digits form a valid header value"),
        );
        response
    }

    fn log_refusal(&self, request_id: RequestId, customer: Option<&CustomerId>, refusal: &Refusal) {
        debug!(self.logger, "admission: refused a request";
            "request" => %request_id,
            "customer" => customer.map_or("none", CustomerId::as_str),
            "kind" => %refusal.kind,
            "run" => refusal.run_state.as_str(),
            "retry_after_ms" => refusal.retry_after_ms);
    }

    async fn route(
        &self,
        request_id: RequestId,
        parts: Parts,
        body: Result<Bytes, BodyError>,
        customer: &mut Option<CustomerId>,
    ) -> Result<HttpResponse, Refusal> {
        match match_api_route(&parts)? {
            ApiRoute::Health => Ok(self.health_response()),
            ApiRoute::Metrics => Ok(text_response(StatusCode::OK, self.metrics.render())),
            ApiRoute::Explain(id) => self.explain(&parts, &id),
            ApiRoute::Models => {
                let key = read_key(&parts.headers)?;
                let caller = self.authenticate(key.as_ref())?;
                *customer = Some(caller.customer.clone());
                self.list_models(&caller)
            }
            ApiRoute::Completion(kind) => {
                let active_request = self.drain.admit()?;
                let key = read_key(&parts.headers)?;
                let caller = self.authenticate(key.as_ref())?;
                *customer = Some(caller.customer.clone());
                let incoming = IncomingRequest {
                    request_id,
                    body: check_body(body, key.as_ref())?,
                    parts,
                    key,
                    caller: Some(caller),
                    active_request,
                    arrived_ms: self.clock.now_ms(),
                };
                self.handle_completion(kind, incoming).await
            }
            ApiRoute::Service(route) => {
                let active_request = self.drain.admit()?;
                self.fleet.check_ready()?;
                let key = read_key(&parts.headers)?;
                let rule = self.find_route(&route)?;
                let caller = self.authenticate_route(&rule, key.as_ref())?;
                *customer = caller.as_ref().map(|caller| caller.customer.clone());
                let incoming = IncomingRequest {
                    request_id,
                    body: check_body(body, key.as_ref())?,
                    parts,
                    key,
                    caller,
                    active_request,
                    arrived_ms: self.clock.now_ms(),
                };
                self.handle_service_call(&rule, incoming).await
            }
        }
    }

    /// Checks path, key and access before the body is read.
    fn check_request_head(&self, parts: &Parts) -> Result<(), Refusal> {
        let api_route = match_api_route(parts)?;
        let key = read_key(&parts.headers)?;
        match api_route {
            ApiRoute::Completion(_) => self.authenticate(key.as_ref()).map(drop),
            ApiRoute::Service(route) => {
                self.fleet.check_ready()?;
                let rule = self.find_route(&route)?;
                self.authenticate_route(&rule, key.as_ref()).map(drop)
            }
            _ => Ok(()),
        }
    }

    /// Authenticates a request that must carry a key.
    pub(crate) fn authenticate(&self, key: Option<&CallerKey>) -> Result<Caller, Refusal> {
        self.fleet.check_fresh()?;
        let key = key.ok_or_else(|| Refusal::new(ErrorKind::MissingKey, ""))?;
        self.fleet.verify(&self.fleet.digest(key.as_str()))
    }

    fn health_response(&self) -> HttpResponse {
        if !self.drain.is_serving() {
            return refusal_response(&Refusal::new(ErrorKind::Draining, ""));
        }
        match self.fleet.check_ready() {
            Ok(()) => text_response(StatusCode::OK, "ok\n"),
            Err(refusal) => refusal_response(&refusal),
        }
    }

    fn list_models(&self, caller: &Caller) -> Result<HttpResponse, Refusal> {
        let view = self.fleet.view();
        let customer = find_customer(&view, &caller.customer)?;
        let data: Vec<_> = customer
            .models
            .iter()
            .filter(|name| view.inventory.resolve(name).is_some())
            .map(|name| json!({"id": name, "object": "model", "owned_by": "wasabipoint"}))
            .collect();
        let list = json!({"object": "list", "data": data});
        Ok(json_response(StatusCode::OK, &list))
    }

    fn explain(&self, parts: &Parts, id: &str) -> Result<HttpResponse, Refusal> {
        self.check_operator_token(parts)?;
        let request_id =
            RequestId::parse(id).ok_or_else(|| Refusal::new(ErrorKind::NotFound, ""))?;
        let decisions = self.decisions.find(request_id);
        if decisions.is_empty() {
            let detail = "this entry process has no recent decision for the request";
            return Err(Refusal::new(ErrorKind::NotFound, detail));
        }
        let view = json!({"request": request_id.to_string(), "decisions": decisions});
        Ok(json_response(StatusCode::OK, &view))
    }

    /// Checks the operator token. Compares digests, so that timing reveals nothing about the token.
    fn check_operator_token(&self, parts: &Parts) -> Result<(), Refusal> {
        let mut values = parts.headers.get_all(AUTHORIZATION).iter();
        let sent = match (values.next(), values.next()) {
            (Some(value), None) => value.to_str().unwrap_or_default(),
            _ => "",
        };
        let digester = KeyDigester::new("operator token");
        let expected = digester.digest(&format!("Bearer {}", self.config.operator_token));
        if digester.digest(sent).matches(&expected) {
            Ok(())
        } else {
            Err(Refusal::new(ErrorKind::OperatorUnauthorized, ""))
        }
    }
}

fn match_api_route(parts: &Parts) -> Result<ApiRoute, Refusal> {
    let path = parts.uri.path();
    let (api_route, method) = match path {
        "/healthz" => (ApiRoute::Health, Method::GET),
        "/metrics" => (ApiRoute::Metrics, Method::GET),
        "/v1/models" => (ApiRoute::Models, Method::GET),
        "/v1/chat/completions" => (ApiRoute::Completion(CompletionKind::Chat), Method::POST),
        "/v1/completions" => (ApiRoute::Completion(CompletionKind::Text), Method::POST),
        _ => {
            if let Some(id) = path.strip_prefix("/v1/explain/request/") {
                (ApiRoute::Explain(id.to_owned()), Method::GET)
            } else if let Some(rest) = path.strip_prefix("/services/") {
                let route = rest.split('/').next().unwrap_or_default();
                return Ok(ApiRoute::Service(route.to_owned()));
            } else {
                return Err(Refusal::new(ErrorKind::NotFound, ""));
            }
        }
    };
    if parts.method == method {
        Ok(api_route)
    } else {
        let detail = format!("expected {method}");
        Err(Refusal::new(ErrorKind::MethodNotAllowed, detail))
    }
}

/// Refuses a body that could not be read, or that contains the key and would expose it to the
/// endpoint.
fn check_body(body: Result<Bytes, BodyError>, key: Option<&CallerKey>) -> Result<Bytes, Refusal> {
    let body = body.map_err(|error| match error {
        BodyError::TooLarge => Refusal::new(ErrorKind::BodyTooLarge, ""),
        BodyError::Incomplete => Refusal::new(ErrorKind::MalformedRequest, "the body broke off"),
    })?;
    if key.is_some_and(|key| key.occurs_in(&body)) {
        let detail = "the body must not contain the key";
        return Err(Refusal::new(ErrorKind::MalformedRequest, detail));
    }
    Ok(body)
}

/// Serves an entry process over HTTP.
pub struct EntryHandler(Arc<Entry>);

impl EntryHandler {
    /// Creates the handler of an entry process.
    pub fn new(entry: Arc<Entry>) -> Self {
        Self(entry)
    }
}

impl HttpHandler for EntryHandler {
    fn handle(
        &self,
        request: HttpRequest,
    ) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>> {
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            // If the head is refused, the body is not read, so that callers without a valid key
            // cannot occupy memory.
            let body = if self.0.check_request_head(&parts).is_ok() {
                let reading = body.read(self.0.config.max_body_bytes);
                let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
                read.unwrap_or(Err(BodyError::Incomplete))
            } else {
                Ok(Bytes::new())
            };
            self.0
                .handle_request(Request::from_parts(parts, body))
                .await
        })
    }
}
