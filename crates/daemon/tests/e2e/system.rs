//! A system on loopback: stand-in services, daemons and a configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use acacia_catalog::Document;
use acacia_catalog::object::{
    AdminState, Link, Model, Object, Operation, Organisation, Profile, Role, Service, Store,
    Upstream, Version, Zone,
};
use acacia_catalog::tokenizer::Tokenizer;
use acacia_daemon::{Daemon, Running, Settings};
use acacia_operator::call::{Apply, SetState};
use acacia_operator::{Client, Key, Role as Duties};
use acacia_standin::{Counter, engine, kv, list, service, store};

/// API key of the first organisation.
pub const KEY: &str = "key of the first";
/// API key of the second organisation, which may use no model or service.
pub const OTHER_KEY: &str = "key of the second";
/// The operator's token.
const TOKEN: &str = "operator's token";
/// Number of times that a condition is checked before a wait times out.
const POLLS: u32 = 4_000;
/// Panic message for failures of the test system itself.
const SETUP: &str = "the test system must work";

/// A system under test.
pub struct System {
    pub kv: kv::Handle,
    pub list: list::Handle,
    pub engines: Vec<engine::Handle>,
    pub services: Vec<service::Handle>,
    pub stores: Vec<store::Handle>,
    pub daemons: Vec<Running>,
    pub http: reqwest::Client,
}

/// Parameters of a system.
#[derive(Clone)]
pub struct Plan {
    pub daemons: usize,
    pub engines: usize,
    pub engine: engine::Settings,
    pub service: service::Settings,
    pub slots: u32,
    /// Timeout of a short request, in milliseconds.
    pub short_deadline_ms: u64,
    pub configure: fn(&mut Settings),
}

impl Default for Plan {
    fn default() -> Self {
        let engine = engine::Settings {
            prefill_per_token: Duration::from_micros(10),
            decode_per_token: Duration::from_millis(2),
            event_lag: Duration::ZERO,
            load_lag: Duration::ZERO,
            ..engine::Settings::default()
        };
        let service = service::Settings { latency: Duration::from_millis(2), ..Default::default() };
        Self {
            daemons: 3,
            engines: 2,
            engine,
            service,
            slots: 32,
            short_deadline_ms: 30_000,
            configure: |_| {},
        }
    }
}

impl System {
    /// Starts the system and waits until each daemon is ready.
    pub async fn start(plan: Plan) -> Self {
        let filter = tracing_subscriber::EnvFilter::from_default_env();
        let _ = tracing_subscriber::fmt().with_env_filter(filter).with_test_writer().try_init();
        let _ = rustls::crypto::ring::default_provider().install_default();
        let kv = kv::start(kv::Settings::default()).await.expect(SETUP);
        let list = list::start(list::Settings::default()).await.expect(SETUP);
        let mut engines = Vec::new();
        for _ in 0..plan.engines {
            engines.push(engine::start(plan.engine.clone()).await.expect(SETUP));
        }
        let services = vec![service::start(plan.service.clone()).await.expect(SETUP)];
        let stores = vec![store::start(store::Settings::default()).await.expect(SETUP)];
        let http = reqwest::Client::builder().no_proxy().build().expect(SETUP);
        let daemons = Vec::new();
        let mut system = Self { kv, list, engines, services, stores, daemons, http };
        for index in 0..plan.daemons {
            system.add_daemon(index, plan.configure);
        }
        system.apply(system.document(&plan)).await;
        system.until("every daemon is ready", |s| s.daemons.iter().all(Running::is_ready)).await;
        system
    }

    /// Starts one more daemon.
    pub fn add_daemon(&mut self, index: usize, configure: fn(&mut Settings)) {
        let mut settings = Settings::new(zone(index), vec![self.kv.address], self.list.address);
        settings.operators = vec![Key::of("tester", TOKEN, [Duties::Apply, Duties::Move])];
        settings.times.stop_notice = Duration::from_millis(50);
        settings.times.poll = Duration::from_millis(50);
        settings.times.list = Duration::from_millis(100);
        settings.seed = Some(index as u64 + 1);
        configure(&mut settings);
        self.daemons.push(Daemon::start(settings).expect(SETUP));
    }

    /// An operator's client of a daemon.
    pub fn operator(&self, daemon: usize) -> Client {
        let address = self.daemons[daemon].operator_address();
        Client::new(format!("http://{address}"), TOKEN).expect(SETUP)
    }

    /// Applies a configuration to all daemons.
    pub async fn apply(&self, document: Document) {
        let operator = self.operator(0);
        for poll in 0..POLLS {
            let base = operator.status().await.map_or(0, |s| s.revision);
            let id = change_id();
            let apply = Apply { id, base, document: document.clone(), wait_ms: 10_000 };
            match operator.apply(&apply).await {
                Ok(_) => return,
                Err(error) if poll + 1 == POLLS => panic!("not applied: {error}"),
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    /// Takes a zone out of service or puts it back.
    pub async fn zone(&self, index: usize, state: AdminState) {
        let zone_move = SetState { id: change_id(), state, wait_ms: 10_000 };
        self.operator(0).set_zone_state(&zone(index), &zone_move).await.expect(SETUP);
    }

    /// The system's configuration.
    pub fn document(&self, plan: &Plan) -> Document {
        let mut objects = vec![
            Object::Profile(profile(plan.short_deadline_ms)),
            Object::Model(model()),
            Object::Version(version()),
            Object::Service(desk_service()),
            Object::Organisation(organisation("first", KEY, true)),
            Object::Organisation(organisation("second", OTHER_KEY, false)),
            Object::Link(link(0, 0)),
            Object::Link(link(0, 1)),
            Object::Link(link(1, 1)),
        ];
        for index in 0..2 {
            let region = "west".into();
            objects.push(Object::Zone(Zone {
                name: zone(index).into(),
                region,
                state: AdminState::In,
            }));
        }
        for (index, engine) in self.engines.iter().enumerate() {
            let role = Role::Engine { model: "model".into(), adapters: Vec::new() };
            objects.push(upstream("engine", index, engine.address, role, plan.slots));
        }
        for (index, service) in self.services.iter().enumerate() {
            let role = Role::Service { service: "desk".into() };
            objects.push(upstream("desk", index, service.address, role, plan.slots));
        }
        for (index, store) in self.stores.iter().enumerate() {
            objects.push(Object::Store(Store {
                name: format!("store-{index}").into(),
                zone: zone(index).into(),
                address: store.address,
                memory_bytes: 1 << 40,
                disk_bytes: 0,
            }));
        }
        Document { objects }
    }

    /// Waits until a condition holds; the time it takes is not checked.
    pub async fn until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        for _ in 0..POLLS {
            if condition(self) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("timeout: {what}");
    }

    /// Sends a request whose response must be 200; otherwise panics with the daemon's status.
    pub async fn send_ok(
        &self,
        daemon: usize,
        request: reqwest::RequestBuilder,
    ) -> reqwest::Response {
        let response = request.send().await.expect("an answer");
        if response.status() == 200 {
            return response;
        }
        let (status, body) = (response.status(), response.text().await);
        let state = self.operator(daemon).status().await;
        panic!("{status}: {body:?}\n{state:#?}");
    }

    /// A completion request, which asks for token ids in the answer.
    pub fn completion(
        &self,
        daemon: usize,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> reqwest::RequestBuilder {
        let address = self.daemons[daemon].caller_address();
        let body = serde_json::json!({
            "model": "model", "prompt": prompt, "max_tokens": tokens, "stream": stream,
            "return_token_ids": true,
        });
        self.http.post(format!("http://{address}/v1/completions")).bearer_auth(KEY).json(&body)
    }

    /// A charge request to the plain service, with an optional idempotency key.
    pub fn charge(&self, daemon: usize, key: Option<&str>, body: &str) -> reqwest::RequestBuilder {
        let address = self.daemons[daemon].caller_address();
        let request = self.http.post(format!("http://{address}/v1/services/desk/charge"));
        let request = request.bearer_auth(KEY).body(body.to_owned());
        match key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
    }

    /// A status lookup at the plain service, which is idempotent.
    pub fn status_lookup(&self, daemon: usize) -> reqwest::RequestBuilder {
        let address = self.daemons[daemon].caller_address();
        self.http.get(format!("http://{address}/v1/services/desk/status/1")).bearer_auth(KEY)
    }

    /// The sum of a counter over all engines.
    pub fn at_engines(&self, counter: Counter) -> u64 {
        self.engines.iter().map(|engine| engine.count(counter)).sum()
    }

    /// The sum of a counter over all instances of the service.
    pub fn at_services(&self, counter: Counter) -> u64 {
        self.services.iter().map(|service| service.count(counter)).sum()
    }
}

/// The tokens that an engine must answer with.
pub fn expected(prompt: &str, tokens: u32) -> Vec<u32> {
    let prompt = Tokenizer::QuadByte.encode(prompt);
    engine::answer("v1", &prompt, tokens as usize)
}

/// The token ids of an answer or event.
pub fn token_ids(body: &serde_json::Value) -> Vec<u32> {
    serde_json::from_value(body["choices"][0]["token_ids"].clone()).expect("token ids")
}

/// Reads a stream; returns the token ids, and whether it was complete up to its end mark.
pub async fn read_stream(response: reqwest::Response) -> (Vec<u32>, bool) {
    let Ok(body) = response.text().await else { return (Vec::new(), false) };
    let mut tokens = Vec::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return (tokens, true);
        }
        let event: serde_json::Value = serde_json::from_str(line).expect("an event in JSON");
        if event.get("error").is_some() {
            return (tokens, false);
        }
        tokens.extend(token_ids(&event));
    }
    (tokens, false)
}

fn change_id() -> Arc<str> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("change-{}", NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % 2)
}

fn upstream(kind: &str, index: usize, address: SocketAddr, role: Role, slots: u32) -> Object {
    Object::Upstream(Upstream {
        name: format!("{kind}-{index}").into(),
        zone: zone(index).into(),
        address,
        role,
        slots,
        cold_limit: 2,
        checks_fence: true,
        state: AdminState::In,
    })
}

fn profile(deadline_ms: u64) -> Profile {
    Profile {
        name: "profile".into(),
        short_tokens: 500,
        short_deadline_ms: deadline_ms,
        long_deadline_ms: 60_000,
        recompute_weight_ms: 1_000,
        link_weight_ms: 100,
        copies: 1,
    }
}

fn model() -> Model {
    Model {
        name: "model".into(),
        serving: "v1".into(),
        tokenizer: Tokenizer::QuadByte,
        context_tokens: 4_000_000,
    }
}

fn version() -> Version {
    Version { name: "v1".into(), model: "model".into(), bytes_per_token: 16_384 }
}

fn desk_service() -> Service {
    let idempotent = vec![Operation { method: "GET".to_owned(), path: "/status/".to_owned() }];
    Service { name: "desk".into(), idempotent }
}

fn link(from: usize, to: usize) -> Link {
    Link {
        name: format!("link-{from}-{to}").into(),
        from: zone(from).into(),
        to: zone(to).into(),
        bytes_per_second: 10_000_000_000,
    }
}

fn organisation(name: &str, key: &str, is_permitted: bool) -> Organisation {
    Organisation {
        name: name.into(),
        key_hashes: vec![blake3::hash(key.as_bytes()).to_hex().to_string()],
        cache_secret: format!("a long cache secret of the organisation {name}"),
        weight: 1,
        models: is_permitted.then(|| "model".into()).into_iter().collect(),
        services: is_permitted.then(|| "desk".into()).into_iter().collect(),
        profile: "profile".into(),
    }
}
