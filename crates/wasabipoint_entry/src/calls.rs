//! Handles completion and service calls: admission, execution and response.

use std::sync::Arc;

use http::Method;
use serde_json::Value;
use tokio::time::Instant;
use wasabipoint_http::HttpResponse;
use wasabipoint_kernel::{AdapterName, CustomerId, ErrorKind, Refusal, RouteAccess, RouteRule};
use wasabipoint_rpc::StoredResponse;

use crate::access::{Resource, check_access, find_customer};
use crate::api::IncomingRequest;
use crate::claim::IdempotencyClaim;
use crate::completion::{CompletionKind, CompletionRequest, read_usage};
use crate::credentials::{
    CallerKey, percent_decode, remove_keys_from_query, select_forwarded_headers,
};
use crate::entry::Entry;
use crate::executor::{Call, Reply};
use crate::fleet::Caller;
use crate::prefix_index::hash_prompt;
use crate::quota::Reservation;
use crate::relay::{RelayContext, buffered_response, relay_stream};
use crate::scheduler::{SchedulingRequest, Target};

/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Time per token that a buffered response may take beyond the deadline, since the deadline applies
/// to the first token. About twice the target of 46 ms between tokens.
const ALLOWANCE_PER_TOKEN_MS: u64 = 100;

/// Priority of calls on open routes; equals the default priority of customers.
const OPEN_ROUTE_PRIORITY: u8 = 5;

impl Entry {
    /// Handles a completion request.
    pub(crate) async fn handle_completion(
        &self,
        kind: CompletionKind,
        incoming: IncomingRequest,
    ) -> Result<HttpResponse, Refusal> {
        let arrived = Instant::now();
        let completion = CompletionRequest::parse(kind, &incoming.body)?;
        let caller =
            (incoming.caller.clone()).ok_or_else(|| Refusal::new(ErrorKind::MissingKey, ""))?;
        let view = self.fleet.view();
        let resource = Resource::Model(completion.model.clone());
        check_access(&view, &caller.customer, &resource)?;
        let customer = find_customer(&view, &caller.customer)?;
        let (model, adapter) = view
            .inventory
            .resolve(&completion.model)
            .ok_or_else(|| Refusal::new(ErrorKind::ModelUnknown, ""))?;
        let answer_tokens = completion.answer_tokens(model.max_answer_tokens);
        let prompt_tokens = completion.prompt_tokens();
        let (is_streamed, hides_usage) = (completion.is_streamed, !completion.wants_usage);
        let prefix = hash_prompt(model.name.as_str(), &completion.prompt);
        let adapter_name = adapter.map(|adapter| adapter.name.clone());
        let body = completion.encode(
            model.name.as_str(),
            adapter_name.as_ref().map(AdapterName::as_str),
            answer_tokens,
        );
        refuse_embedded_key(&body, incoming.key.as_ref())?;
        let path = match kind {
            CompletionKind::Chat => "/v1/chat/completions",
            CompletionKind::Text => "/v1/completions",
        };
        let call = Call {
            scheduling: SchedulingRequest {
                request_id: incoming.request_id,
                customer: caller.customer.clone(),
                target: Target::Model(model.name.clone()),
                adapter: adapter_name,
                prefix: prefix.into(),
                cost_tokens: prompt_tokens + answer_tokens,
                body_bytes: body.len() as u64,
                arrived_ms: incoming.arrived_ms,
                deadline_ms: incoming.arrived_ms + view.rules.admission.deadline_ms,
            },
            caller: Some(caller),
            resource,
            method: "POST".to_owned(),
            path: path.to_owned(),
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: body.into(),
            is_idempotent: true,
            is_streamed,
            run_allowance_ms: if is_streamed {
                0
            } else {
                answer_tokens * ALLOWANCE_PER_TOKEN_MS
            },
            priority: customer.priority,
            claim: None,
        };
        self.scheduler.record_arrival(&model.name);
        let mut reservation = Some(self.admit(&call, customer.burst_tokens).await?);
        let reply = self.executor.execute(&call, reservation.as_mut()).await?;
        match reply {
            Reply::Stream(open) => Ok(relay_stream(
                *open,
                RelayContext {
                    request_id: call.scheduling.request_id,
                    customer: call.scheduling.customer,
                    reservation,
                    hides_usage,
                    arrived,
                    metrics: Arc::clone(&self.metrics),
                    logger: self.logger.clone(),
                    active_request: incoming.active_request,
                },
            )),
            Reply::Buffered(response) => {
                let used = count_used_tokens(&response, is_streamed, prompt_tokens);
                self.settle_reservation(&call, &mut reservation, used);
                Ok(self.finish_buffered(&call.scheduling.customer, response, arrived))
            }
        }
    }

    /// Checks the burst limit and the queue, then reserves the tokens of a call.
    async fn admit(&self, call: &Call, burst_tokens: u64) -> Result<Reservation, Refusal> {
        let scheduling = &call.scheduling;
        if scheduling.cost_tokens > burst_tokens {
            let detail = format!("{} of {burst_tokens} tokens", scheduling.cost_tokens);
            return Err(Refusal::new(ErrorKind::ExceedsBurst, detail));
        }
        self.scheduler.check_admission(scheduling)?;
        self.quota
            .reserve(
                &scheduling.customer,
                scheduling.cost_tokens,
                scheduling.deadline_ms,
            )
            .await
    }

    /// Settles the reservation and adds the spent tokens to the metrics. If the usage is unknown,
    /// the whole reservation counts as spent.
    fn settle_reservation(
        &self,
        call: &Call,
        reservation: &mut Option<Reservation>,
        used: Option<u64>,
    ) {
        if let Some(reservation) = reservation {
            let spent = reservation.settle(used);
            self.metrics.add_tokens(&call.scheduling.customer, spent);
        }
    }

    fn finish_buffered(
        &self,
        customer: &CustomerId,
        response: StoredResponse,
        arrived: Instant,
    ) -> HttpResponse {
        self.metrics.record_duration(customer, arrived.elapsed());
        buffered_response(response.status, &response.headers, response.body)
    }

    /// Looks up the rule of a route.
    pub(crate) fn find_route(&self, route: &str) -> Result<RouteRule, Refusal> {
        let view = self.fleet.view();
        let rule = view.rules.routes.get(route).cloned();
        rule.ok_or_else(|| Refusal::new(ErrorKind::NotFound, "there is no such route"))
    }

    /// Authenticates a call and checks its access to the route. An open route needs no key and
    /// ignores any that is sent.
    pub(crate) fn authenticate_route(
        &self,
        rule: &RouteRule,
        key: Option<&CallerKey>,
    ) -> Result<Option<Caller>, Refusal> {
        if rule.access == RouteAccess::Open {
            return Ok(None);
        }
        let caller = self.authenticate(key)?;
        let resource = Resource::Route(rule.name.clone());
        check_access(&self.fleet.view(), &caller.customer, &resource)?;
        Ok(Some(caller))
    }

    /// Handles a call to a plain service.
    pub(crate) async fn handle_service_call(
        &self,
        rule: &RouteRule,
        incoming: IncomingRequest,
    ) -> Result<HttpResponse, Refusal> {
        let arrived = Instant::now();
        let view = self.fleet.view();
        let customer = match &incoming.caller {
            Some(caller) => Some(find_customer(&view, &caller.customer)?),
            None => None,
        };
        let call =
            self.build_service_call(rule, &incoming, customer.map(|customer| customer.priority))?;
        let mut reservation = match customer {
            Some(customer) if rule.cost_tokens > 0 => {
                Some(self.admit(&call, customer.burst_tokens).await?)
            }
            _ => {
                self.scheduler.check_admission(&call.scheduling)?;
                None
            }
        };
        let reply = self.executor.execute(&call, reservation.as_mut()).await?;
        match reply {
            Reply::Buffered(response) => {
                self.settle_reservation(&call, &mut reservation, None);
                Ok(self.finish_buffered(&call.scheduling.customer, response, arrived))
            }
            Reply::Stream(_) => Err(Refusal::new(
                ErrorKind::Internal,
                "a whole response was expected",
            )),
        }
    }

    fn build_service_call(
        &self,
        rule: &RouteRule,
        incoming: &IncomingRequest,
        priority: Option<u8>,
    ) -> Result<Call, Refusal> {
        let method = &incoming.parts.method;
        let is_idempotent =
            rule.is_idempotent || matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS);
        let path = self.build_endpoint_path(rule, incoming)?;
        // Customer names contain no colon, so the name of an open route cannot collide with one.
        let customer = incoming.caller.as_ref().map_or_else(
            || CustomerId::new(format!("route:{}", rule.name)),
            |caller| caller.customer.clone(),
        );
        let claim = match read_idempotency_key(incoming)? {
            Some(key) if !is_idempotent => Some(IdempotencyClaim {
                customer: customer.clone(),
                key,
                fingerprint: build_fingerprint(method.as_str(), rule, &path, &incoming.body),
            }),
            _ => None,
        };
        Ok(Call {
            scheduling: SchedulingRequest {
                request_id: incoming.request_id,
                customer,
                target: Target::Service(rule.service.clone()),
                adapter: None,
                prefix: Vec::new().into(),
                cost_tokens: rule.cost_tokens,
                body_bytes: incoming.body.len() as u64,
                arrived_ms: incoming.arrived_ms,
                deadline_ms: incoming.arrived_ms + rule.deadline_ms,
            },
            caller: incoming.caller.clone(),
            resource: Resource::Route(rule.name.clone()),
            method: method.as_str().to_owned(),
            path,
            headers: select_forwarded_headers(&incoming.parts.headers, incoming.key.as_ref()),
            body: incoming.body.clone(),
            is_idempotent,
            is_streamed: false,
            run_allowance_ms: 0,
            priority: priority.unwrap_or(OPEN_ROUTE_PRIORITY),
            claim,
        })
    }

    /// Builds the path and query that are sent to the endpoint. Removes keys from the query and
    /// refuses a path that contains the key.
    fn build_endpoint_path(
        &self,
        rule: &RouteRule,
        incoming: &IncomingRequest,
    ) -> Result<String, Refusal> {
        let uri = &incoming.parts.uri;
        let prefix = format!("/services/{}", rule.name);
        let path = uri.path().strip_prefix(&prefix).unwrap_or_default();
        let path = if path.is_empty() { "/" } else { path };
        refuse_embedded_key(percent_decode(path).as_bytes(), incoming.key.as_ref())?;
        let is_known_key = |text: &str| self.fleet.is_known_key(text);
        let query = uri
            .query()
            .map(|query| remove_keys_from_query(query, incoming.key.as_ref(), is_known_key));
        Ok(match query {
            Some(query) if !query.is_empty() => format!("{path}?{query}"),
            _ => path.to_owned(),
        })
    }
}

fn refuse_embedded_key(bytes: &[u8], key: Option<&CallerKey>) -> Result<(), Refusal> {
    if key.is_some_and(|key| key.occurs_in(bytes)) {
        let detail = "path and body must not contain the key";
        return Err(Refusal::new(ErrorKind::MalformedRequest, detail));
    }
    Ok(())
}

fn read_idempotency_key(incoming: &IncomingRequest) -> Result<Option<String>, Refusal> {
    let mut values = incoming.parts.headers.get_all("idempotency-key").iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let is_usable =
        (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len()) && values.next().is_none();
    if !is_usable {
        let detail = "expected one idempotency-key of 1 to 255 visible characters";
        return Err(Refusal::new(ErrorKind::MalformedRequest, detail));
    }
    refuse_embedded_key(text.as_bytes(), incoming.key.as_ref())?;
    Ok(Some(text.to_owned()))
}

/// Hashes the parts of a call that must be equal in a repeat with the same idempotency key.
fn build_fingerprint(method: &str, rule: &RouteRule, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in [method, rule.name.as_str(), path] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    *hasher.finalize().as_bytes()
}

/// Returns the tokens that a buffered response used, or `None` if it does not state them. An error
/// response of the engine counts with its prompt only.
fn count_used_tokens(
    response: &StoredResponse,
    is_streamed: bool,
    prompt_tokens: u64,
) -> Option<u64> {
    if response.status != 200 {
        return Some(prompt_tokens);
    }
    if is_streamed {
        return None;
    }
    let value: Value = serde_json::from_slice(&response.body).ok()?;
    read_usage(&value)
}
