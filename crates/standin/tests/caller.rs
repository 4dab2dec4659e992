//! Callers judge the answers that they receive.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::time::Duration;

use acacia_standin::platform::caller::{Caller, Ending, Operation, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Sends a request to a peer that answers with a chunked body, and closes the connection after its
/// end if there is one.
async fn ending(operation: Operation, body: &str, end: &str) -> Ending {
    ending_with(operation, "200 OK", body, end).await
}

/// The same, with a status.
async fn ending_with(operation: Operation, status: &str, body: &str, end: &str) -> Ending {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = Caller::new(vec![listener.local_addr().unwrap()]).unwrap();
    let head = "x-request-id: r\r\ntransfer-encoding: chunked\r\n\r\n";
    let answer = format!("HTTP/1.1 {status}\r\n{head}{:x}\r\n{body}\r\n{end}", body.len());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_buf(&mut Vec::new()).await.unwrap();
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let timeout = Duration::from_secs(20);
    let resource = operation.resource();
    let (id, key) = ("r".to_owned(), "k".to_owned());
    let request = Request { id, key, operation, resource, timeout, retries: 0 };
    caller.send(&request).await.ending
}

fn prompt() -> Operation {
    Operation::Prompt { parts: vec![("a".to_owned(), 10)], output: 2 }
}

const END: &str = "0\r\n\r\n";

#[tokio::test]
async fn send_whole_answer() {
    let events = "id: 1\ndata: r 1\n\nid: 2\ndata: r 2\n\n";
    assert_eq!(ending(prompt(), events, END).await, Ending::Complete);
    assert_eq!(ending(Operation::Read, "GET /read/x 0", END).await, Ending::Complete);
}

#[tokio::test]
async fn send_answer_cut_without_end() {
    let event = "id: 1\ndata: r 1\n\n";
    assert!(matches!(ending(prompt(), event, "").await, Ending::Broken(_)));
    assert!(matches!(ending(Operation::Read, "GET", "").await, Ending::Broken(_)));
}

#[tokio::test]
async fn send_refusal_whole_or_cut() {
    let status = "503 Service Unavailable";
    let refused = Ending::Refused { status: 503, not_run: true };
    assert_eq!(ending_with(Operation::Read, status, "full", END).await, refused);
    let cut = ending_with(Operation::Read, status, "full", "").await;
    assert!(matches!(cut, Ending::Broken(_)));
}

#[tokio::test]
async fn send_long_prompt() {
    let long = Operation::LongPrompt { parts: vec![("a".to_owned(), 10)], output: 1 };
    assert_eq!(ending(long.clone(), "id: 1\ndata: r 1\n\n", END).await, Ending::Complete);
    assert!(matches!(ending(long, "id: 1\n", END).await, Ending::Wrong(_)));
}

/// Regression: an answer that was cut but framed as complete was taken for one that was broken off.
#[tokio::test]
async fn send_answer_cut_but_complete() {
    for events in ["id: 1\ndata: r 1\n\n", "id: 1\ndata: r 1\n\nid: 2\ndata"] {
        assert!(matches!(ending(prompt(), events, END).await, Ending::Wrong(_)), "{events:?}");
    }
    assert!(matches!(ending(Operation::Read, "GET /read", END).await, Ending::Wrong(_)));
}
