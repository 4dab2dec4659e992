//! An answer as it comes, strictly checked.

use acacia_catalog::id::Incarnation;
use acacia_catalog::tokenizer::Token;
use acacia_policy::dispatch::AttemptId;
use bytes::{Buf, BytesMut};
use serde::Deserialize;
use strum::{Display, IntoStaticStr};

use super::wire::{self, Usage};
use super::{format_attempt_id, incarnation};
use crate::failure::{Failure, Fault};

/// Longest line of a stream, in bytes.
const LINE_BYTES: usize = 1 << 20;
/// Start of every line that carries data.
const DATA: &[u8] = b"data:";
/// The last line's data.
const DONE: &[u8] = b"[DONE]";

/// A stream of output tokens.
#[derive(Debug)]
pub struct Stream {
    response: reqwest::Response,
    buffer: BytesMut,
    name: String,
    next: u32,
    incarnation: Incarnation,
    state: State,
}

/// How far a stream has come.
#[derive(Debug)]
enum State {
    /// Tokens may follow.
    Open,
    /// The last chunk came; the end mark must follow.
    Finished(Chunk),
    /// The end mark came, or the stream was wrong.
    Done,
}

/// Some output tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// Output tokens before these, as the engine counts.
    pub offset: u32,
    /// The tokens.
    pub tokens: Vec<Token>,
    /// In the last chunk, why the answer ended and what was counted.
    pub end: Option<(Finish, Usage)>,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Finish {
    /// The model ended it.
    Stop,
    /// It reached its most tokens.
    Length,
}

impl Stream {
    pub(super) fn new(
        response: reqwest::Response,
        attempt: AttemptId,
        offset: u32,
    ) -> Result<Self, Failure> {
        let incarnation = incarnation(&response);
        let name = format_attempt_id(attempt);
        let buffer = BytesMut::new();
        Ok(Self { response, buffer, name, next: offset, incarnation, state: State::Open })
    }

    /// The process life that answers; zero when it names none.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The next tokens. The chunk with the end is given only once the end mark was seen, after
    /// which there are none. Dropping the future loses nothing.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Fault> {
        while !matches!(self.state, State::Done) {
            let Some(data) = self.line().await? else { continue };
            if let Some(chunk) = self.take(&data)? {
                return Ok(Some(chunk));
            }
        }
        Ok(None)
    }

    /// Checks one line's data; a chunk once it may be handed over.
    fn take(&mut self, data: &[u8]) -> Result<Option<Chunk>, Fault> {
        match (std::mem::replace(&mut self.state, State::Done), data == DONE) {
            (State::Finished(chunk), true) => Ok(Some(chunk)),
            (State::Open, false) => {
                let chunk = self.chunk(data)?;
                if chunk.end.is_some() {
                    self.state = State::Finished(chunk);
                    return Ok(None);
                }
                self.state = State::Open;
                Ok(Some(chunk))
            }
            (_, true) => Err(Fault::Malformed("the end mark came before the end".to_owned())),
            (_, false) => Err(Fault::Malformed("a chunk came after the end".to_owned())),
        }
    }

    /// Checks one chunk.
    fn chunk(&mut self, data: &[u8]) -> Result<Chunk, Fault> {
        let chunk: wire::Chunk =
            serde_json::from_slice(data).map_err(|e| Fault::Malformed(e.to_string()))?;
        if chunk.id != self.name {
            return Err(Fault::WrongAttempt);
        }
        if chunk.offset != self.next {
            return Err(Fault::Gap { expected: self.next, found: chunk.offset });
        }
        let [choice] = <[wire::Choice; 1]>::try_from(chunk.choices)
            .map_err(|_| Fault::Malformed("a chunk has not one choice".to_owned()))?;
        let count = u32::try_from(choice.token_ids.len())
            .map_err(|_| Fault::Malformed("too many tokens".to_owned()))?;
        self.next = self.next.saturating_add(count);
        let end = choice.finish_reason.map(|finish| (finish, chunk.usage.unwrap_or_default()));
        Ok(Chunk { offset: chunk.offset, tokens: choice.token_ids, end })
    }

    /// The data of the next line; absent for lines without any.
    async fn line(&mut self) -> Result<Option<BytesMut>, Fault> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let mut line = self.buffer.split_to(end + 1);
                line.truncate(line.trim_ascii_end().len());
                return Ok(data(line));
            }
            if self.buffer.len() > LINE_BYTES {
                return Err(Fault::Malformed("a line is too long".to_owned()));
            }
            match self.response.chunk().await {
                Ok(Some(bytes)) => self.buffer.extend_from_slice(&bytes),
                Ok(None) | Err(_) => return Err(Fault::Ended),
            }
        }
    }
}

/// What a line carries.
fn data(mut line: BytesMut) -> Option<BytesMut> {
    if !line.starts_with(DATA) {
        return None;
    }
    line.advance(DATA.len());
    let blank = line.len() - line.trim_ascii_start().len();
    line.advance(blank);
    Some(line)
}
