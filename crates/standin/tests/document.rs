//! `docs/STANDINS.md` documents every fault in the form that the control port accepts; addresses of
//! instances.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use acacia_standin::fault::FaultKind;
use acacia_standin::platform::document::Addresses;
use acacia_standin::{Fault, list};
use strum::IntoEnumIterator;

const PAGE: &str = include_str!("../../../docs/STANDINS.md");

#[test]
fn faults_documented() {
    let lines = PAGE.lines().filter(|line| line.contains("/faults -d"));
    let documented: BTreeSet<String> = lines
        .map(|line| line.split('\'').nth(1).expect("a quoted body"))
        .map(|body| serde_json::from_str::<Fault>(body).expect("a fault").to_string())
        .collect();
    let known: BTreeSet<String> = FaultKind::iter().map(|kind| kind.to_string()).collect();
    assert_eq!(documented, known);
}

#[test]
fn instance_documented() {
    let line =
        PAGE.lines().find(|line| line.contains("PUT")).expect("a line that adds an instance");
    let body = line.split('\'').nth(1).expect("a quoted body");
    let instance: list::Instance = serde_json::from_str(body).expect("an instance");
    assert_eq!(&*instance.name, "engine-1");
}

/// Regression: two instances of a deployment drew the same port, as neither listened yet.
#[test]
fn free_addresses_are_distinct() {
    let drawn: Vec<Addresses> = (0..500).map(|_| Addresses::free().unwrap()).collect();
    let ports = drawn.iter().flat_map(|drawn| {
        [drawn.callers, drawn.ready, drawn.metrics, drawn.peers].map(|address| address.port())
    });
    assert_eq!(ports.collect::<BTreeSet<u16>>().len(), 4 * drawn.len());
}

/// Draws in the test of processes that start meanwhile; they use most ports of the range.
const DRAWS: usize = 600;
/// Threads that draw, and as many that start processes.
const THREADS: usize = 4;

/// Guards against instances that end at their start with "Address already in use": a process that was
/// being started held the sockets that the draw had open, which listened then.
#[test]
fn free_addresses_are_free_beside_starting_processes() {
    let is_done = AtomicBool::new(false);
    let failures = std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let _ = Command::new("true").status();
                }
            });
        }
        let draws = [(); THREADS]
            .map(|()| scope.spawn(|| (0..DRAWS).map(|_| taken_ports()).sum::<usize>()));
        let failures: usize = draws.map(|draws| draws.join().unwrap()).into_iter().sum();
        is_done.store(true, Ordering::Relaxed);
        failures
    });
    assert_eq!(failures, 0, "ports that can't be listened at");
}

/// The number of ports of a draw that can't be listened at.
fn taken_ports() -> usize {
    let Addresses { callers, ready, metrics, peers } = Addresses::free().expect("free ports");
    let listeners = [callers, ready, metrics, peers].map(TcpListener::bind);
    listeners.iter().filter(|listener| listener.is_err()).count()
}
