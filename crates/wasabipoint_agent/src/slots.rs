//! Limits the concurrent requests at the endpoint. Free slots go to waiting requests by priority,
//! then by arrival.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

/// Maximum number of waiting requests per slot. Entry processes keep the queues by customer. This
/// queue only holds requests that they send while their counts of running requests lag behind the
/// agent's.
const MAX_QUEUED_PER_SLOT: usize = 4;

/// Priority, highest first, and arrival number.
type QueuePosition = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct Queue {
    running: usize,
    arrivals: u64,
    waiting: BTreeSet<QueuePosition>,
}

/// The slots for concurrent requests and the queue for them.
#[derive(Debug)]
pub(crate) struct RequestSlots {
    capacity: usize,
    queue: Mutex<Queue>,
    changed: Notify,
}

/// Error for a request that arrives when the queue is full.
#[derive(Debug)]
pub(crate) struct QueueFull;

/// Occupies a slot until dropped.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    slots: Arc<RequestSlots>,
}

/// Removes a request from the queue when dropped.
struct QueuedRequestGuard<'a> {
    slots: &'a RequestSlots,
    position: QueuePosition,
}

impl RequestSlots {
    pub(crate) fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            queue: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Waits for a slot. Dropping the future removes the request from the queue.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: u8) -> Result<SlotPermit, QueueFull> {
        let position = {
            let mut queue = self.lock();
            if queue.waiting.len() >= self.capacity * MAX_QUEUED_PER_SLOT {
                return Err(QueueFull);
            }
            queue.arrivals += 1;
            let position = (Reverse(priority), queue.arrivals);
            queue.waiting.insert(position);
            position
        };
        let _queue_guard = QueuedRequestGuard {
            slots: self,
            position,
        };
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let mut queue = self.lock();
                if queue.running < self.capacity && queue.waiting.first() == Some(&position) {
                    queue.running += 1;
                    return Ok(SlotPermit {
                        slots: Arc::clone(self),
                    });
                }
            }
            changed.await;
        }
    }

    /// Returns the numbers of running and waiting requests.
    pub(crate) fn counts(&self) -> (u32, u32) {
        let queue = self.lock();
        (queue.running as u32, queue.waiting.len() as u32)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder of this lock panics")
    }
}

impl Drop for QueuedRequestGuard<'_> {
    fn drop(&mut self) {
        self.slots.lock().waiting.remove(&self.position);
        self.slots.changed.notify_waiters();
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.slots.lock().running -= 1;
        self.slots.changed.notify_waiters();
    }
}
