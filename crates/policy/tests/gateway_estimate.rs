//! Tests of the estimates behind a choice: an engine's wait and cache, the delay of stores, the
//! freshness of inventories, and of the admission that uses them.

mod gateway_simulation;

use std::net::SocketAddr;
use std::time::Duration;

use acacia_policy::gateway::admission::{Admission, decide, is_negligible};
use acacia_policy::gateway::cache::Cache;
use acacia_policy::gateway::configuration::EngineSpec;
use acacia_policy::gateway::confirmation::{Confirmation, Confirmed};
use acacia_policy::gateway::gossip::Load;
use acacia_policy::gateway::link::{Blame, Links};
use acacia_policy::gateway::pace::Pace;
use acacia_policy::gateway::{Ending, Prompt, View};
use acacia_policy::kv::Revision;
use acacia_policy::{Time, Verdict};

use gateway_simulation::{Simulation, view};

const SPEC: EngineSpec = EngineSpec {
    slots: 8,
    memory_tokens: 100_000,
    token_bytes: 1_000,
    link_bytes: 1e9,
    models: Vec::new(),
};

fn at(millis: u64) -> Time {
    Duration::from_millis(3_600_000 + millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn prompt(input_tokens: u32) -> Prompt {
    Prompt { input_tokens, ..Prompt::default() }
}

fn load(running: u32, prefill_tokens: u64, memory_tokens: u64) -> Load {
    Load { running, prefill_tokens, memory_tokens }
}

#[test]
fn wait_idle_engine() {
    let pace = Pace::default();
    assert_eq!(pace.wait(Load::default(), &prompt(200_000), &SPEC), 0.0, "it runs alone");
    assert_eq!(pace.wait(load(2, 0, 20_000), &prompt(10_000), &SPEC), 0.0);
}

#[test]
fn wait_grows_with_each_resource() {
    let mut pace = Pace::default();
    for _ in 0..200 {
        pace.observe_run(10_000, millis(2_000));
    }
    let short = prompt(1_000);
    assert!(pace.wait(load(1, 51_000, 60_000), &short, &SPEC) > 0.9, "prefill");
    let full = pace.wait(load(7, 0, 96_000), &prompt(10_000), &SPEC);
    let fuller = pace.wait(load(7, 0, 110_000), &prompt(10_000), &SPEC);
    assert!(full > 0.2 && fuller > full && fuller <= 2.0, "memory: {full} {fuller}");
    assert!(pace.wait(load(8, 0, 8_000), &short, &SPEC) > 0.2, "slots");
    assert!(
        pace.wait(load(6, 0, 88_000), &short, &SPEC)
            < pace.wait(load(6, 0, 88_000), &prompt(10_000), &SPEC),
        "long prompts leave room for short ones"
    );
}

#[test]
fn prefill_rate_learned_from_long_prompts() {
    let mut pace = Pace::default();
    for _ in 0..200 {
        pace.observe_prefill(10_000, millis(50 + 100));
        pace.observe_prefill(100, millis(400));
    }
    assert!((90_000.0..=101_000.0).contains(&pace.prefill_rate()), "{}", pace.prefill_rate());
    for _ in 0..1_000 {
        pace.observe_prefill(10_000, millis(60_000));
    }
    assert!(pace.prefill_rate() > 20_000.0, "bounded from below");
}

/// Load pattern: running prompts occupy most of an engine's memory. A cache that ignored them
/// expected parts that were evicted long before.
#[test]
fn cache_keeps_what_running_requests_leave() {
    let mut cache = Cache::default();
    let (residence, free) = (millis(1_000), 25_000);
    for key in 0..10 {
        cache.record_prefill(at(0), &[(key, 10_000)], residence, free);
    }
    assert!((0..10).all(|key| cache.holds(key)), "all of them run");
    cache.record_prefill(at(500), &[(9, 10_000)], residence, free);
    cache.record_prefill(at(1_200), &[(10, 10_000)], residence, free);
    let held = (0..9).filter(|key| cache.holds(*key)).count();
    assert_eq!(held, 2, "two of the nine unused parts fit");
    assert!(cache.holds(9) && cache.holds(10), "these run");
    assert_eq!(cache.held_tokens(&[(9, 10_000), (0, 10_000), (10, 10_000)]), 10_000);
}

#[test]
fn late_fetch_attributed_to_stores() {
    let store = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut links = Links::default();
    let blame = links.attribute(at(0), [], millis(500), millis(0));
    assert_eq!(blame, Blame::Engine(millis(500)), "nothing was fetched");
    let blame = links.attribute(at(0), [store(1)], millis(300), millis(280));
    assert_eq!(blame, Blame::Engine(millis(300)), "the engine is known to be late");
    for _ in 0..10 {
        assert_eq!(links.attribute(at(0), [store(1)], millis(900), millis(0)), Blame::Stores);
    }
    assert!(links.delay(at(0), store(1)) > 0.7);
    assert_eq!(links.delay(at(0), store(2)), 0.0);
    assert!(links.delay(at(10_000), store(1)) < 0.05, "it is tried again");
    links.retain(|_| false);
    assert_eq!(links.delay(at(0), store(1)), 0.0);
}

#[test]
fn decide_by_time_left() {
    let mut simulation = Simulation::new(1);
    let mut plan = simulation.admit_prompt("a", 1_000);
    // The latency target is 400 ms.
    let (now, service) = (simulation.now(), millis(100));
    assert_eq!(decide(now, &plan, millis(0), service), Admission::Send);
    assert_eq!(decide(now, &plan, millis(250), service), Admission::Send);
    assert_eq!(decide(now, &plan, millis(400), service), Admission::Refuse(millis(540)));
    // A prompt that takes most of the target by itself is not starved.
    assert_eq!(decide(now, &plan, millis(90), millis(390)), Admission::Send);
    // One that is late already yields where there is a queue.
    plan.waited = millis(1_000);
    assert_eq!(decide(now, &plan, millis(50), service), Admission::Send);
    assert!(matches!(decide(now, &plan, millis(130), service), Admission::Refuse(_)));
    // What may have run is not turned away.
    plan.verdict = Verdict::MayHaveRun;
    assert_eq!(decide(now, &plan, millis(900), service), Admission::Send);
}

#[test]
fn is_negligible_by_size() {
    assert!(is_negligible(&prompt(666), &SPEC));
    assert!(!is_negligible(&prompt(667), &SPEC));
}

#[test]
fn admit_measures_time_spent_before() {
    let mut simulation = Simulation::new(1);
    let mut plan = simulation.admit_prompt("a", 1_000);
    assert_eq!(plan.waited, Duration::ZERO, "the caller's deadline is the route's timeout");
    let attempt = simulation.send(&mut plan);
    assert_eq!(attempt.wait, Duration::ZERO);
    simulation.end(&mut plan, &attempt, Ending::Answered);
}

fn revision(era: u64, number: i64) -> Revision {
    Revision { era, number }
}

/// A view whose inventories were current at `as_of`, with the servers' clock at zero then.
fn view_at(as_of: Time, applied: Revision, last_removal: Revision) -> View {
    View {
        as_of,
        revision: applied,
        last_removal,
        server_clock: Some((at(0), 1_000_000)),
        ..view(1)
    }
}

#[test]
fn confirmed_inventories_without_later_removal() {
    let own = view_at(at(0), revision(1, 50), revision(1, 40));
    let mut confirmed = Confirmed::default();
    assert_eq!(confirmed.as_of(&own), at(0));
    let other = view_at(at(5_000), revision(1, 90), revision(1, 45));
    confirmed.receive(&own, &Confirmation::of(&other).unwrap());
    assert_eq!(confirmed.as_of(&own), at(5_000), "only additions are missed");
    // An older statement that arrives later changes nothing.
    let older = view_at(at(2_000), revision(1, 70), revision(1, 45));
    confirmed.receive(&own, &Confirmation::of(&older).unwrap());
    assert_eq!(confirmed.as_of(&own), at(5_000));
}

#[test]
fn confirmed_inventories_after_removal_or_restore() {
    let own = view_at(at(0), revision(1, 50), revision(1, 40));
    for last_removal in [revision(1, 51), revision(2, 3), revision(0, 40)] {
        let mut confirmed = Confirmed::default();
        let other = view_at(at(5_000), revision(last_removal.era, 90), last_removal);
        confirmed.receive(&own, &Confirmation::of(&other).unwrap());
        assert_eq!(confirmed.as_of(&own), at(0), "{last_removal:?}");
    }
    // A confirmation does not survive a restore of the metadata store.
    let mut confirmed = Confirmed::default();
    let other = view_at(at(5_000), revision(1, 90), revision(1, 45));
    confirmed.receive(&own, &Confirmation::of(&other).unwrap());
    let restored = view_at(at(4_000), revision(2, 10), revision(2, 10));
    assert_eq!(confirmed.as_of(&restored), at(4_000));
    // Without the servers' clock nothing can be confirmed.
    let blind = View { server_clock: None, ..own };
    assert_eq!(Confirmation::of(&blind), None);
}
