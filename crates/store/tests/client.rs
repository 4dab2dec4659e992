//! Store client with each fault of the stand-in.

use std::time::Duration;

use acacia_policy::request::BlockKey;
use acacia_standin::early::{self, LONG_BYTES};
use acacia_standin::{Counter, Fault, store};
use acacia_store::{Client, Error, Manifest, Metadata};
use bytes::Bytes;

const KEY: BlockKey = [7; 32];
const OTHER: BlockKey = [8; 32];
const BODY: Bytes = Bytes::from_static(b"the bytes of a block");

fn metadata() -> Metadata {
    Metadata { logical_bytes: 1_000, version: "v1".into() }
}

async fn start() -> (store::Handle, Client) {
    start_with(store::Settings::default()).await
}

async fn start_with(settings: store::Settings) -> (store::Handle, Client) {
    let standin = store::start(settings).await.expect("a loopback port");
    let client = Client::new(standin.address);
    (standin, client)
}

async fn start_with_block() -> (store::Handle, Client, Manifest) {
    let (standin, client) = start().await;
    let manifest = client.save(&KEY, BODY, metadata()).await.expect("a saved block");
    (standin, client, manifest)
}

#[tokio::test]
async fn save_find_fetch() {
    let (standin, client, manifest) = start_with_block().await;
    let found = client.find(&[OTHER, KEY]).await.unwrap();
    assert_eq!(found.incarnation, 1);
    assert_eq!(found.manifests, [None, Some(manifest.clone())]);
    assert_eq!(manifest.logical_bytes, 1_000);
    assert_eq!(client.fetch(&KEY, &manifest).await, Ok(BODY));
    assert_eq!(standin.count(Counter::BlockBytesRead), 1_000);
    client.remove(&KEY).await.unwrap();
    assert_eq!(client.find(&[KEY]).await.unwrap().manifests, [None]);
    assert_eq!(client.fetch(&KEY, &manifest).await, Err(Error::Missing));
}

#[tokio::test]
async fn fetch_truncated() {
    let (standin, client, manifest) = start_with_block().await;
    standin.fault(Fault::TornBlock { times: 1 }).unwrap();
    assert_eq!(client.fetch(&KEY, &manifest).await, Err(Error::Corrupt));
    assert_eq!(client.fetch(&KEY, &manifest).await, Ok(BODY));
}

#[tokio::test]
async fn fetch_overwritten() {
    let (standin, client, manifest) = start_with_block().await;
    standin.fault(Fault::OverwrittenBlock { times: 1 }).unwrap();
    assert_eq!(client.fetch(&KEY, &manifest).await, Err(Error::Corrupt));
    // Overwrites the block with other bytes, so the first manifest no longer matches.
    let later = client.save(&KEY, Bytes::from_static(b"other bytes"), metadata()).await.unwrap();
    assert_eq!(client.fetch(&KEY, &manifest).await, Err(Error::Corrupt));
    assert!(client.fetch(&KEY, &later).await.is_ok());
}

#[tokio::test]
async fn fetch_after_restart() {
    let (standin, client, manifest) = start_with_block().await;
    standin.fault(Fault::Restart).unwrap();
    let found = client.find(&[KEY]).await.unwrap();
    assert_eq!((found.incarnation, found.manifests), (2, vec![None]));
    assert_eq!(client.fetch(&KEY, &manifest).await, Err(Error::Missing));
    client.save(&KEY, BODY, metadata()).await.unwrap();
    assert_eq!(client.fetch(&KEY, &manifest).await, Err(Error::Stale));
}

#[tokio::test]
async fn find_stale_manifests() {
    let (standin, client, manifest) = start_with_block().await;
    standin.fault(Fault::StaleManifests).unwrap();
    let found = client.find(&[KEY]).await.unwrap();
    assert_eq!((found.incarnation, found.manifests), (2, vec![None]));
    assert_eq!(client.fetch(&KEY, &manifest).await, Err(Error::Missing));
}

#[tokio::test]
async fn save_full() {
    let (standin, client) = start().await;
    standin.fault(Fault::Full { on: true }).unwrap();
    assert_eq!(client.save(&KEY, BODY, metadata()).await, Err(Error::Full));
    assert_eq!(client.find(&[KEY]).await.unwrap().manifests, [None]);
    assert_eq!(standin.count(Counter::ManifestWrites), 0);
    standin.fault(Fault::Full { on: false }).unwrap();
    assert!(client.save(&KEY, BODY, metadata()).await.is_ok());
}

#[tokio::test]
async fn save_beyond_tiers() {
    let settings =
        store::Settings { memory_bytes: 1_000, disk_bytes: 1_000, ..store::Settings::default() };
    let (standin, client) = start_with(settings).await;
    let first = client.save(&KEY, BODY, metadata()).await.unwrap();
    client.save(&OTHER, BODY, metadata()).await.unwrap();
    assert_eq!(client.fetch(&KEY, &first).await, Ok(BODY));
    assert_eq!(standin.count(Counter::DiskReads), 1);
    assert_eq!(client.save(&[9; 32], BODY, metadata()).await, Err(Error::Full));
    client.remove(&OTHER).await.unwrap();
    assert!(client.save(&[9; 32], BODY, metadata()).await.is_ok());
}

#[tokio::test]
async fn save_evicts_oldest() {
    let settings = store::Settings {
        memory_bytes: 1_000,
        disk_bytes: 0,
        evicts: true,
        ..store::Settings::default()
    };
    let (_standin, client) = start_with(settings).await;
    let first = client.save(&KEY, BODY, metadata()).await.unwrap();
    client.save(&OTHER, BODY, metadata()).await.unwrap();
    assert_eq!(client.find(&[KEY]).await.unwrap().manifests, [None]);
    assert_eq!(client.fetch(&KEY, &first).await, Err(Error::Missing));
}

#[tokio::test]
async fn save_answer_lost() {
    let (standin, client) = start().await;
    standin.fault(Fault::LostAnswer { times: 1 }).unwrap();
    let lost = client.save(&KEY, BODY, metadata()).await;
    assert!(matches!(lost, Err(Error::Unreachable(_))));
    // The bytes are stored, but not readable without a manifest.
    assert_eq!(standin.count(Counter::BlockWrites), 1);
    assert_eq!(client.find(&[KEY]).await.unwrap().manifests, [None]);
}

#[tokio::test]
async fn find_unreachable() {
    let (standin, client, manifest) = start_with_block().await;
    standin.fault(Fault::Unreachable { on: true }).unwrap();
    while tokio::net::TcpStream::connect(standin.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(matches!(client.find(&[KEY]).await, Err(Error::Unreachable(_))));
    let fetched = client.fetch(&KEY, &manifest).await;
    assert!(matches!(fetched, Err(Error::Unreachable(_))));
}

#[tokio::test]
async fn fetch_frozen() {
    let (standin, client, manifest) = start_with_block().await;
    standin.fault(Fault::Frozen { on: true }).unwrap();
    let client = client.with_timeout(Duration::from_millis(20));
    let fetched = client.fetch(&KEY, &manifest).await;
    assert!(matches!(fetched, Err(Error::Unreachable(_))));
}

#[tokio::test]
async fn fetch_slow_and_down() {
    let (standin, client, manifest) = start_with_block().await;
    standin.fault(Fault::Slow { millis: 3_600_000 }).unwrap();
    let short_timeout = client.clone().with_timeout(Duration::from_millis(20));
    assert!(matches!(short_timeout.fetch(&KEY, &manifest).await, Err(Error::Unreachable(_))));
    standin.fault(Fault::Slow { millis: 0 }).unwrap();
    standin.fault(Fault::Down { on: true }).unwrap();
    assert!(matches!(client.fetch(&KEY, &manifest).await, Err(Error::Unreachable(_))));
    standin.fault(Fault::Down { on: false }).unwrap();
    assert_eq!(client.fetch(&KEY, &manifest).await, Ok(BODY));
}

/// A write counts only after the whole answer to it.
#[tokio::test]
async fn save_answer_broken_off() {
    let block = Bytes::from(vec![7; LONG_BYTES]);
    for rest in ["\r\n", "\r\n{", "content-length: 2\r\n\r\n{"] {
        let answer = format!("HTTP/1.1 200 OK\r\nx-incarnation: 1\r\n{rest}");
        let server = early::Server::start(answer).expect("a loopback port");
        let client = Client::new(server.address);
        let saved = client.save(&KEY, block.clone(), metadata()).await;
        assert!(matches!(saved, Err(Error::Unreachable(_))), "{rest:?}: {saved:?}");
        let removed = client.remove(&KEY).await;
        assert!(matches!(removed, Err(Error::Unreachable(_))), "{rest:?}: {removed:?}");
    }
}

#[tokio::test]
async fn save_answer_malformed() {
    for answer in [
        "HTTP/1.1 000 OK\r\nx-incarnation: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 999 OK\r\nx-incarnation: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-incarnation: 1\r\nx more: 1\r\ncontent-length: 0\r\n\r\n",
    ] {
        let server = early::Server::start(answer).expect("a loopback port");
        let saved = Client::new(server.address).save(&KEY, BODY, metadata()).await;
        assert!(matches!(saved, Err(Error::Unreachable(_))), "{answer:?}: {saved:?}");
    }
}
