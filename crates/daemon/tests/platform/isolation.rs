//! Organisations that become isolated after others have used their cached parts.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::{Value, json};

use crate::fixture::{self, Fixture, call};

/// Organisations with their keys; the first one becomes isolated.
const ORGANISATIONS: [(&str, &str); 2] = [("acme", "key-1"), ("other", "key-2")];
/// Prompts of each organisation after each change.
const PROMPTS: usize = 6;
/// Time within which a change is in force at all instances.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// A deployment whose configuration changes.
struct Scene {
    fixture: Fixture,
    version: u64,
    prompts: usize,
}

impl Scene {
    async fn start() -> Self {
        let mut scene = Self { fixture: Fixture::start(2).await, version: 1, prompts: 0 };
        scene.isolate(&[]).await;
        scene
    }

    /// Isolates these organisations only.
    async fn isolate(&mut self, isolated: &[&str]) {
        self.version += 1;
        let configuration = self.fixture.configuration_of(self.version, &ORGANISATIONS);
        let mut configuration: Value = configuration;
        for tenant in configuration["tenants"].as_array_mut().unwrap() {
            tenant["isolated"] = json!(isolated.iter().any(|name| tenant["name"] == *name));
        }
        self.fixture.store.put("op/config", &configuration);
        tokio::time::sleep(APPLY_TIME).await;
    }

    /// Sends prompts of an organisation with the same shared part; returns the namespaces in which
    /// engines looked for it.
    async fn namespaces(&mut self, organisation: usize) -> BTreeSet<String> {
        let mut ids = BTreeSet::new();
        for number in 0..PROMPTS {
            self.prompts += 1;
            let id = format!("prompt-{}", self.prompts);
            let mut headers = self.fixture.prompt(&id, self.prompts);
            headers.retain(|(name, _)| *name != "authorization");
            headers.push(("authorization", format!("Bearer {}", ORGANISATIONS[organisation].1)));
            let address = self.fixture.address(number % 2);
            let answer = call(address, "POST", "/ask/", &headers, b"x").await;
            assert_eq!(answer.status, 200);
            ids.insert(id);
        }
        let seen = self.fixture.seen().into_iter().filter(|seen| ids.contains(&seen.id));
        seen.map(|seen| seen.salt).collect()
    }
}

/// Guards against review case 7: parts that an organisation made before it became isolated stayed in
/// the namespace that the others went on using; also if it was shared in between, and after a kill of
/// all instances.
#[tokio::test(flavor = "multi_thread")]
async fn parts_made_before_isolation_are_not_used() {
    let mut scene = Scene::start().await;
    let mut left = scene.namespaces(0).await;
    assert_eq!(scene.namespaces(1).await, left, "none is isolated");
    for round in 0..2 {
        scene.isolate(&["acme"]).await;
        let own = scene.namespaces(0).await;
        let shared = scene.namespaces(1).await;
        assert!(own.is_disjoint(&shared), "round {round}: {own:?}, {shared:?}");
        assert!(left.is_disjoint(&shared), "round {round}: {left:?}, {shared:?}");
        if round == 0 {
            scene.isolate(&[]).await;
            left.extend(scene.namespaces(0).await);
        }
    }
    assert_eq!(scene.fixture.logged(0, &["isolated organisations changed"]), 3);
    let before = scene.namespaces(1).await;
    scene.fixture.kill_instances().await;
    assert_eq!(scene.namespaces(1).await, before, "instances that start choose the same");
    fixture::eventually("unused parts are freed", async || {
        let kept = scene.fixture.cache.state().complete_parts();
        kept.iter().all(|(namespace, _)| !left.contains(namespace))
    })
    .await;
    scene.fixture.stop().await;
}
