//! Bounds the requests at the endpoint. Slots are given by priority, then by arrival.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

/// Requests that may wait per slot. Entry processes queue by customer; this queue only covers the
/// time between their counts and the agent's.
const WAITING_PER_SLOT: usize = 4;

type Place = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct Queue {
    running: usize,
    arrivals: u64,
    waiting: BTreeSet<Place>,
}

#[derive(Debug)]
pub(crate) struct Slots {
    count: usize,
    queue: Mutex<Queue>,
    changed: Notify,
}

/// The queue of waiting requests is full.
#[derive(Debug)]
pub(crate) struct QueueFull;

#[derive(Debug)]
pub(crate) struct Slot {
    slots: Arc<Slots>,
}

struct Waiting<'a> {
    slots: &'a Slots,
    place: Place,
}

impl Slots {
    pub(crate) fn new(count: usize) -> Arc<Self> {
        Arc::new(Self {
            count,
            queue: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Waits for a slot; a dropped wait leaves the queue.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: u8) -> Result<Slot, QueueFull> {
        let place = {
            let mut queue = self.lock();
            if queue.waiting.len() >= self.count * WAITING_PER_SLOT {
                return Err(QueueFull);
            }
            queue.arrivals += 1;
            let place = (Reverse(priority), queue.arrivals);
            queue.waiting.insert(place);
            place
        };
        let _waiting = Waiting { slots: self, place };
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let mut queue = self.lock();
                if queue.running < self.count && queue.waiting.first() == Some(&place) {
                    queue.running += 1;
                    return Ok(Slot {
                        slots: Arc::clone(self),
                    });
                }
            }
            changed.await;
        }
    }

    /// Returns the numbers of running and of waiting requests.
    pub(crate) fn counts(&self) -> (u32, u32) {
        let queue = self.lock();
        (queue.running as u32, queue.waiting.len() as u32)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().expect("no holder of this lock panics")
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.slots.lock().waiting.remove(&self.place);
        self.slots.changed.notify_waiters();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.lock().running -= 1;
        self.slots.changed.notify_waiters();
    }
}
