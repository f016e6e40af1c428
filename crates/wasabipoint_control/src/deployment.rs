//! Operator access to the complete configuration of a forwarding deployment.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::{info, warn};
use wasabipoint_consensus::ProposeError;
use wasabipoint_kernel::Deployment;

use crate::context::ControlContext;
use crate::state::Command;

/// Error of a read or write of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeploymentStoreError {
    /// Another member leads.
    NotLeader {
        /// HTTP address of its operator API, if known.
        leader: Option<SocketAddr>,
    },
    /// The result could not be confirmed. A write may or may not have taken effect.
    Unconfirmed,
}

/// Reads and writes the replicated configuration through one member.
#[derive(Clone)]
pub struct DeploymentStore {
    control: Arc<ControlContext>,
}

impl DeploymentStore {
    pub(crate) fn new(control: Arc<ControlContext>) -> Self {
        Self { control }
    }

    /// Commits a validated configuration: the document that the operator sent and its parsed form.
    /// A configuration whose version is not higher than the current one changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead or the commit cannot be confirmed.
    pub async fn apply(
        &self,
        document: Vec<u8>,
        deployment: Deployment,
    ) -> Result<(), DeploymentStoreError> {
        let version = deployment.version;
        let command = Command::ApplyDeployment {
            document,
            deployment: Box::new(deployment),
            allowance: self.control.rate_allowance,
        };
        let proposed = self.control.member.propose(command).await;
        match proposed {
            Ok(_) => {
                info!(self.control.logger, "control: configuration committed";
                    "version" => version);
                Ok(())
            }
            Err(error) => {
                warn!(self.control.logger, "control: the configuration was not confirmed";
                    "version" => version, "error" => %error);
                Err(self.map_propose_error(error))
            }
        }
    }

    /// Returns the current document, confirmed by a quorum, or `None` if none was applied yet.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead or cannot confirm that it is current.
    pub async fn read(&self) -> Result<Option<Vec<u8>>, DeploymentStoreError> {
        let confirmed = self.control.member.confirm_current().await;
        confirmed.map_err(|error| self.map_propose_error(error))?;
        Ok(self.control.member.read(|state| {
            let record = &state.deployment;
            (record.version > 0).then(|| record.document.clone())
        }))
    }

    fn map_propose_error(&self, error: ProposeError) -> DeploymentStoreError {
        match error {
            ProposeError::NotLeader { leader } => DeploymentStoreError::NotLeader {
                leader: leader
                    .filter(|leader| *leader != self.control.member.id())
                    .and_then(|leader| self.control.member.http_address(leader)),
            },
            _ => DeploymentStoreError::Unconfirmed,
        }
    }
}
