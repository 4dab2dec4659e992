//! Tests of `acaciad` processes beside crowds of callers outside anybody's control.
//!
//! They are a program of their own, as cargo runs one test program at a time: crowds are played one
//! after the other, apart from other tests.

#![expect(clippy::unwrap_used, reason = "an error in a helper fails the test")]
#![allow(dead_code, reason = "the fixture also serves other test programs")]

mod body;
#[path = "../platform/caller.rs"]
mod caller;
#[path = "../platform/fixture.rs"]
mod fixture;
mod machine;
#[path = "../platform/raw.rs"]
mod raw;
