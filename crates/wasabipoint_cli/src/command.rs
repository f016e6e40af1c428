//! Execution of commands.

use std::net::SocketAddr;
use std::path::Path;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use wasabipoint_kernel::{
    CLI_SETTINGS, ErrorKind, FailureDomain, Inventory, Refusal, RequestId, Rules, RunState,
    Settings,
};

use crate::api::{ApiClient, ApiRequest, parse_body, parse_refusal};
use crate::arguments::{
    ApplyOptions, Arguments, Command, DomainsCommand, ExplainCommand, InventoryCommand,
    KeysCommand, MembersCommand, QuarantineCommand, RulesCommand,
};
use crate::check::{check_file, read_file};
use crate::output::{Output, render_exit_codes};
use crate::render::{render_changes, render_value};

/// Runs a command and returns its output.
pub async fn run(arguments: &Arguments) -> Output {
    match run_command(arguments).await {
        Ok(text) => Output::new(text),
        Err(refusal) => Output::failed(&refusal, arguments.json),
    }
}

async fn run_command(arguments: &Arguments) -> Result<String, Refusal> {
    match &arguments.command {
        Command::Check { file } => {
            let label = check_file(file)?;
            return Ok(render(
                arguments,
                &json!({"file": file, "kind": label, "valid": true}),
            ));
        }
        Command::ExitCodes => return Ok(render_exit_codes(arguments.json)),
        _ => {}
    }
    let settings = Settings::load(&arguments.settings, "operator", CLI_SETTINGS)
        .map_err(|errors| Refusal::new(ErrorKind::InvalidConfiguration, format!("\n{errors}")))?;
    let api = ApiClient::new(&settings);
    let value = match &arguments.command {
        Command::Inventory(InventoryCommand::Apply(options)) => {
            parse_inventory(&options.file)?;
            apply_file(&api, "/v1/inventory", options).await?
        }
        Command::Inventory(InventoryCommand::Diff { file }) => {
            return diff_inventory(&api, file, arguments.json).await;
        }
        Command::Inventory(InventoryCommand::Show) => get(&api, "/v1/inventory").await?,
        Command::Rules(RulesCommand::Apply(options)) => {
            parse_rules(&options.file)?;
            apply_file(&api, "/v1/rules", options).await?
        }
        Command::Rules(RulesCommand::Show) => get(&api, "/v1/rules").await?,
        Command::Keys(command) => run_keys_command(&api, command).await?,
        Command::Status => get(&api, "/v1/status").await?,
        Command::Explain(ExplainCommand::Model { model }) => {
            get(&api, &format!("/v1/explain/model/{model}")).await?
        }
        Command::Explain(ExplainCommand::Request { entry, request }) => {
            explain_request(&api, entry.as_deref(), request).await?
        }
        Command::Members(command) => run_members_command(&api, command).await?,
        Command::Quarantine(command) => run_quarantine_command(&api, command).await?,
        Command::Domains(command) => run_domains_command(&api, command).await?,
        Command::Check { .. } | Command::ExitCodes => unreachable!("handled above"),
    };
    Ok(render(arguments, &value))
}

fn render(arguments: &Arguments, value: &Value) -> String {
    if arguments.json {
        value.to_string()
    } else {
        render_value(value)
    }
}

async fn get(api: &ApiClient, path: &str) -> Result<Value, Refusal> {
    api.send(&ApiRequest::new(Method::GET, path)).await
}

fn parse_inventory(file: &Path) -> Result<Inventory, Refusal> {
    Inventory::parse(&file.display().to_string(), &read_file(file)?)
        .map_err(|errors| Refusal::new(ErrorKind::InvalidConfiguration, format!("\n{errors}")))
}

fn parse_rules(file: &Path) -> Result<Rules, Refusal> {
    Rules::parse(&file.display().to_string(), &read_file(file)?)
        .map_err(|errors| Refusal::new(ErrorKind::InvalidConfiguration, format!("\n{errors}")))
}

async fn apply_file(api: &ApiClient, path: &str, options: &ApplyOptions) -> Result<Value, Refusal> {
    let expected_version = match options.expected_version {
        Some(version) => version,
        None => fetch_config_version(api).await?,
    };
    let change_id = change_id_or_random(options.change_id.as_deref());
    let request = ApiRequest::new(Method::PUT, path)
        .with_header("expected-version", expected_version.to_string())
        .with_header("change-id", change_id.as_str())
        .with_body(read_file(&options.file)?);
    let resend_hint = format!("--expected-version {expected_version} --change-id {change_id}");
    send_change(api, &request, &resend_hint).await
}

async fn fetch_config_version(api: &ApiClient) -> Result<u64, Refusal> {
    let status = get(api, "/v1/status").await?;
    status["config_version"]
        .as_u64()
        .ok_or_else(|| Refusal::new(ErrorKind::Internal, "the status has no config_version"))
}

/// Sends a change. If its response was lost, the error says that the change may be in force and how
/// to resend it.
async fn send_change(
    api: &ApiClient,
    request: &ApiRequest,
    resend_hint: &str,
) -> Result<Value, Refusal> {
    api.send(request).await.map_err(|mut refusal| {
        if refusal.run_state == RunState::Unknown {
            refusal.detail = format!(
                "{}; the change may be in force, resend it with {resend_hint}",
                refusal.detail
            );
        }
        refusal
    })
}

async fn run_keys_command(api: &ApiClient, command: &KeysCommand) -> Result<Value, Refusal> {
    match command {
        KeysCommand::Add {
            customer,
            change_id,
        } => {
            let change_id = change_id_or_random(change_id.as_deref());
            let request = ApiRequest::new(Method::POST, "/v1/keys")
                .with_header("change-id", change_id.as_str())
                .with_header("content-type", "application/json")
                .with_body(json!({"customer": customer}).to_string());
            send_change(api, &request, &format!("--change-id {change_id}")).await
        }
        KeysCommand::Withdraw { change_id, id } => {
            let change_id = change_id_or_random(change_id.as_deref());
            let request = ApiRequest::new(Method::DELETE, format!("/v1/keys/{id}"))
                .with_header("change-id", change_id.as_str());
            send_change(api, &request, &format!("--change-id {change_id}")).await
        }
        KeysCommand::List => get(api, "/v1/keys").await,
    }
}

async fn run_members_command(api: &ApiClient, command: &MembersCommand) -> Result<Value, Refusal> {
    let body = match command {
        MembersCommand::AddLearner { member, address } => {
            json!({"change": "add_learner", "member": member, "address": address})
        }
        MembersCommand::Promote { member } => json!({"change": "promote", "member": member}),
        MembersCommand::Remove { member } => json!({"change": "remove", "member": member}),
    };
    let request = ApiRequest::new(Method::POST, "/v1/members")
        .with_header("content-type", "application/json")
        .with_body(body.to_string());
    send_change(api, &request, "the same command").await
}

async fn run_quarantine_command(
    api: &ApiClient,
    command: &QuarantineCommand,
) -> Result<Value, Refusal> {
    let (method, part) = match command {
        QuarantineCommand::List => return get(api, "/v1/quarantine").await,
        QuarantineCommand::Add { part } => (Method::PUT, part),
        QuarantineCommand::Release { part } => (Method::DELETE, part),
    };
    let request = ApiRequest::new(method, format!("/v1/quarantine/{part}"));
    send_change(api, &request, "the same command").await
}

async fn run_domains_command(api: &ApiClient, command: &DomainsCommand) -> Result<Value, Refusal> {
    let (method, domain) = match command {
        DomainsCommand::List => return get(api, "/v1/domains").await,
        DomainsCommand::TakeOut { domain } => (Method::PUT, domain),
        DomainsCommand::Return { domain } => (Method::DELETE, domain),
    };
    let segment = FailureDomain::new(domain).to_path_segment();
    let request = ApiRequest::new(method, format!("/v1/domains/{segment}/out-of-service"));
    send_change(api, &request, "the same command").await
}

async fn diff_inventory(api: &ApiClient, file: &Path, is_json: bool) -> Result<String, Refusal> {
    let changed = parse_inventory(file)?;
    let value = get(api, "/v1/inventory").await?;
    let text = value["text"].as_str().unwrap_or_default();
    let current = if text.is_empty() {
        Inventory::default()
    } else {
        Inventory::parse("current", text)
            .map_err(|errors| Refusal::new(ErrorKind::Internal, errors.to_string()))?
    };
    Ok(render_changes(
        &current,
        &current.changes_to(&changed),
        is_json,
    ))
}

async fn explain_request(
    api: &ApiClient,
    entry: Option<&str>,
    request: &str,
) -> Result<Value, Refusal> {
    if RequestId::parse(request).is_none() {
        let detail = format!("{request:?} is not a request id, expected 32 hexadecimal digits");
        return Err(Refusal::new(ErrorKind::MalformedRequest, detail));
    }
    let addresses: Vec<SocketAddr> = match entry {
        Some(address) => vec![address.parse().map_err(|_| {
            Refusal::new(
                ErrorKind::MalformedRequest,
                format!("{address:?}: expected IP:PORT"),
            )
        })?],
        None => entry_addresses(&get(api, "/v1/status").await?),
    };
    let query = ApiRequest::new(Method::GET, format!("/v1/explain/request/{request}"));
    let mut last_refusal = Refusal::new(ErrorKind::NotFound, "no entry process knows the request");
    for address in addresses {
        match api.send_to(address, &query).await {
            Ok(response) if response.status().is_success() => return Ok(parse_body(&response)),
            Ok(response) if response.status() == StatusCode::NOT_FOUND => {}
            Ok(response) => last_refusal = parse_refusal(&response),
            Err(error) => {
                last_refusal = Refusal::new(ErrorKind::Unavailable, format!("{address}: {error}"));
            }
        }
    }
    Err(last_refusal)
}

fn entry_addresses(status: &Value) -> Vec<SocketAddr> {
    let entries = status["entries"].as_array().map_or(&[][..], Vec::as_slice);
    entries
        .iter()
        .filter_map(|entry| entry["address"].as_str()?.parse().ok())
        .collect()
}

fn change_id_or_random(given: Option<&str>) -> String {
    given.map_or_else(|| RequestId::random().to_string(), str::to_owned)
}
