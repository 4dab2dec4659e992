//! Routing, admission and upstream choice, by the number of upstreams.

#[path = "../tests/gateway_simulation/mod.rs"]
mod gateway_simulation;

use acacia_policy::gateway::Ending;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
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

criterion_group!(benches, decide);
criterion_main!(benches);
