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
    copy
    /// What a customer may use beyond its rate and burst in any window. Slices that are out at
    /// entry processes make use of it.
    #[derive(Default)]
    pub struct RateAllowance {
        /// Length of the window in milliseconds.
        pub window_ms: u64,
        /// Share of rate and burst over the window, in percent.
        pub overshoot_percent: u64,
        /// Units on top of it.
        pub slack: u64,
    }
}

impl RateAllowance {
    /// Returns a burst enlarged by nine tenths of the allowance; the rest covers rounding and
    /// clocks.
    fn enlarge(&self, rate_per_s: u64, burst: u64) -> u64 {
        let window = rate_per_s.saturating_mul(self.window_ms) / 1_000 + burst;
        let allowed = window.saturating_mul(self.overshoot_percent) / 100 + self.slack;
        burst + allowed / 10 * 9
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
        allowance: RateAllowance,
    ) -> Outcome {
        if deployment.version <= self.deployment.version {
            return Outcome::Done;
        }
        self.deployment = DeploymentRecord {
            version: deployment.version,
            document,
        };
        let customers = limited_customers(&deployment, allowance);
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
fn limited_customers(
    deployment: &Deployment,
    allowance: RateAllowance,
) -> BTreeMap<CustomerId, Customer> {
    let limited = deployment.customers.values().filter_map(|customer| {
        let rate_per_s = customer.rate_per_s?;
        Some((
            customer.id.clone(),
            Customer {
                id: customer.id.clone(),
                rate_tokens_per_s: rate_per_s,
                burst_tokens: allowance.enlarge(rate_per_s, customer.burst),
                models: Vec::new(),
                routes: Vec::new(),
                priority: 0,
            },
        ))
    });
    limited.collect()
}
