//! Routing, admission and upstream choice, by the number of upstreams.

#[path = "../tests/gateway_world/mod.rs"]
mod gateway_world;

use acacia_policy::gateway::Ending;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use gateway_world::World;

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gateway");
    for upstreams in [9, 100, 10_000] {
        let mut world = World::new(upstreams);
        group.bench_function(BenchmarkId::new("plain", upstreams), |bencher| {
            bencher.iter(|| {
                let mut plan = world.admit("/read/", "key").expect("a good request");
                let attempt = world.send(&mut plan);
                world.end(&mut plan, &attempt, Ending::Answered);
            });
        });
        group.bench_function(BenchmarkId::new("prompt", upstreams), |bencher| {
            bencher.iter(|| {
                let mut plan = world.admit("/ask/", "key").expect("a good request");
                let attempt = world.send(&mut plan);
                world.end(&mut plan, &attempt, Ending::Answered);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
