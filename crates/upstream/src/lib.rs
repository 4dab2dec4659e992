//! Clients of model engines and plain services.
//!
//! Both clients share a connection [`pool`]. Every failure is a [`Failure`], which knows whether
//! the upstream may have run the request. An engine's answer is read by [`engine::Stream`], which
//! trusts nothing: each chunk must name the attempt and follow the one before it without a gap.

pub mod engine;
pub mod failure;
pub mod pool;
pub mod service;

pub use failure::Failure;
