//! Measures single decisions and prints their percentiles as JSON lines.
//!
//! `cargo run --release -p acacia-policy --example decide`

#[path = "../benches/fixture/mod.rs"]
mod fixture;

use std::time::Duration;

use fixture::Fixture;
use hdrhistogram::Histogram;

/// Decisions before each measurement starts.
const WARM_UP: usize = 2_000;
/// Number of admission decisions measured.
const COUNT: usize = 100_000;
/// Number of plans measured.
const PLANS: usize = 20_000;

fn main() {
    let mut two_years = Fixture::two_years();
    measure("route and admit, 10,000 upstreams, 1,000 organisations", COUNT, || two_years.admit());
    let mut candidates = Fixture::candidates();
    measure("plan a return, 64 candidates, 100 pieces", PLANS, || candidates.plan());
}

fn measure(name: &str, count: usize, mut decide: impl FnMut() -> Duration) {
    for _ in 0..WARM_UP {
        decide();
    }
    let mut histogram = Histogram::<u64>::new(3).expect("three significant digits are valid");
    for _ in 0..count {
        let nanoseconds = u64::try_from(decide().as_nanos()).unwrap_or(u64::MAX);
        histogram.record(nanoseconds).expect("the histogram resizes itself");
    }
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "{}",
        serde_json::json!({
            "decision": name,
            "count": count,
            "p50_us": at(0.5),
            "p95_us": at(0.95),
            "p99_us": at(0.99),
            "max_us": histogram.max() as f64 / 1_000.0,
        })
    );
}
