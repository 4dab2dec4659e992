//! Random calls under random faults against what the service really holds.

use acacia_etcd::kv::Client;
use acacia_policy::kv::{Entry, Failure, LeaseId, Outcome, Reply, Request};
use acacia_standin::{Fault, kv};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use std::time::Duration;

/// Seed of the one CI run.
const SEED: u64 = 6;
/// Stories of one run.
const STORIES: u64 = 150;
/// Steps of one story at most.
const LENGTH: usize = 60;
/// Keys in play.
const KEYS: u8 = 3;
/// Longer than any call takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

/// One thing that happens.
#[derive(Clone, Debug)]
enum Step {
    Get(u8),
    List,
    /// Writes a value, expecting the revision last seen of the key, or a wrong one.
    Swap {
        key: u8,
        value: Option<u8>,
        right: bool,
        leased: bool,
    },
    Grant,
    Renew,
    Revoke,
    LoseAnswer,
    LapseLeases,
    Down(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let key = u8::arbitrary(g) % KEYS;
        match u8::arbitrary(g) % 16 {
            0..=2 => Self::Get(key),
            3 => Self::List,
            4..=9 => Self::Swap {
                key,
                value: Option::arbitrary(g),
                right: u8::arbitrary(g) % 4 > 0,
                leased: bool::arbitrary(g),
            },
            10 => Self::Grant,
            11 => Self::Renew,
            12 => Self::Revoke,
            13 => Self::LoseAnswer,
            14 => Self::LapseLeases,
            _ => Self::Down(u8::arbitrary(g).is_multiple_of(3)),
        }
    }
}

/// What the caller knows.
struct Caller {
    client: Client,
    standin: kv::Handle,
    revisions: [i64; KEYS as usize],
    lease: Option<LeaseId>,
}

impl Caller {
    async fn new() -> Self {
        let standin = kv::start(kv::Settings::default()).await.expect("a loopback port");
        let client = Client::new(vec![standin.address]).with_timeout(PATIENCE);
        Self { client, standin, revisions: [0; KEYS as usize], lease: None }
    }

    /// Takes a step; what was wrong with it.
    async fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Get(key) => self.get(*key).await,
            Step::List => self.list().await,
            Step::Swap { key, value, right, leased } => {
                self.swap(*key, *value, *right, *leased).await
            }
            Step::Grant => {
                let outcome = self.client.call(Request::Grant { ttl: PATIENCE * 100 }).await;
                if let Ok(Reply::Leased { lease, .. }) = outcome {
                    self.lease = Some(lease);
                }
                Ok(())
            }
            Step::Renew => self.renew().await,
            Step::Revoke => self.revoke().await,
            Step::LoseAnswer => self.fault(Fault::LostAnswer { times: 1 }),
            Step::LapseLeases => self.fault(Fault::LeaseLapse),
            Step::Down(on) => self.fault(Fault::Down { on: *on }),
        }
    }

    fn fault(&self, fault: Fault) -> Result<(), String> {
        self.standin.fault(fault).map_err(|error| error.to_string())
    }

    fn held(&self, key: u8) -> Option<Vec<u8>> {
        self.standin.value(&name(key))
    }

    async fn get(&mut self, key: u8) -> Result<(), String> {
        let before = self.held(key);
        let outcome = self.client.call(Request::Get { key: name(key) }).await;
        match outcome {
            Ok(Reply::Got(entry)) => self.see(key, entry, before),
            Err(Failure::Unavailable) => Ok(()),
            other => Err(format!("a read ended as {other:?}")),
        }
    }

    async fn list(&mut self) -> Result<(), String> {
        let outcome = self.client.call(Request::List { prefix: "k/".to_owned() }).await;
        match outcome {
            Ok(Reply::Listed(entries)) => {
                let held = (0..KEYS).filter_map(|key| Some((name(key), self.held(key)?)));
                let listed = entries.into_iter().map(|entry| (entry.key, entry.value));
                same(listed.collect::<Vec<_>>(), held.collect())
            }
            Err(Failure::Unavailable) => Ok(()),
            other => Err(format!("a list ended as {other:?}")),
        }
    }

    async fn swap(
        &mut self,
        key: u8,
        value: Option<u8>,
        right: bool,
        leased: bool,
    ) -> Result<(), String> {
        let before = self.held(key);
        let new = value.map(|value| vec![value]);
        let expected = self.revisions[usize::from(key)] + i64::from(!right) * 1_000_000;
        let lease = self.lease.filter(|_| leased && new.is_some());
        let request = Request::Swap { key: name(key), expected, value: new.clone(), lease };
        let outcome = self.client.call(request).await;
        let after = self.held(key);
        match outcome {
            Ok(Reply::Swapped(revision)) => {
                self.revisions[usize::from(key)] = if new.is_some() { revision } else { 0 };
                same(after, new)
            }
            Ok(Reply::Conflict(entry)) => {
                if entry.as_ref().map_or(0, |entry| entry.revision) == expected {
                    return Err("a conflict with the revision expected".to_owned());
                }
                same(&after, &before)?;
                self.see(key, entry, before)
            }
            Err(Failure::Unavailable) => same(after, before),
            Err(Failure::Ambiguous) if after == before || after == new => Ok(()),
            other => Err(format!("a swap ended as {other:?}")),
        }
    }

    async fn renew(&mut self) -> Result<(), String> {
        let Some(lease) = self.lease else { return Ok(()) };
        match self.client.call(Request::Renew { lease }).await {
            Ok(Reply::Leased { ttl, .. }) => {
                self.lease = Some(lease).filter(|_| !ttl.is_zero());
                Ok(())
            }
            outcome => failed(outcome),
        }
    }

    async fn revoke(&mut self) -> Result<(), String> {
        let Some(lease) = self.lease.take() else { return Ok(()) };
        match self.client.call(Request::Revoke { lease }).await {
            Ok(Reply::Revoked) => Ok(()),
            outcome => failed(outcome),
        }
    }

    /// Learns a key's state, which must be the one held.
    fn see(&mut self, key: u8, entry: Option<Entry>, held: Option<Vec<u8>>) -> Result<(), String> {
        self.revisions[usize::from(key)] = entry.as_ref().map_or(0, |entry| entry.revision);
        same(entry.map(|entry| entry.value), held)
    }
}

fn name(key: u8) -> String {
    format!("k/{key}")
}

fn failed(outcome: Outcome) -> Result<(), String> {
    match outcome {
        Err(Failure::Unavailable | Failure::Ambiguous) => Ok(()),
        other => Err(format!("a lease call ended as {other:?}")),
    }
}

fn same<T: std::fmt::Debug + PartialEq>(left: T, right: T) -> Result<(), String> {
    if left == right { Ok(()) } else { Err(format!("{left:?} is not {right:?}")) }
}

async fn play(story: &[Step]) -> Result<(), String> {
    let mut caller = Caller::new().await;
    for (number, step) in story.iter().enumerate() {
        caller.step(step).await.map_err(|wrong| format!("step {number}, {step:?}: {wrong}"))?;
    }
    Ok(())
}

/// Plays a story on a service of its own.
fn holds(story: Vec<Step>) -> TestResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.expect("a runtime").block_on(play(&story)) {
        Ok(()) => TestResult::passed(),
        Err(wrong) => TestResult::error(wrong),
    }
}

#[test]
fn outcomes_true() {
    let random = Gen::from_size_and_seed(LENGTH, SEED);
    let check = holds as fn(Vec<Step>) -> TestResult;
    QuickCheck::new().rng(random).tests(STORIES).quickcheck(check);
}
