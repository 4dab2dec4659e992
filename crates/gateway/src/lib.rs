//! An instance of the gateway that uses the platform's metadata store.
//!
//! The control thread, [`control`], follows the metadata store. It keeps a [`replica`] of the
//! configuration, the upstreams and the announced weights, and passes a new view of it to the
//! traffic thread after each change. [`registration`] keeps this instance listed. While it is the
//! [`holder`] of the order lease, it also orders weight loads and maintains the [`inventory`] of each
//! managed KV cache store.
//!
//! The traffic thread serves callers: [`listener`] accepts connections, [`request`] takes one
//! request through the decisions of [`acacia_policy::gateway`], [`body`] reads its body into [`memory`]
//! that all share, [`attempt`] sends it to one
//! upstream, [`hedge`] starts a second attempt beside one whose upstream does not respond, and
//! [`relay`] forwards an event stream. [`forward`] passes a request on to another instance while
//! this one has no path to the upstreams. [`probe`] tests suspected paths to upstreams, and [`gossip`]
//! exchanges load digests with the other instances; [`handover`] asks them at the start for what they
//! know. Both threads write decisions to the [`log`] and count them in [`metric`].

mod attempt;
mod body;
mod canary;
mod carryover;
mod client;
mod clock;
mod control;
mod event;
mod forward;
pub mod gossip;
mod handover;
mod hedge;
mod holder;
mod instance;
mod inventory;
mod listener;
mod log;
mod memory;
mod metric;
mod pool;
mod probe;
mod process;
mod registration;
mod relay;
pub mod replica;
mod request;
mod socket;
mod timer;
mod traffic;

pub use event::{End, Oversized, Splitter};
pub use instance::Instance;
pub use process::{check, run};
