//! Execution slots, granted by priority and then in order of arrival.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

use crate::server::lock;

/// Position in the queue: the largest priority number first, then the arrival number.
type QueuePosition = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct Queue {
    running: usize,
    last_arrival: u64,
    waiting: BTreeSet<QueuePosition>,
}

/// A fixed number of slots with a priority queue of waiting requests.
#[derive(Debug)]
pub(crate) struct Slots {
    capacity: usize,
    queue: Mutex<Queue>,
    /// Notified when a slot is released or a request leaves the queue.
    changed: Notify,
}

/// An acquired slot, which is released on drop.
pub(crate) struct Slot {
    slots: Arc<Slots>,
}

/// Removes a waiting request from the queue on drop.
struct QueueGuard<'a> {
    slots: &'a Slots,
    position: QueuePosition,
}

impl Slots {
    pub(crate) fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            queue: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Waits for a slot. Dropping the future removes the request from the queue.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: u8) -> Slot {
        let position = {
            let mut queue = lock(&self.queue);
            queue.last_arrival += 1;
            let position = (Reverse(priority), queue.last_arrival);
            queue.waiting.insert(position);
            position
        };
        let _guard = QueueGuard {
            slots: self,
            position,
        };
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let mut queue = lock(&self.queue);
                if queue.running < self.capacity && queue.waiting.first() == Some(&position) {
                    queue.running += 1;
                    return Slot {
                        slots: Arc::clone(self),
                    };
                }
            }
            changed.await;
        }
    }

    /// Returns the number of running and of waiting requests.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let queue = lock(&self.queue);
        (queue.running, queue.waiting.len())
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        lock(&self.slots.queue).waiting.remove(&self.position);
        self.slots.changed.notify_waiters();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.slots.queue).running -= 1;
        self.slots.changed.notify_waiters();
    }
}
