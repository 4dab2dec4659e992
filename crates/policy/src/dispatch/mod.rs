//! The machine that decides each request.
//!
//! [`Dispatcher::step`] takes one [`Event`] and gives the [`Action`]s that follow. The request's
//! stages are in [`job`], who goes next in [`queue`], where it goes in [`route`], what follows a
//! failure in [`retry`], and what is known of upstreams in [`fleet`].

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
