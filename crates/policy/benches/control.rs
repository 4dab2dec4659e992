//! Steps of the control machine with a configuration of the two-year size.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::hint::black_box;
use std::time::Duration;

use acacia_catalog::generate::Size;
use acacia_catalog::id::{Name, UpstreamId};
use acacia_catalog::object::Object;
use acacia_policy::control::{Event, Observation};
use acacia_policy::message::{Digest, Envelope, Message, Sender};
use criterion::{Criterion, criterion_group, criterion_main};
use fleet::Simulation;
use fleet::engine::Engine;

/// Daemons of the fleet.
const DAEMONS: u64 = 9;

/// A fleet with a configuration of the two-year size in force.
fn two_years() -> Simulation {
    let mut simulation = Simulation::new(1, None);
    let document = Size::TwoYears.plan().document(1);
    for object in &document.objects {
        if let Object::Upstream(u) = object {
            simulation.engines.insert(u.name.clone(), Engine::new(true, u.cold_limit, false));
        }
    }
    simulation.base = Some(document);
    for _ in 0..DAEMONS {
        simulation.start();
    }
    simulation.run_for(Duration::from_secs(3));
    simulation.change(1);
    simulation.run_for(Duration::from_secs(3));
    simulation
}

fn steps(criterion: &mut Criterion) {
    let mut simulation = two_years();
    let peer = &simulation.nodes[&2];
    let digest = Digest {
        epoch: peer.control.epoch().number,
        revision: peer.control.revision(),
        rumours: Vec::new(),
    };
    let upstream: UpstreamId =
        simulation.engines.keys().next().cloned().unwrap_or_else(|| Name::from(""));
    let identity = fleet::node::identity(2, simulation.zones[0].clone(), 0);
    let from = Sender { daemon: identity.daemon, zone: identity.zone, address: identity.address };
    let control = &mut simulation.nodes.get_mut(&1).expect("a daemon").control;
    let mut now = Duration::from_secs(6);
    criterion.bench_function("control_tick", |b| {
        b.iter(|| {
            now += Duration::from_millis(100);
            black_box(control.step(now, Event::Tick))
        });
    });
    criterion.bench_function("control_digest", |b| {
        b.iter(|| {
            let message = Message::Digest(digest.clone());
            let envelope = Envelope { from: from.clone(), message };
            black_box(control.step(now, Event::Message(envelope)))
        });
    });
    criterion.bench_function("control_answered", |b| {
        b.iter(|| {
            let observation = Observation::Answered(1);
            black_box(control.step(now, Event::Observed(upstream.clone(), observation)))
        });
    });
}

criterion_group!(benches, steps);
criterion_main!(benches);
