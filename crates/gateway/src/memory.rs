//! Memory for answers that are not yet complete.
//!
//! Each plain answer is buffered until it is whole. An upstream in trouble may send an answer
//! without an end, to many requests at once; together they must not exceed the memory of the process.

use std::cell::Cell;
use std::rc::Rc;

/// Size limit of one answer, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Size limit of all incomplete answers together, in bytes. Their buffers may be twice as large.
const TOTAL_LIMIT: usize = 24 << 20;

/// Memory that the requests of an instance share.
#[derive(Clone, Debug, Default)]
pub struct Memory(Rc<Cell<usize>>);

/// Memory of one incomplete answer; freed when dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    bytes: usize,
}

impl Memory {
    /// An empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Enlarges the reservation to this size; false if a limit would be exceeded.
    pub fn enlarge(&mut self, bytes: usize) -> bool {
        let others = self.memory.0.get() - self.bytes;
        if bytes > ANSWER_LIMIT || others + bytes > TOTAL_LIMIT {
            return false;
        }
        self.memory.0.set(others + bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.set(self.memory.0.get() - self.bytes);
    }
}
