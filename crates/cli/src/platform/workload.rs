//! Requests of callers, generated from a seed.

use std::f64::consts::E;
use std::time::Duration;

use acacia_standin::platform::caller::{Operation, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::ORGANISATIONS;
use super::profile::{Class, Content, Profile};

/// Times that a caller retries a request.
const RETRIES: u32 = 1;

/// How the load changes over a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, EnumString, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Shape {
    /// The load is constant.
    #[default]
    Steady,
    /// The load grows linearly from 0.5 to 1.5 times the rate.
    Ramp,
    /// The load triples in the middle fifth of the run.
    Spike,
}

impl Shape {
    /// Factor by which the rate is multiplied at a point of the run, given as a share from 0 to 1.
    pub fn factor(self, progress: f64) -> f64 {
        match self {
            Self::Steady => 1.0,
            Self::Ramp => 0.5 + progress,
            Self::Spike if (0.4..0.6).contains(&progress) => 3.0,
            Self::Spike => 1.0,
        }
    }

    fn max_factor(self) -> f64 {
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
    /// Index of its class.
    pub class: usize,
    /// The request.
    pub ask: Request,
}

/// Generates the requests of a run, in order of time. All rates are multiplied by `load`.
pub fn draw(profile: &Profile, shape: Shape, length: Duration, load: f64, seed: u64) -> Vec<Item> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut items = Vec::new();
    for (number, class) in profile.classes.iter().enumerate() {
        let rate = class.rate * load * shape.max_factor();
        let mut at = 0.0;
        loop {
            // Callers are independent, so the time between arrivals is exponentially distributed.
            // Arrivals are generated at the highest rate and thinned to the shape.
            at -= rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
            let progress = at / length.as_secs_f64();
            if progress >= 1.0 {
                break;
            }
            if rng.random::<f64>() * shape.max_factor() > shape.factor(progress) {
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
        Content::Prompt { subjects, shared, unique, output } => {
            let subject = draw_subject(subjects, rng);
            let parts = vec![
                (format!("{}a{subject:x}", class.name.len()), shared),
                (format!("f{:x}", rng.random::<u64>()), unique),
            ];
            Operation::Prompt { parts, output }
        }
    };
    let (_, key) = ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())];
    Request {
        id,
        key: key.to_owned(),
        resource: subject.resource(),
        operation: subject,
        timeout: class.timeout,
        retries: RETRIES,
    }
}

/// Draws a subject; the first few are the most frequent.
fn draw_subject(subjects: usize, rng: &mut ChaCha8Rng) -> usize {
    // Uniform on a logarithmic scale, so that each e-fold of subjects gets the same share of the
    // load.
    let point = rng.random::<f64>() * (subjects as f64 + E - 1.0).ln();
    (point.exp() as usize).saturating_sub(1).min(subjects - 1)
}
