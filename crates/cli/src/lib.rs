//! The operators' command.

pub mod load;
pub mod system;
