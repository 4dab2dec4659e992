//! Workloads: drawing one, playing it, and reporting what became of it.

pub mod client;

pub mod page;
pub mod record;
pub mod report;
pub mod workload;
