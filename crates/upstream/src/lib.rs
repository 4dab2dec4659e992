//! Clients for model engines and plain services.
//!
//! Both clients share a connection [`pool`]. Every failure is a [`Failure`], which says whether the
//! upstream may have run the request. [`engine::Stream`] validates an engine's answer: each chunk
//! must name the attempt and continue the previous one without a gap.

pub mod engine;
pub mod failure;
pub mod pool;
pub mod service;

pub use failure::Failure;
