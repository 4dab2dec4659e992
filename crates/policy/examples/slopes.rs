//! Cost of control by size: calls to the key-value service, messages, processor time and memory.
//!
//! `slopes DAEMONS UPSTREAMS ORGANISATIONS CHANGES_PER_MINUTE CLAIMS_PER_SECOND SECONDS` runs that
//! many daemons in one process in simulated time and prints two lines of JSON: idle and at work.
//! Processor time is that of `step` on this machine. Memory is the growth of the process per
//! daemon, including the daemon's share of the configuration in full.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Duration;

use acacia_catalog::generate::Size;
use acacia_catalog::id::Name;
use acacia_catalog::object::Object;
use acacia_policy::control::{EPOCH_KEY, Epoch};
use acacia_policy::message::Sender;
use fleet::Simulation;
use fleet::engine::Engine;
use fleet::kv::Counts;
use serde_json::json;

/// Number of upstreams that turn cold by a restart, one after another, while the fleet is at work.
const COLD_UPSTREAMS: usize = 4;
/// Interval between two restarts.
const COLD_INTERVAL: Duration = Duration::from_secs(5);
/// Simulated time of one step of the workload.
const STEP: Duration = Duration::from_millis(50);

/// The size of the run, from the command line.
#[derive(Clone, Copy)]
struct Shape {
    daemons: usize,
    upstreams: usize,
    organisations: usize,
    changes_per_minute: f64,
    claims_per_second: f64,
    seconds: u64,
}

fn main() {
    let shape = Shape {
        daemons: argument(1, 9.0) as usize,
        upstreams: argument(2, 20.0) as usize,
        organisations: argument(3, 10.0) as usize,
        changes_per_minute: argument(4, 1.0),
        claims_per_second: argument(5, 0.0),
        seconds: argument(6, 60.0) as u64,
    };
    let empty = resident();
    let mut simulation = boot(shape);
    let propagation = propagation(&mut simulation);
    simulation.run_for(Duration::from_secs(15));
    let memory = resident().saturating_sub(empty) / shape.daemons as u64;
    let idle = measure(&mut simulation, shape, |simulation| simulation.run_for(STEP));
    let epoch_bytes = simulation.kv.value(EPOCH_KEY).map_or(0, <[u8]>::len);
    let fixed = Fixed { propagation, memory, epoch_bytes };
    print(shape, "idle", &idle, &fixed);
    let mut workload = Workload::new(&simulation, shape);
    let busy = measure(&mut simulation, shape, |simulation| workload.step(simulation));
    print(shape, "work", &busy, &fixed);
    if let Some(broken) = simulation.oracle.violation {
        eprintln!("an invariant was violated: {broken}");
        std::process::exit(1);
    }
}

/// The command-line argument at an index.
fn argument(at: usize, default: f64) -> f64 {
    std::env::args().nth(at).and_then(|a| a.parse().ok()).unwrap_or(default)
}

/// A fleet whose membership is already complete.
fn boot(shape: Shape) -> Simulation {
    let mut simulation = Simulation::new(1, None);
    let size = if shape.upstreams > 1_000 { Size::TwoYears } else { Size::Actas };
    let mut plan = size.plan();
    plan.organisations = shape.organisations;
    plan.instances = (shape.upstreams / 10).max(1);
    plan.engines = shape.upstreams - plan.instances;
    let document = plan.document(1);
    simulation.engines.clear();
    simulation.zones.clear();
    for object in &document.objects {
        match object {
            Object::Upstream(u) => {
                let engine = Engine::new(true, u.cold_limit, u.checks_fence);
                simulation.engines.insert(u.name.clone(), engine);
            }
            Object::Zone(z) => simulation.zones.push(z.name.clone()),
            _ => {}
        }
    }
    simulation.base = Some(document);
    let mut epoch = Epoch::default();
    for id in 1..=shape.daemons as u64 {
        let zone = simulation.zones[id as usize % simulation.zones.len()].clone();
        let member = fleet::node::identity(id, zone, 0);
        let sender = Sender { daemon: member.daemon, zone: member.zone, address: member.address };
        epoch = epoch.next(&[], Some(&sender), true);
    }
    epoch.earlier.clear();
    simulation.kv.put(EPOCH_KEY, rmp_serde::to_vec(&epoch).unwrap_or_default());
    for _ in 0..shape.daemons {
        simulation.start();
    }
    simulation.run_for(Duration::from_secs(5));
    simulation
}

/// Time until the first configuration, and then a small change, is in force everywhere.
fn propagation(simulation: &mut Simulation) -> (Duration, Duration) {
    let mut took = [Duration::ZERO; 2];
    for (at, took) in took.iter_mut().enumerate() {
        let since = simulation.now;
        simulation.change(1);
        let revision = at as u64 + 1;
        while simulation.now < since + Duration::from_secs(60) {
            simulation.run_for(Duration::from_millis(10));
            if simulation.nodes.values().all(|n| n.snapshot.revision >= revision) {
                break;
            }
        }
        *took = simulation.now - since;
        simulation.run_for(Duration::from_secs(2));
    }
    (took[0], took[1])
}

/// Counts of one measurement.
struct Measurement {
    kv: Counts,
    watching: usize,
    messages: u64,
    bytes: u64,
    steps: u64,
    step_time: Duration,
}

fn measure(
    simulation: &mut Simulation,
    shape: Shape,
    mut step: impl FnMut(&mut Simulation),
) -> Measurement {
    simulation.kv.counts = Counts::default();
    simulation.traffic = fleet::Traffic::default();
    simulation.is_measured = true;
    let end = simulation.now + Duration::from_secs(shape.seconds);
    while simulation.now < end {
        step(simulation);
    }
    simulation.is_measured = false;
    Measurement {
        kv: simulation.kv.counts,
        watching: simulation.kv.waiting(),
        messages: simulation.traffic.messages,
        bytes: simulation.traffic.bytes,
        steps: simulation.traffic.steps,
        step_time: simulation.traffic.step_time,
    }
}

/// The workload of the fleet.
struct Workload {
    cold: Vec<Name>,
    changes: f64,
    claims: f64,
    key: u32,
    step: u64,
    shape: Shape,
}

impl Workload {
    fn new(simulation: &Simulation, shape: Shape) -> Self {
        let cold = simulation.engines.keys().take(COLD_UPSTREAMS).cloned().collect();
        Self { cold, changes: 0.0, claims: 0.0, key: 0, step: 0, shape }
    }

    fn step(&mut self, simulation: &mut Simulation) {
        self.step += 1;
        self.changes += self.shape.changes_per_minute / 60.0 * STEP.as_secs_f64();
        self.claims += self.shape.claims_per_second * STEP.as_secs_f64();
        let daemons = self.shape.daemons as u64;
        if self.changes >= 1.0 {
            self.changes -= 1.0;
            simulation.change(1 + self.step % daemons);
        }
        while self.claims >= 1.0 {
            self.claims -= 1.0;
            self.key += 1;
            simulation.claim(1 + u64::from(self.key) % daemons, self.key);
        }
        let steps_between = (COLD_INTERVAL.as_millis() / STEP.as_millis()) as u64;
        let cold = self.cold[(self.step / steps_between) as usize % self.cold.len()].clone();
        if self.step.is_multiple_of(steps_between) {
            simulation.restart(&cold);
        }
        // At most nine daemons use one upstream.
        simulation.request(1 + self.step % daemons.min(9), &cold, 1);
        simulation.run_for(STEP);
    }
}

/// Results that don't depend on the phase.
struct Fixed {
    propagation: (Duration, Duration),
    memory: u64,
    epoch_bytes: usize,
}

fn print(shape: Shape, phase: &str, m: &Measurement, fixed: &Fixed) {
    let seconds = shape.seconds as f64;
    let rate = |total: f64| total / seconds / shape.daemons as f64;
    let line = json!({
        "phase": phase,
        "daemons": shape.daemons,
        "upstreams": shape.upstreams,
        "organisations": shape.organisations,
        "changes_per_minute": shape.changes_per_minute,
        "claims_per_second": shape.claims_per_second,
        "kv_reads_per_second": m.kv.reads as f64 / seconds,
        "kv_writes_per_second": m.kv.writes as f64 / seconds,
        "kv_claim_writes_per_second": m.kv.claim_writes as f64 / seconds,
        "kv_watch_calls_per_second": m.kv.watches as f64 / seconds,
        "kv_watches_waiting": m.watching,
        "messages_per_second_per_daemon": rate(m.messages as f64),
        "bytes_per_second_per_daemon": rate(m.bytes as f64),
        "steps_per_second_per_daemon": rate(m.steps as f64),
        "cpu_share_per_daemon": rate(m.step_time.as_secs_f64()),
        "memory_bytes_per_daemon": fixed.memory,
        "epoch_bytes": fixed.epoch_bytes,
        "first_configuration_spread_ms": fixed.propagation.0.as_millis() as u64,
        "change_spread_ms": fixed.propagation.1.as_millis() as u64,
    });
    println!("{line}");
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or_default()
        * PAGE
}
