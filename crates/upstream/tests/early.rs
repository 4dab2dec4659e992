//! Upstreams that answer before they have read a long request, or with invalid statuses.

#![expect(clippy::unwrap_used, reason = "a helper that fails fails its test")]

use std::time::Duration;

use acacia_standin::early::{LONG_BYTES, Server};
use acacia_upstream::engine::{self, Block, Completion, Prompt, format_attempt_id};
use acacia_upstream::failure::{Failure, Fault};
use acacia_upstream::pool::Pool;
use acacia_upstream::service::{self, Answer, Call};
use bytes::Bytes;
use http::{Method, StatusCode};

const ATTEMPT: u128 = 7;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Calls a service with a long body; `rest` follows the status line and the id of the attempt.
async fn call_service(status: &str, rest: &str) -> Result<Answer, Failure> {
    let id = format_attempt_id(ATTEMPT);
    let server = Server::start(format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{rest}"));
    let server = server.unwrap();
    let client = service::Client::new(Pool::new(), server.address);
    let call = Call {
        method: Method::POST,
        path: "/".to_owned(),
        content_type: None,
        idempotency_key: None,
        body: Bytes::from(vec![b'x'; LONG_BYTES]),
    };
    client.call(ATTEMPT, &call, TIMEOUT).await
}

#[tokio::test]
async fn service_until_close_reset() {
    for status in ["200 OK", "404 Not Found", "503 Busy"] {
        for rest in ["\r\nhel", "\r\n", "content-length: 5\r\n\r\nhel"] {
            let answer = call_service(status, rest).await;
            assert_eq!(answer, Err(Failure::Broken(Fault::Ended)), "{status} {rest:?}");
        }
    }
}

#[tokio::test]
async fn service_framed_reset() {
    let answer = call_service("200 OK", "content-length: 5\r\n\r\nhello").await.unwrap();
    assert_eq!((answer.status, &*answer.body), (StatusCode::OK, &b"hello"[..]));
}

/// MIXED: callers got an answer whose status was 600 or 999.
#[tokio::test]
async fn service_invalid_status() {
    for status in ["000", "099", "600", "999"] {
        let answer = call_service(status, "content-length: 5\r\n\r\nhello").await;
        assert!(matches!(answer, Err(Failure::Broken(_))), "{status}: {answer:?}");
    }
}

#[tokio::test]
async fn service_invalid_field_name() {
    for line in ["x more: 3", "x-more : 3", "x\x01more: 3", "content-length : 3"] {
        let rest = format!("{line}\r\ncontent-length: 5\r\n\r\nhello");
        let answer = call_service("200 OK", &rest).await;
        assert!(matches!(answer, Err(Failure::Broken(_))), "{line:?}: {answer:?}");
    }
}

#[tokio::test]
async fn engine_until_close_reset() {
    let completion = Completion {
        model: "m".into(),
        version: "v1".into(),
        adapter: None,
        prompt: Prompt::Text("x".repeat(LONG_BYTES).into()),
        max_tokens: 8,
        priority: 1,
        blocks: [].into(),
    };
    for status in ["200 OK", "503 Busy", "600 OK", "000 OK"] {
        for rest in ["\r\n", "\r\ndata: {}\n\n"] {
            let server = Server::start(format!("HTTP/1.1 {status}\r\n{rest}")).unwrap();
            let client = engine::Client::new(Pool::new(), server.address);
            let answer = client.complete(ATTEMPT, &completion).await;
            assert!(matches!(answer, Err(Failure::Broken(_))), "{status} {rest:?}: {answer:?}");
        }
    }
}

/// A block counts as written only after the whole answer.
#[tokio::test]
async fn engine_import_until_close_reset() {
    let block = Block {
        bytes: Bytes::from(vec![7; LONG_BYTES]),
        version: "v1".into(),
        checksum: String::new(),
        logical_bytes: 1,
    };
    for rest in ["\r\n", "content-length: 2\r\n\r\n{"] {
        let server = Server::start(format!("HTTP/1.1 200 OK\r\n{rest}")).unwrap();
        let client = engine::Client::new(Pool::new(), server.address);
        let written = client.import_block(&[7; 32], &block).await;
        assert_eq!(written, Err(Failure::Broken(Fault::Ended)), "{rest:?}");
    }
    let server = Server::start("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
    let client = engine::Client::new(Pool::new(), server.address);
    assert_eq!(client.import_block(&[7; 32], &block).await, Ok(()));
}
