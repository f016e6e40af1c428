//! Rpc addresses of the members of a control cluster.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wasabipoint_kernel::MemberId;

/// Most addresses kept from messages of members that nothing else names. A member that was removed
/// needs the answer that says so; beyond that they are of no use.
const MAX_LEARNED_ADDRESSES: usize = 64;

/// What is known of the members' addresses, and from where.
#[derive(Debug)]
pub(crate) struct AddressBook {
    /// Those of the settings or of the first start.
    first: BTreeMap<MemberId, SocketAddr>,
    /// Whether the first ones are an operator's and go before what members tell of themselves.
    is_fixed: bool,
    /// Those of the configuration in force and of the applied state.
    replicated: BTreeMap<MemberId, SocketAddr>,
    /// Those that members gave with their messages.
    learned: BTreeMap<MemberId, SocketAddr>,
}

impl AddressBook {
    pub(crate) fn new(first: BTreeMap<MemberId, SocketAddr>, is_fixed: bool) -> Self {
        Self {
            first,
            is_fixed,
            replicated: BTreeMap::new(),
            learned: BTreeMap::new(),
        }
    }

    /// Returns the address of a member. What it tells of itself goes before what was known at the
    /// first start, since it may have moved.
    pub(crate) fn get(&self, member: MemberId) -> Option<SocketAddr> {
        let first = self.first.get(&member);
        let learned = self.learned.get(&member);
        let replicated = self.replicated.get(&member);
        let found = if self.is_fixed {
            first.or(learned).or(replicated)
        } else {
            learned.or(first).or(replicated)
        };
        found.copied()
    }

    /// Returns all members with their addresses.
    pub(crate) fn all(&self) -> BTreeMap<MemberId, SocketAddr> {
        let members = self.first.keys();
        let members = members.chain(self.replicated.keys());
        let members = members.chain(self.learned.keys());
        members.filter_map(|m| Some((*m, self.get(*m)?))).collect()
    }

    /// Replaces the replicated addresses.
    pub(crate) fn set_replicated(&mut self, replicated: BTreeMap<MemberId, SocketAddr>) {
        self.replicated = replicated;
    }

    /// Notes the address that a member gave with a message. Returns whether it is a new one.
    pub(crate) fn learn(&mut self, member: MemberId, address: SocketAddr) -> bool {
        if address.ip().is_unspecified() || self.learned.get(&member) == Some(&address) {
            return false;
        }
        if self.learned.len() >= MAX_LEARNED_ADDRESSES {
            let (first, replicated) = (&self.first, &self.replicated);
            let is_named = |m: &MemberId| first.contains_key(m) || replicated.contains_key(m);
            self.learned.retain(|known, _| is_named(known));
        }
        self.learned.insert(member, address);
        true
    }
}
