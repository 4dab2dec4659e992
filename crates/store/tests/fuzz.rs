//! Random calls under random faults: no read ever returns wrong bytes.

use std::collections::HashMap;

use acacia_policy::request::BlockKey;
use acacia_standin::{Fault, store};
use acacia_store::{Client, Error, Manifest, Metadata};
use bytes::Bytes;
use quickcheck::{Arbitrary, Gen};

/// Scenarios of one run; each has its own seed.
const SCENARIOS: u64 = 150;
/// Steps in a scenario.
const STEPS: usize = 60;
/// Number of distinct keys.
const KEYS: u8 = 3;
/// Logical size of each block.
const BLOCK_BYTES: u64 = 100;

/// A step of a scenario.
#[derive(Clone, Copy, Debug)]
enum Step {
    Save {
        key: u8,
        content: u8,
    },
    Find,
    /// Reads a block with any manifest received so far, which may be outdated.
    Fetch {
        key: u8,
        pick: u8,
    },
    Remove(u8),
    Inject(InjectedFault),
}

/// A fault injected into the store.
#[derive(Clone, Copy, Debug)]
enum InjectedFault {
    Restart,
    StaleManifests,
    Truncated,
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
            _ => Self::Inject(InjectedFault::arbitrary(g)),
        }
    }
}

impl Arbitrary for InjectedFault {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::Restart,
            1 => Self::StaleManifests,
            2 => Self::Truncated,
            3 => Self::Overwritten,
            4 => Self::LostAnswer,
            5 => Self::Full(true),
            _ => Self::Full(false),
        }
    }
}

/// Number of calls per outcome.
#[derive(Debug, Default)]
struct Outcomes {
    intact: u64,
    corrupt: u64,
    stale: u64,
    missing: u64,
    full: u64,
}

/// A store, its client, and all manifests and contents that the client has received or written.
struct Scenario {
    standin: store::Handle,
    client: Client,
    manifests: Vec<(BlockKey, Manifest)>,
    contents: HashMap<String, Bytes>,
}

impl Scenario {
    async fn new() -> Self {
        let settings = store::Settings {
            memory_bytes: BLOCK_BYTES,
            disk_bytes: BLOCK_BYTES,
            bytes_per_second: 0,
            scale: 10_000.0,
            ..store::Settings::default()
        };
        let standin = store::start(settings).await.expect("a loopback port");
        let client = Client::new(standin.address);
        Self { standin, client, manifests: Vec::new(), contents: HashMap::new() }
    }

    async fn step(&mut self, step: Step, outcomes: &mut Outcomes) {
        match step {
            Step::Save { key, content } => self.save(key, content, outcomes).await,
            Step::Find => self.find().await,
            Step::Fetch { key, pick } => self.fetch(key, pick, outcomes).await,
            Step::Remove(key) => self.remove(key).await,
            Step::Inject(fault) => {
                let fault = match fault {
                    InjectedFault::Restart => Fault::Restart,
                    InjectedFault::StaleManifests => Fault::StaleManifests,
                    InjectedFault::Truncated => Fault::TornBlock { times: 1 },
                    InjectedFault::Overwritten => Fault::OverwrittenBlock { times: 1 },
                    InjectedFault::LostAnswer => Fault::LostAnswer { times: 1 },
                    InjectedFault::Full(on) => Fault::Full { on },
                };
                self.standin.fault(fault).expect("a fault of the store");
            }
        }
    }

    async fn save(&mut self, key: u8, content: u8, outcomes: &mut Outcomes) {
        let key = [key; 32];
        let bytes = Bytes::from(vec![content; usize::from(content) + 5]);
        self.contents.insert(blake3::hash(&bytes).to_hex().to_string(), bytes.clone());
        let metadata = Metadata { logical_bytes: BLOCK_BYTES, version: "v1".into() };
        match self.client.save(&key, bytes, metadata).await {
            Ok(manifest) => self.manifests.push((key, manifest)),
            Err(Error::Full) => outcomes.full += 1,
            Err(Error::Unreachable(_)) => {}
            Err(other) => panic!("unexpected error of a save: {other}"),
        }
    }

    async fn find(&mut self) {
        let keys: Vec<BlockKey> = (0..KEYS).map(|key| [key; 32]).collect();
        let found = self.client.find(&keys).await.expect("no fault affects lookups");
        assert_eq!(found.incarnation, self.standin.incarnation());
        for (key, manifest) in keys.into_iter().zip(found.manifests) {
            let Some(manifest) = manifest else { continue };
            assert_eq!(manifest.incarnation, found.incarnation);
            self.manifests.push((key, manifest));
        }
    }

    async fn fetch(&mut self, key: u8, pick: u8, outcomes: &mut Outcomes) {
        let candidates: Vec<_> =
            self.manifests.iter().filter(|(owner, _)| *owner == [key; 32]).collect();
        if candidates.is_empty() {
            return;
        }
        let (key, manifest) = candidates[usize::from(pick) % candidates.len()];
        match self.client.fetch(key, manifest).await {
            Ok(bytes) => {
                assert_eq!(bytes, self.contents[&manifest.checksum]);
                assert_eq!(manifest.incarnation, self.standin.incarnation());
                outcomes.intact += 1;
            }
            Err(Error::Corrupt) => outcomes.corrupt += 1,
            Err(Error::Stale) => outcomes.stale += 1,
            Err(Error::Missing) => outcomes.missing += 1,
            Err(other) => panic!("unexpected error of a read: {other}"),
        }
    }

    async fn remove(&mut self, key: u8) {
        match self.client.remove(&[key; 32]).await {
            Ok(()) | Err(Error::Unreachable(_)) => {}
            Err(other) => panic!("unexpected error of a removal: {other}"),
        }
    }
}

#[tokio::test]
async fn fetch_random_scenarios() {
    let mut outcomes = Outcomes::default();
    for seed in 0..SCENARIOS {
        let mut random = Gen::from_size_and_seed(STEPS, seed);
        let steps: Vec<_> = (0..STEPS).map(|_| Step::arbitrary(&mut random)).collect();
        println!("seed {seed}: {steps:?}");
        let mut scenario = Scenario::new().await;
        for step in steps {
            scenario.step(step, &mut outcomes).await;
        }
    }
    println!("{outcomes:?}");
    // Every outcome occurred, so all checks above were exercised.
    let Outcomes { intact, corrupt, stale, missing, full } = outcomes;
    assert!([intact, corrupt, stale, missing, full].iter().all(|count| *count > 0));
}
