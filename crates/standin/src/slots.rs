//! Batch slots, given to the lowest priority number first and then by arrival.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Priority; lower is sooner.
pub type Priority = u32;

/// A number of slots and those who wait for one.
#[derive(Debug)]
pub struct Slots(Mutex<Queue>);

#[derive(Debug)]
struct Queue {
    free: usize,
    arrivals: u64,
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<Slot>>,
}

impl Slots {
    /// `number` free slots.
    pub fn new(number: usize) -> Arc<Self> {
        let queue = Queue { free: number, arrivals: 0, waiting: BTreeMap::new() };
        Arc::new(Self(Mutex::new(queue)))
    }

    /// Waits for a slot.
    pub async fn take(self: &Arc<Self>, priority: Priority) -> Slot {
        let granted = {
            let mut queue = self.0.lock();
            if queue.free > 0 {
                queue.free -= 1;
                return Slot(Some(self.clone()));
            }
            let (grant, granted) = oneshot::channel();
            queue.arrivals += 1;
            let place = (priority, queue.arrivals);
            queue.waiting.insert(place, grant);
            granted
        };
        // The sender lives in the queue until it is used, and the queue as long as `self`.
        granted.await.unwrap_or(Slot(None))
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.0.lock().waiting.len()
    }

    fn release(self: Arc<Self>) {
        loop {
            let next = {
                let mut queue = self.0.lock();
                let next = queue.waiting.pop_first();
                if next.is_none() {
                    queue.free += 1;
                }
                next
            };
            let Some((_, grant)) = next else { return };
            match grant.send(Slot(Some(self.clone()))) {
                Ok(()) => return,
                // The one who waited has gone away; the slot must not release itself again.
                Err(mut slot) => drop(slot.0.take()),
            }
        }
    }
}

/// A slot held; given back when dropped.
#[derive(Debug)]
pub struct Slot(Option<Arc<Slots>>);

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(slots) = self.0.take() {
            slots.release();
        }
    }
}
