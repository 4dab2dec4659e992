//! Key-value client with each fault of the stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use acacia_etcd::count::Kind;
use acacia_etcd::kv::Client;
use acacia_policy::kv::{Failure, Outcome, Reply, Request};
use acacia_standin::early::{self, LONG_BYTES};
use acacia_standin::{Counter, Fault, kv};

/// Timeout that no call reaches, even on a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

async fn start() -> (kv::Handle, Client) {
    start_with(kv::Settings::default()).await
}

async fn start_with(settings: kv::Settings) -> (kv::Handle, Client) {
    let standin = kv::start(settings).await.expect("a loopback port");
    let client = Client::new(vec![standin.address]).with_timeout(CALL_TIMEOUT);
    (standin, client)
}

fn get(key: &str) -> Request {
    Request::Get { key: key.to_owned() }
}

fn swap(key: &str, expected: i64, value: &str) -> Request {
    swap_bytes(key, expected, value.as_bytes().to_vec())
}

fn swap_bytes(key: &str, expected: i64, value: Vec<u8>) -> Request {
    Request::Swap { key: key.to_owned(), expected, value: Some(value), lease: None }
}

async fn swap_ok(client: &Client, request: Request) -> i64 {
    match client.call(request).await {
        Ok(Reply::Swapped(revision)) => revision,
        other => panic!("unexpected outcome of a swap: {other:?}"),
    }
}

async fn value(client: &Client, key: &str) -> Option<String> {
    match client.call(get(key)).await {
        Ok(Reply::Got(entry)) => entry.map(|e| String::from_utf8(e.value).expect("text")),
        other => panic!("unexpected outcome of a read: {other:?}"),
    }
}

#[tokio::test]
async fn swap_creates_changes_deletes() {
    let (standin, client) = start().await;
    assert_eq!(value(&client, "a").await, None);
    let first = swap_ok(&client, swap("a", 0, "one")).await;
    let second = swap_ok(&client, swap("a", first, "two")).await;
    assert!(second > first);
    assert_eq!(value(&client, "a").await.as_deref(), Some("two"));
    let delete = Request::Swap { key: "a".to_owned(), expected: second, value: None, lease: None };
    swap_ok(&client, delete).await;
    assert_eq!(value(&client, "a").await, None);
    assert_eq!(client.counts().get(Kind::Swap), 3);
    assert_eq!(standin.count(Counter::Writes), 3);
    assert_eq!(standin.count(Counter::Calls), client.counts().calls());
}

#[tokio::test]
async fn swap_conflict_returns_entry() {
    let (standin, client) = start().await;
    let first = swap_ok(&client, swap("a", 0, "one")).await;
    for expected in [0, first + 7] {
        let Ok(Reply::Conflict(Some(entry))) = client.call(swap("a", expected, "no")).await else {
            panic!("no conflict");
        };
        assert_eq!((entry.value.as_slice(), entry.revision), (b"one".as_slice(), first));
    }
    let absent = client.call(swap("b", 5, "no")).await;
    assert_eq!(absent, Ok(Reply::Conflict(None)));
    assert_eq!(standin.count(Counter::Writes), 1);
    assert_eq!(standin.count(Counter::Conflicts), 3);
}

#[tokio::test]
async fn list_prefix() {
    let (_standin, client) = start().await;
    for key in ["a", "b/1", "b/2", "b0", "c"] {
        swap_ok(&client, swap(key, 0, key)).await;
    }
    let listed = client.call(Request::List { prefix: "b/".to_owned() }).await;
    let Ok(Reply::Listed(entries)) = listed else { panic!("the list failed") };
    let keys: Vec<_> = entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["b/1", "b/2"]);
}

#[tokio::test]
async fn swap_too_large() {
    let (standin, client) = start().await;
    let request = swap_bytes("a", 0, vec![0; (1 << 20) + 1]);
    assert_eq!(client.call(request).await, Err(Failure::TooLarge));
    swap_ok(&client, swap_bytes("a", 0, vec![0; 1 << 20])).await;
    assert_eq!(standin.count(Counter::Writes), 1);
}

#[tokio::test]
async fn lease_expiry_removes_keys() {
    let (standin, client) = start().await;
    let grant = client.call(Request::Grant { ttl: Duration::from_millis(59_500) }).await;
    let Ok(Reply::Leased { lease, ttl }) = grant else { panic!("no lease") };
    assert_eq!(ttl, Duration::from_secs(60));
    let request = Request::Swap {
        key: "a".to_owned(),
        expected: 0,
        value: Some(vec![1]),
        lease: Some(lease),
    };
    swap_ok(&client, request).await;
    let renewed = client.call(Request::Renew { lease }).await;
    assert_eq!(renewed, Ok(Reply::Leased { lease, ttl }));
    standin.fault(Fault::LeaseLapse).unwrap();
    assert_eq!(client.call(get("a")).await, Ok(Reply::Got(None)));
    let gone = client.call(Request::Renew { lease }).await;
    assert_eq!(gone, Ok(Reply::Leased { lease, ttl: Duration::ZERO }));
    assert_eq!(standin.count(Counter::Expiries), 1);
}

#[tokio::test]
async fn revoke_removes_keys() {
    let (_standin, client) = start().await;
    let grant = client.call(Request::Grant { ttl: CALL_TIMEOUT }).await;
    let Ok(Reply::Leased { lease, .. }) = grant else { panic!("no lease") };
    let request = Request::Swap {
        key: "a".to_owned(),
        expected: 0,
        value: Some(vec![1]),
        lease: Some(lease),
    };
    swap_ok(&client, request).await;
    assert_eq!(client.call(Request::Revoke { lease }).await, Ok(Reply::Revoked));
    assert_eq!(value(&client, "a").await, None);
}

#[tokio::test]
async fn watch_change() {
    let (standin, client) = start().await;
    let first = swap_ok(&client, swap("a", 0, "one")).await;
    let watch = Request::Watch { key: "a".to_owned(), after: first };
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.call(watch).await }
    });
    while standin.count(Counter::Watches) == 0 {
        tokio::task::yield_now().await;
    }
    swap_ok(&client, swap("other", 0, "x")).await;
    let second = swap_ok(&client, swap("a", first, "two")).await;
    let Ok(Reply::Got(Some(entry))) = waiting.await.unwrap() else { panic!("no change seen") };
    assert_eq!((entry.value.as_slice(), entry.revision), (b"two".as_slice(), second));
    assert_eq!(standin.count(Counter::Watches), 1);
}

#[tokio::test]
async fn watch_missed_change() {
    let (_standin, client) = start().await;
    let first = swap_ok(&client, swap("a", 0, "one")).await;
    let second = swap_ok(&client, swap("a", first, "two")).await;
    let third = swap_ok(&client, swap("a", second, "three")).await;
    let watch = Request::Watch { key: "a".to_owned(), after: first };
    let Ok(Reply::Got(Some(entry))) = client.call(watch).await else { panic!("no change seen") };
    assert_eq!((entry.value.as_slice(), entry.revision), (b"three".as_slice(), third));
    let delete = Request::Swap { key: "a".to_owned(), expected: third, value: None, lease: None };
    swap_ok(&client, delete).await;
    let watch = Request::Watch { key: "a".to_owned(), after: third };
    assert_eq!(client.call(watch).await, Ok(Reply::Got(None)));
}

#[tokio::test]
async fn watch_timeout_reads_once() {
    let (standin, client) = start().await;
    let first = swap_ok(&client, swap("a", 0, "one")).await;
    let client = client.with_watch_timeout(Duration::from_millis(20));
    let watch = Request::Watch { key: "a".to_owned(), after: first };
    let Ok(Reply::Got(Some(entry))) = client.call(watch).await else { panic!("not read") };
    assert_eq!(entry.revision, first);
    assert_eq!(standin.count(Counter::Ranges), 1);
}

#[tokio::test]
async fn watch_interrupted() {
    let (standin, client) = start().await;
    let watch = Request::Watch { key: "a".to_owned(), after: 0 };
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.call(watch).await }
    });
    while standin.count(Counter::Watches) == 0 {
        tokio::task::yield_now().await;
    }
    standin.fault(Fault::Unreachable { on: true }).unwrap();
    assert_eq!(waiting.await.unwrap(), Err(Failure::Unavailable));
}

#[tokio::test]
async fn swap_answer_lost() {
    let (standin, client) = start().await;
    standin.fault(Fault::LostAnswer { times: 1 }).unwrap();
    assert_eq!(client.call(swap("a", 0, "one")).await, Err(Failure::Ambiguous));
    assert_eq!(standin.value("a").as_deref(), Some(b"one".as_slice()));
    assert_eq!(client.counts().get(Kind::Ambiguous), 1);
    assert_eq!(client.counts().get(Kind::Swap), 1);
    assert_eq!(value(&client, "a").await.as_deref(), Some("one"));
}

#[tokio::test]
async fn swap_answers_lost_twice() {
    let (standin, client) = start().await;
    standin.fault(Fault::LostAnswer { times: 2 }).unwrap();
    for key in ["a", "b"] {
        assert_eq!(client.call(swap(key, 0, "one")).await, Err(Failure::Ambiguous));
        assert_eq!(standin.value(key).as_deref(), Some(b"one".as_slice()));
    }
    assert_eq!(standin.count(Counter::AnswersLost), 2);
}

#[tokio::test]
async fn call_down() {
    let (standin, client) = start().await;
    standin.fault(Fault::Down { on: true }).unwrap();
    assert_eq!(client.call(swap("a", 0, "one")).await, Err(Failure::Unavailable));
    assert_eq!(client.call(get("a")).await, Err(Failure::Unavailable));
    assert_eq!(client.counts().get(Kind::Unavailable), 2);
    standin.fault(Fault::Down { on: false }).unwrap();
    assert_eq!(value(&client, "a").await, None);
}

#[tokio::test]
async fn call_refused_connection() {
    let (standin, client) = start().await;
    standin.fault(Fault::Unreachable { on: true }).unwrap();
    while tokio::net::TcpStream::connect(standin.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert_eq!(client.call(swap("a", 0, "one")).await, Err(Failure::Unavailable));
    standin.fault(Fault::Unreachable { on: false }).unwrap();
    while client.call(get("a")).await == Err(Failure::Unavailable) {
        tokio::task::yield_now().await;
    }
    assert_eq!(value(&client, "a").await, None);
}

#[tokio::test]
async fn call_frozen() {
    let (standin, client) = start().await;
    let client = client.with_timeout(Duration::from_millis(50));
    standin.fault(Fault::Frozen { on: true }).unwrap();
    assert_eq!(client.call(swap("a", 0, "one")).await, Err(Failure::Ambiguous));
    assert_eq!(client.call(get("a")).await, Err(Failure::Unavailable));
}

#[tokio::test]
async fn call_above_rate() {
    let settings = kv::Settings { writes_per_second: 1, ..kv::Settings::default() };
    let (standin, client) = start_with(settings).await;
    let mut refused = 0;
    for n in 0..5 {
        let outcome = client.call(swap(&format!("k{n}"), 0, "x")).await;
        refused += u64::from(outcome == Err(Failure::Unavailable));
    }
    assert!(refused > 0);
    assert_eq!(standin.count(Counter::Refused), refused);
    assert_eq!(standin.count(Counter::Writes), 5 - refused);
}

#[tokio::test]
async fn call_not_run_tries_next_endpoint() {
    let (standin, _) = start().await;
    let closed: SocketAddr = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let client = Client::new(vec![closed, standin.address]).with_timeout(CALL_TIMEOUT);
    swap_ok(&client, swap("a", 0, "one")).await;
    assert_eq!(client.counts().get(Kind::Swap), 2);
    // The endpoint that answered is now tried first.
    assert_eq!(value(&client, "a").await.as_deref(), Some("one"));
    assert_eq!(client.counts().get(Kind::Get), 1);
}

#[tokio::test]
async fn call_ambiguous_tries_one_endpoint() {
    let (first, _) = start().await;
    let (second, _) = start().await;
    first.fault(Fault::LostAnswer { times: 1 }).unwrap();
    let client = Client::new(vec![first.address, second.address]).with_timeout(CALL_TIMEOUT);
    assert_eq!(client.call(swap("a", 0, "one")).await, Err(Failure::Ambiguous));
    assert_eq!(second.count(Counter::Calls), 0);
}

#[tokio::test]
async fn watch_lease_expiry() {
    // The time scale makes a lease of an hour expire in a third of a second.
    let settings = kv::Settings { scale: 10_000.0, ..kv::Settings::default() };
    let (standin, client) = start_with(settings).await;
    let ttl = Duration::from_secs(3_600);
    let mut granted = 0;
    let revision = loop {
        let Ok(Reply::Leased { lease, .. }) = client.call(Request::Grant { ttl }).await else {
            panic!("no lease")
        };
        granted += 1;
        // On a slow machine the lease may have expired already.
        if let Ok(Reply::Swapped(revision)) = client.call(swap_leased("a", lease)).await {
            break revision;
        }
    };
    let watch = Request::Watch { key: "a".to_owned(), after: revision };
    assert_eq!(client.call(watch).await, Ok(Reply::Got(None)));
    assert_eq!(standin.count(Counter::Expiries), granted);
}

fn swap_leased(key: &str, lease: i64) -> Request {
    let (key, value) = (key.to_owned(), Some(vec![1]));
    Request::Swap { key, expected: 0, value, lease: Some(lease) }
}

#[tokio::test]
async fn swap_expired_lease() {
    let (standin, client) = start().await;
    let Ok(Reply::Leased { lease, .. }) = client.call(Request::Grant { ttl: CALL_TIMEOUT }).await
    else {
        panic!("no lease")
    };
    standin.fault(Fault::LeaseLapse).unwrap();
    assert_eq!(client.call(swap_leased("a", lease)).await, Err(Failure::Unavailable));
    assert_eq!((value(&client, "a").await, standin.count(Counter::Writes)), (None, 0));
}

#[tokio::test]
async fn watch_compacted_reads_once() {
    let settings = kv::Settings { history: 2, ..kv::Settings::default() };
    let (standin, client) = start_with(settings).await;
    let first = swap_ok(&client, swap("a", 0, "one")).await;
    for key in ["b", "c", "d"] {
        swap_ok(&client, swap(key, 0, "x")).await;
    }
    let watch = Request::Watch { key: "a".to_owned(), after: first };
    let Ok(Reply::Got(Some(entry))) = client.call(watch).await else { panic!("not read") };
    assert_eq!(entry.revision, first);
    assert_eq!((standin.count(Counter::Watches), standin.count(Counter::Ranges)), (1, 1));
}

#[tokio::test]
async fn watch_absent_key_waits_for_creation() {
    let (standin, client) = start().await;
    let first = swap_ok(&client, swap("a", 0, "old")).await;
    let delete = Request::Swap { key: "a".to_owned(), expected: first, value: None, lease: None };
    swap_ok(&client, delete).await;
    let watch = Request::Watch { key: "a".to_owned(), after: 0 };
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.call(watch).await }
    });
    while standin.count(Counter::Watches) == 0 {
        tokio::task::yield_now().await;
    }
    let second = swap_ok(&client, swap("a", 0, "new")).await;
    let Ok(Reply::Got(Some(entry))) = waiting.await.unwrap() else { panic!("no change seen") };
    assert_eq!((entry.value.as_slice(), entry.revision), (b"new".as_slice(), second));
}

#[tokio::test]
async fn call_slow() {
    let (standin, client) = start().await;
    standin.fault(Fault::Slow { millis: 3_600_000 }).unwrap();
    let short_timeout = client.clone().with_timeout(Duration::from_millis(20));
    assert_eq!(short_timeout.call(swap("a", 0, "one")).await, Err(Failure::Ambiguous));
    assert_eq!(short_timeout.call(get("a")).await, Err(Failure::Unavailable));
    standin.fault(Fault::Slow { millis: 1 }).unwrap();
    swap_ok(&client, swap("b", 0, "one")).await;
    assert_eq!(standin.count(Counter::Writes), 1);
}

#[tokio::test]
async fn call_thawed() {
    let (standin, client) = start().await;
    standin.fault(Fault::Frozen { on: true }).unwrap();
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.call(swap("a", 0, "one")).await }
    });
    while standin.count(Counter::Calls) == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(standin.value("a"), None);
    standin.fault(Fault::Frozen { on: false }).unwrap();
    assert!(matches!(waiting.await.unwrap(), Ok(Reply::Swapped(_))));
}

/// Makes a long write at a server that answers early.
async fn swap_answered(answer: &str) -> Outcome {
    let server = early::Server::start(answer.to_owned()).expect("a loopback port");
    let client = Client::new(vec![server.address]).with_timeout(CALL_TIMEOUT);
    client.call(swap_bytes("a", 0, vec![b'x'; LONG_BYTES])).await
}

/// After an answer that breaks off or is malformed, the write may have been executed.
#[tokio::test]
async fn swap_answer_broken() {
    let body = r#"{"succeeded": true, "header": {"revision": "7"}, "responses": []}"#;
    let framed = format!("content-length: {}\r\n\r\n{body}", body.len());
    for answer in [
        format!("HTTP/1.1 200 OK\r\n\r\n{body}"),
        "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{body}"),
        format!("HTTP/1.1 000 OK\r\n{framed}"),
        format!("HTTP/1.1 999 OK\r\n{framed}"),
        format!("HTTP/1.1 200 OK\r\nx more: 1\r\n{framed}"),
        format!("HTTP/1.1 200 OK\r\ncontent-length : 3\r\n{framed}"),
    ] {
        assert_eq!(swap_answered(&answer).await, Err(Failure::Ambiguous), "{answer:?}");
    }
    let whole = swap_answered(&format!("HTTP/1.1 200 OK\r\n{framed}")).await;
    assert_eq!(whole, Ok(Reply::Swapped(7)));
}
