//! Tests of the namespaces of cached parts.

mod gateway_simulation;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use acacia_policy::gateway::namespace::{Namespaces, weights_of};
use quickcheck::quickcheck;

use gateway_simulation::{Simulation, configuration};

/// The namespaces while these organisations are isolated.
fn namespaces(isolated: &[&str]) -> Namespaces {
    Namespaces::new(isolated.iter().map(|&organisation| organisation.to_owned()))
}

#[test]
fn name_without_isolated_organisation() {
    // Instances of earlier builds use the same name.
    assert_eq!(namespaces(&[]).name(3, Some("a")), "3");
    assert_eq!(namespaces(&[]).name(3, None), "3");
    assert_eq!(namespaces(&["a"]).name(3, Some("a")), "3/a");
}

#[test]
fn name_depends_on_all_isolated_organisations() {
    let sets: [&[&str]; 7] =
        [&[], &["a"], &["b"], &["a", "b"], &["ab"], &["a", "b", "c"], &["bc", "a"]];
    let names: BTreeSet<String> = sets.map(|set| namespaces(set).name(1, Some("x"))).into();
    assert_eq!(names.len(), sets.len(), "{names:?}");
    assert_eq!(namespaces(&["a", "b"]), namespaces(&["b", "a", "a"]));
}

/// No organisation's name leads to a namespace that others share.
#[test]
fn name_of_isolated_organisation_is_its_own() {
    let shared = namespaces(&["a"]).name(1, None);
    let rest = shared.strip_prefix('1').unwrap();
    let organisations = ["", "/", rest, &rest[1..], &format!("/{rest}")];
    let all = namespaces(&organisations);
    let names = organisations.map(|organisation| all.name(1, Some(organisation)));
    assert_eq!(BTreeSet::from(names.clone()).len(), names.len(), "{names:?}");
    assert!(!names.contains(&shared), "{names:?}");
}

#[test]
fn contains_namespaces_in_use() {
    let used = namespaces(&["a", "/b"]);
    for organisation in [None, Some("a"), Some("/b"), Some("c")] {
        assert!(used.contains(&used.name(12, organisation)), "{organisation:?}");
        assert_eq!(weights_of(&used.name(12, organisation)), Some(12));
    }
    for unused in ["12", "12/c", "12//b", &namespaces(&["a"]).name(12, None)] {
        assert!(!used.contains(unused), "{unused}");
    }
}

/// Regression, WALL of review case 7: the parts of an organisation that became isolated stayed in the
/// namespace that the others went on using. Organisations become isolated and are shared again in any
/// order, and some instances still have an earlier configuration.
#[test]
fn parts_of_isolated_organisation_are_not_shared() {
    fn holds(sets: Vec<u8>, lags: Vec<u8>) -> bool {
        let organisations = ["a", "b", "c", "d"];
        let isolated = |set: u8| {
            let names = organisations.iter().enumerate().filter(move |(n, _)| set >> n & 1 == 1);
            names.map(|(_, name)| *name).collect::<Vec<_>>()
        };
        let mut makers: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
        for (now, _) in sets.iter().enumerate() {
            let lag = lags.get(now).map_or(0, |lag| usize::from(lag % 3));
            for known in [now, now.saturating_sub(lag)] {
                let isolated = isolated(sets[known]);
                let namespaces = namespaces(&isolated);
                for organisation in organisations {
                    let name = namespaces.name(1, Some(organisation));
                    let made = makers.entry(name).or_default();
                    let is_apart = |other: &&str| {
                        **other != *organisation
                            && (isolated.contains(other) || isolated.contains(&organisation))
                    };
                    if made.iter().any(is_apart) {
                        return false;
                    }
                    made.insert(organisation);
                }
            }
        }
        true
    }
    quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// A request that was admitted before its organisation became isolated is sent afterwards.
#[test]
fn next_uses_namespace_of_configuration_in_force() {
    let mut simulation = Simulation::new(3);
    let salt = |simulation: &mut Simulation| {
        let mut plan = simulation.admit_prompt("p", 1_000);
        simulation.send(&mut plan).engine.unwrap().salt
    };
    assert_eq!(salt(&mut simulation), "1");
    let mut admitted = simulation.admit_prompt("p", 1_000);
    let mut changed = configuration();
    changed.namespaces = namespaces(&["acme"]);
    simulation.change(|view, _| view.configuration = Arc::new(changed));
    assert_eq!(simulation.send(&mut admitted).engine.unwrap().salt, "1/acme");
    let mut changed = configuration();
    changed.namespaces = namespaces(&["other"]);
    simulation.change(|view, _| view.configuration = Arc::new(changed));
    assert_eq!(salt(&mut simulation), namespaces(&["other"]).name(1, None));
}
