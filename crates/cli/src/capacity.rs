//! `acacia capacity`: measures resource costs and extrapolates them to the expected two-year size.

pub mod fit;
pub mod measure;
pub mod sample;
pub mod table;
mod thread;
