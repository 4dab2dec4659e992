//! A validated configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Problem;
use crate::check;
use crate::id::{
    AdapterId, LinkId, ModelId, OrganisationId, ProfileId, ServiceId, StoreId, UpstreamId,
    VersionId, ZoneId,
};
use crate::object::{
    Adapter, Document, Link, Model, Object, Organisation, Profile, Service, Store, Upstream,
    Version, Zone,
};

/// A configuration that passed all checks.
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
    /// Checks a document; returns the set or every problem found.
    pub fn check(document: &Document) -> Result<Self, Vec<Problem>> {
        let mut set = Self::default();
        let mut problems = Vec::new();
        for object in &document.objects {
            if !set.insert(object.clone()) {
                problems.push(check::duplicate(object));
            }
        }
        check::objects(&set, document, &mut problems);
        if problems.is_empty() { Ok(set) } else { Err(problems) }
    }

    /// Converts the set back into a document, ordered by kind and name.
    pub fn document(&self) -> Document {
        let mut objects = Vec::with_capacity(self.len());
        objects.extend(self.profiles.values().cloned().map(Object::Profile));
        objects.extend(self.zones.values().cloned().map(Object::Zone));
        objects.extend(self.links.values().cloned().map(Object::Link));
        objects.extend(self.models.values().cloned().map(Object::Model));
        objects.extend(self.versions.values().cloned().map(Object::Version));
        objects.extend(self.adapters.values().cloned().map(Object::Adapter));
        objects.extend(self.services.values().cloned().map(Object::Service));
        objects.extend(self.organisations.values().cloned().map(Object::Organisation));
        objects.extend(self.stores.values().cloned().map(Object::Store));
        objects.extend(self.upstreams.values().cloned().map(Object::Upstream));
        Document { objects }
    }

    /// Number of objects.
    pub fn len(&self) -> usize {
        self.organisations.len()
            + self.models.len()
            + self.versions.len()
            + self.adapters.len()
            + self.zones.len()
            + self.upstreams.len()
            + self.stores.len()
            + self.services.len()
            + self.links.len()
            + self.profiles.len()
    }

    /// Whether it has no objects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an object; returns `false` if it replaced one with the same name.
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
