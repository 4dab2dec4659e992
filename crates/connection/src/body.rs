//! Incremental decoding of response bodies.

use bytes::{Buf, Bytes, BytesMut};

use crate::connection::Fault;
use crate::head::Framing;

/// Maximum length of a chunk's size line, including extensions.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Maximum length of a trailer, which is read and dropped.
const MAX_TRAILER_BYTES: usize = 16 << 10;
/// Length of a line break.
const LINE_BREAK_BYTES: usize = 2;

/// State of the decoding of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decoder {
    /// Body of known length; the number of bytes left.
    Length(u64),
    /// Before the size line of a chunk.
    ChunkSize,
    /// Within a chunk; the number of its bytes left.
    ChunkData(u64),
    /// Before the line break after a chunk.
    ChunkEnd,
    /// After the last chunk, before the end of the trailer; the number of bytes that it may still have.
    Trailer(usize),
    /// Body that ends when the connection is closed.
    UntilClose,
    /// At the end of the body.
    Done,
}

/// Result of a decoding step.
pub enum Segment {
    /// Some bytes of the body.
    Bytes(Bytes),
    /// The body is complete.
    End,
    /// More input is needed.
    Incomplete,
}

impl Decoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(0) => Self::Done,
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::ChunkSize,
            Framing::Close => Self::UntilClose,
        }
    }

    /// Decodes the next bytes of the body and removes them from the buffer.
    ///
    /// # Errors
    /// If the chunked encoding is malformed, or its trailer is too long.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Segment, Fault> {
        loop {
            match *self {
                Self::Done => return Ok(Segment::End),
                Self::UntilClose => return Ok(split_all(buffer)),
                Self::Length(left) => {
                    let taken = split_at_most(buffer, left);
                    let left = left - taken.len() as u64;
                    *self = if left == 0 { Self::Done } else { Self::Length(left) };
                    return Ok(if taken.is_empty() {
                        Segment::Incomplete
                    } else {
                        Segment::Bytes(taken)
                    });
                }
                Self::ChunkData(left) => {
                    let taken = split_at_most(buffer, left);
                    let left = left - taken.len() as u64;
                    *self = if left == 0 { Self::ChunkEnd } else { Self::ChunkData(left) };
                    return Ok(if taken.is_empty() {
                        Segment::Incomplete
                    } else {
                        Segment::Bytes(taken)
                    });
                }
                Self::ChunkSize => match read_chunk_size(buffer)? {
                    Some(0) => *self = Self::Trailer(MAX_TRAILER_BYTES),
                    Some(length) => *self = Self::ChunkData(length),
                    None => return Ok(Segment::Incomplete),
                },
                Self::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Segment::Incomplete);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(Fault::Malformed);
                    }
                    buffer.advance(2);
                    *self = Self::ChunkSize;
                }
                Self::Trailer(left) => match read_line(buffer, left)? {
                    Some(line) if line.is_empty() => *self = Self::Done,
                    Some(line) => {
                        let left = left.checked_sub(line.len() + LINE_BREAK_BYTES);
                        *self = Self::Trailer(left.ok_or(Fault::Malformed)?);
                    }
                    None => return Ok(Segment::Incomplete),
                },
            }
        }
    }
}

fn split_all(buffer: &mut BytesMut) -> Segment {
    if buffer.is_empty() { Segment::Incomplete } else { Segment::Bytes(buffer.split().freeze()) }
}

fn split_at_most(buffer: &mut BytesMut, max_bytes: u64) -> Bytes {
    let length = usize::try_from(max_bytes).unwrap_or(usize::MAX).min(buffer.len());
    buffer.split_to(length).freeze()
}

/// Reads the size line of a chunk, once it is complete.
fn read_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, Fault> {
    let Some(line) = read_line(buffer, MAX_SIZE_LINE_BYTES)? else { return Ok(None) };
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let text = std::str::from_utf8(digits).map_err(|_| Fault::Malformed)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Fault::Malformed);
    }
    u64::from_str_radix(text, 16).map(Some).map_err(|_| Fault::Malformed)
}

/// Reads a line, without its line break, once it is complete.
fn read_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Bytes>, Fault> {
    match buffer.windows(2).position(|pair| pair == b"\r\n") {
        Some(end) => {
            let line = buffer.split_to(end).freeze();
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() > max_bytes => Err(Fault::Malformed),
        None => Ok(None),
    }
}
