//! Differences between sets, and redaction of secrets.

#[macro_use]
mod common;

use acacia_catalog::Set;
use acacia_catalog::diff::{Change, diff};
use acacia_catalog::generate::Size;
use acacia_catalog::object::{AdminState, Document, Object};
use acacia_catalog::secret::REDACTED;

fn document() -> Document {
    Size::Actas.plan().document(1)
}

fn set() -> Set {
    Set::check(&document()).expect("a generated document is valid")
}

#[test]
fn diff_equal() {
    assert_eq!(diff(&set(), &set()), []);
}

#[test]
fn diff_each_change() {
    let before = set();
    let mut after = set();
    after.zones.get_mut("zone-2").unwrap().state = AdminState::Out;
    let mut store = after.stores.remove("store-1").unwrap();
    store.name = "store-9".into();
    after.stores.insert("store-9".into(), store);
    let found = diff(&before, &after);
    let names: Vec<&str> = found.iter().map(|d| &*d.name).collect();
    assert_eq!(names, ["store-1", "store-9", "zone-2"]);
    assert_eq!((&found[0].change, &found[1].change), (&Change::Removed, &Change::Added));
    let Change::Altered(fields) = &found[2].change else { panic!("{:?}", found[2]) };
    assert_eq!((fields[0].field.as_str(), fields.len()), ("state", 1));
    assert_eq!((&fields[0].before, &fields[0].after), (&"in".into(), &"out".into()));
}

#[test]
fn diff_secret() {
    let before = set();
    let mut after = set();
    let organisation = after.organisations.get_mut("organisation-1").unwrap();
    organisation.cache_secret = "another secret of the organisation".to_owned();
    let found = diff(&before, &after);
    assert_eq!(found.len(), 1);
    let text = serde_json::to_string(&found).unwrap();
    assert!(!text.contains(&after.organisations["organisation-1"].cache_secret));
    assert!(!text.contains(&before.organisations["organisation-1"].cache_secret));
    assert!(text.contains(REDACTED));
}

#[test]
fn redact_restore() {
    let redacted = document().redact();
    let text = serde_json::to_string(&redacted).unwrap();
    let secrets = set().organisations.into_values().map(|o| o.cache_secret);
    assert!(secrets.into_iter().all(|secret| !text.contains(&secret)));
    assert_eq!(redacted.restore(&set()), document());
}

#[test]
fn restore_unknown_organisation() {
    let mut known = set();
    known.organisations.remove("organisation-3");
    let restored = document().redact().restore(&known);
    let problems = Set::check(&restored).unwrap_err();
    assert_eq!(problems.len(), 1);
    assert_eq!((&*problems[0].object, &*problems[0].field), ("organisation-3", "cache_secret"));
}

#[test]
fn restore_new_secret() {
    let mut document = document().redact();
    for object in &mut document.objects {
        if let Object::Organisation(o) = object {
            o.cache_secret = "a new secret of sixteen bytes or more".to_owned();
        }
    }
    assert_eq!(document.clone().restore(&set()), document);
}

properties! {
    fn diff_entry_per_object(out: Vec<bool>) -> bool {
        let before = set();
        let mut after = set();
        let mut changed = 0;
        for (upstream, out) in after.upstreams.values_mut().zip(&out) {
            if *out {
                upstream.state = AdminState::Out;
                changed += 1;
            }
        }
        diff(&before, &after).len() == changed
    }
}
