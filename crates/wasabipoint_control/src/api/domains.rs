//! Operator calls that list failure domains, take them out of service and return them.

use http::StatusCode;
use serde_json::{Value, json};
use wasabipoint_http::{HttpResponse, json_response};
use wasabipoint_kernel::{ErrorKind, FailureDomain};

use super::{ApiError, OperatorApi};
use crate::domains::{DomainStatus, list_domains};
use crate::state::Command;

/// Path of the list.
pub(super) const PATH: &str = "/v1/domains";

/// Returns the percent-encoded name in the path of a command for a failure domain.
pub(super) fn domain_in_path(path: &str) -> Option<&str> {
    path.strip_prefix(PATH)?
        .strip_prefix('/')?
        .strip_suffix("/out-of-service")
}

impl OperatorApi {
    pub(super) async fn list_domains(&self) -> Result<HttpResponse, ApiError> {
        self.confirm_current().await?;
        let domains = self.control.member.read(|state| list_domains(&state.view));
        let domains: Vec<Value> = domains.iter().map(DomainStatus::to_json).collect();
        let value = json!({"domains": domains});
        Ok(json_response(StatusCode::OK, &value))
    }

    /// Takes a failure domain out of service, or returns it.
    pub(super) async fn set_out_of_service(
        &self,
        segment: &str,
        is_taken_out: bool,
    ) -> Result<HttpResponse, ApiError> {
        let domain = FailureDomain::from_path_segment(segment).ok_or_else(|| {
            let expected = FailureDomain::EXPECTED_NAME;
            let detail = format!("{segment:?} is not the name of a failure domain, {expected}");
            ApiError::new(ErrorKind::MalformedRequest, detail)
        })?;
        let command = if is_taken_out {
            Command::TakeOutOfService(domain.clone())
        } else {
            Command::ReturnToService(domain.clone())
        };
        self.propose(command).await?;
        self.control.record_domain_command(&domain, is_taken_out);
        let value = json!({"domain": domain.as_str(), "is_out_of_service": is_taken_out});
        Ok(json_response(StatusCode::OK, &value))
    }
}
