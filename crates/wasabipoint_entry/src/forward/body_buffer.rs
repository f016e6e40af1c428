//! Buffers complete response bodies in bounded memory.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered body. A faulty endpoint may send an endless body.
pub(crate) const MAX_BODY_BYTES: usize = 16 * 1_024 * 1_024;

/// Maximum size of a refusal's body, which is read only to reuse the connection.
pub(crate) const MAX_REFUSAL_BYTES: usize = 64 * 1_024;

/// Bytes of each body that do not count against the shared budget, so that large bodies cannot make
/// small ones fail.
const UNBUDGETED_BYTES: usize = 64 * 1_024;

/// Shared budget of all bodies for bytes beyond `UNBUDGETED_BYTES`.
const MAX_RESERVED_BYTES: usize = 64 * 1_024 * 1_024;

/// Memory budget shared by all bodies being buffered.
#[derive(Debug, Default)]
pub(crate) struct BodyBudget {
    reserved_bytes: AtomicUsize,
}

/// A body being buffered. Releases its share of the budget when dropped.
pub(crate) struct BodyBuffer<'a> {
    bytes: BytesMut,
    budget: &'a BodyBudget,
    reserved_bytes: usize,
    max_bytes: usize,
}

impl<'a> BodyBuffer<'a> {
    pub(crate) fn new(budget: &'a BodyBudget, max_bytes: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            budget,
            reserved_bytes: 0,
            max_bytes,
        }
    }

    /// Appends a chunk.
    ///
    /// # Errors
    ///
    /// Fails when the body exceeds its limit or the shared budget is exhausted.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<(), String> {
        let length = self.bytes.len() + chunk.len();
        if length > self.max_bytes {
            return Err("the response is too long".to_owned());
        }
        self.reserve(length.saturating_sub(UNBUDGETED_BYTES))?;
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Raises the part of this body that is reserved in the shared budget to `total_bytes`.
    fn reserve(&mut self, total_bytes: usize) -> Result<(), String> {
        let additional_bytes = total_bytes - self.reserved_bytes;
        if additional_bytes == 0 {
            return Ok(());
        }
        let previously_reserved = self
            .budget
            .reserved_bytes
            .fetch_add(additional_bytes, Ordering::Relaxed);
        self.reserved_bytes = total_bytes;
        if previously_reserved + additional_bytes > MAX_RESERVED_BYTES {
            return Err("too many long responses at once".to_owned());
        }
        Ok(())
    }

    /// Returns the buffered body.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        std::mem::take(&mut self.bytes).freeze()
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        let reserved = self.reserved_bytes;
        self.budget
            .reserved_bytes
            .fetch_sub(reserved, Ordering::Relaxed);
    }
}
