//! Benchmarks of checking, chunking, diffing and parsing the `two-years` configuration.

use acacia_catalog::chunk::{join, split};
use acacia_catalog::diff::diff;
use acacia_catalog::generate::Size;
use acacia_catalog::object::AdminState;
use acacia_catalog::{File, Set};
use criterion::{Criterion, criterion_group, criterion_main};

const SEED: u64 = 1;

fn check(c: &mut Criterion) {
    let document = Size::TwoYears.plan().document(SEED);
    let set = Set::check(&document).expect("the generated document is valid");
    let (index, chunks) = split(&set).expect("the set can be split");
    let mut changed = set.clone();
    changed.zones.values_mut().for_each(|zone| zone.state = AdminState::Out);
    let text = serde_json::to_string_pretty(&document).expect("a document can be serialized");
    c.bench_function("check_two_years", |b| b.iter(|| Set::check(&document)));
    c.bench_function("split_two_years", |b| b.iter(|| split(&set)));
    c.bench_function("join_two_years", |b| b.iter(|| join(&index, &chunks)));
    c.bench_function("diff_two_years", |b| b.iter(|| diff(&set, &changed)));
    c.bench_function("parse_two_years", |b| b.iter(|| File::parse(&text)));
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = check
}
criterion_main!(benches);
