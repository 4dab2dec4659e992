//! Hiding secrets in what operators read, and putting them back in what they write.

use crate::object::{Document, Object};
use crate::set::Set;

/// What stands in place of a secret.
pub const REDACTED: &str = "<redacted>";

impl Document {
    /// Replaces every secret by [`REDACTED`].
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

    /// Puts the secrets of `known` back where this document has [`REDACTED`].
    ///
    /// An organisation that `known` lacks stays redacted, which [`Set::check`] refuses.
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
