//! Operator access to the failure domains that are out of service.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Value, json};
use slog::{info, warn};
use wasabipoint_kernel::FailureDomain;
use wasabipoint_rpc::FleetView;

use crate::context::ControlContext;
use crate::state::{Command, CommandOutcome};
use crate::stores::StoreError;

/// A failure domain that has endpoints or is out of service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainStatus {
    /// Its name.
    pub name: FailureDomain,
    /// Whether an operator took it out of service.
    pub is_out_of_service: bool,
    /// Number of its endpoints, including leaving ones.
    pub endpoints: usize,
}

impl DomainStatus {
    pub(crate) fn to_json(&self) -> Value {
        json!({
            "domain": self.name.as_str(),
            "is_out_of_service": self.is_out_of_service,
            "endpoints": self.endpoints,
        })
    }
}

/// Takes failure domains out of service and returns them, through one member.
#[derive(Clone)]
pub struct DomainStore {
    control: Arc<ControlContext>,
}

impl DomainStore {
    pub(crate) fn new(control: Arc<ControlContext>) -> Self {
        Self { control }
    }

    /// Commits that the endpoints of a failure domain get no new requests and no changes until it is
    /// returned to service. The failure domain may be unknown or out of service already.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead, the commit cannot be confirmed, or too many failure
    /// domains are out of service.
    pub async fn take_out(&self, domain: FailureDomain) -> Result<(), StoreError> {
        self.propose(&domain, Command::TakeOutOfService(domain.clone()))
            .await
    }

    /// Commits that a failure domain is in service.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead or the commit cannot be confirmed.
    pub async fn return_to_service(&self, domain: FailureDomain) -> Result<(), StoreError> {
        self.propose(&domain, Command::ReturnToService(domain.clone()))
            .await
    }

    /// Returns the failure domains in order of their names, confirmed by a quorum.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead or cannot confirm that it is current.
    pub async fn list(&self) -> Result<Vec<DomainStatus>, StoreError> {
        let confirmed = self.control.member.confirm_current().await;
        confirmed.map_err(|error| self.control.store_error(&error))?;
        Ok(self.control.member.read(|state| list_domains(&state.view)))
    }

    async fn propose(&self, domain: &FailureDomain, command: Command) -> Result<(), StoreError> {
        let is_taken_out = matches!(command, Command::TakeOutOfService(_));
        match self.control.member.propose(command).await {
            Ok(CommandOutcome::Refused { detail, .. }) => Err(StoreError::Refused(detail)),
            Ok(_) => {
                self.control.record_domain_command(domain, is_taken_out);
                Ok(())
            }
            Err(error) => {
                warn!(self.control.logger, "control: a command for a failure domain was not confirmed";
                    "domain" => %domain, "is_taken_out" => is_taken_out, "error" => %error);
                Err(self.control.store_error(&error))
            }
        }
    }
}

impl ControlContext {
    /// Logs a committed command for a failure domain and lets the engine planner act on it.
    pub(crate) fn record_domain_command(&self, domain: &FailureDomain, is_taken_out: bool) {
        let message = if is_taken_out {
            "control: failure domain taken out of service"
        } else {
            "control: failure domain returned to service"
        };
        let (endpoints, out_of_service) = self.member.read(|state| {
            let endpoints = state.view.endpoints.values();
            let own = endpoints.filter(|endpoint| endpoint.failure_domain == *domain);
            (own.count(), state.view.out_of_service.len())
        });
        info!(self.logger, "{}", message; "domain" => %domain, "endpoints" => endpoints,
            "out_of_service" => out_of_service);
        self.wake_engine_planner.notify_one();
    }
}

/// Returns the failure domains that have endpoints or are out of service.
pub(crate) fn list_domains(view: &FleetView) -> Vec<DomainStatus> {
    let mut counts: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    for endpoint in view.endpoints.values() {
        *counts.entry(&endpoint.failure_domain).or_default() += 1;
    }
    for domain in &view.out_of_service {
        counts.entry(domain).or_default();
    }
    let statuses = counts.into_iter().map(|(name, endpoints)| DomainStatus {
        name: name.clone(),
        is_out_of_service: view.out_of_service.contains(name),
        endpoints,
    });
    statuses.collect()
}
