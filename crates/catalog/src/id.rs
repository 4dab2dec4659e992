//! Object names, revisions and incarnations.

use std::sync::Arc;

/// A name given by an operator.
pub type Name = Arc<str>;
/// Name of an organisation.
pub type OrganisationId = Name;
/// Name of a model.
pub type ModelId = Name;
/// Name of a weight version.
pub type VersionId = Name;
/// Name of an adapter.
pub type AdapterId = Name;
/// Name of an availability zone.
pub type ZoneId = Name;
/// Name of a region.
pub type RegionId = Name;
/// Name of an upstream.
pub type UpstreamId = Name;
/// Name of a KV cache store.
pub type StoreId = Name;
/// Name of a plain service.
pub type ServiceId = Name;
/// Name of a link between two availability zones.
pub type LinkId = Name;
/// Name of a policy profile.
pub type ProfileId = Name;
/// Name of a daemon, unique for each incarnation.
pub type DaemonId = Name;
/// Number of an accepted configuration; increases monotonically.
pub type Revision = u64;
/// Number that identifies one run of an upstream's or store's process.
pub type Incarnation = u64;
