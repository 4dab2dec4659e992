//! Requests that are forwarded as they are, between callers and whatever stands behind a route.
//!
//! [`Gateway::admit`] finds a [`Call`]'s route, service and organisation in the newest [`View`] and
//! makes a [`Plan`]; [`Gateway::next`] decides each [`Step`] of it, [`choice`] says where it goes;
//! [`Gateway::ended`] takes in how an [`Attempt`] ended. [`rollout`] brings named weights to the
//! engines, and [`inventory`] accounts for stores of KV cache. Instances tell each other by [`gossip`]
//! what they sent where, and [`mesh`] says which way their word takes. Limits that hold for all
//! instances together are kept by shares, in [`window`], so that no request waits for another
//! instance.

mod access;
pub mod call;
mod choice;
pub mod configuration;
pub mod gossip;
pub mod inventory;
mod machine;
mod member;
pub mod mesh;
mod plan;
pub mod rollout;
mod roster;
mod save;
mod view;
pub mod window;

pub use call::{Call, Part, Prompt};
pub use configuration::Configuration;
pub use machine::{Gateway, Placement, Terms};
pub use member::Member;
pub use plan::{Attempt, Ending, EngineRun, Fetch, Plan, Reason, Refusal, Step};
pub use view::{Server, ServerId, View, WeightVersion, Weights};
