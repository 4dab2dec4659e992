//! Codec with arbitrary input.

#[macro_use]
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use acacia_catalog::chunk::Hash;
use acacia_peer::MAX_BODY_BYTES;
use acacia_peer::codec::{Error, MAX_BATCH_MESSAGES, decode, encode};
use acacia_policy::Verdict;
use acacia_policy::control::{Answer, Claim, ClaimOutcome, Order, OrderDuty};
use acacia_policy::message::{
    Chunk, ClaimEntry, Confirm, Digest, Envelope, Grant, HandOver, Message, News, PermitState,
    Probe, Rumour, Sender,
};
use quickcheck::{Arbitrary, Gen};

/// A batch with arbitrary kinds of messages.
#[derive(Clone, Debug)]
struct Batch(Vec<Envelope>);

impl Arbitrary for Batch {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 8;
        Self((0..count).map(|_| envelope(&String::arbitrary(g), message(g))).collect())
    }
}

fn envelope(name: &str, message: Message) -> Envelope {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    let from = Sender { daemon: name.into(), zone: "a".into(), address };
    Envelope { from, message }
}

fn message(g: &mut Gen) -> Message {
    match u8::arbitrary(g) % 12 {
        0 => Message::Hello,
        1 => Message::EpochPull,
        2 => Message::RootPull(u64::arbitrary(g)),
        3 => Message::Digest(digest(g)),
        4 => Message::Probe(Probe { epoch: u64::arbitrary(g), sent: time(g) }),
        5 => Message::Confirm(Confirm {
            epoch: u64::arbitrary(g),
            echo: time(g),
            revision: u64::arbitrary(g),
        }),
        6 => Message::Chunk(Chunk { hash: chunk_hash(g), bytes: Vec::arbitrary(g) }),
        7 => Message::ChunkPull((0..u8::arbitrary(g)).map(|_| chunk_hash(g)).collect()),
        8 => Message::Permits(permits(g)),
        9 => Message::Grant(grant(g)),
        10 => Message::HandOver(HandOver {
            epoch: u64::arbitrary(g),
            running: vec![(name(g), u32::arbitrary(g))],
            clean: bool::arbitrary(g),
        }),
        _ => claims(g),
    }
}

fn digest(g: &mut Gen) -> Digest {
    let news = *g.choose(&[News::Warm, News::Cold, News::Leaving]).expect("a choice");
    let rumour =
        Rumour { upstream: name(g), incarnation: u64::arbitrary(g), news, hops: u8::arbitrary(g) };
    Digest { epoch: u64::arbitrary(g), revision: u64::arbitrary(g), rumours: vec![rumour] }
}

fn permits(g: &mut Gen) -> PermitState {
    PermitState {
        upstream: name(g),
        epoch: u64::arbitrary(g),
        number: u64::arbitrary(g),
        sent: time(g),
        waiting: u32::arbitrary(g),
        held: Vec::arbitrary(g),
        answered: u32::arbitrary(g),
        cold_at: bool::arbitrary(g).then(|| time(g)),
        incarnation: u64::arbitrary(g),
    }
}

fn grant(g: &mut Gen) -> Grant {
    Grant {
        upstream: name(g),
        epoch: u64::arbitrary(g),
        number: u64::arbitrary(g),
        echo: time(g),
        incarnation: u64::arbitrary(g),
        permits: Vec::arbitrary(g),
        warm: bool::arbitrary(g),
    }
}

fn claims(g: &mut Gen) -> Message {
    let claim = Claim { organisation: name(g), key: name(g), fingerprint: hash(g) };
    let answer =
        Answer { status: 200, content_type: String::arbitrary(g), body: Vec::arbitrary(g) };
    let taken = ClaimOutcome::Taken { verdict: Verdict::Ran, answer: Some(answer) };
    let duty = OrderDuty::LoadVersion(name(g));
    match u8::arbitrary(g) % 3 {
        0 => Message::Claims(vec![ClaimEntry::Want(u64::arbitrary(g), claim)]),
        1 => Message::Claimed(u64::arbitrary(g), taken),
        _ => Message::Order(Order { upstream: name(g), duty, fence: 1, id: name(g) }),
    }
}

fn name(g: &mut Gen) -> std::sync::Arc<str> {
    String::arbitrary(g).into()
}

fn hash(g: &mut Gen) -> [u8; 32] {
    std::array::from_fn(|_| u8::arbitrary(g))
}

fn chunk_hash(g: &mut Gen) -> Hash {
    Hash::of(&hash(g))
}

fn time(g: &mut Gen) -> Duration {
    Duration::from_nanos(u64::arbitrary(g))
}

properties! {
    fn encode_round_trip(batch: Batch) -> bool {
        decode(&encode(&batch.0).unwrap()).unwrap() == batch.0
    }

    fn decode_any_bytes(bytes: Vec<u8>) -> bool {
        let decoded = decode(&bytes);
        decoded.is_err() || encode(&decoded.unwrap()).is_ok()
    }

    fn decode_truncated(batch: Batch, cut: usize) -> bool {
        let bytes = encode(&batch.0).unwrap();
        let cut = cut % bytes.len();
        decode(&bytes[..cut]).is_err()
    }

    fn decode_altered(batch: Batch, changes: Vec<(usize, u8)>) -> bool {
        let mut bytes = encode(&batch.0).unwrap();
        for (at, to) in changes {
            let at = at % bytes.len();
            bytes[at] = to;
        }
        decode(&bytes).map_or(true, |batch| encode(&batch).is_ok())
    }

fn decode_inner_length_huge(batch: Batch, at: usize, marker: usize) -> bool {
        // Replaces the bytes from a random position with the header of an array, a string, a byte
        // string or a map of four billion elements.
        let mut bytes = encode(&batch.0).unwrap();
        let at = at % bytes.len();
        let marker = [0xdd, 0xdb, 0xc6, 0xdf][marker % 4];
        bytes.splice(at.., [marker, 0xff, 0xff, 0xff, 0xff]);
        // If the result still decodes, the header lies inside a byte string.
        decode(&bytes).map_or(true, |batch| encode(&batch).unwrap() == bytes)
    }

    fn decode_trailing(batch: Batch, rest: Vec<u8>) -> bool {
        let mut bytes = encode(&batch.0).unwrap();
        bytes.extend(&rest);
        rest.is_empty() || matches!(decode(&bytes), Err(Error::Trailing(n)) if n == rest.len())
    }
}

#[test]
fn decode_length_huge() {
    // Headers of an array, a string, a byte string and a map of four billion elements.
    for marker in [0xdd, 0xdb, 0xc6, 0xdf] {
        let bytes = [marker, 0xff, 0xff, 0xff, 0xff];
        assert!(matches!(decode(&bytes), Err(Error::Malformed(_))));
        let nested = [&[0x91, 0x92, 0x93][..], &bytes].concat();
        assert!(matches!(decode(&nested), Err(Error::Malformed(_))));
    }
}

#[test]
fn decode_deep() {
    let bytes = vec![0x91; 1 << 20];
    assert!(matches!(decode(&bytes), Err(Error::Malformed(_))));
}

#[test]
fn encode_too_many() {
    let batch = vec![envelope("x", Message::Hello); MAX_BATCH_MESSAGES + 1];
    assert!(matches!(encode(&batch), Err(Error::TooMany(n)) if n == MAX_BATCH_MESSAGES + 1));
    let bytes = rmp_serde::to_vec(&batch).unwrap();
    assert!(matches!(decode(&bytes), Err(Error::TooMany(_))));
}

#[test]
fn encode_too_large() {
    let chunk = Chunk { hash: Hash::of(b"x"), bytes: vec![0; MAX_BODY_BYTES] };
    let batch = [envelope("x", Message::Chunk(chunk))];
    assert!(matches!(encode(&batch), Err(Error::TooLarge(n)) if n > MAX_BODY_BYTES));
    let bytes = rmp_serde::to_vec(&batch).unwrap();
    assert!(matches!(decode(&bytes), Err(Error::TooLarge(_))));
}
