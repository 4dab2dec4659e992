//! An entry instance on the users' platform.
//!
//! One thread, [`control`], follows the metadata store: it keeps a [`picture`] of configuration,
//! upstreams and wanted weights, hands traffic a new view of it for each change, and, while this
//! instance is the [`holder`] of the right, orders weights and keeps the accounts of stores of KV
//! cache as [`librarian`]. The other thread serves callers:
//! [`listener`] takes connections, [`request`] takes one request through the decisions of
//! [`acacia_policy::gateway`], [`attempt`] sends it to one upstream, and [`relay`] passes a stream
//! of events on; [`gossip`] carries the instances' word to each other. All write what they decide to the [`log`] and count it in [`metric`].

mod attempt;
mod client;
mod clock;
mod control;
mod event;
mod gossip;
mod holder;
mod instance;
mod inventory;
mod listener;
mod log;
mod metric;
mod pool;
mod process;
mod relay;
pub mod replica;
mod request;
mod traffic;

pub use event::Splitter;
pub use instance::Instance;
pub use process::{check, run};
