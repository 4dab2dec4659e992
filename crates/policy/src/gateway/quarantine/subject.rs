//! What may be the cause of a crash under a request: its subjects. A subject under which an upstream
//! has crashed is a suspect.

use strum::{Display, IntoStaticStr};

use super::SuspectKey;
use crate::gateway::call::{Call, PartId};
use crate::gateway::gossip::stable_hash;

/// What a restriction is about.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A shared part of prompts.
    Part,
    /// A request as a whole.
    Request,
}

/// What holds a request back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A shared part of its prompt, by position from one.
    Part(usize),
    /// The request as a whole.
    Request,
}

/// What may crash an upstream that begins to run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Subjects {
    /// Parts that other requests may contain.
    parts: Vec<(SuspectKey, PartId)>,
    request: SuspectKey,
}

/// One of a request's subjects.
#[derive(Clone, Copy, Debug)]
pub(super) struct Subject<'a> {
    pub key: SuspectKey,
    pub cause: Cause,
    pub part: Option<&'a PartId>,
}

impl Subjects {
    /// The subjects of a request of a caller, by its organisation or its key.
    pub fn new(caller: Option<&str>, call: &Call) -> Self {
        let shared = call.prompt.iter().flat_map(|prompt| {
            let key = |id: &PartId| stable_hash(&(&prompt.model, id));
            prompt.shared().iter().map(move |part| (key(&part.id), part.id.clone()))
        });
        Self { parts: shared.collect(), request: request_key(caller, call) }
    }

    /// The key that a caller's repeats of the request have in common.
    pub fn request(&self) -> SuspectKey {
        self.request
    }

    /// Ids of the parts that other requests may contain.
    pub fn part_ids(&self) -> impl Iterator<Item = &PartId> {
        self.parts.iter().map(|(_, id)| id)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = SuspectKey> + '_ {
        self.iter().map(|subject| subject.key)
    }

    pub(super) fn contains(&self, key: SuspectKey) -> bool {
        self.keys().any(|known| known == key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = Subject<'_>> {
        let part = |(at, (key, id))| {
            let (key, id): (&SuspectKey, &PartId) = (key, id);
            Subject { key: *key, cause: Cause::Part(at + 1), part: Some(id) }
        };
        let parts = self.parts.iter().map(|(key, id)| (key, id)).enumerate().map(part);
        parts.chain([Subject { key: self.request, cause: Cause::Request, part: None }])
    }
}

impl Cause {
    pub(super) fn kind(self) -> Kind {
        match self {
            Self::Part(_) => Kind::Part,
            Self::Request => Kind::Request,
        }
    }
}

/// The key that a caller's repeats of a request have in common.
fn request_key(caller: Option<&str>, call: &Call) -> SuspectKey {
    let model = call.prompt.as_ref().map(|prompt| &prompt.model);
    let parts = call.prompt.iter().flat_map(|prompt| &prompt.parts);
    let parts: Vec<&PartId> = parts.map(|part| &part.id).collect();
    stable_hash(&(caller, &call.host, call.content, model, parts))
}
