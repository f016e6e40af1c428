//! Limits on requests that endpoints name, and limits of cold endpoints. Both bind the sum over all
//! entry processes, and the lower rate decides while both are in force.
//!
//! The leader deals out permissions for single requests, which expire when they are not used. Equal
//! shares of a small limit would be useless to each of many entry processes, and a bucket that each
//! of them fills by itself would exceed the limit as soon as several of them use it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wasabipoint_kernel::EntryId;

use crate::cold_limit::{
    COLD_ACCUMULATION_MS, COLD_PERMISSION_LIFETIME_MS, ColdRate, ColdSource, ColdStatement,
    share_per_s,
};

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
    /// Number of requests that may be sent within `lifetime_ms`.
    pub permissions: u32,
    /// Time for which the permissions are valid, in milliseconds.
    pub lifetime_ms: u64,
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

/// The limit of an endpoint while it is cold, as the leader deals it out.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DealtCold {
    until_ms: u64,
    rate: ColdRate,
}

/// The limits of one endpoint, as the leader deals them out.
#[derive(Debug)]
pub struct LimitDealer {
    named: NamedLimit,
    cold: Option<DealtCold>,
    level: f64,
    refilled_ms: u64,
    unmet: BTreeMap<EntryId, Unmet>,
    /// Entry processes that may use a share of the cold limit without the leader.
    share_holders: BTreeSet<EntryId>,
    /// Whether this dealer may assign shares; an earlier one may have assigned them otherwise.
    assigns_shares: bool,
}

impl LimitDealer {
    /// Creates a dealer without permissions, since others may have been dealt out before.
    pub fn new(named: NamedLimit, now_ms: u64) -> Self {
        Self {
            named,
            cold: None,
            level: 0.0,
            refilled_ms: now_ms,
            unmet: BTreeMap::new(),
            share_holders: BTreeSet::new(),
            assigns_shares: false,
        }
    }

    /// Records until when the endpoint is cold and what is issued until then. Permissions
    /// accumulate from `from_ms` on, if the endpoint was not cold before.
    pub fn set_cold(&mut self, until_ms: u64, rate: ColdRate, from_ms: u64, now_ms: u64) {
        self.refill(now_ms);
        if !self.is_cold(now_ms) {
            self.level = 0.0;
            self.refilled_ms = self.refilled_ms.max(from_ms);
        }
        self.cold = Some(DealtCold { until_ms, rate });
        self.level = self.level.min(self.max_level(now_ms));
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        self.cold.is_some_and(|cold| now_ms < cold.until_ms)
    }

    /// Sets whether shares may be assigned: only by the leader in whose term the cold time began.
    pub fn set_assigns_shares(&mut self, assigns_shares: bool) {
        self.assigns_shares = assigns_shares;
    }

    /// Returns what is issued for the endpoint while it is cold.
    pub fn cold_rate(&self, now_ms: u64) -> Option<ColdRate> {
        let cold = self.cold.filter(|cold| now_ms < cold.until_ms)?;
        Some(cold.rate)
    }

    /// Returns whether an entry process may use a share of the cold limit while it is cut off from
    /// the leader. The number of holders is bounded over the whole cold time, because the leader
    /// does not know which of them are cut off; a holder that is gone is not replaced.
    pub fn assign_share(&mut self, entry: &EntryId, now_ms: u64) -> bool {
        let Some(cold) = self.cold.filter(|cold| now_ms < cold.until_ms) else {
            return false;
        };
        let has_free_share = self.share_holders.len() < cold.rate.share_holders as usize;
        if self.assigns_shares && has_free_share {
            self.share_holders.insert(entry.clone());
        }
        self.share_holders.contains(entry)
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
        self.level = self.level.min(self.max_level(now_ms));
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
            lifetime_ms: if self.is_cold(now_ms) {
                COLD_PERMISSION_LIFETIME_MS
            } else {
                PERMISSION_LIFETIME_MS
            },
            ready_in_ms: self.ready_in_ms(now_ms),
        }
    }

    /// Returns whether entry processes want to send more requests than the limit allows.
    pub fn is_binding(&self, now_ms: u64) -> bool {
        let mut unmet = self.unmet.values();
        unmet.any(|unmet| now_ms < unmet.at_ms + MAX_UNMET_AGE_MS)
    }

    /// Returns the time until a further permission, after all that entry processes wait for.
    fn ready_in_ms(&self, now_ms: u64) -> u64 {
        let Some(rate_per_s) = self.rate_per_s(now_ms) else {
            return 0;
        };
        let waiting: u32 = self.unmet.values().map(|unmet| unmet.count).sum();
        let missing = f64::from(waiting.max(1)) - self.level;
        let ready_in_ms = (missing.max(0.0) / rate_per_s * 1_000.0).ceil() as u64;
        // Nothing accumulates before `refilled_ms`, which lies ahead after a change of leader.
        let ready_in_ms = ready_in_ms + self.refilled_ms.saturating_sub(now_ms);
        match self.cold {
            // Without another limit, all requests may be sent at the end of the cold time.
            Some(cold) if now_ms < cold.until_ms && self.named.rate_per_s.is_none() => {
                ready_in_ms.min(cold.until_ms - now_ms)
            }
            _ => ready_in_ms,
        }
    }

    /// Returns the lower of the rates in force.
    fn rate_per_s(&self, now_ms: u64) -> Option<f64> {
        let cold = self.cold.filter(|cold| now_ms < cold.until_ms);
        let cold_per_s = cold.map(|cold| cold.rate.issued_per_s);
        let rate_per_s = lower_rate(self.named.rate_per_s, cold_per_s)?;
        Some(rate_per_s.max(MIN_RATE_PER_S))
    }

    fn max_level(&self, now_ms: u64) -> f64 {
        let rate_per_s = self.rate_per_s(now_ms).unwrap_or(0.0);
        let accumulation_ms = if self.is_cold(now_ms) {
            COLD_ACCUMULATION_MS
        } else {
            ACCUMULATION_MS
        };
        (rate_per_s * accumulation_ms as f64 / 1_000.0).max(1.0)
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let rate_per_s = self.rate_per_s(now_ms).unwrap_or(0.0);
        let refilled = self.level + rate_per_s * elapsed_ms as f64 / 1_000.0;
        self.level = refilled.min(self.max_level(now_ms));
    }
}

fn lower_rate(one: Option<f64>, other: Option<f64>) -> Option<f64> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

/// Time without a reply from the leader after which an entry process uses its equal share of the
/// limit instead of permissions, in milliseconds.
const LEADER_SILENCE_MS: u64 = 1_500;

/// Maximum number of permissions that are requested or held at once.
const MAX_PERMISSIONS: usize = 64;

/// What an entry process knows about the limit of a cold endpoint.
#[derive(Debug, Clone, Copy)]
struct HeldCold {
    statement: ColdStatement,
    /// Rate that the leader issues, in requests per second; 0 until the leader says so.
    issued_per_s: f64,
    /// Whether this process may use a share of it without the leader.
    has_share: bool,
}

/// The permissions of one entry process for one endpoint.
#[derive(Debug)]
pub struct RequestAllowance {
    named: NamedLimit,
    cold: Option<HeldCold>,
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
            cold: None,
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

    /// Records a statement about the cold time of the endpoint, unless a later one is known. Returns
    /// whether it did. When a cold time begins, earlier permissions end.
    pub fn record_cold(&mut self, statement: ColdStatement, now_ms: u64) -> bool {
        match &mut self.cold {
            // Nothing was known before.
            Some(cold)
                if cold.statement.source == ColdSource::Unknown
                    && cold.statement.is_cold(now_ms) =>
            {
                cold.statement = statement;
                true
            }
            Some(cold)
                if cold.statement.is_cold(now_ms) && statement.source != ColdSource::Presumed =>
            {
                cold.statement.update(statement)
            }
            Some(cold)
                if statement.stated_ms <= cold.statement.stated_ms
                    && cold.statement.source != ColdSource::Unknown =>
            {
                false
            }
            _ => {
                if statement.is_cold(now_ms) {
                    self.expires_ms.clear();
                    self.own_level = 0.0;
                    self.own_refilled_ms = now_ms;
                }
                self.cold = Some(HeldCold {
                    statement,
                    issued_per_s: 0.0,
                    has_share: false,
                });
                true
            }
        }
    }

    /// Records what the leader issues for the cold endpoint, and whether this process may use a
    /// share of it while it is cut off from the leader. A share is kept for the rest of the cold
    /// time, since a later leader does not know who holds one.
    pub fn record_cold_rate(&mut self, issued_per_s: f64, has_share: bool) {
        if let Some(cold) = &mut self.cold {
            cold.issued_per_s = issued_per_s;
            cold.has_share |= has_share;
        }
    }

    /// Ends the cold time, because the service has no longer a limit for cold endpoints.
    pub fn lift_cold(&mut self, now_ms: u64) {
        if let Some(cold) = &mut self.cold {
            cold.statement.until_ms = cold.statement.until_ms.min(now_ms);
        }
    }

    /// Returns the latest statement about the cold time of the endpoint.
    pub fn cold(&self) -> Option<ColdStatement> {
        self.cold.map(|cold| cold.statement)
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        self.cold_in_force(now_ms).is_some()
    }

    fn cold_in_force(&self, now_ms: u64) -> Option<HeldCold> {
        self.cold.filter(|cold| cold.statement.is_cold(now_ms))
    }

    /// Returns whether a limit is in force.
    pub fn is_limited(&self, now_ms: u64) -> bool {
        self.named.rate_per_s.is_some() || self.is_cold(now_ms)
    }

    /// Returns whether a request may be sent now. `entries` is the number of entry processes that
    /// share the limit.
    pub fn can_send(&self, entries: u32, now_ms: u64) -> bool {
        !self.is_limited(now_ms)
            || self
                .expires_ms
                .iter()
                .any(|expires_ms| *expires_ms > now_ms)
            || self.own_level_at(entries, now_ms) >= 1.0
    }

    /// Uses a permission. Returns whether there was one.
    pub fn take(&mut self, entries: u32, now_ms: u64) -> bool {
        if !self.is_limited(now_ms) {
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
        let lifetime_ms = if self.is_cold(now_ms) {
            grant.lifetime_ms.min(COLD_PERMISSION_LIFETIME_MS)
        } else {
            grant.lifetime_ms
        };
        let expires_ms = sent_ms + lifetime_ms;
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

    /// Returns the time until the leader expects to have another permission, in milliseconds. Without
    /// a reply and a share, none is expected before the end of the cold time.
    pub fn ready_in_ms(&self, now_ms: u64) -> u64 {
        let ready_in_ms = self.ready_ms.saturating_sub(now_ms);
        let Some(cold) = self.cold_in_force(now_ms) else {
            return ready_in_ms;
        };
        let remaining_ms = cold.statement.remaining_ms(now_ms);
        let is_silent = now_ms >= self.replied_ms + LEADER_SILENCE_MS;
        if is_silent && !cold.has_share {
            remaining_ms
        } else if self.named.rate_per_s.is_none() {
            ready_in_ms.min(remaining_ms)
        } else {
            ready_in_ms
        }
    }

    /// Returns the level of the own share, which accumulates up to one request while the leader is
    /// silent.
    fn own_level_at(&self, entries: u32, now_ms: u64) -> f64 {
        let silent_from_ms = self.replied_ms + LEADER_SILENCE_MS;
        let from_ms = self.own_refilled_ms.max(silent_from_ms);
        let named_share = self
            .named
            .rate_per_s
            .map(|rate_per_s| rate_per_s.max(MIN_RATE_PER_S) / f64::from(entries.max(1)));
        let cold_share = self.cold_in_force(now_ms).map(|cold| {
            if cold.has_share {
                share_per_s(cold.issued_per_s, entries)
            } else {
                0.0
            }
        });
        let share_per_s = lower_rate(named_share, cold_share).unwrap_or(0.0);
        let elapsed_s = now_ms.saturating_sub(from_ms) as f64 / 1_000.0;
        (self.own_level + share_per_s * elapsed_s).min(1.0)
    }
}
