//! Namespaces of cached parts.
//!
//! An engine or a KV cache store finds a part only in the namespace that it was computed in. Parts on
//! other weights have another one. Each isolated organisation has one of its own, and all others share
//! one, whose name states which organisations are isolated: an organisation that becomes isolated
//! leaves its parts behind in the namespace of the time before, which nobody uses from then on, and one
//! that is shared in between finds the one that it left. So a shared namespace never holds a part of
//! an organisation that is isolated while the namespace is in use.
//!
//! Names follow from one configuration alone, whatever came before it, so that instances that have
//! just started agree with the others. A request goes by the configuration in force when it is sent,
//! not by the one that it was admitted by. While no organisation is isolated, the shared namespace is
//! named after the weights only.

use std::collections::BTreeSet;

use super::view::WeightVersion;

/// Length of the name of a set of organisations, in hexadecimal digits.
const SET_DIGITS: usize = 16;

/// The namespaces in use under one configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Namespaces {
    isolated: BTreeSet<String>,
    /// What follows the weights in the name of the shared namespace.
    shared: String,
}

impl Namespaces {
    /// The namespaces while these organisations are isolated.
    pub fn new(isolated: impl IntoIterator<Item = String>) -> Self {
        let isolated: BTreeSet<String> = isolated.into_iter().collect();
        let shared = if isolated.is_empty() { String::new() } else { set_name(&isolated) };
        Self { isolated, shared }
    }

    /// The number of isolated organisations.
    pub fn isolated(&self) -> usize {
        self.isolated.len()
    }

    /// The namespace of an organisation's parts on a version of weights.
    pub fn name(&self, weights: WeightVersion, organisation: Option<&str>) -> String {
        let isolated = organisation.filter(|organisation| self.isolated.contains(*organisation));
        format!("{weights}{}", isolated.map_or_else(|| self.shared.clone(), own_name))
    }

    /// Whether a namespace is in use, on whatever weights.
    pub fn contains(&self, name: &str) -> bool {
        let weights = name.find('/').unwrap_or(name.len());
        let rest = &name[weights..];
        rest == self.shared
            || self.isolated.iter().any(|organisation| own_name(organisation) == rest)
    }
}

/// What follows the weights in the name of an isolated organisation's namespace.
fn own_name(organisation: &str) -> String {
    // Two slashes begin the name of a set.
    let escape = if organisation.starts_with('/') { "/" } else { "" };
    format!("/{escape}{organisation}")
}

/// The same for the namespace that all but these organisations share.
fn set_name(isolated: &BTreeSet<String>) -> String {
    let mut hasher = blake3::Hasher::new();
    for organisation in isolated {
        hasher.update(&(organisation.len() as u64).to_le_bytes());
        hasher.update(organisation.as_bytes());
    }
    format!("//{}", &hasher.finalize().to_hex()[..SET_DIGITS])
}

/// The version of the weights that a namespace belongs to.
pub fn weights_of(name: &str) -> Option<WeightVersion> {
    name.split('/').next()?.parse().ok()
}
