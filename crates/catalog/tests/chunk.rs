//! Splitting and joining of sets, and the root with its history.

#[macro_use]
mod common;

use std::collections::BTreeSet;

use acacia_catalog::chunk::{CHUNK_LIMIT_BYTES, Chunks, Error, Hash, Index, join, split, verify};
use acacia_catalog::generate::Size;
use acacia_catalog::object::AdminState;
use acacia_catalog::root::{HISTORY_LIMIT, Root};
use acacia_catalog::{Document, Set};

const SEED: u64 = 1;

fn set(size: Size) -> Set {
    Set::check(&size.plan().document(SEED)).expect("a generated document is valid")
}

/// A set with other weights, in which the upstreams with an odd entry in `out` are out.
fn varied(out: &[u8], weights: &[u8]) -> Set {
    let mut set = set(Size::Actas);
    for (upstream, out) in set.upstreams.values_mut().zip(out) {
        upstream.state = if out % 2 == 0 { AdminState::In } else { AdminState::Out };
    }
    for (organisation, weight) in set.organisations.values_mut().zip(weights) {
        organisation.weight = u32::from(*weight) + 1;
    }
    set
}

#[test]
fn split_sizes() {
    for size in [Size::Actas, Size::Ferreira, Size::TwoYears] {
        let set = set(size);
        let (index, chunks) = split(&set).unwrap();
        assert!(chunks.values().all(|bytes| bytes.len() <= CHUNK_LIMIT_BYTES / 8));
        assert!(index.len() <= 1_000, "{} chunks", index.len());
        assert_eq!(join(&index, &chunks).unwrap(), set);
    }
}

#[test]
fn split_small_change() {
    let before = set(Size::TwoYears);
    let mut after = before.clone();
    after.upstreams.values_mut().nth(77).unwrap().state = AdminState::Out;
    let (old, _) = split(&before).unwrap();
    let (new, _) = split(&after).unwrap();
    let changed_count = new.iter().filter(|(slot, hash)| old.get(slot) != Some(hash)).count();
    assert_eq!((old.len(), changed_count), (new.len(), 1));
}

#[test]
fn split_too_large() {
    let mut set = set(Size::Actas);
    let organisation = set.organisations.values_mut().next().unwrap();
    organisation.cache_secret = "x".repeat(CHUNK_LIMIT_BYTES);
    assert!(matches!(split(&set), Err(Error::TooLarge(_))));
}

#[test]
fn join_missing() {
    let (index, mut chunks) = split(&set(Size::Actas)).unwrap();
    let hash = *index.values().next().unwrap();
    chunks.remove(&hash);
    assert!(matches!(join(&index, &chunks), Err(Error::Missing(h)) if h == hash));
}

#[test]
fn join_incomplete() {
    let (mut index, chunks) = split(&set(Size::Actas)).unwrap();
    // The last slot contains the profiles, which organisations reference.
    index.pop_last();
    assert!(matches!(join(&index, &chunks), Err(Error::Invalid(p)) if !p.is_empty()));
}

#[test]
fn join_malformed() {
    let bytes = b"no chunk".to_vec();
    let hash = Hash::of(&bytes);
    let (mut index, mut chunks) = split(&set(Size::Actas)).unwrap();
    *index.values_mut().next().unwrap() = hash;
    chunks.insert(hash, bytes);
    assert!(matches!(join(&index, &chunks), Err(Error::Malformed(h, _)) if h == hash));
}

#[test]
fn root_history() {
    let mut root = Root::default();
    let mut indexes = vec![Index::new()];
    for i in 0..u8::try_from(HISTORY_LIMIT).unwrap() + 8 {
        let (index, _) = split(&varied(&[i, i / 2], &[i])).unwrap();
        root = root.next(format!("change-{i}").into(), "ana", index.clone());
        indexes.push(index);
        assert_eq!(root.find(&format!("change-{i}")), Some(root.revision));
    }
    assert_eq!(root.history.len(), HISTORY_LIMIT);
    for (revision, index) in indexes.iter().enumerate() {
        let is_retained = revision + HISTORY_LIMIT + 1 >= indexes.len();
        let found = root.index_at(revision as u64);
        assert_eq!(found.as_ref(), is_retained.then_some(index), "revision {revision}");
    }
    assert_eq!(root.find("change-0"), None);
    assert_eq!(root.find(""), None);
}

#[test]
fn root_referenced() {
    let (first, _) = split(&varied(&[1], &[])).unwrap();
    let (second, _) = split(&varied(&[2], &[])).unwrap();
    let root = Root::default().next("a".into(), "ana", first.clone());
    let root = root.next("b".into(), "ana", second.clone());
    let expected: BTreeSet<Hash> = first.values().chain(second.values()).copied().collect();
    assert_eq!(root.referenced(), expected);
}

#[test]
fn root_two_years_size() {
    let mut set = set(Size::TwoYears);
    let (index, _) = split(&set).unwrap();
    let mut root = Root::default().next("a".into(), "ana", index);
    for i in 0..HISTORY_LIMIT + 1 {
        set.upstreams.values_mut().nth(i * 7).unwrap().state = AdminState::Out;
        root = root.next(format!("change-{i:032}").into(), "ana", split(&set).unwrap().0);
    }
    let bytes = root.encode().unwrap();
    assert!(bytes.len() < 64 << 10, "{} bytes", bytes.len());
    assert_eq!(Root::decode(&bytes).unwrap(), root);
}

properties! {
    fn split_round_trip(out: Vec<u8>, weights: Vec<u8>) -> bool {
        let set = varied(&out, &weights);
        let (index, chunks) = split(&set).unwrap();
        join(&index, &chunks).unwrap() == set
    }

    fn split_any_order(seed: u64) -> bool {
        let document = Size::Ferreira.plan().document(seed);
        let mut shuffled = document.clone();
        shuffled.objects.sort_by_key(|o| blake3::hash(o.name().as_bytes()).as_bytes().to_owned());
        let index = |d: &Document| split(&Set::check(d).unwrap()).unwrap().0;
        index(&document) == index(&shuffled)
    }

    fn join_tampered(at: usize, flip: u8) -> bool {
        let (index, mut chunks) = split(&set(Size::Actas)).unwrap();
        let hash = *index.values().nth(at % index.len()).unwrap();
        let bytes = chunks.get_mut(&hash).unwrap();
        let at = at % bytes.len();
        bytes[at] ^= flip.max(1);
        !verify(hash, bytes) && matches!(join(&index, &chunks), Err(Error::HashMismatch(h)) if h == hash)
    }

    fn join_any_bytes(bytes: Vec<u8>) -> bool {
        let hash = Hash::of(&bytes);
        let index = split(&set(Size::Actas)).unwrap().0;
        let slot = *index.keys().next().unwrap();
        join(&Index::from([(slot, hash)]), &Chunks::from([(hash, bytes)])).is_err()
    }

    fn root_any_bytes(bytes: Vec<u8>) -> bool {
        Root::decode(&bytes).is_err() || Root::decode(&bytes).unwrap().encode().is_ok()
    }
}
