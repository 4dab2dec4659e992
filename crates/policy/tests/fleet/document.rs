//! Configuration of the simulated fleet, and claims of its callers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use acacia_catalog::id::Name;
use acacia_catalog::object::{AdminState, Model, Object, Role, Service, Upstream, Version, Zone};
use acacia_catalog::{Document, tokenizer::Tokenizer};
use acacia_policy::Verdict;
use acacia_policy::control::{Answer, Claim, Event};

use super::engine::Engine;

/// Slots of each upstream.
pub const SLOTS: u32 = 8;
/// Zones of the fleet.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Engines of the fleet and their cold limits.
const ENGINES: [(&str, u32); 4] = [("e0", 1), ("e1", 2), ("e2", 1), ("e3", 3)];
/// Instances of the plain service and their cold limits.
const INSTANCES: [(&str, u32); 2] = [("s0", 1), ("s1", 2)];

/// Zones of the fleet.
pub fn zones() -> Vec<Name> {
    ZONES.iter().map(|z| Name::from(*z)).collect()
}

/// Engines and plain service instances of the fleet.
pub fn engines() -> BTreeMap<Name, Engine> {
    let engines =
        ENGINES.iter().enumerate().map(|(i, (n, c))| (*n, Engine::new(true, *c, i % 2 == 0)));
    let instances = INSTANCES.iter().map(|(n, c)| (*n, Engine::new(false, *c, false)));
    engines.chain(instances).map(|(n, e)| (Name::from(n), e)).collect()
}

/// The configuration with some zones and upstreams out of service.
pub fn document(out: &BTreeMap<Name, bool>) -> Document {
    let state = |name: &str| {
        if out.get(name).copied().unwrap_or_default() { AdminState::Out } else { AdminState::In }
    };
    let mut objects: Vec<Object> = ZONES
        .iter()
        .map(|z| Object::Zone(Zone { name: (*z).into(), region: "r".into(), state: state(z) }))
        .collect();
    objects.push(Object::Model(Model {
        name: "m".into(),
        serving: "v".into(),
        tokenizer: Tokenizer::QuadByte,
        context_tokens: 8_000,
    }));
    objects.push(Object::Version(Version {
        name: "v".into(),
        model: "m".into(),
        bytes_per_token: 16,
    }));
    objects.push(Object::Service(Service { name: "s".into(), idempotent: Vec::new() }));
    let engine = Role::Engine { model: "m".into(), adapters: Vec::new() };
    let instance = Role::Service { service: "s".into() };
    let all = ENGINES
        .iter()
        .map(|e| (e, &engine))
        .chain(INSTANCES.iter().map(|i| (i, &instance)))
        .enumerate();
    for (i, ((name, cold_limit), role)) in all {
        objects.push(Object::Upstream(Upstream {
            name: (*name).into(),
            zone: ZONES[i % ZONES.len()].into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + i as u16)),
            role: role.clone(),
            slots: SLOTS,
            cold_limit: *cold_limit,
            checks_fence: i % 2 == 0,
            state: state(name),
        }));
    }
    Document { objects }
}

/// Upstreams that are closed if some zones and upstreams are out of service.
pub fn closed(out: &BTreeMap<Name, bool>) -> BTreeSet<Name> {
    let is_out = |name: &str| out.get(name).copied().unwrap_or_default();
    let names = ENGINES.iter().chain(&INSTANCES).map(|(name, _)| *name).enumerate();
    let closed = names.filter(|(i, name)| is_out(name) || is_out(ZONES[i % ZONES.len()]));
    closed.map(|(_, name)| Name::from(name)).collect()
}

/// Increases the weight of one organisation, of another on each call.
pub fn alter(document: &mut Document) -> Document {
    if let Some(at) = document.objects.iter().position(|o| matches!(o, Object::Organisation(_))) {
        if let Object::Organisation(organisation) = &mut document.objects[at] {
            organisation.weight += 1;
        }
        let altered = document.objects.remove(at);
        document.objects.push(altered);
    }
    document.clone()
}

/// The claim for an idempotency key.
pub fn claim(key: u32) -> Claim {
    Claim {
        organisation: "o".into(),
        key: format!("key-{key}").into(),
        fingerprint: *blake3::hash(&key.to_le_bytes()).as_bytes(),
    }
}

/// The end of a claimed request.
pub fn ending(key: u32, not_run: bool) -> Event {
    let answer = Answer { status: 200, content_type: "text/plain".into(), body: vec![1, 2, 3] };
    let verdict = if not_run { Verdict::NotRun } else { Verdict::Ran };
    let answer = (!not_run).then_some(answer);
    Event::ClaimEnded { claim: claim(key), verdict, answer }
}
