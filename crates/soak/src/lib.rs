//! Faults, restarts and changes against real `acaciad` processes on the users' platform, from a seed.
//!
//! A [`scene`] is a small deployment: the platform's stand-ins in this process, a [`proxy`] before each
//! server and before the metadata store, and entry instances as processes of their own. [`run`] lets
//! callers ask while the [`fault`]s of a schedule come, one after the other and at once, and a calm end
//! after them. The [`oracle`] judges by what callers and servers saw. A seed that failed stays among the
//! [`regression`]s.

pub mod fault;
pub mod fixture;
pub mod oracle;
pub mod proxy;
pub mod regression;
pub mod run;
