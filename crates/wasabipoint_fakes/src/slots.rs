//! Slots that are given by priority, then by arrival.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;

use crate::server::lock;

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
    pub(crate) async fn acquire(self: &Arc<Self>, priority: u8) -> Slot {
        let place = {
            let mut queue = lock(&self.queue);
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
                let mut queue = lock(&self.queue);
                if queue.running < self.count && queue.waiting.first() == Some(&place) {
                    queue.running += 1;
                    return Slot {
                        slots: Arc::clone(self),
                    };
                }
            }
            changed.await;
        }
    }

    /// Returns the numbers of running and of waiting requests.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let queue = lock(&self.queue);
        (queue.running, queue.waiting.len())
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.slots.queue).waiting.remove(&self.place);
        self.slots.changed.notify_waiters();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.slots.queue).running -= 1;
        self.slots.changed.notify_waiters();
    }
}
