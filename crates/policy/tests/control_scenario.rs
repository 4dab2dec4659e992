//! Fixed sequences of faults, with and without mutations.

mod fleet;

use std::time::Duration;

use acacia_catalog::id::Name;
use acacia_policy::control::Mutation;
use acacia_policy::message::Sender;
use fleet::{NodeId, Simulation};

/// Seeds of each scenario.
const SEEDS: u64 = 40;
/// Seeds of a scenario within which a mutation must be noticed.
const MUTATED_SEEDS: u64 = 400;
/// Maximum time between an owner's death and the first permitted request on a cold upstream.
const MAX_FIRST_PERMIT: Duration = Duration::from_secs(3);

/// A fleet of `count` daemons with the first configuration in force.
fn fleet(seed: u64, count: u64, mutation: Option<Mutation>) -> Simulation {
    let mut simulation = Simulation::new(seed, mutation);
    for _ in 0..count {
        simulation.start();
    }
    simulation.run_for(Duration::from_secs(3));
    simulation.change(1);
    simulation.run_for(Duration::from_secs(3));
    simulation
}

/// The daemon that owns an upstream, as daemon `by` sees it.
fn owner(simulation: &Simulation, by: NodeId, upstream: &str) -> NodeId {
    let owner = simulation.nodes[&by].control.epoch().owner(upstream).expect("an owner");
    fleet::node::id(owner.address)
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Sends an owner two requests, so that it knows that no other requests are running.
fn warm_up_owner(simulation: &mut Simulation, owner: NodeId, upstream: &Name) {
    for _ in 0..2 {
        simulation.request(owner, upstream, 1);
        simulation.run_for(ms(3_000));
    }
}

/// An owner that receives no newer epoch is paused until the other daemons have replaced it.
fn paused_owner(seed: u64, mutation: Option<Mutation>) -> Option<String> {
    let mut simulation = fleet(seed, 5, mutation);
    let upstream: Name = "e0".into();
    let old = owner(&simulation, 1, &upstream);
    warm_up_owner(&mut simulation, old, &upstream);
    simulation.faults.uninformed.insert(old);
    simulation.pause(old, ms(2_500));
    simulation.run_for(ms(2_400));
    for _ in 0..120 {
        let ids: Vec<NodeId> = simulation.nodes.keys().copied().collect();
        for id in ids {
            simulation.request(id, &upstream, 1);
        }
        simulation.run_for(ms(100));
    }
    simulation.oracle.violation
}

/// An owner doesn't learn that a new daemon has taken over its upstream.
fn uninformed_owner(seed: u64, mutation: Option<Mutation>) -> Option<String> {
    let mut simulation = fleet(seed, 5, mutation);
    let upstream = engine_of_next_daemon(&simulation);
    let old = owner(&simulation, 1, &upstream);
    warm_up_owner(&mut simulation, old, &upstream);
    simulation.request(old, &upstream, 1);
    simulation.run_for(ms(1_000));
    simulation.faults.uninformed.insert(old);
    let new = simulation.start();
    let other = simulation.nodes.keys().copied().find(|n| *n != old)?;
    for _ in 0..100 {
        simulation.run_for(ms(10));
        if owner(&simulation, other, &upstream) == new {
            simulation.request(new, &upstream, 3);
            simulation.run_for(ms(seed % 40 * 15));
            simulation.request(old, &upstream, 3);
        }
    }
    simulation.oracle.violation
}

/// An owner dies while requests are running under its permits.
fn killed_owner(seed: u64, mutation: Option<Mutation>) -> Option<String> {
    let mut simulation = fleet(seed, 5, mutation);
    let upstream: Name = "e0".into();
    let old = owner(&simulation, 1, &upstream);
    let others: Vec<NodeId> = simulation.nodes.keys().copied().filter(|n| *n != old).collect();
    for round in 0..200 {
        if round == 60 {
            simulation.kill(old);
        }
        for id in &others {
            simulation.request(*id, &upstream, 1);
        }
        simulation.run_for(ms(50));
    }
    simulation.oracle.violation
}

/// An engine that the next daemon to start takes over.
fn engine_of_next_daemon(simulation: &Simulation) -> Name {
    let epoch = simulation.nodes[&1].control.epoch();
    let id = epoch.members.len() as NodeId + 1;
    let identity = fleet::node::identity(id, simulation.zones[0].clone(), 0);
    let next = Sender { daemon: identity.daemon, zone: identity.zone, address: identity.address };
    let next_epoch = epoch.next(&[], Some(&next), true);
    let gains = |u: &&Name| next_epoch.owner(u).is_some_and(|o| o.daemon == next.daemon);
    let engines = simulation.engines.iter().filter(|(_, e)| e.reports).map(|(name, _)| name);
    engines.into_iter().find(gains).expect("an engine that moves").clone()
}

fn is_noticed(scenario: fn(u64, Option<Mutation>) -> Option<String>, mutation: Mutation) -> bool {
    let violation = |seed| scenario(seed, Some(mutation));
    (0..MUTATED_SEEDS).filter_map(violation).any(|v| v.starts_with("cold limit"))
}

#[test]
fn paused_owner_healthy() {
    for seed in 0..SEEDS {
        assert_eq!(paused_owner(seed, None), None, "seed {seed}");
    }
}

#[test]
fn paused_owner_act_unconfirmed() {
    assert!(is_noticed(paused_owner, Mutation::ActUnconfirmed));
}

#[test]
fn paused_owner_confirm_anything() {
    assert!(is_noticed(paused_owner, Mutation::ConfirmAnything));
}

#[test]
fn uninformed_owner_healthy() {
    for seed in 0..SEEDS {
        assert_eq!(uninformed_owner(seed, None), None, "seed {seed}");
    }
}

#[test]
fn uninformed_owner_skip_wait_out() {
    assert!(is_noticed(uninformed_owner, Mutation::SkipWaitOut));
}

/// One daemon reaches only the key-value service; the others reach only each other.
fn partitioned_alone(seed: u64, mutation: Option<Mutation>) -> Option<String> {
    let mut simulation = fleet(seed, 4, mutation);
    simulation.faults.partition = [(1, 1), (2, 1), (3, 0), (4, 1)].into();
    simulation.faults.service_cut = true;
    for round in 0..300 {
        let upstream: Name = if round % 2 == 0 { "e0".into() } else { "e2".into() };
        for id in 1..=4 {
            simulation.request(id, &upstream, 1);
        }
        simulation.run_for(ms(100));
    }
    simulation.oracle.violation
}

#[test]
fn partitioned_alone_healthy() {
    for seed in 0..SEEDS {
        assert_eq!(partitioned_alone(seed, None), None, "seed {seed}");
    }
}

#[test]
fn partitioned_alone_ignore_list() {
    assert!(is_noticed(partitioned_alone, Mutation::IgnoreList));
}

#[test]
fn killed_owner_healthy() {
    for seed in 0..SEEDS {
        assert_eq!(killed_owner(seed, None), None, "seed {seed}");
    }
}

#[test]
fn killed_owner_forget_running() {
    assert!(is_noticed(killed_owner, Mutation::ForgetRunning));
}

#[test]
fn first_permit_owner_killed() {
    let mut slowest = Duration::ZERO;
    for seed in 0..SEEDS {
        let mut simulation = fleet(seed, 9, None);
        let upstream: Name = "e2".into();
        let old = owner(&simulation, 1, &upstream);
        simulation.run_for(ms(seed * 7));
        simulation.kill(old);
        let killed = simulation.now;
        let other = *simulation.nodes.keys().next().expect("a daemon");
        while simulation.nodes.values().all(|n| n.started == 0)
            && simulation.now < killed + MAX_FIRST_PERMIT * 2
        {
            simulation.request(other, &upstream, 1);
            simulation.run_for(ms(20));
        }
        assert_eq!(simulation.oracle.violation, None, "seed {seed}");
        let first = simulation.nodes.values().filter(|n| n.started > 0).map(|n| n.last_start).min();
        let took = first.map_or(MAX_FIRST_PERMIT * 2, |at| at - killed);
        assert!(took <= MAX_FIRST_PERMIT, "seed {seed}: {took:?}");
        slowest = slowest.max(took);
    }
    println!("first permit at most {slowest:?} after the owner's death");
}
