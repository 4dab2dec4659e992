//! A model engine under virtual time: a batch that decodes while prompts are computed in chunks.

use std::time::Duration;

use acacia_policy::Time;

/// Index of a flight in [`super::Fleet`].
pub type FlightId = u64;

/// Requests in one batch.
pub const SLOTS: u32 = 128;
/// Memory in tokens.
pub const MEMORY_TOKENS: u64 = 123_000;
/// Prompt tokens computed in a second.
const PREFILL_RATE: f64 = 112_000.0;
/// Largest chunk of a prompt in one step, in tokens.
const CHUNK_TOKENS: u64 = 1_024;
/// Duration of a step without a chunk, and its growth with each request in the batch.
const STEP_S: (f64, f64) = (0.003_2, 0.000_05);

/// A prompt at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub flight: FlightId,
    /// Zero is the most urgent.
    pub priority: u32,
    /// The shared part.
    pub subject: u32,
    pub shared_tokens: u64,
    pub input_tokens: u64,
    pub output_tokens: u64,
}

#[derive(Clone, Debug)]
struct Run {
    job: Job,
    /// Prompt tokens to compute.
    uncached: u64,
    generated: u64,
}

impl Run {
    fn memory(&self) -> u64 {
        self.job.input_tokens + self.generated
    }
}

/// What happened to a job in one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    Began(FlightId),
    Ended(FlightId),
}

#[derive(Debug, Default)]
pub struct Engine {
    queue: Vec<Job>,
    running: Vec<Run>,
    /// Cached parts, least recently used first.
    cache: Vec<(u32, u64)>,
    next_step: Time,
    /// Until when it does nothing.
    pub dark_until: Time,
}

impl Engine {
    pub fn submit(&mut self, job: Job) {
        let at = self.queue.partition_point(|queued| queued.priority <= job.priority);
        self.queue.insert(at, job);
    }

    pub fn cancel(&mut self, flight: FlightId) {
        self.queue.retain(|job| job.flight != flight);
        self.running.retain(|run| run.job.flight != flight);
    }

    /// Loses all cached parts.
    pub fn forget(&mut self) {
        self.cache.clear();
    }

    /// Runs the steps that are due.
    pub fn advance(&mut self, now: Time) -> Vec<Event> {
        let mut events = Vec::new();
        if now < self.dark_until || now < self.next_step {
            return events;
        }
        self.admit();
        let chunk = self.prefill();
        for run in self.running.iter_mut().filter(|run| run.uncached == 0) {
            run.generated += 1;
            if run.generated == 1 {
                events.push(Event::Began(run.job.flight));
            }
            if run.generated >= run.job.output_tokens {
                events.push(Event::Ended(run.job.flight));
            }
        }
        self.finish();
        self.preempt();
        let (base, per_request) = STEP_S;
        let batch = base + per_request * self.running.len() as f64;
        let step = batch + chunk as f64 / PREFILL_RATE;
        self.next_step = now + Duration::from_secs_f64(step);
        events
    }

    fn used(&self) -> u64 {
        self.running.iter().map(Run::memory).sum()
    }

    fn admit(&mut self) {
        while let Some(job) = self.queue.first() {
            let is_full = self.running.len() >= SLOTS as usize
                || self.used() + job.input_tokens > MEMORY_TOKENS;
            if is_full && !self.running.is_empty() {
                return;
            }
            let job = self.queue.remove(0);
            let uncached = self.uncached(&job);
            self.running.push(Run { job, uncached, generated: 0 });
        }
    }

    /// Tokens of a prompt that are not cached; at least one.
    fn uncached(&mut self, job: &Job) -> u64 {
        let found = self.cache.iter().position(|(subject, _)| *subject == job.subject);
        let cached = found.map(|at| self.cache.remove(at)).map_or(0, |(_, tokens)| tokens);
        self.cache.push((job.subject, job.shared_tokens));
        let room = MEMORY_TOKENS.saturating_sub(self.used());
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u64>() > room
            && !self.cache.is_empty()
        {
            self.cache.remove(0);
        }
        job.input_tokens.saturating_sub(cached).max(1)
    }

    /// Computes one chunk of the most urgent prompt; returns its size.
    fn prefill(&mut self) -> u64 {
        let pending = self.running.iter_mut().filter(|run| run.uncached > 0);
        let Some(run) = pending.min_by_key(|run| run.job.priority) else { return 0 };
        let chunk = run.uncached.min(CHUNK_TOKENS);
        run.uncached -= chunk;
        chunk
    }

    fn finish(&mut self) {
        self.running.retain(|run| run.generated < run.job.output_tokens);
    }

    /// Puts the newest of the least urgent runs back into the queue until the others fit.
    fn preempt(&mut self) {
        let is_blocked = |engine: &Self| {
            let next = engine.queue.first();
            let worst = engine.running.iter().map(|run| run.job.priority).max();
            next.zip(worst).is_some_and(|(job, worst)| {
                job.priority < worst && engine.used() + job.input_tokens > MEMORY_TOKENS
            })
        };
        while self.running.len() > 1 && (self.used() > MEMORY_TOKENS || is_blocked(self)) {
            let Some(worst) = self.running.iter().map(|run| run.job.priority).max() else { return };
            let Some(at) = self.running.iter().rposition(|run| run.job.priority == worst) else {
                return;
            };
            let run = self.running.remove(at);
            self.queue.push(run.job);
        }
    }
}
