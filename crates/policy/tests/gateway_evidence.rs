//! Tests of the evidence against requests whose exchanges break while the path to the upstreams may
//! be lost.

mod gateway_simulation;

use std::sync::Arc;
use std::time::Duration;

use acacia_policy::gateway::gossip::{Digest, Note};
use acacia_policy::gateway::mesh::{Detail, Peer};
use acacia_policy::gateway::quarantine::{Sighting, Suspicion};
use acacia_policy::gateway::{Attempt, Ending, Plan, Reason, Server, Step};

use gateway_simulation::Simulation;

/// Servers of each service.
const SERVERS: usize = 6;
/// Time after which an upstream that crashed is no longer listed.
const LISTING_TIME: Duration = seconds(5);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An instance with another one.
fn simulation() -> Simulation {
    let mut simulation = Simulation::new(SERVERS);
    simulation.change(|view, _| {
        view.own_address = Some(([127, 0, 0, 1], 7_000).into());
        let other = Peer { address: ([127, 0, 0, 1], 7_001).into(), zone: "z1".into() };
        view.peers = vec![other];
        for server in view.servers.values_mut() {
            *server = Arc::new(Server { born: Some(1), ..(**server).clone() });
        }
    });
    simulation.probe(true);
    simulation
}

fn admit(simulation: &mut Simulation, path: &str) -> Plan {
    simulation.admit(path, "key").expect("a valid request")
}

/// Sends a request whose exchange breaks before its answer.
fn break_one(simulation: &mut Simulation, path: &str) -> (Plan, Attempt) {
    let mut plan = admit(simulation, path);
    let attempt = simulation.send(&mut plan);
    simulation.pass(millis(30));
    simulation.fail(&mut plan, &attempt, Ending::Broken);
    (plan, attempt)
}

/// Starts a server anew under its id.
fn restart(simulation: &mut Simulation, id: &str) {
    simulation.change(|view, _| {
        let server = view.servers.get_mut(id).expect("a listed server");
        *server = Arc::new(Server { born: Some(2), ..(**server).clone() });
    });
}

/// The crashes that the other instances are told.
fn told(simulation: &mut Simulation) -> usize {
    let notes = simulation.digest(Detail::All).into_iter().flat_map(|digest| digest.notes);
    let crashes = notes.map(|note| match note {
        Note::Suspected(suspicion) if suspicion.is_request => suspicion.crashes.len(),
        _ => 0,
    });
    crashes.sum()
}

/// The path is lost as in a cut for some seconds, and returns.
fn lose_and_regain(simulation: &mut Simulation) {
    simulation.probe(false);
    for _ in 0..10 {
        simulation.pass(millis(300));
        simulation.probe(false);
        assert_eq!(told(simulation), 0);
    }
    simulation.pass(millis(300));
    simulation.probe(true);
}

#[test]
fn probed_tells_crash_if_path_is_open() {
    for path in ["/once/", "/read/", "/ask/"] {
        let mut simulation = simulation();
        break_one(&mut simulation, path);
        assert_eq!(told(&mut simulation), 0);
        simulation.probe(true);
        assert_eq!(told(&mut simulation), 1, "{path}");
    }
}

/// A request that crashes upstreams is sent to no more of them while the path is in doubt.
#[test]
fn ended_counts_crash_at_once_for_own_decisions() {
    let mut simulation = simulation();
    for _ in 0..3 {
        break_one(&mut simulation, "/once/");
        simulation.pass(millis(20));
    }
    assert_eq!(told(&mut simulation), 0);
    let mut plan = admit(&mut simulation, "/once/");
    let Step::Refuse(refusal) = simulation.next(&mut plan) else { panic!("a fourth crash") };
    assert_eq!(refusal.reason, Reason::RequestHeld);
}

/// Regression (soak, scenario cuts, seed 2): resets by a cut counted as crashes under sound requests.
#[test]
fn probed_never_tells_break_of_upstream_that_answers_after_return() {
    let mut simulation = simulation();
    let (_, attempt) = break_one(&mut simulation, "/once/");
    lose_and_regain(&mut simulation);
    assert_eq!(told(&mut simulation), 0);
    let mut plan = admit(&mut simulation, "/read/");
    let answered = Attempt { sent: simulation.now(), ..attempt };
    simulation.pass(millis(50));
    simulation.end(&mut plan, &answered, Ending::Answered);
    simulation.pass(LISTING_TIME);
    simulation.probe(true);
    assert_eq!(told(&mut simulation), 0);
}

#[test]
fn probed_tells_crash_of_upstream_that_restarted() {
    for is_unlisted in [false, true] {
        let mut simulation = simulation();
        let (_, attempt) = break_one(&mut simulation, "/once/");
        simulation.probe(false);
        assert_eq!(told(&mut simulation), 0);
        let id = &attempt.server.id;
        if is_unlisted {
            simulation.change(|view, _| drop(view.servers.remove(id)));
        } else {
            restart(&mut simulation, id);
        }
        simulation.probe(false);
        assert_eq!(told(&mut simulation), 1, "unlisted: {is_unlisted}");
    }
}

/// An upstream that crashes with a whole service is listed a while longer.
#[test]
fn probed_tells_crash_of_upstream_that_is_unlisted_after_return() {
    let mut simulation = simulation();
    let (_, attempt) = break_one(&mut simulation, "/once/");
    lose_and_regain(&mut simulation);
    assert_eq!(told(&mut simulation), 0);
    simulation.pass(seconds(1));
    simulation.change(|view, _| drop(view.servers.remove(&attempt.server.id)));
    simulation.probe(true);
    assert_eq!(told(&mut simulation), 1);
}

/// An upstream that is listed for long goes on running, unless the listing may be old.
#[test]
fn probed_forgets_break_of_upstream_that_is_still_listed() {
    for is_old in [false, true] {
        let mut simulation = simulation();
        for _ in 0..3 {
            break_one(&mut simulation, "/once/");
            simulation.pass(millis(20));
        }
        simulation.change(|view, now| view.unavailable_since = is_old.then_some(now));
        lose_and_regain(&mut simulation);
        simulation.pass(LISTING_TIME);
        simulation.probe(true);
        assert_eq!(told(&mut simulation), 0);
        let mut plan = admit(&mut simulation, "/once/");
        let step = simulation.next(&mut plan);
        assert_eq!(matches!(step, Step::Refuse(_)), is_old, "{step:?}");
        assert_eq!(matches!(step, Step::Send(_)), !is_old, "{step:?}");
    }
}

/// Upstreams that accept connections and reset them may crash.
#[test]
fn probed_tells_crashes_if_connections_are_accepted() {
    let mut simulation = simulation();
    let mut plan = admit(&mut simulation, "/once/other");
    let attempt = simulation.send(&mut plan);
    for _ in 0..2 {
        break_one(&mut simulation, "/once/");
        simulation.pass(millis(400));
    }
    simulation.probe(true);
    assert!(told(&mut simulation) >= 2);
    let mut other = admit(&mut simulation, "/once/");
    let step = simulation.next(&mut other);
    assert!(matches!(step, Step::Forward(_)), "{step:?}");
    simulation.fail(&mut plan, &attempt, Ending::Broken);
    assert_eq!(told(&mut simulation), 1, "at once");
}

/// The crash of which another instance has told is no secret.
#[test]
fn receive_ends_withholding_of_known_crash() {
    let mut simulation = simulation();
    let (plan, first) = break_one(&mut simulation, "/once/");
    simulation.pass(millis(200));
    let (_, second) = break_one(&mut simulation, "/once/");
    let server = simulation.gateway().member(&first.server.id).expect("a listed server").key;
    let crash = Sighting { server, born: Some(1), age_ms: 200, ran_ms: Some(30) };
    let crashes = vec![crash];
    let report = Suspicion { key: plan.subjects.request(), crashes, is_request: true };
    let notes = vec![Note::Suspected(report)];
    simulation.receive(Digest { incarnation: 9, notes, ..Digest::default() });
    simulation.probe(false);
    assert_eq!(told(&mut simulation), 0);
    restart(&mut simulation, &second.server.id);
    simulation.probe(false);
    assert_eq!(told(&mut simulation), 2);
}

/// Two exchanges of one request break; the second one's caller is served by the instance that
/// reaches the upstreams.
#[test]
fn next_passes_request_on_whose_crashes_are_in_doubt() {
    let mut simulation = simulation();
    let mut plan = admit(&mut simulation, "/read/");
    let attempt = simulation.send(&mut plan);
    break_one(&mut simulation, "/read/");
    simulation.pass(millis(200));
    simulation.fail(&mut plan, &attempt, Ending::Broken);
    let step = simulation.next(&mut plan);
    assert!(matches!(step, Step::Wait(_)), "a probe will tell: {step:?}");
    simulation.probe(false);
    let step = simulation.next(&mut plan);
    assert!(matches!(step, Step::Forward(_)), "{step:?}");
}

/// The same, but the upstreams did crash.
#[test]
fn next_refuses_request_that_crashed_several_upstreams() {
    for is_restart_seen in [false, true] {
        let mut simulation = simulation();
        let mut plan = admit(&mut simulation, "/read/");
        let attempt = simulation.send(&mut plan);
        let (_, other) = break_one(&mut simulation, "/read/");
        simulation.pass(millis(200));
        simulation.fail(&mut plan, &attempt, Ending::Broken);
        if is_restart_seen {
            for id in [&attempt.server.id, &other.server.id] {
                restart(&mut simulation, id);
            }
        }
        simulation.probe(!is_restart_seen);
        let Step::Refuse(refusal) = simulation.next(&mut plan) else { panic!("sent again") };
        assert_eq!(refusal.reason, Reason::Broken);
    }
}
