//! Where KV cache blocks lie, and what to do with them.
//!
//! Nothing here is remembered for an idle history: names and places are computed, and what engines
//! tell about their own caches is kept as bounded hints that expire.

mod name;

pub use name::chain;
