//! Size and configuration of a system of stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use acacia_catalog::id::{Name, ZoneId};
use acacia_catalog::object::{
    AdminState, Document, Link, Model, Object, Operation, Organisation, Profile, Role, Service,
    Store, Upstream, Version, Zone,
};
use acacia_catalog::tokenizer::Tokenizer;

use crate::load::workload::{ORGANISATIONS, User};

/// The model that every engine serves.
pub const MODEL: &str = "recorder";
/// The weight version that engines start with.
pub const VERSION: &str = "recorder-1";
/// The plain service.
pub const SERVICE: &str = "desk";
/// The region of every availability zone.
const REGION: &str = "west";
/// Most tokens in a prompt and its answer together.
const CONTEXT_TOKENS: u32 = 200_000;
/// KV cache size of one token.
pub const BYTES_PER_TOKEN: u32 = 100_000;

/// Size of a system of stand-ins.
#[derive(Clone, Debug, PartialEq)]
pub struct Layout {
    /// Availability zones.
    pub zones: usize,
    /// Entry instances.
    pub daemons: usize,
    /// Model engines.
    pub engines: usize,
    /// Instances of the plain service.
    pub services: usize,
    /// KV cache stores.
    pub stores: usize,
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Requests that an engine can run in cold start.
    pub cold_limit: u32,
    /// Tokens that fit in an engine's cache.
    pub engine_cache_tokens: u64,
    /// Size of a store's memory tier, in bytes.
    pub store_bytes: u64,
    /// Bandwidth of the link between two zones, in bytes per second.
    pub link_bytes: u64,
    /// The profile of every organisation.
    pub profile: Profile,
}

impl Layout {
    /// A user's system at its present size.
    pub fn of(user: User) -> Self {
        let (zones, services, stores) = match user {
            User::Actas => (4, 4, 2),
            User::Ferreira => (3, 3, 2),
        };
        Self {
            zones,
            daemons: 9,
            engines: 9,
            services,
            stores,
            slots: 16,
            cold_limit: 2,
            engine_cache_tokens: 80_000,
            store_bytes: 800_000_000_000,
            link_bytes: 6_000_000_000,
            profile: profile(user),
        }
    }

    /// A small system for the demo.
    pub fn small() -> Self {
        Self {
            zones: 2,
            daemons: 3,
            engines: 3,
            services: 1,
            stores: 2,
            engine_cache_tokens: 60_000,
            ..Self::of(User::Actas)
        }
    }

    /// Name of the zone for the component with this index; components alternate between zones.
    pub fn zone(&self, index: usize) -> ZoneId {
        name("zone", index % self.zones)
    }

    /// Configuration of a system with components at these addresses.
    pub fn document(&self, addresses: &Addresses) -> Document {
        let mut objects = Vec::new();
        objects.push(Object::Profile(self.profile.clone()));
        objects.extend((0..self.zones).map(|i| Object::Zone(self.zone_object(i))));
        objects.extend(self.links().map(Object::Link));
        objects.extend(weights());
        objects.extend((0..ORGANISATIONS).map(|i| Object::Organisation(self.organisation(i))));
        objects.extend(addresses.engines.iter().enumerate().map(|(i, a)| self.engine(i, *a)));
        objects.extend(
            addresses.services.iter().enumerate().map(|(i, a)| self.service_instance(i, *a)),
        );
        objects.extend(addresses.stores.iter().enumerate().map(|(i, a)| self.store(i, *a)));
        Document { objects }
    }

    fn zone_object(&self, index: usize) -> Zone {
        Zone { name: self.zone(index), region: Arc::from(REGION), state: AdminState::In }
    }

    fn links(&self) -> impl Iterator<Item = Link> {
        let pairs = (0..self.zones).flat_map(move |a| (a..self.zones).map(move |b| (a, b)));
        pairs.map(move |(a, b)| Link {
            name: Arc::from(format!("link-{a}-{b}")),
            from: self.zone(a),
            to: self.zone(b),
            bytes_per_second: if a == b { self.link_bytes * 4 } else { self.link_bytes },
        })
    }

    fn organisation(&self, index: usize) -> Organisation {
        Organisation {
            name: name("organisation", index),
            key_hashes: vec![blake3::hash(key(index).as_bytes()).to_hex().to_string()],
            cache_secret: format!("cache secret of organisation {index} in the emulated system"),
            weight: 1,
            models: vec![Arc::from(MODEL)],
            services: vec![Arc::from(SERVICE)],
            profile: self.profile.name.clone(),
        }
    }

    fn engine(&self, index: usize, address: SocketAddr) -> Object {
        Object::Upstream(Upstream {
            name: name("engine", index),
            zone: self.zone(index),
            address,
            role: Role::Engine { model: Arc::from(MODEL), adapters: Vec::new() },
            slots: self.slots,
            cold_limit: self.cold_limit,
            checks_fence: true,
            state: AdminState::In,
        })
    }

    fn service_instance(&self, index: usize, address: SocketAddr) -> Object {
        Object::Upstream(Upstream {
            name: name(SERVICE, index),
            zone: self.zone(index),
            address,
            role: Role::Service { service: Arc::from(SERVICE) },
            slots: self.slots * 4,
            cold_limit: self.cold_limit,
            checks_fence: false,
            state: AdminState::In,
        })
    }

    fn store(&self, index: usize, address: SocketAddr) -> Object {
        Object::Store(Store {
            name: name("store", index),
            zone: self.zone(index),
            address,
            memory_bytes: self.store_bytes,
            disk_bytes: 0,
        })
    }
}

/// Addresses of the external systems.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Addresses {
    /// Model engines.
    pub engines: Vec<SocketAddr>,
    /// Instances of the plain service.
    pub services: Vec<SocketAddr>,
    /// KV cache stores.
    pub stores: Vec<SocketAddr>,
}

/// The API key of an organisation of the system of stand-ins.
pub fn key(organisation: usize) -> String {
    format!("emulated-key-{organisation}")
}

fn name(stem: &str, index: usize) -> Name {
    Arc::from(format!("{stem}-{index}"))
}

fn weights() -> [Object; 3] {
    let model = Model {
        name: Arc::from(MODEL),
        serving: Arc::from(VERSION),
        tokenizer: Tokenizer::QuadByte,
        context_tokens: CONTEXT_TOKENS,
    };
    let version = Version {
        name: Arc::from(VERSION),
        model: Arc::from(MODEL),
        bytes_per_token: BYTES_PER_TOKEN,
    };
    let idempotent = vec![Operation { method: "GET".to_owned(), path: "/status/".to_owned() }];
    let service = Service { name: Arc::from(SERVICE), idempotent };
    [Object::Model(model), Object::Version(version), Object::Service(service)]
}

fn profile(user: User) -> Profile {
    let base = Profile {
        name: Arc::from(user.to_string()),
        short_tokens: 1_000,
        short_deadline_ms: 30_000,
        long_deadline_ms: 120_000,
        recompute_weight_ms: 0,
        link_weight_ms: 0,
        copies: 1,
    };
    match user {
        User::Actas => Profile { copies: 2, ..base },
        User::Ferreira => Profile {
            long_deadline_ms: 600_000,
            recompute_weight_ms: 2_000,
            link_weight_ms: 1_000,
            ..base
        },
    }
}
