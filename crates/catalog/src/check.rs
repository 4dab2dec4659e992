//! Validation rules of a document.
//!
//! Each object is checked against the whole set, so that all problems are found in one pass.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::Problem;
use crate::id::{Name, ZoneId};
use crate::object::{
    Adapter, Document, Link, Model, Object, Organisation, Profile, Role, Service, Store, Upstream,
    Version,
};
use crate::secret::REDACTED;
use crate::set::Set;

/// Maximum length of an object's name.
const NAME_LIMIT_BYTES: usize = 128;
/// Minimum length of an organisation's cache secret.
const SECRET_MIN_BYTES: usize = 16;
/// Number of hex digits of a Blake3 hash.
const HASH_DIGITS: usize = 64;
/// HTTP methods allowed in an operation.
const HTTP_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// The problem of an object whose name is already in use.
pub(crate) fn duplicate(object: &Object) -> Problem {
    let reason = format!("another {} has this name", object.kind());
    Problem::new(object, "name", reason, "rename or remove one of the two")
}

/// Checks all objects and appends their problems.
pub(crate) fn objects(set: &Set, document: &Document, problems: &mut Vec<Problem>) {
    let mut seen = Seen::default();
    for object in &document.objects {
        let mut check = Check { set, object, problems };
        check.name();
        match object {
            Object::Organisation(o) => check.organisation(o, &mut seen),
            Object::Model(o) => check.model(o),
            Object::Version(o) => check.version(o),
            Object::Adapter(o) => check.adapter(o),
            Object::Zone(o) => check.identifier("region", &o.region),
            Object::Upstream(o) => check.upstream(o, &mut seen),
            Object::Store(o) => check.store(o, &mut seen),
            Object::Service(o) => check.service(o),
            Object::Link(o) => check.link(o, &mut seen),
            Object::Profile(o) => check.profile(o),
        }
    }
}

/// Values that must be unique, with the object that uses them.
#[derive(Default)]
struct Seen {
    addresses: HashMap<SocketAddr, Name>,
    hashes: HashMap<String, Name>,
    pairs: HashMap<(ZoneId, ZoneId), Name>,
}

/// The check of one object.
struct Check<'a> {
    set: &'a Set,
    object: &'a Object,
    problems: &'a mut Vec<Problem>,
}

impl Check<'_> {
    fn organisation(&mut self, o: &Organisation, seen: &mut Seen) {
        self.key_hashes(o, seen);
        if o.cache_secret == REDACTED {
            let reason = "the secret is redacted, but no organisation of this name is in force";
            self.problem("cache_secret", reason, "a new organisation needs its actual secret");
        } else if o.cache_secret.len() < SECRET_MIN_BYTES {
            let reason = format!("shorter than {SECRET_MIN_BYTES} bytes");
            self.problem("cache_secret", reason, "use a random secret, such as 32 hex digits");
        }
        self.positive("weight", o.weight.into());
        self.references("models", "model", &o.models, &self.set.models);
        self.references("services", "service", &o.services, &self.set.services);
        self.reference("profile", "profile", &o.profile, &self.set.profiles);
    }

    fn key_hashes(&mut self, o: &Organisation, seen: &mut Seen) {
        if o.key_hashes.is_empty() {
            self.problem("key_hashes", "no API keys", "add the Blake3 hash, in hex, of an API key");
        }
        for (i, hash) in o.key_hashes.iter().enumerate() {
            let field = format!("key_hashes[{i}]");
            if !is_hash(hash) {
                let reason = format!("not {HASH_DIGITS} lower-case hex digits");
                self.problem(field, reason, "use the Blake3 hash of the key, not the key itself");
            } else if let Some(other) = seen.hashes.insert(hash.clone(), o.name.clone()) {
                let reason = format!("organisation `{other}` uses the same key");
                self.problem(field, reason, "use separate keys for each organisation");
            }
        }
    }

    fn model(&mut self, o: &Model) {
        self.positive("context_tokens", o.context_tokens.into());
        match self.set.versions.get(&o.serving) {
            None => self.dangling("serving", "version", &o.serving),
            Some(version) if version.model != o.name => {
                let reason =
                    format!("version `{}` belongs to model `{}`", o.serving, version.model);
                self.problem("serving", reason, "use a version of this model");
            }
            Some(_) => {}
        }
    }

    fn version(&mut self, o: &Version) {
        self.reference("model", "model", &o.model, &self.set.models);
        self.positive("bytes_per_token", o.bytes_per_token.into());
    }

    fn adapter(&mut self, o: &Adapter) {
        self.reference("version", "version", &o.version, &self.set.versions);
        if let Some(organisation) = &o.organisation {
            let organisations = &self.set.organisations;
            self.reference("organisation", "organisation", organisation, organisations);
        }
    }

    fn upstream(&mut self, o: &Upstream, seen: &mut Seen) {
        self.reference("zone", "zone", &o.zone, &self.set.zones);
        self.address(o.address, seen);
        match &o.role {
            Role::Engine { model, adapters } => {
                self.reference("role.model", "model", model, &self.set.models);
                for (i, adapter) in adapters.iter().enumerate() {
                    self.loaded_adapter(format!("role.adapters[{i}]"), adapter, model);
                }
            }
            Role::Service { service } => {
                self.reference("role.service", "service", service, &self.set.services);
            }
        }
        self.positive("slots", o.slots.into());
        self.positive("cold_limit", o.cold_limit.into());
        if o.cold_limit > o.slots {
            let reason = format!("{} exceeds the {} slots", o.cold_limit, o.slots);
            self.problem("cold_limit", reason, "set it to at most the number of slots");
        }
    }

    /// Checks an adapter that an engine of `model` has loaded.
    fn loaded_adapter(&mut self, field: String, adapter: &Name, model: &Name) {
        let Some(object) = self.set.adapters.get(adapter) else {
            return self.dangling(field, "adapter", adapter);
        };
        let Some(version) = self.set.versions.get(&object.version) else { return };
        if version.model != *model {
            let reason = format!("adapter `{adapter}` belongs to model `{}`", version.model);
            self.problem(field, reason, "use an adapter of the engine's model");
        }
    }

    fn store(&mut self, o: &Store, seen: &mut Seen) {
        self.reference("zone", "zone", &o.zone, &self.set.zones);
        self.address(o.address, seen);
        self.positive("memory_bytes", o.memory_bytes);
    }

    fn service(&mut self, o: &Service) {
        for (i, operation) in o.idempotent.iter().enumerate() {
            if !HTTP_METHODS.contains(&operation.method.as_str()) {
                let hint = format!("use one of {}", HTTP_METHODS.join(", "));
                self.problem(format!("idempotent[{i}].method"), "not an HTTP method", hint);
            }
            if !operation.path.starts_with('/') {
                let field = format!("idempotent[{i}].path");
                self.problem(field, "does not start with `/`", "write a path such as `/status/`");
            }
        }
    }

    fn link(&mut self, o: &Link, seen: &mut Seen) {
        self.reference("from", "zone", &o.from, &self.set.zones);
        self.reference("to", "zone", &o.to, &self.set.zones);
        if o.bytes_per_second == 0 {
            let hint = "set the bytes per second that KV cache transfers may use";
            self.problem("bytes_per_second", "the link has no bandwidth budget", hint);
        }
        let pair = (o.from.clone().min(o.to.clone()), o.from.clone().max(o.to.clone()));
        if let Some(other) = seen.pairs.insert(pair, o.name.clone()) {
            let reason = format!("link `{other}` connects the same availability zones");
            self.problem("to", reason, "a link applies to both directions; remove one of the two");
        }
    }

    fn profile(&mut self, o: &Profile) {
        self.positive("short_deadline_ms", o.short_deadline_ms);
        self.positive("long_deadline_ms", o.long_deadline_ms);
        self.positive("copies", o.copies.into());
    }

    fn name(&mut self) {
        let object = self.object;
        self.identifier("name", object.name());
    }

    /// Checks that a name is valid in URL paths and storage keys.
    fn identifier(&mut self, field: &str, identifier: &str) {
        let hint = "use letters, digits, `.`, `_` and `-`";
        if identifier.is_empty() {
            self.problem(field, "empty", hint);
        } else if identifier.len() > NAME_LIMIT_BYTES {
            self.problem(field, format!("longer than {NAME_LIMIT_BYTES} bytes"), "shorten it");
        } else if !identifier.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b)) {
            self.problem(field, "contains a character that is not allowed in names", hint);
        }
    }

    fn address(&mut self, address: SocketAddr, seen: &mut Seen) {
        if address.port() == 0 || address.ip().is_unspecified() {
            let hint = "use the IP address and port that daemons connect to";
            self.problem("address", "not a usable address", hint);
        }
        if let Some(other) = seen.addresses.insert(address, self.object.name().clone()) {
            let reason = format!("`{other}` has the same address");
            self.problem("address", reason, "each upstream and store needs its own address");
        }
    }

    fn positive(&mut self, field: &str, value: u64) {
        if value == 0 {
            self.problem(field, "zero", "set it to at least 1");
        }
    }

    fn references<T>(
        &mut self,
        field: &str,
        kind: &str,
        names: &[Name],
        known: &BTreeMap<Name, T>,
    ) {
        for (i, name) in names.iter().enumerate() {
            self.reference(format!("{field}[{i}]"), kind, name, known);
        }
    }

    fn reference<T>(
        &mut self,
        field: impl Into<String>,
        kind: &str,
        name: &Name,
        known: &BTreeMap<Name, T>,
    ) {
        if !known.contains_key(name) {
            self.dangling(field, kind, name);
        }
    }

    fn dangling(&mut self, field: impl Into<String>, kind: &str, name: &str) {
        let reason = format!("there is no {kind} `{name}`");
        self.problem(field, reason, format!("add the {kind} or use an existing one"));
    }

    fn problem(
        &mut self,
        field: impl Into<String>,
        reason: impl Into<String>,
        hint: impl Into<String>,
    ) {
        self.problems.push(Problem::new(self.object, field, reason, hint));
    }
}

fn is_hash(hash: &str) -> bool {
    hash.len() == HASH_DIGITS && hash.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}
