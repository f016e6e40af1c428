//! Layout of endpoints in the logs and snapshots of releases that do not know software versions.

use std::net::SocketAddr;

use wasabipoint_kernel::{
    EndpointId, FailureDomain, Incarnation, ModelName, ServiceName, SoftwareVersion, plain_data,
};

use super::EndpointView;
use crate::agent::EndpointKind;

plain_data! {
    data
    /// An endpoint as earlier releases encode it.
    pub struct EarlierEndpointView {
        id: EndpointId,
        incarnation: Incarnation,
        address: SocketAddr,
        failure_domain: FailureDomain,
        kind: EndpointKind,
        service: ServiceName,
        models: Vec<ModelName>,
        concurrency: u32,
        is_leaving: bool,
    }
}

impl From<EarlierEndpointView> for EndpointView {
    fn from(earlier: EarlierEndpointView) -> Self {
        Self {
            id: earlier.id,
            incarnation: earlier.incarnation,
            address: earlier.address,
            failure_domain: earlier.failure_domain,
            kind: earlier.kind,
            service: earlier.service,
            models: earlier.models,
            concurrency: earlier.concurrency,
            is_leaving: earlier.is_leaving,
            software_version: SoftwareVersion::new(""),
        }
    }
}
