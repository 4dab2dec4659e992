//! A whole system in one process: stand-ins, daemons and a published configuration.

pub mod layout;
