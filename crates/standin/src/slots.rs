//! Execution slots, granted by ascending priority number, then by arrival.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Priority; lower numbers are served first.
pub type Priority = u32;

/// A pool of slots with a priority queue.
#[derive(Debug)]
pub struct Slots(Mutex<Queue>);

#[derive(Debug)]
struct Queue {
    free: usize,
    arrivals: u64,
    waiting: BTreeMap<(Priority, u64), oneshot::Sender<Slot>>,
}

impl Slots {
    /// A pool of `number` free slots.
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
        // The sender stays in the queue until used, and the queue lives as long as `self`.
        granted.await.unwrap_or(Slot(None))
    }

    /// Length of the queue.
    pub fn waiting(&self) -> usize {
        self.0.lock().waiting.len()
    }

    /// Whether no slot is free.
    pub fn is_full(&self) -> bool {
        self.0.lock().free == 0
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
                // The waiter is gone. Detach the slot, so that its drop does not release it again.
                Err(mut slot) => drop(slot.0.take()),
            }
        }
    }
}

/// An occupied slot; released when dropped.
#[derive(Debug)]
pub struct Slot(Option<Arc<Slots>>);

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(slots) = self.0.take() {
            slots.release();
        }
    }
}
