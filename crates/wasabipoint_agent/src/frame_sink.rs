//! Writes the frames of one response stream.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use wasabipoint_kernel::RequestId;
use wasabipoint_rpc::{Frame, StreamFrame, encode_frame};

/// Silence after which a heartbeat is sent; entry processes expect one at least every 500 ms.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which an entry that reads nothing counts as gone, so that a connection that went
/// silent does not hold a slot or a drain for good.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for the last bytes of a response to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest data frame.
const DATA_FRAME_BYTES: usize = 64 * 1_024;

/// The entry's connection is closed and nobody waits for the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EntryGone;

type FrameSender = mpsc::Sender<Option<Bytes>>;

#[derive(Debug)]
pub(crate) struct FrameSink {
    request_id: RequestId,
    sequence: u64,
    // `None` once the entry is gone from a request that goes on without it.
    sender: Option<FrameSender>,
    goes_on_alone: bool,
}

impl FrameSink {
    pub(crate) fn new(request_id: RequestId, sender: FrameSender) -> Self {
        Self {
            request_id,
            sequence: 0,
            sender: Some(sender),
            goes_on_alone: false,
        }
    }

    /// From now on, the request goes on when the entry's connection closes.
    pub(crate) fn go_on_alone(&mut self) {
        self.goes_on_alone = true;
    }

    pub(crate) async fn send(&mut self, frame: Frame) -> Result<(), EntryGone> {
        let Some(sender) = &self.sender else {
            return Ok(());
        };
        let frame = encode_frame(&StreamFrame {
            request_id: self.request_id,
            sequence: self.sequence,
            frame,
        });
        self.sequence += 1;
        let sending = sender.send(Some(frame));
        match tokio::time::timeout(ENTRY_TIMEOUT, sending).await {
            Ok(Ok(())) => Ok(()),
            _ => self.lose_entry(),
        }
    }

    pub(crate) async fn send_data(&mut self, bytes: &[u8]) -> Result<(), EntryGone> {
        for piece in bytes.chunks(DATA_FRAME_BYTES) {
            self.send(Frame::Data(piece.to_vec())).await?;
        }
        Ok(())
    }

    /// Waits for a future with heartbeats, and stops waiting when the entry is gone.
    pub(crate) async fn wait_for<F: Future>(&mut self, future: F) -> Result<F::Output, EntryGone> {
        tokio::pin!(future);
        loop {
            let Some(sender) = self.sender.clone() else {
                return Ok(future.await);
            };
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                () = sender.closed() => self.lose_entry()?,
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => self.send(Frame::Heartbeat).await?,
            }
        }
    }

    /// Ends the stream and waits until its last bytes were taken by the server.
    pub(crate) async fn finish(self) {
        if let Some(sender) = self.sender
            && sender.send(None).await.is_ok()
        {
            let _ = tokio::time::timeout(FLUSH_TIMEOUT, sender.closed()).await;
        }
    }

    fn lose_entry(&mut self) -> Result<(), EntryGone> {
        self.sender = None;
        if self.goes_on_alone {
            Ok(())
        } else {
            Err(EntryGone)
        }
    }
}
