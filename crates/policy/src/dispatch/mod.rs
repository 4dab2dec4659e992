//! The state machine that decides what happens to each request.
//!
//! [`Dispatcher::step`] takes one [`Event`] and returns the [`Action`]s that follow. The stages of
//! a request are in [`job`], the order of waiting requests in [`queue`], the choice of an upstream in
//! [`route`], retries in [`retry`], and the state of upstreams in [`fleet`].

mod ending;
mod event;
mod fleet;
mod job;
mod machine;
mod mutation;
mod permit;
mod queue;
mod retry;
mod route;
mod save;
mod start;

pub use event::{
    Action, Attempt, AttemptId, Ending, Event, Holding, Import, Reason, Refusal, Start, Strategy,
};
pub use machine::{Dispatcher, Sizes};
#[doc(hidden)]
pub use mutation::Mutation;
