//! Execution of an attempt: waiting for a slot, prefill, and decoding.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use acacia_catalog::tokenizer::{Token, Tokenizer};
use acacia_policy::request::BlockKey;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::State;
use super::answer::Generator;
use super::wire::{Choice, Chunk, Finish, PromptDetails, Usage};
use crate::counter::Counter;
use crate::exchange::Disconnect;
use crate::slots::{Priority, Slot};
use crate::warmth::Guard;

/// Number of attempts kept for resumption and cancellation.
const ATTEMPTS: usize = 16_384;

/// State of an attempt that outlives its connection.
#[derive(Debug)]
pub struct Attempt {
    /// Generator after the prompt.
    pub generator: Generator,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Priority in the queue.
    pub priority: Priority,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in the cache.
    pub cached_tokens: AtomicU32,
    /// Stops the attempt early.
    pub stop: Stop,
    /// Whether the attempt ran to completion.
    pub finished: AtomicBool,
}

/// A request to stop a run early.
#[derive(Debug, Default)]
pub struct Stop {
    requested: AtomicBool,
    wake: Notify,
}

impl Stop {
    /// Requests the stop; false if it was requested before.
    pub fn request(&self) -> bool {
        let first = !self.requested.swap(true, Ordering::Relaxed);
        self.wake.notify_one();
        first
    }

    fn is_requested(&self) -> bool {
        self.requested.load(Ordering::Relaxed)
    }

    /// Awaits `work`, unless a stop is or gets requested.
    async fn race<T>(&self, work: impl Future<Output = T>) -> Result<T, Disconnect> {
        if self.is_requested() {
            return Err(Disconnect);
        }
        tokio::select! {
            biased;
            () = self.wake.notified() => Err(Disconnect),
            done = work => Ok(done),
        }
    }
}

/// Attempts of one incarnation; the oldest are removed first.
#[derive(Default)]
pub struct Attempts {
    by_id: HashMap<String, Arc<Attempt>>,
    order: VecDeque<String>,
}

impl Attempts {
    /// Adds an attempt; true if its id was already known.
    pub fn insert(&mut self, id: &str, attempt: Arc<Attempt>) -> bool {
        let repeated = self.by_id.insert(id.to_owned(), attempt).is_some();
        self.order.push_back(id.to_owned());
        if self.order.len() > ATTEMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
        repeated
    }

    /// All known attempts.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Attempt>> {
        self.by_id.values()
    }

    /// Looks up an attempt by id.
    pub fn get(&self, id: &str) -> Option<Arc<Attempt>> {
        self.by_id.get(id).cloned()
    }
}

/// Triggers a fault at an output token.
#[derive(Debug, Default)]
pub struct Trigger(Mutex<Option<(Token, u32)>>);

/// Number of times that means no limit.
pub const ALWAYS: u32 = u32::MAX;

impl Trigger {
    /// Sets the token offset and the number of times to fire.
    pub fn set(&self, token: u32, times: u32) {
        *self.0.lock() = (times > 0).then_some((token, times));
    }

    /// Whether the fault applies to a chunk; consumes one time if so.
    fn fire(&self, chunk: std::ops::Range<u32>) -> bool {
        let mut armed = self.0.lock();
        let Some((token, times)) = *armed else { return false };
        if !chunk.contains(&token) {
            return false;
        }
        let left = if times == ALWAYS { ALWAYS } else { times - 1 };
        *armed = (left > 0).then_some((token, left));
        true
    }
}

/// A running attempt.
pub struct Run {
    engine: Arc<State>,
    guard: Guard,
    attempt: Arc<Attempt>,
    id: String,
    generator: Generator,
    offset: u32,
    next_at: Instant,
    slot: Option<Slot>,
    phase: Phase,
}

/// Next part of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Tokens,
    DoneMarker,
    End,
}

/// Blocks of a prompt for cache lookup and storage.
pub struct Prefill {
    /// Weight version that computes the prompt.
    pub version: String,
    /// Keys of the blocks.
    pub keys: Vec<BlockKey>,
    /// Fingerprints of the blocks.
    pub fingerprints: Vec<u64>,
    /// Whether the prompt is already computed, so that prefill is skipped.
    pub done: bool,
}

impl Prefill {
    /// Prefill of a prompt; truncates to the blocks that have both a key and a fingerprint.
    pub fn new(version: String, mut keys: Vec<BlockKey>, mut fingerprints: Vec<u64>) -> Self {
        keys.truncate(fingerprints.len());
        fingerprints.truncate(keys.len());
        Self { version, keys, fingerprints, done: false }
    }

    /// Prefill of a resumed run, whose prompt is already computed.
    pub fn done() -> Self {
        Self { version: String::new(), keys: Vec::new(), fingerprints: Vec::new(), done: true }
    }
}

impl Run {
    /// Waits for a slot, computes the prompt and skips to output token `offset`.
    ///
    /// # Errors
    /// If the engine restarted or the attempt was cancelled.
    pub async fn start(
        engine: Arc<State>,
        guard: Guard,
        id: String,
        attempt: Arc<Attempt>,
        prefill: Prefill,
        offset: u32,
    ) -> Result<Self, Disconnect> {
        let mut run = Self {
            generator: attempt.generator.clone(),
            engine,
            guard,
            attempt,
            id,
            offset,
            next_at: Instant::now(),
            slot: None,
            phase: Phase::Tokens,
        };
        let slot = run.engine.slots.take(run.attempt.priority);
        run.slot = Some(run.attempt.stop.race(slot).await?);
        run.check_alive()?;
        run.engine.record_running();
        if !prefill.done {
            run.prefill(&prefill).await?;
        }
        for _ in 0..offset {
            run.generator.next_token();
        }
        run.next_at = Instant::now();
        Ok(run)
    }

    async fn prefill(&self, prefill: &Prefill) -> Result<(), Disconnect> {
        let engine = &self.engine;
        let prompt = self.attempt.prompt_tokens;
        let cached = engine.find(prefill, prompt);
        self.attempt.cached_tokens.store(cached, Ordering::Relaxed);
        self.attempt.stop.race(engine.compute(prompt - cached, self.attempt.priority)).await?;
        self.check_alive()?;
        engine.store(prefill);
        engine.tally.add(Counter::PromptTokensCached, cached.into());
        engine.tally.add(Counter::PromptTokensComputed, (prompt - cached).into());
        Ok(())
    }

    /// Generates the complete answer.
    ///
    /// # Errors
    /// If the engine restarted or the attempt was cancelled.
    pub async fn collect(mut self) -> Result<Chunk, Disconnect> {
        let left = self.attempt.max_tokens.saturating_sub(self.offset);
        let end = self.next_at + self.engine.time_per_token() * left;
        self.attempt.stop.race(tokio::time::sleep_until(end)).await?;
        self.check_alive()?;
        let chunk = self.chunk(left);
        self.finish();
        Ok(chunk)
    }

    /// The next part of the stream; `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes, Disconnect>> {
        match self.phase {
            Phase::Tokens => Some(self.tokens().await),
            Phase::DoneMarker => {
                self.phase = Phase::End;
                Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
            }
            Phase::End => None,
        }
    }

    async fn tokens(&mut self) -> Result<Bytes, Disconnect> {
        let left = self.attempt.max_tokens.saturating_sub(self.offset);
        let number = left.min(self.engine.settings.chunk_tokens);
        self.next_at += self.engine.time_per_token() * number;
        let range = self.offset..self.offset + number.max(1);
        self.wait().await.inspect_err(|_| self.phase = Phase::End)?;
        if self.engine.broken.fire(range.clone()) {
            self.engine.tally.count(Counter::Broken);
            self.phase = Phase::End;
            // The server flushes the earlier bytes only if this task yields before the error.
            tokio::task::yield_now().await;
            return Err(Disconnect);
        }
        if self.engine.take_truncation() {
            self.phase = Phase::End;
            return Ok(Bytes::new());
        }
        let chunk = self.chunk(number);
        let mut bytes = Vec::with_capacity(256);
        if self.engine.crossed.fire(range.clone()) {
            write(&mut bytes, &crossed(&chunk));
        }
        write(&mut bytes, &chunk);
        if self.engine.duplicated.fire(range) {
            write(&mut bytes, &chunk);
        }
        if chunk.usage.is_some() {
            self.finish();
            self.phase = Phase::DoneMarker;
        }
        self.engine.tally.add(Counter::BytesOut, bytes.len() as u64);
        Ok(bytes.into())
    }

    /// Waits until the next chunk is due.
    async fn wait(&self) -> Result<(), Disconnect> {
        if self.next_at > Instant::now() {
            self.attempt.stop.race(tokio::time::sleep_until(self.next_at)).await?;
        }
        self.check_alive()
    }

    /// Generates the next `number` tokens.
    fn chunk(&mut self, number: u32) -> Chunk {
        let token_ids: Vec<_> = (0..number).map(|_| self.generator.next_token()).collect();
        let offset = self.offset;
        self.offset += number;
        self.engine.tally.add(Counter::TokensGenerated, number.into());
        let last = self.offset >= self.attempt.max_tokens;
        let text = String::from_utf8_lossy(&Tokenizer::QuadByte.decode(&token_ids)).into_owned();
        let finish_reason = last.then_some(Finish::Length);
        let choices = [Choice { index: 0, text, token_ids, finish_reason }];
        Chunk { id: self.id.clone(), choices, offset, usage: last.then(|| self.usage()) }
    }

    fn usage(&self) -> Usage {
        let cached_tokens = self.attempt.cached_tokens.load(Ordering::Relaxed);
        Usage {
            prompt_tokens: self.attempt.prompt_tokens,
            completion_tokens: self.attempt.max_tokens,
            prompt_tokens_details: PromptDetails { cached_tokens },
        }
    }

    /// Fails if the engine has restarted or the attempt was cancelled.
    fn check_alive(&self) -> Result<(), Disconnect> {
        if self.guard.is_current() && !self.attempt.stop.is_requested() {
            Ok(())
        } else {
            Err(Disconnect)
        }
    }

    fn finish(&mut self) {
        self.slot = None;
        self.attempt.finished.store(true, Ordering::Relaxed);
        self.engine.tally.count(Counter::Finished);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.attempt.finished.load(Ordering::Relaxed) {
            self.engine.tally.count(Counter::Abandoned);
        }
    }
}

/// A copy of the chunk with another attempt id and other tokens.
fn crossed(chunk: &Chunk) -> Chunk {
    let mut other = chunk.clone();
    other.id = format!("{:0>32}", "crossed");
    for token in &mut other.choices[0].token_ids {
        *token = token.rotate_left(8);
    }
    other
}

fn write(bytes: &mut Vec<u8>, chunk: &Chunk) {
    bytes.extend_from_slice(b"data: ");
    // Writing to memory can't fail.
    let _ = serde_json::to_writer(&mut *bytes, chunk);
    bytes.extend_from_slice(b"\n\n");
}
