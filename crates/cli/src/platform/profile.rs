//! Deployments and callers at a tenth of the size of the target deployment.

use std::time::Duration;

use crate::load::workload::User;

/// A deployment and its callers.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Entry instances.
    pub instances: usize,
    /// Model engines.
    pub engines: usize,
    /// Requests that an engine runs concurrently.
    pub engine_slots: usize,
    /// Tokens that fit in an engine's cache.
    pub engine_tokens: u64,
    /// Prefill time of one token.
    pub token_time: Duration,
    /// Time between two events of a stream.
    pub step_time: Duration,
    /// Tokens that fit in the managed cache store.
    pub cache_tokens: u64,
    /// Servers of the plain service.
    pub services: usize,
    /// Requests that a plain server runs concurrently.
    pub service_slots: usize,
    /// Duration of a plain request.
    pub service_time: Duration,
    /// Time to the first event for an answer to have its full value.
    pub latency_target: Duration,
    /// Time after which callers abandon a request.
    pub timeout: Duration,
    /// Longest gap in a stream that callers accept.
    pub gap_target: Duration,
    /// Classes of requests that callers send.
    pub classes: Vec<Class>,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name.
    pub name: &'static str,
    /// Content of the requests.
    pub content: Content,
    /// Requests per second.
    pub rate: f64,
    /// Time to the first event for an answer to have its full value.
    pub latency_target: Duration,
    /// Time after which callers abandon a request.
    pub timeout: Duration,
    /// Value of an answer within the latency target, and of a later one.
    pub value: (f64, f64),
}

/// Content of a class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Content {
    /// A call that may run more than once.
    Read,
    /// A call that must run at most once.
    Charge,
    /// A prompt.
    Prompt {
        /// Number of different shared prompt parts; a few are requested often.
        subjects: usize,
        /// Tokens in the shared prompt part.
        shared: u32,
        /// Tokens in the prompt part that no other request has.
        unique: u32,
        /// Tokens in the answer.
        output: u32,
    },
}

impl Profile {
    /// A user's deployment at a tenth of the size expected after growth.
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
