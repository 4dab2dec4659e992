//! The configuration, the requests and the stores of the fuzz test.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use acacia_catalog::Set;
use acacia_catalog::id::{Name, StoreId};
use acacia_catalog::object::{
    AdminState, Link, Model, Operation, Organisation, Profile, Role, Service, Store, Upstream,
    Version, Zone,
};
use acacia_catalog::tokenizer::{Token, Tokenizer};
use acacia_policy::Time;
use acacia_policy::cache::chain;
use acacia_policy::dispatch::Holding;
use acacia_policy::request::{BLOCK_TOKENS, BlockKey, Call, Class, Prompt, Request, Work};
use acacia_policy::snapshot::Warmth;

use super::fake;

/// Organisations.
pub const ORGS: [&str; 3] = ["large", "small", "other"];
/// Weight versions.
pub const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Full blocks of each prompt.
const HISTORY_BLOCKS: [usize; 4] = [0, 1, 2, 4];
/// Bytes of a stored block.
const BLOCK_BYTES: u64 = 1_000;

/// Configuration, prompts and stored blocks.
pub struct Fixture {
    set: Arc<Set>,
    serving: usize,
    tokens: Vec<Arc<[Token]>>,
    block_keys: BTreeMap<(usize, usize, usize), Arc<[BlockKey]>>,
    stored: BTreeSet<(BlockKey, StoreId)>,
}

impl Fixture {
    /// The state at the start.
    pub fn new() -> Self {
        let tokens: Vec<Arc<[Token]>> = HISTORY_BLOCKS
            .iter()
            .enumerate()
            .map(|(h, blocks)| {
                let count = blocks * BLOCK_TOKENS + 10;
                (0..count).map(|t| (t * 7 + h) as Token).collect()
            })
            .collect();
        let mut block_keys = BTreeMap::new();
        for (o, org) in ORGS.iter().enumerate() {
            for (v, version) in VERSIONS.iter().enumerate() {
                for (h, tokens) in tokens.iter().enumerate() {
                    block_keys.insert((o, v, h), chain(org, "m", version, None, tokens).into());
                }
            }
        }
        let mut fixture =
            Self { set: Arc::default(), serving: 0, tokens, block_keys, stored: BTreeSet::new() };
        fixture.serve(0);
        fixture
    }

    /// The configuration.
    pub fn set(&self) -> Arc<Set> {
        Arc::clone(&self.set)
    }

    /// Serves new requests with a version.
    pub fn serve(&mut self, version: usize) {
        self.serving = version;
        self.set = Arc::new(set(VERSIONS[version]));
    }

    /// Fakes of the configuration's upstreams.
    pub fn upstreams(&self) -> Vec<fake::Upstream> {
        self.set
            .upstreams
            .values()
            .enumerate()
            .map(|(i, u)| fake::Upstream {
                name: u.name.clone(),
                is_engine: matches!(u.role, Role::Engine { .. }),
                slots: u.slots,
                cold_limit: u.cold_limit,
                incarnation: 1,
                warmth: if i % 2 == 0 { Warmth::Warm } else { Warmth::Cold },
                version: matches!(u.role, Role::Engine { .. }).then(|| "v1".into()),
                runs: Vec::new(),
            })
            .collect()
    }

    /// Builds a request.
    pub fn request(
        &self,
        kind: u8,
        org: u8,
        history: u8,
        long: bool,
        key: u8,
        deadline: Time,
    ) -> Request {
        let org = usize::from(org) % ORGS.len();
        let work = match kind % 6 {
            0..=2 => self.prompt(org, usize::from(history) % HISTORY_BLOCKS.len()),
            kind => Work::Call(Call {
                service: "s".into(),
                idempotent: kind == 3,
                key: (kind == 4).then(|| format!("key {}", key % 32).into()),
                fingerprint: [0; 32],
            }),
        };
        let class = if long { Class::Long } else { Class::Short };
        Request { organisation: ORGS[org].into(), work, class, deadline }
    }

    fn prompt(&self, org: usize, history: usize) -> Work {
        Work::Prompt(Prompt {
            model: "m".into(),
            version: VERSIONS[self.serving].into(),
            adapter: None,
            tokens: Arc::clone(&self.tokens[history]),
            blocks: Arc::clone(&self.block_keys[&(org, self.serving, history)]),
            max_tokens: 16,
        })
    }

    /// The correct keys of a prompt's blocks under a version.
    pub fn block_keys(&self, request: &Request, version: &str) -> Option<Arc<[BlockKey]>> {
        let Work::Prompt(prompt) = &request.work else { return None };
        let org = ORGS.iter().position(|o| **o == *request.organisation)?;
        let version = VERSIONS.iter().position(|v| *v == version)?;
        let history = self.tokens.iter().position(|t| Arc::ptr_eq(t, &prompt.tokens))?;
        Some(Arc::clone(&self.block_keys[&(org, version, history)]))
    }

    /// Stores exported blocks.
    pub fn save(&mut self, blocks: Vec<(BlockKey, StoreId)>) {
        self.stored.extend(blocks);
    }

    /// Removes a stored block.
    pub fn evict(&mut self, which: usize) {
        if let Some(block) = self.stored.iter().nth(which % self.stored.len().max(1)).cloned() {
            self.stored.remove(&block);
        }
    }

    /// Blocks of a prompt that stores hold.
    pub fn holdings(&self, stores: &[StoreId], blocks: &[BlockKey]) -> Vec<Holding> {
        let held = |store: &StoreId| {
            blocks
                .iter()
                .map(|b| self.stored.contains(&(*b, store.clone())).then_some(BLOCK_BYTES))
                .collect()
        };
        stores
            .iter()
            .map(|s| Holding { store: s.clone(), incarnation: 1, blocks: held(s) })
            .collect()
    }
}

fn set(serving: &str) -> Set {
    let mut set = Set::default();
    for name in ["za", "zb"] {
        set.zones.insert(
            name.into(),
            Zone { name: name.into(), region: "r".into(), state: AdminState::In },
        );
        let store = format!("store-{name}");
        set.stores.insert(store.as_str().into(), self::store(&store, name));
    }
    for org in ORGS {
        set.organisations.insert(org.into(), organisation(org));
    }
    for version in VERSIONS {
        let object = Version { name: version.into(), model: "m".into(), bytes_per_token: 1 };
        set.versions.insert(version.into(), object);
    }
    set.models.insert("m".into(), model(serving));
    set.services.insert("s".into(), service());
    set.profiles.insert("p".into(), profile());
    set.links.insert("l".into(), link());
    for i in 0..4 {
        let name: Name = format!("engine-{i}").into();
        let role = Role::Engine { model: "m".into(), adapters: Vec::new() };
        set.upstreams.insert(name.clone(), upstream(&name, i, role));
    }
    for i in 0..2 {
        let name: Name = format!("service-{i}").into();
        let role = Role::Service { service: "s".into() };
        set.upstreams.insert(name.clone(), upstream(&name, i, role));
    }
    set
}

fn upstream(name: &Name, index: usize, role: Role) -> Upstream {
    Upstream {
        name: name.clone(),
        zone: if index.is_multiple_of(2) { "za".into() } else { "zb".into() },
        address: ([127, 0, 0, 1], 1).into(),
        role,
        slots: 3,
        cold_limit: 2,
        checks_fence: true,
        state: AdminState::In,
    }
}

fn store(name: &str, zone: &str) -> Store {
    let address = ([127, 0, 0, 1], 2).into();
    Store { name: name.into(), zone: zone.into(), address, memory_bytes: 1_000, disk_bytes: 0 }
}

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.into(),
        key_hashes: Vec::new(),
        cache_secret: name.to_owned(),
        weight: 1,
        models: vec!["m".into()],
        services: vec!["s".into()],
        profile: "p".into(),
    }
}

fn model(serving: &str) -> Model {
    Model {
        name: "m".into(),
        serving: serving.into(),
        tokenizer: Tokenizer::QuadByte,
        context_tokens: 100_000,
    }
}

fn service() -> Service {
    let idempotent = vec![Operation { method: "GET".into(), path: "/".into() }];
    Service { name: "s".into(), idempotent }
}

fn profile() -> Profile {
    Profile {
        name: "p".into(),
        short_tokens: 1_000,
        short_deadline_ms: 1_000,
        long_deadline_ms: 10_000,
        recompute_weight_ms: 1_000,
        link_weight_ms: 100,
        copies: 1,
    }
}

fn link() -> Link {
    Link { name: "l".into(), from: "za".into(), to: "zb".into(), bytes_per_second: 1_000_000 }
}
