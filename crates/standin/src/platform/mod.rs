//! The platform: its metadata store, its servers, its KV cache stores and its callers.
//!
//! [`document`] writes the settings and configuration, and [`caller`] sends requests. [`store`] is
//! the metadata store, built on the keyspace of the etcd stand-in. [`server`] is a plain service or
//! a model engine that registers itself in that store and keeps a ledger of its [`run`]s; engines
//! may [`crash`] on a prompt part, and servers state a rate [`limit`]. A [`release`] is a software version that its
//! servers share, and [`rollout`] has the orders to move to it. [`cache`] stores the KV cache that engines save and fetch, and
//! counts reads of incomplete parts. The formats are deliberately defined here again instead of
//! shared with the product: a stand-in that shared them would share mistakes too.

pub mod brittle;
pub mod cache;
pub mod caller;
pub mod crash;
pub mod document;
pub mod limit;
mod memory;
pub mod release;
pub mod rollout;
pub mod run;
pub mod server;
pub mod store;
