//! Fault injection into real `acaciad` processes on the platform, reproducible from a seed.
//!
//! A [`fixture`] is a small deployment: stand-ins for the platform in this process, a proxy in front
//! of each server and of the metadata store, and entry instances as processes of their own.
//! A [`fault::Scenario`] and a seed determine the [`fault`]s and the [`culprit`]s. [`run`] sends requests while they occur,
//! some of them at the same time, and for a while after them. The [`oracle`] checks the observations
//! of callers and servers. Seeds that failed are kept as [`regression`]s.

pub mod brittle;
pub mod culprit;
pub mod cut;
pub mod fault;
pub mod fixture;
mod isolation;
pub mod oracle;
pub mod regression;
pub mod request;
pub mod run;
pub mod terms;
