//! Limits on requests that endpoints name, which bind the sum over all entry processes.
//!
//! The leader deals out permissions for single requests, which expire when they are not used. Equal
//! shares of a small limit would be useless to each of many entry processes, and a bucket that each
//! of them fills by itself would exceed the limit as soon as several of them use it.

use std::collections::{BTreeMap, VecDeque};

use wasabipoint_kernel::EntryId;

/// Time for which a permission is valid, in milliseconds.
pub const PERMISSION_LIFETIME_MS: u64 = 1_000;

/// Time for which permissions accumulate while none is requested, in milliseconds.
const ACCUMULATION_MS: u64 = 250;

/// Lowest rate in requests per second. An endpoint that accepts none is asked rarely, because only a
/// response shows that its limit changed.
const MIN_RATE_PER_S: f64 = 1.0 / 30.0;

/// Age up to which an unmet request of an entry process counts, in milliseconds.
const MAX_UNMET_AGE_MS: u64 = 2_000;

/// A limit as named by one response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedLimit {
    /// Requests per second from all entry processes; `None` if the response named no limit.
    pub rate_per_s: Option<f64>,
    /// Time at which the head of the response arrived, in milliseconds.
    pub at_ms: u64,
}

/// Permissions granted to an entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermissionGrant {
    /// Number of requests that may be sent within `PERMISSION_LIFETIME_MS`.
    pub permissions: u32,
    /// Time until the next permission for this entry process, after all that others wait for, in
    /// milliseconds.
    pub ready_in_ms: u64,
}

/// Permissions that an entry process requested and did not get.
#[derive(Debug, Clone, Copy)]
struct Unmet {
    count: u32,
    at_ms: u64,
}

/// The limit of one endpoint, as the leader deals it out.
#[derive(Debug)]
pub struct LimitDealer {
    named: NamedLimit,
    level: f64,
    refilled_ms: u64,
    unmet: BTreeMap<EntryId, Unmet>,
}

impl LimitDealer {
    /// Creates a dealer without permissions, since others may have been dealt out before.
    pub fn new(named: NamedLimit, now_ms: u64) -> Self {
        Self {
            named,
            level: 0.0,
            refilled_ms: now_ms,
            unmet: BTreeMap::new(),
        }
    }

    /// Returns the limit that was named last.
    pub fn named(&self) -> NamedLimit {
        self.named
    }

    /// Records what a response named, unless a later one is known.
    pub fn record_named(&mut self, named: NamedLimit, now_ms: u64) {
        if named.at_ms <= self.named.at_ms {
            return;
        }
        self.refill(now_ms);
        self.named = named;
        self.level = self.level.min(self.max_level());
    }

    /// Grants up to `wanted` permissions, at most half of those available unless there is one only,
    /// so that the first entry process to ask does not take all.
    pub fn grant(&mut self, entry: &EntryId, wanted: u32, now_ms: u64) -> PermissionGrant {
        self.refill(now_ms);
        let available = self.level.floor() as u32;
        let permissions = wanted.min(available.div_ceil(2));
        self.level -= f64::from(permissions);
        self.unmet
            .retain(|_, unmet| now_ms < unmet.at_ms + MAX_UNMET_AGE_MS);
        if wanted > permissions {
            let count = wanted - permissions;
            let unmet = Unmet {
                count,
                at_ms: now_ms,
            };
            self.unmet.insert(entry.clone(), unmet);
        } else {
            self.unmet.remove(entry);
        }
        PermissionGrant {
            permissions,
            ready_in_ms: self.ready_in_ms(),
        }
    }

    /// Returns whether entry processes want to send more requests than the limit allows.
    pub fn is_binding(&self, now_ms: u64) -> bool {
        let mut unmet = self.unmet.values();
        unmet.any(|unmet| now_ms < unmet.at_ms + MAX_UNMET_AGE_MS)
    }

    /// Returns the time until a further permission, after all that entry processes wait for.
    fn ready_in_ms(&self) -> u64 {
        let Some(rate_per_s) = self.rate_per_s() else {
            return 0;
        };
        let waiting: u32 = self.unmet.values().map(|unmet| unmet.count).sum();
        let missing = f64::from(waiting.max(1)) - self.level;
        (missing.max(0.0) / rate_per_s * 1_000.0).ceil() as u64
    }

    fn rate_per_s(&self) -> Option<f64> {
        let rate_per_s = self.named.rate_per_s?;
        Some(rate_per_s.max(MIN_RATE_PER_S))
    }

    fn max_level(&self) -> f64 {
        let rate_per_s = self.rate_per_s().unwrap_or(0.0);
        (rate_per_s * ACCUMULATION_MS as f64 / 1_000.0).max(1.0)
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let rate_per_s = self.rate_per_s().unwrap_or(0.0);
        let refilled = self.level + rate_per_s * elapsed_ms as f64 / 1_000.0;
        self.level = refilled.min(self.max_level());
    }
}

/// Time without a reply from the leader after which an entry process uses its equal share of the
/// limit instead of permissions, in milliseconds.
const LEADER_SILENCE_MS: u64 = 1_500;

/// Maximum number of permissions that are requested or held at once.
const MAX_PERMISSIONS: usize = 64;

/// The permissions of one entry process for one endpoint.
#[derive(Debug)]
pub struct RequestAllowance {
    named: NamedLimit,
    /// Times at which the unused permissions expire, in increasing order.
    expires_ms: VecDeque<u64>,
    /// Requests that found no permission since the last report.
    wanted: u32,
    /// Time at which the leader expects to have another permission.
    ready_ms: u64,
    /// Time of the last reply from the leader.
    replied_ms: u64,
    /// Level of the own share, which is used without a leader.
    own_level: f64,
    own_refilled_ms: u64,
}

impl RequestAllowance {
    /// Creates an allowance without permissions for an endpoint that named a limit.
    pub fn new(named: NamedLimit, now_ms: u64) -> Self {
        Self {
            named,
            expires_ms: VecDeque::new(),
            wanted: 0,
            ready_ms: now_ms,
            replied_ms: now_ms,
            own_level: 0.0,
            own_refilled_ms: now_ms,
        }
    }

    /// Returns the limit that was named last.
    pub fn named(&self) -> NamedLimit {
        self.named
    }

    /// Records what a response named, unless a later one is known. Returns whether the limit
    /// changed.
    pub fn record_named(&mut self, named: NamedLimit) -> bool {
        if named.at_ms < self.named.at_ms {
            return false;
        }
        let is_changed = named.rate_per_s != self.named.rate_per_s;
        self.named = named;
        is_changed
    }

    /// Returns whether a request may be sent now. `entries` is the number of entry processes that
    /// share the limit.
    pub fn can_send(&self, entries: u32, now_ms: u64) -> bool {
        self.named.rate_per_s.is_none()
            || self
                .expires_ms
                .iter()
                .any(|expires_ms| *expires_ms > now_ms)
            || self.own_level_at(entries, now_ms) >= 1.0
    }

    /// Uses a permission. Returns whether there was one.
    pub fn take(&mut self, entries: u32, now_ms: u64) -> bool {
        if self.named.rate_per_s.is_none() {
            return true;
        }
        self.expires_ms.retain(|expires_ms| *expires_ms > now_ms);
        if self.expires_ms.pop_front().is_some() {
            return true;
        }
        let own_level = self.own_level_at(entries, now_ms);
        if own_level < 1.0 {
            return false;
        }
        self.own_level = own_level - 1.0;
        self.own_refilled_ms = now_ms;
        true
    }

    /// Counts a request that found no permission.
    pub fn want(&mut self) {
        self.wanted = (self.wanted + 1).min(MAX_PERMISSIONS as u32);
    }

    /// Returns the number of permissions to request, and starts counting anew.
    pub fn take_wanted(&mut self) -> u32 {
        std::mem::take(&mut self.wanted)
    }

    /// Adds the permissions of a reply to a report that was sent at `sent_ms`.
    pub fn add(&mut self, grant: PermissionGrant, sent_ms: u64, now_ms: u64) {
        let expires_ms = sent_ms + PERMISSION_LIFETIME_MS;
        for _ in 0..grant.permissions {
            if self.expires_ms.len() < MAX_PERMISSIONS {
                self.expires_ms.push_back(expires_ms);
            }
        }
        self.ready_ms = now_ms + grant.ready_in_ms;
        self.replied_ms = now_ms;
        // The own share starts to accumulate only when the leader falls silent.
        self.own_level = 0.0;
    }

    /// Returns the time until the leader expects to have another permission, in milliseconds.
    pub fn ready_in_ms(&self, now_ms: u64) -> u64 {
        self.ready_ms.saturating_sub(now_ms)
    }

    /// Returns the level of the own share, which accumulates up to one request while the leader is
    /// silent.
    fn own_level_at(&self, entries: u32, now_ms: u64) -> f64 {
        let silent_from_ms = self.replied_ms + LEADER_SILENCE_MS;
        let from_ms = self.own_refilled_ms.max(silent_from_ms);
        let rate_per_s = self.named.rate_per_s.unwrap_or(0.0).max(MIN_RATE_PER_S);
        let share_per_s = rate_per_s / f64::from(entries.max(1));
        let elapsed_s = now_ms.saturating_sub(from_ms) as f64 / 1_000.0;
        (self.own_level + share_per_s * elapsed_s).min(1.0)
    }
}
