//! Generates example documents of a given size, deterministic for a seed.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use strum::{Display, EnumString, VariantNames};

use crate::id::Name;
use crate::object::{
    Adapter, AdminState, Document, Link, Model, Object, Operation, Organisation, Profile, Role,
    Service, Store, Upstream, Version, Zone,
};
use crate::tokenizer::Tokenizer;

/// Bytes that one token takes in the KV cache.
const BYTES_PER_TOKEN: u32 = 128 << 10;
/// Maximum number of tokens of prompt and answer together.
const CONTEXT_TOKENS: u32 = 262_144;
/// Concurrent requests of a warm engine.
const ENGINE_SLOTS: u32 = 32;
/// Concurrent requests of an engine during a cold start.
const ENGINE_COLD_LIMIT: u32 = 4;
/// Concurrent requests of a warm instance of a plain service.
const SERVICE_SLOTS: u32 = 64;
/// Concurrent requests of an instance of a plain service during a cold start.
const SERVICE_COLD_LIMIT: u32 = 8;
/// Size of a store's memory tier.
const STORE_MEMORY_BYTES: u64 = 256 << 30;
/// Size of a store's disk tier.
const STORE_DISK_BYTES: u64 = 4 << 40;
/// Bandwidth within an availability zone.
const INTRA_ZONE_BYTES_PER_SECOND: u64 = 2_000_000_000;
/// Bandwidth between availability zones of one region.
const INTER_ZONE_BYTES_PER_SECOND: u64 = 500_000_000;
/// Bandwidth between regions.
const INTER_REGION_BYTES_PER_SECOND: u64 = 50_000_000;
/// One in this many organisations is large.
const LARGE_EVERY: usize = 5;
/// Capacity share of a large organisation.
const LARGE_WEIGHT: u32 = 8;
/// Port of all generated addresses.
const PORT: u16 = 8_000;
/// IPv4 address that is incremented for each object: 10.0.0.1.
const BASE_ADDRESS: u32 = 0x0a00_0001;

/// Predefined sizes of the target deployments.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Size {
    /// The current size of the Actas deployment.
    Actas,
    /// The current size of the Ferreira deployment.
    Ferreira,
    /// The expected size of both deployments together in two years.
    TwoYears,
}

impl Size {
    /// The number of objects of each kind.
    pub fn plan(self) -> Plan {
        match self {
            Self::Actas => Plan {
                profiles: vec![actas()],
                models: names(["summary", "query"]),
                services: vec![service("subscriptions"), service("delivery")],
                regions: 1,
                zones: 4,
                organisations: 10,
                engines: 9,
                instances: 4,
                stores: 2,
            },
            Self::Ferreira => Plan {
                profiles: vec![ferreira()],
                models: names(["assessment", "tagging"]),
                services: vec![service("bookings"), service("charges")],
                regions: 1,
                zones: 3,
                organisations: 10,
                engines: 9,
                instances: 3,
                stores: 2,
            },
            Self::TwoYears => Plan {
                profiles: vec![actas(), ferreira()],
                models: (1..=22).map(|i| name("model", i)).collect(),
                services: (1..=20).map(|i| service(&name("service", i))).collect(),
                regions: 5,
                zones: 11,
                organisations: 1_000,
                engines: 9_000,
                instances: 1_000,
                stores: 110,
            },
        }
    }
}

/// The contents of a generated document.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Profiles, assigned to organisations round-robin.
    pub profiles: Vec<Profile>,
    /// Models, assigned to engines round-robin.
    pub models: Vec<Name>,
    /// Plain services, assigned to instances round-robin.
    pub services: Vec<Service>,
    /// Number of regions.
    pub regions: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of instances of plain services.
    pub instances: usize,
    /// Number of KV cache stores.
    pub stores: usize,
}

impl Plan {
    /// Generates the document; `seed` determines the cache secrets.
    pub fn document(&self, seed: u64) -> Document {
        let mut objects = Vec::new();
        objects.extend(self.profiles.iter().cloned().map(Object::Profile));
        objects.extend((0..self.zones).map(|i| Object::Zone(self.zone(i))));
        objects.extend(self.links().map(Object::Link));
        objects.extend(self.models.iter().map(|m| Object::Model(model(m))));
        objects.extend(self.models.iter().map(|m| Object::Version(version(m))));
        objects.extend(self.models.first().map(|m| Object::Adapter(adapter(m))));
        objects.extend(self.services.iter().cloned().map(Object::Service));
        objects.extend((1..=self.organisations).map(|i| self.organisation(i, seed)));
        objects.extend((1..=self.stores).map(|i| self.store(i)));
        objects.extend((1..=self.engines).map(|i| self.engine(i)));
        objects.extend((1..=self.instances).map(|i| self.instance(i)));
        Document { objects }
    }

    fn zone(&self, index: usize) -> Zone {
        let region = name("region", index % self.regions + 1);
        Zone { name: name("zone", index + 1), region, state: AdminState::In }
    }

    fn links(&self) -> impl Iterator<Item = Link> {
        let ends = (0..self.zones).flat_map(|to| (0..=to).map(move |from| (from, to)));
        ends.map(|(from, to)| {
            let bytes_per_second = if from == to {
                INTRA_ZONE_BYTES_PER_SECOND
            } else if from % self.regions == to % self.regions {
                INTER_ZONE_BYTES_PER_SECOND
            } else {
                INTER_REGION_BYTES_PER_SECOND
            };
            let (from, to) = (name("zone", from + 1), name("zone", to + 1));
            Link { name: format!("{from}.{to}").into(), from, to, bytes_per_second }
        })
    }

    fn organisation(&self, number: usize, seed: u64) -> Object {
        let large = number % LARGE_EVERY == 1;
        let name = name("organisation", number);
        Object::Organisation(Organisation {
            key_hashes: vec![blake3::hash(api_key(&name).as_bytes()).to_hex().to_string()],
            cache_secret: secret(&name, seed),
            weight: if large { LARGE_WEIGHT } else { 1 },
            models: self.models.clone(),
            services: self.services.iter().map(|s| s.name.clone()).collect(),
            profile: self.profiles[number % self.profiles.len()].name.clone(),
            name,
        })
    }

    fn store(&self, number: usize) -> Object {
        Object::Store(Store {
            name: name("store", number),
            zone: self.zone_of(number),
            address: address(number),
            memory_bytes: STORE_MEMORY_BYTES,
            disk_bytes: STORE_DISK_BYTES,
        })
    }

    fn engine(&self, number: usize) -> Object {
        let first = number <= self.models.len();
        let model = self.models[number % self.models.len()].clone();
        let has_adapter = first && model == self.models[0];
        let adapters = if has_adapter { vec![adapter(&model).name] } else { Vec::new() };
        Object::Upstream(Upstream {
            name: name("engine", number),
            zone: self.zone_of(number),
            address: address(self.stores + number),
            role: Role::Engine { model, adapters },
            slots: ENGINE_SLOTS,
            cold_limit: ENGINE_COLD_LIMIT,
            checks_fence: number.is_multiple_of(2),
            state: AdminState::In,
        })
    }

    fn instance(&self, number: usize) -> Object {
        let service = self.services[number % self.services.len()].name.clone();
        Object::Upstream(Upstream {
            name: name("instance", number),
            zone: self.zone_of(number),
            address: address(self.stores + self.engines + number),
            role: Role::Service { service },
            slots: SERVICE_SLOTS,
            cold_limit: SERVICE_COLD_LIMIT,
            checks_fence: false,
            state: AdminState::In,
        })
    }

    fn zone_of(&self, number: usize) -> Name {
        name("zone", number % self.zones + 1)
    }
}

/// The API key of a generated organisation; predictable, so not for production use.
pub fn api_key(organisation: &str) -> String {
    format!("example-key-of-{organisation}")
}

fn actas() -> Profile {
    Profile {
        name: "actas".into(),
        short_tokens: 2_000,
        short_deadline_ms: 5_000,
        long_deadline_ms: 30_000,
        recompute_weight_ms: 100,
        link_weight_ms: 50,
        copies: 2,
    }
}

fn ferreira() -> Profile {
    Profile {
        name: "ferreira".into(),
        short_tokens: 1_000,
        short_deadline_ms: 10_000,
        long_deadline_ms: 300_000,
        recompute_weight_ms: 2_000,
        link_weight_ms: 1_000,
        copies: 1,
    }
}

fn service(name: &str) -> Service {
    let status = Operation { method: "GET".to_owned(), path: "/status/".to_owned() };
    Service { name: name.into(), idempotent: vec![status] }
}

fn model(name: &Name) -> Model {
    Model {
        name: name.clone(),
        serving: version(name).name,
        tokenizer: Tokenizer::QuadByte,
        context_tokens: CONTEXT_TOKENS,
    }
}

fn version(model: &Name) -> Version {
    let name = format!("{model}-v1").into();
    Version { name, model: model.clone(), bytes_per_token: BYTES_PER_TOKEN }
}

fn adapter(model: &Name) -> Adapter {
    let name = format!("{model}-v1-adapter").into();
    Adapter { name, version: version(model).name, organisation: None }
}

fn secret(organisation: &str, seed: u64) -> String {
    let mut hasher = blake3::Hasher::new_derive_key("acacia example cache secret");
    hasher.update(&seed.to_le_bytes());
    hasher.update(organisation.as_bytes());
    hasher.finalize().to_hex().to_string()
}

fn address(number: usize) -> SocketAddr {
    let number = u32::try_from(number).unwrap_or(u32::MAX - BASE_ADDRESS);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(BASE_ADDRESS + number)), PORT)
}

fn name(prefix: &str, number: usize) -> Name {
    format!("{prefix}-{number}").into()
}

fn names<const N: usize>(names: [&str; N]) -> Vec<Name> {
    names.map(Name::from).to_vec()
}
