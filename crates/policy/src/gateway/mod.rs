//! Decisions on requests that are forwarded unchanged from callers to the upstreams of a route.
//!
//! [`Gateway::admit`] finds a [`Call`]'s route, service and organisation in the latest [`View`] and
//! creates a [`Plan`]; [`Gateway::next`] decides each [`Step`] of it, with an upstream from
//! [`choice`], which [`pace`] gives the expected wait at an engine, and [`admission`] refuses what
//! can't be served in time; [`Gateway::ended`] records how an [`Attempt`] ended. [`rollout`] brings
//! announced weights to the engines, and [`inventory`] tracks the contents of KV cache stores, on the
//! instance that [`duty`] lets hold the order lease; [`outdated`] ends the use of older weights.
//! [`ephemeral`] tells whether an entry that an instance keeps in the metadata store is there, and
//! [`namespace`] names cached parts so that isolated organisations share none.
//! Instances report by [`gossip`] what they sent where, and [`mesh`] selects the recipients.
//! [`quarantine`] holds back requests, and parts of prompts, that crash upstreams; [`limit`] tracks
//! the rates of requests that upstreams take, [`brittle`] the rates of refusals that they bear,
//! [`software`] which version began a stream, [`canary`] moves the traffic to a new one, and [`reach`] whether this instance has a path to the
//! upstreams; without one, [`forward`] selects another instance. An instance that starts gets what the
//! others know by [`handover`]. [`memory`] decides who loses memory
//! or a connection when the process runs short of them. Limits on all instances together are
//! divided into shares by [`window`], so that no request waits for another instance.

mod access;
pub mod admission;
pub mod brittle;
pub mod cache;
pub mod call;
pub mod canary;
mod choice;
pub mod configuration;
pub mod confirmation;
pub mod duty;
pub mod ephemeral;
mod evidence;
mod exchange;
pub mod forward;
pub mod gossip;
pub mod handover;
pub mod inventory;
mod lateness;
pub mod limit;
pub mod link;
mod machine;
mod member;
pub mod memory;
pub mod mesh;
pub mod namespace;
pub mod notice;
pub mod outdated;
pub mod pace;
mod path;
mod plan;
mod preview;
pub mod quarantine;
pub mod reach;
mod resumption;
pub mod rollout;
mod roster;
pub mod save;
pub mod software;
pub mod statement;
mod view;
pub mod window;

pub use call::{Call, Part, Prompt};
pub use configuration::Configuration;
pub use machine::{Gateway, Placement, Terms};
pub use member::Member;
pub use notice::Notice;
pub use path::Probe;
pub use plan::{Attempt, Ending, EngineRun, Fetch, Plan, Reason, Refusal, Step};
pub use preview::Preview;
pub use view::{EXPIRY_LIMIT, Server, ServerId, SoftwareVersion, View, WeightVersion, Weights};
