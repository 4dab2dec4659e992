//! When callers ask what, drawn from a seed.

use std::f64::consts::E;
use std::time::Duration;

use acacia_standin::platform::caller::{Operation, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::ORGANISATIONS;
use super::profile::{Class, Content, Profile};

/// Times that a caller asks again.
const RETRIES: u32 = 1;

/// How load changes over a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, EnumString, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Shape {
    /// It stays.
    #[default]
    Steady,
    /// It grows evenly from half to one and a half.
    Ramp,
    /// It triples in the middle fifth.
    Spike,
}

impl Shape {
    /// Factor on the rate at a part of the run, from zero to one.
    pub fn factor(self, part: f64) -> f64 {
        match self {
            Self::Steady => 1.0,
            Self::Ramp => 0.5 + part,
            Self::Spike if (0.4..0.6).contains(&part) => 3.0,
            Self::Spike => 1.0,
        }
    }

    fn most(self) -> f64 {
        match self {
            Self::Steady => 1.0,
            Self::Ramp => 1.5,
            Self::Spike => 3.0,
        }
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct Item {
    /// When it is sent, from the start.
    pub at: Duration,
    /// Its class, by number.
    pub class: usize,
    /// What is sent.
    pub ask: Request,
}

/// Draws the requests of a run of some length, in order of time; `load` is a factor on all rates.
pub fn draw(profile: &Profile, shape: Shape, length: Duration, load: f64, seed: u64) -> Vec<Item> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut items = Vec::new();
    for (number, class) in profile.classes.iter().enumerate() {
        let rate = class.rate * load * shape.most();
        let mut at = 0.0;
        loop {
            // Arrivals of many callers: independent, so exponentially apart; thinned to the shape.
            at -= rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
            let part = at / length.as_secs_f64();
            if part >= 1.0 {
                break;
            }
            if rng.random::<f64>() * shape.most() > shape.factor(part) {
                continue;
            }
            let id = format!("{}-{seed}-{}", class.name, items.len());
            let ask = ask(class, id, &mut rng);
            items.push(Item { at: Duration::from_secs_f64(at), class: number, ask });
        }
    }
    items.sort_by_key(|item| item.at);
    items
}

fn ask(class: &Class, id: String, rng: &mut ChaCha8Rng) -> Request {
    let subject = match class.content {
        Content::Read => Operation::Read,
        Content::Charge => Operation::Charge,
        Content::Prompt { subjects, shared, own, output } => {
            let subject = popular(subjects, rng);
            let parts = vec![
                (format!("{}a{subject:x}", class.name.len()), shared),
                (format!("f{:x}", rng.random::<u64>()), own),
            ];
            Operation::Prompt { parts, output }
        }
    };
    let (_, key) = ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())];
    Request {
        id,
        key: key.to_owned(),
        operation: subject,
        timeout: class.patience,
        retries: RETRIES,
    }
}

/// Draws one of some subjects; the first few are asked for often.
fn popular(subjects: usize, rng: &mut ChaCha8Rng) -> usize {
    // Evenly on a logarithmic scale, so that each e-fold of subjects has the same part of the load.
    let point = rng.random::<f64>() * (subjects as f64 + E - 1.0).ln();
    (point.exp() as usize).saturating_sub(1).min(subjects - 1)
}
