//! Sizes of the datagrams that instances send each other.

use acacia_gateway::gossip::{DATAGRAM_BYTES, datagrams, split};
use acacia_policy::gateway::brittle::Refusal;
use acacia_policy::gateway::canary::Progress;
use acacia_policy::gateway::canary::evidence::{Cell, Evidence, MESSAGE_ROWS, Tally, Version};
use acacia_policy::gateway::gossip::{Digest, Load, Message, Note};
use acacia_policy::gateway::notice::Departure;
use acacia_policy::gateway::quarantine::{Clearance, Sighting, Suspicion};
use acacia_policy::gateway::software::Beginnings;
use acacia_policy::gateway::statement::Report;
use quickcheck::quickcheck;

/// A digest of a busy instance with notes of each kind, and values of the greatest size.
fn digest(counts: &[u8]) -> Digest {
    let sighting = Sighting {
        server: u64::MAX,
        born: Some(u64::MAX),
        age_ms: u32::MAX,
        ran_ms: Some(u32::MAX),
    };
    let report =
        Report { server: u64::MAX, born: Some(u64::MAX), rate: Some(f64::MAX), age_ms: u32::MAX };
    let cell = Cell { route: u32::MAX, span: u8::MAX, version: Version::Target };
    let tally = Tally {
        responses: u32::MAX,
        failed: u32::MAX,
        timed: u32::MAX,
        slow: u32::MAX,
        first: u32::MAX,
        rest: u32::MAX,
    };
    let evidence = |count: usize| Evidence {
        order: u32::MAX,
        reporter: u64::MAX,
        age_ms: u32::MAX,
        progress: Progress::RolledBack,
        rows: vec![(cell, tally); count],
    };
    let notes = counts.iter().flat_map(|count| {
        let crashes = vec![sighting; usize::from(count % 13)];
        [
            Note::Departed(Departure { server: u64::MAX, born: Some(u64::MAX) }),
            Note::Suspected(Suspicion { key: u64::MAX, crashes, is_request: true }),
            Note::Tried(u64::MAX),
            Note::Cleared(Clearance { key: u64::MAX, age_ms: u32::MAX }),
            Note::Began(Beginnings(vec![(u32::MAX, u32::MAX); usize::from(count % 65)])),
            Note::Canary(evidence(usize::from(*count) % (MESSAGE_ROWS + 1))),
            Note::Limited(report),
            Note::Brittle(report),
            Note::Refused(Refusal { server: u64::MAX, born: Some(u64::MAX), room: u32::MAX }),
        ]
    });
    let load = Load { running: u32::MAX, prefill_tokens: u64::MAX, memory_tokens: u64::MAX };
    Digest {
        incarnation: u64::MAX,
        sequence: u64::MAX,
        is_full: true,
        loads: (0..9).map(|server| (u64::MAX - server, load)).collect(),
        notes: notes.collect(),
        ..Digest::default()
    }
}

/// Each datagram with notes on suspects is within the limit, and none of the notes is lost.
#[test]
fn split_bounds_datagrams() {
    fn holds(counts: Vec<u8>) -> bool {
        let whole = digest(&counts);
        let parts = split(whole.clone());
        let sent = parts.iter().flat_map(|digest| &digest.notes);
        let is_complete = whole.notes.iter().all(|note| sent.clone().any(|known| known == note))
            && sent.count() == whole.notes.len();
        let loads = parts.iter().filter(|digest| digest.sequence > 0).count();
        is_complete
            && loads == 1
            && datagrams(&parts).into_iter().all(|digests| {
                let is_on_suspects = digests.iter().all(|digest| digest.sequence == 0);
                let message = Message { forward: true, digests: digests.to_vec() };
                let bytes = rmp_serde::to_vec(&message).expect("a message can be encoded");
                !is_on_suspects || bytes.len() <= DATAGRAM_BYTES
            })
    }
    quickcheck(holds as fn(Vec<u8>) -> bool);
    assert!(holds(vec![12; 512]));
}

/// The limits by which notes are grouped hold for their encoded size.
#[test]
fn size_limit_bounds_encoded_note() {
    for note in digest(&(0..13).collect::<Vec<_>>()).notes {
        let bytes = rmp_serde::to_vec(&note).expect("a note can be encoded");
        assert!(bytes.len() <= note.size_limit(), "{note:?}: {} bytes", bytes.len());
    }
}

/// Notes on suspects leave the load of their sender as it is, in whatever order datagrams arrive.
#[test]
fn split_leaves_load_to_one_digest() {
    let whole = digest(&[3; 60]);
    let parts = split(whole.clone());
    assert!(parts.len() > 1);
    let mut digests = acacia_policy::gateway::gossip::Digests::default();
    for part in parts.into_iter().rev() {
        digests.receive(acacia_policy::Time::from_secs(3_600), part);
    }
    for (server, load) in whole.loads {
        assert_eq!(digests.load(server), load);
    }
}

/// A report of an instance of an earlier version has fewer fields.
#[test]
fn suspicion_of_earlier_version_is_read() {
    let earlier = (7_u64, vec![(1_u64, Some(2_u64), 3_u32)]);
    let bytes = rmp_serde::to_vec(&earlier).expect("a report can be encoded");
    let suspicion: Suspicion = rmp_serde::from_slice(&bytes).expect("it can be decoded");
    let sighting = Sighting { server: 1, born: Some(2), age_ms: 3, ran_ms: None };
    assert_eq!(suspicion, Suspicion { key: 7, crashes: vec![sighting], is_request: false });
}
