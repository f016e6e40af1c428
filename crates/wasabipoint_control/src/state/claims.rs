//! Claims of idempotency keys.

use std::collections::{BTreeMap, VecDeque};

use wasabipoint_kernel::{CustomerId, plain_data};
use wasabipoint_rpc::{ClaimHolder, ClaimOutcome, ClaimRequest};

/// Time for which a claim is kept after the key was first claimed.
const CLAIM_LIFETIME_MS: u64 = 3_600_000;

plain_data! {
    data
    /// A claimed idempotency key.
    pub struct ClaimRecord {
        /// Digest of the call that claimed the key.
        pub fingerprint: [u8; 32],
        /// Request that executes the call, and where it runs.
        pub holder: ClaimHolder,
    }
}

plain_data! {
    data
    /// Claims that have not expired.
    #[derive(Default)]
    pub struct ClaimState {
        /// Claims by customer and idempotency key.
        pub claims: BTreeMap<(CustomerId, String), ClaimRecord>,
        /// Expiry time and key of each claim, in the order of expiry.
        pub expiry: VecDeque<(u64, (CustomerId, String))>,
    }
}

impl ClaimState {
    /// Claims a key for a request. A claimed key is reassigned only if the request names the
    /// current holder as the one that it replaces.
    pub(super) fn claim(&mut self, now_ms: u64, request: ClaimRequest) -> ClaimOutcome {
        self.remove_expired(now_ms);
        let key = (request.customer, request.idempotency_key);
        let Some(record) = self.claims.get_mut(&key) else {
            self.expiry
                .push_back((now_ms + CLAIM_LIFETIME_MS, key.clone()));
            let record = ClaimRecord {
                fingerprint: request.fingerprint,
                holder: request.holder,
            };
            self.claims.insert(key, record);
            return ClaimOutcome::Claimed;
        };
        if record.fingerprint != request.fingerprint {
            return ClaimOutcome::Mismatch;
        }
        let holder_request_id = record.holder.request_id;
        if holder_request_id == request.holder.request_id {
            return ClaimOutcome::Claimed;
        }
        if request.replaces == Some(holder_request_id) {
            record.holder = request.holder;
            return ClaimOutcome::Claimed;
        }
        ClaimOutcome::Held(record.holder.clone())
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((expires_ms, _)) = self.expiry.front() {
            if *expires_ms > now_ms {
                break;
            }
            if let Some((_, key)) = self.expiry.pop_front() {
                self.claims.remove(&key);
            }
        }
    }
}
