//! Workloads: drawing one, playing it, and reporting what became of it.

pub mod client;
pub mod page;
pub mod play;
pub mod record;
pub mod report;
pub mod run;
pub mod workload;
