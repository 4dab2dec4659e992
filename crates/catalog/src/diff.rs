//! Differences between two sets.
//!
//! Secrets are never exposed: a changed secret appears with both of its values redacted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::id::Name;
use crate::object::Object;
use crate::secret::REDACTED;
use crate::set::Set;

/// A difference in one object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Difference {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: Name,
    /// What changed in it.
    pub change: Change,
}

/// What changed in an object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The object is new.
    Added,
    /// The object was removed.
    Removed,
    /// These fields changed.
    Altered(Vec<Field>),
}

/// A changed field.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Field {
    /// Name of the field.
    pub field: String,
    /// The old value; null when absent.
    pub before: Value,
    /// The new value; null when absent.
    pub after: Value,
}

/// Lists the changes from `before` to `after`, ordered by kind and name.
pub fn diff(before: &Set, after: &Set) -> Vec<Difference> {
    let (before, after) = (by_name(before), by_name(after));
    let added = after.iter().filter(|(key, _)| !before.contains_key(*key));
    let mut differences: Vec<Difference> =
        added.map(|(_, object)| difference(object, Change::Added)).collect();
    for (key, old) in &before {
        match after.get(key) {
            None => differences.push(difference(old, Change::Removed)),
            Some(new) if new != old => {
                differences.push(difference(old, Change::Altered(fields(old, new))));
            }
            Some(_) => {}
        }
    }
    differences.sort_by(|a, b| (&a.kind, &a.name).cmp(&(&b.kind, &b.name)));
    differences
}

fn by_name(set: &Set) -> BTreeMap<(&'static str, Name), Object> {
    let objects = set.document().objects;
    objects.into_iter().map(|o| ((o.kind(), o.name().clone()), o)).collect()
}

fn difference(object: &Object, change: Change) -> Difference {
    Difference { kind: object.kind().to_owned(), name: object.name().clone(), change }
}

/// The fields that differ between two versions of an object.
fn fields(old: &Object, new: &Object) -> Vec<Field> {
    let (old, new) = (values(old), values(new));
    let keys = old.keys().chain(new.keys().filter(|key| !old.contains_key(*key)));
    let value = |map: &serde_json::Map<String, Value>, key: &str| {
        map.get(key).cloned().unwrap_or(Value::Null)
    };
    let pairs = keys.map(|key| (key.clone(), value(&old, key), value(&new, key)));
    let differing = pairs.filter(|(_, before, after)| before != after);
    differing.map(|(field, before, after)| redact(Field { field, before, after })).collect()
}

fn values(object: &Object) -> serde_json::Map<String, Value> {
    match serde_json::to_value(object) {
        Ok(Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    }
}

fn redact(field: Field) -> Field {
    if field.field != "cache_secret" {
        return field;
    }
    Field { before: REDACTED.into(), after: REDACTED.into(), ..field }
}
