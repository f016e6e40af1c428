//! What the stores that operators use through one member have in common.

use std::net::SocketAddr;

use wasabipoint_consensus::ProposeError;

use crate::context::ControlContext;
use crate::deployment::DeploymentStore;
use crate::domains::DomainStore;

/// The stores of one member, from which a platform builds its interface for operators.
pub struct OperatorStores {
    /// The complete configuration.
    pub deployment: DeploymentStore,
    /// The failure domains that are out of service.
    pub domains: DomainStore,
}

/// Error of a read or write through one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// Another member leads.
    NotLeader {
        /// HTTP address of its operator API, if known.
        leader: Option<SocketAddr>,
    },
    /// The result could not be confirmed. A write may or may not have taken effect.
    Unconfirmed,
    /// The write was refused and changes nothing.
    Refused(String),
}

impl ControlContext {
    /// Maps the error of a proposal or of a read barrier to that of a store.
    pub(crate) fn store_error(&self, error: &ProposeError) -> StoreError {
        match error {
            ProposeError::NotLeader { leader } => StoreError::NotLeader {
                leader: leader
                    .filter(|leader| *leader != self.member.id())
                    .and_then(|leader| self.member.http_address(leader)),
            },
            _ => StoreError::Unconfirmed,
        }
    }
}
