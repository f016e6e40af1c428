//! The complete configuration of a forwarding deployment and the listed endpoints.

use std::collections::BTreeMap;

use wasabipoint_kernel::{Customer, CustomerId, Deployment, EndpointId, plain_data};
use wasabipoint_rpc::{EndpointView, FleetChange};

use super::{ControlState, Outcome};

plain_data! {
    data
    /// The configuration in force, as the operator sent it.
    #[derive(Default)]
    pub struct DeploymentRecord {
        /// Version given by the operator; 0 before the first.
        pub version: u64,
        /// The document, byte for byte.
        pub document: Vec<u8>,
    }
}

plain_data! {
    data
    /// Changes of the listed endpoints.
    pub struct EndpointChanges {
        /// New or changed endpoints.
        pub put: Vec<EndpointView>,
        /// Endpoints that are gone.
        pub removed: Vec<EndpointId>,
    }
}

impl ControlState {
    /// Puts a configuration in force if its version is higher than the one held.
    pub(super) fn apply_deployment(
        &mut self,
        document: Vec<u8>,
        deployment: Box<Deployment>,
    ) -> Outcome {
        if deployment.version <= self.deployment.version {
            return Outcome::Done;
        }
        self.deployment = DeploymentRecord {
            version: deployment.version,
            document,
        };
        let customers = limited_customers(&deployment);
        self.quota.set_customers(self.time_ms, &customers);
        // A process that follows changes needs only the newest configuration.
        for (_, change) in &mut self.changes {
            if matches!(change, FleetChange::Deployment(_)) {
                *change = FleetChange::Superseded;
            }
        }
        self.change_view(FleetChange::Deployment(deployment));
        Outcome::Done
    }

    /// Takes changes of the listed endpoints. One that changes nothing is not published.
    pub(super) fn change_endpoints(&mut self, changes: EndpointChanges) -> Outcome {
        for id in changes.removed {
            if self.view.endpoints.contains_key(&id) {
                self.change_view(FleetChange::RemoveEndpoint(id));
            }
        }
        for endpoint in changes.put {
            if self.view.endpoints.get(&endpoint.endpoint) != Some(&endpoint) {
                self.change_view(FleetChange::PutEndpoint(Box::new(endpoint)));
            }
        }
        Outcome::Done
    }
}

/// Returns the customers whose rate is limited, as the quota counts them.
fn limited_customers(deployment: &Deployment) -> BTreeMap<CustomerId, Customer> {
    let limited = deployment.customers.values().filter_map(|customer| {
        Some((
            customer.id.clone(),
            Customer {
                id: customer.id.clone(),
                rate_tokens_per_s: customer.rate_per_s?,
                burst_tokens: customer.burst,
                models: Vec::new(),
                routes: Vec::new(),
                priority: 0,
            },
        ))
    });
    limited.collect()
}
