//! Access of operators to the complete configuration of a forwarding deployment.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::{info, warn};
use wasabipoint_consensus::ProposeError;
use wasabipoint_kernel::Deployment;

use crate::control::ControlContext;
use crate::state::Command;

/// Why an operator's call has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeploymentStoreError {
    /// Another member leads.
    NotLeader {
        /// Its address for operators, if it is known.
        leader: Option<SocketAddr>,
    },
    /// No result could be confirmed. A change may or may not be in force.
    Unconfirmed,
}

/// Applies and reads the configuration through one member.
#[derive(Clone)]
pub struct DeploymentStore {
    control: Arc<ControlContext>,
}

impl DeploymentStore {
    pub(crate) fn new(control: Arc<ControlContext>) -> Self {
        Self { control }
    }

    /// Makes a validated configuration durable. One whose version is not higher than the version
    /// held changes nothing.
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
                info!(self.control.logger, "control: configuration committed"; "version" => version);
                Ok(())
            }
            Err(error) => {
                warn!(self.control.logger, "control: configuration not confirmed";
                    "version" => version, "error" => %error);
                Err(self.map_error(error))
            }
        }
    }

    /// Returns the newest document, confirmed by a quorum, or `None` before the first.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead or cannot confirm that it is current.
    pub async fn read(&self) -> Result<Option<Vec<u8>>, DeploymentStoreError> {
        let confirmed = self.control.member.confirm().await;
        confirmed.map_err(|error| self.map_error(error))?;
        Ok(self.control.member.read(|state| {
            let record = &state.deployment;
            (record.version > 0).then(|| record.document.clone())
        }))
    }

    fn map_error(&self, error: ProposeError) -> DeploymentStoreError {
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
