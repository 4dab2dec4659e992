//! Tests of orders to save parts to KV cache stores, which engines may carry out late.

mod gateway_simulation;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_policy::gateway::gossip::{Digest, Message, Prefill, part_key};
use acacia_policy::gateway::inventory::{Inventory, Store};
use acacia_policy::gateway::mesh::{Detail, Peer};
use acacia_policy::gateway::namespace::Namespaces;
use acacia_policy::gateway::{Attempt, Ending, Fetch, Plan};

use gateway_simulation::Simulation;

const TOKENS: u32 = 20_000;

fn store_address() -> SocketAddr {
    ([127, 0, 0, 1], 2).into()
}

/// An instance whose view has an open store that holds these parts.
fn instance(seed: u64, parts: &[&str]) -> Simulation {
    let mut simulation = Simulation::with_seed(3, seed);
    list(&mut simulation, parts);
    simulation
}

/// Lists parts in the store.
fn list(simulation: &mut Simulation, parts: &[&str]) {
    let parts =
        parts.iter().map(|part| (part_key(&Namespaces::default().name(1, None), part), TOKENS));
    let inventory =
        Inventory { epoch: 1, is_open: true, parts: parts.collect(), ..Inventory::default() };
    simulation.change(|view, now| {
        view.as_of = now;
        view.server_clock = Some((now, 1_000_000));
        view.stores = vec![Store {
            address: store_address(),
            zone: "z0".into(),
            capacity_tokens: 1_000_000,
            link_bytes: 35e9,
            first_byte: Duration::from_millis(1),
            inventory: Arc::new(inventory),
        }];
    });
}

/// Sends a prompt with a shared part.
fn send(simulation: &mut Simulation, part: &str) -> (Plan, Attempt) {
    send_tokens(simulation, part, TOKENS)
}

/// Sends a prompt with a shared part of this length.
fn send_tokens(simulation: &mut Simulation, part: &str, tokens: u32) -> (Plan, Attempt) {
    let mut plan = simulation.admit_prompt(part, tokens);
    let attempt = simulation.send(&mut plan);
    (plan, attempt)
}

fn saves(attempt: &Attempt) -> bool {
    attempt.engine.as_ref().is_some_and(|run| run.save.iter().any(Option::is_some))
}

fn fetches(attempt: &Attempt) -> bool {
    attempt.engine.as_ref().is_some_and(|run| matches!(run.fetch, Fetch::Stores { .. }))
}

/// Digests as the network delivers them.
fn delivered(digest: Option<Digest>) -> Digest {
    let bytes = rmp_serde::to_vec(&digest.expect("a digest")).expect("an encoded digest");
    rmp_serde::from_slice(&bytes).expect("a decoded digest")
}

/// The loads and prefills of a digest draw prompts to engines; only its orders are of interest.
fn orders(digest: Option<Digest>) -> Digest {
    let digest = delivered(digest);
    let engines: Vec<_> = digest.loads.keys().copied().collect();
    let prefills = digest.prefills.into_iter();
    let prefills = prefills.filter(|prefill| !engines.contains(&prefill.server)).collect();
    Digest { loads: Default::default(), prefills, ..digest }
}

/// Regression, MIXED of review case 1: two instances had a part saved; the later save was written to
/// the restarted store while a prompt fetched the part.
#[test]
fn next_saves_part_once_across_instances() {
    let (mut first, mut second) = (instance(1, &[]), instance(2, &[]));
    let (_, attempt) = send(&mut first, "p");
    assert!(saves(&attempt));
    second.receive(orders(first.digest(Detail::All)));
    let (_, attempt) = send(&mut second, "p");
    assert!(!saves(&attempt), "an engine may save the part already");
    second.pass(Duration::from_secs(4));
    list(&mut second, &[]);
    let (_, attempt) = send(&mut second, "p");
    assert!(!saves(&attempt), "the order is outstanding while its prompt waits");
    let (_, attempt) = send(&mut second, "q");
    assert!(saves(&attempt), "nobody saves the other part");
}

/// Regression, MIXED of review case 1: a part was fetched while an engine could still save it anew.
#[test]
fn next_fetches_part_once_saves_are_settled() {
    let mut saver = instance(1, &[]);
    let mut readers = [2, 3].map(|seed| instance(seed, &["p"]));
    let (mut plan, attempt) = send(&mut saver, "p");
    assert!(saves(&attempt));
    let order = orders(saver.digest(Detail::All));
    readers.iter_mut().for_each(|reader| reader.receive(order.clone()));
    let (_, early) = send(&mut readers[0], "p");
    assert!(!fetches(&early), "the engine may save the part anew");
    saver.end(&mut plan, &attempt, Ending::Answered);
    let end = orders(saver.digest(Detail::All));
    readers.iter_mut().for_each(|reader| reader.receive(end.clone()));
    let (_, late) = send(&mut readers[1], "p");
    assert!(fetches(&late), "{late:?}");
}

/// Regression, MIXED of review case 6: an instance that the others didn't list was told of no orders, and
/// had a part fetched that an engine could still save anew.
#[test]
fn next_fetches_nothing_before_others_tell_orders() {
    for (told_from, is_fetched) in [(None, false), (Some(1), false), (Some(0), true)] {
        let mut reader = instance(2, &["p"]);
        reader.change(|view, now| {
            view.told_from = told_from.map(|seconds| now + Duration::from_secs(seconds));
        });
        assert_eq!(fetches(&send(&mut reader, "p").1), is_fetched, "{told_from:?}");
    }
}

/// An instance that was not told of an order, or not of its end, learns it from a full digest.
#[test]
fn full_digest_repeats_outstanding_orders() {
    let mut saver = instance(1, &[]);
    let (plan, mut attempt) = send(&mut saver, "p");
    saver.digest(Detail::All);
    let mut reader = instance(2, &["p"]);
    reader.receive(orders(saver.full_digest(Detail::Large)));
    assert!(!fetches(&send(&mut reader, "p").1));
    saver.begin(&plan, &mut attempt);
    let mut other = instance(3, &["p"]);
    other.receive(orders(saver.full_digest(Detail::Large)));
    assert!(fetches(&send(&mut other, "p").1), "the part is read");
}

/// An order whose end is not told ends with its request.
#[test]
fn receive_ends_order_with_its_request() {
    let mut saver = instance(1, &[]);
    send(&mut saver, "p");
    let mut reader = instance(2, &["p"]);
    reader.receive(orders(saver.digest(Detail::All)));
    reader.pass(Duration::from_secs(6));
    list(&mut reader, &["p"]);
    assert!(fetches(&send(&mut reader, "p").1));
}

/// An instance that doesn't know a store ignores orders at it.
#[test]
fn receive_ignores_orders_at_unknown_store() {
    let mut saver = instance(1, &[]);
    send(&mut saver, "p");
    let mut other = Simulation::with_seed(3, 2);
    other.receive(orders(saver.digest(Detail::All)));
    list(&mut other, &["p"]);
    assert!(fetches(&send(&mut other, "p").1));
}

/// Short prompts with a shared part, and long ones, that one of 295 instances sends in a second.
const SHORT_PER_S: u32 = 5;
const LONG_PER_S: u32 = 1;
/// Bytes of headers of a datagram.
const HEADER_BYTES: usize = 28;

/// An instance of a large deployment whose view has an open store.
fn instance_of_295() -> Simulation {
    let mut simulation = instance(1, &[]);
    simulation.change(|view, _| {
        view.instances = 295;
        view.peers = (0..294_u32)
            .map(|peer| Peer {
                address: (std::net::Ipv4Addr::from_bits(0x0a00_0000 + peer), 1).into(),
                zone: format!("z{}", peer % 6).into(),
            })
            .collect();
    });
    simulation
}

/// Bytes of the datagram for the prompts and orders of a digest; zero if there are none. Loads are told
/// in any case.
fn sent_bytes(digest: Option<Digest>) -> usize {
    let digest = digest.filter(|digest| !digest.prefills.is_empty());
    let digest = digest.map(|digest| Digest { loads: Default::default(), ..digest });
    let encode = |digest| rmp_serde::to_vec(&Message { forward: true, digests: vec![digest] });
    digest.map_or(0, |digest| encode(digest).expect("an encoded digest").len() + HEADER_BYTES)
}

/// Bytes that an instance tells the others in a second while engines begin to answer after `wait`.
fn told_per_second(tell_short: bool, wait: Duration) -> usize {
    let mut simulation = instance_of_295();
    let mut running = VecDeque::new();
    let (mut bytes, seconds) = (0, 10);
    for tick in 0..seconds * 50_u32 {
        simulation.pass(Duration::from_millis(20));
        simulation.change(|view, now| view.as_of = now);
        let short = (tick * SHORT_PER_S) % 50 < SHORT_PER_S && tell_short;
        let long = (tick * LONG_PER_S) % 50 < LONG_PER_S;
        for (is_due, kind, tokens) in [(short, "short", 300), (long, "long", 12_000)] {
            if is_due {
                let mut plan = simulation.admit_prompt(&format!("{kind}-{tick}"), tokens);
                let attempt = simulation.send(&mut plan);
                running.push_back((simulation.now() + wait, plan, attempt));
            }
        }
        while running.front().is_some_and(|(at, ..)| simulation.now() >= *at) {
            let (_, mut plan, mut attempt) = running.pop_front().expect("a running prompt");
            simulation.begin(&plan, &mut attempt);
            simulation.end(&mut plan, &attempt, Ending::Answered);
        }
        let digest = match tick % 35 {
            0 => simulation.full_digest(Detail::Large),
            _ => simulation.digest(Detail::Large),
        };
        bytes += sent_bytes(digest);
    }
    bytes / seconds as usize
}

/// Regression, CONFIG and EVAC on Actas large: hubs forwarded the orders of all short prompts, and the
/// links of small ones were full.
#[test]
fn digest_has_no_orders_of_short_prompts_in_large_deployment() {
    let mut simulation = instance_of_295();
    let (_, attempt) = send_tokens(&mut simulation, "short", 300);
    let digest = simulation.digest(Detail::Large);
    assert_eq!(digest, None, "the others don't need it");
    assert!(!saves(&attempt), "they would have to know of the order");
    let (_, attempt) = send_tokens(&mut simulation, "long", 12_000);
    assert!(saves(&attempt));
    assert!(simulation.digest(Detail::Large).is_some_and(|digest| digest.prefills.len() == 2));
}

/// In a large deployment, short prompts add nothing to what is told of prompts and orders, however
/// long they wait at engines.
#[test]
fn digest_volume_of_short_prompts_in_large_deployment() {
    for wait in [100, 400].map(Duration::from_millis) {
        let (long, both) = (told_per_second(false, wait), told_per_second(true, wait));
        assert!(both <= long, "{both} bytes a second with short prompts, {long} without");
    }
}

/// The end of an order that nobody was told of isn't told either.
#[test]
fn digest_leaves_out_ended_orders() {
    let mut saver = instance(1, &[]);
    let (mut plan, attempt) = send(&mut saver, "p");
    assert!(saves(&attempt));
    saver.end(&mut plan, &attempt, Ending::Answered);
    let digest = saver.digest(Detail::All).expect("a digest that tells of the prompt");
    let is_order = |prefill: &&Prefill| saver.gateway().is_order(prefill);
    assert_eq!(digest.prefills.iter().find(is_order), None, "the order has ended");
}
