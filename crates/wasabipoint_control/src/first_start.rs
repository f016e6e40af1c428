//! The first start of a cluster, in which an initial member may be replaced before it takes part.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::sync::watch;
use wasabipoint_kernel::MemberId;

/// What tells at the first start that an initial member was replaced before it took part.
pub(crate) struct FirstStart {
    initial_members: BTreeMap<MemberId, SocketAddr>,
    /// RPC addresses of control members that the platform names now, if there is a platform.
    seeds: Option<watch::Receiver<Vec<SocketAddr>>>,
}

impl FirstStart {
    pub(crate) fn new(
        initial_members: &BTreeMap<MemberId, SocketAddr>,
        seeds: Option<watch::Receiver<Vec<SocketAddr>>>,
    ) -> Self {
        Self {
            initial_members: initial_members.clone(),
            seeds,
        }
    }

    /// Returns the initial members that the platform no longer names, if it names a process instead
    /// that joins at another address.
    pub(crate) fn replaced_members(&self, joining: SocketAddr) -> Vec<MemberId> {
        let Some(seeds) = &self.seeds else {
            return Vec::new();
        };
        let seeds = seeds.borrow();
        let is_initial = self.initial_members.values().any(|known| *known == joining);
        if is_initial || !seeds.contains(&joining) {
            return Vec::new();
        }
        let unnamed = self.initial_members.iter();
        unnamed
            .filter(|(_, address)| !seeds.contains(address))
            .map(|(member, _)| *member)
            .collect()
    }
}
