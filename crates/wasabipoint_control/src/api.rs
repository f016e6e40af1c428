//! HTTP API for operators: configuration, caller keys, status and membership.

mod domains;
mod quarantine;
mod report;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use slog::info;
use subtle::ConstantTimeEq;
use wasabipoint_consensus::{ChangeRefusal, MembershipChange, ProposeError};
use wasabipoint_http::{
    BodyError, HttpHandler, HttpRequest, HttpResponse, json_response, refusal_response,
    text_response,
};
use wasabipoint_kernel::{
    ChangeId, ConfigVersion, CustomerId, ErrorKind, Inventory, KeyId, MemberId, ModelName, Refusal,
    Rules, RunState,
};
use wasabipoint_policy::{placement_policy_names, routing_policy_names};
use wasabipoint_rpc::KeyRecord;

use crate::context::ControlContext;
use crate::state::{Command, CommandOutcome, ConfigBody, ConfigChange};

/// Largest accepted request body; an inventory of the design size has about 200 KB. A configuration
/// change holds the text and its parsed form and must fit into one command of the replicated log.
const MAX_BODY_BYTES: usize = wasabipoint_consensus::MAX_COMMAND_BYTES / 3;

/// Longest accepted change id, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 128;

/// Time limit for committing a change or confirming a read.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry delay sent with refusals that may be temporary, such as a missing leader.
const RETRY_AFTER_MS: u64 = 1_000;

/// Serves the operator API on one member.
pub(crate) struct OperatorApi {
    control: Arc<ControlContext>,
}

/// A refusal and, on members that do not lead, the leader's HTTP address.
struct ApiError {
    refusal: Refusal,
    leader: Option<String>,
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            leader: None,
        }
    }
}

impl ApiError {
    fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Refusal::new(kind, detail).into()
    }

    fn into_response(self) -> HttpResponse {
        let mut response = refusal_response(&self.refusal);
        let leader = self
            .leader
            .and_then(|text| HeaderValue::from_str(&text).ok());
        if let Some(leader) = leader {
            response.headers_mut().insert("leader", leader);
        }
        response
    }
}

#[derive(Deserialize)]
struct AddKeyBody {
    customer: String,
}

#[derive(Deserialize)]
struct MembershipChangeBody {
    change: String,
    member: u64,
    address: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ConfigDocument {
    Inventory,
    Rules,
}

impl HttpHandler for OperatorApi {
    fn handle(
        &self,
        request: HttpRequest,
    ) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>> {
        Box::pin(async move {
            self.dispatch(request)
                .await
                .unwrap_or_else(ApiError::into_response)
        })
    }
}

impl OperatorApi {
    pub(crate) fn new(control: Arc<ControlContext>) -> Self {
        Self { control }
    }

    async fn dispatch(&self, request: HttpRequest) -> Result<HttpResponse, ApiError> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        match path.as_str() {
            "/healthz" => return Ok(self.healthz()),
            "/metrics" => {
                self.control.update_gauges();
                return Ok(text_response(StatusCode::OK, self.control.metrics.render()));
            }
            _ => {}
        }
        self.authorize(&parts.headers)?;
        let body = body.read(MAX_BODY_BYTES).await.map_err(|error| {
            let kind = match error {
                BodyError::TooLarge => ErrorKind::BodyTooLarge,
                BodyError::Incomplete => ErrorKind::MalformedRequest,
            };
            ApiError::new(kind, "")
        })?;
        let headers = &parts.headers;
        let is_get = parts.method == Method::GET;
        let is_put = parts.method == Method::PUT;
        let is_post = parts.method == Method::POST;
        let is_delete = parts.method == Method::DELETE;
        let document_for = |path: &str| match path {
            "/v1/inventory" => Some(ConfigDocument::Inventory),
            "/v1/rules" => Some(ConfigDocument::Rules),
            _ => None,
        };
        match path.as_str() {
            path if document_for(path).is_some() && (is_get || is_put) => {
                let document = document_for(path).expect("the guard checks the path");
                if is_get {
                    self.get_document(document).await
                } else {
                    self.apply_document(document, headers, &body).await
                }
            }
            quarantine::PATH if is_get => self.list_quarantine().await,
            domains::PATH if is_get => self.list_domains().await,
            "/v1/keys" if is_post => self.add_key(headers, &body).await,
            "/v1/keys" if is_get => self.list_keys().await,
            "/v1/status" if is_get => {
                self.confirm_current().await?;
                Ok(json_response(
                    StatusCode::OK,
                    &report::status(&self.control),
                ))
            }
            // Not confirmed by a quorum, so that it works without a leader.
            "/v1/status/local" if is_get => Ok(json_response(
                StatusCode::OK,
                &report::status(&self.control),
            )),
            "/v1/members" if is_post => self.change_membership(&body).await,
            "/v1/inventory"
            | "/v1/rules"
            | "/v1/keys"
            | "/v1/status"
            | "/v1/status/local"
            | "/v1/members"
            | quarantine::PATH
            | domains::PATH => Err(ApiError::new(ErrorKind::MethodNotAllowed, "")),
            _ => {
                if let Some(part) = quarantine::part_in_path(&path) {
                    return match (is_put, is_delete) {
                        (true, _) => self.set_quarantine(part).await,
                        (_, true) => self.lift_quarantine(part).await,
                        _ => Err(ApiError::new(ErrorKind::MethodNotAllowed, "")),
                    };
                }
                if let Some(domain) = domains::domain_in_path(&path) {
                    return if is_put || is_delete {
                        self.set_out_of_service(domain, is_put).await
                    } else {
                        Err(ApiError::new(ErrorKind::MethodNotAllowed, ""))
                    };
                }
                if let Some(id) = path.strip_prefix("/v1/keys/") {
                    return if is_delete {
                        self.revoke_key(headers, id).await
                    } else {
                        Err(ApiError::new(ErrorKind::MethodNotAllowed, ""))
                    };
                }
                match path.strip_prefix("/v1/explain/model/") {
                    Some(name) if is_get => self.explain_model(name).await,
                    Some(_) => Err(ApiError::new(ErrorKind::MethodNotAllowed, "")),
                    None => Err(ApiError::new(ErrorKind::NotFound, "unknown path")),
                }
            }
        }
    }

    fn healthz(&self) -> HttpResponse {
        if self.control.member.replica().status().is_stopped {
            let refusal = Refusal::new(ErrorKind::Unavailable, "the replica has stopped");
            return refusal_response(&refusal);
        }
        text_response(StatusCode::OK, "ok\n")
    }

    /// Checks the bearer token. Compares digests, so that the time depends neither on the token nor
    /// on its length.
    fn authorize(&self, headers: &HeaderMap) -> Result<(), ApiError> {
        let sent = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
            .unwrap_or_default();
        let sent = blake3::hash(sent);
        let expected = blake3::hash(self.control.operator_token.as_bytes());
        if bool::from(sent.as_bytes().ct_eq(expected.as_bytes())) {
            Ok(())
        } else {
            Err(ApiError::new(ErrorKind::OperatorUnauthorized, ""))
        }
    }

    fn map_propose_error(&self, error: ProposeError) -> ApiError {
        let with_retry_delay = |refusal: Refusal| refusal.with_retry_after_ms(RETRY_AFTER_MS);
        match error {
            ProposeError::NotLeader { leader } => {
                let leader = leader.filter(|leader| *leader != self.control.member.id());
                let address = leader.and_then(|leader| self.control.member.http_address(leader));
                let detail = match (leader, address) {
                    (Some(leader), Some(address)) => format!("member {leader} leads at {address}"),
                    (Some(leader), None) => format!("member {leader} leads"),
                    (None, _) => "no leader is known".to_owned(),
                };
                ApiError {
                    refusal: with_retry_delay(Refusal::new(ErrorKind::NotLeader, detail)),
                    leader: address.map(|address| address.to_string()),
                }
            }
            ProposeError::OutcomeUnknown => with_retry_delay(
                Refusal::new(
                    ErrorKind::Unavailable,
                    "the change may have taken effect, send it again under the same change id",
                )
                .with_run_state(RunState::Unknown),
            )
            .into(),
            ProposeError::ChangeRefused(reason) => {
                let kind = match reason {
                    ChangeRefusal::UnknownMember => ErrorKind::NotFound,
                    ChangeRefusal::AlreadyMember
                    | ChangeRefusal::LastVoter
                    | ChangeRefusal::RetiredMember => ErrorKind::InvalidConfiguration,
                    _ => ErrorKind::Unavailable,
                };
                ApiError::new(kind, reason.to_string())
            }
            ProposeError::TooLarge => ApiError::new(ErrorKind::BodyTooLarge, error.to_string()),
            ProposeError::Overloaded | ProposeError::Stopped => {
                with_retry_delay(Refusal::new(ErrorKind::Unavailable, error.to_string())).into()
            }
        }
    }

    async fn confirm_current(&self) -> Result<(), ApiError> {
        match tokio::time::timeout(REQUEST_TIMEOUT, self.control.member.confirm_current()).await {
            Ok(confirmed) => confirmed.map_err(|error| self.map_propose_error(error)),
            Err(_) => Err(ApiError::new(ErrorKind::Unavailable, "no quorum answers")),
        }
    }

    /// Proposes a command. A refusal by the state machine becomes an error of the same kind.
    async fn propose(&self, command: Command) -> Result<CommandOutcome, ApiError> {
        let proposed = self.control.member.propose(command);
        let outcome = match tokio::time::timeout(REQUEST_TIMEOUT, proposed).await {
            Ok(outcome) => outcome.map_err(|error| self.map_propose_error(error))?,
            Err(_) => return Err(self.map_propose_error(ProposeError::OutcomeUnknown)),
        };
        match outcome {
            CommandOutcome::Refused { kind, detail } => Err(ApiError::new(kind, detail)),
            CommandOutcome::Conflict { expected, current } => Err(ApiError::new(
                ErrorKind::VersionConflict,
                format!("expected version {expected}, current version {current}"),
            )),
            outcome => Ok(outcome),
        }
    }

    async fn get_document(&self, document: ConfigDocument) -> Result<HttpResponse, ApiError> {
        self.confirm_current().await?;
        let (version, text) = self.control.member.read(|state| {
            let text = match document {
                ConfigDocument::Inventory => state.config.inventory_text.clone(),
                ConfigDocument::Rules => state.config.rules_text.clone(),
            };
            (state.view.config_version, text)
        });
        let value = json!({"version": version.0, "text": text});
        Ok(json_response(StatusCode::OK, &value))
    }

    async fn apply_document(
        &self,
        document: ConfigDocument,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Result<HttpResponse, ApiError> {
        let change_id = read_change_id(headers)?;
        let expected = read_expected_version(headers)?;
        let text = std::str::from_utf8(body)
            .map_err(|_| ApiError::new(ErrorKind::MalformedRequest, "the body is not UTF-8"))?;
        let parsed = parse_document(document, text)?;
        let document_name = match document {
            ConfigDocument::Inventory => "inventory",
            ConfigDocument::Rules => "rules",
        };
        let fingerprint = hash_parts(&[document_name.as_bytes(), &expected.0.to_le_bytes(), body]);
        let outcome = self
            .propose(Command::ApplyConfig(ConfigChange {
                expected,
                change_id: change_id.clone(),
                fingerprint,
                text: text.to_owned(),
                body: parsed,
            }))
            .await?;
        let CommandOutcome::Applied(version) = outcome else {
            return Err(ApiError::new(ErrorKind::Internal, "unexpected outcome"));
        };
        info!(self.control.logger, "control: configuration applied"; "document" => document_name,
            "version" => version.0, "change_id" => %change_id);
        Ok(json_response(
            StatusCode::OK,
            &json!({"version": version.0, "change_id": change_id.as_str()}),
        ))
    }

    async fn add_key(&self, headers: &HeaderMap, body: &Bytes) -> Result<HttpResponse, ApiError> {
        let change_id = read_change_id(headers)?;
        let body: AddKeyBody = read_json(body)?;
        let customer = CustomerId::new(body.customer);
        let (id, key) = self.derive_key(&change_id, &customer);
        let digest = self.control.key_digester.digest(&key);
        let fingerprint = hash_parts(&[
            b"add key",
            customer.as_str().as_bytes(),
            &postcard::to_stdvec(&digest).unwrap_or_default(),
        ]);
        self.propose(Command::AddKey {
            change_id,
            fingerprint,
            key: KeyRecord {
                id: id.clone(),
                customer: customer.clone(),
                digest,
            },
        })
        .await?;
        info!(self.control.logger, "control: key added"; "key_id" => %id,
            "customer" => %customer);
        Ok(json_response(
            StatusCode::OK,
            &json!({"id": id.as_str(), "customer": customer.as_str(), "key": key}),
        ))
    }

    /// Derives a key and its id from the change id and the secrets, so that a retried change
    /// returns the same key although only its digest is stored.
    fn derive_key(&self, change_id: &ChangeId, customer: &CustomerId) -> (KeyId, String) {
        let secrets_hash = hash_parts(&[
            self.control.operator_token.as_bytes(),
            self.control.key_secret.as_bytes(),
        ]);
        let derivation_key =
            blake3::derive_key("wasabipoint generated caller key v1", &secrets_hash);
        let change_id = change_id.as_str().as_bytes();
        let id_hash = hash_parts(&[b"id", change_id]);
        let id = blake3::keyed_hash(&derivation_key, &id_hash).to_hex();
        let key_input = hash_parts(&[b"key", change_id, customer.as_str().as_bytes()]);
        let key = blake3::keyed_hash(&derivation_key, &key_input).to_hex();
        (KeyId::new(format!("k{}", &id[..12])), format!("wp_{key}"))
    }

    async fn revoke_key(&self, headers: &HeaderMap, id: &str) -> Result<HttpResponse, ApiError> {
        let change_id = read_change_id(headers)?;
        let id = KeyId::new(id);
        let fingerprint = hash_parts(&[b"revoke key", id.as_str().as_bytes()]);
        let command = Command::RevokeKey {
            change_id,
            fingerprint,
            id: id.clone(),
        };
        self.propose(command).await?;
        info!(self.control.logger, "control: key revoked"; "key_id" => %id);
        let value = json!({"id": id.as_str(), "revoked": true});
        Ok(json_response(StatusCode::OK, &value))
    }

    async fn list_keys(&self) -> Result<HttpResponse, ApiError> {
        self.confirm_current().await?;
        let keys: Vec<Value> = self.control.member.read(|state| {
            let keys = state.view.keys.values();
            keys.map(|key| json!({"id": key.id.as_str(), "customer": key.customer.as_str()}))
                .collect()
        });
        Ok(json_response(StatusCode::OK, &json!({"keys": keys})))
    }

    async fn explain_model(&self, name: &str) -> Result<HttpResponse, ApiError> {
        self.confirm_current().await?;
        let model = ModelName::new(name);
        let explained = report::explain_model(&self.control, &model)
            .ok_or_else(|| ApiError::new(ErrorKind::ModelUnknown, name))?;
        Ok(json_response(StatusCode::OK, &explained))
    }

    async fn change_membership(&self, body: &Bytes) -> Result<HttpResponse, ApiError> {
        let body: MembershipChangeBody = read_json(body)?;
        let member = MemberId(body.member);
        let address = body.address.as_deref().map(str::parse).transpose();
        let address = address
            .map_err(|_| ApiError::new(ErrorKind::MalformedRequest, "address: expected IP:PORT"))?;
        let change = match (body.change.as_str(), address) {
            ("add_learner", Some(rpc_address)) => {
                // The address is committed before the membership change, so that every later leader
                // can reach the member.
                let http_address = None;
                self.propose(Command::PutMemberAddresses {
                    member,
                    rpc_address,
                    http_address,
                })
                .await?;
                MembershipChange::AddLearner(member, rpc_address)
            }
            ("add_learner", None) => {
                let detail = "address: required to add a member";
                return Err(ApiError::new(ErrorKind::MalformedRequest, detail));
            }
            ("promote", _) => MembershipChange::Promote(member),
            ("remove", _) => MembershipChange::Remove(member),
            _ => {
                let detail = "change: expected add_learner, promote or remove";
                return Err(ApiError::new(ErrorKind::MalformedRequest, detail));
            }
        };
        let changed = self.control.member.replica().change_membership(change);
        match tokio::time::timeout(REQUEST_TIMEOUT, changed).await {
            Ok(changed) => changed.map_err(|error| self.map_propose_error(error))?,
            Err(_) => return Err(self.map_propose_error(ProposeError::OutcomeUnknown)),
        }
        if let MembershipChange::Remove(member) = change {
            self.propose(Command::RemoveMemberAddresses(member)).await?;
        }
        info!(self.control.logger, "control: membership changed"; "change" => &body.change,
            "member" => member.0);
        let value = json!({"change": body.change, "member": member.0});
        Ok(json_response(StatusCode::OK, &value))
    }
}

fn parse_document(document: ConfigDocument, text: &str) -> Result<ConfigBody, ApiError> {
    let invalid = |detail: String| ApiError::new(ErrorKind::InvalidConfiguration, detail);
    match document {
        ConfigDocument::Inventory => Inventory::parse("request", text)
            .map(|inventory| ConfigBody::Inventory(Box::new(inventory)))
            .map_err(|errors| invalid(errors.to_string())),
        ConfigDocument::Rules => {
            let rules =
                Rules::parse("request", text).map_err(|errors| invalid(errors.to_string()))?;
            validate_policy(
                "placement",
                &rules.placement.policy,
                &placement_policy_names(),
            )?;
            validate_policy("routing", &rules.routing.policy, &routing_policy_names())?;
            Ok(ConfigBody::Rules(Box::new(rules)))
        }
    }
}

fn validate_policy(section: &str, name: &str, known: &[&str]) -> Result<(), ApiError> {
    if known.contains(&name) {
        return Ok(());
    }
    Err(ApiError::new(
        ErrorKind::InvalidConfiguration,
        format!(
            "request: [{section}] policy = {name:?}: expected one of {}",
            known.join(", ")
        ),
    ))
}

fn read_json<T: for<'de> Deserialize<'de>>(body: &Bytes) -> Result<T, ApiError> {
    serde_json::from_slice(body)
        .map_err(|error| ApiError::new(ErrorKind::MalformedRequest, error.to_string()))
}

fn read_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, ApiError> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.ok_or_else(|| {
        ApiError::new(
            ErrorKind::MalformedRequest,
            format!("the header {name} is required"),
        )
    })
}

fn read_change_id(headers: &HeaderMap) -> Result<ChangeId, ApiError> {
    let text = read_header(headers, "change-id")?;
    if (1..=MAX_CHANGE_ID_BYTES).contains(&text.len()) {
        return Ok(ChangeId::new(text));
    }
    Err(ApiError::new(
        ErrorKind::MalformedRequest,
        "change-id: expected 1 to 128 characters",
    ))
}

fn read_expected_version(headers: &HeaderMap) -> Result<ConfigVersion, ApiError> {
    let text = read_header(headers, "expected-version")?;
    text.parse().map(ConfigVersion).map_err(|_| {
        ApiError::new(
            ErrorKind::MalformedRequest,
            "expected-version: expected a whole number",
        )
    })
}

/// Hashes several parts. Each is prefixed with its length, so that moving bytes from one part to
/// the next changes the digest.
fn hash_parts(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}
