//! Failure domains that are out of service, whose endpoints get no new requests.

use std::collections::BTreeSet;

use wasabipoint_kernel::{FailureDomain, ServiceName};

use super::Endpoints;

impl Endpoints {
    /// Replaces the failure domains that are out of service. Returns whether they changed.
    pub fn set_out_of_service(&mut self, domains: &BTreeSet<FailureDomain>) -> bool {
        if self.out_of_service == *domains {
            return false;
        }
        self.out_of_service.clone_from(domains);
        for state in self.states.values_mut() {
            state.is_out_of_service = domains.contains(&state.view.failure_domain);
        }
        true
    }

    /// Returns whether a service has no endpoint that may get new requests, only because failure
    /// domains are out of service.
    pub fn is_service_out(&self, service: &ServiceName) -> bool {
        let mut states = self.states.values();
        let has_unused = states.any(|state| {
            state.view.service == *service && state.is_out_of_service && !state.is_leaving()
        });
        has_unused && !self.has_endpoints(service)
    }

    /// Returns the requests of this entry process that still run in failure domains out of service.
    pub fn requests_out_of_service(&self) -> u64 {
        let states = self.states.values();
        let unused = states.filter(|state| state.is_out_of_service);
        unused.map(|state| u64::from(state.own_requests)).sum()
    }
}
