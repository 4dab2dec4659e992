//! Calls of the engine protocol, apart from running attempts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use acacia_catalog::tokenizer::Token;
use acacia_policy::request::{BLOCK_TOKENS, BlockKey};
use bytes::Bytes;
use futures::stream;
use http::{Method, StatusCode};
use serde_json::json;

use super::State;
use super::answer::{Generator, weights};
use super::cache::{self, Block};
use super::run::{Attempt, Prefill, Run, Stop};
use super::wire::{Completion, Duty, Order, Progress, Reference};
use crate::counter::Counter;
use crate::exchange::{Answer, Body, Call, Disconnect, Reply};
use crate::pace::scaled;

/// Orders received.
pub struct Orders {
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    highest_fence: u64,
    by_id: HashMap<String, Progress>,
}

impl Orders {
    /// No orders received yet.
    pub fn new(checks_fence: bool) -> Self {
        Self { checks_fence, highest_fence: 0, by_id: HashMap::new() }
    }
}

impl State {
    pub(super) async fn route(self: Arc<Self>, call: Call) -> Reply {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/completions") => self.complete(&call).await,
            (&Method::POST, "/v1/resume") => self.resume(&call).await,
            (&Method::POST, "/v1/cancel") => self.cancel(&call),
            (&Method::GET, "/v1/load") => Ok(Answer::json(StatusCode::OK, &self.load_report())),
            (&Method::GET, "/v1/events") => Ok(self.events(&call)),
            (&Method::POST, "/v1/orders") => self.order(&call),
            (method, path) => {
                match (method, path.strip_prefix("/v1/kv/").and_then(cache::parse_key)) {
                    (&Method::GET, Some(key)) => self.export(&key).await,
                    (&Method::PUT, Some(key)) => self.import(&key, &call).await,
                    _ => Err(Answer::unknown_path()),
                }
            }
        }
    }

    async fn complete(self: Arc<Self>, call: &Call) -> Reply {
        let id = request_id(call)?;
        let completion: Completion = call.json()?;
        let version = self.check(&completion)?;
        let keys: Option<Vec<_>> =
            completion.block_keys.iter().map(|key| cache::parse_key(key)).collect();
        let keys = keys.ok_or_else(|| bad_request("each of block_keys must have 64 hex digits"))?;
        let tokens = completion.prompt.into_tokens();
        let guard = self.admit()?;
        let weights = weights(&version, completion.adapter.as_deref());
        let (generator, fingerprints) = hash_prompt(&weights, &tokens);
        let prefill = Prefill::new(version, keys, fingerprints);
        let attempt = Arc::new(Attempt {
            generator,
            max_tokens: completion.max_tokens,
            priority: completion.priority,
            prompt_tokens: tokens.len() as u32,
            cached_tokens: AtomicU32::new(0),
            stop: Stop::default(),
            finished: AtomicBool::new(false),
        });
        if self.attempts.lock().insert(&id, attempt.clone()) {
            self.tally.count(Counter::Duplicates);
        }
        let run = Run::start(self.clone(), guard, id, attempt, prefill, 0);
        if completion.stream {
            return Ok(streamed(run));
        }
        self.respond_complete(run).await
    }

    async fn respond_complete(&self, run: impl Future<Output = Result<Run, Disconnect>>) -> Reply {
        let answer = async { run.await?.collect().await };
        let Ok(chunk) = answer.await else { return Err(Answer::disconnect()) };
        let mut answer = Answer::json(StatusCode::OK, &chunk).with_effect();
        if self.take_truncation()
            && let Body::Complete(body) = &mut answer.body
        {
            body.truncate(body.len() / 2);
        }
        Ok(answer)
    }

    /// Checks model, version and adapter, and returns the loaded version.
    fn check(&self, completion: &Completion) -> Result<String, Answer> {
        if completion.model != self.settings.model {
            let message = format!("this engine serves `{}`", self.settings.model);
            return Err(Answer::error(StatusCode::NOT_FOUND, "unknown_model", &message));
        }
        let version = self.version.lock().clone();
        if completion.version.as_ref().is_some_and(|wanted| *wanted != version) {
            self.tally.count(Counter::WrongVersion);
            return Err(wrong_version(&version));
        }
        let adapter = completion.adapter.as_deref();
        let known = |name: &str| self.adapters.lock().iter().any(|adapter| adapter == name);
        if adapter.is_some_and(|name| !known(name)) {
            let message = "this engine has not loaded the adapter";
            return Err(Answer::error(StatusCode::NOT_FOUND, "unknown_adapter", message));
        }
        Ok(version)
    }

    async fn resume(self: Arc<Self>, call: &Call) -> Reply {
        let id = request_id(call)?;
        let reference: Reference = call.json()?;
        let unknown = || {
            let message = "this incarnation of the engine has no attempt with that id";
            Answer::error(StatusCode::NOT_FOUND, "unknown_request", message)
        };
        let before = self.attempts.lock().get(&reference.request_id).ok_or_else(unknown)?;
        if reference.offset > before.max_tokens {
            return Err(bad_request("offset exceeds the length of the answer"));
        }
        let guard = self.admit()?;
        self.tally.count(Counter::Resumed);
        let attempt = Arc::new(Attempt {
            generator: before.generator.clone(),
            max_tokens: before.max_tokens,
            priority: before.priority,
            prompt_tokens: before.prompt_tokens,
            cached_tokens: AtomicU32::new(before.cached_tokens.load(Ordering::Relaxed)),
            stop: Stop::default(),
            finished: AtomicBool::new(false),
        });
        self.attempts.lock().insert(&id, attempt.clone());
        let prefill = Prefill::done();
        Ok(streamed(Run::start(self, guard, id, attempt, prefill, reference.offset)))
    }

    fn cancel(&self, call: &Call) -> Reply {
        let reference: Reference = call.json()?;
        let attempt = self.attempts.lock().get(&reference.request_id);
        let running = attempt.filter(|attempt| !attempt.finished.load(Ordering::Relaxed));
        let cancelled = running.is_some_and(|attempt| attempt.stop.request());
        if cancelled {
            self.tally.count(Counter::Cancelled);
        }
        Ok(Answer::json(StatusCode::OK, &json!({"cancelled": cancelled})))
    }

    fn events(&self, call: &Call) -> Answer {
        let after = call.parameter("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let lag = scaled(self.settings.event_lag, self.settings.scale);
        let (next, events) = self.cache.lock().events(after, lag);
        let incarnation = self.incarnation();
        let body = json!({"incarnation": incarnation, "next": next, "events": events});
        Answer::json(StatusCode::OK, &body)
    }

    async fn export(&self, key: &BlockKey) -> Reply {
        let version = self.version();
        let block = self.cache.lock().get(key).cloned();
        let unknown =
            || Answer::error(StatusCode::NOT_FOUND, "unknown", "the block is not in the cache");
        let block = block.ok_or_else(unknown)?;
        let logical_bytes = self.block_bytes();
        self.transfer(logical_bytes).await;
        self.tally.count(Counter::Exports);
        self.tally.add(Counter::ExportedBytes, logical_bytes);
        let body = block.foreign_body.unwrap_or_else(|| cache::block_body(key, &version));
        let checksum = blake3::hash(&body).to_hex();
        Ok(Answer::bytes(StatusCode::OK, body)
            .with("x-version", version)
            .with("x-checksum", checksum)
            .with("x-logical-bytes", logical_bytes))
    }

    async fn import(&self, key: &BlockKey, call: &Call) -> Reply {
        let version = self.version();
        if call.header("x-version") != version {
            self.tally.count(Counter::WrongVersion);
            return Err(wrong_version(&version));
        }
        if call.header("x-checksum") != blake3::hash(&call.body).to_hex().as_str() {
            let message = "x-checksum does not match the BLAKE3 hash of the body";
            return Err(Answer::error(StatusCode::UNPROCESSABLE_ENTITY, "bad_checksum", message));
        }
        let incarnation = self.incarnation();
        let logical_bytes =
            call.header("x-logical-bytes").parse().unwrap_or(call.body.len() as u64);
        self.transfer(logical_bytes).await;
        if self.incarnation() != incarnation || self.version() != version {
            return Err(Answer::disconnect());
        }
        self.tally.count(Counter::Imports);
        self.tally.add(Counter::ImportedBytes, logical_bytes);
        let right = call.body == cache::block_body(key, &version);
        if !right {
            self.tally.count(Counter::WrongBlockRead);
        }
        let foreign_body = (!right).then(|| Bytes::copy_from_slice(&call.body));
        self.cache.lock().insert(*key, Block { fingerprint: None, foreign_body });
        Ok(Answer::json(StatusCode::OK, &json!({})).with_effect())
    }

    /// Logical size of a block, in bytes.
    fn block_bytes(&self) -> u64 {
        BLOCK_TOKENS as u64 * self.settings.bytes_per_token
    }

    fn order(self: &Arc<Self>, call: &Call) -> Reply {
        let order: Order = call.json()?;
        let mut orders = self.orders.lock();
        if let Some(progress) = orders.by_id.get(&order.order_id) {
            return Ok(order_answer(*progress));
        }
        let stale = order.fence < orders.highest_fence;
        if stale && orders.checks_fence {
            self.tally.count(Counter::StaleOrdersRefused);
            let message = format!(
                "fencing token is outdated; the newest received is {}",
                orders.highest_fence
            );
            return Err(Answer::error(StatusCode::CONFLICT, "stale_fence", &message));
        }
        if stale {
            self.tally.count(Counter::StaleOrdersRun);
        }
        self.tally.count(Counter::Orders);
        orders.highest_fence = orders.highest_fence.max(order.fence);
        orders.by_id.insert(order.order_id.clone(), Progress::Accepted);
        drop(orders);
        tokio::spawn(self.clone().carry_out(order));
        Ok(order_answer(Progress::Accepted))
    }

    async fn carry_out(self: Arc<Self>, order: Order) {
        match order.order {
            Duty::LoadVersion => {
                self.load_weights().await;
                *self.version.lock() = order.name;
                self.cache.lock().clear();
            }
            Duty::LoadAdapter => {
                let mut adapters = self.adapters.lock();
                if !adapters.contains(&order.name) {
                    adapters.push(order.name);
                }
            }
            Duty::SetRole => {}
        }
        self.orders.lock().by_id.insert(order.order_id, Progress::Done);
    }
}

fn order_answer(state: Progress) -> Answer {
    Answer::json(StatusCode::OK, &BTreeMap::from([("state", state)])).with_effect()
}

fn wrong_version(loaded: &str) -> Answer {
    let message = format!("version `{loaded}` is loaded");
    Answer::error(StatusCode::CONFLICT, "wrong_version", &message)
}

fn bad_request(message: &str) -> Answer {
    Answer::error(StatusCode::BAD_REQUEST, "bad_request", message)
}

fn request_id(call: &Call) -> Result<String, Answer> {
    match call.header("x-request-id") {
        "" => Err(bad_request("header x-request-id is missing")),
        id => Ok(id.to_owned()),
    }
}

/// Hashes a prompt and takes a fingerprint at the end of each full block.
fn hash_prompt(weights: &str, tokens: &[Token]) -> (Generator, Vec<u64>) {
    let mut generator = Generator::new(weights);
    let mut fingerprints = Vec::with_capacity(tokens.len() / BLOCK_TOKENS);
    for (i, token) in tokens.iter().enumerate() {
        generator.feed(*token);
        if (i + 1).is_multiple_of(BLOCK_TOKENS) {
            fingerprints.push(generator.fingerprint());
        }
    }
    (generator, fingerprints)
}

/// A stream whose headers are sent immediately and whose tokens follow once the attempt runs.
fn streamed(run: impl Future<Output = Result<Run, Disconnect>> + Send + 'static) -> Answer {
    enum Stage<F> {
        Waiting(F),
        Running(Box<Run>),
        Over,
    }
    let chunks = stream::unfold(Stage::Waiting(Box::pin(run)), |stage| async move {
        let mut run = match stage {
            Stage::Waiting(starting) => match starting.await {
                Ok(run) => Box::new(run),
                Err(error) => return Some((Err(error), Stage::Over)),
            },
            Stage::Running(run) => run,
            Stage::Over => return None,
        };
        let next = run.next().await?;
        Some((next, Stage::Running(run)))
    });
    Answer::stream("text/event-stream", chunks)
}
