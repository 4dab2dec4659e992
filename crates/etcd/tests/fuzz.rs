//! Random calls under random faults; checks each outcome against the state of the service.

use acacia_etcd::kv::Client;
use acacia_policy::kv::{Entry, Failure, LeaseId, Outcome, Reply, Request};
use acacia_standin::{Fault, kv};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use std::time::Duration;

/// Seed of the test.
const SEED: u64 = 6;
/// Scenarios of one run.
const SCENARIOS: u64 = 150;
/// Maximum number of steps in a scenario.
const MAX_STEPS: usize = 60;
/// Number of distinct keys.
const KEYS: u8 = 3;
/// Timeout that no call reaches, even on a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A step of a scenario.
#[derive(Clone, Debug)]
enum Step {
    Get(u8),
    List,
    /// Writes a value; expects the last observed revision of the key, or a wrong one.
    Swap {
        key: u8,
        value: Option<u8>,
        is_current: bool,
        is_leased: bool,
    },
    Grant,
    Renew,
    Revoke,
    LoseAnswer,
    ExpireLeases,
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
                is_current: u8::arbitrary(g) % 4 > 0,
                is_leased: bool::arbitrary(g),
            },
            10 => Self::Grant,
            11 => Self::Renew,
            12 => Self::Revoke,
            13 => Self::LoseAnswer,
            14 => Self::ExpireLeases,
            _ => Self::Down(u8::arbitrary(g).is_multiple_of(3)),
        }
    }
}

/// A client, its service and what the client knows of it.
struct Caller {
    client: Client,
    standin: kv::Handle,
    revisions: [i64; KEYS as usize],
    lease: Option<LeaseId>,
}

impl Caller {
    async fn new() -> Self {
        let standin = kv::start(kv::Settings::default()).await.expect("a loopback port");
        let client = Client::new(vec![standin.address]).with_timeout(CALL_TIMEOUT);
        Self { client, standin, revisions: [0; KEYS as usize], lease: None }
    }

    /// Performs a step; the error describes a violation.
    async fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Get(key) => self.get(*key).await,
            Step::List => self.list().await,
            Step::Swap { key, value, is_current, is_leased } => {
                self.swap(*key, *value, *is_current, *is_leased).await
            }
            Step::Grant => {
                let outcome = self.client.call(Request::Grant { ttl: CALL_TIMEOUT * 100 }).await;
                if let Ok(Reply::Leased { lease, .. }) = outcome {
                    self.lease = Some(lease);
                }
                Ok(())
            }
            Step::Renew => self.renew().await,
            Step::Revoke => self.revoke().await,
            Step::LoseAnswer => self.fault(Fault::LostAnswer { times: 1 }),
            Step::ExpireLeases => self.fault(Fault::LeaseLapse),
            Step::Down(on) => self.fault(Fault::Down { on: *on }),
        }
    }

    fn fault(&self, fault: Fault) -> Result<(), String> {
        self.standin.fault(fault).map_err(|error| error.to_string())
    }

    fn stored(&self, key: u8) -> Option<Vec<u8>> {
        self.standin.value(&name(key))
    }

    async fn get(&mut self, key: u8) -> Result<(), String> {
        let before = self.stored(key);
        let outcome = self.client.call(Request::Get { key: name(key) }).await;
        match outcome {
            Ok(Reply::Got(entry)) => self.observe(key, entry, before),
            Err(Failure::Unavailable) => Ok(()),
            other => Err(format!("unexpected outcome of a read: {other:?}")),
        }
    }

    async fn list(&mut self) -> Result<(), String> {
        let outcome = self.client.call(Request::List { prefix: "k/".to_owned() }).await;
        match outcome {
            Ok(Reply::Listed(entries)) => {
                let stored = (0..KEYS).filter_map(|key| Some((name(key), self.stored(key)?)));
                let listed = entries.into_iter().map(|entry| (entry.key, entry.value));
                check_equal(listed.collect::<Vec<_>>(), stored.collect())
            }
            Err(Failure::Unavailable) => Ok(()),
            other => Err(format!("unexpected outcome of a list: {other:?}")),
        }
    }

    async fn swap(
        &mut self,
        key: u8,
        value: Option<u8>,
        is_current: bool,
        is_leased: bool,
    ) -> Result<(), String> {
        let before = self.stored(key);
        let new = value.map(|value| vec![value]);
        let expected = self.revisions[usize::from(key)] + i64::from(!is_current) * 1_000_000;
        let lease = self.lease.filter(|_| is_leased && new.is_some());
        let request = Request::Swap { key: name(key), expected, value: new.clone(), lease };
        let outcome = self.client.call(request).await;
        let after = self.stored(key);
        match outcome {
            Ok(Reply::Swapped(revision)) => {
                self.revisions[usize::from(key)] = if new.is_some() { revision } else { 0 };
                check_equal(after, new)
            }
            Ok(Reply::Conflict(entry)) => {
                if entry.as_ref().map_or(0, |entry| entry.revision) == expected {
                    return Err("conflict although the revision is the expected one".to_owned());
                }
                check_equal(&after, &before)?;
                self.observe(key, entry, before)
            }
            Err(Failure::Unavailable) => check_equal(after, before),
            Err(Failure::Ambiguous) if after == before || after == new => Ok(()),
            other => Err(format!("unexpected outcome of a swap: {other:?}")),
        }
    }

    async fn renew(&mut self) -> Result<(), String> {
        let Some(lease) = self.lease else { return Ok(()) };
        match self.client.call(Request::Renew { lease }).await {
            Ok(Reply::Leased { ttl, .. }) => {
                self.lease = Some(lease).filter(|_| !ttl.is_zero());
                Ok(())
            }
            outcome => check_failed(outcome),
        }
    }

    async fn revoke(&mut self) -> Result<(), String> {
        let Some(lease) = self.lease.take() else { return Ok(()) };
        match self.client.call(Request::Revoke { lease }).await {
            Ok(Reply::Revoked) => Ok(()),
            outcome => check_failed(outcome),
        }
    }

    /// Records the observed state of a key, which must equal the stored one.
    fn observe(
        &mut self,
        key: u8,
        entry: Option<Entry>,
        stored: Option<Vec<u8>>,
    ) -> Result<(), String> {
        self.revisions[usize::from(key)] = entry.as_ref().map_or(0, |entry| entry.revision);
        check_equal(entry.map(|entry| entry.value), stored)
    }
}

fn name(key: u8) -> String {
    format!("k/{key}")
}

fn check_failed(outcome: Outcome) -> Result<(), String> {
    match outcome {
        Err(Failure::Unavailable | Failure::Ambiguous) => Ok(()),
        other => Err(format!("unexpected outcome of a lease call: {other:?}")),
    }
}

fn check_equal<T: std::fmt::Debug + PartialEq>(left: T, right: T) -> Result<(), String> {
    if left == right { Ok(()) } else { Err(format!("{left:?} is not {right:?}")) }
}

async fn run(scenario: &[Step]) -> Result<(), String> {
    let mut caller = Caller::new().await;
    for (number, step) in scenario.iter().enumerate() {
        caller
            .step(step)
            .await
            .map_err(|violation| format!("step {number}, {step:?}: {violation}"))?;
    }
    Ok(())
}

/// Runs a scenario on a separate service.
fn check_scenario(scenario: Vec<Step>) -> TestResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.expect("a runtime").block_on(run(&scenario)) {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(violation),
    }
}

#[test]
fn call_random_scenarios() {
    let random = Gen::from_size_and_seed(MAX_STEPS, SEED);
    let check = check_scenario as fn(Vec<Step>) -> TestResult;
    QuickCheck::new().rng(random).tests(SCENARIOS).quickcheck(check);
}
