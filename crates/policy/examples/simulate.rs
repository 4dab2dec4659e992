//! Measures fairness, herding and retries of several dispatchers in simulated time, as JSON lines.
//!
//! `cargo run --release -p acacia-policy --example simulate`

#[path = "../tests/dispatch_sim/mod.rs"]
mod dispatch_sim;

use std::time::Duration;

use acacia_policy::dispatch::{Mutation, Strategy};
use acacia_policy::request::Class;
use dispatch_sim::{Outcome, Settings, Stream, simulate};

/// Seeds of each measurement.
const SEEDS: u64 = 3;

fn main() {
    for seed in 0..SEEDS {
        fairness(seed);
    }
    for seed in 0..SEEDS {
        herd(seed);
    }
    for seed in 0..SEEDS {
        retries(seed);
    }
}

fn fairness(seed: u64) {
    let mut alone = others(&dispatch_sim::fair(seed, false));
    let mut beside = others(&dispatch_sim::fair(seed, true));
    let (before, after) = (alone.quantile(0.95), beside.quantile(0.95));
    println!(
        "{}",
        serde_json::json!({
            "measure": "others beside one organisation at 20 times its share",
            "seed": seed,
            "alone_p95_s": before,
            "beside_p95_s": after,
            "ratio": after / before,
            "others_refused": beside.refused,
        })
    );
}

fn others(settings: &Settings) -> Outcome {
    dispatch_sim::others(settings)
}

fn herd(seed: u64) {
    for lag in [100, 500, 1_000] {
        for (strategy, damped) in [
            (Strategy::TimeToFirstToken, true),
            (Strategy::TimeToFirstToken, false),
            (Strategy::LeastLoaded, true),
        ] {
            let settings = Settings {
                lag: Duration::from_millis(lag),
                damped,
                strategy,
                ..dispatch_sim::nine_daemons(seed)
            };
            let settings = Settings {
                streams: vec![Stream {
                    organisation: "one".into(),
                    rate: 110.0,
                    tokens: 500,
                    answer: 20,
                    class: Class::Short,
                }],
                ..settings
            };
            let mut result = simulate(&settings);
            let most_waiting = result.most_waiting;
            let outcome = result.outcomes.values_mut().next().expect("requests were answered");
            println!(
                "{}",
                serde_json::json!({
                    "measure": "nine daemons on lagging reports",
                    "seed": seed,
                    "lag_ms": lag,
                    "strategy": strategy.to_string(),
                    "damped": damped,
                    "p50_s": outcome.quantile(0.5),
                    "p95_s": outcome.quantile(0.95),
                    "p99_s": outcome.quantile(0.99),
                    "refused": outcome.refused,
                    "most_waiting_in_an_engine": most_waiting,
                })
            );
        }
    }
}

/// Engines interrupt most runs for ten seconds, with and without the cap on retries.
fn retries(seed: u64) {
    for mutation in [None, Some(Mutation::UnlimitedRetries)] {
        let stream = Stream {
            organisation: "one".into(),
            rate: 100.0,
            tokens: 500,
            answer: 20,
            class: Class::Short,
        };
        let window = (Duration::from_secs(20), Duration::from_secs(30), 0.7);
        let settings = Settings {
            breaks: Some(window),
            mutation,
            streams: vec![stream],
            ..dispatch_sim::nine_daemons(seed)
        };
        let mut result = simulate(&settings);
        let attempts = result.attempts;
        let outcome = result.outcomes.values_mut().next().expect("requests were answered");
        println!(
            "{}",
            serde_json::json!({
                "measure": "engines break 70% of runs for 10 of 60 s",
                "seed": seed,
                "capped": mutation.is_none(),
                "answered": outcome.first_tokens.len(),
                "refused": outcome.refused,
                "attempts": attempts,
                "p50_s": outcome.quantile(0.5),
                "p95_s": outcome.quantile(0.95),
                "p99_s": outcome.quantile(0.99),
            })
        );
    }
}
