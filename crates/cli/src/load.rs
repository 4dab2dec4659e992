//! Workloads: generates them, runs them and reports the results.

pub mod client;
pub mod execute;
pub mod page;
pub mod record;
pub mod report;
pub mod run;
pub mod workload;
