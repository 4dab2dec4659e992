//! Command line of `acacia-standin`.
//!
//! Each subcommand prints its addresses as one JSON line and serves until SIGTERM or SIGINT.

use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::time::Duration;

use bpaf::Bpaf;
use serde::Serialize;
use tokio::signal::unix::{SignalKind, signal};

use crate::host::{Handle, Standin};
use crate::{engine, kv, list, service, store};

/// The stand-in to serve.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options("acacia-standin"), generate(options))]
pub enum Command {
    /// Serves the key-value service.
    #[bpaf(command)]
    Kv(#[bpaf(external(kv_flags))] Kv),
    /// Serves the list of live instances.
    #[bpaf(command)]
    List(#[bpaf(external(list_flags))] List),
    /// Serves a model engine.
    #[bpaf(command)]
    Engine(#[bpaf(external(engine_flags))] Engine),
    /// Serves a KV cache store.
    #[bpaf(command)]
    Store(#[bpaf(external(store_flags))] Store),
    /// Serves a plain service.
    #[bpaf(command)]
    Service(#[bpaf(external(service_flags))] Service),
}

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
/// If a port can't be bound.
pub async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Kv(flags) => serve(kv::start(flags.settings())).await,
        Command::List(flags) => serve(list::start(flags.settings())).await,
        Command::Engine(flags) => serve(engine::start(flags.settings())).await,
        Command::Store(flags) => serve(store::start(flags.settings())).await,
        Command::Service(flags) => serve(service::start(flags.settings())).await,
    }
}

/// Options of every stand-in.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(ports_flags))]
pub struct Ports {
    /// Address of the protocol port
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub address: SocketAddr,
    /// Address of the control port
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub control: SocketAddr,
    /// First incarnation number; Unix time in seconds when absent
    #[bpaf(argument("N"), fallback_with(seconds))]
    pub incarnation: u64,
    /// Factor by which all model times are shortened
    #[bpaf(argument("X"), fallback(1.0), guard(positive, "the scale must be greater than zero"))]
    pub scale: f64,
}

/// Options of an engine.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(engine_flags))]
pub struct Engine {
    /// Addresses, incarnation and time scale
    #[bpaf(external(ports_flags))]
    pub ports: Ports,
    /// Model served
    #[bpaf(argument("NAME"), fallback("model".to_owned()))]
    pub model: String,
    /// Weight version loaded at start
    #[bpaf(argument("NAME"), fallback("v1".to_owned()))]
    pub version: String,
    /// Adapter loaded at start; repeatable
    #[bpaf(argument("NAME"), many)]
    pub adapter: Vec<String>,
    /// Maximum of requests that run concurrently
    #[bpaf(argument("N"), fallback(32))]
    pub slots: usize,
    /// Maximum of requests that wait for a slot
    #[bpaf(argument("N"), fallback(1_024))]
    pub queue: usize,
    /// Prefill time of one prompt token, in microseconds
    #[bpaf(argument::<String>("US"), parse(micros), fallback(Duration::from_micros(100)))]
    pub prefill_per_token: Duration,
    /// Time between two output tokens, in microseconds
    #[bpaf(argument::<String>("US"), parse(micros), fallback(Duration::from_millis(15)))]
    pub decode_per_token: Duration,
    /// Output tokens per stream chunk
    #[bpaf(argument("N"), fallback(1), guard(above_zero, "a chunk must hold at least one token"))]
    pub chunk_tokens: u32,
    /// Capacity of the prefix cache, in tokens
    #[bpaf(argument("N"), fallback(200_000))]
    pub cache_tokens: usize,
    /// Concurrent requests above which a cold engine crashes
    #[bpaf(argument("N"), fallback(2))]
    pub cold_limit: usize,
    /// Start by loading weights and being cold
    #[bpaf(switch)]
    pub start_cold: bool,
    /// Execute orders with an outdated fencing token
    #[bpaf(switch)]
    pub ignores_fence: bool,
}

impl Engine {
    fn settings(self) -> engine::Settings {
        engine::Settings {
            address: self.ports.address,
            control: self.ports.control,
            incarnation: self.ports.incarnation,
            scale: self.ports.scale,
            model: self.model,
            version: self.version,
            adapters: self.adapter,
            slots: self.slots,
            queue: self.queue,
            prefill_per_token: self.prefill_per_token,
            decode_per_token: self.decode_per_token,
            chunk_tokens: self.chunk_tokens,
            cache_tokens: self.cache_tokens,
            cold_limit: self.cold_limit,
            start_cold: self.start_cold,
            checks_fence: !self.ignores_fence,
            ..engine::Settings::default()
        }
    }
}

/// Options of the key-value service.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(kv_flags))]
pub struct Kv {
    /// Addresses, incarnation and time scale
    #[bpaf(external(ports_flags))]
    pub ports: Ports,
    /// Time that each call takes, in milliseconds
    #[bpaf(argument::<String>("MS"), parse(millis), fallback(Duration::ZERO))]
    pub latency: Duration,
    /// Writes per second above which calls are refused; 0 is unlimited
    #[bpaf(argument("N"), fallback(0))]
    pub writes_per_second: u32,
    /// Reads and watches per second above which calls are refused; 0 is unlimited
    #[bpaf(argument("N"), fallback(0))]
    pub reads_per_second: u32,
}

impl Kv {
    fn settings(self) -> kv::Settings {
        kv::Settings {
            address: self.ports.address,
            control: self.ports.control,
            latency: self.latency,
            writes_per_second: self.writes_per_second,
            reads_per_second: self.reads_per_second,
            scale: self.ports.scale,
            ..kv::Settings::default()
        }
    }
}

/// Options of the list of live instances.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(list_flags))]
pub struct List {
    /// Addresses, incarnation and time scale
    #[bpaf(external(ports_flags))]
    pub ports: Ports,
    /// Delay before a change is visible, in milliseconds
    #[bpaf(argument::<String>("MS"), parse(millis), fallback(Duration::ZERO))]
    pub lag: Duration,
}

impl List {
    fn settings(self) -> list::Settings {
        let Ports { address, control, .. } = self.ports;
        list::Settings { address, control, lag: self.lag, instances: Vec::new() }
    }
}

/// Options of a KV cache store.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(store_flags))]
pub struct Store {
    /// Addresses, incarnation and time scale
    #[bpaf(external(ports_flags))]
    pub ports: Ports,
    /// Capacity of the memory tier, in logical bytes
    #[bpaf(argument("BYTES"), fallback(64 << 30))]
    pub memory_bytes: u64,
    /// Capacity of the disk tier, in logical bytes
    #[bpaf(argument("BYTES"), fallback(512 << 30))]
    pub disk_bytes: u64,
    /// Logical bytes transferred per second; 0 is unlimited
    #[bpaf(argument("BYTES"), fallback(2_000_000_000))]
    pub bytes_per_second: u64,
    /// Evict the least recently used block instead of refusing a new one
    #[bpaf(switch)]
    pub evicts: bool,
}

impl Store {
    fn settings(self) -> store::Settings {
        store::Settings {
            address: self.ports.address,
            control: self.ports.control,
            incarnation: self.ports.incarnation,
            scale: self.ports.scale,
            memory_bytes: self.memory_bytes,
            disk_bytes: self.disk_bytes,
            bytes_per_second: self.bytes_per_second,
            evicts: self.evicts,
            ..store::Settings::default()
        }
    }
}

/// Options of a plain service.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(service_flags))]
pub struct Service {
    /// Addresses, incarnation and time scale
    #[bpaf(external(ports_flags))]
    pub ports: Ports,
    /// Name reported in answers
    #[bpaf(argument("NAME"), fallback("service".to_owned()))]
    pub name: String,
    /// Run time of a call, in milliseconds
    #[bpaf(argument::<String>("MS"), parse(millis), fallback(Duration::from_millis(5)))]
    pub latency: Duration,
    /// Maximum of calls that run concurrently
    #[bpaf(argument("N"), fallback(64))]
    pub slots: usize,
    /// Concurrent calls above which a cold service crashes
    #[bpaf(argument("N"), fallback(2))]
    pub cold_limit: usize,
}

impl Service {
    fn settings(self) -> service::Settings {
        service::Settings {
            address: self.ports.address,
            control: self.ports.control,
            incarnation: self.ports.incarnation,
            scale: self.ports.scale,
            name: self.name,
            latency: self.latency,
            slots: self.slots,
            cold_limit: self.cold_limit,
            ..service::Settings::default()
        }
    }
}

/// Addresses of a stand-in, as printed at start.
#[derive(Serialize)]
struct Endpoint {
    standin: &'static str,
    address: SocketAddr,
    control: SocketAddr,
}

async fn serve<S: Standin>(start: impl Future<Output = io::Result<Handle<S>>>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let handle = start.await?;
    let endpoint = Endpoint { standin: S::NAME, address: handle.address, control: handle.control };
    println!("{}", serde_json::to_string(&endpoint)?);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    handle.stop().await;
    Ok(())
}

fn millis(text: String) -> Result<Duration, ParseIntError> {
    text.parse().map(Duration::from_millis)
}

fn micros(text: String) -> Result<Duration, ParseIntError> {
    text.parse().map(Duration::from_micros)
}

fn seconds() -> Result<u64, std::time::SystemTimeError> {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
    Ok(since.as_secs())
}

fn positive(scale: &f64) -> bool {
    *scale > 0.0
}

fn above_zero(number: &u32) -> bool {
    *number > 0
}
