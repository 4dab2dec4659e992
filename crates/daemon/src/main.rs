//! The daemon of an entry instance.

fn main() {}
