//! Daemons end to end, over real sockets, judged by the stand-ins' own counters.

mod path;
mod system;
mod zone;
