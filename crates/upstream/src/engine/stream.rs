//! Validating reader for the event stream of a completion.

use acacia_catalog::id::Incarnation;
use acacia_catalog::tokenizer::Token;
use acacia_policy::dispatch::AttemptId;
use bytes::{Buf, BytesMut};
use serde::Deserialize;
use strum::{Display, IntoStaticStr};

use super::wire::{self, Usage};
use super::{format_attempt_id, incarnation};
use crate::failure::{Failure, Fault};

/// Maximum length of a line.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Prefix of lines that carry data.
const DATA_PREFIX: &[u8] = b"data:";
/// Data of the last line, the end mark.
const DONE: &[u8] = b"[DONE]";

/// A stream of output tokens.
#[derive(Debug)]
pub struct Stream {
    response: reqwest::Response,
    buffer: BytesMut,
    attempt_id: String,
    next_offset: u32,
    incarnation: Incarnation,
    state: State,
}

/// Progress of a stream.
#[derive(Debug)]
enum State {
    /// More tokens may follow.
    Open,
    /// The last chunk was received and is held back until the end mark.
    Finished(Chunk),
    /// The end mark was received, or the stream was invalid.
    Done,
}

/// Consecutive output tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// Number of output tokens before these.
    pub offset: u32,
    /// Output tokens.
    pub tokens: Vec<Token>,
    /// Finish reason and token counts; in the last chunk only.
    pub end: Option<(Finish, Usage)>,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Finish {
    /// The model ended the answer.
    Stop,
    /// The answer reached its token limit.
    Length,
}

impl Stream {
    pub(super) fn new(
        response: reqwest::Response,
        attempt: AttemptId,
        offset: u32,
    ) -> Result<Self, Failure> {
        let incarnation = incarnation(&response);
        let attempt_id = format_attempt_id(attempt);
        let buffer = BytesMut::new();
        Ok(Self {
            response,
            buffer,
            attempt_id,
            next_offset: offset,
            incarnation,
            state: State::Open,
        })
    }

    /// The incarnation of the engine that answers; zero if it names none.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Reads the next tokens; `None` after the end. The last chunk is returned only after the end
    /// mark was received. Cancel-safe: dropping the future loses no data.
    ///
    /// # Errors
    /// If the connection ends early or the stream is invalid.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Fault> {
        while !matches!(self.state, State::Done) {
            let Some(data) = self.next_data().await? else { continue };
            if let Some(chunk) = self.accept(&data)? {
                return Ok(Some(chunk));
            }
        }
        Ok(None)
    }

    /// Processes the data of one line; returns a chunk that may be passed on.
    fn accept(&mut self, data: &[u8]) -> Result<Option<Chunk>, Fault> {
        match (std::mem::replace(&mut self.state, State::Done), data == DONE) {
            (State::Finished(chunk), true) => Ok(Some(chunk)),
            (State::Open, false) => {
                let chunk = self.parse_chunk(data)?;
                if chunk.end.is_some() {
                    self.state = State::Finished(chunk);
                    return Ok(None);
                }
                self.state = State::Open;
                Ok(Some(chunk))
            }
            (_, true) => Err(Fault::Malformed("end mark before the last chunk".to_owned())),
            (_, false) => Err(Fault::Malformed("chunk after the last chunk".to_owned())),
        }
    }

    /// Parses and validates one chunk.
    fn parse_chunk(&mut self, data: &[u8]) -> Result<Chunk, Fault> {
        let chunk: wire::Chunk =
            serde_json::from_slice(data).map_err(|e| Fault::Malformed(e.to_string()))?;
        if chunk.id != self.attempt_id {
            return Err(Fault::WrongAttempt);
        }
        if chunk.offset != self.next_offset {
            return Err(Fault::Gap { expected: self.next_offset, found: chunk.offset });
        }
        let [choice] = <[wire::Choice; 1]>::try_from(chunk.choices)
            .map_err(|_| Fault::Malformed("a chunk must have exactly one choice".to_owned()))?;
        let count = u32::try_from(choice.token_ids.len())
            .map_err(|_| Fault::Malformed("the token count of a chunk overflows".to_owned()))?;
        self.next_offset = self.next_offset.saturating_add(count);
        let end = choice.finish_reason.map(|finish| (finish, chunk.usage.unwrap_or_default()));
        Ok(Chunk { offset: chunk.offset, tokens: choice.token_ids, end })
    }

    /// Reads the next line; `None` if it carries no data.
    async fn next_data(&mut self) -> Result<Option<BytesMut>, Fault> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let mut line = self.buffer.split_to(end + 1);
                line.truncate(line.trim_ascii_end().len());
                return Ok(strip_prefix(line));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(Fault::Malformed("a line exceeds the size limit".to_owned()));
            }
            match self.response.chunk().await {
                Ok(Some(bytes)) => self.buffer.extend_from_slice(&bytes),
                Ok(None) | Err(_) => return Err(Fault::Ended),
            }
        }
    }
}

/// Strips the prefix and blanks of a line that carries data.
fn strip_prefix(mut line: BytesMut) -> Option<BytesMut> {
    if !line.starts_with(DATA_PREFIX) {
        return None;
    }
    line.advance(DATA_PREFIX.len());
    let blank = line.len() - line.trim_ascii_start().len();
    line.advance(blank);
    Some(line)
}
