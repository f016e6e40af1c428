//! Operator access to the complete configuration of a forwarding deployment.

use std::sync::Arc;

use slog::{info, warn};
use wasabipoint_kernel::Deployment;

use crate::context::ControlContext;
use crate::state::Command;
use crate::stores::StoreError;

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
    pub async fn apply(&self, document: Vec<u8>, deployment: Deployment) -> Result<(), StoreError> {
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
                Err(self.control.store_error(&error))
            }
        }
    }

    /// Returns the current document, confirmed by a quorum, or `None` if none was applied yet.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead or cannot confirm that it is current.
    pub async fn read(&self) -> Result<Option<Vec<u8>>, StoreError> {
        let confirmed = self.control.member.confirm_current().await;
        confirmed.map_err(|error| self.control.store_error(&error))?;
        Ok(self.control.member.read(|state| {
            let record = &state.deployment;
            (record.version > 0).then(|| record.document.clone())
        }))
    }
}
