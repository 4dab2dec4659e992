//! Tests of passing requests on to other instances.

mod gateway_simulation;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::Verdict;
use acacia_policy::gateway::forward::{Outage, Passage, service_key};
use acacia_policy::gateway::gossip::{Digest, Note};
use acacia_policy::gateway::mesh::{Detail, Peer};
use acacia_policy::gateway::{Ending, Plan, Reason, Server, Step};

use gateway_simulation::Simulation;

/// Servers of each service.
const SERVERS: usize = 4;

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

/// An instance with three others.
fn simulation() -> Simulation {
    let mut simulation = Simulation::new(SERVERS);
    simulation.change(|view, _| {
        view.own_address = Some(peer(0));
        let others = (1..4).map(|number| Peer { address: peer(number), zone: "z1".into() });
        view.peers = others.collect();
    });
    simulation.probe(true);
    simulation
}

/// Loses the path to the service of a request, whose first attempt finds no connection.
fn lose_path(simulation: &mut Simulation, path: &str) -> Plan {
    let mut plan = simulation.admit(path, "key").expect("a valid request");
    let attempt = simulation.send(&mut plan);
    simulation.fail(&mut plan, &attempt, Ending::Unreachable);
    simulation.probe(false);
    plan
}

fn forward(simulation: &mut Simulation, plan: &mut Plan) -> SocketAddr {
    match simulation.next(plan) {
        Step::Forward(peer) => peer,
        step => panic!("not passed on: {step:?}"),
    }
}

/// Says that an instance has lost the path to the service of a request.
fn receive_outage(simulation: &mut Simulation, address: SocketAddr, plan: &Plan, is_lost: bool) {
    let services = is_lost.then(|| service_key(&plan.service)).into_iter().collect();
    let notes = vec![Note::CutOff(Outage { address, services })];
    simulation.receive(Digest { incarnation: 9, notes, ..Digest::default() });
}

/// Regression, RECOVER on Actas Litoral: instances that had lost the path to all upstreams refused
/// all requests.
#[test]
fn next_passes_request_on_while_path_is_lost() {
    for path in ["/once/", "/read/", "/ask/"] {
        let mut simulation = simulation();
        let mut plan = lose_path(&mut simulation, path);
        forward(&mut simulation, &mut plan);
        let mut plan = simulation.admit(path, "key").unwrap();
        forward(&mut simulation, &mut plan);
        simulation.pass(Duration::from_millis(300));
        simulation.probe(true);
        let mut plan = simulation.admit(path, "key").unwrap();
        simulation.send(&mut plan);
    }
}

#[test]
fn next_spreads_requests_over_instances() {
    let mut simulation = simulation();
    lose_path(&mut simulation, "/once/");
    let mut counts = [0; 4];
    for _ in 0..30 {
        let mut plan = simulation.admit("/once/", "key").unwrap();
        let address = forward(&mut simulation, &mut plan);
        counts[usize::from(address.port() - 7_000)] += 1;
    }
    assert_eq!(counts, [0, 10, 10, 10]);
}

#[test]
fn next_asks_other_instance_after_refusal() {
    let mut simulation = simulation();
    let mut plan = lose_path(&mut simulation, "/once/");
    let mut asked = Vec::new();
    for _ in 0..3 {
        let address = forward(&mut simulation, &mut plan);
        assert!(!asked.contains(&address));
        asked.push(address);
        simulation.forwarded(&mut plan, address, Passage::Refused);
        assert_eq!(plan.verdict, Verdict::NotRun);
    }
    let mut other = simulation.admit("/once/", "key").unwrap();
    assert!(!matches!(simulation.next(&mut other), Step::Forward(_)), "all have just refused");
    simulation.pass(Duration::from_millis(1_100));
    forward(&mut simulation, &mut simulation_plan(&other));
}

fn simulation_plan(plan: &Plan) -> Plan {
    Plan { tried: Vec::new(), in_progress: Vec::new(), sends: 0, ..plan.clone() }
}

#[test]
fn next_does_not_repeat_request_that_may_have_run() {
    for passage in [Passage::Broken, Passage::Cancelled] {
        let mut simulation = simulation();
        let mut plan = lose_path(&mut simulation, "/once/");
        let address = forward(&mut simulation, &mut plan);
        simulation.forwarded(&mut plan, address, passage);
        let Step::Refuse(refusal) = simulation.next(&mut plan) else { panic!("{passage}") };
        assert_eq!((refusal.verdict, refusal.retry_after), (Verdict::MayHaveRun, None));
    }
}

#[test]
fn next_repeats_broken_passage_within_attempts_and_budget() {
    let mut simulation = simulation();
    let mut plan = lose_path(&mut simulation, "/read/");
    for _ in 0..plan.route.attempts {
        let address = forward(&mut simulation, &mut plan);
        simulation.forwarded(&mut plan, address, Passage::Broken);
    }
    assert!(matches!(simulation.next(&mut plan), Step::Refuse(_)));
    let mut plan = simulation.admit("/read/", "key").unwrap();
    simulation.pass(Duration::from_millis(1_100));
    let address = forward(&mut simulation, &mut plan);
    simulation.forwarded(&mut plan, address, Passage::Broken);
    simulation.forbid_repeats();
    let Step::Refuse(refusal) = simulation.next(&mut plan) else { panic!("no budget is left") };
    assert_eq!(refusal.reason, Reason::RetryBudget);
}

/// One hop at most, also if two instances think well of each other.
#[test]
fn next_refuses_forwarded_request_if_path_is_lost() {
    let mut simulation = simulation();
    let lost = lose_path(&mut simulation, "/once/");
    let mut plan = simulation.admit_forwarded("/once/", &lost.service);
    let Step::Refuse(refusal) = simulation.next(&mut plan) else { panic!("a second hop") };
    assert_eq!((refusal.reason, refusal.verdict), (Reason::NoPath, Verdict::NotRun));
}

#[test]
fn next_does_not_pass_on_to_instances_without_path() {
    let mut simulation = simulation();
    let plan = lose_path(&mut simulation, "/once/");
    for number in [1, 3] {
        receive_outage(&mut simulation, peer(number), &plan, true);
    }
    for _ in 0..10 {
        let mut plan = simulation.admit("/once/", "key").unwrap();
        assert_eq!(forward(&mut simulation, &mut plan), peer(2));
    }
    receive_outage(&mut simulation, peer(2), &plan, true);
    let mut last = simulation.admit("/once/", "key").unwrap();
    assert!(!matches!(simulation.next(&mut last), Step::Forward(_)), "all have lost the path");
    receive_outage(&mut simulation, peer(3), &plan, false);
    let mut last = simulation.admit("/once/", "key").unwrap();
    assert_eq!(forward(&mut simulation, &mut last), peer(3));
}

/// Regression, RECOVER on Actas Litoral: requests that no instance can serve were tried until they
/// were late.
#[test]
fn next_refuses_at_once_while_all_have_lost_path() {
    for path in ["/once/", "/read/", "/ask/"] {
        let mut simulation = simulation();
        let plan = lose_path(&mut simulation, path);
        (1..4).for_each(|number| receive_outage(&mut simulation, peer(number), &plan, true));
        for mut plan in [plan, simulation.admit(path, "key").unwrap()] {
            let Step::Refuse(refusal) = simulation.next(&mut plan) else { panic!("{path} tried") };
            assert_eq!((refusal.reason, refusal.verdict), (Reason::NoUpstream, Verdict::NotRun));
            let after = refusal.retry_after.expect("it may be sent again");
            assert!(after <= Duration::from_millis(500), "{after:?}");
        }
        simulation.pass(Duration::from_millis(300));
        simulation.probe(true);
        let mut plan = simulation.admit(path, "key").unwrap();
        simulation.send(&mut plan);
    }
}

/// Alone, an instance can't tell the loss of its path from that of a few upstreams.
#[test]
fn next_tries_request_if_no_other_instance_has_lost_path() {
    let mut simulation = Simulation::new(SERVERS);
    simulation.probe(true);
    lose_path(&mut simulation, "/once/");
    let mut plan = simulation.admit("/once/", "key").unwrap();
    simulation.send(&mut plan);
}

/// Upstreams that are listed anew end the loss without the pause between probes.
#[test]
fn observe_probes_lost_path_to_new_upstream() {
    let mut simulation = simulation();
    let plan = lose_path(&mut simulation, "/once/");
    simulation.probe(true);
    assert!(matches!(simulation.next(&mut plan.clone()), Step::Forward(_)), "no probe is due");
    simulation.change(|view, _| {
        let server = Server { id: "s9".into(), ..(*view.servers["s0"]).clone() };
        view.servers.insert(server.id.clone(), Arc::new(server));
    });
    simulation.probe(true);
    let mut plan = simulation.admit("/once/", "key").unwrap();
    simulation.send(&mut plan);
}

#[test]
fn digest_tells_lost_and_regained_path() {
    let mut simulation = simulation();
    let plan = lose_path(&mut simulation, "/once/");
    let outages = |digest: Option<Digest>| -> Vec<Outage> {
        let notes = digest.into_iter().flat_map(|digest| digest.notes);
        notes.filter_map(|note| if let Note::CutOff(o) = note { Some(o) } else { None }).collect()
    };
    let told = outages(simulation.digest(Detail::All));
    let services = vec![service_key(&plan.service)];
    assert_eq!(told, [Outage { address: peer(0), services }]);
    assert!(outages(simulation.digest(Detail::All)).is_empty(), "unchanged");
    simulation.pass(Duration::from_millis(300));
    simulation.probe(true);
    let told = outages(simulation.digest(Detail::All));
    assert_eq!(told, [Outage { address: peer(0), services: Vec::new() }]);
}

/// Failures on a lost path make no upstream cold or paused.
#[test]
fn probed_takes_back_blame_of_upstreams() {
    let mut simulation = simulation();
    let mut plan = simulation.admit("/read/", "key").unwrap();
    let first = simulation.send(&mut plan);
    simulation.fail(&mut plan, &first, Ending::Broken);
    simulation.pass(Duration::from_millis(200));
    let second = lose_path(&mut simulation, "/read/").tried[0].clone();
    let now = simulation.now();
    for id in [&first.server.id, &second] {
        let member = simulation.gateway().member(id).unwrap();
        assert!(!member.is_cold(now) && member.available_at() <= now, "{id}");
        assert!(member.failure_share(now) < 0.01, "{id}");
    }
}

/// The connections that break as the path is lost say nothing about their requests.
#[test]
fn probed_takes_back_suspicion_of_requests() {
    let mut simulation = simulation();
    let mut plan = simulation.admit("/read/", "key").unwrap();
    let first = simulation.send(&mut plan);
    simulation.fail(&mut plan, &first, Ending::Broken);
    simulation.probe(false);
    let notes = simulation.digest(Detail::All).into_iter().flat_map(|digest| digest.notes);
    assert!(!notes.into_iter().any(|note| matches!(note, Note::Suspected(_))));
}
