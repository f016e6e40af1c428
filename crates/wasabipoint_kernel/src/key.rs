//! Keyed digests of callers' keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Keyed BLAKE3 digest of a caller's key. Only digests are stored and sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Computes digests with the fleet's secret, so that stored digests cannot be searched offline.
#[derive(Clone)]
pub struct KeyDigester {
    secret: [u8; 32],
}

impl KeyDigester {
    /// Derives the digest secret from the setting's text.
    pub fn new(secret: &str) -> Self {
        Self {
            secret: blake3::derive_key("wasabipoint caller key digest v1", secret.as_bytes()),
        }
    }

    /// Returns the digest of a key.
    pub fn digest(&self, key: &str) -> KeyDigest {
        KeyDigest(*blake3::keyed_hash(&self.secret, key.as_bytes()).as_bytes())
    }
}

impl fmt::Debug for KeyDigester {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigester(..)")
    }
}
