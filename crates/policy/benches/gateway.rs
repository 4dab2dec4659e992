//! Routing, admission and upstream choice, by the number of upstreams.

#[path = "../tests/gateway_simulation/mod.rs"]
mod gateway_simulation;

use acacia_policy::gateway::Ending;
use acacia_policy::gateway::call::content_hash;
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use gateway_simulation::Simulation;

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gateway");
    for upstreams in [9, 100, 10_000] {
        let mut simulation = Simulation::new(upstreams);
        group.bench_function(BenchmarkId::new("plain", upstreams), |bencher| {
            bencher.iter(|| {
                let mut plan = simulation.admit("/read/", "key").expect("a good request");
                let attempt = simulation.send(&mut plan);
                simulation.end(&mut plan, &attempt, Ending::Answered);
            });
        });
        group.bench_function(BenchmarkId::new("prompt", upstreams), |bencher| {
            bencher.iter(|| {
                let mut plan = simulation.admit("/ask/", "key").expect("a good request");
                let attempt = simulation.send(&mut plan);
                simulation.end(&mut plan, &attempt, Ending::Answered);
            });
        });
    }
    group.finish();
}

/// Hash of what a request asks for, by the size of its body.
fn content(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("content");
    for bytes in [0_usize, 1 << 10, 64 << 10, 1 << 20] {
        let body = vec![b'x'; bytes];
        group.throughput(Throughput::Bytes(bytes as u64));
        group.bench_function(BenchmarkId::from_parameter(bytes), |bencher| {
            bencher.iter(|| content_hash("POST", "/read/item?page=1", &body));
        });
    }
    group.finish();
}

criterion_group!(benches, decide, content);
criterion_main!(benches);
