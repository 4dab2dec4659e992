//! Single decisions of the dispatcher.

mod fixture;

use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use fixture::Fixture;

fn decisions(criterion: &mut Criterion) {
    let mut two_years = Fixture::two_years();
    criterion.bench_function("route_admit", |b| {
        b.iter_custom(|count| (0..count).map(|_| two_years.admit()).sum::<Duration>());
    });
    let mut candidates = Fixture::candidates();
    criterion.bench_function("plan_return", |b| {
        b.iter_custom(|count| (0..count).map(|_| candidates.plan()).sum::<Duration>());
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
