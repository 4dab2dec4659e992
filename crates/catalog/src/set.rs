//! A configuration whose references all hold.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{
    AdapterId, LinkId, ModelId, Name, OrganisationId, ProfileId, ServiceId, StoreId, UpstreamId,
    VersionId, ZoneId,
};
use crate::object::{
    Adapter, Document, Link, Model, Object, Organisation, Profile, Service, Store, Upstream,
    Version, Zone,
};

/// A checked configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Set {
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Models.
    pub models: BTreeMap<ModelId, Model>,
    /// Weight versions.
    pub versions: BTreeMap<VersionId, Version>,
    /// Adapters.
    pub adapters: BTreeMap<AdapterId, Adapter>,
    /// Availability zones.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Upstreams.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// KV cache stores.
    pub stores: BTreeMap<StoreId, Store>,
    /// Plain services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Links.
    pub links: BTreeMap<LinkId, Link>,
    /// Policy profiles.
    pub profiles: BTreeMap<ProfileId, Profile>,
}

impl Set {
    /// Checks a whole document; either the set or every problem in it.
    pub fn check(document: &Document) -> Result<Self, Vec<Problem>> {
        let mut set = Self::default();
        let mut problems = Vec::new();
        for object in &document.objects {
            if !set.insert(object.clone()) {
                problems.push(Problem::new(object, "name", "another object has this name"));
            }
        }
        if problems.is_empty() { Ok(set) } else { Err(problems) }
    }

    /// Adds an object; false when its name was taken.
    fn insert(&mut self, object: Object) -> bool {
        match object {
            Object::Organisation(o) => self.organisations.insert(o.name.clone(), o).is_none(),
            Object::Model(o) => self.models.insert(o.name.clone(), o).is_none(),
            Object::Version(o) => self.versions.insert(o.name.clone(), o).is_none(),
            Object::Adapter(o) => self.adapters.insert(o.name.clone(), o).is_none(),
            Object::Zone(o) => self.zones.insert(o.name.clone(), o).is_none(),
            Object::Upstream(o) => self.upstreams.insert(o.name.clone(), o).is_none(),
            Object::Store(o) => self.stores.insert(o.name.clone(), o).is_none(),
            Object::Service(o) => self.services.insert(o.name.clone(), o).is_none(),
            Object::Link(o) => self.links.insert(o.name.clone(), o).is_none(),
            Object::Profile(o) => self.profiles.insert(o.name.clone(), o).is_none(),
        }
    }
}

/// A fault in a document.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("{kind} `{object}`, field `{field}`: {reason}")]
pub struct Problem {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub object: Name,
    /// The field at fault.
    pub field: String,
    /// What is wrong, and what to do.
    pub reason: String,
}

impl Problem {
    fn new(object: &Object, field: &str, reason: impl Into<String>) -> Self {
        Self {
            kind: object.kind().to_owned(),
            object: object.name().clone(),
            field: field.to_owned(),
            reason: reason.into(),
        }
    }
}
