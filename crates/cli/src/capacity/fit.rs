//! Linear fits of measured costs and their extrapolation to another size.

use super::sample::Control;

/// A deployment size that control costs depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Daemons.
    pub daemons: f64,
    /// Upstreams.
    pub upstreams: f64,
    /// Organisations.
    pub organisations: f64,
    /// Configuration changes per minute.
    pub changes_per_minute: f64,
}

/// The size that the requirements expect in two years.
pub const TWO_YEARS: Size = Size {
    daemons: 800.0,
    upstreams: 10_000.0,
    organisations: 1_000.0,
    changes_per_minute: 7_800.0 / (24.0 * 60.0),
};

/// One dimension of a size.
type Dimension = fn(&Control) -> f64;

/// The dimensions other than daemons, with their names and target values.
const DIMENSIONS: [(&str, Dimension, f64); 3] = [
    ("upstream", |c| c.upstreams, TWO_YEARS.upstreams),
    ("organisation", |c| c.organisations, TWO_YEARS.organisations),
    ("change a minute", |c| c.changes_per_minute, TWO_YEARS.changes_per_minute),
];

/// An estimate and its derivation.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The estimate.
    pub value: f64,
    /// The measured sample it starts from: number of daemons and cost.
    pub from: (f64, f64),
    /// The slope of each dimension, by name.
    pub slopes: Vec<(&'static str, f64)>,
}

/// Extrapolates a cost to the two-year size: takes the sample with the most daemons and follows the
/// slope of every other dimension. `None` without samples.
pub fn estimate(samples: &[&Control], cost: impl Fn(&Control) -> f64) -> Option<Estimate> {
    let start = samples.iter().max_by(|a, b| a.daemons.total_cmp(&b.daemons))?;
    let mut value = cost(start);
    let mut slopes = Vec::new();
    for (name, dimension, target) in DIMENSIONS {
        let slope = slope(samples, dimension, &cost);
        value += slope * (target - dimension(start));
        slopes.push((name, slope));
    }
    Some(Estimate { value, from: (start.daemons, cost(start)), slopes })
}

/// Least-squares slope of a cost along one dimension, over the largest set of samples that are
/// equal in all others; zero if the dimension doesn't vary or the cost falls along it.
fn slope(samples: &[&Control], dimension: Dimension, cost: &impl Fn(&Control) -> f64) -> f64 {
    let matching = |base: &Control| -> Vec<(f64, f64)> {
        let same = |c: &&&Control| {
            c.daemons == base.daemons
                && c.claims_per_second == base.claims_per_second
                && DIMENSIONS
                    .iter()
                    .all(|(_, d, _)| std::ptr::fn_addr_eq(*d, dimension) || d(c) == d(base))
        };
        samples.iter().filter(same).map(|c| (dimension(c), cost(c))).collect()
    };
    let series = samples.iter().map(|c| matching(c)).max_by_key(Vec::len).unwrap_or_default();
    least_squares(&series).max(0.0)
}

/// Least-squares slope of points; zero if all have the same x.
pub fn least_squares(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    if variance > 0.0 { covariance / variance } else { 0.0 }
}
