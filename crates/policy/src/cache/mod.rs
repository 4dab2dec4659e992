//! Placement, cost estimates and saving of KV cache blocks.
//!
//! No state is kept for an idle conversation: block names and store choices are computed, and what
//! engines report about their own caches is kept as bounded hints that expire.

mod estimate;
mod hint;
mod link;
mod name;
mod placement;
mod plan;
mod saving;

pub use estimate::Rate;
pub use hint::Hints;
pub use link::{Links, Quote, ZoneIndex};
pub use name::chain;
pub use placement::{Stores, anchor, rank, seed};
pub use plan::{Candidate, Estimate, Prompt, Sources, Weights, estimate};
pub use saving::{Returns, Saved, is_worthwhile};
