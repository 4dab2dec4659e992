//! Splitting and resuming event streams.

#![expect(clippy::unwrap_used, reason = "a failed helper fails the test")]

use acacia_connection::Framing;
use acacia_gateway::{End, Oversized, Splitter};
use bytes::Bytes;
use quickcheck::quickcheck;

fn push(splitter: &mut Splitter, text: &str) -> String {
    let events = splitter.push(&Bytes::copy_from_slice(text.as_bytes())).unwrap();
    String::from_utf8(events.to_vec()).unwrap()
}

#[test]
fn push_incomplete_event() {
    let mut splitter = Splitter::default();
    assert_eq!(push(&mut splitter, "id: 1\nda"), "");
    assert_eq!(push(&mut splitter, "ta: a\n\nid: 2\ndata: b\n"), "id: 1\ndata: a\n\n");
    assert_eq!(push(&mut splitter, "\n"), "id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id().unwrap(), "2");
    assert_eq!(splitter.end(Framing::Chunked), End::Whole(Bytes::new()));
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
        let events: Vec<u8> =
            chunks.flat_map(|chunk| splitter.push(&chunk).unwrap().to_vec()).collect();
        assert_eq!(events, text.as_bytes(), "chunks of {size} bytes");
    }
}

#[test]
fn push_resumed_drops_earlier_events() {
    let mut splitter = Splitter::after(Some(Bytes::from("2")));
    let events = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(push(&mut splitter, events), "id: 3\ndata: c\n\n");
}

/// Regression, ORDER: the head of another answer looks like an event.
#[test]
fn push_other_answer() {
    let head = "HTTP/1.1 500 Error\r\nx-request-id: r\r\n\r\nfailed\n\n";
    for (events, more) in [("id: 1\n\nid: 2\n\n", ""), ("id: 1\n\n", "id: 2\n\n"), ("", "\n")] {
        let text = format!("{events}{head}{more}");
        for size in 1..text.len() {
            let mut splitter = Splitter::default();
            let chunks = text.as_bytes().chunks(size).map(Bytes::copy_from_slice);
            let pushed: Vec<u8> =
                chunks.flat_map(|chunk| splitter.push(&chunk).unwrap().to_vec()).collect();
            assert_eq!(pushed, events.as_bytes(), "chunks of {size} bytes");
            assert!(matches!(splitter.end(Framing::Close), End::BrokenOff { .. }));
        }
    }
    let mut splitter = Splitter::default();
    let text = "id: 1\ndata: HTTP/1.1 200 OK\n\n";
    assert_eq!(push(&mut splitter, text), text, "an event may be about an answer");
}

/// An upstream cuts its stream off inside an event, and writes another answer behind it.
#[test]
fn push_other_answer_inside_event() {
    let head = "HTTP/1.1 500 Error\r\nx-request-id: r\r\ncontent-length: 0\r\n\r\n";
    let event = "id: 2\ndata: abc\n";
    for cut in 1..=event.len() {
        for chunk in [1, 7, 100] {
            let mut splitter = Splitter::default();
            let text = format!("id: 1\ndata: x\n\n{}{head}", &event[..cut]);
            let chunks = text.as_bytes().chunks(chunk);
            let pushed: String = chunks
                .map(|part| push(&mut splitter, std::str::from_utf8(part).unwrap()))
                .collect();
            assert_eq!(pushed, "id: 1\ndata: x\n\n", "{text:?}");
            assert!(matches!(splitter.end(Framing::Close), End::BrokenOff { .. }), "{text:?}");
        }
    }
}

/// Answers of models contain heads, too.
#[test]
fn push_head_in_data() {
    for text in [
        "id: 1\ndata: HTTP/1.1 200 OK\ndata: content-length: 0\n\n",
        "data: GET / HTTP/1.1 404 Not\nid: 1\n\n",
        "x-weight-versions: 2\ndata: HTTP/1.0 200 OK\n:comment\nretry: 5\nevent: x\n\n",
    ] {
        let mut splitter = Splitter::default();
        assert_eq!(push(&mut splitter, text), text);
        assert_eq!(splitter.end(Framing::Close), End::Whole(Bytes::new()));
    }
}

#[test]
fn end_incomplete_event() {
    for framing in [Framing::Close, Framing::Chunked, Framing::Length(20)] {
        let mut splitter = Splitter::default();
        push(&mut splitter, "id: 1\n\nid: 2\nda");
        assert_eq!(splitter.last_id().unwrap(), "1");
        assert_eq!(splitter.end(framing), End::BrokenOff { incomplete_bytes: 8 });
    }
}

#[test]
fn end_any_cut() {
    let events =
        ["id: 1\ndata: a\n\n", "x-weight-versions: 2\nid: 2\r\ndata: b\r\n\r\n", "id: 3\n\n"];
    let text = events.concat();
    let boundaries = [events[0].len(), events[0].len() + events[1].len(), text.len()];
    for cut in 0..=text.len() {
        let mut splitter = Splitter::default();
        push(&mut splitter, &text[..cut]);
        let is_whole = matches!(splitter.end(Framing::Close), End::Whole(_));
        assert_eq!(is_whole, boundaries.contains(&cut), "cut after {cut} bytes");
    }
}

#[test]
fn end_without_event() {
    let empty = End::BrokenOff { incomplete_bytes: 0 };
    assert_eq!(Splitter::default().end(Framing::Close), empty);
    assert_eq!(Splitter::default().end(Framing::Chunked), End::Whole(Bytes::new()));
}

/// An upstream that sends the caller's last event again is at the end of the stream.
#[test]
fn end_resumed_at_last_event() {
    let mut splitter = Splitter::after(Some(Bytes::from("2")));
    assert_eq!(push(&mut splitter, "id: 2\ndata: b\n\n"), "");
    assert_eq!(splitter.end(Framing::Close), End::Whole(Bytes::new()));
}

#[test]
fn end_line_breaks_after_last_event() {
    let mut splitter = Splitter::default();
    push(&mut splitter, "id: 1\n\n\r\n");
    assert_eq!(splitter.end(Framing::Close), End::Whole(Bytes::from("\r\n")));
}

#[test]
fn push_oversized_event() {
    let line = Bytes::from("data: x\n".repeat(1 << 10));
    for event_lines in [31, 32, 33] {
        let mut splitter = Splitter::default();
        let pushed = (0..event_lines).try_for_each(|_| splitter.push(&line).map(|_| ()));
        assert_eq!(pushed, if event_lines > 32 { Err(Oversized) } else { Ok(()) });
    }
}

/// Many whole events in one chunk are no oversized event.
#[test]
fn push_many_events() {
    let events: String = (0..100_000).map(|id| format!("id: {id}\n\n")).collect();
    let pushed = push(&mut Splitter::default(), &events);
    assert!(pushed == events, "{} of {} bytes", pushed.len(), events.len());
}

/// End of the last whole event, by the definition: an empty line after at least one other line.
fn last_boundary(text: &str) -> usize {
    let (mut end, mut at, mut has_line) = (0, 0, false);
    for line in text.split_inclusive('\n').filter(|line| line.ends_with('\n')) {
        at += line.len();
        if matches!(line, "\n" | "\r\n") && has_line {
            (end, has_line) = (at, false);
        } else {
            has_line = true;
        }
    }
    end
}

/// Whatever the bytes and however they are split, exactly the whole events are returned, and the
/// stream is whole only if nothing but line breaks follows them.
#[test]
fn push_any_bytes() {
    fn holds(choices: Vec<u8>, sizes: Vec<u8>) -> bool {
        let pieces = ["\n", "\r\n", "data: a", "x", "\n\n", "\r", ": comment\n"];
        let text: String =
            choices.iter().map(|at| pieces[usize::from(*at) % pieces.len()]).collect();
        let mut splitter = Splitter::default();
        let (mut rest, mut returned) = (&text[..], String::new());
        for size in sizes.iter().map(|size| usize::from(*size % 9)).chain([text.len()]) {
            let (chunk, left) = rest.split_at(rest.len().min(size));
            returned.push_str(&push(&mut splitter, chunk));
            rest = left;
        }
        let (events, rest) = text.split_at(last_boundary(&text));
        let is_whole = rest.trim_matches(['\r', '\n']).is_empty() && !events.is_empty();
        returned == events && matches!(splitter.end(Framing::Close), End::Whole(_)) == is_whole
    }
    quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
}
