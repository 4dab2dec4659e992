//! One attempt in the engine: from its slot through prefill to the last token.

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

/// Attempts that can still be resumed or cancelled.
const ATTEMPTS: usize = 16_384;

/// What an engine remembers of an attempt.
#[derive(Debug)]
pub struct Attempt {
    /// Hash of weights and prompt.
    pub generator: Generator,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Place in the queue.
    pub priority: Priority,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Of these, found in the cache.
    pub cached_tokens: AtomicU32,
    /// Ends it before its end.
    pub stop: Stop,
    /// Whether it ran to the end.
    pub finished: AtomicBool,
}

/// Tells a run to end before its end.
#[derive(Debug, Default)]
pub struct Stop {
    requested: AtomicBool,
    wake: Notify,
}

impl Stop {
    /// Tells it; false when it was told before.
    pub fn request(&self) -> bool {
        let first = !self.requested.swap(true, Ordering::Relaxed);
        self.wake.notify_one();
        first
    }

    fn is_requested(&self) -> bool {
        self.requested.load(Ordering::Relaxed)
    }

    /// Goes on with `work` unless told to stop.
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

/// The attempts of one process life, oldest out first.
#[derive(Default)]
pub struct Attempts {
    by_id: HashMap<String, Arc<Attempt>>,
    order: VecDeque<String>,
}

impl Attempts {
    /// Adds one; true when its id was there before.
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

    /// Every one.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Attempt>> {
        self.by_id.values()
    }

    /// One by its id.
    pub fn get(&self, id: &str) -> Option<Arc<Attempt>> {
        self.by_id.get(id).cloned()
    }
}

/// A fault that waits for a token.
#[derive(Debug, Default)]
pub struct Trigger(Mutex<Option<(Token, u32)>>);

/// Stands for every time.
pub const ALWAYS: u32 = u32::MAX;

impl Trigger {
    /// Sets the token's offset and how often it fires.
    pub fn set(&self, token: u32, times: u32) {
        *self.0.lock() = (times > 0).then_some((token, times));
    }

    /// Whether it fires for a chunk.
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

/// An attempt that runs.
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

/// What a stream sends next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Tokens,
    DoneMarker,
    End,
}

/// What a prompt brings to the cache.
pub struct Prefill {
    /// The weight version that it is computed with.
    pub version: String,
    /// Names of its pieces.
    pub keys: Vec<BlockKey>,
    /// Fingerprints of its pieces.
    pub fingerprints: Vec<u64>,
    /// Whether it was computed before, so that nothing is left to do.
    pub done: bool,
}

impl Prefill {
    /// Of a prompt with as many named pieces as it has both keys and fingerprints for.
    pub fn new(version: String, mut keys: Vec<BlockKey>, mut fingerprints: Vec<u64>) -> Self {
        keys.truncate(fingerprints.len());
        fingerprints.truncate(keys.len());
        Self { version, keys, fingerprints, done: false }
    }

    /// Of a run that goes on with what it computed before.
    pub fn done() -> Self {
        Self { version: String::new(), keys: Vec::new(), fingerprints: Vec::new(), done: true }
    }
}

impl Run {
    /// Waits for a slot and computes the prompt, then stands before token `offset`.
    pub async fn begin(
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

    /// The whole answer.
    pub async fn collect(mut self) -> Result<Chunk, Disconnect> {
        let left = self.attempt.max_tokens.saturating_sub(self.offset);
        let end = self.next_at + self.engine.time_per_token() * left;
        self.attempt.stop.race(tokio::time::sleep_until(end)).await?;
        self.check_alive()?;
        let chunk = self.chunk(left);
        self.finish();
        Ok(chunk)
    }

    /// The next part of the stream; nothing at its end.
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
            // The server flushes what came before the break only when it is given a turn.
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

    /// Whether the process life goes on and nobody cancelled.
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

/// The chunk as another attempt's, with other tokens.
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
