//! Daemons end to end, over real sockets, judged by the stand-ins' own counters.

mod caller;
mod claim;
mod request;
mod shutdown;
mod stream;
mod system;
mod zone;
