//! The objects of a configuration.

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
    /// A customer.
    Organisation(Organisation),
    /// A model that callers can request.
    Model(Model),
    /// A version of a model's weights.
    Version(Version),
    /// An adapter that extends a weight version.
    Adapter(Adapter),
    /// An availability zone.
    Zone(Zone),
    /// A model engine or an instance of a plain service.
    Upstream(Upstream),
    /// A KV cache store.
    Store(Store),
    /// A plain service.
    Service(Service),
    /// The bandwidth budget between two availability zones.
    Link(Link),
    /// Deadlines and cost weights for an organisation's requests.
    Profile(Profile),
}

impl Object {
    /// The object's kind, as spelled in a document.
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

/// A customer.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// Blake3 hashes, in hex, of the valid API keys.
    pub key_hashes: Vec<String>,
    /// Secret that the keys of its cache blocks are derived from.
    pub cache_secret: String,
    /// Share of capacity relative to other organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// Models that it may use.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Plain services that it may call.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// The policy profile of its requests.
    pub profile: ProfileId,
}

/// A model that callers can request.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: ModelId,
    /// The version that new requests run on.
    pub serving: VersionId,
    /// How its text is tokenized.
    #[serde(default)]
    pub tokenizer: Tokenizer,
    /// Maximum number of tokens of prompt and answer together.
    pub context_tokens: u32,
}

/// A version of a model's weights.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Its name.
    pub name: VersionId,
    /// The model it belongs to.
    pub model: ModelId,
    /// Bytes that one token takes in the KV cache.
    pub bytes_per_token: u32,
}

/// An adapter that extends a weight version.
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

/// Whether an object takes new work, as set by operators.
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
    /// Takes no new work; running requests finish.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: ZoneId,
    /// Its region.
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
        /// The model that it runs.
        model: ModelId,
        /// Adapters that it has loaded.
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
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its IP address and port.
    pub address: SocketAddr,
    /// What it serves.
    pub role: Role,
    /// Maximum number of concurrent requests when warm.
    pub slots: u32,
    /// Maximum number of concurrent requests during a cold start.
    pub cold_limit: u32,
    /// Whether it refuses orders with an outdated fencing token.
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
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its IP address and port.
    pub address: SocketAddr,
    /// Size of its memory tier, in bytes.
    pub memory_bytes: u64,
    /// Size of its disk tier, in bytes.
    #[serde(default)]
    pub disk_bytes: u64,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Operations that may be retried; all others may not.
    #[serde(default)]
    pub idempotent: Vec<Operation>,
}

/// An HTTP method and a path prefix.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The HTTP method in upper case.
    pub method: String,
    /// The path prefix, such as `/status/`.
    pub path: String,
}

/// The bandwidth budget between two availability zones, in both directions.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Its name.
    pub name: LinkId,
    /// One end.
    pub from: ZoneId,
    /// The other end; the same zone for traffic within it.
    pub to: ZoneId,
    /// Bytes per second for KV cache transfers.
    pub bytes_per_second: u64,
}

/// Deadlines and cost weights for an organisation's requests.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Its name.
    pub name: ProfileId,
    /// Prompts with at most this many uncached tokens count as short.
    pub short_tokens: u32,
    /// Maximum queueing time of a short request, in milliseconds.
    pub short_deadline_ms: u64,
    /// Maximum queueing time of a long request, in milliseconds.
    pub long_deadline_ms: u64,
    /// Milliseconds of waiting that weigh as much as one second of recomputation.
    pub recompute_weight_ms: u32,
    /// Milliseconds of waiting that weigh as much as one second of link time.
    pub link_weight_ms: u32,
    /// Number of copies of a stored block, in different zones where possible.
    #[serde(default = "one")]
    pub copies: u32,
}

impl Profile {
    /// Maximum queueing time of a request with `new_tokens` uncached tokens.
    pub fn deadline(&self, new_tokens: u32) -> Duration {
        let short = new_tokens <= self.short_tokens;
        Duration::from_millis(if short { self.short_deadline_ms } else { self.long_deadline_ms })
    }
}

fn one() -> u32 {
    1
}
