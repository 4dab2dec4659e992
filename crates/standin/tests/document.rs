//! `docs/STANDINS.md` documents every fault in the form that the control port accepts; addresses of
//! instances.

use std::collections::BTreeSet;

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
