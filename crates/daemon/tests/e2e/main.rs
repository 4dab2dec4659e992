//! End-to-end tests of daemons over sockets. Checks the counters of the stand-in upstreams.

mod caller;
mod claim;
mod request;
mod shutdown;
mod stream;
mod system;
mod zone;
