//! Redacts secrets in documents sent to operators and restores them in documents received.

use crate::object::{Document, Object};
use crate::set::Set;

/// Placeholder for a secret.
pub const REDACTED: &str = "<redacted>";

impl Document {
    /// Replaces every secret with [`REDACTED`].
    #[must_use]
    pub fn redact(mut self) -> Self {
        for object in &mut self.objects {
            if let Object::Organisation(organisation) = object {
                REDACTED.clone_into(&mut organisation.cache_secret);
            }
        }
        self
    }

    /// Whether any secret is redacted.
    pub fn is_redacted(&self) -> bool {
        let redacted = |object: &Object| match object {
            Object::Organisation(organisation) => organisation.cache_secret == REDACTED,
            _ => false,
        };
        self.objects.iter().any(redacted)
    }

    /// Replaces [`REDACTED`] with the organisation's secret in `known`.
    ///
    /// Organisations missing from `known` stay redacted, which [`Set::check`] rejects.
    #[must_use]
    pub fn restore(mut self, known: &Set) -> Self {
        for object in &mut self.objects {
            let Object::Organisation(organisation) = object else { continue };
            if organisation.cache_secret != REDACTED {
                continue;
            }
            if let Some(old) = known.organisations.get(&organisation.name) {
                organisation.cache_secret.clone_from(&old.cache_secret);
            }
        }
        self
    }
}
