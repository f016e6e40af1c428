//! Operator access to the quarantine of prompt parts.

use http::StatusCode;
use serde_json::{Value, json};
use slog::info;
use wasabipoint_http::{HttpResponse, json_response};
use wasabipoint_kernel::{ErrorKind, PromptPartId};
use wasabipoint_rpc::{QuarantineCause, QuarantinedPart};

use super::{ApiError, OperatorApi};
use crate::state::Command;

/// Path of the list. The path of a part is followed by its id in hexadecimal.
pub(super) const PATH: &str = "/v1/quarantine";

/// Returns the part that a path names.
pub(super) fn part_in_path(path: &str) -> Option<&str> {
    path.strip_prefix(PATH)?.strip_prefix('/')
}

fn parse_part(text: &str) -> Result<PromptPartId, ApiError> {
    PromptPartId::parse(text).ok_or_else(|| {
        let detail = format!("{text:?} is not a prompt part, expected up to 16 hexadecimal digits");
        ApiError::new(ErrorKind::MalformedRequest, detail)
    })
}

impl OperatorApi {
    /// Lists the quarantined parts with their evidence and the requests refused in this term.
    pub(super) async fn list_quarantine(&self) -> Result<HttpResponse, ApiError> {
        self.confirm_current().await?;
        let control = &self.control;
        let parts = control.member.read(|state| state.view.quarantine.clone());
        let described: Vec<Value> = match control.member.leading_term() {
            Some(term) => control.with_leader_state(term, |leader| {
                let describe = |record: &QuarantinedPart| {
                    let refusals = leader.prompts.refusals(record.part);
                    describe_part(record, refusals)
                };
                parts.values().map(describe).collect()
            }),
            None => parts
                .values()
                .map(|record| describe_part(record, None))
                .collect(),
        };
        let value = json!({"quarantine": described});
        Ok(json_response(StatusCode::OK, &value))
    }

    /// Quarantines a part until an operator lifts it.
    pub(super) async fn set_quarantine(&self, part: &str) -> Result<HttpResponse, ApiError> {
        let part = parse_part(part)?;
        let since_ms = self.control.member.log_time_ms().await;
        let since_ms = since_ms.map_err(|error| self.map_propose_error(error))?;
        let record = QuarantinedPart::new(part, QuarantineCause::Operator, since_ms);
        self.propose(Command::PutQuarantine(Box::new(record)))
            .await?;
        info!(self.control.logger, "quarantine: prompt part quarantined by an operator";
            "part" => %part);
        let value = json!({"part": part.to_string(), "quarantined": true});
        Ok(json_response(StatusCode::OK, &value))
    }

    /// Ends the quarantine of a part. Evidence from before counts no more.
    pub(super) async fn lift_quarantine(&self, part: &str) -> Result<HttpResponse, ApiError> {
        let part = parse_part(part)?;
        self.propose(Command::LiftQuarantine(part)).await?;
        if let Some(term) = self.control.member.leading_term() {
            self.control
                .with_leader_state(term, |leader| leader.prompts.acquit(part));
        }
        info!(self.control.logger, "quarantine: prompt part released by an operator";
            "part" => %part);
        let value = json!({"part": part.to_string(), "quarantined": false});
        Ok(json_response(StatusCode::OK, &value))
    }
}

fn describe_part(record: &QuarantinedPart, refusals: Option<(u64, std::time::Duration)>) -> Value {
    let cause = match &record.cause {
        QuarantineCause::Operator => json!("operator"),
        QuarantineCause::Crashes {
            crashes,
            requests,
            entries,
        } => json!({"crashes": crashes, "requests": requests, "entries": entries}),
    };
    json!({
        "part": record.part.to_string(),
        "cause": cause,
        "probes": record.probes,
        "failed_probes": record.failed_probes,
        "probing_entry": record.probe.as_ref().map(|probe| probe.entry.as_str()),
        "refused": refusals.map_or(0, |(count, _)| count),
        "last_refusal_ms_ago": refusals.map(|(_, age)| age.as_millis() as u64),
    })
}
