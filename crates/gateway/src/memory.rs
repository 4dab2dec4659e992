//! Memory that requests, answers and connections of an instance share.
//!
//! Load pattern: callers send many large bodies without their ends, read long answers slowly, or hold
//! connections without a request; an upstream in trouble sends answers without an end. Each reserves
//! memory before it is used. [`Ledger`] decides who gives it up; the buffer of a holder that does is
//! freed at once, and its task is told. Short bodies and answers aren't counted by themselves: they
//! are part of what is counted for each connection.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use acacia_policy::Time;
use acacia_policy::gateway::memory::{
    Cause, ConnectionKey, Entry, HolderKey, Kind, Ledger, OrganisationKey, Step, Terms,
};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use strum::{EnumCount, IntoEnumIterator};
use tokio::sync::Notify;

use crate::log;
use crate::relay::Interrupted;
use crate::timer::Activity;
use crate::traffic::Traffic;

/// Size limit of one answer, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Size limit of all incomplete answers together, in bytes. Their buffers may be twice as large.
const INCOMPLETE_LIMIT: usize = 24 << 20;
/// Size up to which whole bodies and answers are part of what is counted for their connection.
const SHORT_BYTES: usize = 16 << 10;
/// Memory counted for a stream, in bytes: what is queued for a caller that reads slowly.
const STREAM_BYTES: usize = 64 << 10;
/// Smallest buffer of a body, in bytes.
const FIRST_BYTES: usize = 16 << 10;
/// Size from which a body's buffer grows by less than its own size, in bytes.
const GRADUAL_BYTES: usize = 1 << 20;
/// Size of the pieces in which a long answer is written, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// Memory of an instance.
#[derive(Debug, Default)]
pub struct Memory {
    ledger: RefCell<Ledger>,
    /// What can be given up.
    slots: RefCell<HashMap<HolderKey, Rc<Slot>>>,
    connections: RefCell<HashMap<ConnectionKey, Rc<Peer>>>,
    /// Bytes that are no longer held and that the ledger still counts.
    released: Arc<Released>,
    /// Bytes of answers that are not complete.
    incomplete: Cell<usize>,
}

/// Bytes by [`Kind`]. They may be dropped by any owner of a [`Bytes`], so they are atomic.
#[derive(Debug, Default)]
struct Released([AtomicUsize; Kind::COUNT]);

/// Bytes that count until they are dropped.
#[derive(Debug)]
pub struct Kept<T> {
    content: T,
    released: Arc<Released>,
    kind: Kind,
    bytes: usize,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Kept<T> {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}

impl<T> Drop for Kept<T> {
    fn drop(&mut self) {
        self.released.0[self.kind as usize].fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// What a holder has.
#[derive(Debug)]
struct Slot {
    content: RefCell<Content>,
    /// Wakes the holder of a body that was given up.
    wake: Notify,
}

#[derive(Debug)]
enum Content {
    Body(Vec<u8>),
    Answer(Bytes),
    Lost(Cause),
}

/// A caller's connection.
#[derive(Debug)]
struct Peer {
    activity: Activity,
    close: Notify,
}

impl Memory {
    /// Replaces the limits.
    pub fn set_terms(&self, terms: Terms) {
        self.ledger.borrow_mut().set_terms(terms);
    }

    /// Bytes in use by kind.
    pub fn usage(&self) -> [(&'static str, usize); Kind::COUNT] {
        self.settle();
        let ledger = self.ledger.borrow();
        let mut kinds = Kind::iter();
        std::array::from_fn(|_| kinds.next().map_or(("", 0), |k| (k.into(), ledger.used(k))))
    }

    /// Counts a stream until the result is dropped.
    pub fn stream(&self) -> Kept<()> {
        self.ledger.borrow_mut().take(Kind::Stream, STREAM_BYTES);
        self.keep((), Kind::Stream, STREAM_BYTES)
    }

    fn keep<T>(&self, content: T, kind: Kind, bytes: usize) -> Kept<T> {
        Kept { content, released: self.released.clone(), kind, bytes }
    }

    /// Tells the ledger of bytes that are no longer held.
    fn settle(&self) {
        for kind in Kind::iter() {
            let counter = &self.released.0[kind as usize];
            if counter.load(Ordering::Relaxed) > 0 {
                let bytes = counter.swap(0, Ordering::Relaxed);
                self.ledger.borrow_mut().release(kind, bytes);
            }
        }
    }

    fn add_slot(&self, key: HolderKey, content: Content) -> Rc<Slot> {
        let slot = Rc::new(Slot { content: RefCell::new(content), wake: Notify::new() });
        self.slots.borrow_mut().insert(key, slot.clone());
        slot
    }

    /// Frees what a holder has.
    fn give_up(&self, key: HolderKey, cause: Cause) -> Option<Loss> {
        let slot = self.slots.borrow_mut().remove(&key)?;
        let lost = slot.content.replace(Content::Lost(cause));
        slot.wake.notify_one();
        match lost {
            Content::Body(buffer) => Some(Loss { kind: Kind::Body, bytes: buffer.capacity() }),
            Content::Answer(answer) => Some(Loss { kind: Kind::Answer, bytes: answer.len() }),
            Content::Lost(_) => None,
        }
    }
}

/// What a holder had.
#[derive(Clone, Copy, Debug)]
struct Loss {
    kind: Kind,
    bytes: usize,
}

/// Reserves memory, which other holders may have to give up first.
fn reserve(traffic: &Traffic, ask: impl Fn(&mut Ledger, Time) -> Step) -> Result<(), Cause> {
    let now = traffic.now();
    loop {
        traffic.memory.settle();
        let step = ask(&mut traffic.memory.ledger.borrow_mut(), now);
        match step {
            Step::Granted => return Ok(()),
            Step::Refused(cause) => return Err(cause),
            Step::Evict(key, cause) => {
                if let Some(loss) = traffic.memory.give_up(key, cause) {
                    report(traffic, loss, cause);
                }
            }
        }
    }
}

/// Logs and counts memory or a connection that was given up or refused.
fn report(traffic: &Traffic, loss: Loss, cause: Cause) {
    let (kind, cause): (&'static str, &'static str) = (loss.kind.into(), cause.into());
    traffic.metrics.memory_reclaimed(kind, cause);
    if traffic.log_budget.admits(traffic.now(), log::Kind::Failure) {
        let [(_, body), (_, answer), (_, stream), (_, connection)] = traffic.memory.usage();
        tracing::warn!(
            kind,
            cause,
            bytes = loss.bytes,
            body,
            answer,
            stream,
            connection,
            "memory reclaimed"
        );
    }
}

/// A request's body that arrives. Dropping it frees its memory.
pub struct Arrival {
    traffic: Rc<Traffic>,
    key: HolderKey,
    slot: Rc<Slot>,
}

impl Arrival {
    /// A body of which nothing has arrived.
    pub fn new(traffic: &Rc<Traffic>, organisation: OrganisationKey) -> Self {
        let now = traffic.now();
        let key = traffic.memory.ledger.borrow_mut().begin_body(now, organisation);
        let slot = traffic.memory.add_slot(key, Content::Body(Vec::new()));
        Self { traffic: traffic.clone(), key, slot }
    }

    /// Adds bytes to a body that has at most `limit` bytes in the end.
    ///
    /// # Errors
    /// If the body is given up.
    pub fn push(&self, bytes: &[u8], limit: usize) -> Result<(), Cause> {
        let now = self.traffic.now();
        self.traffic.memory.ledger.borrow_mut().progressed(now, self.key);
        let (length, capacity) = match &*self.slot.content.borrow() {
            Content::Body(buffer) => (buffer.len(), buffer.capacity()),
            Content::Answer(_) => (0, 0),
            Content::Lost(cause) => return Err(*cause),
        };
        let needed = length + bytes.len();
        let enlarged = (needed > capacity).then(|| enlarged(capacity, needed, limit));
        if let Some(size) = enlarged {
            let reserved =
                reserve(&self.traffic, |ledger, now| ledger.enlarge(now, self.key, size));
            reserved.inspect_err(|cause| {
                report(&self.traffic, Loss { kind: Kind::Body, bytes: capacity }, *cause);
            })?;
        }
        if let Content::Body(buffer) = &mut *self.slot.content.borrow_mut() {
            if let Some(size) = enlarged {
                buffer.reserve_exact(size - length);
            }
            buffer.extend_from_slice(bytes);
        }
        Ok(())
    }

    /// Waits until the body is given up.
    pub async fn lost(&self) -> Cause {
        loop {
            if let Content::Lost(cause) = *self.slot.content.borrow() {
                return cause;
            }
            self.slot.wake.notified().await;
        }
    }

    /// The whole body, whose memory counts until it is dropped.
    ///
    /// # Errors
    /// If the body was given up.
    pub fn finish(self) -> Result<Bytes, Cause> {
        let memory = &self.traffic.memory;
        match self.slot.content.replace(Content::Lost(Cause::Full)) {
            Content::Body(buffer) => {
                memory.ledger.borrow_mut().end(self.key);
                let counted = buffer.capacity();
                Ok(Bytes::from_owner(memory.keep(buffer, Kind::Body, counted)))
            }
            Content::Answer(answer) => Ok(answer),
            Content::Lost(cause) => Err(cause),
        }
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.traffic.memory.slots.borrow_mut().remove(&self.key);
        self.traffic.memory.ledger.borrow_mut().cancel_body(self.key);
    }
}

/// Size of a body's buffer that must hold `needed` bytes.
fn enlarged(capacity: usize, needed: usize, limit: usize) -> usize {
    let more = if capacity < GRADUAL_BYTES { capacity } else { GRADUAL_BYTES.max(capacity / 4) };
    (capacity + more).max(FIRST_BYTES).min(limit).max(needed)
}

/// Memory of an upstream's answer that is not complete; freed when dropped.
pub struct Reservation {
    traffic: Rc<Traffic>,
    bytes: usize,
}

impl Reservation {
    /// An empty reservation.
    pub fn new(traffic: &Rc<Traffic>) -> Self {
        Self { traffic: traffic.clone(), bytes: 0 }
    }

    /// Enlarges the reservation to this size; false if a limit would be exceeded.
    pub fn enlarge(&mut self, bytes: usize) -> bool {
        let incomplete = self.traffic.memory.incomplete.get() - self.bytes + bytes;
        if bytes > ANSWER_LIMIT || incomplete > INCOMPLETE_LIMIT {
            return false;
        }
        let more = bytes.saturating_sub(self.bytes);
        let reserved = reserve(&self.traffic, |ledger, now| ledger.enlarge_answer(now, more));
        match reserved {
            Ok(()) => {
                self.traffic.memory.incomplete.set(incomplete);
                self.bytes = bytes;
            }
            Err(cause) => report(&self.traffic, Loss { kind: Kind::Answer, bytes }, cause),
        }
        reserved.is_ok()
    }

    /// The complete answer, whose memory counts until it is dropped.
    pub fn keep(mut self, answer: Bytes) -> Bytes {
        if answer.len() <= SHORT_BYTES {
            return answer;
        }
        let memory = &self.traffic.memory;
        let bytes = std::mem::take(&mut self.bytes);
        memory.incomplete.set(memory.incomplete.get() - bytes);
        Bytes::from_owner(memory.keep(answer, Kind::Answer, bytes))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let memory = &self.traffic.memory;
        memory.incomplete.set(memory.incomplete.get() - self.bytes);
        memory.ledger.borrow_mut().release(Kind::Answer, self.bytes);
    }
}

/// A long answer that is written to its caller in pieces. It can be given up between them.
pub struct Written {
    traffic: Rc<Traffic>,
    key: HolderKey,
    slot: Rc<Slot>,
    left: usize,
}

impl Written {
    /// Whether an answer is long enough to be written in pieces.
    pub fn is_apt(answer: &Bytes) -> bool {
        answer.len() > SHORT_BYTES
    }

    /// An answer of which nothing is written.
    pub fn new(traffic: &Rc<Traffic>, answer: Bytes) -> Self {
        let (now, left) = (traffic.now(), answer.len());
        let key = traffic.memory.ledger.borrow_mut().begin_answer(now, left);
        let slot = traffic.memory.add_slot(key, Content::Answer(answer));
        Self { traffic: traffic.clone(), key, slot, left }
    }
}

impl Body for Written {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let piece = match &*self.slot.content.borrow() {
            Content::Answer(answer) => {
                let start = answer.len() - self.left;
                // A copy, as a part of the answer would keep all of it.
                Bytes::copy_from_slice(&answer[start..answer.len().min(start + PIECE_BYTES)])
            }
            Content::Body(_) | Content::Lost(_) => return Poll::Ready(Some(Err(Interrupted))),
        };
        self.left -= piece.len();
        if self.left == 0 {
            *self.slot.content.borrow_mut() = Content::Answer(Bytes::new());
        }
        let now = self.traffic.now();
        self.traffic.memory.ledger.borrow_mut().progressed(now, self.key);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

impl Drop for Written {
    fn drop(&mut self) {
        self.traffic.memory.slots.borrow_mut().remove(&self.key);
        self.traffic.memory.ledger.borrow_mut().end(self.key);
    }
}

/// A caller's connection that is counted; dropping it ends that.
pub struct Connected {
    traffic: Rc<Traffic>,
    key: ConnectionKey,
    peer: Rc<Peer>,
}

impl Connected {
    /// Counts a connection, for which an idle one may be closed; none if it can't be served.
    pub fn new(traffic: &Rc<Traffic>, activity: Activity) -> Option<Self> {
        let (memory, now) = (&traffic.memory, traffic.now());
        if memory.ledger.borrow().is_full() {
            let mut ledger = memory.ledger.borrow_mut();
            for (key, peer) in memory.connections.borrow().iter() {
                ledger.set_idle(*key, peer.activity.idle_since());
            }
        }
        let entry = memory.ledger.borrow_mut().connect(now);
        let loss = Loss { kind: Kind::Connection, bytes: 0 };
        let key = match entry {
            Entry::Admitted(key) => key,
            Entry::Replaces(key, replaced) => {
                if let Some(peer) = memory.connections.borrow_mut().remove(&replaced) {
                    peer.close.notify_one();
                }
                report(traffic, loss, Cause::Idle);
                key
            }
            Entry::Closed => {
                report(traffic, loss, Cause::Connections);
                return None;
            }
        };
        let peer = Rc::new(Peer { activity, close: Notify::new() });
        memory.connections.borrow_mut().insert(key, peer.clone());
        Some(Self { traffic: traffic.clone(), key, peer })
    }

    /// Waits until the connection is to be closed.
    pub async fn replaced(&self) {
        self.peer.close.notified().await;
    }
}

impl Drop for Connected {
    fn drop(&mut self) {
        self.traffic.memory.connections.borrow_mut().remove(&self.key);
        self.traffic.memory.ledger.borrow_mut().disconnect(self.key);
    }
}
