//! Splits event streams at event boundaries.
//!
//! A body without a length or chunks ends with its connection, which an upstream that fails closes
//! like one that is done. The events then decide: a stream that ends inside an event, or before its
//! first one, is broken off. A stream that ends inside an event is broken off with any framing.
//! Another answer that follows the events, or the part of one that was cut off, belongs to such a body,
//! too, but not to the stream.

use acacia_connection::Framing;
use bytes::{Bytes, BytesMut};

/// Start of another answer's head. No event begins so.
const HEAD_START: &[u8] = b"HTTP/1.";
/// Bytes of the start of a head up to its status.
const STATUS_BYTES: usize = 12;
/// Names of the fields of an event; a comment has none.
const FIELDS: [&[u8]; 5] = [b"", b"data", b"event", b"id", b"retry"];
/// Size limit of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers the bytes of an event until it is whole, so that a caller never receives part of an
/// event that its upstream did not complete.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Begins with an incomplete event, all of whose bytes have been searched for its end.
    buffer: BytesMut,
    /// Start of the last line in the buffer.
    line: usize,
    last: Option<Bytes>,
    has_event: bool,
    /// Whether another answer followed the events.
    is_overrun: bool,
}

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event exceeds the size limit of {MAX_EVENT_BYTES} bytes")]
pub struct Oversized;

/// How a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// After a whole event; contains any line breaks after it.
    Whole(Bytes),
    /// Inside an event, possibly before its first event, or with another answer.
    BrokenOff {
        /// Bytes of the incomplete event.
        incomplete_bytes: usize,
    },
}

impl Splitter {
    /// A splitter for a stream that resumes after the event with the id `last`.
    pub fn after(last: Option<Bytes>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Adds bytes and returns the events that they complete, without those already returned before
    /// a resumption.
    ///
    /// # Errors
    /// If an event exceeds the size limit.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, Oversized> {
        let searched = self.buffer.len();
        let events = if searched == 0 {
            let end = self.search(bytes, 0);
            self.buffer.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            let mut buffer = std::mem::take(&mut self.buffer);
            buffer.extend_from_slice(bytes);
            let end = self.search(&buffer, searched);
            let events = buffer.split_to(end).freeze();
            self.buffer = buffer;
            events
        };
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Oversized);
        }
        Ok(self.take(events))
    }

    /// Finds the end of the last whole event in `bytes`, which were searched up to `searched`.
    fn search(&mut self, bytes: &[u8], searched: usize) -> usize {
        let mut end = 0;
        for at in (searched..bytes.len()).filter(|at| bytes[*at] == b'\n') {
            let line = &bytes[self.line..at];
            if matches!(line, b"" | b"\r") && self.line > end {
                end = at + 1;
            }
            self.line = at + 1;
        }
        self.line -= end;
        end
    }

    /// Judges the end of a body with this framing.
    pub fn end(&mut self, framing: Framing) -> End {
        let rest = std::mem::take(&mut self.buffer).freeze();
        let is_inside_event = rest.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        let is_proven = self.has_event || framing != Framing::Close;
        if is_inside_event || self.is_overrun || !is_proven {
            return End::BrokenOff { incomplete_bytes: rest.len() };
        }
        End::Whole(rest)
    }

    /// The id of the last event returned.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last.as_ref()
    }

    /// Records the last id, and drops events up to the one after which the stream was resumed, and
    /// another answer that follows the events.
    fn take(&mut self, events: Bytes) -> Bytes {
        let mut kept = BytesMut::new();
        let mut start = 0;
        let mut dropped = false;
        while start < events.len() {
            let end = start + first_end(&events[start..]).unwrap_or(events.len() - start);
            let event = events.slice(start..end);
            start = end;
            self.is_overrun |= has_head(&event);
            if self.is_overrun {
                dropped = true;
                break;
            }
            self.has_event = true;
            let id = id(&event);
            if let (Some(id), Some(last)) = (&id, &self.last)
                && !is_after(id, last)
            {
                dropped = true;
                continue;
            }
            if let Some(id) = id {
                self.last = Some(id);
            }
            kept.extend_from_slice(&event);
        }
        if dropped { kept.freeze() } else { events }
    }
}

/// Whether an event begins with the head of another answer, or is cut off by one. An event may be about
/// a head, but then its lines are fields.
fn has_head(event: &[u8]) -> bool {
    if event.trim_ascii_start().starts_with(HEAD_START) {
        return true;
    }
    let mut lines = event.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    let status = lines.by_ref().find(|line| line.windows(STATUS_BYTES).any(is_status));
    let mut rest = lines.filter(|line| !line.is_empty());
    status.is_some_and(|status| !is_field(status) || rest.any(|line| !is_field(line)))
}

/// Whether a line begins with the protocol's version and a status.
fn is_status(line: &[u8]) -> bool {
    let Some([minor, b' ', status @ ..]) = line.strip_prefix(HEAD_START) else { return false };
    minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
}

fn is_field(line: &[u8]) -> bool {
    line.split(|byte| *byte == b':').next().is_some_and(|name| FIELDS.contains(&name))
}

/// Whether an id follows another. Ids that aren't numbers are assumed to be in order.
fn is_after(id: &[u8], last: &[u8]) -> bool {
    let number = |bytes| std::str::from_utf8(bytes).ok()?.parse::<u64>().ok();
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id > last,
        _ => true,
    }
}

/// End of the first event, after its empty line; none if it is incomplete.
fn first_end(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let content = bytes[line..at].strip_suffix(b"\r").unwrap_or(&bytes[line..at]);
        if content.is_empty() && line > 0 {
            return Some(at + 1);
        }
        line = at + 1;
    }
    None
}

/// The `id` field of an event.
fn id(event: &Bytes) -> Option<Bytes> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    Some(Bytes::copy_from_slice(line.trim_ascii()))
}
