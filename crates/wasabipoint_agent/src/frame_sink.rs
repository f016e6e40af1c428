//! Writes the frames of a response stream.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use wasabipoint_kernel::RequestId;
use wasabipoint_rpc::{FramePayload, StreamFrame, encode_frame};

/// Pause in a response after which a heartbeat is sent. Entry processes expect one at least every
/// 500 ms.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which an entry process that reads nothing counts as disconnected. Without it, a dead
/// connection would occupy its slot and block a drain forever.
const ENTRY_SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for the HTTP server to accept the last bytes of a response.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum payload of a data frame.
const MAX_DATA_FRAME_BYTES: usize = 64 * 1_024;

/// The connection to the entry process is closed, and the request does not continue without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EntryDisconnected;

type FrameSender = mpsc::Sender<Option<Bytes>>;

/// Encodes the frames of one request and sends them to its entry process.
#[derive(Debug)]
pub(crate) struct FrameSink {
    request_id: RequestId,
    sequence: u64,
    // `None` once the entry process has disconnected.
    sender: Option<FrameSender>,
    continues_without_entry: bool,
}

impl FrameSink {
    pub(crate) fn new(request_id: RequestId, sender: FrameSender) -> Self {
        Self {
            request_id,
            sequence: 0,
            sender: Some(sender),
            continues_without_entry: false,
        }
    }

    /// Lets the request continue when the entry process disconnects.
    pub(crate) fn continue_without_entry(&mut self) {
        self.continues_without_entry = true;
    }

    pub(crate) async fn send(&mut self, payload: FramePayload) -> Result<(), EntryDisconnected> {
        let Some(sender) = &self.sender else {
            return Ok(());
        };
        let frame = encode_frame(&StreamFrame {
            request_id: self.request_id,
            sequence: self.sequence,
            payload,
        });
        self.sequence += 1;
        let sending = sender.send(Some(frame));
        match tokio::time::timeout(ENTRY_SEND_TIMEOUT, sending).await {
            Ok(Ok(())) => Ok(()),
            _ => self.handle_disconnect(),
        }
    }

    pub(crate) async fn send_data(&mut self, bytes: &[u8]) -> Result<(), EntryDisconnected> {
        for chunk in bytes.chunks(MAX_DATA_FRAME_BYTES) {
            self.send(FramePayload::Data(chunk.to_vec())).await?;
        }
        Ok(())
    }

    /// Waits for a future and sends heartbeats meanwhile. Fails when the entry process disconnects
    /// and the request does not continue without it.
    pub(crate) async fn wait_with_heartbeats<F: Future>(
        &mut self,
        future: F,
    ) -> Result<F::Output, EntryDisconnected> {
        tokio::pin!(future);
        loop {
            let Some(sender) = self.sender.clone() else {
                return Ok(future.await);
            };
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                () = sender.closed() => self.handle_disconnect()?,
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => self.send(FramePayload::Heartbeat).await?,
            }
        }
    }

    /// Ends the stream and waits until the HTTP server has accepted its last bytes.
    pub(crate) async fn finish(self) {
        if let Some(sender) = self.sender
            && sender.send(None).await.is_ok()
        {
            let _ = tokio::time::timeout(FLUSH_TIMEOUT, sender.closed()).await;
        }
    }

    fn handle_disconnect(&mut self) -> Result<(), EntryDisconnected> {
        self.sender = None;
        if self.continues_without_entry {
            Ok(())
        } else {
            Err(EntryDisconnected)
        }
    }
}
