//! Stand-ins for the outside systems.

fn main() {}
