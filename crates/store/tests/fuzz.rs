//! Random calls under random faults: no read ever yields a block's bytes wrongly.

use std::collections::HashMap;

use acacia_policy::request::BlockKey;
use acacia_standin::{Fault, store};
use acacia_store::{Client, Error, Manifest, Metadata};
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};

/// Seeds of one CI run.
const SEEDS: u64 = 150;
/// Steps of one story.
const LENGTH: usize = 60;
/// Keys in play.
const KEYS: u8 = 3;
/// Logical bytes of every block.
const BLOCK: u64 = 100;

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Step {
    Save {
        key: u8,
        content: u8,
    },
    Find,
    /// Reads under a manifest seen at any time, found now or long ago.
    Fetch {
        key: u8,
        pick: u8,
    },
    Remove(u8),
    Strike(Strike),
}

/// A fault.
#[derive(Clone, Copy, Debug)]
enum Strike {
    Restart,
    StaleManifests,
    Torn,
    Overwritten,
    LostAnswer,
    Full(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let key = u8::arbitrary(g) % KEYS;
        match u8::arbitrary(g) % 20 {
            0..=5 => Self::Save { key, content: u8::arbitrary(g) % 4 },
            6..=8 => Self::Find,
            9..=14 => Self::Fetch { key, pick: u8::arbitrary(g) },
            15 => Self::Remove(key),
            _ => Self::Strike(Strike::arbitrary(g)),
        }
    }
}

impl Arbitrary for Strike {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::Restart,
            1 => Self::StaleManifests,
            2 => Self::Torn,
            3 => Self::Overwritten,
            4 => Self::LostAnswer,
            5 => Self::Full(true),
            _ => Self::Full(false),
        }
    }
}

/// How often each end of a read was seen.
#[derive(Debug, Default)]
struct Seen {
    whole: u64,
    torn: u64,
    stale: u64,
    missing: u64,
    full: u64,
}

/// A store, its client, and every manifest that the client ever held.
struct Story {
    standin: store::Handle,
    client: Client,
    manifests: Vec<(BlockKey, Manifest)>,
    contents: HashMap<String, Bytes>,
}

impl Story {
    async fn new() -> Self {
        let settings = store::Settings {
            memory_bytes: BLOCK,
            disk_bytes: BLOCK,
            bytes_per_second: 0,
            scale: 10_000.0,
            ..store::Settings::default()
        };
        let standin = store::start(settings).await.expect("a loopback port");
        let client = Client::new(standin.address);
        Self { standin, client, manifests: Vec::new(), contents: HashMap::new() }
    }

    async fn step(&mut self, step: Step, seen: &mut Seen) {
        match step {
            Step::Save { key, content } => self.save(key, content, seen).await,
            Step::Find => self.find().await,
            Step::Fetch { key, pick } => self.fetch(key, pick, seen).await,
            Step::Remove(key) => self.remove(key).await,
            Step::Strike(strike) => {
                let fault = match strike {
                    Strike::Restart => Fault::Restart,
                    Strike::StaleManifests => Fault::StaleManifests,
                    Strike::Torn => Fault::TornBlock { times: 1 },
                    Strike::Overwritten => Fault::OverwrittenBlock { times: 1 },
                    Strike::LostAnswer => Fault::LostAnswer { times: 1 },
                    Strike::Full(on) => Fault::Full { on },
                };
                self.standin.fault(fault).expect("a fault of the store");
            }
        }
    }

    async fn save(&mut self, key: u8, content: u8, seen: &mut Seen) {
        let key = [key; 32];
        let bytes = Bytes::from(vec![content; usize::from(content) + 5]);
        self.contents.insert(blake3::hash(&bytes).to_hex().to_string(), bytes.clone());
        let metadata = Metadata { logical_bytes: BLOCK, version: "v1".into() };
        match self.client.save(&key, bytes, metadata).await {
            Ok(manifest) => self.manifests.push((key, manifest)),
            Err(Error::Full) => seen.full += 1,
            Err(Error::Unreachable(_)) => {}
            Err(other) => panic!("a save ended as {other}"),
        }
    }

    async fn find(&mut self) {
        let keys: Vec<BlockKey> = (0..KEYS).map(|key| [key; 32]).collect();
        let found = self.client.find(&keys).await.expect("lookups are never struck");
        assert_eq!(found.incarnation, self.standin.incarnation());
        for (key, manifest) in keys.into_iter().zip(found.manifests) {
            let Some(manifest) = manifest else { continue };
            assert_eq!(manifest.incarnation, found.incarnation);
            self.manifests.push((key, manifest));
        }
    }

    async fn fetch(&mut self, key: u8, pick: u8, seen: &mut Seen) {
        let of_key: Vec<_> = self.manifests.iter().filter(|(of, _)| *of == [key; 32]).collect();
        if of_key.is_empty() {
            return;
        }
        let (key, manifest) = of_key[usize::from(pick) % of_key.len()];
        match self.client.fetch(key, manifest).await {
            Ok(bytes) => {
                assert_eq!(bytes, self.contents[&manifest.checksum]);
                assert_eq!(manifest.incarnation, self.standin.incarnation());
                seen.whole += 1;
            }
            Err(Error::Corrupt) => seen.torn += 1,
            Err(Error::Stale) => seen.stale += 1,
            Err(Error::Missing) => seen.missing += 1,
            Err(other) => panic!("a read ended as {other}"),
        }
    }

    async fn remove(&mut self, key: u8) {
        match self.client.remove(&[key; 32]).await {
            Ok(()) | Err(Error::Unreachable(_)) => {}
            Err(other) => panic!("a removal ended as {other}"),
        }
    }
}

#[tokio::test]
async fn reads_whole_or_not_at_all() {
    let mut seen = Seen::default();
    for seed in 0..SEEDS {
        let mut random = Gen::from_size_and_seed(LENGTH, seed);
        let steps: Vec<_> = (0..LENGTH).map(|_| Step::arbitrary(&mut random)).collect();
        println!("seed {seed}: {steps:?}");
        let mut story = Story::new().await;
        for step in steps {
            story.step(step, &mut seen).await;
        }
    }
    println!("{seen:?}");
    // Every end was met, so that none of the checks above stood idle.
    let Seen { whole, torn, stale, missing, full } = seen;
    assert!([whole, torn, stale, missing, full].iter().all(|count| *count > 0));
}
