//! The fleet view of entry processes, and its updates.

mod earlier;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use wasabipoint_kernel::{
    ConfigVersion, CustomerId, Deployment, EarlierDeployment, EndpointId, FailureDomain,
    Incarnation, Inventory, InventoryChange, KeyDigest, KeyId, ModelName, PromptPartId, Rules,
    ServiceName, SoftwareVersion, plain_data,
};

pub use earlier::EarlierEndpointView;

use crate::agent::EndpointKind;
use crate::prompt::QuarantinedPart;

plain_data! {
    data
    /// A valid key. Revoked keys are absent from the view.
    pub struct KeyRecord {
        /// Public identifier of the key.
        pub id: KeyId,
        /// Customer that the key belongs to.
        pub customer: CustomerId,
        /// Keyed digest of the key.
        pub digest: KeyDigest,
    }
}

plain_data! {
    data
    /// An endpoint as seen by routing.
    pub struct EndpointView {
        /// Name of the endpoint.
        pub id: EndpointId,
        /// Incarnation of its agent; each request is bound to one.
        pub incarnation: Incarnation,
        /// Address of its agent.
        pub address: SocketAddr,
        /// Failure domain of its VM.
        pub failure_domain: FailureDomain,
        /// Kind of the endpoint.
        pub kind: EndpointKind,
        /// Service that a plain endpoint provides.
        pub service: ServiceName,
        /// Models that are loaded and serve requests.
        pub models: Vec<ModelName>,
        /// Maximum number of concurrent requests at the endpoint.
        pub concurrency: u32,
        /// Whether the endpoint is leaving and receives no new requests.
        pub is_leaving: bool,
        /// Version of its software.
        pub software_version: SoftwareVersion,
    }
}

plain_data! {
    data
    /// Everything that an entry process needs to admit and route requests.
    pub struct FleetView {
        /// Revision of the view; it increases with every change.
        pub revision: u64,
        /// Version of inventory and rules.
        pub config_version: ConfigVersion,
        /// The inventory.
        pub inventory: Inventory,
        /// The rules.
        pub rules: Rules,
        /// Valid keys by identifier.
        pub keys: BTreeMap<KeyId, KeyRecord>,
        /// Registered endpoints by name.
        pub endpoints: BTreeMap<EndpointId, EndpointView>,
        /// Complete configuration of a forwarding deployment, if an operator has applied one.
        pub deployment: Option<Box<Deployment>>,
        /// Prompt parts whose requests are refused.
        pub quarantine: BTreeMap<PromptPartId, QuarantinedPart>,
        /// Failure domains whose endpoints get no new requests, by order of an operator.
        pub out_of_service: BTreeSet<FailureDomain>,
        /// Software version of each service that began the streams without a record.
        pub base_versions: BTreeMap<ServiceName, SoftwareVersion>,
    }
}

impl FleetView {
    /// Creates an empty view at revision zero.
    pub fn new() -> Self {
        Self {
            revision: 0,
            config_version: ConfigVersion(0),
            inventory: Inventory::default(),
            rules: Rules::default(),
            keys: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            deployment: None,
            quarantine: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
            base_versions: BTreeMap::new(),
        }
    }

    /// Returns whether an endpoint belongs to a failure domain that is out of service.
    pub fn is_out_of_service(&self, endpoint: &EndpointView) -> bool {
        self.out_of_service.contains(&endpoint.failure_domain)
    }

    /// Returns whether an endpoint may get new requests: it does not leave, and its failure domain is
    /// in service.
    pub fn accepts_requests(&self, endpoint: &EndpointView) -> bool {
        !endpoint.is_leaving && !self.is_out_of_service(endpoint)
    }

    /// Applies one change.
    pub fn apply(&mut self, change: &FleetChange) {
        match change {
            FleetChange::Config(version) => self.config_version = *version,
            FleetChange::Inventory(change) => self.inventory.apply(change),
            FleetChange::Rules(rules) => self.rules = (**rules).clone(),
            FleetChange::PutKey(key) => {
                self.keys.insert(key.id.clone(), key.clone());
            }
            FleetChange::RevokeKey(id) => {
                self.keys.remove(id);
            }
            FleetChange::EarlierEndpoint(endpoint) => {
                let endpoint = EndpointView::from((**endpoint).clone());
                self.endpoints.insert(endpoint.id.clone(), endpoint);
            }
            FleetChange::PutEndpoint(endpoint) => {
                self.endpoints
                    .insert(endpoint.id.clone(), (**endpoint).clone());
            }
            FleetChange::RemoveEndpoint(id) => {
                self.endpoints.remove(id);
            }
            FleetChange::EarlierDeployment(deployment) => {
                self.deployment = Some(Box::new((**deployment).clone().into()));
            }
            FleetChange::Deployment(deployment) => self.deployment = Some(deployment.clone()),
            FleetChange::Superseded => {}
            FleetChange::PutQuarantine(quarantined) => {
                self.quarantine
                    .insert(quarantined.part, (**quarantined).clone());
            }
            FleetChange::LiftQuarantine(part) => {
                self.quarantine.remove(part);
            }
            FleetChange::TakeOutOfService(domain) => {
                self.out_of_service.insert(domain.clone());
            }
            FleetChange::ReturnToService(domain) => {
                self.out_of_service.remove(domain);
            }
            FleetChange::SetBaseVersion(service, version) => {
                self.base_versions.insert(service.clone(), version.clone());
            }
        }
    }
}

impl Default for FleetView {
    fn default() -> Self {
        Self::new()
    }
}

plain_data! {
    data
    /// One change to the fleet view.
    pub enum FleetChange {
        /// Inventory and rules have this version.
        Config(ConfigVersion),
        /// An item of the inventory changed.
        Inventory(InventoryChange),
        /// The rules changed.
        Rules(Box<Rules>),
        /// A key was added.
        PutKey(KeyRecord),
        /// A key was revoked.
        RevokeKey(KeyId),
        /// An endpoint registered or changed, in the layout of earlier releases.
        EarlierEndpoint(Box<EarlierEndpointView>),
        /// An endpoint was removed.
        RemoveEndpoint(EndpointId),
        /// A complete configuration took effect, in the layout of earlier releases.
        EarlierDeployment(Box<EarlierDeployment>),
        /// Stands in for a complete configuration that a later change replaced.
        Superseded,
        /// A prompt part was quarantined, or its probe changed.
        PutQuarantine(Box<QuarantinedPart>),
        /// The quarantine of a prompt part ended.
        LiftQuarantine(PromptPartId),
        /// A complete configuration took effect.
        Deployment(Box<Deployment>),
        /// The endpoints of a failure domain get no new requests.
        TakeOutOfService(FailureDomain),
        /// The endpoints of a failure domain get requests again.
        ReturnToService(FailureDomain),
        /// An endpoint registered or changed.
        PutEndpoint(Box<EndpointView>),
        /// Streams of a service without a record belong to this software version from now on.
        SetBaseVersion(ServiceName, SoftwareVersion),
    }
}

plain_data! {
    data
    /// A long-poll request for changes.
    pub struct WatchRequest {
        /// Name of the calling process, for logs and status.
        pub process_name: String,
        /// Revision that the process has; 0 for none.
        pub known_revision: u64,
        /// Maximum time that the member waits for a change.
        pub wait_ms: u64,
    }
}

plain_data! {
    data
    /// The response to a long poll. It was current at some time after the call was received.
    pub struct WatchReply {
        /// Revision of the caller's view after it has applied the update.
        pub revision: u64,
        /// What changed since the known revision.
        pub update: FleetUpdate,
    }
}

plain_data! {
    data
    /// What changed since a known revision.
    pub enum FleetUpdate {
        /// The changes in order; empty if the caller is up to date.
        Delta(Vec<FleetChange>),
        /// The complete view, for callers that missed too many changes.
        Snapshot(Box<FleetView>),
    }
}
