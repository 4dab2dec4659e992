//! Entries of another writer among those of the upstreams, with values that no upstream writes. The
//! instances keep running and follow later changes.

use std::time::Duration;

use acacia_standin::platform::document::MODEL;
use serde_json::{Value, json};

use crate::fixture::{self, Fixture};
use crate::raw::{self, Answer, End};

/// Levels of a deeply nested value.
const DEPTH: usize = 100_000;
/// Size of a long value, in bytes.
const LONG_BYTES: usize = 1 << 20;
/// Number of entries of another writer.
const ENTRIES: usize = 3_000;
/// Time in which an instance reads the entries and uses them.
const READ_TIME: Duration = Duration::from_secs(3);

/// The fields of a sound entry.
const FIELDS: [(&str, &str); 8] = [
    ("service", "\"app\""),
    ("address", "\"127.0.0.1:9\""),
    ("zone", "\"z1\""),
    ("version", "\"v1\""),
    ("slots", "8"),
    ("state", "\"ready\""),
    ("cold_left_ms", "0"),
    ("born", "1"),
];

/// An entry whose field `name` has the given JSON text, which need not be valid.
fn entry(name: &str, text: &str) -> Vec<u8> {
    let sound = FIELDS.into_iter().filter(|(field, _)| *field != name);
    let fields = sound.chain([(name, text)]).map(|(name, text)| format!("\"{name}\":{text}"));
    format!("{{{}}}", fields.collect::<Vec<_>>().join(",")).into_bytes()
}

/// Numbers that no upstream writes, some of which aren't valid JSON.
const NUMBERS: [&str; 16] = [
    "-1",
    "-0.0",
    "0",
    "1e300",
    "1e-300",
    "1e999999",
    "-1e999999",
    "4294967295",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "18446744073709500000000",
    "1.8446744073709549e22",
    "NaN",
    "Infinity",
    "00",
];

const ADDRESSES: [&str; 7] = [
    "\"127.0.0.1:70000\"",
    "\"127.0.0.1:0\"",
    "\"0.0.0.0:0\"",
    "\"[::1]:9\"",
    "\"[fe80::1%1]:9\"",
    "\"255.255.255.255:65535\"",
    "\"\"",
];

/// Values that another writer may leave.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| open.repeat(DEPTH) + &close.repeat(DEPTH);
    let mut values = vec![
        Vec::new(),
        b"\xff\xfe\x00".to_vec(),
        b"nothing".to_vec(),
        vec![b'x'; LONG_BYTES],
        nested("[", "]").into_bytes(),
        "[".repeat(DEPTH).into_bytes(),
        (r#"{"a":"#.repeat(DEPTH) + "1" + &"}".repeat(DEPTH)).into_bytes(),
        entry("extra", &nested("[", "]")),
        entry("extra", &"[".repeat(DEPTH)),
        entry("models", &nested("[", "]")),
        entry("zone", "\"\\ud800\""),
        entry("zone", "\"\""),
        entry("service", "\"\""),
        entry("version", &format!("{:?}", "v".repeat(LONG_BYTES))),
        entry("slots\":8,\"slots", "9"),
    ];
    for name in ["slots", "cold_left_ms", "born", "sequence", "extra"] {
        values.extend(NUMBERS.iter().map(|text| entry(name, text)));
    }
    values.extend(ADDRESSES.iter().map(|text| entry("address", text)));
    for number in NUMBERS {
        let models = format!("[{{\"name\":\"{MODEL}\",\"version\":{number}}}]");
        values.push(entry("models", &models));
    }
    values
}

/// Checks that an instance runs and follows a change made now.
async fn follows_changes(fixture: &Fixture) {
    assert!(!fixture.has_ended(0), "the process ended");
    let raw = raw::Server::start(|request| Answer {
        bytes: raw::head(request, "content-length: 5\r\n\r\nhello"),
        end: End::Close,
    })
    .await;
    fixture.register(&raw, "app");
    let answer = fixture.answer_of(&raw, "/charge/").await;
    assert_eq!(answer.status, 200);
    assert!(!fixture.has_ended(0), "the process ended");
}

/// All of them, as the watch delivers them and as a restarted instance lists them.
#[tokio::test(flavor = "multi_thread")]
async fn entry_odd_followed() {
    let mut fixture = Fixture::start(1).await;
    fixture.unregister_services();
    for (number, value) in odd_values().into_iter().enumerate() {
        fixture.store.put_bytes(&format!("servers/odd-{number}"), value);
    }
    tokio::time::sleep(READ_TIME).await;
    follows_changes(&fixture).await;
    fixture.kill_instances().await;
    follows_changes(&fixture).await;
    fixture.stop().await;
}

/// More entries than a page or the store's history holds.
#[tokio::test(flavor = "multi_thread")]
async fn entries_odd_many_followed() {
    let mut fixture = Fixture::start(1).await;
    fixture.unregister_services();
    let value = entry("extra", &("[".repeat(1_000) + &"]".repeat(1_000)));
    for number in 0..ENTRIES {
        let key = format!("servers/odd-{number}");
        match number % 3 {
            0 => fixture.store.put_bytes(&key, b"\xff\xff".to_vec()),
            1 => fixture.store.put_bytes(&key, entry("address", ADDRESSES[0])),
            _ => fixture.store.put_bytes(&key, value[..value.len() / 2].to_vec()),
        };
    }
    tokio::time::sleep(READ_TIME).await;
    follows_changes(&fixture).await;
    fixture.kill_instances().await;
    follows_changes(&fixture).await;
    fixture.stop().await;
}

/// Odd values where operators write.
#[tokio::test(flavor = "multi_thread")]
async fn operator_value_odd_followed() {
    let mut fixture = Fixture::start(1).await;
    fixture.unregister_services();
    let deep = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    for (number, version) in NUMBERS.iter().enumerate() {
        let text = format!("{{\"model\":\"x{number}\",\"version\":{version}}}");
        fixture.store.put_bytes(&format!("op/version/x{number}"), text.into_bytes());
        fixture.store.put_bytes(&format!("op/evacuate/x{number}"), version.as_bytes().to_vec());
    }
    fixture.store.put_bytes("op/version/deep", deep.clone().into_bytes());
    fixture.store.put_bytes("op/evacuate/", deep.clone().into_bytes());
    fixture.store.put_bytes("op/unknown", deep.clone().into_bytes());
    let configuration: Value = fixture.configuration(2, "key-1");
    let odd = |field: &str, text: &str| {
        let text = configuration.to_string().replacen('{', &format!("{{\"{field}\":{text},"), 1);
        fixture.store.put_bytes("op/config", text.into_bytes());
    };
    odd("extra", &deep);
    odd("routes", "[{}]");
    for number in NUMBERS {
        let mut changed = configuration.clone();
        changed["routes"][0]["timeout_ms"] = json!("number");
        let text = changed.to_string().replace("\"number\"", number);
        fixture.store.put_bytes("op/config", text.into_bytes());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(READ_TIME).await;
    fixture.store.put("op/config", &fixture.configuration(1 << 40, "key-1"));
    follows_changes(&fixture).await;
    fixture.kill_instances().await;
    follows_changes(&fixture).await;
    fixture.stop().await;
}
/// Ids that can't be named in a request: the upstream could not check whom it is meant for.
#[tokio::test(flavor = "multi_thread")]
async fn entry_id_not_sendable() {
    let fixture = Fixture::start(1).await;
    fixture.unregister_services();
    let raw = raw::Server::start(|request| Answer {
        bytes: raw::head(request, "content-length: 5\r\n\r\nhello"),
        end: End::Close,
    })
    .await;
    for id in ["", "\u{e9}", "a\r\nx-tenant: b", "a\u{0}"] {
        fixture.store.put(&format!("servers/{id}"), &raw.entry("app"));
    }
    tokio::time::sleep(READ_TIME).await;
    for number in 0..20 {
        let headers = fixture.headers(&format!("unnamed-{number}"));
        let address = fixture.address(0);
        let answer = fixture::call(address, "POST", "/charge/", &headers, b"x").await;
        assert_eq!(answer.status, 503, "no upstream is listed");
    }
    assert!(raw.requests().is_empty());
    follows_changes(&fixture).await;
    fixture.stop().await;
}
