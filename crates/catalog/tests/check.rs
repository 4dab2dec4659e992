//! Violations of each validation rule, separately and combined.

#[macro_use]
mod common;

use acacia_catalog::generate::Size;
use acacia_catalog::object::{
    Adapter, Document, Link, Model, Object, Organisation, Profile, Role, Service, Store, Upstream,
    Version,
};
use acacia_catalog::secret::REDACTED;
use acacia_catalog::{Problem, Set};

const SEED: u64 = 1;

fn example() -> Document {
    Size::Actas.plan().document(SEED)
}

fn problems(document: &Document) -> Vec<Problem> {
    Set::check(document).expect_err("the document is invalid")
}

/// The invalid fields after applying `edit` to the first object for which it returns `Some`.
fn fields(edit: impl FnMut(&mut Object) -> Option<()>) -> Vec<String> {
    let mut document = example();
    document.objects.iter_mut().find_map(edit).expect("an object to edit");
    let problems = problems(&document);
    assert!(problems.iter().all(|p| !p.hint.is_empty() && !p.reason.is_empty()));
    problems.into_iter().map(|p| format!("{}.{}", p.kind, p.field)).collect()
}

macro_rules! invalid_fields {
    ($kind:ident, $edit:expr) => {
        fields(|object| match object {
            Object::$kind(o) => {
                let edit: fn(&mut $kind) = $edit;
                edit(o);
                Some(())
            }
            _ => None,
        })
    };
}

#[test]
fn check_examples() {
    for size in [Size::Actas, Size::Ferreira, Size::TwoYears] {
        let document = size.plan().document(SEED);
        let set = Set::check(&document).unwrap_or_else(|p| panic!("{size}: {p:?}"));
        assert_eq!(set.len(), document.objects.len());
    }
}

#[test]
fn check_two_years_counts() {
    let set = Set::check(&Size::TwoYears.plan().document(SEED)).unwrap();
    let regions: std::collections::BTreeSet<_> = set.zones.values().map(|z| &z.region).collect();
    assert_eq!(set.organisations.len(), 1_000);
    assert_eq!(set.models.len(), 22);
    assert_eq!(set.upstreams.len(), 10_000);
    assert_eq!((set.zones.len(), regions.len()), (11, 5));
}

#[test]
fn check_duplicate() {
    let count = example().objects.len();
    for i in 0..count {
        let mut document = example();
        let copy = document.objects[i].clone();
        document.objects.push(copy.clone());
        let problems = problems(&document);
        let same_name = |p: &&Problem| p.field == "name" && p.object == *copy.name();
        assert_eq!(problems.iter().filter(same_name).count(), 1, "{}", copy.kind());
    }
}

#[test]
fn check_organisation() {
    assert_eq!(
        invalid_fields!(Organisation, |o| o.key_hashes.clear()),
        ["organisation.key_hashes"]
    );
    assert_eq!(
        invalid_fields!(Organisation, |o| o.key_hashes[0] = "the key itself".to_owned()),
        ["organisation.key_hashes[0]"]
    );
    assert_eq!(
        invalid_fields!(Organisation, |o| o.key_hashes.push(o.key_hashes[0].clone())),
        ["organisation.key_hashes[1]"]
    );
    assert_eq!(
        invalid_fields!(Organisation, |o| o.cache_secret = "short".to_owned()),
        ["organisation.cache_secret"]
    );
    assert_eq!(
        invalid_fields!(Organisation, |o| o.cache_secret = REDACTED.to_owned()),
        ["organisation.cache_secret"]
    );
    assert_eq!(invalid_fields!(Organisation, |o| o.weight = 0), ["organisation.weight"]);
    assert_eq!(
        invalid_fields!(Organisation, |o| o.models.push("x".into())),
        ["organisation.models[2]"]
    );
    assert_eq!(
        invalid_fields!(Organisation, |o| o.services.push("x".into())),
        ["organisation.services[2]"]
    );
    assert_eq!(invalid_fields!(Organisation, |o| o.profile = "x".into()), ["organisation.profile"]);
}

#[test]
fn check_organisation_shared_key() {
    let mut document = example();
    let mut organisations = document.objects.iter_mut().filter_map(|o| match o {
        Object::Organisation(o) => Some(o),
        _ => None,
    });
    let hashes = organisations.next().unwrap().key_hashes.clone();
    organisations.next().unwrap().key_hashes = hashes;
    let problems = problems(&document);
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].field, "key_hashes[0]");
}

#[test]
fn check_model() {
    assert_eq!(invalid_fields!(Model, |o| o.serving = "x".into()), ["model.serving"]);
    assert_eq!(invalid_fields!(Model, |o| o.serving = "query-v1".into()), ["model.serving"]);
    assert_eq!(invalid_fields!(Model, |o| o.context_tokens = 0), ["model.context_tokens"]);
    assert_eq!(invalid_fields!(Version, |o| o.bytes_per_token = 0), ["version.bytes_per_token"]);
    assert_eq!(invalid_fields!(Adapter, |o| o.version = "x".into()), ["adapter.version"]);
    assert_eq!(
        invalid_fields!(Adapter, |o| o.organisation = Some("x".into())),
        ["adapter.organisation"]
    );
}

#[test]
fn check_version_of_other_model() {
    let found = invalid_fields!(Version, |o| o.model = "query".into());
    assert!(found.contains(&"model.serving".to_owned()));
    let dangling = invalid_fields!(Version, |o| o.model = "x".into());
    assert!(dangling.contains(&"version.model".to_owned()));
}

#[test]
fn check_upstream() {
    assert_eq!(invalid_fields!(Upstream, |o| o.zone = "x".into()), ["upstream.zone"]);
    assert_eq!(invalid_fields!(Upstream, |o| o.cold_limit = 0), ["upstream.cold_limit"]);
    assert_eq!(invalid_fields!(Upstream, |o| o.cold_limit = o.slots + 1), ["upstream.cold_limit"]);
    assert_eq!(
        invalid_fields!(Upstream, |o| o.slots = 0),
        ["upstream.slots", "upstream.cold_limit"]
    );
    assert_eq!(invalid_fields!(Upstream, |o| o.address.set_port(0)), ["upstream.address"]);
}

#[test]
fn check_upstream_role() {
    let engine = |model: &str, adapter: &str| Role::Engine {
        model: model.into(),
        adapters: vec![adapter.into()],
    };
    let found = |role: Role| {
        fields(|object| match object {
            Object::Upstream(o) => {
                o.role = role.clone();
                Some(())
            }
            _ => None,
        })
    };
    assert_eq!(found(engine("x", "summary-v1-adapter")).len(), 2);
    assert_eq!(found(engine("summary", "x")), ["upstream.role.adapters[0]"]);
    assert_eq!(found(engine("query", "summary-v1-adapter")), ["upstream.role.adapters[0]"]);
    assert_eq!(found(Role::Service { service: "x".into() }), ["upstream.role.service"]);
}

#[test]
fn check_address_clash() {
    let mut document = example();
    let store = document.objects.iter().find_map(|o| match o {
        Object::Store(o) => Some(o.address),
        _ => None,
    });
    let upstream = document.objects.iter_mut().find_map(|o| match o {
        Object::Upstream(o) => Some(o),
        _ => None,
    });
    upstream.unwrap().address = store.unwrap();
    let problems = problems(&document);
    assert_eq!(problems.len(), 1);
    assert_eq!((problems[0].kind.as_str(), problems[0].field.as_str()), ("upstream", "address"));
}

#[test]
fn check_store_service_link_profile() {
    assert_eq!(invalid_fields!(Store, |o| o.zone = "x".into()), ["store.zone"]);
    assert_eq!(invalid_fields!(Store, |o| o.memory_bytes = 0), ["store.memory_bytes"]);
    assert_eq!(
        invalid_fields!(Service, |o| o.idempotent[0].method = "get".to_owned()),
        ["service.idempotent[0].method"]
    );
    assert_eq!(
        invalid_fields!(Service, |o| o.idempotent[0].path = "status".to_owned()),
        ["service.idempotent[0].path"]
    );
    assert_eq!(invalid_fields!(Link, |o| o.bytes_per_second = 0), ["link.bytes_per_second"]);
    assert_eq!(invalid_fields!(Link, |o| o.from = "x".into()), ["link.from"]);
    assert_eq!(invalid_fields!(Link, |o| o.to = "x".into()), ["link.to"]);
    assert_eq!(invalid_fields!(Link, |o| o.to = "zone-2".into()), ["link.to"]);
    assert_eq!(
        invalid_fields!(Profile, |o| o.short_deadline_ms = 0)[..1],
        ["profile.short_deadline_ms"]
    );
    assert_eq!(invalid_fields!(Profile, |o| o.copies = 0), ["profile.copies"]);
}

#[test]
fn check_name() {
    let rename = |name: &'static str| {
        let mut document = example();
        for object in &mut document.objects {
            if let Object::Store(o) = object {
                o.name = name.into();
                break;
            }
        }
        Set::check(&document).is_ok()
    };
    assert!(rename("store_1.b-2"));
    assert!(!rename(""));
    assert!(!rename("a/b"));
    assert!(!rename("a b"));
    assert!(!rename("ä"));
    assert!(!rename("x".repeat(129).leak()));
}

#[test]
fn check_all_at_once() {
    let mut document = example();
    for object in &mut document.objects {
        match object {
            Object::Upstream(o) => o.zone = "gone".into(),
            Object::Link(o) => o.bytes_per_second = 0,
            Object::Organisation(o) => o.profile = "gone".into(),
            _ => {}
        }
    }
    let plan = Size::Actas.plan();
    let links = plan.zones * (plan.zones + 1) / 2;
    let expected = plan.engines + plan.instances + links + plan.organisations;
    assert_eq!(problems(&document).len(), expected);
}

properties! {
    fn check_any_subset(keep: Vec<bool>, seed: u64) -> bool {
        let mut document = Size::Ferreira.plan().document(seed);
        let mut keep = keep.into_iter();
        document.objects.retain(|_| keep.next().unwrap_or(true));
        match Set::check(&document) {
            Ok(set) => set.len() == document.objects.len(),
            Err(problems) => !problems.is_empty(),
        }
    }
}
