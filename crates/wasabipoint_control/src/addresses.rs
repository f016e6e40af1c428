//! RPC addresses of the members of a control cluster, merged from several sources.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wasabipoint_kernel::MemberId;

/// Limit on addresses learned from messages. When it is reached, those of members that are neither
/// initial nor replicated are evicted: they only serve to tell a removed member of its removal.
const MAX_LEARNED_ADDRESSES: usize = 64;

/// Addresses of the members by source: initial, replicated or learned from messages.
#[derive(Debug)]
pub(crate) struct AddressBook {
    /// Addresses from the settings or from the first start.
    initial: BTreeMap<MemberId, SocketAddr>,
    /// Whether `initial` was set by an operator and takes precedence over learned addresses.
    prefers_initial: bool,
    /// Addresses from the current membership configuration and from the applied state.
    replicated: BTreeMap<MemberId, SocketAddr>,
    /// Sender addresses carried by the members' messages.
    learned: BTreeMap<MemberId, SocketAddr>,
}

impl AddressBook {
    pub(crate) fn new(initial: BTreeMap<MemberId, SocketAddr>, prefers_initial: bool) -> Self {
        Self {
            initial,
            prefers_initial,
            replicated: BTreeMap::new(),
            learned: BTreeMap::new(),
        }
    }

    /// Returns the address of a member. Unless an operator set the initial addresses, the learned
    /// address takes precedence, since the member may have moved since the first start.
    pub(crate) fn get(&self, member: MemberId) -> Option<SocketAddr> {
        let initial = self.initial.get(&member);
        let learned = self.learned.get(&member);
        let replicated = self.replicated.get(&member);
        let found = if self.prefers_initial {
            initial.or(learned).or(replicated)
        } else {
            learned.or(initial).or(replicated)
        };
        found.copied()
    }

    /// Returns all known members with their addresses.
    pub(crate) fn all(&self) -> BTreeMap<MemberId, SocketAddr> {
        let members = self.initial.keys();
        let members = members.chain(self.replicated.keys());
        let members = members.chain(self.learned.keys());
        members.filter_map(|m| Some((*m, self.get(*m)?))).collect()
    }

    /// Replaces the replicated addresses.
    pub(crate) fn set_replicated(&mut self, replicated: BTreeMap<MemberId, SocketAddr>) {
        self.replicated = replicated;
    }

    /// Stores the address that a member sent with a message. Returns whether it changed.
    pub(crate) fn learn(&mut self, member: MemberId, address: SocketAddr) -> bool {
        if address.ip().is_unspecified() || self.learned.get(&member) == Some(&address) {
            return false;
        }
        if self.learned.len() >= MAX_LEARNED_ADDRESSES {
            let (initial, replicated) = (&self.initial, &self.replicated);
            let has_other_source =
                |m: &MemberId| initial.contains_key(m) || replicated.contains_key(m);
            self.learned.retain(|sender, _| has_other_source(sender));
        }
        self.learned.insert(member, address);
        true
    }
}
