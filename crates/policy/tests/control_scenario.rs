//! Faults in a chosen order.

mod fleet;

use std::time::Duration;

use acacia_catalog::id::Name;
use acacia_policy::control::Sabotage;
use acacia_policy::message::Sender;
use fleet::{NodeId, World};

/// Seeds of each scenario.
const SEEDS: u64 = 40;
/// Most seeds of a scenario with a broken rule.
const SABOTAGED_SEEDS: u64 = 400;
/// Time between an owner's death and the first permitted request of a cold upstream.
const FIRST_PERMIT: Duration = Duration::from_secs(3);

/// A fleet of `count` daemons with the first configuration in force.
fn fleet(seed: u64, count: u64, sabotage: Option<Sabotage>) -> World {
    let mut world = World::new(seed, sabotage);
    for _ in 0..count {
        world.start();
    }
    world.run(Duration::from_secs(3));
    world.change(1);
    world.run(Duration::from_secs(3));
    world
}

/// The daemon that owns an upstream, as daemon `by` sees it.
fn owner(world: &World, by: NodeId, upstream: &str) -> NodeId {
    let owner = world.nodes[&by].control.epoch().owner(upstream).expect("an owner");
    fleet::node::id(owner.address)
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Has an owner serve twice, so that it knows that nothing else runs.
fn use_owner(world: &mut World, owner: NodeId, upstream: &Name) {
    for _ in 0..2 {
        world.ask(owner, upstream, 1);
        world.run(ms(3_000));
    }
}

/// An owner that hears of no newer epoch is paused until the others go on without it.
fn paused_owner(seed: u64, sabotage: Option<Sabotage>) -> Option<String> {
    let mut world = fleet(seed, 5, sabotage);
    let upstream: Name = "e0".into();
    let old = owner(&world, 1, &upstream);
    use_owner(&mut world, old, &upstream);
    world.weather.deaf.insert(old);
    world.pause(old, ms(2_500));
    world.run(ms(2_400));
    for _ in 0..120 {
        let ids: Vec<NodeId> = world.nodes.keys().copied().collect();
        for id in ids {
            world.ask(id, &upstream, 1);
        }
        world.run(ms(100));
    }
    world.oracle.broken
}

/// An owner that doesn't hear that a new daemon has taken its place.
fn unheard_successor(seed: u64, sabotage: Option<Sabotage>) -> Option<String> {
    let mut world = fleet(seed, 5, sabotage);
    let upstream = next_gain(&world);
    let old = owner(&world, 1, &upstream);
    use_owner(&mut world, old, &upstream);
    world.ask(old, &upstream, 1);
    world.run(ms(1_000));
    world.weather.deaf.insert(old);
    let new = world.start();
    let other = world.nodes.keys().copied().find(|n| *n != old)?;
    for _ in 0..100 {
        world.run(ms(10));
        if owner(&world, other, &upstream) == new {
            world.ask(new, &upstream, 3);
            world.run(ms(seed % 40 * 15));
            world.ask(old, &upstream, 3);
        }
    }
    world.oracle.broken
}

/// An owner that dies while requests run under its permits.
fn killed_owner(seed: u64, sabotage: Option<Sabotage>) -> Option<String> {
    let mut world = fleet(seed, 5, sabotage);
    let upstream: Name = "e0".into();
    let old = owner(&world, 1, &upstream);
    let others: Vec<NodeId> = world.nodes.keys().copied().filter(|n| *n != old).collect();
    for round in 0..200 {
        if round == 60 {
            world.kill(old);
        }
        for id in &others {
            world.ask(*id, &upstream, 1);
        }
        world.run(ms(50));
    }
    world.oracle.broken
}

/// An engine that the next daemon to start will own.
fn next_gain(world: &World) -> Name {
    let epoch = world.nodes[&1].control.epoch();
    let id = epoch.members.len() as NodeId + 1;
    let identity = fleet::node::identity(id, world.zones[0].clone(), 0);
    let next = Sender { daemon: identity.daemon, zone: identity.zone, address: identity.address };
    let next_epoch = epoch.next(&[], Some(&next), true);
    let gains = |u: &&Name| next_epoch.owner(u).is_some_and(|o| o.daemon == next.daemon);
    let engines = world.engines.iter().filter(|(_, e)| e.reports).map(|(name, _)| name);
    engines.into_iter().find(gains).expect("an engine that moves").clone()
}

fn is_noticed(scenario: fn(u64, Option<Sabotage>) -> Option<String>, sabotage: Sabotage) -> bool {
    let broken = |seed| scenario(seed, Some(sabotage));
    (0..SABOTAGED_SEEDS).filter_map(broken).any(|b| b.starts_with("cold limit"))
}

#[test]
fn paused_owner_healthy() {
    for seed in 0..SEEDS {
        assert_eq!(paused_owner(seed, None), None, "seed {seed}");
    }
}

#[test]
fn paused_owner_act_unconfirmed() {
    assert!(is_noticed(paused_owner, Sabotage::ActUnconfirmed));
}

#[test]
fn paused_owner_confirm_anything() {
    assert!(is_noticed(paused_owner, Sabotage::ConfirmAnything));
}

#[test]
fn unheard_successor_healthy() {
    for seed in 0..SEEDS {
        assert_eq!(unheard_successor(seed, None), None, "seed {seed}");
    }
}

#[test]
fn unheard_successor_skip_wait_out() {
    assert!(is_noticed(unheard_successor, Sabotage::SkipWaitOut));
}

/// One daemon alone with the service; the others go on together without either.
fn parted_alone(seed: u64, sabotage: Option<Sabotage>) -> Option<String> {
    let mut world = fleet(seed, 4, sabotage);
    world.weather.sides = [(1, 1), (2, 1), (3, 0), (4, 1)].into();
    world.weather.parted = true;
    for round in 0..300 {
        let upstream: Name = if round % 2 == 0 { "e0".into() } else { "e2".into() };
        for id in 1..=4 {
            world.ask(id, &upstream, 1);
        }
        world.run(ms(100));
    }
    world.oracle.broken
}

#[test]
fn parted_alone_healthy() {
    for seed in 0..SEEDS {
        assert_eq!(parted_alone(seed, None), None, "seed {seed}");
    }
}

#[test]
fn parted_alone_ignore_list() {
    assert!(is_noticed(parted_alone, Sabotage::IgnoreList));
}

#[test]
fn killed_owner_healthy() {
    for seed in 0..SEEDS {
        assert_eq!(killed_owner(seed, None), None, "seed {seed}");
    }
}

#[test]
fn killed_owner_forget_running() {
    assert!(is_noticed(killed_owner, Sabotage::ForgetRunning));
}

#[test]
fn first_permit_owner_killed() {
    let mut slowest = Duration::ZERO;
    for seed in 0..SEEDS {
        let mut world = fleet(seed, 9, None);
        let upstream: Name = "e2".into();
        let old = owner(&world, 1, &upstream);
        world.run(ms(seed * 7));
        world.kill(old);
        let killed = world.now;
        let other = *world.nodes.keys().next().expect("a daemon");
        while world.nodes.values().all(|n| n.started == 0) && world.now < killed + FIRST_PERMIT * 2
        {
            world.ask(other, &upstream, 1);
            world.run(ms(20));
        }
        assert_eq!(world.oracle.broken, None, "seed {seed}");
        let first = world.nodes.values().filter(|n| n.started > 0).map(|n| n.last_start).min();
        let took = first.map_or(FIRST_PERMIT * 2, |at| at - killed);
        assert!(took <= FIRST_PERMIT, "seed {seed}: {took:?}");
        slowest = slowest.max(took);
    }
    println!("first permit at most {slowest:?} after the owner's death");
}
