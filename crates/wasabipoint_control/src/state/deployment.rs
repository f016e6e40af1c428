//! The complete configuration of a forwarding deployment and its endpoints.

use std::collections::BTreeMap;

use wasabipoint_kernel::{Customer, CustomerId, Deployment, EndpointId, plain_data};
use wasabipoint_rpc::{EarlierEndpointView, EndpointView, FleetChange};

use super::{CommandOutcome, ControlState};

plain_data! {
    data
    /// The configuration in effect, as the operator sent it.
    #[derive(Default)]
    pub struct DeploymentRecord {
        /// Version assigned by the operator, or 0 before the first configuration.
        pub version: u64,
        /// The document, byte for byte.
        pub document: Vec<u8>,
    }
}

plain_data! {
    copy
    /// What a customer may use beyond its rate and burst in any window. The allowance covers
    /// slices that entry processes hold unused.
    #[derive(Default)]
    pub struct RateAllowance {
        /// Length of the window in milliseconds.
        pub window_ms: u64,
        /// Allowed overshoot, in percent of rate and burst over the window.
        pub overshoot_percent: u64,
        /// Units allowed in addition to the overshoot.
        pub slack: u64,
    }
}

impl RateAllowance {
    /// Returns the burst plus nine tenths of the allowance. The rest covers rounding and clock
    /// differences.
    fn extend_burst(&self, rate_per_s: u64, burst: u64) -> u64 {
        let window_units = rate_per_s.saturating_mul(self.window_ms) / 1_000 + burst;
        let allowance_units =
            window_units.saturating_mul(self.overshoot_percent) / 100 + self.slack;
        burst + allowance_units / 10 * 9
    }
}

plain_data! {
    data
    /// Changes of the endpoints in the fleet view.
    pub struct EndpointChanges {
        /// New or changed endpoints.
        pub put: Vec<EndpointView>,
        /// Endpoints that no longer exist.
        pub removed: Vec<EndpointId>,
    }
}

plain_data! {
    data
    /// Changes of the endpoints in the layout of earlier releases.
    pub struct EarlierEndpointChanges {
        put: Vec<EarlierEndpointView>,
        removed: Vec<EndpointId>,
    }
}

impl From<EarlierEndpointChanges> for EndpointChanges {
    fn from(earlier: EarlierEndpointChanges) -> Self {
        Self {
            put: earlier.put.into_iter().map(EndpointView::from).collect(),
            removed: earlier.removed,
        }
    }
}

impl ControlState {
    /// Applies a configuration if its version is higher than the current one.
    pub(super) fn apply_deployment(
        &mut self,
        document: Vec<u8>,
        deployment: Box<Deployment>,
        allowance: RateAllowance,
    ) -> CommandOutcome {
        if deployment.version <= self.deployment.version {
            return CommandOutcome::Done;
        }
        self.deployment = DeploymentRecord {
            version: deployment.version,
            document,
        };
        let customers = rate_limited_customers(&deployment, allowance);
        self.quota.set_customers(self.time_ms, &customers);
        // Callers that watch the view need only the newest configuration.
        for (_, change) in &mut self.changes {
            let is_deployment = matches!(
                change,
                FleetChange::Deployment(_) | FleetChange::EarlierDeployment(_)
            );
            if is_deployment {
                *change = FleetChange::Superseded;
            }
        }
        self.publish_change(FleetChange::Deployment(deployment));
        CommandOutcome::Done
    }

    /// Applies changes of the endpoints. Changes without effect are not published.
    pub(super) fn change_endpoints(&mut self, changes: EndpointChanges) -> CommandOutcome {
        for id in changes.removed {
            if self.view.endpoints.contains_key(&id) {
                self.publish_change(FleetChange::RemoveEndpoint(id));
            }
        }
        for endpoint in changes.put {
            if self.view.endpoints.get(&endpoint.id) != Some(&endpoint) {
                self.publish_change(FleetChange::PutEndpoint(Box::new(endpoint)));
            }
        }
        self.update_base_versions();
        CommandOutcome::Done
    }
}

/// Returns the customers that have a rate limit, in the form that the token buckets use, with the
/// allowance added to the burst.
fn rate_limited_customers(
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
                burst_tokens: allowance.extend_burst(rate_per_s, customer.burst),
                models: Vec::new(),
                routes: Vec::new(),
                priority: 0,
            },
        ))
    });
    limited.collect()
}
