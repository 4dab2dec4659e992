//! The codec under arbitrary input.

use std::net::SocketAddr;

use acacia_peer::codec::{BATCH_LIMIT, Error, decode, encode};
use acacia_policy::message::{Envelope, Message, Sender};
use quickcheck::quickcheck;

fn envelope(name: &str) -> Envelope {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    let from = Sender { daemon: name.into(), zone: "a".into(), address };
    Envelope { from, message: Message::Hello }
}

fn batch(names: &[String]) -> Vec<Envelope> {
    names.iter().map(|name| envelope(name)).collect()
}

quickcheck! {
    fn encode_round_trip(names: Vec<String>) -> bool {
        let batch = batch(&names);
        decode(&encode(&batch).unwrap()).unwrap() == batch
    }

    fn decode_any_bytes(bytes: Vec<u8>) -> bool {
        let decoded = decode(&bytes);
        decoded.is_err() || encode(&decoded.unwrap()).is_ok()
    }

    fn decode_truncated(names: Vec<String>, cut: usize) -> bool {
        let bytes = encode(&batch(&names)).unwrap();
        let cut = cut % bytes.len();
        decode(&bytes[..cut]).is_err()
    }

    fn decode_altered(names: Vec<String>, at: usize, to: u8) -> bool {
        let mut bytes = encode(&batch(&names)).unwrap();
        let at = at % bytes.len();
        bytes[at] = to;
        decode(&bytes).map_or(true, |batch| encode(&batch).is_ok())
    }

    fn decode_trailing(names: Vec<String>, rest: Vec<u8>) -> bool {
        let mut bytes = encode(&batch(&names)).unwrap();
        bytes.extend(&rest);
        rest.is_empty() || matches!(decode(&bytes), Err(Error::Trailing(n)) if n == rest.len())
    }
}

#[test]
fn decode_huge_length() {
    // An array, a string, bytes and a map that claim four billion elements.
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
    let batch = vec![envelope("x"); BATCH_LIMIT + 1];
    assert!(matches!(encode(&batch), Err(Error::TooMany(n)) if n == BATCH_LIMIT + 1));
    let bytes = rmp_serde::to_vec(&batch).unwrap();
    assert!(matches!(decode(&bytes), Err(Error::TooMany(_))));
}
