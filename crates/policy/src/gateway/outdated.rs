//! Until when prompts may begin on weights that newer ones replace.

use std::time::Duration;

use super::machine::{Gateway, Terms};
use super::plan::Attempt;
use crate::Time;

/// Time before the limit on older weights from which an engine gets no more requests, in addition
/// to the expected wait in its queue: a request may begin up to a second later than expected, and
/// an announcement may arrive late by the pause between two watches.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_400);

/// When engines with older weights get no more requests.
pub fn weights_end(announced_at: Time, terms: &Terms) -> Time {
    announced_at + terms.weights_limit.saturating_sub(WEIGHTS_MARGIN)
}

impl Gateway {
    /// For how long the weights of an attempt had been replaced by newer ones at `now`.
    pub fn outdated_for(&self, now: Time, attempt: &Attempt) -> Option<Duration> {
        Some(now.saturating_sub(self.outdated_since(attempt)?))
    }

    /// Since when newer weights than those of an attempt have been announced.
    fn outdated_since(&self, attempt: &Attempt) -> Option<Time> {
        let run = attempt.engine.as_ref()?;
        self.view()?.weights.get(&run.model)?.outdated_since(run.weights)
    }
}
