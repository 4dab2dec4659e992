//! Checking and chunking the configuration of the two-year size.

use acacia_catalog::Set;
use acacia_catalog::generate::Size;
use criterion::{Criterion, criterion_group, criterion_main};

const SEED: u64 = 1;

fn check(c: &mut Criterion) {
    let document = Size::TwoYears.plan().document(SEED);
    c.bench_function("check_two_years", |b| {
        b.iter(|| Set::check(&document).expect("the generated document holds"))
    });
}

criterion_group!(benches, check);
criterion_main!(benches);
