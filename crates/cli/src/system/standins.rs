//! Stand-ins for the external systems, on loopback.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_standin::counter::Counter;
use acacia_standin::engine::loader::Loader;
use acacia_standin::{engine, kv, list, service, store};

use super::layout::{self, Addresses, Layout};

/// Time to compute one prompt token.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(120);
/// Time between two output tokens.
const DECODE_PER_TOKEN: Duration = Duration::from_millis(20);
/// Duration of a call of the plain service.
const CALL_TIME: Duration = Duration::from_millis(30);
/// Bandwidth of an engine's KV cache transfers.
const TRANSFER_BYTES_PER_S: u64 = 12_000_000_000;

/// Running stand-ins.
pub struct Standins {
    /// The key-value service.
    pub kv: kv::Handle,
    /// The list of live instances.
    pub list: list::Handle,
    /// Model engines.
    pub engines: Vec<engine::Handle>,
    /// Instances of the plain service.
    pub services: Vec<service::Handle>,
    /// KV cache stores.
    pub stores: Vec<store::Handle>,
}

impl Standins {
    /// Starts the stand-ins of a layout, with all durations divided by `scale`.
    ///
    /// # Errors
    /// If a stand-in can't listen.
    pub async fn start(layout: &Layout, scale: f64) -> io::Result<Self> {
        let kv = kv::start(kv::Settings::default()).await?;
        let loader = Arc::new(Loader::default());
        let mut engines = Vec::new();
        for _ in 0..layout.engines {
            engines.push(engine::start(engine(layout, scale, Arc::clone(&loader))).await?);
        }
        let mut services = Vec::new();
        for _ in 0..layout.services {
            services.push(service::start(service(layout, scale)).await?);
        }
        let mut stores = Vec::new();
        for _ in 0..layout.stores {
            stores.push(store::start(store(layout, scale)).await?);
        }
        let list = list::start(list::Settings::default()).await?;
        Ok(Self { kv, list, engines, services, stores })
    }

    /// Addresses of the external systems.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            engines: self.engines.iter().map(|h| h.address).collect(),
            services: self.services.iter().map(|h| h.address).collect(),
            stores: self.stores.iter().map(|h| h.address).collect(),
        }
    }

    /// Sum of a counter over the engines.
    pub fn engines(&self, counter: Counter) -> u64 {
        self.engines.iter().map(|h| h.count(counter)).sum()
    }

    /// Sum of a counter over the instances of the plain service.
    pub fn services(&self, counter: Counter) -> u64 {
        self.services.iter().map(|h| h.count(counter)).sum()
    }

    /// Sum of a counter over the stores.
    pub fn stores(&self, counter: Counter) -> u64 {
        self.stores.iter().map(|h| h.count(counter)).sum()
    }

    /// Name, address and control address of every stand-in.
    pub fn table(&self) -> Vec<(String, SocketAddr, SocketAddr)> {
        let mut rows = vec![
            ("key-value service".to_owned(), self.kv.address, self.kv.control),
            ("live list".to_owned(), self.list.address, self.list.control),
        ];
        rows.extend(numbered("engine", self.engines.iter().map(|h| (h.address, h.control))));
        rows.extend(numbered("service", self.services.iter().map(|h| (h.address, h.control))));
        rows.extend(numbered("store", self.stores.iter().map(|h| (h.address, h.control))));
        rows
    }
}

fn numbered(
    stem: &str,
    ports: impl Iterator<Item = (SocketAddr, SocketAddr)>,
) -> impl Iterator<Item = (String, SocketAddr, SocketAddr)> {
    ports.enumerate().map(move |(i, (address, control))| (format!("{stem}-{i}"), address, control))
}

fn engine(layout: &Layout, scale: f64, loader: Arc<Loader>) -> engine::Settings {
    engine::Settings {
        model: layout::MODEL.to_owned(),
        version: layout::VERSION.to_owned(),
        slots: layout.slots as usize,
        prefill_per_token: PREFILL_PER_TOKEN,
        decode_per_token: DECODE_PER_TOKEN,
        cache_tokens: layout.engine_cache_tokens as usize,
        bytes_per_token: u64::from(layout::BYTES_PER_TOKEN),
        transfer_bytes_per_second: TRANSFER_BYTES_PER_S,
        cold_limit: layout.cold_limit as usize,
        loader,
        scale,
        ..engine::Settings::default()
    }
}

fn service(layout: &Layout, scale: f64) -> service::Settings {
    service::Settings {
        latency: CALL_TIME,
        slots: layout.slots as usize * 4,
        scale,
        ..service::Settings::default()
    }
}

fn store(layout: &Layout, scale: f64) -> store::Settings {
    store::Settings { memory_bytes: layout.store_bytes, scale, ..store::Settings::default() }
}
