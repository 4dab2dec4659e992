//! The users' platform: its metadata store, its servers, its stores of KV cache and its callers.
//!
//! [`document`] writes what the platform and its operators write, and [`caller`] asks as callers do.
//! [`store`] is the metadata store over the keyspace that the etcd stand-in has too. [`server`] is a
//! plain service or a model engine that lists itself there. [`cache`] holds what engines save and
//! fetch, and notices a read of a part that is not whole. The formats are written out here again, on
//! purpose: a stand-in that shared the product's own would share its mistakes.

pub mod cache;
pub mod caller;
pub mod document;
mod memory;
pub mod server;
pub mod store;
