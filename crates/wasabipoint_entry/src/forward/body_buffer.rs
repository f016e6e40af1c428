//! Whole bodies of responses in bounded memory.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Longest body that is collected. An endpoint in trouble may send bytes without end.
pub(crate) const MAX_BODY_BYTES: usize = 16 * 1_024 * 1_024;

/// Longest body of a refusal, which is read only to use its connection again.
pub(crate) const MAX_REFUSAL_BYTES: usize = 64 * 1_024;

/// Bytes of each body that are always taken, so that long bodies do not fail short ones.
const FREE_BYTES: usize = 64 * 1_024;

/// Bytes beyond them that all bodies may take together.
const MAX_HELD_BYTES: usize = 64 * 1_024 * 1_024;

/// Bytes taken by the bodies that are being collected.
#[derive(Debug, Default)]
pub(crate) struct BodyBudget {
    held_bytes: AtomicUsize,
}

/// A body that is being collected.
pub(crate) struct BodyBuffer<'a> {
    bytes: BytesMut,
    budget: &'a BodyBudget,
    held_bytes: usize,
    max_bytes: usize,
}

impl<'a> BodyBuffer<'a> {
    pub(crate) fn new(budget: &'a BodyBudget, max_bytes: usize) -> Self {
        Self {
            bytes: BytesMut::new(),
            budget,
            held_bytes: 0,
            max_bytes,
        }
    }

    /// Adds a piece.
    ///
    /// # Errors
    ///
    /// Fails when the body or all bodies together are too long.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Result<(), String> {
        let length = self.bytes.len() + piece.len();
        if length > self.max_bytes {
            return Err("the response is too long".to_owned());
        }
        self.hold(length.saturating_sub(FREE_BYTES))?;
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    fn hold(&mut self, total_bytes: usize) -> Result<(), String> {
        let more = total_bytes - self.held_bytes;
        if more == 0 {
            return Ok(());
        }
        let others = self.budget.held_bytes.fetch_add(more, Ordering::Relaxed);
        self.held_bytes = total_bytes;
        if others + more > MAX_HELD_BYTES {
            return Err("too many long responses at once".to_owned());
        }
        Ok(())
    }

    /// Returns the whole body.
    pub(crate) fn finish(mut self) -> Bytes {
        std::mem::take(&mut self.bytes).freeze()
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        let held = self.held_bytes;
        self.budget.held_bytes.fetch_sub(held, Ordering::Relaxed);
    }
}
