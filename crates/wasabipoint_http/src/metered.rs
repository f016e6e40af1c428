//! Bounds what a peer may send beside the bodies of its responses.
//!
//! A faulty peer may send interim heads, digits of a chunk size or trailers without end. The HTTP library
//! reads on as long as bytes arrive, so that such bytes use up the process's time although they fill no
//! memory.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of the read buffer of a connection, and of the largest response head, in bytes.
pub const MAX_READ_BUFFER_BYTES: usize = 64 * 1_024;

/// Maximum number of bytes that are read and belong neither to a response head nor to a body that was
/// passed on. A part of a body that waits for its receiver and the read buffer behind it may both be
/// full, and a buffer that grows may take up to twice its size.
const MAX_UNCLAIMED_BYTES: usize = 4 * MAX_READ_BUFFER_BYTES;

/// Framing of a chunk that counts as part of its data, in bytes. Long chunk extensions exceed it.
const CHUNK_FRAMING_BYTES: usize = 64;

/// Counts the bytes of a connection that were read and not claimed since.
#[derive(Debug, Clone, Default)]
pub struct ReadMeter {
    unclaimed_bytes: Arc<AtomicUsize>,
}

impl ReadMeter {
    /// Claims everything that was read up to a response head.
    pub fn claim_head(&self) {
        self.unclaimed_bytes.store(0, Ordering::Relaxed);
    }

    /// Claims a part of a body with its framing.
    pub fn claim_body(&self, bytes: usize) {
        let claimed = bytes.saturating_add(CHUNK_FRAMING_BYTES);
        let claim = |unclaimed: usize| Some(unclaimed.saturating_sub(claimed));
        let (order, fetch_order) = (Ordering::Relaxed, Ordering::Relaxed);
        // The closure always returns a value.
        let _ = self.unclaimed_bytes.fetch_update(order, fetch_order, claim);
    }

    /// Counts bytes and returns whether the peer may send more.
    fn count(&self, bytes: usize) -> bool {
        let unclaimed = self.unclaimed_bytes.fetch_add(bytes, Ordering::Relaxed);
        unclaimed.saturating_add(bytes) <= MAX_UNCLAIMED_BYTES
    }
}

/// A connection that fails once its peer has sent too many bytes that belong to no response.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: ReadMeter,
}

impl<S> MeteredStream<S> {
    /// Wraps a connection whose user claims what it receives.
    pub fn new(stream: S, meter: ReadMeter) -> Self {
        Self { stream, meter }
    }

    pub(crate) fn inner(&self) -> &S {
        &self.stream
    }

    pub(crate) fn meter(&self) -> &ReadMeter {
        &self.meter
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.meter.count(buffer.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let detail = "the peer sends bytes without end that belong to no response";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
