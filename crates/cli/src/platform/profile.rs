//! What the users' callers ask of a deployment a tenth of theirs, from the sheets they gave.

use std::time::Duration;

use crate::load::workload::User;

/// A deployment and its callers.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Entry instances.
    pub instances: usize,
    /// Model engines.
    pub engines: usize,
    /// Requests that an engine works on at once.
    pub engine_slots: usize,
    /// Tokens that an engine keeps.
    pub engine_tokens: u64,
    /// Time to read one token.
    pub token_time: Duration,
    /// Time between two events of a stream.
    pub step_time: Duration,
    /// Tokens that the managed store holds.
    pub cache_tokens: u64,
    /// Servers of the plain service.
    pub services: usize,
    /// Requests that one of them works on at once.
    pub service_slots: usize,
    /// Time that a plain request runs.
    pub service_time: Duration,
    /// Time within which answers count in full.
    pub latency_target: Duration,
    /// Longest wait of a caller.
    pub timeout: Duration,
    /// Pause in a stream that callers accept.
    pub gap_target: Duration,
    /// What callers ask.
    pub classes: Vec<Class>,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// What is asked.
    pub content: Content,
    /// Requests a second.
    pub rate: f64,
    /// Time within which an answer counts in full.
    pub latency_target: Duration,
    /// Longest wait.
    pub timeout: Duration,
    /// Worth of an answer within the aim, and of a later one.
    pub value: (f64, f64),
}

/// What a class asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Content {
    /// A call that may run twice.
    Read,
    /// A call that must run at most once.
    Charge,
    /// A prompt.
    Prompt {
        /// Different shared parts; few are asked for often.
        subjects: usize,
        /// Tokens of the shared part.
        shared: u32,
        /// Tokens of the part that is the request's own.
        unique: u32,
        /// Tokens of the answer.
        output: u32,
    },
}

impl Profile {
    /// A user's deployment, a tenth of its size after growing.
    pub fn of(user: User) -> Self {
        let (call_time, call_target, call_timeout, subjects) = match user {
            User::Actas => (30, (200, 150), (2_500, 2_500), 24),
            User::Ferreira => (15, (120, 120), (800, 600), 32),
        };
        let millis = Duration::from_millis;
        let long = Content::Prompt { subjects, shared: 12_800, unique: 4_260, output: 17 };
        let short = Content::Prompt { subjects: 8, shared: 301, unique: 82, output: 6 };
        Self {
            instances: 5,
            engines: 9,
            engine_slots: 12,
            engine_tokens: 78_242,
            token_time: Duration::from_secs_f64(1.0 / 51_100.0),
            step_time: Duration::from_micros(5_090),
            cache_tokens: 400_000,
            services: 4,
            service_slots: 6,
            service_time: millis(call_time),
            latency_target: millis(500),
            timeout: millis(8_000),
            gap_target: millis(500),
            classes: vec![
                class("long", long, 12.2, 800, 8_000, (10.0, 2.0)),
                class("short", short, 87.0, 500, 4_000, (1.9, 0.38)),
                class("charge", Content::Charge, 24.8, call_target.0, call_timeout.0, (1.0, 0.3)),
                class("read", Content::Read, 9.9, call_target.1, call_timeout.1, (1.0, 0.3)),
            ],
        }
    }
}

fn class(
    name: &'static str,
    content: Content,
    rate: f64,
    target_ms: u64,
    timeout_ms: u64,
    value: (f64, f64),
) -> Class {
    let (latency_target, timeout) =
        (Duration::from_millis(target_ms), Duration::from_millis(timeout_ms));
    Class { name, content, rate, latency_target, timeout, value }
}
