//! Digests that identify a request whose caller sends it again.

/// Computes digests that are equal at all processes with the same secret, and that callers without it
/// cannot choose.
#[derive(Clone)]
pub struct RequestDigester {
    secret: [u8; 32],
}

impl RequestDigester {
    /// Derives the secret of the digests from the value of the setting `key_secret`.
    pub fn new(secret: &str) -> Self {
        Self {
            secret: blake3::derive_key("wasabipoint request digest v1", secret.as_bytes()),
        }
    }

    /// Returns the digest of the fields that a repeat has in common with the request, in order.
    pub fn digest(&self, fields: &[&[u8]]) -> u64 {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for field in fields {
            // The length keeps fields apart that have the same bytes when joined.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(digest)
    }
}

impl std::fmt::Debug for RequestDigester {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("RequestDigester(..)")
    }
}
