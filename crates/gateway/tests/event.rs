//! Splitting and resuming event streams.

#![expect(clippy::unwrap_used, reason = "a failed helper fails the test")]

use acacia_gateway::Splitter;
use bytes::Bytes;

fn push(splitter: &mut Splitter, text: &str) -> String {
    String::from_utf8(splitter.push(&Bytes::copy_from_slice(text.as_bytes())).to_vec()).unwrap()
}

#[test]
fn push_incomplete_event() {
    let mut splitter = Splitter::default();
    assert_eq!(push(&mut splitter, "id: 1\nda"), "");
    assert_eq!(push(&mut splitter, "ta: a\n\nid: 2\ndata: b\n"), "id: 1\ndata: a\n\n");
    assert_eq!(push(&mut splitter, "\n"), "id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id().unwrap(), "2");
    assert!(splitter.rest().is_empty());
}

#[test]
fn push_both_line_endings() {
    let mut splitter = Splitter::default();
    let text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
    assert_eq!(push(&mut splitter, text), text);
}

#[test]
fn push_any_chunk_size() {
    let text = "id: 1\ndata: a\n\nx-weight-versions: 2\nid: 2\r\ndata: b\r\n\r\nid: 3\n\n";
    for size in 1..text.len() {
        let mut splitter = Splitter::default();
        let chunks = text.as_bytes().chunks(size).map(Bytes::copy_from_slice);
        let events: Vec<u8> = chunks.flat_map(|chunk| splitter.push(&chunk).to_vec()).collect();
        assert_eq!(events, text.as_bytes(), "chunks of {size} bytes");
    }
}

#[test]
fn push_resumed_drops_earlier_events() {
    let mut splitter = Splitter::after(Some(Bytes::from("2")));
    let events = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(push(&mut splitter, events), "id: 3\ndata: c\n\n");
}

#[test]
fn rest_incomplete_event() {
    let mut splitter = Splitter::default();
    push(&mut splitter, "id: 1\n\nid: 2\nda");
    assert_eq!(splitter.last_id().unwrap(), "1");
    assert_eq!(splitter.rest(), "id: 2\nda");
}
