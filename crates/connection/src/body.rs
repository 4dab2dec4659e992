//! Bodies of answers, chunk by chunk.

use bytes::{Buf, Bytes, BytesMut};

use crate::connection::Fault;
use crate::head::Framing;

/// Longest line of a chunk's size, with extensions.
const SIZE_LINE_LIMIT: usize = 256;
/// Longest trailer.
const TRAILER_LIMIT: usize = 4096;

/// Where the reading of a body stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body {
    /// That many bytes to come.
    Length(u64),
    /// At a chunk's size.
    Size,
    /// In a chunk, with that many bytes to come.
    Chunk(u64),
    /// At the line break after a chunk.
    ChunkEnd,
    /// After the last chunk.
    Trailer,
    /// Until the connection ends.
    Close,
    /// At its end.
    Done,
}

/// What the buffer holds of a body.
pub enum Piece {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The end.
    End,
    /// Nothing yet.
    More,
}

impl Body {
    /// The start of a body.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(0) => Self::Done,
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::Size,
            Framing::Close => Self::Close,
        }
    }

    /// Takes the next piece out of the buffer.
    ///
    /// # Errors
    /// If the bytes are no chunks.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Piece, Fault> {
        loop {
            match *self {
                Self::Done => return Ok(Piece::End),
                Self::Close => return Ok(take_all(buffer)),
                Self::Length(left) => {
                    let taken = take_some(buffer, left);
                    let left = left - taken.len() as u64;
                    *self = if left == 0 { Self::Done } else { Self::Length(left) };
                    return Ok(if taken.is_empty() { Piece::More } else { Piece::Bytes(taken) });
                }
                Self::Chunk(left) => {
                    let taken = take_some(buffer, left);
                    let left = left - taken.len() as u64;
                    *self = if left == 0 { Self::ChunkEnd } else { Self::Chunk(left) };
                    return Ok(if taken.is_empty() { Piece::More } else { Piece::Bytes(taken) });
                }
                Self::Size => match size(buffer)? {
                    Some(0) => *self = Self::Trailer,
                    Some(length) => *self = Self::Chunk(length),
                    None => return Ok(Piece::More),
                },
                Self::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Piece::More);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(Fault::Malformed);
                    }
                    buffer.advance(2);
                    *self = Self::Size;
                }
                Self::Trailer => match line(buffer, TRAILER_LIMIT)? {
                    Some(line) if line.is_empty() => *self = Self::Done,
                    Some(_) => {}
                    None => return Ok(Piece::More),
                },
            }
        }
    }
}

fn take_all(buffer: &mut BytesMut) -> Piece {
    if buffer.is_empty() { Piece::More } else { Piece::Bytes(buffer.split().freeze()) }
}

fn take_some(buffer: &mut BytesMut, most: u64) -> Bytes {
    let length = usize::try_from(most).unwrap_or(usize::MAX).min(buffer.len());
    buffer.split_to(length).freeze()
}

/// The size that a chunk begins with.
fn size(buffer: &mut BytesMut) -> Result<Option<u64>, Fault> {
    let Some(line) = line(buffer, SIZE_LINE_LIMIT)? else { return Ok(None) };
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let text = std::str::from_utf8(digits).map_err(|_| Fault::Malformed)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Fault::Malformed);
    }
    u64::from_str_radix(text, 16).map(Some).map_err(|_| Fault::Malformed)
}

/// One line without its end.
fn line(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, Fault> {
    match buffer.windows(2).position(|pair| pair == b"\r\n") {
        Some(end) => {
            let line = buffer.split_to(end).freeze();
            buffer.advance(2);
            Ok(Some(line))
        }
        None if buffer.len() > limit => Err(Fault::Malformed),
        None => Ok(None),
    }
}
