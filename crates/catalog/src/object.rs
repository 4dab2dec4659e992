//! The objects that an operator writes.

use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::id::{
    AdapterId, LinkId, ModelId, Name, OrganisationId, ProfileId, RegionId, ServiceId, StoreId,
    UpstreamId, VersionId, ZoneId,
};
use crate::tokenizer::Tokenizer;

/// A configuration as written: objects in any order.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// All objects.
    pub objects: Vec<Object>,
}

/// One named object.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, IntoStaticStr)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
#[strum(serialize_all = "snake_case")]
pub enum Object {
    /// A customer of the operators.
    Organisation(Organisation),
    /// A model that callers name.
    Model(Model),
    /// One set of weights of a model.
    Version(Version),
    /// A small set of weights on top of a version.
    Adapter(Adapter),
    /// An availability zone.
    Zone(Zone),
    /// A model engine or an instance of a plain service.
    Upstream(Upstream),
    /// A KV cache store.
    Store(Store),
    /// A plain service.
    Service(Service),
    /// The budget between two availability zones.
    Link(Link),
    /// What the operators weigh most.
    Profile(Profile),
}

impl Object {
    /// The object's kind as written.
    pub fn kind(&self) -> &'static str {
        self.into()
    }

    /// The object's name.
    pub fn name(&self) -> &Name {
        match self {
            Self::Organisation(o) => &o.name,
            Self::Model(o) => &o.name,
            Self::Version(o) => &o.name,
            Self::Adapter(o) => &o.name,
            Self::Zone(o) => &o.name,
            Self::Upstream(o) => &o.name,
            Self::Store(o) => &o.name,
            Self::Service(o) => &o.name,
            Self::Link(o) => &o.name,
            Self::Profile(o) => &o.name,
        }
    }
}

/// A customer of the operators.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// Blake3 hashes, in hex, of the API keys in force.
    pub key_hashes: Vec<String>,
    /// Secret that binds the names of its cache blocks.
    pub cache_secret: String,
    /// Share of capacity against other organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// Models that it may use.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Plain services that it may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// The profile of its requests.
    pub profile: ProfileId,
}

/// A model that callers name.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: ModelId,
    /// The version that new requests run on.
    pub serving: VersionId,
    /// How its text becomes tokens.
    #[serde(default)]
    pub tokenizer: Tokenizer,
    /// Most tokens of prompt and answer together.
    pub context_tokens: u32,
}

/// One set of weights of a model.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Its name.
    pub name: VersionId,
    /// The model it belongs to.
    pub model: ModelId,
    /// KV cache bytes of one token.
    pub bytes_per_token: u32,
}

/// A small set of weights on top of a version.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name.
    pub name: AdapterId,
    /// The version it was trained on.
    pub version: VersionId,
    /// The only organisation that may use it; all when absent.
    #[serde(default)]
    pub organisation: Option<OrganisationId>,
}

/// Whether operators let an object take new work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    JsonSchema,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Duty")]
#[strum(serialize_all = "snake_case")]
pub enum AdminState {
    /// Takes new work.
    #[default]
    In,
    /// Takes no new work; running work finishes.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: ZoneId,
    /// The region it lies in.
    pub region: RegionId,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: AdminState,
}

/// What an upstream serves.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Role {
    /// A model engine.
    Engine {
        /// The model it holds.
        model: ModelId,
        /// Adapters it holds.
        #[serde(default)]
        adapters: Vec<AdapterId>,
    },
    /// An instance of a plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// A model engine or an instance of a plain service.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its name.
    pub name: UpstreamId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Its address.
    pub address: SocketAddr,
    /// What it serves.
    pub role: Role,
    /// Requests it runs at once when warm.
    pub slots: u32,
    /// Requests it bears at once in cold start.
    pub cold_limit: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: AdminState,
}

/// A KV cache store.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Its name.
    pub name: StoreId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Its address.
    pub address: SocketAddr,
    /// Bytes of its memory tier.
    pub memory_bytes: u64,
    /// Bytes of its disk tier.
    #[serde(default)]
    pub disk_bytes: u64,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Calls that may be repeated; every other call may not.
    #[serde(default)]
    pub idempotent: Vec<Operation>,
}

/// A method and the start of a path.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The HTTP method in capitals.
    pub method: String,
    /// What the path starts with, such as `/status/`.
    pub path: String,
}

/// The budget between two availability zones, both ways.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Its name.
    pub name: LinkId,
    /// One end.
    pub from: ZoneId,
    /// The other end; the same zone for traffic within it.
    pub to: ZoneId,
    /// Bytes a second for KV cache.
    pub bytes_per_second: u64,
}

/// What the operators weigh most.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Its name.
    pub name: ProfileId,
    /// Prompts up to this many new tokens count as short.
    pub short_tokens: u32,
    /// Longest wait of a short request, in milliseconds.
    pub short_deadline_ms: u64,
    /// Longest wait of a long request, in milliseconds.
    pub long_deadline_ms: u64,
    /// Milliseconds of waiting that one second of recompute is worth.
    pub recompute_weight_ms: u32,
    /// Milliseconds of waiting that one second of link time is worth.
    pub link_weight_ms: u32,
    /// Copies of a stored piece, in different zones where it can.
    #[serde(default = "one")]
    pub copies: u32,
}

impl Profile {
    /// Longest wait of a request with `new_tokens` to compute.
    pub fn deadline(&self, new_tokens: u32) -> Duration {
        let short = new_tokens <= self.short_tokens;
        Duration::from_millis(if short { self.short_deadline_ms } else { self.long_deadline_ms })
    }
}

fn one() -> u32 {
    1
}
