//! Home regions: the regions whose endpoints may serve a route or a customer.

use std::collections::{BTreeMap, BTreeSet};

use wasabipoint_kernel::{FailureDomain, Region, ServiceName};

use super::Endpoints;

static ANYWHERE: BTreeSet<Region> = BTreeSet::new();

/// Regions that the route and the customer of a request name. An endpoint has to be in a region of
/// both; an empty set restricts nothing.
#[derive(Debug, Clone, Copy)]
pub struct HomeRegions<'a> {
    /// Regions of the route.
    pub route: &'a BTreeSet<Region>,
    /// Regions of the customer.
    pub customer: &'a BTreeSet<Region>,
}

impl Default for HomeRegions<'_> {
    fn default() -> Self {
        Self {
            route: &ANYWHERE,
            customer: &ANYWHERE,
        }
    }
}

impl HomeRegions<'_> {
    /// Returns whether an endpoint in a region may serve the request.
    pub fn allow(&self, region: &Region) -> bool {
        let allows = |homes: &BTreeSet<Region>| homes.is_empty() || homes.contains(region);
        allows(self.route) && allows(self.customer)
    }

    /// Returns whether endpoints of all regions may serve the request.
    pub fn is_unrestricted(&self) -> bool {
        self.route.is_empty() && self.customer.is_empty()
    }
}

/// The region of each failure domain. One without an entry is its own region.
#[derive(Debug, Clone, Default)]
pub struct Regions(BTreeMap<FailureDomain, Region>);

impl From<BTreeMap<FailureDomain, Region>> for Regions {
    fn from(regions: BTreeMap<FailureDomain, Region>) -> Self {
        Self(regions)
    }
}

impl Regions {
    /// Returns the region of a failure domain.
    pub fn region_of(&self, domain: &FailureDomain) -> Region {
        let region = self.0.get(domain).cloned();
        region.unwrap_or_else(|| Region::new(domain.as_str()))
    }
}

impl Endpoints {
    /// Sets the region of each failure domain. Endpoints that are known already keep theirs.
    #[must_use]
    pub fn with_regions(mut self, regions: Regions) -> Self {
        self.regions = regions;
        self
    }

    /// Returns whether no endpoint of a service is in the home regions of a request.
    pub fn is_outside(&self, service: &ServiceName, homes: &HomeRegions<'_>) -> bool {
        if homes.is_unrestricted() {
            return false;
        }
        let mut states = self.states.values();
        !states.any(|state| {
            state.view.service == *service && !state.is_leaving() && homes.allow(&state.region)
        })
    }
}
