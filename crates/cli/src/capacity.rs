//! `acacia capacity`: what the system costs, from measured slopes, and what that says of two years.

pub mod fit;
pub mod measure;
pub mod sample;
pub mod table;
mod thread;
