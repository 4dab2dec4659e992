//! Requests that crash the servers that run them, and sound requests that resemble them.

use acacia_standin::platform::caller::{Operation, Request, Resource};
use acacia_standin::platform::crash::{Cause, Trigger};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, IntoEnumIterator};

use crate::fixture::ORGANISATIONS;
use crate::request::{self, own_part, prompt, shared_part};

/// Stream of random numbers that draws the culprits of a seed.
const CULPRIT_STREAM: u64 = 3;
/// Most culprits of a seed.
const MAX_CULPRITS: usize = 2;
/// The prompt part that crashes engines.
const PART: &str = "c0ffee";
/// Tokens of that part.
const PART_TOKENS: u32 = 300;
/// Parts of the prompt that crashes engines as a whole; sound prompts have the first one, too.
const PROMPT_PARTS: [(&str, u32); 2] = [("a0", 4_000), ("fb", 200)];
/// Body of the requests that crash servers as a whole.
const BODY: &str = "culprit";
/// Body of requests that differ from these in the body only.
const OTHER_BODY: &str = "sound";

/// Number of requests before the first culprit.
const START: usize = 150;
/// Every how many requests a culprit is sent.
const SPACING: usize = 20;
/// Number of the second culprit modulo [`SPACING`]; the first one has zero.
const SECOND: usize = 10;
/// Numbers of resembling requests, modulo [`SPACING`].
const RESEMBLING: [usize; 4] = [3, 6, 13, 16];

/// What crashes servers.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Culprit {
    /// A part of prompts.
    Part,
    /// An idempotent request at plain services, as a whole.
    Read,
    /// A request at plain services that must run at most once, as a whole.
    Charge,
    /// A prompt as a whole.
    Prompt,
}

/// Kinds of services.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Service {
    /// Plain services.
    Plain,
    /// Model engines.
    Engine,
}

/// What a request has to do with culprits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It crashes servers.
    Culprit(Culprit),
    /// It differs from this culprit in its path or its body only.
    Resembling(Culprit),
    /// None of these.
    Other,
}

impl Culprit {
    /// The culprits of a seed: one, or two different ones.
    pub fn draw(seed: u64) -> Vec<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(CULPRIT_STREAM);
        let mut culprits: Vec<Self> = Self::iter().collect();
        culprits.shuffle(&mut rng);
        culprits.truncate(rng.random_range(1..=MAX_CULPRITS));
        culprits
    }

    /// The service whose servers it crashes.
    pub fn service(self) -> Service {
        Service::of(&self.operation())
    }

    /// Crashes after which it is to be held.
    pub fn max_crashes(self) -> usize {
        match self {
            Self::Part => 5,
            Self::Read | Self::Charge | Self::Prompt => 3,
        }
    }

    /// What servers crash on.
    pub fn cause(self) -> Cause {
        let Resource { path, body } = self.resource();
        Cause::new(match self {
            Self::Part => Trigger::Part(PART.to_owned()),
            Self::Read | Self::Charge | Self::Prompt => Trigger::Request {
                method: self.operation().method(),
                path: path.to_owned(),
                body: body.into(),
            },
        })
    }

    fn operation(self) -> Operation {
        match self {
            Self::Part => prompt(vec![(PART.to_owned(), PART_TOKENS)]),
            Self::Read => Operation::Read,
            Self::Charge => Operation::Charge,
            Self::Prompt => prompt(PROMPT_PARTS.map(|(id, tokens)| (id.to_owned(), tokens)).into()),
        }
    }

    fn resource(self) -> Resource {
        let path = match self {
            Self::Part => return self.operation().resource(),
            Self::Read => "/read/culprit?page=1",
            Self::Charge => "/charge/culprit?page=1",
            Self::Prompt => "/ask/culprit?page=1",
        };
        Resource { path, body: BODY }
    }

    /// A path that differs from that of the culprit in the query.
    fn other_path(self) -> &'static str {
        match self {
            Self::Part => self.resource().path,
            Self::Read => "/read/culprit?page=2",
            Self::Charge => "/charge/culprit?page=2",
            Self::Prompt => "/ask/culprit?page=2",
        }
    }

    /// A request that crashes servers, and its organisation; that of a part is given.
    fn request(
        self,
        number: usize,
        (organisation, key): (&'static str, &str),
        rng: &mut ChaCha8Rng,
    ) -> (&'static str, Request) {
        let id = format!("culprit-{number}");
        if self == Self::Part {
            let crash = (PART.to_owned(), PART_TOKENS);
            // The first part is one of sound prompts, too.
            let parts = vec![shared_part(rng), crash, own_part(number)];
            return (organisation, request::single(id, key, prompt(parts)));
        }
        let (organisation, key) = ORGANISATIONS[0];
        let request = request::single(id, key, self.operation());
        (organisation, Request { resource: self.resource(), ..request })
    }

    /// A sound request that differs from the culprit in its path or its body only.
    fn resembling(self, number: usize) -> (&'static str, Request) {
        let Resource { path, body } = self.resource();
        let resource = if number.is_multiple_of(2) {
            Resource { path, body: OTHER_BODY }
        } else {
            Resource { path: self.other_path(), body }
        };
        let (organisation, key) = ORGANISATIONS[0];
        let request = request::single(format!("resembling-{number}"), key, self.operation());
        (organisation, Request { resource, ..request })
    }
}

impl Service {
    /// The service that runs an operation.
    pub fn of(operation: &Operation) -> Self {
        match operation {
            Operation::Read | Operation::Charge => Self::Plain,
            Operation::Prompt { .. } | Operation::LongPrompt { .. } => Self::Engine,
        }
    }
}

impl Role {
    /// The role of the request with this number beside these culprits.
    pub fn new(culprits: &[Culprit], number: usize) -> Self {
        let at = number % SPACING;
        match (at, culprits) {
            (0, [culprit, ..]) | (SECOND, [_, culprit, ..]) if number >= START => {
                Self::Culprit(*culprit)
            }
            (_, [_, ..]) if RESEMBLING.contains(&at) => {
                match culprits[at / SECOND % culprits.len()] {
                    // All prompts without the part resemble those with it.
                    Culprit::Part => Self::Other,
                    culprit => Self::Resembling(culprit),
                }
            }
            _ => Self::Other,
        }
    }

    /// The request with this role and its organisation; `other` if it has none.
    pub fn request(
        self,
        number: usize,
        other: (&'static str, Request),
        rng: &mut ChaCha8Rng,
    ) -> (&'static str, Request) {
        match self {
            Self::Culprit(culprit) => culprit.request(number, (other.0, &other.1.key), rng),
            Self::Resembling(culprit) => culprit.resembling(number),
            Self::Other => other,
        }
    }
}
