//! Keyed digests of API keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Keyed BLAKE3 digest of an API key. Only digests are stored and sent, never the key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Computes digests with a secret that the fleet shares, so that keys cannot be recovered from
/// stored digests by offline guessing.
#[derive(Clone)]
pub struct KeyDigester {
    secret: [u8; 32],
}

impl KeyDigester {
    /// Derives the digest secret from the value of the setting `key_secret`.
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
