//! The machine that decides each request.

mod event;
mod machine;

pub use event::{
    Action, Attempt, AttemptId, Ending, Event, Holding, Import, Reason, Refusal, Start, Strategy,
};
pub use machine::Dispatcher;
